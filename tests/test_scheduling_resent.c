/* test_scheduling_resent.c -- callers whose channels break, which their hosts see late or never,
 * send their jobs again while hosts fail
 *
 * Guards against a job that runs for two coordinators at one time. */
#include "tests/test_scheduling_resent.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

static const simulation_case_t cases[] = {
  { "channels break", 20, { RESENT_OPTIONS }, 90 },
  { "channels break while hosts crash", 10, { RESENT_OPTIONS, .host_crashes = 40 }, 60 },
  { "channels break while hosts are suspended", 10, { RESENT_OPTIONS, .host_freezes = 40 }, 60 },
  { "channels break while orders are late and answers are lost",
    10,
    { RESENT_OPTIONS, .lost_answers = 30, .late_answers = 30 },
    60 },
  { "early callers", 20, { EARLY_OPTIONS }, 90 },
  { "early callers while hosts crash", 20, { EARLY_OPTIONS, .host_crashes = 40 }, 60 },
  { "early callers while hosts crash at different times",
    20,
    { EARLY_OPTIONS, .host_crashes = 40, .staggered_faults = true },
    60 },
  { "early callers while hosts are suspended", 10, { EARLY_OPTIONS, .host_freezes = 40 }, 60 },
  { "early callers while hosts are stopped", 10, { EARLY_OPTIONS, .terminations = 40 }, 60 },
  { "early callers while orders are late and answers are lost",
    10,
    { EARLY_OPTIONS, .lost_answers = 30, .late_answers = 30 },
    60 },
};

static void
test_resent (void)
{
  check_resent (cases, G_N_ELEMENTS (cases));
}

static const unit_test_t tests[] = {
  { "jobs are sent again while their first hosts run them", test_resent },
};

/* Without arguments: runs all cases.  With arguments: as run_by_hand (). */
int
main (int argc, char **argv)
{
  if (run_by_hand (cases, G_N_ELEMENTS (cases), argc, argv))
    return 0;
  return unit_run ("scheduling_resent", tests, G_N_ELEMENTS (tests));
}
