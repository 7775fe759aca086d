/* site_peers.c -- frames between hosts: beats, tasks, offers, configurations */
#include "daemon/site_private.h"

#include "base/clock.h"
#include "base/counter.h"
#include "cluster/cluster_msg.h"
#include "drain/drain_msg.h"

#include <string.h>

/* Links are looked after this often, and an address is dialed again after that. */
#define LINKS_EVERY_MS 200
#define DIAL_AGAIN_MS 3000
#define ROSTER_HOSTS_MAX 256
/* A connection that is younger is not renewed. */
#define RENEW_AGE_MS 1000

typedef struct
{
  site_t *site;
  const char *host;        /* interned */
  GBytes *frame;           /* NULL for a change of the connection */
  const char *data_centre; /* interned; with UP */
  bool up;
} arrival_t;

/* --- reading --- */

static void
read_submit (site_t *site, const char *host, frame_reader_t *reader)
{
  executor_submit_t submit;

  if (executor_msg_read_submit (reader, clock_boot_ms (), &submit) != 0)
    return;
  submit.batch.coordinator = host;
  if (cluster_accepts_epoch (site->crew, host, submit.epoch))
    owner_submit (site, submit.shard, &submit.batch);
  else if (event_begin (EVENT_BATCH_STALE))
    {
      event_text ("job", submit.batch.job);
      event_number ("batch", (int64_t) submit.batch.batch);
      event_text ("host", host);
      event_end ();
    }
  executor_submit_clear (&submit);
}

static void
read_cancel (site_t *site, const char *host, frame_reader_t *reader)
{
  uint64_t batch = 0;

  if (executor_msg_read_cancel (reader, &batch) != 0)
    return;
  bool never = owner_cancel (site, host, batch);
  peers_send (site, host, executor_msg_cancelled (batch, never));
}

static void
read_release (site_t *site, const char *host, frame_reader_t *reader)
{
  uint64_t batch = 0;

  if (executor_msg_read_cancel (reader, &batch) != 0)
    return;
  owner_release (site, host, batch);
  peers_send (site, host, executor_msg_cancelled (batch, false));
}

/* An endpoint that a neighbour knows of may be missing in the directory, while it can't reach the
 * platform or has just come back. */
static void
read_endpoint (site_t *site, const char *host, frame_reader_t *reader)
{
  executor_entry_t entry;

  (void) host;
  if (executor_msg_read_endpoint (reader, clock_boot_ms (), &entry) != 0)
    return;
  bool known = g_hash_table_contains (site->directory, entry.endpoint.id);
  if (!known || !site->reads)
    site_take_entry (site, &entry);
  if (!known && site->reads)
    log_client_expect_endpoint (site->store, entry.endpoint.id, clock_boot_ms ());
  executor_entry_clear (&entry);
}

void
peers_tell_directory (site_t *site, const char *host)
{
  GHashTableIter iter;
  void *value = NULL;
  const contact_t *contact = g_hash_table_lookup (site->connected, host);

  if (contact == NULL || g_strcmp0 (contact->data_centre, site->settings->data_centre) != 0)
    return;
  g_hash_table_iter_init (&iter, site->directory);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((const executor_entry_t *) value)->shard, site->settings->data_centre) == 0)
      peers_send (site, host, executor_msg_endpoint (value, clock_boot_ms ()));
}

static void
tell_hubs (site_t *site, GBytes *frame)
{
  GHashTableIter iter;
  void *host = NULL;

  g_hash_table_iter_init (&iter, site->connected);
  while (g_hash_table_iter_next (&iter, &host, NULL))
    if (cluster_host_needs_directory (site->crew, host))
      peers_send (site, host, g_bytes_ref (frame));
  g_bytes_unref (frame);
}

void
peers_tell_entry (site_t *site, const executor_entry_t *entry)
{
  if (site->reads && strcmp (entry->shard, site->settings->data_centre) == 0)
    tell_hubs (site, executor_msg_endpoint (entry, clock_boot_ms ()));
}

void
peers_tell_gone (site_t *site, const char *id)
{
  if (site->reads)
    tell_hubs (site, executor_msg_endpoint_removed (id));
}

static void
read_gone (site_t *site, const char *host, frame_reader_t *reader)
{
  char *id = NULL;

  (void) host;
  if (executor_msg_read_endpoint_removed (reader, &id) != 0)
    return;
  if (!site->reads)
    site_drop_entry (site, id);
  g_free (id);
}

static void
read_forget (site_t *site, const char *host, frame_reader_t *reader)
{
  char *job = NULL;
  bool relay = false;

  (void) host;
  if (executor_msg_read_cancel_job (reader, &job, &relay) != 0)
    return;
  if (relay)
    peers_send_all (site, executor_msg_cancel_job (job, false));
  scheduler_cancel (site->flow, job, clock_boot_ms (), site->scheduler_actions);
  site_run_flow_actions (site);
  g_free (job);
}

static void
read_cancelled (site_t *site, const char *host, frame_reader_t *reader)
{
  uint64_t batch = 0;
  bool never = false;

  if (executor_msg_read_cancelled (reader, &batch, &never) != 0)
    return;
  scheduler_batch_end_confirmed (site->flow, host, batch, never, clock_boot_ms (),
                                 site->scheduler_actions);
  site_run_flow_actions (site);
}

/* What this host has sent or was sent may be lost. */
static void
resync (site_t *site, const char *host)
{
  scheduler_resend_batches (site->flow, host, site->scheduler_actions);
  site_run_flow_actions (site);
}

/* Ends that it has told this host may be lost. */
static void
read_resync (site_t *site, const char *host, frame_reader_t *reader)
{
  (void) reader;
  resync (site, host);
}

static void
read_ends (site_t *site, const char *host, frame_reader_t *reader)
{
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (executor_task_end_t));

  if (executor_msg_read_task_ends (reader, ends) == 0)
    for (guint i = 0; i < ends->len; i++)
      site_end_task (site, host, &g_array_index (ends, executor_task_end_t, i));
  g_array_unref (ends);
}

static void
read_offer (site_t *site, const char *host, frame_reader_t *reader)
{
  executor_offer_msg_t offer;

  if (executor_msg_read_offer (reader, &offer) != 0)
    return;
  scheduler_set_offers (site->flow, offer.shard, host,
                        (const executor_offer_t *) (void *) offer.offers->data, offer.offers->len,
                        offer.waiting);
  scheduler_set_loads (site->flow, offer.shard, host,
                       (const executor_load_t *) (void *) offer.loads->data, offer.loads->len,
                       clock_boot_ms ());
  executor_offer_msg_clear (&offer);
}

static void
read_beat (site_t *site, const char *host, frame_reader_t *reader)
{
  cluster_heartbeat_t beat;

  (void) host;
  if (cluster_msg_read_heartbeat (reader, &beat) != 0)
    return;
  int64_t now_ms = clock_boot_ms ();
  cluster_receive_heartbeat (site->crew, &beat, now_ms, site->crew_actions);
  cluster_step (site->crew, now_ms, clock_wall_ms (), site->crew_actions);
  cluster_heartbeat_clear (&beat);
}

static void
read_config_pull (site_t *site, const char *host, frame_reader_t *reader)
{
  gsize size = 0;

  (void) reader;
  /* A host that has just started needs both before it places anything. */
  drain_tell (site, host);
  if (site->queues_data == NULL)
    return;
  const void *data = g_bytes_get_data (site->queues_data, &size);
  peers_send (site, host, cluster_msg_config (data, size));
}

static void
read_config (site_t *site, const char *host, frame_reader_t *reader)
{
  const void *data = NULL;
  size_t size = 0;

  if (cluster_msg_read_config (reader, &data, &size) == 0)
    site_take_config (site, data, size, host);
}

static void
read_roster (site_t *site, const char *host, frame_reader_t *reader)
{
  GArray *hosts = g_array_new (FALSE, FALSE, sizeof (cluster_host_t));

  (void) host;
  g_array_set_clear_func (hosts, cluster_host_clear);
  if (cluster_msg_read_hosts (reader, hosts) == 0)
    for (guint i = 0; i < hosts->len; i++)
      {
        const cluster_host_t *one = &g_array_index (hosts, cluster_host_t, i);
        peers_know (site, one->host, one->address, one->data_centre, one->cpu_millicores);
      }
  g_array_unref (hosts);
}

static const struct
{
  int type;
  void (*read) (site_t *site, const char *host, frame_reader_t *reader);
} readers[] = {
  { EXECUTOR_MSG_SUBMIT, read_submit },         { EXECUTOR_MSG_CANCEL, read_cancel },
  { EXECUTOR_MSG_TASK_ENDS, read_ends },        { EXECUTOR_MSG_CANCELLED, read_cancelled },
  { EXECUTOR_MSG_OFFER, read_offer },           { EXECUTOR_MSG_RELEASE, read_release },
  { EXECUTOR_MSG_CANCEL_JOB, read_forget },     { EXECUTOR_MSG_ENDPOINT, read_endpoint },
  { EXECUTOR_MSG_ENDPOINT_REMOVED, read_gone }, { EXECUTOR_MSG_RESYNC, read_resync },
  { CLUSTER_MSG_HEARTBEAT, read_beat },         { CLUSTER_MSG_CONFIG_REQUEST, read_config_pull },
  { CLUSTER_MSG_CONFIG, read_config },          { CLUSTER_MSG_HOSTS, read_roster },
  { DRAIN_MSG_SET_REQUEST, drain_read_pull },   { DRAIN_MSG_SET, drain_read_set },
  { DRAIN_MSG_RUNNING_TASKS, drain_read_runs },
};

static void
read_frame (site_t *site, const char *host, GBytes *frame)
{
  frame_reader_t *reader = NULL;
  gsize size = 0;
  const void *data = g_bytes_get_data (frame, &size);

  if (frame_parse (data, size, &reader) != 0)
    return;
  for (gsize i = 0; i < G_N_ELEMENTS (readers); i++)
    if (readers[i].type == frame_type (reader))
      readers[i].read (site, host, reader);
  frame_reader_free (reader);
}

/* --- from the net's thread to the loop --- */

static void
on_arrival (void *data)
{
  arrival_t *arrival = data;
  site_t *site = arrival->site;

  if (arrival->frame != NULL)
    {
      read_frame (site, arrival->host, arrival->frame);
      g_bytes_unref (arrival->frame);
    }
  else if (arrival->up)
    {
      contact_t *contact = g_new0 (contact_t, 1);
      contact->data_centre = arrival->data_centre;
      contact->up_at_ms = clock_boot_ms ();
      g_hash_table_replace (site->connected, (void *) arrival->host, contact);
      peers_beat_host (site, arrival->host);
      peers_send (site, arrival->host, executor_msg_resync ());
      resync (site, arrival->host);
    }
  else
    {
      const contact_t *contact = g_hash_table_lookup (site->connected, arrival->host);
      bool renewing = contact != NULL && contact->renewing;
      g_hash_table_remove (site->connected, arrival->host);
      if (!renewing)
        cluster_connection_lost (site->crew, arrival->host, clock_boot_ms ());
    }
  g_free (arrival);
  site_pump (site);
}

static void
post (site_t *site, const char *host, const char *data_centre, GBytes *frame, bool up)
{
  arrival_t *arrival = g_new0 (arrival_t, 1);

  arrival->site = site;
  arrival->host = g_intern_string (host);
  arrival->frame = frame != NULL ? g_bytes_ref (frame) : NULL;
  arrival->data_centre = g_intern_string (data_centre);
  arrival->up = up;
  loop_post (site->loop, on_arrival, arrival);
}

static void
on_frame (const char *host, GBytes *frame, void *data)
{
  post (data, host, NULL, frame, false);
}

static void
on_up (const net_peer_t *peer, void *data)
{
  post (data, peer->host, peer->data_centre, NULL, true);
}

static void
on_down (const char *host, void *data)
{
  post (data, host, NULL, NULL, false);
}

static const net_ops_t net_ops = { on_frame, on_up, on_down };

int
peers_start (site_t *site)
{
  const platform_settings_t *settings = site->settings;
  net_options_t options = {
    .listen = settings->peer_listen,
    .self = { (char *) site->host, settings->data_centre, settings->peer_address,
              site->incarnation },
    .ops = &net_ops,
    .data = site,
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
  /* What can't be sent is made good when the connection is back, or the host is lost. */
  if (net_send (site->net, host, frame) != 0)
    counter_add (counter_get ("jaytrail_frames_unsent_total", NULL), 1);
}

void
peers_send_all (site_t *site, GBytes *frame)
{
  GHashTableIter iter;
  void *key = NULL;

  g_hash_table_iter_init (&iter, site->connected);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    peers_send (site, key, g_bytes_ref (frame));
  g_bytes_unref (frame);
}

void
peers_beat_host (site_t *site, const char *host)
{
  cluster_heartbeat_t beat;

  cluster_make_heartbeat (site->crew, host, clock_boot_ms (), &beat);
  beat.drains_end_offset = drains_end_offset (site->drains);
  beat.config_version = site->queues != NULL ? site->queues->version : 0;
  peers_send (site, host, cluster_msg_heartbeat (&beat));
  g_array_unref (beat.claims);
}

/* AT_ONCE: something that others should know has changed. */
void
peers_beat (site_t *site, int64_t now_ms, bool at_once)
{
  GHashTableIter iter;
  void *host = NULL;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->connected);
  while (g_hash_table_iter_next (&iter, &host, &value))
    {
      contact_t *contact = value;
      if (now_ms < contact->beat_due_ms && !at_once)
        continue;
      contact->beat_due_ms = now_ms + cluster_heartbeat_interval_ms (site->crew, host);
      peers_beat_host (site, host);
    }
}

/* --- who is connected --- */

/* HOST had lost this one, which hears it all the same: what is sent on a connection from before may
 * never arrive, though nothing shows that it is broken. */
void
peers_renew (site_t *site, const char *host)
{
  contact_t *contact = g_hash_table_lookup (site->connected, host);

  if (contact == NULL || clock_boot_ms () - contact->up_at_ms < RENEW_AGE_MS)
    return;
  contact->renewing = true;
  net_reconnect (site->net, host);
}

void
peers_free_known (void *data)
{
  known_t *known = data;

  g_free (known->address);
  g_free (known->data_centre);
  g_free (known);
}

void
peers_know (site_t *site,
            const char *host,
            const char *address,
            const char *data_centre,
            int32_t power)
{
  const char *interned = g_intern_string (host);
  const known_t *before = g_hash_table_lookup (site->known, interned);

  if (interned == site->host
      || (before != NULL && strcmp (before->address, address) == 0
          && strcmp (before->data_centre, data_centre) == 0))
    return;
  known_t *known = g_new0 (known_t, 1);
  known->address = g_strdup (address);
  known->data_centre = g_strdup (data_centre);
  known->power = power;
  g_hash_table_replace (site->known, (void *) interned, known);
  cluster_add_host (site->crew, host, data_centre, power);
  site->links_due_ms = 0;
}

void
peers_tell_roster (site_t *site, const char *host)
{
  GArray *hosts = g_array_new (FALSE, FALSE, sizeof (cluster_host_t));
  GHashTableIter iter;
  void *key = NULL;
  void *value = NULL;

  g_hash_table_iter_init (&iter, site->known);
  while (g_hash_table_iter_next (&iter, &key, &value) && hosts->len < ROSTER_HOSTS_MAX)
    {
      const known_t *known = value;
      cluster_host_t one = { key, known->address, known->data_centre, known->power };
      if (cluster_host_is_hub (site->crew, key))
        g_array_append_val (hosts, one);
    }
  if (hosts->len > 0 && cluster_is_hub (site->crew))
    peers_send (site, host,
                cluster_msg_hosts ((const cluster_host_t *) (void *) hosts->data, hosts->len));
  g_array_unref (hosts);
}

void
peers_keep_links (site_t *site, int64_t now_ms)
{
  GHashTableIter iter;
  void *host = NULL;
  void *value = NULL;

  if (now_ms < site->links_due_ms)
    return;
  site->links_due_ms = now_ms + LINKS_EVERY_MS;
  g_hash_table_iter_init (&iter, site->known);
  while (g_hash_table_iter_next (&iter, &host, &value))
    {
      known_t *known = value;
      if (g_hash_table_contains (site->connected, host)
          || (known->dialed_at_ms != 0 && now_ms - known->dialed_at_ms < DIAL_AGAIN_MS)
          || !cluster_needs_connection (site->crew, host))
        continue;
      known->dialed_at_ms = now_ms;
      net_add_address (site->net, known->address, known->data_centre, false);
    }
}

void
peers_forget_job (site_t *site, const char *job)
{
  const char *hub = cluster_find_hub (site->crew);

  if (cluster_is_hub (site->crew) || hub == NULL)
    peers_send_all (site, executor_msg_cancel_job (job, false));
  else
    peers_send (site, hub, executor_msg_cancel_job (job, true));
}
