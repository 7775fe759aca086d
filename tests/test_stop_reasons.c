/* test_stop_reasons.c -- each order to stop a run says why, and for whom the run was started */
#include "tests/executor_scenario.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define COORDINATOR "h1"
#define BATCH 1

typedef enum
{
  CANCELLED,        /* by its coordinator */
  COORDINATOR_LOST, /* the owner does not hear it */
  FOREIGN,          /* the run was started by another owner */
  STALLED           /* the run makes no progress */
} stop_cause_t;

static const struct
{
  const char *name;
  stop_cause_t cause;
  stop_reason_t told; /* by the coordinator */
  stop_reason_t expected;
  const char *coordinator;
} cases[] = {
  { "the caller has left", CANCELLED, STOP_CALLER_LEFT, STOP_CALLER_LEFT, COORDINATOR },
  { "another host runs the job", CANCELLED, STOP_OTHER_HOST, STOP_OTHER_HOST, COORDINATOR },
  { "an earlier version cancels", CANCELLED, STOP_UNKNOWN, STOP_UNKNOWN, COORDINATOR },
  { "the coordinator is lost", COORDINATOR_LOST, STOP_UNKNOWN, STOP_COORDINATOR_LOST, COORDINATOR },
  { "no coordinator claims it", FOREIGN, STOP_UNKNOWN, STOP_UNCLAIMED, NULL },
  { "it makes no progress", STALLED, STOP_UNKNOWN, STOP_HUNG, COORDINATOR },
};

/* Returns the first order to stop among the actions of the last round, NULL if there is none. */
static const executor_action_t *
find_stop (const scenario_t *scenario)
{
  for (guint i = 0; i < scenario->actions->len; i++)
    {
      const executor_action_t *action = &g_array_index (scenario->actions, executor_action_t, i);
      if (action->kind == EXECUTOR_STOP)
        return action;
    }
  return NULL;
}

/* Starts TASK on the one endpoint; FOREIGN: it is found there. */
static void
begin_run (scenario_t *scenario, stop_cause_t cause)
{
  static const poll_active_t row = { TASK, 1, 10 };
  executor_batch_t batch = batch_of ("j", BATCH);

  if (cause == FOREIGN)
    {
      scenario_begin (scenario);
      add_endpoint (scenario, 0, "r1", 4000);
      run_round_at (scenario, 0);
      answer_poll (scenario, 0, &row, 1);
      return;
    }
  scenario_begin_idle (scenario, 4000);
  executor_submit (scenario->executor, &batch, 1);
  run_round_at (scenario, 1);
  confirm_starts (scenario);
}

static void
bring_about (scenario_t *scenario, stop_cause_t cause, stop_reason_t told)
{
  static const poll_active_t row = { TASK, 1, 0 };

  if (cause == CANCELLED)
    executor_cancel (scenario->executor, COORDINATOR, BATCH, told, 200, scenario->actions);
  else if (cause == COORDINATOR_LOST)
    executor_remove_coordinator (scenario->executor, COORDINATOR, 100, 200, scenario->actions);
  else if (cause == STALLED)
    {
      scenario->now_ms = 400;
      answer_poll (scenario, 0, &row, 1);
    }
}

static void
test_reasons (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      scenario_t scenario;
      begin_run (&scenario, cases[i].cause);
      bring_about (&scenario, cases[i].cause, cases[i].told);
      run_round_at (&scenario, 410);
      const executor_action_t *stop = find_stop (&scenario);
      CU_ASSERT_PTR_NOT_NULL_FATAL (stop);
      if (stop == NULL)
        return;
      CU_ASSERT_EQUAL (stop->stop_reason, cases[i].expected);
      CU_ASSERT_FALSE (stop->repeated);
      CU_ASSERT_EQUAL (g_strcmp0 (stop->coordinator, cases[i].coordinator), 0);
      if (stop->stop_reason != cases[i].expected)
        printf ("  %s: %d\n", cases[i].name, (int) stop->stop_reason);
      run_round_at (&scenario, 540);
      stop = find_stop (&scenario);
      CU_ASSERT_TRUE (stop != NULL && stop->repeated);
      scenario_end (&scenario);
    }
}

static const unit_test_t tests[] = {
  { "each order to stop says why", test_reasons },
};

int
main (void)
{
  return unit_run ("stop_reasons", tests, G_N_ELEMENTS (tests));
}
