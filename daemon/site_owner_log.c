/* site_owner_log.c -- what owners log of their shards' tasks and endpoints */
#include "daemon/site_private.h"

#include "base/event.h"

/* The log event for each event of an executor, and which of its fields are written. */
static const struct
{
  event_t event;
  bool task;
  bool elapsed;
  bool expected;
  bool percent;
  bool coordinator;
} log_events[] = {
  [EXECUTOR_LOG_DONE] = { EVENT_TASK_DONE, true, true, true, false, true },
  [EXECUTOR_LOG_FAILED] = { EVENT_TASK_FAILED, true, true, false, false, true },
  [EXECUTOR_LOG_LEASE_EXPIRED] = { EVENT_TASK_LAPSED, true, true, false, false, true },
  [EXECUTOR_LOG_HUNG] = { EVENT_TASK_HUNG, true, true, false, true, true },
  [EXECUTOR_LOG_MOVED] = { EVENT_TASK_MOVED, true, true, false, true, true },
  [EXECUTOR_LOG_ABORTED] = { EVENT_TASK_CUT, true, true, true, true, true },
  [EXECUTOR_LOG_ADOPTED] = { EVENT_TASK_ADOPTED, true, false, false, false, false },
  [EXECUTOR_LOG_UNCLAIMED] = { EVENT_RUN_UNCLAIMED, true, true, false, false, false },
  [EXECUTOR_LOG_REFUSED] = { EVENT_ORDER_REFUSED, true, false, false, false, false },
  [EXECUTOR_LOG_UNANSWERED] = { EVENT_ORDER_UNANSWERED, true, false, false, false, false },
  [EXECUTOR_LOG_UNRESPONSIVE] = { EVENT_ENDPOINT_SILENT, false, false, false, false, false },
  [EXECUTOR_LOG_RESPONSIVE] = { EVENT_ENDPOINT_HEARD, false, false, false, false, false },
  [EXECUTOR_LOG_RESTARTED] = { EVENT_ENDPOINT_REBORN, false, false, false, false, false },
  [EXECUTOR_LOG_RUN_AT_RESTART] = { EVENT_RUN_AT_RESTART, true, true, false, false, false },
  [EXECUTOR_LOG_EJECTED] = { EVENT_ENDPOINT_EJECTED, false, false, false, false, false },
  [EXECUTOR_LOG_READMITTED] = { EVENT_ENDPOINT_READMITTED, false, false, false, false, false },
  [EXECUTOR_LOG_CRASHED] = { EVENT_TASK_CRASH_GIVEN_UP, false, false, false, false, false },
};

static const char *const stop_reasons[] = {
  [STOP_UNKNOWN] = "cancelled",
  [STOP_CALLER_LEFT] = "caller_left",
  [STOP_DEADLINE] = "deadline",
  [STOP_UNCONFIRMED] = "unconfirmed",
  [STOP_OTHER_HOST] = "other_host",
  [STOP_JOB_CANCELLED] = "job_cancelled",
  [STOP_JOB_FAILED] = "job_failed",
  [STOP_OWNER_LOST] = "owner_lost",
  [STOP_COORDINATOR_LOST] = "coordinator_lost",
  [STOP_OVERDUE] = "overdue",
  [STOP_HUNG] = "hung",
  [STOP_MOVED] = "moved",
  [STOP_DONE_BEFORE] = "done_before",
  [STOP_START_UNANSWERED] = "start_unanswered",
  [STOP_LATER_INSTANCE] = "later_instance",
  [STOP_UNCLAIMED] = "unclaimed",
};

static void
add_crash_counts (const executor_action_t *action)
{
  event_add_number ("lost", action->crashes.lost);
  event_add_number ("confirmed", action->crashes.confirmed);
}

void
owner_log_event (const executor_action_t *action)
{
  event_t event = log_events[action->log_event].event;

  metrics_count_task_event (event, action->elapsed_ms);
  if (!event_begin (event))
    return;
  if (event == EVENT_TASK_CRASH_GIVEN_UP)
    {
      event_add_text ("task", action->task);
      event_add_number ("attempt", action->attempt);
      add_crash_counts (action);
      event_end ();
      return;
    }
  event_add_text ("endpoint", action->endpoint);
  if (log_events[action->log_event].task)
    {
      event_add_text ("task", action->task);
      event_add_number ("attempt", action->attempt);
    }
  if (log_events[action->log_event].elapsed)
    event_add_number ("elapsed_ms", action->elapsed_ms);
  if (log_events[action->log_event].expected)
    event_add_number ("expected_ms", action->expected_ms);
  if (log_events[action->log_event].percent)
    event_add_number ("percent", action->progress_percent);
  if (log_events[action->log_event].coordinator)
    event_add_text ("coordinator", action->coordinator != NULL ? action->coordinator : "");
  if (event == EVENT_ENDPOINT_SILENT || event == EVENT_ENDPOINT_REBORN)
    event_add_number ("runs", action->count);
  if (event == EVENT_ENDPOINT_HEARD)
    event_add_number ("silent_ms", action->elapsed_ms);
  if (action->reason != NULL)
    event_add_text ("why", action->reason);
  event_end ();
}

void
owner_log_loss (const executor_action_t *action)
{
  static const event_t events[] = { [CRASH_SUSPECTED] = EVENT_TASK_CRASH_SUSPECTED,
                                    [CRASH_WITHDRAWN] = EVENT_TASK_CRASH_WITHDRAWN,
                                    [CRASH_CONFIRMED] = EVENT_TASK_CRASH_CONFIRMED };
  event_t event = events[action->loss.state];

  metrics_count_task_event (event, 0);
  if (!event_begin (event))
    return;
  event_add_text ("task", action->loss.task);
  event_add_text ("endpoint", action->loss.endpoint);
  add_crash_counts (action);
  event_end ();
}

void
owner_log_start (const executor_action_t *action)
{
  bool doubtful = action->expected_ms > action->remaining_ms;

  metrics_count_start (action->elapsed_ms, doubtful);
  if (!event_begin (doubtful ? EVENT_TASK_DOUBTFUL : EVENT_TASK_STARTED))
    return;
  event_add_text ("task", action->task);
  event_add_number ("attempt", action->attempt);
  event_add_text ("endpoint", action->endpoint);
  event_add_number ("expected_ms", action->expected_ms);
  event_add_number ("waited_ms", action->elapsed_ms);
  if (doubtful)
    {
      event_add_number ("least_ms", action->min_ms);
      event_add_number ("left_ms", action->remaining_ms);
    }
  event_add_text ("coordinator", action->coordinator);
  event_end ();
}

static void
log_stop (const executor_action_t *action)
{
  if (!event_begin (EVENT_STOP_ORDERED))
    return;
  event_add_text ("task", action->task);
  event_add_number ("attempt", action->attempt);
  event_add_text ("endpoint", action->endpoint);
  event_add_text ("why", stop_reasons[action->stop_reason]);
  event_add_number ("elapsed_ms", action->elapsed_ms);
  event_add_text ("coordinator", action->coordinator);
  event_end ();
}

void
owner_log_stops (const GArray *actions, int64_t now_ms)
{
  bool any = false;

  for (guint i = 0; i < actions->len; i++)
    {
      const executor_action_t *action = &g_array_index (actions, executor_action_t, i);
      if (action->kind != EXECUTOR_STOP || action->repeated)
        continue;
      log_stop (action);
      any = true;
    }
  if (any)
    event_flush (now_ms);
}

void
owner_log_waiting_task (const executor_action_t *action)
{
  bool expired = action->kind == EXECUTOR_EXPIRED;

  /* Tasks that a drain returns are counted and logged together, see returned_by_drain. */
  if (action->drained || (!expired && action->kind != EXECUTOR_RETURNED)
      || !event_begin (expired ? EVENT_TASK_EXPIRED : EVENT_TASK_RETURNED))
    return;
  event_add_text ("task", action->task);
  event_add_number ("waited_ms", action->elapsed_ms);
  if (expired)
    {
      event_add_number ("least_ms", action->expected_ms);
      event_add_number ("usable", action->count);
      event_add_number ("waiting", action->waiting_tasks);
    }
  event_end ();
}

void
owner_log_shard (event_t event, const char *shard, const char *why, int64_t token)
{
  if (!event_begin (event))
    return;
  event_add_text ("shard", shard);
  event_add_text ("why", why);
  if (event == EVENT_SHARD_CLAIMED)
    event_add_number ("token", token);
  event_end ();
}
