/* answer.c -- handling of endpoints' answers to start, stop and poll orders
 *
 * An answer is matched with its call by serial number.  An answer to a call whose run has ended or
 * changed shows only that the endpoint is alive.  Ends of runs are taken from poll results only, in
 * the order of their numbers.
 */
#include "executor/table.h"

#include <math.h>
#include <string.h>

/* An endpoint that has refused a task for lack of resources gets no more tasks for this time. */
#define FULL_BACKOFF_MS 20
/* A run counts as hung if it makes no progress for this time, or for this percentage of its
 * expected duration if that is longer. */
#define HANG_TIMEOUT_MIN_MS 300
#define HANG_PERCENT 20
/* Below this progress, the duration of the whole task cannot be extrapolated. */
#define PROGRESS_PERCENT_MIN 5
/* A restart elsewhere must finish at least this long before the deadline. */
#define MOVE_MIN_GAIN_MS 30
/* A duration this many times the expected one indicates a slow endpoint rather than a large task.
 */
#define TASK_SIZE_ERROR_MAX 3.0
/* A run is aborted only if its remaining time is at least this percentage of the time until its
 * deadline.
 */
#define OVERDUE_MARGIN_PERCENT 108
/* Maximum number of names, per endpoint, of tasks that succeeded under another owner.  They are
 * needed to answer coordinators that submit these tasks to this owner later. */
#define FOREIGN_DONE_MAX 512
/* An endpoint that reports itself as unhealthy gets no task for this time. */
#define UNHEALTHY_BACKOFF_MS 300

static void
record_answer (executor_t *executor,
               endpoint_t *endpoint,
               int64_t endpoint_clock_ms,
               int64_t now_ms,
               GArray *actions)
{
  if (endpoint->unanswered_calls >= UNRESPONSIVE_CALLS)
    log_event (executor, actions, EXECUTOR_LOG_RESPONSIVE, endpoint, NULL, now_ms)->elapsed_ms =
        now_ms - endpoint->unanswered_since_ms;
  endpoint->unanswered_since_ms = 0;
  endpoint->unanswered_calls = 0;
  if (endpoint_clock_ms == 0)
    return;
  /* The answer took some time to arrive, so the true offset is higher. */
  endpoint->clock_offset_ms = endpoint_clock_ms - now_ms;
  endpoint->clock_read_at_ms = now_ms;
  endpoint->clock_known = true;
}

static void
record_no_answer (executor_t *executor,
                  endpoint_t *endpoint,
                  int64_t sent_at_ms,
                  int64_t now_ms,
                  GArray *actions)
{
  if (endpoint->unanswered_since_ms == 0)
    endpoint->unanswered_since_ms = MAX (sent_at_ms, 1);
  if (++endpoint->unanswered_calls != UNRESPONSIVE_CALLS)
    return;
  log_event (executor, actions, EXECUTOR_LOG_UNRESPONSIVE, endpoint, NULL, now_ms);
  /* Before their leases expire, as this host may be lost until then. */
  for (guint i = 0; i < endpoint->runs->len; i++)
    record_loss (executor, endpoint->runs->pdata[i], false, now_ms);
}

/* The endpoint has rejected the token: it accepts another owner.  Ignored if the token has changed
 * since the call. */
static void
mark_fenced (endpoint_t *endpoint, uint32_t token_generation, GArray *actions)
{
  if (endpoint->fenced || token_generation != endpoint->token_generation)
    return;
  endpoint->fenced = true;
  executor_action_t *action = action_append (actions, EXECUTOR_FENCED);
  action->endpoint = endpoint->id;
}

static call_t *
take_call (executor_t *executor, uint64_t serial)
{
  call_t *call = g_hash_table_lookup (executor->calls, &serial);

  if (call != NULL)
    g_hash_table_steal (executor->calls, &serial);
  return call;
}

static void
free_call (call_t *call)
{
  g_free (call->endpoint);
  g_free (call->task);
  g_free (call);
}

/* Returns the task of CALL if its run is still the one that the call was about, else NULL. */
static task_t *
task_of_call (const executor_t *executor, const call_t *call)
{
  task_t *task = g_hash_table_lookup (executor->tasks, call->task);
  bool same = task != NULL && task->endpoint != NULL && task->attempt == call->attempt
              && strcmp (task->endpoint->id, call->endpoint) == 0;

  return same ? task : NULL;
}

/* The call that an answer belongs to. */
typedef struct
{
  endpoint_t *endpoint;
  task_t *task;              /* NULL if the run has ended or changed */
  uint32_t token_generation; /* of the endpoint when the call was made */
} call_context_t;

/* Returns false if the call or its endpoint is no longer known. */
static bool
take_call_context (executor_t *executor, uint64_t serial, call_context_t *context)
{
  call_t *call = take_call (executor, serial);

  action_strings_clear (executor);
  if (call == NULL)
    return false;
  *context = (call_context_t){ endpoint_find (executor, call->endpoint),
                               task_of_call (executor, call), call->token_generation };
  free_call (call);
  return context->endpoint != NULL;
}

static void
record_outcome (executor_t *executor,
                endpoint_t *endpoint,
                bool failed,
                int64_t now_ms,
                GArray *actions)
{
  if (outlier_record (&endpoint->outlier, &executor->outliers, &executor->outlier_baseline, failed,
                      now_ms))
    log_event (executor, actions,
               endpoint->outlier.state == OUTLIER_EJECTED ? EXECUTOR_LOG_EJECTED
                                                          : EXECUTOR_LOG_READMITTED,
               endpoint, NULL, now_ms);
}

static void
fail_task (executor_t *executor, task_t *task, const char *reason, GArray *actions)
{
  notify_coordinator (executor, actions, EXECUTOR_FAILED, task, reason);
  task_remove (executor, task);
}

static const char *const refusal_reasons[] = {
  [EXECUTOR_OK] = "",
  [EXECUTOR_NO_CAPACITY] = "it has no room",
  [EXECUTOR_OLD_ATTEMPT] = "a later attempt was there",
  [EXECUTOR_LEASE_EXPIRED] = "the lease had run out on arrival",
  [EXECUTOR_STALE_TOKEN] = "it obeys another owner",
  [EXECUTOR_UNHEALTHY] = "it can't be reached, or says that it is unhealthy",
  [EXECUTOR_INVALID] = "the order is malformed",
  [EXECUTOR_INSTANCE_GONE] = "it is another endpoint by now",
  [EXECUTOR_NO_ANSWER] = "no answer",
};

/* Starts that are not confirmed yet may be refused, so they do not count here. */
static void
record_accepted_start (endpoint_t *endpoint)
{
  resources_t confirmed = { 0 };

  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const task_t *run = endpoint->runs->pdata[i];
      if (run->start_confirmed_at_ms != 0)
        resources_add (&confirmed, &run->need, 1);
    }
  capacity_record_accepted (&endpoint->capacity, &confirmed);
}

/* Returns the call with its endpoint in *ENDPOINT, without taking it; NULL if either is unknown. */
static const call_t *
find_call (const executor_t *executor, uint64_t serial, endpoint_t **endpoint)
{
  const call_t *call = g_hash_table_lookup (executor->calls, &serial);

  *endpoint = call != NULL ? endpoint_find (executor, call->endpoint) : NULL;
  return *endpoint != NULL ? call : NULL;
}

/* The answer to a start order whose task has been dropped or moved since. */
static void
record_open_order_answer (const executor_t *executor, uint64_t serial, executor_answer_t answer)
{
  endpoint_t *endpoint = NULL;

  if (find_call (executor, serial, &endpoint) == NULL)
    return;
  if (answer == EXECUTOR_NO_ANSWER)
    open_orders_unanswered (endpoint->open_orders, serial);
  else if (open_orders_answered (endpoint->open_orders, serial) && answer == EXECUTOR_OK)
    endpoint_poll_again (endpoint);
}

void
executor_start_answered (executor_t *executor,
                         uint64_t serial,
                         executor_answer_t answer,
                         int64_t endpoint_clock_ms,
                         int64_t now_ms,
                         GArray *actions)
{
  call_context_t context;

  record_open_order_answer (executor, serial, answer);
  if (!take_call_context (executor, serial, &context))
    return;
  endpoint_t *endpoint = context.endpoint;
  task_t *task = context.task;
  if (answer != EXECUTOR_NO_ANSWER && answer != EXECUTOR_INSTANCE_GONE)
    record_answer (executor, endpoint, endpoint_clock_ms, now_ms, actions);
  if (task == NULL)
    return;
  task->order_open = task->order_open && answer == EXECUTOR_NO_ANSWER;
  switch (answer)
    {
    case EXECUTOR_OK:
      if (task->state == TASK_STARTING || task->state == TASK_START_UNCONFIRMED)
        task->state = TASK_RUNNING;
      if (task->start_confirmed_at_ms == 0)
        {
          task->start_confirmed_at_ms = now_ms;
          task->progress_at_ms = now_ms;
          record_accepted_start (endpoint);
        }
      return;
    case EXECUTOR_NO_ANSWER:
      record_no_answer (executor, endpoint, task->start_sent_at_ms, now_ms, actions);
      if (task->state == TASK_STARTING)
        {
          log_event (executor, actions, EXECUTOR_LOG_UNANSWERED, endpoint, task, now_ms);
          task->state = TASK_START_UNCONFIRMED;
          endpoint->poll_due_at_ms = now_ms;
        }
      return;
    case EXECUTOR_INSTANCE_GONE:
      record_no_answer (executor, endpoint, task->start_sent_at_ms, now_ms, actions);
      break;
    case EXECUTOR_NO_CAPACITY:
      capacity_record_refusal (&endpoint->capacity, &endpoint->used, now_ms);
      endpoint->full_until_ms = now_ms + FULL_BACKOFF_MS;
      break;
    case EXECUTOR_STALE_TOKEN:
      mark_fenced (endpoint, context.token_generation, actions);
      break;
    case EXECUTOR_UNHEALTHY:
      endpoint->full_until_ms = now_ms + UNHEALTHY_BACKOFF_MS;
      record_outcome (executor, endpoint, true, now_ms, actions);
      break;
    case EXECUTOR_INVALID:
      fail_task (executor, task, "endpoint rejected the start order as malformed", actions);
      return;
    case EXECUTOR_OLD_ATTEMPT:
      /* That attempt may be alive; the next poll shows it. */
      if (task->state == TASK_STARTING)
        {
          task->state = TASK_START_UNCONFIRMED;
          endpoint->poll_due_at_ms = now_ms;
        }
      return;
    case EXECUTOR_LEASE_EXPIRED:
    default:
      break;
    }
  endpoint->outlier.probe_running = false;
  log_event (executor, actions, EXECUTOR_LOG_REFUSED, endpoint, task, now_ms)->reason =
      refusal_reasons[answer];
  /* The order had no effect and will never have one. */
  task_requeue (executor, task, now_ms);
}

/* The present instance will not start the attempt that the call has stopped.  If it has started it
 * before, only a poll from now on shows when that run is over. */
static void
record_open_order_stopped (const executor_t *executor, uint64_t serial)
{
  endpoint_t *endpoint = NULL;
  const call_t *call = find_call (executor, serial, &endpoint);

  if (call != NULL && open_orders_stopped (endpoint->open_orders, call->task, call->attempt))
    endpoint_poll_again (endpoint);
}

void
executor_stop_answered (executor_t *executor,
                        uint64_t serial,
                        executor_answer_t answer,
                        int64_t endpoint_clock_ms,
                        int64_t now_ms,
                        GArray *actions)
{
  call_context_t context;

  if (answer == EXECUTOR_OK)
    record_open_order_stopped (executor, serial);
  if (!take_call_context (executor, serial, &context))
    return;
  endpoint_t *endpoint = context.endpoint;
  task_t *task = context.task;
  if (answer == EXECUTOR_NO_ANSWER || answer == EXECUTOR_INSTANCE_GONE)
    {
      record_no_answer (executor, endpoint, now_ms, now_ms, actions);
      return;
    }
  record_answer (executor, endpoint, endpoint_clock_ms, now_ms, actions);
  if (answer == EXECUTOR_STALE_TOKEN)
    mark_fenced (endpoint, context.token_generation, actions);
  if (answer == EXECUTOR_OK && task != NULL && task->state == TASK_STOPPING)
    {
      task->stop_confirmed = true;
      task->stop_sent_at_ms = now_ms;
    }
  endpoint->poll_due_at_ms = now_ms;
}

/* --- polls --- */

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
      crash_history_forget (executor->crashes, task->name);
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
      g_free (task->avoid_endpoint_id);
      task->avoid_endpoint_id = g_strdup (endpoint->id);
      if (task->batch != NULL && task->failures >= task->batch->attempts_max)
        {
          fail_task (executor, task, "failed the maximum number of attempts", actions);
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

static void
record_active_run (endpoint_t *endpoint, const poll_active_t *row, int64_t now_ms)
{
  task_t *task = find_run (endpoint, row->task, row->attempt);

  if (task == NULL)
    {
      record_foreign_run (endpoint, row, now_ms);
      return;
    }
  task->progress_at_ms =
      row->progress_percent > task->progress_percent ? now_ms : task->progress_at_ms;
  task->progress_percent = row->progress_percent;
  task->order_open = false;
  if (task->state == TASK_STARTING || task->state == TASK_START_UNCONFIRMED)
    task->state = TASK_RUNNING;
  if (task->start_confirmed_at_ms == 0)
    {
      task->start_confirmed_at_ms = now_ms;
      task->progress_at_ms = now_ms;
    }
}

static void
apply_ended_runs (executor_t *executor,
                  endpoint_t *endpoint,
                  const poll_result_t *result,
                  int64_t now_ms,
                  GArray *actions)
{
  for (size_t i = 0; i < result->ended_count; i++)
    {
      const poll_ended_t *row = &result->ended[i];
      if (row->number <= endpoint->ack_number)
        continue;
      endpoint->ack_number = row->number;
      task_t *task = find_run (endpoint, row->task, row->attempt);
      if (task != NULL)
        {
          task->order_open = false;
          finish_run (executor, task, row->result, now_ms, actions);
        }
      else if (row->result == RUN_DONE && endpoint->foreign_done->len < FOREIGN_DONE_MAX)
        g_ptr_array_add (endpoint->foreign_done, g_strdup (row->task));
    }
}

static bool
is_listed_active (const poll_result_t *result, const task_t *task)
{
  for (size_t i = 0; i < result->active_count; i++)
    if (result->active[i].attempt == task->attempt
        && strcmp (result->active[i].task, task->name) == 0)
      return true;
  return false;
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

/* Shortest expected duration of TASK, with WORK_MS of work, on the other endpoints that have free
 * resources for it now. */
static double
min_elsewhere_ms (const executor_t *executor, const task_t *task, double work_ms, int64_t now_ms)
{
  double best_ms = INFINITY;
  GHashTableIter iter;
  void *value = NULL;

  if (executor->drained)
    return best_ms;
  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const endpoint_t *endpoint = value;
      if (endpoint != task->endpoint && placement_may_run (endpoint, task)
          && placement_is_usable (endpoint, now_ms) && !placement_is_reserved (endpoint)
          && capacity_fits (&endpoint->capacity, &endpoint->used, &task->need, now_ms))
        best_ms = fmin (best_ms, work_ms * placement_ratio (endpoint)
                                     * placement_remote_factor (executor, endpoint, task->batch));
    }
  return best_ms;
}

/* Extrapolation of a run from its progress. */
typedef struct
{
  double remaining_ms;      /* until it ends on its endpoint */
  double until_deadline_ms; /* until its deadline */
  double work_ms;           /* of the whole task, at the reference speed */
} run_forecast_t;

/* Returns false if the progress of the run does not allow an extrapolation yet. */
static bool
forecast_run (const executor_t *executor,
              const task_t *task,
              int64_t now_ms,
              run_forecast_t *forecast)
{
  const batch_t *batch = task->batch;

  if (batch == NULL || task->progress_percent < PROGRESS_PERCENT_MIN
      || task->progress_percent >= 100)
    return false;
  double elapsed_ms = (double) (now_ms - task->start_sent_at_ms);
  /* Progress is rounded down to whole percents, so up to one percent more may be done. */
  double duration_ms = 100.0 * elapsed_ms / (task->progress_percent + 1);
  double ratio = placement_ratio (task->endpoint)
                 * placement_remote_factor (executor, task->endpoint, task->batch);
  bool is_large_task = duration_ms < TASK_SIZE_ERROR_MAX * (double) task->expected_ms;

  forecast->remaining_ms = duration_ms - elapsed_ms;
  forecast->until_deadline_ms = (double) (batch->target.deadline_at_ms - now_ms);
  forecast->work_ms = is_large_task ? duration_ms / ratio : (double) batch->target.work_ms;
  return true;
}

/* True if TASK misses its deadline on its endpoint and would meet it if it was restarted on a
 * faster one.  A task is moved only once. */
static bool
should_move (const executor_t *executor, const task_t *task, int64_t now_ms)
{
  run_forecast_t forecast;

  if (task->moved || !forecast_run (executor, task, now_ms, &forecast)
      || forecast.remaining_ms < forecast.until_deadline_ms)
    return false;
  double restarted_ms = min_elsewhere_ms (executor, task, forecast.work_ms, now_ms);
  return restarted_ms + (double) executor->options.stop_ms + MOVE_MIN_GAIN_MS
         < forecast.until_deadline_ms;
}

/* True if TASK misses its deadline on its endpoint and would miss it on the fastest one too. */
static bool
is_overdue (const executor_t *executor, const task_t *task, int64_t now_ms)
{
  run_forecast_t forecast;
  double fastest = INFINITY;
  GHashTableIter iter;
  void *value = NULL;

  if (!forecast_run (executor, task, now_ms, &forecast)
      || forecast.remaining_ms * 100 < forecast.until_deadline_ms * OVERDUE_MARGIN_PERCENT)
    return false;
  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (placement_is_usable (value, now_ms))
      fastest = fmin (fastest, placement_ratio (value));
  return forecast.work_ms * fastest > forecast.until_deadline_ms;
}

/* Stops a run that cannot meet its deadline and tells its coordinator. */
static void
abort_overdue_run (executor_t *executor, task_t *task, int64_t now_ms, GArray *actions)
{
  log_event (executor, actions, EXECUTOR_LOG_ABORTED, task->endpoint, task, now_ms);
  notify_coordinator (executor, actions, EXECUTOR_OVERDUE, task, "cannot meet its deadline");
  task_request_stop (task, now_ms);
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
              task_request_stop (task, now_ms);
            }
          else if (task->state == TASK_RUNNING && should_move (executor, task, now_ms))
            {
              task->moved = true;
              log_event (executor, actions, EXECUTOR_LOG_MOVED, endpoint, task, now_ms);
              task_request_stop (task, now_ms);
            }
          else if (task->state == TASK_RUNNING && is_overdue (executor, task, now_ms))
            abort_overdue_run (executor, task, now_ms, actions);
        }
      else if (should_be_listed (task, sent_at_ms))
        requeue_unlisted_run (executor, task, now_ms);
      else if (task->state == TASK_START_UNCONFIRMED && task->start_sent_at_ms < sent_at_ms)
        /* The start order may still be carried out later; a confirmed stop rules that out. */
        task_request_stop (task, now_ms);
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

/* True if the run of TASK may be alive on the instance that has answered a poll sent at SENT_AT_MS:
 * it is listed, or its start was confirmed too late to be listed. */
static bool
may_run_there (const task_t *task, const poll_result_t *result, int64_t sent_at_ms)
{
  return is_listed_active (result, task)
         || (task->state == TASK_RUNNING && task->start_confirmed_at_ms > sent_at_ms);
}

/* ENDPOINT has answered as a later instance.  Orders do not name the instance, so that this one may
 * have started runs before its owner knew of it: these go on. */
static void
handle_later_instance (executor_t *executor,
                       endpoint_t *endpoint,
                       const poll_result_t *result,
                       int64_t sent_at_ms,
                       int64_t now_ms)
{
  GPtrArray *kept = g_ptr_array_new ();
  int64_t lease_end_ms = endpoint->lease_end_ms;

  for (guint i = endpoint->runs->len; i-- > 0;)
    {
      task_t *task = endpoint->runs->pdata[i];
      if (!may_run_there (task, result, sent_at_ms))
        continue;
      task->order_open = false;
      withdraw_loss (executor, task);
      task_detach (task);
      g_ptr_array_add (kept, task);
    }
  endpoint_restarted (executor, endpoint, now_ms);
  for (guint i = 0; i < kept->len; i++)
    task_attach (kept->pdata[i], endpoint);
  if (kept->len > 0)
    endpoint->lease_end_ms = lease_end_ms;
  g_ptr_array_unref (kept);
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

  if (!take_call_context (executor, serial, &context) || context.endpoint->poll_serial != serial)
    return;
  endpoint_t *endpoint = context.endpoint;
  int64_t sent_at_ms = endpoint->poll_sent_at_ms;
  endpoint->poll_in_flight = false;
  if (answer == EXECUTOR_STALE_TOKEN)
    {
      record_answer (executor, endpoint, 0, now_ms, actions);
      mark_fenced (endpoint, context.token_generation, actions);
      return;
    }
  if (answer != EXECUTOR_OK)
    {
      record_no_answer (executor, endpoint, sent_at_ms, now_ms, actions);
      return;
    }
  if (result->started_at_ms != 0)
    {
      if (endpoint->started_at_ms != 0 && result->started_at_ms != endpoint->started_at_ms)
        {
          log_event (executor, actions, EXECUTOR_LOG_RESTARTED, endpoint, NULL, now_ms);
          handle_later_instance (executor, endpoint, result, sent_at_ms, now_ms);
          if (result->started_at_ms == endpoint->entry_started_at_ms)
            capacity_report (&endpoint->capacity, &endpoint->entry_capacity);
        }
      endpoint->started_at_ms = result->started_at_ms;
      endpoint->reports_start_time = true;
      crash_history_endpoint_answered (executor->crashes, endpoint->id, endpoint->started_at_ms,
                                       note_loss, executor);
    }
  record_answer (executor, endpoint, result->endpoint_clock_ms, now_ms, actions);
  endpoint->runs_known = true;
  endpoint->last_poll_sent_at_ms = sent_at_ms;
  endpoint->poll_due_at_ms = now_ms;
  for (size_t i = 0; i < result->active_count; i++)
    record_active_run (endpoint, &result->active[i], now_ms);
  remove_absent_foreign_runs (endpoint);
  apply_ended_runs (executor, endpoint, result, now_ms, actions);
  check_runs (executor, endpoint, result, sent_at_ms, now_ms, actions);
}
