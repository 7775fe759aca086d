/* job.c -- state machine of a job at its coordinator */
#include "job/job.h"

#include <assert.h>

/* The retry budget of a repeatable job is one retry, plus one for each this many
 * tasks.  This bounds the load that retries add to endpoints that fail because
 * they are overloaded. */
#define TASKS_PER_RETRY 10
/* Limit of attempts at one task, including the first. */
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
  uint32_t started_count;
  uint32_t done_count;
  uint32_t retry_count;
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
  return job->started_count > 0;
}

uint32_t
job_started_count (const job_t *job)
{
  return job->started_count;
}

uint32_t
job_done_count (const job_t *job)
{
  return job->done_count;
}

uint32_t
job_retry_count (const job_t *job)
{
  return job->retry_count;
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
    job->started_count++;
  task->was_started = true;
}

/* Undoes job_start_task () after a failed connect: nothing was written, so the
 * attempt does not count. */
static job_action_t
undo_start (job_t *job, task_t *task)
{
  task->attempts--;
  task->state = task->attempts > 0 ? JOB_TASK_RETRYING : JOB_TASK_WAITING;
  if (task->attempts == 0)
    {
      task->was_started = false;
      job->started_count--;
    }
  return JOB_ACTION_RETRY_TASK;
}

static job_action_t
store_answer (job_t *job, task_t *task, int status, GByteArray *body)
{
  task->state = JOB_TASK_DONE;
  task->status = status;
  task->body = body;
  job->done_count++;
  return job->done_count == job->request->task_count ? JOB_ACTION_COMPLETE : JOB_ACTION_NONE;
}

static bool
may_retry (const job_t *job, const task_t *task)
{
  return job->request->repeatable && task->attempts < ATTEMPTS_MAX
         && job->retry_count < job->retry_budget;
}

job_action_t
job_end_task (job_t *job,
              uint32_t index,
              job_attempt_outcome_t outcome,
              int status,
              GByteArray *body)
{
  task_t *task = &job->tasks[index];

  assert (index < job->request->task_count);
  assert (task->state == JOB_TASK_STARTED);
  if (outcome == JOB_ATTEMPT_DONE)
    return store_answer (job, task, status, body);
  if (body != NULL)
    g_byte_array_unref (body);
  if (outcome == JOB_ATTEMPT_NOT_STARTED)
    return undo_start (job, task);
  if (outcome == JOB_ATTEMPT_FAILED && may_retry (job, task))
    {
      job->retry_count++;
      task->state = JOB_TASK_RETRYING;
      return JOB_ACTION_RETRY_TASK;
    }
  task->state = JOB_TASK_FAILED;
  return JOB_ACTION_FAIL;
}

job_answer_t *
job_complete_answer (const job_t *job)
{
  uint32_t count = job->request->task_count;
  job_result_t *results = g_new0 (job_result_t, count);

  assert (job->done_count == count);
  for (uint32_t i = 0; i < count; i++)
    results[i] = (job_result_t){ .task = job->request->tasks[i].id,
                                 .status = job->tasks[i].status,
                                 .body = job->tasks[i].body };
  job_answer_t *answer = job_answer_complete (results, count);
  g_free (results);
  return answer;
}
