/* proposal.c -- which change of the view to propose, and when
 *
 * Every host works out the members that the next view should have.  The host
 * that reads the log proposes it at once, others only if the need persists, so
 * that a change costs about one record.  A host that is not a member yet waits
 * for the members to take it in and proposes itself later, less and less often.
 */
#include "view/membership_state.h"

#include <string.h>

/* A host that does not read the log itself proposes after this delay. */
#define STANDBY_MS 3000
/* A host that is not a member proposes itself after this delay, and doubles
 * it up to the maximum. */
#define STRANGER_MS 2500
#define STRANGER_MAX_MS 30000
/* Random part of the delays, against proposals at the same time. */
#define JITTER_MS 400
/* A proposal that has not won by then is made again if still needed. */
#define PROPOSAL_AGAIN_MS 2000
/* The state is put into the stream again before its records can expire. */
#define CHECKPOINT_EVERY_MS 300000
/* A leaving host waits this long for a view without it before it passes its
 * seat on; a successor has this long to take it. */
#define LEAVE_WAIT_MS 1500
#define SUCCESSOR_MS 2000
#define OFFER_EVERY_MS 500

static void
append (membership_t *membership, GBytes *record)
{
  membership_action_t *action = g_new0 (membership_action_t, 1);

  action->kind = MEMBERSHIP_APPEND;
  action->record = record;
  g_ptr_array_add (membership->actions, action);
}

/* True if PEER runs here, now, and wants to be a member. */
static bool
is_joining (const membership_t *membership, const peer_t *peer, int64_t now_ms)
{
  return membership_is_local (membership, peer) && peer->connected && !peer->leaving
         && peer->beat_ms > 0 && now_ms - peer->heard_ms <= membership->limits.suspect_ms;
}

static void
add_member (GPtrArray *members, member_t *member)
{
  for (guint i = 0; i < members->len; i++)
    if (strcmp (((member_t *) g_ptr_array_index (members, i))->id, member->id) == 0)
      return;
  if (members->len < VIEW_SEATS_MAX)
    g_ptr_array_add (members, member);
}

/* The members that the next view should have.  *CHANGED tells whether these
 * differ from VIEW (may be NULL). */
static GPtrArray *
wanted_members (membership_t *membership, const view_t *view, int64_t now_ms, bool *changed)
{
  GPtrArray *members = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value = NULL;

  *changed = view == NULL;
  if (!membership->draining)
    {
      add_member (members, membership->self);
      *changed |= view != NULL && view_seat_of (view, membership->self) < 0;
    }
  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (!is_joining (membership, peer, now_ms))
        continue;
      add_member (members, peer->member);
      *changed |= view != NULL && view_seat_of (view, peer->member) < 0;
    }
  for (int32_t i = 0; view != NULL && i < view->count; i++)
    {
      member_t *member = view->seats[i].occupant;
      const peer_t *peer = membership_peer_of (membership, member);
      bool leaving = (peer != NULL && peer->leaving)
                     || (membership->draining && member_equal (member, membership->self));
      if (leaving || suspicion_is_lost (membership, member, now_ms))
        *changed = true;
      else
        add_member (members, member);
    }
  return members;
}

static bool
hears_a_member (const membership_t *membership, const view_t *view, int64_t now_ms)
{
  for (int32_t i = 0; i < view->count; i++)
    {
      const member_t *member = view->seats[i].occupant;
      const peer_t *peer = membership_peer_of (membership, member);
      if (peer != NULL && peer->connected
          && membership_silence_ms (membership, member, now_ms) <= membership->limits.suspect_ms)
        return true;
    }
  return false;
}

void
proposal_reset (membership_t *membership)
{
  membership->need_since_ms = 0;
  membership->stranger_wait_ms = STRANGER_MS + g_rand_int_range (membership->random, 0, JITTER_MS);
}

/* How long the need must have lasted before this host proposes. */
static int64_t
patience_ms (const membership_t *membership, const view_t *view, int64_t now_ms)
{
  int64_t standby_ms = membership_log_is_fresh (membership, now_ms) ? 0 : STANDBY_MS;

  if (view == NULL)
    return membership->limits.first_view_ms + standby_ms;
  if (view_seat_of (view, membership->self) >= 0)
    return membership->limits.join_ms + standby_ms;
  if (hears_a_member (membership, view, now_ms))
    return membership->stranger_wait_ms;
  /* All members are silent: nobody else will do it. */
  return 2 * membership->limits.suspect_ms + standby_ms + membership->stranger_wait_ms
         - STRANGER_MS;
}

static void
propose (membership_t *membership, const view_t *view, const GPtrArray *members, int64_t now_ms)
{
  int64_t base = view != NULL ? view->number : 0;

  append (membership, view_record_change (membership->self->data_centre, base, members));
  membership->proposed_ms = now_ms;
  membership->need_since_ms = now_ms + g_rand_int_range (membership->random, 0, JITTER_MS);
  if (view != NULL && view_seat_of (view, membership->self) < 0)
    membership->stranger_wait_ms = MIN (2 * membership->stranger_wait_ms, STRANGER_MAX_MS);
}

static void
consider (membership_t *membership, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);
  bool changed = false;
  g_autoptr (GPtrArray) members = wanted_members (membership, view, now_ms, &changed);

  if (!changed || members->len == 0)
    {
      proposal_reset (membership);
      return;
    }
  if (membership->need_since_ms == 0)
    membership->need_since_ms = now_ms;
  if (membership->proposed_ms != 0 && now_ms < membership->proposed_ms + PROPOSAL_AGAIN_MS)
    return;
  if (now_ms >= membership->need_since_ms + patience_ms (membership, view, now_ms))
    propose (membership, view, members, now_ms);
}

static void
checkpoint (membership_t *membership, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);

  if (view == NULL || !membership_log_is_fresh (membership, now_ms)
      || now_ms < membership->next_checkpoint_ms)
    return;
  membership->next_checkpoint_ms = now_ms + CHECKPOINT_EVERY_MS;
  append (membership, view_record_checkpoint (view));
}

/* Some host of this data centre that is no member and stays. */
static char *
find_successor (const membership_t *membership, const view_t *view, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_autoptr (GPtrArray) found = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (is_joining (membership, peer, now_ms) && view_seat_of (view, peer->member) < 0)
        g_ptr_array_add (found, peer->member->id);
    }
  if (found->len == 0)
    return NULL;
  gint32 index = g_rand_int_range (membership->random, 0, (gint32) found->len);
  return g_strdup (g_ptr_array_index (found, (guint) index));
}

/* With the log down no view will do without this host: it passes its seat on. */
static void
pass_seat (membership_t *membership, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);

  if (!membership->draining || view == NULL || view_seat_of (view, membership->self) < 0
      || membership_log_is_fresh (membership, now_ms)
      || now_ms < membership->drain_ms + LEAVE_WAIT_MS || now_ms < membership->next_offer_ms)
    return;
  membership->next_offer_ms = now_ms + OFFER_EVERY_MS;
  if (membership->successor == NULL || now_ms >= membership->offered_ms + SUCCESSOR_MS)
    {
      g_free (membership->successor);
      membership->successor = find_successor (membership, view, now_ms);
      membership->offered_ms = now_ms;
    }
  if (membership->successor == NULL)
    return;
  membership_action_t *action = g_new0 (membership_action_t, 1);
  action->kind = MEMBERSHIP_PASS_SEAT;
  action->to = g_strdup (membership->successor);
  g_ptr_array_add (membership->actions, action);
}

void
proposal_tick (membership_t *membership, int64_t now_ms)
{
  consider (membership, now_ms);
  checkpoint (membership, now_ms);
  pass_seat (membership, now_ms);
}
