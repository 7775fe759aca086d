/* forecast.c -- when a task would start and end at an owner that has a backlog */
#include "flow/forecast.h"

#define MILLI 1000.0
/* Single errors of estimates average out over a backlog; so much of its work is nearly certain. */
#define BACKLOG_LEAST_PERCENT 75
/* A task's own estimate is off by 40%. */
#define TASK_LEAST_PERCENT 60
/* Ends that differ by less than this part of the longer one count as equal, and so do those that
 * differ by less than what others can have queued since the report. */
#define ALIKE_PERCENT 25
#define AGES_ALIKE 2

/* Owners report at least this often.  One that is silent for longer may have stopped, so that its
 * backlog isn't taken to shrink, and others go before it. */
#define REPORT_EVERY_MS 300

/* Work in core-milliseconds that goes before a task of LEVEL. */
typedef struct
{
  double timely;
  double all; /* with the late work of its level */
} ahead_t;

static ahead_t
ahead_of (const forecast_load_t *load, int32_t level)
{
  ahead_t ahead = { 0 };

  for (int32_t i = 0; i <= level; i++)
    ahead.all += (double) load->told.backlog_core_ms[i] + (double) load->sent_core_ms[i];
  ahead.timely = ahead.all - (double) load->told.late_core_ms[level];
  return ahead;
}

/* The time that CORES_MILLI need for WORK, of which AGE_MS have passed. */
static int64_t
wait_for (double work, double cores_milli, int64_t next_free_ms, int64_t age_ms)
{
  int64_t work_ms = work > 0 ? MAX ((int64_t) (work * MILLI / cores_milli), next_free_ms) : 0;

  return MAX (work_ms - age_ms, 0);
}

/* WAIT_MS, less what rests on rough estimates.  Work that is under way when the report is made, and
 * when the task starts, makes the wait shorter or longer by half a task at the most, if it is
 * as far as is usual.  During the report's age other work may have gone. */
static int64_t
least_of (int64_t wait_ms, int64_t task_ms, int64_t age_ms)
{
  int64_t rough_ms = wait_ms * BACKLOG_LEAST_PERCENT / 100;

  return MAX (MIN (rough_ms, wait_ms - task_ms / 2) - age_ms, 0);
}

forecast_t
forecast_of (const forecast_load_t *load, const forecast_task_t *task, int64_t now_ms)
{
  const fleet_load_t *told = &load->told;
  ahead_t ahead = ahead_of (load, fleet_load_level (task->priority));
  double cores = (double) told->cores_milli;
  int64_t slack_ms = task->goal_at_ms - now_ms - task->least_ms;
  int64_t free_ms = told->next_free_ms;
  forecast_t forecast = { .age_ms = MAX (now_ms - load->heard_at_ms, 0) };
  int64_t age_ms = forecast.age_ms;
  int64_t done_ms = MIN (age_ms, REPORT_EVERY_MS);

  forecast.wait_ms = wait_for (ahead.timely, cores * task->share, free_ms, done_ms);
  if (forecast.wait_ms > slack_ms)
    forecast.wait_ms = wait_for (ahead.all, cores * task->share, free_ms, done_ms);
  forecast.end_ms = forecast.wait_ms + task->expected_ms;

  int64_t timely_ms = wait_for (ahead.timely, cores, free_ms, age_ms);
  forecast.least_wait_ms = least_of (timely_ms, task->expected_ms, age_ms);
  if (forecast.least_wait_ms > slack_ms)
    {
      int64_t all_ms = wait_for (ahead.all, cores, free_ms, age_ms);
      forecast.least_wait_ms = least_of (all_ms, task->expected_ms, age_ms);
    }
  /* What waits does not fit there, or is not worth it: a smaller task may start at once. */
  if (told->max_free_milli >= task->cores_milli)
    forecast.least_wait_ms = 0;
  forecast.least_end_ms = forecast.least_wait_ms + task->least_ms * TASK_LEAST_PERCENT / 100;
  return forecast;
}

void
forecast_sent (forecast_load_t *load, const forecast_task_t *task)
{
  double core_ms = (double) task->cores_milli * (double) task->expected_ms / MILLI;

  load->sent_core_ms[fleet_load_level (task->priority)] += (int64_t) MIN (core_ms, INT32_MAX);
}

/* The end, and so much later as the owner's report is overdue. */
static int64_t
key_of (const forecast_t *forecast)
{
  return forecast->end_ms + MAX (forecast->age_ms - REPORT_EVERY_MS, 0);
}

static bool
are_alike (const forecast_t *best, const forecast_t *other)
{
  int64_t between_ms = key_of (other) - key_of (best);
  int64_t age_ms = MAX (best->age_ms, other->age_ms);

  return between_ms <= MAX (other->end_ms * ALIKE_PERCENT / 100, age_ms * AGES_ALIKE);
}

/* The index of the earliest end but for EXCEPT; COUNT if there is none. */
static size_t
earliest (const forecast_place_t *places, size_t count, size_t except)
{
  size_t best = count;

  for (size_t i = 0; i < count; i++)
    {
      if (i == except)
        continue;
      int64_t key_ms = key_of (&places[i].forecast);
      int64_t best_ms = best != count ? key_of (&places[best].forecast) : INT64_MAX;
      bool earlier = best == count || key_ms < best_ms;
      bool larger =
          best != count && key_ms == best_ms && places[i].cores_milli > places[best].cores_milli;
      if (earlier || larger)
        best = i;
    }
  return best;
}

size_t
forecast_choose (const forecast_place_t *places, size_t count, uint64_t draw)
{
  size_t best = earliest (places, count, count);
  size_t second = earliest (places, count, best);

  if (second == count || !are_alike (&places[best].forecast, &places[second].forecast))
    return best;
  uint64_t best_cores = (uint64_t) MAX (places[best].cores_milli, 1);
  uint64_t both = best_cores + (uint64_t) MAX (places[second].cores_milli, 1);
  return draw % both < best_cores ? best : second;
}
