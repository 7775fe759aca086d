/* cases_kinds.c -- rows of the table of error kinds that other cases do not reach
 *
 * Each case causes one kind through the real path and compares status, kind
 * and run word with the table.
 */
#include "tests/system/cases.h"

#include "base/clock.h"
#include "base/error.h"

#include <string.h>

/* The least that the settings take; three threads are kept for refusals. */
#define FEW_THREADS "\"caller_threads\":4"
#define STATUS_OK 200
#define NO_KEPT_ANSWERS "\"kept_answers_bytes\":0"

/* Checks REPLY against the row of ERROR.  CONFIRMED as for job_answer_error (). */
static void
expect_row (rig_t *rig, const reply_t *reply, int error, bool confirmed)
{
  const error_row_t *row = error_row (error);
  bool not_run = row->execution == EXECUTION_NOT_RUN
                 || (row->execution == EXECUTION_NOT_RUN_IF_CONFIRMED && confirmed);

  rig_expect (rig,
              reply->error == 0 && reply->status == row->http_status
                  && strcmp (reply_string (reply, "kind"), row->name) == 0
                  && strcmp (reply_string (reply, "run"), not_run ? "not_run" : "may_have_run") == 0
                  && strcmp (reply_string (reply, "state"), row->state) == 0,
              "expected %s (%d), got %d %.200s", row->name, row->http_status, reply->status,
              reply->text != NULL ? reply->text : "nothing");
}

static void
run_overloaded (rig_t *rig)
{
  rig_host_t *host = rig_host (rig, 0, 0);
  submission_t *waiting = rig_submit (rig, host, job_simple ("waiting", 1, 1500));

  rig_wait_starts (rig, "waiting", 1);
  submission_t *refused = rig_submit (rig, host, job_simple ("refused", 1, 5));
  expect_row (rig, call_wait (refused->call), ERROR_OVERLOADED, false);
  rig_expect_complete (rig, waiting);
}

static void
run_answer_gone (rig_t *rig)
{
  submission_t *first = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("gone", 2, 5));

  rig_expect_complete (rig, first);
  for (int32_t n = 0; n < 3; n++)
    {
      submission_t *again = rig_submit (rig, rig_host (rig, 0, n), first->job);
      expect_row (rig, call_wait (again->call), ERROR_ANSWER_GONE, false);
    }
}

static void
run_claimant_lost (rig_t *rig)
{
  submission_t *first = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("lost", 1, 2000));

  rig_wait_starts (rig, "lost", 1);
  rig_kill_host (rig, rig_host (rig, 0, 0));
  submission_t *again = rig_submit (rig, rig_host (rig, 0, 1), first->job);
  expect_row (rig, call_wait (again->call), ERROR_CLAIMANT_LOST, false);
}

/* Waits until the view in force at HOST has one member. */
static bool
is_alone (void *data)
{
  json_object *status = rig_status (data);
  json_object *view = NULL;
  json_object *members = NULL;
  bool alone = json_object_object_get_ex (status, "view", &view)
               && json_object_object_get_ex (view, "members", &members)
               && json_object_array_length (members) == 1;

  json_object_put (status);
  return alone;
}

typedef struct
{
  rig_t *rig;
  int64_t issued_at_ms;
  int32_t tries;
} uncertain_t;

/* A fresh key, issued before the hosts were lost.  While the lost replicas are
 * still waited for, the answer is home_unreachable. */
static bool
is_uncertain (void *data)
{
  uncertain_t *uncertain = data;
  char *key = g_strdup_printf ("uncertain-%d", uncertain->tries++);
  job_t *job = job_simple (key, 1, 5);

  job->issued_at_ms = uncertain->issued_at_ms;
  submission_t *submission = rig_submit (uncertain->rig, rig_host (uncertain->rig, 0, 2), job);
  const reply_t *reply = call_wait (submission->call);
  bool reached = strcmp (reply_string (reply, "kind"), "key_uncertain") == 0;
  if (reached)
    expect_row (uncertain->rig, reply, ERROR_KEY_UNCERTAIN, false);
  else
    rig_expect (uncertain->rig, reply->status != STATUS_OK, "a key started that may have run");
  g_free (key);
  return reached;
}

static void
run_key_uncertain (rig_t *rig)
{
  uncertain_t uncertain = { .rig = rig, .issued_at_ms = clock_wall_ms () };

  rig_kill_host (rig, rig_host (rig, 0, 0));
  rig_kill_host (rig, rig_host (rig, 0, 1));
  rig_until (rig, "the view of one host", is_alone, rig_host (rig, 0, 2));
  rig_until (rig, "key_uncertain", is_uncertain, &uncertain);
}

static void
run_home_unreachable (rig_t *rig)
{
  job_t *job = job_simple ("away", 1, 5);

  rig_cut_data_centres (rig, 0, 1, true);
  job->home = g_strdup (rig_data_centre (0));
  submission_t *away = rig_submit (rig, rig_host (rig, 1, 0), job);
  expect_row (rig, call_wait (away->call), ERROR_HOME_UNREACHABLE, false);
  rig_cut_data_centres (rig, 0, 1, false);
}

static void
run_cancelled (rig_t *rig)
{
  submission_t *job = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("cancelled", 1, 1000));

  rig_wait_starts (rig, "cancelled", 1);
  expect_row (rig, call_wait (rig_cancel (rig, rig_host (rig, 0, 0), "cancelled")), ERROR_CANCELLED,
              false);
  expect_row (rig, call_wait (job->call), ERROR_CANCELLED, false);
}

static void
run_unknown_key (rig_t *rig)
{
  call_t *state = call_now (rig_host (rig, 0, 0)->caller, "GET", "/v1/jobs/nobody", NULL, NULL);

  expect_row (rig, call_wait (state), ERROR_UNKNOWN_KEY, true);
  call_free (state);
  expect_row (rig, call_wait (rig_cancel (rig, rig_host (rig, 0, 1), "nobody")), ERROR_UNKNOWN_KEY,
              true);
}

/* A key may have characters that mean something in a path. */
static void
run_odd_key (rig_t *rig)
{
  submission_t *job = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("a//../b%20?#~", 1, 5));

  rig_expect_complete (rig, job);
  for (int32_t n = 0; n < 3; n++)
    {
      call_t *state = call_now (rig_host (rig, 0, n)->caller, "GET",
                                "/v1/jobs/a%2F%2F..%2Fb%2520%3F%23~", NULL, NULL);
      rig_expect (rig, call_wait (state)->status == 200, "the job is not found by its key: %.200s",
                  call_wait (state)->text);
      call_free (state);
    }
}

static void
run_paths (rig_t *rig)
{
  static const struct
  {
    const char *method;
    const char *path;
    int error;
  } rows[] = {
    { "GET", "/v1/nothing", ERROR_NOT_FOUND },
    { "GET", "/v1/jobs", ERROR_METHOD_NOT_ALLOWED },
    { "POST", "/v1/jobs/k", ERROR_METHOD_NOT_ALLOWED },
    { "POST", "/livez", ERROR_METHOD_NOT_ALLOWED },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      call_t *call =
          call_now (rig_host (rig, 0, 0)->caller, rows[i].method, rows[i].path, NULL, NULL);
      expect_row (rig, call_wait (call), rows[i].error, false);
      call_free (call);
    }
}

/* A plan without any task at once: its jobs can never start. */
static void
run_plan_limit (rig_t *rig)
{
  submission_t *refused = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("no-room", 1, 5));
  const reply_t *reply = call_wait (refused->call);

  expect_row (rig, reply, ERROR_PLAN_LIMIT, true);
  rig_expect (rig, json_object_get_int64 (json_object_object_get (reply->json, "retry_at_ms")) > 0,
              "a refusal by a limit says when to come back");
}

/* The endpoint's tasks are known to take longer than the deadline allows. */
static void
run_deadline_unreachable (rig_t *rig)
{
  for (int32_t i = 0; i < 8; i++)
    {
      char *key = g_strdup_printf ("slow-%d", i);
      rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, 0), job_simple (key, 1, 400)));
      g_free (key);
    }
  job_t *job = job_simple ("tight", 1, 400);
  job->deadline_at_ms = job->issued_at_ms + 150;
  expect_row (rig, call_wait (rig_submit (rig, rig_host (rig, 0, 0), job)->call),
              ERROR_DEADLINE_UNREACHABLE, true);
}

static const case_t cases[] = {
  { "kind_overloaded",
    "all caller threads wait",
    "at the door",
    "the row of overloaded",
    { .settings = FEW_THREADS },
    run_overloaded },
  { "kind_answer_gone",
    "no room for kept answers",
    "resubmission after the answer",
    "the row of answer_gone",
    { .settings = NO_KEPT_ANSWERS },
    run_answer_gone },
  { "kind_claimant_lost",
    "kill -9 of the coordinator",
    "resubmission elsewhere",
    "the row of claimant_lost",
    { 0 },
    run_claimant_lost },
  { "kind_key_uncertain",
    "kill -9 of two hosts of three",
    "keys issued before, submitted after",
    "the row of key_uncertain; none of them starts",
    { 0 },
    run_key_uncertain },
  { "kind_home_unreachable",
    "two data centres are cut off",
    "a key of the other one",
    "the row of home_unreachable",
    { .data_centres = 2 },
    run_home_unreachable },
  { "kind_cancelled", "DELETE", "while a task runs", "the row of cancelled", { 0 }, run_cancelled },
  { "kind_unknown_key",
    "none",
    "GET and DELETE of a key that nobody submitted",
    "the row of unknown_key",
    { 0 },
    run_unknown_key },
  { "odd_key",
    "none",
    "GET of a key with slashes, dots and per cent signs",
    "the job's state",
    { 0 },
    run_odd_key },
  { "kind_paths",
    "wrong path or method",
    "at the door",
    "the rows of not_found and method",
    { 0 },
    run_paths },
  { "kind_plan_limit",
    "running_max is 0",
    "at the door",
    "the row of plan_limit",
    { .limits = "{\"limits\":{\"gold\":{\"running_max\":0}}}" },
    run_plan_limit },
  { "kind_deadline_unreachable",
    "a deadline shorter than the tasks",
    "at the door",
    "the row of deadline_unreachable",
    { .endpoints = 1 },
    run_deadline_unreachable },
};

const case_list_t cases_kinds = { cases, G_N_ELEMENTS (cases) };
