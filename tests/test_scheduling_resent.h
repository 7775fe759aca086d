/* test_scheduling_resent.h -- callers whose channels break, which their hosts see late or never:
 * what the simulations of them share */
#ifndef TESTS_TEST_SCHEDULING_RESENT_H
#define TESTS_TEST_SCHEDULING_RESENT_H

#include "tests/test_scheduling_check.h"

/* Members of simulation_options_t: tasks are long enough to run on until their jobs are sent again.
 */
#define RESENT_JOBS                                                                                \
  .length_ms = 30000, .task_work_ms = 1200, .caller_wait_ms = 4000, .job_interval_ms = 300

/* In addition, 300 of a thousand channels break. */
#define RESENT_OPTIONS RESENT_JOBS, .broken_channels = 300

/* In addition, callers come again early. */
#define EARLY_OPTIONS RESENT_OPTIONS, .early_callers = true

static inline void
check_resent (const simulation_case_t *cases, size_t case_count)
{
  for (size_t i = 0; i < case_count; i++)
    CU_ASSERT_TRUE (check_seeds (&cases[i]) > 0);
}

#endif
