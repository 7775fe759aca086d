/* cases_basic.c -- whole answers without faults */
#include "tests/system/cases.h"
#include "tests/system/check.h"

#include <string.h>

#define MANY_JOBS 30
#define LARGE_BODY_BYTES 100000

static void
run_one_task (rig_t *rig)
{
  for (int32_t n = 0; n < rig->options.hosts; n++)
    {
      char *key = g_strdup_printf ("one-%d", n);
      rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, n), job_simple (key, 1, 20)));
      g_free (key);
    }
}

static void
run_most_tasks (rig_t *rig)
{
  submission_t *submission = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("most", 510, 5));
  rig_expect_complete (rig, submission);
}

/* Bodies that a codec could damage. */
static const struct
{
  const char *bytes;
  gsize size_bytes;
} bodies[] = {
  { "", 0 },
  { " ", 1 },
  { "\r\n\r\n", 4 },
  { "a\0b", 3 },
  { "quotes \" and \\ and / and \t", 26 },
  { "\xe5\xae\xb6\xe4\xba\x8b\xe6\xb3\x95\xe5\xba\xad", 12 },
  { "\xf0\x9f\x8c\xb1", 4 },
  { "0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", 24 },
};

static void
run_bodies (rig_t *rig)
{
  job_t *job = job_new ("bodies", 30000);
  char *large = g_malloc (LARGE_BODY_BYTES);
  memset (large, 'x', LARGE_BODY_BYTES);
  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    job_add_echo (job, bodies[i].bytes, bodies[i].size_bytes);
  job_add_echo (job, large, LARGE_BODY_BYTES);
  g_free (large);
  rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, 0), job));
}

/* Results come in the job's order whatever the order of ends; a 4xx is a result. */
static void
run_order (rig_t *rig)
{
  static const int32_t statuses[] = { 200, 201, 400, 404, 409, 422, 499, 202, 200, 200 };
  job_t *job = job_new ("order", 30000);
  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    job_add (job, (int64_t) (G_N_ELEMENTS (statuses) - i) * 15, statuses[i]);
  rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, 0), job));
}

static void
run_many (rig_t *rig)
{
  submission_t *submissions[MANY_JOBS];
  for (int32_t i = 0; i < MANY_JOBS; i++)
    {
      char *key = g_strdup_printf ("many-%d", i);
      submissions[i] =
          rig_submit (rig, rig_host (rig, 0, i % rig->options.hosts), job_simple (key, 10, 10));
      g_free (key);
    }
  for (int32_t i = 0; i < MANY_JOBS; i++)
    rig_expect_complete (rig, submissions[i]);
}

static void
run_other_data_centre (rig_t *rig)
{
  for (int32_t dc = 0; dc < rig->options.data_centres; dc++)
    for (int32_t home = 0; home < rig->options.data_centres; home++)
      {
        char *key = g_strdup_printf ("home-%d-%d", dc, home);
        job_t *job = job_simple (key, 3, 10);
        job->home = g_strdup (rig_data_centre (home));
        rig_expect_complete (rig, rig_submit (rig, rig_host (rig, dc, 0), job));
        g_free (key);
      }
}

/* Paths of both listeners and what they answer. */
static const struct
{
  bool admin;
  const char *method;
  const char *path;
  int32_t status;
} paths[] = {
  { false, "GET", "/livez", 200 },
  { false, "GET", "/readyz", 200 },
  { true, "GET", "/livez", 200 },
  { true, "GET", "/readyz", 200 },
  { true, "GET", "/metrics", 200 },
  { true, "GET", "/v1/status", 200 },
  { false, "GET", "/v1/jobs/never-seen", 404 },
  { false, "DELETE", "/v1/jobs/never-seen", 404 },
  { false, "GET", "/v1/nothing", 404 },
  { true, "GET", "/v1/nothing", 404 },
  { false, "PUT", "/v1/jobs", 405 },
  { false, "GET", "/v1/jobs", 405 },
};

static void
run_paths (rig_t *rig)
{
  const rig_host_t *host = rig_host (rig, 0, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      int32_t status = call_status (paths[i].admin ? host->admin : host->caller, paths[i].method,
                                    paths[i].path, NULL);
      rig_expect (rig, status == paths[i].status, "%s %s gave %d, not %d", paths[i].method,
                  paths[i].path, status, paths[i].status);
    }
}

static void
run_job_state (rig_t *rig)
{
  static const char *const path = "/v1/jobs/state";
  rig_host_t *host = rig_host (rig, 0, 0);
  submission_t *submission = rig_submit (rig, host, job_simple ("state", 2, 300));
  rig_wait_starts (rig, "state", 1);
  call_t *during = call_now (host->caller, "GET", path, NULL, NULL);
  rig_expect (rig, call_wait (during)->status == 200, "a running job's state: %d",
              call_wait (during)->status);
  rig_expect (rig, strcmp (reply_string (call_wait (during), "state"), "complete") != 0,
              "a running job was called complete");
  call_free (during);
  rig_expect_complete (rig, submission);
  call_t *after = call_now (host->caller, "GET", path, NULL, NULL);
  rig_expect (rig, strcmp (reply_string (call_wait (after), "state"), "complete") == 0,
              "a complete job's state: %.200s", call_wait (after)->text);
  call_free (after);
}

static const case_t cases[] = {
  { "one_task", "none", "at each host", "the whole answer", { 0 }, run_one_task },
  { "most_tasks", "none", "510 tasks in one job", "the whole answer", { 0 }, run_most_tasks },
  { "bodies",
    "none",
    "empty, binary-like and large bodies",
    "bodies come back byte by byte",
    { 0 },
    run_bodies },
  { "order",
    "none",
    "tasks end in reverse order, some with 4xx",
    "results in the job's order",
    { 0 },
    run_order },
  { "many_jobs",
    "none",
    "30 jobs at once at three hosts",
    "no answer is crossed",
    { 0 },
    run_many },
  { "other_data_centre",
    "none",
    "home in each of three data centres",
    "the whole answer",
    { .data_centres = 3, .hosts = 2, .endpoints = 1 },
    run_other_data_centre },
  { "paths",
    "none",
    "every path of both listeners",
    "the status of the contract",
    { .hosts = 1 },
    run_paths },
  { "job_state",
    "none",
    "GET of a job while it runs and after",
    "its true state",
    { .hosts = 1 },
    run_job_state },
};

const case_list_t cases_basic = { cases, G_N_ELEMENTS (cases) };
