/* test_fleet_short.c -- no day is SHORT: the largest jobs are served where others are */
#include "tests/test_fleet_days.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

static const day_case_t cases[] = { DAY_CALM, DAY_CRASHES, DAY_LONG_WAITS, DAY_LONG_WAITS_CRASHES };

/* SHORT: the largest jobs of a queue were hardly served where the others were. */
static void
test_largest_jobs_not_served (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (uint32_t number = 0; number < DAYS; number++)
      {
        day_t day = play_day (&cases[i], number);
        CU_ASSERT_FALSE (is_short (&day));
      }
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("short days", NULL, NULL);
  CU_add_test (suite, "the largest jobs are not served", test_largest_jobs_not_served);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
