/* test_scheduling_false_failure.c -- jobs failed although nothing had crashed under their tasks
 *
 * Guards against an answer "failed" for a task whose endpoints were only cut off, while its caller
 * waits for long enough to see several of them lost.
 */
#include "tests/test_scheduling_check.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

/* The share of jobs answered tells whether anything is served at all: with so many endpoints cut
 * off, most tasks of 2 s are lost at least once. */
static const simulation_case_t cuts = {
  "endpoints are cut off one after the other",
  20,
  { .length_ms = 60000,
    .job_interval_ms = 700,
    .endpoint_cuts = 120,
    .endpoint_cut_max_ms = 12000,
    .caller_wait_ms = 40000,
    .task_work_ms = 3000 },
  5,
};

static const simulation_case_t cuts_and_host_crashes = {
  "endpoints are cut off one after the other, and hosts crash",
  20,
  { .length_ms = 60000,
    .job_interval_ms = 700,
    .endpoint_cuts = 120,
    .endpoint_cut_max_ms = 12000,
    .host_crashes = 20,
    .caller_wait_ms = 40000,
    .task_work_ms = 3000 },
  5,
};

static void
test_cuts (void)
{
  CU_ASSERT_TRUE (check_seeds (&cuts) > 0);
}

static void
test_cuts_and_host_crashes (void)
{
  CU_ASSERT_TRUE (check_seeds (&cuts_and_host_crashes) > 0);
}

static const unit_test_t tests[] = {
  { "a job failed though its endpoints were only cut off", test_cuts },
  { "a job failed though its endpoints were only cut off, and hosts crash",
    test_cuts_and_host_crashes },
};

int
main (void)
{
  return unit_run ("jobs failed without a cause", tests, G_N_ELEMENTS (tests));
}
