/* crew.c -- which hosts are there, and which of them owns each shard of the endpoints
 *
 * Tokens follow the wall clock in milliseconds, above every token heard, with a few bits of
 * the host's name below, so that they grow over restarts of the whole system without
 * anything being stored, and two hosts never use the same one.
 */
#include "crew/crew.h"

#include "base/hash.h"
#include "crew/roster.h"

#include <string.h>

/* Beats between hubs of one data centre, and where the owner of a shard is on one side; and all
 * others, which only tell that a host is there. */
#define BEAT_NEAR_MS 100
#define BEAT_FAR_MS 250
#define BEAT_SLOW_MS 1000
/* With more hosts than this, those of other data centres hear a host less often. */
#define BEAT_FEW_HOSTS 12
/* A host that is not heard for this long is lost, .. */
#define SILENT_NEAR_MS 450
#define SILENT_FAR_MS 800
/* .. or, if it sends beats less often, after so many of them and a little. */
#define SILENT_BEATS 3
#define SILENT_SLACK_MS 50
/* So many hosts of each data centre follow the directory. */
#define READERS 3
/* Ranks are brought up to date this often. */
#define RANK_EVERY_MS 200
/* Of the time after which callers submit again: by then the tasks of a lost coordinator must be
 * on their way out. */
#define SILENT_PERCENT 60
/* After its connection broke, a host has this long to be heard again. */
#define BROKEN_GRACE_MS 120
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
/* A host that was shut out and does not hear most others leaves the shard to them for
 * this long. */
#define SHUT_OUT_PAUSE_MS 5000
#define RECLAIM_MIN_MS 250
/* An endpoint may obey a token of a clock that was ahead: with each claim that is shut out the next
 * one is higher by twice as much. */
#define JUMP_MIN_MS 250
#define JUMP_MAX_MS 64000
/* After so many in a row there is another owner that can't be heard: each waits for the other,
 * longer each time. */
#define RECLAIMS_QUICK 5
#define RECLAIM_MAX_MS 4000
/* After this long without being shut out, all that starts anew. */
#define JUMP_FORGET_MS 5000
/* An endpoint's answer shows for this long that its shard can be reached. */
#define REACHED_MS 600
/* A host that has not been heard for this long does not count any more. */
#define FORGET_MS 20000
/* Hosts that have been there for less have started together. */
#define NEW_MS 5000
#define TOKEN_NAME_BITS 8
/* Places beyond this wait no longer. */
#define PLACE_MAX 50

typedef struct
{
  const char *host; /* interned */
  char *data_centre;
  uint64_t incarnation;
  bool ready;
  bool leaving;
  bool alive;
  int32_t power;
  bool reads;
  int64_t next_ms;
  uint64_t epoch;       /* what it must say */
  uint64_t their_epoch; /* what this host must say to it */
  int64_t config_version;
  int64_t heard_at_ms;
  int64_t alive_from_ms;
  int64_t up_from_ms; /* its start */
  GArray *claims;     /* crew_claim_t with interned shards */
} peer_t;

typedef struct
{
  const char *name; /* interned: a data centre */
  bool own;         /* this host claims it */
  int64_t token;    /* of the own claim */
  int64_t claimed_at_ms;
  const char *owner; /* interned host, or NULL */
  uint64_t owner_incarnation;
  int64_t owner_token;
  int64_t vacant_from_ms; /* 0 while there is an owner that stays */
  int64_t pause_until_ms;
  int64_t reclaim_at_ms;   /* 0 unless an endpoint obeys a higher token */
  int64_t jump_ms;         /* by which the next claim is higher */
  int32_t reclaims;        /* in a row */
  int64_t reached_at_ms;   /* an endpoint of it has answered this host */
  int64_t reached_from_ms; /* and has done so since then */
} shard_t;

struct crew_t
{
  const char *host; /* interned */
  char *data_centre;
  uint64_t incarnation;
  int32_t power;
  int64_t resend_ms;
  bool ready;
  bool leaving;
  int64_t started_at_ms;
  int64_t born_at_ms; /* as STARTED_AT_MS, whatever happens later */
  int64_t token_max;  /* the highest ever heard */
  uint64_t epochs;    /* the last that was given out */
  roster_t *roster;
  int64_t rank_due_ms;
  GHashTable *peers;
  GHashTable *shards;
};

void
crew_beat_clear (crew_beat_t *beat)
{
  g_free (beat->host);
  g_free (beat->data_centre);
  for (guint i = 0; beat->claims != NULL && i < beat->claims->len; i++)
    g_free (g_array_index (beat->claims, crew_claim_t, i).shard);
  if (beat->claims != NULL)
    g_array_unref (beat->claims);
  *beat = (crew_beat_t){ 0 };
}

static void
free_peer (void *data)
{
  peer_t *peer = data;

  g_free (peer->data_centre);
  g_array_unref (peer->claims);
  g_free (peer);
}

crew_t *
crew_new (const crew_options_t *options, int64_t now_ms)
{
  crew_t *crew = g_new0 (crew_t, 1);

  crew->host = g_intern_string (options->host);
  crew->data_centre = g_strdup (options->data_centre);
  crew->incarnation = options->incarnation;
  crew->power = options->power;
  crew->resend_ms = options->resend_ms;
  crew->started_at_ms = now_ms;
  crew->born_at_ms = now_ms;
  crew->epochs = options->incarnation;
  crew->roster = roster_new (options->host, options->data_centre, options->power, options->hubs);
  crew->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_peer);
  crew->shards = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  return crew;
}

void
crew_free (crew_t *crew)
{
  if (crew == NULL)
    return;
  g_hash_table_unref (crew->peers);
  g_hash_table_unref (crew->shards);
  roster_free (crew->roster);
  g_free (crew->data_centre);
  g_free (crew);
}

static crew_action_t *
add (GArray *actions, crew_action_kind_t kind, const char *reason)
{
  crew_action_t action = { .kind = kind, .reason = reason };

  g_array_append_val (actions, action);
  return &g_array_index (actions, crew_action_t, actions->len - 1);
}

static shard_t *
find_shard (crew_t *crew, const char *name)
{
  const char *interned = g_intern_string (name);
  shard_t *shard = g_hash_table_lookup (crew->shards, interned);

  if (shard == NULL)
    {
      shard = g_new0 (shard_t, 1);
      shard->name = interned;
      g_hash_table_insert (crew->shards, (void *) interned, shard);
    }
  return shard;
}

void
crew_add_shard (crew_t *crew, const char *data_centre)
{
  find_shard (crew, data_centre);
}

void
crew_set_ready (crew_t *crew, bool ready)
{
  crew->ready = ready;
}

void
crew_leave (crew_t *crew)
{
  crew->leaving = true;
}

/* --- peers --- */

static void
set_claims (crew_t *crew, peer_t *peer, const GArray *claims)
{
  g_array_set_size (peer->claims, 0);
  for (guint i = 0; claims != NULL && i < claims->len; i++)
    {
      crew_claim_t claim = g_array_index (claims, crew_claim_t, i);
      claim.shard = (char *) g_intern_string (claim.shard);
      crew->token_max = MAX (crew->token_max, claim.token);
      g_array_append_val (peer->claims, claim);
      find_shard (crew, claim.shard);
    }
}

static void
lose (crew_t *crew, peer_t *peer, const char *reason, int64_t now_ms, GArray *actions)
{
  roster_set_present (crew->roster, peer->host, false, now_ms);
  peer->alive = false;
  peer->epoch = ++crew->epochs;
  crew->rank_due_ms = 0;
  g_array_set_size (peer->claims, 0);
  crew_action_t *action = add (actions, CREW_LOST, reason);
  action->host = peer->host;
  action->heard_at_ms = peer->heard_at_ms;
}

void
crew_heard (crew_t *crew, const crew_beat_t *beat, int64_t now_ms, GArray *actions)
{
  const char *host = g_intern_string (beat->host);
  peer_t *peer = g_hash_table_lookup (crew->peers, host);

  if (host == crew->host)
    return;
  if (peer == NULL)
    {
      peer = g_new0 (peer_t, 1);
      peer->host = host;
      peer->data_centre = g_strdup (beat->data_centre);
      peer->incarnation = beat->incarnation;
      peer->epoch = ++crew->epochs;
      peer->claims = g_array_new (FALSE, FALSE, sizeof (crew_claim_t));
      g_hash_table_insert (crew->peers, (void *) host, peer);
    }
  if (peer->alive && peer->incarnation != beat->incarnation)
    lose (crew, peer, "it has started anew", now_ms, actions);
  peer->incarnation = beat->incarnation;
  peer->ready = beat->ready;
  peer->leaving = beat->leaving;
  peer->power = beat->power;
  peer->reads = beat->reads;
  peer->next_ms = beat->next_ms;
  peer->up_from_ms = now_ms - beat->up_ms;
  peer->config_version = beat->config_version;
  peer->heard_at_ms = now_ms;
  set_claims (crew, peer, beat->claims);
  if (!peer->alive)
    {
      roster_know (crew->roster, host, peer->data_centre, peer->power);
      roster_set_present (crew->roster, host, true, now_ms);
      crew->rank_due_ms = 0;
      peer->alive = true;
      peer->alive_from_ms = now_ms;
      add (actions, CREW_FOUND, NULL)->host = host;
    }
  if (peer->their_epoch == beat->epoch)
    return;
  peer->their_epoch = beat->epoch;
  add (actions, CREW_DROPPED, NULL)->host = host;
}

static int64_t
silent_max_ms (const crew_t *crew, const peer_t *peer)
{
  bool near = strcmp (peer->data_centre, crew->data_centre) == 0;
  int64_t most_ms = near && peer->next_ms <= BEAT_NEAR_MS ? SILENT_NEAR_MS : SILENT_FAR_MS;

  if (peer->next_ms > BEAT_FAR_MS)
    return SILENT_BEATS * peer->next_ms + SILENT_SLACK_MS;
  return crew->resend_ms > 0 ? MIN (most_ms, crew->resend_ms * SILENT_PERCENT / 100) : most_ms;
}

void
crew_broken (crew_t *crew, const char *host, int64_t now_ms)
{
  peer_t *peer = g_hash_table_lookup (crew->peers, g_intern_string (host));

  if (peer == NULL || !peer->alive)
    return;
  int64_t silent_ms = silent_max_ms (crew, peer);
  peer->heard_at_ms = MIN (peer->heard_at_ms, now_ms - silent_ms + BROKEN_GRACE_MS);
}

static void
lose_silent (crew_t *crew, int64_t now_ms, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, crew->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      peer_t *peer = value;
      int64_t silent_ms = now_ms - peer->heard_at_ms;
      if (peer->alive && silent_ms > silent_max_ms (crew, peer))
        lose (crew, peer, "it is silent", now_ms, actions);
      else if (!peer->alive && (silent_ms > FORGET_MS || peer->leaving))
        g_hash_table_iter_remove (&iter);
    }
}

/* --- claims --- */

typedef struct
{
  int32_t alive;
  int32_t known;
} count_t;

/* Hosts of DATA_CENTRE (NULL: all), this one included. */
static count_t
count_hosts (const crew_t *crew, const char *data_centre)
{
  count_t count = { 0 };
  GHashTableIter iter;
  void *value = NULL;

  if (data_centre == NULL || strcmp (crew->data_centre, data_centre) == 0)
    count = (count_t){ 1, 1 };
  g_hash_table_iter_init (&iter, crew->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (data_centre != NULL && strcmp (peer->data_centre, data_centre) != 0)
        continue;
      count.known++;
      count.alive += peer->alive;
    }
  return count;
}

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
  crew_action_t *action = add (actions, CREW_CLAIMED, reason);
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
  shard->jump_ms = CLAMP (2 * shard->jump_ms, JUMP_MIN_MS, JUMP_MAX_MS);
  shard->reclaims++;
  crew->token_max += shard->jump_ms << TOKEN_NAME_BITS;
  claim (crew, shard, now_ms, wall_ms, "an endpoint obeys a higher token", actions);
}

static void
yield (shard_t *shard, const char *reason, GArray *actions)
{
  shard->own = false;
  shard->reclaim_at_ms = 0;
  add (actions, CREW_YIELDED, reason)->shard = shard->name;
}

/* A host that hears few of those that it knew is more likely cut off than they all are gone, and
 * would only shut out their owner.  A data centre whose hosts hear each other goes on by
 * itself. */
static bool
hears_most (const crew_t *crew, bool near)
{
  count_t here = count_hosts (crew, crew->data_centre);
  count_t all = count_hosts (crew, NULL);

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
  crew_action_t *action = add (actions, CREW_OWNER, NULL);
  action->shard = shard->name;
  action->host = best->host;
  action->token = best->token;
}

static void
step_shard (crew_t *crew, shard_t *shard, int64_t now_ms, int64_t wall_ms, GArray *actions)
{
  best_t best = best_claim (crew, shard);

  if (shard->own && best.host != crew->host)
    yield (shard, "another host has a better claim", actions);
  if (shard->own && strcmp (crew->data_centre, shard->name) != 0
      && near_host_stays (crew, shard, now_ms))
    {
      yield (shard, "a host of its data centre is back", actions);
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
  if (shard->own && best.host != crew->host)
    best = best_claim (crew, shard);
  tell_owner (shard, &best, actions);
}

void
crew_step (crew_t *crew, int64_t now_ms, int64_t wall_ms, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;

  lose_silent (crew, now_ms, actions);
  if (now_ms >= crew->rank_due_ms)
    {
      roster_rank (crew->roster, now_ms);
      crew->rank_due_ms = now_ms + RANK_EVERY_MS;
    }
  g_hash_table_iter_init (&iter, crew->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    step_shard (crew, value, now_ms, wall_ms, actions);
}

void
crew_shut_out (crew_t *crew, const char *name, int64_t now_ms, int64_t wall_ms, GArray *actions)
{
  shard_t *shard = find_shard (crew, name);
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
  yield (shard, "an endpoint obeys a higher token, and most hosts are not heard", actions);
}

void
crew_thawed (crew_t *crew, int64_t now_ms, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, crew->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      shard_t *shard = value;
      if (shard->own)
        yield (shard, "this host stood still", actions);
      shard->vacant_from_ms = 0;
    }
  crew->started_at_ms = now_ms;
}

static const peer_t *
find_peer (const crew_t *crew, const char *host)
{
  return g_hash_table_lookup (crew->peers, g_intern_string (host));
}

/* --- who talks to whom --- */

static bool
owns_any (const crew_t *crew)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, crew->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const shard_t *) value)->own)
      return true;
  return false;
}

void
crew_know (crew_t *crew, const char *host, const char *data_centre, int32_t power)
{
  roster_know (crew->roster, host, data_centre, power);
}

bool
crew_is_hub (const crew_t *crew)
{
  return roster_is_hub (crew->roster, crew->host);
}

bool
crew_host_is_hub (const crew_t *crew, const char *host)
{
  return roster_is_hub (crew->roster, host);
}

bool
crew_reads (const crew_t *crew)
{
  return roster_place (crew->roster, crew->host) < READERS || owns_any (crew);
}

bool
crew_wants_link (const crew_t *crew, const char *host)
{
  const peer_t *peer = find_peer (crew, host);
  bool owner = peer != NULL && peer->alive && peer->claims->len > 0;

  return owner || crew_is_hub (crew) || owns_any (crew) || roster_is_hub (crew->roster, host);
}

int64_t
crew_beat_every_ms (const crew_t *crew, const char *host)
{
  const peer_t *peer = find_peer (crew, host);
  bool near = peer == NULL || strcmp (peer->data_centre, crew->data_centre) == 0;

  if (roster_is_small (crew->roster))
    return near || roster_hosts (crew->roster) <= BEAT_FEW_HOSTS ? BEAT_NEAR_MS : BEAT_FAR_MS;
  bool hubs = crew_is_hub (crew) && roster_is_hub (crew->roster, host);
  if (hubs)
    return near ? BEAT_NEAR_MS : BEAT_FAR_MS;
  bool owner = owns_any (crew) || (peer != NULL && peer->claims->len > 0);
  return owner ? BEAT_FAR_MS : BEAT_SLOW_MS;
}

bool
crew_wants_directory (const crew_t *crew, const char *host)
{
  const peer_t *peer = find_peer (crew, host);

  return peer != NULL && peer->alive && !peer->reads && roster_is_hub (crew->roster, host)
         && strcmp (peer->data_centre, crew->data_centre) == 0;
}

const char *
crew_some_hub (const crew_t *crew)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, crew->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && !peer->leaving && roster_is_hub (crew->roster, peer->host))
        return peer->host;
    }
  return NULL;
}

uint64_t
crew_epoch_for (const crew_t *crew, const char *host)
{
  const peer_t *peer = find_peer (crew, host);

  return peer != NULL ? peer->their_epoch : 0;
}

bool
crew_accepts (const crew_t *crew, const char *host, uint64_t epoch)
{
  const peer_t *peer = find_peer (crew, host);

  return peer != NULL && peer->alive && peer->epoch == epoch;
}

void
crew_beat_for (const crew_t *crew, const char *to, int64_t now_ms, crew_beat_t *beat)
{
  const peer_t *peer = find_peer (crew, to);
  GHashTableIter iter;
  void *value = NULL;

  *beat = (crew_beat_t){ .host = (char *) crew->host,
                         .data_centre = crew->data_centre,
                         .incarnation = crew->incarnation,
                         .ready = crew->ready,
                         .leaving = crew->leaving,
                         .power = crew->power,
                         .up_ms = now_ms - crew->born_at_ms,
                         .reads = crew_reads (crew),
                         .next_ms = crew_beat_every_ms (crew, to),
                         .epoch = peer != NULL ? peer->epoch : 0,
                         .claims = g_array_new (FALSE, FALSE, sizeof (crew_claim_t)) };
  g_hash_table_iter_init (&iter, crew->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const shard_t *shard = value;
      crew_claim_t claim = { (char *) shard->name, shard->token };
      if (shard->own && beat->claims->len < CREW_CLAIMS_MAX)
        g_array_append_val (beat->claims, claim);
    }
}

void
crew_reached (crew_t *crew, const char *name, int64_t now_ms)
{
  shard_t *shard = find_shard (crew, name);

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

bool
crew_is_new (const crew_t *crew, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  if (now_ms - crew->born_at_ms > NEW_MS)
    return false;
  g_hash_table_iter_init (&iter, crew->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && now_ms - peer->up_from_ms > NEW_MS)
        return false;
    }
  return true;
}

int32_t
crew_hosts (const crew_t *crew, int64_t now_ms)
{
  (void) now_ms;
  return count_hosts (crew, NULL).alive;
}

const char *
crew_with_config (const crew_t *crew, int64_t version, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  (void) now_ms;
  g_hash_table_iter_init (&iter, crew->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && peer->config_version > version)
        return peer->host;
    }
  return NULL;
}
