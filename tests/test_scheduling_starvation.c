/* test_scheduling_starvation.c -- large jobs are not starved by smaller ones
 *
 * Guards against days that count as SHORT by the users' rule (has_starvation ()): the largest jobs
 * of a queue are hardly ever completed while the others are. */
#include "tests/test_scheduling_days.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

static const day_case_t cases[] = { DAY_CALM, DAY_CRASHES, DAY_LONG_WAITS, DAY_LONG_WAITS_CRASHES };

static void
test_starvation (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (uint32_t number = 0; number < DAYS; number++)
      {
        day_counts_t day = run_day (&cases[i], number);
        CU_ASSERT_FALSE (has_starvation (&day));
      }
}

static const unit_test_t tests[] = {
  { "large jobs are not starved", test_starvation },
};

int
main (void)
{
  return unit_run ("starvation of large jobs", tests, G_N_ELEMENTS (tests));
}
