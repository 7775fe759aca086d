/* policy.c -- measures the dispatch policy against an oracle and naive policies
 *
 *   policy [--csv DIRECTORY] [--variants]
 *
 * Prints tables; the same seeds give the same figures on every run, but for the
 * last table, which is measured time.  With --variants the options of the
 * policy are compared as well.
 */
#include "bench/policy/policies.h"

#include "base/clock.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define END_US 30000000
/* Jobs of the first seconds are left out: nothing is measured yet. */
#define WARM_UP_US 5000000
/* The light plan's 99th percentile needs more jobs. */
#define FAIR_END_US 150000000
#define COST_STARTS 100000
#define PLAN_FIRST 0
/* Runs that are taken together where one is too noisy. */
#define SEEDS 4

static const world_case_t cases[] = {
  { .name = "steady", .load = 0.6, .second_part = 0.3, .slowest = 1.5, .seed = 11 },
  { .name = "bursts",
    .load = 0.5,
    .second_part = 0.3,
    .slowest = 1.5,
    .burst = 4,
    .burst_s = 4,
    .seed = 12 },
  { .name = "diurnal",
    .load = 0.6,
    .second_part = 0.3,
    .slowest = 1.5,
    .burst = 1.6,
    .burst_s = 15,
    .seed = 13 },
  { .name = "heavy tail",
    .load = 0.5,
    .second_part = 0.3,
    .slowest = 1.5,
    .tail = 1.5,
    .seed = 14 },
  { .name = "speeds 10x", .load = 0.6, .second_part = 0.3, .slowest = 10, .seed = 15 },
  { .name = "speeds 10x, busy", .load = 0.85, .second_part = 0.3, .slowest = 10, .seed = 16 },
  { .name = "stragglers",
    .load = 0.4,
    .second_part = 0.3,
    .slowest = 2,
    .straggle = 0.01,
    .seed = 17 },
  { .name = "one fails all",
    .load = 0.6,
    .second_part = 0.3,
    .slowest = 2,
    .fault = FAULT_FAILS,
    .faulty = 1,
    .seed = 18 },
  { .name = "one is mute",
    .load = 0.6,
    .second_part = 0.3,
    .slowest = 2,
    .fault = FAULT_MUTE,
    .faulty = 1,
    .seed = 19 },
  { .name = "rack lost",
    .load = 0.6,
    .second_part = 0.3,
    .slowest = 2,
    .fault = FAULT_REFUSES,
    .faulty = WORLD_RACK_SIZE,
    .seed = 20 },
  { .name = "rack mute",
    .load = 0.6,
    .second_part = 0.3,
    .slowest = 2,
    .fault = FAULT_MUTE,
    .faulty = WORLD_RACK_SIZE,
    .seed = 21 },
  { .name = "half fails all",
    .load = 0.4,
    .second_part = 0.3,
    .slowest = 2,
    .fault = FAULT_FAILS,
    .faulty = 25,
    .seed = 22 },
  { .name = "half lost",
    .load = 0.4,
    .second_part = 0.3,
    .slowest = 2,
    .fault = FAULT_REFUSES,
    .faulty = 25,
    .seed = 23 },
};

static const world_case_t fair_alone = { .name = "light plan alone",
                                         .load = 2.02,
                                         .second_part = 100.0 / 101,
                                         .slowest = 2,
                                         .only_first = true,
                                         .seed = 31 };
static const world_case_t fair_crowd = { .name = "beside one at 100x",
                                         .load = 2.02,
                                         .second_part = 100.0 / 101,
                                         .slowest = 2,
                                         .seed = 31 };
static const world_case_t full_load = { .name = "load 1",
                                        .load = 1.0,
                                        .second_part = 0.3,
                                        .slowest = 2,
                                        .retries = true,
                                        .seed = 41 };
static const world_case_t over_load = { .name = "load 3, retries",
                                        .load = 3.0,
                                        .second_part = 0.3,
                                        .slowest = 2,
                                        .retries = true,
                                        .seed = 41 };
static const world_case_t host_cases[] = {
  { .name = "steady", .load = 0.5, .second_part = 0.3, .slowest = 2, .seed = 51 },
  { .name = "bursts",
    .load = 0.5,
    .second_part = 0.3,
    .slowest = 2,
    .burst = 4,
    .burst_s = 4,
    .seed = 52 },
  { .name = "busy", .load = 0.8, .second_part = 0.3, .slowest = 2, .seed = 53 },
};

static const dispatch_options_t defaults = DISPATCH_OPTIONS_DEFAULT;

/* Quantiles of the response over the ideal. */
typedef struct
{
  double median;
  double p99;
  double worst;
  double done; /* part of the jobs that were completed in time */
} ratios_t;

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *) a;
  double y = *(const double *) b;

  return (x > y) - (x < y);
}

static double
quantile (const GArray *sorted, double q)
{
  if (sorted->len == 0)
    return NAN;
  return g_array_index (sorted, double, (guint) (q * (sorted->len - 1)));
}

static ratios_t
compare_to (const world_t *world, const sim_result_t *result)
{
  GArray *ratios = g_array_new (FALSE, FALSE, sizeof (double));

  for (guint job = 0; job < world->jobs->len; job++)
    {
      if (g_array_index (world->jobs, world_job_t, job).arrive_us < WARM_UP_US)
        continue;
      double ratio = result->response_ms[job] / world_ideal_ms (world, (int32_t) job);
      if (!isnan (ratio))
        g_array_append_val (ratios, ratio);
    }
  g_array_sort (ratios, compare_doubles);
  ratios_t row = { quantile (ratios, 0.5), quantile (ratios, 0.99), quantile (ratios, 1.0),
                   (double) result->good / world->jobs->len };
  g_array_unref (ratios);
  return row;
}

static double
wasted_per_task (const world_t *world, const sim_result_t *result)
{
  int64_t wasted = result->messages + 2 * result->wasted_connects;

  return (double) wasted / world->tasks->len;
}

static void
print_row (FILE *csv,
           const char *workload,
           const char *policy,
           const world_t *world,
           const sim_result_t *result)
{
  ratios_t row = compare_to (world, result);
  double wasted = wasted_per_task (world, result);

  printf ("%-18s %-22s %7.2f %7.2f %8.1f %7.2f%% %8" G_GINT64_FORMAT " %7.3f\n", workload, policy,
          row.median, row.p99, row.worst, 100 * row.done, result->failed_starts, wasted);
  if (csv != NULL)
    fprintf (csv, "%s,%s,%.4f,%.4f,%.4f,%.6f,%" G_GINT64_FORMAT ",%.4f\n", workload, policy,
             row.median, row.p99, row.worst, row.done, result->failed_starts, wasted);
}

static void
print_head (const char *title)
{
  printf ("\n%s\n%-18s %-22s %7s %7s %8s %8s %8s %7s\n", title, "workload", "policy", "median",
          "p99", "worst", "in time", "failed", "wasted");
}

static FILE *
open_csv (const char *directory, const char *name)
{
  if (directory == NULL)
    return NULL;
  char *path = g_build_filename (directory, name, NULL);
  FILE *csv = fopen (path, "w");
  g_free (path);
  if (csv != NULL)
    fputs ("workload,policy,median,p99,worst,in_time,failed,wasted\n", csv);
  return csv;
}

static void
run_one (FILE *csv, const world_t *world, const char *name, policy_t *policy)
{
  sim_result_t *result = sim_run (world, policy);

  print_row (csv, world->row->name, name, world, result);
  sim_result_free (result);
}

static void
run_variants (FILE *csv, const world_t *world)
{
  dispatch_options_t options = defaults;

  options.wait_for_faster = false;
  run_one (csv, world, "no waiting", policy_jaytrail (world, &options, 1, HOSTS_ONE));
}

static void
run_workloads (const char *directory, bool with_variants)
{
  FILE *csv = open_csv (directory, "policy.csv");

  print_head ("One entry host: response over the ideal, per job");
  for (size_t c = 0; c < G_N_ELEMENTS (cases); c++)
    {
      world_t *world = world_new (&cases[c], END_US, 1);
      run_one (csv, world, "oracle", policy_oracle (world));
      run_one (csv, world, "jaytrail", policy_jaytrail (world, &defaults, 1, HOSTS_ONE));
      if (with_variants)
        run_variants (csv, world);
      run_one (csv, world, "least in flight", policy_naive (world, NAIVE_LEAST_IN_FLIGHT));
      run_one (csv, world, "round robin", policy_naive (world, NAIVE_ROUND_ROBIN));
      run_one (csv, world, "random", policy_naive (world, NAIVE_RANDOM));
      world_free (world);
    }
  if (csv != NULL)
    fclose (csv);
}

static const struct
{
  const char *name;
  hosts_mode_t mode;
} modes[] = {
  { "all through one", HOSTS_ONE },     { "fixed parts", HOSTS_LOCAL },
  { "shares by report", HOSTS_SHARES }, { "shares, ask per job", HOSTS_ASK },
  { "ask two peers", HOSTS_PEERS },
};

static void
run_hosts (const char *directory)
{
  FILE *csv = open_csv (directory, "policy-hosts.csv");

  print_head ("Three entry hosts, 70% of the jobs at one of them");
  for (size_t c = 0; c < G_N_ELEMENTS (host_cases); c++)
    {
      world_t *world = world_new (&host_cases[c], END_US, 3);
      run_one (csv, world, "oracle", policy_oracle (world));
      for (size_t m = 0; m < G_N_ELEMENTS (modes); m++)
        run_one (csv, world, modes[m].name, policy_jaytrail (world, &defaults, 3, modes[m].mode));
      world_free (world);
    }
  if (csv != NULL)
    fclose (csv);
}

static sim_result_t *
run_either (const world_t *world, bool naive)
{
  return sim_run (world, naive ? policy_naive (world, NAIVE_LEAST_IN_FLIGHT)
                               : policy_jaytrail (world, &defaults, 1, HOSTS_ONE));
}

static void
add_plan_responses (const world_t *world, const sim_result_t *result, GArray *times)
{
  for (guint job = 0; job < world->jobs->len; job++)
    {
      const world_job_t *row = &g_array_index (world->jobs, world_job_t, job);
      if (row->plan == PLAN_FIRST && row->arrive_us >= WARM_UP_US
          && !isnan (result->response_ms[job]))
        g_array_append_val (times, result->response_ms[job]);
    }
}

static void
measure_light_plan (const world_case_t *row, bool naive)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (double));

  for (uint32_t seed = 0; seed < SEEDS; seed++)
    {
      world_case_t seeded = *row;
      seeded.seed += seed;
      world_t *world = world_new (&seeded, FAIR_END_US, 1);
      sim_result_t *result = run_either (world, naive);
      add_plan_responses (world, result, times);
      sim_result_free (result);
      world_free (world);
    }
  g_array_sort (times, compare_doubles);
  printf ("%-20s %-18s %9u %9.1f %9.1f %9.1f\n", row->name, naive ? "least in flight" : "jaytrail",
          times->len, quantile (times, 0.5), quantile (times, 0.9), quantile (times, 0.99));
  g_array_unref (times);
}

static void
run_fairness (void)
{
  const world_case_t *rows[] = { &fair_alone, &fair_crowd };

  printf ("\nA light plan beside one at 100 times its load (%d seeds from %u), ms\n"
          "%-20s %-18s %9s %9s %9s %9s\n",
          SEEDS, fair_alone.seed, "workload", "policy", "jobs", "median", "p90", "p99");
  for (size_t c = 0; c < G_N_ELEMENTS (rows); c++)
    for (int naive = 0; naive < 2; naive++)
      measure_light_plan (rows[c], naive);
}

typedef struct
{
  double tasks_per_s;
  double work;
  int64_t late;
  int64_t refused;
  int64_t failed;
} goodput_t;

static goodput_t
measure_goodput (const world_case_t *row, bool naive)
{
  goodput_t sum = { 0 };

  for (uint32_t seed = 0; seed < SEEDS; seed++)
    {
      world_case_t seeded = *row;
      seeded.seed += seed;
      world_t *world = world_new (&seeded, END_US, 1);
      sim_result_t *result = run_either (world, naive);
      sum.tasks_per_s += (double) result->good_tasks * 1e6 / END_US / SEEDS;
      sum.work += result->good_work_ms * SIM_US_PER_MS / END_US / SEEDS;
      sum.late += result->late;
      sum.refused += result->refused;
      sum.failed += result->failed_starts;
      sim_result_free (result);
      world_free (world);
    }
  return sum;
}

static void
run_overload (void)
{
  const world_case_t *rows[] = { &full_load, &over_load };

  printf (
      "\nGoodput under retrying callers (%d seeds from %u)\n%-18s %-18s %10s %12s %9s %9s %9s\n",
      SEEDS, full_load.seed, "workload", "policy", "tasks/s", "work ms/ms", "late", "refused",
      "failed");
  for (size_t c = 0; c < G_N_ELEMENTS (rows); c++)
    for (int naive = 0; naive < 2; naive++)
      {
        goodput_t row = measure_goodput (rows[c], naive);
        printf ("%-18s %-18s %10.1f %12.2f %9" G_GINT64_FORMAT " %9" G_GINT64_FORMAT
                " %9" G_GINT64_FORMAT "\n",
                rows[c]->name, naive ? "least in flight" : "jaytrail", row.tasks_per_s, row.work,
                row.late, row.refused, row.failed);
      }
}

/* The failing endpoint's share after its first 50 failures. */
static void
run_black_hole (void)
{
  const world_case_t *row = &cases[7];
  world_t *world = world_new (row, END_US, 1);
  sim_result_t *result = sim_run (world, policy_jaytrail (world, &defaults, 1, HOSTS_ONE));
  int64_t beyond = MAX (result->endpoint_failed[0] - 50, 0);

  printf ("\nAn endpoint that fails everything: %" G_GINT64_FORMAT
          " of its tasks failed, %" G_GINT64_FORMAT " beyond the first 50, of %" G_GINT64_FORMAT
          " tasks (%.3f%%)\n",
          result->endpoint_failed[0], beyond, result->starts,
          100.0 * (double) beyond / (double) result->starts);
  sim_result_free (result);
  world_free (world);
}

static void
run_cost (void)
{
  world_t *world = world_new (&cases[5], END_US, 1);
  int64_t before_us = clock_boot_us ();
  sim_result_t *result = sim_run (world, policy_naive (world, NAIVE_ROUND_ROBIN));
  int64_t naive_us = clock_boot_us () - before_us;
  int64_t naive_starts = result->starts;

  sim_result_free (result);
  before_us = clock_boot_us ();
  result = sim_run (world, policy_jaytrail (world, &defaults, 1, HOSTS_ONE));
  int64_t own_us = clock_boot_us () - before_us;
  printf ("\nMeasured time of one run, simulator included: round robin %.0f ns, jaytrail %.0f ns a "
          "start\n",
          1e3 * (double) naive_us / (double) naive_starts,
          1e3 * (double) own_us / (double) result->starts);
  sim_result_free (result);
  world_free (world);
}

/* Limits that never run out, for the time of the decisions alone. */

static int
free_take (dispatch_limits_t *limits,
           dispatch_limit_t limit,
           const char *name,
           int32_t units,
           int64_t ends_at_ms,
           int64_t now_ms)
{
  (void) limits;
  (void) limit;
  (void) name;
  (void) units;
  (void) ends_at_ms;
  (void) now_ms;
  return 0;
}

static void
free_give (dispatch_limits_t *limits,
           dispatch_limit_t limit,
           const char *name,
           int32_t units,
           int64_t ends_at_ms,
           int64_t now_ms)
{
  free_take (limits, limit, name, units, ends_at_ms, now_ms);
}

static int32_t
free_left (dispatch_limits_t *limits, dispatch_limit_t limit, const char *name, int64_t now_ms)
{
  (void) limits;
  (void) limit;
  (void) name;
  (void) now_ms;
  return INT32_MAX;
}

static const dispatch_limits_ops_t free_ops = { free_take, free_give, free_left };

/* A full fleet with a queue: each end frees one slot and a round fills it.
 * 2,500 starts a second pass in simulated time. */
static double
decision_ns (int32_t endpoints, int32_t queued)
{
  dispatch_limits_t limits = { &free_ops };
  dispatch_t *dispatch = dispatch_new (&defaults, &limits);
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (dispatch_endpoint_t));
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (dispatch_action_t));
  GQueue *running = g_queue_new ();
  char (*ids)[16] = g_malloc (sizeof *ids * (size_t) endpoints);
  uint64_t ticket = 0;
  int64_t before_us = 0;

  for (int32_t e = 0; e < endpoints; e++)
    {
      g_snprintf (ids[e], sizeof ids[e], "e%d", e);
      dispatch_endpoint_t row = { ids[e], "", WORLD_SLOTS, 60, 32, 131072, false };
      g_array_append_val (rows, row);
    }
  dispatch_set_endpoints (dispatch, (const dispatch_endpoint_t *) (void *) rows->data, rows->len,
                          0);
  int32_t fill = endpoints * WORLD_SLOTS + queued;
  for (int32_t i = -fill; i < COST_STARTS; i++)
    {
      int64_t now_ms = MAX (i, 0) * 10 / 25;
      dispatch_task_t task = {
        world_plans[i & 1], world_kinds[(i & 15) == 0], 1, 256, now_ms + 1000000, false
      };
      dispatch_event_t add = { .kind = DISPATCH_ADD, .ticket = ++ticket, .task = &task };
      dispatch_event_t run = { .kind = DISPATCH_RUN };
      if (i == 0)
        before_us = clock_boot_us ();
      dispatch_step (dispatch, &add, now_ms, actions);
      if (i >= 0)
        {
          dispatch_event_t end = { .kind = DISPATCH_ENDED,
                                   .ticket = GPOINTER_TO_SIZE (g_queue_pop_head (running)),
                                   .elapsed_us = 100000 + (i % 97) * 1000 };
          dispatch_step (dispatch, &end, now_ms, actions);
        }
      dispatch_step (dispatch, &run, now_ms, actions);
      for (guint a = 0; a < actions->len; a++)
        g_queue_push_tail (running,
                           GSIZE_TO_POINTER (g_array_index (actions, dispatch_action_t, a).ticket));
      g_array_set_size (actions, 0);
    }
  double ns = 1e3 * (double) (clock_boot_us () - before_us) / COST_STARTS;
  dispatch_free (dispatch);
  g_array_unref (rows);
  g_array_unref (actions);
  g_queue_free (running);
  g_free (ids);
  return ns;
}

static void
run_decision_cost (void)
{
  static const int32_t fleets[] = { 17, 50, 500 };
  static const int32_t queues[] = { 10, 10000 };

  printf ("\nMeasured time of one add, end and round on a full fleet, ns\n");
  for (size_t f = 0; f < G_N_ELEMENTS (fleets); f++)
    for (size_t q = 0; q < G_N_ELEMENTS (queues); q++)
      printf ("%4d endpoints, %5d queued: %8.0f\n", fleets[f], queues[q],
              decision_ns (fleets[f], queues[q]));
}

int
main (int argc, char **argv)
{
  const char *directory = NULL;
  bool with_variants = false;

  for (int i = 1; i < argc; i++)
    {
      if (strcmp (argv[i], "--variants") == 0)
        with_variants = true;
      else if (strcmp (argv[i], "--csv") == 0 && i + 1 < argc)
        directory = argv[++i];
      else
        {
          fputs ("usage: policy [--csv DIRECTORY] [--variants]\n", stderr);
          return 2;
        }
    }
  run_workloads (directory, with_variants);
  run_hosts (directory);
  run_fairness ();
  run_overload ();
  run_black_hole ();
  run_cost ();
  run_decision_cost ();
  return 0;
}
