/* test_executor.c -- runs, batches and instances of endpoints, on scripted events */
#include "tests/executor_scenario.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* If a foreign run is stopped and in the same round adopted, its record is freed.  The stop order
 * must still contain the name of the task. */
static void
test_run_adopted_while_stopped (void)
{
  static const poll_active_t row = { "job-with-a-long-name.0.0.0", 2, 10 };
  executor_batch_t batch = batch_of ("job-with-a-long-name", 1);
  scenario_t scenario;

  scenario_begin (&scenario);
  add_endpoint (&scenario, 0, "r1", 4000);
  run_round_at (&scenario, 0);
  answer_poll (&scenario, 0, &row, 1);
  batch.maybe_running = true;
  batch.prior_runs_end_by_ms = 5000;
  scenario.now_ms = 300;
  executor_submit (scenario.executor, &batch, 300);
  run_round_at (&scenario, 300);
  CU_ASSERT_STRING_EQUAL (scenario.stop_task, row.task);
  scenario_end (&scenario);
}

static const struct
{
  const char *name;
  int64_t round_at_ms; /* the foreign run is listed at 0 */
  int expected;        /* lines about it in this round */
} unclaimed_run_cases[] = {
  { "its coordinator may still submit it", 149, 0 },
  { "nobody has claimed it", 150, 1 },
  { "the stop is sent again", 300, 0 },
};

/* A run that no coordinator claims is logged once, when its first stop is sent. */
static void
test_unclaimed_run_logged (void)
{
  static const poll_active_t row = { "j.0.0.0", 2, 10 };
  scenario_t scenario;

  scenario_begin (&scenario);
  add_endpoint (&scenario, 0, "r1", 4000);
  run_round_at (&scenario, 0);
  answer_poll (&scenario, 0, &row, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (unclaimed_run_cases); i++)
    {
      int lines = 0;
      run_round_at (&scenario, unclaimed_run_cases[i].round_at_ms);
      for (guint k = 0; k < scenario.actions->len; k++)
        {
          const executor_action_t *action = &g_array_index (scenario.actions, executor_action_t, k);
          lines += action->kind == EXECUTOR_LOG && action->log_event == EXECUTOR_LOG_UNCLAIMED;
        }
      if (lines != unclaimed_run_cases[i].expected)
        printf ("  %s: %d lines\n", unclaimed_run_cases[i].name, lines);
      CU_ASSERT_EQUAL (lines, unclaimed_run_cases[i].expected);
    }
  scenario_end (&scenario);
}

typedef enum
{
  SILENT, /* the endpoint does not answer */
  LISTS_NOTHING,
  LISTS_RUN /* which this owner has not started */
} survey_answer_t;

static const struct
{
  const char *name;
  bool has_endpoints;
  survey_answer_t answers[2][2]; /* of each endpoint, one round after the other */
  bool new_token;                /* the owner claims the shard again afterwards */
  bool surveyed;
} survey_cases[] = {
  { "no endpoint is known", false, { { SILENT, SILENT }, { SILENT, SILENT } }, false, false },
  { "nothing runs", true, { { LISTS_NOTHING, SILENT }, { LISTS_NOTHING, SILENT } }, false, true },
  { "one has not answered", true, { { LISTS_NOTHING, SILENT }, { SILENT, SILENT } }, false, false },
  { "a run goes on", true, { { LISTS_NOTHING, SILENT }, { LISTS_RUN, LISTS_RUN } }, false, false },
  { "a run has ended",
    true,
    { { LISTS_NOTHING, SILENT }, { LISTS_RUN, LISTS_NOTHING } },
    false,
    true },
  { "claimed again", true, { { LISTS_NOTHING, SILENT }, { LISTS_NOTHING, SILENT } }, true, false },
};

static void
answer_survey (scenario_t *scenario, int number, survey_answer_t answer)
{
  static const poll_active_t run = { TASK, 2, 10 };

  if (answer != SILENT)
    answer_poll (scenario, number, &run, answer == LISTS_RUN ? 1 : 0);
}

/* A shard is surveyed once each endpoint has listed that no run of another owner goes on. */
static void
test_surveyed (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (survey_cases); i++)
    {
      scenario_t scenario;
      scenario_begin (&scenario);
      for (int number = 0; survey_cases[i].has_endpoints && number < 2; number++)
        add_endpoint (&scenario, number, "r1", 4000);
      for (int round = 0; round < 2; round++)
        {
          run_round_at (&scenario, 1 + round * 30);
          for (int number = 0; number < 2; number++)
            answer_survey (&scenario, number, survey_cases[i].answers[number][round]);
        }
      if (survey_cases[i].new_token)
        executor_set_token (scenario.executor, 9, 40);
      bool surveyed = executor_is_surveyed (scenario.executor);
      CU_ASSERT_EQUAL (surveyed, survey_cases[i].surveyed);
      if (surveyed != survey_cases[i].surveyed)
        printf ("  %s: %d\n", survey_cases[i].name, surveyed);
      scenario_end (&scenario);
    }
}

static const struct
{
  const char *name;
  int64_t token; /* of the claim to which the batch was addressed; the claim in force has token 7 */
  bool maybe_running;
  bool never_started; /* true if the coordinator may be told that the task never started */
} never_started_cases[] = {
  { "under the claim in force", 7, false, true },
  { "under an earlier claim", 6, false, false },
  { "maybe running", 7, true, false },
};

/* A task that another owner may have started must not be reported as never started, because the
 * coordinator would then start a second run elsewhere. */
static void
test_never_started_not_reported (void)
{
  static const executor_action_kind_t ends[] = { EXECUTOR_RETURNED, EXECUTOR_EXPIRED };

  for (size_t i = 0; i < G_N_ELEMENTS (never_started_cases); i++)
    for (size_t k = 0; k <= G_N_ELEMENTS (ends); k++)
      {
        executor_offer_t offer = { SERVICE, 1, 1, 1.0 };
        executor_batch_t other = batch_of ("other", 1);
        executor_batch_t batch = batch_of ("j", 2);
        scenario_t scenario;

        scenario_begin (&scenario);
        executor_set_token (scenario.executor, 7, 0);
        add_endpoint (&scenario, 0, "r1", 1000);
        run_round_at (&scenario, 0);
        answer_poll (&scenario, 0, NULL, 0);
        other.token = 7;
        executor_submit (scenario.executor, &other, 0);
        run_round_at (&scenario, 0);
        batch.token = never_started_cases[i].token;
        batch.maybe_running = never_started_cases[i].maybe_running;
        batch.estimate_ms = 600;
        batch.deadline_at_ms = 900;
        executor_submit (scenario.executor, &batch, 0);
        run_round_at (&scenario, 1);
        answer_poll (&scenario, 0, NULL, 0);
        if (k == G_N_ELEMENTS (ends))
          {
            CU_ASSERT_EQUAL (
                executor_cancel (scenario.executor, "h1", 2, STOP_UNKNOWN, 10, scenario.actions),
                never_started_cases[i].never_started);
            scenario_end (&scenario);
            continue;
          }
        if (ends[k] == EXECUTOR_RETURNED)
          g_array_append_val (scenario.other_offers, offer);
        run_round_at (&scenario, ends[k] == EXECUTOR_RETURNED ? 10 : 800);
        if (has_action (&scenario, ends[k]) != never_started_cases[i].never_started)
          printf ("  %s\n", never_started_cases[i].name);
        CU_ASSERT_EQUAL (has_action (&scenario, ends[k]), never_started_cases[i].never_started);
        scenario_end (&scenario);
      }
}

/* An endpoint whose entry is gone may still be alive: its task starts elsewhere only once its run
 * is certainly over. */
static void
test_entry_removed (void)
{
  executor_batch_t batch = batch_of ("j", 1);
  poll_active_t row = { "j.0.0.0", 1, 10 };
  scenario_t scenario;

  scenario_begin_idle (&scenario, 1000);
  executor_submit (scenario.executor, &batch, 0);
  run_round_at (&scenario, 0);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
  executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 0,
                           scenario.actions);
  add_endpoint (&scenario, 1, "r1", 4000);
  run_round_at (&scenario, 10);
  answer_poll (&scenario, 1, NULL, 0);
  g_array_set_size (scenario.actions, 0);
  executor_remove_endpoint (scenario.executor, "e0");
  for (int64_t now_ms = 20; now_ms < LEASE_MS; now_ms += 20)
    {
      run_round_at (&scenario, now_ms);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
      if (now_ms == 100)
        answer_poll (&scenario, 0, &row, 1);
    }
  bool started = false;
  for (int64_t now_ms = LEASE_MS; now_ms < 3 * LEASE_MS; now_ms += 20)
    {
      run_round_at (&scenario, now_ms);
      started |= strcmp (scenario.start_endpoint, "e1") == 0;
    }
  CU_ASSERT_TRUE (started);
  scenario_end (&scenario);
}

/* A new owner must ask an endpoint whose entry is missing before it starts a task that may run
 * there. */
static void
test_run_on_removed_endpoint (void)
{
  static const poll_active_t row = { "j.0.0.0", 1, 10 };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin (&scenario);
  executor_set_token (scenario.executor, 7, 0);
  add_endpoint (&scenario, 0, "r1", 4000);
  add_endpoint (&scenario, 1, "r1", 4000);
  executor_remove_endpoint (scenario.executor, "e1");
  batch.token = 7;
  batch.maybe_running = true;
  batch.prior_runs_end_by_ms = 2200;
  executor_submit (scenario.executor, &batch, 0);
  run_round_at (&scenario, 1);
  answer_poll (&scenario, 0, NULL, 0);
  run_round_at (&scenario, 5);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
  scenario.now_ms = 8;
  answer_poll (&scenario, 1, &row, 1);
  for (int64_t now_ms = 10; now_ms < 100; now_ms += 10)
    {
      run_round_at (&scenario, now_ms);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
    }
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 100).running, 1);
  scenario_end (&scenario);
}

/* Number of EXECUTOR_DONE actions for BATCH that the last call appended. */
static int
count_done (const scenario_t *scenario, uint64_t batch)
{
  int count = 0;

  for (guint i = 0; i < scenario->actions->len; i++)
    {
      const executor_action_t *action = &g_array_index (scenario->actions, executor_action_t, i);
      count += action->kind == EXECUTOR_DONE && action->batch == batch;
    }
  return count;
}

/* A coordinator that may have missed an answer submits its batch again.  Its tasks must not run
 * twice, and the ends of its tasks are sent again.  After a cancellation it counts as a new batch.
 */
static void
test_batch_resubmitted (void)
{
  const poll_ended_t done_run = { 1, "j.0.0.0", 1, RUN_DONE };
  const poll_result_t result = { .endpoint_clock_ms = 65, .ended = &done_run, .ended_count = 1 };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin_idle (&scenario, 1000);
  executor_submit (scenario.executor, &batch, 0);
  run_round_at (&scenario, 0);
  executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 0,
                           scenario.actions);
  executor_submit (scenario.executor, &batch, 10);
  run_round_at (&scenario, 10);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
  CU_ASSERT_EQUAL (count_done (&scenario, 1), 0);
  scenario.now_ms = 60;
  g_array_set_size (scenario.actions, 0);
  executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 60,
                          scenario.actions);
  CU_ASSERT_EQUAL (count_done (&scenario, 1), 1);
  executor_submit (scenario.executor, &batch, 70);
  run_round_at (&scenario, 70);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
  CU_ASSERT_EQUAL (count_done (&scenario, 1), 1);
  run_round_at (&scenario, 80);
  CU_ASSERT_EQUAL (count_done (&scenario, 1), 0);
  executor_remove_coordinator (scenario.executor, "h1", 90, 90, scenario.actions);
  executor_submit (scenario.executor, &batch, 100);
  run_round_at (&scenario, 100);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
  scenario_end (&scenario);
}

/* An endpoint restarts after its clock was set back, or its entry is older than its poll results.
 */
static const struct
{
  const char *name;
  int64_t entry_started_at_ms;  /* of the second entry */
  int64_t result_started_at_ms; /* of the poll result after it */
  bool runs_lost;               /* the run of the first instance is over */
} instance_cases[] = {
  { "same instance", 1000, 1000, false },
  { "later instance", 2000, 2000, true },
  { "later instance, its clock was set back", 10, 10, true },
  { "later instance, the entry is not up to date", 1000, 10, true },
  { "entry of an instance that the poll result does not show", 2000, 1000, false },
};

/* Start times tell instances apart but do not order them, because clocks may be set back. */
static void
test_instance_after_clock_jump (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (instance_cases); i++)
    {
      const poll_active_t row = { "j.0.0.0", 1, 10 };
      poll_result_t result = { .endpoint_clock_ms = 5, .started_at_ms = 1000 };
      executor_endpoint_t endpoint = { .id = "e0",
                                       .address = "127.0.0.1:1",
                                       .service = SERVICE,
                                       .kind = "a",
                                       .rack = "r1",
                                       .started_at_ms = 1000,
                                       .free = { 1000, 1000, 0 } };
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin (&scenario);
      executor_set_endpoint (scenario.executor, &endpoint, 0);
      run_round_at (&scenario, 0);
      executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 0,
                              scenario.actions);
      executor_submit (scenario.executor, &batch, 0);
      run_round_at (&scenario, 0);
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 0,
                               scenario.actions);
      endpoint.started_at_ms = instance_cases[i].entry_started_at_ms;
      executor_set_endpoint (scenario.executor, &endpoint, 100);
      CU_ASSERT_EQUAL (executor_totals (scenario.executor, 100).running, 1);
      run_round_at (&scenario, 100);
      result.started_at_ms = instance_cases[i].result_started_at_ms;
      result.active = &row;
      result.active_count = instance_cases[i].runs_lost ? 0 : 1;
      g_array_set_size (scenario.actions, 0);
      executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 101,
                              scenario.actions);
      if ((executor_totals (scenario.executor, 101).running == 0) != instance_cases[i].runs_lost)
        printf ("  %s\n", instance_cases[i].name);
      CU_ASSERT_EQUAL (executor_totals (scenario.executor, 101).running == 0,
                       instance_cases[i].runs_lost);
      /* Once a poll result has shown an instance, its entry sets the capacity of the endpoint. */
      endpoint.started_at_ms = instance_cases[i].result_started_at_ms;
      if (instance_cases[i].runs_lost
          && instance_cases[i].entry_started_at_ms != instance_cases[i].result_started_at_ms)
        executor_set_endpoint (scenario.executor, &endpoint, 102);
      run_round_at (&scenario, 102);
      CU_ASSERT_EQUAL (strcmp (scenario.start_endpoint, "e0") == 0, instance_cases[i].runs_lost);
      scenario_end (&scenario);
    }
}

/* The reported backlog must follow the queue: if tasks that have left it were still counted,
 * callers would be refused while endpoints are idle. */
static void
test_load (void)
{
  scenario_t scenario;

  scenario_begin_idle (&scenario, 1000);
  executor_batch_t batch = batch_of ("j", 1);
  batch.priority = 1;
  executor_submit (scenario.executor, &batch, 0);
  CU_ASSERT_EQUAL (load_report_at (&scenario, 0).backlog_core_ms[1], batch.estimate_ms);
  run_round_at (&scenario, 0);
  executor_load_t load = load_report_at (&scenario, 0);
  CU_ASSERT_EQUAL (load.cores_milli, 1000);
  CU_ASSERT_EQUAL (load.backlog_core_ms[1], 0);
  CU_ASSERT_EQUAL (load.next_free_ms, 0);
  executor_batch_t late_batch = batch_of ("k", 2);
  late_batch.objective_at_ms = 0;
  executor_submit (scenario.executor, &late_batch, 0);
  run_round_at (&scenario, 1);
  load = load_report_at (&scenario, 1);
  CU_ASSERT_EQUAL (load.backlog_core_ms[0], late_batch.estimate_ms);
  CU_ASSERT_EQUAL (load.late_core_ms[0], late_batch.estimate_ms);
  CU_ASSERT_EQUAL (load.backlog_core_ms[1], 0);
  CU_ASSERT_EQUAL (load.max_free_milli, 0);
  CU_ASSERT_TRUE (load.next_free_ms > 0);
  executor_cancel (scenario.executor, "h1", 2, STOP_UNKNOWN, 2, scenario.actions);
  load = load_report_at (&scenario, 2);
  CU_ASSERT_EQUAL (load.backlog_core_ms[0], 0);
  CU_ASSERT_EQUAL (load.late_core_ms[0], 0);
  scenario_end (&scenario);
}

static const unit_test_t tests[] = {
  { "an instance after the clock was set back", test_instance_after_clock_jump },
  { "a batch is submitted again", test_batch_resubmitted },
  { "reported load", test_load },
  { "the entry of an endpoint is removed", test_entry_removed },
  { "a run on an endpoint whose entry is missing", test_run_on_removed_endpoint },
  { "a run is adopted while it is being stopped", test_run_adopted_while_stopped },
  { "a run that no coordinator claims is logged", test_unclaimed_run_logged },
  { "a shard is surveyed", test_surveyed },
  { "not reported as never started while maybe running", test_never_started_not_reported },
};

int
main (void)
{
  return unit_run ("executor", tests, G_N_ELEMENTS (tests));
}
