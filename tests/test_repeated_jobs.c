/* test_repeated_jobs.c -- a job that was cancelled or answered must not start again when its
 * request is repeated; one that was refused must run */
#include "scheduler/scheduler.h"
#include "tests/test_scheduler_job.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define REPEATED_AT_MS 4000
#define CALLER_WAIT_MS 1500

/* What happens to the job at its host before its request is repeated there. */
typedef enum
{
  STAYS_UNKNOWN,          /* it was never sent to this host */
  IS_CANCELLED,           /* after its submission */
  IS_CANCELLED_ELSEWHERE, /* this host is told, and has never had it */
  IS_CANCELLED_AS_TWO,    /* while its first request waits besides a repeated one */
  COMPLETES,
  COMPLETES_THEN_IS_CANCELLED,
  FAILS,
  IS_REFUSED,
  IS_OVERDUE,
  IS_ABANDONED
} repeat_history_t;

static const struct
{
  const char *name;
  repeat_history_t history;
  bool starts; /* at the repeated request */
  scheduler_outcome_t outcome;
} repeat_cases[] = {
  { "a job that is new here", STAYS_UNKNOWN, true, 0 },
  { "cancelled", IS_CANCELLED, false, SCHEDULER_CANCELLED },
  { "cancelled at another host", IS_CANCELLED_ELSEWHERE, false, SCHEDULER_CANCELLED },
  { "cancelled while both requests wait", IS_CANCELLED_AS_TWO, false, SCHEDULER_CANCELLED },
  { "complete", COMPLETES, false, SCHEDULER_COMPLETE },
  { "complete, then cancelled", COMPLETES_THEN_IS_CANCELLED, false, SCHEDULER_COMPLETE },
  { "failed", FAILS, false, SCHEDULER_FAILED },
  { "refused", IS_REFUSED, true, 0 },
  { "given up", IS_OVERDUE, true, 0 },
  { "the caller has disconnected", IS_ABANDONED, true, 0 },
};

static int64_t
submit (scheduler_t *scheduler, int64_t now_ms, GArray *actions)
{
  const scheduler_job_t job = test_job ("00000000000000a1", now_ms, CALLER_WAIT_MS);

  return (int64_t) scheduler_submit (scheduler, &job, now_ms, actions);
}

static void
cancel (scheduler_t *scheduler, GArray *actions)
{
  scheduler_cancel (scheduler, "00000000000000a1", 20, actions);
}

static void
task_ends (scheduler_t *scheduler, scheduler_task_end_t how, GArray *actions)
{
  uint64_t batch = g_array_index (actions, scheduler_action_t, 0).batch_number;

  scheduler_task_ended (scheduler, "hx", batch, 0, how, 20, actions);
}

static void
play (scheduler_t *scheduler, repeat_history_t history, GArray *actions)
{
  if (history == STAYS_UNKNOWN)
    return;
  if (history == IS_CANCELLED_ELSEWHERE)
    {
      cancel (scheduler, actions);
      return;
    }
  uint64_t number = (uint64_t) submit (scheduler, 0, actions);
  switch (history)
    {
    case IS_CANCELLED_AS_TWO:
      submit (scheduler, 10, actions);
      cancel (scheduler, actions);
      CU_ASSERT_EQUAL (scheduler_job_count (scheduler), 0);
      break;
    case IS_CANCELLED:
      cancel (scheduler, actions);
      break;
    case COMPLETES_THEN_IS_CANCELLED:
      task_ends (scheduler, SCHEDULER_TASK_DONE, actions);
      cancel (scheduler, actions);
      break;
    case COMPLETES:
      task_ends (scheduler, SCHEDULER_TASK_DONE, actions);
      break;
    case FAILS:
      task_ends (scheduler, SCHEDULER_TASK_FAILED, actions);
      break;
    case IS_REFUSED:
      task_ends (scheduler, SCHEDULER_TASK_EXPIRED, actions);
      break;
    case IS_OVERDUE:
      task_ends (scheduler, SCHEDULER_TASK_OVERDUE, actions);
      break;
    case IS_ABANDONED:
    default:
      scheduler_abandon (scheduler, number, 20, actions);
      break;
    }
}

static void
free_actions (GArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    if (g_array_index (actions, scheduler_action_t, i).task_indexes != NULL)
      g_array_unref (g_array_index (actions, scheduler_action_t, i).task_indexes);
  g_array_unref (actions);
}

static void
test_repeated_request (void)
{
  const scheduler_options_t options = { .host = "h",
                                        .data_centre = "z",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .incarnation = 0,
                                        .resubmit_ms = 1300 };
  const executor_offer_t offer = { "s", 4, 4, 1.0 };

  for (size_t i = 0; i < G_N_ELEMENTS (repeat_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = scheduler_new (&options);

      scheduler_set_owner (scheduler, "x", "hx", 1, 0, actions);
      report_offers (scheduler, "x", "hx", &offer, 1, NULL, 0);
      play (scheduler, repeat_cases[i].history, actions);
      guint before = actions->len;
      submit (scheduler, REPEATED_AT_MS, actions);
      CU_ASSERT_EQUAL_FATAL (actions->len, before + 1);
      const scheduler_action_t *last = &g_array_index (actions, scheduler_action_t, before);
      bool starts = last->kind == SCHEDULER_SUBMIT;
      if (starts != repeat_cases[i].starts)
        printf ("  %s: %s\n", repeat_cases[i].name, starts ? "starts again" : "does not start");
      CU_ASSERT_EQUAL (starts, repeat_cases[i].starts);
      CU_ASSERT_EQUAL (scheduler_job_count (scheduler), repeat_cases[i].starts ? 1 : 0);
      if (!starts)
        CU_ASSERT_EQUAL (last->outcome, repeat_cases[i].outcome);
      scheduler_free (scheduler);
      free_actions (actions);
    }
}

static const unit_test_t tests[] = {
  { "a job that has ended started again when its request was repeated", test_repeated_request },
};

int
main (void)
{
  return unit_run ("repeated jobs", tests, G_N_ELEMENTS (tests));
}
