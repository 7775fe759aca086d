/* lost_host.c -- whether the runs of a job have ended whose host is not heard
 *
 * That host may be gone, or cut off together with owners and endpoints that go on.  The owners
 * know: one that hears a coordinator may run its jobs, and one that has lost it stops their runs
 * and takes no more of them.  The runs of a job are over once the owners of all shards have said, a
 * short time ago, that they don't hear its host and that no endpoint of theirs runs a task of it.
 * Where a shard has no owner that this host hears, nothing is known, and the job waits.
 */
#include "scheduler/state.h"

/* The reply of an owner counts for this long after the question: its shard may change hands, or it
 * may hear the host again. */
#define REPLY_VALID_MS (3 * REPEATS_ASK_INTERVAL_MS)

/* Whether the present owner of SHARD has said a short time ago that it has no run of JOB for
 * HOLDER. */
static bool
is_clear (const scheduled_job_t *job,
          const shard_t *shard,
          const remote_job_t *remote,
          int64_t now_ms)
{
  for (guint i = 0; i < job->owner_replies->len; i++)
    {
      const owner_reply_t *reply = &g_array_index (job->owner_replies, owner_reply_t, i);
      if (reply->shard == shard->name && reply->token == shard->token
          && reply->holder == remote->host)
        return reply->asked_at_ms > remote->learned_at_ms
               && now_ms - reply->asked_at_ms <= REPLY_VALID_MS;
    }
  return false;
}

bool
lost_host_runs_are_over (const scheduler_t *scheduler,
                         const scheduled_job_t *job,
                         const remote_job_t *remote,
                         int64_t now_ms)
{
  for (guint i = 0; i < scheduler->shard_order->len; i++)
    {
      const shard_t *shard = scheduler->shard_order->pdata[i];
      if (shard->owner == NULL || !is_clear (job, shard, remote, now_ms))
        return false;
    }
  return scheduler->shard_order->len > 0;
}

/* Whether the owners of all shards can be asked. */
static bool
owners_are_known (const scheduler_t *scheduler)
{
  for (guint i = 0; i < scheduler->shard_order->len; i++)
    if (((const shard_t *) scheduler->shard_order->pdata[i])->owner == NULL)
      return false;
  return true;
}

void
lost_host_ask_owners (scheduler_t *scheduler,
                      scheduled_job_t *job,
                      const remote_job_t *remote,
                      int64_t now_ms,
                      GArray *actions)
{
  if (now_ms < job->ask_owners_at_ms || !owners_are_known (scheduler))
    return;
  job->ask_owners_at_ms = now_ms + REPEATS_ASK_INTERVAL_MS;
  for (guint i = 0; i < scheduler->shard_order->len; i++)
    {
      const shard_t *shard = scheduler->shard_order->pdata[i];
      scheduler_action_t *action = repeats_add_action (scheduler, SCHEDULER_ASK_OWNER, shard->owner,
                                                       job->request.id, actions);
      action->shard = shard->name;
      action->holder = remote->host;
    }
}

void
scheduler_runs_over (scheduler_t *scheduler,
                     const char *id,
                     const char *holder,
                     const char *shard,
                     int64_t token,
                     int64_t asked_at_ms)
{
  const owner_reply_t reply = { g_intern_string (shard), token, g_intern_string (holder),
                                asked_at_ms };
  const scheduled_job_t *job = g_hash_table_lookup (scheduler->jobs_by_id, id);

  if (job == NULL || job->waits_since_ms == 0)
    return;
  for (guint i = 0; i < job->owner_replies->len; i++)
    if (g_array_index (job->owner_replies, owner_reply_t, i).shard == reply.shard)
      {
        g_array_index (job->owner_replies, owner_reply_t, i) = reply;
        return;
      }
  g_array_append_val (job->owner_replies, reply);
}
