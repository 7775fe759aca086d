/* proposal.c -- which change of the view to propose, and when
 *
 * Every host computes the members that the next view should have.  A member that has
 * recently read the log proposes the change after join_delay_ms.  The others propose
 * it only if it is still needed some seconds later, so that a change usually costs
 * one record.  A host that is not a member waits until the members add it; if they
 * do not, it proposes itself, at increasing intervals.
 */
#include "view/membership_state.h"

#include <string.h>

/* Additional delay of a host that has not recently read the log. */
#define STANDBY_DELAY_MS 3000
/* Delay after which a host that is not a member proposes itself.  Each proposal doubles
 * it, up to the maximum. */
#define SELF_PROPOSAL_DELAY_MS 2500
#define SELF_PROPOSAL_DELAY_MAX_MS 30000
/* Upper bound of the random part of a delay, which keeps hosts from proposing at the same
 * time. */
#define JITTER_MAX_MS 400
/* A proposal that has not changed the view by then is repeated if still needed. */
#define PROPOSAL_RETRY_MS 2000
/* Interval at which the state is appended to the stream again, before its records can
 * expire. */
#define CHECKPOINT_INTERVAL_MS 300000
/* A leaving host waits this long for a view without itself before it offers its slot to a
 * successor.  It repeats the offer at the interval, and chooses a successor again,
 * at random, after the timeout. */
#define SLOT_OFFER_DELAY_MS 1500
#define SUCCESSOR_TIMEOUT_MS 2000
#define SLOT_OFFER_INTERVAL_MS 500

static void
append_record (membership_t *membership, GBytes *record)
{
  membership_action_t *action = g_new0 (membership_action_t, 1);

  action->kind = MEMBERSHIP_APPEND;
  action->record = record;
  g_ptr_array_add (membership->actions, action);
}

/* Returns true if PEER can become a member: it is a connected host of this data centre, has
 * sent a heartbeat, was heard recently and is not leaving. */
static bool
is_eligible (const membership_t *membership, const peer_t *peer, int64_t now_ms)
{
  return membership_peer_is_local (membership, peer) && peer->connected && !peer->leaving
         && peer->last_heartbeat_ms > 0
         && now_ms - peer->last_heard_ms <= membership->limits.suspect_timeout_ms;
}

static void
add_member (GPtrArray *members, member_t *member)
{
  for (guint i = 0; i < members->len; i++)
    if (strcmp (((member_t *) g_ptr_array_index (members, i))->id, member->id) == 0)
      return;
  if (members->len < VIEW_SLOTS_MAX)
    g_ptr_array_add (members, member);
}

/* Returns the members that the next view should have, without references to them.  Sets
 * *CHANGED to whether they differ from those of VIEW, which may be NULL. */
static GPtrArray *
next_members (membership_t *membership, const view_t *view, int64_t now_ms, bool *changed)
{
  GPtrArray *members = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value = NULL;

  *changed = view == NULL;
  if (!membership->draining)
    {
      add_member (members, membership->self);
      *changed |= view != NULL && view_slot_of_member (view, membership->self) < 0;
    }
  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (!is_eligible (membership, peer, now_ms))
        continue;
      add_member (members, peer->member);
      *changed |= view != NULL && view_slot_of_member (view, peer->member) < 0;
    }
  for (int32_t i = 0; view != NULL && i < view->count; i++)
    {
      member_t *member = view->slots[i].occupant;
      const peer_t *peer = membership_find_peer (membership, member);
      bool leaving = (peer != NULL && peer->leaving)
                     || (membership->draining && member_equal (member, membership->self));
      if (leaving || suspicion_member_failed (membership, member, now_ms))
        *changed = true;
      else
        add_member (members, member);
    }
  return members;
}

/* Returns true if this host is connected to a member of VIEW that is not silent. */
static bool
has_live_member (const membership_t *membership, const view_t *view, int64_t now_ms)
{
  for (int32_t i = 0; i < view->count; i++)
    {
      const member_t *member = view->slots[i].occupant;
      const peer_t *peer = membership_find_peer (membership, member);
      if (peer != NULL && peer->connected
          && membership_silence_ms (membership, member, now_ms)
                 <= membership->limits.suspect_timeout_ms)
        return true;
    }
  return false;
}

void
proposal_reset (membership_t *membership)
{
  membership->change_needed_since_ms = 0;
  membership->self_proposal_delay_ms =
      SELF_PROPOSAL_DELAY_MS + g_rand_int_range (membership->random, 0, JITTER_MAX_MS);
}

/* Returns how long a change must have been needed before this host proposes it. */
static int64_t
proposal_delay_ms (const membership_t *membership, const view_t *view, int64_t now_ms)
{
  int64_t standby_delay_ms = membership_log_is_fresh (membership, now_ms) ? 0 : STANDBY_DELAY_MS;

  if (view == NULL)
    return membership->limits.first_view_delay_ms + standby_delay_ms;
  if (view_slot_of_member (view, membership->self) >= 0)
    return membership->limits.join_delay_ms + standby_delay_ms;
  if (has_live_member (membership, view, now_ms))
    return membership->self_proposal_delay_ms;
  /* All members are silent, so none of them will propose the change. */
  return 2 * membership->limits.suspect_timeout_ms + standby_delay_ms
         + membership->self_proposal_delay_ms - SELF_PROPOSAL_DELAY_MS;
}

static void
propose (membership_t *membership, const view_t *view, const GPtrArray *members, int64_t now_ms)
{
  int64_t base = view != NULL ? view->number : 0;

  append_record (membership, view_record_change (membership->self->data_centre, base, members));
  membership->last_proposal_ms = now_ms;
  membership->change_needed_since_ms =
      now_ms + g_rand_int_range (membership->random, 0, JITTER_MAX_MS);
  if (view != NULL && view_slot_of_member (view, membership->self) < 0)
    membership->self_proposal_delay_ms =
        MIN (2 * membership->self_proposal_delay_ms, SELF_PROPOSAL_DELAY_MAX_MS);
}

static void
propose_if_needed (membership_t *membership, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);
  bool changed = false;
  g_autoptr (GPtrArray) members = next_members (membership, view, now_ms, &changed);

  if (!changed || members->len == 0)
    {
      proposal_reset (membership);
      return;
    }
  if (membership->change_needed_since_ms == 0)
    membership->change_needed_since_ms = now_ms;
  if (membership->last_proposal_ms != 0
      && now_ms < membership->last_proposal_ms + PROPOSAL_RETRY_MS)
    return;
  if (now_ms >= membership->change_needed_since_ms + proposal_delay_ms (membership, view, now_ms))
    propose (membership, view, members, now_ms);
}

static void
append_checkpoint (membership_t *membership, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);

  if (view == NULL || !membership_log_is_fresh (membership, now_ms)
      || now_ms < membership->next_checkpoint_ms)
    return;
  membership->next_checkpoint_ms = now_ms + CHECKPOINT_INTERVAL_MS;
  append_record (membership, view_record_checkpoint (view));
}

/* Returns the id of a random host of this data centre that is not a member and can become
 * one, or NULL.  The caller frees it. */
static char *
find_successor (const membership_t *membership, const view_t *view, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value = NULL;
  g_autoptr (GPtrArray) candidates = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, membership->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (is_eligible (membership, peer, now_ms) && view_slot_of_member (view, peer->member) < 0)
        g_ptr_array_add (candidates, peer->member->id);
    }
  if (candidates->len == 0)
    return NULL;
  gint32 index = g_rand_int_range (membership->random, 0, (gint32) candidates->len);
  return g_strdup (g_ptr_array_index (candidates, (guint) index));
}

/* Offers the slot of a leaving host to a successor if the log is unavailable.  Without the
 * log there can be no new view without this host. */
static void
offer_slot (membership_t *membership, int64_t now_ms)
{
  const view_t *view = membership_own_view (membership);

  if (!membership->draining || view == NULL || view_slot_of_member (view, membership->self) < 0
      || membership_log_is_fresh (membership, now_ms)
      || now_ms < membership->drain_started_ms + SLOT_OFFER_DELAY_MS
      || now_ms < membership->next_offer_ms)
    return;
  membership->next_offer_ms = now_ms + SLOT_OFFER_INTERVAL_MS;
  if (membership->successor == NULL
      || now_ms >= membership->successor_chosen_ms + SUCCESSOR_TIMEOUT_MS)
    {
      g_free (membership->successor);
      membership->successor = find_successor (membership, view, now_ms);
      membership->successor_chosen_ms = now_ms;
    }
  if (membership->successor == NULL)
    return;
  membership_action_t *action = g_new0 (membership_action_t, 1);
  action->kind = MEMBERSHIP_OFFER_SLOT;
  action->to = g_strdup (membership->successor);
  g_ptr_array_add (membership->actions, action);
}

void
proposal_tick (membership_t *membership, int64_t now_ms)
{
  propose_if_needed (membership, now_ms);
  append_checkpoint (membership, now_ms);
  offer_slot (membership, now_ms);
}
