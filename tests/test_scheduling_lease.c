/* test_scheduling_lease.c -- runs that outlive both their coordinator and their owner
 *
 * A coordinator is lost, and the owner of its tasks before it has ended them, so that the runs go
 * on until their lease expires.  By then callers may have submitted their jobs elsewhere. */
#include "tests/test_scheduling_run.h"
#include "tests/unit_runner.h"

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

static const unit_test_t tests[] = {
  { "an owner is lost soon after a coordinator", test_owner_is_lost_after_coordinator },
};

int
main (void)
{
  return unit_run ("runs end with their lease", tests, G_N_ELEMENTS (tests));
}
