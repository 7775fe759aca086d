/* test_job_runs.c -- an owner must not deny a run of a job that may be alive on its endpoints */
#include "tests/executor_scenario.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define CLAIMED_AT_MS 500
/* For this long after a claim the owner before may go on and renew leases. */
#define CONTEST_MS 1000
/* By then the last of its leases have ended, also on slow clocks. */
#define OVER_AT_MS (CLAIMED_AT_MS + CONTEST_MS + executor_longest_lease_ms (LEASE_MS))

typedef enum
{
  NOT_POLLED,
  LISTS_NOTHING,
  LISTS_RUN,       /* of the job, started by another owner */
  LISTS_OTHER_RUN, /* of a job whose id begins with the same characters */
  TASK_QUEUED,
  TASK_STARTED,
  TASK_STOPPED,       /* its run was listed as stopped after its coordinator was lost */
  TASK_UNSTOPPED,     /* its coordinator was lost, and the stop has no answer */
  ORDER_UNANSWERED,   /* its coordinator was lost, and its start order has no answer */
  LISTED_BEFORE_LOSS, /* its coordinator was lost after the last poll */
  LISTED_LONG_AGO,
  NEW_TOKEN,    /* polled under an earlier token only */
  DIRECTORY_OLD /* not read since the claim */
} state_t;

static const struct
{
  const char *name;
  state_t state;
  bool may_run;
} run_cases[] = {
  { "its endpoint was not asked", NOT_POLLED, true },
  { "its endpoint runs nothing", LISTS_NOTHING, false },
  { "another owner has started it", LISTS_RUN, true },
  { "another owner has started a job with a longer id", LISTS_OTHER_RUN, false },
  { "it waits", TASK_QUEUED, true },
  { "it runs", TASK_STARTED, true },
  { "its coordinator is lost, its run has stopped", TASK_STOPPED, false },
  { "its coordinator is lost, its run has not stopped", TASK_UNSTOPPED, true },
  { "its coordinator is lost, its start order was not answered", ORDER_UNANSWERED, true },
  { "its endpoint was last asked before its coordinator was lost", LISTED_BEFORE_LOSS, true },
  { "its endpoint was last asked long ago", LISTED_LONG_AGO, true },
  { "the claim is newer than the poll", NEW_TOKEN, true },
  { "the directory was not read since the claim", DIRECTORY_OLD, true },
};

static void
answer_with_runs (scenario_t *scenario, const char *task)
{
  const poll_active_t run = { task, 1, 10 };

  answer_poll (scenario, 0, &run, task != NULL ? 1 : 0);
}

/* The task starts at 0, and its coordinator is lost at 100. */
static void
start_and_lose (scenario_t *scenario, executor_answer_t answer)
{
  const executor_batch_t batch = batch_of ("j", 1);

  executor_submit (scenario->executor, &batch, 0);
  run_round_at (scenario, 0);
  executor_start_answered (scenario->executor, scenario->start_serial, answer,
                           answer == EXECUTOR_OK ? 5 : 0, 0, scenario->actions);
  executor_remove_coordinator (scenario->executor, batch.coordinator, 50, 100, scenario->actions);
  run_round_at (scenario, 100);
}

static void
bring_about (scenario_t *scenario, state_t state)
{
  const executor_batch_t batch = batch_of ("j", 1);
  const poll_ended_t ended = { 1, TASK, 1, RUN_STOPPED };
  const poll_result_t stopped = { .endpoint_clock_ms = 150, .ended = &ended, .ended_count = 1 };

  switch (state)
    {
    case NOT_POLLED:
    case LISTS_NOTHING:
    case LISTED_BEFORE_LOSS:
    case LISTED_LONG_AGO:
      break;
    case LISTS_RUN:
    case LISTS_OTHER_RUN:
      executor_set_token (scenario->executor, 2, 0);
      run_round_at (scenario, 1);
      answer_with_runs (scenario, state == LISTS_RUN ? TASK : "jj.0.0.0");
      break;
    case TASK_QUEUED:
      executor_submit (scenario->executor, &batch, 0);
      break;
    case TASK_STARTED:
      executor_submit (scenario->executor, &batch, 0);
      run_round_at (scenario, 0);
      confirm_starts (scenario);
      break;
    case TASK_STOPPED:
      start_and_lose (scenario, EXECUTOR_OK);
      executor_poll_answered (scenario->executor, scenario->poll_serial[0], EXECUTOR_OK, &stopped,
                              150, scenario->actions);
      run_round_at (scenario, 160);
      break;
    case TASK_UNSTOPPED:
      start_and_lose (scenario, EXECUTOR_OK);
      break;
    case ORDER_UNANSWERED:
      start_and_lose (scenario, EXECUTOR_NO_ANSWER);
      break;
    case NEW_TOKEN:
      executor_set_token (scenario->executor, 2, 0);
      break;
    case DIRECTORY_OLD:
    default:
      executor_set_token (scenario->executor, 2, 10);
      run_round_at (scenario, 11);
      answer_with_runs (scenario, NULL);
      executor_set_directory_read (scenario->executor, 9);
      break;
    }
}

static void
test_runs (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (run_cases); i++)
    {
      scenario_t scenario;
      if (run_cases[i].state == NOT_POLLED)
        {
          scenario_begin (&scenario);
          add_endpoint (&scenario, 0, "r1", 4000);
        }
      else
        scenario_begin_idle (&scenario, 4000);
      bring_about (&scenario, run_cases[i].state);
      int64_t lost_at_ms = run_cases[i].state == LISTED_BEFORE_LOSS ? 100 : 0;
      int64_t now_ms = run_cases[i].state == LISTED_LONG_AGO ? 700 : 200;
      bool may_run = executor_may_run_job (scenario.executor, "j", lost_at_ms, false, now_ms);
      CU_ASSERT_EQUAL (may_run, run_cases[i].may_run);
      if (may_run != run_cases[i].may_run)
        printf ("  %s: %d\n", run_cases[i].name, may_run);
      /* A read of the directory that is missing is asked for. */
      CU_ASSERT_EQUAL (executor_directory_needed_ms (scenario.executor),
                       run_cases[i].state == DIRECTORY_OLD ? 10 : 0);
      scenario_end (&scenario);
    }
}

/* Where a listing is too old, the next round asks for one, although nothing runs there. */
static void
test_asks_again (void)
{
  scenario_t scenario;

  scenario_begin_idle (&scenario, 4000);
  run_round_at (&scenario, 700);
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_POLL));
  CU_ASSERT_TRUE (executor_may_run_job (scenario.executor, "j", 0, false, 700));
  run_round_at (&scenario, 705);
  CU_ASSERT_TRUE (has_action (&scenario, EXECUTOR_POLL));
  answer_poll (&scenario, 0, NULL, 0);
  CU_ASSERT_FALSE (executor_may_run_job (scenario.executor, "j", 0, false, 710));
  run_round_at (&scenario, 715);
  CU_ASSERT_FALSE (has_action (&scenario, EXECUTOR_POLL));
  scenario_end (&scenario);
}

/* A new owner can't reach an endpoint, which lists its runs to the owner before, and whose entry
 * expires as it can't reach the directory either. */
static void
test_silent_endpoint_removed (void)
{
  scenario_t scenario;

  scenario_begin_idle (&scenario, 4000);
  executor_set_token (scenario.executor, 2, 500);
  for (int64_t now_ms = 500; now_ms < 4500; now_ms += 100)
    {
      run_round_at (&scenario, now_ms);
      if (has_action (&scenario, EXECUTOR_POLL))
        lose_last_poll (&scenario, 0, now_ms + 50);
      CU_ASSERT_TRUE (executor_may_run_job (scenario.executor, "j", 450, false, now_ms));
    }
  executor_remove_endpoint (scenario.executor, endpoint_ids[0]);
  run_round_at (&scenario, 4500);
  run_round_at (&scenario, 4600);
  CU_ASSERT_TRUE (executor_may_run_job (scenario.executor, "j", 450, false, 4600));
  scenario_end (&scenario);
}

/* An endpoint that has obeyed this owner since before the loss stops answering. */
static void
test_silent_endpoint (void)
{
  static const struct
  {
    const char *name;
    bool alone;
    int64_t token_since_ms; /* 0: as at first */
    int64_t at_ms;
    bool may_run;
  } rows[] = {
    { "only the coordinator is lost, its leases may last", true, 0, 1500, true },
    { "only the coordinator is lost, its leases have ended", true, 0, 1900, false },
    { "others are lost too", false, 0, 1900, true },
    { "claimed after the loss", true, 650, 1900, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      scenario_t scenario;
      scenario_begin_idle (&scenario, 4000);
      if (rows[i].token_since_ms != 0)
        executor_set_token (scenario.executor, 2, rows[i].token_since_ms);
      for (int64_t now_ms = 700; now_ms < rows[i].at_ms; now_ms += 50)
        {
          executor_may_run_job (scenario.executor, "j", 600, rows[i].alone, now_ms);
          run_round_at (&scenario, now_ms);
          if (has_action (&scenario, EXECUTOR_POLL))
            lose_last_poll (&scenario, 0, now_ms + 10);
        }
      bool may_run =
          executor_may_run_job (scenario.executor, "j", 600, rows[i].alone, rows[i].at_ms);
      CU_ASSERT_EQUAL (may_run, rows[i].may_run);
      if (may_run != rows[i].may_run)
        printf ("  %s: %d\n", rows[i].name, may_run);
      scenario_end (&scenario);
    }
}

/* The log is away, so that a new owner reads no directory; endpoints that it does not know may have
 * runs of the owner before until their leases have ended.  An endpoint that it knows is asked. */
static void
test_without_the_log (void)
{
  const struct
  {
    const char *name;
    int64_t at_ms;
    bool answers;
    bool may_run;
  } rows[] = {
    { "leases may last", OVER_AT_MS - 1, true, true },
    { "leases have ended", OVER_AT_MS, true, false },
    { "an endpoint is silent", OVER_AT_MS, false, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      scenario_t scenario;
      scenario_begin_idle (&scenario, 4000);
      executor_set_token (scenario.executor, 2, CLAIMED_AT_MS);
      executor_set_directory_read (scenario.executor, CLAIMED_AT_MS - 1);
      run_round_at (&scenario, CLAIMED_AT_MS + 1);
      answer_with_runs (&scenario, NULL);
      executor_may_run_job (scenario.executor, "j", CLAIMED_AT_MS, false, rows[i].at_ms - 10);
      run_round_at (&scenario, rows[i].at_ms - 5);
      CU_ASSERT_TRUE (has_action (&scenario, EXECUTOR_POLL));
      if (rows[i].answers)
        answer_poll (&scenario, 0, NULL, 0);
      else
        lose_last_poll (&scenario, 0, rows[i].at_ms - 1);
      bool may_run =
          executor_may_run_job (scenario.executor, "j", CLAIMED_AT_MS, false, rows[i].at_ms);
      CU_ASSERT_EQUAL (may_run, rows[i].may_run);
      if (may_run != rows[i].may_run)
        printf ("  %s: %d\n", rows[i].name, may_run);
      scenario_end (&scenario);
    }
}

static const unit_test_t tests[] = {
  { "a new owner without the log", test_without_the_log },
  { "whether a run of a job may be alive", test_runs },
  { "a listing that is too old", test_asks_again },
  { "an endpoint that is silent and removed", test_silent_endpoint_removed },
  { "an endpoint that is silent", test_silent_endpoint },
};

int
main (void)
{
  return unit_run ("job_runs", tests, G_N_ELEMENTS (tests));
}
