/* ended_jobs.h -- jobs that have ended, so that a repeated request is answered and not run again
 *
 * A caller may send the request of a job again after its answer, and after its cancellation.  A set
 * of ended jobs tells the outcome.  Jobs that were refused or given up are not recorded: they run
 * when they are sent again.
 *
 * Pure.  Times are milliseconds of the boot clock.  Ids are copied.  Not thread-safe.
 */
#ifndef SCHEDULER_ENDED_JOBS_H
#define SCHEDULER_ENDED_JOBS_H

#include "scheduler/scheduler.h"

#include <stddef.h>

typedef struct ended_jobs_t ended_jobs_t;

/* A request is repeated seconds after its answer. */
#define ENDED_ANSWERED_RETENTION_MS 60000
/* A caller whose channel fell silent may not learn that its job was cancelled elsewhere.  It waits
 * up to 600 s for the answer and repeats the request seconds later. */
#define ENDED_CANCELLED_RETENTION_MS 660000
/* Separate bounds, so that many completed jobs don't displace the cancelled ones. */
#define ENDED_COMPLETE_MAX 32768
#define ENDED_FAILED_MAX 8192
#define ENDED_CANCELLED_MAX 16384

ended_jobs_t *ended_jobs_new (void);
void ended_jobs_free (ended_jobs_t *jobs);

/* Records that the job with ID has ended with OUTCOME.  The first outcome of a job holds; a later
 * one that is kept for longer only extends its retention.  If there are as many jobs of this
 * outcome as allowed, the oldest is forgotten.  No-op for SCHEDULER_REFUSED and
 * SCHEDULER_GIVEN_UP. */
void
ended_jobs_add (ended_jobs_t *jobs, const char *id, scheduler_outcome_t outcome, int64_t now_ms);

/* Returns true and sets *OUTCOME if the job with ID is known to have ended. */
bool
ended_jobs_find (ended_jobs_t *jobs, const char *id, int64_t now_ms, scheduler_outcome_t *outcome);

/* Forgets the jobs whose retention is over. */
void ended_jobs_expire (ended_jobs_t *jobs, int64_t now_ms);

/* Calls FUNCTION with the ids of at most COUNT_MAX cancelled jobs, the last one first. */
void ended_jobs_foreach_cancelled (const ended_jobs_t *jobs,
                                   size_t count_max,
                                   void (*function) (const char *id, void *data),
                                   void *data);

size_t ended_jobs_count (const ended_jobs_t *jobs);

#endif
