/* job.h -- state machine of a job at its coordinator: tasks, completion, retries
 *
 * Uses no clock, socket or thread.  A job is complete when every task has a
 * complete response; it fails with the first task that fails without a retry.
 * A task that has run is started again only if the caller marked the job
 * repeatable, the previous attempt has certainly ended, and the retry budget
 * allows it.  So two attempts at a task never run at the same time.
 *
 * A job is not thread-safe: use it from one thread.  Tasks are named by their
 * index in the request.
 */
#ifndef JOB_JOB_H
#define JOB_JOB_H

#include "job/answer.h"
#include "job/request.h"

typedef enum
{
  JOB_TASK_WAITING, /* never started */
  JOB_TASK_STARTED,
  JOB_TASK_RETRYING, /* the last attempt has ended; the next has not started */
  JOB_TASK_DONE,
  JOB_TASK_FAILED
} job_task_state_t;

/* How an attempt ended. */
typedef enum
{
  JOB_ATTEMPT_DONE,       /* complete response with status 2xx or 4xx */
  JOB_ATTEMPT_FAILED,     /* complete response with status 5xx: it has certainly ended */
  JOB_ATTEMPT_UNKNOWN,    /* no complete response: the task may still be running */
  JOB_ATTEMPT_NOT_STARTED /* connect failed; nothing was written */
} job_attempt_outcome_t;

/* What the caller of job_end_task () has to do next. */
typedef enum
{
  JOB_ACTION_NONE,       /* wait for the other tasks */
  JOB_ACTION_RETRY_TASK, /* start the same task again */
  JOB_ACTION_COMPLETE,   /* answer the caller with job_complete_answer () */
  JOB_ACTION_FAIL        /* answer the caller with an error */
} job_action_t;

typedef struct job_t job_t;

/* Takes a reference of REQUEST. */
job_t *job_new (job_request_t *request);
/* JOB may be NULL. */
void job_free (job_t *job);

/* The request that the job was made from; belongs to the job. */
const job_request_t *job_request (const job_t *job);
job_task_state_t job_task_state (const job_t *job, uint32_t task);

/* True once a task has started.  It becomes false again only if the connect of
 * every start failed (JOB_ATTEMPT_NOT_STARTED). */
bool job_has_started (const job_t *job);
/* Numbers of tasks that have started at least once, and that have a complete
 * response. */
uint32_t job_started_count (const job_t *job);
uint32_t job_done_count (const job_t *job);

/* Records that TASK is about to be written to an endpoint.  Asserts that it is
 * not running, and that it has never started or the job is repeatable. */
void job_start_task (job_t *job, uint32_t task);

/* Records the end of an attempt at TASK.  STATUS and BODY are those of the HTTP
 * response; BODY (may be NULL) is taken over.  JOB_ATTEMPT_NOT_STARTED restores
 * the state before job_start_task (). */
job_action_t job_end_task (job_t *job,
                           uint32_t task,
                           job_attempt_outcome_t outcome,
                           int status,
                           GByteArray *body);

/* Returns the answer of a job after JOB_ACTION_COMPLETE; the caller owns it. */
job_answer_t *job_complete_answer (const job_t *job);

/* Number of retries of all tasks together: attempts after a failed one. */
uint32_t job_retry_count (const job_t *job);

#endif
