/* replica.c -- a replica's answers to claims and probes
 *
 * Invariants:
 * - a key with a claimant is granted to no other one;
 * - a key is granted only if everything that old replicas can have granted is
 *   here or is excluded by its issue time;
 * - a key that was forgotten is not granted again: its issue time is under the
 *   horizon or outside of the window.
 */
#include "claim/replica_state.h"

#include <string.h>

/* Bounds the changes that a replica that lags can still serve. */
#define TRANSITIONS_MAX 8
/* Each tick looks at this part of the table for keys to forget, */
#define SWEEP_PART 1024
/* and at least at so many. */
#define SWEEP_MIN 64

claim_replica_t *
claim_replica_new (member_t *self, const claim_rules_t *rules, const claim_limits_t *limits)
{
  claim_replica_t *replica = g_new0 (claim_replica_t, 1);

  replica->self = member_ref (self);
  replica->rules = *rules;
  replica->limits = *limits;
  replica->keys = keys_new ();
  replica->transitions = g_ptr_array_new_with_free_func ((GDestroyNotify) transition_free);
  replica->losses = g_array_new (FALSE, FALSE, sizeof (claim_loss_t));
  replica->horizon_ms = INT64_MIN;
  replica->contact_until_ms = INT64_MIN;
  return replica;
}

void
claim_replica_free (claim_replica_t *replica)
{
  replica_seat_clear (replica);
  keys_free (replica->keys);
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
replica_can_vouch (const claim_replica_t *replica, int64_t number)
{
  const transition_t *transition = replica_transition (replica, number);

  return !replica->rules.vouch || (transition != NULL && transition->closed);
}

void
replica_refresh (claim_replica_t *replica, view_t *view)
{
  for (guint i = 0; i < replica->transitions->len; i++)
    transition_refresh (g_ptr_array_index (replica->transitions, i), view);
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
      replica_seat_clear (replica);
    }
  else
    replica_refresh (replica, view);
  if (base != NULL)
    replica_refresh (replica, base);
  for (guint i = 0; i < replica->transitions->len; i++)
    transition_note_view (g_ptr_array_index (replica->transitions, i), replica->view, now.boot_ms);
}

/* This replica's seat among those that remember KEY in the view in force, or
 * -1. */
static int32_t
seat_for (const claim_replica_t *replica, const char *key)
{
  int32_t seats[VIEW_REPLICAS_PER_KEY];

  if (replica->successor != NULL)
    return -1;
  int32_t count = view_replicas (replica->view, key, seats);
  for (int32_t i = 0; i < count; i++)
    if (member_equal (replica->view->seats[seats[i]].occupant, replica->self))
      return seats[i];
  return -1;
}

static bool
is_expired (const claim_replica_t *replica, int64_t issued_at_ms, int64_t wall_ms)
{
  if (issued_at_ms == CLAIM_ISSUED_UNKNOWN)
    return false;
  return issued_at_ms <= replica->horizon_ms || issued_at_ms + replica->limits.window_ms < wall_ms
         || issued_at_ms > wall_ms + replica->limits.skew_ms;
}

/* What is known of KEY beyond this replica's table. */
static key_state_t
key_state (const claim_replica_t *replica, const char *key, int64_t issued_at_ms, int64_t now_ms)
{
  const transition_t *last =
      g_ptr_array_index (replica->transitions, replica->transitions->len - 1);

  if (issued_at_ms == CLAIM_ISSUED_UNKNOWN)
    issued_at_ms = INT64_MIN;
  for (guint i = 0; i < replica->losses->len; i++)
    if (claim_loss_covers (&g_array_index (replica->losses, claim_loss_t, i), key, issued_at_ms))
      return KEY_UNCERTAIN;
  return transition_key (last, key, issued_at_ms, &replica->limits, now_ms);
}

static claim_reply_result_t
name_holders (keys_entry_t *entry, claim_reply_t *reply)
{
  reply->holder_count = keys_holder_count (entry);
  for (int32_t i = 0; i < reply->holder_count; i++)
    {
      reply->holders[i] = *keys_holder (entry, i);
      member_ref (reply->holders[i].member);
    }
  return reply->holder_count > 1 ? CLAIM_REPLY_CONTESTED : CLAIM_REPLY_HELD;
}

static bool
is_held_by (const keys_entry_t *entry, const member_t *member)
{
  return keys_holder_count (entry) == 1 && member_equal (entry->first.member, member);
}

/* Checks what claims and probes have in common once nobody else holds the key.
 * Returns FREE if nothing is in the way. */
static claim_reply_result_t
check_free (const claim_replica_t *replica, const char *key, int64_t issued_at_ms, claim_time_t now)
{
  if (replica->rules.reconfirm && now.boot_ms > replica->contact_until_ms)
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
grant (claim_replica_t *replica,
       keys_entry_t *entry,
       member_t *claimant,
       const claim_request_t *claim)
{
  claim_holder_t holder = { claimant, claim->attempt, claim->digest };

  if (entry == NULL)
    {
      keys_add (replica->keys, claim->key, claim->issued_at_ms, &holder);
      return;
    }
  entry->issued_at_ms = MAX (entry->issued_at_ms, claim->issued_at_ms);
  keys_add_holder (replica->keys, entry, &holder);
}

static claim_msg_t *
reply_new (const claim_replica_t *replica, const member_t *to, uint64_t op)
{
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_REPLY);

  msg->u.reply.op = op;
  msg->u.reply.incarnation = to->incarnation;
  msg->u.reply.view = replica->view != NULL ? replica->view->number : 0;
  msg->u.reply.result = CLAIM_REPLY_NOT_READY;
  return msg;
}

/* Names the seat that answers for KEY.  Returns false if this replica has none
 * in VIEW. */
static bool
reply_seat (const claim_replica_t *replica, int64_t view, const char *key, claim_reply_t *reply)
{
  if (replica->view == NULL || replica->view->number != view)
    return false;
  int32_t seat = seat_for (replica, key);
  if (seat < 0)
    return false;
  reply->seat = g_strdup (replica->view->seats[seat].name);
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

  if (reply_seat (replica, claim->view, claim->key, reply))
    {
      keys_entry_t *entry = keys_find (replica->keys, claim->key);
      if (entry != NULL && !is_held_by (entry, from))
        reply->result = name_holders (entry, reply);
      else
        reply->result = check_free (replica, claim->key, claim->issued_at_ms, now);
      if (reply->result == CLAIM_REPLY_FREE)
        {
          grant (replica, entry, from, claim);
          reply->result = CLAIM_REPLY_GRANTED;
        }
    }
  claim_send (actions, from->id, msg);
}

/* The named claimant says truthfully that it has not started KEY under any
 * attempt up to the named one, and never will. */
static void
erase (claim_replica_t *replica, const claim_probe_t *probe)
{
  keys_entry_t *entry = keys_find (replica->keys, probe->key);

  if (entry == NULL)
    return;
  claim_holder_t *holder = keys_holder_of (entry, probe->erase_host, probe->erase_incarnation);
  if (holder == NULL)
    return;
  if (holder->attempt > probe->erase_attempt && replica->rules.attempt_in_release)
    return;
  keys_remove_holder (replica->keys, entry, holder);
}

static void
on_probe (claim_replica_t *replica,
          member_t *from,
          const claim_probe_t *probe,
          claim_time_t now,
          GPtrArray *actions)
{
  claim_msg_t *msg = reply_new (replica, from, probe->op);
  claim_reply_t *reply = &msg->u.reply;

  if (probe->erase_host != NULL)
    erase (replica, probe);
  if (reply_seat (replica, probe->view, probe->key, reply))
    {
      keys_entry_t *entry = keys_find (replica->keys, probe->key);
      if (entry != NULL)
        reply->result = name_holders (entry, reply);
      else
        reply->result = check_free (replica, probe->key, probe->issued_at_ms, now);
    }
  claim_send (actions, from->id, msg);
}

static void
forget_losses (claim_replica_t *replica, int64_t wall_ms)
{
  for (guint i = replica->losses->len; i > 0; i--)
    {
      claim_loss_t *loss = &g_array_index (replica->losses, claim_loss_t, i - 1);
      if (loss->late_after_ms + replica->limits.window_ms + replica->limits.skew_ms >= wall_ms)
        continue;
      view_unref (loss->from);
      g_array_remove_index (replica->losses, i - 1);
    }
}

/* A key is kept until no coordinator can start it any more, on any clock. */
static void
forget (claim_replica_t *replica, int64_t wall_ms)
{
  const claim_limits_t *limits = &replica->limits;
  int64_t before_ms = wall_ms - limits->window_ms - limits->start_within_ms - 2 * limits->skew_ms;
  int32_t part = (int32_t) (keys_count (replica->keys) / SWEEP_PART);
  int64_t newest_ms = keys_sweep (replica->keys, before_ms, MAX (part, SWEEP_MIN));

  replica->horizon_ms = MAX (replica->horizon_ms, newest_ms);
  forget_losses (replica, wall_ms);
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
    case CLAIM_MSG_SEAT_OFFER:
    case CLAIM_MSG_SEAT_READY:
    case CLAIM_MSG_SEAT_GIVEN:
      replica_on_seat (replica, from, msg, now, actions);
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
      replica_progress (replica, now);
      replica_pull (replica, now, actions);
      break;
    case REPLICA_CONTACT:
      replica->contact_until_ms = event->contact_until_ms;
      break;
    case REPLICA_TICK:
      forget (replica, now.wall_ms);
      replica_progress (replica, now);
      replica_pull (replica, now, actions);
      replica_seat_tick (replica, now, actions);
      break;
    case REPLICA_PASS_SEAT:
      replica_seat_pass (replica, event->successor);
      replica_seat_tick (replica, now, actions);
      break;
    }
}

void
claim_replica_status (const claim_replica_t *replica, replica_status_t *status)
{
  *status = (replica_status_t){ .keys = keys_count (replica->keys),
                                .contested = keys_contested (replica->keys),
                                .losses = replica->losses->len,
                                .seat_given = replica->seat_given };
  if (replica->view == NULL)
    return;
  const transition_t *last = replica_transition (replica, replica->view->number);
  status->settled = last->closed;
  status->handovers_due = last->closed ? 0 : transition_missing (last);
}

bool
claim_replica_handed_over (const claim_replica_t *replica)
{
  if (replica->view == NULL)
    return true;
  const transition_t *last = replica_transition (replica, replica->view->number);
  if (last->from == NULL || view_seat_of_member (last->from, replica->self) < 0)
    return true;
  return __builtin_popcountll (last->pulled) >= last->to->count;
}
