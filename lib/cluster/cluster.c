/* cluster.c -- host liveness by heartbeats, and the epochs that fence the messages of lost hosts
 *
 * A host is alive from its first heartbeat until it has been silent for longer than its heartbeat
 * interval allows.  Each time a host is lost, a new epoch is expected of it, so that messages that
 * it sent before are refused.
 */
#include "cluster/state.h"

#include <string.h>

/* A host is lost after this much silence.  The first limit applies to hosts of the same data centre
 * whose heartbeats come every HEARTBEAT_LOCAL_MS. */
#define TIMEOUT_LOCAL_MS 450
#define TIMEOUT_REMOTE_MS 800
/* A host whose heartbeats come at longer intervals than HEARTBEAT_REMOTE_MS is lost after the
 * silence of this many intervals plus slack. */
#define TIMEOUT_INTERVALS 3
#define TIMEOUT_SLACK_MS 50
/* How often the ranking is updated while no host is found or lost. */
#define RANKING_INTERVAL_MS 200
/* Upper bound of the two fixed limits, as a percentage of the time after which callers submit
 * again: owners must be ending the tasks of a lost coordinator before the same jobs are submitted
 * anew. */
#define TIMEOUT_RETRANSMIT_PERCENT 60
/* A host whose last returned clock is older than this percentage of that time is lost, however
 * recently its heartbeats have arrived. */
#define ECHO_RETRANSMIT_PERCENT 80
/* A host whose connection broke is lost unless it is heard again within this time. */
#define RECONNECT_GRACE_MS 120
/* A heartbeat that is frequent arrives within this time.  A host of the same data centre counts as
 * lost, and its shard is claimed, only after a longer silence. */
#define RECENTLY_HEARD_MS (HEARTBEAT_REMOTE_MS + 100)
/* Hosts that have all been up for no longer than this are taken to have started together. */
#define RECENT_START_MS 5000

void
cluster_heartbeat_clear (cluster_heartbeat_t *heartbeat)
{
  g_free (heartbeat->host);
  g_free (heartbeat->data_centre);
  for (guint i = 0; heartbeat->claims != NULL && i < heartbeat->claims->len; i++)
    g_free (g_array_index (heartbeat->claims, cluster_claim_t, i).shard);
  if (heartbeat->claims != NULL)
    g_array_unref (heartbeat->claims);
  *heartbeat = (cluster_heartbeat_t){ 0 };
}

static void
free_peer (void *data)
{
  peer_t *peer = data;

  g_free (peer->data_centre);
  g_array_unref (peer->claims);
  g_free (peer);
}

cluster_t *
cluster_new (const cluster_options_t *options, int64_t now_ms)
{
  cluster_t *cluster = g_new0 (cluster_t, 1);

  cluster->host = g_intern_string (options->host);
  cluster->data_centre = g_strdup (options->data_centre);
  cluster->incarnation = options->incarnation;
  cluster->cpu_millicores = options->cpu_millicores;
  cluster->retransmit_ms = options->retransmit_ms;
  cluster->observing_since_ms = now_ms;
  cluster->started_at_ms = now_ms;
  cluster->last_epoch = options->incarnation;
  cluster->hubs_per_data_centre = options->hubs_per_data_centre;
  cluster->ranking = ranking_new (options->host, options->data_centre, options->cpu_millicores,
                                  options->hubs_per_data_centre);
  cluster->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_peer);
  cluster->shards = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  cluster->data_centres = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  cluster->sent_heartbeats = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return cluster;
}

void
cluster_free (cluster_t *cluster)
{
  if (cluster == NULL)
    return;
  g_hash_table_unref (cluster->peers);
  g_hash_table_unref (cluster->shards);
  g_hash_table_unref (cluster->data_centres);
  g_hash_table_unref (cluster->sent_heartbeats);
  ranking_free (cluster->ranking);
  g_free (cluster->data_centre);
  g_free (cluster);
}

cluster_action_t *
cluster_add_action (GArray *actions, cluster_action_kind_t kind, const char *reason)
{
  cluster_action_t action = { .kind = kind, .reason = reason };

  g_array_append_val (actions, action);
  return &g_array_index (actions, cluster_action_t, actions->len - 1);
}

shard_t *
cluster_find_shard (cluster_t *cluster, const char *name)
{
  const char *interned = g_intern_string (name);
  shard_t *shard = g_hash_table_lookup (cluster->shards, interned);

  if (shard == NULL)
    {
      shard = g_new0 (shard_t, 1);
      shard->name = interned;
      g_hash_table_insert (cluster->shards, (void *) interned, shard);
    }
  return shard;
}

void
cluster_add_shard (cluster_t *cluster, const char *data_centre)
{
  cluster_find_shard (cluster, data_centre);
}

void
cluster_set_ready (cluster_t *cluster, bool ready, int64_t now_ms)
{
  if (ready && !cluster->ready)
    cluster->ready_since_ms = now_ms;
  cluster->ready = ready;
}

void
cluster_leave (cluster_t *cluster)
{
  cluster->leaving = true;
}

/* --- peers --- */

static void
set_claims (cluster_t *cluster, peer_t *peer, const GArray *claims)
{
  g_array_set_size (peer->claims, 0);
  for (guint i = 0; claims != NULL && i < claims->len; i++)
    {
      cluster_claim_t claim = g_array_index (claims, cluster_claim_t, i);
      claim.shard = (char *) g_intern_string (claim.shard);
      cluster->highest_token = MAX (cluster->highest_token, claim.token);
      g_array_append_val (peer->claims, claim);
      cluster_find_shard (cluster, claim.shard);
    }
}

/* Whether heartbeats are frequent in both directions, so that PEER returns a clock soon. */
static bool
returns_clocks (const cluster_t *cluster, const peer_t *peer)
{
  const sent_heartbeat_t *sent = g_hash_table_lookup (cluster->sent_heartbeats, peer->host);

  return cluster->retransmit_ms != 0 && sent != NULL && sent->interval_ms <= HEARTBEAT_REMOTE_MS
         && peer->interval_ms <= HEARTBEAT_REMOTE_MS;
}

/* The latest time at which PEER was certainly alive by the clocks that it has returned.  0 if that
 * is not known: a returned clock tells it only while heartbeats are frequent in both directions. */
static int64_t
returned_clock_ms (const cluster_t *cluster, const peer_t *peer)
{
  const sent_heartbeat_t *sent = g_hash_table_lookup (cluster->sent_heartbeats, peer->host);

  if (peer->echo_ms == 0 || !returns_clocks (cluster, peer))
    return 0;
  return MAX (peer->echo_ms, MAX (peer->frequent_since_ms, sent->frequent_since_ms));
}

static int64_t
alive_at_ms (const cluster_t *cluster, const peer_t *peer)
{
  int64_t returned_ms = returned_clock_ms (cluster, peer);

  return returned_ms != 0 ? MIN (returned_ms, peer->last_heard_at_ms) : peer->last_heard_at_ms;
}

/* The latest time before which PEER has certainly received what was sent to it.  A broken
 * connection takes nothing from that.  One that was lost and is heard, but returns no clock, may
 * receive nothing. */
static int64_t
received_at_ms (const cluster_t *cluster, const peer_t *peer)
{
  int64_t returned_ms = returned_clock_ms (cluster, peer);

  if (returned_ms == 0 && peer->resumed && returns_clocks (cluster, peer))
    return peer->told_before_loss_ms;
  return returned_ms != 0 ? returned_ms : peer->heartbeat_at_ms;
}

static void
mark_lost (cluster_t *cluster, peer_t *peer, const char *reason, int64_t now_ms, GArray *actions)
{
  int64_t alive_ms = alive_at_ms (cluster, peer);

  ranking_set_alive (cluster->ranking, peer->host, false, now_ms);
  peer->alive = false;
  peer->lost_at_ms = now_ms;
  peer->told_before_loss_ms = received_at_ms (cluster, peer);
  peer->echo_ms = 0;
  peer->expected_epoch = ++cluster->last_epoch;
  cluster->ranking_due_ms = 0;
  g_array_set_size (peer->claims, 0);
  cluster_action_t *action = cluster_add_action (actions, CLUSTER_HOST_LOST, reason);
  action->host = peer->host;
  action->last_heard_at_ms = peer->heartbeat_at_ms;
  action->alive_at_ms = alive_ms;
}

/* Takes in the clocks of HEARTBEAT.  A clock of this host that was sent before PEER was lost, or
 * before this host was started, says nothing about PEER as it is now. */
static void
set_clocks (const cluster_t *cluster,
            peer_t *peer,
            const cluster_heartbeat_t *heartbeat,
            int64_t now_ms)
{
  int64_t echo_min_ms = MAX (cluster->started_at_ms, peer->lost_at_ms);

  peer->clock_ms = heartbeat->clock_ms;
  if (heartbeat->echo_ms >= echo_min_ms && heartbeat->echo_ms <= now_ms)
    peer->echo_ms = MAX (peer->echo_ms, heartbeat->echo_ms);
  if (heartbeat->interval_ms <= HEARTBEAT_REMOTE_MS && peer->interval_ms > HEARTBEAT_REMOTE_MS)
    peer->frequent_since_ms = now_ms;
}

static void
add_restarted (const peer_t *peer, GArray *actions)
{
  cluster_action_t *action = cluster_add_action (actions, CLUSTER_HOST_RESTARTED, NULL);

  action->host = peer->host;
  action->started_at_ms = peer->started_at_ms;
}

/* Whether HEARTBEAT comes from a process that ended before the one of PEER, which is alive, began:
 * it was held up on another connection.  Ages are compared, as clocks may have been set back. */
static bool
is_of_earlier_process (const peer_t *peer, const cluster_heartbeat_t *heartbeat, int64_t now_ms)
{
  return peer->alive && peer->incarnation != heartbeat->incarnation
         && now_ms - heartbeat->uptime_ms < peer->started_at_ms;
}

/* When the sender of HEARTBEAT has started, at the latest.  The less it was held up, the better it
 * tells that. */
static int64_t
started_at_ms (const peer_t *peer, const cluster_heartbeat_t *heartbeat, int64_t now_ms)
{
  int64_t started_ms = now_ms - heartbeat->uptime_ms;

  return peer->incarnation == heartbeat->incarnation && peer->started_at_ms != 0
             ? MIN (peer->started_at_ms, started_ms)
             : started_ms;
}

void
cluster_receive_heartbeat (cluster_t *cluster,
                           const cluster_heartbeat_t *heartbeat,
                           int64_t now_ms,
                           GArray *actions)
{
  const char *host = g_intern_string (heartbeat->host);
  peer_t *peer = g_hash_table_lookup (cluster->peers, host);

  if (host == cluster->host || (peer != NULL && is_of_earlier_process (peer, heartbeat, now_ms)))
    return;
  if (peer == NULL)
    {
      peer = g_new0 (peer_t, 1);
      peer->host = host;
      peer->data_centre = g_strdup (heartbeat->data_centre);
      peer->incarnation = heartbeat->incarnation;
      peer->expected_epoch = ++cluster->last_epoch;
      peer->claims = g_array_new (FALSE, FALSE, sizeof (cluster_claim_t));
      g_hash_table_insert (cluster->peers, (void *) host, peer);
    }
  bool restarted = peer->incarnation != heartbeat->incarnation;
  if (peer->alive && restarted)
    mark_lost (cluster, peer, "it has started anew", now_ms, actions);
  peer->started_at_ms = started_at_ms (peer, heartbeat, now_ms);
  peer->incarnation = heartbeat->incarnation;
  peer->ready = heartbeat->ready;
  peer->leaving = heartbeat->leaving;
  peer->cpu_millicores = heartbeat->cpu_millicores;
  peer->follows_directory = heartbeat->follows_directory;
  set_clocks (cluster, peer, heartbeat, now_ms);
  peer->interval_ms = heartbeat->interval_ms;
  if (restarted)
    add_restarted (peer, actions);
  peer->config_version = heartbeat->config_version;
  peer->drains_end_offset = heartbeat->drains_end_offset;
  peer->last_heard_at_ms = now_ms;
  peer->heartbeat_at_ms = now_ms;
  set_claims (cluster, peer, heartbeat->claims);
  if (restarted)
    {
      peer->resumed = false;
      peer->confirmed_ms = 0;
    }
  if (!peer->alive)
    {
      peer->resumed = !restarted && peer->lost_at_ms != 0;
      ranking_add_host (cluster->ranking, host, peer->data_centre, peer->cpu_millicores);
      ranking_set_alive (cluster->ranking, host, true, now_ms);
      cluster->ranking_due_ms = 0;
      peer->alive = true;
      peer->alive_since_ms = now_ms;
      cluster_action_t *found = cluster_add_action (actions, CLUSTER_HOST_FOUND, NULL);
      found->host = host;
      found->started_at_ms = peer->started_at_ms;
    }
  ranking_set_ended (cluster->ranking, host, false);
  if (peer->send_epoch == heartbeat->expected_epoch)
    return;
  peer->send_epoch = heartbeat->expected_epoch;
  cluster_add_action (actions, CLUSTER_EPOCH_CHANGED, NULL)->host = host;
}

static int64_t
silence_limit_ms (const cluster_t *cluster, const peer_t *peer)
{
  bool local = strcmp (peer->data_centre, cluster->data_centre) == 0;
  int64_t limit_ms =
      local && peer->interval_ms <= HEARTBEAT_LOCAL_MS ? TIMEOUT_LOCAL_MS : TIMEOUT_REMOTE_MS;

  if (peer->interval_ms > HEARTBEAT_REMOTE_MS)
    return TIMEOUT_INTERVALS * peer->interval_ms + TIMEOUT_SLACK_MS;
  return cluster->retransmit_ms > 0
             ? MIN (limit_ms, cluster->retransmit_ms * TIMEOUT_RETRANSMIT_PERCENT / 100)
             : limit_ms;
}

int64_t
cluster_idle_limit_ms (void)
{
  return TIMEOUT_INTERVALS * HEARTBEAT_IDLE_MS + TIMEOUT_SLACK_MS;
}

int64_t
cluster_echo_limit_ms (const cluster_t *cluster)
{
  return cluster->retransmit_ms * ECHO_RETRANSMIT_PERCENT / 100;
}

/* Whether PEER was alive too long ago, although its heartbeats arrive.  This can be told only while
 * heartbeats are frequent in both directions. */
static bool
is_outdated (const cluster_t *cluster, const peer_t *peer, int64_t now_ms)
{
  int64_t returned_ms = returned_clock_ms (cluster, peer);

  return returned_ms != 0 && now_ms - returned_ms > cluster_echo_limit_ms (cluster);
}

void
cluster_connection_lost (cluster_t *cluster, const char *host, int64_t now_ms)
{
  const char *interned = g_intern_string (host);
  peer_t *peer = g_hash_table_lookup (cluster->peers, interned);

  g_hash_table_remove (cluster->sent_heartbeats, interned);
  if (peer == NULL || !peer->alive)
    return;
  int64_t silent_ms = silence_limit_ms (cluster, peer);
  peer->last_heard_at_ms = MIN (peer->last_heard_at_ms, now_ms - silent_ms + RECONNECT_GRACE_MS);
}

/* PEER, which had said that it leaves, is no longer heard and will be removed.  Others of its data
 * centre may be up, and unheard. */
static void
record_left (cluster_t *cluster, const peer_t *peer, int64_t now_ms)
{
  data_centre_t *data_centre = cluster_find_data_centre (cluster, peer->data_centre);

  data_centre->left_at_ms = now_ms;
  data_centre->reached_at_ms = MAX (data_centre->reached_at_ms, peer->told_before_loss_ms);
}

static void
expire_silent_peers (cluster_t *cluster, int64_t now_ms, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;
      int64_t silent_ms = now_ms - peer->last_heard_at_ms;
      if (peer->alive && silent_ms > silence_limit_ms (cluster, peer))
        mark_lost (cluster, peer, "it is silent", now_ms, actions);
      else if (peer->alive && is_outdated (cluster, peer, now_ms))
        mark_lost (cluster, peer, "its heartbeats are delayed", now_ms, actions);
      else if (!peer->alive && (silent_ms > CLUSTER_FORGET_AFTER_MS || peer->leaving))
        {
          if (peer->leaving)
            record_left (cluster, peer, now_ms);
          g_hash_table_iter_remove (&iter);
        }
    }
}

cluster_count_t
cluster_count (const cluster_t *cluster)
{
  cluster_count_t count = { 1, 1 };
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      count.known++;
      count.alive += ((const peer_t *) value)->alive;
    }
  return count;
}

cluster_count_t
cluster_count_recent (const cluster_t *cluster, const char *data_centre, int64_t now_ms)
{
  cluster_count_t count = { 0 };
  GHashTableIter iter;
  void *value = NULL;

  if (data_centre == NULL || strcmp (cluster->data_centre, data_centre) == 0)
    count = (cluster_count_t){ 1, 1 };
  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      bool recent = peer->alive && now_ms - peer->heartbeat_at_ms <= RECENTLY_HEARD_MS;
      if ((peer->interval_ms > HEARTBEAT_REMOTE_MS && !recent)
          || (data_centre != NULL && strcmp (peer->data_centre, data_centre) != 0))
        continue;
      count.known++;
      count.alive += recent;
    }
  return count;
}

/* --- periodic step --- */

void
cluster_step (cluster_t *cluster, int64_t now_ms, int64_t wall_ms, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;

  expire_silent_peers (cluster, now_ms, actions);
  if (now_ms >= cluster->ranking_due_ms)
    {
      ranking_update (cluster->ranking, now_ms);
      cluster->ranking_due_ms = now_ms + RANKING_INTERVAL_MS;
    }
  g_hash_table_iter_init (&iter, cluster->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    shard_claim_step (cluster, value, now_ms, wall_ms, actions);
}

void
cluster_process_resumed (cluster_t *cluster, int64_t now_ms, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      shard_t *shard = value;
      if (shard->owned)
        shard_claim_yield (shard, "this host stood still", actions);
      shard->vacant_since_ms = 0;
    }
  cluster->observing_since_ms = now_ms;
}

const peer_t *
cluster_find_peer (const cluster_t *cluster, const char *host)
{
  return g_hash_table_lookup (cluster->peers, g_intern_string (host));
}

int64_t
cluster_peer_told_at_ms (const cluster_t *cluster, const peer_t *peer, int64_t now_ms)
{
  bool may_not_know = peer->resumed && now_ms - peer->alive_since_ms < CLUSTER_EXCHANGE_MS;

  int64_t told_ms =
      !peer->alive || may_not_know ? peer->told_before_loss_ms : received_at_ms (cluster, peer);

  return MAX (told_ms, peer->confirmed_ms + 1);
}

GHashTable *
cluster_missed_data_centres (const cluster_t *cluster)
{
  GHashTable *missed = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (!peer->alive && !peer->leaving)
        g_hash_table_add (missed, (void *) g_intern_string (peer->data_centre));
    }
  return missed;
}

void
cluster_confirmed (cluster_t *cluster, const char *host, int64_t clock_ms, int64_t now_ms)
{
  peer_t *peer = g_hash_table_lookup (cluster->peers, g_intern_string (host));

  if (peer != NULL && clock_ms >= cluster->started_at_ms && clock_ms <= now_ms)
    peer->confirmed_ms = MAX (peer->confirmed_ms, clock_ms);
}

int64_t
cluster_told_at_ms (const cluster_t *cluster, int64_t now_ms)
{
  int64_t all_told_at_ms = now_ms;
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    all_told_at_ms = MIN (all_told_at_ms, cluster_peer_told_at_ms (cluster, value, now_ms));
  return all_told_at_ms;
}

int64_t
cluster_lost_at_ms (const cluster_t *cluster, const char *host)
{
  const peer_t *peer = cluster_find_peer (cluster, host);

  if (g_intern_string (host) == cluster->host)
    return INT64_MAX;
  if (peer == NULL)
    return 0;
  return peer->alive ? INT64_MAX : peer->lost_at_ms;
}

int64_t
cluster_alive_at_ms (const cluster_t *cluster, const char *host)
{
  const peer_t *peer = cluster_find_peer (cluster, host);

  return peer != NULL ? alive_at_ms (cluster, peer) : 0;
}

/* --- heartbeats and epochs --- */

uint64_t
cluster_send_epoch (const cluster_t *cluster, const char *host)
{
  const peer_t *peer = cluster_find_peer (cluster, host);

  return peer != NULL ? peer->send_epoch : 0;
}

bool
cluster_accepts_tasks (const cluster_t *cluster, const char *host, uint64_t epoch, int64_t now_ms)
{
  const peer_t *peer = cluster_find_peer (cluster, host);

  return peer != NULL && peer->alive && peer->expected_epoch == epoch
         && peer->interval_ms <= HEARTBEAT_REMOTE_MS
         && (cluster->retransmit_ms == 0
             || (peer->echo_ms != 0 && now_ms - peer->echo_ms <= cluster_echo_limit_ms (cluster)));
}

static void
record_heartbeat (cluster_t *cluster, const char *to, int64_t interval_ms, int64_t now_ms)
{
  const char *host = g_intern_string (to);
  const sent_heartbeat_t *last = g_hash_table_lookup (cluster->sent_heartbeats, host);
  bool was_frequent = last != NULL && last->interval_ms <= HEARTBEAT_REMOTE_MS;
  sent_heartbeat_t *sent = g_new (sent_heartbeat_t, 1);

  *sent = (sent_heartbeat_t){ interval_ms, now_ms + interval_ms,
                              was_frequent ? last->frequent_since_ms : now_ms };
  g_hash_table_replace (cluster->sent_heartbeats, (void *) host, sent);
}

void
cluster_make_heartbeat (cluster_t *cluster,
                        const char *to,
                        int64_t now_ms,
                        cluster_heartbeat_t *heartbeat)
{
  const peer_t *peer = cluster_find_peer (cluster, to);
  GHashTableIter iter;
  void *value = NULL;

  *heartbeat =
      (cluster_heartbeat_t){ .host = (char *) cluster->host,
                             .data_centre = cluster->data_centre,
                             .incarnation = cluster->incarnation,
                             .ready = cluster->ready,
                             .leaving = cluster->leaving,
                             .cpu_millicores = cluster->cpu_millicores,
                             .uptime_ms = now_ms - cluster->started_at_ms,
                             .follows_directory = cluster_follows_directory (cluster),
                             .interval_ms = cluster_heartbeat_interval_ms (cluster, to),
                             .expected_epoch = peer != NULL ? peer->expected_epoch : 0,
                             .clock_ms = now_ms,
                             .echo_ms = peer != NULL ? peer->clock_ms : 0,
                             .claims = g_array_new (FALSE, FALSE, sizeof (cluster_claim_t)) };
  g_hash_table_iter_init (&iter, cluster->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const shard_t *shard = value;
      cluster_claim_t claim = { (char *) shard->name, shard->claim_token };
      if (shard->owned && heartbeat->claims->len < CLUSTER_CLAIMS_MAX)
        g_array_append_val (heartbeat->claims, claim);
    }
  record_heartbeat (cluster, to, heartbeat->interval_ms, now_ms);
}

bool
cluster_started_together (const cluster_t *cluster, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  if (now_ms - cluster->started_at_ms > RECENT_START_MS)
    return false;
  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && now_ms - peer->started_at_ms > RECENT_START_MS)
        return false;
    }
  return true;
}

int32_t
cluster_lost_hosts (const cluster_t *cluster)
{
  cluster_count_t all = cluster_count (cluster);

  return all.known - all.alive;
}

int32_t
cluster_alive_hosts (const cluster_t *cluster)
{
  return cluster_count (cluster).alive;
}

const char *
cluster_find_newer_config (const cluster_t *cluster, int64_t version)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && peer->config_version > version)
        return peer->host;
    }
  return NULL;
}

const char *
cluster_find_newer_drains (const cluster_t *cluster, uint64_t end)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && peer->drains_end_offset > end)
        return peer->host;
    }
  return NULL;
}
