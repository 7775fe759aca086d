/* progress.c -- what the progress of a run says about its end */
#include "executor/progress.h"

#include <math.h>

/* Below this progress, the duration of the whole task cannot be extrapolated. */
#define PROGRESS_PERCENT_MIN 5
/* A restart elsewhere must finish at least this long before the deadline. */
#define MOVE_MIN_GAIN_MS 30
/* A duration this many times the expected one indicates a slow endpoint rather than a large task.
 */
#define TASK_SIZE_ERROR_MAX 3.0
/* A run is aborted only if its remaining time is at least this percentage of the time until its
 * deadline.
 */
#define OVERDUE_MARGIN_PERCENT 108

/* Shortest expected duration of TASK, with WORK_MS of work, on the other endpoints that have free
 * resources for it now. */
static double
min_elsewhere_ms (const executor_t *executor, const task_t *task, double work_ms, int64_t now_ms)
{
  double best_ms = INFINITY;
  GHashTableIter iter;
  void *value = NULL;

  if (executor->drained)
    return best_ms;
  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const endpoint_t *endpoint = value;
      if (endpoint != task->endpoint && placement_may_run (endpoint, task)
          && placement_is_usable (endpoint, now_ms) && !placement_is_reserved (endpoint)
          && capacity_fits (&endpoint->capacity, &endpoint->used, &task->need, now_ms))
        best_ms = fmin (best_ms, work_ms * placement_ratio (endpoint)
                                     * placement_remote_factor (executor, endpoint, task->batch));
    }
  return best_ms;
}

/* Extrapolation of a run from its progress. */
typedef struct
{
  double remaining_ms;      /* until it ends on its endpoint */
  double until_deadline_ms; /* until its deadline */
  double work_ms;           /* of the whole task, at the reference speed */
} run_forecast_t;

/* Returns false if the progress of the run does not allow an extrapolation yet. */
static bool
forecast_run (const executor_t *executor,
              const task_t *task,
              int64_t now_ms,
              run_forecast_t *forecast)
{
  const batch_t *batch = task->batch;

  if (batch == NULL || task->progress_percent < PROGRESS_PERCENT_MIN
      || task->progress_percent >= 100)
    return false;
  double elapsed_ms = (double) (now_ms - task->start_sent_at_ms);
  /* Progress is rounded down to whole percents, so up to one percent more may be done. */
  double duration_ms = 100.0 * elapsed_ms / (task->progress_percent + 1);
  double ratio = placement_ratio (task->endpoint)
                 * placement_remote_factor (executor, task->endpoint, task->batch);
  bool is_large_task = duration_ms < TASK_SIZE_ERROR_MAX * (double) task->expected_ms;

  forecast->remaining_ms = duration_ms - elapsed_ms;
  forecast->until_deadline_ms = (double) (batch->target.deadline_at_ms - now_ms);
  forecast->work_ms = is_large_task ? duration_ms / ratio : (double) batch->target.work_ms;
  return true;
}

bool
should_move (const executor_t *executor, const task_t *task, int64_t now_ms)
{
  run_forecast_t forecast;

  if (task->moved || !forecast_run (executor, task, now_ms, &forecast)
      || forecast.remaining_ms < forecast.until_deadline_ms)
    return false;
  double restarted_ms = min_elsewhere_ms (executor, task, forecast.work_ms, now_ms);
  return restarted_ms + (double) executor->options.stop_ms + MOVE_MIN_GAIN_MS
         < forecast.until_deadline_ms;
}

bool
is_overdue (const executor_t *executor, const task_t *task, int64_t now_ms)
{
  run_forecast_t forecast;
  double fastest = INFINITY;
  GHashTableIter iter;
  void *value = NULL;

  if (!forecast_run (executor, task, now_ms, &forecast)
      || forecast.remaining_ms * 100 < forecast.until_deadline_ms * OVERDUE_MARGIN_PERCENT)
    return false;
  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (placement_is_usable (value, now_ms))
      fastest = fmin (fastest, placement_ratio (value));
  return forecast.work_ms * fastest > forecast.until_deadline_ms;
}
