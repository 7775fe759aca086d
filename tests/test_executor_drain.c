/* test_executor_drain.c -- a data centre that is drained */
#include "tests/executor_scenario.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

typedef enum
{
  NEVER_STARTED,
  RUN_FAILED_ONCE, /* its run has ended and another attempt is due */
  MAYBE_RUNNING    /* an earlier owner may have started it */
} waiting_state_t;

static const struct
{
  const char *name;
  waiting_state_t state;
  int64_t at_ms; /* time of the round, after the start of the drain */
  bool returned;
  bool returned_after_run;
} drained_waiting_cases[] = {
  { "never started", NEVER_STARTED, 1, true, false },
  { "its run has failed", RUN_FAILED_ONCE, 1, false, true },
  { "maybe running, the earlier owner may still start it", MAYBE_RUNNING, 1000, false, false },
  { "maybe running, the earlier owner has dropped it", MAYBE_RUNNING, 3001, false, true },
};

/* In a drained data centre nothing starts, and waiting tasks are not held until their deadline.  A
 * task that another owner may still start is not returned. */
static void
test_drained_returns_waiting (void)
{
  const poll_ended_t failed = { 1, "j.0.0.0", 1, RUN_FAILED };
  const poll_result_t result = { .endpoint_clock_ms = 65, .ended = &failed, .ended_count = 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (drained_waiting_cases); i++)
    {
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 4000);
      batch.maybe_running = drained_waiting_cases[i].state == MAYBE_RUNNING;
      batch.prior_runs_end_by_ms = 3000;
      executor_submit (scenario.executor, &batch, 0);
      if (drained_waiting_cases[i].state == RUN_FAILED_ONCE)
        {
          run_round_at (&scenario, 0);
          executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 0,
                                   scenario.actions);
          executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result,
                                  60, scenario.actions);
        }
      executor_set_drained (scenario.executor, true);
      if (drained_waiting_cases[i].state == MAYBE_RUNNING)
        {
          run_round_at (&scenario, 1);
          answer_poll (&scenario, 0, NULL, 0);
        }
      run_round_at (&scenario, drained_waiting_cases[i].at_ms);
      if (has_action (&scenario, EXECUTOR_RETURNED) != drained_waiting_cases[i].returned
          || has_action (&scenario, EXECUTOR_RETURNED_AFTER_RUN)
                 != drained_waiting_cases[i].returned_after_run)
        printf ("  %s\n", drained_waiting_cases[i].name);
      CU_ASSERT_EQUAL (has_action (&scenario, EXECUTOR_RETURNED),
                       drained_waiting_cases[i].returned);
      CU_ASSERT_EQUAL (has_action (&scenario, EXECUTOR_RETURNED_AFTER_RUN),
                       drained_waiting_cases[i].returned_after_run);
      CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_START));
      scenario_end (&scenario);
    }
}

/* Runs in a drained data centre continue under a lease that is renewed, even where they would
 * otherwise have been moved to a faster endpoint. */
static void
test_drained_runs_continue (void)
{
  poll_active_t row = { "j.0.0.0", 1, 10 };
  const poll_ended_t done_run = { 1, "j.0.0.0", 1, RUN_DONE };
  const poll_result_t result = { .endpoint_clock_ms = 900, .ended = &done_run, .ended_count = 1 };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin_idle (&scenario, 4000);
  executor_submit (scenario.executor, &batch, 0);
  run_round_at (&scenario, 0);
  executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 0,
                           scenario.actions);
  executor_set_drained (scenario.executor, true);
  for (int64_t now_ms = 100; now_ms <= 800; now_ms += 100)
    {
      row.progress_percent = (int32_t) (now_ms / 10);
      scenario.now_ms = now_ms;
      answer_poll (&scenario, 0, &row, 1);
      CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_OVERDUE));
      run_round_at (&scenario, now_ms);
      CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_STOP));
      const executor_action_t *poll = last_action (&scenario, EXECUTOR_POLL);
      CU_ASSERT_TRUE (poll != NULL && poll->lease_until_endpoint_ms > now_ms);
    }
  run_round_at (&scenario, 850);
  executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result, 850,
                          scenario.actions);
  CU_ASSERT_TRUE (has_action (&scenario, EXECUTOR_DONE));
  scenario_end (&scenario);
}

/* Offers of a drained data centre list its services without slots.  After the drain they are
 * complete at once, and tasks start again. */
static void
test_drained_offers (void)
{
  const resources_t need = { 1000, 10, 0 };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin_idle (&scenario, 4000);
  for (int drained = 1; drained >= 0; drained--)
    {
      GArray *offers = g_array_new (FALSE, FALSE, sizeof (executor_offer_t));
      executor_set_drained (scenario.executor, drained);
      executor_offers (scenario.executor, &need, 10, offers);
      CU_ASSERT_EQUAL_FATAL (offers->len, 1);
      CU_ASSERT_STRING_EQUAL (g_array_index (offers, executor_offer_t, 0).service, SERVICE);
      CU_ASSERT_EQUAL (g_array_index (offers, executor_offer_t, 0).slots_free, drained ? 0 : 4);
      CU_ASSERT_EQUAL (g_array_index (offers, executor_offer_t, 0).slots_total, drained ? 0 : 4);
      CU_ASSERT_EQUAL (executor_totals (scenario.executor, 10).endpoints_ready, drained ? 0 : 1);
      g_array_unref (offers);
    }
  executor_submit (scenario.executor, &batch, 10);
  run_round_at (&scenario, 10);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
  scenario_end (&scenario);
}

#define LOAD_ENDPOINTS 40
#define LOAD_WAITING 600

/* Drain at full load, for an owner of 40 of 120 endpoints, all of them full and with a queue.  All
 * waiting tasks are returned in one round and no run is stopped. */
static void
test_drained_at_full_load (void)
{
  char names[LOAD_ENDPOINTS][8];
  scenario_t scenario;
  int starts = 0;
  int returned = 0;

  scenario_begin (&scenario);
  for (int i = 0; i < LOAD_ENDPOINTS; i++)
    {
      g_snprintf (names[i], sizeof names[i], "e%d", i);
      executor_endpoint_t endpoint = { .id = names[i],
                                       .address = "127.0.0.1:1",
                                       .service = SERVICE,
                                       .kind = "a",
                                       .rack = "r1",
                                       .started_at_ms = 1,
                                       .free = { 16000, 100000, 0 } };
      executor_set_endpoint (scenario.executor, &endpoint, 0);
    }
  run_round_at (&scenario, 0);
  GArray *polls = g_array_copy (scenario.actions);
  const poll_result_t result = { .endpoint_clock_ms = 5 };
  for (guint i = 0; i < polls->len; i++)
    executor_poll_answered (scenario.executor, g_array_index (polls, executor_action_t, i).serial,
                            EXECUTOR_OK, &result, 0, scenario.actions);
  g_array_unref (polls);
  for (int i = 0; i < 2 * LOAD_ENDPOINTS + LOAD_WAITING; i++)
    {
      char *job = g_strdup_printf ("j%d", i);
      executor_batch_t batch = batch_of (job, (uint64_t) i + 1);
      batch.need.cores_milli = 8000;
      executor_submit (scenario.executor, &batch, 0);
      g_free (job);
    }
  run_round_at (&scenario, 1);
  for (guint i = 0; i < scenario.actions->len; i++)
    starts += g_array_index (scenario.actions, executor_action_t, i).kind == EXECUTOR_START;
  CU_ASSERT_EQUAL (starts, 2 * LOAD_ENDPOINTS);
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 1).waiting, LOAD_WAITING);
  executor_set_drained (scenario.executor, true);
  run_round_at (&scenario, 2);
  for (guint i = 0; i < scenario.actions->len; i++)
    returned += g_array_index (scenario.actions, executor_action_t, i).kind == EXECUTOR_RETURNED;
  CU_ASSERT_EQUAL (returned, LOAD_WAITING);
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_START));
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_STOP));
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 2).waiting, 0);
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 2).running, 2 * LOAD_ENDPOINTS);
  scenario_end (&scenario);
}

static const unit_test_t tests[] = {
  { "a drained data centre returns waiting tasks", test_drained_returns_waiting },
  { "runs in a drained data centre continue", test_drained_runs_continue },
  { "offers of a drained data centre", test_drained_offers },
  { "a drain at full load", test_drained_at_full_load },
};

int
main (void)
{
  return unit_run ("a drained data centre", tests, G_N_ELEMENTS (tests));
}
