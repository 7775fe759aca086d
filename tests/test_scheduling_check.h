/* test_scheduling_check.h -- checks of the invariants after a scheduling simulation */
#ifndef TESTS_TEST_SCHEDULING_CHECK_H
#define TESTS_TEST_SCHEDULING_CHECK_H

#include "tests/test_scheduling_run.h"

#include <CUnit/CUnit.h>

typedef struct
{
  const char *name;
  uint32_t seed_count; /* consecutive seeds, beginning with that of the options, or with 1 */
  simulation_options_t options;
  int min_answered_percent; /* of all jobs that were not refused because of drains */
} simulation_case_t;

static void
print_result (const char *name, uint32_t seed, const simulation_result_t *result)
{
  printf ("%s %u: jobs %d complete %d failed %d refused %d given up %d; concurrent runs %d "
          "repeated starts %d overfull starts %d refused starts %d false answers %d false failures "
          "%d unanswered %d "
          "starts while drained %d false drain refusals %d deadly starts %d innocent %d complete "
          "%d\n",
          name, seed, result->jobs, result->complete, result->failed, result->refused,
          result->given_up, result->concurrent_runs, result->repeated_starts,
          result->overfull_starts, result->refused_starts, result->false_answers,
          result->false_failures, result->unanswered, result->starts_while_drained,
          result->false_drain_refusals, result->deadly_starts, result->innocent,
          result->innocent_complete);
}

/* Whether an end may be lost with an owner that has acknowledged it, or on the way to the
 * coordinator: the next owner can't know that the task is done. */
static bool
may_start_again (const simulation_options_t *options)
{
  return options->host_crashes > 0 || options->host_freezes > 0 || options->host_cuts > 0
         || options->one_way_cuts > 0 || options->link_cuts > 0 || options->parted_hosts > 0
         || options->gradual_cuts > 0 || options->data_centre_cuts > 0 || options->slow_links > 0
         || options->terminations > 0;
}

/* Runs the simulation of TEST with SEED, checks its result and returns it. */
static simulation_result_t
check_result (const simulation_case_t *test, uint32_t seed)
{
  unsigned failures = CU_get_number_of_failures ();
  simulation_options_t options = test->options;

  options.seed = seed;
  simulation_result_t result = simulation_run (&options);
  int answered = result.complete + result.failed;
  CU_ASSERT_EQUAL (result.concurrent_runs, 0);
  CU_ASSERT_TRUE (may_start_again (&options) || result.repeated_starts == 0);
  CU_ASSERT_EQUAL (result.deadly_starts, 0);
  CU_ASSERT_TRUE (options.deadly_jobs == 0
                  || 100 * result.innocent_complete
                         >= test->min_answered_percent * result.innocent);
  CU_ASSERT_EQUAL (result.starts_while_drained, 0);
  CU_ASSERT_EQUAL (result.false_drain_refusals, 0);
  CU_ASSERT_EQUAL (result.overfull_starts, 0);
  CU_ASSERT_EQUAL (result.false_answers, 0);
  CU_ASSERT_EQUAL (result.false_failures, 0);
  CU_ASSERT_EQUAL (result.unanswered, 0);
  /* Jobs that were refused because all data centres are drained don't count. */
  CU_ASSERT_TRUE (100 * answered
                  >= test->min_answered_percent * (result.jobs - result.refused_drained));
  if (CU_get_number_of_failures () > failures)
    print_result (test->name, seed, &result);
  return result;
}

/* Handles the arguments CASE SEED [COUNT [ID]]: runs the cases whose names begin with CASE, for
 * COUNT seeds from SEED on, prints their results, and prints the events of the jobs and tasks whose
 * ids begin with ID.  Returns false if there are no such arguments. */
G_GNUC_UNUSED static bool
run_by_hand (const simulation_case_t *cases, size_t case_count, int argc, char **argv)
{
  if (argc < 3)
    return false;
  uint32_t first = (uint32_t) atoi (argv[2]);
  uint32_t count = argc >= 4 ? (uint32_t) atoi (argv[3]) : 1;

  traced_id = argc >= 5 ? argv[4] : NULL;
  for (size_t i = 0; i < case_count; i++)
    for (uint32_t seed = first; seed < first + count; seed++)
      if (g_str_has_prefix (cases[i].name, argv[1]))
        {
          simulation_options_t options = cases[i].options;
          options.seed = seed;
          simulation_result_t result = simulation_run (&options);
          print_result (cases[i].name, seed, &result);
        }
  return true;
}

/* Checks all seeds of TEST.  Returns the number of steps. */
G_GNUC_UNUSED static int64_t
check_seeds (const simulation_case_t *test)
{
  uint32_t first = MAX (test->options.seed, 1);
  int64_t steps = 0;

  for (uint32_t seed = first; seed < first + test->seed_count; seed++)
    steps += check_result (test, seed).steps;
  return steps;
}

#endif
