/* batch.c -- what coordinators give to an owner and take back
 *
 * A task that comes again, by another batch, keeps its run and gets a new coordinator. A cancelled
 * batch is gone at once; of its tasks those stay, without a batch, whose run is not over.
 */
#include "fleet/table.h"

#include <string.h>

/* The objective of a job follows its true work, of which the corrected estimate tells more. */
static place_aim_t
aim_of (const fleet_t *fleet, const fleet_batch_t *info)
{
  int64_t raw_ms = MAX (info->estimate_ms, 1);
  int64_t work_ms = estimates_correct (fleet->estimates, info->service, info->priority, raw_ms);

  return (place_aim_t){
    .work_ms = work_ms,
    .goal_at_ms = info->goal_at_ms + (int64_t) (info->stretch * (double) (work_ms - raw_ms)),
    .stretch = info->stretch,
    .deadline_at_ms = info->deadline_at_ms,
  };
}

static batch_t *
batch_new (const fleet_t *fleet, const fleet_batch_t *info)
{
  batch_t *batch = g_new0 (batch_t, 1);

  /* Actions name the coordinator after the batch may be gone. */
  batch->coordinator = (char *) g_intern_string (info->coordinator);
  batch->number = info->batch;
  batch->job = g_strdup (info->job);
  batch->step = info->step;
  batch->spec = g_strdup (info->spec);
  batch->service = g_strdup (info->service);
  batch->priority = info->priority;
  batch->need = info->need;
  batch->raw_estimate_ms = MAX (info->estimate_ms, 1);
  batch->aim = aim_of (fleet, info);
  batch->start_by_ms = info->start_by_ms;
  batch->attempts_max = MAX (info->attempts_max, 1);
  batch->attempt_base = info->attempt_base;
  batch->label = g_strdup (info->label != NULL ? info->label : "");
  batch->near_rack = g_strdup (info->near_rack != NULL ? info->near_rack : "");
  batch->spread_max = info->spread_max;
  batch->doubted = info->maybe_running || info->token != fleet->token;
  batch->ever_started = batch->doubted;
  batch->wait_until_ms = info->wait_until_ms;
  batch->tasks = g_ptr_array_new ();
  batch->ended = g_array_new (FALSE, FALSE, sizeof (ended_t));
  return batch;
}

/* A task that is here already gets a new coordinator.  What is being stopped is
 * started anew once its run is over.  Its attempt stays: it names the run. */
static void
hand_over (fleet_t *fleet, task_t *task, batch_t *batch)
{
  bool waits = task->state == TASK_WAITING;

  if (waits)
    task_unqueue (fleet, task);
  task_leave (fleet, task);
  task->batch = batch;
  batch->ever_started |= task->ever_started;
  g_ptr_array_add (batch->tasks, task);
  if (waits)
    task_queue (fleet, task);
}

/* Its coordinator does not know what became of BATCH: it is told again what has ended. */
static void
tell_later (fleet_t *fleet, const batch_t *batch, const fleet_batch_t *info)
{
  for (size_t i = 0; i < info->count; i++)
    for (guint k = 0; k < batch->ended->len; k++)
      {
        const ended_t *ended = &g_array_index (batch->ended, ended_t, k);
        retold_t retold = { batch->coordinator, batch->number, ended->index, ended->how };
        if (ended->index == info->indexes[i])
          g_array_append_val (fleet->retold, retold);
      }
}

void
fleet_submit (fleet_t *fleet, const fleet_batch_t *info, int64_t now_ms)
{
  char *key = batch_key (info->coordinator, info->batch);
  const batch_t *known = g_hash_table_lookup (fleet->batches, key);

  if (known != NULL)
    tell_later (fleet, known, info);
  if (info->count == 0 || known != NULL)
    {
      g_free (key);
      return;
    }
  batch_t *batch = batch_new (fleet, info);
  g_hash_table_insert (fleet->batches, key, batch);
  fleet->usual_need = info->need;
  for (size_t i = 0; i < info->count; i++)
    {
      char *name =
          g_strdup_printf ("%s.0.%d.%d", info->job, (int) info->step, (int) info->indexes[i]);
      task_t *task = g_hash_table_lookup (fleet->tasks, name);
      if (task != NULL)
        {
          g_free (name);
          hand_over (fleet, task, batch);
          continue;
        }
      task = g_new0 (task_t, 1);
      task->name = name;
      task->index = info->indexes[i];
      task->batch = batch;
      task->attempt = info->attempt_base;
      task->need = info->need;
      task->queued_at_ms = now_ms;
      g_hash_table_insert (fleet->tasks, task->name, task);
      g_ptr_array_add (batch->tasks, task);
      if (batch->doubted)
        task_doubt (fleet, task, now_ms);
      else
        {
          task->state = TASK_WAITING;
          task_queue (fleet, task);
        }
    }
}

/* ACTIONS may be NULL: nothing is told. */
static bool
cancel_batch (fleet_t *fleet, batch_t *batch, int64_t now_ms, GArray *actions)
{
  bool never = !batch->ever_started;
  GPtrArray *tasks = g_ptr_array_copy (batch->tasks, NULL, NULL);

  /* Nobody will ask what became of it, and it may be given anew. */
  g_array_set_size (batch->ended, 0);
  if (batch->closed)
    batch_remove (fleet, batch);

  for (guint i = 0; i < tasks->len; i++)
    {
      task_t *task = tasks->pdata[i];
      never = never && task->state == TASK_WAITING;
      if (task->state == TASK_WAITING || task->state == TASK_MAYBE)
        task_end (fleet, task);
      else
        {
          if (actions != NULL && task->state != TASK_STOPPING)
            note (fleet, actions, FLEET_NOTE_CUT, task->endpoint, task, now_ms);
          task_stop (task, now_ms);
          task_leave (fleet, task);
        }
    }
  g_ptr_array_unref (tasks);
  return never;
}

bool
fleet_cancel (fleet_t *fleet,
              const char *coordinator,
              uint64_t number,
              int64_t now_ms,
              GArray *actions)
{
  char *key = batch_key (coordinator, number);
  batch_t *batch = g_hash_table_lookup (fleet->batches, key);

  g_free (key);
  return batch != NULL && cancel_batch (fleet, batch, now_ms, actions);
}

static GPtrArray *
batches_of (fleet_t *fleet, const char *coordinator)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, fleet->batches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (coordinator == NULL || strcmp (((batch_t *) value)->coordinator, coordinator) == 0)
      g_ptr_array_add (found, value);
  return found;
}

void
fleet_release (fleet_t *fleet, const char *coordinator, uint64_t number)
{
  char *key = batch_key (coordinator, number);
  batch_t *batch = g_hash_table_lookup (fleet->batches, key);

  g_free (key);
  if (batch == NULL)
    return;
  GPtrArray *tasks = g_ptr_array_copy (batch->tasks, NULL, NULL);
  g_array_set_size (batch->ended, 0);
  if (batch->closed)
    batch_remove (fleet, batch);
  for (guint i = 0; i < tasks->len; i++)
    {
      task_t *task = tasks->pdata[i];
      if (task->endpoint != NULL)
        {
          /* Its room is taken until a look shows otherwise. */
          task->endpoint->looked = false;
          task->endpoint->look_due_ms = 0;
        }
      task_end (fleet, task);
    }
  g_ptr_array_unref (tasks);
}

void
fleet_drop_coordinator (fleet_t *fleet, const char *coordinator, int64_t now_ms, GArray *actions)
{
  GPtrArray *batches = batches_of (fleet, coordinator);

  for (guint i = 0; i < batches->len; i++)
    cancel_batch (fleet, batches->pdata[i], now_ms, actions);
  g_ptr_array_unref (batches);
}

void
fleet_yield_all (fleet_t *fleet)
{
  GPtrArray *ids = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  void *key = NULL;

  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (ids, g_strdup (key));
  for (guint i = 0; i < ids->len; i++)
    fleet_yield_endpoint (fleet, ids->pdata[i]);
  g_ptr_array_unref (ids);
  GPtrArray *batches = batches_of (fleet, NULL);
  for (guint i = 0; i < batches->len; i++)
    cancel_batch (fleet, batches->pdata[i], 0, NULL);
  g_ptr_array_unref (batches);
}
