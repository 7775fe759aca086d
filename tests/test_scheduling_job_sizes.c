/* test_scheduling_job_sizes.c -- large jobs are completed nearly as often as small ones
 *
 * Guards against a scheduler that completes clearly fewer large jobs than small ones although the
 * oracle completes them in time. */
#include "tests/test_scheduling_days.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

static const day_case_t cases[] = { DAY_CALM, DAY_CRASHES, DAY_SILENT_CRASHES, DAY_LONG_WAITS,
                                    DAY_LONG_WAITS_CRASHES };

/* Large jobs are not starved on any day.  Relative to the number that the oracle completes, the two
 * classes of large jobs reach at least 90 % of the completions of the smallest class. */
static void
test_completion_by_size (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      day_counts_t sum = { 0 };
      double of_oracle[SIZE_CLASSES];

      for (uint32_t number = 0; number < DAYS; number++)
        {
          day_counts_t day = run_day (&cases[i], number);
          CU_ASSERT_FALSE (has_starvation (&day));
          add_size_classes (&sum, day.size_classes);
        }
      for (int k = 0; k < SIZE_CLASSES; k++)
        {
          of_oracle[k] =
              fraction (sum.size_classes[k].complete, sum.size_classes[k].complete_by_oracle);
          printf ("\n  %s, size class %d: %d jobs, %d feasible, %d complete by the oracle, %d "
                  "complete: %.3f ",
                  cases[i].name, k, sum.size_classes[k].jobs, sum.size_classes[k].feasible,
                  sum.size_classes[k].complete_by_oracle, sum.size_classes[k].complete,
                  of_oracle[k]);
        }
      CU_ASSERT_TRUE (of_oracle[0] >= 0.9 * of_oracle[2]);
      CU_ASSERT_TRUE (of_oracle[1] >= 0.9 * of_oracle[2]);
    }
}

static const unit_test_t tests[] = {
  { "large jobs are completed nearly as often as small ones", test_completion_by_size },
};

int
main (void)
{
  return unit_run ("completion by job size", tests, G_N_ELEMENTS (tests));
}
