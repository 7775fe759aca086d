/* job.h -- one job's life at its coordinator: tasks, completion, retries
 *
 * Pure: no clocks, sockets or threads.  A job is complete when every task has
 * a whole answer; it has failed with the first task that has failed for good.
 * A task that has started is started again only if the caller marked the job
 * repeatable, the attempt has definitely ended, and the retry budget allows
 * it; so two attempts of a task never run at once.
 *
 * A job belongs to one thread.
 */
#ifndef JOB_JOB_H
#define JOB_JOB_H

#include "job/answer.h"
#include "job/request.h"

typedef enum
{
  JOB_TASK_WAITING, /* never started */
  JOB_TASK_STARTED,
  JOB_TASK_RETRYING, /* its last attempt has ended; waits for the next */
  JOB_TASK_DONE,
  JOB_TASK_FAILED
} job_task_state_t;

/* How an attempt ended. */
typedef enum
{
  JOB_ATTEMPT_WHOLE,      /* a whole 2xx or 4xx */
  JOB_ATTEMPT_ENDED,      /* it failed and has definitely ended: a whole 5xx */
  JOB_ATTEMPT_UNKNOWN,    /* no whole answer: it may run on */
  JOB_ATTEMPT_NOT_STARTED /* nothing was written */
} job_attempt_t;

/* What follows from the end of an attempt. */
typedef enum
{
  JOB_GO_ON,     /* other tasks are still to end */
  JOB_TRY_AGAIN, /* start the same task again */
  JOB_COMPLETE,
  JOB_FAIL
} job_verdict_t;

typedef struct job_t job_t;

job_t *job_new (job_request_t *request);
void job_free (job_t *job);

const job_request_t *job_request (const job_t *job);
job_task_state_t job_task_state (const job_t *job, uint32_t task);

/* True once any task has started, for good. */
bool job_has_started (const job_t *job);
uint32_t job_started_count (const job_t *job);
uint32_t job_done_count (const job_t *job);

/* TASK is about to be written to an endpoint.  Asserts that it may be. */
void job_start_task (job_t *job, uint32_t task);

/* The attempt at TASK has ended; BODY (may be NULL) is taken over.  After
 * JOB_ATTEMPT_NOT_STARTED the task is as before its start. */
job_verdict_t
job_end_task (job_t *job, uint32_t task, job_attempt_t attempt, int status, GByteArray *body);

/* The whole answer of a job whose verdict was JOB_COMPLETE. */
job_answer_t *job_complete_answer (const job_t *job);

/* Number of attempts beyond the first, over all tasks. */
uint32_t job_retry_count (const job_t *job);

#endif
