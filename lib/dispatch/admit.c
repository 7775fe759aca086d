/* admit.c -- admission control: refuses jobs that would not end before their deadline */
#include "dispatch/state.h"

#include "base/error.h"

#include <math.h>

/* Bounds the memory used by queued tasks. */
#define QUEUED_TASKS_MAX 100000
/* Retry time of a job that is refused because of QUEUED_TASKS_MAX. */
#define QUEUE_FULL_RETRY_MS 1000
/* Safety margin before the deadline, in deviations of the service time.  It is limited
 * to half of the slack, so that a job with a short deadline is still admitted if it
 * need not wait. */
#define MARGIN_DEVIATIONS 3.0
/* Smallest margin; covers round trips and scheduling delays. */
#define MARGIN_MIN_MS 20.0

/* Slots that PLAN can use within its limits on running tasks and on starts. */
static double
slots_within_limits (dispatch_t *dispatch, const plan_state_t *plan, double task_ms, int64_t now_ms)
{
  const char *name = fair_queue_plan_name (plan->queue);
  int32_t available =
      dispatch->limits->ops->available (dispatch->limits, DISPATCH_LIMIT_RUNNING, name, now_ms);
  double slots = available == INT32_MAX ? INFINITY : (double) available + plan->running;

  if (plan->starts_per_s > 0)
    slots = fmin (slots, plan->starts_per_s * task_ms / 1000);
  return slots;
}

/* Slots that PLAN can expect by its weight while other plans have queued tasks. */
static double
slots_by_weight (const dispatch_t *dispatch, const plan_state_t *plan)
{
  double slots = dispatch->local_only ? dispatch->held_slots : dispatch->listed_slots;
  double weight = fair_queue_plan_weight (plan->queue);
  double total_weight = (double) fair_queue_active_weight (dispatch->fair_queue);

  if (fair_queue_plan_queued (plan->queue) == 0)
    total_weight += weight;
  return slots * weight / fmax (total_weight, weight);
}

int64_t
latest_start_ms (const kind_stats_t *kind, int64_t deadline_at_ms, int64_t now_ms)
{
  if (!service_time_is_fresh (&kind->service_time, now_ms))
    return deadline_at_ms;
  double slack_ms = (double) (deadline_at_ms - now_ms) - kind->service_time.mean_ms;
  double margin_ms = fmax (MARGIN_DEVIATIONS * kind->service_time.deviation_ms, MARGIN_MIN_MS);

  margin_ms = fmin (margin_ms, slack_ms / 2);
  return now_ms + (int64_t) (slack_ms - fmax (margin_ms, 0));
}

/* BY_LIMITS: the limits of the plan leave it fewer slots than its weight would. */
static int
verdict_error (backlog_verdict_t verdict, bool by_limits)
{
  if (verdict == BACKLOG_FITS)
    return 0;
  if (verdict == BACKLOG_DEADLINE_UNREACHABLE && !by_limits)
    return ERROR_DEADLINE_UNREACHABLE;
  return by_limits ? ERROR_PLAN_LIMIT : ERROR_OVERLOADED;
}

int
dispatch_admit (dispatch_t *dispatch,
                const dispatch_task_t *task,
                int32_t count,
                int64_t now_ms,
                int64_t *retry_at_ms)
{
  plan_state_t *plan = plan_get (dispatch, task->plan);
  kind_stats_t *kind = kind_get (dispatch, task->kind);
  int32_t slots_per_task = min_slots_needed (dispatch, task->cores, task->memory_mb);
  backlog_job_t job = { .task_count = count, .slots_per_task = slots_per_task };

  *retry_at_ms = now_ms + QUEUE_FULL_RETRY_MS;
  if (dispatch->listed_slots > 0 && slots_per_task == 0)
    return ERROR_NEVER_FITS;
  if (task->deadline_at_ms <= now_ms)
    return ERROR_DEADLINE_UNREACHABLE;
  if (fair_queue_total_queued (dispatch->fair_queue) + (uint32_t) count > QUEUED_TASKS_MAX)
    return ERROR_OVERLOADED;
  if (!dispatch->options.refuse)
    return 0;
  refresh_slots (dispatch, now_ms);
  job.task_ms =
      service_time_is_fresh (&kind->service_time, now_ms) ? kind->service_time.mean_ms : 0;
  job.latest_start_ms = latest_start_ms (kind, task->deadline_at_ms, now_ms);
  double by_weight = slots_by_weight (dispatch, plan);
  double by_limits = slots_within_limits (dispatch, plan, job.task_ms, now_ms);
  job.slots = fmax (1.0, fmin (by_weight, by_limits));
  job.free_slots = fmin (dispatch->free_slots, fmax (0, by_limits - plan->running));
  backlog_advance (&plan->backlog, now_ms);
  return verdict_error (backlog_admit (&plan->backlog, &job, now_ms, retry_at_ms),
                        by_limits < by_weight);
}
