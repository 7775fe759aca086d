/* job_end.c -- how a job ends: its answer, and the cancellation of what owners have of it
 *
 * The answer "not run" requires a confirmation from every owner that was sent a part of the job.
 * If an owner does not confirm in time, the job is answered as "given up" instead.
 */
#include "scheduler/state.h"

#include <string.h>

/* A cancellation reaches the owner, and its order to stop the endpoint, within this time. */
#define STOP_DELAY_MS 50

void
scheduler_remove_batches (scheduler_t *scheduler, scheduled_job_t *job)
{
  while (job->batches->len > 0)
    scheduler_remove_batch (scheduler, job->batches->pdata[job->batches->len - 1]);
}

void
scheduler_remove_job (scheduler_t *scheduler, scheduled_job_t *job)
{
  for (guint i = 0; i < job->requests->len; i++)
    g_hash_table_remove (scheduler->requests,
                         &((const job_request_t *) job->requests->pdata[i])->number);
  g_hash_table_remove (scheduler->jobs_by_id, job->request.id);
  scheduler_remove_batches (scheduler, job);
  g_hash_table_remove (scheduler->jobs, &job->number);
}

/* Writes "host:tasks" for each owner that has open tasks of JOB. */
static void
format_owners (const scheduled_job_t *job, char *text, size_t size)
{
  size_t used = 0;

  text[0] = '\0';
  for (guint i = 0; i < job->batches->len && used < size; i++)
    {
      const job_batch_t *batch = job->batches->pdata[i];
      if (batch->open_tasks->len > 0)
        used += (size_t) g_snprintf (text + used, size - used, "%s%s:%u", used > 0 ? " " : "",
                                     batch->host, batch->open_tasks->len);
    }
}

/* FIRST, the last of ACTIONS, answers the first request of JOB; appends answers for the others. */
static void
answer_requests (const scheduled_job_t *job, scheduler_action_t *first, GArray *actions)
{
  scheduler_action_t repeated = { .kind = SCHEDULER_ANSWER,
                                  .repeated = true,
                                  .outcome = first->outcome,
                                  .reason = first->reason,
                                  .retry_after_ms = first->retry_after_ms,
                                  .job_id = first->job_id };

  if (job->requests->len > 0)
    first->user_data = ((const job_request_t *) job->requests->pdata[0])->user_data;
  for (guint i = 1; i < job->requests->len; i++)
    {
      repeated.user_data = ((const job_request_t *) job->requests->pdata[i])->user_data;
      g_array_append_val (actions, repeated);
    }
}

void
scheduler_answer_job (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  scheduler_action_t *action = scheduler_add_action (actions, SCHEDULER_ANSWER);

  action->outcome = job->outcome;
  if (job->outcome == SCHEDULER_REFUSED && job->may_have_run)
    action->outcome = SCHEDULER_GIVEN_UP;
  action->reason = job->reason;
  action->limit = job->limit;
  if (action->outcome == SCHEDULER_REFUSED)
    action->retry_after_ms = forecast_job_retry_after_ms (scheduler, job, now_ms);
  action->elapsed_ms = now_ms - job->request.received_at_ms;
  action->late_by_ms = now_ms - job->aim.objective_at_ms;
  action->job_id = g_string_chunk_insert (scheduler->answer_strings, job->request.id);
  action->queue = g_string_chunk_insert (scheduler->answer_strings, job->request.queue);
  action->expected_wait_ms = job->expected_wait_ms;
  action->report_age_ms = job->report_age_ms;
  action->tasks = job->request.tasks;
  action->estimate_ms = job->request.estimate_ms;
  action->size_class = job->size_class;
  action->tasks_left = job->tasks_left;
  action->handovers = job->handovers;
  action->returned_tasks = job->returned_tasks;
  action->failure = job->failure;
  action->failed_index = job->failed_index;
  format_owners (job, action->owners, sizeof action->owners);
  scheduler_outcome_t outcome = action->outcome;
  answer_requests (job, action, actions);
  ended_jobs_add (scheduler->ended_jobs, job->request.id, outcome, now_ms);
  repeats_job_ends (scheduler, job, outcome, now_ms, actions);
  scheduler_remove_job (scheduler, job);
}

void
scheduler_drop_job (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  if (!job->end_pending)
    scheduler_cancel_batches (scheduler, job, STOP_CALLER_LEFT, now_ms, actions);
  repeats_job_ends (scheduler, job, SCHEDULER_GIVEN_UP, now_ms, actions);
  scheduler_remove_job (scheduler, job);
}

void
scheduler_cancel_batches (scheduler_t *scheduler,
                          scheduled_job_t *job,
                          stop_reason_t reason,
                          int64_t now_ms,
                          GArray *actions)
{
  for (guint i = 0; i < job->batches->len; i++)
    {
      job_batch_t *batch = job->batches->pdata[i];
      batch->cancel_requested = true;
      cancellations_cancel (scheduler, batch, reason, now_ms, actions);
    }
}

/* Why the runs of a job that ends with OUTCOME because of LIMIT are stopped. */
static stop_reason_t
stop_reason_of (scheduler_outcome_t outcome, scheduler_limit_t limit)
{
  if (outcome == SCHEDULER_CANCELLED)
    return STOP_JOB_CANCELLED;
  if (outcome == SCHEDULER_FAILED)
    return STOP_JOB_FAILED;
  if (limit == SCHEDULER_LIMIT_UNREACHED)
    return STOP_UNCONFIRMED;
  return limit == SCHEDULER_LIMIT_OWNERS ? STOP_OWNER_LOST : STOP_DEADLINE;
}

bool
scheduler_await_stops (const scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms)
{
  if (scheduler->stop_ms == 0 || job->awaits_stops || job->requests->len == 0)
    return false;
  job->end_pending = true;
  job->awaits_stops = true;
  job->confirm_by_ms = now_ms + scheduler->stop_ms + STOP_DELAY_MS;
  return true;
}

/* Whether JOB, which ends with OUTCOME, is answered as given up while owners have runs of it. */
static bool
leaves_runs (const scheduled_job_t *job, scheduler_outcome_t outcome)
{
  bool given_up =
      outcome == SCHEDULER_GIVEN_UP || (outcome == SCHEDULER_REFUSED && job->may_have_run);

  return given_up && job->batches->len > 0;
}

void
scheduler_end_job (scheduler_t *scheduler,
                   scheduled_job_t *job,
                   scheduler_outcome_t outcome,
                   scheduler_limit_t limit,
                   const char *reason,
                   int64_t now_ms,
                   GArray *actions)
{
  if (job->end_pending)
    return;
  job->outcome = outcome;
  job->reason = reason;
  job->limit = limit;
  scheduler_cancel_batches (scheduler, job, stop_reason_of (outcome, limit), now_ms, actions);
  if (leaves_runs (job, outcome) && scheduler_await_stops (scheduler, job, now_ms))
    return;
  if (outcome != SCHEDULER_REFUSED || job->may_have_run || job->batches->len == 0)
    {
      scheduler_answer_job (scheduler, job, now_ms, actions);
      return;
    }
  job->end_pending = true;
  job->confirm_by_ms = now_ms + SCHEDULER_CONFIRM_TIMEOUT_MS;
}

void
scheduler_refuse_job (scheduler_t *scheduler,
                      scheduled_job_t *job,
                      scheduler_limit_t limit,
                      const char *reason,
                      int64_t now_ms,
                      GArray *actions)
{
  scheduler_end_job (scheduler, job, SCHEDULER_REFUSED, limit, reason, now_ms, actions);
}
