/* cases_cancel.c -- cancelled jobs: one, and a wave */
#include "tests/system/cases.h"
#include "tests/system/check.h"

#include <string.h>

#define WAVE_JOBS 60
#define HOMED_KEYS 16

static void
run_running (rig_t *rig)
{
  submission_t *submission =
      rig_submit (rig, rig_host (rig, 0, 0), job_simple ("cancel-running", 4, 400));
  rig_wait_starts (rig, "cancel-running", 1);
  const reply_t *reply = call_wait (rig_cancel (rig, rig_host (rig, 0, 0), "cancel-running"));
  rig_expect (rig, strcmp (reply_string (reply, "run"), "not_run") != 0,
              "a running job was called not run: %.200s", reply->text);
  const reply_t *answer = call_wait (submission->call);
  rig_expect (rig, answer->error == 0, "the cancelled job's caller got no answer");
}

/* At another host than the coordinator. */
static void
run_elsewhere (rig_t *rig)
{
  submission_t *submission =
      rig_submit (rig, rig_host (rig, 0, 0), job_simple ("cancel-elsewhere", 4, 400));
  rig_wait_starts (rig, "cancel-elsewhere", 1);
  for (int32_t n = 0; n < 3; n++)
    call_wait (rig_cancel (rig, rig_host (rig, 0, n), "cancel-elsewhere"));
  call_wait (submission->call);
}

static void
run_after (rig_t *rig)
{
  submission_t *submission =
      rig_submit (rig, rig_host (rig, 0, 0), job_simple ("cancel-after", 2, 5));
  rig_expect_complete (rig, submission);
  const reply_t *reply = call_wait (rig_cancel (rig, rig_host (rig, 0, 0), "cancel-after"));
  rig_expect (rig, strcmp (reply_string (reply, "run"), "not_run") != 0,
              "a complete job was called not run: %.200s", reply->text);
}

/* The key may live in another data centre than the one that follows from it. */
static void
run_homed (rig_t *rig)
{
  for (int32_t i = 0; i < HOMED_KEYS; i++)
    {
      int32_t home = i % rig->options.data_centres;
      char *key = g_strdup_printf ("cancel-homed-%d", i);
      job_t *job = job_simple (key, 2, 5);
      job->home = g_strdup (rig_data_centre (home));
      rig_expect_complete (rig, rig_submit (rig, rig_host (rig, home, 0), job));
      for (int32_t dc = 0; dc < rig->options.data_centres; dc++)
        for (int32_t n = 0; n < rig->options.hosts; n++)
          call_wait (rig_cancel (rig, rig_host (rig, dc, n), key));
      g_free (key);
    }
}

/* A cancelled key never starts, even if the submission comes again. */
static void
run_queued (rig_t *rig)
{
  submission_t *blocker = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("blocker", 2, 1000));
  rig_wait_starts (rig, "blocker", 2);
  submission_t *queued = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("queued", 2, 5));
  call_wait (rig_cancel (rig, rig_host (rig, 0, 0), "queued"));
  call_wait (queued->call);
  rig_expect_complete (rig, blocker);
  call_wait (rig_submit (rig, rig_host (rig, 0, 1), queued->job)->call);
}

static void
run_wave (rig_t *rig)
{
  submission_t *submissions[WAVE_JOBS];
  call_t *cancels[WAVE_JOBS];
  for (int32_t i = 0; i < WAVE_JOBS; i++)
    {
      char *key = g_strdup_printf ("wave-%d", i);
      submissions[i] = rig_submit (rig, rig_host (rig, 0, i % 3), job_simple (key, 4, 100));
      g_free (key);
    }
  for (int32_t i = 0; i < WAVE_JOBS; i++)
    cancels[i] = rig_cancel (rig, rig_host (rig, 0, i % 3), submissions[i]->job->key);
  for (int32_t i = 0; i < WAVE_JOBS; i++)
    {
      call_wait (cancels[i]);
      call_wait (submissions[i]->call);
    }
  rig_expect_complete (rig,
                       rig_submit (rig, rig_host (rig, 0, 0), job_simple ("after-wave", 4, 5)));
}

#define TWO_SLOTS                                                                                  \
  {                                                                                                \
    .endpoints = 1, .slots = 2                                                                     \
  }

static const case_t cases[] = {
  { "cancel_running", "DELETE", "while tasks run", "never called not run", { 0 }, run_running },
  { "cancel_elsewhere",
    "DELETE",
    "at other hosts, while tasks run",
    "what it says is true",
    { 0 },
    run_elsewhere },
  { "cancel_after", "DELETE", "after the answer", "never called not run", { 0 }, run_after },
  { "cancel_homed",
    "DELETE",
    "of keys with a home of their own, at every host",
    "what it says is true",
    { .data_centres = 2, .hosts = 2, .endpoints = 1 },
    run_homed },
  { "cancel_queued", "DELETE", "while the job waits for a slot", "what it says is true", TWO_SLOTS,
    run_queued },
  { "cancel_wave", "60 DELETEs at once", "while 60 jobs wait and run",
    "what each says is true; service goes on", TWO_SLOTS, run_wave },
};

const case_list_t cases_cancel = { cases, G_N_ELEMENTS (cases) };
