/* round.c -- one scheduling round: starts the tasks that can start now
 *
 * A round serves the plans in the order of the fair queue.  A plan whose first task
 * cannot start is blocked: until units are available again if the plan is at one of its
 * own limits, or until the end of the round if no endpoint can take the task.
 *
 * A task that needs several slots of one endpoint and does not find them is moved from
 * the queue of its plan to large_tasks, so that it does not delay the tasks behind it.
 * One endpoint is reserved for the first of the large tasks, so that enough slots
 * become free there.
 */
#include "dispatch/state.h"

#include <stddef.h>

/* A round ends when this many plans were skipped because no endpoint could take their
 * first task. */
#define SKIPPED_PLANS_MAX 8
#define MS_PER_S 1000

typedef enum
{
  START_OK,
  START_AT_RUNNING_MAX,
  START_AT_STARTS_MAX,
  START_NO_ENDPOINT,
  START_TOO_FEW_SLOTS,
  START_TOO_LATE
} start_result_t;

const char *
entry_plan_name (const task_entry_t *entry)
{
  return fair_queue_plan_name (entry->plan->queue);
}

static int
acquire (dispatch_t *dispatch,
         dispatch_limit_t limit,
         const char *name,
         int32_t units,
         const task_entry_t *entry,
         int64_t now_ms)
{
  return dispatch->limits->ops->acquire (dispatch->limits, limit, name, units,
                                         entry->deadline_at_ms, now_ms);
}

void
entry_release_units (dispatch_t *dispatch,
                     dispatch_limit_t limit,
                     const char *name,
                     int32_t units,
                     const task_entry_t *entry,
                     int64_t now_ms)
{
  dispatch->limits->ops->release (dispatch->limits, limit, name, units, entry->deadline_at_ms,
                                  now_ms);
}

/* Acquires the units of all three limits, or none.  The start is acquired last, because
 * starts cannot be released. */
static start_result_t
acquire_all (dispatch_t *dispatch,
             const task_entry_t *entry,
             const selection_t *selection,
             int64_t now_ms)
{
  const char *plan = entry_plan_name (entry);
  const char *id = selection->endpoint->id;

  if (acquire (dispatch, DISPATCH_LIMIT_RUNNING, plan, 1, entry, now_ms) != 0)
    return START_AT_RUNNING_MAX;
  if (acquire (dispatch, DISPATCH_LIMIT_SLOTS, id, selection->slots, entry, now_ms) != 0)
    {
      entry_release_units (dispatch, DISPATCH_LIMIT_RUNNING, plan, 1, entry, now_ms);
      return START_NO_ENDPOINT;
    }
  if (acquire (dispatch, DISPATCH_LIMIT_STARTS, plan, 1, entry, now_ms) == 0)
    return START_OK;
  entry_release_units (dispatch, DISPATCH_LIMIT_SLOTS, id, selection->slots, entry, now_ms);
  entry_release_units (dispatch, DISPATCH_LIMIT_RUNNING, plan, 1, entry, now_ms);
  return START_AT_STARTS_MAX;
}

/* Counts the starts of PLAN per second.  If PLAN was blocked by its limit on starts
 * when a second ended, the starts in that second are taken as its rate. */
static void
update_start_rate (plan_state_t *plan, int64_t now_ms)
{
  int64_t second_ms = now_ms / MS_PER_S * MS_PER_S;

  if (second_ms == plan->second_start_ms)
    return;
  bool limited = fair_queue_is_blocked (plan->queue, FAIR_QUEUE_AT_STARTS_MAX);
  plan->starts_per_s = limited ? plan->starts_this_second : 0;
  plan->starts_last_second =
      second_ms == plan->second_start_ms + MS_PER_S ? plan->starts_this_second : 0;
  plan->starts_this_second = 0;
  plan->second_start_ms = second_ms;
}

static void
start_entry (dispatch_t *dispatch,
             task_entry_t *entry,
             const selection_t *selection,
             int64_t now_ms,
             GArray *actions)
{
  endpoint_state_t *endpoint = selection->endpoint;

  entry->cost_us = (int64_t) (selection->expected_ms * 1000 * selection->slots);
  if (entry->is_large)
    fair_queue_charge (dispatch->fair_queue, entry->plan->queue, entry->cost_us);
  else
    fair_queue_start (dispatch->fair_queue, &entry->queue_item, entry->cost_us);
  entry_dequeue (dispatch, entry);
  entry->slots = selection->slots;
  entry->endpoint = endpoint;
  entry->is_probe = selection->is_probe;
  endpoint->outlier.probe_running |= selection->is_probe;
  endpoint_task_started (endpoint, entry, now_ms);
  entry->plan->running++;
  dispatch->running_tasks++;
  dispatch->free_slots = MAX (dispatch->free_slots - selection->slots, 0);
  update_start_rate (entry->plan, now_ms);
  entry->plan->starts_this_second++;
  dispatch_action_t action = { DISPATCH_START, entry->ticket, endpoint->id };
  g_array_append_val (actions, action);
}

static void
give_up_entry (dispatch_t *dispatch, task_entry_t *entry, GArray *actions)
{
  dispatch_action_t action = { DISPATCH_GIVE_UP, entry->ticket, NULL };

  entry_dequeue (dispatch, entry);
  g_hash_table_remove (dispatch->entries, &entry->ticket);
  g_array_append_val (actions, action);
}

/* True if ENTRY would probably be cut off at its deadline while other tasks wait for
 * the slot: more tasks are queued than slots are free. */
static bool
is_too_late (const dispatch_t *dispatch,
             const task_entry_t *entry,
             const selection_t *selection,
             int64_t now_ms)
{
  if (!dispatch->options.refuse
      || fair_queue_total_queued (dispatch->fair_queue) <= dispatch->free_slots)
    return false;
  return now_ms + (int64_t) selection->expected_ms > entry->deadline_at_ms;
}

static start_result_t
try_start (dispatch_t *dispatch, task_entry_t *entry, int64_t now_ms, GArray *actions)
{
  selection_t selection = { 0 };

  if (dispatch->limits->ops->available (dispatch->limits, DISPATCH_LIMIT_RUNNING,
                                        entry_plan_name (entry), now_ms)
      <= 0)
    return START_AT_RUNNING_MAX;
  selection_result_t result = select_endpoint (dispatch, entry, now_ms, &selection);
  if (result != SELECTION_FOUND)
    return result == SELECTION_TOO_FEW_SLOTS ? START_TOO_FEW_SLOTS : START_NO_ENDPOINT;
  if (is_too_late (dispatch, entry, &selection, now_ms))
    {
      give_up_entry (dispatch, entry, actions);
      return START_TOO_LATE;
    }
  start_result_t acquired = acquire_all (dispatch, entry, &selection, now_ms);
  if (acquired == START_OK)
    start_entry (dispatch, entry, &selection, now_ms, actions);
  return acquired;
}

/* Moves ENTRY from the queue of its plan to large_tasks. */
static void
move_to_large (dispatch_t *dispatch, task_entry_t *entry)
{
  fair_queue_remove (dispatch->fair_queue, &entry->queue_item);
  entry->is_large = true;
  heap_push (&dispatch->large_tasks, &entry->queue_item.by_deadline);
}

/* The endpoint with the most free slots among those that are large enough for ENTRY;
 * NULL if there is none. */
static endpoint_state_t *
most_free_endpoint (const dispatch_t *dispatch, const task_entry_t *entry, int64_t now_ms)
{
  endpoint_state_t *best = NULL;
  int32_t best_left = -1;

  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      endpoint_state_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (!endpoint_takes_work (endpoint) || endpoint->outlier.state == OUTLIER_EJECTED
          || endpoint_slots_needed (endpoint, entry->cores, entry->memory_mb) > endpoint->slots)
        continue;
      int32_t left = available_slots (dispatch, endpoint, now_ms);
      if (left > best_left)
        {
          best_left = left;
          best = endpoint;
        }
    }
  return best;
}

/* Reserves an endpoint for ENTRY, the first large task, unless one is reserved already. */
static void
reserve_endpoint (dispatch_t *dispatch, const task_entry_t *entry, int64_t now_ms)
{
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    if (((endpoint_state_t *) g_ptr_array_index (dispatch->endpoints, i))->reserved_for_ticket != 0)
      return;
  endpoint_state_t *endpoint = most_free_endpoint (dispatch, entry, now_ms);
  if (endpoint != NULL)
    endpoint->reserved_for_ticket = entry->ticket;
}

/* Moves ENTRY back to the queue of its plan, where it waits with the other tasks while
 * the plan is at one of its limits. */
static void
requeue_large (dispatch_t *dispatch, task_entry_t *entry)
{
  heap_remove (&dispatch->large_tasks, &entry->queue_item.by_deadline);
  entry_release_endpoint (dispatch, entry);
  entry->is_large = false;
  fair_queue_add (dispatch->fair_queue, entry->plan->queue, &entry->queue_item,
                  entry->deadline_at_ms);
}

static fair_queue_reason_t
block_reason (start_result_t result)
{
  return result == START_AT_RUNNING_MAX ? FAIR_QUEUE_AT_RUNNING_MAX : FAIR_QUEUE_AT_STARTS_MAX;
}

static void
start_large_tasks (dispatch_t *dispatch, int64_t now_ms, GArray *actions)
{
  task_entry_t *entry = NULL;

  while ((entry = (task_entry_t *) heap_peek (&dispatch->large_tasks)) != NULL)
    {
      start_result_t result = try_start (dispatch, entry, now_ms, actions);
      if (result == START_TOO_FEW_SLOTS || result == START_NO_ENDPOINT)
        {
          reserve_endpoint (dispatch, entry, now_ms);
          return;
        }
      if (result == START_OK || result == START_TOO_LATE)
        continue;
      requeue_large (dispatch, entry);
      fair_queue_block (dispatch->fair_queue, entry->plan->queue, block_reason (result));
    }
}

/* Takes the plan of ENTRY, or ENTRY if it is large, out of the order of service after a
 * failed start.  Returns false if the round should end. */
static bool
skip_plan (dispatch_t *dispatch, task_entry_t *entry, start_result_t result, GPtrArray *skipped)
{
  fair_queue_plan_t *queue = entry->plan->queue;

  if (result == START_AT_RUNNING_MAX || result == START_AT_STARTS_MAX)
    {
      fair_queue_block (dispatch->fair_queue, queue, block_reason (result));
      return true;
    }
  if (result == START_TOO_FEW_SLOTS && entry->slots > 1)
    {
      move_to_large (dispatch, entry);
      return true;
    }
  fair_queue_block (dispatch->fair_queue, queue, FAIR_QUEUE_NO_ENDPOINT);
  g_ptr_array_add (skipped, queue);
  return skipped->len < SKIPPED_PLANS_MAX;
}

static void
start_round (dispatch_t *dispatch, int64_t now_ms, GArray *actions)
{
  GPtrArray *skipped = g_ptr_array_new ();
  bool keep_going = true;

  start_large_tasks (dispatch, now_ms, actions);
  while (keep_going && dispatch->candidates->len > 0)
    {
      task_entry_t *entry = (task_entry_t *) fair_queue_next (dispatch->fair_queue);
      if (entry == NULL)
        break;
      start_result_t result = try_start (dispatch, entry, now_ms, actions);
      if (result != START_OK && result != START_TOO_LATE)
        keep_going = skip_plan (dispatch, entry, result, skipped);
    }
  for (guint i = 0; i < skipped->len; i++)
    fair_queue_unblock (dispatch->fair_queue, g_ptr_array_index (skipped, i),
                        FAIR_QUEUE_NO_ENDPOINT);
  g_ptr_array_unref (skipped);
}

static void
give_up_late (dispatch_t *dispatch, int64_t now_ms, GArray *actions)
{
  heap_node_t *node = NULL;

  while ((node = heap_peek (&dispatch->by_latest_start)) != NULL && node->key < now_ms)
    {
      task_entry_t *entry =
          (task_entry_t *) ((char *) node - offsetof (task_entry_t, by_latest_start));
      give_up_entry (dispatch, entry, actions);
    }
}

/* Units may become available without an event: starts with time, others when a share is
 * renewed.  Plans are therefore unblocked periodically. */
static void
unblock_limits (fair_queue_plan_t *queue, void *data)
{
  dispatch_t *dispatch = data;

  update_start_rate (plan_get (dispatch, fair_queue_plan_name (queue)), dispatch->refreshed_at_ms);
  fair_queue_unblock (dispatch->fair_queue, queue, FAIR_QUEUE_AT_STARTS_MAX);
  fair_queue_unblock (dispatch->fair_queue, queue, FAIR_QUEUE_AT_RUNNING_MAX);
}

void
round_run (dispatch_t *dispatch, int64_t now_ms, GArray *actions)
{
  if (now_ms - dispatch->refreshed_at_ms >= REFRESH_INTERVAL_MS)
    {
      refresh_slots (dispatch, now_ms);
      candidate_set_add_all (dispatch);
      fair_queue_each_plan (dispatch->fair_queue, unblock_limits, dispatch);
    }
  if (dispatch->options.refuse)
    give_up_late (dispatch, now_ms, actions);
  start_round (dispatch, now_ms, actions);
}
