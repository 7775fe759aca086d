/* test_executor_restarts.c -- endpoints that start again under their ids */
#include "tests/executor_scenario.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <string.h>

/* e0 starts again between the answer to its first poll and the first order; the later instance is
 * known by the poll that is answered at LATER_POLL_MS. */
#define FIRST_INSTANCE_MS 1
#define LATER_INSTANCE_MS 900
#define ORDER_MS 1000
#define LATER_POLL_MS 1200
#define TASK "j.0.0.0"

/* How a poll of the later instance lists the run. */
typedef enum
{
  NOT_LISTED,
  LISTED_ACTIVE,
  LISTED_DONE,
  LISTED_FAILED
} listing_t;

static void
answer_first_polls (scenario_t *scenario)
{
  for (int number = 0; number < 2; number++)
    {
      const poll_result_t result = { .endpoint_clock_ms = 5, .started_at_ms = FIRST_INSTANCE_MS };
      executor_poll_answered (scenario->executor, scenario->poll_serial[number], EXECUTOR_OK,
                              &result, 0, scenario->actions);
    }
}

/* Begins a scenario in which a task is ordered to start on e0, which has started again unnoticed.
 * The poll that is sent with the order is lost. */
static void
scenario_begin_restarted (scenario_t *scenario, const executor_batch_t *batch)
{
  scenario_begin (scenario);
  add_instance (scenario, 0, "r1", 3000, FIRST_INSTANCE_MS);
  add_instance (scenario, 1, "r1", 4000, FIRST_INSTANCE_MS);
  run_round_at (scenario, 0);
  answer_first_polls (scenario);
  executor_submit (scenario->executor, batch, ORDER_MS);
  run_round_at (scenario, ORDER_MS);
  CU_ASSERT_STRING_EQUAL (scenario->start_endpoint, "e0");
}

static void
lose_first_poll (scenario_t *scenario)
{
  executor_poll_answered (scenario->executor, scenario->poll_serial[0], EXECUTOR_NO_ANSWER, NULL,
                          ORDER_MS + 20, scenario->actions);
  run_round_at (scenario, LATER_POLL_MS - 10);
}

/* The later instance of e0 answers the last poll at NOW_MS. */
static void
answer_as_later_instance (scenario_t *scenario, listing_t listing, int64_t now_ms)
{
  const poll_active_t active = { TASK, 1, 10 };
  const poll_ended_t ended = { 1, TASK, 1, listing == LISTED_DONE ? RUN_DONE : RUN_FAILED };
  const poll_result_t result = {
    .endpoint_clock_ms = now_ms - LATER_INSTANCE_MS + 1,
    .started_at_ms = LATER_INSTANCE_MS,
    .active = &active,
    .active_count = listing == LISTED_ACTIVE,
    .ended = &ended,
    .ended_count = listing == LISTED_DONE || listing == LISTED_FAILED,
  };

  g_array_set_size (scenario->actions, 0);
  executor_poll_answered (scenario->executor, scenario->poll_serial[0], EXECUTOR_OK, &result,
                          now_ms, scenario->actions);
}

static const struct
{
  const char *name;
  bool confirmed;    /* the start, by the later instance, before the poll is sent */
  listing_t listing; /* in that poll */
  bool done;         /* the coordinator is told that the task is done */
  bool starts_again; /* within half a lease */
} later_instance_cases[] = {
  { "confirmed, active", true, LISTED_ACTIVE, false, false },
  { "confirmed, done", true, LISTED_DONE, true, false },
  { "confirmed, failed", true, LISTED_FAILED, false, true },
  { "not answered, active", false, LISTED_ACTIVE, false, false },
  { "not answered, done", false, LISTED_DONE, true, false },
  { "not answered, failed", false, LISTED_FAILED, false, true },
};

/* A run that has ended on an instance which was not noticed before is over as that instance lists
 * it: a task that is done does not start a second time. */
static void
test_run_ended_on_unnoticed_instance (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (later_instance_cases); i++)
    {
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;
      bool started = false;

      scenario_begin_restarted (&scenario, &batch);
      executor_start_answered (scenario.executor, scenario.start_serial,
                               later_instance_cases[i].confirmed ? EXECUTOR_OK : EXECUTOR_NO_ANSWER,
                               later_instance_cases[i].confirmed ? 102 : 0, ORDER_MS + 1,
                               scenario.actions);
      lose_first_poll (&scenario);
      answer_as_later_instance (&scenario, later_instance_cases[i].listing, LATER_POLL_MS);
      bool done = has_action (&scenario, EXECUTOR_DONE);
      for (int64_t now_ms = LATER_POLL_MS; now_ms < LATER_POLL_MS + LEASE_MS / 2; now_ms += 10)
        {
          run_round_at (&scenario, now_ms);
          started |= scenario.start_endpoint[0] != '\0';
        }
      if (done != later_instance_cases[i].done || started != later_instance_cases[i].starts_again)
        printf ("  %s: done %d, started again %d\n", later_instance_cases[i].name, done, started);
      CU_ASSERT_EQUAL (done, later_instance_cases[i].done);
      CU_ASSERT_EQUAL (started, later_instance_cases[i].starts_again);
      scenario_end (&scenario);
    }
}

static const struct
{
  const char *name;
  CU_TestFunc run;
} tests[] = {
  { "a task that is done on an instance not noticed before starts again",
    test_run_ended_on_unnoticed_instance },
};

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("endpoints that start again under their ids", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
