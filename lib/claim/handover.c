/* handover.c -- pulls the keys of an old view and serves such pulls
 *
 * The new replica repeats its pulls until it has received all keys, so the old
 * replica keeps no state per pull.  A batch is accepted only if its cursor is the
 * one that the new replica waits for; duplicates are thereby ignored.
 */
#include "claim/replica_state.h"

#include <string.h>

/* An unanswered pull is repeated after this time. */
#define PULL_RETRY_MS 200
/* Interval between pulls from lost replicas, which may become reachable again. */
#define LOST_PULL_INTERVAL_MS 1000
/* Maximum number of keys examined for one batch, to bound the time of one step. */
#define BATCH_SCAN_KEYS_MAX 8192

/* Makes LOSS cover every key issued until MAX_ISSUED_AT_MS, because there is no
 * room for another loss.  In a view without slots no key has a majority of
 * replicas, so every key is covered. */
static void
make_loss_cover_all (claim_loss_t *loss, int64_t max_issued_at_ms)
{
  g_autoptr (GPtrArray) nobody = g_ptr_array_new ();
  view_t *empty = view_new (loss->from->data_centre, 0, 0, nobody);

  view_unref (loss->from);
  loss->from = empty;
  loss->handed_over = 0;
  loss->max_issued_at_ms = MAX (loss->max_issued_at_ms, max_issued_at_ms);
}

static void
add_loss (claim_replica_t *replica, const claim_loss_t *loss)
{
  for (guint i = 0; i < replica->losses->len; i++)
    {
      claim_loss_t *known = &g_array_index (replica->losses, claim_loss_t, i);
      if (known->from->number != loss->from->number || known->handed_over != loss->handed_over)
        continue;
      known->max_issued_at_ms = MAX (known->max_issued_at_ms, loss->max_issued_at_ms);
      return;
    }
  if (replica->losses->len >= CLAIM_LOSSES_MAX)
    {
      claim_loss_t *last = &g_array_index (replica->losses, claim_loss_t, replica->losses->len - 1);
      make_loss_cover_all (last, loss->max_issued_at_ms);
      return;
    }
  claim_loss_t copy = *loss;
  copy.from = view_ref (loss->from);
  g_array_append_val (replica->losses, copy);
}

static void
mark_own_slot_handed_over (claim_replica_t *replica, transition_t *transition, claim_time_t now)
{
  int32_t slot = view_slot_of_member (transition->from, replica->self);

  if (slot < 0 || (transition->handed_over >> slot & 1) != 0
      || !replica_is_complete (replica, transition->from->number))
    return;
  transition->handed_over |= UINT64_C (1) << slot;
  transition->sealed_at_ms = MAX (transition->sealed_at_ms, now.wall_ms);
}

/* Closes a transition whose old view stayed unknown.  Any key issued until now may
 * have been granted in that view.  The loss therefore names the new view with no
 * slot handed over, so that it covers every key. */
static void
close_unknown_view (claim_replica_t *replica, transition_t *transition, claim_time_t now)
{
  const claim_limits_t *limits = &replica->limits;

  if (!transition_close_unknown (transition, limits, now.boot_ms))
    return;
  claim_loss_t loss = { transition->to, 0,
                        now.wall_ms + limits->isolation_timeout_ms + 2 * limits->clock_skew_ms };
  add_loss (replica, &loss);
}

void
replica_update_transitions (claim_replica_t *replica, claim_time_t now)
{
  for (guint i = 0; i < replica->transitions->len; i++)
    {
      transition_t *transition = g_ptr_array_index (replica->transitions, i);
      close_unknown_view (replica, transition, now);
      if (transition->closed || transition->from == NULL)
        continue;
      mark_own_slot_handed_over (replica, transition, now);
      if (!transition_close (transition, &replica->limits, now.boot_ms)
          || !transition_has_loss (transition))
        continue;
      claim_loss_t loss = { transition->from, transition->handed_over,
                            transition_max_issued_at_ms (transition, &replica->limits) };
      add_loss (replica, &loss);
    }
}

static void
send_pull (const char *to,
           int64_t to_view_number,
           const char *slot,
           uint64_t cursor,
           GPtrArray *actions)
{
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_PULL);

  msg->u.pull.to_view_number = to_view_number;
  msg->u.pull.transferred_slot = g_strdup (slot);
  msg->u.pull.cursor = cursor;
  claim_send (actions, to, msg);
}

static void
pull_missing (claim_replica_t *replica, transition_t *transition, GPtrArray *actions)
{
  const view_t *from = transition->from;

  for (int32_t i = 0; i < from->count; i++)
    if ((transition->handed_over >> i & 1) == 0
        && !member_equal (from->slots[i].occupant, replica->self))
      send_pull (from->slots[i].occupant->id, transition->to->number, NULL,
                 transition->pull_cursors[i], actions);
}

/* A closed transition still pulls from its lost replicas, because they may only
 * have been frozen or cut off. */
static bool
needs_pulls (const transition_t *transition)
{
  return transition->from != NULL && (!transition->closed || transition_has_loss (transition));
}

/* Records in the losses that SLOT of view FROM has handed over late. */
static void
add_slot_to_losses (claim_replica_t *replica, const view_t *from, int32_t slot)
{
  for (guint i = 0; i < replica->losses->len; i++)
    {
      claim_loss_t *loss = &g_array_index (replica->losses, claim_loss_t, i);
      if (loss->from->number == from->number)
        loss->handed_over |= UINT64_C (1) << slot;
    }
}

void
replica_send_pulls (claim_replica_t *replica, claim_time_t now, GPtrArray *actions)
{
  for (guint i = 0; i < replica->transitions->len; i++)
    {
      transition_t *transition = g_ptr_array_index (replica->transitions, i);
      if (!needs_pulls (transition) || now.boot_ms < transition->next_pull_ms
          || view_slot_of_member (transition->to, replica->self) < 0)
        continue;
      transition->next_pull_ms =
          now.boot_ms + (transition->closed ? LOST_PULL_INTERVAL_MS : PULL_RETRY_MS);
      pull_missing (replica, transition, actions);
    }
}

static bool
slot_stores_key (const view_t *view, const char *key, int32_t slot)
{
  int32_t slots[VIEW_REPLICAS_PER_KEY];
  int32_t count = view_replicas (view, key, slots);

  for (int32_t i = 0; i < count; i++)
    if (slots[i] == slot)
      return true;
  return false;
}

static void
batch_add_key (claim_batch_t *batch, key_entry_t *entry)
{
  claim_key_t *key = g_new0 (claim_key_t, 1);

  key->key = g_strdup (entry->key);
  key->issued_at_ms = entry->issued_at_ms;
  key->holder_count = key_entry_holder_count (entry);
  for (int32_t i = 0; i < key->holder_count; i++)
    {
      key->holders[i] = *key_entry_holder (entry, i);
      member_ref (key->holders[i].member);
    }
  g_ptr_array_add (batch->keys, key);
}

/* Selects the keys of a batch: those stored by FROM_SLOT of FROM and, unless TO is
 * NULL, also by TO_SLOT of TO. */
typedef struct
{
  const view_t *from;
  int32_t from_slot;
  const view_t *to;
  int32_t to_slot;
} selection_t;

static void
batch_fill (claim_replica_t *replica, claim_batch_t *batch, const selection_t *selection)
{
  key_entry_t *entry = key_table_first_from (replica->keys, batch->cursor);

  batch->next_cursor = batch->cursor;
  for (int32_t scanned = 0; entry != NULL; scanned++)
    {
      if (scanned == BATCH_SCAN_KEYS_MAX || batch->keys->len == CLAIM_BATCH_KEYS)
        return;
      if (slot_stores_key (selection->from, entry->key, selection->from_slot)
          && (selection->to == NULL
              || slot_stores_key (selection->to, entry->key, selection->to_slot)))
        batch_add_key (batch, entry);
      batch->next_cursor = entry->sequence + 1;
      entry = key_table_first_from (replica->keys, batch->next_cursor);
    }
  batch->done = true;
}

static void
send_batch (claim_replica_t *replica,
            const member_t *to,
            const claim_pull_t *pull,
            const selection_t *selection,
            claim_time_t now,
            GPtrArray *actions)
{
  claim_msg_t *msg = claim_msg_new (CLAIM_MSG_BATCH);
  claim_batch_t *batch = &msg->u.batch;

  batch->to_view_number = pull->to_view_number;
  batch->transferred_slot = g_strdup (pull->transferred_slot);
  batch->from_slot = g_strdup (selection->from->slots[selection->from_slot].name);
  batch->cursor = pull->cursor;
  batch->sealed_at_ms = now.wall_ms;
  batch->expired_until_ms = replica->expired_until_ms;
  for (guint i = 0; i < replica->losses->len; i++)
    {
      claim_loss_t loss = g_array_index (replica->losses, claim_loss_t, i);
      view_ref (loss.from);
      g_array_append_val (batch->losses, loss);
    }
  batch_fill (replica, batch, selection);
  claim_send (actions, to->id, msg);
}

/* Used only if the rule seal_before_handover is disabled: the replica hands over
 * its keys while it still grants in the view. */
static bool
select_unsealed (const claim_replica_t *replica, const claim_pull_t *pull, selection_t *selection)
{
  if (replica->rules.seal_before_handover || replica->view == NULL
      || replica->view->number + 1 != pull->to_view_number)
    return false;
  *selection = (selection_t){ .from = replica->view,
                              .from_slot = view_slot_of_member (replica->view, replica->self) };
  return selection->from_slot >= 0;
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
                              .from_slot = view_slot_of_member (transition->from, replica->self),
                              .to = transition->to,
                              .to_slot = view_slot_of_member (transition->to, puller) };
  return selection->from_slot >= 0 && selection->to_slot >= 0;
}

static void
on_slot_pull (claim_replica_t *replica,
              const member_t *from,
              const claim_pull_t *pull,
              claim_time_t now,
              GPtrArray *actions)
{
  if (!replica_slot_may_pull (replica, from, pull))
    return;
  selection_t selection = { .from = replica->view,
                            .from_slot = view_slot_of_member (replica->view, replica->self) };
  send_batch (replica, from, pull, &selection, now, actions);
}

void
replica_on_pull (claim_replica_t *replica,
                 member_t *from,
                 const claim_pull_t *pull,
                 claim_time_t now,
                 GPtrArray *actions)
{
  if (pull->transferred_slot != NULL)
    {
      on_slot_pull (replica, from, pull, now, actions);
      return;
    }
  transition_t *transition = replica_transition (replica, pull->to_view_number);
  selection_t selection;
  if (!select_sealed (transition, replica, from, &selection)
      && !select_unsealed (replica, pull, &selection))
    return;
  if (!replica_is_complete (replica, selection.from->number))
    return;
  guint before = actions->len;
  send_batch (replica, from, pull, &selection, now, actions);
  const claim_action_t *sent = g_ptr_array_index (actions, before);
  if (transition != NULL && selection.to != NULL && sent->msg->u.batch.done)
    transition->fully_pulled |= UINT64_C (1) << selection.to_slot;
}

static void
merge_key (claim_replica_t *replica, const claim_key_t *key)
{
  key_entry_t *entry = key_table_find (replica->keys, key->key);
  int32_t first = 0;

  if (entry == NULL)
    {
      entry = key_table_add (replica->keys, key->key, key->issued_at_ms, &key->holders[0]);
      first = 1;
    }
  entry->issued_at_ms = MAX (entry->issued_at_ms, key->issued_at_ms);
  for (int32_t i = first; i < key->holder_count; i++)
    {
      const claim_holder_t *holder = &key->holders[i];
      if (replica->rules.keep_all_claimants
          || key_entry_find_holder (entry, holder->member->id, holder->member->incarnation) != NULL)
        key_table_add_holder (replica->keys, entry, holder);
    }
}

void
replica_merge_batch (claim_replica_t *replica, const claim_batch_t *batch)
{
  for (guint i = 0; i < batch->keys->len; i++)
    merge_key (replica, g_ptr_array_index (batch->keys, i));
  for (guint i = 0; i < batch->losses->len; i++)
    add_loss (replica, &g_array_index (batch->losses, claim_loss_t, i));
  replica->expired_until_ms = MAX (replica->expired_until_ms, batch->expired_until_ms);
}

void
replica_on_batch (claim_replica_t *replica,
                  member_t *from,
                  const claim_batch_t *batch,
                  claim_time_t now,
                  GPtrArray *actions)
{
  if (batch->transferred_slot != NULL)
    {
      replica_slot_batch (replica, from, batch, now, actions);
      return;
    }
  transition_t *transition = replica_transition (replica, batch->to_view_number);
  if (transition == NULL || !needs_pulls (transition))
    return;
  int32_t slot = view_slot_named (transition->from, batch->from_slot);
  if (slot < 0 || !member_equal (transition->from->slots[slot].occupant, from)
      || (transition->handed_over >> slot & 1) != 0
      || transition->pull_cursors[slot] != batch->cursor)
    return;
  replica_merge_batch (replica, batch);
  transition->pull_cursors[slot] = batch->next_cursor;
  if (batch->done)
    {
      transition->handed_over |= UINT64_C (1) << slot;
      transition->sealed_at_ms = MAX (transition->sealed_at_ms, batch->sealed_at_ms);
      add_slot_to_losses (replica, transition->from, slot);
      replica_update_transitions (replica, now);
      return;
    }
  send_pull (from->id, batch->to_view_number, NULL, batch->next_cursor, actions);
}
