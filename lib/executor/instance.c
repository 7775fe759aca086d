/* instance.c -- endpoints that start again under their ids */
#include "executor/instance.h"

#include "executor/leases.h"
#include "executor/table.h"

#include <string.h>

/* Clocks are read in whole milliseconds, and no endpoint starts again within this time. */
#define CLOCK_TOLERANCE_MS 10

/* The start order of TASK may be carried out by the instance that has just been seen. */
static void
stop_on_later_instance (task_t *task, int64_t now_ms)
{
  task_stop_anew (task, STOP_LATER_INSTANCE, now_ms);
  task->order_open_until_ms = task->start_sent_at_ms + ORDER_DELAY_MAX_MS;
}

void
endpoint_restarted (executor_t *executor, endpoint_t *endpoint, int64_t now_ms)
{
  open_orders_require_stops (endpoint->open_orders);
  for (guint i = endpoint->runs->len; i-- > 0;)
    {
      task_t *task = endpoint->runs->pdata[i];
      record_loss (executor, task, true, now_ms);
      if (task->order_open)
        stop_on_later_instance (task, now_ms);
      else
        task_requeue (executor, task, now_ms);
    }
  g_ptr_array_set_size (endpoint->foreign_runs, 0);
  endpoint->ack_number = 0;
  endpoint->ack_number_sent = 0;
  endpoint->ack_number_confirmed = 0;
  endpoint->ends_held = false;
  endpoint->runs_known = false;
  endpoint->clock_known = false;
  endpoint->clock_was_read = false;
  endpoint->later_clock_seen = false;
  endpoint->restart_suspected = false;
  endpoint->lease_end_ms = 0;
  endpoint->instance_leaving = false;
  endpoint->capacity = (capacity_t){ 0 };
}

void
endpoint_suspect_restart (endpoint_t *endpoint)
{
  endpoint->restart_suspected = true;
  open_orders_require_stops (endpoint->open_orders);
  endpoint_poll_again (endpoint);
}

void
endpoint_read_clock (endpoint_t *endpoint,
                     int64_t endpoint_clock_ms,
                     int64_t sent_at_ms,
                     int64_t now_ms)
{
  if (endpoint_clock_ms == 0)
    return;
  /* The clock was read after the call was sent and before its answer arrived. */
  endpoint->clock_offset_ms = endpoint_clock_ms - now_ms;
  endpoint->clock_offset_max_ms = endpoint_clock_ms - sent_at_ms;
  endpoint->clock_read_at_ms = now_ms;
  endpoint->clock_known = true;
  endpoint->clock_was_read = true;
}

instance_order_t
instance_of_answer (const endpoint_t *endpoint,
                    int64_t endpoint_clock_ms,
                    int64_t sent_at_ms,
                    int64_t now_ms)
{
  int64_t slack_ms = CLOCK_TOLERANCE_MS + clock_drift_ms (endpoint, now_ms);

  if (!endpoint->clock_was_read || endpoint_clock_ms == 0)
    return INSTANCE_KNOWN;
  /* The call was executed after it was sent and before its answer arrived. */
  if (endpoint_clock_ms - sent_at_ms + slack_ms < endpoint->clock_offset_ms)
    return INSTANCE_LATER;
  if (endpoint_clock_ms - now_ms - slack_ms > endpoint->clock_offset_max_ms)
    return INSTANCE_EARLIER;
  return INSTANCE_KNOWN;
}

instance_order_t
note_order_clock (endpoint_t *endpoint,
                  int64_t endpoint_clock_ms,
                  int64_t sent_at_ms,
                  int64_t now_ms)
{
  instance_order_t instance = instance_of_answer (endpoint, endpoint_clock_ms, sent_at_ms, now_ms);

  if (instance == INSTANCE_EARLIER)
    return instance;
  if (instance == INSTANCE_LATER)
    {
      endpoint->later_clock_seen = true;
      endpoint_suspect_restart (endpoint);
    }
  endpoint_read_clock (endpoint, endpoint_clock_ms, sent_at_ms, now_ms);
  return instance;
}

bool
is_later_instance (const endpoint_t *endpoint,
                   const poll_result_t *result,
                   int64_t sent_at_ms,
                   int64_t now_ms)
{
  if (result->started_at_ms != 0)
    return endpoint->started_at_ms != 0 && result->started_at_ms != endpoint->started_at_ms;
  return endpoint->later_clock_seen
         || instance_of_answer (endpoint, result->endpoint_clock_ms, sent_at_ms, now_ms)
                == INSTANCE_LATER;
}

bool
is_listed_active (const poll_result_t *result, const task_t *task)
{
  for (size_t i = 0; i < result->active_count; i++)
    if (result->active[i].attempt == task->attempt
        && strcmp (result->active[i].task, task->name) == 0)
      return true;
  return false;
}

static bool
is_listed_ended (const poll_result_t *result, const task_t *task)
{
  for (size_t i = 0; i < result->ended_count; i++)
    if (result->ended[i].attempt == task->attempt
        && strcmp (result->ended[i].task, task->name) == 0)
      return true;
  return false;
}

/* What has become of a run whose endpoint has started again. */
typedef enum
{
  RUN_WITH_EARLIER,  /* it was lost with the earlier instance */
  RUN_UNCONFIRMED,   /* its start order was not answered and may still be carried out */
  RUN_ACTIVE,        /* the later instance lists it as alive */
  RUN_ENDED,         /* the later instance lists its end */
  RUN_CONFIRMED,     /* the later instance has confirmed its start */
  RUN_LATE_CONFIRMED /* its start was confirmed after the poll had been sent */
} run_fate_t;

static const char *const fate_reasons[] = {
  [RUN_WITH_EARLIER] = "lost with the earlier instance",
  [RUN_UNCONFIRMED] = "stopped, as its start was not confirmed",
  [RUN_ACTIVE] = "listed as alive",
  [RUN_ENDED] = "listed as ended",
  [RUN_CONFIRMED] = "kept, as the later instance has confirmed its start",
  [RUN_LATE_CONFIRMED] = "kept, as its start was confirmed after the poll was sent",
};

static run_fate_t
fate_of_run (const task_t *task, const poll_result_t *result, int64_t sent_at_ms)
{
  if (is_listed_active (result, task))
    return RUN_ACTIVE;
  if (is_listed_ended (result, task))
    return RUN_ENDED;
  if (task->confirmed_by_later)
    return RUN_CONFIRMED;
  if (task->state == TASK_RUNNING && task->start_confirmed_at_ms > sent_at_ms)
    return RUN_LATE_CONFIRMED;
  return task->order_open ? RUN_UNCONFIRMED : RUN_WITH_EARLIER;
}

static void
log_restart (executor_t *executor,
             const endpoint_t *endpoint,
             const poll_result_t *result,
             int64_t now_ms,
             GArray *actions)
{
  bool entry_first =
      result->started_at_ms != 0 && result->started_at_ms == endpoint->entry_started_at_ms;
  executor_action_t *action =
      log_event (executor, actions, EXECUTOR_LOG_RESTARTED, endpoint, NULL, now_ms);

  if (endpoint->later_clock_seen)
    action->reason = "the clock in the answer to an order";
  else
    action->reason = entry_first ? "its entry" : "a poll";
}

/* The run of TASK is one of the later instance.  A stop that the earlier one has confirmed does not
 * hold there. */
static void
keep_run (executor_t *executor, task_t *task)
{
  task->order_open = false;
  task->confirmed_by_later = false;
  task->stop_confirmed = false;
  task->stop_sent_at_ms = 0;
  withdraw_loss (executor, task);
  task_detach (task);
}

void
handle_later_instance (executor_t *executor,
                       endpoint_t *endpoint,
                       const poll_result_t *result,
                       int64_t sent_at_ms,
                       int64_t now_ms,
                       GArray *actions)
{
  GPtrArray *kept = g_ptr_array_new ();
  int64_t lease_end_ms = endpoint->lease_end_ms;

  log_restart (executor, endpoint, result, now_ms, actions);
  for (guint i = endpoint->runs->len; i-- > 0;)
    {
      task_t *task = endpoint->runs->pdata[i];
      run_fate_t fate = fate_of_run (task, result, sent_at_ms);
      log_event (executor, actions, EXECUTOR_LOG_RUN_AT_RESTART, endpoint, task, now_ms)->reason =
          fate_reasons[fate];
      if (fate == RUN_WITH_EARLIER || fate == RUN_UNCONFIRMED)
        continue;
      keep_run (executor, task);
      g_ptr_array_add (kept, task);
    }
  endpoint_restarted (executor, endpoint, now_ms);
  if (result->started_at_ms != 0 && result->started_at_ms == endpoint->entry_started_at_ms)
    capacity_report (&endpoint->capacity, &endpoint->entry_capacity);
  for (guint i = 0; i < kept->len; i++)
    task_attach (kept->pdata[i], endpoint);
  if (kept->len > 0)
    endpoint->lease_end_ms =
        MAX (lease_end_ms, now_ms + executor_longest_lease_ms (executor->options.lease_ms));
  g_ptr_array_unref (kept);
}
