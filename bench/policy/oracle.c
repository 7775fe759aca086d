/* oracle.c -- the ideal that the others are measured against
 *
 * It keeps the time at which each slot becomes free, which it knows exactly,
 * and gives each task of a job, as the job arrives, the slot where it ends
 * first.
 */
#include "bench/policy/policies.h"

#include <string.h>

#define RETRY_US 1000000

typedef struct
{
  policy_t base;
  int64_t free_us[WORLD_ENDPOINTS][WORLD_SLOTS];
  int32_t *endpoint; /* of each task */
} oracle_t;

/* True if a task on ENDPOINT from START_US to END_US meets no fault. */
static bool
is_sound (const world_t *world, int32_t endpoint, int64_t start_us, int64_t end_us)
{
  const world_endpoint_t *row = &world->endpoints[endpoint];

  if (row->fault == FAULT_NONE)
    return true;
  return end_us < row->fault_from_us || start_us >= row->fault_to_us;
}

/* Gives TASK its slot; returns when it ends, and sets *START_US. */
static int64_t
place (oracle_t *oracle, int32_t task, int64_t *start_us)
{
  const world_t *world = sim_world (oracle->base.sim);
  int64_t now_us = sim_now_us (oracle->base.sim);
  int64_t best_us = INT64_MAX;
  int64_t *best = &oracle->free_us[0][0];

  for (int32_t e = 0; e < WORLD_ENDPOINTS; e++)
    for (int32_t s = 0; s < WORLD_SLOTS; s++)
      {
        int64_t from_us = MAX (oracle->free_us[e][s], now_us);
        int64_t end_us = from_us + world_time_us (world, task, e);
        if (end_us >= best_us || !is_sound (world, e, from_us, end_us))
          continue;
        best_us = end_us;
        best = &oracle->free_us[e][s];
        *start_us = from_us;
        oracle->endpoint[task] = e;
      }
  *best = best_us;
  return best_us;
}

static int
oracle_admit (policy_t *policy, int32_t job, int64_t deadline_us, int64_t *retry_at_us)
{
  oracle_t *oracle = (oracle_t *) policy;
  const world_job_t *row = &g_array_index (sim_world (policy->sim)->jobs, world_job_t, job);
  int64_t before[WORLD_ENDPOINTS][WORLD_SLOTS];
  int64_t *starts = g_new (int64_t, row->count);
  bool fits = true;

  memcpy (before, oracle->free_us, sizeof before);
  for (int32_t i = 0; i < row->count && fits; i++)
    fits = place (oracle, row->first + i, &starts[i]) <= deadline_us;
  for (int32_t i = 0; i < row->count && fits; i++)
    sim_wake (policy->sim, starts[i], row->first + i);
  g_free (starts);
  if (fits)
    return 0;
  memcpy (oracle->free_us, before, sizeof before);
  *retry_at_us = sim_now_us (policy->sim) + RETRY_US;
  return -1;
}

static void
oracle_add (policy_t *policy, int32_t task, int64_t deadline_us)
{
  (void) policy;
  (void) task;
  (void) deadline_us;
}

static void
oracle_ended (policy_t *policy, int32_t task, dispatch_outcome_t outcome, int64_t elapsed_us)
{
  (void) policy;
  (void) task;
  (void) outcome;
  (void) elapsed_us;
}

static void
oracle_wake (policy_t *policy, int32_t task)
{
  sim_start (policy->sim, task, ((oracle_t *) policy)->endpoint[task]);
}

static void
oracle_run (policy_t *policy)
{
  (void) policy;
}

static void
oracle_free (policy_t *policy)
{
  g_free (((oracle_t *) policy)->endpoint);
  g_free (policy);
}

static const policy_ops_t oracle_ops = { .name = "oracle",
                                         .admit = oracle_admit,
                                         .add = oracle_add,
                                         .ended = oracle_ended,
                                         .run = oracle_run,
                                         .wake = oracle_wake,
                                         .free = oracle_free };

policy_t *
policy_oracle (const world_t *world)
{
  oracle_t *oracle = g_new0 (oracle_t, 1);

  oracle->base.ops = &oracle_ops;
  oracle->endpoint = g_new0 (int32_t, world->tasks->len);
  return &oracle->base;
}
