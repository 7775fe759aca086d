/* daemon.c -- the control thread: queue of closures, ticks, parts and peers
 *
 * All events reach the control thread through one queue, which keeps the events
 * of a peer in order: connected, its frames, disconnected.  Ticks run between
 * closures and are not queued, so that they do not accumulate behind a backlog.
 */
#include "daemon/daemon.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/log.h"
#include "base/queue.h"

#include <stdatomic.h>
#include <string.h>

#define PART "daemon"
/* A stopping daemon keeps its listeners open for this long after its last job, for
 * requests that were sent before the load balancer noticed that it is stopping. */
#define DRAINED_LINGER_MS 300

typedef struct
{
  daemon_peer_t info;
  char *host;
  char *data_centre;
  char *address;
} peer_t;

typedef struct
{
  void (*function) (void *data);
  void *data;
} closure_t;

struct daemon_t
{
  const settings_t *settings;
  uint64_t incarnation;
  net_t *net;
  GPtrArray *parts;
  queue_t *queue;
  GHashTable *peers; /* host id -> peer_t */
  int64_t now_ms;
  int64_t next_tick_at_ms;
  atomic_bool draining;
  atomic_bool stop_now;
  int64_t stop_deadline_at_ms;
  int64_t drained_since_ms;
};

/* A frame or peer event that the network thread passes to the control thread. */
typedef struct
{
  daemon_t *daemon;
  GBytes *frame;
  char *host;
  char *data_centre;
  char *address;
  uint64_t incarnation;
} net_event_t;

static void
net_event_free (net_event_t *event)
{
  if (event->frame != NULL)
    g_bytes_unref (event->frame);
  g_free (event->host);
  g_free (event->data_centre);
  g_free (event->address);
  g_free (event);
}

void
daemon_post (daemon_t *daemon, void (*function) (void *data), void *data)
{
  closure_t *closure = g_new (closure_t, 1);

  closure->function = function;
  closure->data = data;
  queue_push (daemon->queue, closure);
}

/* --- frames and peers --- */

static part_t *
find_part_for_frame (daemon_t *daemon, int type)
{
  for (guint i = 0; i < daemon->parts->len; i++)
    {
      part_t *part = daemon->parts->pdata[i];
      if (part->ops->frame != NULL && type >= part->ops->frame_first
          && type <= part->ops->frame_last)
        return part;
    }
  return NULL;
}

static void
handle_frame (void *data)
{
  net_event_t *event = data;
  daemon_t *daemon = event->daemon;
  frame_reader_t *reader = NULL;
  gsize size = 0;
  const void *bytes = g_bytes_get_data (event->frame, &size);
  peer_t *peer = g_hash_table_lookup (daemon->peers, event->host);

  if (peer != NULL)
    peer->info.last_received_at_ms = daemon->now_ms;
  if (frame_parse (bytes, size, &reader) == 0)
    {
      part_t *part = find_part_for_frame (daemon, frame_type (reader));
      if (part != NULL)
        part->ops->frame (part, event->host, reader, daemon->now_ms);
      frame_reader_free (reader);
    }
  net_event_free (event);
}

static void
on_frame (const char *host, GBytes *frame, void *data)
{
  net_event_t *event = g_new0 (net_event_t, 1);

  event->daemon = data;
  event->host = g_strdup (host);
  event->frame = g_bytes_ref (frame);
  daemon_post (data, handle_frame, event);
}

static void
peer_free (void *data)
{
  peer_t *peer = data;

  g_free (peer->host);
  g_free (peer->data_centre);
  g_free (peer->address);
  g_free (peer);
}

static void
mark_peer_down (daemon_t *daemon, peer_t *peer)
{
  peer->info.connected = false;
  for (guint i = 0; i < daemon->parts->len; i++)
    {
      part_t *part = daemon->parts->pdata[i];
      if (part->ops->peer_down != NULL)
        part->ops->peer_down (part, peer->host, daemon->now_ms);
    }
}

static void
handle_peer_up (void *data)
{
  net_event_t *event = data;
  daemon_t *daemon = event->daemon;
  peer_t *old = g_hash_table_lookup (daemon->peers, event->host);

  if (old != NULL && old->info.connected)
    mark_peer_down (daemon, old);
  peer_t *peer = g_new0 (peer_t, 1);
  peer->host = g_strdup (event->host);
  peer->data_centre = g_strdup (event->data_centre);
  peer->address = g_strdup (event->address);
  peer->info = (daemon_peer_t){ .host = peer->host,
                                .data_centre = peer->data_centre,
                                .address = peer->address,
                                .incarnation = event->incarnation,
                                .connected = true,
                                .last_received_at_ms = daemon->now_ms };
  g_hash_table_replace (daemon->peers, peer->host, peer);
  log_info (PART, "Peer connected.", "peer", peer->host, "data_centre", peer->data_centre,
            "address", peer->address, NULL);
  for (guint i = 0; i < daemon->parts->len; i++)
    {
      part_t *part = daemon->parts->pdata[i];
      if (part->ops->peer_up != NULL)
        part->ops->peer_up (part, peer->host, daemon->now_ms);
    }
  net_event_free (event);
}

static void
handle_peer_down (void *data)
{
  net_event_t *event = data;
  peer_t *peer = g_hash_table_lookup (event->daemon->peers, event->host);

  if (peer != NULL && peer->info.connected)
    {
      log_info (PART, "Peer disconnected.", "peer", peer->host, NULL);
      mark_peer_down (event->daemon, peer);
    }
  net_event_free (event);
}

static void
on_up (const net_peer_t *peer, void *data)
{
  net_event_t *event = g_new0 (net_event_t, 1);

  event->daemon = data;
  event->host = g_strdup (peer->host);
  event->data_centre = g_strdup (peer->data_centre);
  event->address = g_strdup (peer->address);
  event->incarnation = peer->incarnation;
  daemon_post (data, handle_peer_up, event);
}

static void
on_down (const char *host, void *data)
{
  net_event_t *event = g_new0 (net_event_t, 1);

  event->daemon = data;
  event->host = g_strdup (host);
  daemon_post (data, handle_peer_down, event);
}

/* --- event loop --- */

daemon_t *
daemon_new (const settings_t *settings)
{
  daemon_t *daemon = g_new0 (daemon_t, 1);

  daemon->settings = settings;
  daemon->incarnation = (uint64_t) g_random_int () << 32 | g_random_int ();
  daemon->parts = g_ptr_array_new ();
  daemon->queue = queue_new ();
  daemon->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  daemon->now_ms = clock_boot_ms ();
  return daemon;
}

int
daemon_listen (daemon_t *daemon)
{
  static const net_ops_t ops = { on_frame, on_up, on_down };
  const settings_t *settings = daemon->settings;
  net_options_t options = {
    .listen_address = settings->peer_listen,
    .self = { settings->host_id, settings->data_centre, settings->peer_listen,
              daemon->incarnation },
    .ops = &ops,
    .data = daemon,
  };

  int result = net_start (&options, &daemon->net);
  if (result != 0)
    return result;
  for (guint i = 0; i < settings->data_centres->len; i++)
    {
      const settings_data_centre_t *data_centre = settings->data_centres->pdata[i];
      for (guint j = 0; j < data_centre->addresses->len; j++)
        net_add_address (daemon->net, data_centre->addresses->pdata[j], data_centre->name, true);
    }
  return 0;
}

static void
export_traffic_counters (daemon_t *daemon)
{
  net_totals_t totals;

  net_totals (daemon->net, &totals);
  counter_set (counter_get ("jaytrail_peer_frames_total", "direction=\"sent\""),
               totals.sent_frames);
  counter_set (counter_get ("jaytrail_peer_bytes_total", "direction=\"sent\""), totals.sent_bytes);
  counter_set (counter_get ("jaytrail_peer_frames_total", "direction=\"received\""),
               totals.received_frames);
  counter_set (counter_get ("jaytrail_peer_bytes_total", "direction=\"received\""),
               totals.received_bytes);
}

/* Removes peers that have been disconnected for as long as lib/wire keeps their addresses. */
static void
remove_expired_peers (daemon_t *daemon)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, daemon->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (!peer->info.connected
          && daemon->now_ms - peer->info.last_received_at_ms >= NET_ADDRESS_RETENTION_MS)
        g_hash_table_iter_remove (&iter);
    }
}

static void
tick (daemon_t *daemon)
{
  daemon->next_tick_at_ms = daemon->now_ms + DAEMON_TICK_MS;
  export_traffic_counters (daemon);
  remove_expired_peers (daemon);
  for (guint i = 0; i < daemon->parts->len; i++)
    {
      part_t *part = daemon->parts->pdata[i];
      if (part->ops->tick != NULL)
        part->ops->tick (part, daemon->now_ms);
    }
}

static bool
all_drained (daemon_t *daemon)
{
  for (guint i = 0; i < daemon->parts->len; i++)
    {
      part_t *part = daemon->parts->pdata[i];
      if (part->ops->drained != NULL && !part->ops->drained (part, daemon->now_ms))
        return false;
    }
  return true;
}

/* True once all parts have been drained for DRAINED_LINGER_MS without interruption. */
static bool
is_finished (daemon_t *daemon)
{
  if (!atomic_load (&daemon->draining))
    return false;
  if (!all_drained (daemon))
    {
      daemon->drained_since_ms = 0;
      return false;
    }
  if (daemon->drained_since_ms == 0)
    daemon->drained_since_ms = daemon->now_ms;
  return daemon->now_ms - daemon->drained_since_ms >= DRAINED_LINGER_MS;
}

static bool
is_overdue (daemon_t *daemon)
{
  if (atomic_load (&daemon->stop_now))
    return true;
  return atomic_load (&daemon->draining) && daemon->stop_deadline_at_ms > 0
         && daemon->now_ms >= daemon->stop_deadline_at_ms;
}

int
daemon_run (daemon_t *daemon)
{
  for (;;)
    {
      int64_t wait_ms = MAX (daemon->next_tick_at_ms - clock_boot_ms (), 0);
      closure_t *closure = queue_pop (daemon->queue, wait_ms);
      daemon->now_ms = clock_boot_ms ();
      if (closure != NULL)
        {
          closure->function (closure->data);
          g_free (closure);
        }
      if (daemon->now_ms < daemon->next_tick_at_ms)
        continue;
      tick (daemon);
      if (is_overdue (daemon))
        return ERROR_TIMEOUT;
      if (is_finished (daemon))
        return 0;
    }
}

static void
start_drain (void *data)
{
  daemon_t *daemon = data;

  daemon->stop_deadline_at_ms = daemon->now_ms + daemon->settings->stop_after_ms;
  log_info (PART, "Draining: a graceful stop has begun.", NULL);
  for (guint i = 0; i < daemon->parts->len; i++)
    {
      part_t *part = daemon->parts->pdata[i];
      if (part->ops->drain != NULL)
        part->ops->drain (part, daemon->now_ms);
    }
}

void
daemon_drain (daemon_t *daemon)
{
  if (atomic_exchange (&daemon->draining, true))
    atomic_store (&daemon->stop_now, true);
  else
    daemon_post (daemon, start_drain, daemon);
}

/* --- services for parts, see part.h --- */

void
daemon_add_part (daemon_t *daemon, part_t *part)
{
  part->daemon = daemon;
  if (!g_ptr_array_find (daemon->parts, part, NULL))
    g_ptr_array_add (daemon->parts, part);
}

const char *
daemon_host_id (const daemon_t *daemon)
{
  return daemon->settings->host_id;
}

const char *
daemon_data_centre (const daemon_t *daemon)
{
  return daemon->settings->data_centre;
}

uint64_t
daemon_incarnation (const daemon_t *daemon)
{
  return daemon->incarnation;
}

const char *
daemon_peer_address (const daemon_t *daemon)
{
  return daemon->settings->peer_listen;
}

const struct settings_t *
daemon_settings (const daemon_t *daemon)
{
  return daemon->settings;
}

int64_t
daemon_now_ms (const daemon_t *daemon)
{
  return daemon->now_ms;
}

bool
daemon_is_draining (const daemon_t *daemon)
{
  return atomic_load (&daemon->draining);
}

bool
daemon_find_peer (daemon_t *daemon, const char *host, daemon_peer_t *out)
{
  const peer_t *peer = g_hash_table_lookup (daemon->peers, host);

  if (peer == NULL)
    return false;
  *out = peer->info;
  return true;
}

void
daemon_foreach_peer (daemon_t *daemon,
                     void (*each) (const daemon_peer_t *peer, void *data),
                     void *data)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, daemon->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    each (&((peer_t *) value)->info, data);
}

void
daemon_add_address (daemon_t *daemon, const char *address, const char *data_centre)
{
  net_add_address (daemon->net, address, data_centre, false);
}

int
daemon_send (daemon_t *daemon, const char *host, GBytes *frame)
{
  if (strcmp (host, daemon->settings->host_id) != 0)
    return net_send (daemon->net, host, frame);
  gsize size = g_bytes_get_size (frame);
  GBytes *inner = g_bytes_new_from_bytes (frame, FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES);
  on_frame (host, inner, daemon);
  g_bytes_unref (inner);
  g_bytes_unref (frame);
  return 0;
}

void
daemon_block_traffic (daemon_t *daemon, const char *data_centre, bool in, bool out)
{
  net_set_partition (daemon->net, data_centre, in, out);
}

json_object *
daemon_status (daemon_t *daemon)
{
  json_object *status = json_object_new_object ();

  json_object_object_add (status, "host_id", json_object_new_string (daemon_host_id (daemon)));
  json_object_object_add (status, "data_centre",
                          json_object_new_string (daemon_data_centre (daemon)));
  json_object_object_add (status, "draining",
                          json_object_new_boolean (daemon_is_draining (daemon)));
  for (guint i = 0; i < daemon->parts->len; i++)
    {
      part_t *part = daemon->parts->pdata[i];
      if (part->ops->status != NULL)
        part->ops->status (part, status);
    }
  return status;
}
