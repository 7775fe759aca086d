/* sim.h -- runs one policy over one workload in simulated time
 *
 * The policy decides where tasks start; the simulator knows how long they
 * really take and what fails.
 */
#ifndef BENCH_POLICY_SIM_H
#define BENCH_POLICY_SIM_H

#include "dispatch/dispatch.h"
#include "bench/policy/world.h"

#define SIM_US_PER_MS 1000
/* How often a policy's tick runs. */
#define SIM_TICK_US 50000
/* Submissions of one job, the first included. */
#define SIM_TRIES_MAX 6

typedef struct sim_t sim_t;
typedef struct policy_t policy_t;

typedef struct
{
  const char *name;
  /* May refuse JOB: a negative error, with *RETRY_AT_US set.  Otherwise its
   * tasks follow by add (). */
  int (*admit) (policy_t *policy, int32_t job, int64_t deadline_us, int64_t *retry_at_us);
  void (*add) (policy_t *policy, int32_t task, int64_t deadline_us);
  /* The job of TASK has failed: takes TASK back if it is still queued.  May be
   * NULL. */
  bool (*drop) (policy_t *policy, int32_t task);
  void (*ended) (policy_t *policy, int32_t task, dispatch_outcome_t outcome, int64_t elapsed_us);
  void (*run) (policy_t *policy);
  /* Something that the policy asked for by sim_wake () is due. */
  void (*wake) (policy_t *policy, int32_t what);
  void (*free) (policy_t *policy);
} policy_ops_t;

struct policy_t
{
  const policy_ops_t *ops;
  sim_t *sim;
};

typedef struct
{
  double *response_ms; /* of each job, from its first submission; NAN if it never completed */
  int64_t messages;    /* beyond one call and one answer a task */
  int64_t starts;
  int64_t failed_starts; /* ended other than whole */
  int64_t wasted_connects;
  int64_t late;        /* jobs whose tasks ended after the deadline or were given up */
  int64_t refused;     /* submissions refused at the door */
  int64_t good;        /* jobs completed within the deadline of their submission */
  int64_t good_tasks;  /* their tasks */
  double good_work_ms; /* the sizes of those */
  int64_t endpoint_failed[WORLD_ENDPOINTS]; /* failed tasks */
  int64_t endpoint_starts[WORLD_ENDPOINTS];
} sim_result_t;

/* Runs POLICY (taken over) over WORLD.  Free with sim_result_free (). */
sim_result_t *sim_run (const world_t *world, policy_t *policy);
void sim_result_free (sim_result_t *result);

/* For policies. */
int64_t sim_now_us (const sim_t *sim);
const world_t *sim_world (const sim_t *sim);
void sim_start (sim_t *sim, int32_t task, int32_t endpoint);
void sim_give_up (sim_t *sim, int32_t task);
void sim_message (sim_t *sim, int64_t count);
void sim_wake (sim_t *sim, int64_t at_us, int32_t what);

#endif
