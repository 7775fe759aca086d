/* test_executor_late_orders.c -- start orders that a later instance of their endpoint carries out
 */
#include "tests/executor_scenario.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* e0 starts again at LATER_INSTANCE_MS and carries out an order from before. */
#define LATER_INSTANCE_MS 1900
#define ORDER_MS 1000

/* Begins a scenario with one endpoint, e0, in which a start order at ORDER_MS gets no answer. */
static void
scenario_begin_without_answer (scenario_t *scenario,
                               const executor_batch_t *batch,
                               int64_t cores_milli)
{
  scenario_begin (scenario);
  add_instance (scenario, 0, "r1", cores_milli, FIRST_INSTANCE_MS);
  run_round_at (scenario, ORDER_MS - 100);
  answer_with_nothing (scenario, 0, ORDER_MS - 99);
  executor_submit (scenario->executor, batch, ORDER_MS);
  run_round_at (scenario, ORDER_MS);
  executor_start_answered (scenario->executor, scenario->start_serial, EXECUTOR_NO_ANSWER, 0,
                           ORDER_MS + 80, scenario->actions);
}

/* The first instance of e0 confirms stops and lists no run until the next start there.  Returns
 * when that is ordered. */
static int64_t
answer_until_next_start (scenario_t *scenario, int64_t now_ms)
{
  scenario->start_endpoint[0] = '\0';
  while (scenario->start_endpoint[0] == '\0' && now_ms < ORDER_MS + 300)
    {
      uint64_t poll_serial = scenario->poll_serial[0];
      now_ms += 10;
      run_round_at (scenario, now_ms);
      const executor_action_t *stop = last_action (scenario, EXECUTOR_STOP);
      if (stop != NULL)
        executor_stop_answered (scenario->executor, stop->serial, EXECUTOR_OK, now_ms, now_ms,
                                scenario->actions);
      if (scenario->poll_serial[0] != poll_serial || now_ms == ORDER_MS + 90)
        answer_with_nothing (scenario, 0, now_ms + 2);
    }
  return now_ms;
}

/* Order 1 of TASK to e0 is not answered and its stop is confirmed; order 2 to e0 gets ANSWER.  Then
 * e0 is silent until its later instance answers a poll, which is sent when this returns. */
static int64_t
order_twice_then_silence (scenario_t *scenario,
                          const executor_batch_t *batch,
                          executor_answer_t answer)
{
  uint64_t lost_serial = 0;

  scenario_begin_without_answer (scenario, batch, 1000);
  int64_t now_ms = answer_until_next_start (scenario, ORDER_MS + 80);
  CU_ASSERT_STRING_EQUAL (scenario->start_endpoint, "e0");
  executor_start_answered (scenario->executor, scenario->start_serial, answer,
                           answer == EXECUTOR_OK ? now_ms + 1 : 0, now_ms + 1, scenario->actions);
  for (now_ms += 2; now_ms < LATER_INSTANCE_MS + 100; now_ms += 5)
    {
      run_round_at (scenario, now_ms);
      if (scenario->poll_serial[0] != lost_serial)
        lose_last_poll (scenario, 0, now_ms + 2);
      lost_serial = scenario->poll_serial[0];
    }
  add_instance (scenario, 1, "r1", 3000, FIRST_INSTANCE_MS);
  run_round_at (scenario, now_ms);
  answer_with_nothing (scenario, 1, now_ms);
  while (scenario->poll_serial[0] == lost_serial)
    run_round_at (scenario, now_ms += 5);
  return now_ms;
}

/* Run 2 of a task is lost with its endpoint, whose later instance lists run 1 of the same task: the
 * task does not start elsewhere while that run is alive. */
static void
test_late_run_of_lost_task (void)
{
  const poll_active_t row = { TASK, 1, 10 };
  const listing_t listing = { .instance_ms = LATER_INSTANCE_MS, .active = &row, .active_count = 1 };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  int64_t now_ms = order_twice_then_silence (&scenario, &batch, EXECUTOR_OK);
  for (int64_t until_ms = now_ms + LEASE_MS / 2; now_ms < until_ms; now_ms += 10)
    {
      answer_with_listing (&scenario, 0, &listing, now_ms);
      run_round_at (&scenario, now_ms + 1);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
    }
  scenario_end (&scenario);
}

/* The later instance carries out order 1 after order 2 was sent; that run is adopted, and fails:
 * the next start has a number that no order has had. */
static void
test_number_after_adoption (void)
{
  const poll_active_t row = { TASK, 1, 10 };
  const poll_ended_t ended = { 1, TASK, 1, RUN_FAILED };
  const listing_t listing = { .instance_ms = LATER_INSTANCE_MS, .active = &row, .active_count = 1 };
  const listing_t later = { .instance_ms = LATER_INSTANCE_MS, .ended = &ended, .ended_count = 1 };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;
  int32_t attempt = 0;

  int64_t now_ms = order_twice_then_silence (&scenario, &batch, EXECUTOR_OK);
  answer_with_listing (&scenario, 0, &listing, now_ms);
  for (int64_t from_ms = now_ms; attempt == 0 && now_ms < from_ms + LEASE_MS; now_ms += 10)
    {
      run_round_at (&scenario, now_ms);
      const executor_action_t *start = last_action (&scenario, EXECUTOR_START);
      if (start != NULL)
        attempt = start->attempt;
      answer_with_listing (&scenario, 0, &later, now_ms);
    }
  CU_ASSERT_EQUAL (attempt, 3);
  scenario_end (&scenario);
}

/* A late order is carried out by the later instance while a poll waits there, a moment before that
 * answers, and has the longest lease from then on.  A run of somebody else bars its renewal. */
static void
test_lease_on_later_instance (void)
{
  const poll_active_t rows[] = { { TASK, 1, 10 }, { "f.0.0.0", 1, 10 } };
  const int64_t carried_out_ms = ORDER_MS + 340;
  const listing_t later = { .instance_ms = carried_out_ms - 100,
                            .active = rows,
                            .active_count = G_N_ELEMENTS (rows) };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;
  uint64_t lost_serial = 0;

  batch.estimate_ms = 1000;
  scenario_begin_without_answer (&scenario, &batch, 3000);
  answer_with_listing (&scenario, 0, &later, carried_out_ms + 10);
  add_instance (&scenario, 1, "r1", 3000, FIRST_INSTANCE_MS);
  for (int64_t now_ms = carried_out_ms + 11; now_ms <= carried_out_ms + LEASE_MS; now_ms++)
    {
      uint64_t poll_serial = scenario.poll_serial[1];
      run_round_at (&scenario, now_ms);
      if (scenario.start_endpoint[0] != '\0')
        printf ("  started on %s at %d ms\n", scenario.start_endpoint, (int) now_ms);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
      if (scenario.poll_serial[0] != lost_serial)
        lose_last_poll (&scenario, 0, now_ms);
      lost_serial = scenario.poll_serial[0];
      if (scenario.poll_serial[1] != poll_serial)
        answer_with_nothing (&scenario, 1, now_ms);
    }
  scenario_end (&scenario);
}

static const unit_test_t tests[] = {
  { "a task starts although its run is listed", test_late_run_of_lost_task },
  { "the lease of a run on a later instance is counted too short", test_lease_on_later_instance },
  { "the numbers of starts go back after an adoption", test_number_after_adoption },
};

int
main (void)
{
  return unit_run ("orders that a later instance carries out", tests, G_N_ELEMENTS (tests));
}
