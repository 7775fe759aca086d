/* test_scheduling_resent_early_slow_links.c -- callers send their jobs again at any time, in the
 * same data centre, while its hosts reach each other only slowly
 *
 * Guards against a job that runs for two coordinators at one time. */
#include "tests/test_scheduling_resent.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

static const simulation_case_t cases[] = {
  { "early callers behind slow links", 10, { EARLY_OPTIONS, .slow_links = 60 }, 60 },
};

static void
test_resent (void)
{
  check_resent (cases, G_N_ELEMENTS (cases));
}

static const unit_test_t tests[] = {
  { "jobs are sent again early behind slow links", test_resent },
};

int
main (int argc, char **argv)
{
  if (run_by_hand (cases, G_N_ELEMENTS (cases), argc, argv))
    return 0;
  return unit_run ("scheduling_resent_early_slow_links", tests, G_N_ELEMENTS (tests));
}
