/* crew.c -- the hosts that are heard: beats, silence, epochs
 *
 * A host is alive from its first beat until it has been silent for as long as its beats
 * allow.  Whenever one is lost it gets a new epoch, so that what it sent before is not taken.
 */
#include "crew/state.h"

#include <string.h>

/* A host that is not heard for this long is lost, .. */
#define SILENT_NEAR_MS 450
#define SILENT_FAR_MS 800
/* .. or, if it sends beats less often, after so many of them and a little. */
#define SILENT_BEATS 3
#define SILENT_SLACK_MS 50
/* Ranks are brought up to date this often. */
#define RANK_EVERY_MS 200
/* Of the time after which callers submit again: by then the tasks of a lost coordinator must be
 * on their way out. */
#define SILENT_PERCENT 60
/* After its connection broke, a host has this long to be heard again. */
#define BROKEN_GRACE_MS 120
/* A host that has not been heard for this long does not count any more. */
#define FORGET_MS 20000
/* Hosts that have been there for less have started together. */
#define NEW_MS 5000

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

crew_action_t *
crew_add (GArray *actions, crew_action_kind_t kind, const char *reason)
{
  crew_action_t action = { .kind = kind, .reason = reason };

  g_array_append_val (actions, action);
  return &g_array_index (actions, crew_action_t, actions->len - 1);
}

shard_t *
crew_find_shard (crew_t *crew, const char *name)
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
  crew_find_shard (crew, data_centre);
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
      crew_find_shard (crew, claim.shard);
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
  crew_action_t *action = crew_add (actions, CREW_LOST, reason);
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
  peer->drain_end = beat->drain_end;
  peer->heard_at_ms = now_ms;
  set_claims (crew, peer, beat->claims);
  if (!peer->alive)
    {
      roster_know (crew->roster, host, peer->data_centre, peer->power);
      roster_set_present (crew->roster, host, true, now_ms);
      crew->rank_due_ms = 0;
      peer->alive = true;
      peer->alive_from_ms = now_ms;
      crew_add (actions, CREW_FOUND, NULL)->host = host;
    }
  if (peer->their_epoch == beat->epoch)
    return;
  peer->their_epoch = beat->epoch;
  crew_add (actions, CREW_DROPPED, NULL)->host = host;
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

crew_count_t
crew_count (const crew_t *crew, const char *data_centre)
{
  crew_count_t count = { 0 };
  GHashTableIter iter;
  void *value = NULL;

  if (data_centre == NULL || strcmp (crew->data_centre, data_centre) == 0)
    count = (crew_count_t){ 1, 1 };
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

/* --- time --- */

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
    claim_step (crew, value, now_ms, wall_ms, actions);
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
        claim_yield (shard, "this host stood still", actions);
      shard->vacant_from_ms = 0;
    }
  crew->started_at_ms = now_ms;
}

const peer_t *
crew_find_peer (const crew_t *crew, const char *host)
{
  return g_hash_table_lookup (crew->peers, g_intern_string (host));
}

/* --- what is said --- */

uint64_t
crew_epoch_for (const crew_t *crew, const char *host)
{
  const peer_t *peer = crew_find_peer (crew, host);

  return peer != NULL ? peer->their_epoch : 0;
}

bool
crew_accepts (const crew_t *crew, const char *host, uint64_t epoch)
{
  const peer_t *peer = crew_find_peer (crew, host);

  return peer != NULL && peer->alive && peer->epoch == epoch;
}

void
crew_beat_for (const crew_t *crew, const char *to, int64_t now_ms, crew_beat_t *beat)
{
  const peer_t *peer = crew_find_peer (crew, to);
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
crew_hosts (const crew_t *crew)
{
  return crew_count (crew, NULL).alive;
}

const char *
crew_with_config (const crew_t *crew, int64_t version)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, crew->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && peer->config_version > version)
        return peer->host;
    }
  return NULL;
}

const char *
crew_with_drains (const crew_t *crew, uint64_t end)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, crew->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (peer->alive && peer->drain_end > end)
        return peer->host;
    }
  return NULL;
}
