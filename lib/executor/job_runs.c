/* job_runs.c -- whether a run of a job may be alive on the endpoints of an owner
 *
 * An endpoint that has listed its runs under the token in force obeys no earlier owner any more, so
 * that this owner knows of every run there.
 */
#include "executor/state.h"

#include <string.h>

/* Whether TASK, "JOB.0.STEP.INDEX", is one of JOB. */
static bool
is_of_job (const char *task, const char *job)
{
  size_t length = strlen (job);

  return strncmp (task, job, length) == 0 && task[length] == '.';
}

static bool
has_task (const executor_t *executor, const char *job)
{
  GHashTableIter iter;
  void *name = NULL;

  g_hash_table_iter_init (&iter, executor->tasks);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (is_of_job (name, job))
      return true;
  return false;
}

/* Whether ENDPOINT may run a task of JOB that is not in the executor's table. */
static bool
may_run_unlisted (const endpoint_t *endpoint, const char *job)
{
  if (!endpoint->runs_known)
    return true;
  for (guint i = 0; i < endpoint->foreign_runs->len; i++)
    if (is_of_job (((const foreign_run_t *) endpoint->foreign_runs->pdata[i])->name, job))
      return true;
  for (guint i = 0; i < endpoint->open_orders->len; i++)
    {
      const open_order_t *order = endpoint->open_orders->pdata[i];
      if (!order->stopped && is_of_job (order->task, job))
        return true;
    }
  return false;
}

bool
executor_may_run_job (executor_t *executor, const char *job, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  executor->directory_wanted = true;
  if (!discovery_covers (&executor->discovery, executor->token_since_ms, now_ms)
      || has_task (executor, job))
    return true;
  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (may_run_unlisted (value, job))
      return true;
  return false;
}
