/* part_burn.c -- service-level counters of this host, and copies of those of peers
 *
 * REPLICAS peers hold copies of the counters of this host.  These holders are the
 * connected peers with the highest rendezvous weights, where peers of this data
 * centre come first.  A new holder gets all counters, and then, every
 * SEND_INTERVAL_MS, the buckets that may have changed since its last frame.  When
 * this host drains, it forwards the copies of hosts that are no longer connected.
 */
#include "daemon/part_burn.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"
#include "slo/report.h"
#include "slo/counters_msg.h"
#include "daemon/part_config.h"

#include <string.h>

#define REPLICAS 2
#define SEND_INTERVAL_MS 10000
/* Interval while this host drains, so that its last answers are not lost with it. */
#define SEND_DRAINING_INTERVAL_MS 200
#define DEFAULT_TARGET_MS 1000

typedef struct
{
  part_t base;
  part_t *config;
  slo_counters_t *burn;
  GHashTable
      *last_sent_minute;   /* holder's host id -> minute of its last frame, stored as a pointer */
  int64_t next_send_at_ms; /* boot clock */
} burn_part_t;

static int64_t
target_ms_of_plan (const burn_part_t *part, const char *plan)
{
  const config_t *config = part_config_current (part->config);
  const config_limit_t *limit = config == NULL ? NULL : config_limit_of (config, plan);

  return limit == NULL || limit->target_ms <= 0 ? DEFAULT_TARGET_MS : limit->target_ms;
}

void
part_burn_record (part_t *base,
                  const char *plan,
                  const char *kind,
                  int error,
                  int64_t elapsed_ms,
                  int32_t tasks,
                  int64_t now_ms)
{
  (void) now_ms;
  burn_part_t *part = (burn_part_t *) base;

  if (plan == NULL || kind == NULL || tasks <= 0)
    return;
  slo_count_tasks (part->burn, plan, kind, error, elapsed_ms > target_ms_of_plan (part, plan),
                   (uint32_t) tasks, clock_wall_ms ());
}

/* --- copies at peers --- */

typedef struct
{
  burn_part_t *part;
  char *hosts[REPLICAS];
  uint64_t weights[REPLICAS];
} holders_t;

/* Adds PEER to the holders if its weight is among the highest so far. */
static void
rank_holder (const daemon_peer_t *peer, void *data)
{
  holders_t *holders = data;
  daemon_t *daemon = holders->part->base.daemon;
  bool is_local = g_strcmp0 (peer->data_centre, daemon_data_centre (daemon)) == 0;
  /* The top bit is set for peers of this data centre, so that they come first. */
  uint64_t weight = hash_rendezvous (daemon_host_id (daemon), peer->host) >> 1;
  char *host = g_strdup (peer->host);

  weight |= is_local ? UINT64_C (1) << 63 : 0;
  for (int i = 0; i < REPLICAS && peer->connected; i++)
    {
      if (holders->hosts[i] != NULL && holders->weights[i] >= weight)
        continue;
      char *displaced_host = holders->hosts[i];
      uint64_t displaced_weight = holders->weights[i];
      holders->hosts[i] = host;
      holders->weights[i] = weight;
      host = displaced_host;
      weight = displaced_weight;
      if (host == NULL)
        break;
    }
  g_free (host);
}

static void
holders_clear (holders_t *holders)
{
  for (int i = 0; i < REPLICAS; i++)
    g_free (holders->hosts[i]);
}

typedef struct
{
  burn_part_t *part;
  const char *host;
  int result;
} send_walk_t;

static void
send_frame (GBytes *frame, void *data)
{
  send_walk_t *walk = data;
  int result = daemon_send (walk->part->base.daemon, walk->host, frame);

  if (result != 0)
    walk->result = result;
}

/* Sends HOST the buckets of this host's own counters that HOST may lack. */
static void
send_own_counters (burn_part_t *part, const char *host, int64_t wall_ms)
{
  int64_t since = GPOINTER_TO_INT (g_hash_table_lookup (part->last_sent_minute, host));
  send_walk_t walk = { part, host, 0 };

  slo_msg_write (slo_local_source (part->burn), since, wall_ms, send_frame, &walk);
  if (walk.result != 0)
    g_hash_table_remove (part->last_sent_minute, host);
  else
    g_hash_table_insert (part->last_sent_minute, g_strdup (host),
                         GINT_TO_POINTER ((int) (wall_ms / SLO_MINUTE_MS)));
}

static void
send_to_holders (burn_part_t *part)
{
  holders_t holders = { .part = part };
  int64_t wall_ms = clock_wall_ms ();

  daemon_foreach_peer (part->base.daemon, rank_holder, &holders);
  for (int i = 0; i < REPLICAS && holders.hosts[i] != NULL; i++)
    send_own_counters (part, holders.hosts[i], wall_ms);
  holders_clear (&holders);
  slo_prune (part->burn, wall_ms);
}

static void
burn_tick (part_t *base, int64_t now_ms)
{
  burn_part_t *part = (burn_part_t *) base;

  if (now_ms < part->next_send_at_ms)
    return;
  part->next_send_at_ms =
      now_ms + (daemon_is_draining (base->daemon) ? SEND_DRAINING_INTERVAL_MS : SEND_INTERVAL_MS);
  send_to_holders (part);
}

/* After a reconnection the holder gets all counters again, since its process may be new or
 * a frame may have been lost. */
static void
burn_peer_down (part_t *base, const char *host, int64_t now_ms)
{
  (void) now_ms;
  g_hash_table_remove (((burn_part_t *) base)->last_sent_minute, host);
}

static void
burn_frame (part_t *base, const char *from, frame_reader_t *reader, int64_t now_ms)
{
  (void) now_ms;
  burn_part_t *part = (burn_part_t *) base;

  if (frame_type (reader) != FRAME_SLO_COUNTS)
    return;
  int result = slo_msg_read (part->burn, reader, clock_wall_ms ());
  if (result != 0)
    log_warning ("burn", "Rejected service-level counters from a peer.", "peer", from, "error",
                 error_name (result), NULL);
}

typedef struct
{
  burn_part_t *part;
  const holders_t *holders;
} forward_walk_t;

/* Sends the copy in SOURCE to the holders if its own host is no longer connected. */
static void
forward_if_departed (slo_source_t *source, void *data)
{
  const forward_walk_t *walk = data;
  slo_source_info_t info = slo_source_info (source);
  daemon_peer_t peer = { 0 };
  bool is_connected = daemon_find_peer (walk->part->base.daemon, info.host, &peer) && peer.connected
                      && peer.incarnation == info.incarnation;

  for (int i = 0;
       i < REPLICAS && walk->holders->hosts[i] != NULL && !info.is_local && !is_connected; i++)
    {
      send_walk_t send = { walk->part, walk->holders->hosts[i], 0 };
      slo_msg_write (source, 0, info.as_of_ms, send_frame, &send);
    }
}

static void
burn_drain (part_t *base, int64_t now_ms)
{
  (void) now_ms;
  burn_part_t *part = (burn_part_t *) base;
  holders_t holders = { .part = part };
  forward_walk_t walk = { part, &holders };

  send_to_holders (part);
  daemon_foreach_peer (base->daemon, rank_holder, &holders);
  slo_foreach_source (part->burn, forward_if_departed, &walk);
  holders_clear (&holders);
  part->next_send_at_ms = 0;
}

/* --- GET /v1/burn --- */

static void
add_objective (const config_limit_t *limit, void *data)
{
  json_object *row = json_object_new_object ();

  json_object_object_add (row, "target_ms", json_object_new_int64 (limit->target_ms));
  json_object_object_add (row, "objective_ppm", json_object_new_int64 (limit->objective_ppm));
  json_object_object_add (data, limit->plan, row);
}

static void
add_peer (const daemon_peer_t *peer, void *data)
{
  if (peer->connected)
    json_object_array_add (data, json_object_new_string (peer->host));
}

void
part_burn_report (part_t *base, json_object *out)
{
  burn_part_t *part = (burn_part_t *) base;
  const config_t *config = part_config_current (part->config);
  json_object *plans = json_object_new_object ();
  json_object *peers = json_object_new_array ();

  if (config != NULL)
    config_foreach_limit (config, add_objective, plans);
  daemon_foreach_peer (base->daemon, add_peer, peers);
  json_object_object_add (out, "host", json_object_new_string (daemon_host_id (base->daemon)));
  json_object_object_add (out, "data_centre",
                          json_object_new_string (daemon_data_centre (base->daemon)));
  json_object_object_add (out, "revision",
                          json_object_new_int64 (config == NULL ? 0 : config_revision (config)));
  json_object_object_add (out, "plans", plans);
  json_object_object_add (out, "peers", peers);
  slo_report (part->burn, clock_wall_ms (), out);
}

static const part_ops_t burn_ops = { .name = "burn",
                                     .frame_first = FRAME_BURN_FIRST,
                                     .frame_last = FRAME_BURN_LAST,
                                     .frame = burn_frame,
                                     .tick = burn_tick,
                                     .peer_down = burn_peer_down,
                                     .drain = burn_drain };

part_t *
part_burn_new (daemon_t *daemon, part_t *config)
{
  burn_part_t *part = g_new0 (burn_part_t, 1);

  part->base.ops = &burn_ops;
  part->base.daemon = daemon;
  part->config = config;
  part->burn =
      slo_counters_new (daemon_host_id (daemon), daemon_incarnation (daemon), clock_wall_ms ());
  part->last_sent_minute = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  daemon_add_part (daemon, &part->base);
  return &part->base;
}
