/* part_dispatch.c -- connects lib/dispatch to the host list, the quota part and the job part
 *
 * All tasks that are added or end in one turn of the event loop are handled in one
 * round, which is posted to the next turn.  If tasks of a new job are still waiting
 * after a round, the part requests more quota: at most once for each job and once
 * in REQUEST_INTERVAL_MS.
 */
#include "daemon/part_dispatch.h"

#include "base/clock.h"
#include "base/log.h"
#include "daemon/dispatch_metrics.h"
#include "daemon/dispatch_limits.h"
#include "daemon/part_config.h"
#include "daemon/part_quota.h"

#include <string.h>

#define REQUEST_INTERVAL_MS 25
/* If tasks have waited for this long although more quota was requested, none is expected to
 * come, and lib/dispatch is switched to local-only mode. */
#define LOCAL_ONLY_AFTER_MS 300

typedef struct
{
  uint64_t ticket;
  const char *plan; /* interned, since there are few plans */
  char *kind;
  dispatch_start_t start;
  void *data;
  bool started;
} tracked_task_t;

typedef struct
{
  part_t base;
  part_t *quota;
  dispatch_t *dispatch;
  dispatch_limits_t *limits;
  GPtrArray *hosts;             /* host_t of the current list */
  GHashTable *hosts_by_id;      /* endpoint id -> host_t in HOSTS */
  GHashTable *tasks_by_ticket;  /* ticket -> tracked_task_t */
  GHashTable *reported_demands; /* limit name -> last reported demand */
  dispatch_give_up_t on_give_up;
  uint64_t last_ticket;
  bool round_posted;
  bool tasks_added; /* tasks were added since the last request for quota */
  int64_t requested_at_ms;
  int64_t waiting_since_ms; /* 0 while no tasks wait */
} dispatch_part_t;

static void
tracked_task_free (void *data)
{
  tracked_task_t *tracked_task = data;

  g_free (tracked_task->kind);
  g_free (tracked_task);
}

static tracked_task_t *
find_task (dispatch_part_t *part, uint64_t ticket)
{
  return g_hash_table_lookup (part->tasks_by_ticket, &ticket);
}

/* --- rounds --- */

static void
mark_started (dispatch_part_t *part, const GArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const dispatch_action_t *action = &g_array_index (actions, dispatch_action_t, i);
      tracked_task_t *tracked_task = find_task (part, action->ticket);
      if (tracked_task != NULL && action->kind == DISPATCH_START)
        tracked_task->started = true;
    }
}

static void
give_up (dispatch_part_t *part, tracked_task_t *tracked_task)
{
  if (part->on_give_up == NULL)
    return;
  dispatch_metrics_task_given_up (tracked_task->plan, tracked_task->kind);
  uint64_t ticket = tracked_task->ticket;
  void *data = tracked_task->data;
  g_hash_table_remove (part->tasks_by_ticket, &ticket);
  part->on_give_up (ticket, data);
}

/* Looks up each ticket anew, because a callback may end or remove other tickets in ACTIONS. */
static void
run_actions (dispatch_part_t *part, const GArray *actions)
{
  mark_started (part, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const dispatch_action_t *action = &g_array_index (actions, dispatch_action_t, i);
      tracked_task_t *tracked_task = find_task (part, action->ticket);
      if (tracked_task == NULL)
        continue;
      if (action->kind == DISPATCH_GIVE_UP)
        give_up (part, tracked_task);
      else
        tracked_task->start (tracked_task->ticket,
                             g_hash_table_lookup (part->hosts_by_id, action->endpoint),
                             tracked_task->data);
    }
}

static void
update_local_only (dispatch_part_t *part, int64_t now_ms)
{
  bool has_waiting_tasks = dispatch_totals (part->dispatch).queued > 0;

  if (!has_waiting_tasks)
    part->waiting_since_ms = 0;
  else if (part->waiting_since_ms == 0)
    part->waiting_since_ms = now_ms;
  dispatch_set_local_only (
      part->dispatch, has_waiting_tasks && now_ms - part->waiting_since_ms >= LOCAL_ONLY_AFTER_MS);
}

static void
request_quota (dispatch_part_t *part, int64_t now_ms)
{
  bool has_waiting_tasks = dispatch_totals (part->dispatch).queued > 0;

  if (!has_waiting_tasks)
    part->tasks_added = false;
  if (!part->tasks_added || now_ms - part->requested_at_ms < REQUEST_INTERVAL_MS)
    return;
  part->tasks_added = false;
  part->requested_at_ms = now_ms;
  dispatch_limits_report_demand (part->dispatch, part->quota, part->reported_demands, now_ms);
  part_quota_request (part->quota, now_ms);
}

static void
run_round (dispatch_part_t *part, int64_t now_ms)
{
  const dispatch_event_t run = { .kind = DISPATCH_RUN };
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (dispatch_action_t));

  dispatch_step (part->dispatch, &run, now_ms, actions);
  run_actions (part, actions);
  g_array_unref (actions);
  update_local_only (part, now_ms);
  request_quota (part, now_ms);
}

static void
on_round (void *data)
{
  dispatch_part_t *part = data;

  part->round_posted = false;
  run_round (part, daemon_now_ms (part->base.daemon));
}

static void
post_round (dispatch_part_t *part)
{
  if (part->round_posted)
    return;
  part->round_posted = true;
  daemon_post (part->base.daemon, on_round, part);
}

static void
on_quota_raised (void *data)
{
  dispatch_part_t *part = data;
  const dispatch_event_t limits_raised = { .kind = DISPATCH_LIMITS_RAISED };

  dispatch_step (part->dispatch, &limits_raised, daemon_now_ms (part->base.daemon), NULL);
  post_round (part);
}

/* --- host list and configuration --- */

static bool
is_own_endpoint (const dispatch_part_t *part, const host_t *host)
{
  return host->role == HOST_ROLE_ENDPOINT
         && strcmp (host->data_centre, daemon_data_centre (part->base.daemon)) == 0;
}

static dispatch_endpoint_t
endpoint_from_host (const host_t *host)
{
  return (dispatch_endpoint_t){ .id = host->id,
                                .rack = host->rack,
                                .slots = host->slots,
                                .connections = host->connections,
                                .cores = host->cores,
                                .memory_mb = host->memory_mb,
                                .leaving = host->leaving };
}

static void
apply_hosts (dispatch_part_t *part, GPtrArray *hosts, int64_t now_ms)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (dispatch_endpoint_t));

  g_hash_table_remove_all (part->hosts_by_id);
  g_clear_pointer (&part->hosts, g_ptr_array_unref);
  part->hosts = g_ptr_array_ref (hosts);
  for (guint i = 0; i < hosts->len; i++)
    {
      host_t *host = g_ptr_array_index (hosts, i);
      if (!is_own_endpoint (part, host))
        continue;
      dispatch_endpoint_t row = endpoint_from_host (host);
      g_array_append_val (rows, row);
      g_hash_table_insert (part->hosts_by_id, host->id, host);
    }
  dispatch_set_endpoints (part->dispatch, (const dispatch_endpoint_t *) (void *) rows->data,
                          rows->len, now_ms);
  g_array_unref (rows);
}

static void
apply_weight (const config_limit_t *limit, void *data)
{
  dispatch_set_weight (((dispatch_part_t *) data)->dispatch, limit->plan, MAX (limit->weight, 1));
}

static void
on_config (const config_t *config, GPtrArray *hosts, void *data)
{
  dispatch_part_t *part = data;

  if (hosts != NULL && hosts != part->hosts)
    apply_hosts (part, hosts, daemon_now_ms (part->base.daemon));
  if (config != NULL)
    config_foreach_limit (config, apply_weight, part);
  post_round (part);
}

/* --- interface for the job part --- */

int
part_dispatch_admit (part_t *base,
                     const dispatch_task_t *task,
                     int32_t count,
                     int64_t now_ms,
                     int64_t *retry_at_ms)
{
  dispatch_part_t *part = (dispatch_part_t *) base;
  int64_t retry_boot_ms = now_ms;
  int result = dispatch_admit (part->dispatch, task, count, now_ms, &retry_boot_ms);

  if (result == 0)
    return 0;
  *retry_at_ms = clock_wall_ms () + retry_boot_ms - now_ms;
  dispatch_metrics_job_refused (task->plan, result);
  return result;
}

uint64_t
part_dispatch_add (part_t *base,
                   const dispatch_task_t *task,
                   dispatch_start_t start,
                   void *data,
                   int64_t now_ms)
{
  dispatch_part_t *part = (dispatch_part_t *) base;
  tracked_task_t *tracked_task = g_new0 (tracked_task_t, 1);
  dispatch_event_t event = { .kind = DISPATCH_ADD, .ticket = ++part->last_ticket, .task = task };

  tracked_task->ticket = event.ticket;
  tracked_task->plan = g_intern_string (task->plan);
  tracked_task->kind = g_strdup (task->kind);
  tracked_task->start = start;
  tracked_task->data = data;
  g_hash_table_insert (part->tasks_by_ticket, &tracked_task->ticket, tracked_task);
  part->tasks_added = true;
  dispatch_step (part->dispatch, &event, now_ms, NULL);
  post_round (part);
  return event.ticket;
}

void
part_dispatch_set_give_up_handler (part_t *base, dispatch_give_up_t on_give_up)
{
  ((dispatch_part_t *) base)->on_give_up = on_give_up;
}

bool
part_dispatch_remove (part_t *base, uint64_t ticket)
{
  dispatch_part_t *part = (dispatch_part_t *) base;
  dispatch_event_t event = { .kind = DISPATCH_REMOVE, .ticket = ticket };
  const tracked_task_t *tracked_task = find_task (part, ticket);

  if (tracked_task == NULL || tracked_task->started)
    return false;
  dispatch_step (part->dispatch, &event, daemon_now_ms (base->daemon), NULL);
  g_hash_table_remove (part->tasks_by_ticket, &ticket);
  return true;
}

void
part_dispatch_report_end (part_t *base,
                          uint64_t ticket,
                          dispatch_outcome_t outcome,
                          int64_t elapsed_us,
                          int64_t now_ms)
{
  dispatch_part_t *part = (dispatch_part_t *) base;
  tracked_task_t *tracked_task = find_task (part, ticket);
  dispatch_event_t event = {
    .kind = DISPATCH_ENDED, .ticket = ticket, .outcome = outcome, .elapsed_us = elapsed_us
  };

  if (tracked_task == NULL || !tracked_task->started)
    return;
  dispatch_metrics_task_ended (tracked_task->plan, tracked_task->kind, outcome, elapsed_us);
  tracked_task->started = false;
  dispatch_limits_retain_released (part->limits, outcome == DISPATCH_CONNECTION_LOST);
  dispatch_step (part->dispatch, &event, now_ms, NULL);
  dispatch_limits_retain_released (part->limits, false);
  if (outcome != DISPATCH_NOT_STARTED)
    g_hash_table_remove (part->tasks_by_ticket, &ticket);
  post_round (part);
}

static void
dispatch_tick (part_t *base, int64_t now_ms)
{
  dispatch_part_t *part = (dispatch_part_t *) base;

  run_round (part, now_ms);
  dispatch_limits_report_demand (part->dispatch, part->quota, part->reported_demands, now_ms);
  dispatch_metrics_set_gauges (part->dispatch);
}

/* --- GET /v1/status --- */

static void
add_service_time (const char *kind, double mean_ms, double deviation_ms, void *data)
{
  json_object *row = json_object_new_object ();

  json_object_object_add (row, "mean_ms", json_object_new_int64 ((int64_t) (mean_ms + 0.5)));
  json_object_object_add (row, "deviation_ms",
                          json_object_new_int64 ((int64_t) (deviation_ms + 0.5)));
  json_object_object_add (data, kind, row);
}

typedef struct
{
  dispatch_part_t *part;
  json_object *rows;
} status_walk_t;

static const char *
state_name (const dispatch_endpoint_state_t *state)
{
  if (state->leaving)
    return "leaving";
  if (state->ejected)
    return "ejected";
  if (state->silent)
    return "silent";
  return state->unreachable ? "unreachable" : "live";
}

static void
add_endpoint (const dispatch_endpoint_state_t *state, void *data)
{
  status_walk_t *walk = data;
  json_object *row = json_object_new_object ();
  json_object *kinds = json_object_new_object ();

  json_object_object_add (row, "id", json_object_new_string (state->id));
  json_object_object_add (row, "state", json_object_new_string (state_name (state)));
  json_object_object_add (row, "ejected", json_object_new_boolean (state->ejected));
  json_object_object_add (row, "slots", json_object_new_int (state->slots));
  json_object_object_add (row, "in_flight_here", json_object_new_int (state->running));
  dispatch_each_service_time (walk->part->dispatch, state->id, add_service_time, kinds);
  json_object_object_add (row, "measured", kinds);
  json_object_array_add (walk->rows, row);
}

static void
add_queue (const dispatch_plan_state_t *state, void *data)
{
  json_object *row = json_object_new_object ();

  json_object_object_add (row, "queued", json_object_new_int64 (state->queued));
  json_object_object_add (row, "running", json_object_new_int64 (state->running));
  json_object_object_add (row, "at_running_max", json_object_new_boolean (state->at_running_max));
  json_object_object_add (row, "at_starts_max", json_object_new_boolean (state->at_starts_max));
  json_object_object_add (data, state->plan, row);
}

static void
dispatch_status (part_t *base, json_object *status)
{
  dispatch_part_t *part = (dispatch_part_t *) base;
  status_walk_t walk = { part, json_object_new_array () };
  json_object *queues = json_object_new_object ();

  dispatch_each_endpoint (part->dispatch, daemon_now_ms (base->daemon), add_endpoint, &walk);
  json_object_object_add (status, "endpoints", walk.rows);
  dispatch_each_plan (part->dispatch, add_queue, queues);
  json_object_object_add (status, "queues", queues);
}

static const part_ops_t dispatch_ops = { .name = "dispatch",
                                         .tick = dispatch_tick,
                                         .status = dispatch_status };

part_t *
part_dispatch_new (daemon_t *daemon, part_t *config, part_t *quota)
{
  dispatch_part_t *part = g_new0 (dispatch_part_t, 1);
  dispatch_options_t options = DISPATCH_OPTIONS_DEFAULT;

  options.seed = (uint32_t) daemon_incarnation (daemon);
  part->base.ops = &dispatch_ops;
  part->base.daemon = daemon;
  part->quota = quota;
  part->limits = dispatch_limits_new (quota);
  part->dispatch = dispatch_new (&options, part->limits);
  part->hosts_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  part->tasks_by_ticket =
      g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, tracked_task_free);
  part->reported_demands = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  part_config_add_listener (config, on_config, part);
  part_quota_set_listener (quota, on_quota_raised, part);
  daemon_add_part (daemon, &part->base);
  return &part->base;
}
