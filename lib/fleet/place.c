/* place.c -- which endpoint a task starts on
 *
 * A task's duration is the caller's estimate times what estimates were worth on the
 * endpoint's kind of machine, times how the endpoint compares with its kind lately.  Among the
 * endpoints with room the slowest that should meet the task's objective is taken, else the
 * fastest; among those that are about equal, the one whose room is then used up
 * best, so that wide holes stay open for large tasks.
 */
#include "fleet/state.h"

#include <string.h>

/* Durations that differ by less than this part count as equal. */
#define ALIKE_PERCENT 10
/* Estimates are rough: a duration may be over its expectation by this and must still be in
 * time.  An objective grows with the true work, a deadline does not. */
#define GOAL_PERCENT 125
#define DEADLINE_PERCENT 160
#define PACE_USUAL 100.0
/* A kind that was never measured is taken to be as the caller says. */
#define RATIO_PRIOR 100.0
/* An endpoint that has not answered for this long gets nothing. */
#define SILENT_MAX_MS 100
/* A sample beyond this says that something hung, not how fast the endpoint is. */
#define PACE_MAX 1000.0

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

static double
kind_ratio (const fleet_t *fleet, const char *kind, int64_t now_ms)
{
  const kind_t *found = g_hash_table_lookup (fleet->kinds, kind);

  return found != NULL ? timing_estimate_ms (&found->ratio, RATIO_PRIOR, now_ms) : RATIO_PRIOR;
}

double
place_ratio (const fleet_t *fleet, const endpoint_t *endpoint, int64_t now_ms)
{
  double pace = timing_estimate_ms (&endpoint->pace, PACE_USUAL, now_ms);

  return kind_ratio (fleet, endpoint->kind, now_ms) * pace / (RATIO_PRIOR * PACE_USUAL);
}

int64_t
place_expected_ms (const fleet_t *fleet,
                   const endpoint_t *endpoint,
                   const batch_t *batch,
                   int64_t now_ms)
{
  return (int64_t) ((double) batch->estimate_ms * place_ratio (fleet, endpoint, now_ms));
}

void
place_learn (fleet_t *fleet, const task_t *task, int64_t elapsed_ms, int64_t now_ms)
{
  const endpoint_t *endpoint = task->endpoint;
  kind_t *kind = g_hash_table_lookup (fleet->kinds, endpoint->kind);

  if (task->batch == NULL || task->batch->estimate_ms <= 0)
    return;
  if (kind == NULL)
    {
      kind = g_new0 (kind_t, 1);
      kind->kind = g_strdup (endpoint->kind);
      g_hash_table_insert (fleet->kinds, kind->kind, kind);
    }
  double sample = 100.0 * (double) elapsed_ms / (double) task->batch->estimate_ms;
  double usual = timing_estimate_ms (&kind->ratio, RATIO_PRIOR, now_ms);
  double pace = MIN (PACE_USUAL * sample / usual, PACE_MAX);
  timing_add (&((endpoint_t *) endpoint)->pace, pace, now_ms);
  /* An endpoint that is out of line must not make its kind look slow. */
  if (pace < 3 * PACE_USUAL || kind->ratio.count < 8)
    timing_add (&kind->ratio, MIN (sample, PACE_MAX), now_ms);
}

bool
place_is_usable (const endpoint_t *endpoint, int64_t now_ms)
{
  if (endpoint->leaving || !endpoint->looked || endpoint->shut_out || !endpoint->clock_known)
    return false;
  if (endpoint->silent_from_ms != 0 && now_ms - endpoint->silent_from_ms > SILENT_MAX_MS)
    return false;
  if (endpoint->strangers->len > 0 || now_ms < endpoint->full_until_ms)
    return false;
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const task_t *run = endpoint->runs->pdata[i];
      /* Its lease must not be renewed before that run is over. */
      if (run->state == TASK_STOPPING
          && now_ms - run->must_end_at_ms > FLEET_UNSTOPPED_MAX_MS / 2)
        return false;
      if (run->state == TASK_UNSURE)
        return false;
    }
  return endpoint->outlier.state == OUTLIER_IN
         || outlier_wants_probe (&endpoint->outlier, true, now_ms);
}

static bool
may_run (const endpoint_t *endpoint, const task_t *task)
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

typedef struct
{
  endpoint_t *endpoint;
  int64_t expected_ms;
  bool doubted;  /* others go first */
  bool in_time;  /* the task should meet its objective there */
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
  if (a->in_time != b->in_time)
    return a->in_time;
  int64_t margin_ms = b->expected_ms * ALIKE_PERCENT / 100;
  if (a->expected_ms < b->expected_ms - margin_ms)
    return !a->in_time;
  if (a->expected_ms > b->expected_ms + margin_ms)
    return a->in_time;
  return a->left_over < b->left_over;
}

endpoint_t *
place_choose (fleet_t *fleet, const task_t *task, int64_t now_ms)
{
  const batch_t *batch = task->batch;
  GHashTableIter iter;
  void *value = NULL;
  candidate_t best = { 0 };

  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      endpoint_t *endpoint = value;
      if (!room_fits (&endpoint->whole, &endpoint->used, &task->need)
          || !place_is_usable (endpoint, now_ms) || !may_run (endpoint, task))
        continue;
      candidate_t one = {
        .endpoint = endpoint,
        .expected_ms = place_expected_ms (fleet, endpoint, batch, now_ms),
        .doubted = outlier_is_doubted (&endpoint->outlier, now_ms)
                   || (task->avoid != NULL && strcmp (task->avoid, endpoint->id) == 0),
        .left_over = left_over (endpoint, &task->need),
      };
      one.in_time = place_is_in_time (one.expected_ms, now_ms, batch->goal_at_ms,
                                      batch->deadline_at_ms);
      if (is_better (&one, &best))
        best = one;
    }
  return best.endpoint;
}

bool
place_is_in_time (int64_t expected_ms, int64_t now_ms, int64_t goal_at_ms, int64_t deadline_at_ms)
{
  return now_ms + expected_ms * GOAL_PERCENT / 100 <= goal_at_ms
         && now_ms + expected_ms * DEADLINE_PERCENT / 100 <= deadline_at_ms;
}
