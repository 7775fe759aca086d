/* naive.c -- random, round robin, least in flight */
#include "bench/policy/policies.h"

typedef struct
{
  policy_t base;
  naive_kind_t kind;
  GRand *random;
  GQueue *queue;
  int32_t used[WORLD_ENDPOINTS];
  int32_t *endpoint; /* of each task that runs */
  int32_t last;
} naive_t;

static int32_t
pick_random (naive_t *naive)
{
  int32_t from = g_rand_int_range (naive->random, 0, WORLD_ENDPOINTS);

  for (int32_t i = 0; i < WORLD_ENDPOINTS; i++)
    if (naive->used[(from + i) % WORLD_ENDPOINTS] < WORLD_SLOTS)
      return (from + i) % WORLD_ENDPOINTS;
  return -1;
}

static int32_t
pick_next (naive_t *naive)
{
  for (int32_t i = 1; i <= WORLD_ENDPOINTS; i++)
    if (naive->used[(naive->last + i) % WORLD_ENDPOINTS] < WORLD_SLOTS)
      return naive->last = (naive->last + i) % WORLD_ENDPOINTS;
  return -1;
}

static int32_t
pick_least (naive_t *naive)
{
  int32_t from = g_rand_int_range (naive->random, 0, WORLD_ENDPOINTS);
  int32_t best = -1;

  for (int32_t i = 0; i < WORLD_ENDPOINTS; i++)
    {
      int32_t e = (from + i) % WORLD_ENDPOINTS;
      if (naive->used[e] < WORLD_SLOTS && (best < 0 || naive->used[e] < naive->used[best]))
        best = e;
    }
  return best;
}

static int32_t (*const picks[]) (naive_t *naive) = {
  [NAIVE_RANDOM] = pick_random,
  [NAIVE_ROUND_ROBIN] = pick_next,
  [NAIVE_LEAST_IN_FLIGHT] = pick_least,
};

static void
naive_add (policy_t *policy, int32_t task, int64_t deadline_us)
{
  (void) deadline_us;
  g_queue_push_tail (((naive_t *) policy)->queue, GINT_TO_POINTER (task));
}

static void
naive_ended (policy_t *policy, int32_t task, dispatch_outcome_t outcome, int64_t elapsed_us)
{
  (void) elapsed_us;
  naive_t *naive = (naive_t *) policy;

  naive->used[naive->endpoint[task]]--;
  if (outcome == DISPATCH_NOT_STARTED)
    g_queue_push_head (naive->queue, GINT_TO_POINTER (task));
}

static void
naive_run (policy_t *policy)
{
  naive_t *naive = (naive_t *) policy;

  while (!g_queue_is_empty (naive->queue))
    {
      int32_t endpoint = picks[naive->kind](naive);
      if (endpoint < 0)
        return;
      int32_t task = GPOINTER_TO_INT (g_queue_pop_head (naive->queue));
      naive->used[endpoint]++;
      naive->endpoint[task] = endpoint;
      sim_start (policy->sim, task, endpoint);
    }
}

static void
naive_free (policy_t *policy)
{
  naive_t *naive = (naive_t *) policy;

  g_rand_free (naive->random);
  g_queue_free (naive->queue);
  g_free (naive->endpoint);
  g_free (naive);
}

static const policy_ops_t naive_ops[] = {
  [NAIVE_RANDOM] = { .name = "random",
                     .add = naive_add,
                     .ended = naive_ended,
                     .run = naive_run,
                     .free = naive_free },
  [NAIVE_ROUND_ROBIN] = { .name = "round robin",
                          .add = naive_add,
                          .ended = naive_ended,
                          .run = naive_run,
                          .free = naive_free },
  [NAIVE_LEAST_IN_FLIGHT] = { .name = "least in flight",
                              .add = naive_add,
                              .ended = naive_ended,
                              .run = naive_run,
                              .free = naive_free },
};

policy_t *
policy_naive (const world_t *world, naive_kind_t kind)
{
  naive_t *naive = g_new0 (naive_t, 1);

  naive->base.ops = &naive_ops[kind];
  naive->kind = kind;
  naive->random = g_rand_new_with_seed (world->row->seed);
  naive->queue = g_queue_new ();
  naive->endpoint = g_new0 (int32_t, world->tasks->len);
  return &naive->base;
}
