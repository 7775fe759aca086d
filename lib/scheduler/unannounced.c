/* unannounced.c -- jobs of which another data centre may not know
 *
 * Such a job may be sent again there resubmit_ms after it was received, and starts at once.  No
 * message can prevent that, so that this host ends its own runs before, unless a host of each other
 * data centre has confirmed by then that it was told.  Where a caller is says nothing: it may reach
 * both sides of a cut, one after the other.
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

/* Whether the data centre is out of reach, and not reached again. */
static bool
is_out_of_reach (const scheduler_unreached_t *unreached)
{
  return unreached->reached_at_ms != INT64_MAX;
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

/* A host that is told knows the job until after its deadline, so that a confirmation holds,
 * whatever becomes of the data centre. */
void
scheduler_set_confirmed_at (scheduler_t *scheduler, int64_t confirmed_at_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  scheduler->confirmed_at_ms = confirmed_at_ms;
  g_hash_table_iter_init (&iter, scheduler->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      scheduled_job_t *job = value;
      job->confirmed = job->confirmed || is_told (job, confirmed_at_ms);
    }
}

bool
unannounced_is_confirmed (const scheduler_t *scheduler, const scheduled_job_t *job)
{
  return job->confirmed || scheduler->confirmed_at_ms == INT64_MAX;
}

bool
scheduler_awaits_confirmation (const scheduler_t *scheduler)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, scheduler->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const scheduled_job_t *job = value;
      if (job->announced && !unannounced_is_confirmed (scheduler, job))
        return true;
    }
  return false;
}

/* Whether a data centre is out of reach that does not certainly know of JOB. */
static bool
may_be_unknown (const scheduler_t *scheduler, const scheduled_job_t *job)
{
  if (job->confirmed)
    return false;
  for (guint i = 0; i < scheduler->unreached->len; i++)
    {
      const scheduler_unreached_t *unreached =
          &g_array_index (scheduler->unreached, scheduler_unreached_t, i);
      if (is_out_of_reach (unreached) && !is_told (job, unreached->reached_at_ms))
        return true;
    }
  return false;
}

/* By then the runs of JOB must be ending if it may be sent again unseen. */
static int64_t
end_by_ms (const scheduler_t *scheduler, const scheduled_job_t *job)
{
  return job->request.received_at_ms + scheduler->resubmit_ms - RUNS_STOP_MS;
}

/* Whether JOB is so old that it must not run here any more, as a data centre may not know of it. */
static bool
is_too_old (const scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms)
{
  return scheduler->resubmit_ms != 0 && now_ms >= end_by_ms (scheduler, job)
         && !unannounced_is_confirmed (scheduler, job);
}

bool
unannounced_must_end (const scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms)
{
  return job->was_sent && is_too_old (scheduler, job, now_ms);
}

void
unannounced_step_waiting (const scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms)
{
  job->confirmed_late |= is_too_old (scheduler, job, now_ms);
}

void
unannounced_limit_deadline (const scheduler_t *scheduler, scheduled_job_t *job)
{
  int64_t until_ms = end_by_ms (scheduler, job);

  if (scheduler->resubmit_ms == 0 || job->request.deadline_at_ms <= until_ms
      || !may_be_unknown (scheduler, job))
    return;
  scheduler_limit_deadline (job, until_ms, SCHEDULER_LIMIT_UNREACHED);
  /* Nor does this host know what ran there: the request may be a repeated one. */
  job->may_have_run = true;
}

int32_t
unannounced_count_unreached (const scheduler_t *scheduler)
{
  int32_t count = 0;

  for (guint i = 0; i < scheduler->unreached->len; i++)
    count += is_out_of_reach (&g_array_index (scheduler->unreached, scheduler_unreached_t, i));
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
  action->unreached = unannounced_count_unreached (scheduler);
}
