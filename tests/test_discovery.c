/* test_discovery.c -- whether a new owner knows all endpoints of its shard */
#include "executor/discovery.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib.h>

#define CLAIMED_AT_MS 60000

static const struct
{
  const char *name;
  directory_view_t view;
  int64_t expected_ms;
} cases[] = {
  { "followed since its start", { true, 0, 100, false }, 3100 },
  { "no listing yet", { true, 0, 0, false }, CLAIMED_AT_MS + 3000 },
  { "all hosts have just started", { true, 0, 59900, true }, 60600 },
  { "listed at its start, not followed", { false, 0, 100, false }, CLAIMED_AT_MS + 3000 },
  { "listed at its start, followed again", { true, 59000, 100, false }, 62000 },
  { "followed before, not now", { false, 30000, 100, false }, CLAIMED_AT_MS + 3000 },
};

/* Guards against a host that takes an old listing of the directory for a complete one. */
static void
test_discovery (void)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      int64_t until_ms = discovery_until_ms (&cases[i].view, CLAIMED_AT_MS);
      if (until_ms != cases[i].expected_ms)
        printf ("  %s: %d\n", cases[i].name, (int) until_ms);
      CU_ASSERT_EQUAL (until_ms, cases[i].expected_ms);
    }
}

#define MAYBE_RUNNING_AT_MS 60000

static const struct
{
  const char *name;
  discovery_t discovery;
  int64_t now_ms;
  bool expected;
} coverage_cases[] = {
  { "never read", { 3100, 0 }, 90000, false },
  { "turned away by the log before the claim", { 3100, 51000 }, 90000, false },
  { "read half a second before the claim", { 3100, 59500 }, 60001, false },
  { "read after the claim, before the task was known", { 3100, 59999 }, 60020, false },
  { "read since the task was known", { 3100, 60000 }, 60020, true },
  { "read, but entries may be missing", { 62000, 60500 }, 61999, false },
  { "read, and entries are missing no more", { 62000, 60500 }, 62000, true },
};

/* Guards against a host that takes a directory for complete because it was so once: endpoints
 * register later, and the previous owner starts tasks there. */
static void
test_coverage (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (coverage_cases); i++)
    {
      bool covers = discovery_covers (&coverage_cases[i].discovery, MAYBE_RUNNING_AT_MS,
                                      coverage_cases[i].now_ms);
      if (covers != coverage_cases[i].expected)
        printf ("  %s\n", coverage_cases[i].name);
      CU_ASSERT_EQUAL (covers, coverage_cases[i].expected);
    }
}

static const unit_test_t tests[] = {
  { "when the discovery of a shard ends", test_discovery },
  { "which tasks the discovery covers", test_coverage },
};

int
main (void)
{
  return unit_run ("discovery", tests, G_N_ELEMENTS (tests));
}
