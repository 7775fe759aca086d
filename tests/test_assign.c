/* test_assign.c -- replays a load on three coordinators, and counts the jobs that a cut of a data
 * centre would lose
 *
 * Each data centre has a coordinator and an owner with fast and slow slots.  The load is that of
 * short, middle and long jobs at once, which takes a given part of all slots.  A job is exposed to
 * a cut while it has unfinished tasks in another data centre than that of its coordinator.
 */
#include "scheduler/scheduler.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <math.h>
#include <string.h>

#define DATA_CENTRES 3
#define FAST_SLOTS 24
#define SLOW_SLOTS 8
#define FAST_RATIO 0.83
#define SLOW_RATIO 1.8
#define REPORT_INTERVAL_MS 15
/* Owners measure speeds by runs whose estimates are off by 40%. */
#define SPEED_ERROR 0.15
#define END_MS 20000
#define OBJECTIVE_FACTOR 1.6
#define OBJECTIVE_FIXED_MS 60

static const char *const data_centres[DATA_CENTRES] = { "x", "y", "z" };

/* Kinds of jobs.  At RATE_PER_S in each data centre they take about 0.64 of the slots. */
static const struct
{
  int32_t tasks;
  int64_t work_ms;
  double rate_per_s;
} kinds[] = {
  { 8, 60, 9 },
  { 2, 200, 26 },
  { 4, 900, 1.6 },
};

typedef struct
{
  int64_t ends_at_ms;
  int data_centre;
  bool fast;
  int job;
} run_t;

typedef struct
{
  int coordinator;
  int64_t received_at_ms;
  int64_t objective_at_ms;
  int32_t tasks_left;
  int32_t remote_tasks; /* unfinished tasks outside the coordinator's data centre */
} job_t;

/* Who places the tasks. */
typedef enum
{
  BY_SCHEDULER,
  /* Knows which slots are free, and leaves the local data centre only when it is full. */
  BY_ORACLE,
  /* Draws a free slot of any data centre. */
  BY_CHANCE
} placed_by_t;

typedef struct
{
  placed_by_t placed_by;
  scheduler_t *schedulers[DATA_CENTRES];
  int free_fast[DATA_CENTRES];
  int free_slow[DATA_CENTRES];
  GQueue *waiting[DATA_CENTRES]; /* GINT_TO_POINTER (job) for each task */
  GArray *runs;                  /* run_t */
  GArray *jobs;                  /* job_t */
  GArray *actions;
  GRand *rand;
} world_t;

static void
start_task (world_t *world, int data_centre, int job, int64_t work_ms, int64_t now_ms)
{
  /* An owner takes the fastest; a slow slot that is fast enough is the harder case here, since its
   * task is under way for longer. */
  const job_t *of = &g_array_index (world->jobs, job_t, job);
  bool slow_is_enough =
      now_ms + (int64_t) (2 * SLOW_RATIO * (double) work_ms) < of->objective_at_ms;
  bool fast =
      world->free_slow[data_centre] == 0 || (!slow_is_enough && world->free_fast[data_centre] > 0);
  run_t run = { now_ms + (int64_t) ((fast ? FAST_RATIO : SLOW_RATIO) * (double) work_ms),
                data_centre, fast, job };

  (fast ? world->free_fast : world->free_slow)[data_centre]--;
  g_array_append_val (world->runs, run);
}

static void
place_task (world_t *world, int to, int number, int64_t work_ms, int64_t now_ms)
{
  job_t *job = &g_array_index (world->jobs, job_t, number);

  job->remote_tasks += to != job->coordinator;
  if (world->free_fast[to] + world->free_slow[to] > 0)
    start_task (world, to, number, work_ms, now_ms);
  else
    g_queue_push_tail (world->waiting[to], GINT_TO_POINTER (number));
}

static int
oracle_choice (const world_t *world, int coordinator)
{
  int best = coordinator;

  for (int k = 0; k < DATA_CENTRES; k++)
    {
      int free_slots = world->free_fast[k] + world->free_slow[k];
      int best_slots = world->free_fast[best] + world->free_slow[best];
      if (best_slots == 0 || (best != coordinator && free_slots > best_slots))
        best = free_slots > best_slots ? k : best;
    }
  return best;
}

static int
random_choice (world_t *world)
{
  int free_slots = 0;

  for (int k = 0; k < DATA_CENTRES; k++)
    free_slots += world->free_fast[k] + world->free_slow[k];
  if (free_slots == 0)
    return g_rand_int_range (world->rand, 0, DATA_CENTRES);
  int drawn = g_rand_int_range (world->rand, 0, free_slots);
  int chosen = 0;
  for (; drawn >= world->free_fast[chosen] + world->free_slow[chosen]; chosen++)
    drawn -= world->free_fast[chosen] + world->free_slow[chosen];
  return chosen;
}

static void
take_actions (world_t *world, int64_t work_ms, int64_t now_ms)
{
  for (guint i = 0; i < world->actions->len; i++)
    {
      scheduler_action_t *action = &g_array_index (world->actions, scheduler_action_t, i);
      if (action->kind != SCHEDULER_SUBMIT)
        continue;
      int to = action->shard[0] - data_centres[0][0];
      int number = (int) world->jobs->len - 1;
      for (guint k = 0; k < action->task_indexes->len; k++)
        place_task (world, to, number, work_ms, now_ms);
      g_array_unref (action->task_indexes);
    }
  g_array_set_size (world->actions, 0);
}

static void
submit (world_t *world, int coordinator, size_t kind, int64_t now_ms)
{
  int64_t work_ms = kinds[kind].work_ms;
  int64_t objective_ms = (int64_t) (OBJECTIVE_FACTOR * (double) work_ms) + OBJECTIVE_FIXED_MS;
  char *id = g_strdup_printf ("%016x", world->jobs->len);
  const scheduler_job_t request = { .id = id,
                                    .spec = "work",
                                    .service = "s",
                                    .tasks = kinds[kind].tasks,
                                    .need = { 1000, 10, 0 },
                                    .estimate_ms = work_ms,
                                    .stretch_factor = OBJECTIVE_FACTOR,
                                    .target_ms = OBJECTIVE_FIXED_MS,
                                    .received_at_ms = now_ms,
                                    .deadline_at_ms = now_ms + 1500 + 3 * objective_ms,
                                    .attempts_max = 3,
                                    .label = "",
                                    .preferred_rack = "" };
  job_t job = { coordinator, now_ms, now_ms + objective_ms, request.tasks, 0 };

  g_array_append_val (world->jobs, job);
  if (world->placed_by == BY_SCHEDULER)
    {
      scheduler_submit (world->schedulers[coordinator], &request, now_ms, world->actions);
      take_actions (world, work_ms, now_ms);
    }
  for (int32_t i = 0; world->placed_by != BY_SCHEDULER && i < request.tasks; i++)
    {
      int to = world->placed_by == BY_ORACLE ? oracle_choice (world, coordinator)
                                             : random_choice (world);
      place_task (world, to, (int) world->jobs->len - 1, work_ms, now_ms);
    }
  g_free (id);
}

static void
end_task (world_t *world, const run_t *run)
{
  job_t *job = &g_array_index (world->jobs, job_t, run->job);

  (run->fast ? world->free_fast : world->free_slow)[run->data_centre]++;
  job->tasks_left--;
  job->remote_tasks -= run->data_centre != job->coordinator;
}

static int64_t
work_of (const job_t *job)
{
  return (int64_t) ((double) (job->objective_at_ms - job->received_at_ms - OBJECTIVE_FIXED_MS)
                    / OBJECTIVE_FACTOR);
}

static void
step (world_t *world, int64_t now_ms)
{
  for (guint i = world->runs->len; i-- > 0;)
    {
      run_t run = g_array_index (world->runs, run_t, i);
      if (run.ends_at_ms > now_ms)
        continue;
      g_array_remove_index_fast (world->runs, i);
      end_task (world, &run);
    }
  for (int k = 0; k < DATA_CENTRES; k++)
    while (world->free_fast[k] + world->free_slow[k] > 0 && !g_queue_is_empty (world->waiting[k]))
      {
        int job = GPOINTER_TO_INT (g_queue_pop_head (world->waiting[k]));
        start_task (world, k, job, work_of (&g_array_index (world->jobs, job_t, job)), now_ms);
      }
}

static void
report (world_t *world, int64_t now_ms)
{
  for (int k = 0; k < DATA_CENTRES; k++)
    {
      double error = 1.0 + SPEED_ERROR * sin (now_ms / 700.0 + 2 * k);
      const executor_offer_t offers[] = {
        { "s", world->free_fast[k], FAST_SLOTS, FAST_RATIO * error },
        { "s", world->free_slow[k], SLOW_SLOTS, SLOW_RATIO * error },
      };
      const executor_load_t load = {
        .service = "s",
        .cores_milli = (FAST_SLOTS + SLOW_SLOTS) * 1000,
        .backlog_core_ms = { 200 * (int64_t) g_queue_get_length (world->waiting[k]) },
      };
      for (int i = 0; i < DATA_CENTRES; i++)
        {
          report_offers (world->schedulers[i], data_centres[k], data_centres[k], offers,
                         G_N_ELEMENTS (offers), &load, now_ms);
        }
    }
}

static void
world_init (world_t *world, placed_by_t placed_by)
{
  *world = (world_t){ .placed_by = placed_by,
                      .runs = g_array_new (FALSE, FALSE, sizeof (run_t)),
                      .jobs = g_array_new (FALSE, FALSE, sizeof (job_t)),
                      .actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t)),
                      .rand = g_rand_new_with_seed (7) };
  for (int i = 0; i < DATA_CENTRES; i++)
    {
      const scheduler_options_t options = { .host = data_centres[i],
                                            .data_centre = data_centres[i],
                                            .lease_ms = 1000,
                                            .remote_factor = 1.0,
                                            .incarnation = 0,
                                            .resubmit_ms = 1300 };
      world->schedulers[i] = scheduler_new (&options);
      world->free_fast[i] = FAST_SLOTS;
      world->free_slow[i] = SLOW_SLOTS;
      world->waiting[i] = g_queue_new ();
      for (int k = 0; k < DATA_CENTRES; k++)
        scheduler_set_owner (world->schedulers[i], data_centres[k], data_centres[k], 1, 0,
                             world->actions);
    }
}

static void
world_free (world_t *world)
{
  for (int i = 0; i < DATA_CENTRES; i++)
    {
      scheduler_free (world->schedulers[i]);
      g_queue_free (world->waiting[i]);
    }
  g_rand_free (world->rand);
  g_array_unref (world->actions);
  g_array_unref (world->jobs);
  g_array_unref (world->runs);
}

typedef struct
{
  const char *name;
  double load;  /* factor on the rates of all kinds */
  double shift; /* factor on that of data centre x; the others get the rest */
} load_case_t;

static const load_case_t cases[] = {
  { "two thirds of all slots", 1.0, 1.0 },
  { "four fifths of all slots", 1.25, 1.0 },
  { "callers move to x", 1.0, 1.8 },
};

typedef struct
{
  double exposed; /* part of the time of all jobs in which a cut would lose them */
  double in_time; /* part of the jobs that meet their objective */
} result_t;

static void
submit_jobs (world_t *world, const load_case_t *load, int64_t now_ms)
{
  for (int i = 0; i < DATA_CENTRES; i++)
    for (size_t kind = 0; kind < G_N_ELEMENTS (kinds); kind++)
      {
        double share = i == 0 ? load->shift : (DATA_CENTRES - load->shift) / (DATA_CENTRES - 1);
        if (g_rand_double (world->rand) < kinds[kind].rate_per_s * load->load * share / 1000)
          submit (world, i, kind, now_ms);
      }
}

static result_t
replay (const load_case_t *load, placed_by_t placed_by)
{
  world_t world;
  int exposed_ms = 0;
  int all_ms = 0;
  int late = 0;

  world_init (&world, placed_by);
  for (int64_t now_ms = 0; now_ms < END_MS; now_ms++)
    {
      step (&world, now_ms);
      if (now_ms % REPORT_INTERVAL_MS == 0)
        report (&world, now_ms);
      submit_jobs (&world, load, now_ms);
      for (guint i = 0; i < world.jobs->len; i++)
        {
          const job_t *job = &g_array_index (world.jobs, job_t, i);
          all_ms += job->tasks_left > 0;
          exposed_ms += job->remote_tasks > 0;
          late += job->tasks_left > 0 && job->objective_at_ms == now_ms;
        }
    }
  result_t result = { (double) exposed_ms / all_ms, 1 - (double) late / world.jobs->len };
  world_free (&world);
  return result;
}

/* At least half of what knowledge of all slots can spare is to be spared. */
static void
test_exposed_to_cuts (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      result_t ours = replay (&cases[i], BY_SCHEDULER);
      result_t oracle = replay (&cases[i], BY_ORACLE);
      result_t chance = replay (&cases[i], BY_CHANCE);

      printf ("  %s: exposed %.3f (oracle %.3f, by chance %.3f), in time %.3f (%.3f, %.3f)\n",
              cases[i].name, ours.exposed, oracle.exposed, chance.exposed, ours.in_time,
              oracle.in_time, chance.in_time);
      CU_ASSERT_TRUE (ours.exposed <= (oracle.exposed + chance.exposed) / 2);
      CU_ASSERT_TRUE (ours.in_time >= oracle.in_time - 0.01);
    }
}

static const unit_test_t tests[] = {
  { "jobs exposed to cuts of a data centre", test_exposed_to_cuts },
};

int
main (void)
{
  return unit_run ("assign", tests, G_N_ELEMENTS (tests));
}
