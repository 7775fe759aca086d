/* slot_transfer.c -- transfer of a slot to another host while the log is down
 *
 * The leaving replica first stops granting, then offers its slot to one host.
 * That host pulls all keys of the slot and reports that it is ready.  Only then
 * does the leaving replica transfer the slot, once and to this host alone.  If
 * the last message never arrives, no host uses the slot, which is no worse than
 * the failure of one replica.
 */
#include "claim/replica_state.h"

#include <string.h>

/* An offer, a pull or a ready message that is not answered is repeated after this
 * time. */
#define SLOT_RETRY_MS 200

static void
takeover_clear (slot_takeover_t *takeover)
{
  member_unref (takeover->source);
  g_free (takeover->slot);
  *takeover = (slot_takeover_t){ 0 };
}

void
replica_slot_clear (claim_replica_t *replica)
{
  g_free (replica->successor);
  replica->successor = NULL;
  replica->slot_transferred = false;
  replica->next_offer_ms = 0;
  takeover_clear (&replica->takeover);
}

static int32_t
own_slot (const claim_replica_t *replica)
{
  return replica->view != NULL ? view_slot_of_member (replica->view, replica->self) : -1;
}

void
replica_slot_start_transfer (claim_replica_t *replica, const char *successor)
{
  if (replica->slot_transferred || own_slot (replica) < 0
      || !replica_is_complete (replica, replica->view->number))
    return;
  if (replica->successor != NULL && strcmp (replica->successor, successor) == 0)
    return;
  g_free (replica->successor);
  replica->successor = g_strdup (successor);
  replica->next_offer_ms = 0;
}

bool
replica_slot_may_pull (const claim_replica_t *replica,
                       const member_t *from,
                       const claim_pull_t *pull)
{
  int32_t slot = own_slot (replica);

  return slot >= 0 && replica->successor != NULL && !replica->slot_transferred
         && strcmp (replica->successor, from->id) == 0
         && pull->to_view_number == replica->view->number
         && strcmp (replica->view->slots[slot].name, pull->transferred_slot) == 0;
}

static void
send_slot_message (claim_msg_type_t type,
                   const char *to,
                   const char *slot,
                   int64_t view,
                   uint32_t epoch,
                   GPtrArray *actions)
{
  claim_msg_t *msg = claim_msg_new (type);

  msg->u.slot.view_number = view;
  msg->u.slot.slot = g_strdup (slot);
  msg->u.slot.epoch = epoch;
  claim_send (actions, to, msg);
}

static void
send_offer (claim_replica_t *replica, claim_time_t now, GPtrArray *actions)
{
  int32_t slot = own_slot (replica);

  if (slot < 0 || replica->successor == NULL || now.boot_ms < replica->next_offer_ms)
    return;
  replica->next_offer_ms = now.boot_ms + SLOT_RETRY_MS;
  send_slot_message (CLAIM_MSG_SLOT_OFFER, replica->successor, replica->view->slots[slot].name,
                     replica->view->number, replica->view->slots[slot].epoch, actions);
}

static void
send_pull_or_ready (claim_replica_t *replica, claim_time_t now, GPtrArray *actions)
{
  slot_takeover_t *takeover = &replica->takeover;

  takeover->retry_at_ms = now.boot_ms + SLOT_RETRY_MS;
  if (takeover->complete)
    {
      send_slot_message (CLAIM_MSG_SLOT_READY, takeover->source->id, takeover->slot,
                         replica->view->number, 0, actions);
      return;
    }
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_PULL);
  msg->u.pull.to_view_number = replica->view->number;
  msg->u.pull.transferred_slot = g_strdup (takeover->slot);
  msg->u.pull.cursor = takeover->cursor;
  claim_send (actions, takeover->source->id, msg);
}

void
replica_slot_tick (claim_replica_t *replica, claim_time_t now, GPtrArray *actions)
{
  send_offer (replica, now, actions);
  if (replica->takeover.source != NULL && now.boot_ms >= replica->takeover.retry_at_ms)
    send_pull_or_ready (replica, now, actions);
}

void
replica_slot_batch (claim_replica_t *replica,
                    member_t *from,
                    const claim_batch_t *batch,
                    claim_time_t now,
                    GPtrArray *actions)
{
  slot_takeover_t *takeover = &replica->takeover;

  if (takeover->source == NULL || takeover->complete || !member_equal (takeover->source, from)
      || batch->to_view_number != replica->view->number
      || strcmp (takeover->slot, batch->transferred_slot) != 0 || batch->cursor != takeover->cursor)
    return;
  replica_merge_batch (replica, batch);
  takeover->cursor = batch->next_cursor;
  takeover->complete = batch->done;
  send_pull_or_ready (replica, now, actions);
}

static void
on_offer (claim_replica_t *replica,
          member_t *from,
          const claim_slot_transfer_t *offered,
          claim_time_t now,
          GPtrArray *actions)
{
  if (replica->view == NULL || replica->view->number != offered->view_number
      || own_slot (replica) >= 0 || replica->takeover.source != NULL)
    return;
  int32_t slot = view_slot_named (replica->view, offered->slot);
  if (slot < 0 || !member_equal (replica->view->slots[slot].occupant, from))
    return;
  replica->takeover =
      (slot_takeover_t){ .source = member_ref (from), .slot = g_strdup (offered->slot) };
  send_pull_or_ready (replica, now, actions);
}

static void
set_occupant (claim_replica_t *replica,
              int32_t slot,
              member_t *occupant,
              uint32_t epoch,
              GPtrArray *actions)
{
  view_t *moved = view_with_occupant (replica->view, slot, occupant, epoch);
  claim_action_t *action = g_new0 (claim_action_t, 1);

  replica_merge_view (replica, moved);
  action->kind = CLAIM_ACTION_SLOT_MOVED;
  action->view = moved;
  g_ptr_array_add (actions, action);
}

static void
on_ready (claim_replica_t *replica,
          member_t *from,
          const claim_slot_transfer_t *ready,
          GPtrArray *actions)
{
  if (replica->view == NULL || replica->view->number != ready->view_number
      || replica->successor == NULL || strcmp (replica->successor, from->id) != 0)
    return;
  int32_t slot = view_slot_named (replica->view, ready->slot);
  if (slot < 0)
    return;
  if (!replica->slot_transferred && slot == own_slot (replica))
    {
      replica->slot_transferred = true;
      set_occupant (replica, slot, from, replica->view->slots[slot].epoch + 1, actions);
    }
  if (replica->slot_transferred && member_equal (replica->view->slots[slot].occupant, from))
    send_slot_message (CLAIM_MSG_SLOT_TRANSFERRED, from->id, ready->slot, ready->view_number,
                       replica->view->slots[slot].epoch, actions);
}

static void
on_transferred (claim_replica_t *replica,
                member_t *from,
                const claim_slot_transfer_t *transferred,
                GPtrArray *actions)
{
  slot_takeover_t *takeover = &replica->takeover;

  if (takeover->source == NULL || !takeover->complete || !member_equal (takeover->source, from)
      || replica->view->number != transferred->view_number
      || strcmp (takeover->slot, transferred->slot) != 0)
    return;
  transition_t *transition = replica_transition (replica, transferred->view_number);
  int32_t slot = view_slot_named (replica->view, transferred->slot);
  transition_mark_complete (transition);
  takeover_clear (takeover);
  set_occupant (replica, slot, replica->self, transferred->epoch, actions);
}

void
replica_on_slot_message (claim_replica_t *replica,
                         member_t *from,
                         const claim_msg_t *msg,
                         claim_time_t now,
                         GPtrArray *actions)
{
  switch (msg->type)
    {
    case CLAIM_MSG_SLOT_OFFER:
      on_offer (replica, from, &msg->u.slot, now, actions);
      break;
    case CLAIM_MSG_SLOT_READY:
      on_ready (replica, from, &msg->u.slot, actions);
      break;
    default:
      on_transferred (replica, from, &msg->u.slot, actions);
      break;
    }
}
