/* cold_start.c -- jobs that arrive just after this process has started
 *
 * What earlier processes knew of open jobs may be lost with them: if all hosts were killed at once,
 * nobody is left to tell that a job runs, while endpoints go on with it until its lease ends.  A
 * request that arrives now may be the repeated one of such a job.  It therefore waits until a hub
 * of this data centre that has been up for longer has told all jobs that it knows, until the owners
 * of all shards have said that no run from before their claims goes on, or until the last lease
 * that a process before this one can have granted has certainly ended.
 */
#include "scheduler/state.h"

/* A process is young for as long as a host that was lost is remembered. */
#define YOUNG_MS 20000

void
scheduler_set_shards_listed (scheduler_t *scheduler)
{
  scheduler->shards_listed = true;
}

void
scheduler_set_surveyed (scheduler_t *scheduler, const char *name, int64_t token)
{
  shard_t *shard = scheduler_find_shard (scheduler, name);

  shard->surveyed_token = MAX (shard->surveyed_token, token);
}

void
scheduler_all_told (scheduler_t *scheduler)
{
  if (scheduler->cold_until_ms == 0)
    return;
  scheduler->cold_start = COLD_START_TOLD;
  scheduler->cold_until_ms = 0;
}

void
scheduler_host_found (scheduler_t *scheduler, int64_t started_at_ms)
{
  if (scheduler->cold_until_ms != 0)
    scheduler->cold_until_ms =
        MAX (scheduler->cold_until_ms, started_at_ms + scheduler->cold_for_ms);
}

static bool
all_are_surveyed (const scheduler_t *scheduler)
{
  if (!scheduler->shards_listed)
    return false;
  for (guint i = 0; i < scheduler->shard_order->len; i++)
    {
      const shard_t *shard = scheduler->shard_order->pdata[i];
      if (shard->owner == NULL || shard->surveyed_token < shard->token)
        return false;
    }
  return scheduler->shard_order->len > 0;
}

bool
scheduler_is_warm (scheduler_t *scheduler, int64_t now_ms)
{
  if (scheduler->cold_until_ms == 0)
    return true;
  if (all_are_surveyed (scheduler))
    scheduler->cold_start = COLD_START_SURVEYED;
  else if (now_ms >= scheduler->cold_until_ms)
    scheduler->cold_start = COLD_START_LEASES_ENDED;
  else
    return false;
  scheduler->cold_until_ms = 0;
  return true;
}

bool
cold_start_wait (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  if (scheduler_is_warm (scheduler, now_ms))
    return false;
  job->waits_since_ms = now_ms;
  scheduler_action_t *action =
      repeats_add_action (scheduler, SCHEDULER_NOTE, scheduler->host, job->request.id, actions);
  action->finding = SCHEDULER_FOUND_COLD;
  action->age_ms = now_ms - scheduler->started_at_ms;
  return true;
}

void
cold_start_log (scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms, GArray *actions)
{
  bool is_young =
      scheduler->cold_start != COLD_START_NONE && now_ms - scheduler->started_at_ms < YOUNG_MS;

  if (!is_young && scheduler->unreached->len == 0)
    return;
  scheduler_action_t *action =
      repeats_add_action (scheduler, SCHEDULER_STARTS, scheduler->host, job->request.id, actions);
  action->age_ms = now_ms - scheduler->started_at_ms;
  action->cold_start = scheduler->cold_start;
  action->waited_ms = now_ms - job->request.received_at_ms;
  action->idle_ms = job->request.idle_ms;
  action->unreached = unannounced_count_unreached (scheduler);
  action->limited = job->deadline_limit == SCHEDULER_LIMIT_UNREACHED;
}
