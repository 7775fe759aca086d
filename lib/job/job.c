/* job.c -- one job's life at its coordinator */
#include "job/job.h"

#include <assert.h>

/* One retry for each this many tasks, and at least one: a repeatable job costs
 * an overloaded endpoint little more than a job that is not. */
#define TASKS_PER_RETRY 10
/* Attempts at one task, the first included. */
#define ATTEMPTS_MAX 3

typedef struct
{
  job_task_state_t state;
  bool was_started;
  uint8_t attempts;
  int status;
  GByteArray *body;
} task_t;

struct job_t
{
  job_request_t *request;
  task_t *tasks;
  uint32_t started;
  uint32_t done;
  uint32_t retries;
  uint32_t retry_budget;
};

job_t *
job_new (job_request_t *request)
{
  job_t *job = g_new0 (job_t, 1);

  job->request = job_request_ref (request);
  job->tasks = g_new0 (task_t, request->task_count);
  if (request->repeatable)
    job->retry_budget = 1 + request->task_count / TASKS_PER_RETRY;
  return job;
}

void
job_free (job_t *job)
{
  if (job == NULL)
    return;
  for (uint32_t i = 0; i < job->request->task_count; i++)
    if (job->tasks[i].body != NULL)
      g_byte_array_unref (job->tasks[i].body);
  g_free (job->tasks);
  job_request_unref (job->request);
  g_free (job);
}

const job_request_t *
job_request (const job_t *job)
{
  return job->request;
}

job_task_state_t
job_task_state (const job_t *job, uint32_t task)
{
  return job->tasks[task].state;
}

bool
job_has_started (const job_t *job)
{
  return job->started > 0;
}

uint32_t
job_started_count (const job_t *job)
{
  return job->started;
}

uint32_t
job_done_count (const job_t *job)
{
  return job->done;
}

uint32_t
job_retry_count (const job_t *job)
{
  return job->retries;
}

void
job_start_task (job_t *job, uint32_t index)
{
  task_t *task = &job->tasks[index];

  assert (index < job->request->task_count);
  assert (task->state == JOB_TASK_WAITING || task->state == JOB_TASK_RETRYING);
  assert (!task->was_started || job->request->repeatable);
  task->state = JOB_TASK_STARTED;
  task->attempts++;
  if (!task->was_started)
    job->started++;
  task->was_started = true;
}

/* Only a connect that failed undoes a start. */
static job_verdict_t
undo_start (job_t *job, task_t *task)
{
  task->attempts--;
  task->state = task->attempts > 0 ? JOB_TASK_RETRYING : JOB_TASK_WAITING;
  if (task->attempts == 0)
    {
      task->was_started = false;
      job->started--;
    }
  return JOB_TRY_AGAIN;
}

static job_verdict_t
keep_answer (job_t *job, task_t *task, int status, GByteArray *body)
{
  task->state = JOB_TASK_DONE;
  task->status = status;
  task->body = body;
  job->done++;
  return job->done == job->request->task_count ? JOB_COMPLETE : JOB_GO_ON;
}

static bool
may_retry (const job_t *job, const task_t *task)
{
  return job->request->repeatable && task->attempts < ATTEMPTS_MAX
         && job->retries < job->retry_budget;
}

job_verdict_t
job_end_task (job_t *job, uint32_t index, job_attempt_t attempt, int status, GByteArray *body)
{
  task_t *task = &job->tasks[index];

  assert (index < job->request->task_count);
  assert (task->state == JOB_TASK_STARTED);
  if (attempt == JOB_ATTEMPT_WHOLE)
    return keep_answer (job, task, status, body);
  if (body != NULL)
    g_byte_array_unref (body);
  if (attempt == JOB_ATTEMPT_NOT_STARTED)
    return undo_start (job, task);
  if (attempt == JOB_ATTEMPT_ENDED && may_retry (job, task))
    {
      job->retries++;
      task->state = JOB_TASK_RETRYING;
      return JOB_TRY_AGAIN;
    }
  task->state = JOB_TASK_FAILED;
  return JOB_FAIL;
}

job_answer_t *
job_complete_answer (const job_t *job)
{
  uint32_t count = job->request->task_count;
  job_result_t *results = g_new0 (job_result_t, count);

  assert (job->done == count);
  for (uint32_t i = 0; i < count; i++)
    results[i] = (job_result_t){ .task = job->request->tasks[i].id,
                                 .status = job->tasks[i].status,
                                 .body = job->tasks[i].body };
  job_answer_t *answer = job_answer_complete (results, count);
  g_free (results);
  return answer;
}
