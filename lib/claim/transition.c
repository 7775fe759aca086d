/* transition.c -- one change of the view, as seen by a replica */
#include "claim/transition.h"

#include <string.h>

/* A transition that is still open after so many hand-over waits is closed. */
#define ABANDON_WAITS 5

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
refresh (view_t **state, view_t *view)
{
  view_t *merged = view_merge (*state, view);

  view_unref (*state);
  *state = merged;
}

void
transition_refresh (transition_t *transition, view_t *view)
{
  if (transition->to->number == view->number)
    refresh (&transition->to, view);
  else if (transition->to->number != view->number + 1)
    return;
  else if (transition->from == NULL && !transition->closed)
    transition->from = view_ref (view);
  else if (transition->from != NULL)
    refresh (&transition->from, view);
}

void
transition_note_view (transition_t *transition, const view_t *view, int64_t now_ms)
{
  uint64_t gone = 0;

  for (int32_t i = 0; transition->from != NULL && i < transition->from->count; i++)
    if (view_seat_of_member (view, transition->from->seats[i].occupant) < 0)
      gone |= UINT64_C (1) << i;
  if (gone == transition->gone)
    return;
  transition->gone = gone;
  transition->gone_ms = now_ms;
}

bool
transition_lost (const transition_t *transition,
                 int32_t seat,
                 const claim_limits_t *limits,
                 int64_t now_ms)
{
  if ((transition->handed >> seat & 1) != 0)
    return false;
  if (transition->closed)
    return true;
  return (transition->gone >> seat & 1) != 0
         && now_ms >= transition->gone_ms + limits->handover_wait_ms;
}

/* A process whose address another process of TO has bound is certainly dead. */
static bool
is_dead (const view_t *to, const member_t *member)
{
  for (int32_t i = 0; i < to->count; i++)
    {
      const member_t *other = to->seats[i].occupant;
      if (strcmp (other->address, member->address) == 0 && !member_equal (other, member))
        return true;
    }
  return false;
}

int64_t
transition_late_after_ms (const transition_t *transition, const claim_limits_t *limits)
{
  const view_t *from = transition->from;
  int32_t unsealed = 0;

  for (int32_t i = 0; i < from->count; i++)
    if ((transition->handed >> i & 1) == 0 && !is_dead (transition->to, from->seats[i].occupant))
      unsealed++;
  int64_t bound_ms =
      unsealed < view_majority (from->count) ? limits->contact_ms : limits->isolation_ms;
  return transition->sealed_at_ms + bound_ms + 2 * limits->skew_ms;
}

key_state_t
transition_key (const transition_t *transition,
                const char *key,
                int64_t issued_at_ms,
                const claim_limits_t *limits,
                int64_t now_ms)
{
  int32_t seats[VIEW_REPLICAS_PER_KEY];
  int32_t handed = 0;
  int32_t lost = 0;

  if (transition->from == NULL)
    return transition->closed ? KEY_COMPLETE : KEY_PENDING;
  int32_t count = view_replicas (transition->from, key, seats);
  for (int32_t i = 0; i < count; i++)
    {
      handed += (int32_t) (transition->handed >> seats[i] & 1);
      lost += transition_lost (transition, seats[i], limits, now_ms);
    }
  if (handed >= view_majority (count))
    return KEY_COMPLETE;
  if (handed + lost < count)
    return KEY_PENDING;
  if (issued_at_ms > transition_late_after_ms (transition, limits))
    return KEY_COMPLETE;
  return KEY_UNCERTAIN;
}

int32_t
transition_missing (const transition_t *transition)
{
  if (transition->from == NULL)
    return transition->closed ? 0 : 1;
  return transition->from->count - __builtin_popcountll (transition->handed);
}

bool
transition_has_loss (const transition_t *transition)
{
  if (transition->from == NULL)
    return false;
  int32_t replicas = MIN (transition->from->count, VIEW_REPLICAS_PER_KEY);
  return transition_missing (transition) > replicas - view_majority (replicas);
}

static bool
is_abandoned (const transition_t *transition, const claim_limits_t *limits, int64_t now_ms)
{
  return now_ms >= transition->started_ms + ABANDON_WAITS * limits->handover_wait_ms;
}

/* True if every seat has handed over or is lost. */
static bool
is_over (const transition_t *transition, const claim_limits_t *limits, int64_t now_ms)
{
  for (int32_t i = 0; i < transition->from->count; i++)
    if ((transition->handed >> i & 1) == 0 && !transition_lost (transition, i, limits, now_ms))
      return false;
  return true;
}

bool
transition_close (transition_t *transition, const claim_limits_t *limits, int64_t now_ms)
{
  if (transition->closed || transition->from == NULL)
    return false;
  if (transition_has_loss (transition) && !is_over (transition, limits, now_ms)
      && !is_abandoned (transition, limits, now_ms))
    return false;
  transition->closed = true;
  return true;
}

bool
transition_close_unknown (transition_t *transition, const claim_limits_t *limits, int64_t now_ms)
{
  if (transition->closed || transition->from != NULL || !is_abandoned (transition, limits, now_ms))
    return false;
  transition->closed = true;
  return true;
}

void
transition_take_over (transition_t *transition)
{
  transition->closed = true;
  for (int32_t i = 0; transition->from != NULL && i < transition->from->count; i++)
    transition->handed |= UINT64_C (1) << i;
}

bool
claim_loss_covers (const claim_loss_t *loss, const char *key, int64_t issued_at_ms)
{
  int32_t seats[VIEW_REPLICAS_PER_KEY];
  int32_t handed = 0;

  if (issued_at_ms > loss->late_after_ms)
    return false;
  int32_t count = view_replicas (loss->from, key, seats);
  for (int32_t i = 0; i < count; i++)
    handed += (int32_t) (loss->handed >> seats[i] & 1);
  return handed < view_majority (count);
}
