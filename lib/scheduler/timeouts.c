/* timeouts.c -- ends jobs that can no longer be served, and assigns tasks that have no owner
 *
 * Runs for each job every few milliseconds.
 */
#include "scheduler/state.h"

/* A job is refused if its tasks find no owner for this long.  When the drain of a data centre ends,
 * its owner offers its endpoints again within this time. */
#define NO_OWNER_TIMEOUT_MS 300
/* A job with tasks at a lost owner is given up if no other owner takes over within this time. */
#define TAKEOVER_TIMEOUT_MS 700
/* A job can end in time only if this fraction of its estimated duration remains before its
 * deadline. */
#define MIN_RUN_FRACTION 0.6

/* True if all data centres that have endpoints for JOB are drained.  A data centre whose owner has
 * not sent an offer yet may have endpoints for it. */
static bool
is_drained_everywhere (const scheduler_t *scheduler, const scheduled_job_t *job)
{
  const char *service = g_intern_string (job->request.service);
  bool some_drained = false;
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, scheduler->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const shard_t *shard = value;
      bool serves = g_hash_table_contains (shard->services, service);
      if (shard->drained)
        some_drained |= serves;
      else if (serves || g_hash_table_size (shard->services) == 0)
        return false;
    }
  return some_drained;
}

bool
scheduler_cannot_finish (const scheduled_job_t *job, int64_t now_ms)
{
  int64_t least_ms = (int64_t) (MIN_RUN_FRACTION * (double) job->request.estimate_ms);

  return now_ms + least_ms > job->request.deadline_at_ms;
}

const char *
scheduler_deadline_reason (const scheduled_job_t *job)
{
  switch (job->deadline_limit)
    {
    case SCHEDULER_LIMIT_STOPPING:
      return "this host stops";
    case SCHEDULER_LIMIT_UNREACHED:
      return "a data centre that was out of reach when it came can't know of it and may run it";
    default:
      return "its deadline has passed";
    }
}

static bool
takeover_timed_out (const scheduled_job_t *job, int64_t now_ms)
{
  for (guint i = 0; i < job->batches->len; i++)
    {
      const job_batch_t *batch = job->batches->pdata[i];
      if (batch->owner_lost_at_ms != 0 && now_ms - batch->owner_lost_at_ms > TAKEOVER_TIMEOUT_MS)
        return true;
    }
  return false;
}

/* Handles a JOB with unassigned tasks for which the queue's time for a first start has passed.  If
 * none of its tasks has started, it is refused.  If another part of it may have started, the job
 * meets the limit, and its unassigned tasks are assigned again without a limit.  Returns true if
 * they must not be assigned now. */
static bool
start_limit_passed (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  if (!job->may_have_run && (int32_t) job->unassigned->len == job->request.tasks)
    {
      scheduler_refuse_job (scheduler, job, SCHEDULER_LIMIT_QUEUE_TIME,
                            "no task has started within its queue's time", now_ms, actions);
      return true;
    }
  /* The other owners are about to report whether their parts have started. */
  if (!job->may_have_run && now_ms < job->request.start_by_ms + SCHEDULER_CONFIRM_TIMEOUT_MS)
    return true;
  job->request.start_by_ms = 0;
  return false;
}

static void
step_job (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  if (job->end_pending)
    {
      if (now_ms < job->confirm_by_ms)
        return;
      job->may_have_run = true;
      scheduler_answer_job (scheduler, job, now_ms, actions);
      return;
    }
  if (!repeats_is_wanted (job, now_ms))
    {
      scheduler_drop_job (scheduler, job, now_ms, actions);
      return;
    }
  if (job->waits_since_ms != 0)
    {
      repeats_step_waiting (scheduler, job, now_ms, actions);
      return;
    }
  if (now_ms >= job->request.deadline_at_ms)
    {
      scheduler_refuse_job (scheduler, job, job->deadline_limit, scheduler_deadline_reason (job),
                            now_ms, actions);
      return;
    }
  if (unannounced_must_end (scheduler, job, now_ms))
    {
      job->may_have_run = true;
      scheduler_end_job (scheduler, job, SCHEDULER_GIVEN_UP, SCHEDULER_LIMIT_UNREACHED,
                         "a data centre has not confirmed that it was told of it, and may run it",
                         now_ms, actions);
      return;
    }
  if (takeover_timed_out (job, now_ms))
    {
      scheduler_end_job (scheduler, job, SCHEDULER_GIVEN_UP, SCHEDULER_LIMIT_OWNERS,
                         "the host that ran a part of it is lost", now_ms, actions);
      return;
    }
  unannounced_log (scheduler, job, now_ms, actions);
  job_registry_step_running (scheduler, job, actions);
  if (job->unassigned->len == 0)
    return;
  if (!job_registry_is_confirmed (scheduler, job))
    {
      job->waits_since_ms = now_ms;
      return;
    }
  if (job->request.start_by_ms != 0 && now_ms >= job->request.start_by_ms
      && start_limit_passed (scheduler, job, now_ms, actions))
    return;
  guint action_count = actions->len;
  assign_job_tasks (scheduler, job, now_ms, actions);
  /* The actions that were just appended refer to the job, which must not end in the same step. */
  if (job->unassigned->len == 0 || actions->len > action_count)
    {
      job->no_owner_since_ms = 0;
      return;
    }
  if (is_drained_everywhere (scheduler, job))
    {
      scheduler_refuse_job (scheduler, job, SCHEDULER_LIMIT_DRAINED,
                            "every data centre with endpoints for it is drained", now_ms, actions);
      return;
    }
  if (job->no_owner_since_ms == 0)
    job->no_owner_since_ms = now_ms;
  if (scheduler_cannot_finish (job, now_ms)
      || now_ms - job->no_owner_since_ms > NO_OWNER_TIMEOUT_MS)
    scheduler_refuse_job (scheduler, job, SCHEDULER_LIMIT_OWNERS, "no owner of endpoints is known",
                          now_ms, actions);
}

void
scheduler_step (scheduler_t *scheduler, int64_t now_ms, GArray *actions)
{
  GList *jobs = g_hash_table_get_values (scheduler->jobs);

  g_string_chunk_clear (scheduler->answer_strings);
  for (GList *at = jobs; at != NULL; at = at->next)
    step_job (scheduler, at->data, now_ms, actions);
  g_list_free (jobs);
  cancellations_resend (scheduler, now_ms, actions);
  ended_jobs_expire (scheduler->ended_jobs, now_ms);
  repeats_expire (scheduler, now_ms);
}
