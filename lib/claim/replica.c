/* replica.c -- a replica's handling of claims, probes and changes of the view
 *
 * Invariants:
 * - a key with a claimant is not granted to another one;
 * - a key is granted only if enough old replicas have handed over to know of any
 *   grant in the old view, or if the issue time rules out such a grant;
 * - a key that was removed is not granted again: its issue time is not after
 *   expired_until_ms, or is outside of the key window.
 */
#include "claim/replica_state.h"

#include <string.h>

/* Maximum number of view changes kept, so that pulls of replicas that lag behind
 * can still be served. */
#define TRANSITIONS_MAX 8
/* Each tick scans one part in this many of the table for expired keys, */
#define EXPIRY_SCAN_DIVISOR 1024
/* but at least this number of keys. */
#define EXPIRY_SCAN_KEYS_MIN 64

claim_replica_t *
claim_replica_new (member_t *self, const claim_rules_t *rules, const claim_limits_t *limits)
{
  claim_replica_t *replica = g_new0 (claim_replica_t, 1);

  replica->self = member_ref (self);
  replica->rules = *rules;
  replica->limits = *limits;
  replica->keys = key_table_new ();
  replica->transitions = g_ptr_array_new_with_free_func ((GDestroyNotify) transition_free);
  replica->losses = g_array_new (FALSE, FALSE, sizeof (claim_loss_t));
  replica->expired_until_ms = INT64_MIN;
  replica->contact_until_ms = INT64_MIN;
  return replica;
}

void
claim_replica_free (claim_replica_t *replica)
{
  replica_slot_clear (replica);
  key_table_free (replica->keys);
  g_ptr_array_unref (replica->transitions);
  claim_losses_clear (replica->losses);
  g_array_unref (replica->losses);
  view_unref (replica->view);
  member_unref (replica->self);
  g_free (replica);
}

transition_t *
replica_transition (const claim_replica_t *replica, int64_t number)
{
  for (guint i = replica->transitions->len; i > 0; i--)
    {
      transition_t *transition = g_ptr_array_index (replica->transitions, i - 1);
      if (transition->to->number == number)
        return transition;
    }
  return NULL;
}

bool
replica_is_complete (const claim_replica_t *replica, int64_t number)
{
  const transition_t *transition = replica_transition (replica, number);

  return !replica->rules.require_complete_history || (transition != NULL && transition->closed);
}

void
replica_merge_view (claim_replica_t *replica, view_t *view)
{
  for (guint i = 0; i < replica->transitions->len; i++)
    transition_merge_view (g_ptr_array_index (replica->transitions, i), view);
  if (replica->view == NULL || replica->view->number != view->number)
    return;
  view_t *merged = view_merge (replica->view, view);
  view_unref (replica->view);
  replica->view = merged;
}

static void
on_view (claim_replica_t *replica, view_t *view, view_t *base, claim_time_t now)
{
  if (replica->view == NULL || view->number > replica->view->number)
    {
      view_t *from = base != NULL && base->number + 1 == view->number ? base : NULL;
      g_ptr_array_add (replica->transitions, transition_new (from, view, now));
      if (replica->transitions->len > TRANSITIONS_MAX)
        g_ptr_array_remove_index (replica->transitions, 0);
      view_unref (replica->view);
      replica->view = view_ref (view);
      replica_slot_clear (replica);
    }
  else
    replica_merge_view (replica, view);
  if (base != NULL)
    replica_merge_view (replica, base);
  for (guint i = 0; i < replica->transitions->len; i++)
    transition_update_departed (g_ptr_array_index (replica->transitions, i), replica->view,
                                now.boot_ms);
}

/* Returns this replica's slot if it stores KEY in the current view, else -1; also
 * -1 while the slot is being transferred. */
static int32_t
slot_for (const claim_replica_t *replica, const char *key)
{
  int32_t slots[VIEW_REPLICAS_PER_KEY];

  if (replica->successor != NULL)
    return -1;
  int32_t count = view_replicas (replica->view, key, slots);
  for (int32_t i = 0; i < count; i++)
    if (member_equal (replica->view->slots[slots[i]].occupant, replica->self))
      return slots[i];
  return -1;
}

static bool
is_expired (const claim_replica_t *replica, int64_t issued_at_ms, int64_t wall_ms)
{
  if (issued_at_ms == CLAIM_ISSUED_AT_UNKNOWN)
    return false;
  return issued_at_ms <= replica->expired_until_ms
         || issued_at_ms + replica->limits.key_window_ms < wall_ms
         || issued_at_ms > wall_ms + replica->limits.clock_skew_ms;
}

/* Returns whether old replicas may have granted KEY without this replica's
 * knowledge. */
static key_state_t
key_state (const claim_replica_t *replica, const char *key, int64_t issued_at_ms, int64_t now_ms)
{
  const transition_t *last =
      g_ptr_array_index (replica->transitions, replica->transitions->len - 1);

  if (issued_at_ms == CLAIM_ISSUED_AT_UNKNOWN)
    issued_at_ms = INT64_MIN;
  for (guint i = 0; i < replica->losses->len; i++)
    if (claim_loss_covers (&g_array_index (replica->losses, claim_loss_t, i), key, issued_at_ms))
      return KEY_UNCERTAIN;
  return transition_key_state (last, key, issued_at_ms, &replica->limits, now_ms);
}

static claim_reply_result_t
add_holders (key_entry_t *entry, claim_reply_t *reply)
{
  reply->holder_count = key_entry_holder_count (entry);
  for (int32_t i = 0; i < reply->holder_count; i++)
    {
      reply->holders[i] = *key_entry_holder (entry, i);
      member_ref (reply->holders[i].member);
    }
  return reply->holder_count > 1 ? CLAIM_REPLY_CONTESTED : CLAIM_REPLY_HELD;
}

static bool
is_held_only_by (const key_entry_t *entry, const member_t *member)
{
  return key_entry_holder_count (entry) == 1 && member_equal (entry->first_holder.member, member);
}

/* The checks common to claims and probes of a key that no other claimant holds.
 * Returns CLAIM_REPLY_FREE if the key may be granted. */
static claim_reply_result_t
check_grantable (const claim_replica_t *replica,
                 const char *key,
                 int64_t issued_at_ms,
                 claim_time_t now)
{
  if (replica->rules.require_contact && now.boot_ms > replica->contact_until_ms)
    return CLAIM_REPLY_NOT_READY;
  if (is_expired (replica, issued_at_ms, now.wall_ms))
    return CLAIM_REPLY_EXPIRED;
  switch (key_state (replica, key, issued_at_ms, now.boot_ms))
    {
    case KEY_COMPLETE:
      return CLAIM_REPLY_FREE;
    case KEY_UNCERTAIN:
      return CLAIM_REPLY_UNCERTAIN;
    default:
      return CLAIM_REPLY_NOT_READY;
    }
}

static void
store_grant (claim_replica_t *replica,
             key_entry_t *entry,
             member_t *claimant,
             const claim_request_t *claim)
{
  claim_holder_t holder = { claimant, claim->attempt, claim->digest };

  if (entry == NULL)
    {
      key_table_add (replica->keys, claim->key, claim->issued_at_ms, &holder);
      return;
    }
  entry->issued_at_ms = MAX (entry->issued_at_ms, claim->issued_at_ms);
  key_table_add_holder (replica->keys, entry, &holder);
}

static claim_msg_t *
reply_new (const claim_replica_t *replica, const member_t *to, uint64_t request_id)
{
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_REPLY);

  msg->u.reply.request_id = request_id;
  msg->u.reply.incarnation = to->incarnation;
  msg->u.reply.view_number = replica->view != NULL ? replica->view->number : 0;
  msg->u.reply.result = CLAIM_REPLY_NOT_READY;
  return msg;
}

/* Sets the slot of REPLY to this replica's slot for KEY.  Returns false if it has
 * none or if VIEW is not the number of its current view. */
static bool
set_reply_slot (const claim_replica_t *replica, int64_t view, const char *key, claim_reply_t *reply)
{
  if (replica->view == NULL || replica->view->number != view)
    return false;
  int32_t slot = slot_for (replica, key);
  if (slot < 0)
    return false;
  reply->slot = g_strdup (replica->view->slots[slot].name);
  return true;
}

static void
on_claim (claim_replica_t *replica,
          member_t *from,
          const claim_request_t *claim,
          claim_time_t now,
          GPtrArray *actions)
{
  claim_msg_t *msg = reply_new (replica, from, claim->attempt);
  claim_reply_t *reply = &msg->u.reply;

  if (set_reply_slot (replica, claim->view_number, claim->key, reply))
    {
      key_entry_t *entry = key_table_find (replica->keys, claim->key);
      if (entry != NULL && !is_held_only_by (entry, from))
        reply->result = add_holders (entry, reply);
      else
        reply->result = check_grantable (replica, claim->key, claim->issued_at_ms, now);
      if (reply->result == CLAIM_REPLY_FREE)
        {
          store_grant (replica, entry, from, claim);
          reply->result = CLAIM_REPLY_GRANTED;
        }
    }
  claim_send (actions, from->id, msg);
}

/* Erases the claim named in PROBE.  Its claimant has confirmed that it has not
 * started the key under any attempt up to the named one and never will. */
static void
erase_claim (claim_replica_t *replica, const claim_probe_t *probe)
{
  key_entry_t *entry = key_table_find (replica->keys, probe->key);

  if (entry == NULL)
    return;
  claim_holder_t *holder =
      key_entry_find_holder (entry, probe->erase_host, probe->erase_incarnation);
  if (holder == NULL)
    return;
  if (holder->attempt > probe->erase_attempt && replica->rules.check_release_attempt)
    return;
  key_table_remove_holder (replica->keys, entry, holder);
}

static void
on_probe (claim_replica_t *replica,
          member_t *from,
          const claim_probe_t *probe,
          claim_time_t now,
          GPtrArray *actions)
{
  claim_msg_t *msg = reply_new (replica, from, probe->request_id);
  claim_reply_t *reply = &msg->u.reply;

  if (probe->erase_host != NULL)
    erase_claim (replica, probe);
  if (set_reply_slot (replica, probe->view_number, probe->key, reply))
    {
      key_entry_t *entry = key_table_find (replica->keys, probe->key);
      if (entry != NULL)
        reply->result = add_holders (entry, reply);
      else
        reply->result = check_grantable (replica, probe->key, probe->issued_at_ms, now);
    }
  claim_send (actions, from->id, msg);
}

static void
remove_expired_losses (claim_replica_t *replica, int64_t wall_ms)
{
  for (guint i = replica->losses->len; i > 0; i--)
    {
      claim_loss_t *loss = &g_array_index (replica->losses, claim_loss_t, i - 1);
      if (loss->max_issued_at_ms + replica->limits.key_window_ms + replica->limits.clock_skew_ms
          >= wall_ms)
        continue;
      view_unref (loss->from);
      g_array_remove_index (replica->losses, i - 1);
    }
}

/* A key is kept until no coordinator can start it any more, even if clocks differ by
 * as much as the skew limit. */
static void
remove_expired_keys (claim_replica_t *replica, int64_t wall_ms)
{
  const claim_limits_t *limits = &replica->limits;
  int64_t before_ms =
      wall_ms - limits->key_window_ms - limits->start_timeout_ms - 2 * limits->clock_skew_ms;
  int32_t scan_keys = (int32_t) (key_table_count (replica->keys) / EXPIRY_SCAN_DIVISOR);
  int64_t newest_ms =
      key_table_remove_expired (replica->keys, before_ms, MAX (scan_keys, EXPIRY_SCAN_KEYS_MIN));

  replica->expired_until_ms = MAX (replica->expired_until_ms, newest_ms);
  remove_expired_losses (replica, wall_ms);
}

static void
on_message (claim_replica_t *replica,
            member_t *from,
            const claim_msg_t *msg,
            claim_time_t now,
            GPtrArray *actions)
{
  switch (msg->type)
    {
    case CLAIM_MSG_CLAIM:
      on_claim (replica, from, &msg->u.claim, now, actions);
      break;
    case CLAIM_MSG_PROBE:
      on_probe (replica, from, &msg->u.probe, now, actions);
      break;
    case CLAIM_MSG_PULL:
      replica_on_pull (replica, from, &msg->u.pull, now, actions);
      break;
    case CLAIM_MSG_BATCH:
      replica_on_batch (replica, from, &msg->u.batch, now, actions);
      break;
    case CLAIM_MSG_SLOT_OFFER:
    case CLAIM_MSG_SLOT_READY:
    case CLAIM_MSG_SLOT_TRANSFERRED:
      replica_on_slot_message (replica, from, msg, now, actions);
      break;
    default:
      break;
    }
}

void
claim_replica_step (claim_replica_t *replica,
                    const replica_event_t *event,
                    claim_time_t now,
                    GPtrArray *actions)
{
  switch (event->kind)
    {
    case REPLICA_MESSAGE:
      on_message (replica, event->from, event->msg, now, actions);
      break;
    case REPLICA_VIEW:
      on_view (replica, event->view, event->base, now);
      replica_update_transitions (replica, now);
      replica_send_pulls (replica, now, actions);
      break;
    case REPLICA_CONTACT:
      replica->contact_until_ms = event->contact_until_ms;
      break;
    case REPLICA_TICK:
      remove_expired_keys (replica, now.wall_ms);
      replica_update_transitions (replica, now);
      replica_send_pulls (replica, now, actions);
      replica_slot_tick (replica, now, actions);
      break;
    case REPLICA_TRANSFER_SLOT:
      replica_slot_start_transfer (replica, event->successor);
      replica_slot_tick (replica, now, actions);
      break;
    }
}

void
claim_replica_status (const claim_replica_t *replica, replica_status_t *status)
{
  *status = (replica_status_t){ .keys = key_table_count (replica->keys),
                                .contested = key_table_contested_count (replica->keys),
                                .losses = replica->losses->len,
                                .slot_transferred = replica->slot_transferred };
  if (replica->view == NULL)
    return;
  const transition_t *last = replica_transition (replica, replica->view->number);
  status->view_complete = last->closed;
  status->handovers_due = last->closed ? 0 : transition_missing_count (last);
}

bool
claim_replica_handed_over (const claim_replica_t *replica)
{
  if (replica->view == NULL)
    return true;
  const transition_t *last = replica_transition (replica, replica->view->number);
  if (last->from == NULL || view_slot_of_member (last->from, replica->self) < 0)
    return true;
  return __builtin_popcountll (last->fully_pulled) >= last->to->count;
}
