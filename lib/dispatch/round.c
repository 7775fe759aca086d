/* round.c -- one round of starts
 *
 * A round serves plans in their fair order.  A plan whose first task cannot
 * start now is passed over: until a unit comes back when it is at a limit of
 * its own, until the end of the round when no free endpoint suits the task.
 *
 * A task that takes several slots of one endpoint leaves its plan's queue when
 * it does not find them, so that it delays no other task, and waits in `large`.
 * The first of these gets one endpoint kept free for it.
 */
#include "dispatch/state.h"

#include <stddef.h>

/* Plans passed over for want of an endpoint before a round ends. */
#define SET_ASIDE_MAX 8
#define MS_PER_S 1000

typedef enum
{
  START_DONE,
  START_AT_RUNNING_MAX,
  START_AT_STARTS_MAX,
  START_NO_ENDPOINT,
  START_SMALL,
  START_TOO_LATE
} start_result_t;

const char *
entry_plan_name (const entry_t *entry)
{
  return fair_plan_name (entry->plan->queue);
}

static int
take (dispatch_t *dispatch,
      dispatch_limit_t limit,
      const char *name,
      int32_t units,
      const entry_t *entry,
      int64_t now_ms)
{
  return dispatch->limits->ops->take (dispatch->limits, limit, name, units, entry->deadline_at_ms,
                                      now_ms);
}

void
entry_give (dispatch_t *dispatch,
            dispatch_limit_t limit,
            const char *name,
            int32_t units,
            const entry_t *entry,
            int64_t now_ms)
{
  dispatch->limits->ops->give (dispatch->limits, limit, name, units, entry->deadline_at_ms, now_ms);
}

/* Takes the units of all three limits, or none.  Starts come last, because they
 * cannot be given back. */
static start_result_t
take_units (dispatch_t *dispatch, const entry_t *entry, const choice_t *choice, int64_t now_ms)
{
  const char *plan = entry_plan_name (entry);
  const char *id = choice->endpoint->id;

  if (take (dispatch, DISPATCH_RUNNING, plan, 1, entry, now_ms) != 0)
    return START_AT_RUNNING_MAX;
  if (take (dispatch, DISPATCH_SLOTS, id, choice->units, entry, now_ms) != 0)
    {
      entry_give (dispatch, DISPATCH_RUNNING, plan, 1, entry, now_ms);
      return START_NO_ENDPOINT;
    }
  if (take (dispatch, DISPATCH_STARTS, plan, 1, entry, now_ms) == 0)
    return START_DONE;
  entry_give (dispatch, DISPATCH_SLOTS, id, choice->units, entry, now_ms);
  entry_give (dispatch, DISPATCH_RUNNING, plan, 1, entry, now_ms);
  return START_AT_STARTS_MAX;
}

/* Counts starts by the second.  A plan that is held back by its limit on starts
 * in a second gets that second's starts as its rate. */
static void
roll_second (plan_t *plan, int64_t now_ms)
{
  int64_t second_ms = now_ms / MS_PER_S * MS_PER_S;

  if (second_ms == plan->second_ms)
    return;
  bool limited = fair_is_parked (plan->queue, FAIR_AT_STARTS_MAX);
  plan->starts_per_s = limited ? plan->starts : 0;
  plan->last_starts = second_ms == plan->second_ms + MS_PER_S ? plan->starts : 0;
  plan->starts = 0;
  plan->second_ms = second_ms;
}

static void
begin (dispatch_t *dispatch,
       entry_t *entry,
       const choice_t *choice,
       int64_t now_ms,
       GArray *actions)
{
  endpoint_t *endpoint = choice->endpoint;

  entry->cost_us = (int64_t) (choice->expected_ms * 1000 * choice->units);
  if (entry->large)
    fair_charge (dispatch->fair, entry->plan->queue, entry->cost_us);
  else
    fair_start (dispatch->fair, &entry->item, entry->cost_us);
  entry_leave (dispatch, entry);
  entry->units = choice->units;
  entry->endpoint = endpoint;
  entry->probe = choice->probe;
  endpoint->outlier.probing |= choice->probe;
  endpoint_began (endpoint, entry, now_ms);
  entry->plan->running++;
  dispatch->running++;
  dispatch->free_slots = MAX (dispatch->free_slots - choice->units, 0);
  roll_second (entry->plan, now_ms);
  entry->plan->starts++;
  dispatch_action_t action = { DISPATCH_START, entry->ticket, endpoint->id };
  g_array_append_val (actions, action);
}

static void
give_up_entry (dispatch_t *dispatch, entry_t *entry, GArray *actions)
{
  dispatch_action_t action = { DISPATCH_GIVE_UP, entry->ticket, NULL };

  entry_leave (dispatch, entry);
  g_hash_table_remove (dispatch->entries, &entry->ticket);
  g_array_append_val (actions, action);
}

/* While more tasks wait than slots are free, a slot is not spent on a task that
 * would probably be cut off at its deadline. */
static bool
is_too_late (const dispatch_t *dispatch,
             const entry_t *entry,
             const choice_t *choice,
             int64_t now_ms)
{
  if (!dispatch->options.refuse || fair_queued (dispatch->fair) <= dispatch->free_slots)
    return false;
  return now_ms + (int64_t) choice->expected_ms > entry->deadline_at_ms;
}

static start_result_t
try_start (dispatch_t *dispatch, entry_t *entry, int64_t now_ms, GArray *actions)
{
  choice_t choice = { 0 };

  if (dispatch->limits->ops->left (dispatch->limits, DISPATCH_RUNNING, entry_plan_name (entry),
                                   now_ms)
      <= 0)
    return START_AT_RUNNING_MAX;
  choice_result_t result = choose_endpoint (dispatch, entry, now_ms, &choice);
  if (result != CHOICE_FOUND)
    return result == CHOICE_SMALL ? START_SMALL : START_NO_ENDPOINT;
  if (is_too_late (dispatch, entry, &choice, now_ms))
    {
      give_up_entry (dispatch, entry, actions);
      return START_TOO_LATE;
    }
  start_result_t taken = take_units (dispatch, entry, &choice, now_ms);
  if (taken == START_DONE)
    begin (dispatch, entry, &choice, now_ms, actions);
  return taken;
}

static void
make_large (dispatch_t *dispatch, entry_t *entry)
{
  fair_remove (dispatch->fair, &entry->item);
  entry->large = true;
  heap_push (&dispatch->large, &entry->item.by_deadline);
}

static endpoint_t *
most_free (const dispatch_t *dispatch, const entry_t *entry, int64_t now_ms)
{
  endpoint_t *best = NULL;
  int32_t best_left = -1;

  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      endpoint_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (!endpoint_takes_work (endpoint) || endpoint->outlier.state == OUTLIER_OUT
          || endpoint_units (endpoint, entry->cores, entry->memory_mb) > endpoint->slots)
        continue;
      int32_t left = slots_left (dispatch, endpoint, now_ms);
      if (left > best_left)
        {
          best_left = left;
          best = endpoint;
        }
    }
  return best;
}

/* Keeps one endpoint free for the first large task. */
static void
hold_endpoint (dispatch_t *dispatch, const entry_t *entry, int64_t now_ms)
{
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    if (((endpoint_t *) g_ptr_array_index (dispatch->endpoints, i))->held_for != 0)
      return;
  endpoint_t *endpoint = most_free (dispatch, entry, now_ms);
  if (endpoint != NULL)
    endpoint->held_for = entry->ticket;
}

/* A large task whose plan is at a limit waits with the others of its plan. */
static void
requeue_large (dispatch_t *dispatch, entry_t *entry)
{
  heap_remove (&dispatch->large, &entry->item.by_deadline);
  entry_release_hold (dispatch, entry);
  entry->large = false;
  fair_add (dispatch->fair, entry->plan->queue, &entry->item, entry->deadline_at_ms);
}

static fair_reason_t
reason_of (start_result_t result)
{
  return result == START_AT_RUNNING_MAX ? FAIR_AT_RUNNING_MAX : FAIR_AT_STARTS_MAX;
}

static void
start_large (dispatch_t *dispatch, int64_t now_ms, GArray *actions)
{
  entry_t *entry = NULL;

  while ((entry = (entry_t *) heap_first (&dispatch->large)) != NULL)
    {
      start_result_t result = try_start (dispatch, entry, now_ms, actions);
      if (result == START_SMALL || result == START_NO_ENDPOINT)
        {
          hold_endpoint (dispatch, entry, now_ms);
          return;
        }
      if (result == START_DONE || result == START_TOO_LATE)
        continue;
      requeue_large (dispatch, entry);
      fair_park (dispatch->fair, entry->plan->queue, reason_of (result));
    }
}

/* Passes the plan of ENTRY over.  Returns false if the round should end. */
static bool
pass_over (dispatch_t *dispatch, entry_t *entry, start_result_t result, GPtrArray *aside)
{
  fair_plan_t *queue = entry->plan->queue;

  if (result == START_AT_RUNNING_MAX || result == START_AT_STARTS_MAX)
    {
      fair_park (dispatch->fair, queue, reason_of (result));
      return true;
    }
  if (result == START_SMALL && entry->units > 1)
    {
      make_large (dispatch, entry);
      return true;
    }
  fair_park (dispatch->fair, queue, FAIR_SET_ASIDE);
  g_ptr_array_add (aside, queue);
  return aside->len < SET_ASIDE_MAX;
}

static void
start_round (dispatch_t *dispatch, int64_t now_ms, GArray *actions)
{
  GPtrArray *aside = g_ptr_array_new ();
  bool go_on = true;

  start_large (dispatch, now_ms, actions);
  while (go_on && dispatch->open->len > 0)
    {
      entry_t *entry = (entry_t *) fair_next (dispatch->fair);
      if (entry == NULL)
        break;
      start_result_t result = try_start (dispatch, entry, now_ms, actions);
      if (result != START_DONE && result != START_TOO_LATE)
        go_on = pass_over (dispatch, entry, result, aside);
    }
  for (guint i = 0; i < aside->len; i++)
    fair_unpark (dispatch->fair, g_ptr_array_index (aside, i), FAIR_SET_ASIDE);
  g_ptr_array_unref (aside);
}

static void
give_up_late (dispatch_t *dispatch, int64_t now_ms, GArray *actions)
{
  heap_node_t *node = NULL;

  while ((node = heap_first (&dispatch->by_latest_start)) != NULL && node->key < now_ms)
    {
      entry_t *entry = (entry_t *) ((char *) node - offsetof (entry_t, by_latest_start));
      give_up_entry (dispatch, entry, actions);
    }
}

/* Units may have come without a word: starts by time, others from a share that
 * is renewed. */
static void
unpark_limits (fair_plan_t *queue, void *data)
{
  dispatch_t *dispatch = data;

  roll_second (plan_get (dispatch, fair_plan_name (queue)), dispatch->refreshed_at_ms);
  fair_unpark (dispatch->fair, queue, FAIR_AT_STARTS_MAX);
  fair_unpark (dispatch->fair, queue, FAIR_AT_RUNNING_MAX);
}

void
round_run (dispatch_t *dispatch, int64_t now_ms, GArray *actions)
{
  if (now_ms - dispatch->refreshed_at_ms >= REFRESH_EVERY_MS)
    {
      refresh_slots (dispatch, now_ms);
      open_add_all (dispatch);
      fair_each_plan (dispatch->fair, unpark_limits, dispatch);
    }
  if (dispatch->options.refuse)
    give_up_late (dispatch, now_ms, actions);
  start_round (dispatch, now_ms, actions);
}
