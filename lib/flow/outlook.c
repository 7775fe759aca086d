/* outlook.c -- what a job may expect of all owners, by their reports */
#include "flow/state.h"

#include <string.h>

/* An owner that has told nothing for longer is not known to be busy. */
#define REPORT_MAX_MS 2500
/* A part of a task's usual duration that must fit before its deadline. */
#define HOPELESS 0.6

/* Tasks may be placed in SHARD. */
static bool
is_open (const shard_t *shard)
{
  return shard->owner != NULL && !shard->drained;
}

static bool
suits (const row_t *row, const job_t *job)
{
  return row->slots_all > 0 && strcmp (row->service, job->info.service) == 0;
}

static forecast_load_t *
load_of (const shard_t *shard, const job_t *job)
{
  for (guint i = 0; i < shard->loads->len; i++)
    {
      forecast_load_t *load = &g_array_index (shard->loads, forecast_load_t, i);
      if (strcmp (load->told.service, job->info.service) == 0 && load->told.cores_milli > 0)
        return load;
    }
  return NULL;
}

/* Slots for JOB in SHARD; those of HOPE's standard if it is not NULL. */
typedef struct
{
  int32_t all;
  int32_t worth;
  double speed; /* of the latter, over their ratios */
  double least_ratio;
} slots_t;

static slots_t
slots_of (const flow_t *flow,
          const shard_t *shard,
          const job_t *job,
          const placement_best_t *hope,
          int64_t now_ms)
{
  double distance = spread_distance (flow, shard, job);
  slots_t slots = { 0 };

  for (guint i = 0; i < shard->rows->len; i++)
    {
      const row_t *row = &g_array_index (shard->rows, row_t, i);
      double ratio = MAX (row->ratio * distance, G_MINFLOAT);
      if (!suits (row, job))
        continue;
      slots.all += row->slots_all;
      if (slots.least_ratio <= 0 || ratio < slots.least_ratio)
        slots.least_ratio = ratio;
      if (hope != NULL && !spread_is_worth (ratio, job, hope, now_ms))
        continue;
      slots.worth += row->slots_all;
      slots.speed += row->slots_all / ratio;
    }
  return slots;
}

static forecast_task_t
task_of (const job_t *job, const slots_t *slots)
{
  double estimate_ms = (double) job->info.estimate_ms;

  return (forecast_task_t){
    .priority = job->info.priority,
    .cores_milli = job->info.need.cores_milli,
    .expected_ms = (int64_t) (estimate_ms * slots->worth / slots->speed),
    .least_ms = (int64_t) (estimate_ms * slots->least_ratio),
    .goal_at_ms = job->aim.goal_at_ms,
    .share = (double) slots->worth / slots->all,
  };
}

shard_t *
outlook_choose (flow_t *flow, const job_t *job, const placement_best_t *hope, int64_t now_ms)
{
  GArray *places = g_array_new (FALSE, FALSE, sizeof (forecast_place_t));
  GPtrArray *shards = g_ptr_array_new ();
  GArray *tasks = g_array_new (FALSE, FALSE, sizeof (forecast_task_t));
  shard_t *best = NULL;
  bool known = true;

  for (guint i = 0; i < flow->order->len; i++)
    {
      shard_t *shard = flow->order->pdata[i];
      slots_t slots = slots_of (flow, shard, job, hope, now_ms);
      if (!is_open (shard) || slots.worth == 0)
        continue;
      const forecast_load_t *load = load_of (shard, job);
      known = known && load != NULL;
      if (load == NULL)
        continue;
      forecast_task_t task = task_of (job, &slots);
      forecast_place_t place = { forecast_of (load, &task, now_ms), load->told.cores_milli };
      g_array_append_val (places, place);
      g_array_append_val (tasks, task);
      g_ptr_array_add (shards, shard);
    }
  if (known && places->len > 0)
    {
      size_t at = forecast_choose ((const forecast_place_t *) (void *) places->data, places->len,
                                   job->draw);
      best = shards->pdata[at];
      forecast_sent (load_of (best, job), &g_array_index (tasks, forecast_task_t, at));
    }
  g_array_unref (tasks);
  g_ptr_array_unref (shards);
  g_array_unref (places);
  return best;
}

/* The place on which one task of JOB would end first at the earliest.  Returns false if that of any
 * owner is not known.  *OWN_MS is set to the time that all need for its other tasks. */
static bool
best_of (flow_t *flow, const job_t *job, int64_t now_ms, forecast_t *best, int64_t *own_ms)
{
  double own_core_ms = 0;
  double cores_milli = 0;
  bool found = false;

  for (guint i = 0; i < flow->order->len; i++)
    {
      const shard_t *shard = flow->order->pdata[i];
      slots_t slots = slots_of (flow, shard, job, NULL, now_ms);
      const forecast_load_t *load = load_of (shard, job);
      if (!is_open (shard))
        continue;
      if (!shard->reported || (slots.worth > 0 && load == NULL)
          || (load != NULL && now_ms - load->heard_at_ms > REPORT_MAX_MS))
        return false;
      if (slots.worth == 0 || load == NULL)
        continue;
      forecast_task_t task = task_of (job, &slots);
      forecast_t one = forecast_of (load, &task, now_ms);
      if (!found || one.least_end_ms < best->least_end_ms
          || (one.least_end_ms == best->least_end_ms && one.end_ms < best->end_ms))
        *best = one;
      found = true;
      cores_milli += (double) load->told.cores_milli;
      own_core_ms = (double) (job->info.tasks - 1) * (double) task.cores_milli
                    * (double) task.least_ms * HOPELESS;
    }
  *own_ms = cores_milli > 0 ? (int64_t) (own_core_ms / cores_milli) : 0;
  return found;
}

/* A free slot on which a task of JOB may end in time. */
static bool
has_free_slot (const flow_t *flow, const job_t *job, int64_t now_ms)
{
  for (guint i = 0; i < flow->order->len; i++)
    {
      const shard_t *shard = flow->order->pdata[i];
      double distance = spread_distance (flow, shard, job);
      for (guint k = 0; is_open (shard) && k < shard->rows->len; k++)
        {
          const row_t *row = &g_array_index (shard->rows, row_t, k);
          double least_ms = HOPELESS * row->ratio * distance * (double) job->info.estimate_ms;
          if (suits (row, job) && row->slots > 0
              && now_ms + (int64_t) least_ms <= job->info.deadline_at_ms)
            return true;
        }
    }
  return false;
}

admission_t
outlook_admit (flow_t *flow, job_t *job, int64_t now_ms)
{
  forecast_t best = { 0 };
  int64_t own_ms = 0;

  if (!best_of (flow, job, now_ms, &best, &own_ms))
    return ADMISSION_YES;
  job->expected_wait_ms = best.wait_ms;
  job->report_age_ms = best.age_ms;
  if (has_free_slot (flow, job, now_ms))
    {
      job->expected_wait_ms = 0;
      return ADMISSION_YES;
    }
  return admission_decide (&best, own_ms, job->info.deadline_at_ms, job->info.start_by_ms, now_ms);
}

int64_t
outlook_retry_ms (flow_t *flow, const job_t *job, int64_t now_ms)
{
  const flow_job_t *info = &job->info;
  forecast_t best = { 0 };
  int64_t own_ms = 0;
  bool known = best_of (flow, job, now_ms, &best, &own_ms);
  /* A caller that comes back waits as long as it did this time. */
  int64_t caller_wait_ms =
      info->deadline_at_ms - info->received_at_ms - (best.end_ms - best.wait_ms);

  if (job->start_limit_ms != 0)
    caller_wait_ms = MIN (caller_wait_ms, job->start_limit_ms);
  return admission_retry_ms (known ? best.wait_ms : -1, caller_wait_ms, hash_string (info->id));
}
