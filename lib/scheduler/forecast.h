/* forecast.h -- predicts when a task would start and end at an owner that has a backlog
 *
 * The load to handle is bursts of 2 to 2.6 times the baseline that last 6 to 20 s, with up to a
 * third of the endpoints unavailable, while the owners' reports are 0.3 to 2 s old and callers'
 * estimates are off by 40%.
 *
 * An owner works through its queue by priority.  Within a priority, tasks that can still meet
 * their objective go before those that can't.  A task therefore waits for all work of higher
 * priorities and for the work of its own priority that is still on time.  If it would be late
 * itself by then, it also waits for the late work of its own priority.
 *
 * A task delays the work of lower priorities that waits at its owner.  That work starts only where
 * nothing more urgent waits, and its callers do not wait for long.  A task therefore goes, of
 * owners at which it ends about equally soon, to one with less of it.
 *
 * The functions are pure.  Times named `_at_ms` are milliseconds of the boot clock; the times in
 * a forecast are durations from now.
 */
#ifndef SCHEDULER_FORECAST_H
#define SCHEDULER_FORECAST_H

#include "executor/executor.h"

/* An owner's last load report for one service, and the work that this coordinator has assigned to
 * that owner since. */
typedef struct
{
  executor_load_t report;
  int64_t received_at_ms;
  int64_t assigned_core_ms[EXECUTOR_LOAD_LEVELS];
} forecast_load_t;

/* One task of a job, as it would run on the endpoints of one owner. */
typedef struct
{
  int32_t priority;
  int64_t cores_milli;
  int64_t expected_run_ms; /* mean duration on the endpoints that it would accept */
  int64_t min_run_ms;      /* duration on the fastest endpoint */
  int64_t goal_at_ms;      /* the job's objective */
  double usable_share;     /* fraction of the owner's slots that it accepts, above 0 */
} forecast_task_t;

typedef struct
{
  int64_t wait_ms;       /* expected time until it starts */
  int64_t end_ms;        /* expected time until it ends */
  int64_t min_wait_ms;   /* it is nearly certain that the task doesn't start earlier */
  int64_t min_end_ms;    /* it is nearly certain that the task doesn't end earlier */
  int64_t lower_wait_ms; /* how long the owner needs for the waiting work of lower priorities */
  int64_t report_age_ms;
} forecast_t;

/* Returns the forecast for TASK at an owner with LOAD, whose report must name some cores. */
forecast_t
forecast_task_times (const forecast_load_t *load, const forecast_task_t *task, int64_t now_ms);

/* Records that TASK was assigned to the owner, so that later forecasts count its work. */
void forecast_add_assigned (forecast_load_t *load, const forecast_task_t *task);

/* One of the owners to which a task could go if no slot is free. */
typedef struct
{
  forecast_t forecast;
  int64_t cores_milli;
} forecast_candidate_t;

/* Returns the index of the candidate that a task should go to: the one with the earliest end, or
 * another one that ends within the uncertainty of the reports.  Of these two the one where less
 * work of lower priorities waits is chosen.  If that differs by no more than the uncertainty
 * either, one of the two is drawn with their cores as weights, since other coordinators have the
 * same reports and would all choose the same owner.  DRAW is a uniformly distributed random number.
 * COUNT must be above 0. */
size_t forecast_choose (const forecast_candidate_t *candidates, size_t count, uint64_t draw);

#endif
