/* test_executor_done.c -- tasks that were done, submitted again by a coordinator that was not told
 */
#include "tests/executor_scenario.h"

#include "executor/done_tasks.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define LATER_INSTANCE_MS 900
#define LATER_INDEX 599

/* How a task comes to be done, and what happens before it is submitted as one that may be running.
 */
typedef enum
{
  ENDPOINT_STAYS,
  ENDPOINT_RESTARTS,
  ENDPOINT_IS_DELETED,
  MANY_ENDS_BEFORE,
  COORDINATOR_TOLD,
  COORDINATOR_LOST_BEFORE_END,
  COORDINATOR_LOST_AFTER_END,
  BATCH_RELEASED_BEFORE_END,
  BATCH_RELEASED_AFTER_END
} history_t;

static const struct
{
  const char *name;
  history_t history;
} done_cases[] = {
  { "another owner's run, the endpoint stays", ENDPOINT_STAYS },
  { "another owner's run, the endpoint restarts", ENDPOINT_RESTARTS },
  { "another owner's run, the endpoint leaves", ENDPOINT_IS_DELETED },
  { "another owner's run, after 599 other ends", MANY_ENDS_BEFORE },
  { "the coordinator was told, and submits a new batch", COORDINATOR_TOLD },
  { "the coordinator is lost before the end", COORDINATOR_LOST_BEFORE_END },
  { "the coordinator is lost after the end", COORDINATOR_LOST_AFTER_END },
  { "the batch is released before the end", BATCH_RELEASED_BEFORE_END },
  { "the batch is released after the end", BATCH_RELEASED_AFTER_END },
};

static void
answer_with_ends (scenario_t *scenario,
                  int64_t instance_ms,
                  const poll_ended_t *ended,
                  size_t count)
{
  const listing_t listing = { .instance_ms = instance_ms, .ended = ended, .ended_count = count };

  answer_with_listing (scenario, 0, &listing, scenario->now_ms);
}

static void
answer_both_polls (scenario_t *scenario, const poll_ended_t *ended, size_t count)
{
  answer_with_ends (scenario, FIRST_INSTANCE_MS, ended, count);
  answer_with_nothing (scenario, 1, scenario->now_ms);
}

/* COUNT tasks of job "j" have ended on e0 as runs of another owner. */
static void
list_foreign_ends (scenario_t *scenario, int count)
{
  poll_ended_t *rows = g_new0 (poll_ended_t, count);

  for (int i = 0; i < count; i++)
    rows[i] = (poll_ended_t){ i + 1, g_strdup_printf ("j.0.0.%d", i), 1, RUN_DONE };
  run_round_at (scenario, 1000);
  answer_both_polls (scenario, rows, (size_t) count);
  for (int i = 0; i < count; i++)
    g_free ((char *) rows[i].task);
  g_free (rows);
}

/* A run of this owner starts; it is listed as ended after or before its coordinator or its batch is
 * lost. */
static void
end_own_run (scenario_t *scenario, history_t history)
{
  const poll_ended_t ended = { 1, TASK, 1, RUN_DONE };
  executor_batch_t batch = batch_of ("j", 1);
  bool released = history == BATCH_RELEASED_BEFORE_END || history == BATCH_RELEASED_AFTER_END;
  bool lost = history == COORDINATOR_LOST_BEFORE_END || history == COORDINATOR_LOST_AFTER_END;
  bool end_first = history == COORDINATOR_TOLD || history == COORDINATOR_LOST_AFTER_END
                   || history == BATCH_RELEASED_AFTER_END;

  run_round_at (scenario, 1000);
  answer_both_polls (scenario, NULL, 0);
  executor_submit (scenario->executor, &batch, 1001);
  run_round_at (scenario, 1001);
  CU_ASSERT_STRING_EQUAL (scenario->start_endpoint, "e0");
  confirm_starts (scenario);
  if (end_first)
    answer_with_ends (scenario, FIRST_INSTANCE_MS, &ended, 1);
  if (released)
    executor_release (scenario->executor, "h1", 1, 1002);
  if (lost)
    executor_remove_coordinator (scenario->executor, "h1", 1001, 1002, scenario->actions);
  run_round_at (scenario, 1010);
  if (!end_first)
    answer_with_ends (scenario, FIRST_INSTANCE_MS, &ended, 1);
}

static void
happen (scenario_t *scenario, history_t history)
{
  switch (history)
    {
    case ENDPOINT_STAYS:
      list_foreign_ends (scenario, 1);
      break;
    case ENDPOINT_RESTARTS:
      list_foreign_ends (scenario, 1);
      add_instance (scenario, 0, "r1", 3000, LATER_INSTANCE_MS);
      run_round_at (scenario, 1020);
      answer_with_ends (scenario, LATER_INSTANCE_MS, NULL, 0);
      break;
    case ENDPOINT_IS_DELETED:
      list_foreign_ends (scenario, 1);
      executor_remove_endpoint (scenario->executor, "e0");
      run_round_at (scenario, 1020);
      break;
    case MANY_ENDS_BEFORE:
      list_foreign_ends (scenario, LATER_INDEX + 1);
      break;
    case COORDINATOR_TOLD:
    case COORDINATOR_LOST_BEFORE_END:
    case COORDINATOR_LOST_AFTER_END:
    case BATCH_RELEASED_BEFORE_END:
    case BATCH_RELEASED_AFTER_END:
    default:
      end_own_run (scenario, history);
      break;
    }
}

/* Submits the last task that has ended as one that may be running; all polls from then on list
 * nothing.  Sets *DONE if the coordinator is told that it is done.  Returns true if it starts. */
static bool
starts_again (scenario_t *scenario, int32_t index, bool *done)
{
  executor_batch_t batch = batch_of ("j", 7);
  bool started = false;

  batch.maybe_running = true;
  batch.indexes = &index;
  batch.prior_runs_end_by_ms = 3000;
  executor_submit (scenario->executor, &batch, 1100);
  *done = false;
  for (int64_t now_ms = 1100; now_ms < 1500; now_ms += 10)
    {
      run_round_at (scenario, now_ms);
      *done |= has_action (scenario, EXECUTOR_DONE);
      started |= scenario->start_endpoint[0] != '\0';
      const executor_action_t *poll = last_action (scenario, EXECUTOR_POLL);
      if (poll != NULL)
        answer_both_polls (scenario, NULL, 0);
    }
  return started;
}

/* What an acknowledged end said about a task is not listed again. */
static void
test_done_task_submitted_again (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (done_cases); i++)
    {
      history_t history = done_cases[i].history;
      scenario_t scenario;
      bool done = false;

      scenario_begin_pair (&scenario);
      happen (&scenario, history);
      bool started = starts_again (&scenario, history == MANY_ENDS_BEFORE ? LATER_INDEX : 0, &done);
      if (started || !done)
        printf ("  %s: done %d, started again %d\n", done_cases[i].name, done, started);
      CU_ASSERT_FALSE (started);
      CU_ASSERT_TRUE (done);
      scenario_end (&scenario);
    }
}

static const struct
{
  const char *name;
  int32_t ends;         /* that a poll lists, all of another owner's runs */
  int64_t next_poll_ms; /* after that */
  int64_t ack_number;   /* highest of the two polls that follow */
} ack_cases[] = {
  { "as many as can be remembered", DONE_TASKS_MAX, 1, DONE_TASKS_MAX },
  { "one more", DONE_TASKS_MAX + 1, 1, DONE_TASKS_MAX },
  { "one more, some seconds later", DONE_TASKS_MAX + 1, DONE_RETENTION_MIN_MS, DONE_TASKS_MAX + 1 },
};

/* Polls e0 at NOW_MS; it lists the last of ENDS again.  Returns the acknowledgement of the poll. */
static int64_t
poll_after_many_ends (scenario_t *scenario, int32_t ends, int64_t now_ms)
{
  char *task = g_strdup_printf ("j.0.0.%d", ends - 1);
  const poll_ended_t last = { ends, task, 1, RUN_DONE };

  run_round_at (scenario, now_ms);
  const executor_action_t *poll = last_action (scenario, EXECUTOR_POLL);
  int64_t ack_number = poll != NULL ? poll->ack_number : 0;
  answer_with_ends (scenario, FIRST_INSTANCE_MS, &last, ack_number < ends ? 1 : 0);
  g_free (task);
  return ack_number;
}

/* An end that is not remembered must be listed again. */
static void
test_ends_not_remembered (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (ack_cases); i++)
    {
      int32_t ends = ack_cases[i].ends;
      int64_t next_ms = 1000 + ack_cases[i].next_poll_ms;
      scenario_t scenario;

      scenario_begin (&scenario);
      add_instance (&scenario, 0, "r1", 3000, FIRST_INSTANCE_MS);
      list_foreign_ends (&scenario, ends);
      int64_t first = poll_after_many_ends (&scenario, ends, next_ms);
      int64_t second = poll_after_many_ends (&scenario, ends, next_ms + 500);
      int64_t ack_number = MAX (first, second);
      if (ack_number != ack_cases[i].ack_number)
        printf ("  %s: %d\n", ack_cases[i].name, (int) ack_number);
      CU_ASSERT_EQUAL (ack_number, ack_cases[i].ack_number);
      scenario_end (&scenario);
    }
}

static const struct
{
  const char *name;
  int64_t second_at_ms; /* when the task is added again; 0 for never */
  int64_t asked_at_ms;
  bool contained;
} expiry_cases[] = {
  { "just added", 0, 1, true },
  { "at the end of its time", 0, DONE_RETENTION_MS, true },
  { "expired", 0, DONE_RETENTION_MS + 1, false },
  { "its time begins anew when it is added again", 20, DONE_RETENTION_MS + 1, true },
};

static void
test_expiry (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (expiry_cases); i++)
    {
      done_tasks_t *tasks = done_tasks_new (DONE_RETENTION_MS, DONE_RETENTION_MIN_MS);

      CU_ASSERT_TRUE (done_tasks_add (tasks, TASK, 0));
      CU_ASSERT_TRUE (done_tasks_add (tasks, "k.0.0.0", 10));
      if (expiry_cases[i].second_at_ms != 0)
        CU_ASSERT_TRUE (done_tasks_add (tasks, TASK, expiry_cases[i].second_at_ms));
      done_tasks_expire (tasks, expiry_cases[i].asked_at_ms);
      CU_ASSERT_EQUAL (done_tasks_contain (tasks, TASK), expiry_cases[i].contained);
      CU_ASSERT_EQUAL (done_tasks_count (tasks), 1 + (size_t) expiry_cases[i].contained);
      done_tasks_free (tasks);
    }
}

static const unit_test_t tests[] = {
  { "a task that was done starts again", test_done_task_submitted_again },
  { "ends that can't be remembered are acknowledged", test_ends_not_remembered },
  { "how long a task is known to be done", test_expiry },
};

int
main (void)
{
  return unit_run ("tasks that were done", tests, G_N_ELEMENTS (tests));
}
