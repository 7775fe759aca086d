/* test_job_answered_after_stops.c -- a job that is given up must not be answered before its runs
 * have had the time to stop, since its caller may send it again at once
 */
#include "scheduler/scheduler.h"
#include "tests/test_scheduler_job.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define ID "00000000000000a1"
#define RESUBMIT_MS 1300
#define RECEIVED_MS 10000
#define STEP_MS 5
#define STOP_MS 50
/* Until the cancellation has reached the owner, and its order the endpoint. */
#define STOP_DELAY_MS 50
#define ENDS_MS 500
#define NEVER INT64_MAX

typedef enum
{
  DEADLINE,    /* a task takes too long */
  REFUSED,     /* a task can't end in time, and the owners are asked whether others have started */
  CALLER_LEFT, /* nobody reads an answer */
  FAILED       /* a task has failed for good */
} job_end_t;

static const struct
{
  const char *name;
  int64_t stop_ms;
  job_end_t end;
  bool confirms;
  bool never_started;  /* as the owner confirms */
  int64_t answered_ms; /* after ENDS_MS; NEVER: it is not */
  scheduler_outcome_t outcome;
} cases[] = {
  { "no stops are known", 0, DEADLINE, true, false, 0, SCHEDULER_GIVEN_UP },
  { "given up", STOP_MS, DEADLINE, true, false, STOP_MS + STOP_DELAY_MS, SCHEDULER_GIVEN_UP },
  { "given up, the owner is silent", STOP_MS, DEADLINE, false, false, STOP_MS + STOP_DELAY_MS,
    SCHEDULER_GIVEN_UP },
  { "refused, but it has started", STOP_MS, REFUSED, true, false, 10 + STOP_MS + STOP_DELAY_MS,
    SCHEDULER_GIVEN_UP },
  { "refused, nothing has started", STOP_MS, REFUSED, true, true, 10, SCHEDULER_REFUSED },
  { "failed", STOP_MS, FAILED, true, false, 0, SCHEDULER_FAILED },
  { "the caller has left", STOP_MS, CALLER_LEFT, true, false, NEVER, SCHEDULER_GIVEN_UP },
};

typedef struct
{
  scheduler_t *scheduler;
  GArray *actions;
  uint64_t request;
  uint64_t batch;
  bool answered;
  bool cancelled;
  scheduler_outcome_t outcome;
} play_t;

static void
read_actions (play_t *play)
{
  for (guint i = 0; i < play->actions->len; i++)
    {
      const scheduler_action_t *action = &g_array_index (play->actions, scheduler_action_t, i);
      if (action->task_indexes != NULL)
        g_array_unref (action->task_indexes);
      if (action->kind == SCHEDULER_SUBMIT)
        play->batch = action->batch_number;
      play->cancelled |= action->kind == SCHEDULER_CANCEL;
      if (action->kind != SCHEDULER_ANSWER)
        continue;
      play->answered = true;
      play->outcome = action->outcome;
    }
  g_array_set_size (play->actions, 0);
}

static void
begin (play_t *play, size_t row)
{
  const scheduler_options_t options = { .host = "ha",
                                        .data_centre = "z",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .resubmit_ms = RESUBMIT_MS,
                                        .stop_ms = cases[row].stop_ms };
  const executor_offer_t offer = { "s", 4, 4, 1.0 };
  const executor_load_t load = { .service = "s", .cores_milli = 4000 };
  scheduler_job_t job = test_job (ID, RECEIVED_MS, 9000);

  job.tasks = 2;
  job.estimate_ms = 900;
  *play = (play_t){ .scheduler = scheduler_new (&options),
                    .actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t)) };
  scheduler_set_owner (play->scheduler, "z", "hx", 1, RECEIVED_MS, play->actions);
  report_offers (play->scheduler, "z", "hx", &offer, 1, &load, RECEIVED_MS);
  play->request = scheduler_submit (play->scheduler, &job, RECEIVED_MS, play->actions);
  read_actions (play);
}

static void
bring_about (const play_t *play, job_end_t end, int64_t now_ms)
{
  static const scheduler_task_end_t ends[] = { [DEADLINE] = SCHEDULER_TASK_OVERDUE,
                                               [REFUSED] = SCHEDULER_TASK_EXPIRED,
                                               [FAILED] = SCHEDULER_TASK_FAILED };

  if (end == CALLER_LEFT)
    scheduler_abandon (play->scheduler, play->request, now_ms, play->actions);
  else
    scheduler_task_ended (play->scheduler, "hx", play->batch, 0, ends[end], now_ms, play->actions);
}

/* Returns when the job was answered, after its end; NEVER if it was not. */
static int64_t
answered_after (play_t *play, size_t row)
{
  for (int64_t after_ms = 0; after_ms < 1000; after_ms += STEP_MS)
    {
      int64_t now_ms = RECEIVED_MS + ENDS_MS + after_ms;
      if (after_ms == 0)
        bring_about (play, cases[row].end, now_ms);
      if (after_ms == 10 && cases[row].confirms)
        scheduler_batch_end_confirmed (play->scheduler, "hx", play->batch, cases[row].never_started,
                                       now_ms, play->actions);
      read_actions (play);
      if (!play->answered)
        scheduler_step (play->scheduler, now_ms, play->actions);
      read_actions (play);
      if (after_ms == 0)
        CU_ASSERT_TRUE (play->cancelled);
      if (play->answered)
        return after_ms;
    }
  return NEVER;
}

static void
test_answers (void)
{
  for (size_t row = 0; row < G_N_ELEMENTS (cases); row++)
    {
      play_t play;
      begin (&play, row);
      int64_t after_ms = answered_after (&play, row);
      CU_ASSERT_EQUAL (after_ms, cases[row].answered_ms);
      if (after_ms != cases[row].answered_ms)
        printf ("  %s: answered after %d ms\n", cases[row].name, (int) after_ms);
      if (play.answered)
        CU_ASSERT_EQUAL (play.outcome, cases[row].outcome);
      scheduler_free (play.scheduler);
      g_array_unref (play.actions);
    }
}

static const unit_test_t tests[] = {
  { "when a job that ends early is answered", test_answers },
};

int
main (void)
{
  return unit_run ("job_answered_after_stops", tests, G_N_ELEMENTS (tests));
}
