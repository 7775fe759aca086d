/* test_scheduler_job.h -- a job as the tests of the scheduler submit it */
#ifndef TESTS_TEST_SCHEDULER_JOB_H
#define TESTS_TEST_SCHEDULER_JOB_H

#include "scheduler/scheduler.h"

/* A short job of one task with ID, whose caller waits for WAIT_MS.  Borrows ID. */
static inline scheduler_job_t
test_job (const char *id, int64_t received_at_ms, int64_t wait_ms)
{
  return (scheduler_job_t){ .id = id,
                            .spec = "work",
                            .service = "s",
                            .tasks = 1,
                            .need = { 1000, 10, 0 },
                            .estimate_ms = 100,
                            .stretch_factor = 3,
                            .target_ms = 60,
                            .received_at_ms = received_at_ms,
                            .deadline_at_ms = received_at_ms + wait_ms,
                            .attempts_max = 3,
                            .label = "",
                            .preferred_rack = "" };
}

#endif
