/* test_fleet_random.c -- lib/executor, lib/scheduler and lib/cluster on random faults in simulated
 * time */
#include "tests/test_fleet_run.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

/* --- cases --- */

static const struct
{
  const char *name;
  uint32_t seeds; /* from that of the options on, or from 1 */
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
  { "clocks jump by a minute while hosts crash",
    4,
    { .length_ms = 40000, .clock_steps = 300, .clock_step_ms = 60000, .crashes = 60 },
    70 },
  { "data near some endpoints", 2, { .length_ms = 20000, .racks = 700, .crashes = 10 }, 90 },
  { "data centres are cut", 3, { .length_ms = 40000, .zone_cuts = 60 }, 70 },
  { "data centres are drained", 4, { .length_ms = 40000, .drains = 120, .failing = 20 }, 90 },
  { "data centres are drained while orders are late and hosts crash",
    6,
    { .length_ms = 40000, .drains = 150, .crashes = 40, .freezes = 20, .late = 15, .lost = 15 },
    60 },
  { "data centres are drained while cuts hold what is sent into them",
    6,
    { .length_ms = 40000,
      .drains = 150,
      .host_cuts = 40,
      .one_way_cuts = 60,
      .zone_cuts = 20,
      .held = true },
    45 },
  { "hosts are cut", 4, { .length_ms = 40000, .host_cuts = 40 }, 60 },
  { "cuts hold what is sent into them",
    6,
    { .length_ms = 40000, .host_cuts = 60, .zone_cuts = 30, .held = true },
    50 },
  { "hosts are cut one way", 6, { .length_ms = 40000, .one_way_cuts = 60 }, 70 },
  { "hosts that are cut one way own queues",
    5,
    { .seed = 13, .length_ms = 40000, .one_way_cuts = 250, .mixed = true, .every_ms = 10 },
    50 },
  { "hosts that are cut one way own more queues",
    1,
    { .seed = 25, .length_ms = 40000, .one_way_cuts = 250, .mixed = true, .every_ms = 10 },
    50 },
  { "a backlog all the time", 2, { .length_ms = 20000, .mixed = true, .every_ms = 10 }, 80 },
  { "a backlog, while hosts crash",
    3,
    { .length_ms = 30000, .mixed = true, .every_ms = 5, .crashes = 40 },
    30 },
  { "hosts of uneven power",
    4,
    { .length_ms = 40000, .uneven = true, .crashes = 40, .terminations = 40, .host_cuts = 10 },
    60 },
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
  { "endpoints crash and refuse connections",
    3,
    { .length_ms = 40000, .endpoint_crashes = 60, .refusing = true, .late = 10, .lost = 10 },
    70 },
  { "endpoints are cut", 2, { .length_ms = 40000, .endpoint_cuts = 30 }, 70 },
  { "callers wait long, hosts and endpoints crash",
    3,
    { .length_ms = 40000,
      .mixed = true,
      .long_waits = true,
      .crashes = 20,
      .endpoint_crashes = 30,
      .hanging = 5,
      .one_way_cuts = 30 },
    50 },
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
              && result.false_failed == 0 && result.unanswered == 0 && result.drained_starts == 0
              && result.falsely_drained == 0
              && 100 * served >= cases[place].served_percent * (result.jobs - result.drained_out);
  if (!good)
    printf ("\n  %s, seed %u: jobs %d complete %d failed %d refused %d given up %d; twice %d "
            "crowded %d untrue %d false failed %d unanswered %d drained starts %d\n",
            cases[place].name, seed, result.jobs, result.complete, result.failed, result.refused,
            result.given_up, result.twice, result.crowded, result.untrue, result.false_failed,
            result.unanswered, result.drained_starts);
  CU_ASSERT_EQUAL (result.twice, 0);
  CU_ASSERT_EQUAL (result.drained_starts, 0);
  CU_ASSERT_EQUAL (result.falsely_drained, 0);
  CU_ASSERT_EQUAL (result.crowded, 0);
  CU_ASSERT_EQUAL (result.untrue, 0);
  CU_ASSERT_EQUAL (result.false_failed, 0);
  CU_ASSERT_EQUAL (result.unanswered, 0);
  /* With all data centres drained nothing can be served. */
  CU_ASSERT_TRUE (100 * served >= cases[place].served_percent * (result.jobs - result.drained_out));
}

static void
test_worlds (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint32_t first = MAX (cases[i].options.seed, 1);
      for (uint32_t seed = first; seed < first + cases[i].seeds; seed++)
        run_case (i, seed);
    }
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
                      "crowded %d untrue %d false %d unanswered %d drained starts %d\n",
                      cases[i].name, seed, result.jobs, result.complete, result.failed,
                      result.refused, result.given_up, result.twice, result.crowded, result.untrue,
                      result.false_failed, result.unanswered, result.drained_starts);
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
