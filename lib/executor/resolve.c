/* resolve.c -- tasks that another owner may have started
 *
 * Such a task waits until its run is found and adopted, its end is found, every endpoint that may
 * run it is known and has been asked, or the other owner's runs have certainly ended.
 */
#include "executor/table.h"

#include <string.h>

/* Adopts the run of TASK on ENDPOINT if it is one of the foreign runs there. */
static bool
adopt_run (executor_t *executor,
           endpoint_t *endpoint,
           task_t *task,
           int64_t now_ms,
           GArray *actions)
{
  for (guint i = 0; i < endpoint->foreign_runs->len; i++)
    {
      const foreign_run_t *foreign = endpoint->foreign_runs->pdata[i];
      if (strcmp (foreign->name, task->name) != 0)
        continue;
      g_hash_table_remove (executor->maybe_running, task->name);
      task->state = foreign->stop_sent_at_ms != 0 ? TASK_STOPPING : TASK_RUNNING;
      task->stop_requested_at_ms = now_ms;
      task->stop_reason = STOP_UNCLAIMED;
      task->attempt = foreign->attempt;
      task->ever_started = true;
      task->batch->ever_started = true;
      task->start_sent_at_ms = now_ms;
      task->start_confirmed_at_ms = now_ms;
      task->progress_at_ms = now_ms;
      task->expected_ms = placement_expected_ms (executor, endpoint, task->batch);
      task->runs_alone =
          crash_history_decide (executor->crashes, task->name, now_ms) != CRASH_START;
      task_attach (task, endpoint);
      /* The previous owner may have renewed the lease a moment ago. */
      endpoint->lease_end_ms = MAX (
          endpoint->lease_end_ms, now_ms + executor_longest_lease_ms (executor->options.lease_ms));
      g_ptr_array_remove_index_fast (endpoint->foreign_runs, i);
      log_event (executor, actions, EXECUTOR_LOG_ADOPTED, endpoint, task, now_ms);
      return true;
    }
  return false;
}

static void
report_done (executor_t *executor, task_t *task, GArray *actions)
{
  notify_coordinator (executor, actions, EXECUTOR_DONE, task, "succeeded before it was submitted");
  crash_history_note_success (executor->crashes, task->name);
  task_remove (executor, task);
}

static void
resolve_task (executor_t *executor, task_t *task, int64_t now_ms, GArray *actions)
{
  GHashTableIter iter;
  void *value = NULL;
  bool all_polled = true;

  if (done_tasks_contain (executor->done_tasks, task->name)
      || done_tasks_contain (executor->reported_tasks, task->name))
    {
      report_done (executor, task, actions);
      return;
    }
  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      endpoint_t *endpoint = value;
      if (adopt_run (executor, endpoint, task, now_ms, actions))
        return;
      all_polled = all_polled && !open_orders_may_run (endpoint->open_orders, task->name)
                   && endpoint->runs_known
                   && endpoint->last_poll_sent_at_ms >= task->maybe_running_since_ms;
    }
  if ((all_polled && discovery_covers (&executor->discovery, task->maybe_running_since_ms, now_ms))
      || now_ms >= MAX (task->batch->prior_runs_end_by_ms, executor->contested_until_ms))
    task_requeue (executor, task, now_ms);
}

int64_t
executor_directory_needed_ms (const executor_t *executor)
{
  GHashTableIter iter;
  void *value = NULL;
  int64_t needed_ms = executor->directory_wanted ? executor->token_since_ms : 0;

  g_hash_table_iter_init (&iter, executor->maybe_running);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    needed_ms = MAX (needed_ms, ((const task_t *) value)->maybe_running_since_ms);
  return needed_ms;
}

void
resolve_maybe_running (executor_t *executor, int64_t now_ms, GArray *actions)
{
  if (g_hash_table_size (executor->maybe_running) == 0)
    return;
  GList *tasks = g_hash_table_get_values (executor->maybe_running);
  for (GList *link = tasks; link != NULL; link = link->next)
    resolve_task (executor, link->data, now_ms, actions);
  g_list_free (tasks);
}
