/* dispatch.c -- the state of dispatch_t, its queues and its events */
#include "dispatch/state.h"

/* A task is given up only when half of its best expected time is too long. */
#define HOPELESS_PART 0.5

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

void
entry_enqueue (dispatch_t *dispatch, entry_t *entry, int64_t now_ms)
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

void
entry_release_hold (dispatch_t *dispatch, const entry_t *entry)
{
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      endpoint_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (endpoint->held_for == entry->ticket)
        endpoint->held_for = 0;
    }
}

/* Takes ENTRY out of whatever it waits in; a start has charged its plan. */
void
entry_leave (dispatch_t *dispatch, entry_t *entry)
{
  if (entry->large)
    {
      heap_remove (&dispatch->large, &entry->item.by_deadline);
      entry_release_hold (dispatch, entry);
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
  entry_enqueue (dispatch, entry, now_ms);
}

static void
on_remove (dispatch_t *dispatch, const dispatch_event_t *event)
{
  entry_t *entry = g_hash_table_lookup (dispatch->entries, &event->ticket);

  if (entry == NULL || entry->endpoint != NULL)
    return;
  entry_leave (dispatch, entry);
  g_hash_table_remove (dispatch->entries, &entry->ticket);
}

static void
unpark_all (fair_plan_t *plan, void *data)
{
  fair_unpark (((dispatch_t *) data)->fair, plan, FAIR_AT_RUNNING_MAX);
  fair_unpark (((dispatch_t *) data)->fair, plan, FAIR_AT_STARTS_MAX);
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
      entry_ended (dispatch, event, now_ms);
      break;
    case DISPATCH_GROWN:
      open_add_all (dispatch);
      fair_each_plan (dispatch->fair, unpark_all, dispatch);
      break;
    case DISPATCH_RUN:
      round_run (dispatch, now_ms, actions);
      break;
    }
}
