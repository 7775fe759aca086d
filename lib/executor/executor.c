/* executor.c -- tables of batches and tasks, and the queue
 *
 * A task is in the queue exactly while it is TASK_WAITING, and in the set of maybe running tasks
 * exactly while it is TASK_MAYBE_RUNNING.  Otherwise it is among the runs of one endpoint, where
 * its resources stay allocated until its run is certainly over.  A cancelled task whose run is not
 * over stays as a task without a batch.
 */
#include "executor/table.h"

#include <string.h>

/* How long the ends of a batch are kept to be sent again on request. */
#define CLOSED_RETENTION_MS 1500
#define STRING_CHUNK_BYTES 4096

/* --- allocation --- */

char *
batch_key (const char *coordinator, uint64_t number)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT, coordinator, number);
}

static void
free_task (void *data)
{
  task_t *task = data;

  g_free (task->name);
  g_free (task->avoid_endpoint_id);
  g_free (task);
}

static void
free_batch (void *data)
{
  batch_t *batch = data;

  g_free (batch->job);
  g_free (batch->spec);
  g_free (batch->service);
  g_free (batch->required_label);
  g_free (batch->preferred_rack);
  g_ptr_array_unref (batch->tasks);
  g_array_unref (batch->sent_ends);
  g_free (batch);
}

static void
free_call (void *data)
{
  call_t *call = data;

  g_free (call->endpoint);
  g_free (call->task);
  g_free (call);
}

static void
free_machine_kind (void *data)
{
  machine_kind_t *kind = data;

  g_free (kind->kind);
  g_free (kind);
}

executor_t *
executor_new (const executor_options_t *options)
{
  executor_t *executor = g_new0 (executor_t, 1);

  executor->options = *options;
  order_window_init (&executor->order_window);
  executor->endpoints =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, executor_endpoint_free);
  executor->tasks = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_task);
  executor->batches = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_batch);
  executor->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_call);
  executor->coordinators_heard = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  executor->kinds = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_machine_kind);
  executor->estimates = estimates_new ();
  executor->done_tasks = done_tasks_new (DONE_RETENTION_MS, DONE_RETENTION_MIN_MS);
  executor->reported_tasks = done_tasks_new (REPORTED_RETENTION_MS, 0);
  if (options->crashes == NULL)
    executor->own_crashes = crash_history_new ();
  executor->crashes = options->crashes != NULL ? options->crashes : executor->own_crashes;
  executor->new_losses = g_array_new (FALSE, FALSE, sizeof (crash_loss_t));
  g_array_set_clear_func (executor->new_losses, crash_loss_clear);
  executor->load_totals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  executor->maybe_running = g_hash_table_new (g_str_hash, g_str_equal);
  executor->action_strings = g_string_chunk_new (STRING_CHUNK_BYTES);
  executor->closed_batches = g_ptr_array_new ();
  executor->resends = g_array_new (FALSE, FALSE, sizeof (resend_t));
  executor->usable = g_ptr_array_new ();
  executor->with_free_cores = g_ptr_array_new ();
  g_queue_init (&executor->queue);
  return executor;
}

void
executor_free (executor_t *executor)
{
  if (executor == NULL)
    return;
  g_hash_table_unref (executor->load_totals);
  g_hash_table_unref (executor->maybe_running);
  g_string_chunk_free (executor->action_strings);
  g_ptr_array_unref (executor->closed_batches);
  g_array_unref (executor->resends);
  g_ptr_array_unref (executor->usable);
  g_ptr_array_unref (executor->with_free_cores);
  g_hash_table_unref (executor->calls);
  g_hash_table_unref (executor->batches);
  g_hash_table_unref (executor->tasks);
  g_hash_table_unref (executor->endpoints);
  g_hash_table_unref (executor->kinds);
  g_hash_table_unref (executor->coordinators_heard);
  estimates_free (executor->estimates);
  done_tasks_free (executor->done_tasks);
  done_tasks_free (executor->reported_tasks);
  if (executor->own_crashes != NULL)
    crash_history_free (executor->own_crashes);
  g_array_unref (executor->new_losses);
  g_free (executor);
}

void
executor_set_options (executor_t *executor, const executor_options_t *options)
{
  executor->options = *options;
}

/* --- the queue --- */

static bool
precedes_in_queue (const task_t *a, const task_t *b)
{
  if (a->batch->priority != b->batch->priority)
    return a->batch->priority < b->batch->priority;
  if (a->misses_objective != b->misses_objective)
    return b->misses_objective;
  return a->batch->target.objective_at_ms < b->batch->target.objective_at_ms;
}

void
task_enqueue (executor_t *executor, task_t *task)
{
  GList *link = executor->queue.tail;

  while (link != NULL && precedes_in_queue (task, link->data))
    link = link->prev;
  task->queue_link.data = task;
  if (link == NULL)
    g_queue_push_head_link (&executor->queue, &task->queue_link);
  else
    g_queue_insert_after_link (&executor->queue, link, &task->queue_link);
  const batch_t *batch = task->batch;
  load_add (executor->load_totals, batch->service, batch->priority,
            load_core_ms (&task->need, batch->target.work_ms), task->misses_objective,
            &task->load_entry);
}

void
task_dequeue (executor_t *executor, task_t *task)
{
  g_queue_unlink (&executor->queue, &task->queue_link);
  load_remove (&task->load_entry);
}

/* --- tasks --- */

void
task_detach (task_t *task)
{
  endpoint_t *endpoint = task->endpoint;

  if (endpoint == NULL)
    return;
  if (task->order_open)
    open_orders_add (endpoint->open_orders, task->name, task->attempt, task->start_serial,
                     task->state == TASK_STARTING, task->start_sent_at_ms + ORDER_DELAY_MAX_MS);
  task->order_open = false;
  task->order_open_until_ms = 0;
  g_ptr_array_remove_fast (endpoint->runs, task);
  resources_add (&endpoint->used, &task->need, -1);
  task->endpoint = NULL;
}

void
task_attach (task_t *task, endpoint_t *endpoint)
{
  task->endpoint = endpoint;
  g_ptr_array_add (endpoint->runs, task);
  resources_add (&endpoint->used, &task->need, 1);
}

void
batch_remove (executor_t *executor, batch_t *batch)
{
  char *key = batch_key (batch->coordinator, batch->number);

  g_ptr_array_remove_fast (executor->closed_batches, batch);
  g_hash_table_remove (executor->batches, key);
  g_free (key);
}

void
task_leave_batch (executor_t *executor, task_t *task)
{
  batch_t *batch = task->batch;

  task->batch = NULL;
  if (batch == NULL)
    return;
  g_ptr_array_remove_fast (batch->tasks, task);
  if (batch->tasks->len > 0 || batch->closed)
    return;
  if (batch->sent_ends->len == 0)
    {
      batch_remove (executor, batch);
      return;
    }
  batch->closed = true;
  g_ptr_array_add (executor->closed_batches, batch);
}

void
remove_closed_batches (executor_t *executor, int64_t now_ms)
{
  for (guint i = executor->closed_batches->len; i-- > 0;)
    {
      batch_t *batch = executor->closed_batches->pdata[i];
      if (batch->closed_at_ms == 0)
        batch->closed_at_ms = now_ms;
      else if (now_ms - batch->closed_at_ms > CLOSED_RETENTION_MS)
        batch_remove (executor, batch);
    }
}

void
resend_ends (executor_t *executor, GArray *actions)
{
  for (guint i = 0; i < executor->resends->len; i++)
    {
      const resend_t *resend = &g_array_index (executor->resends, resend_t, i);
      executor_action_t *action = action_append (actions, resend->ended.outcome);
      action->coordinator = resend->coordinator;
      action->batch = resend->batch;
      action->index = resend->ended.index;
      action->failure = resend->ended.failure;
      action->reason = "sent again because the batch was submitted again";
    }
  g_array_set_size (executor->resends, 0);
}

void
task_remove (executor_t *executor, task_t *task)
{
  if (task->state == TASK_WAITING)
    task_dequeue (executor, task);
  if (task->state == TASK_MAYBE_RUNNING)
    g_hash_table_remove (executor->maybe_running, task->name);
  task_detach (task);
  task_leave_batch (executor, task);
  g_hash_table_remove (executor->tasks, task->name);
}

/* True if another owner may have runs of tasks that are also known here, and polls may not have
 * listed all of them. */
static bool
is_contested (const executor_t *executor, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const endpoint_t *endpoint = value;
      if (endpoint->foreign_runs->len > 0
          || (!endpoint->runs_known && now_ms < executor->contested_until_ms))
        return true;
    }
  return false;
}

/* All endpoints are polled again, because another owner may have started runs there since the last
 * poll.  Endpoints without runs would not be polled otherwise. */
void
task_set_maybe_running (executor_t *executor, task_t *task, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  task->state = TASK_MAYBE_RUNNING;
  task->maybe_running_since_ms = now_ms;
  g_hash_table_insert (executor->maybe_running, task->name, task);
  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      endpoint_t *endpoint = value;
      if (endpoint->poll_in_flight && endpoint->poll_sent_at_ms < now_ms)
        {
          endpoint->poll_in_flight = false;
          endpoint->poll_serial = 0;
        }
      if (endpoint->unanswered_calls == 0)
        endpoint->poll_due_at_ms = MIN (endpoint->poll_due_at_ms, now_ms);
    }
}

void
task_requeue (executor_t *executor, task_t *task, int64_t now_ms)
{
  bool was_maybe_running = task->state == TASK_MAYBE_RUNNING;

  task_detach (task);
  if (was_maybe_running)
    g_hash_table_remove (executor->maybe_running, task->name);
  if (task->batch == NULL)
    {
      g_hash_table_remove (executor->tasks, task->name);
      return;
    }
  if (!was_maybe_running && is_contested (executor, now_ms))
    {
      task_set_maybe_running (executor, task, now_ms);
      return;
    }
  task->state = TASK_WAITING;
  task->queued_at_ms = now_ms;
  task_enqueue (executor, task);
}

executor_action_t *
action_append (GArray *actions, executor_action_kind_t kind)
{
  executor_action_t action = { .kind = kind };

  g_array_append_val (actions, action);
  return &g_array_index (actions, executor_action_t, actions->len - 1);
}

executor_action_t *
notify_coordinator (executor_t *executor,
                    GArray *actions,
                    executor_action_kind_t kind,
                    const task_t *task,
                    const char *reason)
{
  if (task->batch == NULL)
    return NULL;
  const task_outcome_t ended = { task->index, kind, { 0 } };
  g_array_append_val (task->batch->sent_ends, ended);
  executor_action_t *action = action_append (actions, kind);
  action->coordinator = task->batch->coordinator;
  action->batch = task->batch->number;
  action->task = g_string_chunk_insert (executor->action_strings, task->name);
  action->index = task->index;
  action->attempt = task->attempt;
  action->reason = reason;
  return action;
}

executor_action_t *
log_event (executor_t *executor,
           GArray *actions,
           executor_log_event_t kind,
           const endpoint_t *endpoint,
           const task_t *task,
           int64_t now_ms)
{
  executor_action_t *action = action_append (actions, EXECUTOR_LOG);

  action->log_event = kind;
  action->endpoint = g_string_chunk_insert (executor->action_strings, endpoint->id);
  action->count = (int32_t) endpoint->runs->len;
  if (task == NULL)
    return action;
  action->task = g_string_chunk_insert (executor->action_strings, task->name);
  action->attempt = task->attempt;
  action->elapsed_ms = now_ms - task->start_sent_at_ms;
  action->expected_ms = task->expected_ms;
  action->progress_percent = task->progress_percent;
  if (task->batch != NULL)
    action->coordinator =
        g_string_chunk_insert (executor->action_strings, task->batch->coordinator);
  return action;
}

void
action_strings_clear (executor_t *executor)
{
  g_string_chunk_clear (executor->action_strings);
}

void
task_stop_anew (task_t *task, stop_reason_t reason, int64_t now_ms)
{
  task->state = TASK_STOPPING;
  task->stop_reason = reason;
  task->stop_coordinator = task->batch != NULL ? task->batch->coordinator : NULL;
  task->stop_requested_at_ms = now_ms;
  task->stop_sent_at_ms = 0;
  task->stop_confirmed = false;
}

void
task_request_stop (task_t *task, stop_reason_t reason, int64_t now_ms)
{
  if (task->state != TASK_STOPPING)
    task_stop_anew (task, reason, now_ms);
}

/* --- reports --- */

/* Endpoints whose speeds differ by less than this factor share one offer. */
#define SAME_SPEED_FACTOR 1.15

static executor_offer_t *
offer_for (GArray *offers, const endpoint_t *endpoint, double ratio)
{
  for (guint i = 0; i < offers->len; i++)
    {
      executor_offer_t *offer = &g_array_index (offers, executor_offer_t, i);
      if (strcmp (offer->service, endpoint->service) == 0
          && ratio < offer->duration_ratio * SAME_SPEED_FACTOR
          && ratio > offer->duration_ratio / SAME_SPEED_FACTOR)
        return offer;
    }
  executor_offer_t offer = { .service = endpoint->service, .duration_ratio = ratio };
  g_array_append_val (offers, offer);
  return &g_array_index (offers, executor_offer_t, offers->len - 1);
}

/* Number of slots that new tasks can take without waiting for the window of start orders. */
static int32_t
slots_of_window (const executor_t *executor, int64_t now_ms)
{
  bool limiting = order_window_is_limiting (&executor->order_window, now_ms);

  return limiting && executor->queue.length > 0
             ? 0
             : order_window_room (&executor->order_window, now_ms);
}

void
executor_offers (const executor_t *executor,
                 const resources_t *need,
                 int64_t now_ms,
                 GArray *offers)
{
  static const resources_t no_resources;
  int32_t room = slots_of_window (executor, now_ms);
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const endpoint_t *endpoint = value;
      if (!executor->drained && !placement_is_usable (endpoint, now_ms))
        continue;
      executor_offer_t *offer = offer_for (offers, endpoint, placement_ratio (endpoint));
      if (executor->drained)
        continue;
      if (!placement_is_reserved (endpoint))
        {
          int32_t slots = capacity_slots (&endpoint->capacity, &endpoint->used, need, now_ms);
          offer->slots_free += MIN (slots, room);
          room -= MIN (slots, room);
        }
      offer->slots_total += resources_slots (&endpoint->capacity.reported, &no_resources, need);
    }
}

executor_totals_t
executor_totals (const executor_t *executor, int64_t now_ms)
{
  executor_totals_t totals = { .usual_need = executor->usual_need };
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const endpoint_t *endpoint = value;
      totals.endpoints++;
      totals.endpoints_ready += !executor->drained && placement_is_usable (endpoint, now_ms);
      totals.running += (int32_t) endpoint->runs->len;
    }
  totals.waiting = (int32_t) executor->queue.length;
  return totals;
}

int64_t
executor_own_delay_ms (const executor_t *executor, int64_t now_ms)
{
  return order_window_delay_ms (&executor->order_window, now_ms);
}

bool
executor_is_congested (const executor_t *executor, int64_t now_ms)
{
  return order_window_is_limiting (&executor->order_window, now_ms);
}
