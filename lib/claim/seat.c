/* seat.c -- passing a seat on while the log is down
 *
 * The leaving replica first stops granting, then offers its seat to one host.
 * That host pulls all keys of the seat and says that it is ready; only then
 * does the leaving replica give the seat, once and to this host alone.  If the
 * last message is lost for good, nobody has the seat, which costs no more than
 * a dead host.
 */
#include "claim/replica_state.h"

#include <string.h>

/* An offer, or a message about a taken seat, is sent again after this time. */
#define SEAT_AGAIN_MS 200

static void
taking_clear (taking_t *taking)
{
  member_unref (taking->giver);
  g_free (taking->seat);
  *taking = (taking_t){ 0 };
}

void
replica_seat_clear (claim_replica_t *replica)
{
  g_free (replica->successor);
  replica->successor = NULL;
  replica->seat_given = false;
  replica->next_offer_ms = 0;
  taking_clear (&replica->taking);
}

static int32_t
own_seat (const claim_replica_t *replica)
{
  return replica->view != NULL ? view_seat_of_member (replica->view, replica->self) : -1;
}

void
replica_seat_pass (claim_replica_t *replica, const char *successor)
{
  if (replica->seat_given || own_seat (replica) < 0
      || !replica_can_vouch (replica, replica->view->number))
    return;
  if (replica->successor != NULL && strcmp (replica->successor, successor) == 0)
    return;
  g_free (replica->successor);
  replica->successor = g_strdup (successor);
  replica->next_offer_ms = 0;
}

bool
replica_seat_offered (const claim_replica_t *replica,
                      const member_t *from,
                      const claim_pull_t *pull)
{
  int32_t seat = own_seat (replica);

  return seat >= 0 && replica->successor != NULL && !replica->seat_given
         && strcmp (replica->successor, from->id) == 0 && pull->to_view == replica->view->number
         && strcmp (replica->view->seats[seat].name, pull->seat) == 0;
}

static void
send_seat (claim_msg_type_t type,
           const char *to,
           const char *seat,
           int64_t view,
           uint32_t epoch,
           GPtrArray *actions)
{
  claim_msg_t *msg = claim_msg_new (type);

  msg->u.seat.view = view;
  msg->u.seat.seat = g_strdup (seat);
  msg->u.seat.epoch = epoch;
  claim_send (actions, to, msg);
}

static void
offer (claim_replica_t *replica, claim_time_t now, GPtrArray *actions)
{
  int32_t seat = own_seat (replica);

  if (seat < 0 || replica->successor == NULL || now.boot_ms < replica->next_offer_ms)
    return;
  replica->next_offer_ms = now.boot_ms + SEAT_AGAIN_MS;
  send_seat (CLAIM_MSG_SEAT_OFFER, replica->successor, replica->view->seats[seat].name,
             replica->view->number, replica->view->seats[seat].epoch, actions);
}

static void
pull_seat (claim_replica_t *replica, claim_time_t now, GPtrArray *actions)
{
  taking_t *taking = &replica->taking;

  taking->next_ms = now.boot_ms + SEAT_AGAIN_MS;
  if (taking->complete)
    {
      send_seat (CLAIM_MSG_SEAT_READY, taking->giver->id, taking->seat, replica->view->number, 0,
                 actions);
      return;
    }
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_PULL);
  msg->u.pull.to_view = replica->view->number;
  msg->u.pull.seat = g_strdup (taking->seat);
  msg->u.pull.cursor = taking->cursor;
  claim_send (actions, taking->giver->id, msg);
}

void
replica_seat_tick (claim_replica_t *replica, claim_time_t now, GPtrArray *actions)
{
  offer (replica, now, actions);
  if (replica->taking.giver != NULL && now.boot_ms >= replica->taking.next_ms)
    pull_seat (replica, now, actions);
}

void
replica_seat_batch (claim_replica_t *replica,
                    member_t *from,
                    const claim_batch_t *batch,
                    claim_time_t now,
                    GPtrArray *actions)
{
  taking_t *taking = &replica->taking;

  if (taking->giver == NULL || taking->complete || !member_equal (taking->giver, from)
      || batch->to_view != replica->view->number || strcmp (taking->seat, batch->seat) != 0
      || batch->cursor != taking->cursor)
    return;
  replica_merge (replica, batch);
  taking->cursor = batch->next_cursor;
  taking->complete = batch->done;
  pull_seat (replica, now, actions);
}

static void
on_offer (claim_replica_t *replica,
          member_t *from,
          const claim_seat_t *offered,
          claim_time_t now,
          GPtrArray *actions)
{
  if (replica->view == NULL || replica->view->number != offered->view || own_seat (replica) >= 0
      || replica->taking.giver != NULL)
    return;
  int32_t seat = view_seat_named (replica->view, offered->seat);
  if (seat < 0 || !member_equal (replica->view->seats[seat].occupant, from))
    return;
  replica->taking = (taking_t){ .giver = member_ref (from), .seat = g_strdup (offered->seat) };
  pull_seat (replica, now, actions);
}

static void
move_seat (claim_replica_t *replica,
           int32_t seat,
           member_t *occupant,
           uint32_t epoch,
           GPtrArray *actions)
{
  view_t *moved = view_with_occupant (replica->view, seat, occupant, epoch);
  claim_action_t *action = g_new0 (claim_action_t, 1);

  replica_refresh (replica, moved);
  action->kind = CLAIM_ACTION_SEAT_MOVED;
  action->view = moved;
  g_ptr_array_add (actions, action);
}

static void
on_ready (claim_replica_t *replica, member_t *from, const claim_seat_t *ready, GPtrArray *actions)
{
  if (replica->view == NULL || replica->view->number != ready->view || replica->successor == NULL
      || strcmp (replica->successor, from->id) != 0)
    return;
  int32_t seat = view_seat_named (replica->view, ready->seat);
  if (seat < 0)
    return;
  if (!replica->seat_given && seat == own_seat (replica))
    {
      replica->seat_given = true;
      move_seat (replica, seat, from, replica->view->seats[seat].epoch + 1, actions);
    }
  if (replica->seat_given && member_equal (replica->view->seats[seat].occupant, from))
    send_seat (CLAIM_MSG_SEAT_GIVEN, from->id, ready->seat, ready->view,
               replica->view->seats[seat].epoch, actions);
}

static void
on_given (claim_replica_t *replica, member_t *from, const claim_seat_t *given, GPtrArray *actions)
{
  taking_t *taking = &replica->taking;

  if (taking->giver == NULL || !taking->complete || !member_equal (taking->giver, from)
      || replica->view->number != given->view || strcmp (taking->seat, given->seat) != 0)
    return;
  transition_t *transition = replica_transition (replica, given->view);
  int32_t seat = view_seat_named (replica->view, given->seat);
  transition_take_over (transition);
  taking_clear (taking);
  move_seat (replica, seat, replica->self, given->epoch, actions);
}

void
replica_on_seat (claim_replica_t *replica,
                 member_t *from,
                 const claim_msg_t *msg,
                 claim_time_t now,
                 GPtrArray *actions)
{
  switch (msg->type)
    {
    case CLAIM_MSG_SEAT_OFFER:
      on_offer (replica, from, &msg->u.seat, now, actions);
      break;
    case CLAIM_MSG_SEAT_READY:
      on_ready (replica, from, &msg->u.seat, actions);
      break;
    default:
      on_given (replica, from, &msg->u.seat, actions);
      break;
    }
}
