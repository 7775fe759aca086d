/* test_scheduling_resent_early_cuts.c -- callers send their jobs again at any time, in the same
 * data centre, while two of its hosts don't reach each other
 *
 * Guards against a job that runs for two coordinators at one time. */
#include "tests/test_scheduling_resent.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

static const simulation_case_t cases[] = {
  { "early callers while pairs of hosts are cut", 10, { EARLY_OPTIONS, .link_cuts = 15 }, 60 },
};

static void
test_resent (void)
{
  check_resent (cases, G_N_ELEMENTS (cases));
}

static const unit_test_t tests[] = {
  { "jobs are sent again early while pairs of hosts are cut", test_resent },
};

int
main (int argc, char **argv)
{
  if (run_by_hand (cases, G_N_ELEMENTS (cases), argc, argv))
    return 0;
  return unit_run ("scheduling_resent_early_cuts", tests, G_N_ELEMENTS (tests));
}
