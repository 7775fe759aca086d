/* test_executor_restarts.c -- endpoints that start again under their ids */
#include "tests/executor_scenario.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* e0 starts again between the answer to its first poll and the first order; the later instance is
 * known by the poll that is answered at LATER_POLL_MS. */
#define LATER_INSTANCE_MS 900
#define ORDER_MS 1000
#define LATER_POLL_MS 1200

/* How a poll of the later instance lists the run. */
typedef enum
{
  NOT_LISTED,
  LISTED_ACTIVE,
  LISTED_DONE,
  LISTED_FAILED
} later_listing_t;

/* Begins a scenario in which a task is ordered to start on e0, which has started again unnoticed.
 * The poll that is sent with the order is lost. */
static void
scenario_begin_restarted (scenario_t *scenario, const executor_batch_t *batch)
{
  scenario_begin_polled_pair (scenario);
  executor_submit (scenario->executor, batch, ORDER_MS);
  run_round_at (scenario, ORDER_MS);
  CU_ASSERT_STRING_EQUAL (scenario->start_endpoint, "e0");
}

/* The later instance of e0 answers the last poll at NOW_MS. */
static void
answer_as_later_instance (scenario_t *scenario, later_listing_t later, int64_t now_ms)
{
  const poll_active_t active = { TASK, 1, 10 };
  const poll_ended_t ended = { 1, TASK, 1, later == LISTED_DONE ? RUN_DONE : RUN_FAILED };
  const listing_t listing = {
    .instance_ms = LATER_INSTANCE_MS,
    .active = &active,
    .active_count = later == LISTED_ACTIVE,
    .ended = &ended,
    .ended_count = later == LISTED_DONE || later == LISTED_FAILED,
  };

  answer_with_listing (scenario, 0, &listing, now_ms);
}

static const struct
{
  const char *name;
  bool confirmed;          /* the start, by the later instance, before the poll is sent */
  later_listing_t listing; /* in that poll */
  bool done;               /* the coordinator is told that the task is done */
  bool starts_again;       /* within half a lease */
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
      lose_last_poll (&scenario, 0, ORDER_MS + 20);
      run_round_at (&scenario, LATER_POLL_MS - 10);
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

static uint64_t
stop_serial_of_round (scenario_t *scenario, int64_t now_ms)
{
  run_round_at (scenario, now_ms);
  const executor_action_t *stop = last_action (scenario, EXECUTOR_STOP);
  return stop != NULL ? stop->serial : 0;
}

static const struct
{
  const char *name;
  bool answer_late; /* the stop is answered after a poll has shown the later instance */
} earlier_stop_cases[] = {
  { "the earlier instance confirms a stop, and starts again", false },
  { "its confirmation arrives after the restart was noticed", true },
};

/* A start order without an answer is stopped, the earlier instance confirms the stop, and the later
 * one carries the order out: that run has to be stopped there before its task starts elsewhere. */
static void
test_stop_confirmed_by_earlier_instance (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (earlier_stop_cases); i++)
    {
      bool answer_late = earlier_stop_cases[i].answer_late;
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;
      bool stopped_again = false;

      scenario_begin_polled_pair (&scenario);
      executor_submit (scenario.executor, &batch, 700);
      run_round_at (&scenario, 700);
      CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e0");
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_NO_ANSWER, 0, 780,
                               scenario.actions);
      answer_with_nothing (&scenario, 0, 781);
      run_round_at (&scenario, 810);
      answer_with_nothing (&scenario, 0, 811);
      uint64_t stop_serial = stop_serial_of_round (&scenario, 880);
      CU_ASSERT_NOT_EQUAL (stop_serial, 0);
      if (!answer_late)
        executor_stop_answered (scenario.executor, stop_serial, EXECUTOR_OK, 882, 882,
                                scenario.actions);
      run_round_at (&scenario, 905);
      answer_as_later_instance (&scenario, LISTED_ACTIVE, 910);
      if (answer_late)
        executor_stop_answered (scenario.executor, stop_serial, EXECUTOR_OK, 882, 911,
                                scenario.actions);
      for (int64_t now_ms = 912; now_ms < 1312; now_ms += 10)
        {
          stopped_again |= stop_serial_of_round (&scenario, now_ms) != 0;
          if (scenario.start_endpoint[0] != '\0')
            printf ("  %s: started on %s at %d ms\n", earlier_stop_cases[i].name,
                    scenario.start_endpoint, (int) now_ms);
          CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "");
          answer_as_later_instance (&scenario, LISTED_ACTIVE, now_ms + 1);
        }
      CU_ASSERT_TRUE (stopped_again);
      scenario_end (&scenario);
    }
}

/* A later instance that confirms a start shows itself by its clock: nothing more starts there
 * before a poll has listed its runs. */
static void
test_clock_shows_later_instance (void)
{
  executor_batch_t batch = batch_of ("j", 1);
  executor_batch_t next = batch_of ("k", 2);
  scenario_t scenario;

  scenario_begin_restarted (&scenario, &batch);
  executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 102, ORDER_MS + 1,
                           scenario.actions);
  executor_submit (scenario.executor, &next, ORDER_MS + 2);
  run_round_at (&scenario, ORDER_MS + 2);
  CU_ASSERT_STRING_EQUAL (scenario.start_endpoint, "e1");
  CU_ASSERT_TRUE (has_action (&scenario, EXECUTOR_POLL));
  scenario_end (&scenario);
}

/* Polls of e0 are lost until UNTIL_MS. */
static void
lose_polls (scenario_t *scenario, int64_t until_ms)
{
  lose_last_poll (scenario, 0, 90);
  for (int64_t now_ms = 90; now_ms < until_ms; now_ms += 10)
    {
      uint64_t poll_serial = scenario->poll_serial[0];
      run_round_at (scenario, now_ms);
      if (scenario->poll_serial[0] != poll_serial)
        lose_last_poll (scenario, 0, now_ms + 5);
    }
}

/* When the entry of a silent endpoint shows its restart. */
static const int64_t entry_cases_ms[] = { 1500, 1600, 1700, 1800, 1900, 2000 };

/* A start order is not answered, its batch moves to another owner, and its endpoint is silent and
 * starts again.  The order may reach the later instance at any time: that is told to stop the
 * attempt as soon as its entry shows it, not only when it has answered a poll. */
static void
test_late_order_after_silence (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (entry_cases_ms); i++)
    {
      int64_t now_ms = entry_cases_ms[i];
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin_polled_pair (&scenario);
      executor_submit (scenario.executor, &batch, 10);
      run_round_at (&scenario, 10);
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_NO_ANSWER, 0, 90,
                               scenario.actions);
      executor_release (scenario.executor, "h1", 1, 90);
      lose_polls (&scenario, now_ms);
      add_instance (&scenario, 0, "r1", 3000, LATER_INSTANCE_MS);
      run_round_at (&scenario, now_ms);
      if (!has_action (&scenario, EXECUTOR_STOP))
        printf ("  entry at %d ms: no stop\n", (int) now_ms);
      CU_ASSERT_STRING_EQUAL (scenario.stop_task, TASK);
      scenario_end (&scenario);
    }
}

/* An endpoint whose lists of runs lack its start time has restarted if its clock has gone back. */
static void
test_restart_without_start_time (void)
{
  const poll_result_t first = { .endpoint_clock_ms = 5001 };
  const poll_result_t later = { .endpoint_clock_ms = 101 };
  executor_batch_t batch = batch_of ("j", 1);
  scenario_t scenario;

  scenario_begin (&scenario);
  add_instance (&scenario, 0, "r1", 3000, 0);
  run_round_at (&scenario, 0);
  executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &first, 0,
                          scenario.actions);
  executor_submit (scenario.executor, &batch, 10);
  run_round_at (&scenario, 10);
  executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5012, 11,
                           scenario.actions);
  lose_last_poll (&scenario, 0, 300);
  run_round_at (&scenario, 600);
  executor_poll_answered (scenario.executor, scenario.poll_serial[0], EXECUTOR_OK, &later, 601,
                          scenario.actions);
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 601).running, 0);
  CU_ASSERT_EQUAL (executor_totals (scenario.executor, 601).waiting, 1);
  run_round_at (&scenario, 602);
  CU_ASSERT_EQUAL (last_action (&scenario, EXECUTOR_LOSS) != NULL, true);
  scenario_end (&scenario);
}

/* What happens between the poll that has listed end 5 and the next one. */
typedef enum
{
  NOTHING,
  POLL_ANSWERED,
  POLL_UNANSWERED,
  POLL_UNANSWERED_START_REFUSED,
  POLL_ANSWERED_AFTER_SILENCE,
  LATER_CLOCK,
  LATER_ENTRY
} before_ack_t;

static const struct
{
  const char *name;
  before_ack_t event;
  int64_t ack_number; /* of the next poll */
} ack_cases[] = {
  { "the instance has just listed the end", NOTHING, 5 },
  { "the acknowledgement was answered", POLL_ANSWERED, 0 },
  { "the acknowledgement was not answered", POLL_UNANSWERED, 0 },
  { "nor was it, and a connection was refused", POLL_UNANSWERED_START_REFUSED, 0 },
  { "the instance answers again", POLL_ANSWERED_AFTER_SILENCE, 5 },
  { "an order was answered by a later instance", LATER_CLOCK, 0 },
  { "the entry names a later instance", LATER_ENTRY, 0 },
};

static int64_t
ack_number_of_round (scenario_t *scenario, int64_t now_ms)
{
  run_round_at (scenario, now_ms);
  const executor_action_t *poll = last_action (scenario, EXECUTOR_POLL);
  return poll != NULL ? poll->ack_number : -1;
}

static void
answer_with_end (scenario_t *scenario, const poll_ended_t *ended, int64_t now_ms)
{
  const listing_t listing = { .instance_ms = FIRST_INSTANCE_MS, .ended = ended, .ended_count = 1 };

  answer_with_listing (scenario, 0, &listing, now_ms);
}

/* Two tasks have started on e0 at 5000, and one of them ends as number 5.  The start of the other
 * is not answered yet. */
static void
scenario_begin_with_end (scenario_t *scenario, const poll_ended_t *ended)
{
  executor_batch_t batch = batch_of ("j", 1);
  executor_batch_t next = batch_of ("k", 2);

  scenario_begin (scenario);
  add_instance (scenario, 0, "r1", 3000, FIRST_INSTANCE_MS);
  run_round_at (scenario, 5000);
  answer_with_nothing (scenario, 0, 5000);
  executor_submit (scenario->executor, &batch, 5000);
  executor_submit (scenario->executor, &next, 5000);
  run_round_at (scenario, 5000);
  answer_with_end (scenario, ended, 5060);
}

static void
lose_acknowledgement (scenario_t *scenario)
{
  run_round_at (scenario, 5061);
  lose_last_poll (scenario, 0, 5500);
}

static void
happen_before_ack (scenario_t *scenario, before_ack_t event, const poll_ended_t *ended)
{
  uint64_t start_serial = scenario->start_serial;

  switch (event)
    {
    case POLL_ANSWERED:
      run_round_at (scenario, 5061);
      answer_with_nothing (scenario, 0, 5062);
      break;
    case POLL_UNANSWERED:
      lose_acknowledgement (scenario);
      break;
    case POLL_UNANSWERED_START_REFUSED:
      lose_acknowledgement (scenario);
      executor_start_answered (scenario->executor, start_serial, EXECUTOR_UNHEALTHY, 0, 5501,
                               scenario->actions);
      break;
    case POLL_ANSWERED_AFTER_SILENCE:
      lose_acknowledgement (scenario);
      run_round_at (scenario, 5700);
      answer_with_end (scenario, ended, 5701);
      break;
    case LATER_CLOCK:
      executor_start_answered (scenario->executor, start_serial, EXECUTOR_OK, 30, 5061,
                               scenario->actions);
      break;
    case LATER_ENTRY:
      add_instance (scenario, 0, "r1", 3000, LATER_INSTANCE_MS);
      break;
    case NOTHING:
    default:
      break;
    }
}

/* The ends of a later instance begin at 1 again: an acknowledgement of an earlier one's ends would
 * make it forget them unread, and their tasks would start a second time. */
static void
test_acknowledgement_after_restart (void)
{
  const poll_ended_t ended = { 5, TASK, 1, RUN_DONE };

  for (size_t i = 0; i < G_N_ELEMENTS (ack_cases); i++)
    {
      scenario_t scenario;

      scenario_begin_with_end (&scenario, &ended);
      happen_before_ack (&scenario, ack_cases[i].event, &ended);
      int64_t ack_number = ack_number_of_round (&scenario, 5750);
      if (ack_number != ack_cases[i].ack_number)
        printf ("  %s: %d\n", ack_cases[i].name, (int) ack_number);
      CU_ASSERT_EQUAL (ack_number, ack_cases[i].ack_number);
      scenario_end (&scenario);
    }
}

static const unit_test_t tests[] = {
  { "a task that is done on an instance not noticed before starts again",
    test_run_ended_on_unnoticed_instance },
  { "a stop that an earlier instance has confirmed", test_stop_confirmed_by_earlier_instance },
  { "a later instance shows itself by its clock", test_clock_shows_later_instance },
  { "a late order reaches a later instance before it is polled", test_late_order_after_silence },
  { "a restart without a start time", test_restart_without_start_time },
  { "an acknowledgement that reaches a later instance", test_acknowledgement_after_restart },
};

int
main (void)
{
  return unit_run ("endpoints that start again under their ids", tests, G_N_ELEMENTS (tests));
}
