/* test_scheduling_cut_endpoints.c -- endpoints are cut off under long tasks
 *
 * Guards against a task that starts again although it was done on an endpoint that was cut off, and
 * against jobs that fail although nothing has crashed under their tasks.
 */
#include "tests/test_scheduling_check.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

static const simulation_case_t cases[] = {
  { "endpoints are cut off",
    10,
    { .length_ms = 60000,
      .job_interval_ms = 700,
      .endpoint_cuts = 120,
      .endpoint_cut_max_ms = 12000,
      .caller_wait_ms = 40000,
      .task_work_ms = 3000 },
    50 },
  { "endpoints are cut off, and hosts crash",
    4,
    { .length_ms = 60000,
      .job_interval_ms = 700,
      .endpoint_cuts = 120,
      .endpoint_cut_max_ms = 12000,
      .host_crashes = 20,
      .caller_wait_ms = 40000,
      .task_work_ms = 3000 },
    50 },
};

static void
test_cuts (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_ASSERT_TRUE (check_seeds (&cases[i]) > 0);
}

static const unit_test_t tests[] = {
  { "a task that was done on an endpoint that is cut off started again", test_cuts },
};

int
main (void)
{
  return unit_run ("endpoints that are cut off", tests, G_N_ELEMENTS (tests));
}
