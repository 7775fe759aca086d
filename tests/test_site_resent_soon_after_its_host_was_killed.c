/* test_site_resent_soon_after_its_host_was_killed.c -- a job whose host was killed, and that is
 * sent again to a host of the same data centre at any time after that, must not run beside its
 * first runs
 *
 * Real processes of the soak's rig.
 */
#include "base/clock.h"
#include "tests/resent_job.h"
#include "tests/resent_rig.h"
#include "tests/site_rig.h"
#include "tests/soak/rig_private.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <unistd.h>

#define ENDPOINTS 6
#define TASKS 8
#define WORK_MS 3000
#define CALLER_WAIT_MS 9000
/* By then hosts have found all others, and capacity and load are known. */
#define SETTLED_AFTER_MS 1500
/* The tasks have started by then. */
#define KILLED_AFTER_MS 80
#define FIRST_JOB 0xe0

/* All hosts of a rig of SMALL are hubs.  Hosts are in the data centres in turn. */
#define SMALL 6
#define LARGE 18

typedef struct
{
  const char *name;
  int first_host;
  int second_host;
  int again_after_ms; /* from the kill */
} case_t;

static const case_t small_cases[] = {
  { "at once", 0, 3, 0 },
  { "after 50 ms", 1, 4, 50 },
  { "after 300 ms", 2, 5, 300 },
  { "after 1300 ms", 0, 3, 1300 },
};

static const case_t large_cases[] = {
  { "between other hosts, at once", 0, 9, 0 },
  { "after 50 ms", 1, 16, 50 },
  { "after 300 ms", 17, 5, 300 },
};

static void
play (rig_t *rig, const case_t *row, uint64_t id)
{
  const resent_job_t job = { id, TASKS, WORK_MS, CALLER_WAIT_MS };
  int32_t trouble = book_trouble (rig->book, clock_boot_ms ());
  int first = resent_job_send (rig, row->first_host, &job);

  clock_sleep_ms (KILLED_AFTER_MS);
  rig_kill_host (rig, row->first_host, "killed");
  resent_job_broken (rig, row->first_host, &job);
  clock_sleep_ms (row->again_after_ms);
  int second = resent_job_send (rig, row->second_host, &job);
  site_response_t answer = site_read_response (second, clock_boot_ms () + CALLER_WAIT_MS);
  resent_job_answered (rig, row->second_host, &job, answer.status, answer.body);
  CU_ASSERT_EQUAL (answer.status, 200);
  if (answer.status != 200)
    printf ("  %s: answered %d\n", row->name, answer.status);
  book_trouble_over (rig->book, trouble, clock_boot_ms ());
  close (first);
  close (second);
}

static void
play_small (rig_t *rig, size_t row)
{
  play (rig, &small_cases[row], FIRST_JOB + row);
}

static void
play_large (rig_t *rig, size_t row)
{
  play (rig, &large_cases[row], FIRST_JOB + row);
}

static void
test_small (void)
{
  resent_play_rows (SMALL, ENDPOINTS, SETTLED_AFTER_MS, G_N_ELEMENTS (small_cases), play_small);
}

static void
test_large (void)
{
  resent_play_rows (LARGE, ENDPOINTS, SETTLED_AFTER_MS, G_N_ELEMENTS (large_cases), play_large);
}

static const unit_test_t tests[] = {
  { "all hosts are hubs", test_small },
  { "more hosts than hubs", test_large },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run_named ("site_resent_soon_after_its_host_was_killed", tests, G_N_ELEMENTS (tests),
                         argc > 1 ? argv[1] : NULL);
}
