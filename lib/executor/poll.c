/* poll.c -- handling of endpoints' answers to polls
 *
 * Ends of runs are taken from poll results only, in the order of their numbers.
 */
#include "executor/answer.h"
#include "executor/instance.h"
#include "executor/leases.h"
#include "executor/progress.h"
#include "executor/table.h"

#include <string.h>

/* A run counts as hung if it makes no progress for this time, or for this percentage of its
 * expected duration if that is longer. */
#define HANG_TIMEOUT_MIN_MS 300
#define HANG_PERCENT 20
/* Poll interval of an endpoint that has listed an end which can't be acknowledged yet.  Polls are
 * not delayed there, since they list that end again. */
#define POLL_INTERVAL_HELD_MS 100

static task_t *
find_run (const endpoint_t *endpoint, const char *name, int32_t attempt)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      task_t *task = endpoint->runs->pdata[i];
      if (task->attempt == attempt && strcmp (task->name, name) == 0)
        return task;
    }
  return NULL;
}

static void
finish_run (executor_t *executor,
            task_t *task,
            run_result_t result,
            int64_t now_ms,
            GArray *actions)
{
  endpoint_t *endpoint = task->endpoint;

  if (result == RUN_DONE)
    {
      int64_t elapsed_ms = now_ms - task->start_sent_at_ms;
      record_outcome (executor, endpoint, false, now_ms, actions);
      if (task->start_confirmed_at_ms != 0)
        placement_record_duration (executor, task, elapsed_ms);
      log_event (executor, actions, EXECUTOR_LOG_DONE, endpoint, task, now_ms);
      notify_coordinator (executor, actions, EXECUTOR_DONE, task, NULL);
      if (task->batch != NULL)
        done_tasks_add (executor->reported_tasks, task->name, now_ms);
      crash_history_note_success (executor->crashes, task->name);
      task_remove (executor, task);
      return;
    }
  if (result == RUN_LEASE_EXPIRED || result == RUN_GROUP_ENDED)
    log_event (executor, actions, EXECUTOR_LOG_LEASE_EXPIRED, endpoint, task, now_ms);
  if (result == RUN_FAILED)
    {
      log_event (executor, actions, EXECUTOR_LOG_FAILED, endpoint, task, now_ms);
      task->failures++;
      record_outcome (executor, endpoint, true, now_ms, actions);
      avoid_endpoint (task, endpoint);
      if (task->batch != NULL && task->failures >= task->batch->attempts_max)
        {
          fail_task (executor, task, TASK_FAILURE_ATTEMPTS, actions);
          return;
        }
    }
  task_requeue (executor, task, now_ms);
}

static void
record_foreign_run (endpoint_t *endpoint, const poll_active_t *row, int64_t now_ms)
{
  for (guint i = 0; i < endpoint->foreign_runs->len; i++)
    {
      foreign_run_t *foreign = endpoint->foreign_runs->pdata[i];
      if (foreign->attempt == row->attempt && strcmp (foreign->name, row->task) == 0)
        {
          foreign->present = true;
          return;
        }
    }
  foreign_run_t *foreign = g_new0 (foreign_run_t, 1);
  foreign->name = g_strdup (row->task);
  foreign->attempt = row->attempt;
  foreign->seen_at_ms = now_ms;
  foreign->present = true;
  g_ptr_array_add (endpoint->foreign_runs, foreign);
}

/* A task that waits has a run that was just listed: it has to adopt that run. */
static void
hold_waiting_task (executor_t *executor, const char *name, int64_t now_ms)
{
  task_t *task = g_hash_table_lookup (executor->tasks, name);

  if (task == NULL || task->state != TASK_WAITING)
    return;
  task_dequeue (executor, task);
  task_set_maybe_running (executor, task, now_ms);
}

static void
record_active_run (executor_t *executor,
                   endpoint_t *endpoint,
                   const poll_active_t *row,
                   int64_t now_ms)
{
  task_t *task = find_run (endpoint, row->task, row->attempt);

  if (task == NULL)
    {
      record_foreign_run (endpoint, row, now_ms);
      hold_waiting_task (executor, row->task, now_ms);
      return;
    }
  task->progress_at_ms =
      row->progress_percent > task->progress_percent ? now_ms : task->progress_at_ms;
  task->progress_percent = row->progress_percent;
  task->order_open = false;
  task->confirmed_by_later = false;
  if (task->state == TASK_STARTING || task->state == TASK_START_UNCONFIRMED)
    task->state = TASK_RUNNING;
  if (task->start_confirmed_at_ms == 0)
    {
      task->start_confirmed_at_ms = now_ms;
      task->progress_at_ms = now_ms;
    }
}

/* An earlier run of the task NAME, which was lost, has succeeded.  Returns true if the coordinator
 * is told. */
static bool
finish_lost_run (executor_t *executor, const char *name, int64_t now_ms, GArray *actions)
{
  task_t *task = g_hash_table_lookup (executor->tasks, name);

  if (task == NULL || task->batch == NULL || task->state == TASK_MAYBE_RUNNING)
    return false;
  notify_coordinator (executor, actions, EXECUTOR_DONE, task, "an earlier run has succeeded");
  done_tasks_add (executor->reported_tasks, name, now_ms);
  crash_history_note_success (executor->crashes, name);
  if (task->state == TASK_WAITING)
    {
      task_remove (executor, task);
      return true;
    }
  log_event (executor, actions, EXECUTOR_LOG_ABORTED, task->endpoint, task, now_ms);
  task_request_stop (task, STOP_DONE_BEFORE, now_ms);
  task_leave_batch (executor, task);
  return true;
}

/* Returns false if the end may not be acknowledged, as its coordinator is not told and the end
 * can't be remembered. */
static bool
apply_ended_run (executor_t *executor,
                 const endpoint_t *endpoint,
                 const poll_ended_t *row,
                 int64_t now_ms,
                 GArray *actions)
{
  task_t *task = find_run (endpoint, row->task, row->attempt);
  bool coordinator_told = task != NULL && task->batch != NULL;

  if (task != NULL)
    {
      task->order_open = false;
      finish_run (executor, task, row->result, now_ms, actions);
    }
  else if (row->result == RUN_DONE)
    coordinator_told = finish_lost_run (executor, row->task, now_ms, actions);
  return row->result != RUN_DONE || coordinator_told
         || done_tasks_add (executor->done_tasks, row->task, now_ms);
}

/* An end that was applied before, but is not acknowledged, is of no run that is known. */
static void
apply_ended_runs (executor_t *executor,
                  endpoint_t *endpoint,
                  const poll_result_t *result,
                  int64_t now_ms,
                  GArray *actions)
{
  endpoint->ends_held = false;
  for (size_t i = 0; i < result->ended_count; i++)
    {
      const poll_ended_t *row = &result->ended[i];
      if (row->number <= endpoint->ack_number)
        continue;
      if (!apply_ended_run (executor, endpoint, row, now_ms, actions))
        endpoint->ends_held = true;
      if (!endpoint->ends_held)
        endpoint->ack_number = row->number;
    }
  if (endpoint->ends_held)
    endpoint->poll_due_at_ms = now_ms + POLL_INTERVAL_HELD_MS;
}

/* True if the run of TASK, if it is alive, must be listed in the result of a poll sent at
 * SENT_AT_MS. */
static bool
should_be_listed (const task_t *task, int64_t sent_at_ms)
{
  return (task->state == TASK_RUNNING && task->start_confirmed_at_ms < sent_at_ms)
         || (task->state == TASK_STOPPING && task->stop_confirmed
             && task->stop_sent_at_ms < sent_at_ms);
}

/* Stops a run that cannot meet its deadline and tells its coordinator. */
static void
abort_overdue_run (executor_t *executor, task_t *task, int64_t now_ms, GArray *actions)
{
  log_event (executor, actions, EXECUTOR_LOG_ABORTED, task->endpoint, task, now_ms);
  notify_coordinator (executor, actions, EXECUTOR_OVERDUE, task, "cannot meet its deadline");
  task_request_stop (task, STOP_OVERDUE, now_ms);
  limit_lease (task, lease_limit_ms (executor, now_ms));
  task_leave_batch (executor, task);
}

/* The endpoint has forgotten the run of TASK.  If it does not tell when it started, it may have
 * restarted. */
static void
requeue_unlisted_run (executor_t *executor, task_t *task, int64_t now_ms)
{
  if (!task->endpoint->reports_start_time && task->state == TASK_RUNNING)
    record_loss (executor, task, false, now_ms);
  task_requeue (executor, task, now_ms);
}

static void
check_runs (executor_t *executor,
            endpoint_t *endpoint,
            const poll_result_t *result,
            int64_t sent_at_ms,
            int64_t now_ms,
            GArray *actions)
{
  for (guint i = endpoint->runs->len; i-- > 0;)
    {
      task_t *task = endpoint->runs->pdata[i];
      if (is_listed_active (result, task))
        {
          int64_t stalled_ms = now_ms - task->progress_at_ms;
          int64_t hang_limit_ms = MAX (HANG_TIMEOUT_MIN_MS, task->expected_ms * HANG_PERCENT / 100);
          if (task->state == TASK_RUNNING && stalled_ms > hang_limit_ms)
            {
              record_outcome (executor, endpoint, true, now_ms, actions);
              log_event (executor, actions, EXECUTOR_LOG_HUNG, endpoint, task, now_ms);
              task_request_stop (task, STOP_HUNG, now_ms);
            }
          else if (task->state == TASK_RUNNING && should_move (executor, task, now_ms))
            {
              task->moved = true;
              log_event (executor, actions, EXECUTOR_LOG_MOVED, endpoint, task, now_ms);
              task_request_stop (task, STOP_MOVED, now_ms);
            }
          else if (task->state == TASK_RUNNING && is_overdue (executor, task, now_ms))
            abort_overdue_run (executor, task, now_ms, actions);
        }
      else if (should_be_listed (task, sent_at_ms))
        requeue_unlisted_run (executor, task, now_ms);
      else if (task->state == TASK_START_UNCONFIRMED && task->start_sent_at_ms < sent_at_ms)
        /* The start order may still be carried out later; a confirmed stop rules that out. */
        task_request_stop (task, STOP_START_UNANSWERED, now_ms);
    }
}

static void
remove_absent_foreign_runs (endpoint_t *endpoint)
{
  for (guint i = endpoint->foreign_runs->len; i-- > 0;)
    {
      foreign_run_t *foreign = endpoint->foreign_runs->pdata[i];
      if (!foreign->present)
        g_ptr_array_remove_index_fast (endpoint->foreign_runs, i);
      else
        foreign->present = false;
    }
}

void
executor_poll_answered (executor_t *executor,
                        uint64_t serial,
                        executor_answer_t answer,
                        const poll_result_t *result,
                        int64_t now_ms,
                        GArray *actions)
{
  call_context_t context;

  if (answer != EXECUTOR_NO_ANSWER)
    time_answer (executor, serial, now_ms);
  if (!take_call_context (executor, serial, &context) || context.endpoint->poll_serial != serial)
    return;
  endpoint_t *endpoint = context.endpoint;
  int64_t sent_at_ms = endpoint->poll_sent_at_ms;
  endpoint->poll_in_flight = false;
  if (answer == EXECUTOR_STALE_TOKEN)
    {
      record_answer (executor, endpoint, now_ms, actions);
      mark_fenced (endpoint, context.token_generation, actions);
      return;
    }
  if (answer != EXECUTOR_OK)
    {
      record_no_answer (executor, endpoint, sent_at_ms, now_ms, actions);
      if (answer == EXECUTOR_INSTANCE_GONE)
        crash_history_endpoint_replaced (executor->crashes, endpoint->id, endpoint->address,
                                         note_loss, executor);
      return;
    }
  if (is_later_instance (endpoint, result, sent_at_ms, now_ms))
    handle_later_instance (executor, endpoint, result, sent_at_ms, now_ms, actions);
  if (result->started_at_ms != 0)
    {
      endpoint->started_at_ms = result->started_at_ms;
      endpoint->reports_start_time = true;
    }
  endpoint_note_address (endpoint);
  crash_history_endpoint_answered (executor->crashes, endpoint->id, endpoint->address,
                                   result->started_at_ms, note_loss, executor);
  endpoint->restart_suspected = false;
  endpoint->later_clock_seen = false;
  endpoint->ack_number_confirmed = MAX (endpoint->ack_number_confirmed, endpoint->ack_number_sent);
  record_answer (executor, endpoint, now_ms, actions);
  endpoint_read_clock (endpoint, result->endpoint_clock_ms, sent_at_ms, now_ms);
  endpoint->runs_known = true;
  endpoint->last_poll_sent_at_ms = sent_at_ms;
  endpoint->poll_due_at_ms = now_ms;
  for (size_t i = 0; i < result->active_count; i++)
    record_active_run (executor, endpoint, &result->active[i], now_ms);
  remove_absent_foreign_runs (endpoint);
  apply_ended_runs (executor, endpoint, result, now_ms, actions);
  check_runs (executor, endpoint, result, sent_at_ms, now_ms, actions);
}
