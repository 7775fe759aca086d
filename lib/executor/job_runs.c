/* job_runs.c -- whether a run of a job may be alive on the endpoints of an owner
 *
 * An endpoint that lists its runs under the token in force obeys no other owner at that time, so
 * that the listing holds every run there.  A listing from before says less: another owner, which
 * this one does not hear, may have taken the endpoint over since.
 *
 * An endpoint that this owner does not know may have runs of the owner before.  They are excluded
 * by a read of the directory, or once the leases from that owner have ended, as the log may be away
 * for longer.
 */
#include "executor/state.h"

#include <string.h>

/* A listing counts for this long after it was asked for.  Endpoints hold their answers back for
 * less than that. */
#define LISTING_VALID_MS 500

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

/* Whether ENDPOINT has listed its runs a short time ago, and since LOST_AT_MS.  If not, it is asked
 * to. */
static bool
has_listed (endpoint_t *endpoint, int64_t lost_at_ms, int64_t now_ms)
{
  int64_t since_ms = MAX (lost_at_ms, now_ms - LISTING_VALID_MS);

  if (endpoint->runs_known && !endpoint->fenced && endpoint->last_poll_sent_at_ms >= since_ms)
    return true;
  endpoint->listing_needed_ms = now_ms;
  return false;
}

/* Whether ENDPOINT, which has obeyed this owner, has been silent for longer than a lease. */
static bool
has_outlived_leases (const executor_t *executor, const endpoint_t *endpoint, int64_t now_ms)
{
  return endpoint->runs_known && !endpoint->fenced && endpoint->unanswered_since_ms != 0
         && now_ms - endpoint->unanswered_since_ms
                > executor_longest_lease_ms (executor->options.lease_ms);
}

/* Whether ENDPOINT may run a task of JOB that is not in the executor's table. */
static bool
may_run_unlisted (const endpoint_t *endpoint, const char *job)
{
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
executor_may_run_job (executor_t *executor,
                      const char *job,
                      int64_t lost_at_ms,
                      bool alone,
                      int64_t now_ms)
{
  bool silence_counts = alone && executor->token_since_ms < lost_at_ms;
  bool covers = discovery_covers (&executor->discovery, executor->token_since_ms, now_ms)
                || now_ms >= executor->contested_until_ms;
  bool may_run = !covers || has_task (executor, job) || now_ms < executor->unlisted_until_ms;
  GHashTableIter iter;
  void *value = NULL;

  executor->directory_wanted = true;
  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bool listed = has_listed (value, lost_at_ms, now_ms)
                    || (silence_counts && has_outlived_leases (executor, value, now_ms));
      may_run = may_run || !listed || may_run_unlisted (value, job);
    }
  return may_run;
}
