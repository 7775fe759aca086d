/* cases_endpoint.c -- endpoints that die, hang, cut, mix up or leave */
#include "tests/system/cases.h"
#include "tests/system/check.h"

#include "base/clock.h"

#include <signal.h>
#include <string.h>

#define JOBS 12
/* An endpoint that is leaving gets nothing new after this time. */
#define LEAVING_MS 3000

/* Faults that a task brings about itself, and how its job must end. */
static const struct
{
  const char *key;
  const char *directions;
  const char *kind;
} task_faults[] = {
  { "task-500", "\"status\":500", "task_failed" },
  { "task-503", "\"status\":503", "task_failed" },
  { "task-drop", "\"drop\":true", "task_failed" },
  { "task-wrong-id", "\"wrong_id\":true", "task_failed" },
};

/* One bad task among good ones fails the whole job, and only that job. */
static void
run_task_faults (rig_t *rig)
{
  submission_t *bad[G_N_ELEMENTS (task_faults)];
  submission_t *good = rig_submit (rig, rig_host (rig, 0, 1), job_simple ("bystander", 8, 50));
  for (size_t i = 0; i < G_N_ELEMENTS (task_faults); i++)
    {
      job_t *job = job_new (task_faults[i].key, 10000);
      job_add (job, 30, 200);
      job_add_fault (job, task_faults[i].directions);
      job_add (job, 30, 200);
      bad[i] = rig_submit (rig, rig_host (rig, 0, 0), job);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (task_faults); i++)
    rig_expect_kind (rig, bad[i], task_faults[i].kind, "may_have_run");
  rig_expect_complete (rig, good);
}

/* A task that never answers fails its job by the deadline; the caller is told
 * then, not later than the hang guard. */
static void
run_hang (rig_t *rig)
{
  job_t *job = job_new ("hang", 1500);
  job_add (job, 10, 200);
  job_add_fault (job, "\"hang\":true");
  submission_t *submission = rig_submit (rig, rig_host (rig, 0, 0), job);
  const reply_t *reply = call_wait (submission->call);
  rig_expect (rig, reply->error == 0 && reply->status != 200, "a hanging task's job: %d %d",
              reply->error, reply->status);
  rig_expect (rig, strcmp (reply_string (reply, "run"), "may_have_run") == 0,
              "a hanging task's job: %.200s", reply->text);
}

/* A job that may be repeated survives failures of its tasks at one endpoint;
 * one that may not fails, and starts each task at most once. */
static void
run_fail_all (rig_t *rig)
{
  submission_t *submissions[JOBS];
  rig_fault_endpoint (rig, rig_endpoint (rig, 0, 0), "{\"fail_all\":true}");
  for (int32_t i = 0; i < JOBS; i++)
    {
      char *key = g_strdup_printf ("fail-all-%d", i);
      job_t *job = job_simple (key, 4, 30);
      job->repeatable = i % 2 == 0;
      submissions[i] = rig_submit (rig, rig_host (rig, 0, i % 3), job);
      g_free (key);
    }
  for (int32_t i = 0; i < JOBS; i++)
    call_wait (submissions[i]->call);
}

/* An endpoint that fails everything looks fast.  Once it is known, jobs go elsewhere. */
static void
run_fail_all_ejected (rig_t *rig)
{
  rig_fault_endpoint (rig, rig_endpoint (rig, 0, 0), "{\"fail_all\":true}");
  int32_t complete = 0;
  for (int32_t i = 0; i < 200 && complete < JOBS; i++)
    {
      char *key = g_strdup_printf ("ejected-%d", i);
      submission_t *submission = rig_submit (rig, rig_host (rig, 0, 0), job_simple (key, 1, 5));
      complete = call_wait (submission->call)->status == 200 ? complete + 1 : 0;
      g_free (key);
    }
  rig_expect (rig, complete >= JOBS, "200 jobs did not get past an endpoint that fails everything");
}

static void
run_killed (rig_t *rig)
{
  submission_t *submissions[JOBS];
  for (int32_t i = 0; i < JOBS; i++)
    {
      char *key = g_strdup_printf ("killed-%d", i);
      submissions[i] = rig_submit (rig, rig_host (rig, 0, i % 3), job_simple (key, 4, 100));
      g_free (key);
    }
  rig_wait_starts (rig, NULL, 8);
  process_kill (rig_endpoint (rig, 0, 0)->process);
  for (int32_t i = 0; i < JOBS; i++)
    call_wait (submissions[i]->call);
}

/* A refused connect has started nothing, so the task goes to another endpoint. */
static void
run_refused (rig_t *rig)
{
  process_kill (rig_endpoint (rig, 0, 0)->process);
  submission_t *submissions[JOBS];
  for (int32_t i = 0; i < JOBS; i++)
    {
      char *key = g_strdup_printf ("refused-%d", i);
      submissions[i] = rig_submit (rig, rig_host (rig, 0, i % 3), job_simple (key, 4, 5));
      g_free (key);
    }
  for (int32_t i = 0; i < JOBS; i++)
    rig_expect_complete (rig, submissions[i]);
}

/* Answers that are held come in late and all at once: none may be crossed. */
static void
run_late_answers (rig_t *rig)
{
  submission_t *submissions[JOBS];
  for (int32_t n = 0; n < rig->options.endpoints; n++)
    rig_fault_endpoint (rig, rig_endpoint (rig, 0, n), "{\"freeze\":true}");
  for (int32_t i = 0; i < JOBS; i++)
    {
      char *key = g_strdup_printf ("late-%d", i);
      job_t *job = job_simple (key, 2, 5);
      /* Some give up before the answers come. */
      if (i % 3 == 0)
        job->deadline_at_ms = job->issued_at_ms + 700;
      submissions[i] = rig_submit (rig, rig_host (rig, 0, i % 3), job);
      g_free (key);
    }
  rig_wait_starts (rig, NULL, 1);
  for (int32_t i = 0; i < JOBS; i += 3)
    call_wait (submissions[i]->call);
  for (int32_t n = 0; n < rig->options.endpoints; n++)
    rig_fault_endpoint (rig, rig_endpoint (rig, 0, n), "{\"reset\":true}");
  for (int32_t i = 0; i < JOBS; i++)
    if (i % 3 != 0)
      rig_expect_complete (rig, submissions[i]);
}

static int32_t
count_at (rig_t *rig, const rig_endpoint_t *endpoint)
{
  call_t *call = call_now (endpoint->address, "GET", "/stats", NULL, NULL);
  json_object *count = NULL;
  json_object_object_get_ex (call_wait (call)->json, "count", &count);
  rig_expect (rig, count != NULL, "endpoint %s has no count", endpoint->id);
  int32_t result = json_object_get_int (count);
  call_free (call);
  return result;
}

typedef struct
{
  rig_t *rig;
  rig_endpoint_t *endpoint;
  int32_t jobs;
} worked_t;

/* Which endpoint a task goes to is the dispatcher's choice, so jobs are sent
 * until this one has had some. */
static bool
has_worked (void *data)
{
  worked_t *worked = data;
  char *key = g_strdup_printf ("before-%d", worked->jobs++);
  rig_expect_complete (
      worked->rig, rig_submit (worked->rig, rig_host (worked->rig, 0, 0), job_simple (key, 40, 5)));
  g_free (key);
  return count_at (worked->rig, worked->endpoint) > 0;
}

static void
run_leaving (rig_t *rig)
{
  rig_endpoint_t *endpoint = rig_endpoint (rig, 0, 0);
  worked_t worked = { rig, endpoint, 0 };
  rig_until (rig, "work at the endpoint before it leaves", has_worked, &worked);
  endpoint->state = "leaving";
  rig_push_hosts (rig);
  clock_sleep_ms (LEAVING_MS);
  int32_t before = count_at (rig, endpoint);
  for (int32_t n = 0; n < 3; n++)
    {
      char *key = g_strdup_printf ("leaving-%d", n);
      rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, n), job_simple (key, 30, 5)));
      g_free (key);
    }
  int32_t after = count_at (rig, endpoint);
  rig_expect (rig, after == before, "a leaving endpoint got %d tasks", after - before);
}

/* Work goes to an endpoint that joins, once the list shows it. */
static void
run_joining (rig_t *rig)
{
  rig_endpoint_t *endpoint = rig_endpoint (rig, 0, 1);
  endpoint->state = NULL;
  rig_push_hosts (rig);
  clock_sleep_ms (LEAVING_MS);
  endpoint->state = "live";
  rig_push_hosts (rig);
  for (int32_t i = 0; i < 100 && count_at (rig, endpoint) == 0; i++)
    {
      char *key = g_strdup_printf ("joining-%d", i);
      rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, 0), job_simple (key, 20, 20)));
      g_free (key);
    }
  rig_expect (rig, count_at (rig, endpoint) > 0, "100 jobs never reached the endpoint that joined");
}

static void
run_frozen (rig_t *rig)
{
  submission_t *submissions[JOBS];
  process_freeze (rig_endpoint (rig, 0, 0)->process);
  for (int32_t i = 0; i < JOBS; i++)
    {
      char *key = g_strdup_printf ("frozen-%d", i);
      job_t *job = job_simple (key, 2, 20);
      job->deadline_at_ms = job->issued_at_ms + 1500;
      submissions[i] = rig_submit (rig, rig_host (rig, 0, i % 3), job);
      g_free (key);
    }
  for (int32_t i = 0; i < JOBS; i++)
    call_wait (submissions[i]->call);
  process_thaw (rig_endpoint (rig, 0, 0)->process);
}

static const case_t cases[] = {
  { "task_faults",
    "5xx, cut answer, answer with another task's id",
    "one task of three",
    "that job fails whole, others are complete",
    { 0 },
    run_task_faults },
  { "task_hangs",
    "a task never answers",
    "until the deadline",
    "failed, may_have_run",
    { .hosts = 1 },
    run_hang },
  { "endpoint_fails_all",
    "an endpoint answers 500 at once",
    "from the start",
    "a task that may not be repeated starts once",
    { 0 },
    run_fail_all },
  { "endpoint_ejected",
    "an endpoint answers 500 at once",
    "for 200 jobs",
    "jobs soon go to the other endpoint only",
    { .hosts = 1 },
    run_fail_all_ejected },
  { "endpoint_killed",
    "kill -9 of an endpoint",
    "while its tasks run",
    "complete or failed, no second start",
    { 0 },
    run_killed },
  { "endpoint_refuses",
    "connections are refused",
    "before the tasks",
    "all jobs complete at the other endpoint",
    { 0 },
    run_refused },
  { "late_answers",
    "answers are held",
    "past some deadlines",
    "no answer is crossed",
    { 0 },
    run_late_answers },
  { "endpoint_frozen",
    "SIGSTOP of an endpoint",
    "before the tasks, past their deadline",
    "complete or failed, no second start",
    { 0 },
    run_frozen },
  { "endpoint_leaving",
    "an endpoint is leaving",
    "3 s after the list said so",
    "it gets nothing new",
    { 0 },
    run_leaving },
  { "endpoint_joining",
    "an endpoint joins",
    "once the list shows it",
    "it gets work",
    { 0 },
    run_joining },
};

const case_list_t cases_endpoint = { cases, G_N_ELEMENTS (cases) };
