/* restarts.c -- whether tasks of a job may be started anew after an owner was lost
 *
 * When an owner is lost, or has lost this host, the tasks that it had are sent as tasks that may be
 * running, and start anew once their runs are over.  By then another host may have taken the job:
 * its caller can send it again resubmit_ms after it was received, and a host that was not told of
 * the job runs it at once.  One that was told waits, until owners say that they have lost this host
 * (lost_host.c).  A job that is older is therefore given up instead, unless every host has
 * certainly been told of it and the owner has not lost this host.  The caller gets no answer that
 * says more than this host knows, and sends the job again.
 */
#include "scheduler/state.h"

void
scheduler_set_told_at (scheduler_t *scheduler, int64_t told_at_ms)
{
  scheduler->told_at_ms = told_at_ms;
}

static bool
may_start_anew (const scheduler_t *scheduler,
                const scheduled_job_t *job,
                bool owner_lost_us,
                int64_t now_ms)
{
  bool is_young = now_ms < job->request.received_at_ms + scheduler->resubmit_ms;
  bool all_wait = job->announced && job->announced_at_ms < scheduler->told_at_ms && !owner_lost_us;

  return scheduler->resubmit_ms == 0 || is_young || all_wait;
}

void
restarts_give_up (scheduler_t *scheduler,
                  GPtrArray *batches,
                  bool owner_lost_us,
                  int64_t now_ms,
                  GArray *actions)
{
  GHashTable *jobs = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  void *key = NULL;

  for (guint i = batches->len; i-- > 0;)
    {
      scheduled_job_t *job = ((job_batch_t *) batches->pdata[i])->job;
      if (may_start_anew (scheduler, job, owner_lost_us, now_ms))
        continue;
      g_hash_table_add (jobs, job);
      g_ptr_array_remove_index (batches, i);
    }
  g_hash_table_iter_init (&iter, jobs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      scheduled_job_t *job = key;
      job->may_have_run = true;
      scheduler_end_job (scheduler, job, SCHEDULER_GIVEN_UP, SCHEDULER_LIMIT_OWNERS,
                         "an owner was lost, and a host that was not told of it may run it", now_ms,
                         actions);
    }
  g_hash_table_unref (jobs);
}
