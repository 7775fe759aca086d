/* handover.c -- pulling the keys of an old view, and serving such pulls
 *
 * The puller drives: it asks again until it has what it needs, so the old
 * replica keeps no state for it.  A batch answers one cursor; a second copy of
 * it finds that the cursor has moved on.
 */
#include "claim/replica_state.h"

#include <string.h>

/* A pull that is not answered is sent again after this time. */
#define PULL_AGAIN_MS 200
/* Lost replicas are asked again so often, in case they come back. */
#define PULL_LOST_MS 1000
/* Bounds the work for one batch. */
#define BATCH_SCAN_KEYS 8192

/* No room: LOSS now covers all keys, as in a view without seats. */
static void
widen_loss (claim_loss_t *loss, int64_t late_after_ms)
{
  g_autoptr (GPtrArray) nobody = g_ptr_array_new ();
  view_t *empty = view_new (loss->from->data_centre, 0, 0, nobody);

  view_unref (loss->from);
  loss->from = empty;
  loss->handed = 0;
  loss->late_after_ms = MAX (loss->late_after_ms, late_after_ms);
}

static void
add_loss (claim_replica_t *replica, const claim_loss_t *loss)
{
  for (guint i = 0; i < replica->losses->len; i++)
    {
      claim_loss_t *known = &g_array_index (replica->losses, claim_loss_t, i);
      if (known->from->number != loss->from->number || known->handed != loss->handed)
        continue;
      known->late_after_ms = MAX (known->late_after_ms, loss->late_after_ms);
      return;
    }
  if (replica->losses->len >= CLAIM_LOSSES_MAX)
    {
      claim_loss_t *last = &g_array_index (replica->losses, claim_loss_t, replica->losses->len - 1);
      widen_loss (last, loss->late_after_ms);
      return;
    }
  claim_loss_t copy = *loss;
  copy.from = view_ref (loss->from);
  g_array_append_val (replica->losses, copy);
}

static void
add_own_keys (claim_replica_t *replica, transition_t *transition, claim_time_t now)
{
  int32_t seat = view_seat_of_member (transition->from, replica->self);

  if (seat < 0 || (transition->handed >> seat & 1) != 0
      || !replica_can_vouch (replica, transition->from->number))
    return;
  transition->handed |= UINT64_C (1) << seat;
  transition->sealed_at_ms = MAX (transition->sealed_at_ms, now.wall_ms);
}

/* The old view is not known: any key up to now can have been granted in it. */
static void
close_unknown (claim_replica_t *replica, transition_t *transition, claim_time_t now)
{
  const claim_limits_t *limits = &replica->limits;

  if (!transition_close_unknown (transition, limits, now.boot_ms))
    return;
  claim_loss_t loss = { transition->to, 0,
                        now.wall_ms + limits->isolation_ms + 2 * limits->skew_ms };
  add_loss (replica, &loss);
}

void
replica_progress (claim_replica_t *replica, claim_time_t now)
{
  for (guint i = 0; i < replica->transitions->len; i++)
    {
      transition_t *transition = g_ptr_array_index (replica->transitions, i);
      close_unknown (replica, transition, now);
      if (transition->closed || transition->from == NULL)
        continue;
      add_own_keys (replica, transition, now);
      if (!transition_close (transition, &replica->limits, now.boot_ms)
          || !transition_has_loss (transition))
        continue;
      claim_loss_t loss = { transition->from, transition->handed,
                            transition_late_after_ms (transition, &replica->limits) };
      add_loss (replica, &loss);
    }
}

static void
send_pull (const char *to, int64_t to_view, const char *seat, uint64_t cursor, GPtrArray *actions)
{
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_PULL);

  msg->u.pull.to_view = to_view;
  msg->u.pull.seat = g_strdup (seat);
  msg->u.pull.cursor = cursor;
  claim_send (actions, to, msg);
}

static void
pull_missing (claim_replica_t *replica, transition_t *transition, GPtrArray *actions)
{
  const view_t *from = transition->from;

  for (int32_t i = 0; i < from->count; i++)
    if ((transition->handed >> i & 1) == 0
        && !member_equal (from->seats[i].occupant, replica->self))
      send_pull (from->seats[i].occupant->id, transition->to->number, NULL, transition->cursors[i],
                 actions);
}

/* A closed transition goes on wanting the keys of its lost replicas, which may
 * have been frozen or cut off only. */
static bool
is_wanting (const transition_t *transition)
{
  return transition->from != NULL && (!transition->closed || transition_has_loss (transition));
}

/* SEAT of view FROM has handed over after all. */
static void
shrink_losses (claim_replica_t *replica, const view_t *from, int32_t seat)
{
  for (guint i = 0; i < replica->losses->len; i++)
    {
      claim_loss_t *loss = &g_array_index (replica->losses, claim_loss_t, i);
      if (loss->from->number == from->number)
        loss->handed |= UINT64_C (1) << seat;
    }
}

void
replica_pull (claim_replica_t *replica, claim_time_t now, GPtrArray *actions)
{
  for (guint i = 0; i < replica->transitions->len; i++)
    {
      transition_t *transition = g_ptr_array_index (replica->transitions, i);
      if (!is_wanting (transition) || now.boot_ms < transition->next_pull_ms
          || view_seat_of_member (transition->to, replica->self) < 0)
        continue;
      transition->next_pull_ms = now.boot_ms + (transition->closed ? PULL_LOST_MS : PULL_AGAIN_MS);
      pull_missing (replica, transition, actions);
    }
}

static bool
remembers (const view_t *view, const char *key, int32_t seat)
{
  int32_t seats[VIEW_REPLICAS_PER_KEY];
  int32_t count = view_replicas (view, key, seats);

  for (int32_t i = 0; i < count; i++)
    if (seats[i] == seat)
      return true;
  return false;
}

static void
batch_add_key (claim_batch_t *batch, keys_entry_t *entry)
{
  claim_key_t *key = g_new0 (claim_key_t, 1);

  key->key = g_strdup (entry->key);
  key->issued_at_ms = entry->issued_at_ms;
  key->holder_count = keys_holder_count (entry);
  for (int32_t i = 0; i < key->holder_count; i++)
    {
      key->holders[i] = *keys_holder (entry, i);
      member_ref (key->holders[i].member);
    }
  g_ptr_array_add (batch->keys, key);
}

/* Which keys a batch takes: those of FROM_SEAT in FROM and, unless TO is NULL,
 * of TO_SEAT in TO. */
typedef struct
{
  const view_t *from;
  int32_t from_seat;
  const view_t *to;
  int32_t to_seat;
} selection_t;

static void
batch_fill (claim_replica_t *replica, claim_batch_t *batch, const selection_t *selection)
{
  keys_entry_t *entry = keys_from (replica->keys, batch->cursor);

  batch->next_cursor = batch->cursor;
  for (int32_t scanned = 0; entry != NULL; scanned++)
    {
      if (scanned == BATCH_SCAN_KEYS || batch->keys->len == CLAIM_BATCH_KEYS)
        return;
      if (remembers (selection->from, entry->key, selection->from_seat)
          && (selection->to == NULL || remembers (selection->to, entry->key, selection->to_seat)))
        batch_add_key (batch, entry);
      batch->next_cursor = entry->sequence + 1;
      entry = keys_from (replica->keys, batch->next_cursor);
    }
  batch->done = true;
}

static void
serve (claim_replica_t *replica,
       const member_t *to,
       const claim_pull_t *pull,
       const selection_t *selection,
       claim_time_t now,
       GPtrArray *actions)
{
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_BATCH);
  claim_batch_t *batch = &msg->u.batch;

  batch->to_view = pull->to_view;
  batch->seat = g_strdup (pull->seat);
  batch->from_seat = g_strdup (selection->from->seats[selection->from_seat].name);
  batch->cursor = pull->cursor;
  batch->sealed_at_ms = now.wall_ms;
  batch->horizon_ms = replica->horizon_ms;
  for (guint i = 0; i < replica->losses->len; i++)
    {
      claim_loss_t loss = g_array_index (replica->losses, claim_loss_t, i);
      view_ref (loss.from);
      g_array_append_val (batch->losses, loss);
    }
  batch_fill (replica, batch, selection);
  claim_send (actions, to->id, msg);
}

/* Without the rule that an old replica seals first, it would hand over what it
 * has while it still grants. */
static bool
select_unsealed (const claim_replica_t *replica, const claim_pull_t *pull, selection_t *selection)
{
  if (replica->rules.seal_first || replica->view == NULL
      || replica->view->number + 1 != pull->to_view)
    return false;
  *selection = (selection_t){ .from = replica->view,
                              .from_seat = view_seat_of_member (replica->view, replica->self) };
  return selection->from_seat >= 0;
}

static bool
select_sealed (transition_t *transition,
               const claim_replica_t *replica,
               const member_t *puller,
               selection_t *selection)
{
  if (transition == NULL || transition->from == NULL)
    return false;
  *selection = (selection_t){ .from = transition->from,
                              .from_seat = view_seat_of_member (transition->from, replica->self),
                              .to = transition->to,
                              .to_seat = view_seat_of_member (transition->to, puller) };
  return selection->from_seat >= 0 && selection->to_seat >= 0;
}

static void
on_seat_pull (claim_replica_t *replica,
              const member_t *from,
              const claim_pull_t *pull,
              claim_time_t now,
              GPtrArray *actions)
{
  if (!replica_seat_offered (replica, from, pull))
    return;
  selection_t selection = { .from = replica->view,
                            .from_seat = view_seat_of_member (replica->view, replica->self) };
  serve (replica, from, pull, &selection, now, actions);
}

void
replica_on_pull (claim_replica_t *replica,
                 member_t *from,
                 const claim_pull_t *pull,
                 claim_time_t now,
                 GPtrArray *actions)
{
  if (pull->seat != NULL)
    {
      on_seat_pull (replica, from, pull, now, actions);
      return;
    }
  transition_t *transition = replica_transition (replica, pull->to_view);
  selection_t selection;
  if (!select_sealed (transition, replica, from, &selection)
      && !select_unsealed (replica, pull, &selection))
    return;
  if (!replica_can_vouch (replica, selection.from->number))
    return;
  guint before = actions->len;
  serve (replica, from, pull, &selection, now, actions);
  const claim_action_t *sent = g_ptr_array_index (actions, before);
  if (transition != NULL && selection.to != NULL && sent->msg->u.batch.done)
    transition->pulled |= UINT64_C (1) << selection.to_seat;
}

static void
merge_key (claim_replica_t *replica, const claim_key_t *key)
{
  keys_entry_t *entry = keys_find (replica->keys, key->key);
  int32_t first = 0;

  if (entry == NULL)
    {
      entry = keys_add (replica->keys, key->key, key->issued_at_ms, &key->holders[0]);
      first = 1;
    }
  entry->issued_at_ms = MAX (entry->issued_at_ms, key->issued_at_ms);
  for (int32_t i = first; i < key->holder_count; i++)
    {
      const claim_holder_t *holder = &key->holders[i];
      if (replica->rules.contested
          || keys_holder_of (entry, holder->member->id, holder->member->incarnation) != NULL)
        keys_add_holder (replica->keys, entry, holder);
    }
}

void
replica_merge (claim_replica_t *replica, const claim_batch_t *batch)
{
  for (guint i = 0; i < batch->keys->len; i++)
    merge_key (replica, g_ptr_array_index (batch->keys, i));
  for (guint i = 0; i < batch->losses->len; i++)
    add_loss (replica, &g_array_index (batch->losses, claim_loss_t, i));
  replica->horizon_ms = MAX (replica->horizon_ms, batch->horizon_ms);
}

void
replica_on_batch (claim_replica_t *replica,
                  member_t *from,
                  const claim_batch_t *batch,
                  claim_time_t now,
                  GPtrArray *actions)
{
  if (batch->seat != NULL)
    {
      replica_seat_batch (replica, from, batch, now, actions);
      return;
    }
  transition_t *transition = replica_transition (replica, batch->to_view);
  if (transition == NULL || !is_wanting (transition))
    return;
  int32_t seat = view_seat_named (transition->from, batch->from_seat);
  if (seat < 0 || !member_equal (transition->from->seats[seat].occupant, from)
      || (transition->handed >> seat & 1) != 0 || transition->cursors[seat] != batch->cursor)
    return;
  replica_merge (replica, batch);
  transition->cursors[seat] = batch->next_cursor;
  if (batch->done)
    {
      transition->handed |= UINT64_C (1) << seat;
      transition->sealed_at_ms = MAX (transition->sealed_at_ms, batch->sealed_at_ms);
      shrink_losses (replica, transition->from, seat);
      replica_progress (replica, now);
      return;
    }
  send_pull (from->id, batch->to_view, NULL, batch->next_cursor, actions);
}
