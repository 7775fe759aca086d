/* forecast.c -- predicts when a task would start and end at an owner that has a backlog */
#include "scheduler/forecast.h"

#define MILLI 1000.0
/* The errors of single estimates average out over a backlog, so that at least this part of its work
 * is nearly certain to be real. */
#define BACKLOG_MIN_PERCENT 75
/* The estimate of a single task is off by 40%. */
#define TASK_MIN_PERCENT 60
/* Two ends count as equal if they differ by at most this part of the later one, or by at most
 * EQUAL_END_REPORT_AGES times the age of the older report, because other coordinators may have
 * queued that much work since. */
#define EQUAL_END_PERCENT 25
#define EQUAL_END_REPORT_AGES 2

/* Owners report at least this often.  An owner that has not reported for longer may have stopped.
 * Its backlog is assumed not to shrink any further, and other owners are preferred to it. */
#define REPORT_INTERVAL_MS 300

/* The work that goes before a task of some level of priority. */
typedef struct
{
  double on_time_core_ms; /* without the late work of the level */
  double total_core_ms;   /* with the late work of the level */
} work_ahead_t;

static work_ahead_t
work_ahead_of (const forecast_load_t *load, int32_t level)
{
  work_ahead_t ahead = { 0 };

  for (int32_t i = 0; i <= level; i++)
    ahead.total_core_ms +=
        (double) load->report.backlog_core_ms[i] + (double) load->assigned_core_ms[i];
  ahead.on_time_core_ms = ahead.total_core_ms - (double) load->report.late_core_ms[level];
  return ahead;
}

/* Returns how long the cores of the owner need for the work of lower priorities than LEVEL. */
static int64_t
lower_wait_of (const forecast_load_t *load, int32_t level)
{
  double core_ms = 0;

  for (int32_t i = level + 1; i < EXECUTOR_LOAD_LEVELS; i++)
    core_ms += (double) load->report.backlog_core_ms[i] + (double) load->assigned_core_ms[i];
  return (int64_t) (core_ms * MILLI / (double) load->report.cores_milli);
}

/* Returns how much longer CORES_MILLI need for WORK, which is in core-milliseconds, if they have
 * worked on it for AGE_MS.  No core becomes free before NEXT_FREE_MS. */
static int64_t
work_duration_ms (double work, double cores_milli, int64_t next_free_ms, int64_t age_ms)
{
  int64_t work_ms = work > 0 ? MAX ((int64_t) (work * MILLI / cores_milli), next_free_ms) : 0;

  return MAX (work_ms - age_ms, 0);
}

/* Returns the part of WAIT_MS that is nearly certain, for tasks of TASK_MS and a report that is
 * AGE_MS old.  The estimates of the work may be too high.  Runs that are under way at the time of
 * the report and when the task starts are half done on average, which changes the wait by at most
 * half a task.  Other work may have left the queue since the report. */
static int64_t
min_wait_of (int64_t wait_ms, int64_t task_ms, int64_t age_ms)
{
  int64_t discounted_ms = wait_ms * BACKLOG_MIN_PERCENT / 100;

  return MAX (MIN (discounted_ms, wait_ms - task_ms / 2) - age_ms, 0);
}

forecast_t
forecast_task_times (const forecast_load_t *load, const forecast_task_t *task, int64_t now_ms)
{
  const executor_load_t *report = &load->report;
  int32_t level = executor_load_level (task->priority);
  work_ahead_t ahead = work_ahead_of (load, level);
  double cores = (double) report->cores_milli;
  int64_t slack_ms = task->goal_at_ms - now_ms - task->min_run_ms;
  int64_t free_ms = report->next_free_ms;
  forecast_t forecast = { .lower_wait_ms = lower_wait_of (load, level),
                          .report_age_ms = MAX (now_ms - load->received_at_ms, 0) };
  int64_t age_ms = forecast.report_age_ms;
  int64_t elapsed_ms = MIN (age_ms, REPORT_INTERVAL_MS);

  forecast.wait_ms =
      work_duration_ms (ahead.on_time_core_ms, cores * task->usable_share, free_ms, elapsed_ms);
  if (forecast.wait_ms > slack_ms)
    forecast.wait_ms =
        work_duration_ms (ahead.total_core_ms, cores * task->usable_share, free_ms, elapsed_ms);
  forecast.end_ms = forecast.wait_ms + task->expected_run_ms;

  int64_t on_time_ms = work_duration_ms (ahead.on_time_core_ms, cores, free_ms, age_ms);
  forecast.min_wait_ms = min_wait_of (on_time_ms, task->expected_run_ms, age_ms);
  if (forecast.min_wait_ms > slack_ms)
    {
      int64_t total_ms = work_duration_ms (ahead.total_core_ms, cores, free_ms, age_ms);
      forecast.min_wait_ms = min_wait_of (total_ms, task->expected_run_ms, age_ms);
    }
  /* The waiting tasks do not fit into the free cores, or prefer a faster endpoint.  A task that
   * does fit may start at once. */
  if (report->max_free_milli >= task->cores_milli)
    forecast.min_wait_ms = 0;
  forecast.min_end_ms = forecast.min_wait_ms + task->min_run_ms * TASK_MIN_PERCENT / 100;
  return forecast;
}

void
forecast_add_assigned (forecast_load_t *load, const forecast_task_t *task)
{
  double core_ms = (double) task->cores_milli * (double) task->expected_run_ms / MILLI;

  load->assigned_core_ms[executor_load_level (task->priority)] +=
      (int64_t) MIN (core_ms, INT32_MAX);
}

/* Returns the end of the task plus the time by which the owner's report is overdue. */
static int64_t
penalised_end_ms (const forecast_t *forecast)
{
  return forecast->end_ms + MAX (forecast->report_age_ms - REPORT_INTERVAL_MS, 0);
}

/* Returns by how much the end of OTHER may differ from that of BEST and still count as equal. */
static int64_t
uncertainty_ms (const forecast_t *best, const forecast_t *other)
{
  int64_t age_ms = MAX (best->report_age_ms, other->report_age_ms);

  return MAX (other->end_ms * EQUAL_END_PERCENT / 100, age_ms * EQUAL_END_REPORT_AGES);
}

static bool
are_equivalent (const forecast_t *best, const forecast_t *other)
{
  return penalised_end_ms (other) - penalised_end_ms (best) <= uncertainty_ms (best, other);
}

/* Returns the index of the candidate with the earliest end; of equal ends that with more cores
 * counts as the earlier one. */
static size_t
earliest_end (const forecast_candidate_t *candidates, size_t count)
{
  size_t best = 0;

  for (size_t i = 1; i < count; i++)
    {
      int64_t key_ms = penalised_end_ms (&candidates[i].forecast);
      int64_t best_ms = penalised_end_ms (&candidates[best].forecast);
      if (key_ms < best_ms
          || (key_ms == best_ms && candidates[i].cores_milli > candidates[best].cores_milli))
        best = i;
    }
  return best;
}

/* Returns the index of the candidate that ends as early as BEST, by the uncertainty of the reports,
 * and has done its waiting work of lower priorities the earliest; COUNT if there is none.  Of equal
 * ones that with more cores counts as the earlier one. */
static size_t
best_equivalent (const forecast_candidate_t *candidates, size_t count, size_t best)
{
  size_t second = count;
  int64_t second_ms = 0;

  for (size_t i = 0; i < count; i++)
    {
      const forecast_t *forecast = &candidates[i].forecast;
      int64_t key_ms = penalised_end_ms (forecast) + forecast->lower_wait_ms;
      if (i == best || !are_equivalent (&candidates[best].forecast, forecast))
        continue;
      if (second == count || key_ms < second_ms
          || (key_ms == second_ms && candidates[i].cores_milli > candidates[second].cores_milli))
        {
          second = i;
          second_ms = key_ms;
        }
    }
  return second;
}

size_t
forecast_choose (const forecast_candidate_t *candidates, size_t count, uint64_t draw)
{
  size_t best = earliest_end (candidates, count);
  size_t second = best_equivalent (candidates, count, best);

  if (second == count)
    return best;
  const forecast_t *a = &candidates[best].forecast;
  const forecast_t *b = &candidates[second].forecast;
  int64_t lower_ms = a->lower_wait_ms - b->lower_wait_ms;
  if (ABS (lower_ms) > uncertainty_ms (a, b))
    return lower_ms < 0 ? best : second;
  uint64_t best_cores = (uint64_t) MAX (candidates[best].cores_milli, 1);
  uint64_t both = best_cores + (uint64_t) MAX (candidates[second].cores_milli, 1);
  return draw % both < best_cores ? best : second;
}
