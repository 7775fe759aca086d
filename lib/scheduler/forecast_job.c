/* forecast_job.c -- forecasts for a job over all owners, by their load reports */
#include "scheduler/state.h"

#include <string.h>

/* An older load report does not show that its owner is still busy. */
#define REPORT_VALID_MS 2500
/* Each millisecond by which an owner's report is overdue counts as this many of waiting.  The
 * longer the silence, the more likely is the owner cut off, and the job would be lost with it. */
#define OVERDUE_PENALTY 4
/* A task can end in time only if this fraction of its expected duration remains before its
 * deadline. */
#define MIN_RUN_FRACTION 0.6

static forecast_load_t *
find_load (const shard_t *shard, const scheduled_job_t *job)
{
  for (guint i = 0; i < shard->loads->len; i++)
    {
      forecast_load_t *load = &g_array_index (shard->loads, forecast_load_t, i);
      if (strcmp (load->report.service, job->request.service) == 0 && load->report.cores_milli > 0)
        return load;
    }
  return NULL;
}

static forecast_task_t
task_for_forecast (const scheduled_job_t *job, const slot_summary_t *slots)
{
  double estimate_ms = (double) job->request.estimate_ms;

  return (forecast_task_t){
    .priority = job->request.priority,
    .cores_milli = job->request.need.cores_milli,
    .expected_run_ms = (int64_t) (estimate_ms * slots->acceptable / slots->total_speed),
    .min_run_ms = (int64_t) (estimate_ms * slots->min_ratio),
    .goal_at_ms = job->aim.objective_at_ms,
    .usable_share = (double) slots->acceptable / slots->total,
  };
}

shard_t *
forecast_job_choose_owner (scheduler_t *scheduler,
                           const scheduled_job_t *job,
                           const placement_best_t *best_outcome,
                           int64_t now_ms)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (forecast_candidate_t));
  GPtrArray *shards = g_ptr_array_new ();
  GArray *tasks = g_array_new (FALSE, FALSE, sizeof (forecast_task_t));
  shard_t *best = NULL;
  bool all_known = true;

  for (guint i = 0; i < scheduler->shard_order->len; i++)
    {
      shard_t *shard = scheduler->shard_order->pdata[i];
      if (!slots_shard_accepts_tasks (shard))
        continue;
      slot_summary_t slots = slots_summarise (scheduler, shard, job, best_outcome, now_ms);
      if (slots.acceptable == 0)
        continue;
      const forecast_load_t *load = find_load (shard, job);
      all_known = all_known && load != NULL;
      if (load == NULL)
        continue;
      forecast_task_t task = task_for_forecast (job, &slots);
      forecast_candidate_t candidate = { forecast_task_times (load, &task, now_ms),
                                         load->report.cores_milli };
      candidate.forecast.end_ms +=
          OVERDUE_PENALTY * report_timing_overdue_ms (&shard->timing, now_ms);
      g_array_append_val (candidates, candidate);
      g_array_append_val (tasks, task);
      g_ptr_array_add (shards, shard);
    }
  if (all_known && candidates->len > 0)
    {
      size_t chosen = forecast_choose ((const forecast_candidate_t *) (void *) candidates->data,
                                       candidates->len, job->random);
      best = shards->pdata[chosen];
      forecast_add_assigned (find_load (best, job),
                             &g_array_index (tasks, forecast_task_t, chosen));
    }
  g_array_unref (tasks);
  g_ptr_array_unref (shards);
  g_array_unref (candidates);
  return best;
}

/* Sets *BEST to the forecast with the smallest minimum end of all owners for one task of JOB, and
 * *OTHER_TASKS_MS to the time that all owners together need for its other tasks.  Returns false if
 * there is no forecast, or if the load of an owner that accepts tasks is not known. */
static bool
best_forecast (scheduler_t *scheduler,
               const scheduled_job_t *job,
               int64_t now_ms,
               forecast_t *best,
               int64_t *other_tasks_ms)
{
  double other_core_ms = 0;
  double cores_milli = 0;
  bool found = false;

  for (guint i = 0; i < scheduler->shard_order->len; i++)
    {
      const shard_t *shard = scheduler->shard_order->pdata[i];
      if (!slots_shard_accepts_tasks (shard))
        continue;
      slot_summary_t slots = slots_summarise (scheduler, shard, job, NULL, now_ms);
      const forecast_load_t *load = find_load (shard, job);
      if (!shard->has_loads || (slots.acceptable > 0 && load == NULL)
          || (load != NULL && now_ms - load->received_at_ms > REPORT_VALID_MS))
        return false;
      if (slots.acceptable == 0 || load == NULL)
        continue;
      forecast_task_t task = task_for_forecast (job, &slots);
      forecast_t candidate = forecast_task_times (load, &task, now_ms);
      if (!found || candidate.min_end_ms < best->min_end_ms
          || (candidate.min_end_ms == best->min_end_ms && candidate.end_ms < best->end_ms))
        *best = candidate;
      found = true;
      cores_milli += (double) load->report.cores_milli;
      other_core_ms = (double) (job->request.tasks - 1) * (double) task.cores_milli
                      * (double) task.min_run_ms * MIN_RUN_FRACTION;
    }
  *other_tasks_ms = cores_milli > 0 ? (int64_t) MIN (other_core_ms / cores_milli, INT32_MAX) : 0;
  return found;
}

/* True if there is a free slot on which a task of JOB may end before its deadline. */
static bool
has_free_slot (const scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms)
{
  for (guint i = 0; i < scheduler->shard_order->len; i++)
    {
      const shard_t *shard = scheduler->shard_order->pdata[i];
      double remote_factor = slots_remote_factor (scheduler, shard, job);
      for (guint k = 0; slots_shard_accepts_tasks (shard) && k < shard->offers->len; k++)
        {
          const offer_row_t *offer = &g_array_index (shard->offers, offer_row_t, k);
          double min_duration_ms = MIN_RUN_FRACTION * offer->duration_ratio * remote_factor
                                   * (double) job->request.estimate_ms;
          if (slots_serve_job (offer, job) && offer->free_slots > 0
              && now_ms + (int64_t) min_duration_ms <= job->request.deadline_at_ms)
            return true;
        }
    }
  return false;
}

admission_t
forecast_job_admit (scheduler_t *scheduler, scheduled_job_t *job, int64_t now_ms)
{
  forecast_t best = { 0 };
  int64_t other_tasks_ms = 0;

  if (!best_forecast (scheduler, job, now_ms, &best, &other_tasks_ms))
    return ADMISSION_ADMIT;
  job->expected_wait_ms = best.wait_ms;
  job->report_age_ms = best.report_age_ms;
  if (has_free_slot (scheduler, job, now_ms))
    {
      job->expected_wait_ms = 0;
      return ADMISSION_ADMIT;
    }
  return admission_decide (&best, other_tasks_ms, job->request.deadline_at_ms,
                           job->request.start_by_ms, now_ms);
}

int64_t
forecast_job_retry_after_ms (scheduler_t *scheduler, const scheduled_job_t *job, int64_t now_ms)
{
  const scheduler_job_t *request = &job->request;
  forecast_t best = { 0 };
  int64_t other_tasks_ms = 0;
  bool is_known = best_forecast (scheduler, job, now_ms, &best, &other_tasks_ms);
  /* A caller that retries is assumed to wait as long as it did this time. */
  int64_t caller_wait_ms =
      request->deadline_at_ms - request->received_at_ms - (best.end_ms - best.wait_ms);

  if (job->start_limit_ms != 0)
    caller_wait_ms = MIN (caller_wait_ms, job->start_limit_ms);
  return admission_retry_after_ms (is_known ? best.wait_ms : -1, caller_wait_ms,
                                   hash_string (request->id));
}
