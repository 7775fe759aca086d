/* test_fleet_random.c -- lib/fleet, lib/flow and lib/crew on random faults in simulated time */
#include "tests/test_fleet_node.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

/* --- callers --- */

static void
send_job (world_t *world, job_t *job)
{
  node_t *node = &world->nodes[draw (world, WORLD_HOSTS)];

  if (!is_up (node) || node->frozen_until_ms > world->now_ms || node->leaving_from_ms != 0)
    {
      job->resend_at_ms = world->now_ms + 200;
      return;
    }
  trace (world, job->id, "is sent to %s", node->name);
  job->host = node->number;
  job->incarnation = node->incarnation;
  job->starts = 0;
  job->refused = false;
  flow_job_t info = {
    .id = job->id,
    .spec = "work",
    .service = "s",
    .tasks = job->tasks,
    .need = { 1000, 1, 0 },
    .estimate_ms = job->work_ms,
    .stretch = 1.6,
    .target_ms = 60,
    .received_at_ms = world->now_ms,
    .deadline_at_ms = job->deadline_at_ms,
    .attempts_max = ATTEMPTS_MAX,
    .label = "",
    .near_rack = job->near_zone >= 0 ? zone_name (job->near_zone) : "",
    .user = job,
  };
  job->number = flow_submit (node->flow, &info, world->now_ms, node->flow_actions);
  pump (node);
}

static void
new_job (world_t *world)
{
  job_t *job = g_new0 (job_t, 1);

  g_snprintf (job->id, sizeof job->id, "%016d", (int) world->jobs->len);
  job->tasks = 1 + draw (world, TASKS_MAX);
  job->work_ms = draw (world, 8) == 0 ? 600 : 40 + draw (world, 120);
  job->sent_at_ms = world->now_ms;
  job->deadline_at_ms = world->now_ms + DEADLINE_MS;
  job->host = -1;
  job->near_zone = happens (world, world->options->racks) ? draw (world, WORLD_ZONES) : -1;
  job->leaves_at_ms =
      happens (world, world->options->leavers) ? world->now_ms + draw (world, 200) : INT64_MAX;
  g_ptr_array_add (world->jobs, job);
  world->result.jobs++;
  send_job (world, job);
}

/* The caller closes its connection; its host may not notice. */
static void
leave (world_t *world, job_t *job)
{
  node_t *node = job->host >= 0 ? &world->nodes[job->host] : NULL;

  job->over = true;
  if (node == NULL || !is_up (node) || node->incarnation != job->incarnation
      || node->frozen_until_ms > world->now_ms)
    return;
  flow_abandon (node->flow, job->number, world->now_ms, node->flow_actions);
  pump (node);
}

static void
step_job (world_t *world, job_t *job)
{
  if (job->over)
    return;
  if (world->now_ms >= job->leaves_at_ms)
    leave (world, job);
  else if (job->host < 0 && world->now_ms >= job->resend_at_ms)
    {
      if (world->now_ms < job->deadline_at_ms + 2 * DEADLINE_MS)
        {
          job->deadline_at_ms = MAX (job->deadline_at_ms, world->now_ms + DEADLINE_MS / 2);
          send_job (world, job);
        }
      else
        job->over = true;
    }
  else if (job->host >= 0 && world->now_ms > job->deadline_at_ms + 1000)
    {
      const node_t *node = &world->nodes[job->host];
      if (is_up (node) && node->incarnation == job->incarnation
          && node->frozen_until_ms + 500 < world->now_ms)
        {
          world->result.unanswered++;
          printf ("  unanswered: seed %u at %d ms: %s\n", world->options->seed, (int) world->now_ms,
                  job->id);
        }
      leave (world, job);
    }
}

/* --- faults --- */

#define CLOCK_STEP_MAX_MS 5000

static void
hurt_nodes (world_t *world)
{
  const world_options_t *options = world->options;

  for (int i = 0; i < WORLD_HOSTS; i++)
    {
      node_t *node = &world->nodes[i];
      if (!is_up (node))
        continue;
      if (happens (world, options->crashes))
        {
          node_stop (node);
          node->down_until_ms = world->now_ms + 300 + draw (world, 3000);
        }
      else if (happens (world, options->freezes))
        node->frozen_until_ms = world->now_ms + 100 + draw (world, 4000);
      else if (happens (world, options->host_cuts))
        node->cut_until_ms = world->now_ms + 300 + draw (world, 5000);
      else if (happens (world, options->clock_steps))
        node->wall_ahead_ms = draw (world, 2 * CLOCK_STEP_MAX_MS) - CLOCK_STEP_MAX_MS;
      else if (happens (world, options->terminations) && node->leaving_from_ms == 0)
        {
          node->leaving_from_ms = world->now_ms;
          crew_leave (node->crew);
        }
    }
}

static void
machine_forget (machine_t *machine)
{
  g_ptr_array_set_size (machine->runs, 0);
  g_ptr_array_set_size (machine->ends, 0);
  g_hash_table_remove_all (machine->seen);
  machine->token = 0;
  machine->lease_until_ms = 0;
  machine->last_end = 0;
}

static void
hurt_machines (world_t *world)
{
  const world_options_t *options = world->options;

  for (int i = 0; i < WORLD_ENDPOINTS; i++)
    {
      machine_t *machine = &world->machines[i];
      if (machine->down_until_ms == 0 && happens (world, options->endpoint_crashes))
        {
          machine_forget (machine);
          machine->down_until_ms = world->now_ms + 500 + draw (world, 3000);
        }
      else if (machine->down_until_ms != 0 && machine->down_until_ms <= world->now_ms)
        {
          machine->down_until_ms = 0;
          machine->born_at_ms = world->now_ms;
          for (int k = 0; k < WORLD_HOSTS; k++)
            if (world->nodes[k].owned[machine->zone].fleet != NULL)
              set_machines (&world->nodes[k], machine->zone);
        }
      if (happens (world, options->endpoint_cuts))
        machine->cut_until_ms = world->now_ms + 200 + draw (world, 3000);
    }
  for (int i = 0; i < WORLD_ZONES; i++)
    if (happens (world, options->zone_cuts))
      world->zone_cut_until_ms[i] = world->now_ms + 500 + draw (world, 5000);
}

/* --- the world --- */

static void
world_tick (world_t *world, void *data)
{
  (void) data;
  for (int i = 0; i < WORLD_ENDPOINTS; i++)
    machine_step (world, &world->machines[i]);
  for (int i = 0; i < WORLD_HOSTS; i++)
    node_tick (&world->nodes[i]);
  for (guint i = world->jobs->len > 400 ? world->jobs->len - 400 : 0; i < world->jobs->len; i++)
    step_job (world, world->jobs->pdata[i]);
  if (world->now_ms % JOB_EVERY_MS == 0 && world->now_ms > 2000
      && world->now_ms < world->options->length_ms - 4000)
    new_job (world);
  if (world->now_ms % 1000 == 0 && world->now_ms > 3000)
    {
      hurt_nodes (world);
      hurt_machines (world);
    }
  plan (world, world->now_ms + TICK_MS, world_tick, NULL);
}

static void
world_init (world_t *world)
{
  for (int i = 0; i < WORLD_HOSTS; i++)
    {
      node_t *node = &world->nodes[i];
      node->world = world;
      node->number = i;
      node->zone = i % WORLD_ZONES;
      g_snprintf (node->name, sizeof node->name, "h%d", i);
      node->crew_actions = g_array_new (FALSE, FALSE, sizeof (crew_action_t));
      node->flow_actions = g_array_new (FALSE, FALSE, sizeof (flow_action_t));
      node->fleet_actions = g_array_new (FALSE, FALSE, sizeof (fleet_action_t));
    }
  for (int i = 0; i < WORLD_ENDPOINTS; i++)
    {
      machine_t *machine = &world->machines[i];
      g_snprintf (machine->id, sizeof machine->id, "e%d", i);
      machine->zone = i % WORLD_ZONES;
      machine->born_at_ms = 1;
      machine->slowness = i % 4 == 0 ? 1.7 : 0.7;
      machine->runs = g_ptr_array_new_with_free_func (free_run);
      machine->ends = g_ptr_array_new_with_free_func (free_end);
      machine->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
}

world_result_t
world_run (const world_options_t *options)
{
  world_t *world = g_new0 (world_t, 1);

  world->options = options;
  world->rand = g_rand_new_with_seed (options->seed);
  world->now_ms = 1000;
  world->events = g_sequence_new (g_free);
  world->jobs = g_ptr_array_new_with_free_func (g_free);
  world_init (world);
  plan (world, world->now_ms, world_tick, NULL);
  while (world->now_ms < options->length_ms)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (world->events);
      event_t event = *(event_t *) g_sequence_get (first);
      g_sequence_remove (first);
      world->now_ms = event.at_ms;
      world->result.steps++;
      event.run (world, event.data);
    }
  world_result_t result = world->result;
  for (int i = 0; i < WORLD_HOSTS; i++)
    {
      if (is_up (&world->nodes[i]))
        node_stop (&world->nodes[i]);
      g_array_unref (world->nodes[i].crew_actions);
      g_array_unref (world->nodes[i].flow_actions);
      g_array_unref (world->nodes[i].fleet_actions);
    }
  for (int i = 0; i < WORLD_ENDPOINTS; i++)
    {
      g_ptr_array_unref (world->machines[i].runs);
      g_ptr_array_unref (world->machines[i].ends);
      g_hash_table_unref (world->machines[i].seen);
    }
  /* What is still on its way is freed with its event. */
  for (GSequenceIter *at = g_sequence_get_begin_iter (world->events); !g_sequence_iter_is_end (at);
       at = g_sequence_iter_next (at))
    {
      const event_t *event = g_sequence_get (at);
      if (event->run == message_arrives)
        message_free (event->data);
      else if (event->run == order_ends)
        order_free (event->data);
    }
  g_sequence_free (world->events);
  g_ptr_array_unref (world->jobs);
  g_rand_free (world->rand);
  g_free (world);
  return result;
}

/* --- cases --- */

static const struct
{
  const char *name;
  uint32_t seeds; /* from 1 on */
  world_options_t options;
  int served_percent; /* at least, of all jobs */
} cases[] = {
  { "calm", 1, { .length_ms = 20000 }, 99 },
  { "answers lost", 2, { .length_ms = 30000, .lost = 30 }, 90 },
  { "orders late", 2, { .length_ms = 40000, .late = 30 }, 80 },
  { "runs fail", 1, { .length_ms = 20000, .failing = 50 }, 95 },
  { "runs hang", 2, { .length_ms = 30000, .hanging = 20 }, 85 },
  { "callers leave", 1, { .length_ms = 30000, .leavers = 300 }, 60 },
  { "hosts crash", 3, { .length_ms = 40000, .crashes = 40 }, 70 },
  { "hosts freeze", 3, { .length_ms = 40000, .freezes = 40 }, 70 },
  { "hosts are stopped", 2, { .length_ms = 40000, .terminations = 60 }, 90 },
  { "new hosts know half of the endpoints",
    4,
    { .length_ms = 40000, .terminations = 100, .crashes = 20, .blind = true },
    70 },
  { "clocks jump while hosts crash",
    4,
    { .length_ms = 40000, .clock_steps = 300, .crashes = 40, .freezes = 10 },
    70 },
  { "data near some endpoints", 2, { .length_ms = 20000, .racks = 700, .crashes = 10 }, 90 },
  { "data centres are cut", 3, { .length_ms = 40000, .zone_cuts = 60 }, 70 },
  { "hosts are cut", 4, { .length_ms = 40000, .host_cuts = 40 }, 60 },
  { "cuts hold what is sent into them",
    6,
    { .length_ms = 40000, .host_cuts = 60, .zone_cuts = 30, .held = true },
    50 },
  { "few hubs",
    6,
    { .length_ms = 40000,
      .few_hubs = true,
      .crashes = 30,
      .freezes = 20,
      .host_cuts = 20,
      .zone_cuts = 20,
      .terminations = 20 },
    60 },
  { "endpoints crash", 2, { .length_ms = 40000, .endpoint_crashes = 30 }, 70 },
  { "endpoints are cut", 2, { .length_ms = 40000, .endpoint_cuts = 30 }, 70 },
  { "all of it",
    6,
    { .length_ms = 60000,
      .lost = 10,
      .late = 10,
      .failing = 10,
      .hanging = 5,
      .leavers = 50,
      .crashes = 10,
      .freezes = 10,
      .zone_cuts = 20,
      .host_cuts = 10,
      .endpoint_crashes = 10,
      .endpoint_cuts = 10,
      .terminations = 10 },
    30 },
};

static int64_t all_steps;

static void
run_case (size_t place, uint32_t seed)
{
  world_options_t options = cases[place].options;

  options.seed = seed;
  world_result_t result = world_run (&options);
  all_steps += result.steps;
  int served = result.complete + result.failed;
  bool good = result.twice == 0 && result.crowded == 0 && result.untrue == 0
              && result.false_failed == 0 && result.unanswered == 0
              && 100 * served >= cases[place].served_percent * result.jobs;
  if (!good)
    printf ("\n  %s, seed %u: jobs %d complete %d failed %d refused %d given up %d; twice %d "
            "crowded %d untrue %d false failed %d unanswered %d\n",
            cases[place].name, seed, result.jobs, result.complete, result.failed, result.refused,
            result.given_up, result.twice, result.crowded, result.untrue, result.false_failed,
            result.unanswered);
  CU_ASSERT_EQUAL (result.twice, 0);
  CU_ASSERT_EQUAL (result.crowded, 0);
  CU_ASSERT_EQUAL (result.untrue, 0);
  CU_ASSERT_EQUAL (result.false_failed, 0);
  CU_ASSERT_EQUAL (result.unanswered, 0);
  CU_ASSERT_TRUE (100 * served >= cases[place].served_percent * result.jobs);
}

static void
test_worlds (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (uint32_t seed = 1; seed <= cases[i].seeds; seed++)
      run_case (i, seed);
  printf ("%" G_GINT64_FORMAT " steps ", all_steps);
  CU_ASSERT_TRUE (all_steps > 1000000);
}

/* With arguments: the case whose name begins so, from a seed on, so many, tracing a job. */
int
main (int argc, char **argv)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("fleet in random worlds", NULL, NULL);
  if (argc >= 3)
    {
      uint32_t first = (uint32_t) atoi (argv[2]);
      uint32_t count = argc >= 4 ? (uint32_t) atoi (argv[3]) : 1;
      traced = argc >= 5 ? argv[4] : NULL;
      for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
        for (uint32_t seed = first; seed < first + count; seed++)
          if (strncmp (cases[i].name, argv[1], strlen (argv[1])) == 0)
            {
              world_options_t options = cases[i].options;
              options.seed = seed;
              world_result_t result = world_run (&options);
              printf ("%s %u: jobs %d complete %d failed %d refused %d given up %d; twice %d "
                      "crowded %d untrue %d false %d unanswered %d\n",
                      cases[i].name, seed, result.jobs, result.complete, result.failed,
                      result.refused, result.given_up, result.twice, result.crowded, result.untrue,
                      result.false_failed, result.unanswered);
            }
      CU_cleanup_registry ();
      return 0;
    }
  CU_add_test (suite, "nothing that must hold is broken", test_worlds);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
