/* test_executor_deadlines.c -- tasks that may miss their deadline */
#include "tests/executor_scenario.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

static const struct
{
  const char *name;
  int64_t estimate_ms;
  double ratio; /* of the free slot of the other owner */
  bool returned;
} offer_cases[] = {
  { "as fast elsewhere", 600, 1.0, true },
  { "slow elsewhere, but in time", 300, 1.7, true },
  { "large, as fast elsewhere", 1200, 1.0, true },
  { "large, far too slow elsewhere", 1200, 1.7, false },
};

/* A large task must not be returned for another owner on whose endpoints it would miss its
 * deadline. */
static void
test_large_task_returned (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (offer_cases); i++)
    {
      executor_offer_t offer = { SERVICE, 1, 1, offer_cases[i].ratio };
      executor_batch_t other = batch_of ("other", 1);
      executor_batch_t batch = batch_of ("j", 2);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      executor_submit (scenario.executor, &other, 0);
      run_round_at (&scenario, 0);
      batch.estimate_ms = offer_cases[i].estimate_ms;
      batch.objective_at_ms = 3000;
      batch.deadline_at_ms = DEADLINE_MS;
      executor_submit (scenario.executor, &batch, 0);
      g_array_append_val (scenario.other_offers, offer);
      run_round_at (&scenario, 10);
      bool returned = has_action (&scenario, EXECUTOR_RETURNED);
      if (returned != offer_cases[i].returned)
        printf ("  %s\n", offer_cases[i].name);
      CU_ASSERT_EQUAL (returned, offer_cases[i].returned);
      scenario_end (&scenario);
    }
}

static const struct
{
  const char *name;
  int64_t estimate_ms;
  int64_t at_ms; /* arrival of the third task; the second has waited since 0 */
  bool refused;
} similar_task_cases[] = {
  { "fits", 700, 1, false },
  { "similar task has waited too long", 900, 990, true },
  { "large, but its estimate may be too high", 2000, 1, false },
  { "large, and a similar task has waited too long", 2000, 600, true },
  { "far too large", 2600, 1, true },
};

/* A large job must not be refused at once because a similar one arrived at the same time. */
static void
test_large_job_refused_at_once (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (similar_task_cases); i++)
    {
      executor_batch_t running = batch_of ("running", 1);
      executor_batch_t waiting = batch_of ("waiting", 2);
      executor_batch_t batch = batch_of ("j", 3);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      executor_submit (scenario.executor, &running, 0);
      run_round_at (&scenario, 0);
      waiting.estimate_ms = similar_task_cases[i].estimate_ms;
      waiting.deadline_at_ms = similar_task_cases[i].at_ms + DEADLINE_MS;
      executor_submit (scenario.executor, &waiting, 0);
      batch.estimate_ms = similar_task_cases[i].estimate_ms;
      batch.deadline_at_ms = similar_task_cases[i].at_ms + DEADLINE_MS;
      executor_submit (scenario.executor, &batch, similar_task_cases[i].at_ms);
      run_round_at (&scenario, similar_task_cases[i].at_ms);
      bool refused = has_action (&scenario, EXECUTOR_EXPIRED);
      if (refused != similar_task_cases[i].refused)
        printf ("  %s\n", similar_task_cases[i].name);
      CU_ASSERT_EQUAL (refused, similar_task_cases[i].refused);
      scenario_end (&scenario);
    }
}

static const struct
{
  const char *name;
  int64_t estimate_ms;
  int32_t percent; /* progress at ELAPSED_MS; the deadline is at 1,500 ms */
  bool aborted;
} overdue_cases[] = {
  { "in time", 900, 30, false },
  { "far too large", 1500, 10, true },
  { "slightly too large: not certain yet", 1500, 19, false },
  { "too large, unless progress was rounded down by almost one percent", 1500, 18, false },
  { "just started", 1500, 4, false },
  { "slow endpoint: would be in time elsewhere", 200, 6, false },
};

#define START_BY_MS 1500

static const struct
{
  const char *name;
  int64_t start_by_ms;
  bool second_started; /* the batch's other task has been started */
  bool maybe_running;
  int64_t at_ms;
  bool timed_out;
} start_limit_cases[] = {
  { "just before the limit", START_BY_MS, false, false, START_BY_MS - 1, false },
  { "nothing has started", START_BY_MS, false, false, START_BY_MS, true },
  { "queue without a limit", 0, false, false, START_BY_MS, false },
  { "one task has started", START_BY_MS, true, false, START_BY_MS, false },
  { "an earlier owner may have started it", START_BY_MS, false, true, START_BY_MS, false },
};

/* A job of which no task has started is returned when the time limit of its queue has passed.  One
 * that has started is not affected by the limit. */
static void
test_start_limit (void)
{
  static const int32_t indexes[] = { 0, 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (start_limit_cases); i++)
    {
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin_idle (&scenario, start_limit_cases[i].second_started ? 1000 : 500);
      batch.indexes = indexes;
      batch.count = 2;
      batch.start_by_ms = start_limit_cases[i].start_by_ms;
      batch.maybe_running = start_limit_cases[i].maybe_running;
      executor_submit (scenario.executor, &batch, 1);
      run_round_at (&scenario, 1);
      run_round_at (&scenario, start_limit_cases[i].at_ms);
      bool timed_out = has_action (&scenario, EXECUTOR_START_TIMEOUT);
      if (timed_out != start_limit_cases[i].timed_out)
        printf ("  %s\n", start_limit_cases[i].name);
      CU_ASSERT_EQUAL (timed_out, start_limit_cases[i].timed_out);
      scenario_end (&scenario);
    }
}

static const struct
{
  const char *name;
  int64_t objective_at_ms; /* of the task that arrives first; that of the second is 1,000 */
  int32_t priority;        /* of the second task; that of the first is 1 */
  const char *first;       /* task that starts first when resources are free, at 500 ms */
} late_task_cases[] = {
  { "both in time: in the order of their objectives", 600, 1, "a.0.0.0" },
  { "the first is late, the second can still be in time", 400, 1, "b.0.0.0" },
  { "the first is late, the second has lower priority", 400, 2, "a.0.0.0" },
};

/* A task that misses its objective in any case must not delay tasks that can still meet theirs. */
static void
test_late_tasks_queued_last (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (late_task_cases); i++)
    {
      executor_batch_t other = batch_of ("other", 1);
      executor_batch_t a = batch_of ("a", 2);
      executor_batch_t b = batch_of ("b", 3);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      executor_submit (scenario.executor, &other, 0);
      run_round_at (&scenario, 0);
      a.priority = 1;
      a.objective_at_ms = late_task_cases[i].objective_at_ms;
      b.priority = late_task_cases[i].priority;
      b.objective_at_ms = 1000;
      executor_submit (scenario.executor, &a, 1);
      executor_submit (scenario.executor, &b, 2);
      run_round_at (&scenario, 450);
      executor_cancel (scenario.executor, "h1", 1, STOP_UNKNOWN, 490, scenario.actions);
      executor_release (scenario.executor, "h1", 1, 490);
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_LEASE_EXPIRED,
                               500, 500, scenario.actions);
      run_round_at (&scenario, 500);
      answer_poll (&scenario, 0, NULL, 0);
      run_round_at (&scenario, 501);
      if (strcmp (scenario.start_task, late_task_cases[i].first) != 0)
        printf ("  %s: %s\n", late_task_cases[i].name, scenario.start_task);
      CU_ASSERT_STRING_EQUAL (scenario.start_task, late_task_cases[i].first);
      scenario_end (&scenario);
    }
}

#define ELAPSED_MS 300

/* A task that cannot meet its deadline on any endpoint is stopped as soon as its progress shows
 * that. */
static void
test_overdue (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (overdue_cases); i++)
    {
      executor_batch_t batch = batch_of ("j", 1);
      poll_active_t row = { "j.0.0.0", 1, overdue_cases[i].percent };
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      batch.estimate_ms = overdue_cases[i].estimate_ms;
      batch.deadline_at_ms = DEADLINE_MS;
      executor_submit (scenario.executor, &batch, 0);
      run_round_at (&scenario, 0);
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 0,
                               scenario.actions);
      run_round_at (&scenario, ELAPSED_MS);
      answer_poll (&scenario, 0, &row, 1);
      bool notified = has_action (&scenario, EXECUTOR_OVERDUE);
      if (notified != overdue_cases[i].aborted)
        printf ("  %s\n", overdue_cases[i].name);
      CU_ASSERT_EQUAL (notified, overdue_cases[i].aborted);
      run_round_at (&scenario, ELAPSED_MS + 1);
      CU_ASSERT_EQUAL (scenario.stop_task[0] != '\0', overdue_cases[i].aborted);
      scenario_end (&scenario);
    }
}

static const struct
{
  const char *name;
  int64_t estimate_ms;
  int64_t stalled_ms; /* time from the confirmed start to a poll result without progress */
  bool stopped;
} hung_task_cases[] = {
  { "small", 60, 310, true },        { "small, below the time limit", 60, 290, false },
  { "large", 1000, 310, true },      { "large, below the time limit", 1000, 290, false },
  { "very large", 4000, 810, true }, { "very large, below the time limit", 4000, 790, false },
};

/* A task without progress is stopped while there is still time to start it elsewhere. */
static void
test_large_task_hung (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (hung_task_cases); i++)
    {
      static const poll_active_t row = { "j.0.0.0", 1, 0 };
      executor_batch_t batch = batch_of ("j", 1);
      scenario_t scenario;

      scenario_begin_idle (&scenario, 1000);
      batch.estimate_ms = hung_task_cases[i].estimate_ms;
      executor_submit (scenario.executor, &batch, 1);
      run_round_at (&scenario, 1);
      executor_start_answered (scenario.executor, scenario.start_serial, EXECUTOR_OK, 5, 1,
                               scenario.actions);
      run_round_at (&scenario, 1 + hung_task_cases[i].stalled_ms);
      answer_poll (&scenario, 0, &row, 1);
      run_round_at (&scenario, 2 + hung_task_cases[i].stalled_ms);
      if ((scenario.stop_task[0] != '\0') != hung_task_cases[i].stopped)
        printf ("  %s\n", hung_task_cases[i].name);
      CU_ASSERT_EQUAL (scenario.stop_task[0] != '\0', hung_task_cases[i].stopped);
      scenario_end (&scenario);
    }
}

static const unit_test_t tests[] = {
  { "aborted when it cannot meet its deadline", test_overdue },
  { "a large task is returned for another owner", test_large_task_returned },
  { "a large job is refused at once", test_large_job_refused_at_once },
  { "time limit of a queue", test_start_limit },
  { "late tasks are queued behind those in time", test_late_tasks_queued_last },
  { "a large task without progress", test_large_task_hung },
};

int
main (void)
{
  return unit_run ("tasks that may miss their deadline", tests, G_N_ELEMENTS (tests));
}
