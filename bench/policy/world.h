/* world.h -- workloads of the policy bench: jobs, endpoints, true times, faults
 *
 * Everything follows from the case and its seed.  Times are microseconds of
 * simulated time.
 */
#ifndef BENCH_POLICY_WORLD_H
#define BENCH_POLICY_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define WORLD_ENDPOINTS 50
#define WORLD_SLOTS 8
#define WORLD_RACK_SIZE 8
#define WORLD_PLANS 2
#define WORLD_KINDS 3

typedef enum
{
  FAULT_NONE,
  FAULT_FAILS,  /* answers at once with a failure */
  FAULT_MUTE,   /* takes requests, answers nothing */
  FAULT_REFUSES /* gone: what runs is cut, connects are refused */
} fault_t;

typedef struct
{
  double slowness; /* true time = size times this */
  fault_t fault;
  int64_t fault_from_us;
  int64_t fault_to_us;
} world_endpoint_t;

typedef struct
{
  int32_t job;
  int32_t kind;
  double size_ms;
} world_task_t;

typedef struct
{
  int64_t arrive_us;
  int64_t patience_us; /* deadline after each submission */
  int32_t plan;
  int32_t host; /* entry host at which it arrives */
  int32_t first;
  int32_t count;
} world_job_t;

/* One row of the table of workloads. */
typedef struct
{
  const char *name;
  double load;        /* of plan 0 and 1 together, as a part of the capacity */
  double second_part; /* part of the load that is plan 1's */
  double slowest;     /* endpoints' slowness is 1 .. this */
  double burst;       /* peak over mean of the arrivals, 1 is steady */
  double burst_s;     /* period of the bursts */
  double tail;        /* shape of a Pareto law of the sizes, 0 for a lognormal one */
  double straggle;    /* part of the tasks that takes 20 times as long */
  fault_t fault;
  int32_t faulty;  /* endpoints with the fault, from number 0 on */
  bool retries;    /* refused and late callers come back */
  bool only_first; /* leave the second plan's jobs out */
  uint32_t seed;
} world_case_t;

typedef struct
{
  const world_case_t *row;
  world_endpoint_t endpoints[WORLD_ENDPOINTS];
  GArray *jobs;  /* world_job_t, by arrival */
  GArray *tasks; /* world_task_t */
  int64_t end_us;
} world_t;

extern const char *const world_plans[WORLD_PLANS];
extern const char *const world_kinds[WORLD_KINDS];

world_t *world_new (const world_case_t *row, int64_t end_us, int32_t hosts);
void world_free (world_t *world);

/* True service time of TASK on ENDPOINT. */
int64_t world_time_us (const world_t *world, int32_t task, int32_t endpoint);

/* A bound on the response time of JOB from below: its longest task on the
 * fastest endpoint that is sound at its arrival. */
double world_ideal_ms (const world_t *world, int32_t job);

/* What is wrong with ENDPOINT at NOW_US. */
fault_t world_fault (const world_t *world, int32_t endpoint, int64_t now_us);

#endif
