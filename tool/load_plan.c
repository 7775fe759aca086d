/* load_plan.c -- the operations of a load run */
#include "tool/load_plan.h"

#include <math.h>

#define US_PER_S 1000000
#define US_PER_MS 1000
/* A second operation on a job comes within this many of its longest run times. */
#define SECOND_WITHIN_RUNS 2

static void
clear_job (gpointer data)
{
  load_job_t *job = data;
  g_free (job->run_ms);
}

static int64_t
pick (GRand *random, int64_t min, int64_t max)
{
  return min + (int64_t) (g_rand_double (random) * (double) (max - min + 1));
}

static load_job_t
make_job (const load_options_t *options, GRand *random, int64_t at_us)
{
  load_job_t job = { .at_us = at_us };
  job.tasks = (int32_t) pick (random, options->tasks_min, options->tasks_max);
  job.run_ms = g_new (int64_t, job.tasks);
  for (int32_t i = 0; i < job.tasks; i++)
    {
      job.run_ms[i] = pick (random, options->run_min_ms, options->run_max_ms);
      job.longest_ms = MAX (job.longest_ms, job.run_ms[i]);
    }
  job.customer = g_rand_int_range (random, 0, options->customers);
  job.kind = g_rand_int_range (random, 0, options->kinds);
  return job;
}

static void
add_op (load_plan_t *plan,
        const load_options_t *options,
        GRand *random,
        load_op_kind_t kind,
        int64_t at_us)
{
  load_op_t op = { .kind = kind,
                   .job = (int32_t) plan->jobs->len - 1,
                   .target = g_rand_int_range (random, 0, options->targets),
                   .at_us = at_us };
  g_array_append_val (plan->ops, op);
}

/* A moment while JOB is likely to run, or soon after. */
static int64_t
second_at_us (const load_job_t *job, GRand *random)
{
  double within_us = (double) (SECOND_WITHIN_RUNS * job->longest_ms * US_PER_MS);
  return job->at_us + (int64_t) (g_rand_double (random) * within_us);
}

static int
compare_ops (const void *left, const void *right)
{
  const load_op_t *a = left;
  const load_op_t *b = right;
  if (a->at_us != b->at_us)
    return a->at_us < b->at_us ? -1 : 1;
  return a->job - b->job;
}

load_plan_t *
load_plan_new (const load_options_t *options)
{
  load_plan_t *plan = g_new0 (load_plan_t, 1);
  GRand *random = g_rand_new_with_seed (options->seed);
  double at_s = 0;
  plan->jobs = g_array_new (FALSE, TRUE, sizeof (load_job_t));
  plan->ops = g_array_new (FALSE, TRUE, sizeof (load_op_t));
  g_array_set_clear_func (plan->jobs, clear_job);
  while ((at_s -= log (1 - g_rand_double (random)) / options->jobs_per_s)
         < (double) options->seconds)
    {
      load_job_t job = make_job (options, random, (int64_t) (at_s * US_PER_S));
      g_array_append_val (plan->jobs, job);
      add_op (plan, options, random, LOAD_SUBMIT, job.at_us);
      if (g_rand_double (random) < options->resubmitted)
        add_op (plan, options, random, LOAD_RESUBMIT, second_at_us (&job, random));
      if (g_rand_double (random) < options->cancelled)
        add_op (plan, options, random, LOAD_CANCEL, second_at_us (&job, random));
    }
  g_rand_free (random);
  g_array_sort (plan->ops, compare_ops);
  return plan;
}

void
load_plan_free (load_plan_t *plan)
{
  g_array_unref (plan->jobs);
  g_array_unref (plan->ops);
  g_free (plan);
}
