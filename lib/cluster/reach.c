/* reach.c -- which data centres this host's messages may not have reached
 *
 * A data centre is reached as long as one of its hosts is.  That a host was heard shows only that
 * messages pass in one direction; a clock of this host that comes back, in a heartbeat or in the
 * confirmation of an announcement, shows both.
 */
#include "cluster/state.h"

#include <string.h>

/* A further proof would have come within this time: a heartbeat in each direction where they are
 * frequent, else one.  The slack is for hosts and links that are late. */
#define PROOF_SLACK_MS 250
#define FREQUENT_PROOF_MS (2 * HEARTBEAT_REMOTE_MS + PROOF_SLACK_MS)
#define IDLE_PROOF_MS (HEARTBEAT_IDLE_MS + PROOF_SLACK_MS)

/* Whether PEER should return clocks often enough to tell soon that it is out of reach. */
static bool
is_frequent (const peer_t *peer)
{
  return peer->interval_ms <= HEARTBEAT_REMOTE_MS;
}

typedef struct
{
  const char *data_centre;
  int64_t reached_at_ms;
  bool alive;    /* one of its hosts is */
  bool frequent; /* one of its hosts is */
  int64_t heard_at_ms;
  int64_t confirmed_ms; /* one of its hosts has confirmed what was sent until then */
} reach_t;

static reach_t *
find_reach (GArray *reaches, const char *data_centre)
{
  const reach_t none = { .data_centre = data_centre };

  for (guint i = 0; i < reaches->len; i++)
    {
      reach_t *reach = &g_array_index (reaches, reach_t, i);
      if (strcmp (reach->data_centre, data_centre) == 0)
        return reach;
    }
  g_array_append_val (reaches, none);
  return &g_array_index (reaches, reach_t, reaches->len - 1);
}

/* Whether hosts of DATA_CENTRE that this host does not hear may serve callers: it may have started,
 * or the hosts that it heard may have been stopped, when the others were cut off. */
static bool
may_be_unheard (const cluster_t *cluster, const data_centre_t *data_centre, int64_t now_ms)
{
  int64_t heard_until_ms = MAX (cluster->started_at_ms, data_centre->left_at_ms);

  return now_ms - heard_until_ms <= CLUSTER_FORGET_AFTER_MS
         && ranking_count_hosts (cluster->ranking, data_centre->name) > 0;
}

/* Adds the data centres of known hosts none of which is heard, or was lost a short time ago. */
static void
add_unheard (const cluster_t *cluster, GArray *reaches, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->data_centres);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const data_centre_t *data_centre = value;
      if (strcmp (data_centre->name, cluster->data_centre) == 0
          || !may_be_unheard (cluster, data_centre, now_ms))
        continue;
      reach_t *reach = find_reach (reaches, data_centre->name);
      if (reach->heard_at_ms != 0)
        continue;
      reach->frequent = true;
      /* Nothing was sent before the start. */
      reach->reached_at_ms = MAX (cluster->started_at_ms, data_centre->reached_at_ms);
    }
}

/* Returns reach_t of all data centres but this host's.  Hosts that have said that they leave count,
 * as they serve callers until they end.  The caller frees the array. */
static GArray *
list_reaches (const cluster_t *cluster, int64_t now_ms)
{
  GArray *reaches = g_array_new (FALSE, FALSE, sizeof (reach_t));
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (strcmp (peer->data_centre, cluster->data_centre) == 0)
        continue;
      reach_t *reach = find_reach (reaches, peer->data_centre);
      reach->reached_at_ms =
          MAX (reach->reached_at_ms, cluster_peer_told_at_ms (cluster, peer, now_ms));
      reach->alive |= peer->alive;
      reach->frequent |= is_frequent (peer);
      reach->heard_at_ms = MAX (reach->heard_at_ms, peer->heartbeat_at_ms);
      reach->confirmed_ms = MAX (reach->confirmed_ms, peer->confirmed_ms);
    }
  add_unheard (cluster, reaches, now_ms);
  return reaches;
}

int64_t
cluster_confirmed_at_ms (const cluster_t *cluster, int64_t now_ms)
{
  int64_t confirmed_at_ms = INT64_MAX;

  if (cluster->retransmit_ms == 0)
    return confirmed_at_ms;
  GArray *reaches = list_reaches (cluster, now_ms);
  for (guint i = 0; i < reaches->len; i++)
    confirmed_at_ms = MIN (confirmed_at_ms, g_array_index (reaches, reach_t, i).confirmed_ms + 1);
  g_array_unref (reaches);
  return confirmed_at_ms;
}

GHashTable *
cluster_silent_data_centres (const cluster_t *cluster, int64_t now_ms)
{
  GHashTable *silent = g_hash_table_new (NULL, NULL);
  GArray *reaches = list_reaches (cluster, now_ms);

  for (guint i = 0; i < reaches->len; i++)
    {
      const reach_t *reach = &g_array_index (reaches, reach_t, i);
      if (!reach->alive)
        g_hash_table_add (silent, (void *) g_intern_string (reach->data_centre));
    }
  g_array_unref (reaches);
  return silent;
}

void
cluster_append_unreached (const cluster_t *cluster, int64_t now_ms, GArray *unreached)
{
  if (cluster->retransmit_ms == 0)
    return;
  GArray *reaches = list_reaches (cluster, now_ms);

  for (guint i = 0; i < reaches->len; i++)
    {
      const reach_t *reach = &g_array_index (reaches, reach_t, i);
      int64_t limit_ms =
          reach->frequent ? cluster_echo_limit_ms (cluster) : cluster_idle_limit_ms ();
      int64_t proof_ms = reach->frequent ? FREQUENT_PROOF_MS : IDLE_PROOF_MS;
      int64_t since_ms = reach->reached_at_ms + proof_ms;
      const cluster_unreached_t entry = { .data_centre = g_intern_string (reach->data_centre),
                                          .reached_at_ms = reach->reached_at_ms,
                                          .since_ms = since_ms,
                                          .heard = reach->heard_at_ms > since_ms };
      if (now_ms > reach->reached_at_ms + limit_ms)
        g_array_append_val (unreached, entry);
    }
  g_array_unref (reaches);
}
