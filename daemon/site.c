/* site.c -- the event loop of the daemon: periodic work, actions of the libraries, start and stop
 *
 * Events change the state of the libraries, which answer with actions.  run_all_actions () carries
 * these out until none is left, once for all events that were ready at the same time.  Actions
 * point into the library that made them, so they are carried out before that library is called
 * again.
 */
#include "daemon/site.h"

#include "base/clock.h"
#include "base/error.h"
#include "cluster/cluster_msg.h"
#include "daemon/site_private.h"
#include "daemon/version.h"

#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <string.h>

#define TICK_MS 5
/* A longer gap between ticks means that the process was suspended. */
#define RESUME_GAP_MS 400
/* A view of the other hosts that is older than this is brought up to date before tasks start. */
#define REFRESH_AFTER_MS 20
#define CONFIG_REQUEST_INTERVAL_MS 150
#define SETTINGS_CHECK_INTERVAL_MS 1000
/* Descriptors that the settings' limit includes for files, and those that files take. */
#define RESERVED_FILES 200
/* Where fewer would be left, half of the descriptors are for sockets. */
#define SOCKETS_MIN 64
#define OPEN_FILES 32
#define NS_PER_S INT64_C (1000000000)
/* Endpoints of shards without an owner are probed at this interval, each with a probability of one
 * in PROBE_ODDS. */
#define PROBE_INTERVAL_MS 200
#define PROBE_ODDS 8
/* Time after the signal to stop within which the load balancer stops sending new requests, unless
 * too few other hosts are ready. */
#define BALANCER_DELAY_MS 2600
/* Times before the end of the grace period, when the process is killed.  At the first, all jobs are
 * answered.  From the second on no connection is accepted any more, so that what was read is
 * answered before the process ends, which is at the third at the latest. */
#define ANSWER_MARGIN_MS 1000
#define ACCEPT_MARGIN_MS 750
#define EXIT_MARGIN_MS 500

/* --- actions of the cluster --- */

static void
run_cluster_action (site_t *site, const cluster_action_t *action, int64_t now_ms)
{
  scheduler_set_told_at (site->scheduler, cluster_told_at_ms (site->cluster, now_ms));
  switch (action->kind)
    {
    case CLUSTER_CLAIMED:
      owner_claimed (site, action->shard, action->token, action->reason);
      peers_send_heartbeats (site, now_ms, true);
      break;
    case CLUSTER_YIELDED:
      owner_yielded (site, action->shard, action->reason);
      peers_send_heartbeats (site, now_ms, true);
      break;
    case CLUSTER_OWNER_CHANGED:
      if (event_begin (EVENT_SHARD_OWNER))
        {
          event_add_text ("shard", action->shard);
          event_add_text ("host", action->host != NULL ? action->host : "nobody");
          event_add_number ("token", action->token);
          event_end ();
        }
      /* An owner takes tasks only from hosts that send heartbeats often enough. */
      peers_send_heartbeats (site, now_ms, false);
      scheduler_set_owner (site->scheduler, action->shard, action->host, action->token, now_ms,
                           site->scheduler_actions);
      site_run_scheduler_actions (site);
      break;
    case CLUSTER_HOST_LOST:
      if (event_begin (EVENT_HOST_LOST))
        {
          event_add_text ("host", action->host);
          event_add_text ("why", action->reason);
          event_add_number ("silent_ms", now_ms - action->last_heard_at_ms);
          event_end ();
        }
      owner_remove_coordinator (site, action->host, action->alive_at_ms);
      net_reconnect (site->net, action->host);
      scheduler_host_lost (site->scheduler, action->host, action->last_heard_at_ms, now_ms,
                           site->scheduler_actions);
      site_run_scheduler_actions (site);
      repeats_host_lost (site, action->host);
      break;
    case CLUSTER_HOST_RESTARTED:
      scheduler_host_restarted (site->scheduler, action->host, action->started_at_ms);
      break;
    case CLUSTER_EPOCH_CHANGED:
      peers_reconnect (site, action->host);
      /* The host takes tasks only after this host has returned a clock of it. */
      peers_send_heartbeat (site, action->host);
      scheduler_batches_dropped (site->scheduler, action->host, now_ms, site->scheduler_actions);
      site_run_scheduler_actions (site);
      break;
    case CLUSTER_HOST_FOUND:
    default:
      if (event_begin (EVENT_HOST_FOUND))
        {
          event_add_text ("host", action->host);
          event_end ();
        }
      scheduler_host_found (site->scheduler, action->started_at_ms);
      peers_send_heartbeat (site, action->host);
      peers_send_hosts (site, action->host);
      peers_send_directory (site, action->host);
      break;
    }
}

static bool
run_cluster_actions (site_t *site, int64_t now_ms)
{
  bool any = site->cluster_actions->len > 0;

  for (guint i = 0; i < site->cluster_actions->len; i++)
    {
      cluster_action_t action = g_array_index (site->cluster_actions, cluster_action_t, i);
      run_cluster_action (site, &action, now_ms);
    }
  g_array_set_size (site->cluster_actions, 0);
  return any;
}

/* --- all actions --- */

void
site_task_ended (site_t *site, const char *host, const executor_task_end_t *end)
{
  if (end->failure.cause != TASK_FAILURE_UNKNOWN)
    scheduler_note_failure (site->scheduler, host, end->batch, end->index, &end->failure);
  scheduler_task_ended (site->scheduler, host, end->batch, end->index,
                        scheduler_task_end_of (end->outcome), clock_boot_ms (),
                        site->scheduler_actions);
  site_run_scheduler_actions (site);
}

/* Reports the ends of tasks to their coordinators, in one frame for each host.  Returns true if
 * there were any. */
static bool
send_task_ends (site_t *site)
{
  GArray *ends = site->task_ends;

  if (ends->len == 0)
    return false;
  site->task_ends = g_array_new (FALSE, FALSE, sizeof (pending_task_end_t));
  for (guint i = 0; i < ends->len; i++)
    {
      const char *coordinator = g_array_index (ends, pending_task_end_t, i).coordinator;
      if (coordinator == NULL)
        continue;
      GArray *host_ends = g_array_new (FALSE, FALSE, sizeof (executor_task_end_t));
      for (guint k = i; k < ends->len; k++)
        {
          pending_task_end_t *pending = &g_array_index (ends, pending_task_end_t, k);
          if (pending->coordinator != coordinator)
            continue;
          pending->coordinator = NULL;
          if (coordinator == site->host)
            {
              site_task_ended (site, site->host, &pending->end);
              continue;
            }
          if (pending->end.failure.cause != TASK_FAILURE_UNKNOWN)
            peers_send (site, coordinator, executor_msg_task_failure (&pending->end));
          g_array_append_val (host_ends, pending->end);
        }
      if (host_ends->len > 0)
        peers_send (site, coordinator,
                    executor_msg_task_ends ((const executor_task_end_t *) (void *) host_ends->data,
                                            host_ends->len));
      g_array_unref (host_ends);
    }
  g_array_unref (ends);
  return true;
}

/* Brings the view of the other hosts up to date before this host acts on it.  While the process was
 * suspended, coordinators of its tasks may have been lost and its shards may have been taken over
 * by another host. */
static void
refresh_view (site_t *site, int64_t now_ms)
{
  if (site->refreshed_at_ms != 0 && now_ms - site->refreshed_at_ms > RESUME_GAP_MS)
    {
      if (event_begin (EVENT_STOOD_STILL))
        {
          event_add_number ("for_ms", now_ms - site->refreshed_at_ms);
          event_end ();
        }
      cluster_process_resumed (site->cluster, now_ms, site->cluster_actions);
      drain_process_resumed (site, now_ms - site->refreshed_at_ms, now_ms);
      scheduler_give_up_all (site->scheduler, "this host stood still", now_ms,
                             site->scheduler_actions);
      site_run_scheduler_actions (site);
    }
  site->refreshed_at_ms = now_ms;
  cluster_step (site->cluster, now_ms, clock_wall_ms (), site->cluster_actions);
  run_cluster_actions (site, now_ms);
}

static void
run_all_actions (void *data)
{
  site_t *site = data;
  int64_t now_ms = clock_boot_ms ();
  bool more = true;

  if (now_ms - site->refreshed_at_ms > REFRESH_AFTER_MS)
    refresh_view (site, now_ms);
  while (more)
    {
      more = run_cluster_actions (site, clock_boot_ms ());
      more |= site->scheduler_actions->len > 0;
      site_run_scheduler_actions (site);
      more |= owner_run_rounds (site, false);
      more |= send_task_ends (site);
    }
}

void
site_schedule_actions (site_t *site)
{
  loop_defer (site->loop);
}

/* --- periodic work --- */

static void
request_newer_config (site_t *site, int64_t now_ms)
{
  if (now_ms < site->config_request_due_ms)
    return;
  site->config_request_due_ms = now_ms + CONFIG_REQUEST_INTERVAL_MS;
  const char *host =
      cluster_find_newer_config (site->cluster, site->queues != NULL ? site->queues->version : 0);
  if (host != NULL)
    peers_send (site, host, cluster_msg_config_request ());
}

static void
on_shard_reached (const char *shard, void *user)
{
  site_t *site = user;

  cluster_shard_reached (site->cluster, shard, clock_boot_ms ());
}

/* Probes endpoints of shards without an owner.  A host that reaches a shard may claim it. */
static void
probe_unowned_shards (site_t *site, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  if (now_ms < site->probe_due_ms)
    return;
  site->probe_due_ms = now_ms + PROBE_INTERVAL_MS;
  g_hash_table_iter_init (&iter, site->directory);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const executor_entry_t *entry = value;
      if (!cluster_needs_probe (site->cluster, entry->shard)
          || g_random_int_range (0, PROBE_ODDS) != 0)
        continue;
      run_client_probe (site->http_client, entry->endpoint.address, g_intern_string (entry->shard),
                        on_shard_reached, site, &site->traffic, now_ms);
    }
}

/* Returns whether all accepted requests are answered, the load balancer has stopped sending and
 * other hosts own the shards. */
static bool
is_done (const site_t *site, int64_t now_ms)
{
  bool owns_shards =
      g_hash_table_size (site->owned_shards) > 0 && cluster_alive_hosts (site->cluster) > 1;

  return now_ms - site->stopping_since_ms > BALANCER_DELAY_MS && ingress_is_idle (site->ingress)
         && !owns_shards;
}

/* Stops the loop once the host is done, and in any case shortly before the grace period ends.  A
 * connection that was accepted before the listener was closed is served first. */
static void
stop_if_done (site_t *site, int64_t now_ms)
{
  bool done = is_done (site, now_ms);

  if (now_ms > site->killed_at_ms - EXIT_MARGIN_MS || (done && site->listener_closed))
    {
      peers_send_all (site, cluster_msg_ended ());
      loop_stop (site->loop);
    }
  if (!done && now_ms <= site->killed_at_ms - ACCEPT_MARGIN_MS)
    return;
  ingress_stop_listening (site->ingress);
  site->listener_closed = true;
}

/* Reads the settings file again and takes over the lease, stop and grace times, the remote factor
 * and the address of the log.  All else, such as the names and addresses of this host, stays as it
 * was at the start.  A file that is not valid changes nothing. */
static void
reload_settings (site_t *site, const char *why)
{
  platform_settings_t *settings = NULL;
  char *message = NULL;
  int result = platform_settings_read (site->settings_file, &settings, &message);

  if (event_begin (EVENT_RELOADED))
    {
      event_add_text ("why", result == 0 ? why : message);
      event_end ();
    }
  g_free (message);
  if (result != 0)
    return;
  log_client_set_address (site->log_client, settings->log_address);
  site->settings->lease_max_ms = settings->lease_max_ms;
  site->settings->stop_timeout_ms = settings->stop_timeout_ms;
  site->settings->grace_ms = settings->grace_ms;
  site->settings->remote_factor = settings->remote_factor;
  owner_update_options (site);
  platform_settings_free (settings);
}

static void
on_hangup (void *data)
{
  reload_settings (data, "a signal");
}

/* Reloads the settings if the file has changed, which may happen without a SIGHUP. */
static void
check_settings_file (site_t *site, int64_t now_ms)
{
  struct stat state;

  if (now_ms < site->settings_check_due_ms)
    return;
  site->settings_check_due_ms = now_ms + SETTINGS_CHECK_INTERVAL_MS;
  if (stat (site->settings_file, &state) != 0)
    return;
  int64_t stamp = state.st_mtim.tv_sec * NS_PER_S + state.st_mtim.tv_nsec + state.st_size;
  if (site->settings_stamp != 0 && stamp != site->settings_stamp)
    reload_settings (site, "the file has changed");
  site->settings_stamp = stamp;
}

/* Starts or stops reading the directory of endpoints from the log, as the cluster requires of
 * this host.  A host that starts reading it has entries from other hosts, some of which may
 * have been removed since; the log client checks these. */
static void
update_directory_role (site_t *site, int64_t now_ms)
{
  GHashTableIter iter;
  void *id = NULL;
  bool follows = cluster_follows_directory (site->cluster);

  if (follows == site->follows_directory)
    return;
  site->follows_directory = follows;
  log_client_set_follow_directory (site->log_client, follows);
  if (!follows)
    return;
  site->directory_followed_since_ms = now_ms;
  g_hash_table_iter_init (&iter, site->directory);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    log_client_expect_endpoint (site->log_client, id, now_ms);
}

static void
on_tick (void *data)
{
  site_t *site = data;
  int64_t now_ms = clock_boot_ms ();

  traffic_tick (site, now_ms);
  refresh_view (site, now_ms);
  update_directory_role (site, now_ms);
  cluster_set_ready (site->cluster,
                     site->queues != NULL && log_client_is_listed (site->log_client)
                         && drain_is_current (site),
                     now_ms);
  web_client_set_own_delay (site->http_client, owner_own_delay_ms (site, now_ms));
  web_client_tick (site->http_client, now_ms);
  ingress_tick (site->ingress, now_ms);
  client_limits_tick (site, now_ms);
  owner_update_directory (site, now_ms);
  if (log_client_is_listed (site->log_client))
    scheduler_set_shards_listed (site->scheduler);
  log_client_tick (site->log_client, now_ms);
  if (site->settings->resubmit_after_ms > 0)
    repeats_update_registrars (site);
  scheduler_step (site->scheduler, now_ms, site->scheduler_actions);
  site_run_scheduler_actions (site);
  owner_run_rounds (site, true);
  run_all_actions (site);
  owner_announce_surveyed (site);
  owner_send_offers (site, now_ms);
  peers_connect (site, now_ms);
  peers_send_heartbeats (site, now_ms, false);
  request_newer_config (site, now_ms);
  crash_history_expire (site->crashes, now_ms);
  reach_tick (site, now_ms);
  cancel_tick (site, now_ms);
  repeats_tick (site, now_ms);
  drain_tick (site, now_ms);
  probe_unowned_shards (site, now_ms);
  owner_free_retired (site, now_ms);
  check_settings_file (site, now_ms);
  event_flush (now_ms);
  if (site->stopping)
    stop_if_done (site, now_ms);
}

static void
log_stopping (const site_t *site)
{
  if (!event_begin (EVENT_STOPPING))
    return;
  event_add_number ("jobs", scheduler_job_count (site->scheduler));
  event_end ();
}

static void
log_stopped (const site_t *site)
{
  if (!event_begin (EVENT_STOPPED))
    return;
  event_add_number ("jobs", scheduler_job_count (site->scheduler));
  event_add_number ("connections", ingress_connections (site->ingress));
  event_add_number ("unacked_bytes", ingress_unacked_bytes (site->ingress));
  event_end ();
}

static void
on_terminate (void *data)
{
  site_t *site = data;

  if (site->stopping)
    return;
  log_stopping (site);
  site->stopping = true;
  site->stopping_since_ms = clock_boot_ms ();
  site->killed_at_ms = site->stopping_since_ms + site->settings->grace_ms;
  cluster_leave (site->cluster);
  ingress_drain (site->ingress);
  scheduler_stop (site->scheduler, site->killed_at_ms - ANSWER_MARGIN_MS);
  peers_send_heartbeats (site, site->stopping_since_ms, true);
}

/* Part of the descriptors that the settings name is kept for files, and the kernel may allow fewer.
 */
int64_t
site_sockets_max (const platform_settings_t *settings)
{
  struct rlimit kernel;
  int64_t sockets = settings->open_files_max - RESERVED_FILES;

  if (sockets < SOCKETS_MIN)
    sockets = settings->open_files_max / 2;
  if (getrlimit (RLIMIT_NOFILE, &kernel) == 0 && kernel.rlim_cur != RLIM_INFINITY)
    sockets = MIN (sockets, (int64_t) kernel.rlim_cur - OPEN_FILES);
  return MAX (sockets, 1);
}

/* The end of the last lease that a process may have granted before this one started at NOW_MS; 0 if
 * callers don't send jobs again. */
static int64_t
cold_until_ms (const platform_settings_t *settings, int64_t now_ms)
{
  if (settings->resubmit_after_ms == 0)
    return 0;
  return now_ms + executor_longest_lease_ms (settings->lease_max_ms) + settings->stop_timeout_ms;
}

int
site_run (platform_settings_t *settings, const char *file)
{
  site_t *site = g_new0 (site_t, 1);
  int64_t now_ms = clock_boot_ms ();

  signal (SIGPIPE, SIG_IGN);
  event_setup (settings->host);
  site->settings = settings;
  site->settings_file = file;
  site->host = g_intern_string (settings->host);
  site->incarnation = (uint64_t) clock_wall_ms () << 16 | g_random_int_range (0, 1 << 16);
  site->traffic_watch.tick_ms = TICK_MS;
  site->loop = loop_new (TICK_MS, on_tick, site);
  loop_set_deferred (site->loop, run_all_actions);
  site->http_client = web_client_new (site->loop);
  cluster_options_t cluster_options = {
    settings->host,        settings->data_centre,       site->incarnation,
    settings->cores_milli, settings->resubmit_after_ms, CLUSTER_HUBS_PER_DATA_CENTRE
  };
  site->drains = drains_new ();
  site->crashes = crash_history_new ();
  site->running_in_drained = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  site->cluster = cluster_new (&cluster_options, now_ms);
  scheduler_options_t scheduler_options = { .host = settings->host,
                                            .data_centre = settings->data_centre,
                                            .lease_ms = settings->lease_max_ms,
                                            .remote_factor = settings->remote_factor,
                                            .incarnation = site->incarnation,
                                            .resubmit_ms = settings->resubmit_after_ms,
                                            .started_at_ms = now_ms,
                                            .cold_until_ms = cold_until_ms (settings, now_ms),
                                            .stop_ms = settings->stop_timeout_ms };
  site->scheduler = scheduler_new (&scheduler_options);
  site->job_cancellations = job_cancellations_new ();
  site->unreached = g_array_new (FALSE, FALSE, sizeof (cluster_unreached_t));
  site->recovered = g_array_new (FALSE, FALSE, sizeof (recovered_t));
  site->relayed = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  site->owned_shards = g_hash_table_new_full (NULL, NULL, NULL, owner_free_shard);
  site->retired_shards = g_ptr_array_new_with_free_func (owner_free_shard);
  site->directory = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, site_free_entry);
  site->removed_entries = removed_entries_new ();
  site->connections = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  site->registrars = g_hash_table_new (NULL, NULL);
  g_hash_table_add (site->registrars, (void *) site->host);
  site->known_hosts = g_hash_table_new_full (NULL, NULL, NULL, peers_free_host);
  site->follows_directory = true;
  site->cluster_actions = g_array_new (FALSE, FALSE, sizeof (cluster_action_t));
  site->scheduler_actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
  site->other_offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
  site->task_ends = g_array_new (FALSE, FALSE, sizeof (pending_task_end_t));
  ingress_options_t ingress_options = { .caller_listen = settings->caller_listen,
                                        .ready_listen = settings->ready_listen,
                                        .ops = &site_ingress_ops,
                                        .user = site,
                                        .traffic = &site->traffic,
                                        .limits = { settings->memory_bytes,
                                                    site_sockets_max (settings) },
                                        .resubmit_ms = settings->resubmit_after_ms };
  int result = ingress_open (site->loop, &ingress_options, &site->ingress);
  if (result == 0)
    result = peers_start (site);
  if (result != 0)
    return result;
  log_client_options_t store_options = { .address = settings->log_address,
                                         .host = settings->host,
                                         .peer_address = settings->peer_address,
                                         .data_centre = settings->data_centre,
                                         .cores_milli = settings->cores_milli,
                                         .config_apply_ms = settings->config_apply_ms,
                                         .drain_apply_ms = settings->drain_apply_ms,
                                         .ops = &site_log_client_ops,
                                         .user = site,
                                         .traffic = &site->traffic.kinds[TRAFFIC_LOG] };
  site->log_client = log_client_new (site->http_client, &store_options, now_ms);
  loop_on_signal (site->loop, SIGTERM, on_terminate, site);
  loop_on_signal (site->loop, SIGINT, on_terminate, site);
  loop_on_signal (site->loop, SIGHUP, on_hangup, site);
  if (event_begin (EVENT_STARTED))
    {
      event_add_text ("version", JAYTRAIL_VERSION);
      event_add_text ("data_centre", settings->data_centre);
      event_end ();
    }
  loop_run (site->loop);
  log_stopped (site);
  event_flush (INT64_MAX);
  return 0;
}
