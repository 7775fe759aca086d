/* dispatch.c -- the events of dispatch_t: queueing, rounds of starts, ends
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

#include "base/error.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/* Plans passed over for want of an endpoint before a round ends. */
#define SET_ASIDE_MAX 8
/* A task is given up only when half of its best expected time is too long. */
#define HOPELESS_PART 0.5
#define MS_PER_S 1000

dispatch_t *
dispatch_new (const dispatch_options_t *options, dispatch_limits_t *limits)
{
  dispatch_t *dispatch = g_new0 (dispatch_t, 1);

  dispatch->options = *options;
  dispatch->limits = limits;
  dispatch->random = g_rand_new_with_seed (options->seed);
  dispatch->fair = fair_new ();
  dispatch->plans = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  dispatch->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  dispatch->endpoints = g_ptr_array_new_with_free_func (endpoint_free);
  dispatch->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  dispatch->open = g_ptr_array_new ();
  dispatch->kinds = g_hash_table_new (g_str_hash, g_str_equal);
  dispatch->kind_list = g_ptr_array_new ();
  dispatch->refreshed_at_ms = INT64_MIN / 2;
  return dispatch;
}

static void
kind_free (void *data, void *user)
{
  (void) user;
  kind_t *kind = data;

  g_free (kind->name);
  if (kind->order != NULL)
    g_array_unref (kind->order);
  g_free (kind);
}

void
dispatch_free (dispatch_t *dispatch)
{
  g_rand_free (dispatch->random);
  fair_free (dispatch->fair);
  g_hash_table_destroy (dispatch->plans);
  g_hash_table_destroy (dispatch->entries);
  g_hash_table_destroy (dispatch->by_id);
  g_ptr_array_unref (dispatch->endpoints);
  g_ptr_array_unref (dispatch->open);
  g_hash_table_destroy (dispatch->kinds);
  g_ptr_array_foreach (dispatch->kind_list, kind_free, NULL);
  g_ptr_array_unref (dispatch->kind_list);
  heap_clear (&dispatch->by_latest_start);
  heap_clear (&dispatch->large);
  g_free (dispatch);
}

plan_t *
plan_get (dispatch_t *dispatch, const char *name)
{
  fair_plan_t *queue = fair_plan (dispatch->fair, name);
  plan_t *plan = g_hash_table_lookup (dispatch->plans, queue);

  if (plan != NULL)
    return plan;
  plan = g_new0 (plan_t, 1);
  plan->queue = queue;
  g_hash_table_insert (dispatch->plans, queue, plan);
  return plan;
}

kind_t *
kind_get (dispatch_t *dispatch, const char *name)
{
  kind_t *kind = g_hash_table_lookup (dispatch->kinds, name);

  if (kind != NULL)
    return kind;
  if (dispatch->kind_list->len == KINDS_MAX)
    return g_ptr_array_index (dispatch->kind_list, KINDS_MAX - 1);
  kind = g_new0 (kind_t, 1);
  kind->name = g_strdup (name);
  kind->index = dispatch->kind_list->len;
  g_hash_table_insert (dispatch->kinds, kind->name, kind);
  g_ptr_array_add (dispatch->kind_list, kind);
  return kind;
}

void
dispatch_set_weight (dispatch_t *dispatch, const char *plan, int32_t weight)
{
  fair_set_weight (dispatch->fair, fair_plan (dispatch->fair, plan), weight);
}

void
dispatch_set_alone (dispatch_t *dispatch, bool alone)
{
  dispatch->alone = alone;
}

/* The list of endpoints. */

static endpoint_t *
endpoint_get (dispatch_t *dispatch, const char *id)
{
  endpoint_t *endpoint = g_hash_table_lookup (dispatch->by_id, id);

  if (endpoint != NULL)
    return endpoint;
  endpoint = g_new0 (endpoint_t, 1);
  endpoint->id = g_strdup (id);
  g_ptr_array_add (dispatch->endpoints, endpoint);
  g_hash_table_insert (dispatch->by_id, endpoint->id, endpoint);
  return endpoint;
}

static void
take_row (endpoint_t *endpoint, const dispatch_endpoint_t *row)
{
  g_free (endpoint->rack);
  endpoint->rack = g_strdup (row->rack);
  endpoint->slots = row->slots;
  endpoint->connections = row->connections;
  endpoint->cores = row->cores;
  endpoint->memory_mb = row->memory_mb;
  endpoint->leaving = row->leaving;
  endpoint->listed = true;
}

static bool
takes_work (const endpoint_t *endpoint)
{
  return endpoint->listed && !endpoint->leaving;
}

/* Endpoints that are off the list and idle are forgotten. */
static void
drop_unlisted (dispatch_t *dispatch)
{
  for (guint i = dispatch->endpoints->len; i-- > 0;)
    {
      endpoint_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (!takes_work (endpoint))
        open_remove (dispatch, endpoint);
      if (endpoint->listed || endpoint->tasks > 0)
        continue;
      g_hash_table_remove (dispatch->by_id, endpoint->id);
      g_ptr_array_remove_index_fast (dispatch->endpoints, i);
    }
}

/* A queued task may remember an endpoint that is about to be dropped. */
static void
forget_avoided (dispatch_t *dispatch)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, dispatch->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((entry_t *) value)->avoid = NULL;
}

static void
sum_up_list (dispatch_t *dispatch)
{
  dispatch->fleet = (outlier_fleet_t){ 0 };
  dispatch->listed_slots = 0;
  dispatch->simple_cores = INT32_MAX;
  dispatch->simple_memory_mb = INT64_MAX;
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      const endpoint_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (!takes_work (endpoint))
        continue;
      dispatch->fleet.members++;
      dispatch->fleet.ejected += endpoint->outlier.state == OUTLIER_OUT;
      dispatch->listed_slots += endpoint->slots;
      int32_t slots = MAX (endpoint->slots, 1);
      bool one_connection_each = endpoint->connections >= slots;
      dispatch->simple_cores =
          MIN (dispatch->simple_cores, one_connection_each ? endpoint->cores / slots : 0);
      dispatch->simple_memory_mb = MIN (dispatch->simple_memory_mb, endpoint->memory_mb / slots);
    }
}

void
dispatch_set_endpoints (dispatch_t *dispatch,
                        const dispatch_endpoint_t *endpoints,
                        size_t count,
                        int64_t now_ms)
{
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    ((endpoint_t *) g_ptr_array_index (dispatch->endpoints, i))->listed = false;
  for (size_t i = 0; i < count; i++)
    take_row (endpoint_get (dispatch, endpoints[i].id), &endpoints[i]);
  dispatch->list_number++;
  forget_avoided (dispatch);
  drop_unlisted (dispatch);
  sum_up_list (dispatch);
  open_add_all (dispatch);
  dispatch->refreshed_at_ms = now_ms - REFRESH_EVERY_MS;
}

/* Counts the slots that this host holds. */
void
refresh_slots (dispatch_t *dispatch, int64_t now_ms)
{
  if (now_ms - dispatch->refreshed_at_ms < REFRESH_EVERY_MS)
    return;
  dispatch->refreshed_at_ms = now_ms;
  dispatch->held_slots = 0;
  dispatch->free_slots = 0;
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      const endpoint_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (!takes_work (endpoint) || endpoint->outlier.state == OUTLIER_OUT
          || endpoint_is_silent (endpoint, now_ms) || !endpoint_is_reachable (endpoint, now_ms))
        continue;
      int32_t left = slots_left (dispatch, endpoint, now_ms);
      dispatch->free_slots += MAX (left, 0);
      dispatch->held_slots += MAX (left, 0) + endpoint->units;
    }
}

/* Queues. */

static void
enqueue (dispatch_t *dispatch, entry_t *entry, int64_t now_ms)
{
  double best_ms = best_expected_ms (dispatch, entry->kind, now_ms);
  bool known = timing_is_fresh (&entry->kind->all, now_ms);

  entry->work_ms = kind_mean_ms (entry->kind) * entry->units;
  backlog_advance (&entry->plan->backlog, now_ms);
  entry->bucket =
      backlog_add (&entry->plan->backlog, start_by_ms (entry->kind, entry->deadline_at_ms, now_ms),
                   entry->work_ms);
  entry->by_latest_start.key =
      entry->deadline_at_ms - (known ? (int64_t) (HOPELESS_PART * best_ms) : 0);
  entry->by_latest_start.order = entry->ticket;
  heap_push (&dispatch->by_latest_start, &entry->by_latest_start);
  fair_add (dispatch->fair, entry->plan->queue, &entry->item, entry->deadline_at_ms);
}

static void
release_hold (dispatch_t *dispatch, const entry_t *entry)
{
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      endpoint_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (endpoint->held_for == entry->ticket)
        endpoint->held_for = 0;
    }
}

/* Takes ENTRY out of whatever it waits in; a start has charged its plan. */
static void
leave_queues (dispatch_t *dispatch, entry_t *entry)
{
  if (entry->large)
    {
      heap_remove (&dispatch->large, &entry->item.by_deadline);
      release_hold (dispatch, entry);
    }
  else
    fair_remove (dispatch->fair, &entry->item);
  entry->large = false;
  heap_remove (&dispatch->by_latest_start, &entry->by_latest_start);
  backlog_remove (&entry->plan->backlog, entry->bucket, entry->work_ms);
}

static void
on_add (dispatch_t *dispatch, const dispatch_event_t *event, int64_t now_ms)
{
  const dispatch_task_t *task = event->task;
  entry_t *entry = g_new0 (entry_t, 1);

  entry->ticket = event->ticket;
  entry->plan = plan_get (dispatch, task->plan);
  entry->kind = kind_get (dispatch, task->kind);
  entry->cores = task->cores;
  entry->memory_mb = task->memory_mb;
  entry->deadline_at_ms = task->deadline_at_ms;
  entry->repeatable = task->repeatable;
  entry->units = MAX (least_units (dispatch, task->cores, task->memory_mb), 1);
  g_hash_table_insert (dispatch->entries, &entry->ticket, entry);
  enqueue (dispatch, entry, now_ms);
}

static void
on_remove (dispatch_t *dispatch, const dispatch_event_t *event)
{
  entry_t *entry = g_hash_table_lookup (dispatch->entries, &event->ticket);

  if (entry == NULL || entry->endpoint != NULL)
    return;
  leave_queues (dispatch, entry);
  g_hash_table_remove (dispatch->entries, &entry->ticket);
}

/* Starts. */

typedef enum
{
  START_DONE,
  START_AT_RUNNING_MAX,
  START_AT_STARTS_MAX,
  START_NO_ENDPOINT,
  START_SMALL,
  START_TOO_LATE
} start_result_t;

static const char *
plan_name (const entry_t *entry)
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

static void
give (dispatch_t *dispatch,
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
  const char *plan = plan_name (entry);
  const char *id = choice->endpoint->id;

  if (take (dispatch, DISPATCH_RUNNING, plan, 1, entry, now_ms) != 0)
    return START_AT_RUNNING_MAX;
  if (take (dispatch, DISPATCH_SLOTS, id, choice->units, entry, now_ms) != 0)
    {
      give (dispatch, DISPATCH_RUNNING, plan, 1, entry, now_ms);
      return START_NO_ENDPOINT;
    }
  if (take (dispatch, DISPATCH_STARTS, plan, 1, entry, now_ms) == 0)
    return START_DONE;
  give (dispatch, DISPATCH_SLOTS, id, choice->units, entry, now_ms);
  give (dispatch, DISPATCH_RUNNING, plan, 1, entry, now_ms);
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
  leave_queues (dispatch, entry);
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

  leave_queues (dispatch, entry);
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

  if (dispatch->limits->ops->left (dispatch->limits, DISPATCH_RUNNING, plan_name (entry), now_ms)
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
      if (!takes_work (endpoint) || endpoint->outlier.state == OUTLIER_OUT
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
  release_hold (dispatch, entry);
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

static void
unpark_starts (fair_plan_t *queue, void *data)
{
  dispatch_t *dispatch = data;

  roll_second (plan_get (dispatch, fair_plan_name (queue)), dispatch->refreshed_at_ms);
  fair_unpark (dispatch->fair, queue, FAIR_AT_STARTS_MAX);
}

static void
unpark_all (fair_plan_t *plan, void *data)
{
  fair_unpark (((dispatch_t *) data)->fair, plan, FAIR_AT_RUNNING_MAX);
  fair_unpark (((dispatch_t *) data)->fair, plan, FAIR_AT_STARTS_MAX);
}

static void
on_run (dispatch_t *dispatch, int64_t now_ms, GArray *actions)
{
  if (now_ms - dispatch->refreshed_at_ms >= REFRESH_EVERY_MS)
    {
      refresh_slots (dispatch, now_ms);
      open_add_all (dispatch);
      fair_each_plan (dispatch->fair, unpark_starts, dispatch);
    }
  if (dispatch->options.refuse)
    give_up_late (dispatch, now_ms, actions);
  start_round (dispatch, now_ms, actions);
}

/* Ends. */

static bool
is_failure (dispatch_outcome_t outcome)
{
  return outcome != DISPATCH_DONE;
}

/* What the end says about the endpoint. */
static void
judge (dispatch_t *dispatch, entry_t *entry, const dispatch_event_t *event, int64_t now_ms)
{
  endpoint_t *endpoint = entry->endpoint;
  outlier_t *outlier = &endpoint->outlier;

  if (event->outcome == DISPATCH_ABANDONED)
    {
      outlier->probing &= !entry->probe;
      return;
    }
  if (event->outcome == DISPATCH_NOT_STARTED)
    {
      reach_failed (&endpoint->reach, now_ms);
      outlier->probing &= !entry->probe;
      return;
    }
  if (event->outcome == DISPATCH_DONE || event->outcome == DISPATCH_FAILED)
    endpoint_answered (endpoint, now_ms);
  endpoint_measured (endpoint, entry->kind, event->outcome, (double) event->elapsed_us / 1000,
                     now_ms);
  if (outlier->state != OUTLIER_IN && !entry->probe)
    return;
  bool was_doubted = outlier_is_doubted (outlier, now_ms);
  outlier_outcome (outlier, &dispatch->fleet, &entry->kind->base, is_failure (event->outcome),
                   now_ms);
  if (!was_doubted && outlier_is_doubted (outlier, now_ms))
    dispatch->list_number++;
}

static void
return_units (dispatch_t *dispatch, entry_t *entry, int64_t now_ms)
{
  endpoint_t *endpoint = entry->endpoint;

  give (dispatch, DISPATCH_SLOTS, endpoint->id, entry->units, entry, now_ms);
  give (dispatch, DISPATCH_RUNNING, plan_name (entry), 1, entry, now_ms);
  fair_unpark (dispatch->fair, entry->plan->queue, FAIR_AT_RUNNING_MAX);
  endpoint_ended (endpoint, entry);
  entry->plan->running--;
  dispatch->running--;
  open_add (dispatch, endpoint);
}

static void
on_ended (dispatch_t *dispatch, const dispatch_event_t *event, int64_t now_ms)
{
  entry_t *entry = g_hash_table_lookup (dispatch->entries, &event->ticket);

  if (entry == NULL || entry->endpoint == NULL)
    return;
  return_units (dispatch, entry, now_ms);
  judge (dispatch, entry, event, now_ms);
  bool written = event->outcome != DISPATCH_NOT_STARTED && event->outcome != DISPATCH_ABANDONED;
  int64_t used_us = written ? event->elapsed_us * entry->units : 0;
  fair_charge (dispatch->fair, entry->plan->queue, used_us - entry->cost_us);
  if (event->outcome != DISPATCH_NOT_STARTED)
    {
      g_hash_table_remove (dispatch->entries, &entry->ticket);
      return;
    }
  entry->avoid = entry->endpoint;
  entry->endpoint = NULL;
  entry->probe = false;
  enqueue (dispatch, entry, now_ms);
}

void
dispatch_step (dispatch_t *dispatch, const dispatch_event_t *event, int64_t now_ms, GArray *actions)
{
  switch (event->kind)
    {
    case DISPATCH_ADD:
      on_add (dispatch, event, now_ms);
      break;
    case DISPATCH_REMOVE:
      on_remove (dispatch, event);
      break;
    case DISPATCH_ENDED:
      on_ended (dispatch, event, now_ms);
      break;
    case DISPATCH_GROWN:
      open_add_all (dispatch);
      fair_each_plan (dispatch->fair, unpark_all, dispatch);
      break;
    case DISPATCH_RUN:
      on_run (dispatch, now_ms, actions);
      break;
    }
}
