/* test_job_repeats.c -- a request of a job that another host has must not start it, and must not
 * wait for a host that has lost it */
#include "scheduler/job_status_msg.h"
#include "scheduler/scheduler.h"
#include "tests/test_scheduler_job.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define ID "00000000000000a1"
#define NUMBER 7
#define RESUBMIT_MS 1300
#define CALLER_WAIT_MS 6000
#define LEASE_MS 1000
/* Runs of a process that has ended are over within this time. */
#define RUNS_END_MS RESUBMIT_MS
/* The entry of a job is kept for this long after its deadline there. */
#define UNTOLD_END_MS 2000
#define EARLY_DEADLINE_MS 1800
#define TOKEN 1
/* The request is received at this time; the job was announced at 0. */
#define RECEIVED_AT_MS 1000

/* What host "g" tells, or what is learned of it. */
typedef enum
{
  NOTHING,
  TELLS_OPEN,
  TELLS_OPEN_SHORT, /* until EARLY_DEADLINE_MS */
  TELLS_WAITING,
  TELLS_STOPPED, /* its runs have ended 200 ms later */
  TELLS_COMPLETE,
  TELLS_FAILED,
  TELLS_CANCELLED,
  IS_LOST, /* it was heard 400 ms before */
  IS_RESTARTED,
  OWNER_HAS_NO_RUN,     /* the owner of the only shard says so */
  EARLIER_OWNER_HAD_NO, /* under an earlier claim */
  OWNER_HAD_NO_RUN,     /* it was asked a second before */
  NO_RUN_FOR_ANOTHER,   /* it says so of another host */
  SHARD_VACANT          /* the shard has no owner that is heard */
} news_t;

#define WAITS (-1)
#define NEWS_MAX 2

static const struct
{
  const char *name;
  news_t announced; /* at 0 */
  struct
  {
    news_t what;
    int64_t at_ms;
  } news[NEWS_MAX];
  int64_t starts_at_ms; /* WAITS: not before its deadline */
  int64_t answered_at_ms;
  scheduler_outcome_t outcome;
} cases[] = {
  { "unknown job", NOTHING, { { 0 } }, RECEIVED_AT_MS, 0, 0 },
  { "open elsewhere, silent", TELLS_OPEN, { { 0 } }, WAITS, 0, 0 },
  { "waits elsewhere, silent", TELLS_WAITING, { { 0 } }, WAITS, 0, 0 },
  { "silent, no owner has a run",
    TELLS_OPEN,
    { { OWNER_HAS_NO_RUN, RECEIVED_AT_MS + RESUBMIT_MS + 200 } },
    RECEIVED_AT_MS + RESUBMIT_MS + 200,
    0,
    0 },
  { "not silent yet, no owner has a run", TELLS_OPEN, { { OWNER_HAS_NO_RUN, 1100 } }, WAITS, 0, 0 },
  { "still open", TELLS_OPEN, { { TELLS_OPEN, 2000 } }, WAITS, 0, 0 },
  { "complete", TELLS_OPEN, { { TELLS_COMPLETE, 1500 } }, WAITS, 1500, SCHEDULER_COMPLETE },
  { "failed", TELLS_OPEN, { { TELLS_FAILED, 1500 } }, WAITS, 1500, SCHEDULER_FAILED },
  { "cancelled", TELLS_OPEN, { { TELLS_CANCELLED, 1500 } }, WAITS, 1500, SCHEDULER_CANCELLED },
  { "stopped", TELLS_OPEN, { { TELLS_STOPPED, 1500 } }, 1700, 0, 0 },
  { "stopped before", TELLS_STOPPED, { { 0 } }, RECEIVED_AT_MS, 0, 0 },
  { "lost", TELLS_OPEN, { { IS_LOST, 1500 } }, WAITS, 0, 0 },
  { "lost, its deadline passes",
    TELLS_OPEN_SHORT,
    { { IS_LOST, 1500 } },
    EARLY_DEADLINE_MS + UNTOLD_END_MS,
    0,
    0 },
  { "lost, no owner has a run",
    TELLS_OPEN,
    { { IS_LOST, 1500 }, { OWNER_HAS_NO_RUN, 1800 } },
    1800,
    0,
    0 },
  { "lost, the word is of an earlier claim",
    TELLS_OPEN,
    { { IS_LOST, 1500 }, { EARLIER_OWNER_HAD_NO, 1800 } },
    WAITS,
    0,
    0 },
  { "lost, the word comes late",
    TELLS_OPEN,
    { { IS_LOST, 1500 }, { OWNER_HAD_NO_RUN, 2800 } },
    WAITS,
    0,
    0 },
  { "lost, the word is about another host",
    TELLS_OPEN,
    { { IS_LOST, 1500 }, { NO_RUN_FOR_ANOTHER, 1800 } },
    WAITS,
    0,
    0 },
  { "lost, an owner is not heard either",
    TELLS_OPEN,
    { { SHARD_VACANT, 1500 }, { IS_LOST, 1500 } },
    WAITS,
    0,
    0 },
  { "restarted", TELLS_OPEN, { { IS_RESTARTED, 1500 } }, 1500 + RUNS_END_MS, 0, 0 },
  { "lost, then restarted",
    TELLS_OPEN,
    { { IS_LOST, 1500 }, { IS_RESTARTED, 2000 } },
    2000 + RUNS_END_MS,
    0,
    0 },
  { "lost, heard again, complete",
    TELLS_OPEN,
    { { IS_LOST, 1500 }, { TELLS_COMPLETE, 2500 } },
    WAITS,
    2500,
    SCHEDULER_COMPLETE },
  { "complete before", TELLS_COMPLETE, { { 0 } }, WAITS, RECEIVED_AT_MS, SCHEDULER_COMPLETE },
};

static uint64_t
submit (scheduler_t *scheduler, int64_t now_ms, GArray *actions)
{
  scheduler_job_t job = test_job (ID, now_ms, CALLER_WAIT_MS);

  job.user_data = scheduler;
  return scheduler_submit (scheduler, &job, now_ms, actions);
}

static void
learn (scheduler_t *scheduler, news_t news, int64_t now_ms, GArray *actions)
{
  static const job_status_kind_t kinds[] = {
    [TELLS_OPEN] = JOB_STATUS_OPEN,           [TELLS_OPEN_SHORT] = JOB_STATUS_OPEN,
    [TELLS_WAITING] = JOB_STATUS_WAITING,     [TELLS_STOPPED] = JOB_STATUS_STOPPED,
    [TELLS_COMPLETE] = JOB_STATUS_COMPLETE,   [TELLS_FAILED] = JOB_STATUS_FAILED,
    [TELLS_CANCELLED] = JOB_STATUS_CANCELLED,
  };
  int64_t until_ms = news == TELLS_STOPPED      ? now_ms + 200
                     : news == TELLS_OPEN_SHORT ? EARLY_DEADLINE_MS
                                                : now_ms + CALLER_WAIT_MS;

  switch (news)
    {
    case NOTHING:
      break;
    case IS_LOST:
      scheduler_host_lost (scheduler, "g", now_ms - 400, now_ms, actions);
      break;
    case IS_RESTARTED:
      scheduler_host_restarted (scheduler, "g", now_ms);
      break;
    case OWNER_HAS_NO_RUN:
      scheduler_runs_over (scheduler, ID, "g", "z", TOKEN, now_ms);
      break;
    case OWNER_HAD_NO_RUN:
      scheduler_runs_over (scheduler, ID, "g", "z", TOKEN, now_ms - 1000);
      break;
    case EARLIER_OWNER_HAD_NO:
      scheduler_runs_over (scheduler, ID, "g", "z", TOKEN - 1, now_ms);
      break;
    case NO_RUN_FOR_ANOTHER:
      scheduler_runs_over (scheduler, ID, "i", "z", TOKEN, now_ms);
      break;
    case SHARD_VACANT:
      scheduler_set_owner (scheduler, "z", NULL, 0, now_ms, actions);
      break;
    default:
      scheduler_job_told (scheduler, "g", &(job_status_t){ ID, kinds[news], until_ms }, now_ms,
                          actions);
      break;
    }
}

/* The shard's owner offers four slots. */
static void
set_owner (scheduler_t *scheduler, int64_t now_ms, GArray *actions)
{
  const executor_offer_t offer = { "s", 4, 4, 1.0 };
  const executor_load_t load = { .service = "s", .cores_milli = 4000 };

  scheduler_set_owner (scheduler, "z", "hx", TOKEN, now_ms, actions);
  report_offers (scheduler, "z", "hx", &offer, 1, &load, now_ms);
}

static scheduler_t *
new_scheduler_at (const char *host, GArray *actions)
{
  const scheduler_options_t options = { .host = host,
                                        .data_centre = "z",
                                        .lease_ms = LEASE_MS,
                                        .remote_factor = 1.0,
                                        .incarnation = 0,
                                        .resubmit_ms = RESUBMIT_MS };
  scheduler_t *scheduler = scheduler_new (&options);

  set_owner (scheduler, 0, actions);
  return scheduler;
}

static scheduler_t *
new_scheduler (GArray *actions)
{
  return new_scheduler_at ("h", actions);
}

/* Returns the number of actions of KIND, and clears ACTIONS.  *LAST is the last of them. */
static int
take_actions (GArray *actions, scheduler_action_kind_t kind, scheduler_action_t *last)
{
  int count = 0;

  for (guint i = 0; i < actions->len; i++)
    {
      const scheduler_action_t *action = &g_array_index (actions, scheduler_action_t, i);
      if (action->task_indexes != NULL)
        g_array_unref (action->task_indexes);
      if (action->kind != kind)
        continue;
      *last = *action;
      count++;
    }
  g_array_set_size (actions, 0);
  return count;
}

/* When a request is received, the job starts as soon as nobody can be running it, or is answered as
 * soon as its outcome is known. */
static void
test_request (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = new_scheduler (actions);
      int64_t started_at_ms = WAITS;
      int64_t answered_at_ms = 0;
      scheduler_action_t answer = { 0 };
      learn (scheduler, cases[i].announced, 0, actions);
      for (int64_t now_ms = RECEIVED_AT_MS; now_ms < RECEIVED_AT_MS + CALLER_WAIT_MS; now_ms += 5)
        {
          if (now_ms == RECEIVED_AT_MS)
            submit (scheduler, now_ms, actions);
          for (int k = 0; k < NEWS_MAX; k++)
            if (now_ms == cases[i].news[k].at_ms)
              learn (scheduler, cases[i].news[k].what, now_ms, actions);
          for (guint k = 0; k < actions->len; k++)
            {
              const scheduler_action_t *action = &g_array_index (actions, scheduler_action_t, k);
              if (action->kind == SCHEDULER_SUBMIT && started_at_ms == WAITS)
                started_at_ms = now_ms;
              if (action->kind == SCHEDULER_ANSWER && answered_at_ms == 0)
                {
                  answered_at_ms = now_ms;
                  answer = *action;
                }
            }
          scheduler_action_t last;
          take_actions (actions, SCHEDULER_SUBMIT, &last);
          scheduler_step (scheduler, now_ms, actions);
        }
      bool in_time =
          started_at_ms >= cases[i].starts_at_ms && started_at_ms <= cases[i].starts_at_ms + 5;
      CU_ASSERT_TRUE (in_time);
      CU_ASSERT_EQUAL (answered_at_ms, cases[i].answered_at_ms);
      CU_ASSERT_TRUE (cases[i].answered_at_ms == 0 || answer.outcome == cases[i].outcome);
      if (!in_time || answered_at_ms != cases[i].answered_at_ms)
        printf ("  %s: starts at %d, answered at %d\n", cases[i].name, (int) started_at_ms,
                (int) answered_at_ms);
      scheduler_action_t last;
      take_actions (actions, SCHEDULER_SUBMIT, &last);
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

/* A job goes on although its caller has gone, as long as a host asks for it, and tells that host
 * its end. */
static void
test_followed (void)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
  scheduler_t *scheduler = new_scheduler (actions);
  scheduler_action_t action = { 0 };

  uint64_t number = submit (scheduler, 0, actions);
  CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_SUBMIT, &action), 1);
  uint64_t batch = action.batch_number;
  scheduler_job_asked (scheduler, "g", ID, 100, actions);
  CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_TELL, &action), 1);
  CU_ASSERT_EQUAL (action.status.kind, JOB_STATUS_OPEN);
  scheduler_abandon (scheduler, number, 200, actions);
  scheduler_step (scheduler, 900, actions);
  CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_CANCEL, &action), 0);
  scheduler_task_ended (scheduler, "hx", batch, 0, SCHEDULER_TASK_DONE, 1000, actions);
  CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_TELL, &action), 1);
  CU_ASSERT_EQUAL (action.status.kind, JOB_STATUS_COMPLETE);
  scheduler_free (scheduler);
  g_array_unref (actions);
}

/* A job whose caller has gone ends when no host asks for it any more, and a host that asks later
 * is told when its runs have certainly ended. */
static void
test_not_followed (void)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
  scheduler_t *scheduler = new_scheduler (actions);
  scheduler_action_t action = { 0 };

  uint64_t number = submit (scheduler, 0, actions);
  scheduler_job_asked (scheduler, "g", ID, 100, actions);
  scheduler_abandon (scheduler, number, 200, actions);
  take_actions (actions, SCHEDULER_CANCEL, &action);
  scheduler_step (scheduler, 1200, actions);
  CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_CANCEL, &action), 1);
  scheduler_job_asked (scheduler, "g", ID, 1300, actions);
  CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_TELL, &action), 1);
  CU_ASSERT_EQUAL (action.status.kind, JOB_STATUS_STOPPED);
  CU_ASSERT_EQUAL (action.status.until_ms, 1200 + RESUBMIT_MS);
  scheduler_free (scheduler);
  g_array_unref (actions);
}

/* Both hosts run the job: the one with the greater name stops, and answers with what the other one
 * tells. */
static void
test_at_both (void)
{
  static const struct
  {
    const char *other;
    int cancels;
  } rows[] = { { "g", 1 }, { "i", 0 } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = new_scheduler (actions);
      const job_status_t open = { ID, JOB_STATUS_OPEN, CALLER_WAIT_MS };
      const job_status_t complete = { ID, JOB_STATUS_COMPLETE, 0 };
      scheduler_action_t action = { 0 };
      submit (scheduler, 0, actions);
      take_actions (actions, SCHEDULER_SUBMIT, &action);
      scheduler_job_told (scheduler, rows[i].other, &open, 500, actions);
      CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_CANCEL, &action), rows[i].cancels);
      scheduler_job_told (scheduler, rows[i].other, &complete, 600, actions);
      CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_ANSWER, &action), rows[i].cancels);
      CU_ASSERT_TRUE (rows[i].cancels == 0 || action.outcome == SCHEDULER_COMPLETE);
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

/* A job of which nothing was sent yet, for want of an owner, waits for the host that tells of it,
 * whatever their names. */
static void
test_not_sent (void)
{
  static const char *const others[] = { "g", "i" };

  for (size_t i = 0; i < G_N_ELEMENTS (others); i++)
    {
      const job_status_t open = { ID, JOB_STATUS_OPEN, CALLER_WAIT_MS };
      const job_status_t stopped = { ID, JOB_STATUS_STOPPED, 1000 };
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = new_scheduler (actions);
      scheduler_action_t action = { 0 };
      scheduler_set_owner (scheduler, "z", NULL, 0, 0, actions);
      submit (scheduler, 0, actions);
      scheduler_step (scheduler, 100, actions);
      CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_SUBMIT, &action), 0);
      scheduler_job_told (scheduler, others[i], &open, 110, actions);
      set_owner (scheduler, 115, actions);
      scheduler_step (scheduler, 120, actions);
      CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_SUBMIT, &action), 0);
      scheduler_job_told (scheduler, others[i], &stopped, 900, actions);
      scheduler_step (scheduler, 1010, actions);
      CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_SUBMIT, &action), 1);
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

#define TOLD_MAX 3
#define ASKERS_MAX 2
#define ASKED_AT_MS (RECEIVED_AT_MS + 100)
#define SETTLED_MS 2000

typedef struct
{
  const char *host;
  job_status_kind_t kind;
} told_t;

/* What host "h", at which a request waits, answers to the last of the hosts that ask for the job,
 * and whether it then runs it. */
static const struct
{
  const char *name;
  told_t told[TOLD_MAX];
  const char *askers[ASKERS_MAX];
  job_status_kind_t answer;
  bool starts;
  const char *then_runs; /* tells that it runs the job after the first question */
} questions[] = {
  { "a greater one waits",
    { { "i", JOB_STATUS_WAITING } },
    { "i" },
    JOB_STATUS_WAITING,
    true,
    NULL },
  { "a lesser one waits",
    { { "g", JOB_STATUS_WAITING } },
    { "g" },
    JOB_STATUS_STOPPED,
    false,
    NULL },
  { "one runs it, a lesser one waits",
    { { "a", JOB_STATUS_OPEN }, { "g", JOB_STATUS_WAITING } },
    { "g" },
    JOB_STATUS_WAITING,
    false,
    NULL },
  { "one runs it, a greater one waits",
    { { "a", JOB_STATUS_OPEN }, { "i", JOB_STATUS_WAITING } },
    { "i" },
    JOB_STATUS_WAITING,
    false,
    NULL },
  { "one of a greater name runs it, a lesser one waits",
    { { "k", JOB_STATUS_OPEN }, { "g", JOB_STATUS_WAITING } },
    { "g" },
    JOB_STATUS_WAITING,
    false,
    NULL },
  { "one of a greater name is told by a relay, a greater one waits",
    { { "k", JOB_STATUS_WAITING }, { "i", JOB_STATUS_WAITING } },
    { "i" },
    JOB_STATUS_WAITING,
    false,
    NULL },
  { "one runs it and is told by a relay, a lesser one waits",
    { { "k", JOB_STATUS_OPEN }, { "k", JOB_STATUS_WAITING }, { "g", JOB_STATUS_WAITING } },
    { "g" },
    JOB_STATUS_WAITING,
    false,
    NULL },
  { "one that has waited runs it, a lesser one waits",
    { { "k", JOB_STATUS_WAITING }, { "g", JOB_STATUS_WAITING } },
    { "k", "g" },
    JOB_STATUS_WAITING,
    false,
    "k" },
  { "two wait, the least asks",
    { { "g", JOB_STATUS_WAITING }, { "i", JOB_STATUS_WAITING } },
    { "i", "g" },
    JOB_STATUS_STOPPED,
    false,
    NULL },
  { "two wait, the greatest asks",
    { { "g", JOB_STATUS_WAITING }, { "i", JOB_STATUS_WAITING } },
    { "g", "i" },
    JOB_STATUS_WAITING,
    false,
    NULL },
  { "two greater ones wait",
    { { "i", JOB_STATUS_WAITING }, { "k", JOB_STATUS_WAITING } },
    { "k", "i" },
    JOB_STATUS_WAITING,
    true,
    NULL },
};

static void
tell_kind (scheduler_t *scheduler,
           const char *host,
           job_status_kind_t kind,
           int64_t now_ms,
           GArray *actions)
{
  const job_status_t status = { ID, kind, RECEIVED_AT_MS + CALLER_WAIT_MS };

  scheduler_job_told (scheduler, host, &status, now_ms, actions);
}

/* Plays all that row ROW of the questions tells and asks. */
static void
play_question (scheduler_t *scheduler, size_t row, GArray *actions, scheduler_action_t *answer)
{
  for (int i = 0; i < TOLD_MAX; i++)
    if (questions[row].told[i].host != NULL)
      tell_kind (scheduler, questions[row].told[i].host, questions[row].told[i].kind, 0, actions);
  submit (scheduler, RECEIVED_AT_MS, actions);
  take_actions (actions, SCHEDULER_TELL, answer);
  for (int i = 0; i < ASKERS_MAX && questions[row].askers[i] != NULL; i++)
    {
      if (i == 1 && questions[row].then_runs != NULL)
        tell_kind (scheduler, questions[row].then_runs, JOB_STATUS_OPEN, ASKED_AT_MS, actions);
      scheduler_job_asked (scheduler, questions[row].askers[i], ID, ASKED_AT_MS, actions);
      CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_TELL, answer), 1);
    }
}

static void
test_asked_while_it_waits (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (questions); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = new_scheduler (actions);
      scheduler_action_t answer = { 0 };
      scheduler_action_t last;
      play_question (scheduler, i, actions, &answer);
      scheduler_step (scheduler, ASKED_AT_MS + 5, actions);
      bool starts = take_actions (actions, SCHEDULER_SUBMIT, &last) > 0;
      CU_ASSERT_EQUAL (answer.status.kind, questions[i].answer);
      CU_ASSERT_EQUAL (starts, questions[i].starts);
      if (answer.status.kind != questions[i].answer || starts != questions[i].starts)
        printf ("  %s: answers %d, %s\n", questions[i].name, (int) answer.status.kind,
                starts ? "starts" : "does not start");
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

#define WAITING_MAX 3

/* Hosts at which requests wait, each of which was told of the others. */
static const struct
{
  const char *name;
  int hosts;
  bool last_first; /* the last one in the alphabet was told first */
  job_status_kind_t kind;
} waiting_rows[] = {
  { "two wait", 2, false, JOB_STATUS_WAITING },
  { "two wait, told to run", 2, false, JOB_STATUS_OPEN },
  { "three wait", 3, false, JOB_STATUS_WAITING },
  { "three wait, told the other way round", 3, true, JOB_STATUS_WAITING },
  { "three wait, told to run", 3, false, JOB_STATUS_OPEN },
  { "three wait, told to run, the other way round", 3, true, JOB_STATUS_OPEN },
};

static const char *const waiting_hosts[WAITING_MAX] = { "g", "h", "i" };

typedef struct
{
  scheduler_t *schedulers[WAITING_MAX];
  GArray *actions[WAITING_MAX];
  bool starts[WAITING_MAX];
} waiting_t;

static int
waiting_index (const char *host)
{
  for (int i = 0; i < WAITING_MAX; i++)
    if (g_str_equal (waiting_hosts[i], host))
      return i;
  return -1;
}

/* Delivers what host FROM has to ask and to tell. */
static void
deliver (waiting_t *waiting, int from, int64_t now_ms)
{
  GArray *actions = waiting->actions[from];
  scheduler_action_t last;

  for (guint i = 0; i < actions->len; i++)
    {
      const scheduler_action_t *action = &g_array_index (actions, scheduler_action_t, i);
      if (action->kind == SCHEDULER_SUBMIT)
        waiting->starts[from] = true;
      if (action->kind != SCHEDULER_ASK && action->kind != SCHEDULER_TELL)
        continue;
      int to = waiting_index (action->host);
      if (action->kind == SCHEDULER_ASK)
        scheduler_job_asked (waiting->schedulers[to], waiting_hosts[from], ID, now_ms,
                             waiting->actions[to]);
      else
        scheduler_job_told (waiting->schedulers[to], waiting_hosts[from], &action->status, now_ms,
                            waiting->actions[to]);
    }
  take_actions (actions, SCHEDULER_TELL, &last);
}

static void
test_wait_for_each_other (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (waiting_rows); i++)
    {
      waiting_t waiting = { 0 };
      const job_status_t status = { ID, waiting_rows[i].kind, RECEIVED_AT_MS + CALLER_WAIT_MS };
      int hosts = MIN (waiting_rows[i].hosts, (int) G_N_ELEMENTS (waiting_hosts));
      for (int k = 0; k < hosts; k++)
        {
          waiting.actions[k] = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
          waiting.schedulers[k] = new_scheduler_at (waiting_hosts[k], waiting.actions[k]);
          for (int n = 0; n < hosts; n++)
            {
              int other = waiting_rows[i].last_first ? hosts - 1 - n : n;
              if (other != k)
                scheduler_job_told (waiting.schedulers[k], waiting_hosts[other], &status, 0,
                                    waiting.actions[k]);
            }
          submit (waiting.schedulers[k], RECEIVED_AT_MS, waiting.actions[k]);
        }
      for (int64_t now_ms = RECEIVED_AT_MS; now_ms < RECEIVED_AT_MS + SETTLED_MS; now_ms += 5)
        for (int k = 0; k < hosts; k++)
          {
            deliver (&waiting, k, now_ms);
            scheduler_step (waiting.schedulers[k], now_ms, waiting.actions[k]);
          }
      int starts = 0;
      for (int k = 0; k < hosts; k++)
        starts += waiting.starts[k];
      CU_ASSERT_EQUAL (starts, 1);
      if (starts != 1)
        printf ("  %s: %d start\n", waiting_rows[i].name, starts);
      for (int k = 0; k < hosts; k++)
        {
          scheduler_action_t last;
          take_actions (waiting.actions[k], SCHEDULER_TELL, &last);
          scheduler_free (waiting.schedulers[k]);
          g_array_unref (waiting.actions[k]);
        }
    }
}

#define YIELDS_AT_MS 2000

/* A host that has stopped its runs for another one says until when they may go on, if that host
 * asks for the job in turn. */
static void
test_runs_of_yielded (void)
{
  static const struct
  {
    const char *name;
    int64_t asked_at_ms;
    int64_t until_ms;
  } rows[] = {
    { "its runs may go on", YIELDS_AT_MS + 100, YIELDS_AT_MS + RESUBMIT_MS },
    { "its runs are over", YIELDS_AT_MS + RESUBMIT_MS + 100, YIELDS_AT_MS + RESUBMIT_MS + 100 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = new_scheduler (actions);
      const job_status_t open = { ID, JOB_STATUS_OPEN, YIELDS_AT_MS + CALLER_WAIT_MS };
      const job_status_t stopped = { ID, JOB_STATUS_STOPPED, 0 };
      scheduler_action_t action = { 0 };
      submit (scheduler, YIELDS_AT_MS - 500, actions);
      scheduler_job_told (scheduler, "g", &open, YIELDS_AT_MS, actions);
      CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_CANCEL, &action), 1);
      scheduler_job_asked (scheduler, "g", ID, rows[i].asked_at_ms, actions);
      CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_TELL, &action), 1);
      CU_ASSERT_EQUAL (action.status.kind, JOB_STATUS_STOPPED);
      CU_ASSERT_EQUAL (action.status.until_ms, rows[i].until_ms);
      if (action.status.until_ms != rows[i].until_ms)
        printf ("  %s: until %d\n", rows[i].name, (int) action.status.until_ms);
      /* It does not wait for its own runs. */
      scheduler_job_told (scheduler, "g", &stopped, rows[i].asked_at_ms + 5, actions);
      scheduler_step (scheduler, rows[i].asked_at_ms + 10, actions);
      CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_ANSWER, &action), 1);
      CU_ASSERT_EQUAL (action.outcome, SCHEDULER_GIVEN_UP);
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

/* A host that runs a job remembers others that have it: a new request waits for them once the job
 * has been given up here and its runs have ended, but the job itself does not. */
static void
test_known_while_it_runs (void)
{
  static const struct
  {
    const char *name;
    const char *other;
    job_status_kind_t kind;
    job_status_kind_t end; /* of the job at OTHER, told before the request */
    bool ends;
    bool starts;
  } rows[] = {
    { "a lesser one waits", "g", JOB_STATUS_WAITING, 0, false, false },
    { "a greater one waits", "i", JOB_STATUS_WAITING, 0, false, false },
    { "a greater one runs it", "i", JOB_STATUS_OPEN, 0, false, false },
    { "one that waited has ended it", "i", JOB_STATUS_WAITING, JOB_STATUS_STOPPED, true, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = new_scheduler (actions);
      scheduler_action_t action = { 0 };
      uint64_t number = submit (scheduler, 0, actions);
      take_actions (actions, SCHEDULER_SUBMIT, &action);
      scheduler_job_told (scheduler, rows[i].other,
                          &(job_status_t){ ID, rows[i].kind, CALLER_WAIT_MS }, 500, actions);
      scheduler_step (scheduler, 505, actions);
      CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_CANCEL, &action), 0);
      scheduler_abandon (scheduler, number, 600, actions);
      CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_CANCEL, &action), 1);
      if (rows[i].ends)
        scheduler_job_told (scheduler, rows[i].other, &(job_status_t){ ID, rows[i].end, 0 }, 700,
                            actions);
      submit (scheduler, 800, actions);
      for (int64_t now_ms = 800; now_ms < 800 + RESUBMIT_MS; now_ms += 5)
        scheduler_step (scheduler, now_ms, actions);
      bool starts = take_actions (actions, SCHEDULER_SUBMIT, &action) > 0;
      CU_ASSERT_EQUAL (starts, rows[i].starts);
      if (starts != rows[i].starts)
        printf ("  %s: %s\n", rows[i].name, starts ? "starts" : "does not start");
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

/* A status that was cut off, or has an unknown kind, is refused. */
static void
test_message (void)
{
  const job_status_t statuses[] = { { ID, JOB_STATUS_OPEN, 5000 }, { "b", JOB_STATUS_FAILED, 0 } };
  GBytes *frame = job_msg_statuses ("g", true, statuses, G_N_ELEMENTS (statuses), 1000);
  gsize size = 0;
  const char *data = (const char *) g_bytes_get_data (frame, &size) + FRAME_LENGTH_BYTES;

  size -= FRAME_LENGTH_BYTES;
  for (gsize cut = 0; cut < size; cut++)
    {
      frame_reader_t *reader = NULL;
      GArray *read = g_array_new (FALSE, FALSE, sizeof (job_status_t));
      char *host = NULL;
      bool relay = false;
      bool parsed = frame_parse (data, size - cut, &reader) == 0;
      if (parsed)
        CU_ASSERT_EQUAL (job_msg_read_statuses (reader, 2000, &host, &relay, read) == 0, cut == 0);
      if (cut == 0)
        {
          CU_ASSERT_EQUAL_FATAL (read->len, 2);
          CU_ASSERT_EQUAL (g_array_index (read, job_status_t, 0).until_ms, 6000);
          CU_ASSERT_EQUAL (g_array_index (read, job_status_t, 1).kind, JOB_STATUS_FAILED);
        }
      job_statuses_clear (read);
      g_array_unref (read);
      g_free (host);
      if (parsed)
        frame_reader_free (reader);
    }
  g_bytes_unref (frame);
}

/* Runs of a job at an owner: a message that was cut off is refused. */
static void
test_runs_message (void)
{
  const job_runs_t runs = { (char *) ID, (char *) "g", (char *) "z", INT64_MAX, 123456 };
  GBytes *frame = job_msg_runs (JOB_MSG_RUNS_OVER, &runs);
  gsize size = 0;
  const char *data = (const char *) g_bytes_get_data (frame, &size) + FRAME_LENGTH_BYTES;

  size -= FRAME_LENGTH_BYTES;
  for (gsize cut = 0; cut < size; cut++)
    {
      frame_reader_t *reader = NULL;
      job_runs_t read = { 0 };
      if (frame_parse (data, size - cut, &reader) != 0)
        continue;
      CU_ASSERT_EQUAL (job_msg_read_runs (reader, &read) == 0, cut == 0);
      if (cut == 0)
        {
          CU_ASSERT_STRING_EQUAL (read.id, ID);
          CU_ASSERT_STRING_EQUAL (read.holder, "g");
          CU_ASSERT_STRING_EQUAL (read.shard, "z");
          CU_ASSERT_EQUAL (read.token, INT64_MAX);
          CU_ASSERT_EQUAL (read.asked_at_ms, 123456);
        }
      job_runs_clear (&read);
      frame_reader_free (reader);
    }
  g_bytes_unref (frame);
}

/* The registration of a job: a message that was cut off, or of a job that has ended, is refused. */
static void
test_register_message (void)
{
  static const struct
  {
    job_status_kind_t kind;
    int64_t until_ms;
    bool read;
    int64_t read_until_ms; /* read at 2,000, written at 1,000 */
  } rows[] = {
    { JOB_STATUS_OPEN, 5000, true, 6000 },   { JOB_STATUS_WAITING, 5000, true, 6000 },
    { JOB_STATUS_WAITING, 500, true, 2000 }, { JOB_STATUS_WAITING, INT64_MAX, true, 3602000 },
    { JOB_STATUS_STOPPED, 5000, false, 0 },  { JOB_STATUS_CANCELLED, 5000, false, 0 },
    { JOB_STATUS_LAST + 1, 5000, false, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GBytes *frame =
          job_msg_register (&(job_status_t){ ID, rows[i].kind, rows[i].until_ms }, NUMBER, 1000);
      gsize size = 0;
      const char *data = (const char *) g_bytes_get_data (frame, &size) + FRAME_LENGTH_BYTES;
      size -= FRAME_LENGTH_BYTES;
      for (gsize cut = 0; cut < size; cut++)
        {
          frame_reader_t *reader = NULL;
          job_status_t status = { 0 };
          uint64_t number = 0;
          if (frame_parse (data, size - cut, &reader) != 0)
            continue;
          CU_ASSERT_EQUAL (job_msg_read_register (reader, 2000, &status, &number) == 0,
                           cut == 0 && rows[i].read);
          if (cut == 0 && rows[i].read)
            {
              CU_ASSERT_STRING_EQUAL (status.id, ID);
              CU_ASSERT_EQUAL (status.kind, rows[i].kind);
              CU_ASSERT_EQUAL (status.until_ms, rows[i].read_until_ms);
              CU_ASSERT_EQUAL (number, NUMBER);
            }
          g_free ((char *) status.id);
          frame_reader_free (reader);
        }
      g_bytes_unref (frame);
    }
}

static GArray *
new_claims (guint count, job_status_kind_t kind)
{
  GArray *claims = g_array_new (FALSE, FALSE, sizeof (job_claim_t));

  for (guint i = 0; i < count; i++)
    {
      const job_claim_t claim = { i % 2 == 0 ? "g" : "i", kind, 5000 + (int64_t) i, i % 2 != 0 };
      g_array_append_val (claims, claim);
    }
  return claims;
}

/* What a registrar answers: a message that was cut off, or with an unknown kind, is refused.  No
 * more than JOB_CLAIMS_MAX hosts are named. */
static void
test_registered_message (void)
{
  static const struct
  {
    guint claims;
    job_status_kind_t kind;
    uint64_t confirmed;
    bool read;
    guint claims_read;
  } rows[] = {
    { 0, JOB_STATUS_WAITING, NUMBER, true, 0 },
    { 2, JOB_STATUS_WAITING, 0, true, 2 },
    { 2, JOB_STATUS_STOPPED, NUMBER, true, 2 },
    { JOB_CLAIMS_MAX, JOB_STATUS_OPEN, NUMBER, true, JOB_CLAIMS_MAX },
    { JOB_CLAIMS_MAX + 1, JOB_STATUS_OPEN, NUMBER, true, JOB_CLAIMS_MAX },
    { 1, JOB_STATUS_LAST + 1, NUMBER, false, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GArray *claims = new_claims (rows[i].claims, rows[i].kind);
      GBytes *frame = job_msg_registered (ID, rows[i].confirmed, claims, 1000);
      gsize size = 0;
      const char *data = (const char *) g_bytes_get_data (frame, &size) + FRAME_LENGTH_BYTES;
      size -= FRAME_LENGTH_BYTES;
      for (gsize cut = 0; cut < size; cut++)
        {
          frame_reader_t *reader = NULL;
          GArray *read = g_array_new (FALSE, FALSE, sizeof (job_claim_t));
          char *id = NULL;
          uint64_t confirmed = rows[i].confirmed + 1;
          bool parsed = frame_parse (data, size - cut, &reader) == 0;
          if (parsed)
            CU_ASSERT_EQUAL (job_msg_read_registered (reader, 2000, &id, &confirmed, read) == 0,
                             cut == 0 && rows[i].read);
          if (cut == 0 && rows[i].read)
            {
              CU_ASSERT_EQUAL (g_strcmp0 (id, ID), 0);
              CU_ASSERT_EQUAL (confirmed, rows[i].confirmed);
              CU_ASSERT_EQUAL_FATAL (read->len, rows[i].claims_read);
            }
          for (guint k = 0; cut == 0 && rows[i].read && k < read->len; k++)
            {
              const job_claim_t *claim = &g_array_index (read, job_claim_t, k);
              CU_ASSERT_STRING_EQUAL (claim->host, k % 2 == 0 ? "g" : "i");
              CU_ASSERT_EQUAL (claim->kind, rows[i].kind);
              CU_ASSERT_EQUAL (claim->until_ms, 6000 + k);
              CU_ASSERT_EQUAL (claim->unheard, k % 2 != 0);
            }
          g_array_unref (read);
          g_free (id);
          if (parsed)
            frame_reader_free (reader);
        }
      g_bytes_unref (frame);
      g_array_unref (claims);
    }
}

/* A registrar that names more hosts than it may is refused. */
static void
test_too_many_claims (void)
{
  frame_writer_t *writer = frame_begin (JOB_MSG_REGISTERED);
  GArray *read = g_array_new (FALSE, FALSE, sizeof (job_claim_t));
  frame_reader_t *reader = NULL;
  uint64_t confirmed = 0;
  char *id = NULL;
  gsize size = 0;

  frame_put_string (writer, ID);
  frame_put_uint (writer, NUMBER);
  frame_put_count (writer, JOB_CLAIMS_MAX + 1);
  for (int i = 0; i <= JOB_CLAIMS_MAX; i++)
    {
      frame_put_string (writer, "g");
      frame_put_uint (writer, JOB_STATUS_WAITING);
      frame_put_int (writer, 100);
      frame_put_bool (writer, false);
    }
  GBytes *frame = frame_finish (writer);
  const char *data = (const char *) g_bytes_get_data (frame, &size) + FRAME_LENGTH_BYTES;
  CU_ASSERT_EQUAL_FATAL (frame_parse (data, size - FRAME_LENGTH_BYTES, &reader), 0);
  CU_ASSERT_NOT_EQUAL (job_msg_read_registered (reader, 2000, &id, &confirmed, read), 0);
  CU_ASSERT_EQUAL (read->len, 0);
  g_free (id);
  g_array_unref (read);
  frame_reader_free (reader);
  g_bytes_unref (frame);
}

static const unit_test_t tests[] = {
  { "a request of a job that another host may have", test_request },
  { "a job that another host asks for", test_followed },
  { "a job that no host asks for any more", test_not_followed },
  { "a job that two hosts run", test_at_both },
  { "a job of which nothing was sent", test_not_sent },
  { "a job that another host asks for while it waits here", test_asked_while_it_waits },
  { "hosts that wait for each other", test_wait_for_each_other },
  { "the runs of a job that was stopped for another host", test_runs_of_yielded },
  { "hosts that have a job that runs here", test_known_while_it_runs },
  { "messages", test_message },
  { "a message about runs at an owner", test_runs_message },
  { "the registration of a job", test_register_message },
  { "what a registrar answers", test_registered_message },
  { "a registrar that names too many hosts", test_too_many_claims },
};

int
main (void)
{
  return unit_run ("job_repeats", tests, G_N_ELEMENTS (tests));
}
