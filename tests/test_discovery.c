/* test_discovery.c -- until when a new owner may not know all endpoints of its shard */
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

static const unit_test_t tests[] = {
  { "when the discovery of a shard ends", test_discovery },
};

int
main (void)
{
  return unit_run ("discovery", tests, G_N_ELEMENTS (tests));
}
