/* shard_claims.c -- determines the owner of each shard, and when this host claims or yields one
 *
 * A token is the wall clock in units of TOKEN_UNIT_MS, raised above every token heard so far,
 * shifted left by TOKEN_HOST_BITS; the low bits are the number of the host.  Tokens therefore grow
 * across restarts of the whole system without any stored state, and hosts that know each other
 * never issue the same one.  If two hosts that don't know each other yet do, all hosts follow the
 * one whose name sorts first, which claims the shard again with a higher token.
 */
#include "cluster/state.h"

#include "base/hash.h"

#include <string.h>

/* A host makes no claims until it has listened to heartbeats for this long, after it became ready
 * or was suspended.  A host that is ready knows the addresses of the others; an owner that is alive
 * is heard within a few round trips. */
#define OBSERVE_BEFORE_CLAIM_MS 60
/* A host of the shard's data centre claims the shard after it has had no owner for this long. */
#define CLAIM_DELAY_LOCAL_MS 20
/* Such a host waits this much longer for each host that is ranked before it, because that host may
 * be about to claim the shard although it can't be heard. */
#define CLAIM_DELAY_PER_POSITION_MS 60
/* If the shard's data centre has no candidate, a host of another one claims it after this. */
#define CLAIM_DELAY_REMOTE_MS 1200
/* An owner in another data centre yields a shard once a host of the shard's data centre has been
 * alive for this long.  A stronger host takes a shard over only after having observed the cluster
 * for as long. */
#define STABLE_AFTER_MS 1500
/* A host of the shard's data centre takes it over from an owner if it has at least this many times
 * the owner's CPU.  Smaller differences don't justify it, since each change of owner briefly delays
 * the tasks that wait in the shard. */
#define TAKEOVER_CPU_RATIO 2
/* After a higher token has superseded its claim, a host that does not hear a majority of the hosts
 * makes no claim on the shard for this long, so that the majority can own it. */
#define SUPERSEDED_PAUSE_MS 5000
/* A superseded claim is renewed with a higher token, but not before it is this old. */
#define RECLAIM_DELAY_MIN_MS 200
/* An endpoint may obey a token that came from a clock that was ahead.  Each claim that is
 * superseded multiplies the increment of the next token by the factor, so that a few claims exceed
 * any token that a wrong clock has produced. */
#define TOKEN_INCREMENT_MIN_MS 250
#define TOKEN_INCREMENT_FACTOR 8
#define TOKEN_INCREMENT_MAX_MS 3600000
/* After this many consecutive reclaims another owner, which can't be heard, is likely to be
 * reclaiming the shard too.  From then on the delay doubles with each reclaim, so that the two
 * hosts do not keep superseding each other at a high rate. */
#define RECLAIMS_BEFORE_BACKOFF 5
#define RECLAIM_DELAY_MAX_MS 4000
/* A claim that was not superseded for this long resets the token increment and the back-off. */
#define RECLAIM_RESET_MS 5000
/* A shard counts as reachable for this long after one of its endpoints has answered. */
#define REACHABLE_FOR_MS 600
/* The claim delay does not grow beyond this position in the ranking. */
#define POSITION_MAX 50
/* The clock and the host's number in a token, which must stay below 2^53 to be an exact JSON
 * number.  One millisecond of the clock adds 1 << TOKEN_MS_BITS. */
#define TOKEN_HOST_BITS 17
#define TOKEN_UNIT_MS_BITS 6
#define TOKEN_MS_BITS (TOKEN_HOST_BITS - TOKEN_UNIT_MS_BITS)

typedef struct
{
  const char *host;
  uint64_t incarnation;
  int64_t token;
  bool local; /* the host is in the shard's data centre */
  bool leaving;
} claimant_t;

/* Whether claim A is better than B.  All hosts must decide alike, also on equal tokens. */
static bool
is_better_claim (const claimant_t *a, const claimant_t *b)
{
  if (a->local != b->local)
    return a->local;
  return a->token != b->token ? a->token > b->token : strcmp (a->host, b->host) < 0;
}

static void
consider_claim (claimant_t *best, claimant_t other)
{
  if (best->host == NULL || is_better_claim (&other, best))
    *best = other;
}

/* Returns the best claim on SHARD among those of this host and of the hosts that are alive: a claim
 * from the shard's data centre takes precedence, then the highest token wins, then the name.  The
 * result's host is NULL if there is no claim. */
static claimant_t
best_claim (const cluster_t *cluster, const shard_t *shard)
{
  claimant_t best = { 0 };
  GHashTableIter iter;
  void *value = NULL;

  if (shard->owned)
    consider_claim (&best, (claimant_t){ cluster->host, cluster->incarnation, shard->claim_token,
                                         strcmp (cluster->data_centre, shard->name) == 0,
                                         cluster->leaving });
  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      for (guint i = 0; peer->alive && i < peer->claims->len; i++)
        {
          const cluster_claim_t *claim = &g_array_index (peer->claims, cluster_claim_t, i);
          if (claim->shard == shard->name)
            consider_claim (&best, (claimant_t){ peer->host, peer->incarnation, claim->token,
                                                 strcmp (peer->data_centre, shard->name) == 0,
                                                 peer->leaving });
        }
    }
  return best;
}

typedef struct
{
  const char *host;
  int32_t cpu_millicores;
  uint64_t weight;
} candidate_t;

static void
consider_candidate (candidate_t *best,
                    const shard_t *shard,
                    const char *host,
                    int32_t cpu_millicores)
{
  uint64_t weight = hash_rendezvous (shard->name, host);

  if (best->host == NULL || cpu_millicores > best->cpu_millicores
      || (cpu_millicores == best->cpu_millicores && weight > best->weight))
    *best = (candidate_t){ host, cpu_millicores, weight };
}

/* Returns the host that should claim SHARD: the one with the most CPU, with a hash to break
 * ties, among the ready hosts of its data centre (LOCAL) or of other data centres (not LOCAL).  The
 * latter must follow the directory, and so know the shard's endpoints.  NULL if there is none. */
static const char *
best_candidate (const cluster_t *cluster, const shard_t *shard, bool local)
{
  candidate_t best = { 0 };
  GHashTableIter iter;
  void *value = NULL;

  if (cluster->ready && !cluster->leaving && (local || cluster_follows_directory (cluster))
      && (strcmp (cluster->data_centre, shard->name) == 0) == local)
    consider_candidate (&best, shard, cluster->host, cluster->cpu_millicores);
  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && peer->ready && !peer->leaving && (local || peer->follows_directory)
          && (strcmp (peer->data_centre, shard->name) == 0) == local)
        consider_candidate (&best, shard, peer->host, peer->cpu_millicores);
    }
  return best.host;
}

static int64_t
next_token (cluster_t *cluster, int64_t wall_ms)
{
  int64_t host_number = ranking_distinct_number (cluster->ranking, 1 << TOKEN_HOST_BITS);
  int64_t clock_units =
      MAX (wall_ms >> TOKEN_UNIT_MS_BITS, (cluster->highest_token >> TOKEN_HOST_BITS) + 1);

  cluster->highest_token = (clock_units << TOKEN_HOST_BITS) | host_number;
  return cluster->highest_token;
}

static void
claim_shard (cluster_t *cluster,
             shard_t *shard,
             int64_t now_ms,
             int64_t wall_ms,
             const char *reason,
             GArray *actions)
{
  shard->owned = true;
  shard->reclaim_at_ms = 0;
  shard->claim_token = next_token (cluster, wall_ms);
  shard->claimed_at_ms = now_ms;
  cluster_action_t *action = cluster_add_action (actions, CLUSTER_CLAIMED, reason);
  action->shard = shard->name;
  action->token = shard->claim_token;
}

static int64_t
reclaim_delay_ms (const shard_t *shard)
{
  int32_t doublings =
      CLAMP (shard->consecutive_reclaims - RECLAIMS_BEFORE_BACKOFF, 0, RECLAIMS_BEFORE_BACKOFF);

  return MIN ((int64_t) RECLAIM_DELAY_MIN_MS << doublings, RECLAIM_DELAY_MAX_MS);
}

static void
reclaim_if_due (cluster_t *cluster,
                shard_t *shard,
                int64_t now_ms,
                int64_t wall_ms,
                GArray *actions)
{
  if (shard->reclaim_at_ms == 0 || now_ms < shard->reclaim_at_ms)
    return;
  if (now_ms - shard->claimed_at_ms > RECLAIM_RESET_MS)
    {
      shard->token_increment_ms = 0;
      shard->consecutive_reclaims = 0;
    }
  shard->token_increment_ms = CLAMP (TOKEN_INCREMENT_FACTOR * shard->token_increment_ms,
                                     TOKEN_INCREMENT_MIN_MS, TOKEN_INCREMENT_MAX_MS);
  shard->consecutive_reclaims++;
  cluster->highest_token += shard->token_increment_ms << TOKEN_MS_BITS;
  claim_shard (cluster, shard, now_ms, wall_ms, "an endpoint obeys a higher token", actions);
}

/* Whether a host that is heard claims SHARD with the token of this host, so that endpoints can't
 * tell the orders of the two apart. */
static bool
shares_token (const cluster_t *cluster, const shard_t *shard)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      for (guint i = 0; peer->alive && i < peer->claims->len; i++)
        {
          const cluster_claim_t *claim = &g_array_index (peer->claims, cluster_claim_t, i);
          if (claim->shard == shard->name && claim->token == shard->claim_token)
            return true;
        }
    }
  return false;
}

void
shard_claim_yield (shard_t *shard, const char *reason, GArray *actions)
{
  shard->owned = false;
  shard->reclaim_at_ms = 0;
  cluster_add_action (actions, CLUSTER_YIELDED, reason)->shard = shard->name;
}

bool
cluster_hears_majority (const cluster_t *cluster, bool local, int64_t now_ms)
{
  cluster_count_t here = cluster_count_recent (cluster, cluster->data_centre, now_ms);
  cluster_count_t all = cluster_count_recent (cluster, NULL, now_ms);

  return (local && 2 * here.alive > here.known) || 2 * all.alive > all.known;
}

/* Whether the endpoints of SHARD have answered for longer than CLAIM_DELAY_REMOTE_MS.  A
 * network fault that cut off the endpoints may have cut off the shard's hosts as well; by then
 * these hosts have had time to be heard again. */
static bool
is_reachable (const shard_t *shard, int64_t now_ms)
{
  return now_ms - shard->last_reached_at_ms < REACHABLE_FOR_MS
         && shard->last_reached_at_ms - shard->reached_since_ms > CLAIM_DELAY_REMOTE_MS;
}

static void
claim_if_vacant (cluster_t *cluster,
                 shard_t *shard,
                 int64_t now_ms,
                 int64_t wall_ms,
                 GArray *actions)
{
  bool local = strcmp (cluster->data_centre, shard->name) == 0;
  const char *best = best_candidate (cluster, shard, true);
  int32_t position = MIN (ranking_position (cluster->ranking, cluster->host), POSITION_MAX);
  int64_t wait_ms = CLAIM_DELAY_LOCAL_MS + position * CLAIM_DELAY_PER_POSITION_MS;

  if (now_ms - MAX (cluster->observing_since_ms, cluster->ready_since_ms) < OBSERVE_BEFORE_CLAIM_MS
      || now_ms < shard->no_claim_until_ms)
    return;
  if (best == NULL)
    {
      best = best_candidate (cluster, shard, false);
      wait_ms = CLAIM_DELAY_REMOTE_MS;
    }
  if (best != cluster->host || now_ms - shard->vacant_since_ms < wait_ms)
    return;
  if (!cluster_hears_majority (cluster, local, now_ms) || (!local && !is_reachable (shard, now_ms)))
    return;
  claim_shard (cluster, shard, now_ms, wall_ms, "nobody owns it", actions);
}

/* Whether this host is the best candidate for SHARD and should take it over from an OWNER with
 * much less CPU.  A host with less CPU becomes the owner if it is the first host to be ready,
 * or the only one for a while. */
static bool
should_take_over (const cluster_t *cluster, const shard_t *shard, const char *owner, int64_t now_ms)
{
  const peer_t *peer = cluster_find_peer (cluster, owner);
  bool local = strcmp (cluster->data_centre, shard->name) == 0;

  return local && peer != NULL
         && cluster->cpu_millicores >= TAKEOVER_CPU_RATIO * peer->cpu_millicores
         && now_ms - cluster->observing_since_ms > STABLE_AFTER_MS
         && now_ms >= shard->no_claim_until_ms
         && best_candidate (cluster, shard, true) == cluster->host
         && cluster_hears_majority (cluster, true, now_ms);
}

static bool
local_host_is_stable (const cluster_t *cluster, const shard_t *shard, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, cluster->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && peer->ready && !peer->leaving
          && strcmp (peer->data_centre, shard->name) == 0
          && now_ms - peer->alive_since_ms > STABLE_AFTER_MS)
        return true;
    }
  return false;
}

static void
report_owner (shard_t *shard, const claimant_t *best, GArray *actions)
{
  if (best->host == shard->owner && best->incarnation == shard->owner_incarnation
      && best->token == shard->owner_token)
    return;
  shard->owner = best->host;
  shard->owner_incarnation = best->incarnation;
  shard->owner_token = best->token;
  cluster_action_t *action = cluster_add_action (actions, CLUSTER_OWNER_CHANGED, NULL);
  action->shard = shard->name;
  action->host = best->host;
  action->token = best->token;
}

void
shard_claim_step (cluster_t *cluster,
                  shard_t *shard,
                  int64_t now_ms,
                  int64_t wall_ms,
                  GArray *actions)
{
  claimant_t best = best_claim (cluster, shard);

  if (shard->owned && best.host != cluster->host)
    shard_claim_yield (shard, "another host has a better claim", actions);
  if (shard->owned && strcmp (cluster->data_centre, shard->name) != 0
      && local_host_is_stable (cluster, shard, now_ms))
    {
      shard_claim_yield (shard, "a host of its data centre is back", actions);
      best = best_claim (cluster, shard);
    }
  bool vacant = best.host == NULL || best.leaving;
  if (!vacant)
    shard->vacant_since_ms = 0;
  else if (shard->vacant_since_ms == 0)
    shard->vacant_since_ms = now_ms;
  if (shard->owned)
    reclaim_if_due (cluster, shard, now_ms, wall_ms, actions);
  if (shard->owned && shares_token (cluster, shard))
    claim_shard (cluster, shard, now_ms, wall_ms, "another host has the same token", actions);
  if (vacant && !shard->owned)
    claim_if_vacant (cluster, shard, now_ms, wall_ms, actions);
  else if (!shard->owned && should_take_over (cluster, shard, best.host, now_ms))
    claim_shard (cluster, shard, now_ms, wall_ms, "its owner is much weaker", actions);
  if (shard->owned && best.host != cluster->host)
    best = best_claim (cluster, shard);
  report_owner (shard, &best, actions);
}

void
cluster_token_superseded (cluster_t *cluster,
                          const char *name,
                          int64_t now_ms,
                          int64_t wall_ms,
                          GArray *actions)
{
  shard_t *shard = cluster_find_shard (cluster, name);
  bool local = strcmp (cluster->data_centre, shard->name) == 0;

  if (!shard->owned)
    return;
  if (cluster_hears_majority (cluster, local, now_ms))
    {
      if (shard->reclaim_at_ms == 0)
        shard->reclaim_at_ms = shard->claimed_at_ms + reclaim_delay_ms (shard);
      reclaim_if_due (cluster, shard, now_ms, wall_ms, actions);
      return;
    }
  shard->no_claim_until_ms = now_ms + SUPERSEDED_PAUSE_MS;
  shard_claim_yield (shard, "an endpoint obeys a higher token, and most hosts are not heard",
                     actions);
}

bool
cluster_is_sole_owner (const cluster_t *cluster, const char *name, int64_t now_ms)
{
  const shard_t *shard = g_hash_table_lookup (cluster->shards, g_intern_string (name));

  return shard != NULL && shard->owned && shard->reclaim_at_ms == 0
         && strcmp (cluster->data_centre, shard->name) == 0
         && cluster_hears_majority (cluster, true, now_ms);
}

void
cluster_shard_reached (cluster_t *cluster, const char *name, int64_t now_ms)
{
  shard_t *shard = cluster_find_shard (cluster, name);

  if (now_ms - shard->last_reached_at_ms > REACHABLE_FOR_MS)
    shard->reached_since_ms = now_ms;
  shard->last_reached_at_ms = now_ms;
}

bool
cluster_needs_probe (const cluster_t *cluster, const char *name)
{
  const shard_t *shard = g_hash_table_lookup (cluster->shards, g_intern_string (name));

  return shard != NULL && shard->owner == NULL && strcmp (cluster->data_centre, name) != 0;
}
