/* registrars.c -- which hosts must confirm a job before it starts (lib/scheduler/job_registry.c)
 *
 * Hosts of one data centre may hear different ones of each other.  While a host hears all others,
 * a majority of the hubs is enough.  One that misses a host can't know whether that one has failed
 * or goes on without it: it also needs the witness, a hub of another data centre, which is the same
 * for all that hear the same hubs.
 */
#include "cluster/state.h"

#include "base/hash.h"

#include <string.h>

/* Hosts of this data centre, this one included. */
typedef struct
{
  guint heard;
  guint known; /* heard, or lost and not forgotten, and not ended */
} local_hosts_t;

static bool
is_local (const cluster_t *cluster, const peer_t *peer)
{
  return strcmp (peer->data_centre, cluster->data_centre) == 0;
}

static local_hosts_t
count_local_hosts (const cluster_t *cluster)
{
  local_hosts_t local = { 1, 1 };
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (!is_local (cluster, peer))
        continue;
      local.heard += peer->alive;
      local.known += peer->alive || !ranking_has_ended (cluster->ranking, peer->host);
    }
  /* The only other one may have been forgotten, or not been heard yet. */
  if (local.known == 1 && ranking_count_hosts (cluster->ranking, cluster->data_centre) > 1)
    local.known = 2;
  return local;
}

static bool
may_register (GHashTable *registering, const char *host)
{
  return registering == NULL || g_hash_table_contains (registering, host);
}

/* Adds the hubs of this host's data centre that are heard. */
static void
add_local_hubs (const cluster_t *cluster, GHashTable *registering, cluster_registrars_t *registrars)
{
  GHashTableIter iter;
  void *value = NULL;
  bool left_out = false;

  if (cluster_is_hub (cluster))
    g_ptr_array_add (registrars->hosts, (void *) cluster->host);
  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (!peer->alive || !is_local (cluster, peer)
          || !ranking_is_hub (cluster->ranking, peer->host))
        continue;
      if (may_register (registering, peer->host))
        g_ptr_array_add (registrars->hosts, (void *) peer->host);
      else
        left_out = true;
    }
  registrars->none_registers = left_out && registrars->hosts->len == 0;
}

/* Returns the hub of another data centre that hosts of this one choose if they hear the same hubs;
 * NULL if none is heard. */
static const char *
find_witness (const cluster_t *cluster, GHashTable *registering)
{
  const char *witness = NULL;
  uint64_t witness_weight = 0;
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (!peer->alive || is_local (cluster, peer) || !may_register (registering, peer->host)
          || !ranking_is_hub (cluster->ranking, peer->host))
        continue;
      uint64_t weight = hash_rendezvous (cluster->data_centre, peer->host);
      if (weight < witness_weight)
        continue;
      witness = peer->host;
      witness_weight = weight;
    }
  return witness;
}

static guint
majority_of (guint count)
{
  return count / 2 + 1;
}

/* How many of the hubs must confirm: a majority, counted as if those that are missing were heard.
 */
static guint
local_quorum (const cluster_t *cluster, const local_hosts_t *local, guint hubs_heard)
{
  guint hubs = MIN (local->known, (guint) cluster->hubs_per_data_centre);

  return MIN (hubs_heard, majority_of (MAX (hubs, hubs_heard)));
}

/* Two hosts have no majority without each other: the witness counts as a third one. */
static void
choose_pair (const char *witness, cluster_registrars_t *registrars)
{
  if (witness != NULL)
    g_ptr_array_add (registrars->hosts, (void *) witness);
  registrars->quorum = majority_of (registrars->hosts->len);
}

static void
choose (const cluster_t *cluster,
        const local_hosts_t *local,
        const char *witness,
        cluster_registrars_t *registrars)
{
  bool none_is_missing = local->heard == local->known;

  registrars->quorum = local_quorum (cluster, local, registrars->hosts->len);
  if (none_is_missing || witness == NULL)
    return;
  g_ptr_array_add (registrars->hosts, (void *) witness);
  registrars->required = witness;
  registrars->quorum++;
}

void
cluster_find_registrars (const cluster_t *cluster,
                         GHashTable *registering,
                         int64_t now_ms,
                         cluster_registrars_t *registrars)
{
  local_hosts_t local = count_local_hosts (cluster);

  *registrars = (cluster_registrars_t){ .hosts = g_ptr_array_new () };
  if (!cluster_hears_majority (cluster, true, now_ms))
    return;
  add_local_hubs (cluster, registering, registrars);
  if (registrars->none_registers)
    return;
  const char *witness = local.known > 1 ? find_witness (cluster, registering) : NULL;
  if (local.known == 2 && registrars->hosts->len == 2)
    choose_pair (witness, registrars);
  else if (registrars->hosts->len > 0)
    choose (cluster, &local, witness, registrars);
}

void
cluster_registrars_clear (cluster_registrars_t *registrars)
{
  g_clear_pointer (&registrars->hosts, g_ptr_array_unref);
}
