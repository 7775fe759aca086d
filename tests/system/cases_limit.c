/* cases_limit.c -- limits hold over all hosts and data centres, under load and faults */
#include "tests/system/cases.h"
#include "tests/system/check.h"

#include "base/clock.h"

#include <string.h>

#define JOBS 18
#define RUNNING_MAX 6
#define TIGHT_LIMITS                                                                               \
  "{\"limits\":{\"gold\":{\"running_max\":6,\"weight\":1},\"silver\":{\"weight\":1}}}"
#define RATE_LIMITS                                                                                \
  "{\"limits\":{\"gold\":{\"starts_per_s_max\":40,\"weight\":1},\"silver\":{\"weight\":1}}}"
#define RATE_MAX 40

static void
submit_spread (rig_t *rig, const char *prefix, submission_t **submissions)
{
  int32_t total = (int32_t) rig->hosts->len;
  for (int32_t i = 0; i < JOBS; i++)
    {
      char *key = g_strdup_printf ("%s-%d", prefix, i);
      rig_host_t *host = g_ptr_array_index (rig->hosts, i % total);
      job_t *job = job_simple (key, 4, 40);
      job->home = g_strdup (host->data_centre);
      submissions[i] = rig_submit (rig, host, job);
      g_free (key);
    }
}

static void
expect_running (rig_t *rig)
{
  int32_t most = check_max_running (rig, "gold");
  rig_expect (rig, most <= RUNNING_MAX, "%d tasks of the plan ran at once, %d may", most,
              RUNNING_MAX);
  rig_expect (rig, most > 0, "nothing of the plan ran");
}

static void
run_running_max (rig_t *rig)
{
  submission_t *submissions[JOBS];
  submit_spread (rig, "running", submissions);
  for (int32_t i = 0; i < JOBS; i++)
    rig_expect_complete (rig, submissions[i]);
  expect_running (rig);
}

/* All demand at one host: it gets the idle parts of the others. */
static void
run_one_host (rig_t *rig)
{
  submission_t *submissions[JOBS];
  for (int32_t i = 0; i < JOBS; i++)
    {
      char *key = g_strdup_printf ("one-host-%d", i);
      submissions[i] = rig_submit (rig, rig_host (rig, 0, 0), job_simple (key, 4, 40));
      g_free (key);
    }
  for (int32_t i = 0; i < JOBS; i++)
    rig_expect_complete (rig, submissions[i]);
  expect_running (rig);
}

static void
run_holder_killed (rig_t *rig)
{
  submission_t *submissions[JOBS];
  submit_spread (rig, "holder", submissions);
  rig_wait_starts (rig, NULL, 3);
  rig_kill_host (rig, rig_host (rig, 0, 0));
  for (int32_t i = 0; i < JOBS; i++)
    if (submissions[i]->host != rig_host (rig, 0, 0))
      rig_expect_complete (rig, submissions[i]);
  expect_running (rig);
}

static void
run_holder_frozen (rig_t *rig)
{
  submission_t *submissions[JOBS];
  submit_spread (rig, "holder", submissions);
  rig_wait_starts (rig, NULL, 3);
  process_freeze (rig_host (rig, 0, 0)->process);
  clock_sleep_ms (3000);
  process_thaw (rig_host (rig, 0, 0)->process);
  for (int32_t i = 0; i < JOBS; i++)
    call_wait (submissions[i]->call);
  expect_running (rig);
}

static void
run_limit_cut (rig_t *rig)
{
  submission_t *submissions[JOBS];
  rig_cut_data_centres (rig, 0, 1, true);
  rig_cut_data_centres (rig, 0, 2, true);
  submit_spread (rig, "limit-cut", submissions);
  for (int32_t i = 0; i < JOBS; i++)
    call_wait (submissions[i]->call);
  rig_cut_data_centres (rig, 0, 1, false);
  rig_cut_data_centres (rig, 0, 2, false);
  expect_running (rig);
}

static void
run_rate (rig_t *rig)
{
  submission_t *submissions[JOBS];
  for (int32_t i = 0; i < JOBS; i++)
    {
      char *key = g_strdup_printf ("rate-%d", i);
      submissions[i] = rig_submit (rig, rig_host (rig, 0, i % 3), job_simple (key, 6, 5));
      g_free (key);
    }
  for (int32_t i = 0; i < JOBS; i++)
    rig_expect_complete (rig, submissions[i]);
  int32_t most = check_max_starts_per_s (rig, "gold");
  rig_expect (rig, most <= RATE_MAX, "%d tasks of the plan started in a second, %d may", most,
              RATE_MAX);
}

/* Lowered while in use: in force everywhere within seconds. */
static void
run_lowered (rig_t *rig)
{
  submission_t *submissions[JOBS];
  submit_spread (rig, "before-lower", submissions);
  for (int32_t i = 0; i < JOBS; i++)
    rig_expect_complete (rig, submissions[i]);
  int status = rig_publish (rig, NULL, TIGHT_LIMITS, NULL);
  rig_expect (rig, status == 0, "publish ended with %d", status);
  clock_sleep_ms (8000);
  for (int32_t n = 0; n < rig->options.endpoints; n++)
    {
      rig_endpoint_t *endpoint = rig_endpoint (rig, 0, n);
      rig_fault_endpoint (rig, endpoint, "{\"forget\":true}");
    }
  submit_spread (rig, "after-lower", submissions);
  for (int32_t i = 0; i < JOBS; i++)
    rig_expect_complete (rig, submissions[i]);
  expect_running (rig);
}

static void
expect_no_slot_over (rig_t *rig)
{
  for (int32_t n = 0; n < rig->options.endpoints; n++)
    {
      rig_endpoint_t *endpoint = rig_endpoint (rig, 0, n);
      call_t *call = call_now (endpoint->address, "GET", "/stats", NULL, NULL);
      json_object *over = NULL;
      json_object_object_get_ex (call_wait (call)->json, "over_slots", &over);
      rig_expect (rig, over != NULL && json_object_get_int (over) == 0,
                  "endpoint %s got %d tasks with all slots taken", endpoint->id,
                  json_object_get_int (over));
      call_free (call);
    }
}

/* Slots of endpoints are shared by all hosts of the data centre. */
static void
run_slots (rig_t *rig)
{
  submission_t *submissions[JOBS];
  submit_spread (rig, "slots", submissions);
  for (int32_t i = 0; i < JOBS; i++)
    rig_expect_complete (rig, submissions[i]);
  expect_no_slot_over (rig);
}

/* A connection that breaks says nothing of the task, which may run on: its slot
 * stays taken until its deadline. */
static void
run_cut_runs_on (rig_t *rig)
{
  job_t *broken = job_new ("broken", 3000);
  for (int32_t i = 0; i < 2; i++)
    job_add_fault (broken, "\"bad_head\":true,\"ms\":2500");
  rig_expect_kind (rig, rig_submit (rig, rig_host (rig, 0, 0), broken), "task_failed",
                   "may_have_run");
  for (int32_t n = 0; n < 3; n++)
    {
      char *key = g_strdup_printf ("behind-%d", n);
      rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, n), job_simple (key, 2, 5)));
      g_free (key);
    }
  expect_no_slot_over (rig);
}

/* A plan with a long queue does not stop another one. */
static void
run_other_plan (rig_t *rig)
{
  submission_t *submissions[JOBS];
  submit_spread (rig, "flood", submissions);
  job_t *job = job_simple ("other-plan", 4, 10);
  g_free (job->customer);
  job->customer = g_strdup ("compost");
  rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, 1), job));
  for (int32_t i = 0; i < JOBS; i++)
    rig_expect_complete (rig, submissions[i]);
}

static const case_t cases[] = {
  { "running_max",
    "none",
    "load at three hosts",
    "the plan's running tasks stay in the limit",
    { .limits = TIGHT_LIMITS },
    run_running_max },
  { "running_max_one_host",
    "none",
    "load at one host of three",
    "the plan's running tasks stay in the limit, all jobs complete",
    { .limits = TIGHT_LIMITS },
    run_one_host },
  { "running_max_centres",
    "none",
    "load at three data centres",
    "the plan's running tasks stay in the limit",
    { .data_centres = 3, .hosts = 2, .endpoints = 1, .limits = TIGHT_LIMITS },
    run_running_max },
  { "holder_killed",
    "kill -9 of a host that holds a share",
    "under load",
    "the plan's running tasks stay in the limit, others complete",
    { .limits = TIGHT_LIMITS },
    run_holder_killed },
  { "holder_frozen",
    "SIGSTOP, SIGCONT of a host that holds a share",
    "under load, for 3 s",
    "the plan's running tasks stay in the limit",
    { .limits = TIGHT_LIMITS },
    run_holder_frozen },
  { "limit_cut",
    "one data centre of three is cut off",
    "under load",
    "the plan's running tasks stay in the limit",
    { .data_centres = 3, .hosts = 2, .endpoints = 1, .limits = TIGHT_LIMITS },
    run_limit_cut },
  { "starts_per_s_max",
    "none",
    "load at three hosts",
    "the plan's starts a second stay in the limit",
    { .limits = RATE_LIMITS },
    run_rate },
  { "limit_lowered",
    "a limit is lowered",
    "between loads",
    "in force within 8 s",
    { 0 },
    run_lowered },
  { "endpoint_slots",
    "none",
    "load at three hosts",
    "no endpoint gets more tasks than slots",
    { .slots = 3 },
    run_slots },
  { "cut_runs_on",
    "an answer that cannot be accepted breaks the connection",
    "while the task runs on at the endpoint",
    "no endpoint gets more tasks than slots",
    { .endpoints = 1, .slots = 2 },
    run_cut_runs_on },
  { "other_plan",
    "one plan floods",
    "another plan submits",
    "both complete",
    { .slots = 2 },
    run_other_plan },
};

const case_list_t cases_limit = { cases, G_N_ELEMENTS (cases) };
