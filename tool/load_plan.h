/* load_plan.h -- the operations of a load run, all decided by the seed before it starts
 *
 * Arrivals are a Poisson process: an operation has its time whether or not the
 * earlier ones have ended (open loop).
 */
#ifndef TOOL_LOAD_PLAN_H
#define TOOL_LOAD_PLAN_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  uint32_t seed;
  double jobs_per_s;
  int64_t seconds;
  int32_t tasks_min; /* of a job */
  int32_t tasks_max;
  int64_t run_min_ms; /* of a task */
  int64_t run_max_ms;
  double resubmitted; /* share of jobs that come a second time */
  double cancelled;   /* share of jobs that are cancelled */
  int32_t targets;
  int32_t customers;
  int32_t kinds;
} load_options_t;

typedef struct
{
  int32_t tasks;
  int64_t *run_ms; /* of each task */
  int64_t longest_ms;
  int32_t customer;
  int32_t kind;
  int64_t at_us; /* first submission, from the start of the run */
} load_job_t;

typedef enum
{
  LOAD_SUBMIT,
  LOAD_RESUBMIT,
  LOAD_CANCEL
} load_op_kind_t;

typedef struct
{
  load_op_kind_t kind;
  int32_t job;
  int32_t target;
  int64_t at_us; /* intended time, from the start of the run */
  /* Filled in by the run: */
  int64_t latency_us; /* from the intended time */
  int32_t status;     /* HTTP status, or a negative error */
  const char *answer; /* kind of the answer; interned */
} load_op_t;

typedef struct
{
  GArray *jobs; /* of load_job_t */
  GArray *ops;  /* of load_op_t, by time */
} load_plan_t;

load_plan_t *load_plan_new (const load_options_t *options);
void load_plan_free (load_plan_t *plan);

#endif
