/* suspicion.c -- the failure detector: which members count as failed
 *
 * A member that is silent for suspect_timeout_ms is suspected.  This host then asks
 * another live member whether it hears the suspect.  The suspect counts as failed if
 * that member does not hear it either.  If there is no live member to ask, the suspect
 * counts as failed after twice the timeout.
 */
#include "view/membership_state.h"

#include <string.h>

/* Minimum time between two queries about the same member, and how long a confirmation of
 * its silence remains valid. */
#define QUERY_RETRY_MS 500
#define CONFIRMATION_VALID_MS 2000

static bool
is_silent (const membership_t *membership, const member_t *member, int64_t now_ms)
{
  return membership_silence_ms (membership, member, now_ms) > membership->limits.suspect_timeout_ms;
}

/* Returns a random member of the view that is not silent and is neither this host nor
 * SUSPECT, or NULL. */
static const member_t *
find_live_member (const membership_t *membership, const member_t *suspect, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);
  int32_t first = g_rand_int_range (membership->random, 0, MAX (view->count, 1));

  for (int32_t i = 0; i < view->count; i++)
    {
      const member_t *member = view->slots[(first + i) % view->count].occupant;
      if (!member_equal (member, membership->self) && !member_equal (member, suspect)
          && !is_silent (membership, member, now_ms))
        return member;
    }
  return NULL;
}

/* Asks a live member about MEMBER, unless a query was sent recently. */
static void
send_query (membership_t *membership, const member_t *member, peer_t *peer, int64_t now_ms)
{
  const member_t *queried = find_live_member (membership, member, now_ms);

  if (queried == NULL || now_ms < peer->query_sent_ms + QUERY_RETRY_MS)
    return;
  peer->query_sent_ms = now_ms;
  view_msg_t *msg = view_msg_new (VIEW_MSG_SUSPICION_QUERY);
  msg->u.suspicion_query.host = g_strdup (member->id);
  msg->u.suspicion_query.incarnation = member->incarnation;
  membership_send (membership, queried->id, msg);
}

/* Returns the peer that is MEMBER, or NULL if another process has its host id.  Adds a peer
 * for a member that was never connected, to store the replies about it. */
static peer_t *
find_or_add_peer (membership_t *membership, member_t *member)
{
  peer_t *peer = g_hash_table_lookup (membership->peers, member->id);

  if (peer != NULL)
    return member_equal (peer->member, member) ? peer : NULL;
  peer = g_new0 (peer_t, 1);
  peer->member = member_ref (member);
  peer->last_heard_ms = membership->view_learned_ms;
  peer->first_seen_ms = membership->view_learned_ms;
  g_hash_table_insert (membership->peers, g_strdup (member->id), peer);
  return peer;
}

void
suspicion_tick (membership_t *membership, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);

  for (int32_t i = 0; view != NULL && i < view->count; i++)
    {
      member_t *member = view->slots[i].occupant;
      if (member_equal (member, membership->self) || !is_silent (membership, member, now_ms))
        continue;
      peer_t *peer = find_or_add_peer (membership, member);
      if (peer != NULL && membership->limits.confirm_suspicion)
        send_query (membership, member, peer, now_ms);
    }
}

void
suspicion_on_query (membership_t *membership,
                    const char *from,
                    const view_suspicion_query_t *query,
                    int64_t now_ms)
{
  const peer_t *peer = g_hash_table_lookup (membership->peers, query->host);
  view_msg_t *msg = view_msg_new (VIEW_MSG_SUSPICION_REPLY);
  view_suspicion_reply_t *reply = &msg->u.suspicion_reply;

  reply->host = g_strdup (query->host);
  reply->incarnation = query->incarnation;
  reply->silence_ms = now_ms - membership->process_start_ms;
  if (strcmp (query->host, membership->self->id) == 0)
    {
      reply->known_incarnation = membership->self->incarnation;
      reply->silence_ms = 0;
    }
  else if (peer != NULL)
    {
      reply->known_incarnation = peer->member->incarnation;
      reply->silence_ms = membership_silence_ms (membership, peer->member, now_ms);
    }
  membership_send (membership, from, msg);
}

void
suspicion_on_reply (membership_t *membership, const view_suspicion_reply_t *reply, int64_t now_ms)
{
  peer_t *peer = g_hash_table_lookup (membership->peers, reply->host);

  if (peer == NULL || peer->member->incarnation != reply->incarnation)
    return;
  bool replaced = reply->known_incarnation != 0 && reply->known_incarnation != reply->incarnation;
  if (replaced || reply->silence_ms > membership->limits.suspect_timeout_ms)
    peer->silence_confirmed_ms = now_ms;
  else
    peer->silence_confirmed_ms = 0;
}

bool
suspicion_member_failed (const membership_t *membership, const member_t *member, int64_t now_ms)
{
  if (member_equal (member, membership->self))
    return false;
  if (membership_member_is_replaced (membership, member))
    return true;
  if (!is_silent (membership, member, now_ms))
    return false;
  if (!membership->limits.confirm_suspicion)
    return true;
  const peer_t *peer = membership_find_peer (membership, member);
  if (peer != NULL && peer->silence_confirmed_ms > 0
      && now_ms < peer->silence_confirmed_ms + CONFIRMATION_VALID_MS)
    return true;
  return find_live_member (membership, member, now_ms) == NULL
         && membership_silence_ms (membership, member, now_ms)
                > 2 * membership->limits.suspect_timeout_ms;
}
