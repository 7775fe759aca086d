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
  { "channels break while pairs of hosts are cut", 10, { RESENT_OPTIONS, .link_cuts = 15 }, 60 },
  { "channels break while data centres are cut link by link",
    10,
    { RESENT_OPTIONS, .gradual_cuts = 40 },
    60 },
  { "channels break while several data centres are cut and hosts crash",
    10,
    { RESENT_OPTIONS, .data_centre_cuts = 60, .host_crashes = 30, .staggered_faults = true },
    60 },
  { "channels break twice",
    10,
    { RESENT_JOBS, .broken_channels = 800, .second_breaks = 700, .host_cuts = 20,
      .data_centre_cuts = 20 },
    60 },
  { "channels break while cuts delay messages",
    10,
    { RESENT_OPTIONS, .host_cuts = 40, .data_centre_cuts = 20, .link_cuts = 5,
      .cuts_delay_messages = true },
    60 },
  { "early callers while data centres are cut off",
    10,
    { EARLY_OPTIONS, .data_centre_cuts = 40 },
    60 },
  { "early callers while hosts are cut off", 10, { EARLY_OPTIONS, .host_cuts = 40 }, 60 },
  { "early callers while pairs of hosts are cut", 10, { EARLY_OPTIONS, .link_cuts = 15 }, 60 },
  { "early callers behind slow links", 10, { EARLY_OPTIONS, .slow_links = 60 }, 60 },
  { "early callers while data centres are cut and hosts crash",
    10,
    { EARLY_OPTIONS, .data_centre_cuts = 40, .host_crashes = 30, .staggered_faults = true },
    60 },
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
