/* batch.c -- submission, cancellation and release of batches
 *
 * A task that is submitted again in another batch keeps its run and gets the coordinator of the
 * new batch.  A cancelled batch is removed at once; those of its tasks whose run is not over stay
 * without a batch.
 */
#include "executor/leases.h"
#include "executor/table.h"

#include <string.h>

/* A heartbeat may be under way for this long, and a resubmitted job starts no sooner than it
 * arrives. */
#define RESUBMIT_MARGIN_MS 50
/* A cancellation may be under way for this long after its job was answered. */
#define CANCEL_DELAY_MAX_MS 100

static char *
task_name (const char *job, int32_t step, int32_t index)
{
  return g_strdup_printf ("%s.0.%d.%d", job, (int) step, (int) index);
}

/* The objective depends on the actual work of the job.  The corrected estimate predicts it better
 * than the caller's, so the objective is shifted by the difference. */
static placement_target_t
target_of (const executor_t *executor, const executor_batch_t *info)
{
  int64_t caller_estimate_ms = MAX (info->estimate_ms, 1);
  int64_t work_ms =
      estimates_correct (executor->estimates, info->service, info->priority, caller_estimate_ms);

  return (placement_target_t){
    .work_ms = work_ms,
    .objective_at_ms = info->objective_at_ms
                       + (int64_t) (info->stretch_factor * (double) (work_ms - caller_estimate_ms)),
    .stretch_factor = info->stretch_factor,
    .deadline_at_ms = info->deadline_at_ms,
  };
}

static batch_t *
batch_new (const executor_t *executor, const executor_batch_t *info)
{
  batch_t *batch = g_new0 (batch_t, 1);

  /* Interned, since actions refer to the coordinator after the batch may have been freed. */
  batch->coordinator = (char *) g_intern_string (info->coordinator);
  batch->number = info->batch;
  batch->job = g_strdup (info->job);
  batch->step = info->step;
  batch->spec = g_strdup (info->spec);
  batch->service = g_strdup (info->service);
  batch->priority = info->priority;
  batch->need = info->need;
  batch->caller_estimate_ms = MAX (info->estimate_ms, 1);
  batch->target = target_of (executor, info);
  batch->start_by_ms = info->start_by_ms;
  batch->attempts_max = MAX (info->attempts_max, 1);
  batch->attempt_base = info->attempt_base;
  batch->required_label = g_strdup (info->required_label != NULL ? info->required_label : "");
  batch->preferred_rack = g_strdup (info->preferred_rack != NULL ? info->preferred_rack : "");
  batch->tasks_per_endpoint_max = info->tasks_per_endpoint_max;
  batch->maybe_running = info->maybe_running || info->token != executor->token;
  batch->ever_started = batch->maybe_running;
  batch->prior_runs_end_by_ms = info->prior_runs_end_by_ms;
  batch->tasks = g_ptr_array_new ();
  batch->sent_ends = g_array_new (FALSE, FALSE, sizeof (task_outcome_t));
  return batch;
}

/* Moves TASK, which another batch has submitted before, to BATCH.  If its run is being stopped,
 * the task starts again when the run is over.  Its attempt number stays, because it identifies the
 * run. */
static void
move_to_batch (executor_t *executor, task_t *task, batch_t *batch)
{
  bool is_waiting = task->state == TASK_WAITING;

  if (is_waiting)
    task_dequeue (executor, task);
  task_leave_batch (executor, task);
  task->batch = batch;
  task->lease_limit_ms = 0;
  batch->ever_started |= task->ever_started;
  g_ptr_array_add (batch->tasks, task);
  if (is_waiting)
    task_enqueue (executor, task);
}

/* The coordinator does not know the state of BATCH: sends the ends of its tasks again. */
static void
queue_resends (executor_t *executor, const batch_t *batch, const executor_batch_t *info)
{
  for (size_t i = 0; i < info->count; i++)
    for (guint k = 0; k < batch->sent_ends->len; k++)
      {
        const task_outcome_t *ended = &g_array_index (batch->sent_ends, task_outcome_t, k);
        resend_t resend = { batch->coordinator, batch->number, *ended };
        if (ended->index == info->indexes[i])
          g_array_append_val (executor->resends, resend);
      }
}

void
executor_submit (executor_t *executor, const executor_batch_t *info, int64_t now_ms)
{
  char *key = batch_key (info->coordinator, info->batch);
  const batch_t *known = g_hash_table_lookup (executor->batches, key);

  if (known != NULL)
    queue_resends (executor, known, info);
  if (info->count == 0 || known != NULL)
    {
      g_free (key);
      return;
    }
  batch_t *batch = batch_new (executor, info);
  g_hash_table_insert (executor->batches, key, batch);
  executor->usual_need = info->need;
  for (size_t i = 0; i < info->count; i++)
    {
      char *name = task_name (info->job, info->step, info->indexes[i]);
      task_t *task = g_hash_table_lookup (executor->tasks, name);
      if (task != NULL)
        {
          g_free (name);
          move_to_batch (executor, task, batch);
          continue;
        }
      task = g_new0 (task_t, 1);
      task->name = name;
      task->index = info->indexes[i];
      task->batch = batch;
      task->attempt = info->attempt_base;
      task->need = info->need;
      task->queued_at_ms = now_ms;
      g_hash_table_insert (executor->tasks, task->name, task);
      g_ptr_array_add (batch->tasks, task);
      if (batch->maybe_running)
        task_set_maybe_running (executor, task, now_ms);
      else
        {
          task->state = TASK_WAITING;
          task_enqueue (executor, task);
        }
    }
}

/* The coordinator of BATCH may not have received its ends, and may submit the tasks again. */
static void
remember_done_tasks (executor_t *executor, const batch_t *batch, int64_t now_ms)
{
  for (guint i = 0; i < batch->sent_ends->len; i++)
    {
      const task_outcome_t *ended = &g_array_index (batch->sent_ends, task_outcome_t, i);
      if (ended->outcome != EXECUTOR_DONE)
        continue;
      char *name = task_name (batch->job, batch->step, ended->index);
      done_tasks_add (executor->done_tasks, name, now_ms);
      g_free (name);
    }
}

/* If ACTIONS is NULL, no log actions are appended. */
static bool
cancel_batch (executor_t *executor,
              batch_t *batch,
              stop_reason_t reason,
              int64_t now_ms,
              GArray *actions)
{
  bool never_started = !batch->ever_started;
  GPtrArray *tasks = g_ptr_array_copy (batch->tasks, NULL, NULL);

  /* The coordinator will not ask for these ends again and may submit the batch anew. */
  g_array_set_size (batch->sent_ends, 0);
  if (batch->closed)
    batch_remove (executor, batch);

  for (guint i = 0; i < tasks->len; i++)
    {
      task_t *task = tasks->pdata[i];
      never_started = never_started && task->state == TASK_WAITING;
      if (task->state == TASK_WAITING || task->state == TASK_MAYBE_RUNNING)
        task_remove (executor, task);
      else
        {
          if (actions != NULL && task->state != TASK_STOPPING)
            log_event (executor, actions, EXECUTOR_LOG_ABORTED, task->endpoint, task, now_ms);
          task_request_stop (task, reason, now_ms);
          limit_lease (task, lease_limit_ms (executor, now_ms - CANCEL_DELAY_MAX_MS));
          task_leave_batch (executor, task);
        }
    }
  g_ptr_array_unref (tasks);
  return never_started;
}

bool
executor_cancel (executor_t *executor,
                 const char *coordinator,
                 uint64_t number,
                 stop_reason_t reason,
                 int64_t now_ms,
                 GArray *actions)
{
  char *key = batch_key (coordinator, number);
  batch_t *batch = g_hash_table_lookup (executor->batches, key);

  g_free (key);
  return batch != NULL && cancel_batch (executor, batch, reason, now_ms, actions);
}

static GPtrArray *
batches_of (executor_t *executor, const char *coordinator)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, executor->batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (coordinator == NULL || strcmp (((batch_t *) value)->coordinator, coordinator) == 0)
      g_ptr_array_add (found, value);
  return found;
}

void
executor_release (executor_t *executor, const char *coordinator, uint64_t number, int64_t now_ms)
{
  char *key = batch_key (coordinator, number);
  batch_t *batch = g_hash_table_lookup (executor->batches, key);

  g_free (key);
  if (batch == NULL)
    return;
  GPtrArray *tasks = g_ptr_array_copy (batch->tasks, NULL, NULL);
  remember_done_tasks (executor, batch, now_ms);
  g_array_set_size (batch->sent_ends, 0);
  if (batch->closed)
    batch_remove (executor, batch);
  for (guint i = 0; i < tasks->len; i++)
    {
      task_t *task = tasks->pdata[i];
      if (task->endpoint != NULL)
        {
          /* The resources of the run count as free only once a poll has shown that it is over. */
          task->endpoint->runs_known = false;
          task->endpoint->poll_due_at_ms = 0;
        }
      task_remove (executor, task);
    }
  g_ptr_array_unref (tasks);
}

void
executor_coordinator_heard (executor_t *executor, const char *coordinator, int64_t at_ms)
{
  const char *id = g_intern_string (coordinator);
  int64_t *heard_at_ms = g_hash_table_lookup (executor->coordinators_heard, id);

  if (heard_at_ms == NULL)
    {
      heard_at_ms = g_new0 (int64_t, 1);
      g_hash_table_insert (executor->coordinators_heard, (void *) id, heard_at_ms);
    }
  *heard_at_ms = MAX (*heard_at_ms, at_ms);
}

int64_t
lease_limit_ms (const executor_t *executor, int64_t last_heard_at_ms)
{
  if (executor->options.resubmit_ms == 0)
    return INT64_MAX;
  return last_heard_at_ms + executor->options.resubmit_ms - RESUBMIT_MARGIN_MS;
}

/* The runs of BATCH outlive its coordinator, which was alive at LAST_HEARD_AT_MS. */
static void
limit_leases (const executor_t *executor, const batch_t *batch, int64_t last_heard_at_ms)
{
  for (guint i = 0; i < batch->tasks->len; i++)
    limit_lease (batch->tasks->pdata[i], lease_limit_ms (executor, last_heard_at_ms));
}

void
executor_remove_coordinator (executor_t *executor,
                             const char *coordinator,
                             int64_t last_heard_at_ms,
                             int64_t now_ms,
                             GArray *actions)
{
  GPtrArray *batches = batches_of (executor, coordinator);

  g_hash_table_remove (executor->coordinators_heard, g_intern_string (coordinator));
  for (guint i = 0; i < batches->len; i++)
    {
      limit_leases (executor, batches->pdata[i], last_heard_at_ms);
      remember_done_tasks (executor, batches->pdata[i], now_ms);
      cancel_batch (executor, batches->pdata[i], STOP_COORDINATOR_LOST, now_ms, actions);
    }
  g_ptr_array_unref (batches);
}

void
executor_yield_all (executor_t *executor)
{
  GPtrArray *ids = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  void *key = NULL;

  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (ids, g_strdup (key));
  for (guint i = 0; i < ids->len; i++)
    executor_yield_endpoint (executor, ids->pdata[i]);
  g_ptr_array_unref (ids);
  GPtrArray *batches = batches_of (executor, NULL);
  for (guint i = 0; i < batches->len; i++)
    cancel_batch (executor, batches->pdata[i], STOP_UNKNOWN, 0, NULL);
  g_ptr_array_unref (batches);
}
