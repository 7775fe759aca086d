/* leases.c -- how long the runs on an endpoint may live */
#include "executor/leases.h"

#include "executor/table.h"

/* No lease is granted that would have to be shorter by more than this percentage. */
#define LEASE_DRIFT_MAX_PERCENT 40

bool
blocks_lease_renewal (const endpoint_t *endpoint, int64_t now_ms)
{
  if (endpoint->foreign_runs->len > 0)
    return true;
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const task_t *task = endpoint->runs->pdata[i];
      if (task->state == TASK_STOPPING
          && now_ms - task->stop_requested_at_ms > EXECUTOR_UNSTOPPED_MAX_MS)
        return true;
    }
  return false;
}

int64_t
clock_drift_ms (const endpoint_t *endpoint, int64_t now_ms)
{
  int64_t age_ms = now_ms - endpoint->clock_read_at_ms;

  return (age_ms * EXECUTOR_CLOCK_SLACK_PERCENT + 99) / 100;
}

void
forget_old_clock (const executor_t *executor, endpoint_t *endpoint, int64_t now_ms)
{
  int64_t drift_max_ms = executor->options.lease_ms * LEASE_DRIFT_MAX_PERCENT / 100;

  if (endpoint->clock_known && clock_drift_ms (endpoint, now_ms) > drift_max_ms)
    endpoint->clock_known = false;
}

int64_t
executor_longest_lease_ms (int64_t lease_ms)
{
  return lease_ms + lease_ms * EXECUTOR_CLOCK_SLACK_PERCENT / 100;
}

void
limit_lease (task_t *task, int64_t until_ms)
{
  if (task->lease_limit_ms == 0 || until_ms < task->lease_limit_ms)
    task->lease_limit_ms = until_ms;
}

/* Latest end of a lease under which the run of TASK lives. */
static int64_t
lease_limit_of (const executor_t *executor, const task_t *task)
{
  if (task->batch == NULL)
    return task->lease_limit_ms != 0 ? task->lease_limit_ms : INT64_MAX;
  const int64_t *heard_at_ms =
      g_hash_table_lookup (executor->coordinators_heard, task->batch->coordinator);
  return heard_at_ms != NULL ? lease_limit_ms (executor, *heard_at_ms) : INT64_MAX;
}

int64_t
next_lease_ms (const executor_t *executor, const endpoint_t *endpoint, int64_t now_ms)
{
  int64_t until_ms = INT64_MAX;

  for (guint i = 0; i < endpoint->runs->len; i++)
    until_ms = MIN (until_ms, lease_limit_of (executor, endpoint->runs->pdata[i]));
  if (until_ms - now_ms >= executor_longest_lease_ms (executor->options.lease_ms))
    return executor->options.lease_ms;
  return MAX ((until_ms - now_ms) * 100 / (100 + EXECUTOR_CLOCK_SLACK_PERCENT), 0);
}

int64_t
run_end_ms (const executor_t *executor, const task_t *task)
{
  int64_t end_ms = task->endpoint->lease_end_ms;

  return task->order_open_until_ms == 0
             ? end_ms
             : MAX (end_ms, task->order_open_until_ms
                                + executor_longest_lease_ms (executor->options.lease_ms));
}

int64_t
extend_lease (const executor_t *executor, endpoint_t *endpoint, int64_t now_ms)
{
  int64_t lease_ms = next_lease_ms (executor, endpoint, now_ms);

  endpoint->lease_end_ms =
      MAX (endpoint->lease_end_ms, now_ms + executor_longest_lease_ms (lease_ms));
  return now_ms + endpoint->clock_offset_ms - clock_drift_ms (endpoint, now_ms) + lease_ms;
}
