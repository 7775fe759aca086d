/* part_dispatch.c -- wires lib/dispatch to the host list, the shares and the job part
 *
 * Tasks that are added or end in one turn of the control thread are dealt with
 * in one round, posted to the next turn.  A round that leaves tasks of a new job
 * waiting asks for more shares, at most once per job and once in ASK_EVERY_MS.
 */
#include "daemon/part_dispatch.h"

#include "base/clock.h"
#include "base/log.h"
#include "daemon/dispatch_count.h"
#include "daemon/dispatch_limits.h"
#include "daemon/part_config.h"
#include "daemon/part_share.h"

#include <string.h>

#define ASK_EVERY_MS 25
/* Tasks that wait this long although more was asked for: there is no more. */
#define ALONE_AFTER_MS 300

typedef struct
{
  uint64_t ticket;
  const char *plan; /* interned: plans are few */
  char *kind;
  dispatch_start_t start;
  void *data;
  bool started;
} record_t;

typedef struct
{
  part_t base;
  part_t *share;
  dispatch_t *dispatch;
  dispatch_limits_t *limits;
  GPtrArray *hosts;    /* host_t of the last list */
  GHashTable *by_id;   /* endpoint id -> host_t of `hosts` */
  GHashTable *records; /* ticket -> record_t */
  GHashTable *demands; /* limit name -> demand told last */
  dispatch_given_up_t given_up;
  uint64_t last_ticket;
  bool round_posted;
  bool added; /* tasks have come since the last request for shares */
  int64_t asked_at_ms;
  int64_t waiting_since_ms; /* 0 while nothing waits */
} dispatch_part_t;

static void
record_free (void *data)
{
  record_t *record = data;

  g_free (record->kind);
  g_free (record);
}

static record_t *
find (dispatch_part_t *part, uint64_t ticket)
{
  return g_hash_table_lookup (part->records, &ticket);
}

/* Rounds. */

static void
mark_started (dispatch_part_t *part, const GArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    {
      const dispatch_action_t *action = &g_array_index (actions, dispatch_action_t, i);
      record_t *record = find (part, action->ticket);
      if (record != NULL && action->kind == DISPATCH_START)
        record->started = true;
    }
}

static void
give_up (dispatch_part_t *part, record_t *record)
{
  if (part->given_up == NULL)
    return;
  dispatch_count_given_up (record->plan, record->kind);
  uint64_t ticket = record->ticket;
  void *data = record->data;
  g_hash_table_remove (part->records, &ticket);
  part->given_up (ticket, data);
}

/* A callback may end or remove other tickets of the same list. */
static void
follow (dispatch_part_t *part, const GArray *actions)
{
  mark_started (part, actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const dispatch_action_t *action = &g_array_index (actions, dispatch_action_t, i);
      record_t *record = find (part, action->ticket);
      if (record == NULL)
        continue;
      if (action->kind == DISPATCH_GIVE_UP)
        give_up (part, record);
      else
        record->start (record->ticket, g_hash_table_lookup (part->by_id, action->endpoint),
                       record->data);
    }
}

static void
note_waiting (dispatch_part_t *part, int64_t now_ms)
{
  bool waits = dispatch_totals (part->dispatch).queued > 0;

  if (!waits)
    part->waiting_since_ms = 0;
  else if (part->waiting_since_ms == 0)
    part->waiting_since_ms = now_ms;
  dispatch_set_local_only (part->dispatch,
                           waits && now_ms - part->waiting_since_ms >= ALONE_AFTER_MS);
}

static void
ask_for_more (dispatch_part_t *part, int64_t now_ms)
{
  bool waits = dispatch_totals (part->dispatch).queued > 0;

  if (!waits)
    part->added = false;
  if (!part->added || now_ms - part->asked_at_ms < ASK_EVERY_MS)
    return;
  part->added = false;
  part->asked_at_ms = now_ms;
  dispatch_limits_demand (part->dispatch, part->share, part->demands, now_ms);
  part_share_ask (part->share, now_ms);
}

static void
run_round (dispatch_part_t *part, int64_t now_ms)
{
  const dispatch_event_t run = { .kind = DISPATCH_RUN };
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (dispatch_action_t));

  dispatch_step (part->dispatch, &run, now_ms, actions);
  follow (part, actions);
  g_array_unref (actions);
  note_waiting (part, now_ms);
  ask_for_more (part, now_ms);
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
on_grown (void *data)
{
  dispatch_part_t *part = data;
  const dispatch_event_t grown = { .kind = DISPATCH_LIMITS_RAISED };

  dispatch_step (part->dispatch, &grown, daemon_now_ms (part->base.daemon), NULL);
  post_round (part);
}

/* The list of hosts and the weights of plans. */

static bool
is_own_endpoint (const dispatch_part_t *part, const host_t *host)
{
  return host->role == HOST_ROLE_ENDPOINT
         && strcmp (host->data_centre, daemon_data_centre (part->base.daemon)) == 0;
}

static dispatch_endpoint_t
row_of (const host_t *host)
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
take_hosts (dispatch_part_t *part, GPtrArray *hosts, int64_t now_ms)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (dispatch_endpoint_t));

  g_hash_table_remove_all (part->by_id);
  g_clear_pointer (&part->hosts, g_ptr_array_unref);
  part->hosts = g_ptr_array_ref (hosts);
  for (guint i = 0; i < hosts->len; i++)
    {
      host_t *host = g_ptr_array_index (hosts, i);
      if (!is_own_endpoint (part, host))
        continue;
      dispatch_endpoint_t row = row_of (host);
      g_array_append_val (rows, row);
      g_hash_table_insert (part->by_id, host->id, host);
    }
  dispatch_set_endpoints (part->dispatch, (const dispatch_endpoint_t *) (void *) rows->data,
                          rows->len, now_ms);
  g_array_unref (rows);
}

static void
take_weight (const config_limit_t *limit, void *data)
{
  dispatch_set_weight (((dispatch_part_t *) data)->dispatch, limit->plan, MAX (limit->weight, 1));
}

static void
on_config (const config_t *config, GPtrArray *hosts, void *data)
{
  dispatch_part_t *part = data;

  if (hosts != NULL && hosts != part->hosts)
    take_hosts (part, hosts, daemon_now_ms (part->base.daemon));
  if (config != NULL)
    config_foreach_limit (config, take_weight, part);
  post_round (part);
}

/* What the job part calls. */

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
  dispatch_count_refused (task->plan, result);
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
  record_t *record = g_new0 (record_t, 1);
  dispatch_event_t event = { .kind = DISPATCH_ADD, .ticket = ++part->last_ticket, .task = task };

  record->ticket = event.ticket;
  record->plan = g_intern_string (task->plan);
  record->kind = g_strdup (task->kind);
  record->start = start;
  record->data = data;
  g_hash_table_insert (part->records, &record->ticket, record);
  part->added = true;
  dispatch_step (part->dispatch, &event, now_ms, NULL);
  post_round (part);
  return event.ticket;
}

void
part_dispatch_on_give_up (part_t *base, dispatch_given_up_t given_up)
{
  ((dispatch_part_t *) base)->given_up = given_up;
}

bool
part_dispatch_remove (part_t *base, uint64_t ticket)
{
  dispatch_part_t *part = (dispatch_part_t *) base;
  dispatch_event_t event = { .kind = DISPATCH_REMOVE, .ticket = ticket };
  const record_t *record = find (part, ticket);

  if (record == NULL || record->started)
    return false;
  dispatch_step (part->dispatch, &event, daemon_now_ms (base->daemon), NULL);
  g_hash_table_remove (part->records, &ticket);
  return true;
}

void
part_dispatch_ended (part_t *base,
                     uint64_t ticket,
                     dispatch_outcome_t outcome,
                     int64_t elapsed_us,
                     int64_t now_ms)
{
  dispatch_part_t *part = (dispatch_part_t *) base;
  record_t *record = find (part, ticket);
  dispatch_event_t event = {
    .kind = DISPATCH_ENDED, .ticket = ticket, .outcome = outcome, .elapsed_us = elapsed_us
  };

  if (record == NULL || !record->started)
    return;
  dispatch_count_end (record->plan, record->kind, outcome, elapsed_us);
  record->started = false;
  dispatch_limits_hold (part->limits, outcome == DISPATCH_CONNECTION_LOST);
  dispatch_step (part->dispatch, &event, now_ms, NULL);
  dispatch_limits_hold (part->limits, false);
  if (outcome != DISPATCH_NOT_STARTED)
    g_hash_table_remove (part->records, &ticket);
  post_round (part);
}

static void
dispatch_tick (part_t *base, int64_t now_ms)
{
  dispatch_part_t *part = (dispatch_part_t *) base;

  run_round (part, now_ms);
  dispatch_limits_demand (part->dispatch, part->share, part->demands, now_ms);
  dispatch_count_state (part->dispatch);
}

/* GET /v1/status. */

static void
add_timing (const char *kind, double mean_ms, double deviation_ms, void *data)
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
  dispatch_each_service_time (walk->part->dispatch, state->id, add_timing, kinds);
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
part_dispatch_new (daemon_t *daemon, part_t *config, part_t *share)
{
  dispatch_part_t *part = g_new0 (dispatch_part_t, 1);
  dispatch_options_t options = DISPATCH_OPTIONS_DEFAULT;

  options.seed = (uint32_t) daemon_incarnation (daemon);
  part->base.ops = &dispatch_ops;
  part->base.daemon = daemon;
  part->share = share;
  part->limits = dispatch_limits_new (share);
  part->dispatch = dispatch_new (&options, part->limits);
  part->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  part->records = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, record_free);
  part->demands = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  part_config_listen (config, on_config, part);
  part_share_listen (share, on_grown, part);
  daemon_add_part (daemon, &part->base);
  return &part->base;
}
