/* admission.h -- whether a job is taken, and when a refused caller should come back
 *
 * Load: bursts of 2 to 2.6 times the baseline for 6 to 20 s, with up to a third of the endpoints
 * gone.  Without admission control a job waits until its queue's time is over, and is refused then.
 *
 * A job is refused only if it is nearly certain that it can't be served while its caller waits: an
 * answer that is late is worth a fifth, a refusal nothing.  In doubt it is admitted.
 *
 * Pure: no clock, no state.
 */
#ifndef FLOW_ADMISSION_H
#define FLOW_ADMISSION_H

#include "flow/forecast.h"

typedef enum
{
  ADMISSION_YES,
  ADMISSION_TOO_LATE, /* it can't end before its deadline */
  ADMISSION_NO_START  /* none of its tasks can start within its queue's time */
} admission_t;

/* FORECAST is the best of all owners for one task of the job.  OWN_MS is the time that all owners
 * together need for its other tasks.  START_BY_MS is 0 for no such limit. */
admission_t admission_decide (const forecast_t *forecast,
                              int64_t own_ms,
                              int64_t deadline_at_ms,
                              int64_t start_by_ms,
                              int64_t now_ms);

/* A refused job's caller: the expected wait is WAIT_MS (negative if it is not known), and it would
 * have done with CALLER_WAIT_MS.  HASH, of the job's id, spreads the callers over the time that the
 * backlog takes.  Returns 1 to ADMISSION_RETRY_MAX_MS. */
int64_t admission_retry_ms (int64_t wait_ms, int64_t caller_wait_ms, uint64_t hash);

/* Callers wait for 28 s at the most. */
#define ADMISSION_RETRY_MAX_MS 28000
/* A shard whose owner is lost has another one by then. */
#define ADMISSION_RETRY_UNKNOWN_MS 1200

#endif
