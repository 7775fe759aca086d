/* test_executor_placement.c -- which endpoint a task starts on */
#include "tests/executor_scenario.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

static const struct
{
  const char *name;
  const char *preferred_rack;
  int64_t estimate_ms;
  int64_t objective_at_ms;
  int64_t r1_cores_milli; /* of the endpoint in rack "r1"; the other one, in "r2", has 4,000 */
  bool r1_full;           /* all cores of the endpoint in rack "r1" are in use */
  const char *expected_endpoint;
  int64_t deadline_at_ms;
} preferred_rack_cases[] = {
  { "no preferred rack: best fit", "", 60, 10000, 2000, false, "e0", FAR_DEADLINE_MS },
  { "preferred rack has free cores", "r1", 400, 600, 4000, false, "e0", FAR_DEADLINE_MS },
  { "the other rack is preferred", "r2", 400, 600, 4000, false, "e1", FAR_DEADLINE_MS },
  { "no endpoint in the preferred rack: slower, but accepted", "r9", 400, 10000, 2000, false, "e0",
    FAR_DEADLINE_MS },
  { "endpoint in the rack too small, in time elsewhere", "r1", 60, 10000, 500, false, "e1",
    FAR_DEADLINE_MS },
  { "endpoint in the rack too small, late elsewhere", "r1", 600, 900, 500, false, "e1",
    FAR_DEADLINE_MS },
  { "rack full, in time elsewhere", "r1", 60, 10000, 1000, true, "e1", FAR_DEADLINE_MS },
  { "rack full, late elsewhere: waits", "r1", 600, 900, 1000, true, "", FAR_DEADLINE_MS },
  { "large, rack has free cores", "r1", 1200, 3000, 2000, false, "e0", 1500 },
  { "large, rack full, far too slow elsewhere: waits", "r1", 1200, 3000, 1000, true, "", 1500 },
  { "large, equally slow everywhere", "r9", 1200, 3000, 2000, false, "e0", 1500 },
};

/* Tasks take longer away from the rack of their data, so they must start there if the difference
 * matters for their times. */
static void
test_preferred_rack (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (preferred_rack_cases); i++)
    {
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin (&scenario);
      add_endpoint (&scenario, 0, "r1", preferred_rack_cases[i].r1_cores_milli);
      add_endpoint (&scenario, 1, "r2", 4000);
      run_round_at (&scenario, 0);
      answer_poll (&scenario, 0, NULL, 0);
      answer_poll (&scenario, 1, NULL, 0);
      if (preferred_rack_cases[i].r1_full)
        {
          executor_batch_t other = batch_of ("other", 2);
          other.preferred_rack = "r1";
          other.objective_at_ms = 130;
          executor_submit (scenario.executor, &other, 1);
          run_round_at (&scenario, 1);
          CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
        }
      batch.preferred_rack = preferred_rack_cases[i].preferred_rack;
      batch.estimate_ms = preferred_rack_cases[i].estimate_ms;
      batch.objective_at_ms = preferred_rack_cases[i].objective_at_ms;
      batch.deadline_at_ms = preferred_rack_cases[i].deadline_at_ms;
      executor_submit (scenario.executor, &batch, 1);
      run_round_at (&scenario, 1);
      if (strcmp (scenario.start_endpoint, preferred_rack_cases[i].expected_endpoint) != 0)
        printf ("  %s: \"%s\"\n", preferred_rack_cases[i].name, scenario.start_endpoint);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, preferred_rack_cases[i].expected_endpoint);
      scenario_end (&scenario);
    }
}

/* Tasks that arrive at 0 and whose objective is 60 ms plus 1.6 times their work. */
static const struct
{
  const char *name;
  int64_t work_ms;
  int64_t deadline_at_ms;
  double ratio;
  int64_t now_ms;
  placement_tier_t tier;
} tier_cases[] = {
  { "fast endpoint, in time for any actual work", 1000, FAR_DEADLINE_MS, 0.7, 0, PLACEMENT_SAFE },
  { "slow endpoint, but 60 ms of slack are enough for the work", 200, FAR_DEADLINE_MS, 1.7, 0,
    PLACEMENT_SAFE },
  { "slow endpoint, in time unless the work is far larger", 400, FAR_DEADLINE_MS, 1.7, 0,
    PLACEMENT_IN_TIME },
  { "slow endpoint, late for any actual work", 1000, FAR_DEADLINE_MS, 1.7, 0, PLACEMENT_LATE },
  { "fast endpoint, late if the work is smaller after a wait of 740 ms", 1000, FAR_DEADLINE_MS, 0.7,
    740, PLACEMENT_LATE },
  { "fast endpoint, in time after a wait of 730 ms", 1000, FAR_DEADLINE_MS, 0.7, 730,
    PLACEMENT_SAFE },
  { "fast endpoint, too little margin before the deadline", 1000, 1700, 0.7, 0, PLACEMENT_LATE },
  { "fast endpoint, almost no margin before the deadline", 1000, 1000, 0.7, 0, PLACEMENT_UNLIKELY },
};

/* An endpoint that is always too slow for the objective must not count as fast enough merely
 * because the corrected estimate is lower than the caller's. */
static void
test_slow_endpoint_for_long_task (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (tier_cases); i++)
    {
      const placement_target_t target = { .work_ms = tier_cases[i].work_ms,
                                          .objective_at_ms = tier_cases[i].work_ms * 16 / 10 + 60,
                                          .stretch_factor = 1.6,
                                          .deadline_at_ms = tier_cases[i].deadline_at_ms };
      placement_tier_t tier = placement_tier (&target, tier_cases[i].ratio, tier_cases[i].now_ms);
      if (tier != tier_cases[i].tier)
        printf ("  %s: %d\n", tier_cases[i].name, (int) tier);
      CU_ASSERT_EQUAL (tier, tier_cases[i].tier);
    }
}

static const struct
{
  const char *name;
  placement_tier_t tier;
  int64_t expected_ms;
  placement_best_t best;
  bool acceptable;
} acceptable_cases[] = {
  { "equal to the best", PLACEMENT_SAFE, 100, { PLACEMENT_SAFE, 100 }, true },
  { "in time, where the best is safe", PLACEMENT_IN_TIME, 200, { PLACEMENT_SAFE, 100 }, true },
  { "late, where the best is in time", PLACEMENT_LATE, 300, { PLACEMENT_IN_TIME, 100 }, false },
  { "late, where the best is late too", PLACEMENT_LATE, 300, { PLACEMENT_LATE, 100 }, true },
  { "unlikely, where the best is in time",
    PLACEMENT_UNLIKELY,
    100,
    { PLACEMENT_IN_TIME, 100 },
    false },
  { "unlikely everywhere, almost as fast as the fastest",
    PLACEMENT_UNLIKELY,
    150,
    { PLACEMENT_UNLIKELY, 100 },
    true },
  { "unlikely everywhere, slow", PLACEMENT_UNLIKELY, 151, { PLACEMENT_UNLIKELY, 100 }, false },
  { "unlikely, no other endpoint",
    PLACEMENT_UNLIKELY,
    151,
    { PLACEMENT_UNLIKELY, INT64_MAX },
    true },
};

static void
test_acceptable_placement (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (acceptable_cases); i++)
    {
      bool acceptable = placement_is_acceptable (
          acceptable_cases[i].tier, acceptable_cases[i].expected_ms, &acceptable_cases[i].best);
      if (acceptable != acceptable_cases[i].acceptable)
        printf ("  %s\n", acceptable_cases[i].name);
      CU_ASSERT_EQUAL (acceptable, acceptable_cases[i].acceptable);
    }
}

/* A task with 60 ms of work took 600 ms, on an endpoint that was cold or warm when it started.  The
 * cases say whether that raises the expected duration of the next task. */
static const struct
{
  const char *name;
  int64_t cold_until_ms;
  bool recorded;
} cold_endpoint_cases[] = {
  { "warm", 0, true },
  { "cold at its start", 300, false },
};

static void
test_cold_endpoint (void)
{
  const poll_ended_t done_run = { 1, "j.0.0.0", 1, RUN_DONE };
  const poll_result_t result = { .endpoint_clock_ms = 605, .ended = &done_run, .ended_count = 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (cold_endpoint_cases); i++)
    {
      executor_endpoint_t endpoint = { .id = "e0",
                                       .address = "127.0.0.1:1",
                                       .service = SERVICE,
                                       .kind = "a",
                                       .rack = "r1",
                                       .started_at_ms = 1,
                                       .free = { 4000, 1000, 0 },
                                       .cold_until_ms = cold_endpoint_cases[i].cold_until_ms };
      executor_batch_t batch = batch_of ("j", 1);
      executor_batch_t next = batch_of ("k", 2);
      scenario_t scenario;

      scenario_begin (&scenario);
      executor_set_endpoint (scenario.executor, &endpoint, 0);
      run_round_at (&scenario, 0);
      answer_poll (&scenario, 0, NULL, 0);
      executor_submit (scenario.executor, &batch, 0);
      run_round_at (&scenario, 0);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 1,
                               scenario.actions);
      executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 600,
                              scenario.actions);
      executor_submit (scenario.executor, &next, 610);
      run_round_at (&scenario, 610);
      const executor_action_t *started = last_action (&scenario, EXECUTOR_START);
      CU_ASSERT_PTR_NOT_NULL (started);
      int64_t expected_ms = started != NULL ? started->expected_ms : -1;
      if ((expected_ms > 60) != cold_endpoint_cases[i].recorded)
        printf ("  %s: %d\n", cold_endpoint_cases[i].name, (int) expected_ms);
      CU_ASSERT_EQUAL (expected_ms > 60, cold_endpoint_cases[i].recorded);
      scenario_end (&scenario);
    }
}

/* The first task of a step is cancelled, with its batch, before the second one is submitted: one of
 * the step may run on an endpoint at a time. */
static const struct
{
  const char *name;
  const char *job; /* of the second task */
  int32_t step;
  bool ended; /* the end of the first one is listed */
  bool starts;
} stopping_cases[] = {
  { "the same step, still being stopped", "j", 0, false, false },
  { "the same step, stopped", "j", 0, true, true },
  { "the next step", "j", 1, false, true },
  { "another job", "k", 0, false, true },
};

static void
test_beside_a_stopping_run (void)
{
  static const poll_active_t active = { TASK, 1, 10 };
  static const poll_ended_t ended = { 1, TASK, 1, RUN_STOPPED };
  static const int32_t second_index = 1;

  for (size_t i = 0; i < G_N_ELEMENTS (stopping_cases); i++)
    {
      const listing_t listing = { .instance_ms = FIRST_INSTANCE_MS,
                                  .active = &active,
                                  .active_count = stopping_cases[i].ended ? 0 : 1,
                                  .ended = &ended,
                                  .ended_count = stopping_cases[i].ended ? 1 : 0 };
      executor_batch_t first = batch_of ("j", 1);
      executor_batch_t second = batch_of (stopping_cases[i].job, 2);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 4000);
      first.tasks_per_endpoint_max = 1;
      executor_submit (scenario.executor, &first, 1);
      run_round_at (&scenario, 1);
      CU_ASSERT_STRING_EQUAL (scenario.start_task, TASK);
      confirm_starts (&scenario);
      executor_cancel (scenario.executor, "h1", 1, STOP_UNKNOWN, 2, scenario.actions);
      run_round_at (&scenario, 2);
      answer_with_listing (&scenario, 0, &listing, 4);
      second.tasks_per_endpoint_max = 1;
      second.step = stopping_cases[i].step;
      second.indexes = &second_index;
      executor_submit (scenario.executor, &second, 5);
      run_round_at (&scenario, 5);
      bool starts = last_action (&scenario, EXECUTOR_START) != NULL;
      if (starts != stopping_cases[i].starts)
        printf ("  %s: starts %d\n", stopping_cases[i].name, starts);
      CU_ASSERT_EQUAL (starts, stopping_cases[i].starts);
      scenario_end (&scenario);
    }
}

static const unit_test_t tests[] = {
  { "one task of a step on an endpoint, beside a run that is being stopped",
    test_beside_a_stopping_run },
  { "duration on a cold endpoint", test_cold_endpoint },
  { "tasks start in the rack of their data", test_preferred_rack },
  { "a slow endpoint for a long task", test_slow_endpoint_for_long_task },
  { "acceptable placement", test_acceptable_placement },
};

int
main (void)
{
  return unit_run ("placement of tasks", tests, G_N_ELEMENTS (tests));
}
