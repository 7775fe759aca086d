/* site.c -- jaytraild on the users' machines: one loop that serves callers and owns endpoints
 *
 * Events change the state of the libraries; pump_now () then carries out what they ask for,
 * until nothing is left, once for all events that were ready together.  Actions point into the
 * library that made them, so they are carried out before that library is called again.
 */
#include "daemon/site.h"

#include "base/clock.h"
#include "base/error.h"
#include "cluster/cluster_msg.h"
#include "daemon/site_private.h"
#include "daemon/version.h"

#include <signal.h>
#include <sys/stat.h>
#include <string.h>

#define TICK_MS 5
/* A gap between ticks beyond this means that the process stood still. */
#define STILL_MS 400
/* Beliefs older than this are brought up to date before anything is started. */
#define REFRESH_MS 20
#define PULL_EVERY_MS 150
#define WATCH_EVERY_MS 1000
#define NS_PER_S INT64_C (1000000000)
/* Shards without an owner are probed this often, at one of so many endpoints. */
#define PROBE_EVERY_MS 200
#define PROBE_ONE_OF 8
/* From the signal to stop: the balancer notices within this time. */
#define NOTICED_MS 2600
/* Left for the exit itself before the kill. */
#define EXIT_SLACK_MS 500

/* --- the crew --- */

static void
run_crew_action (site_t *site, const cluster_action_t *action, int64_t now_ms)
{
  switch (action->kind)
    {
    case CLUSTER_CLAIMED:
      owner_claimed (site, action->shard, action->token, action->reason);
      peers_beat (site, now_ms, true);
      break;
    case CLUSTER_YIELDED:
      owner_yielded (site, action->shard, action->reason);
      peers_beat (site, now_ms, true);
      break;
    case CLUSTER_OWNER_CHANGED:
      if (event_begin (EVENT_SHARD_OWNER))
        {
          event_text ("shard", action->shard);
          event_text ("host", action->host != NULL ? action->host : "nobody");
          event_number ("token", action->token);
          event_end ();
        }
      scheduler_set_owner (site->flow, action->shard, action->host, action->token, now_ms,
                           site->scheduler_actions);
      site_run_flow_actions (site);
      break;
    case CLUSTER_HOST_LOST:
      if (event_begin (EVENT_HOST_LOST))
        {
          event_text ("host", action->host);
          event_text ("why", action->reason);
          event_number ("silent_ms", now_ms - action->last_heard_at_ms);
          event_end ();
        }
      owner_drop_coordinator (site, action->host);
      net_reconnect (site->net, action->host);
      scheduler_host_lost (site->flow, action->host, action->last_heard_at_ms, now_ms,
                           site->scheduler_actions);
      site_run_flow_actions (site);
      break;
    case CLUSTER_EPOCH_CHANGED:
      peers_renew (site, action->host);
      scheduler_batches_dropped (site->flow, action->host, now_ms, site->scheduler_actions);
      site_run_flow_actions (site);
      break;
    case CLUSTER_HOST_FOUND:
    default:
      if (event_begin (EVENT_HOST_FOUND))
        {
          event_text ("host", action->host);
          event_end ();
        }
      peers_beat_host (site, action->host);
      peers_tell_roster (site, action->host);
      peers_tell_directory (site, action->host);
      break;
    }
}

static bool
run_crew_actions (site_t *site, int64_t now_ms)
{
  bool any = site->crew_actions->len > 0;

  for (guint i = 0; i < site->crew_actions->len; i++)
    {
      cluster_action_t action = g_array_index (site->crew_actions, cluster_action_t, i);
      run_crew_action (site, &action, now_ms);
    }
  g_array_set_size (site->crew_actions, 0);
  return any;
}

/* --- the pump --- */

void
site_end_task (site_t *site, const char *host, const executor_task_end_t *end)
{
  scheduler_task_ended (site->flow, host, end->batch, end->index,
                        scheduler_task_end_of (end->outcome), clock_boot_ms (),
                        site->scheduler_actions);
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
      GArray *batch = g_array_new (FALSE, FALSE, sizeof (executor_task_end_t));
      for (guint k = i; k < ends->len; k++)
        {
          told_end_t *told = &g_array_index (ends, told_end_t, k);
          if (told->coordinator != coordinator)
            continue;
          told->coordinator = NULL;
          if (coordinator == site->host)
            site_end_task (site, site->host, &told->end);
          else
            g_array_append_val (batch, told->end);
        }
      if (batch->len > 0)
        peers_send (site, coordinator,
                    executor_msg_task_ends ((const executor_task_end_t *) (void *) batch->data,
                                            batch->len));
      g_array_unref (batch);
    }
  g_array_unref (ends);
  return true;
}

/* Brings what this host believes up to date before it acts on it: after it stood still, its
 * coordinators may be gone and its shards another host's. */
static void
refresh (site_t *site, int64_t now_ms)
{
  if (site->refreshed_at_ms != 0 && now_ms - site->refreshed_at_ms > STILL_MS)
    {
      if (event_begin (EVENT_STOOD_STILL))
        {
          event_number ("for_ms", now_ms - site->refreshed_at_ms);
          event_end ();
        }
      cluster_process_resumed (site->crew, now_ms, site->crew_actions);
      drain_thawed (site, now_ms - site->refreshed_at_ms, now_ms);
      scheduler_give_up_all (site->flow, "this host stood still", now_ms, site->scheduler_actions);
      site_run_flow_actions (site);
    }
  site->refreshed_at_ms = now_ms;
  cluster_step (site->crew, now_ms, clock_wall_ms (), site->crew_actions);
  run_crew_actions (site, now_ms);
}

static void
pump_now (void *data)
{
  site_t *site = data;
  int64_t now_ms = clock_boot_ms ();
  bool more = true;

  if (now_ms - site->refreshed_at_ms > REFRESH_MS)
    refresh (site, now_ms);
  while (more)
    {
      more = run_crew_actions (site, clock_boot_ms ());
      more |= site->scheduler_actions->len > 0;
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
      cluster_find_newer_config (site->crew, site->queues != NULL ? site->queues->version : 0);
  if (host != NULL)
    peers_send (site, host, cluster_msg_config_request ());
}

static void
on_probed (const char *shard, void *user)
{
  site_t *site = user;

  cluster_shard_reached (site->crew, shard, clock_boot_ms ());
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
      const executor_entry_t *entry = value;
      if (!cluster_needs_probe (site->crew, entry->shard)
          || g_random_int_range (0, PROBE_ONE_OF) != 0)
        continue;
      run_client_probe (site->client, entry->endpoint.address, g_intern_string (entry->shard),
                        on_probed, site, now_ms);
    }
}

/* Stops once what was taken is answered and the balancer has noticed. */
static void
stop_if_done (site_t *site, int64_t now_ms)
{
  int64_t since_ms = now_ms - site->leaving_from_ms;
  bool owns = g_hash_table_size (site->owned) > 0 && cluster_alive_hosts (site->crew) > 1;

  if (since_ms > site->settings->grace_ms - EXIT_SLACK_MS
      || (since_ms > NOTICED_MS && ingress_is_idle (site->ingress) && !owns))
    loop_stop (site->loop);
}

/* Reads the settings again.  A host's own names and addresses stay as they were at its start; the
 * bounds and the address of the log follow.  A file that is not valid changes nothing. */
static void
reload (site_t *site, const char *why)
{
  platform_settings_t *settings = NULL;
  char *message = NULL;
  int result = platform_settings_read (site->file, &settings, &message);

  if (event_begin (EVENT_RELOADED))
    {
      event_text ("why", result == 0 ? why : message);
      event_end ();
    }
  g_free (message);
  if (result != 0)
    return;
  log_client_set_address (site->store, settings->log_address);
  site->settings->lease_max_ms = settings->lease_max_ms;
  site->settings->stop_timeout_ms = settings->stop_timeout_ms;
  site->settings->grace_ms = settings->grace_ms;
  site->settings->remote_factor = settings->remote_factor;
  owner_set_bounds (site);
  platform_settings_free (settings);
}

static void
on_hangup (void *data)
{
  reload (data, "a signal");
}

/* The file may change without a signal. */
static void
watch_settings (site_t *site, int64_t now_ms)
{
  struct stat state;

  if (now_ms < site->watch_due_ms)
    return;
  site->watch_due_ms = now_ms + WATCH_EVERY_MS;
  if (stat (site->file, &state) != 0)
    return;
  int64_t changed_ns = state.st_mtim.tv_sec * NS_PER_S + state.st_mtim.tv_nsec + state.st_size;
  if (site->file_stamp != 0 && changed_ns != site->file_stamp)
    reload (site, "the file has changed");
  site->file_stamp = changed_ns;
}

/* A host that is to know the directory from now on has been told a part of it by others. */
static void
follow_directory (site_t *site, int64_t now_ms)
{
  GHashTableIter iter;
  void *id = NULL;
  bool reads = cluster_follows_directory (site->crew);

  if (reads == site->reads)
    return;
  site->reads = reads;
  log_client_set_follow_directory (site->store, reads);
  if (!reads)
    return;
  g_hash_table_iter_init (&iter, site->directory);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    log_client_expect_endpoint (site->store, id, now_ms);
}

static void
on_tick (void *data)
{
  site_t *site = data;
  int64_t now_ms = clock_boot_ms ();

  refresh (site, now_ms);
  follow_directory (site, now_ms);
  cluster_set_ready (site->crew, site->queues != NULL && log_client_is_listed (site->store)
                                     && drain_is_settled (site));
  webclient_tick (site->client, now_ms);
  ingress_tick (site->ingress, now_ms);
  log_client_tick (site->store, now_ms);
  scheduler_step (site->flow, now_ms, site->scheduler_actions);
  site_run_flow_actions (site);
  owner_rounds (site, true);
  pump_now (site);
  owner_tell_offers (site, now_ms);
  peers_keep_links (site, now_ms);
  peers_beat (site, now_ms, false);
  pull_config (site, now_ms);
  drain_tick (site, now_ms);
  probe_orphans (site, now_ms);
  owner_free_retired (site, now_ms);
  watch_settings (site, now_ms);
  event_flush (now_ms);
  if (site->leaving)
    stop_if_done (site, now_ms);
}

static void
log_jobs (event_t event, const site_t *site)
{
  if (!event_begin (event))
    return;
  event_number ("jobs", scheduler_job_count (site->flow));
  event_end ();
}

static void
on_terminate (void *data)
{
  site_t *site = data;

  if (site->leaving)
    return;
  log_jobs (EVENT_STOPPING, site);
  site->leaving = true;
  site->leaving_from_ms = clock_boot_ms ();
  cluster_leave (site->crew);
  ingress_drain (site->ingress);
  peers_beat (site, site->leaving_from_ms, true);
}

int
site_run (platform_settings_t *settings, const char *file)
{
  site_t *site = g_new0 (site_t, 1);
  int64_t now_ms = clock_boot_ms ();

  signal (SIGPIPE, SIG_IGN);
  event_setup (settings->host);
  site->settings = settings;
  site->file = file;
  site->host = g_intern_string (settings->host);
  site->incarnation = (uint64_t) clock_wall_ms () << 16 | g_random_int_range (0, 1 << 16);
  site->loop = loop_new (TICK_MS, on_tick, site);
  loop_set_later (site->loop, pump_now);
  site->client = webclient_new (site->loop);
  cluster_options_t crew = {
    settings->host,        settings->data_centre,       site->incarnation,
    settings->cores_milli, settings->resubmit_after_ms, CLUSTER_HUBS_PER_DATA_CENTRE
  };
  site->drains = drains_new ();
  site->drain_runs = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  site->crew = cluster_new (&crew, now_ms);
  scheduler_options_t flow = { settings->host, settings->data_centre, settings->lease_max_ms,
                               settings->remote_factor };
  site->flow = scheduler_new (&flow);
  site->owned = g_hash_table_new_full (NULL, NULL, NULL, owner_free);
  site->retired = g_ptr_array_new_with_free_func (owner_free);
  site->directory = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, site_free_entry);
  site->connected = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  site->known = g_hash_table_new_full (NULL, NULL, NULL, peers_free_known);
  site->reads = true;
  site->crew_actions = g_array_new (FALSE, FALSE, sizeof (cluster_action_t));
  site->scheduler_actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
  site->elsewhere = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
  site->ends = g_array_new (FALSE, FALSE, sizeof (told_end_t));
  ingress_options_t ingress = { settings->caller_listen, settings->ready_listen, &site_ingress_ops,
                                site };
  int result = ingress_open (site->loop, &ingress, &site->ingress);
  if (result == 0)
    result = peers_start (site);
  if (result != 0)
    return result;
  log_client_options_t store = { .address = settings->log_address,
                                 .host = settings->host,
                                 .peer_address = settings->peer_address,
                                 .data_centre = settings->data_centre,
                                 .cores_milli = settings->cores_milli,
                                 .config_apply_ms = settings->config_apply_ms,
                                 .drain_apply_ms = settings->drain_apply_ms,
                                 .ops = &site_store_ops,
                                 .user = site };
  site->store = log_client_new (site->client, &store, now_ms);
  loop_on_signal (site->loop, SIGTERM, on_terminate, site);
  loop_on_signal (site->loop, SIGINT, on_terminate, site);
  loop_on_signal (site->loop, SIGHUP, on_hangup, site);
  if (event_begin (EVENT_STARTED))
    {
      event_text ("version", JAYTRAIL_VERSION);
      event_text ("data_centre", settings->data_centre);
      event_end ();
    }
  loop_run (site->loop);
  log_jobs (EVENT_STOPPED, site);
  event_flush (INT64_MAX);
  return 0;
}
