/* unannounced.c -- jobs that a data centre which is out of reach can't know of
 *
 * Such a job may be sent again there resubmit_ms after it was received, and starts at once.  No
 * message can prevent that, so that this host ends its own runs before.  A job that was received
 * when the data centre was surely out of reach has a caller on this side, and goes on.
 */
#include "scheduler/state.h"

/* Runs have ended this long after the decision: the owner is told, and stops them. */
#define RUNS_STOP_MS 150

void
scheduler_add_unreached (scheduler_t *scheduler, const scheduler_unreached_t *unreached)
{
  g_array_append_val (scheduler->unreached, *unreached);
}

void
scheduler_clear_unreached (scheduler_t *scheduler)
{
  g_array_set_size (scheduler->unreached, 0);
}

void
scheduler_set_confirmed_at (scheduler_t *scheduler, int64_t confirmed_at_ms)
{
  scheduler->confirmed_at_ms = confirmed_at_ms;
}

/* Whether a data centre that has received what was sent before REACHED_AT_MS knows of JOB. */
static bool
is_told (const scheduled_job_t *job, int64_t reached_at_ms)
{
  return job->announced && job->announced_at_ms < reached_at_ms;
}

int32_t
scheduler_count_untold (const scheduler_t *scheduler, int64_t reached_at_ms)
{
  GHashTableIter iter;
  void *value = NULL;
  int32_t count = 0;

  g_hash_table_iter_init (&iter, scheduler->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += !is_told (value, reached_at_ms);
  return count;
}

/* Whether the data centre UNREACHED knows of JOB, or JOB is not sent there again. */
static bool
is_safe_from (const scheduled_job_t *job, const scheduler_unreached_t *unreached)
{
  return is_told (job, unreached->reached_at_ms)
         || job->request.received_at_ms > unreached->since_ms;
}

/* By then the runs of JOB must be ending if it may be sent again unseen. */
static int64_t
end_by_ms (const scheduler_t *scheduler, const scheduled_job_t *job)
{
  return job->request.received_at_ms + scheduler->resubmit_ms - RUNS_STOP_MS;
}

bool
unannounced_must_end (const scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms)
{
  if (scheduler->resubmit_ms == 0 || !job->was_sent || now_ms < end_by_ms (scheduler, job))
    return false;
  for (guint i = 0; i < scheduler->unreached->len; i++)
    if (!is_safe_from (job, &g_array_index (scheduler->unreached, scheduler_unreached_t, i)))
      return true;
  return false;
}

/* The number of data centres that are out of reach. */
static int32_t
count_unreached (const scheduler_t *scheduler)
{
  int32_t count = 0;

  for (guint i = 0; i < scheduler->unreached->len; i++)
    count +=
        g_array_index (scheduler->unreached, scheduler_unreached_t, i).reached_at_ms != INT64_MAX;
  return count;
}

void
unannounced_log (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  int64_t received_ms = job->request.received_at_ms;

  if (scheduler->resubmit_ms == 0 || !job->was_sent || job->goes_on_logged
      || now_ms < end_by_ms (scheduler, job))
    return;
  job->goes_on_logged = true;
  scheduler_action_t *action =
      repeats_add_action (scheduler, SCHEDULER_GOES_ON, scheduler->host, job->request.id, actions);
  action->age_ms = now_ms - received_ms;
  action->announced_ms = job->announced ? job->announced_at_ms - received_ms : -1;
  action->confirmed_ms = MIN (scheduler->confirmed_at_ms, now_ms) - received_ms;
  action->unreached = count_unreached (scheduler);
}
