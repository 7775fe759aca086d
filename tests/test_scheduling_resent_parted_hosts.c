/* test_scheduling_resent_parted_hosts.c -- callers send their jobs again at any time, in the same
 * data centre, one host of which does not reach its other hosts, but all those of other ones
 *
 * Guards against a job that runs for two coordinators at one time. */
#ifndef SIM_HOSTS
#define SIM_HOSTS 9
#endif
#include "tests/test_scheduling_resent.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

static const simulation_case_t cases[] = {
  { "early callers while hosts are parted", 20, { EARLY_OPTIONS, .parted_hosts = 30 }, 60 },
  { "early callers while pairs of three are cut", 10, { EARLY_OPTIONS, .link_cuts = 15 }, 60 },
};

static void
test_resent (void)
{
  check_resent (cases, G_N_ELEMENTS (cases));
}

static const unit_test_t tests[] = {
  { "jobs are sent again early while hosts are parted from their data centre", test_resent },
};

int
main (int argc, char **argv)
{
  if (run_by_hand (cases, G_N_ELEMENTS (cases), argc, argv))
    return 0;
  return unit_run ("scheduling_resent_parted_hosts", tests, G_N_ELEMENTS (tests));
}
