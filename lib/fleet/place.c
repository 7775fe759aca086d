/* place.c -- which endpoint a task starts on
 *
 * A task's duration is the caller's estimate, corrected (estimate.h), times what estimates were
 * worth on the endpoint's kind of machine, times how the endpoint compares with its kind lately,
 * times what it costs to be away from the rack of its data.  Among the endpoints with room the
 * slowest that should meet the task's objective is taken, else the fastest; among those that are
 * about equal, the one whose room is then used up best, so that wide holes stay open for large
 * tasks.
 */
#include "fleet/state.h"

#include <math.h>
#include <string.h>

/* Durations that differ by less than this part count as equal. */
#define ALIKE_PERCENT 15
/* Estimates are rough: the work may be so much less or more than expected, and must still be in
 * time.  What is sure is in time also if the estimate is far off. */
#define GOAL_LEAST_PERCENT 75
#define GOAL_MOST_PERCENT 125
#define DEADLINE_PERCENT 150
#define SURE_PERCENT 260
/* Rather than refuse a task, it is started where it is in time if this part of what is expected is
 * enough. */
#define RESORT_PERCENT 75
/* Where no endpoint leaves a margin, only those will do on which a task takes at most so much of
 * its time on the fastest. */
#define NEAR_FASTEST_PERCENT 150
/* What is left of the sums of a pace with each run: they reach over about 40 and 5 runs. */
#define PACE_KEPT 0.975
#define LATE_KEPT 0.8
#define LATE_RUNS 5
/* The last runs count alone once they differ by this factor. */
#define CHANGED 1.8
/* What is usual for a kind weighs as much as runs of this length together. */
#define PRIOR_MS 300.0
/* Beyond this something hung, which says nothing about speed. */
#define RATIO_MAX 12.0

bool
room_fits (const room_t *whole, const room_t *used, const room_t *need)
{
  return used->cores_milli + need->cores_milli <= whole->cores_milli
         && used->memory_mb + need->memory_mb <= whole->memory_mb
         && used->gpus + need->gpus <= whole->gpus;
}

void
room_add (room_t *room, const room_t *need, int32_t sign)
{
  room->cores_milli += sign * need->cores_milli;
  room->memory_mb += sign * need->memory_mb;
  room->gpus += sign * need->gpus;
}

/* --- speeds --- */

static void
pace_add (pace_t *pace, double elapsed_ms, double estimate_ms)
{
  pace->elapsed_ms = pace->elapsed_ms * PACE_KEPT + elapsed_ms;
  pace->estimate_ms = pace->estimate_ms * PACE_KEPT + estimate_ms;
  pace->late_elapsed_ms = pace->late_elapsed_ms * LATE_KEPT + elapsed_ms;
  pace->late_estimate_ms = pace->late_estimate_ms * LATE_KEPT + estimate_ms;
  pace->count++;
}

/* Duration over estimate; USUAL stands for PRIOR_MS of work until there are runs. */
static double
pace_ratio (const pace_t *pace, double usual, double prior_ms)
{
  double steady = (pace->elapsed_ms + usual * prior_ms) / (pace->estimate_ms + prior_ms);

  if (pace->count < LATE_RUNS)
    return steady;
  double late = pace->late_elapsed_ms / pace->late_estimate_ms;
  return late > steady * CHANGED || late < steady / CHANGED ? late : steady;
}

static double
kind_ratio (const fleet_t *fleet, const char *kind)
{
  const kind_t *found = g_hash_table_lookup (fleet->kinds, kind);

  return found != NULL ? pace_ratio (&found->pace, 1.0, PRIOR_MS) : 1.0;
}

double
place_ratio (const endpoint_t *endpoint)
{
  return endpoint->ratio;
}

void
place_rate (const fleet_t *fleet, endpoint_t *endpoint)
{
  endpoint->ratio = pace_ratio (&endpoint->pace, kind_ratio (fleet, endpoint->kind), PRIOR_MS);
}

double
place_distance (const fleet_t *fleet, const endpoint_t *endpoint, const batch_t *batch)
{
  bool near = batch->near_rack[0] == '\0' || strcmp (batch->near_rack, endpoint->rack) == 0;

  return near ? 1.0 : fmax (fleet->options.remote_factor, 1.0);
}

/* Duration over work of a task of BATCH on ENDPOINT. */
static double
ratio_of (const fleet_t *fleet, const endpoint_t *endpoint, const batch_t *batch)
{
  return endpoint->ratio * place_distance (fleet, endpoint, batch);
}

int64_t
place_expected_ms (const fleet_t *fleet, const endpoint_t *endpoint, const batch_t *batch)
{
  return (int64_t) ((double) batch->aim.work_ms * ratio_of (fleet, endpoint, batch));
}

int64_t
place_least_ms (const fleet_t *fleet, const batch_t *batch)
{
  if (fleet->usable->len == 0)
    return INT64_MAX;
  return (int64_t) ((double) batch->aim.work_ms * fleet->least_ratio);
}

void
place_prepare (fleet_t *fleet, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_ptr_array_set_size (fleet->usable, 0);
  g_ptr_array_set_size (fleet->open, 0);
  fleet->least_ratio = 0;
  if (fleet->drained)
    return;
  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      endpoint_t *endpoint = value;
      if (!place_is_usable (endpoint, now_ms))
        continue;
      g_ptr_array_add (fleet->usable, endpoint);
      if (endpoint->used.cores_milli < endpoint->whole.cores_milli)
        g_ptr_array_add (fleet->open, endpoint);
      if (fleet->least_ratio <= 0 || endpoint->ratio < fleet->least_ratio)
        fleet->least_ratio = endpoint->ratio;
    }
}

void
place_learn (fleet_t *fleet, const task_t *task, int64_t elapsed_ms)
{
  endpoint_t *endpoint = task->endpoint;
  kind_t *kind = g_hash_table_lookup (fleet->kinds, endpoint->kind);

  /* A run on an endpoint that has just restarted says nothing about its lasting speed. */
  if (task->batch == NULL || task->sent_at_ms < endpoint->cold_until_ms)
    return;
  if (kind == NULL)
    {
      kind = g_new0 (kind_t, 1);
      kind->kind = g_strdup (endpoint->kind);
      g_hash_table_insert (fleet->kinds, kind->kind, kind);
    }
  const batch_t *batch = task->batch;
  double distance = place_distance (fleet, endpoint, batch);
  double estimate_ms = (double) batch->aim.work_ms * distance;
  estimates_add (fleet->estimates, batch->service, batch->priority, batch->raw_estimate_ms,
                 (double) elapsed_ms / (place_ratio (endpoint) * distance));
  double most_ms = RATIO_MAX * estimate_ms;
  pace_add (&endpoint->pace, fmin ((double) elapsed_ms, most_ms), estimate_ms);
  pace_add (&kind->pace, fmin ((double) elapsed_ms, most_ms), estimate_ms);
  place_rate (fleet, endpoint);
}

bool
place_is_usable (const endpoint_t *endpoint, int64_t now_ms)
{
  if (endpoint->leaving || endpoint->departed || !endpoint->looked || endpoint->shut_out
      || !endpoint->clock_known)
    return false;
  if (endpoint->misses >= SILENT_MISSES)
    return false;
  if (endpoint->foreign->len > 0 || now_ms < endpoint->full_until_ms)
    return false;
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const task_t *run = endpoint->runs->pdata[i];
      /* Its lease must not be renewed before that run is over. */
      if (run->state == TASK_STOPPING && now_ms - run->must_end_at_ms > FLEET_UNSTOPPED_MAX_MS / 2)
        return false;
    }
  return endpoint->outlier.state == OUTLIER_ADMITTED
         || outlier_may_probe (&endpoint->outlier, true, now_ms);
}

bool
place_may_run (const endpoint_t *endpoint, const task_t *task)
{
  const batch_t *batch = task->batch;

  if (strcmp (endpoint->service, batch->service) != 0)
    return false;
  if (batch->label[0] != '\0' && strcmp (batch->label, endpoint->kind) != 0
      && strcmp (batch->label, endpoint->rack) != 0)
    return false;
  if (batch->spread_max > 0)
    {
      int32_t there = 0;
      for (guint i = 0; i < endpoint->runs->len; i++)
        {
          const task_t *run = endpoint->runs->pdata[i];
          there += run->batch != NULL && run->batch->step == batch->step
                   && strcmp (run->batch->job, batch->job) == 0;
        }
      if (there >= batch->spread_max)
        return false;
    }
  return true;
}

/* What is left of the cores once NEED has been taken. */
static int64_t
left_over (const endpoint_t *endpoint, const room_t *need)
{
  return endpoint->whole.cores_milli - endpoint->used.cores_milli - need->cores_milli;
}

/* True if a task that takes RATIO times its work meets its objective, should its work be PERCENT of
 * what is expected. */
static bool
meets_goal (const place_aim_t *aim, double ratio, int64_t now_ms, int percent)
{
  double expected_ms = (double) aim->work_ms;
  double work_ms = expected_ms * percent / 100;
  double goal_at_ms = (double) aim->goal_at_ms + aim->stretch * (work_ms - expected_ms);

  return (double) now_ms + ratio * work_ms <= goal_at_ms;
}

static bool
meets_deadline (const place_aim_t *aim, double ratio, int64_t now_ms, int percent)
{
  double work_ms = (double) aim->work_ms * percent / 100;

  return (double) now_ms + ratio * work_ms <= (double) aim->deadline_at_ms;
}

place_tier_t
place_tier (const place_aim_t *aim, double ratio, int64_t now_ms)
{
  if (!meets_deadline (aim, ratio, now_ms, DEADLINE_PERCENT))
    return PLACE_UNLIKELY;
  /* A missed objective delays a job, a missed deadline loses it. */
  if (!meets_goal (aim, ratio, now_ms, GOAL_LEAST_PERCENT)
      || !meets_goal (aim, ratio, now_ms, GOAL_MOST_PERCENT)
      || !meets_deadline (aim, ratio, now_ms, SURE_PERCENT))
    return PLACE_LATE;
  return meets_goal (aim, ratio, now_ms, SURE_PERCENT) ? PLACE_SURE : PLACE_IN_TIME;
}

typedef struct
{
  endpoint_t *endpoint;
  int64_t expected_ms;
  bool doubted; /* others go first */
  place_tier_t tier;
  int64_t left_over;
} candidate_t;

/* Among endpoints that are fast enough the slowest is taken, so that the fast ones stay free for
 * tasks that need them; where none is, the fastest. */
static bool
is_better (const candidate_t *a, const candidate_t *b)
{
  if (b->endpoint == NULL)
    return true;
  if (a->doubted != b->doubted)
    return b->doubted;
  if (a->tier != b->tier)
    return a->tier > b->tier;
  int64_t margin_ms = b->expected_ms * ALIKE_PERCENT / 100;
  bool spare = a->tier == PLACE_SURE;
  if (a->expected_ms < b->expected_ms - margin_ms)
    return !spare;
  if (a->expected_ms > b->expected_ms + margin_ms)
    return spare;
  return a->left_over < b->left_over;
}

void
place_hope_add (place_hope_t *hope, place_tier_t tier, int64_t expected_ms)
{
  hope->tier = MAX (hope->tier, tier);
  hope->least_ms = MIN (hope->least_ms, expected_ms);
}

bool
place_is_worth (place_tier_t tier, int64_t expected_ms, const place_hope_t *hope)
{
  if (tier >= PLACE_LATE)
    return tier >= MIN (hope->tier, PLACE_IN_TIME);
  if (hope->least_ms == INT64_MAX)
    return true;
  return hope->tier == PLACE_UNLIKELY && expected_ms * 100 <= hope->least_ms * NEAR_FASTEST_PERCENT;
}

static void
add_hope (place_hope_t *hope, const batch_t *batch, double ratio, int64_t now_ms)
{
  place_tier_t tier = place_tier (&batch->aim, ratio, now_ms);

  place_hope_add (hope, tier, (int64_t) (ratio * (double) batch->aim.work_ms));
}

/* A task that may run anywhere, at the same speed, is as well off as on the fastest endpoint. */
static place_hope_t
hope_of (const fleet_t *fleet, const task_t *task, int64_t now_ms)
{
  static const room_t nothing;
  const batch_t *batch = task->batch;
  place_hope_t hope = PLACE_NO_HOPE;

  if (batch->label[0] == '\0' && batch->near_rack[0] == '\0')
    {
      if (fleet->usable->len > 0)
        add_hope (&hope, batch, fleet->least_ratio, now_ms);
      return hope;
    }
  for (guint i = 0; i < fleet->usable->len; i++)
    {
      const endpoint_t *endpoint = fleet->usable->pdata[i];
      if (place_may_run (endpoint, task) && room_fits (&endpoint->whole, &nothing, &task->need))
        add_hope (&hope, batch, ratio_of (fleet, endpoint, batch), now_ms);
    }
  return hope;
}

/* A task does not start where it would be late while an endpoint on which it would be in time
 * may still get free soon enough. */
endpoint_t *
place_choose (fleet_t *fleet, const task_t *task, int64_t now_ms, place_hope_t *hope)
{
  const batch_t *batch = task->batch;
  candidate_t best = { 0 };

  *hope = hope_of (fleet, task, now_ms);
  for (guint i = 0; i < fleet->open->len; i++)
    {
      endpoint_t *endpoint = fleet->open->pdata[i];
      if (!room_fits (&endpoint->whole, &endpoint->used, &task->need)
          || !place_may_run (endpoint, task))
        continue;
      candidate_t one = {
        .endpoint = endpoint,
        .expected_ms = place_expected_ms (fleet, endpoint, batch),
        .doubted = outlier_is_suspect (&endpoint->outlier, now_ms)
                   || (task->avoid != NULL && strcmp (task->avoid, endpoint->id) == 0),
        .left_over = left_over (endpoint, &task->need),
      };
      one.tier = place_tier (&batch->aim, ratio_of (fleet, endpoint, batch), now_ms);
      if (is_better (&one, &best))
        best = one;
    }
  return best.endpoint != NULL && place_is_worth (best.tier, best.expected_ms, hope) ? best.endpoint
                                                                                     : NULL;
}

endpoint_t *
place_last_resort (const fleet_t *fleet, const task_t *task, int64_t now_ms)
{
  const batch_t *batch = task->batch;
  endpoint_t *best = NULL;
  int64_t best_ms = (batch->aim.deadline_at_ms - now_ms) * 100 / RESORT_PERCENT;

  for (guint i = 0; i < fleet->open->len; i++)
    {
      endpoint_t *endpoint = fleet->open->pdata[i];
      int64_t expected_ms = place_expected_ms (fleet, endpoint, batch);
      if (expected_ms < best_ms && room_fits (&endpoint->whole, &endpoint->used, &task->need)
          && place_may_run (endpoint, task) && !outlier_is_suspect (&endpoint->outlier, now_ms))
        {
          best = endpoint;
          best_ms = expected_ms;
        }
    }
  return best;
}
