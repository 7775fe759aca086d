/* world.c -- workloads of the policy bench */
#include "bench/policy/world.h"

#include <math.h>

#define US_PER_MS 1000
#define US_PER_S 1000000
#define STRAGGLE_FACTOR 20
#define SIZE_SIGMA 0.5
#define SIZE_MAX_FACTOR 50
/* The fault comes after a third of the run and lasts a third. */
#define FAULT_PART 3
/* Most of the jobs of one data centre come in at the first of its hosts. */
#define FIRST_HOST_PART 0.7

const char *const world_plans[WORLD_PLANS] = { "gold", "silver" };
const char *const world_kinds[WORLD_KINDS] = { "check", "lookup", "draft" };

static const struct
{
  double part;
  double mean_ms;
  int32_t tasks_max; /* a job has 1 to this many */
  int64_t patience_ms;
} kinds[WORLD_KINDS] = {
  { 0.80, 100, 2, 2000 },
  { 0.17, 300, 6, 5000 },
  { 0.03, 1000, 24, 20000 },
};

static double
mean_job_ms (void)
{
  double mean_ms = 0;

  for (int k = 0; k < WORLD_KINDS; k++)
    mean_ms += kinds[k].part * kinds[k].mean_ms * (1 + kinds[k].tasks_max) / 2.0;
  return mean_ms;
}

static double
normal (GRand *random)
{
  double u = 1.0 - g_rand_double (random);

  return sqrt (-2 * log (u)) * cos (2 * G_PI * g_rand_double (random));
}

static double
draw_size (const world_case_t *row, GRand *random, double mean_ms)
{
  if (row->tail == 0)
    return mean_ms * exp (SIZE_SIGMA * normal (random) - SIZE_SIGMA * SIZE_SIGMA / 2);
  double least = (row->tail - 1) / row->tail;
  double size = least * pow (1.0 - g_rand_double (random), -1 / row->tail);
  return mean_ms * fmin (size, SIZE_MAX_FACTOR);
}

static int32_t
draw_kind (GRand *random)
{
  double u = g_rand_double (random);
  int32_t kind = 0;

  while (kind < WORLD_KINDS - 1 && u >= kinds[kind].part)
    u -= kinds[kind++].part;
  return kind;
}

static void
draw_job (world_t *world, GRand *random, int32_t hosts, int64_t now_us)
{
  const world_case_t *row = world->row;
  int32_t kind = draw_kind (random);
  world_job_t job = { .arrive_us = now_us,
                      .patience_us = kinds[kind].patience_ms * US_PER_MS,
                      .plan = g_rand_double (random) < row->second_part ? 1 : 0,
                      .first = (int32_t) world->tasks->len,
                      .count = g_rand_int_range (random, 1, kinds[kind].tasks_max + 1) };

  if (hosts > 1 && g_rand_double (random) >= FIRST_HOST_PART)
    job.host = g_rand_int_range (random, 1, hosts);
  bool left_out = row->only_first && job.plan == 1;
  for (int32_t i = 0; i < job.count; i++)
    {
      world_task_t task = { .job = (int32_t) world->jobs->len, .kind = kind };
      task.size_ms = draw_size (row, random, kinds[kind].mean_ms);
      if (g_rand_double (random) < row->straggle)
        task.size_ms *= STRAGGLE_FACTOR;
      if (!left_out)
        g_array_append_val (world->tasks, task);
    }
  if (!left_out)
    g_array_append_val (world->jobs, job);
}

/* Arrivals over their mean at NOW_US. */
static double
intensity (const world_case_t *row, int64_t now_us)
{
  double phase = fmod ((double) now_us / US_PER_S, fmax (row->burst_s, 1)) / fmax (row->burst_s, 1);

  if (row->burst <= 1)
    return 1;
  if (row->burst_s >= 10)
    return 1 + (row->burst - 1) * sin (2 * G_PI * phase);
  return phase < 1 / row->burst ? row->burst : 0.05;
}

static void
draw_endpoints (world_t *world, GRand *random)
{
  for (int32_t e = 0; e < WORLD_ENDPOINTS; e++)
    {
      world_endpoint_t *endpoint = &world->endpoints[e];
      endpoint->slowness = pow (world->row->slowest, g_rand_double (random));
      if (e >= world->row->faulty)
        continue;
      endpoint->fault = world->row->fault;
      endpoint->fault_from_us = world->end_us / FAULT_PART;
      endpoint->fault_to_us = 2 * world->end_us / FAULT_PART;
    }
}

static double
slots_per_ms (const world_t *world)
{
  double sum = 0;

  for (int32_t e = 0; e < WORLD_ENDPOINTS; e++)
    sum += WORLD_SLOTS / world->endpoints[e].slowness;
  return sum;
}

world_t *
world_new (const world_case_t *row, int64_t end_us, int32_t hosts)
{
  world_t *world = g_new0 (world_t, 1);
  GRand *random = g_rand_new_with_seed (row->seed);

  world->row = row;
  world->end_us = end_us;
  world->jobs = g_array_new (FALSE, FALSE, sizeof (world_job_t));
  world->tasks = g_array_new (FALSE, FALSE, sizeof (world_task_t));
  draw_endpoints (world, random);
  double jobs_per_us = row->load * slots_per_ms (world) / mean_job_ms () / US_PER_MS;
  double peak = fmax (row->burst, 1);
  double now_us = 0;
  for (;;)
    {
      now_us -= log (1.0 - g_rand_double (random)) / (jobs_per_us * peak);
      if (now_us >= (double) end_us)
        break;
      if (g_rand_double (random) * peak < intensity (row, (int64_t) now_us))
        draw_job (world, random, hosts, (int64_t) now_us);
    }
  g_rand_free (random);
  return world;
}

void
world_free (world_t *world)
{
  g_array_unref (world->jobs);
  g_array_unref (world->tasks);
  g_free (world);
}

int64_t
world_time_us (const world_t *world, int32_t task, int32_t endpoint)
{
  const world_task_t *row = &g_array_index (world->tasks, world_task_t, task);

  return (int64_t) (row->size_ms * world->endpoints[endpoint].slowness * US_PER_MS);
}

fault_t
world_fault (const world_t *world, int32_t endpoint, int64_t now_us)
{
  const world_endpoint_t *row = &world->endpoints[endpoint];
  bool now = row->fault != FAULT_NONE && now_us >= row->fault_from_us && now_us < row->fault_to_us;

  return now ? row->fault : FAULT_NONE;
}

/* A bound from below: the longest task on the fastest endpoint that is sound. */
double
world_ideal_ms (const world_t *world, int32_t job)
{
  const world_job_t *row = &g_array_index (world->jobs, world_job_t, job);
  double best = INFINITY;
  double longest_ms = 0;

  for (int32_t e = 0; e < WORLD_ENDPOINTS; e++)
    if (world_fault (world, e, row->arrive_us) == FAULT_NONE)
      best = fmin (best, world->endpoints[e].slowness);
  for (int32_t task = row->first; task < row->first + row->count; task++)
    longest_ms = fmax (longest_ms, g_array_index (world->tasks, world_task_t, task).size_ms);
  return longest_ms * best;
}
