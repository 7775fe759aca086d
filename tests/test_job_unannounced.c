/* test_job_unannounced.c -- a job that was not announced to a data centre before it was cut off
 * must end before its caller may send it again there */
#include "scheduler/scheduler.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define ID "00000000000000a1"
#define RECEIVED_MS 1000
#define RESUBMIT_MS 1300
#define DEADLINE_MS 9000
#define ANNOUNCED_AT_MS (RECEIVED_MS + 400)
/* Its runs end a little later, before it is sent again. */
#define ENDS_BY_MS (RECEIVED_MS + RESUBMIT_MS - 100)
#define YOUNG_MS (RECEIVED_MS + RESUBMIT_MS - 200)
#define NEVER INT64_MAX
#define LONG_MS 4000
#define SHORT_MS 300
#define STEP_MS 10

static const struct
{
  const char *name;
  bool announced;
  int64_t reached_at_ms; /* and confirmed; NEVER: all data centres are reached, or again */
  int64_t since_ms;      /* one is out of reach since then */
  int64_t now_ms;
  bool ends;
} cases[] = {
  { "all are reached", false, NEVER, NEVER, ENDS_BY_MS, false },
  { "reached again a moment ago", false, NEVER, 0, ENDS_BY_MS, false },
  { "not announced, young", false, RECEIVED_MS + 100, RECEIVED_MS + 1000, YOUNG_MS, false },
  { "not announced", false, RECEIVED_MS + 100, RECEIVED_MS + 1000, ENDS_BY_MS, true },
  { "no data centre has confirmed it, none is out of reach", true, ANNOUNCED_AT_MS, NEVER,
    ENDS_BY_MS, true },
  { "received in the cut", false, RECEIVED_MS - 500, RECEIVED_MS + 500, ENDS_BY_MS, true },
  { "received when the cut was known", false, RECEIVED_MS - 2000, RECEIVED_MS - 1000, ENDS_BY_MS,
    true },
  { "announced before", true, ANNOUNCED_AT_MS + 1, ANNOUNCED_AT_MS + 1000, DEADLINE_MS - 100,
    false },
  { "announced in the cut", true, ANNOUNCED_AT_MS, ANNOUNCED_AT_MS + 700, ENDS_BY_MS, true },
  { "announced in the cut, found out late", true, ANNOUNCED_AT_MS, ANNOUNCED_AT_MS + 3000,
    ENDS_BY_MS, true },
};

typedef struct
{
  int submits;
  int cancels;
  int answers;
  scheduler_outcome_t outcome;
  scheduler_limit_t limit;
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
      counts.cancels += action->kind == SCHEDULER_CANCEL;
      if (action->kind != SCHEDULER_ANSWER)
        continue;
      counts.answers++;
      counts.outcome = action->outcome;
      counts.limit = action->limit;
    }
  g_array_set_size (actions, 0);
  return counts;
}

static scheduler_job_t
job_of (int64_t estimate_ms)
{
  return (scheduler_job_t){ .id = ID,
                            .spec = "work",
                            .service = "s",
                            .tasks = 2,
                            .need = { 1000, 10, 0 },
                            .estimate_ms = estimate_ms,
                            .stretch_factor = 3,
                            .target_ms = 60,
                            .received_at_ms = RECEIVED_MS,
                            .deadline_at_ms = DEADLINE_MS,
                            .attempts_max = 3,
                            .label = "",
                            .preferred_rack = "" };
}

static scheduler_t *
start_job (GArray *actions)
{
  const scheduler_job_t job = job_of (LONG_MS);
  scheduler_t *scheduler = new_scheduler_of ("h", RESUBMIT_MS, RECEIVED_MS, actions);

  scheduler_submit (scheduler, &job, RECEIVED_MS, actions);
  return scheduler;
}

static void
test_unannounced (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      GArray *statuses = g_array_new (FALSE, FALSE, sizeof (job_status_t));
      scheduler_t *scheduler = start_job (actions);
      take_actions (actions);
      if (cases[i].announced)
        scheduler_collect_statuses (scheduler, ANNOUNCED_AT_MS, statuses);
      CU_ASSERT_EQUAL (statuses->len, cases[i].announced);
      const scheduler_unreached_t unreached = { .reached_at_ms = cases[i].reached_at_ms,
                                                .since_ms = cases[i].since_ms };
      if (cases[i].since_ms != NEVER)
        scheduler_add_unreached (scheduler, &unreached);
      scheduler_set_confirmed_at (scheduler, cases[i].reached_at_ms);
      scheduler_step (scheduler, cases[i].now_ms, actions);
      counts_t counts = take_actions (actions);
      CU_ASSERT_EQUAL (counts.cancels, cases[i].ends);
      CU_ASSERT_EQUAL (counts.answers, cases[i].ends);
      CU_ASSERT_TRUE (
          counts.answers == 0
          || (counts.outcome == SCHEDULER_GIVEN_UP && counts.limit == SCHEDULER_LIMIT_UNREACHED));
      if (counts.answers != cases[i].ends)
        printf ("  %s: %d answers\n", cases[i].name, counts.answers);
      scheduler_free (scheduler);
      g_array_unref (statuses);
      g_array_unref (actions);
    }
}

/* A job that comes when a data centre is known to be out of reach. */
static const struct
{
  const char *name;
  int64_t reached_at_ms; /* of the data centre; NEVER: it is reached again */
  int64_t estimate_ms;
  scheduler_outcome_t outcome; /* by ENDS_BY_MS; SCHEDULER_COMPLETE: none, it goes on */
  bool starts;
} known_cases[] = {
  { "a long job is given up at once", RECEIVED_MS - 2000, LONG_MS, SCHEDULER_GIVEN_UP, false },
  { "a short job starts, and ends in time", RECEIVED_MS - 2000, SHORT_MS, SCHEDULER_GIVEN_UP,
    true },
  { "reached again", NEVER, LONG_MS, SCHEDULER_COMPLETE, true },
};

static void
check_known (size_t row, GArray *actions)
{
  const scheduler_unreached_t unreached = { .reached_at_ms = known_cases[row].reached_at_ms,
                                            .since_ms = RECEIVED_MS - 1000 };
  const scheduler_job_t job = job_of (known_cases[row].estimate_ms);
  scheduler_t *scheduler = new_scheduler_of ("h", RESUBMIT_MS, RECEIVED_MS, actions);
  bool ends = known_cases[row].outcome != SCHEDULER_COMPLETE;

  scheduler_add_unreached (scheduler, &unreached);
  scheduler_submit (scheduler, &job, RECEIVED_MS, actions);
  counts_t counts = take_actions (actions);
  CU_ASSERT_EQUAL (counts.answers, !known_cases[row].starts);
  if (known_cases[row].starts)
    {
      scheduler_step (scheduler, YOUNG_MS, actions);
      CU_ASSERT_EQUAL (take_actions (actions).answers, 0);
      scheduler_step (scheduler, ENDS_BY_MS, actions);
      counts = take_actions (actions);
      CU_ASSERT_EQUAL (counts.cancels, ends);
    }
  CU_ASSERT_EQUAL (counts.answers, ends);
  CU_ASSERT_TRUE (
      !ends
      || (counts.outcome == known_cases[row].outcome && counts.limit == SCHEDULER_LIMIT_UNREACHED));
  if (counts.answers != ends || (ends && counts.outcome != known_cases[row].outcome))
    printf ("  %s: %d answers, outcome %d\n", known_cases[row].name, counts.answers,
            (int) counts.outcome);
  scheduler_free (scheduler);
}

static void
test_known (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (known_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      check_known (i, actions);
      g_array_unref (actions);
    }
}

/* A confirmation holds, also when a host that was not told is heard, or one is started anew. */
static void
test_confirmed_for_good (void)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
  GArray *statuses = g_array_new (FALSE, FALSE, sizeof (job_status_t));
  scheduler_t *scheduler = start_job (actions);

  scheduler_collect_statuses (scheduler, ANNOUNCED_AT_MS, statuses);
  scheduler_set_confirmed_at (scheduler, ANNOUNCED_AT_MS);
  CU_ASSERT_TRUE (scheduler_awaits_confirmation (scheduler));
  scheduler_set_confirmed_at (scheduler, ANNOUNCED_AT_MS + 1);
  CU_ASSERT_FALSE (scheduler_awaits_confirmation (scheduler));
  scheduler_set_confirmed_at (scheduler, 1);
  CU_ASSERT_FALSE (scheduler_awaits_confirmation (scheduler));
  scheduler_step (scheduler, ENDS_BY_MS, actions);
  CU_ASSERT_EQUAL (take_actions (actions).answers, 0);
  scheduler_free (scheduler);
  g_array_unref (statuses);
  g_array_unref (actions);
}

#define OTHER_HOST "ha"
#define WAITED_MS 1500

/* A job that has waited for another host's runs, and was announced meanwhile, goes on. */
static void
test_waited (void)
{
  const job_status_t open = { ID, JOB_STATUS_OPEN, DEADLINE_MS };
  const job_status_t stopped = { ID, JOB_STATUS_STOPPED, RECEIVED_MS + WAITED_MS };
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
  GArray *statuses = g_array_new (FALSE, FALSE, sizeof (job_status_t));
  scheduler_t *scheduler = new_scheduler_of ("h", RESUBMIT_MS, RECEIVED_MS, actions);
  const scheduler_job_t job = job_of (LONG_MS);

  scheduler_job_told (scheduler, OTHER_HOST, &open, RECEIVED_MS, actions);
  scheduler_submit (scheduler, &job, RECEIVED_MS, actions);
  scheduler_collect_statuses (scheduler, ANNOUNCED_AT_MS, statuses);
  CU_ASSERT_EQUAL (statuses->len, 1);
  scheduler_set_confirmed_at (scheduler, ANNOUNCED_AT_MS + 1);
  scheduler_job_told (scheduler, OTHER_HOST, &stopped, RECEIVED_MS + WAITED_MS, actions);
  scheduler_step (scheduler, RECEIVED_MS + WAITED_MS, actions);
  CU_ASSERT_EQUAL (take_actions (actions).submits, 1);
  scheduler_step (scheduler, RECEIVED_MS + WAITED_MS + 10, actions);
  CU_ASSERT_EQUAL (take_actions (actions).answers, 0);
  /* It is told anew that the job runs here now. */
  g_array_set_size (statuses, 0);
  scheduler_collect_statuses (scheduler, RECEIVED_MS + WAITED_MS + 20, statuses);
  CU_ASSERT_EQUAL (statuses->len, 1);
  scheduler_step (scheduler, RECEIVED_MS + WAITED_MS + 30, actions);
  CU_ASSERT_EQUAL (take_actions (actions).answers, 0);
  scheduler_free (scheduler);
  g_array_unref (statuses);
  g_array_unref (actions);
}

/* A job that has waited for another host may start only if all other data centres were told of it
 * before its caller could send it again. */
static const struct
{
  const char *name;
  int64_t confirmed_at_ms; /* when the confirmation is read; NEVER: it is not */
  int64_t over_at_ms;      /* when the other host's runs have ended */
  bool starts;
} waited_cases[] = {
  { "confirmed in time", ANNOUNCED_AT_MS + 100, RECEIVED_MS + 3000, true },
  { "confirmed late, as a cut ends", RECEIVED_MS + 2900, RECEIVED_MS + 3000, false },
  { "not confirmed", NEVER, RECEIVED_MS + 3000, false },
  { "not confirmed yet, as the other host ends soon", NEVER, RECEIVED_MS + 800, true },
};

static counts_t
play_waited (size_t row, scheduler_t *scheduler, GArray *actions)
{
  const job_status_t open = { ID, JOB_STATUS_OPEN, DEADLINE_MS };
  const job_status_t stopped = { ID, JOB_STATUS_STOPPED, waited_cases[row].over_at_ms };
  const scheduler_job_t job = job_of (LONG_MS);
  GArray *statuses = g_array_new (FALSE, FALSE, sizeof (job_status_t));

  scheduler_set_confirmed_at (scheduler, 1);
  scheduler_job_told (scheduler, OTHER_HOST, &open, RECEIVED_MS, actions);
  scheduler_submit (scheduler, &job, RECEIVED_MS, actions);
  scheduler_collect_statuses (scheduler, ANNOUNCED_AT_MS, statuses);
  for (int64_t now_ms = ANNOUNCED_AT_MS; now_ms <= waited_cases[row].over_at_ms + STEP_MS;
       now_ms += STEP_MS)
    {
      if (now_ms == waited_cases[row].confirmed_at_ms)
        scheduler_set_confirmed_at (scheduler, ANNOUNCED_AT_MS + 1);
      if (now_ms == waited_cases[row].over_at_ms)
        scheduler_job_told (scheduler, OTHER_HOST, &stopped, now_ms, actions);
      scheduler_step (scheduler, now_ms, actions);
    }
  g_array_unref (statuses);
  return take_actions (actions);
}

static void
test_waited_unconfirmed (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (waited_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = new_scheduler_of ("h", RESUBMIT_MS, RECEIVED_MS, actions);
      take_actions (actions);
      counts_t counts = play_waited (i, scheduler, actions);
      CU_ASSERT_EQUAL (counts.submits, waited_cases[i].starts);
      CU_ASSERT_EQUAL (counts.answers, !waited_cases[i].starts);
      CU_ASSERT_TRUE (counts.answers == 0 || counts.outcome == SCHEDULER_GIVEN_UP);
      if (counts.submits != waited_cases[i].starts)
        printf ("  %s: %d starts, %d answers\n", waited_cases[i].name, counts.submits,
                counts.answers);
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

static const unit_test_t tests[] = {
  { "a confirmation holds", test_confirmed_for_good },
  { "a job that has waited", test_waited },
  { "a job that has waited, and was confirmed late", test_waited_unconfirmed },
  { "jobs that a data centre can't know of", test_unannounced },
  { "jobs that come in a known cut", test_known },
};

int
main (void)
{
  return unit_run ("job_unannounced", tests, G_N_ELEMENTS (tests));
}
