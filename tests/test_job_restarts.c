/* test_job_restarts.c -- tasks of a job must not start anew at its first host once another host,
 * which was not told of it, may have taken it */
#include "scheduler/scheduler.h"
#include "tests/test_scheduler_job.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define ID "00000000000000a1"
#define RESUBMIT_MS 1300
#define DEADLINE_MS 6000
#define ANNOUNCED_AT_MS 400
#define YOUNG_MS (RESUBMIT_MS - 10)
#define OLD_MS (RESUBMIT_MS + 10)

typedef enum
{
  OWNER_REPLACED, /* another host owns the shard */
  OWNER_LOST,     /* it is lost after that, so that its batches move at its loss */
  BATCHES_DROPPED /* the owner had lost this host */
} event_t;

static const struct
{
  const char *name;
  event_t event;
  int64_t at_ms;
  bool announced;
  int64_t told_at_ms; /* all hosts have received what was sent before */
  bool starts_anew;
} restart_cases[] = {
  { "young, nobody was told", OWNER_REPLACED, YOUNG_MS, false, 0, true },
  { "old, nobody was told", OWNER_REPLACED, OLD_MS, false, OLD_MS, false },
  { "old, a host may not know", OWNER_REPLACED, OLD_MS, true, ANNOUNCED_AT_MS, false },
  { "old, all know", OWNER_REPLACED, OLD_MS, true, ANNOUNCED_AT_MS + 1, true },
  { "young, its owner is lost", OWNER_LOST, YOUNG_MS, true, 0, true },
  { "old, its owner is lost, a host may not know", OWNER_LOST, OLD_MS, true, 0, false },
  { "old, its owner is lost, all know", OWNER_LOST, OLD_MS, true, OLD_MS, true },
  { "young, its owner had lost this host", BATCHES_DROPPED, YOUNG_MS, true, 0, true },
  { "old, its owner had lost this host", BATCHES_DROPPED, OLD_MS, true, 0, false },
  { "old, its owner had lost this host, all know", BATCHES_DROPPED, OLD_MS, true, OLD_MS, false },
};

typedef struct
{
  int submits;
  int answers;
  scheduler_outcome_t outcome;
} counts_t;

static counts_t
take_actions (GArray *actions)
{
  counts_t counts = { 0 };

  for (guint i = 0; i < actions->len; i++)
    {
      const scheduler_action_t *action = &g_array_index (actions, scheduler_action_t, i);
      if (action->task_indexes != NULL)
        g_array_unref (action->task_indexes);
      counts.submits += action->kind == SCHEDULER_SUBMIT;
      if (action->kind != SCHEDULER_ANSWER)
        continue;
      counts.answers++;
      counts.outcome = action->outcome;
    }
  g_array_set_size (actions, 0);
  return counts;
}

static void
submit (scheduler_t *scheduler, GArray *actions)
{
  scheduler_job_t job = test_job (ID, 0, DEADLINE_MS);

  job.tasks = 2;
  job.user_data = scheduler;
  scheduler_submit (scheduler, &job, 0, actions);
}

static void
bring_about (scheduler_t *scheduler, event_t event, int64_t now_ms, GArray *actions)
{
  if (event == BATCHES_DROPPED)
    scheduler_batches_dropped (scheduler, "hx", now_ms, actions);
  else if (event == OWNER_REPLACED)
    scheduler_set_owner (scheduler, "z", "hy", 2, now_ms, actions);
  else
    {
      scheduler_host_lost (scheduler, "hx", now_ms - 400, now_ms, actions);
      CU_ASSERT_EQUAL (take_actions (actions).submits, 0);
      scheduler_set_owner (scheduler, "z", "hy", 2, now_ms, actions);
    }
}

static void
test_restarts (void)
{
  const scheduler_options_t options = { .host = "h",
                                        .data_centre = "z",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .resubmit_ms = RESUBMIT_MS };
  const executor_offer_t offer = { "s", 4, 4, 1.0 };
  const executor_load_t load = { .service = "s", .cores_milli = 4000 };

  for (size_t i = 0; i < G_N_ELEMENTS (restart_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      GArray *statuses = g_array_new (FALSE, FALSE, sizeof (job_status_t));
      scheduler_t *scheduler = scheduler_new (&options);
      scheduler_set_owner (scheduler, "z", "hx", 1, 0, actions);
      report_offers (scheduler, "z", "hx", &offer, 1, &load, 0);
      submit (scheduler, actions);
      CU_ASSERT_EQUAL (take_actions (actions).submits, 1);
      if (restart_cases[i].announced)
        scheduler_collect_statuses (scheduler, ANNOUNCED_AT_MS, statuses);
      CU_ASSERT_EQUAL (statuses->len, restart_cases[i].announced);
      scheduler_set_told_at (scheduler, restart_cases[i].told_at_ms);
      bring_about (scheduler, restart_cases[i].event, restart_cases[i].at_ms, actions);
      counts_t counts = take_actions (actions);
      CU_ASSERT_EQUAL (counts.submits, restart_cases[i].starts_anew);
      CU_ASSERT_EQUAL (counts.answers, !restart_cases[i].starts_anew);
      CU_ASSERT_TRUE (counts.answers == 0 || counts.outcome == SCHEDULER_GIVEN_UP);
      if (counts.submits != restart_cases[i].starts_anew)
        printf ("  %s: %d submits, %d answers\n", restart_cases[i].name, counts.submits,
                counts.answers);
      scheduler_free (scheduler);
      g_array_unref (statuses);
      g_array_unref (actions);
    }
}

/* The job was moved, so that its tasks start anew: it stops for a host that runs it, whatever the
 * names. */
static void
test_moved_yields (void)
{
  static const struct
  {
    const char *other;
    bool moved;
    bool yields;
  } rows[] = {
    { "g", false, true }, { "i", false, false }, { "g", true, true }, { "i", true, true }
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const scheduler_options_t options = {
        .host = "h", .data_centre = "z", .lease_ms = 1000, .resubmit_ms = RESUBMIT_MS
      };
      const job_status_t open = { ID, JOB_STATUS_OPEN, DEADLINE_MS };
      const job_status_t complete = { ID, JOB_STATUS_COMPLETE, 0 };
      const executor_offer_t offer = { "s", 4, 4, 1.0 };
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = scheduler_new (&options);
      scheduler_set_owner (scheduler, "z", "hx", 1, 0, actions);
      report_offers (scheduler, "z", "hx", &offer, 1, NULL, 0);
      submit (scheduler, actions);
      if (rows[i].moved)
        scheduler_batches_dropped (scheduler, "hx", 100, actions);
      take_actions (actions);
      scheduler_job_told (scheduler, rows[i].other, &open, 500, actions);
      take_actions (actions);
      scheduler_job_told (scheduler, rows[i].other, &complete, 600, actions);
      CU_ASSERT_EQUAL (take_actions (actions).answers, rows[i].yields);
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

/* The owner has lost the first host for a moment and has told a second one, which waits, that it
 * has no run of the job.  Both know of the job, and both would start it. */
static void
test_owner_word_and_restart (void)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
  GArray *statuses = g_array_new (FALSE, FALSE, sizeof (job_status_t));
  scheduler_t *first = new_scheduler_of ("g", RESUBMIT_MS, 0, actions);
  scheduler_t *second = new_scheduler_of ("h", RESUBMIT_MS, 0, actions);

  submit (first, actions);
  CU_ASSERT_EQUAL (take_actions (actions).submits, 1);
  scheduler_collect_statuses (first, ANNOUNCED_AT_MS, statuses);
  CU_ASSERT_EQUAL_FATAL (statuses->len, 1);
  scheduler_job_told (second, "g", &g_array_index (statuses, job_status_t, 0), ANNOUNCED_AT_MS,
                      actions);
  /* The caller's channel breaks at 100. */
  scheduler_host_lost (second, "g", 1000, 1400, actions);
  submit (second, actions);
  scheduler_step (second, 1400, actions);
  scheduler_runs_over (second, ID, "g", "z", 1, 1410);
  scheduler_step (second, 1410, actions);
  int submits = take_actions (actions).submits;
  CU_ASSERT_EQUAL (submits, 1);
  /* The owner hears the first host again, which all hosts had heard until 1000. */
  scheduler_set_told_at (first, 1000);
  scheduler_batches_dropped (first, "hx", 1450, actions);
  submits += take_actions (actions).submits;
  CU_ASSERT_EQUAL (submits, 1);
  scheduler_free (first);
  scheduler_free (second);
  g_array_unref (statuses);
  g_array_unref (actions);
}

static const unit_test_t tests[] = {
  { "tasks of a job start anew", test_restarts },
  { "an owner's word and a start anew", test_owner_word_and_restart },
  { "a moved job stops for a host that runs it", test_moved_yields },
};

int
main (void)
{
  return unit_run ("job_restarts", tests, G_N_ELEMENTS (tests));
}
