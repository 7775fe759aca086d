/* test_job_registry.c -- a job starts once a majority of the registrars knows of it, and not while
 * another host that they name may run it */
#include "scheduler/scheduler.h"
#include "tests/test_scheduler_job.h"
#include "tests/test_scheduler_report.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>

#define ID "00000000000000a1"
#define RESUBMIT_MS 1300
#define CALLER_WAIT_MS 6000
#define RECEIVED_AT_MS 1000
#define DEADLINE_MS (RECEIVED_AT_MS + CALLER_WAIT_MS)
/* An entry is kept for this long after the deadline of its job. */
#define KEPT_MS 2000
#define COLD_UNTIL_MS 1500
#define STEP_MS 5
#define EVENTS_MAX 5
#define WAITS (-1)

typedef enum
{
  NOTHING,
  REGISTRARS,    /* HOST: their names are these from now on */
  CONFIRMS,      /* HOST confirms the job */
  NAMES_WAITING, /* a registrar names HOST: it has the job */
  NAMES_OPEN,    /* it runs it */
  NAMES_STOPPED, /* its runs end 300 ms later */
  NAMES_UNHEARD, /* it has the job, and is not heard */
  NO_RUN_LEFT,   /* the owner of the only shard has no run for HOST */
  TOLD_OPEN,     /* HOST tells that it runs the job */
  TOLD_STOPPED,
  TOLD_COMPLETE,
  OWNER_LOST,   /* another host owns the shard now */
  OWNER_DROPPED /* the owner of the shard has lost this host */
} what_t;

typedef struct
{
  what_t what;
  int64_t at_ms; /* after the request */
  const char *host;
} event_t;

static void
set_registrars (scheduler_t *scheduler, const char *names, GArray *actions)
{
  char **split = g_strsplit (names, " ", -1);
  GPtrArray *hosts = g_ptr_array_new ();

  for (int i = 0; split[i] != NULL && split[i][0] != '\0'; i++)
    g_ptr_array_add (hosts, split[i]);
  scheduler_set_registrars (scheduler, hosts, actions);
  g_ptr_array_unref (hosts);
  g_strfreev (split);
}

static void
name_host (scheduler_t *scheduler,
           const char *host,
           job_status_kind_t kind,
           int64_t until_ms,
           bool unheard,
           int64_t now_ms,
           GArray *actions)
{
  const job_claim_t claim = { host, kind, until_ms, unheard };

  scheduler_job_claimed (scheduler, ID, &claim, now_ms, actions);
}

static void
tell (scheduler_t *scheduler,
      const char *host,
      job_status_kind_t kind,
      int64_t until_ms,
      int64_t now_ms,
      GArray *actions)
{
  const job_status_t status = { ID, kind, until_ms };

  scheduler_job_told (scheduler, host, &status, now_ms, actions);
}

/* What registrars return. */
static uint64_t last_registration;

static void
note_registration (const GArray *actions)
{
  for (guint i = 0; i < actions->len; i++)
    if (g_array_index (actions, scheduler_action_t, i).kind == SCHEDULER_REGISTER)
      last_registration = g_array_index (actions, scheduler_action_t, i).registration;
}

static void
play (scheduler_t *scheduler, const event_t *event, int64_t now_ms, GArray *actions)
{
  switch (event->what)
    {
    case REGISTRARS:
      set_registrars (scheduler, event->host, actions);
      break;
    case CONFIRMS:
      scheduler_job_registered (scheduler, event->host, ID, last_registration, now_ms, actions);
      break;
    case NAMES_WAITING:
      name_host (scheduler, event->host, JOB_STATUS_WAITING, DEADLINE_MS, false, now_ms, actions);
      break;
    case NAMES_OPEN:
      name_host (scheduler, event->host, JOB_STATUS_OPEN, DEADLINE_MS, false, now_ms, actions);
      break;
    case NAMES_STOPPED:
      name_host (scheduler, event->host, JOB_STATUS_STOPPED, now_ms + 300, false, now_ms, actions);
      break;
    case NAMES_UNHEARD:
      name_host (scheduler, event->host, JOB_STATUS_WAITING, DEADLINE_MS, true, now_ms, actions);
      break;
    case NO_RUN_LEFT:
      scheduler_runs_over (scheduler, ID, event->host, "z", 1, now_ms);
      break;
    case TOLD_OPEN:
      tell (scheduler, event->host, JOB_STATUS_OPEN, DEADLINE_MS, now_ms, actions);
      break;
    case TOLD_STOPPED:
      tell (scheduler, event->host, JOB_STATUS_STOPPED, now_ms, now_ms, actions);
      break;
    case TOLD_COMPLETE:
      tell (scheduler, event->host, JOB_STATUS_COMPLETE, 0, now_ms, actions);
      break;
    case OWNER_LOST:
      scheduler_set_owner (scheduler, "z", event->host, 2, now_ms, actions);
      break;
    case OWNER_DROPPED:
      scheduler_batches_dropped (scheduler, "hx", now_ms, actions);
      break;
    case NOTHING:
    default:
      break;
    }
}

static uint64_t
submit (scheduler_t *scheduler, int64_t now_ms, GArray *actions)
{
  scheduler_job_t job = test_job (ID, now_ms, CALLER_WAIT_MS);

  job.user_data = scheduler;
  return scheduler_submit (scheduler, &job, now_ms, actions);
}

/* Empties ACTIONS, and appends to LOG those of KIND as "host@time kind", TIME after the request. */
static int
take_actions (GArray *actions, scheduler_action_kind_t kind, int64_t now_ms, GString *log)
{
  int count = 0;

  note_registration (actions);
  for (guint i = 0; i < actions->len; i++)
    {
      const scheduler_action_t *action = &g_array_index (actions, scheduler_action_t, i);
      if (action->task_indexes != NULL)
        g_array_unref (action->task_indexes);
      if (action->kind != kind)
        continue;
      count++;
      if (log == NULL)
        continue;
      g_string_append_printf (log, "%s%s@%d", log->len > 0 ? " " : "", action->host,
                              (int) (now_ms - RECEIVED_AT_MS));
      if (kind == SCHEDULER_REGISTER)
        g_string_append (log, action->status.kind == JOB_STATUS_OPEN ? " runs" : "");
    }
  g_array_set_size (actions, 0);
  return count;
}

static void
check_log (const char *name, const GString *log, const char *expected)
{
  CU_ASSERT_STRING_EQUAL (log->str, expected);
  if (!g_str_equal (log->str, expected))
    printf ("  %s: \"%s\" instead of \"%s\"\n", name, log->str, expected);
}

/* --- when a job starts --- */

static const struct
{
  const char *name;
  const char *registrars; /* this host is "h"; NULL: they are never set */
  event_t events[EVENTS_MAX];
  int64_t starts_at_ms; /* after the request; WAITS: not before its deadline */
} cases[] = {
  { "registrars are not set", NULL, { { 0 } }, 0 },
  { "no registrar is heard", "", { { 0 } }, WAITS },
  { "no registrar is heard, one is later",
    "",
    { { REGISTRARS, 100, "p" }, { CONFIRMS, 200, "p" } },
    200 },
  { "this host is the only registrar", "h", { { 0 } }, 0 },
  { "one registrar", "p", { { CONFIRMS, 20, "p" } }, 20 },
  { "one registrar is silent", "p", { { 0 } }, WAITS },
  { "this host and another one", "h p", { { CONFIRMS, 20, "p" } }, 20 },
  { "this host and a silent one", "h p", { { 0 } }, WAITS },
  { "two registrars, one is silent", "p q", { { CONFIRMS, 20, "p" } }, WAITS },
  { "two registrars", "p q", { { CONFIRMS, 20, "p" }, { CONFIRMS, 40, "q" } }, 40 },
  { "one of two confirms twice", "p q", { { CONFIRMS, 20, "p" }, { CONFIRMS, 40, "p" } }, WAITS },
  { "three registrars, one confirms", "p q r", { { CONFIRMS, 20, "p" } }, WAITS },
  { "three registrars, two confirm",
    "p q r",
    { { CONFIRMS, 20, "p" }, { CONFIRMS, 40, "r" } },
    40 },
  { "this host and two others, one confirms", "h p q", { { CONFIRMS, 20, "q" } }, 20 },
  { "this host and two silent ones", "h p q", { { 0 } }, WAITS },
  { "four registrars, two confirm",
    "p q r s",
    { { CONFIRMS, 20, "p" }, { CONFIRMS, 40, "r" } },
    WAITS },
  { "four registrars, three confirm",
    "p q r s",
    { { CONFIRMS, 20, "p" }, { CONFIRMS, 40, "r" }, { CONFIRMS, 60, "s" } },
    60 },
  { "this host and three others, one confirms", "h p q r", { { CONFIRMS, 20, "q" } }, WAITS },
  { "this host and three others, two confirm",
    "h p q r",
    { { CONFIRMS, 20, "q" }, { CONFIRMS, 40, "r" } },
    40 },
  { "one that is no registrar confirms", "p", { { CONFIRMS, 20, "q" } }, WAITS },
  { "one of two is lost, the other one has confirmed",
    "p q",
    { { CONFIRMS, 20, "p" }, { REGISTRARS, 100, "p" } },
    100 },
  { "one of two is lost, which has confirmed",
    "p q",
    { { CONFIRMS, 20, "p" }, { REGISTRARS, 100, "q" } },
    WAITS },
  { "one of three is lost, one of the others has confirmed",
    "p q r",
    { { CONFIRMS, 20, "p" }, { REGISTRARS, 100, "p q" } },
    WAITS },
  { "one of this host and three others is lost",
    "h p q r",
    { { CONFIRMS, 20, "p" }, { REGISTRARS, 100, "h p q" } },
    100 },
  { "all are lost", "p q", { { CONFIRMS, 20, "p" }, { REGISTRARS, 100, "" } }, WAITS },
  { "one joins before the other one confirms",
    "p",
    { { REGISTRARS, 20, "p q" }, { CONFIRMS, 40, "p" } },
    WAITS },
  { "a confirmation that is late", "p", { { CONFIRMS, 500, "p" } }, 500 },
  { "one joins, both confirm",
    "p",
    { { REGISTRARS, 20, "p q" }, { CONFIRMS, 40, "p" }, { CONFIRMS, 60, "q" } },
    60 },
  { "another host has it", "p", { { NAMES_WAITING, 20, "g" }, { CONFIRMS, 20, "p" } }, WAITS },
  { "another host runs it", "p", { { NAMES_OPEN, 20, "g" }, { CONFIRMS, 20, "p" } }, WAITS },
  { "another host has it, and ends it",
    "p",
    { { NAMES_WAITING, 20, "g" }, { CONFIRMS, 20, "p" }, { TOLD_STOPPED, 200, "g" } },
    200 },
  { "the one has ended before a majority has confirmed",
    "p",
    { { NAMES_WAITING, 20, "g" }, { TOLD_STOPPED, 100, "g" }, { CONFIRMS, 200, "p" } },
    200 },
  { "of two others that have it, one ends it",
    "p",
    { { NAMES_WAITING, 20, "g" },
      { NAMES_WAITING, 20, "i" },
      { CONFIRMS, 20, "p" },
      { TOLD_STOPPED, 200, "g" } },
    WAITS },
  { "runs of another host end, a confirmation from before",
    "p",
    { { NAMES_STOPPED, 20, "g" }, { CONFIRMS, 20, "p" } },
    WAITS },
  { "runs of another host end, a new confirmation",
    "p",
    { { NAMES_STOPPED, 20, "g" }, { CONFIRMS, 20, "p" }, { CONFIRMS, 400, "p" } },
    400 },
  { "named after the first of two has confirmed",
    "p q",
    { { CONFIRMS, 20, "p" }, { NAMES_WAITING, 40, "g" }, { CONFIRMS, 40, "q" } },
    WAITS },
  { "named by one that confirms after the majority, this host runs it",
    "p q r",
    { { CONFIRMS, 20, "p" },
      { CONFIRMS, 40, "q" },
      { NAMES_WAITING, 60, "g" },
      { CONFIRMS, 60, "r" } },
    40 },
  { "this host is named", "p", { { NAMES_OPEN, 20, "h" }, { CONFIRMS, 20, "p" } }, 20 },
  { "one that is not heard has it",
    "p",
    { { NAMES_UNHEARD, 20, "g" }, { CONFIRMS, 20, "p" } },
    WAITS },
  { "one that is not heard has it, no run is left",
    "p",
    { { NAMES_UNHEARD, 20, "g" }, { CONFIRMS, 20, "p" }, { NO_RUN_LEFT, 200, "g" } },
    200 },
  { "one that is not heard has it, no run is left for another one",
    "p",
    { { NAMES_UNHEARD, 20, "g" }, { CONFIRMS, 20, "p" }, { NO_RUN_LEFT, 200, "i" } },
    WAITS },
  { "one that is not heard has it, no run is left, no registrar has confirmed",
    "p",
    { { NAMES_UNHEARD, 20, "g" }, { NO_RUN_LEFT, 200, "g" } },
    WAITS },
  { "one that is heard has it, no run is left",
    "p",
    { { NAMES_WAITING, 20, "g" }, { CONFIRMS, 20, "p" }, { NO_RUN_LEFT, 200, "g" } },
    WAITS },
  { "two are not heard, no run is left for one",
    "p",
    { { NAMES_UNHEARD, 20, "g" },
      { NAMES_UNHEARD, 20, "i" },
      { CONFIRMS, 20, "p" },
      { NO_RUN_LEFT, 200, "g" } },
    WAITS },
};

/* Returns when the job starts after its request; WAITS if it does not before its deadline. */
static int64_t
start_of (size_t row)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
  scheduler_t *scheduler = new_scheduler_of ("h", RESUBMIT_MS, RECEIVED_AT_MS, actions);
  int64_t starts_at_ms = WAITS;

  if (cases[row].registrars != NULL)
    set_registrars (scheduler, cases[row].registrars, actions);
  submit (scheduler, RECEIVED_AT_MS, actions);
  for (int64_t now_ms = RECEIVED_AT_MS; now_ms < DEADLINE_MS; now_ms += STEP_MS)
    {
      for (int i = 0; i < EVENTS_MAX; i++)
        if (cases[row].events[i].at_ms == now_ms - RECEIVED_AT_MS)
          play (scheduler, &cases[row].events[i], now_ms, actions);
      if (now_ms > RECEIVED_AT_MS)
        scheduler_step (scheduler, now_ms, actions);
      note_registration (actions);
      if (take_submits (actions) > 0 && starts_at_ms == WAITS)
        starts_at_ms = now_ms - RECEIVED_AT_MS;
    }
  scheduler_step (scheduler, DEADLINE_MS, actions);
  CU_ASSERT_TRUE (starts_at_ms != WAITS
                  || take_actions (actions, SCHEDULER_ANSWER, DEADLINE_MS, NULL) == 1);
  take_submits (actions);
  scheduler_free (scheduler);
  g_array_unref (actions);
  return starts_at_ms;
}

static void
test_start (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t starts_at_ms = start_of (i);
      CU_ASSERT_EQUAL (starts_at_ms, cases[i].starts_at_ms);
      if (starts_at_ms != cases[i].starts_at_ms)
        printf ("  %s: starts at %d instead of %d\n", cases[i].name, (int) starts_at_ms,
                (int) cases[i].starts_at_ms);
    }
}

/* --- what is sent --- */

#define LOGGED_MS 300

static const struct
{
  const char *name;
  const char *registrars;
  event_t events[EVENTS_MAX];
  scheduler_action_kind_t kind;
  const char *sent; /* of KIND, until LOGGED_MS */
} sent_cases[] = {
  { "again as long as nobody confirms",
    "p",
    { { 0 } },
    SCHEDULER_REGISTER,
    "p@0 p@50 p@100 p@150 p@200 p@250" },
  { "not to this host, not to one that has confirmed",
    "h p q r",
    { { CONFIRMS, 20, "q" } },
    SCHEDULER_REGISTER,
    "p@0 q@0 r@0 p@50 r@50 p@100 r@100 p@150 r@150 p@200 r@200 p@250 r@250" },
  { "not after the majority has confirmed",
    "p q r",
    { { CONFIRMS, 20, "q" }, { CONFIRMS, 60, "r" } },
    SCHEDULER_REGISTER,
    "p@0 q@0 r@0 p@50 r@50" },
  { "to one that joins, at once",
    "h",
    { { REGISTRARS, 20, "h p" }, { REGISTRARS, 30, "p h" }, { REGISTRARS, 40, "p q" } },
    SCHEDULER_REGISTER,
    "p@20 runs q@40 runs" },
  { "to one that joins again",
    "h p",
    { { CONFIRMS, 20, "p" }, { REGISTRARS, 30, "h" }, { REGISTRARS, 40, "h p" } },
    SCHEDULER_REGISTER,
    "p@0 p@40 runs" },
  { "to all every 200 ms while another host has it",
    "p q",
    { { NAMES_WAITING, 20, "g" }, { CONFIRMS, 20, "p" }, { CONFIRMS, 20, "q" } },
    SCHEDULER_REGISTER,
    "p@0 q@0 p@50 q@50 p@250 q@250" },
  { "it starts after it has waited for another host",
    "p",
    { { NAMES_WAITING, 20, "g" }, { CONFIRMS, 20, "p" }, { TOLD_STOPPED, 30, "g" } },
    SCHEDULER_REGISTER,
    "p@0 p@35 runs" },
  { "its owner is lost",
    "p",
    { { CONFIRMS, 20, "p" }, { OWNER_LOST, 100, "hy" } },
    SCHEDULER_REGISTER,
    "p@0 p@100" },
  { "its owner has lost this host",
    "p",
    { { CONFIRMS, 20, "p" }, { OWNER_DROPPED, 100, "" } },
    SCHEDULER_REGISTER,
    "p@0 p@100" },
  { "asks the host that is named",
    "p",
    { { NAMES_WAITING, 20, "g" }, { CONFIRMS, 20, "p" } },
    SCHEDULER_ASK,
    "g@20 g@220" },
  { "asks the host that is named, the majority is silent",
    "p q",
    { { NAMES_WAITING, 20, "g" }, { CONFIRMS, 20, "p" } },
    SCHEDULER_ASK,
    "g@20 g@220" },
  { "asks nobody whose runs just end",
    "p",
    { { NAMES_STOPPED, 20, "g" }, { CONFIRMS, 20, "p" } },
    SCHEDULER_ASK_OWNER,
    "" },
  { "asks the owner about one that is not heard",
    "p",
    { { NAMES_UNHEARD, 20, "g" }, { CONFIRMS, 20, "p" } },
    SCHEDULER_ASK_OWNER,
    "hx@20 hx@220" },
  { "asks no owner about one that is heard",
    "p",
    { { NAMES_WAITING, 20, "g" }, { CONFIRMS, 20, "p" } },
    SCHEDULER_ASK_OWNER,
    "" },
  { "a host that is named runs it too, with a greater name",
    "p",
    { { CONFIRMS, 20, "p" }, { NAMES_OPEN, 60, "i" } },
    SCHEDULER_CANCEL,
    "" },
  { "a host that is named runs it too, with a lesser name",
    "p",
    { { CONFIRMS, 20, "p" }, { NAMES_OPEN, 60, "g" } },
    SCHEDULER_CANCEL,
    "hx@60 hx@120 hx@180 hx@240" },
  { "a host that is named may run it, with a lesser name",
    "p",
    { { CONFIRMS, 20, "p" }, { NAMES_WAITING, 60, "g" } },
    SCHEDULER_CANCEL,
    "" },
  { "its tasks start anew, and a host of a greater name runs it",
    "p",
    { { CONFIRMS, 20, "p" }, { OWNER_DROPPED, 40, "" }, { NAMES_OPEN, 60, "i" } },
    SCHEDULER_CANCEL,
    "hx@60 hx@120 hx@180 hx@240" },
  { "its tasks start anew, and a host may run it",
    "p",
    { { CONFIRMS, 20, "p" }, { OWNER_DROPPED, 40, "" }, { NAMES_WAITING, 60, "i" } },
    SCHEDULER_CANCEL,
    "" },
};

static void
test_sent (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sent_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      scheduler_t *scheduler = new_scheduler_of ("h", RESUBMIT_MS, RECEIVED_AT_MS, actions);
      GString *log = g_string_new ("");
      set_registrars (scheduler, sent_cases[i].registrars, actions);
      submit (scheduler, RECEIVED_AT_MS, actions);
      for (int64_t now_ms = RECEIVED_AT_MS; now_ms < RECEIVED_AT_MS + LOGGED_MS; now_ms += STEP_MS)
        {
          for (int k = 0; k < EVENTS_MAX; k++)
            if (sent_cases[i].events[k].at_ms == now_ms - RECEIVED_AT_MS)
              play (scheduler, &sent_cases[i].events[k], now_ms, actions);
          if (now_ms > RECEIVED_AT_MS)
            scheduler_step (scheduler, now_ms, actions);
          take_actions (actions, sent_cases[i].kind, now_ms, log);
        }
      check_log (sent_cases[i].name, log, sent_cases[i].sent);
      g_string_free (log, TRUE);
      scheduler_free (scheduler);
      g_array_unref (actions);
    }
}

/* --- a registrar --- */

typedef enum
{
  NO_NEWS,
  REGISTERS,      /* HOST registers the job */
  REGISTERS_RUNS, /* it runs it */
  ENDS,           /* it tells that its runs have ended */
  ENDS_LATER,     /* they end 300 ms later */
  LOST,           /* HOST is lost */
  RESTARTED,      /* HOST was started again at this time */
  OWN_REQUEST     /* this host receives a request of the job, which nobody confirms */
} news_t;

#define NEWS_MAX 4

/* What "h" names to host "k", which registers the job 500 ms after the first news. */
static const struct
{
  const char *name;
  bool cold;
  struct
  {
    news_t what;
    int64_t at_ms;
    const char *host;
  } news[NEWS_MAX];
  const char *named; /* "host kind@until", times as above */
  bool confirms;
} registrar_cases[] = {
  { "nobody has it", false, { { 0 } }, "", true },
  { "it is cold", true, { { 0 } }, "", false },
  { "it is cold, and knows one that has it",
    true,
    { { REGISTERS, 100, "g" } },
    "g waiting@8000",
    false },
  { "another host has it", false, { { REGISTERS, 100, "g" } }, "g waiting@8000", true },
  { "another host runs it", false, { { REGISTERS_RUNS, 100, "g" } }, "g open@8000", true },
  { "one that ran it registers it anew",
    false,
    { { REGISTERS_RUNS, 100, "g" }, { REGISTERS, 200, "g" } },
    "g open@8000",
    true },
  { "two hosts have it",
    false,
    { { REGISTERS, 100, "g" }, { REGISTERS_RUNS, 100, "i" } },
    "i open@8000 g waiting@8000",
    true },
  { "the host itself", false, { { REGISTERS, 100, "k" } }, "", true },
  { "the other one has ended it",
    false,
    { { REGISTERS, 100, "g" }, { ENDS, 200, "g" } },
    "",
    true },
  { "runs of the other one end",
    false,
    { { REGISTERS, 100, "g" }, { ENDS_LATER, 400, "g" } },
    "g stopped@700",
    true },
  { "runs of the other one have ended",
    false,
    { { REGISTERS, 100, "g" }, { ENDS_LATER, 200, "g" } },
    "",
    true },
  { "runs of the other one end, and it has the job again",
    false,
    { { REGISTERS, 100, "g" }, { ENDS_LATER, 300, "g" }, { REGISTERS, 400, "g" } },
    "g waiting@8000",
    true },
  { "the other one is not heard",
    false,
    { { REGISTERS, 100, "g" }, { LOST, 200, "g" } },
    "g waiting@8000 unheard",
    true },
  { "the other one is not heard, it ran the job",
    false,
    { { REGISTERS_RUNS, 100, "g" }, { LOST, 200, "g" } },
    "g open@8000 unheard",
    true },
  { "the other one was not heard, and registers it again",
    false,
    { { REGISTERS, 100, "g" }, { LOST, 200, "g" }, { REGISTERS, 300, "g" } },
    "g waiting@8000",
    true },
  { "the other one was started again",
    false,
    { { REGISTERS, 100, "g" }, { LOST, 200, "g" }, { RESTARTED, 300, "g" } },
    "g stopped@1600 unheard",
    true },
  { "the registrar has it itself", false, { { OWN_REQUEST, 100, "" } }, "h waiting@6100", true },
  { "the registrar has it, and another one",
    false,
    { { OWN_REQUEST, 100, "" }, { REGISTERS, 200, "g" } },
    "h waiting@6100 g waiting@8000",
    true },
};

static void
play_news (scheduler_t *scheduler, news_t what, const char *host, int64_t now_ms, GArray *actions)
{
  const job_status_kind_t kind = what == REGISTERS_RUNS ? JOB_STATUS_OPEN : JOB_STATUS_WAITING;
  const job_status_t status = { ID, kind, RECEIVED_AT_MS + CALLER_WAIT_MS };
  GArray *claims = g_array_new (FALSE, FALSE, sizeof (job_claim_t));

  if (what == REGISTERS || what == REGISTERS_RUNS)
    scheduler_register (scheduler, host, &status, now_ms, claims);
  else if (what == ENDS)
    tell (scheduler, host, JOB_STATUS_STOPPED, now_ms, now_ms, actions);
  else if (what == ENDS_LATER)
    tell (scheduler, host, JOB_STATUS_STOPPED, now_ms + 300, now_ms, actions);
  else if (what == LOST)
    scheduler_host_lost (scheduler, host, now_ms, now_ms, actions);
  else if (what == RESTARTED)
    scheduler_host_restarted (scheduler, host, now_ms);
  else if (what == OWN_REQUEST)
    submit (scheduler, now_ms, actions);
  g_array_unref (claims);
}

static void
append_claim (GString *log, const job_claim_t *claim)
{
  static const char *const kinds[] = {
    [JOB_STATUS_OPEN] = "open", [JOB_STATUS_WAITING] = "waiting", [JOB_STATUS_STOPPED] = "stopped"
  };

  g_string_append_printf (log, "%s%s %s@%d%s", log->len > 0 ? " " : "", claim->host,
                          kinds[claim->kind], (int) (claim->until_ms - RECEIVED_AT_MS),
                          claim->unheard ? " unheard" : "");
}

static scheduler_t *
new_registrar (bool cold, GArray *actions)
{
  const scheduler_options_t options = { .host = "h",
                                        .data_centre = "z",
                                        .lease_ms = 1000,
                                        .remote_factor = 1.0,
                                        .resubmit_ms = RESUBMIT_MS,
                                        .started_at_ms = cold ? RECEIVED_AT_MS : 0,
                                        .cold_until_ms =
                                            cold ? RECEIVED_AT_MS + COLD_UNTIL_MS : 0 };
  scheduler_t *scheduler = scheduler_new (&options);

  set_registrars (scheduler, "h p q", actions);
  return scheduler;
}

static void
test_registrar (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (registrar_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      GArray *claims = g_array_new (FALSE, FALSE, sizeof (job_claim_t));
      scheduler_t *scheduler = new_registrar (registrar_cases[i].cold, actions);
      GString *log = g_string_new ("");
      const job_status_t status = { ID, JOB_STATUS_WAITING, DEADLINE_MS };
      for (int k = 0; k < NEWS_MAX; k++)
        play_news (scheduler, registrar_cases[i].news[k].what, registrar_cases[i].news[k].host,
                   RECEIVED_AT_MS + registrar_cases[i].news[k].at_ms, actions);
      bool confirms = scheduler_register (scheduler, "k", &status, RECEIVED_AT_MS + 500, claims);
      for (guint k = 0; k < claims->len; k++)
        append_claim (log, &g_array_index (claims, job_claim_t, k));
      check_log (registrar_cases[i].name, log, registrar_cases[i].named);
      CU_ASSERT_EQUAL (confirms, registrar_cases[i].confirms);
      /* It has recorded the host, and names it to the next one. */
      g_array_set_size (claims, 0);
      scheduler_register (scheduler, "l", &status, RECEIVED_AT_MS + 500, claims);
      g_string_truncate (log, 0);
      for (guint k = 0; k < claims->len; k++)
        if (g_str_equal (g_array_index (claims, job_claim_t, k).host, "k"))
          append_claim (log, &g_array_index (claims, job_claim_t, k));
      check_log (registrar_cases[i].name, log, "k waiting@8000");
      take_submits (actions);
      g_string_free (log, TRUE);
      scheduler_free (scheduler);
      g_array_unref (claims);
      g_array_unref (actions);
    }
}

/* Until a host has learned what runs, no job starts there, and none is registered again. */
static void
test_cold_start (void)
{
  static const struct
  {
    int64_t at_ms; /* a step after the request */
    int registrations;
  } steps[] = {
    { 50, 0 },
    { 400, 0 },
    { COLD_UNTIL_MS - 1, 0 },
    { COLD_UNTIL_MS, 2 },
    { COLD_UNTIL_MS + 50, 2 },
  };
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
  scheduler_t *scheduler = new_registrar (true, actions);

  (void) submit (scheduler, RECEIVED_AT_MS, actions);
  CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_REGISTER, RECEIVED_AT_MS, NULL), 2);
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      int64_t now_ms = RECEIVED_AT_MS + steps[i].at_ms;
      scheduler_step (scheduler, now_ms, actions);
      CU_ASSERT_EQUAL (take_actions (actions, SCHEDULER_REGISTER, now_ms, NULL),
                       steps[i].registrations);
    }
  scheduler_free (scheduler);
  g_array_unref (actions);
}

/* --- ends --- */

typedef enum
{
  NOT_ENDED,
  ABANDONED, /* its caller leaves */
  CANCELLED,
  COMPLETE_ELSEWHERE
} ended_t;

static const struct
{
  const char *name;
  const char *registrars;
  event_t event; /* before the end */
  bool announced;
  ended_t how;      /* 500 ms after the request */
  int64_t until_ms; /* after the request; WAITS: no end is collected */
} end_cases[] = {
  { "it goes on", "p", { CONFIRMS, 20, "p" }, false, NOT_ENDED, WAITS },
  { "its caller leaves before it has started", "p", { 0 }, false, ABANDONED, 500 },
  { "its caller leaves", "p", { CONFIRMS, 20, "p" }, false, ABANDONED, 500 + RESUBMIT_MS },
  { "it is cancelled", "p", { CONFIRMS, 20, "p" }, false, CANCELLED, -RECEIVED_AT_MS },
  { "its caller leaves while it waits for another host",
    "p",
    { NAMES_WAITING, 20, "g" },
    false,
    ABANDONED,
    500 },
  { "other hosts are told the end anyway", "p", { CONFIRMS, 20, "p" }, true, ABANDONED, WAITS },
  { "no registrars are set", NULL, { 0 }, false, ABANDONED, WAITS },
};

static void
end (scheduler_t *scheduler, ended_t how, uint64_t number, int64_t now_ms, GArray *actions)
{
  if (how == ABANDONED)
    scheduler_abandon (scheduler, number, now_ms, actions);
  else if (how == CANCELLED)
    scheduler_cancel (scheduler, ID, now_ms, actions);
}

static void
test_ends (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (end_cases); i++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      GArray *statuses = g_array_new (FALSE, FALSE, sizeof (job_status_t));
      scheduler_t *scheduler = new_scheduler_of ("h", RESUBMIT_MS, RECEIVED_AT_MS, actions);
      if (end_cases[i].registrars != NULL)
        set_registrars (scheduler, end_cases[i].registrars, actions);
      uint64_t number = submit (scheduler, RECEIVED_AT_MS, actions);
      note_registration (actions);
      play (scheduler, &end_cases[i].event, RECEIVED_AT_MS + 20, actions);
      scheduler_step (scheduler, RECEIVED_AT_MS + 25, actions);
      if (end_cases[i].announced)
        scheduler_collect_statuses (scheduler, RECEIVED_AT_MS + 450, statuses);
      g_array_set_size (statuses, 0);
      end (scheduler, end_cases[i].how, number, RECEIVED_AT_MS + 500, actions);
      scheduler_collect_registered_ends (scheduler, statuses);
      CU_ASSERT_EQUAL (statuses->len, end_cases[i].until_ms != WAITS);
      if (statuses->len == 1)
        {
          const job_status_t *status = &g_array_index (statuses, job_status_t, 0);
          CU_ASSERT_STRING_EQUAL (status->id, ID);
          CU_ASSERT_EQUAL (status->kind, JOB_STATUS_STOPPED);
          CU_ASSERT_EQUAL (status->until_ms, RECEIVED_AT_MS + end_cases[i].until_ms);
          if (status->until_ms != RECEIVED_AT_MS + end_cases[i].until_ms)
            printf ("  %s: until %d\n", end_cases[i].name,
                    (int) (status->until_ms - RECEIVED_AT_MS));
        }
      else if (end_cases[i].until_ms != WAITS)
        printf ("  %s: no end\n", end_cases[i].name);
      g_array_set_size (statuses, 0);
      scheduler_collect_registered_ends (scheduler, statuses);
      CU_ASSERT_EQUAL (statuses->len, 0);
      take_submits (actions);
      scheduler_free (scheduler);
      g_array_unref (statuses);
      g_array_unref (actions);
    }
}

/* The end of a request is not told to registrars after its job came again here: they would take it
 * for that of the later request. */
static void
test_end_of_earlier_request (void)
{
  for (int announced = 0; announced < 2; announced++)
    {
      GArray *actions = g_array_new (FALSE, FALSE, sizeof (scheduler_action_t));
      GArray *statuses = g_array_new (FALSE, FALSE, sizeof (job_status_t));
      scheduler_t *scheduler = new_scheduler_of ("h", RESUBMIT_MS, RECEIVED_AT_MS, actions);
      set_registrars (scheduler, "p", actions);
      uint64_t number = submit (scheduler, RECEIVED_AT_MS, actions);
      if (announced)
        scheduler_collect_statuses (scheduler, RECEIVED_AT_MS + 450, statuses);
      g_array_set_size (statuses, 0);
      scheduler_abandon (scheduler, number, RECEIVED_AT_MS + 460, actions);
      submit (scheduler, RECEIVED_AT_MS + 470, actions);
      scheduler_collect_registered_ends (scheduler, statuses);
      scheduler_collect_statuses (scheduler, RECEIVED_AT_MS + 480, statuses);
      CU_ASSERT_EQUAL (statuses->len, 0);
      if (statuses->len > 0)
        printf ("  %s: its end is told\n", announced ? "announced" : "not announced");
      take_submits (actions);
      scheduler_free (scheduler);
      g_array_unref (statuses);
      g_array_unref (actions);
    }
}

static const unit_test_t tests[] = {
  { "when a job starts", test_start },
  { "what is sent for a job", test_sent },
  { "what a registrar names and confirms", test_registrar },
  { "a cold start", test_cold_start },
  { "ends of jobs that registrars know", test_ends },
  { "the end of an earlier request", test_end_of_earlier_request },
};

int
main (void)
{
  return unit_run ("job_registry", tests, G_N_ELEMENTS (tests));
}
