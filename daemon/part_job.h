/* part_job.h -- jobs of this host: claim, dispatch, answers, attaching, cancelling
 */
#ifndef DAEMON_PART_JOB_H
#define DAEMON_PART_JOB_H

#include "daemon/part.h"
#include "job/answer.h"
#include "job/request.h"

/* The other parts that a job needs. */
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

/* Each of the three waits on the calling traffic thread for the answer, which
 * the caller owns (job_answer_unref).  Never NULL. */

/* Submits REQUEST and waits for its final answer. */
job_answer_t *part_job_submit (part_t *part, job_request_t *request);

/* The state of the job with KEY.  HOME is its home data centre, or NULL if
 * that follows from the key. */
job_answer_t *part_job_state (part_t *part, const char *key, const char *home);

/* Cancels the job with KEY. */
job_answer_t *part_job_cancel (part_t *part, const char *key, const char *home);

/* Refuses a submission without reading it: says "not_run" only if KEY is NULL. */
job_answer_t *part_job_refuse (const char *key, int error, const char *message);

/* Callers that wait at this moment.  Any thread. */
int32_t part_job_waiting (part_t *part);

/* True once this host may serve submissions.  Any thread. */
bool part_job_is_ready (part_t *part);

/* The data centre that remembers KEY when the caller names none. */
const char *part_job_home_of (part_t *part, const char *key);

/* Boot time of the last tick: shows that the control thread runs.  Any
 * thread. */
int64_t part_job_last_tick_ms (part_t *part);

#endif
