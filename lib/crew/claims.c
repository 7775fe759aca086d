/* claims.c -- who owns a shard: claims that are heard, and whether this host should make one
 *
 * Tokens follow the wall clock in milliseconds, above every token heard, with a few bits of
 * the host's name below, so that they grow over restarts of the whole system without
 * anything being stored, and two hosts never use the same one.
 */
#include "crew/state.h"

#include "base/hash.h"

#include <string.h>

/* A host that has just started listens first. */
#define LISTEN_FIRST_MS 200
/* How long a shard has no owner before it is claimed. */
#define VACANT_NEAR_MS 20
/* A host waits so much longer for each one that goes before it and can't be heard. */
#define VACANT_STEP_MS 60
#define VACANT_FAR_MS 1200
/* An owner from elsewhere hands a shard back once a host of its data centre has been
 * there for this long. */
#define HAND_BACK_MS 1500
/* A host of the data centre that is so many times as strong as the owner, and has been there for as
 * long, takes the shard over: not for less, since each change costs what waits there a moment. */
#define MUCH_STRONGER 2
/* A host that was shut out and does not hear most others leaves the shard to them for
 * this long. */
#define SHUT_OUT_PAUSE_MS 5000
#define RECLAIM_MIN_MS 200
/* An endpoint may obey a token of a clock that was ahead: with each claim that is shut out the next
 * one is higher by so many times as much, so that a few claims are beyond any clock. */
#define JUMP_MIN_MS 250
#define JUMP_GROWTH 8
#define JUMP_MAX_MS 3600000
/* After so many in a row there is another owner that can't be heard: each waits for the other,
 * longer each time. */
#define RECLAIMS_QUICK 5
#define RECLAIM_MAX_MS 4000
/* After this long without being shut out, all that starts anew. */
#define JUMP_FORGET_MS 5000
/* An endpoint's answer shows for this long that its shard can be reached. */
#define REACHED_MS 600
/* Places beyond this wait no longer. */
#define PLACE_MAX 50
#define TOKEN_NAME_BITS 8

typedef struct
{
  const char *host;
  uint64_t incarnation;
  int64_t token;
  bool near; /* of the shard's data centre */
  bool leaving;
} best_t;

static void
consider (best_t *best, best_t other)
{
  if (best->host == NULL || (other.near && !best->near)
      || (other.near == best->near && other.token > best->token))
    *best = other;
}

/* The best claim on SHARD that can be heard. */
static best_t
best_claim (const crew_t *crew, const shard_t *shard)
{
  best_t best = { 0 };
  GHashTableIter iter;
  void *value = NULL;

  if (shard->own)
    consider (&best, (best_t){ crew->host, crew->incarnation, shard->token,
                               strcmp (crew->data_centre, shard->name) == 0, crew->leaving });
  g_hash_table_iter_init (&iter, crew->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      for (guint i = 0; peer->alive && i < peer->claims->len; i++)
        {
          const crew_claim_t *claim = &g_array_index (peer->claims, crew_claim_t, i);
          if (claim->shard == shard->name)
            consider (&best,
                      (best_t){ peer->host, peer->incarnation, claim->token,
                                strcmp (peer->data_centre, shard->name) == 0, peer->leaving });
        }
    }
  return best;
}

typedef struct
{
  const char *host;
  int32_t power;
  uint64_t weight;
} candidate_t;

static void
propose (candidate_t *best, const shard_t *shard, const char *host, int32_t power)
{
  uint64_t weight = hash_rendezvous (shard->name, host);

  if (best->host == NULL || power > best->power || (power == best->power && weight > best->weight))
    *best = (candidate_t){ host, power, weight };
}

/* Who should claim SHARD: a host of its data centre (NEAR), or one of another that knows its
 * endpoints. */
static const char *
candidate (const crew_t *crew, const shard_t *shard, bool near)
{
  candidate_t best = { 0 };
  GHashTableIter iter;
  void *value = NULL;

  if (crew->ready && !crew->leaving && (near || crew_reads (crew))
      && (strcmp (crew->data_centre, shard->name) == 0) == near)
    propose (&best, shard, crew->host, crew->power);
  g_hash_table_iter_init (&iter, crew->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && peer->ready && !peer->leaving && (near || peer->reads)
          && (strcmp (peer->data_centre, shard->name) == 0) == near)
        propose (&best, shard, peer->host, peer->power);
    }
  return best.host;
}

static int64_t
next_token (crew_t *crew, int64_t wall_ms)
{
  int64_t name = (int64_t) (hash_string (crew->host) & ((1 << TOKEN_NAME_BITS) - 1));
  int64_t high = MAX (wall_ms, (crew->token_max >> TOKEN_NAME_BITS) + 1);

  crew->token_max = (high << TOKEN_NAME_BITS) | name;
  return crew->token_max;
}

static void
claim (crew_t *crew,
       shard_t *shard,
       int64_t now_ms,
       int64_t wall_ms,
       const char *reason,
       GArray *actions)
{
  shard->own = true;
  shard->reclaim_at_ms = 0;
  shard->token = next_token (crew, wall_ms);
  shard->claimed_at_ms = now_ms;
  crew_action_t *action = crew_add (actions, CREW_CLAIMED, reason);
  action->shard = shard->name;
  action->token = shard->token;
}

static int64_t
reclaim_wait_ms (const shard_t *shard)
{
  int32_t beyond = CLAMP (shard->reclaims - RECLAIMS_QUICK, 0, RECLAIMS_QUICK);

  return MIN ((int64_t) RECLAIM_MIN_MS << beyond, RECLAIM_MAX_MS);
}

static void
reclaim_if_due (crew_t *crew, shard_t *shard, int64_t now_ms, int64_t wall_ms, GArray *actions)
{
  if (shard->reclaim_at_ms == 0 || now_ms < shard->reclaim_at_ms)
    return;
  if (now_ms - shard->claimed_at_ms > JUMP_FORGET_MS)
    {
      shard->jump_ms = 0;
      shard->reclaims = 0;
    }
  shard->jump_ms = CLAMP (JUMP_GROWTH * shard->jump_ms, JUMP_MIN_MS, JUMP_MAX_MS);
  shard->reclaims++;
  crew->token_max += shard->jump_ms << TOKEN_NAME_BITS;
  claim (crew, shard, now_ms, wall_ms, "an endpoint obeys a higher token", actions);
}

void
claim_yield (shard_t *shard, const char *reason, GArray *actions)
{
  shard->own = false;
  shard->reclaim_at_ms = 0;
  crew_add (actions, CREW_YIELDED, reason)->shard = shard->name;
}

/* A host that hears few of those that it knew is more likely cut off than they all are gone, and
 * would only shut out their owner.  A data centre whose hosts hear each other goes on by
 * itself. */
static bool
hears_most (const crew_t *crew, bool near)
{
  crew_count_t here = crew_count (crew, crew->data_centre);
  crew_count_t all = crew_count (crew, NULL);

  return (near && 2 * here.alive > here.known) || 2 * all.alive > all.known;
}

/* Long enough for hosts that could not be heard with it to be heard again. */
static bool
is_reached (const shard_t *shard, int64_t now_ms)
{
  return now_ms - shard->reached_at_ms < REACHED_MS
         && shard->reached_at_ms - shard->reached_from_ms > VACANT_FAR_MS;
}

static void
claim_if_due (crew_t *crew, shard_t *shard, int64_t now_ms, int64_t wall_ms, GArray *actions)
{
  bool near = strcmp (crew->data_centre, shard->name) == 0;
  const char *best = candidate (crew, shard, true);
  int32_t before = MIN (roster_place (crew->roster, crew->host), PLACE_MAX);
  int64_t wait_ms = VACANT_NEAR_MS + before * VACANT_STEP_MS;

  if (now_ms - crew->started_at_ms < LISTEN_FIRST_MS || now_ms < shard->pause_until_ms)
    return;
  if (best == NULL)
    {
      best = candidate (crew, shard, false);
      wait_ms = VACANT_FAR_MS;
    }
  if (best != crew->host || now_ms - shard->vacant_from_ms < wait_ms)
    return;
  if (!hears_most (crew, near) || (!near && !is_reached (shard, now_ms)))
    return;
  claim (crew, shard, now_ms, wall_ms, "nobody owns it", actions);
}

/* True if the owner of SHARD is so much weaker than this host, its best candidate, that it should
 * not carry it on: it was the first to be ready, or the only one for a while. */
static bool
outclasses_owner (const crew_t *crew, const shard_t *shard, const char *owner, int64_t now_ms)
{
  const peer_t *peer = crew_find_peer (crew, owner);
  bool near = strcmp (crew->data_centre, shard->name) == 0;

  return near && peer != NULL && crew->power >= MUCH_STRONGER * peer->power
         && now_ms - crew->started_at_ms > HAND_BACK_MS && now_ms >= shard->pause_until_ms
         && candidate (crew, shard, true) == crew->host && hears_most (crew, true);
}

static bool
near_host_stays (const crew_t *crew, const shard_t *shard, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, crew->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && peer->ready && !peer->leaving
          && strcmp (peer->data_centre, shard->name) == 0
          && now_ms - peer->alive_from_ms > HAND_BACK_MS)
        return true;
    }
  return false;
}

static void
tell_owner (shard_t *shard, const best_t *best, GArray *actions)
{
  if (best->host == shard->owner && best->incarnation == shard->owner_incarnation
      && best->token == shard->owner_token)
    return;
  shard->owner = best->host;
  shard->owner_incarnation = best->incarnation;
  shard->owner_token = best->token;
  crew_action_t *action = crew_add (actions, CREW_OWNER, NULL);
  action->shard = shard->name;
  action->host = best->host;
  action->token = best->token;
}

void
claim_step (crew_t *crew, shard_t *shard, int64_t now_ms, int64_t wall_ms, GArray *actions)
{
  best_t best = best_claim (crew, shard);

  if (shard->own && best.host != crew->host)
    claim_yield (shard, "another host has a better claim", actions);
  if (shard->own && strcmp (crew->data_centre, shard->name) != 0
      && near_host_stays (crew, shard, now_ms))
    {
      claim_yield (shard, "a host of its data centre is back", actions);
      best = best_claim (crew, shard);
    }
  bool vacant = best.host == NULL || best.leaving;
  if (!vacant)
    shard->vacant_from_ms = 0;
  else if (shard->vacant_from_ms == 0)
    shard->vacant_from_ms = now_ms;
  if (shard->own)
    reclaim_if_due (crew, shard, now_ms, wall_ms, actions);
  if (vacant && !shard->own)
    claim_if_due (crew, shard, now_ms, wall_ms, actions);
  else if (!shard->own && outclasses_owner (crew, shard, best.host, now_ms))
    claim (crew, shard, now_ms, wall_ms, "its owner is much weaker", actions);
  if (shard->own && best.host != crew->host)
    best = best_claim (crew, shard);
  tell_owner (shard, &best, actions);
}

void
crew_shut_out (crew_t *crew, const char *name, int64_t now_ms, int64_t wall_ms, GArray *actions)
{
  shard_t *shard = crew_find_shard (crew, name);
  bool near = strcmp (crew->data_centre, shard->name) == 0;

  if (!shard->own)
    return;
  if (hears_most (crew, near))
    {
      if (shard->reclaim_at_ms == 0)
        shard->reclaim_at_ms = shard->claimed_at_ms + reclaim_wait_ms (shard);
      reclaim_if_due (crew, shard, now_ms, wall_ms, actions);
      return;
    }
  shard->pause_until_ms = now_ms + SHUT_OUT_PAUSE_MS;
  claim_yield (shard, "an endpoint obeys a higher token, and most hosts are not heard", actions);
}

void
crew_reached (crew_t *crew, const char *name, int64_t now_ms)
{
  shard_t *shard = crew_find_shard (crew, name);

  if (now_ms - shard->reached_at_ms > REACHED_MS)
    shard->reached_from_ms = now_ms;
  shard->reached_at_ms = now_ms;
}

bool
crew_wants_probe (const crew_t *crew, const char *name)
{
  const shard_t *shard = g_hash_table_lookup (crew->shards, g_intern_string (name));

  return shard != NULL && shard->owner == NULL && strcmp (crew->data_centre, name) != 0;
}
