/* relay.c -- selects the hosts of a data centre that read the platform, and the pull sources */
#include "config/relay.h"

#include "base/hash.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  char *host;
  bool local;              /* in this data centre */
  uint64_t weight;         /* rendezvous hash; the host with the highest weight reads */
  int64_t heartbeat_at_ms; /* last heartbeat */
  int64_t answered_at_ms;  /* last heartbeat with platform_answered */
  int64_t supplied_at_ms;  /* last time it sent newer data; 0 for never */
  bool is_ahead;           /* it has data that this host lacks */
} peer_t;

struct relay_t
{
  char *host;
  char *data_centre;
  uint64_t weight;
  GPtrArray *peers;       /* of peer_t */
  int64_t answered_at_ms; /* last answer of the platform to this host */
  int64_t next_heartbeat_ms;
  int64_t next_pull_ms;
  guint pull_turn; /* counter for the round-robin choice of a pull source */
  bool is_reader;
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
  relay->answered_at_ms = now_ms - RELAY_ANSWER_TIMEOUT_MS;
  relay->next_heartbeat_ms = now_ms;
  relay->next_pull_ms = now_ms;
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
find_peer (const relay_t *relay, const char *host)
{
  for (guint i = 0; i < relay->peers->len; i++)
    {
      peer_t *peer = relay->peers->pdata[i];
      if (strcmp (peer->host, host) == 0)
        return peer;
    }
  return NULL;
}

/* A new peer has one heartbeat timeout to send its first heartbeat. */
void
relay_peer_up (relay_t *relay, const char *host, const char *data_centre, int64_t now_ms)
{
  if (find_peer (relay, host))
    return;
  peer_t *peer = g_new0 (peer_t, 1);
  peer->host = g_strdup (host);
  peer->local = strcmp (data_centre, relay->data_centre) == 0;
  peer->weight = hash_rendezvous (data_centre, host);
  peer->heartbeat_at_ms = now_ms;
  peer->answered_at_ms = now_ms;
  g_ptr_array_add (relay->peers, peer);
}

void
relay_peer_down (relay_t *relay, const char *host)
{
  peer_t *peer = find_peer (relay, host);
  if (peer)
    g_ptr_array_remove (relay->peers, peer);
}

void
relay_heartbeat_received (relay_t *relay,
                          const char *host,
                          const relay_heartbeat_t *heartbeat,
                          int64_t now_ms)
{
  peer_t *peer = find_peer (relay, host);
  if (peer == NULL || !peer->local)
    return;
  peer->heartbeat_at_ms = now_ms;
  peer->is_ahead = heartbeat->receiver_behind;
  if (heartbeat->platform_answered)
    peer->answered_at_ms = now_ms;
}

void
relay_platform_answered (relay_t *relay, int64_t now_ms)
{
  relay->answered_at_ms = now_ms;
}

void
relay_pull_succeeded (relay_t *relay, const char *host, int64_t now_ms)
{
  peer_t *peer = find_peer (relay, host);
  if (peer)
    peer->supplied_at_ms = now_ms;
}

static bool
is_ranked_above (const relay_t *relay, const peer_t *peer)
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
  return now_ms - peer->heartbeat_at_ms > RELAY_HEARTBEAT_TIMEOUT_MS;
}

/* Silent hosts are left out of the ranking.  The second host also reads while
 * the first one receives no answers. */
static bool
should_read_platform (const relay_t *relay, int64_t now_ms)
{
  const peer_t *reader = NULL;
  guint above = 0;
  for (guint i = 0; i < relay->peers->len; i++)
    {
      const peer_t *peer = relay->peers->pdata[i];
      if (!is_ranked_above (relay, peer) || is_silent (peer, now_ms))
        continue;
      above++;
      reader = peer;
    }
  if (above == 0)
    return true;
  return above == 1 && now_ms - reader->answered_at_ms > RELAY_ANSWER_TIMEOUT_MS;
}

const char *
relay_source (const relay_t *relay, int64_t now_ms)
{
  const peer_t *source = NULL;
  for (guint i = 0; i < relay->peers->len; i++)
    {
      const peer_t *peer = relay->peers->pdata[i];
      if (!is_ranked_above (relay, peer) || is_silent (peer, now_ms))
        continue;
      if (source == NULL || peer->weight > source->weight)
        source = peer;
    }
  return source ? source->host : NULL;
}

/* A host of this data centre whose last heartbeat showed that it has data that
 * this host lacks; NULL if there is none. */
static const peer_t *
find_peer_ahead (const relay_t *relay, int64_t now_ms)
{
  for (guint i = 0; i < relay->peers->len; i++)
    {
      const peer_t *peer = relay->peers->pdata[i];
      if (peer->is_ahead && !is_silent (peer, now_ms))
        return peer;
    }
  return NULL;
}

/* Round-robin choice among the peers of this data centre (LOCAL) or of the
 * others.  Chooses among all peers if there is none of the wanted kind. */
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

/* Chooses a peer in another data centre, or any peer if there is none.  A pull from a peer that is
 * cut off or has no newer data is wasted, so a peer that recently supplied newer data is chosen
 * again; otherwise the peers are chosen in turn. */
static const char *
choose_remote_source (relay_t *relay, int64_t now_ms)
{
  guint count = relay->peers->len;
  for (guint i = 0; i < count; i++)
    {
      const peer_t *peer = relay->peers->pdata[i];
      if (!peer->local && peer->supplied_at_ms > 0
          && now_ms - peer->supplied_at_ms <= RELAY_PULL_SOURCE_KEEP_MS)
        return peer->host;
    }
  const peer_t *peer = peer_in_turn (relay, false, relay->pull_turn++);
  return peer ? peer->host : NULL;
}

/* Chooses the host to pull from, or NULL.  A host without state tries its own and
 * the other data centres by turns, even if a host of its own data centre is ahead. */
static const char *
choose_pull_source (relay_t *relay, bool stateless, int64_t now_ms)
{
  bool answered = now_ms - relay->answered_at_ms <= RELAY_ANSWER_TIMEOUT_MS;
  const peer_t *ahead = find_peer_ahead (relay, now_ms);
  const peer_t *chosen = ahead;
  if (stateless && (ahead == NULL || relay->pull_turn % 2 == 1))
    chosen = peer_in_turn (relay, relay->pull_turn % 2 == 0, relay->pull_turn / 2);
  else if (ahead == NULL && relay->is_reader && !answered)
    return choose_remote_source (relay, now_ms);
  relay->pull_turn += stateless;
  return chosen ? chosen->host : NULL;
}

void
relay_step (relay_t *relay, bool stateless, int64_t now_ms, relay_actions_t *actions)
{
  *actions = (relay_actions_t){ 0 };
  bool is_reader = should_read_platform (relay, now_ms);
  if (is_reader && !relay->is_reader)
    relay->next_heartbeat_ms = now_ms;
  relay->is_reader = is_reader;
  actions->read_platform = is_reader;
  actions->platform_answered = now_ms - relay->answered_at_ms <= RELAY_ANSWER_TIMEOUT_MS;
  if (is_reader && now_ms >= relay->next_heartbeat_ms)
    {
      actions->send_heartbeat = true;
      relay->next_heartbeat_ms = now_ms + RELAY_HEARTBEAT_INTERVAL_MS;
    }
  if (now_ms < relay->next_pull_ms)
    return;
  actions->pull_from = choose_pull_source (relay, stateless, now_ms);
  if (actions->pull_from)
    relay->next_pull_ms = now_ms + RELAY_PULL_INTERVAL_MS;
}
