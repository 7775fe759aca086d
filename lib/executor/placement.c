/* placement.c -- choice of the endpoint on which a task starts
 *
 * The expected duration of a task is the corrected estimate of the caller (estimate.h), multiplied
 * by the duration ratio of the endpoint and, away from the rack of its data, by the remote factor.
 * The duration ratio is measured over the runs of the endpoint, with the ratio of its machine kind
 * as the prior value.
 *
 * Of the endpoints with free resources, those with the best expected outcome are considered, and
 * the fastest of these is chosen: what ends early is not lost with a host that fails.  Among
 * endpoints of about the same speed, the one with the fewest cores left over is chosen (best fit),
 * so that large gaps stay free for large tasks.
 */
#include "executor/state.h"

#include <math.h>
#include <string.h>

/* Durations that differ by at most this percentage count as equal. */
#define EQUAL_DURATION_PERCENT 15
/* Estimates are rough, so a placement is tested with several percentages of the estimated work:
 * the objective with OBJECTIVE_WORK_MIN_PERCENT and OBJECTIVE_WORK_MAX_PERCENT, the deadline
 * with DEADLINE_WORK_PERCENT and SAFE_WORK_PERCENT.  A placement is safe if it meets the
 * objective with SAFE_WORK_PERCENT too. */
#define OBJECTIVE_WORK_MIN_PERCENT 75
#define OBJECTIVE_WORK_MAX_PERCENT 125
#define DEADLINE_WORK_PERCENT 150
#define SAFE_WORK_PERCENT 260
/* A task that would otherwise be refused starts where it meets its deadline with this percentage
 * of its expected duration. */
#define FALLBACK_WORK_PERCENT 75
/* If no endpoint leaves a margin before the deadline, only those are used on which the expected
 * duration is at most this percentage of the shortest one. */
#define UNLIKELY_DURATION_MAX_PERCENT 150
/* Each run multiplies the sums behind the long and the short average of durations by these
 * factors, so that the averages cover about 40 and 5 runs. */
#define STATS_DECAY 0.975
#define RECENT_DECAY 0.8
#define RECENT_RUNS_MIN 5
/* At most this part of the usable endpoints runs tasks that start alone, and one at least. */
#define ALONE_ENDPOINTS_DIVISOR 4
/* The short average is used alone if it differs from the long one by more than this factor. */
#define SPEED_CHANGE_FACTOR 1.8
/* Weight of the prior ratio: it counts like this many milliseconds of work that was measured at
 * that ratio. */
#define PRIOR_MS 300.0
/* Measured durations are capped at this many times the estimate: a longer run probably hung, which
 * says nothing about the endpoint's speed. */
#define DURATION_RATIO_MAX 12.0

/* --- speeds --- */

static void
duration_stats_add (duration_stats_t *stats, double elapsed_ms, double estimate_ms)
{
  stats->elapsed_ms = stats->elapsed_ms * STATS_DECAY + elapsed_ms;
  stats->estimate_ms = stats->estimate_ms * STATS_DECAY + estimate_ms;
  stats->recent_elapsed_ms = stats->recent_elapsed_ms * RECENT_DECAY + elapsed_ms;
  stats->recent_estimate_ms = stats->recent_estimate_ms * RECENT_DECAY + estimate_ms;
  stats->count++;
}

/* Returns duration divided by estimate.  PRIOR_RATIO counts as PRIOR_MS of measured work. */
static double
duration_stats_ratio (const duration_stats_t *stats, double prior_ratio, double prior_ms)
{
  double long_term = (stats->elapsed_ms + prior_ratio * prior_ms) / (stats->estimate_ms + prior_ms);

  if (stats->count < RECENT_RUNS_MIN)
    return long_term;
  double recent = stats->recent_elapsed_ms / stats->recent_estimate_ms;
  return recent > long_term * SPEED_CHANGE_FACTOR || recent < long_term / SPEED_CHANGE_FACTOR
             ? recent
             : long_term;
}

static double
kind_ratio (const executor_t *executor, const char *kind)
{
  const machine_kind_t *found = g_hash_table_lookup (executor->kinds, kind);

  return found != NULL ? duration_stats_ratio (&found->durations, 1.0, PRIOR_MS) : 1.0;
}

double
placement_ratio (const endpoint_t *endpoint)
{
  return endpoint->duration_ratio;
}

void
placement_update_ratio (const executor_t *executor, endpoint_t *endpoint)
{
  endpoint->duration_ratio =
      duration_stats_ratio (&endpoint->durations, kind_ratio (executor, endpoint->kind), PRIOR_MS);
}

double
placement_remote_factor (const executor_t *executor,
                         const endpoint_t *endpoint,
                         const batch_t *batch)
{
  bool in_preferred_rack =
      batch->preferred_rack[0] == '\0' || strcmp (batch->preferred_rack, endpoint->rack) == 0;

  return in_preferred_rack ? 1.0 : fmax (executor->options.remote_factor, 1.0);
}

/* Expected duration of a task of BATCH on ENDPOINT divided by its work. */
static double
ratio_of (const executor_t *executor, const endpoint_t *endpoint, const batch_t *batch)
{
  return endpoint->duration_ratio * placement_remote_factor (executor, endpoint, batch);
}

int64_t
placement_expected_ms (const executor_t *executor, const endpoint_t *endpoint, const batch_t *batch)
{
  return (int64_t) ((double) batch->target.work_ms * ratio_of (executor, endpoint, batch));
}

int64_t
placement_min_ms (const executor_t *executor, const batch_t *batch)
{
  if (executor->usable->len == 0)
    return INT64_MAX;
  return (int64_t) ((double) batch->target.work_ms * executor->min_ratio);
}

void
placement_begin_round (executor_t *executor, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_ptr_array_set_size (executor->usable, 0);
  g_ptr_array_set_size (executor->with_free_cores, 0);
  executor->min_ratio = 0;
  executor->alone_left = 0;
  executor->min_capacity = (resources_t){ 0 };
  if (executor->drained)
    return;
  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      endpoint_t *endpoint = value;
      bool reserved = placement_is_reserved (endpoint);
      executor->alone_left -= reserved;
      if (!placement_is_usable (endpoint, now_ms))
        continue;
      g_ptr_array_add (executor->usable, endpoint);
      if (!reserved && endpoint->used.cores_milli < endpoint->capacity.reported.cores_milli)
        g_ptr_array_add (executor->with_free_cores, endpoint);
      executor->min_capacity =
          executor->usable->len == 1
              ? endpoint->capacity.reported
              : resources_min (&executor->min_capacity, &endpoint->capacity.reported);
      if (executor->min_ratio <= 0 || endpoint->duration_ratio < executor->min_ratio)
        executor->min_ratio = endpoint->duration_ratio;
    }
  executor->alone_left += MAX ((int32_t) executor->usable->len / ALONE_ENDPOINTS_DIVISOR, 1);
}

bool
placement_is_reserved (const endpoint_t *endpoint)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    if (((const task_t *) endpoint->runs->pdata[i])->runs_alone)
      return true;
  return false;
}

endpoint_t *
placement_choose_alone (executor_t *executor, const task_t *task, int64_t now_ms)
{
  endpoint_t *chosen = NULL;

  if (executor->alone_left <= 0)
    return NULL;
  for (guint i = 0; i < executor->with_free_cores->len; i++)
    {
      endpoint_t *endpoint = executor->with_free_cores->pdata[i];
      if (!capacity_fits (&endpoint->capacity, &endpoint->used, &task->need, now_ms)
          || !placement_may_run (endpoint, task))
        continue;
      if (chosen == NULL || endpoint->runs->len < chosen->runs->len
          || (endpoint->runs->len == chosen->runs->len
              && endpoint->duration_ratio < chosen->duration_ratio))
        chosen = endpoint;
    }
  if (chosen != NULL)
    g_ptr_array_remove_fast (executor->with_free_cores, chosen);
  return chosen;
}

void
placement_record_duration (executor_t *executor, const task_t *task, int64_t elapsed_ms)
{
  endpoint_t *endpoint = task->endpoint;
  machine_kind_t *kind = g_hash_table_lookup (executor->kinds, endpoint->kind);

  /* A run that started on a cold endpoint does not show its usual speed. */
  if (task->batch == NULL || task->start_sent_at_ms < endpoint->cold_until_ms)
    return;
  if (kind == NULL)
    {
      kind = g_new0 (machine_kind_t, 1);
      kind->kind = g_strdup (endpoint->kind);
      g_hash_table_insert (executor->kinds, kind->kind, kind);
    }
  const batch_t *batch = task->batch;
  double remote_factor = placement_remote_factor (executor, endpoint, batch);
  double estimate_ms = (double) batch->target.work_ms * remote_factor;
  estimates_add (executor->estimates, batch->service, batch->priority, batch->caller_estimate_ms,
                 (double) elapsed_ms / (placement_ratio (endpoint) * remote_factor));
  double max_elapsed_ms = DURATION_RATIO_MAX * estimate_ms;
  duration_stats_add (&endpoint->durations, fmin ((double) elapsed_ms, max_elapsed_ms),
                      estimate_ms);
  duration_stats_add (&kind->durations, fmin ((double) elapsed_ms, max_elapsed_ms), estimate_ms);
  placement_update_ratio (executor, endpoint);
}

bool
placement_is_usable (const endpoint_t *endpoint, int64_t now_ms)
{
  if (endpoint->leaving || endpoint->entry_removed || !endpoint->runs_known || endpoint->fenced
      || !endpoint->clock_known)
    return false;
  if (endpoint->unanswered_calls >= UNRESPONSIVE_CALLS)
    return false;
  if (endpoint->foreign_runs->len > 0 || open_orders_may_start (endpoint->open_orders)
      || now_ms < endpoint->full_until_ms)
    return false;
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const task_t *run = endpoint->runs->pdata[i];
      /* The lease must not be renewed before that run is over. */
      if (run->state == TASK_STOPPING
          && now_ms - run->stop_requested_at_ms > EXECUTOR_UNSTOPPED_MAX_MS / 2)
        return false;
    }
  return endpoint->outlier.state == OUTLIER_ADMITTED
         || outlier_may_probe (&endpoint->outlier, true, now_ms);
}

/* Whether the tasks that are called A and B, "JOB.0.STEP.INDEX", are of one step. */
static bool
are_of_one_step (const char *a, const char *b)
{
  size_t length = (size_t) (strrchr (a, '.') - a);

  return strncmp (a, b, length + 1) == 0 && strchr (b + length + 1, '.') == NULL;
}

/* Counts the runs on ENDPOINT of the step of TASK.  One that is being stopped counts until its end
 * is listed, also if its batch was cancelled. */
static int32_t
count_runs_of_step (const endpoint_t *endpoint, const task_t *task)
{
  int32_t count = 0;

  for (guint i = 0; i < endpoint->runs->len; i++)
    count += are_of_one_step (((const task_t *) endpoint->runs->pdata[i])->name, task->name);
  return count;
}

bool
placement_may_run (const endpoint_t *endpoint, const task_t *task)
{
  const batch_t *batch = task->batch;

  if (strcmp (endpoint->service, batch->service) != 0)
    return false;
  if (batch->required_label[0] != '\0' && strcmp (batch->required_label, endpoint->kind) != 0
      && strcmp (batch->required_label, endpoint->rack) != 0)
    return false;
  return batch->tasks_per_endpoint_max <= 0
         || count_runs_of_step (endpoint, task) < batch->tasks_per_endpoint_max;
}

/* Cores that are left free on ENDPOINT after NEED has been allocated. */
static int64_t
free_cores_left_milli (const endpoint_t *endpoint, const resources_t *need)
{
  return endpoint->capacity.reported.cores_milli - endpoint->used.cores_milli - need->cores_milli;
}

/* True if a task that takes RATIO times its work meets its objective when its work is PERCENT of
 * the estimate. */
static bool
meets_objective (const placement_target_t *target, double ratio, int64_t now_ms, int percent)
{
  double expected_ms = (double) target->work_ms;
  double work_ms = expected_ms * percent / 100;
  double objective_at_ms =
      (double) target->objective_at_ms + target->stretch_factor * (work_ms - expected_ms);

  return (double) now_ms + ratio * work_ms <= objective_at_ms;
}

static bool
meets_deadline (const placement_target_t *target, double ratio, int64_t now_ms, int percent)
{
  double work_ms = (double) target->work_ms * percent / 100;

  return (double) now_ms + ratio * work_ms <= (double) target->deadline_at_ms;
}

placement_tier_t
placement_tier (const placement_target_t *target, double ratio, int64_t now_ms)
{
  if (!meets_deadline (target, ratio, now_ms, DEADLINE_WORK_PERCENT))
    return PLACEMENT_UNLIKELY;
  /* A job that misses its objective is late; one that misses its deadline has failed. */
  if (!meets_objective (target, ratio, now_ms, OBJECTIVE_WORK_MIN_PERCENT)
      || !meets_objective (target, ratio, now_ms, OBJECTIVE_WORK_MAX_PERCENT)
      || !meets_deadline (target, ratio, now_ms, SAFE_WORK_PERCENT))
    return PLACEMENT_LATE;
  return meets_objective (target, ratio, now_ms, SAFE_WORK_PERCENT) ? PLACEMENT_SAFE
                                                                    : PLACEMENT_IN_TIME;
}

typedef struct
{
  endpoint_t *endpoint;
  int64_t expected_ms;
  bool deprioritized; /* chosen only if no other endpoint will do */
  placement_tier_t tier;
  int64_t free_cores_left_milli;
} candidate_t;

static bool
is_better_candidate (const candidate_t *a, const candidate_t *b)
{
  if (b->endpoint == NULL)
    return true;
  if (a->deprioritized != b->deprioritized)
    return b->deprioritized;
  if (a->tier != b->tier)
    return a->tier > b->tier;
  int64_t margin_ms = b->expected_ms * EQUAL_DURATION_PERCENT / 100;
  if (a->expected_ms < b->expected_ms - margin_ms)
    return true;
  if (a->expected_ms > b->expected_ms + margin_ms)
    return false;
  return a->free_cores_left_milli < b->free_cores_left_milli;
}

void
placement_best_add (placement_best_t *best, placement_tier_t tier, int64_t expected_ms)
{
  best->tier = MAX (best->tier, tier);
  best->min_ms = MIN (best->min_ms, expected_ms);
}

bool
placement_is_acceptable (placement_tier_t tier, int64_t expected_ms, const placement_best_t *best)
{
  if (tier >= PLACEMENT_LATE)
    return tier >= MIN (best->tier, PLACEMENT_IN_TIME);
  if (best->min_ms == INT64_MAX)
    return true;
  return best->tier == PLACEMENT_UNLIKELY
         && expected_ms * 100 <= best->min_ms * UNLIKELY_DURATION_MAX_PERCENT;
}

static void
add_best (placement_best_t *best, const batch_t *batch, double ratio, int64_t now_ms)
{
  placement_tier_t tier = placement_tier (&batch->target, ratio, now_ms);

  placement_best_add (best, tier, (int64_t) (ratio * (double) batch->target.work_ms));
}

/* Returns the best outcome that a usable endpoint could give TASK.  For a task that has neither a
 * required label nor a preferred rack and fits every endpoint, that is the outcome on the fastest
 * endpoint. */
static placement_best_t
best_outcome (const executor_t *executor, const task_t *task, int64_t now_ms)
{
  static const resources_t no_resources;
  const batch_t *batch = task->batch;
  placement_best_t best = PLACEMENT_BEST_NONE;

  if (batch->required_label[0] == '\0' && batch->preferred_rack[0] == '\0'
      && resources_fit (&executor->min_capacity, &no_resources, &task->need))
    {
      if (executor->usable->len > 0)
        add_best (&best, batch, executor->min_ratio, now_ms);
      return best;
    }
  for (guint i = 0; i < executor->usable->len; i++)
    {
      const endpoint_t *endpoint = executor->usable->pdata[i];
      if (placement_may_run (endpoint, task)
          && resources_fit (&endpoint->capacity.reported, &no_resources, &task->need))
        add_best (&best, batch, ratio_of (executor, endpoint, batch), now_ms);
    }
  return best;
}

/* A task does not start where it would be late while an endpoint on which it would be in time may
 * become free soon enough. */
endpoint_t *
placement_choose (executor_t *executor, const task_t *task, int64_t now_ms, placement_best_t *best)
{
  const batch_t *batch = task->batch;
  candidate_t chosen = { 0 };

  *best = best_outcome (executor, task, now_ms);
  for (guint i = 0; i < executor->with_free_cores->len; i++)
    {
      endpoint_t *endpoint = executor->with_free_cores->pdata[i];
      if (!capacity_fits (&endpoint->capacity, &endpoint->used, &task->need, now_ms)
          || !placement_may_run (endpoint, task))
        continue;
      candidate_t candidate = {
        .endpoint = endpoint,
        .expected_ms = placement_expected_ms (executor, endpoint, batch),
        .deprioritized = outlier_is_suspect (&endpoint->outlier, now_ms)
                         || (task->avoid_endpoint_id != NULL
                             && strcmp (task->avoid_endpoint_id, endpoint->id) == 0),
        .free_cores_left_milli = free_cores_left_milli (endpoint, &task->need),
      };
      candidate.tier =
          placement_tier (&batch->target, ratio_of (executor, endpoint, batch), now_ms);
      if (is_better_candidate (&candidate, &chosen))
        chosen = candidate;
    }
  return chosen.endpoint != NULL && placement_is_acceptable (chosen.tier, chosen.expected_ms, best)
             ? chosen.endpoint
             : NULL;
}

endpoint_t *
placement_fallback (const executor_t *executor, const task_t *task, int64_t now_ms)
{
  const batch_t *batch = task->batch;
  endpoint_t *best = NULL;
  int64_t best_ms = (batch->target.deadline_at_ms - now_ms) * 100 / FALLBACK_WORK_PERCENT;

  for (guint i = 0; i < executor->with_free_cores->len; i++)
    {
      endpoint_t *endpoint = executor->with_free_cores->pdata[i];
      int64_t expected_ms = placement_expected_ms (executor, endpoint, batch);
      if (expected_ms < best_ms
          && capacity_fits (&endpoint->capacity, &endpoint->used, &task->need, now_ms)
          && placement_may_run (endpoint, task) && !outlier_is_suspect (&endpoint->outlier, now_ms))
        {
          best = endpoint;
          best_ms = expected_ms;
        }
    }
  return best;
}
