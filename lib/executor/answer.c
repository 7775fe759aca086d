/* answer.c -- handling of endpoints' answers to start and stop orders */
#include "executor/answer.h"

#include "executor/instance.h"
#include "executor/table.h"

#include <string.h>

/* More than all owners of a job number under one coordinator. */
#define ATTEMPTS_SKIPPED 32768
/* An endpoint that has refused a task for lack of resources gets no more tasks for this time. */
#define FULL_BACKOFF_MS 20
/* An endpoint that reports itself as unhealthy gets no task for this time. */
#define UNHEALTHY_BACKOFF_MS 300
/* A task whose start order was rejected as malformed this often is given up. */
#define ORDER_REJECTIONS_MAX 3

void
record_answer (executor_t *executor, endpoint_t *endpoint, int64_t now_ms, GArray *actions)
{
  if (endpoint->unanswered_calls >= UNRESPONSIVE_CALLS)
    log_event (executor, actions, EXECUTOR_LOG_RESPONSIVE, endpoint, NULL, now_ms)->elapsed_ms =
        now_ms - endpoint->unanswered_since_ms;
  endpoint->unanswered_since_ms = 0;
  endpoint->unanswered_calls = 0;
}

void
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

void
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

  if (call == NULL)
    return NULL;
  g_hash_table_steal (executor->calls, &serial);
  if (call->is_start)
    order_window_record_end (&executor->order_window);
  if (call->timed)
    order_window_record_call_end (&executor->order_window);
  return call;
}

void
time_answer (executor_t *executor, uint64_t serial, int64_t now_ms)
{
  const call_t *call = g_hash_table_lookup (executor->calls, &serial);

  if (call != NULL && call->timed)
    order_window_record_answer (&executor->order_window, serial, call->sent_at_ms, now_ms);
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

bool
take_call_context (executor_t *executor, uint64_t serial, call_context_t *context)
{
  call_t *call = take_call (executor, serial);

  action_strings_clear (executor);
  if (call == NULL)
    return false;
  *context =
      (call_context_t){ endpoint_find (executor, call->endpoint), task_of_call (executor, call),
                        call->token_generation, call->sent_at_ms };
  free_call (call);
  return context->endpoint != NULL;
}

void
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

void
avoid_endpoint (task_t *task, const endpoint_t *endpoint)
{
  g_free (task->avoid_endpoint_id);
  task->avoid_endpoint_id = g_strdup (endpoint->id);
}

static const char *const failure_reasons[] = {
  [TASK_FAILURE_UNKNOWN] = "",
  [TASK_FAILURE_ATTEMPTS] = "failed the maximum number of attempts",
  [TASK_FAILURE_CRASHES] = "endpoints crashed under it",
  [TASK_FAILURE_REJECTED] = "endpoints rejected its start order as malformed",
};

void
fail_task (executor_t *executor, task_t *task, task_failure_cause_t cause, GArray *actions)
{
  batch_t *batch = task->batch;
  /* A rejected order is no failure, even if the coordinator does not learn the cause. */
  executor_action_kind_t kind = cause == TASK_FAILURE_REJECTED ? EXECUTOR_OVERDUE : EXECUTOR_FAILED;
  executor_action_t *action =
      notify_coordinator (executor, actions, kind, task, failure_reasons[cause]);

  if (action != NULL)
    {
      action->failure = (task_failure_t){ cause, task->attempt, task->failures, batch->attempts_max,
                                          crash_history_counts (executor->crashes, task->name) };
      g_array_index (batch->sent_ends, task_outcome_t, batch->sent_ends->len - 1).failure =
          action->failure;
    }
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

/* A refused connection counts as EXECUTOR_UNHEALTHY, without a clock: nothing was done, but nobody
 * may be there. */
static bool
comes_from_endpoint (executor_answer_t answer, int64_t endpoint_clock_ms)
{
  if (answer == EXECUTOR_UNHEALTHY)
    return endpoint_clock_ms != 0;
  return answer != EXECUTOR_NO_ANSWER && answer != EXECUTOR_INSTANCE_GONE;
}

/* The endpoint has had a higher attempt of TASK than its present one: of a request of the job that
 * another coordinator had.  The next one is higher by more than owners number under one
 * coordinator, and different from all of theirs. */
static void
skip_attempts (task_t *task)
{
  if (task->highest_attempt < INT32_MAX - 2 * ATTEMPTS_SKIPPED)
    task->highest_attempt += ATTEMPTS_SKIPPED;
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
  instance_order_t instance = INSTANCE_KNOWN;

  record_open_order_answer (executor, serial, answer);
  if (comes_from_endpoint (answer, endpoint_clock_ms))
    time_answer (executor, serial, now_ms);
  if (!take_call_context (executor, serial, &context))
    return;
  endpoint_t *endpoint = context.endpoint;
  task_t *task = context.task;
  if (comes_from_endpoint (answer, endpoint_clock_ms))
    {
      record_answer (executor, endpoint, now_ms, actions);
      instance = note_order_clock (endpoint, endpoint_clock_ms, context.sent_at_ms, now_ms);
    }
  if (task == NULL)
    return;
  task->order_open = task->order_open && answer == EXECUTOR_NO_ANSWER;
  switch (answer)
    {
    case EXECUTOR_OK:
      task->confirmed_by_later = endpoint->later_clock_seen && instance != INSTANCE_EARLIER;
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
      if (++task->rejections >= ORDER_REJECTIONS_MAX)
        {
          fail_task (executor, task, TASK_FAILURE_REJECTED, actions);
          return;
        }
      avoid_endpoint (task, endpoint);
      break;
    case EXECUTOR_OLD_ATTEMPT:
      /* That attempt may be alive; the next poll shows it. */
      if (task->state == TASK_STARTING)
        {
          skip_attempts (task);
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

/* The instance that has answered will not start the attempt that the call has stopped.  If it has
 * started it before, only a poll from now on shows when that run is over.  Returns false if an
 * earlier instance than the present one has answered, of which that says nothing. */
static bool
record_open_order_stopped (const executor_t *executor,
                           uint64_t serial,
                           int64_t endpoint_clock_ms,
                           int64_t now_ms)
{
  endpoint_t *endpoint = NULL;
  const call_t *call = find_call (executor, serial, &endpoint);

  if (call == NULL)
    return true;
  if (instance_of_answer (endpoint, endpoint_clock_ms, call->sent_at_ms, now_ms)
      == INSTANCE_EARLIER)
    return false;
  if (open_orders_stopped (endpoint->open_orders, call->task, call->attempt))
    endpoint_poll_again (endpoint);
  return true;
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
  bool stopped = answer == EXECUTOR_OK
                 && record_open_order_stopped (executor, serial, endpoint_clock_ms, now_ms);

  if (comes_from_endpoint (answer, endpoint_clock_ms))
    time_answer (executor, serial, now_ms);
  if (!take_call_context (executor, serial, &context))
    return;
  endpoint_t *endpoint = context.endpoint;
  task_t *task = context.task;
  if (answer == EXECUTOR_NO_ANSWER || answer == EXECUTOR_INSTANCE_GONE)
    {
      record_no_answer (executor, endpoint, now_ms, now_ms, actions);
      return;
    }
  record_answer (executor, endpoint, now_ms, actions);
  note_order_clock (endpoint, endpoint_clock_ms, context.sent_at_ms, now_ms);
  if (answer == EXECUTOR_STALE_TOKEN)
    mark_fenced (endpoint, context.token_generation, actions);
  if (stopped && task != NULL && task->state == TASK_STOPPING)
    {
      task->stop_confirmed = true;
      task->stop_sent_at_ms = now_ms;
    }
  endpoint->poll_due_at_ms = now_ms;
}
