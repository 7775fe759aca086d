/* admission.h -- decides whether a job is admitted, and when a refused caller should retry
 *
 * The load to handle is bursts of 2 to 2.6 times the baseline that last 6 to 20 s, with up to a
 * third of the endpoints unavailable.  Without admission control a job would wait for the whole
 * time that its queue allows and would be refused only then.
 *
 * A job is refused only if it is nearly certain that it can't be served while its caller waits,
 * because a late answer is worth a fifth of a timely one and a refusal is worth nothing.  In case
 * of doubt the job is admitted.
 *
 * The functions are pure: they read no clock and keep no state.  Times named `_at_ms` and
 * `_by_ms` are milliseconds of the boot clock; all others are durations in milliseconds.
 */
#ifndef SCHEDULER_ADMISSION_H
#define SCHEDULER_ADMISSION_H

#include "scheduler/forecast.h"

typedef enum
{
  ADMISSION_ADMIT,
  ADMISSION_MISSES_DEADLINE,   /* the job can't end before its deadline */
  ADMISSION_MISSES_START_LIMIT /* none of its tasks can start within its queue's time */
} admission_t;

/* Decides about a job.  FORECAST is the best forecast of all owners for one task of the job.
 * OTHER_TASKS_MS is the time that all owners together need for the other tasks of the job.
 * START_BY_MS is the time by which a task must have started, or 0 for no such limit. */
admission_t admission_decide (const forecast_t *forecast,
                              int64_t other_tasks_ms,
                              int64_t deadline_at_ms,
                              int64_t start_by_ms,
                              int64_t now_ms);

/* Returns after how many milliseconds, from 1 to ADMISSION_RETRY_MAX_MS, the caller of a refused
 * job should retry.  WAIT_MS is the expected wait, or negative if it is not known.
 * CALLER_WAIT_MS is the longest wait that the caller would have accepted.  HASH is a hash of the
 * job's id; it spreads the retries over the time in which the backlog is worked off. */
int64_t admission_retry_after_ms (int64_t wait_ms, int64_t caller_wait_ms, uint64_t hash);

/* No caller waits for longer than 28 s. */
#define ADMISSION_RETRY_MAX_MS 28000
/* A shard whose owner is lost has a new owner within this time. */
#define ADMISSION_RETRY_UNKNOWN_MS 1200

#endif
