/* forecast.h -- when a task would start and end at an owner that has a backlog
 *
 * Load: bursts of 2 to 2.6 times the baseline for 6 to 20 s, with up to a third of the endpoints
 * gone, while owners' reports are 0.3 to 2 s old and callers' estimates are off by 40%.
 *
 * An owner works through its queue by priority.  Within one, tasks that can still meet their
 * objective go before those that can't.  A task thus waits for the work of higher priorities and
 * for the timely work of its own, and for the late work too if it would be late by then.
 *
 * Pure: times are milliseconds of the boot clock, those of a forecast are from now.
 */
#ifndef FLOW_FORECAST_H
#define FLOW_FORECAST_H

#include "fleet/fleet.h"

/* What an owner has told of one service, and what this coordinator has queued there since. */
typedef struct
{
  fleet_load_t told;
  int64_t heard_at_ms;
  int64_t sent_core_ms[FLEET_LOAD_LEVELS];
} forecast_load_t;

/* One task of a job, at the endpoints of one owner. */
typedef struct
{
  int32_t priority;
  int64_t cores_milli;
  int64_t expected_ms; /* its duration where it may expect to run */
  int64_t least_ms;    /* likewise on the fastest endpoint */
  int64_t goal_at_ms;
  double share; /* the part of the owner's cores that it may use, above 0 */
} forecast_task_t;

typedef struct
{
  int64_t wait_ms;       /* until it starts */
  int64_t end_ms;        /* until it ends */
  int64_t least_wait_ms; /* it is nearly certain that it doesn't start, or end, earlier */
  int64_t least_end_ms;
  int64_t age_ms; /* of the report */
} forecast_t;

/* LOAD must have cores. */
forecast_t forecast_of (const forecast_load_t *load, const forecast_task_t *task, int64_t now_ms);

/* Takes in that TASK was queued there. */
void forecast_sent (forecast_load_t *load, const forecast_task_t *task);

/* One owner out of several for a task that finds no free slot. */
typedef struct
{
  forecast_t forecast;
  int64_t cores_milli;
} forecast_place_t;

/* The place with the earliest end, or the second one, at random by their capacity, if their ends
 * differ by less than what the reports leave open: other coordinators have the same reports.  DRAW
 * is any number, evenly spread.  COUNT is above 0; returns an index. */
size_t forecast_choose (const forecast_place_t *places, size_t count, uint64_t draw);

#endif
