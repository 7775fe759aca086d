/* part_job.h -- submissions of this host: claim, dispatch, answer, state and cancellation
 *
 * The job part coordinates submissions.  The functions that take a request or
 * a key run on the thread of the calling HTTP request and block it until the
 * control thread has the answer.  Times ending in _ms are on the clock that is
 * named with them.
 */
#ifndef DAEMON_PART_JOB_H
#define DAEMON_PART_JOB_H

#include "daemon/part.h"
#include "job/answer.h"
#include "job/request.h"

/* The parts that the job part calls.  They must outlive it. */
typedef struct
{
  part_t *view;
  part_t *claim;
  part_t *config;
  part_t *share;
  part_t *dispatch;
  part_t *burn;
} job_parts_t;

part_t *part_job_new (daemon_t *daemon, const job_parts_t *parts);

/* part_job_submit (), part_job_state () and part_job_cancel () block the calling
 * traffic thread until there is an answer, and must not be called on the
 * control thread.  The caller owns the answer (job_answer_unref).  It is never
 * NULL: failures are answers, too. */

/* Submits REQUEST and waits for its final answer.  A request whose key has
 * already been submitted with the same body attaches to that job. */
job_answer_t *part_job_submit (part_t *part, job_request_t *request);

/* Returns the state of the job with KEY.  HOME is the home data centre of the
 * key, or NULL if the caller does not know it. */
job_answer_t *part_job_state (part_t *part, const char *key, const char *home);

/* Cancels the job with KEY; HOME as for part_job_state (). */
job_answer_t *part_job_cancel (part_t *part, const char *key, const char *home);

/* Returns the answer for a request that is refused before it reaches the
 * control thread.  KEY is its idempotency key, or NULL if it has none; only
 * without a key may the answer be "not_run".  MESSAGE may be NULL for the
 * default message of ERROR.  Any thread; the caller owns the answer. */
job_answer_t *part_job_refuse (const char *key, int error, const char *message);

/* Number of callers that wait in part_job_submit ().  Any thread. */
int32_t part_job_waiting_callers (part_t *part);

/* True while this host may be sent submissions.  Any thread. */
bool part_job_is_ready (part_t *part);

/* Returns the home data centre of KEY, whose hosts keep its replicas, if the
 * submission names none.  It is chosen by rendezvous hashing, so every host
 * with the same list of data centres chooses the same one.  The string belongs
 * to the settings. */
const char *part_job_default_home (part_t *part, const char *key);

/* Time of the last tick on the boot clock, for the check that the control
 * thread is alive.  Any thread. */
int64_t part_job_last_tick_ms (part_t *part);

#endif
