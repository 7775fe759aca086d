/* site_peers.c -- connections to other hosts, and the frames that are exchanged on them
 *
 * The network library has its own thread.  Its callbacks post what they receive to the event loop,
 * on which everything else in this file runs.
 */
#include "daemon/site_private.h"

#include "base/clock.h"
#include "base/counter.h"
#include "cluster/cluster_msg.h"
#include "drain/drain_msg.h"
#include "scheduler/job_status_msg.h"

#include <string.h>

/* Missing connections are looked for at CONNECT_INTERVAL_MS; a host that could not be connected to
 * is dialed again after REDIAL_INTERVAL_MS. */
#define CONNECT_INTERVAL_MS 200
#define REDIAL_INTERVAL_MS 3000
#define HOSTS_PER_FRAME_MAX 256
/* Limit on the bytes of frames that have arrived incompletely, and on those that wait to be sent,
 * of all peers together. */
#define PEER_BUFFER_MAX_BYTES (32 * 1024 * 1024)
/* Anybody may connect to the address for hosts: until they say who they are, they share this part
 * of the sockets. */
#define UNNAMED_PERCENT 10
#define UNNAMED_MIN 8
/* Hosts whose addresses are kept, as other hosts and the platform tell them. */
#define KNOWN_HOSTS_MAX 4096
/* A younger connection is not replaced by a new one. */
#define RECONNECT_MIN_AGE_MS 1000

/* A frame or a change of a connection, on its way from the network thread to the event loop. */
typedef struct
{
  site_t *site;
  const char *host;        /* interned */
  GBytes *frame;           /* NULL for a change of the connection */
  const char *data_centre; /* interned; set if CONNECTED */
  bool connected;          /* without FRAME: the connection was opened, else it was closed */
} net_event_t;

/* --- handlers of frames --- */

static void
read_submit (site_t *site, const char *host, frame_reader_t *reader)
{
  executor_submit_t submit;

  if (executor_msg_read_submit (reader, clock_boot_ms (), &submit) != 0)
    return;
  submit.batch.coordinator = host;
  if (cluster_accepts_tasks (site->cluster, host, submit.epoch, clock_boot_ms ()))
    owner_submit (site, submit.shard, &submit.batch);
  else if (event_begin (EVENT_BATCH_STALE))
    {
      event_add_text ("job", submit.batch.job);
      event_add_number ("batch", (int64_t) submit.batch.batch);
      event_add_text ("host", host);
      event_end ();
    }
  executor_submit_clear (&submit);
}

static void
read_cancel (site_t *site, const char *host, frame_reader_t *reader)
{
  uint64_t batch = 0;
  stop_reason_t reason = STOP_UNKNOWN;

  if (executor_msg_read_cancel (reader, &batch, &reason) != 0)
    return;
  bool never_started = owner_cancel (site, host, batch, reason);
  peers_send (site, host, executor_msg_cancelled (batch, never_started));
}

static void
read_release (site_t *site, const char *host, frame_reader_t *reader)
{
  uint64_t batch = 0;

  if (executor_msg_read_release (reader, &batch) != 0)
    return;
  owner_release (site, host, batch);
  peers_send (site, host, executor_msg_cancelled (batch, false));
}

/* Takes in a directory entry from another host.  A host that reads the directory itself adds only
 * endpoints that it does not know: those that cannot reach the platform or have just returned.  The
 * store then expects them to register. */
static void
read_endpoint (site_t *site, const char *host, frame_reader_t *reader)
{
  executor_entry_t entry;

  (void) host;
  if (executor_msg_read_endpoint (reader, clock_boot_ms (), &entry) != 0)
    return;
  bool known = g_hash_table_contains (site->directory, entry.endpoint.id);
  if (!known || !site->follows_directory)
    site_apply_entry (site, &entry);
  if (!known && site->follows_directory)
    log_client_expect_endpoint (site->log_client, entry.endpoint.id, clock_boot_ms ());
  executor_entry_clear (&entry);
}

void
peers_send_directory (site_t *site, const char *host)
{
  GHashTableIter iter;
  void *value = NULL;
  const peer_connection_t *connection = g_hash_table_lookup (site->connections, host);

  if (connection == NULL || g_strcmp0 (connection->data_centre, site->settings->data_centre) != 0)
    return;
  g_hash_table_iter_init (&iter, site->directory);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((const executor_entry_t *) value)->shard, site->settings->data_centre) == 0)
      peers_send (site, host, executor_msg_endpoint (value, clock_boot_ms ()));
}

static void
send_to_directory_hosts (site_t *site, GBytes *frame)
{
  GHashTableIter iter;
  void *host = NULL;

  g_hash_table_iter_init (&iter, site->connections);
  while (g_hash_table_iter_next (&iter, &host, NULL))
    if (cluster_host_needs_directory (site->cluster, host))
      peers_send (site, host, g_bytes_ref (frame));
  g_bytes_unref (frame);
}

void
peers_send_entry (site_t *site, const executor_entry_t *entry)
{
  if (site->follows_directory && strcmp (entry->shard, site->settings->data_centre) == 0)
    send_to_directory_hosts (site, executor_msg_endpoint (entry, clock_boot_ms ()));
}

void
peers_send_removal (site_t *site, const char *id)
{
  if (site->follows_directory)
    send_to_directory_hosts (site, executor_msg_endpoint_removed (id));
}

static void
read_endpoint_removed (site_t *site, const char *host, frame_reader_t *reader)
{
  char *id = NULL;

  (void) host;
  if (executor_msg_read_endpoint_removed (reader, &id) != 0)
    return;
  if (!site->follows_directory)
    site_remove_entry (site, id);
  g_free (id);
}

static void
read_cancelled (site_t *site, const char *host, frame_reader_t *reader)
{
  uint64_t batch = 0;
  bool never_started = false;

  if (executor_msg_read_cancelled (reader, &batch, &never_started) != 0)
    return;
  scheduler_batch_end_confirmed (site->scheduler, host, batch, never_started, clock_boot_ms (),
                                 site->scheduler_actions);
  site_run_scheduler_actions (site);
}

/* Sends the open batches for HOST again, as frames in both directions may have been lost. */
static void
resend_batches (site_t *site, const char *host)
{
  scheduler_resend_batches (site->scheduler, host, site->scheduler_actions);
  site_run_scheduler_actions (site);
}

/* HOST has opened a new connection, so ends of tasks that it has reported may have been lost. */
static void
read_resync (site_t *site, const char *host, frame_reader_t *reader)
{
  (void) reader;
  /* The host takes tasks only after this host has returned a clock of it. */
  peers_send_heartbeat (site, host);
  resend_batches (site, host);
}

static void
read_task_ends (site_t *site, const char *host, frame_reader_t *reader)
{
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (executor_task_end_t));

  if (executor_msg_read_task_ends (reader, ends) == 0)
    for (guint i = 0; i < ends->len; i++)
      site_task_ended (site, host, &g_array_index (ends, executor_task_end_t, i));
  g_array_unref (ends);
}

static void
read_task_failure (site_t *site, const char *host, frame_reader_t *reader)
{
  executor_task_end_t end = { 0 };

  if (executor_msg_read_task_failure (reader, &end) == 0)
    scheduler_note_failure (site->scheduler, host, end.batch, end.index, &end.failure);
}

/* The address of ENDPOINT, by its entry in the directory or by one that was removed a short time
 * ago; NULL if unknown.  The caller frees it. */
static char *
address_of (const site_t *site, const char *endpoint)
{
  const executor_entry_t *entry = g_hash_table_lookup (site->directory, endpoint);

  if (entry == NULL)
    entry = removed_entries_find (site->removed_entries, endpoint);
  return entry != NULL ? g_strdup (entry->endpoint.address) : NULL;
}

static void
read_losses (site_t *site, const char *host, frame_reader_t *reader)
{
  GArray *losses = g_array_new (FALSE, FALSE, sizeof (crash_loss_t));

  (void) host;
  g_array_set_clear_func (losses, crash_loss_clear);
  if (executor_msg_read_losses (reader, losses) == 0)
    for (guint i = 0; i < losses->len; i++)
      {
        crash_loss_t *loss = &g_array_index (losses, crash_loss_t, i);
        loss->address = address_of (site, loss->endpoint);
        crash_history_merge (site->crashes, loss, clock_boot_ms ());
      }
  g_array_unref (losses);
}

static void
append_loss (const crash_loss_t *loss, void *losses)
{
  g_array_append_vals (losses, loss, 1);
}

/* Sends HOST all losses that this host knows: it may have just started. */
static void
send_losses (site_t *site, const char *host)
{
  GArray *losses = g_array_new (FALSE, FALSE, sizeof (crash_loss_t));

  crash_history_foreach (site->crashes, append_loss, losses);
  if (losses->len > 0)
    peers_send (site, host,
                executor_msg_losses ((const crash_loss_t *) (void *) losses->data, losses->len));
  g_array_unref (losses);
}

/* A host for which cancellations are sent. */
typedef struct
{
  site_t *site;
  const char *host;
} cancellation_receiver_t;

static void
send_cancelled_job (const char *job, void *data)
{
  const cancellation_receiver_t *receiver = data;

  peers_send (receiver->site, receiver->host, executor_msg_cancel_job (job, false));
}

/* Tells HOST which jobs were cancelled: it may have just started, or may have been cut off, and
 * their requests may arrive there again. */
static void
send_cancelled_jobs (site_t *site, const char *host)
{
  cancellation_receiver_t receiver = { site, host };

  scheduler_foreach_cancelled (site->scheduler, send_cancelled_job, &receiver);
}

static void
read_offer (site_t *site, const char *host, frame_reader_t *reader)
{
  executor_offer_msg_t offer;

  if (executor_msg_read_offer (reader, &offer) != 0)
    return;
  const scheduler_report_t report = { offer.offers, offer.loads, offer.waiting };
  scheduler_set_report (site->scheduler, offer.shard, host, &report, clock_boot_ms ());
  executor_offer_msg_clear (&offer);
}

static void
read_surveyed (site_t *site, const char *host, frame_reader_t *reader)
{
  char *shard = NULL;
  int64_t token = 0;

  (void) host;
  if (executor_msg_read_surveyed (reader, &shard, &token) == 0)
    scheduler_set_surveyed (site->scheduler, shard, token);
  g_free (shard);
}

static void
read_heartbeat (site_t *site, const char *host, frame_reader_t *reader)
{
  cluster_heartbeat_t heartbeat;

  if (cluster_msg_read_heartbeat (reader, &heartbeat) != 0)
    return;
  int64_t now_ms = clock_boot_ms ();
  cluster_receive_heartbeat (site->cluster, &heartbeat, now_ms, site->cluster_actions);
  cluster_step (site->cluster, now_ms, clock_wall_ms (), site->cluster_actions);
  owner_coordinator_heard (site, host, cluster_alive_at_ms (site->cluster, host));
  cluster_heartbeat_clear (&heartbeat);
}

static void
read_config_request (site_t *site, const char *host, frame_reader_t *reader)
{
  gsize size = 0;

  (void) reader;
  /* A host that has just started needs the drains and the configuration before it places tasks. */
  drain_send_set (site, host);
  if (site->queues_json == NULL)
    return;
  const void *data = g_bytes_get_data (site->queues_json, &size);
  peers_send (site, host, cluster_msg_config (data, size));
}

static void
read_config (site_t *site, const char *host, frame_reader_t *reader)
{
  const void *data = NULL;
  size_t size = 0;

  if (cluster_msg_read_config (reader, &data, &size) == 0)
    site_apply_config (site, data, size, host);
}

static void
read_hosts (site_t *site, const char *host, frame_reader_t *reader)
{
  GArray *hosts = g_array_new (FALSE, FALSE, sizeof (cluster_host_t));

  (void) host;
  g_array_set_clear_func (hosts, cluster_host_clear);
  if (cluster_msg_read_hosts (reader, hosts) == 0)
    for (guint i = 0; i < hosts->len; i++)
      {
        const cluster_host_t *listed = &g_array_index (hosts, cluster_host_t, i);
        peers_add_host (site, listed->host, listed->address, listed->data_centre,
                        listed->cpu_millicores);
      }
  g_array_unref (hosts);
}

static void
read_ended (site_t *site, const char *host, frame_reader_t *reader)
{
  (void) reader;
  cluster_host_ended (site->cluster, host);
}

static const struct
{
  int type;
  void (*read) (site_t *site, const char *host, frame_reader_t *reader);
} readers[] = {
  { EXECUTOR_MSG_SUBMIT, read_submit },
  { EXECUTOR_MSG_CANCEL, read_cancel },
  { EXECUTOR_MSG_TASK_ENDS, read_task_ends },
  { EXECUTOR_MSG_TASK_FAILURE, read_task_failure },
  { EXECUTOR_MSG_LOSSES, read_losses },
  { EXECUTOR_MSG_CANCELLED, read_cancelled },
  { EXECUTOR_MSG_OFFER, read_offer },
  { EXECUTOR_MSG_SURVEYED, read_surveyed },
  { EXECUTOR_MSG_RELEASE, read_release },
  { EXECUTOR_MSG_CANCEL_JOB, cancel_read_request },
  { EXECUTOR_MSG_JOB_CANCELLED, cancel_read_confirmation },
  { EXECUTOR_MSG_ENDPOINT, read_endpoint },
  { EXECUTOR_MSG_ENDPOINT_REMOVED, read_endpoint_removed },
  { EXECUTOR_MSG_RESYNC, read_resync },
  { JOB_MSG_STATUSES, repeats_read_statuses },
  { JOB_MSG_QUERY, repeats_read_query },
  { JOB_MSG_RELAYED, repeats_read_relayed },
  { JOB_MSG_RUNS_QUERY, repeats_read_runs_query },
  { JOB_MSG_RUNS_OVER, repeats_read_runs_over },
  { JOB_MSG_TOLD, repeats_read_told },
  { JOB_MSG_TOLD_ACK, repeats_read_told_ack },
  { JOB_MSG_ALL_TOLD, repeats_read_all_told },
  { JOB_MSG_TELL_ALL, repeats_read_tell_all },
  { JOB_MSG_REGISTRAR, repeats_read_registrar },
  { JOB_MSG_REGISTER, repeats_read_register },
  { JOB_MSG_REGISTERED, repeats_read_registered },
  { CLUSTER_MSG_HEARTBEAT, read_heartbeat },
  { CLUSTER_MSG_CONFIG_REQUEST, read_config_request },
  { CLUSTER_MSG_CONFIG, read_config },
  { CLUSTER_MSG_HOSTS, read_hosts },
  { CLUSTER_MSG_ENDED, read_ended },
  { DRAIN_MSG_SET_REQUEST, drain_read_set_request },
  { DRAIN_MSG_SET, drain_read_set },
  { DRAIN_MSG_RUNNING_TASKS, drain_read_running_tasks },
};

static void
read_frame (site_t *site, const char *host, GBytes *frame)
{
  frame_reader_t *reader = NULL;
  gsize size = 0;
  const void *data = g_bytes_get_data (frame, &size);

  if (frame_parse (data, size, &reader) != 0)
    return;
  traffic_count_received (site, frame_type (reader), FRAME_LENGTH_BYTES + size);
  for (gsize i = 0; i < G_N_ELEMENTS (readers); i++)
    if (readers[i].type == frame_type (reader))
      readers[i].read (site, host, reader);
  frame_reader_free (reader);
}

/* --- from the network thread to the event loop --- */

static void
on_net_event (void *data)
{
  net_event_t *net_event = data;
  site_t *site = net_event->site;

  if (net_event->frame != NULL)
    {
      read_frame (site, net_event->host, net_event->frame);
      g_bytes_unref (net_event->frame);
    }
  else if (net_event->connected)
    {
      peer_connection_t *connection = g_new0 (peer_connection_t, 1);
      connection->data_centre = net_event->data_centre;
      connection->opened_at_ms = clock_boot_ms ();
      g_hash_table_replace (site->connections, (void *) net_event->host, connection);
      peers_send_heartbeat (site, net_event->host);
      peers_send (site, net_event->host, executor_msg_resync ());
      resend_batches (site, net_event->host);
      cancel_host_connected (site, net_event->host);
      send_losses (site, net_event->host);
      send_cancelled_jobs (site, net_event->host);
      repeats_host_connected (site, net_event->host);
      /* After the jobs that this host knows: one that has just started goes by both. */
      owner_send_surveyed (site, net_event->host);
    }
  else
    {
      const peer_connection_t *connection =
          g_hash_table_lookup (site->connections, net_event->host);
      bool reconnecting = connection != NULL && connection->reconnecting;
      g_hash_table_remove (site->connections, net_event->host);
      if (!reconnecting)
        cluster_connection_lost (site->cluster, net_event->host, clock_boot_ms ());
    }
  g_free (net_event);
  site_schedule_actions (site);
}

static void
post_event (site_t *site, const char *host, const char *data_centre, GBytes *frame, bool connected)
{
  net_event_t *net_event = g_new0 (net_event_t, 1);

  net_event->site = site;
  net_event->host = g_intern_string (host);
  net_event->frame = frame != NULL ? g_bytes_ref (frame) : NULL;
  net_event->data_centre = g_intern_string (data_centre);
  net_event->connected = connected;
  loop_post (site->loop, on_net_event, net_event);
}

static void
on_frame (const char *host, GBytes *frame, void *data)
{
  post_event (data, host, NULL, frame, false);
}

static void
on_up (const net_peer_t *peer, void *data)
{
  post_event (data, peer->host, peer->data_centre, NULL, true);
}

static void
on_down (const char *host, void *data)
{
  post_event (data, host, NULL, NULL, false);
}

static const net_ops_t net_ops = { on_frame, on_up, on_down };

int
peers_start (site_t *site)
{
  const platform_settings_t *settings = site->settings;
  net_options_t options = {
    .listen_address = settings->peer_listen,
    .self = { (char *) site->host, settings->data_centre, settings->peer_address,
              site->incarnation },
    .ops = &net_ops,
    .data = site,
    .buffer_max_bytes = PEER_BUFFER_MAX_BYTES,
    .unnamed_max = (int32_t) CLAMP (site_sockets_max (settings) * UNNAMED_PERCENT / 100,
                                    UNNAMED_MIN, INT32_MAX),
  };
  int result = net_start (&options, &site->net);

  for (guint i = 0; result == 0 && i < settings->seeds->len; i++)
    net_add_address (site->net, settings->seeds->pdata[i], NULL, true);
  return result;
}

/* --- sending --- */

void
peers_send (site_t *site, const char *host, GBytes *frame)
{
  int type = frame_type_of (frame);
  gsize size = g_bytes_get_size (frame);

  /* A frame that cannot be sent is dropped.  The batches are sent again on a new connection, or are
   * given up when the host is declared lost. */
  if (net_send (site->net, host, frame) == 0)
    traffic_count_sent (site, type, size);
  else
    counter_add (counter_get ("jaytrail_frames_unsent_total", NULL), 1);
}

void
peers_send_all (site_t *site, GBytes *frame)
{
  GHashTableIter iter;
  void *key = NULL;

  g_hash_table_iter_init (&iter, site->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    peers_send (site, key, g_bytes_ref (frame));
  g_bytes_unref (frame);
}

void
peers_send_heartbeat (site_t *site, const char *host)
{
  cluster_heartbeat_t heartbeat;

  cluster_make_heartbeat (site->cluster, host, clock_boot_ms (), &heartbeat);
  heartbeat.drains_end_offset = drains_end_offset (site->drains);
  heartbeat.config_version = site->queues != NULL ? site->queues->version : 0;
  peers_send (site, host, cluster_msg_heartbeat (&heartbeat));
  g_array_unref (heartbeat.claims);
}

void
peers_send_heartbeats (site_t *site, int64_t now_ms, bool at_once)
{
  GHashTableIter iter;
  void *host = NULL;

  g_hash_table_iter_init (&iter, site->connections);
  while (g_hash_table_iter_next (&iter, &host, NULL))
    if (at_once || cluster_heartbeat_is_due (site->cluster, host, now_ms))
      peers_send_heartbeat (site, host);
}

/* --- known hosts --- */

/* HOST had lost this host, although this host still received its heartbeats.  Frames that are sent
 * on the present connection may never arrive, without any error, so it is replaced. */
void
peers_reconnect (site_t *site, const char *host)
{
  peer_connection_t *connection = g_hash_table_lookup (site->connections, host);

  if (connection == NULL || clock_boot_ms () - connection->opened_at_ms < RECONNECT_MIN_AGE_MS)
    return;
  connection->reconnecting = true;
  net_reconnect (site->net, host);
}

void
peers_free_host (void *data)
{
  known_host_t *known = data;

  g_free (known->address);
  g_free (known->data_centre);
  g_free (known);
}

/* Returns true if HOST is known or may be added.  A name that is not to be kept is not interned. */
static bool
has_room_for_host (site_t *site, const char *host)
{
  if (g_hash_table_size (site->known_hosts) < KNOWN_HOSTS_MAX)
    return true;
  return g_quark_try_string (host) != 0
         && g_hash_table_contains (site->known_hosts, g_intern_string (host));
}

void
peers_add_host (site_t *site,
                const char *host,
                const char *address,
                const char *data_centre,
                int32_t cpu_millicores)
{
  if (!has_room_for_host (site, host))
    {
      counter_add (counter_get ("jaytrail_known_hosts_dropped_total", NULL), 1);
      return;
    }
  const char *interned = g_intern_string (host);
  const known_host_t *previous = g_hash_table_lookup (site->known_hosts, interned);

  if (interned == site->host
      || (previous != NULL && strcmp (previous->address, address) == 0
          && strcmp (previous->data_centre, data_centre) == 0))
    return;
  known_host_t *known = g_new0 (known_host_t, 1);
  known->address = g_strdup (address);
  known->data_centre = g_strdup (data_centre);
  known->cpu_millicores = cpu_millicores;
  g_hash_table_replace (site->known_hosts, (void *) interned, known);
  cluster_add_host (site->cluster, host, data_centre, cpu_millicores);
  site->connect_due_ms = 0;
}

/* Whether others are told of HOST: it is a hub; or its data centre is silent, and those who have
 * started since must know that there is one.  SILENT is that of cluster_silent_data_centres (). */
static bool
is_told_of (const site_t *site, const char *host, const known_host_t *known, GHashTable *silent)
{
  return cluster_host_is_hub (site->cluster, host)
         || (cluster_host_is_first (site->cluster, host)
             && g_hash_table_contains (silent, g_intern_string (known->data_centre)));
}

void
peers_send_hosts (site_t *site, const char *host)
{
  GHashTable *silent = cluster_silent_data_centres (site->cluster, clock_boot_ms ());
  GArray *hosts = g_array_new (FALSE, FALSE, sizeof (cluster_host_t));
  GHashTableIter iter;
  void *key = NULL;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->known_hosts);
  while (g_hash_table_iter_next (&iter, &key, &value) && hosts->len < HOSTS_PER_FRAME_MAX)
    {
      const known_host_t *known = value;
      cluster_host_t listed = { key, known->address, known->data_centre, known->cpu_millicores };
      if (is_told_of (site, key, known, silent))
        g_array_append_val (hosts, listed);
    }
  g_hash_table_unref (silent);
  if (hosts->len > 0 && cluster_is_hub (site->cluster))
    peers_send (site, host,
                cluster_msg_hosts ((const cluster_host_t *) (void *) hosts->data, hosts->len));
  g_array_unref (hosts);
}

static void
dial (site_t *site, known_host_t *known, int64_t now_ms)
{
  if (known->dialed_at_ms != 0 && now_ms - known->dialed_at_ms < REDIAL_INTERVAL_MS)
    return;
  known->dialed_at_ms = now_ms;
  net_add_address (site->net, known->address, known->data_centre, false);
}

void
peers_dial (site_t *site, const char *host, int64_t now_ms)
{
  known_host_t *known = g_hash_table_lookup (site->known_hosts, host);

  if (known != NULL)
    dial (site, known, now_ms);
}

void
peers_connect (site_t *site, int64_t now_ms)
{
  GHashTableIter iter;
  void *host = NULL;
  void *value = NULL;

  if (now_ms < site->connect_due_ms)
    return;
  site->connect_due_ms = now_ms + CONNECT_INTERVAL_MS;
  g_hash_table_iter_init (&iter, site->known_hosts);
  while (g_hash_table_iter_next (&iter, &host, &value))
    {
      if (!g_hash_table_contains (site->connections, host)
          && cluster_needs_connection (site->cluster, host))
        dial (site, value, now_ms);
    }
}
