/* relay.c -- decides who reads the platform for a data centre, and from whom to pull */
#include "config/relay.h"

#include "base/hash.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  char *host;
  bool local;      /* of this data centre */
  uint64_t weight; /* rendezvous; the highest reads */
  int64_t heard_at_ms;
  int64_t answered_at_ms; /* last beat that said so */
  int64_t gave_at_ms;     /* it last had something newer; 0 for never */
  bool behind;            /* this host is behind it */
} peer_t;

struct relay_t
{
  char *host;
  char *data_centre;
  uint64_t weight;
  GPtrArray *peers; /* of peer_t */
  int64_t answered_at_ms;
  int64_t beat_at_ms;
  int64_t pull_at_ms;
  guint turn; /* of the peers to pull from */
  bool reading;
};

static void
peer_free (gpointer data)
{
  peer_t *peer = data;
  g_free (peer->host);
  g_free (peer);
}

relay_t *
relay_new (const char *host, const char *data_centre, int64_t now_ms)
{
  relay_t *relay = g_new0 (relay_t, 1);
  relay->host = g_strdup (host);
  relay->data_centre = g_strdup (data_centre);
  relay->weight = hash_rendezvous (data_centre, host);
  relay->peers = g_ptr_array_new_with_free_func (peer_free);
  relay->answered_at_ms = now_ms - RELAY_ANSWER_MS;
  relay->beat_at_ms = now_ms;
  relay->pull_at_ms = now_ms;
  return relay;
}

void
relay_free (relay_t *relay)
{
  if (relay == NULL)
    return;
  g_ptr_array_unref (relay->peers);
  g_free (relay->host);
  g_free (relay->data_centre);
  g_free (relay);
}

static peer_t *
find (const relay_t *relay, const char *host)
{
  for (guint i = 0; i < relay->peers->len; i++)
    {
      peer_t *peer = relay->peers->pdata[i];
      if (strcmp (peer->host, host) == 0)
        return peer;
    }
  return NULL;
}

/* A new peer has the time of one silence to send its first beat. */
void
relay_peer_up (relay_t *relay, const char *host, const char *data_centre, int64_t now_ms)
{
  if (find (relay, host))
    return;
  peer_t *peer = g_new0 (peer_t, 1);
  peer->host = g_strdup (host);
  peer->local = strcmp (data_centre, relay->data_centre) == 0;
  peer->weight = hash_rendezvous (data_centre, host);
  peer->heard_at_ms = now_ms;
  peer->answered_at_ms = now_ms;
  g_ptr_array_add (relay->peers, peer);
}

void
relay_peer_down (relay_t *relay, const char *host)
{
  peer_t *peer = find (relay, host);
  if (peer)
    g_ptr_array_remove (relay->peers, peer);
}

void
relay_heard (relay_t *relay, const char *host, const relay_beat_t *beat, int64_t now_ms)
{
  peer_t *peer = find (relay, host);
  if (peer == NULL || !peer->local)
    return;
  peer->heard_at_ms = now_ms;
  peer->behind = beat->behind;
  if (beat->answered)
    peer->answered_at_ms = now_ms;
}

void
relay_answered (relay_t *relay, int64_t now_ms)
{
  relay->answered_at_ms = now_ms;
}

void
relay_gave (relay_t *relay, const char *host, int64_t now_ms)
{
  peer_t *peer = find (relay, host);
  if (peer)
    peer->gave_at_ms = now_ms;
}

static bool
is_before (const relay_t *relay, const peer_t *peer)
{
  if (!peer->local)
    return false;
  if (peer->weight != relay->weight)
    return peer->weight > relay->weight;
  return strcmp (peer->host, relay->host) < 0;
}

static bool
is_silent (const peer_t *peer, int64_t now_ms)
{
  return now_ms - peer->heard_at_ms > RELAY_SILENT_MS;
}

/* Each host before this one that is silent counts as gone.  The second host
 * also steps in for a first one that gets no answers. */
static bool
should_read (const relay_t *relay, int64_t now_ms)
{
  const peer_t *last = NULL;
  guint before = 0;
  for (guint i = 0; i < relay->peers->len; i++)
    {
      const peer_t *peer = relay->peers->pdata[i];
      if (!is_before (relay, peer) || is_silent (peer, now_ms))
        continue;
      before++;
      last = peer;
    }
  if (before == 0)
    return true;
  return before == 1 && now_ms - last->answered_at_ms > RELAY_ANSWER_MS;
}

const char *
relay_source (const relay_t *relay, int64_t now_ms)
{
  const peer_t *source = NULL;
  for (guint i = 0; i < relay->peers->len; i++)
    {
      const peer_t *peer = relay->peers->pdata[i];
      if (!is_before (relay, peer) || is_silent (peer, now_ms))
        continue;
      if (source == NULL || peer->weight > source->weight)
        source = peer;
    }
  return source ? source->host : NULL;
}

/* A host of this data centre that says it has more. */
static const peer_t *
peer_ahead (const relay_t *relay, int64_t now_ms)
{
  for (guint i = 0; i < relay->peers->len; i++)
    {
      const peer_t *peer = relay->peers->pdata[i];
      if (peer->behind && !is_silent (peer, now_ms))
        return peer;
    }
  return NULL;
}

/* The peer whose turn it is, of this data centre or of the others; any if there
 * is none. */
static const peer_t *
peer_in_turn (const relay_t *relay, bool local, guint turn)
{
  guint matching = 0;
  for (guint i = 0; i < relay->peers->len; i++)
    matching += ((const peer_t *) relay->peers->pdata[i])->local == local;
  if (relay->peers->len == 0)
    return NULL;
  if (matching == 0)
    return relay->peers->pdata[turn % relay->peers->len];
  guint skip = turn % matching;
  for (guint i = 0;; i++)
    {
      const peer_t *peer = relay->peers->pdata[i];
      if (peer->local == local && skip-- == 0)
        return peer;
    }
}

/* The next peer of another data centre in turn: a pull to one that is cut off
 * or has nothing newer is lost, so one that had is kept. */
static const char *
far_host (relay_t *relay, int64_t now_ms)
{
  guint count = relay->peers->len;
  for (guint i = 0; i < count; i++)
    {
      const peer_t *peer = relay->peers->pdata[i];
      if (!peer->local && peer->gave_at_ms > 0 && now_ms - peer->gave_at_ms <= RELAY_GIVER_MS)
        return peer->host;
    }
  const peer_t *peer = peer_in_turn (relay, false, relay->turn++);
  return peer ? peer->host : NULL;
}

static const char *
choose_pull (relay_t *relay, bool stateless, int64_t now_ms)
{
  bool answered = now_ms - relay->answered_at_ms <= RELAY_ANSWER_MS;
  const peer_t *ahead = peer_ahead (relay, now_ms);
  const peer_t *chosen = ahead;
  if (stateless && (ahead == NULL || relay->turn % 2 == 1))
    chosen = peer_in_turn (relay, relay->turn % 2 == 0, relay->turn / 2);
  else if (ahead == NULL && relay->reading && !answered)
    return far_host (relay, now_ms);
  relay->turn += stateless;
  return chosen ? chosen->host : NULL;
}

void
relay_step (relay_t *relay, bool stateless, int64_t now_ms, relay_actions_t *actions)
{
  *actions = (relay_actions_t){ 0 };
  bool read = should_read (relay, now_ms);
  if (read && !relay->reading)
    relay->beat_at_ms = now_ms;
  relay->reading = read;
  actions->read = read;
  actions->answered = now_ms - relay->answered_at_ms <= RELAY_ANSWER_MS;
  if (read && now_ms >= relay->beat_at_ms)
    {
      actions->beat = true;
      relay->beat_at_ms = now_ms + RELAY_BEAT_MS;
    }
  if (now_ms < relay->pull_at_ms)
    return;
  actions->pull_from = choose_pull (relay, stateless, now_ms);
  if (actions->pull_from)
    relay->pull_at_ms = now_ms + RELAY_PULL_MS;
}
