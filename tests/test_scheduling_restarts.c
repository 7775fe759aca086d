/* test_scheduling_restarts.c -- endpoints restart under their ids while orders are late
 *
 * Guards against runs that a late order starts on a later instance of its endpoint, and against
 * jobs that fail because endpoints restart under them by chance. */
#include "tests/test_scheduling_check.h"

#include <CUnit/Basic.h>

static const simulation_case_t restarts = {
  "endpoints restart under their ids while orders are late",
  6,
  { .length_ms = 40000, .endpoint_crashes = 100, .late_orders = 50 },
  50,
};

static const simulation_case_t bursts = {
  "many endpoints restart at once, before the directory shows it",
  20,
  { .length_ms = 40000,
    .restart_bursts = 100,
    .entry_delay_max_ms = 2000,
    .late_answers = 50,
    .lost_answers = 20 },
  50,
};

static void
test_restarts (void)
{
  CU_ASSERT_TRUE (check_seeds (&restarts) > 0);
}

/* No order is late and no host is lost here, so that no task starts after it was done. */
static void
test_bursts (void)
{
  CU_ASSERT_TRUE (check_seeds (&bursts) > 0);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("endpoints restart while orders are late", NULL, NULL);
  CU_add_test (suite, "no invariant is violated", test_restarts);
  CU_add_test (suite, "no invariant is violated, many at once", test_bursts);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
