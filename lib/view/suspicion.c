/* suspicion.c -- which members count as lost
 *
 * A silent member is doubted; another live member is asked whether it hears
 * it.  Only if that one does not, or there is nobody to ask and the silence
 * lasts twice as long, the member is lost.
 */
#include "view/membership_state.h"

#include <string.h>

/* A second opinion is asked for again after this time, and holds as long. */
#define OPINION_AGAIN_MS 500
#define OPINION_HOLDS_MS 2000

static bool
is_silent (const membership_t *membership, const member_t *member, int64_t now_ms)
{
  return membership_silence_ms (membership, member, now_ms) > membership->limits.suspect_ms;
}

/* Another member of the view that was heard lately, by turns; NULL if none. */
static const member_t *
second (const membership_t *membership, const member_t *doubted, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);
  int32_t first = g_rand_int_range (membership->random, 0, MAX (view->count, 1));

  for (int32_t i = 0; i < view->count; i++)
    {
      const member_t *member = view->seats[(first + i) % view->count].occupant;
      if (!member_equal (member, membership->self) && !member_equal (member, doubted)
          && !is_silent (membership, member, now_ms))
        return member;
    }
  return NULL;
}

static void
doubt (membership_t *membership, const member_t *member, peer_t *peer, int64_t now_ms)
{
  const member_t *asked = second (membership, member, now_ms);

  if (asked == NULL || now_ms < peer->doubted_ms + OPINION_AGAIN_MS)
    return;
  peer->doubted_ms = now_ms;
  view_msg_t *msg = view_msg_new (VIEW_MSG_DOUBT);
  msg->u.doubt.host = g_strdup (member->id);
  msg->u.doubt.incarnation = member->incarnation;
  membership_send (membership, asked->id, msg);
}

/* A member that was never met needs a place for what others say of it. */
static peer_t *
peer_for (membership_t *membership, member_t *member)
{
  peer_t *peer = g_hash_table_lookup (membership->peers, member->id);

  if (peer != NULL)
    return member_equal (peer->member, member) ? peer : NULL;
  peer = g_new0 (peer_t, 1);
  peer->member = member_ref (member);
  peer->heard_ms = membership->view_ms;
  peer->met_ms = membership->view_ms;
  g_hash_table_insert (membership->peers, g_strdup (member->id), peer);
  return peer;
}

void
suspicion_tick (membership_t *membership, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);

  for (int32_t i = 0; view != NULL && i < view->count; i++)
    {
      member_t *member = view->seats[i].occupant;
      if (member_equal (member, membership->self) || !is_silent (membership, member, now_ms))
        continue;
      peer_t *peer = peer_for (membership, member);
      if (peer != NULL && membership->limits.second_opinion)
        doubt (membership, member, peer, now_ms);
    }
}

void
suspicion_doubt (membership_t *membership,
                 const char *from,
                 const view_doubt_t *doubted,
                 int64_t now_ms)
{
  const peer_t *peer = g_hash_table_lookup (membership->peers, doubted->host);
  view_msg_t *msg = view_msg_new (VIEW_MSG_OPINION);
  view_opinion_t *opinion = &msg->u.opinion;

  opinion->host = g_strdup (doubted->host);
  opinion->incarnation = doubted->incarnation;
  opinion->silent_ms = now_ms - membership->started_ms;
  if (strcmp (doubted->host, membership->self->id) == 0)
    {
      opinion->seen = membership->self->incarnation;
      opinion->silent_ms = 0;
    }
  else if (peer != NULL)
    {
      opinion->seen = peer->member->incarnation;
      opinion->silent_ms = membership_silence_ms (membership, peer->member, now_ms);
    }
  membership_send (membership, from, msg);
}

void
suspicion_opinion (membership_t *membership, const view_opinion_t *opinion, int64_t now_ms)
{
  peer_t *peer = g_hash_table_lookup (membership->peers, opinion->host);

  if (peer == NULL || peer->member->incarnation != opinion->incarnation)
    return;
  bool replaced = opinion->seen != 0 && opinion->seen != opinion->incarnation;
  if (replaced || opinion->silent_ms > membership->limits.suspect_ms)
    peer->confirmed_ms = now_ms;
  else
    peer->confirmed_ms = 0;
}

bool
suspicion_is_lost (const membership_t *membership, const member_t *member, int64_t now_ms)
{
  if (member_equal (member, membership->self))
    return false;
  if (membership_is_replaced (membership, member))
    return true;
  if (!is_silent (membership, member, now_ms))
    return false;
  if (!membership->limits.second_opinion)
    return true;
  const peer_t *peer = membership_peer_of (membership, member);
  if (peer != NULL && peer->confirmed_ms > 0 && now_ms < peer->confirmed_ms + OPINION_HOLDS_MS)
    return true;
  return second (membership, member, now_ms) == NULL
         && membership_silence_ms (membership, member, now_ms) > 2 * membership->limits.suspect_ms;
}
