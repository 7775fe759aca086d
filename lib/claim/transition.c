/* transition.c -- one change of the view, as seen by a replica */
#include "claim/transition.h"

#include <string.h>

/* A transition is closed after being open for this many hand-over timeouts. */
#define OPEN_HANDOVER_TIMEOUTS 5

transition_t *
transition_new (view_t *from, view_t *to, claim_time_t now)
{
  transition_t *transition = g_new0 (transition_t, 1);

  transition->from = from != NULL ? view_ref (from) : NULL;
  transition->to = view_ref (to);
  transition->started_ms = now.boot_ms;
  transition->sealed_at_ms = to->recorded_at_ms;
  transition->closed = to->number == 1;
  return transition;
}

void
transition_free (transition_t *transition)
{
  view_unref (transition->from);
  view_unref (transition->to);
  g_free (transition);
}

static void
merge_state (view_t **state, view_t *view)
{
  view_t *merged = view_merge (*state, view);

  view_unref (*state);
  *state = merged;
}

void
transition_merge_view (transition_t *transition, view_t *view)
{
  if (transition->to->number == view->number)
    merge_state (&transition->to, view);
  else if (transition->to->number != view->number + 1)
    return;
  else if (transition->from == NULL && !transition->closed)
    transition->from = view_ref (view);
  else if (transition->from != NULL)
    merge_state (&transition->from, view);
}

void
transition_update_departed (transition_t *transition, const view_t *view, int64_t now_ms)
{
  uint64_t departed = 0;

  for (int32_t i = 0; transition->from != NULL && i < transition->from->count; i++)
    if (view_slot_of_member (view, transition->from->slots[i].occupant) < 0)
      departed |= UINT64_C (1) << i;
  if (departed == transition->departed)
    return;
  transition->departed = departed;
  transition->departed_since_ms = now_ms;
}

bool
transition_lost (const transition_t *transition,
                 int32_t slot,
                 const claim_limits_t *limits,
                 int64_t now_ms)
{
  if ((transition->handed_over >> slot & 1) != 0)
    return false;
  if (transition->closed)
    return true;
  return (transition->departed >> slot & 1) != 0
         && now_ms >= transition->departed_since_ms + limits->handover_timeout_ms;
}

/* Returns true if another process in TO has bound the address of MEMBER; MEMBER is
 * then certainly dead. */
static bool
is_replaced (const view_t *to, const member_t *member)
{
  for (int32_t i = 0; i < to->count; i++)
    {
      const member_t *other = to->slots[i].occupant;
      if (strcmp (other->address, member->address) == 0 && !member_equal (other, member))
        return true;
    }
  return false;
}

int64_t
transition_max_issued_at_ms (const transition_t *transition, const claim_limits_t *limits)
{
  const view_t *from = transition->from;
  int32_t unsealed = 0;

  for (int32_t i = 0; i < from->count; i++)
    if ((transition->handed_over >> i & 1) == 0
        && !is_replaced (transition->to, from->slots[i].occupant))
      unsealed++;
  int64_t bound_ms = unsealed < view_majority (from->count) ? limits->contact_timeout_ms
                                                            : limits->isolation_timeout_ms;
  return transition->sealed_at_ms + bound_ms + 2 * limits->clock_skew_ms;
}

key_state_t
transition_key_state (const transition_t *transition,
                      const char *key,
                      int64_t issued_at_ms,
                      const claim_limits_t *limits,
                      int64_t now_ms)
{
  int32_t slots[VIEW_REPLICAS_PER_KEY];
  int32_t handed = 0;
  int32_t lost = 0;

  if (transition->from == NULL)
    return transition->closed ? KEY_COMPLETE : KEY_PENDING;
  int32_t count = view_replicas (transition->from, key, slots);
  for (int32_t i = 0; i < count; i++)
    {
      handed += (int32_t) (transition->handed_over >> slots[i] & 1);
      lost += transition_lost (transition, slots[i], limits, now_ms);
    }
  if (handed >= view_majority (count))
    return KEY_COMPLETE;
  if (handed + lost < count)
    return KEY_PENDING;
  if (issued_at_ms > transition_max_issued_at_ms (transition, limits))
    return KEY_COMPLETE;
  return KEY_UNCERTAIN;
}

int32_t
transition_missing_count (const transition_t *transition)
{
  if (transition->from == NULL)
    return transition->closed ? 0 : 1;
  return transition->from->count - __builtin_popcountll (transition->handed_over);
}

bool
transition_has_loss (const transition_t *transition)
{
  if (transition->from == NULL)
    return false;
  int32_t replicas = MIN (transition->from->count, VIEW_REPLICAS_PER_KEY);
  return transition_missing_count (transition) > replicas - view_majority (replicas);
}

static bool
is_timed_out (const transition_t *transition, const claim_limits_t *limits, int64_t now_ms)
{
  return now_ms >= transition->started_ms + OPEN_HANDOVER_TIMEOUTS * limits->handover_timeout_ms;
}

/* Returns true if every slot has handed over or is lost. */
static bool
is_settled (const transition_t *transition, const claim_limits_t *limits, int64_t now_ms)
{
  for (int32_t i = 0; i < transition->from->count; i++)
    if ((transition->handed_over >> i & 1) == 0 && !transition_lost (transition, i, limits, now_ms))
      return false;
  return true;
}

bool
transition_close (transition_t *transition, const claim_limits_t *limits, int64_t now_ms)
{
  if (transition->closed || transition->from == NULL)
    return false;
  if (transition_has_loss (transition) && !is_settled (transition, limits, now_ms)
      && !is_timed_out (transition, limits, now_ms))
    return false;
  transition->closed = true;
  return true;
}

bool
transition_close_unknown (transition_t *transition, const claim_limits_t *limits, int64_t now_ms)
{
  if (transition->closed || transition->from != NULL || !is_timed_out (transition, limits, now_ms))
    return false;
  transition->closed = true;
  return true;
}

void
transition_mark_complete (transition_t *transition)
{
  transition->closed = true;
  for (int32_t i = 0; transition->from != NULL && i < transition->from->count; i++)
    transition->handed_over |= UINT64_C (1) << i;
}

bool
claim_loss_covers (const claim_loss_t *loss, const char *key, int64_t issued_at_ms)
{
  int32_t slots[VIEW_REPLICAS_PER_KEY];
  int32_t handed = 0;

  if (issued_at_ms > loss->max_issued_at_ms)
    return false;
  int32_t count = view_replicas (loss->from, key, slots);
  for (int32_t i = 0; i < count; i++)
    handed += (int32_t) (loss->handed_over >> slots[i] & 1);
  return handed < view_majority (count);
}
