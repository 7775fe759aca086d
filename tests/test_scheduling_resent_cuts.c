/* test_scheduling_resent_cuts.c -- callers whose channels break, which their hosts see late or
 * never, send their jobs again while hosts can't reach each other, or only after seconds
 *
 * Guards against a job that runs for two coordinators at one time. */
#include "tests/test_scheduling_resent.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

static const simulation_case_t cases[] = {
  { "channels break while hosts are cut one way", 10, { RESENT_OPTIONS, .one_way_cuts = 40 }, 60 },
  { "channels break while hosts are cut off",
    10,
    { RESENT_OPTIONS, .host_cuts = 40, .data_centre_cuts = 20 },
    60 },
  { "channels break behind slow links", 10, { RESENT_OPTIONS, .slow_links = 60 }, 60 },
};

static void
test_resent (void)
{
  check_resent (cases, G_N_ELEMENTS (cases));
}

static const unit_test_t tests[] = {
  { "jobs are sent again while links between hosts fail", test_resent },
};

/* Without arguments: runs all cases.  With arguments: as run_by_hand (). */
int
main (int argc, char **argv)
{
  if (run_by_hand (cases, G_N_ELEMENTS (cases), argc, argv))
    return 0;
  return unit_run ("scheduling_resent_cuts", tests, G_N_ELEMENTS (tests));
}
