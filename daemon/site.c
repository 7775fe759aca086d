/* site.c -- jaytraild on the users' machines: one loop that serves callers and owns endpoints
 *
 * Events change the state of the libraries; pump_now () then carries out what they ask for,
 * until nothing is left, once for all events that were ready together.  Actions point into the library that made them, so they are
 * carried out before that library is called again.
 */
#include "daemon/site.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/log.h"
#include "crew/crew_msg.h"
#include "daemon/site_private.h"
#include "daemon/version.h"

#include <signal.h>
#include <string.h>

#define PART "site"
#define TICK_MS 5
/* A gap between ticks beyond this means that the process stood still. */
#define STILL_MS 400
#define PULL_EVERY_MS 150
/* Shards without an owner are probed this often, at one of so many endpoints. */
#define PROBE_EVERY_MS 200
#define PROBE_ONE_OF 8
/* From the signal to stop: the balancer notices within this time. */
#define NOTICED_MS 2600
/* Left for the exit itself before the kill. */
#define EXIT_SLACK_MS 500

#define NUMBER(buffer, value)                                                                      \
  (g_snprintf (buffer, sizeof (buffer), "%" G_GINT64_FORMAT, (int64_t) (value)), (buffer))

/* --- jobs --- */

static const char *const outcome_names[] = {
  [FLOW_COMPLETE] = "complete",
  [FLOW_FAILED] = "failed",
  [FLOW_REFUSED] = "refused",
  [FLOW_GIVEN_UP] = "given_up",
};

static void
run_flow_action (site_t *site, flow_action_t *action)
{
  int64_t now_ms = clock_boot_ms ();
  bool local = action->host == site->host;
  char labels[64];

  switch (action->kind)
    {
    case FLOW_SUBMIT:
      action->batch.coordinator = site->host;
      if (local)
        owner_submit (site, action->shard, &action->batch);
      else
        peers_send (site, action->host, fleet_msg_submit (action->shard, &action->batch, now_ms));
      g_array_unref (action->indexes);
      break;
    case FLOW_CANCEL:
      if (!local)
        peers_send (site, action->host, fleet_msg_cancel (action->number));
      else
        {
          bool never = owner_cancel (site, site->host, action->number);
          flow_cancelled (site->flow, site->host, action->number, never, now_ms,
                          site->flow_actions);
        }
      break;
    case FLOW_ANSWER:
    default:
      g_snprintf (labels, sizeof labels, "outcome=\"%s\"", outcome_names[action->outcome]);
      counter_add (counter_get ("jaytrail_jobs_total", labels), 1);
      door_answer (action->user, action);
      break;
    }
}

void
site_run_flow_actions (site_t *site)
{
  /* Grows while it is read: each action is copied first. */
  for (guint i = 0; i < site->flow_actions->len; i++)
    {
      flow_action_t action = g_array_index (site->flow_actions, flow_action_t, i);
      run_flow_action (site, &action);
    }
  g_array_set_size (site->flow_actions, 0);
}

static const queues_t *
queues_of (void *user)
{
  return ((site_t *) user)->queues;
}

static uint64_t
submit_job (const flow_job_t *job, void *user)
{
  site_t *site = user;

  uint64_t number = flow_submit (site->flow, job, clock_boot_ms (), site->flow_actions);
  /* What is to be sent points into the flow, and must be sent before its next event. */
  site_run_flow_actions (site);
  site_pump (site);
  return number;
}

static void
abandon_job (uint64_t job, void *user)
{
  site_t *site = user;

  flow_abandon (site->flow, job, clock_boot_ms (), site->flow_actions);
  site_run_flow_actions (site);
  site_pump (site);
}

static bool
cancel_job (const char *id, void *user)
{
  (void) id;
  (void) user;
  return false;
}

static bool
is_ready (void *user)
{
  const site_t *site = user;

  return !site->leaving && site->queues != NULL && flow_has_offers (site->flow);
}

static char *
metrics (void *user)
{
  GString *text = g_string_new (NULL);

  (void) user;
  counter_print (text);
  return g_string_free (text, FALSE);
}

static const door_ops_t door_ops = {
  queues_of, submit_job, abandon_job, cancel_job, is_ready, metrics,
};

/* --- what the platform tells --- */

bool
site_take_config (site_t *site, const char *data, size_t size, const char *from)
{
  queues_t *queues = NULL;
  char number[32];

  if (decode_queues (data, size, &queues) != 0)
    {
      log_warning (PART, "Configuration not understood.", "from", from, NULL);
      return false;
    }
  if (site->queues != NULL && queues->version <= site->queues->version)
    {
      queues_free (queues);
      return false;
    }
  queues_free (site->queues);
  site->queues = queues;
  g_clear_pointer (&site->queues_data, g_bytes_unref);
  site->queues_data = g_bytes_new (data, size);
  door_configured (site->door);
  log_info (PART, "Configuration in force.", "version", NUMBER (number, queues->version), "from",
            from, NULL);
  return true;
}

static void
on_config (const char *data, size_t size, void *user)
{
  site_t *site = user;

  if (site_take_config (site, data, size, "platform"))
    peers_beat (site, clock_boot_ms (), true);
}

static void
on_entry (const decode_entry_t *entry, void *user)
{
  site_t *site = user;
  const decode_entry_t *before = g_hash_table_lookup (site->directory, entry->endpoint.id);

  if (before != NULL && before->endpoint.born_at_ms > entry->endpoint.born_at_ms)
    return;
  if (before != NULL && before->endpoint.born_at_ms == entry->endpoint.born_at_ms
      && before->sequence > entry->sequence)
    return;
  decode_entry_t *copy = g_new0 (decode_entry_t, 1);
  decode_entry_copy (copy, entry);
  /* What was free when nothing ran is the whole room. */
  if (before != NULL && before->endpoint.born_at_ms == entry->endpoint.born_at_ms)
    {
      room_t *free = &copy->endpoint.free;
      free->cores_milli = MAX (free->cores_milli, before->endpoint.free.cores_milli);
      free->memory_mb = MAX (free->memory_mb, before->endpoint.free.memory_mb);
      free->gpus = MAX (free->gpus, before->endpoint.free.gpus);
    }
  g_hash_table_replace (site->directory, (void *) copy->endpoint.id, copy);
  crew_add_shard (site->crew, copy->data_centre);
  owner_entry (site, copy);
}

static void
on_gone (const char *id, void *user)
{
  site_t *site = user;
  const decode_entry_t *entry = g_hash_table_lookup (site->directory, id);

  if (entry == NULL)
    return;
  log_info (PART, "Endpoint gone.", "endpoint", id, NULL);
  owner_gone (site, id, entry->data_centre);
  g_hash_table_remove (site->directory, id);
}

static void
on_peer (const char *address, void *user)
{
  net_add_address (((site_t *) user)->net, address, NULL, false);
}

static void
on_reachable (bool reachable, void *user)
{
  site_t *site = user;

  site->store_reachable = reachable;
  log_warning (PART, reachable ? "Platform's log regained." : "Platform's log lost.", NULL);
}

static const store_ops_t store_ops = { on_config, on_entry, on_gone, on_peer, on_reachable };

static void
free_entry (void *data)
{
  decode_entry_clear (data);
  g_free (data);
}

/* --- the crew --- */

static void
run_crew_action (site_t *site, const crew_action_t *action, int64_t now_ms)
{
  char number[32];

  switch (action->kind)
    {
    case CREW_CLAIMED:
      owner_claimed (site, action->shard, action->token);
      peers_beat (site, now_ms, true);
      break;
    case CREW_YIELDED:
      owner_yielded (site, action->shard);
      peers_beat (site, now_ms, true);
      break;
    case CREW_OWNER:
      log_info (PART, "Owner of a shard.", "shard", action->shard, "host",
                action->host != NULL ? action->host : "none", "token",
                NUMBER (number, action->token), NULL);
      flow_owner (site->flow, action->shard, action->host, action->token, now_ms,
                  site->flow_actions);
      site_run_flow_actions (site);
      break;
    case CREW_LOST:
      log_warning (PART, "Host lost.", "host", action->host, "why", action->reason, "silent_ms",
                   NUMBER (number, now_ms - action->heard_at_ms), NULL);
      owner_drop_coordinator (site, action->host);
      peers_send (site, action->host, fleet_msg_dropped ());
      flow_host_lost (site->flow, action->host, action->heard_at_ms, now_ms, site->flow_actions);
      site_run_flow_actions (site);
      break;
    case CREW_FOUND:
    default:
      log_info (PART, "Host found.", "host", action->host, NULL);
      break;
    }
}

static bool
run_crew_actions (site_t *site, int64_t now_ms)
{
  bool any = site->crew_actions->len > 0;

  for (guint i = 0; i < site->crew_actions->len; i++)
    {
      crew_action_t action = g_array_index (site->crew_actions, crew_action_t, i);
      run_crew_action (site, &action, now_ms);
    }
  g_array_set_size (site->crew_actions, 0);
  return any;
}

/* --- the pump --- */

static void
tell_local (site_t *site, const fleet_end_t *end)
{
  static const flow_task_end_t ends_of[] = {
    [FLEET_DONE] = FLOW_TASK_DONE,
    [FLEET_FAILED] = FLOW_TASK_FAILED,
    [FLEET_RETURNED] = FLOW_TASK_RETURNED,
    [FLEET_EXPIRED] = FLOW_TASK_EXPIRED,
  };

  flow_task_ended (site->flow, site->host, end->batch, end->index, ends_of[end->how],
                   clock_boot_ms (), site->flow_actions);
  site_run_flow_actions (site);
}

/* Tells ends to their coordinators, one frame for each host. */
static bool
tell_ends (site_t *site)
{
  GArray *ends = site->ends;

  if (ends->len == 0)
    return false;
  site->ends = g_array_new (FALSE, FALSE, sizeof (told_end_t));
  for (guint i = 0; i < ends->len; i++)
    {
      const char *coordinator = g_array_index (ends, told_end_t, i).coordinator;
      if (coordinator == NULL)
        continue;
      GArray *batch = g_array_new (FALSE, FALSE, sizeof (fleet_end_t));
      for (guint k = i; k < ends->len; k++)
        {
          told_end_t *told = &g_array_index (ends, told_end_t, k);
          if (told->coordinator != coordinator)
            continue;
          told->coordinator = NULL;
          if (coordinator == site->host)
            tell_local (site, &told->end);
          else
            g_array_append_val (batch, told->end);
        }
      if (batch->len > 0)
        peers_send (site, coordinator,
                    fleet_msg_ends ((const fleet_end_t *) (void *) batch->data, batch->len));
      g_array_unref (batch);
    }
  g_array_unref (ends);
  return true;
}

static void
pump_now (void *data)
{
  site_t *site = data;
  bool more = true;

  while (more)
    {
      more = run_crew_actions (site, clock_boot_ms ());
      more |= site->flow_actions->len > 0;
      site_run_flow_actions (site);
      more |= owner_rounds (site, false);
      more |= tell_ends (site);
    }
}

void
site_pump (site_t *site)
{
  loop_later (site->loop);
}

/* --- time --- */

static void
pull_config (site_t *site, int64_t now_ms)
{
  if (now_ms < site->pull_due_ms)
    return;
  site->pull_due_ms = now_ms + PULL_EVERY_MS;
  const char *host =
      crew_with_config (site->crew, site->queues != NULL ? site->queues->version : 0, now_ms);
  if (host != NULL)
    peers_send (site, host, crew_msg_config_pull ());
}

static void
on_probed (const char *shard, void *user)
{
  site_t *site = user;

  crew_reached (site->crew, shard, clock_boot_ms ());
}

/* Asks one endpoint of each shard without an owner whether it can be reached. */
static void
probe_orphans (site_t *site, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  if (now_ms < site->probe_due_ms)
    return;
  site->probe_due_ms = now_ms + PROBE_EVERY_MS;
  g_hash_table_iter_init (&iter, site->directory);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const decode_entry_t *entry = value;
      if (!crew_wants_probe (site->crew, entry->data_centre)
          || g_random_int_range (0, PROBE_ONE_OF) != 0)
        continue;
      orders_probe (site->client, entry->endpoint.address, g_intern_string (entry->data_centre),
                    on_probed, site, now_ms);
    }
}

/* Stops once what was taken is answered and the balancer has noticed. */
static void
stop_if_done (site_t *site, int64_t now_ms)
{
  int64_t since_ms = now_ms - site->leaving_from_ms;
  bool owns = g_hash_table_size (site->owned) > 0 && crew_hosts (site->crew, now_ms) > 1;

  if (since_ms > site->settings->grace_ms - EXIT_SLACK_MS
      || (since_ms > NOTICED_MS && door_is_idle (site->door) && !owns))
    loop_stop (site->loop);
}

static void
on_tick (void *data)
{
  site_t *site = data;
  int64_t now_ms = clock_boot_ms ();

  if (site->ticked_at_ms != 0 && now_ms - site->ticked_at_ms > STILL_MS)
    {
      char number[32];
      log_warning (PART, "Stood still.", "for_ms", NUMBER (number, now_ms - site->ticked_at_ms),
                   NULL);
      crew_thawed (site->crew, now_ms, site->crew_actions);
      flow_give_up_all (site->flow, "this host stood still", now_ms, site->flow_actions);
      site_run_flow_actions (site);
    }
  site->ticked_at_ms = now_ms;
  crew_set_ready (site->crew, site->queues != NULL && store_is_listed (site->store));
  webclient_tick (site->client, now_ms);
  door_tick (site->door, now_ms);
  store_tick (site->store, now_ms);
  crew_step (site->crew, now_ms, clock_wall_ms (), site->crew_actions);
  flow_step (site->flow, now_ms, site->flow_actions);
  site_run_flow_actions (site);
  owner_rounds (site, true);
  pump_now (site);
  owner_tell_offers (site, now_ms);
  peers_beat (site, now_ms, false);
  pull_config (site, now_ms);
  probe_orphans (site, now_ms);
  if (site->leaving)
    stop_if_done (site, now_ms);
}

static void
on_terminate (void *data)
{
  site_t *site = data;

  if (site->leaving)
    return;
  log_info (PART, "Stopping.", NULL);
  site->leaving = true;
  site->leaving_from_ms = clock_boot_ms ();
  crew_leave (site->crew);
  door_drain (site->door);
  peers_beat (site, site->leaving_from_ms, true);
}

/* The settings that may change while the process runs are read at its start only; the
 * addresses and names of a host stay. */
static void
on_hangup (void *data)
{
  (void) data;
  log_info (PART, "Settings changed; nothing that is in use has to follow.", NULL);
}

int
site_run (const platform_settings_t *settings)
{
  site_t *site = g_new0 (site_t, 1);
  int64_t now_ms = clock_boot_ms ();

  signal (SIGPIPE, SIG_IGN);
  site->settings = settings;
  site->host = g_intern_string (settings->host);
  site->incarnation = (uint64_t) clock_wall_ms () << 16 | g_random_int_range (0, 1 << 16);
  site->loop = loop_new (TICK_MS, on_tick, site);
  loop_set_later (site->loop, pump_now);
  site->client = webclient_new (site->loop);
  crew_options_t crew = { settings->host, settings->data_centre, site->incarnation,
                          settings->power };
  site->crew = crew_new (&crew, now_ms);
  flow_options_t flow = { settings->host, settings->data_centre, settings->lease_ms };
  site->flow = flow_new (&flow);
  site->owned = g_hash_table_new_full (NULL, NULL, NULL, owner_free);
  site->directory = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
  site->connected = g_hash_table_new (NULL, NULL);
  site->crew_actions = g_array_new (FALSE, FALSE, sizeof (crew_action_t));
  site->flow_actions = g_array_new (FALSE, FALSE, sizeof (flow_action_t));
  site->elsewhere = g_array_new (FALSE, FALSE, sizeof (fleet_offer_t));
  site->ends = g_array_new (FALSE, FALSE, sizeof (told_end_t));
  door_options_t door = { settings->caller_listen, settings->ready_listen, &door_ops, site };
  int result = door_open (site->loop, &door, &site->door);
  if (result == 0)
    result = peers_start (site);
  if (result != 0)
    return result;
  store_options_t store = { settings->store, settings->host, settings->peer_listen, &store_ops,
                            site };
  site->store = store_new (site->client, &store, now_ms);
  loop_on_signal (site->loop, SIGTERM, on_terminate, site);
  loop_on_signal (site->loop, SIGINT, on_terminate, site);
  loop_on_signal (site->loop, SIGHUP, on_hangup, site);
  log_info (PART, "Started.", "version", JAYTRAIL_VERSION, "data_centre", settings->data_centre,
            NULL);
  loop_run (site->loop);
  log_info (PART, "Stopped.", NULL);
  return 0;
}
