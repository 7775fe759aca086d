/* dispatch.c -- creates and frees dispatch_t, keeps its queues and handles its events */
#include "dispatch/state.h"

/* Fraction of the shortest expected time that must still fit before the deadline.  A
 * queued task is given up only when even that does not fit. */
#define GIVE_UP_FRACTION 0.5

dispatch_t *
dispatch_new (const dispatch_options_t *options, dispatch_limits_t *limits)
{
  dispatch_t *dispatch = g_new0 (dispatch_t, 1);

  dispatch->options = *options;
  dispatch->limits = limits;
  dispatch->random = g_rand_new_with_seed (options->seed);
  dispatch->fair_queue = fair_queue_new ();
  dispatch->plans = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  dispatch->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  dispatch->endpoints = g_ptr_array_new_with_free_func (endpoint_free);
  dispatch->endpoints_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  dispatch->candidates = g_ptr_array_new ();
  dispatch->kinds = g_hash_table_new (g_str_hash, g_str_equal);
  dispatch->kinds_by_index = g_ptr_array_new ();
  dispatch->refreshed_at_ms = INT64_MIN / 2;
  return dispatch;
}

static void
kind_free (void *data, void *user_data)
{
  (void) user_data;
  kind_stats_t *kind = data;

  g_free (kind->name);
  if (kind->ranking != NULL)
    g_array_unref (kind->ranking);
  g_free (kind);
}

void
dispatch_free (dispatch_t *dispatch)
{
  g_rand_free (dispatch->random);
  fair_queue_free (dispatch->fair_queue);
  g_hash_table_destroy (dispatch->plans);
  g_hash_table_destroy (dispatch->entries);
  g_hash_table_destroy (dispatch->endpoints_by_id);
  g_ptr_array_unref (dispatch->endpoints);
  g_ptr_array_unref (dispatch->candidates);
  g_hash_table_destroy (dispatch->kinds);
  g_ptr_array_foreach (dispatch->kinds_by_index, kind_free, NULL);
  g_ptr_array_unref (dispatch->kinds_by_index);
  heap_clear (&dispatch->by_latest_start);
  heap_clear (&dispatch->large_tasks);
  g_free (dispatch);
}

plan_state_t *
plan_get (dispatch_t *dispatch, const char *name)
{
  fair_queue_plan_t *queue = fair_queue_get_plan (dispatch->fair_queue, name);
  plan_state_t *plan = g_hash_table_lookup (dispatch->plans, queue);

  if (plan != NULL)
    return plan;
  plan = g_new0 (plan_state_t, 1);
  plan->queue = queue;
  g_hash_table_insert (dispatch->plans, queue, plan);
  return plan;
}

kind_stats_t *
kind_get (dispatch_t *dispatch, const char *name)
{
  kind_stats_t *kind = g_hash_table_lookup (dispatch->kinds, name);

  if (kind != NULL)
    return kind;
  if (dispatch->kinds_by_index->len == KINDS_MAX)
    return g_ptr_array_index (dispatch->kinds_by_index, KINDS_MAX - 1);
  kind = g_new0 (kind_stats_t, 1);
  kind->name = g_strdup (name);
  kind->index = dispatch->kinds_by_index->len;
  g_hash_table_insert (dispatch->kinds, kind->name, kind);
  g_ptr_array_add (dispatch->kinds_by_index, kind);
  return kind;
}

void
dispatch_set_weight (dispatch_t *dispatch, const char *plan, int32_t weight)
{
  fair_queue_set_weight (dispatch->fair_queue, fair_queue_get_plan (dispatch->fair_queue, plan),
                         weight);
}

void
dispatch_set_local_only (dispatch_t *dispatch, bool alone)
{
  dispatch->local_only = alone;
}

void
entry_enqueue (dispatch_t *dispatch, task_entry_t *entry, int64_t now_ms)
{
  double best_ms = best_expected_ms (dispatch, entry->kind, now_ms);
  bool measured = service_time_is_fresh (&entry->kind->service_time, now_ms);

  entry->backlog_work_ms = kind_mean_ms (entry->kind) * entry->slots;
  backlog_advance (&entry->plan->backlog, now_ms);
  entry->backlog_bucket = backlog_add (&entry->plan->backlog,
                                       latest_start_ms (entry->kind, entry->deadline_at_ms, now_ms),
                                       entry->backlog_work_ms);
  entry->by_latest_start.key =
      entry->deadline_at_ms - (measured ? (int64_t) (GIVE_UP_FRACTION * best_ms) : 0);
  entry->by_latest_start.tie_break = entry->ticket;
  heap_push (&dispatch->by_latest_start, &entry->by_latest_start);
  fair_queue_add (dispatch->fair_queue, entry->plan->queue, &entry->queue_item,
                  entry->deadline_at_ms);
}

void
entry_release_endpoint (dispatch_t *dispatch, const task_entry_t *entry)
{
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      endpoint_state_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (endpoint->reserved_for_ticket == entry->ticket)
        endpoint->reserved_for_ticket = 0;
    }
}

/* If ENTRY is being started, its plan has been charged already. */
void
entry_dequeue (dispatch_t *dispatch, task_entry_t *entry)
{
  if (entry->is_large)
    {
      heap_remove (&dispatch->large_tasks, &entry->queue_item.by_deadline);
      entry_release_endpoint (dispatch, entry);
    }
  else
    fair_queue_remove (dispatch->fair_queue, &entry->queue_item);
  entry->is_large = false;
  heap_remove (&dispatch->by_latest_start, &entry->by_latest_start);
  backlog_remove (&entry->plan->backlog, entry->backlog_bucket, entry->backlog_work_ms);
}

static void
on_add (dispatch_t *dispatch, const dispatch_event_t *event, int64_t now_ms)
{
  const dispatch_task_t *task = event->task;
  task_entry_t *entry = g_new0 (task_entry_t, 1);

  entry->ticket = event->ticket;
  entry->plan = plan_get (dispatch, task->plan);
  entry->kind = kind_get (dispatch, task->kind);
  entry->cores = task->cores;
  entry->memory_mb = task->memory_mb;
  entry->deadline_at_ms = task->deadline_at_ms;
  entry->repeatable = task->repeatable;
  entry->slots = MAX (min_slots_needed (dispatch, task->cores, task->memory_mb), 1);
  g_hash_table_insert (dispatch->entries, &entry->ticket, entry);
  entry_enqueue (dispatch, entry, now_ms);
}

static void
on_remove (dispatch_t *dispatch, const dispatch_event_t *event)
{
  task_entry_t *entry = g_hash_table_lookup (dispatch->entries, &event->ticket);

  if (entry == NULL || entry->endpoint != NULL)
    return;
  entry_dequeue (dispatch, entry);
  g_hash_table_remove (dispatch->entries, &entry->ticket);
}

static void
unblock_limits (fair_queue_plan_t *plan, void *data)
{
  fair_queue_unblock (((dispatch_t *) data)->fair_queue, plan, FAIR_QUEUE_AT_RUNNING_MAX);
  fair_queue_unblock (((dispatch_t *) data)->fair_queue, plan, FAIR_QUEUE_AT_STARTS_MAX);
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
    case DISPATCH_LIMITS_RAISED:
      candidate_set_add_all (dispatch);
      fair_queue_each_plan (dispatch->fair_queue, unblock_limits, dispatch);
      break;
    case DISPATCH_RUN:
      round_run (dispatch, now_ms, actions);
      break;
    }
}
