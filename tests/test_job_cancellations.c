/* test_job_cancellations.c -- cancellations of jobs that were lost, or answered too early */
#include "scheduler/job_cancellations.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#define STEPS_MAX 6

typedef enum
{
  END,
  ASK,         /* HOSTS: those asked, separated by spaces; "": none, "hub": through a hub */
  ASK_FOUND,   /* likewise, and the job was ended here */
  NO,          /* HOSTS has confirmed that it doesn't have the job */
  YES,         /* HOSTS had it */
  NO_FOR_ALL,  /* likewise, for all hosts */
  YES_FOR_ALL, /* likewise */
  CONNECTED,
  TIME,
  FORGET /* the caller has left */
} event_kind_t;

/* Expected actions: "HOST" for what is sent, sorted and separated by spaces; "=found", "=none" and
 * "=unknown" for an answer; "!" for a cancellation that is given up. */
static const struct
{
  const char *name;
  struct
  {
    event_kind_t kind;
    int64_t at_ms;
    const char *hosts;
    const char *expected;
  } steps[STEPS_MAX];
} cases[] = {
  { "no other host", { { ASK, 0, "", "=none" }, { TIME, 1000, "", "" } } },
  { "the job was here, and may be elsewhere, too",
    { { ASK_FOUND, 0, "a", "=found a" }, { NO, 5, "a", "" }, { TIME, 500, "", "" } } },
  { "one host of two has it: answered at once, sent to the other until it confirms",
    { { ASK, 0, "a b", "a b" },
      { YES, 5, "b", "=found" },
      { TIME, 100, "", "a" },
      { NO, 110, "a", "" },
      { TIME, 1000, "", "" } } },
  { "no host has it: only when all have said so",
    { { ASK, 0, "a b", "a b" },
      { NO, 5, "a", "" },
      { NO, 6, "a", "" },
      { NO, 7, "b", "=none" },
      { TIME, 1000, "", "" } } },
  { "a lost message is sent again, at growing intervals",
    { { ASK, 0, "a", "a" },
      { TIME, 99, "", "" },
      { TIME, 100, "", "a" },
      { TIME, 200, "", "a" },
      { TIME, 399, "", "" },
      { TIME, 400, "", "a" } } },
  { "it is sent on a new connection at once",
    { { ASK, 0, "a b", "a b" },
      { NO, 5, "a", "" },
      { CONNECTED, 20, "b", "b" },
      { CONNECTED, 21, "a", "" },
      { YES, 30, "b", "=found" } } },
  { "the time of the caller is over: not \"none\", and sending goes on",
    { { ASK, 0, "a b", "a b" },
      { NO, 5, "a", "" },
      { TIME, 1500, "", "=unknown b" },
      { CONNECTED, 9000, "b", "b" },
      { YES, 9001, "b", "" },
      { TIME, 20000, "", "" } } },
  { "a host that joins later may have it",
    { { ASK, 0, "a", "a" },
      { CONNECTED, 10, "c", "c" },
      { NO, 20, "a", "" },
      { NO, 21, "c", "=none" } } },
  { "through a hub",
    { { ASK, 0, "hub", "hub" },
      { TIME, 100, "", "hub" },
      { CONNECTED, 110, "h", "hub" },
      { NO_FOR_ALL, 120, "h", "=none" },
      { TIME, 1000, "", "" } } },
  { "through a hub: what it says for itself is not enough",
    { { ASK, 0, "hub", "hub" }, { NO, 5, "h", "" }, { YES_FOR_ALL, 9, "h", "=found" } } },
  { "the caller has left: sending goes on",
    { { ASK, 0, "a", "a" },
      { FORGET, 5, "", "" },
      { TIME, 1500, "", "a" },
      { YES, 1510, "a", "" } } },
  { "asked twice: all hosts once more, and both are answered",
    { { ASK, 0, "a b", "a b" },
      { NO, 5, "a", "" },
      { ASK, 10, "a b", "a b" },
      { NO, 15, "b", "" },
      { NO, 16, "a", "=none =none" } } },
  { "kept for as long as a job may live",
    { { ASK, 0, "a", "a" },
      { TIME, 599999, "", "=unknown a" },
      { TIME, 600000, "", "!" },
      { CONNECTED, 600001, "a", "" } } },
};

/* Stands for the request of a caller. */
static int caller;

static gint
compare_texts (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

static char *
action_text (const job_cancellation_action_t *action)
{
  static const char *const results[] = {
    [JOB_CANCELLATION_FOUND] = "=found",
    [JOB_CANCELLATION_NOT_FOUND] = "=none",
    [JOB_CANCELLATION_UNCONFIRMED] = "=unknown",
  };

  if (action->kind == JOB_CANCELLATION_GIVEN_UP)
    return g_strdup ("!");
  if (action->kind == JOB_CANCELLATION_ANSWER)
    return g_strdup (results[action->result]);
  return g_strdup (action->host != NULL ? action->host : "hub");
}

static char *
actions_text (const GArray *actions)
{
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < actions->len; i++)
    g_ptr_array_add (texts, action_text (&g_array_index (actions, job_cancellation_action_t, i)));
  g_ptr_array_sort (texts, compare_texts);
  g_ptr_array_add (texts, NULL);
  char *text = g_strjoinv (" ", (char **) texts->pdata);
  g_ptr_array_unref (texts);
  return text;
}

static void
ask (job_cancellations_t *cancellations,
     const char *job,
     const char *hosts,
     bool found,
     int64_t now_ms,
     GArray *actions)
{
  GPtrArray *list = g_ptr_array_new ();
  char **names = g_strsplit (hosts, " ", -1);

  for (char **name = names; *name != NULL; name++)
    g_ptr_array_add (list, (void *) g_intern_string (*name));
  const job_cancellation_request_t request = { job, strcmp (hosts, "hub") == 0 ? NULL : list, found,
                                               &caller, now_ms + 1500 };
  job_cancellations_add (cancellations, &request, now_ms, actions);
  g_strfreev (names);
  g_ptr_array_unref (list);
}

static void
play (job_cancellations_t *cancellations,
      event_kind_t kind,
      int64_t at_ms,
      const char *hosts,
      GArray *actions)
{
  const char *host = g_intern_string (hosts);

  switch (kind)
    {
    case ASK:
    case ASK_FOUND:
      ask (cancellations, "j", hosts, kind == ASK_FOUND, at_ms, actions);
      break;
    case NO:
    case YES:
      job_cancellations_confirm (cancellations, "j", host, false, kind == YES, actions);
      break;
    case NO_FOR_ALL:
    case YES_FOR_ALL:
      job_cancellations_confirm (cancellations, "j", host, true, kind == YES_FOR_ALL, actions);
      break;
    case CONNECTED:
      job_cancellations_connected (cancellations, host, actions);
      break;
    case FORGET:
      job_cancellations_forget (cancellations, &caller);
      break;
    case TIME:
    case END:
    default:
      job_cancellations_step (cancellations, at_ms, actions);
      break;
    }
}

static void
test_cases (void)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (job_cancellation_action_t));

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      job_cancellations_t *cancellations = job_cancellations_new ();
      for (int k = 0; k < STEPS_MAX && cases[i].steps[k].kind != END; k++)
        {
          g_array_set_size (actions, 0);
          play (cancellations, cases[i].steps[k].kind, cases[i].steps[k].at_ms,
                cases[i].steps[k].hosts, actions);
          char *text = actions_text (actions);
          if (strcmp (text, cases[i].steps[k].expected) != 0)
            printf ("  %s, step %d: \"%s\"\n", cases[i].name, k, text);
          CU_ASSERT_STRING_EQUAL (text, cases[i].steps[k].expected);
          g_free (text);
        }
      job_cancellations_free (cancellations);
    }
  g_array_unref (actions);
}

/* The number of cancellations is bounded: the oldest is given up, and its caller is answered. */
static void
test_too_many (void)
{
  GArray *actions = g_array_new (FALSE, FALSE, sizeof (job_cancellation_action_t));
  job_cancellations_t *cancellations = job_cancellations_new ();

  for (int i = 0; i <= JOB_CANCELLATIONS_MAX; i++)
    {
      char *job = g_strdup_printf ("j%d", i);
      g_array_set_size (actions, 0);
      ask (cancellations, job, "a", false, i, actions);
      char *text = actions_text (actions);
      CU_ASSERT_STRING_EQUAL (text, i < JOB_CANCELLATIONS_MAX ? "a" : "! =unknown a");
      g_free (text);
      g_free (job);
    }
  g_array_set_size (actions, 0);
  job_cancellations_confirm (cancellations, "j0", g_intern_string ("a"), false, true, actions);
  CU_ASSERT_EQUAL (actions->len, 0);
  job_cancellations_free (cancellations);
  g_array_unref (actions);
}

/* A host that has ended a job says so again if its confirmation was lost. */
static void
test_ended (void)
{
  static const struct
  {
    const char *job;
    int64_t at_ms;
    bool expected;
  } rows[] = {
    { "j", 5, true },
    { "j0", 5, false }, /* too many others have ended since */
    { "k", 5, false },
    { "j", 6 + JOB_CANCELLATION_ENDED_MS, false },
  };
  job_cancellations_t *cancellations = job_cancellations_new ();

  for (int i = 0; i < JOB_CANCELLATIONS_MAX; i++)
    {
      char *job = g_strdup_printf ("j%d", i);
      job_cancellations_ended (cancellations, job, 4);
      g_free (job);
    }
  job_cancellations_ended (cancellations, "j", 5);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (job_cancellations_was_ended (cancellations, rows[i].job, rows[i].at_ms),
                     rows[i].expected);
  job_cancellations_free (cancellations);
}

static const unit_test_t tests[] = {
  { "a confirmation was lost", test_ended },
  { "what is sent and answered", test_cases },
  { "too many cancellations", test_too_many },
};

int
main (void)
{
  return unit_run ("cancellations of jobs", tests, G_N_ELEMENTS (tests));
}
