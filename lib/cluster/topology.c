/* topology.c -- which hosts connect and follow the directory, and how often they send heartbeats
 *
 * ranking.c selects the hubs; this file derives from that what this host does.
 */
#include "cluster/state.h"

#include <string.h>

/* Up to this many hosts, heartbeats to other data centres are as frequent as local ones.  Applies
 * while all hosts are hubs. */
#define FREQUENT_HEARTBEATS_MAX_HOSTS 12
/* The first hosts in the ranking of each data centre, this many, follow the endpoint directory. */
#define DIRECTORY_FOLLOWERS 3

bool
cluster_owns_any_shard (const cluster_t *cluster)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const shard_t *) value)->owned)
      return true;
  return false;
}

data_centre_t *
cluster_find_data_centre (cluster_t *cluster, const char *name)
{
  const char *interned = g_intern_string (name);
  data_centre_t *data_centre = g_hash_table_lookup (cluster->data_centres, interned);

  if (data_centre == NULL)
    {
      data_centre = g_new0 (data_centre_t, 1);
      data_centre->name = interned;
      g_hash_table_insert (cluster->data_centres, (void *) interned, data_centre);
    }
  return data_centre;
}

void
cluster_add_host (cluster_t *cluster,
                  const char *host,
                  const char *data_centre,
                  int32_t cpu_millicores)
{
  ranking_add_host (cluster->ranking, host, data_centre, cpu_millicores);
  cluster_find_data_centre (cluster, data_centre);
}

void
cluster_host_ended (cluster_t *cluster, const char *host)
{
  ranking_set_ended (cluster->ranking, host, true);
}

bool
cluster_is_hub (const cluster_t *cluster)
{
  return ranking_is_hub (cluster->ranking, cluster->host);
}

bool
cluster_host_is_hub (const cluster_t *cluster, const char *host)
{
  return ranking_is_hub (cluster->ranking, host);
}

bool
cluster_host_is_first (const cluster_t *cluster, const char *host)
{
  return ranking_is_first (cluster->ranking, host);
}

bool
cluster_follows_directory (const cluster_t *cluster)
{
  return ranking_position (cluster->ranking, cluster->host) < DIRECTORY_FOLLOWERS
         || cluster_owns_any_shard (cluster);
}

bool
cluster_needs_connection (const cluster_t *cluster, const char *host)
{
  const peer_t *peer = cluster_find_peer (cluster, host);
  bool host_owns_shard = peer != NULL && peer->alive && peer->claims->len > 0;

  return host_owns_shard || cluster_is_hub (cluster) || cluster_owns_any_shard (cluster)
         || ranking_is_hub (cluster->ranking, host);
}

int64_t
cluster_heartbeat_interval_ms (const cluster_t *cluster, const char *host)
{
  const peer_t *peer = cluster_find_peer (cluster, host);
  bool local = peer == NULL || strcmp (peer->data_centre, cluster->data_centre) == 0;

  if (ranking_all_are_hubs (cluster->ranking))
    return local || ranking_host_count (cluster->ranking) <= FREQUENT_HEARTBEATS_MAX_HOSTS
               ? HEARTBEAT_LOCAL_MS
               : HEARTBEAT_REMOTE_MS;
  bool both_are_hubs = cluster_is_hub (cluster) && ranking_is_hub (cluster->ranking, host);
  if (both_are_hubs)
    return local ? HEARTBEAT_LOCAL_MS : HEARTBEAT_REMOTE_MS;
  /* A host that was lost may still own a shard, and run tasks for this one. */
  bool peer_may_own_shard = peer != NULL && (!peer->alive || peer->claims->len > 0);
  return cluster_owns_any_shard (cluster) || peer_may_own_shard ? HEARTBEAT_REMOTE_MS
                                                                : HEARTBEAT_IDLE_MS;
}

bool
cluster_heartbeat_is_due (const cluster_t *cluster, const char *host, int64_t now_ms)
{
  const sent_heartbeat_t *sent =
      g_hash_table_lookup (cluster->sent_heartbeats, g_intern_string (host));

  return sent == NULL || now_ms >= sent->next_due_ms
         || cluster_heartbeat_interval_ms (cluster, host) < sent->interval_ms;
}

bool
cluster_host_needs_directory (const cluster_t *cluster, const char *host)
{
  const peer_t *peer = cluster_find_peer (cluster, host);

  return peer != NULL && peer->alive && !peer->follows_directory
         && ranking_is_hub (cluster->ranking, host)
         && strcmp (peer->data_centre, cluster->data_centre) == 0;
}

const char *
cluster_find_hub (const cluster_t *cluster)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && !peer->leaving && ranking_is_hub (cluster->ranking, peer->host))
        return peer->host;
    }
  return NULL;
}
