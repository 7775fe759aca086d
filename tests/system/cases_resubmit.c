/* cases_resubmit.c -- a key that comes again, with the same body or another */
#include "tests/system/cases.h"
#include "tests/system/check.h"

#include "base/clock.h"

#include <string.h>

#define ROUNDS 10
#define WINDOW_MS 1500

/* All replies to one key must be the same bytes. */
static void
expect_same (rig_t *rig, submission_t *first, submission_t *second)
{
  rig_expect_complete (rig, first);
  rig_expect_complete (rig, second);
  const char *a = call_wait (first->call)->text;
  const char *b = call_wait (second->call)->text;
  rig_expect (rig, g_strcmp0 (a, b) == 0, "two answers to %s differ", first->job->key);
}

static void
run_after (rig_t *rig)
{
  submission_t *first = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("after", 5, 20));
  rig_expect_complete (rig, first);
  for (int32_t n = 0; n < rig->options.hosts; n++)
    expect_same (rig, first, rig_submit (rig, rig_host (rig, 0, n), first->job));
}

static void
run_during (rig_t *rig)
{
  submission_t *first = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("during", 5, 400));
  submission_t *again[2 * 3];
  rig_wait_starts (rig, "during", 1);
  for (int32_t i = 0; i < (int32_t) G_N_ELEMENTS (again); i++)
    again[i] = rig_submit (rig, rig_host (rig, 0, i % rig->options.hosts), first->job);
  for (size_t i = 0; i < G_N_ELEMENTS (again); i++)
    expect_same (rig, first, again[i]);
}

/* No host has an advantage: each round submits to all at once. */
static void
run_at_once (rig_t *rig)
{
  for (int32_t round = 0; round < ROUNDS && rig->failures == 0; round++)
    {
      char *key = g_strdup_printf ("at-once-%d", round);
      job_t *job = job_simple (key, 4, 10);
      submission_t *submissions[3];
      for (int32_t n = 0; n < 3; n++)
        submissions[n] = rig_submit (rig, rig_host (rig, 0, (n + round) % 3), job);
      for (int32_t n = 1; n < 3; n++)
        expect_same (rig, submissions[0], submissions[n]);
      g_free (key);
    }
}

static void
run_data_centres_at_once (rig_t *rig)
{
  for (int32_t round = 0; round < ROUNDS && rig->failures == 0; round++)
    {
      char *key = g_strdup_printf ("centres-%d", round);
      job_t *job = job_simple (key, 2, 10);
      submission_t *submissions[3];
      for (int32_t dc = 0; dc < 3; dc++)
        submissions[dc] = rig_submit (rig, rig_host (rig, (dc + round) % 3, 0), job);
      for (int32_t dc = 1; dc < 3; dc++)
        expect_same (rig, submissions[0], submissions[dc]);
      g_free (key);
    }
}

/* The same key with another body, while the first runs and after it. */
static void
run_key_reused (rig_t *rig)
{
  submission_t *first = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("reused", 3, 300));
  rig_wait_starts (rig, "reused", 1);
  for (int32_t moment = 0; moment < 2; moment++)
    {
      for (int32_t n = 0; n < rig->options.hosts; n++)
        rig_expect_kind (rig, rig_submit (rig, rig_host (rig, 0, n), job_simple ("reused", 2, 1)),
                         "key_reused", "may_have_run");
      rig_expect_complete (rig, first);
    }
}

/* A failed job stays failed: no resubmission starts it again. */
static void
run_failed_again (rig_t *rig)
{
  job_t *job = job_new ("failed-again", 30000);
  job_add (job, 10, 500);
  for (int32_t n = 0; n < rig->options.hosts; n++)
    rig_expect_kind (rig, rig_submit (rig, rig_host (rig, 0, n), job), "task_failed",
                     "may_have_run");
}

static void
run_issued_before_window (rig_t *rig)
{
  job_t *job = job_simple ("old", 1, 10);
  job->issued_at_ms -= 2 * 3600 * 1000;
  rig_expect_kind (rig, rig_submit (rig, rig_host (rig, 0, 0), job), "submission_expired",
                   "may_have_run");
  rig_expect (rig, check_count_starts (rig, "old") == 0, "an expired submission started");
}

/* Past the window a key may be forgotten, but must not start again. */
static void
run_after_window (rig_t *rig)
{
  job_t *job = job_simple ("window", 2, 10);
  job->deadline_at_ms = job->issued_at_ms + WINDOW_MS;
  submission_t *first = rig_submit (rig, rig_host (rig, 0, 0), job);
  rig_expect_complete (rig, first);
  int64_t end_ms = first->job->issued_at_ms + 2 * WINDOW_MS;
  while (clock_wall_ms () < end_ms)
    clock_sleep_ms (end_ms - clock_wall_ms ());
  for (int32_t n = 0; n < rig->options.hosts; n++)
    call_wait (rig_submit (rig, rig_host (rig, 0, n), first->job)->call);
  rig_expect (rig, check_count_starts (rig, "window") == 2, "a forgotten key started again");
}

static void
run_clock_ahead (rig_t *rig)
{
  job_t *job = job_simple ("ahead", 1, 10);
  job->issued_at_ms += 3600 * 1000;
  job->deadline_at_ms += 3600 * 1000;
  rig_expect_kind (rig, rig_submit (rig, rig_host (rig, 0, 0), job), "clock_ahead", NULL);
  rig_expect (rig, check_count_starts (rig, "ahead") == 0, "a submission of the future started");
}

/* The answer moves to another host before its own stops, and on from there. */
static void
run_moved (rig_t *rig)
{
  submission_t *first = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("moved", 3, 5));

  rig_expect_complete (rig, first);
  rig_stop_host (rig, rig_host (rig, 0, 0));
  rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, 1), first->job));
  rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, 2), first->job));
  rig_stop_host (rig, rig_host (rig, 0, 1));
  rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, 2), first->job));
}

static const case_t cases[] = {
  { "resubmit_after",
    "none",
    "to each host, after the answer",
    "the same answer, no second start",
    { 0 },
    run_after },
  { "resubmit_during",
    "none",
    "to each host twice, while tasks run",
    "the same answer, no second start",
    { 0 },
    run_during },
  { "resubmit_at_once",
    "none",
    "to three hosts at the same moment",
    "one start, the same answer three times",
    { 0 },
    run_at_once },
  { "resubmit_data_centres",
    "none",
    "to three data centres at the same moment",
    "one start, the same answer three times",
    { .data_centres = 3, .hosts = 2, .endpoints = 1 },
    run_data_centres_at_once },
  { "answer_moved",
    "SIGTERM of the coordinator, then of the host that took its answers",
    "resubmission after each",
    "the same answer, no second start",
    { 0 },
    run_moved },
  { "key_reused",
    "another body under the key",
    "while tasks run, and after the answer",
    "refused with 422, nothing of it starts",
    { 0 },
    run_key_reused },
  { "failed_again",
    "a task fails",
    "resubmission after the failure",
    "the same refusal, no second start",
    { 0 },
    run_failed_again },
  { "issued_before_window",
    "none",
    "issued_at_ms two hours ago",
    "never starts",
    { 0 },
    run_issued_before_window },
  { "after_window",
    "none",
    "resubmission after the key's window",
    "no second start",
    { .settings = "\"key_window_ms\":1500,\"clock_skew_ms\":100" },
    run_after_window },
  { "clock_ahead", "none", "issued_at_ms an hour ahead", "never starts", { 0 }, run_clock_ahead },
};

const case_list_t cases_resubmit = { cases, G_N_ELEMENTS (cases) };
