/* test_scheduling_lease.c -- runs that outlive both their coordinator and their owner
 *
 * A coordinator is lost, and the owner of its tasks before it has ended them, so that the runs go
 * on until their lease expires.  By then callers may have submitted their jobs elsewhere. */
#include "tests/test_scheduling_run.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

static const uint32_t seeds[] = { 249, 284, 421, 453 };

static void
test_owner_is_lost_after_coordinator (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
    {
      const simulation_options_t options = { .seed = seeds[i],
                                             .length_ms = 40000,
                                             .one_hub_per_data_centre = true,
                                             .mixed_jobs = true,
                                             .long_waits = true,
                                             .staggered_faults = true,
                                             .host_crashes = 300 };
      CU_ASSERT_EQUAL (simulation_run (&options).concurrent_runs, 0);
    }
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("runs end with their lease", NULL, NULL);
  CU_add_test (suite, "an owner is lost soon after a coordinator",
               test_owner_is_lost_after_coordinator);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
