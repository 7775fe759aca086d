/* test_scheduling_restarts.c -- endpoints restart under their ids while orders are late
 *
 * Guards against runs that a late order starts on a later instance of its endpoint, and against
 * jobs that fail because endpoints restart under them by chance. */
#include "tests/test_scheduling_check.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

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

static const unit_test_t tests[] = {
  { "no invariant is violated", test_restarts },
  { "no invariant is violated, many at once", test_bursts },
};

int
main (void)
{
  return unit_run ("endpoints restart while orders are late", tests, G_N_ELEMENTS (tests));
}
