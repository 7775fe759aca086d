/* cases_publish.c -- operators that publish at once, and a platform that loses their answers
 *
 * Each operator gives customer "prize" a plan of its own, so that the plan with
 * which a task reaches an endpoint tells whose list is in force at a host.
 */
#include "tests/system/cases.h"
#include "tests/system/check.h"

#include "base/clock.h"

#include <stdio.h>
#include <string.h>

#define OPERATORS_MAX 20
#define WATCH_MS 20

/* Exit statuses of `jaytrail publish`. */
enum
{
  ACCEPTED = 0,
  NOTHING_PUBLISHED = 1,
  BAD_FILE = 2,
  LOST_RACE = 3,
  UNKNOWN = 4
};

typedef struct
{
  rig_t *rig;
  int32_t number;
  int status;
  char *output;
  int64_t revision; /* if accepted */
  GThread *thread;
} operator_t;

static char *
prize_plans (int32_t number)
{
  return g_strdup_printf (
      "{\"plans\":{\"lantern\":\"gold\",\"compost\":\"silver\",\"prize\":\"plan-%d\"}}", number);
}

static gpointer
operate (gpointer data)
{
  operator_t *operator= data;
  char *plans = prize_plans (operator->number);
  operator->status = rig_publish (operator->rig, plans, NULL, &operator->output);
  g_free (plans);
  return NULL;
}

static void
expect_output (rig_t *rig, operator_t *operator)
{
  long long revision = -1;
  bool accepted = sscanf (operator->output, "accepted %lld", &revision) == 1;
  rig_expect (rig, accepted == (operator->status == ACCEPTED),
              "exit status %d, but it printed: %s", operator->status, operator->output);
  operator->revision = revision;
}

/* All operators publish at the same moment. */
static void
publish_at_once (rig_t *rig, operator_t *operators, int32_t count)
{
  for (int32_t i = 0; i < count; i++)
    {
      operators[i] = (operator_t){ .rig = rig, .number = i };
      operators[i].thread = g_thread_new ("operator", operate, &operators[i]);
    }
  for (int32_t i = 0; i < count; i++)
    {
      g_thread_join (operators[i].thread);
      expect_output (rig, &operators[i]);
    }
}

static int64_t
revision_of (const rig_host_t *host)
{
  json_object *status = rig_status ((rig_host_t *) host);
  json_object *revision = NULL;
  json_object_object_get_ex (status, "revision", &revision);
  int64_t result = revision != NULL ? json_object_get_int64 (revision) : -1;
  json_object_put (status);
  return result;
}

/* Follows the revisions of all hosts: none may ever go back. */
typedef struct
{
  rig_t *rig;
  gint stop;
  int32_t went_back;
  GThread *thread;
} watchdog_entry_t;

static gpointer
watch_run (gpointer data)
{
  watchdog_entry_t *watch = data;
  guint count = watch->rig->hosts->len;
  int64_t *seen = g_new0 (int64_t, count);
  while (!g_atomic_int_get (&watch->stop))
    {
      for (guint i = 0; i < count; i++)
        {
          int64_t revision = revision_of (g_ptr_array_index (watch->rig->hosts, i));
          if (revision >= 0 && revision < seen[i])
            watch->went_back++;
          seen[i] = MAX (seen[i], revision);
        }
      clock_sleep_ms (WATCH_MS);
    }
  g_free (seen);
  return NULL;
}

static void
watch_start (watchdog_entry_t *watch, rig_t *rig)
{
  *watch = (watchdog_entry_t){ .rig = rig };
  watch->thread = g_thread_new ("watch", watch_run, watch);
}

static void
watch_stop (watchdog_entry_t *watch)
{
  g_atomic_int_set (&watch->stop, 1);
  g_thread_join (watch->thread);
  rig_expect (watch->rig, watch->went_back == 0, "a host's configuration went back %d times",
              watch->went_back);
}

typedef struct
{
  rig_t *rig;
  int64_t revision;
} reached_t;

static bool
all_reached (void *data)
{
  const reached_t *reached = data;
  for (guint i = 0; i < reached->rig->hosts->len; i++)
    if (revision_of (g_ptr_array_index (reached->rig->hosts, i)) < reached->revision)
      return false;
  return true;
}

/* The number of the operator whose list is in force at HOST, or -1. */
static int32_t
in_force_at (rig_t *rig, rig_host_t *host)
{
  static int32_t probe;
  char *key = g_strdup_printf ("prize-%d", probe++);
  job_t *job = job_simple (key, 1, 1);
  g_free (job->customer);
  job->customer = g_strdup ("prize");
  int32_t number = -1;
  const reply_t *reply = call_wait (rig_submit (rig, host, job)->call);
  char *plan = check_plan_of (rig, key);
  if (reply->status == 200 && plan != NULL)
    sscanf (plan, "plan-%d", &number);
  g_free (plan);
  g_free (key);
  return number;
}

/* All hosts must agree; a list that its operator was told has lost is not in force. */
static void
expect_agreement (rig_t *rig, operator_t *operators, int32_t count)
{
  const operator_t *last = NULL;
  for (int32_t i = 0; i < count; i++)
    if (operators[i].status == ACCEPTED && (last == NULL || operators[i].revision > last->revision))
      last = &operators[i];
  reached_t reached = { rig, last != NULL ? last->revision : 0 };
  rig_until (rig, "the accepted revision at every host", all_reached, &reached);
  int32_t first = in_force_at (rig, rig_host (rig, 0, 0));
  for (guint i = 1; i < rig->hosts->len; i++)
    {
      rig_host_t *host = g_ptr_array_index (rig->hosts, i);
      int32_t other = in_force_at (rig, host);
      rig_expect (rig, other == first, "list %d is in force at %s, list %d at the first host",
                  other, host->id, first);
    }
  if (first < 0)
    rig_expect (rig, last == NULL, "list %d was accepted, but none is in force",
                last != NULL ? last->number : 0);
  else
    rig_expect (rig, operators[first].status != LOST_RACE,
                "list %d is in force, but its operator was told that it lost", first);
  if (last != NULL && first >= 0)
    rig_expect (rig, first == last->number || operators[first].status == UNKNOWN,
                "list %d is in force, list %d was accepted last", first, last->number);
}

static void
race (rig_t *rig, int32_t count, bool certain)
{
  operator_t operators[OPERATORS_MAX];
  watchdog_entry_t watch;
  int32_t accepted = 0;
  watch_start (&watch, rig);
  publish_at_once (rig, operators, count);
  for (int32_t i = 0; i < count; i++)
    {
      int status = operators[i].status;
      accepted += status == ACCEPTED ? 1 : 0;
      rig_expect (rig, !certain || status == ACCEPTED || status == LOST_RACE,
                  "operator %d ended with %d: %s", i, status, operators[i].output);
    }
  rig_expect (rig, !certain || accepted > 0, "nobody's list was accepted");
  rig_fault_platform (rig, "{\"reset\":true}");
  expect_agreement (rig, operators, count);
  watch_stop (&watch);
  for (int32_t i = 0; i < count; i++)
    g_free (operators[i].output);
}

static void
run_two (rig_t *rig)
{
  race (rig, 2, true);
}

static void
run_twenty (rig_t *rig)
{
  race (rig, OPERATORS_MAX, true);
}

static void
run_lost_answers (rig_t *rig)
{
  rig_fault_platform (rig, "{\"lose_answers\":true}");
  race (rig, 4, false);
}

static void
run_some_lost (rig_t *rig)
{
  rig_fault_platform (rig, "{\"lose_answers\":0.5,\"delay_ms\":20}");
  race (rig, 6, false);
}

static void
run_outage (rig_t *rig)
{
  int64_t before = revision_of (rig_host (rig, 0, 0));
  char *plans = prize_plans (0);
  char *output = NULL;
  rig_fault_platform (rig, "{\"outage\":true}");
  int status = rig_publish (rig, plans, NULL, &output);
  rig_expect (rig, status == NOTHING_PUBLISHED || status == UNKNOWN,
              "publish in an outage ended with %d: %s", status, output);
  rig_expect (rig, strstr (output, "accepted") == NULL, "publish in an outage printed: %s", output);
  rig_fault_platform (rig, "{\"reset\":true}");
  rig_expect (rig, revision_of (rig_host (rig, 0, 0)) >= before, "the revision went back");
  g_free (output);
  g_free (plans);
}

static const struct
{
  const char *plans;
  const char *limits;
} bad_lists[] = {
  { "{\"plans\":", NULL },
  { "[]", NULL },
  { "{\"plans\":{\"a\":1}}", NULL },
  { "{\"plans\":{\"a\":\"\"}}", NULL },
  { "{\"plan\":{}}", NULL },
  { NULL, "{\"limits\":{\"gold\":{\"running_max\":-1}}}" },
  { NULL, "{\"limits\":{\"gold\":{\"running_max\":1.5}}}" },
  { NULL, "{\"limits\":{\"gold\":{\"running_max\":\"64\"}}}" },
  { NULL, "{\"limits\":{\"gold\":{\"runing_max\":64}}}" },
  { NULL, "{\"limits\":{\"gold\":{\"weight\":0}}}" },
  { NULL, "{\"limits\":{\"gold\":7}}" },
};

static void
run_bad_lists (rig_t *rig)
{
  int64_t before = revision_of (rig_host (rig, 0, 0));
  for (size_t i = 0; i < G_N_ELEMENTS (bad_lists); i++)
    {
      char *output = NULL;
      int status = rig_publish (rig, bad_lists[i].plans, bad_lists[i].limits, &output);
      rig_expect (rig, status == BAD_FILE, "bad list %zu: publish ended with %d: %s", i, status,
                  output);
      g_free (output);
    }
  rig_expect (rig, revision_of (rig_host (rig, 0, 0)) == before, "a bad list changed something");
}

static void
run_unchanged (rig_t *rig)
{
  char *plans = prize_plans (0);
  char *first = NULL;
  char *second = NULL;
  rig_expect (rig, rig_publish (rig, plans, NULL, &first) == ACCEPTED, "publish: %s", first);
  rig_expect (rig, rig_publish (rig, plans, NULL, &second) == ACCEPTED, "publish again: %s",
              second);
  rig_expect (rig, g_strcmp0 (first, second) == 0, "an unchanged list made a new revision: %s",
              second);
  g_free (first);
  g_free (second);
  g_free (plans);
}

typedef struct
{
  rig_t *rig;
  const char *kind; /* "" for a whole answer */
  int32_t host;
} served_t;

static bool
answers_prize (void *data)
{
  static int32_t number;
  const served_t *served = data;
  char *key = g_strdup_printf ("answers-%d", number++);
  job_t *job = job_simple (key, 1, 1);
  g_free (job->customer);
  job->customer = g_strdup ("prize");
  const reply_t *reply =
      call_wait (rig_submit (served->rig, rig_host (served->rig, 0, served->host), job)->call);
  g_free (key);
  return strcmp (reply_string (reply, "kind"), served->kind) == 0;
}

/* A customer comes and goes with the list. */
static void
run_removed (rig_t *rig)
{
  static const char *const without = "{\"plans\":{\"lantern\":\"gold\",\"compost\":\"silver\"}}";
  char *with = prize_plans (0);
  rig_expect (rig, rig_publish (rig, with, NULL, NULL) == ACCEPTED, "publish failed");
  for (int32_t n = 0; n < 3; n++)
    {
      served_t served = { rig, "", n };
      rig_until (rig, "service of the new customer", answers_prize, &served);
    }
  rig_expect (rig, rig_publish (rig, without, NULL, NULL) == ACCEPTED, "publish failed");
  for (int32_t n = 0; n < 3; n++)
    {
      served_t served = { rig, "unknown_customer", n };
      rig_until (rig, "refusal of the customer that is gone", answers_prize, &served);
    }
  g_free (with);
}

static const case_t cases[] = {
  { "publish_two",
    "two operators publish the same entry",
    "at the same moment",
    "hosts agree on the last accepted list, nothing reverts",
    { 0 },
    run_two },
  { "publish_twenty",
    "twenty operators publish the same entry",
    "at the same moment",
    "hosts agree on the last accepted list, nothing reverts",
    { 0 },
    run_twenty },
  { "publish_lost_answers",
    "the platform loses all answers",
    "four operators publish",
    "nobody is told a lie, hosts agree",
    { 0 },
    run_lost_answers },
  { "publish_some_lost",
    "the platform is slow and loses half the answers",
    "six operators publish",
    "nobody is told a lie, hosts agree",
    { 0 },
    run_some_lost },
  { "publish_outage",
    "platform down",
    "an operator publishes",
    "not called accepted, nothing reverts",
    { 0 },
    run_outage },
  { "bad_lists",
    "lists with faults",
    "an operator publishes",
    "exit 2, nothing changes",
    { 0 },
    run_bad_lists },
  { "unchanged_list",
    "none",
    "the same list again",
    "no new revision",
    { .hosts = 1 },
    run_unchanged },
  { "customer_removed",
    "none",
    "a customer is added and removed",
    "in force at every host",
    { 0 },
    run_removed },
};

const case_list_t cases_publish = { cases, G_N_ELEMENTS (cases) };
