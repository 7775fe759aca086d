/* test_executor_leases.c -- leases, orders without an answer and instances of endpoints
 *
 * Guards against tasks that start again while a run of them may be alive. */
#include "tests/executor_scenario.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define SLOW_CLOCK_PERCENT 98

/* Time of the clock of an endpoint that shows 5 at time 0 and loses 2 percent. */
static int64_t
slow_clock_ms (int64_t now_ms)
{
  return 5 + now_ms * SLOW_CLOCK_PERCENT / 100;
}

static const struct
{
  const char *name;
  int64_t idle_ms;
  bool reads_clock_first;
} slow_clock_cases[] = {
  { "just polled", 0, false },      { "idle for 1 s", 1000, false },
  { "idle for 9 s", 9000, false },  { "idle for 30 s", 30000, true },
  { "idle for 90 s", 90000, true },
};

/* A lease that ends later on the endpoint than its owner believes lets a late order start a run
 * whose task runs elsewhere by then. */
static void
test_lease_on_slow_clock (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (slow_clock_cases); i++)
    {
      int64_t start_ms = slow_clock_cases[i].idle_ms;
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      batch.deadline_at_ms = start_ms + FAR_DEADLINE_MS;
      batch.objective_at_ms = batch.deadline_at_ms;
      executor_submit (scenario.executor, &batch, start_ms);
      run_round_at (&scenario, start_ms);
      CU_ASSERT_EQUAL (!has_action (&scenario, EXECUTOR_START),
                       slow_clock_cases[i].reads_clock_first);
      if (!has_action (&scenario, EXECUTOR_START))
        {
          const poll_result_t result = { .endpoint_clock_ms = slow_clock_ms (start_ms) };
          executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result,
                                  start_ms, scenario.actions);
          run_round_at (&scenario, start_ms);
        }
      const executor_action_t *start = last_action (&scenario, EXECUTOR_START);
      CU_ASSERT_PTR_NOT_NULL (start);
      int64_t until_ms = start != NULL ? start->lease_until_endpoint_ms : INT64_MAX;
      int64_t owner_end_ms = start_ms + LEASE_MS + LEASE_MS * EXECUTOR_CLOCK_SLACK_PERCENT / 100;
      if (until_ms > slow_clock_ms (owner_end_ms))
        printf ("  %s: %d ms too late\n", slow_clock_cases[i].name,
                (int) (until_ms - slow_clock_ms (owner_end_ms)));
      CU_ASSERT_TRUE (until_ms <= slow_clock_ms (owner_end_ms));
      scenario_end (&scenario);
    }
}

/* The clock of an idle endpoint is read from time to time; otherwise its next lease would be too
 * short for the run. */
static void
test_lease_after_long_idle (void)
{
  scenario_t scenario;
  executor_batch_t batch = batch_of ("j", 1);

  scenario_begin_idle (&scenario, 1000);
  for (int64_t now_ms = 1000; now_ms < 90000; now_ms += 1000)
    {
      const poll_result_t result = { .endpoint_clock_ms = slow_clock_ms (now_ms) };
      run_round_at (&scenario, now_ms);
      if (has_action (&scenario, EXECUTOR_POLL))
        executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &result,
                                now_ms, scenario.actions);
    }
  batch.deadline_at_ms = 90000 + FAR_DEADLINE_MS;
  batch.objective_at_ms = batch.deadline_at_ms;
  executor_submit (scenario.executor, &batch, 90000);
  run_round_at (&scenario, 90000);
  const executor_action_t *start = last_action (&scenario, EXECUTOR_START);
  CU_ASSERT_PTR_NOT_NULL (start);
  int64_t until_ms = start != NULL ? start->lease_until_endpoint_ms : 0;
  int64_t granted_ms = until_ms - slow_clock_ms (90000);
  CU_ASSERT_TRUE (granted_ms >= LEASE_MS * 2 / 3);
  CU_ASSERT_TRUE (granted_ms <= LEASE_MS + LEASE_MS * EXECUTOR_CLOCK_SLACK_PERCENT / 100);
  scenario_end (&scenario);
}

static const struct
{
  const char *name;
  poll_active_t row; /* listed by the endpoint after it has refused the order */
  size_t count;
  bool starts_again;
} old_attempt_cases[] = {
  { "a later attempt has ended", { "j.0.0.0", 5, 10 }, 0, true },
  { "a later attempt is running", { "j.0.0.0", 5, 10 }, 1, false },
};

/* An endpoint refuses an order because it has had a later attempt, of an earlier owner or
 * submission; that attempt may be running. */
static void
test_start_refused_for_later_attempt (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (old_attempt_cases); i++)
    {
      const poll_active_t *row = &old_attempt_cases[i].row;
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;
      bool started_again = false;
      int32_t next_attempt = 0;

      scenario_begin (&scenario);
      add_endpoint (&scenario, 0, "r1", 1000);
      add_endpoint (&scenario, 1, "r2", 1000);
      run_round_at (&scenario, 0);
      answer_poll (&scenario, 0, NULL, 0);
      answer_poll (&scenario, 1, NULL, 0);
      executor_submit (scenario.executor, &batch, 0);
      run_round_at (&scenario, 0);
      int refusing = strcmp (scenario.start_endpoint, "e1") == 0;
      answer_poll (&scenario, refusing, NULL, 0);
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OLD_ATTEMPT, 6, 1,
                               scenario.actions);
      for (int64_t now_ms = 2; now_ms < 40; now_ms++)
        {
          run_round_at (&scenario, now_ms);
          started_again |= has_action (&scenario, EXECUTOR_START);
          const executor_action_t *start = last_action (&scenario, EXECUTOR_START);
          next_attempt = start != NULL ? start->attempt : next_attempt;
          const executor_action_t *stop = last_action (&scenario, EXECUTOR_STOP);
          uint64_t stop_serial = stop != NULL ? stop->serial : 0;
          answer_poll (&scenario, refusing, row, old_attempt_cases[i].count);
          if (stop_serial != 0)
            executor_stop_answered (scenario.executor, stop_serial, EXECUTOR_OK, now_ms + 5, now_ms,
                                    scenario.actions);
        }
      if (started_again != old_attempt_cases[i].starts_again)
        printf ("  %s\n", old_attempt_cases[i].name);
      CU_ASSERT_EQUAL (started_again, old_attempt_cases[i].starts_again);
      /* The endpoint refuses every attempt up to that one. */
      CU_ASSERT_TRUE (!started_again || next_attempt > row->attempt);
      scenario_end (&scenario);
    }
}

/* What was known of a start order when its endpoint started again. */
typedef enum
{
  ORDER_ANSWERED,
  ORDER_IN_FLIGHT,
  ORDER_UNANSWERED,
  ORDER_STOPPED /* unanswered, and a stop was confirmed before */
} order_state_t;

static const struct
{
  const char *name;
  order_state_t order;
  int64_t restarted_at_ms;
  bool stop_required; /* of the first attempt, at the new instance */
} restart_cases[] = {
  { "the order was answered", ORDER_ANSWERED, 200, false },
  { "the order was in flight", ORDER_IN_FLIGHT, 50, true },
  { "the order was not answered", ORDER_UNANSWERED, 200, true },
  { "the order was not answered and its attempt was stopped", ORDER_STOPPED, 600, true },
  { "the order was not answered, 16 s ago", ORDER_STOPPED, 16000, false },
};

static uint64_t
serial_of_last (const scenario_t *scenario, executor_action_kind_t kind)
{
  const executor_action_t *action = last_action (scenario, kind);

  CU_ASSERT_PTR_NOT_NULL (action);
  return action != NULL ? action->serial : 0;
}

/* The instance STARTED_AT_MS of "e0" answers its last poll and lists no runs. */
static void
answer_poll_of_instance (scenario_t *scenario, int64_t started_at_ms)
{
  const poll_result_t result = { .endpoint_clock_ms = scenario->now_ms + 5,
                                 .started_at_ms = started_at_ms };

  executor_poll_answered (scenario->executor, scenario->poll_serial[0], EXECUTOR_OK, &result,
                          scenario->now_ms, scenario->actions);
}

/* Runs rounds until the attempt of the order is stopped and its task waits again. */
static void
stop_unanswered_order (scenario_t *scenario)
{
  run_round_at (scenario, 100);
  answer_poll_of_instance (scenario, 1);
  run_round_at (scenario, 101);
  uint64_t stop_serial = serial_of_last (scenario, EXECUTOR_STOP);
  answer_poll_of_instance (scenario, 1);
  executor_stop_answered (scenario->executor, stop_serial, EXECUTOR_OK, 106, 102,
                          scenario->actions);
  executor_cancel (scenario->executor, "h1", 1, STOP_UNKNOWN, 102, scenario->actions);
  run_round_at (scenario, 103);
  answer_poll_of_instance (scenario, 1);
  run_round_at (scenario, 104);
  CU_ASSERT_EQUAL (executor_totals (scenario->executor, 104).running, 0);
}

/* A start order that is carried out late by a later instance of its endpoint starts a run, since
 * that instance knows no stop and its clock starts anew. */
static void
test_late_order_after_restart (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (restart_cases); i++)
    {
      int64_t now_ms = restart_cases[i].restarted_at_ms;
      order_state_t order = restart_cases[i].order;
      executor_batch_t batch = batch_of ("j", 1);
      executor_batch_t next = batch_of ("k", 2);
      scenario_t scenario;

      scenario_begin (&scenario);
      add_endpoint (&scenario, 0, "r1", 1000);
      run_round_at (&scenario, 0);
      answer_poll_of_instance (&scenario, 1);
      executor_submit (scenario.executor, &batch, 0);
      run_round_at (&scenario, 0);
      uint64_t start_serial = scenario.start_serial;
      answer_poll_of_instance (&scenario, 1);
      if (order == ORDER_ANSWERED)
        executor_start_answered (scenario.executor, start_serial, EXECUTOR_OK, 6, 1,
                                 scenario.actions);
      if (order == ORDER_UNANSWERED || order == ORDER_STOPPED)
        executor_start_answered (scenario.executor, start_serial, EXECUTOR_NO_ANSWER, 0, 80,
                                 scenario.actions);
      if (order == ORDER_STOPPED)
        stop_unanswered_order (&scenario);
      executor_endpoint_t later = { .id = "e0",
                                    .address = "127.0.0.1:1",
                                    .service = SERVICE,
                                    .kind = "a",
                                    .rack = "r1",
                                    .started_at_ms = 2,
                                    .free = { 1000, 1000, 0 } };
      executor_set_endpoint (scenario.executor, &later, now_ms);
      next.deadline_at_ms = now_ms + FAR_DEADLINE_MS;
      next.objective_at_ms = next.deadline_at_ms;
      executor_submit (scenario.executor, &next, now_ms);
      run_round_at (&scenario, now_ms);
      answer_poll_of_instance (&scenario, 2);
      run_round_at (&scenario, now_ms + 1);
      if (has_action (&scenario, EXECUTOR_STOP) != restart_cases[i].stop_required)
        printf ("  %s\n", restart_cases[i].name);
      CU_ASSERT_EQUAL (has_action (&scenario, EXECUTOR_STOP), restart_cases[i].stop_required);
      CU_ASSERT_EQUAL (has_action (&scenario, EXECUTOR_START), !restart_cases[i].stop_required);
      uint64_t stop_serial =
          restart_cases[i].stop_required ? serial_of_last (&scenario, EXECUTOR_STOP) : 0;
      answer_poll_of_instance (&scenario, 2);
      if (restart_cases[i].stop_required)
        {
          executor_stop_answered (scenario.executor, stop_serial, EXECUTOR_OK, now_ms + 7,
                                  now_ms + 2, scenario.actions);
          run_round_at (&scenario, now_ms + 3);
          CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_START));
          answer_poll_of_instance (&scenario, 2);
          run_round_at (&scenario, now_ms + 4);
          CU_ASSERT_TRUE (has_action (&scenario, EXECUTOR_START));
        }
      scenario_end (&scenario);
    }
}

/* The coordinator "h1" is silent from 0 on. */
static const struct
{
  const char *name;
  int64_t start_ms;
  int64_t lost_ms; /* when it counts as lost; 0 if it does not */
  int64_t lease_min_ms;
} silent_coordinator_cases[] = {
  { "just heard", 0, 0, LEASE_MS },
  { "silent for a heartbeat", 100, 0, LEASE_MS },
  { "silent for 700 ms", 700, 0, 400 },
  { "lost, and a stop is not answered", 700, 800, 300 },
};

/* The caller of a coordinator that has crashed submits its job again RESUBMIT_MS later; no run may
 * be alive then, even if its endpoint cannot be told to stop it. */
static void
test_lease_of_silent_coordinator (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (silent_coordinator_cases); i++)
    {
      int64_t start_ms = silent_coordinator_cases[i].start_ms;
      int64_t lost_ms = silent_coordinator_cases[i].lost_ms;
      int64_t until_ms = 0;
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      executor_coordinator_heard (scenario.executor, "h1", 0);
      executor_submit (scenario.executor, &batch, start_ms);
      for (int64_t now_ms = start_ms; now_ms < start_ms + 400; now_ms += 50)
        {
          if (lost_ms != 0 && now_ms == lost_ms)
            executor_remove_coordinator (scenario.executor, "h1", 0, now_ms, scenario.actions);
          run_round_at (&scenario, now_ms);
          for (guint k = 0; k < scenario.actions->len; k++)
            until_ms = MAX (
                until_ms,
                g_array_index (scenario.actions, executor_action_t, k).lease_until_endpoint_ms);
          if (lost_ms == 0)
            break;
          executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_NO_ANSWER,
                                  NULL, now_ms, scenario.actions);
        }
      /* The clock of the endpoint shows 5 ms more. */
      if (until_ms - 5 >= RESUBMIT_MS)
        printf ("  %s: until %d\n", silent_coordinator_cases[i].name, (int) until_ms);
      CU_ASSERT_TRUE (until_ms - 5 < RESUBMIT_MS);
      /* The clock was read at 0 and may be slow. */
      CU_ASSERT_TRUE (until_ms - 5 - start_ms + start_ms * EXECUTOR_CLOCK_SLACK_PERCENT / 100 + 1
                      >= silent_coordinator_cases[i].lease_min_ms);
      scenario_end (&scenario);
    }
}

static const struct
{
  const char *name;
  executor_answer_t answer; /* to the first start order, after a poll that does not list the run */
  bool starts_again;
} released_start_cases[] = {
  { "the order starts the run after the poll", EXECUTOR_OK, false },
  { "the order is not answered", EXECUTOR_NO_ANSWER, true },
  { "the order is refused", EXECUTOR_NO_CAPACITY, true },
};

/* A batch is released while a start order is on its way, and comes back: a poll that overtakes the
 * order does not show that the task runs nowhere. */
static void
test_released_while_start_on_its_way (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (released_start_cases); i++)
    {
      const poll_active_t row = { "j.0.0.0", 1, 10 };
      bool runs = released_start_cases[i].answer == EXECUTOR_OK;
      executor_batch_t batch = batch_of ("j", 1);
      bool started = false;
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      executor_submit (scenario.executor, &batch, 10);
      run_round_at (&scenario, 10);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
      uint64_t first_start = scenario.start_serial;
      executor_release (scenario.executor, "h1", 1, 10);
      batch.batch = 2;
      batch.attempt_base = 32;
      batch.maybe_running = true;
      batch.prior_runs_end_by_ms = 3000;
      executor_submit (scenario.executor, &batch, 11);
      run_round_at (&scenario, 11);
      answer_poll (&scenario, 0, NULL, 0);
      run_round_at (&scenario, 12);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
      executor_start_answered (scenario.executor, first_start, released_start_cases[i].answer, 0,
                               13, scenario.actions);
      for (int64_t now_ms = 40; now_ms < 400; now_ms += 30)
        {
          run_round_at (&scenario, now_ms);
          started |= scenario.start_endpoint[0] != '\0';
          const executor_action_t *stop = last_action (&scenario, EXECUTOR_STOP);
          if (stop != NULL)
            executor_stop_answered (scenario.executor, stop->serial, EXECUTOR_OK, 0, now_ms,
                                    scenario.actions);
          answer_poll (&scenario, 0, &row, runs ? 1 : 0);
        }
      if (started != released_start_cases[i].starts_again)
        printf ("  %s\n", released_start_cases[i].name);
      CU_ASSERT_EQUAL (started, released_start_cases[i].starts_again);
      scenario_end (&scenario);
    }
}

/* A job that its coordinator has ended may be sent again RESUBMIT_MS after its answer.  Its
 * cancellation is under way for up to CANCEL_DELAY_MS; no run may be alive then, even if the stops
 * are lost while polls pass. */
#define CANCEL_DELAY_MS 100
#define CANCELLED_MS 500

static const struct
{
  const char *name;
  bool answers_polls;
} cancelled_cases[] = {
  { "stops are lost, polls pass", true },
  { "the endpoint is silent", false },
};

static void
test_lease_of_cancelled_job (void)
{
  static const poll_active_t run = { TASK, 1, 10 };

  for (size_t i = 0; i < G_N_ELEMENTS (cancelled_cases); i++)
    {
      int64_t until_ms = 0;
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      batch.estimate_ms = 5000;
      scenario_begin_idle (&scenario, 1000);
      executor_submit (scenario.executor, &batch, 1);
      run_round_at (&scenario, 1);
      confirm_starts (&scenario);
      for (int64_t now_ms = 10; now_ms < 2000; now_ms += 10)
        {
          executor_coordinator_heard (scenario.executor, "h1", now_ms);
          if (now_ms == CANCELLED_MS)
            executor_cancel (scenario.executor, "h1", 1, STOP_CALLER_LEFT, now_ms,
                             scenario.actions);
          run_round_at (&scenario, now_ms);
          for (guint k = 0; k < scenario.actions->len; k++)
            until_ms = MAX (
                until_ms,
                g_array_index (scenario.actions, executor_action_t, k).lease_until_endpoint_ms);
          if (now_ms < CANCELLED_MS || cancelled_cases[i].answers_polls)
            answer_poll (&scenario, 0, &run, 1);
        }
      /* The clock of the endpoint shows 5 ms more, and may be slow. */
      int64_t end_ms = until_ms - 5 + LEASE_MS * EXECUTOR_CLOCK_SLACK_PERCENT / 100;
      CU_ASSERT_TRUE (end_ms < CANCELLED_MS - CANCEL_DELAY_MS + RESUBMIT_MS);
      if (end_ms >= CANCELLED_MS - CANCEL_DELAY_MS + RESUBMIT_MS)
        printf ("  %s: until %d\n", cancelled_cases[i].name, (int) end_ms);
      scenario_end (&scenario);
    }
}

static const unit_test_t tests[] = {
  { "a batch is released while a start is on its way", test_released_while_start_on_its_way },
  { "the lease of a silent coordinator", test_lease_of_silent_coordinator },
  { "the lease of an endpoint with runs of a cancelled job", test_lease_of_cancelled_job },
  { "a start refused for a later attempt", test_start_refused_for_later_attempt },
  { "a late order after a restart", test_late_order_after_restart },
  { "a lease on a slow clock", test_lease_on_slow_clock },
  { "a lease after a long idle time", test_lease_after_long_idle },
};

int
main (void)
{
  return unit_run ("leases and late orders", tests, G_N_ELEMENTS (tests));
}
