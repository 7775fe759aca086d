/* cases_host.c -- entry hosts that die, freeze, restart or are replaced */
#include "tests/system/cases.h"
#include "tests/system/check.h"

#include "base/clock.h"
#include "base/error.h"

#include <signal.h>
#include <pthread.h>
#include <string.h>

#define LOAD_JOBS 24
/* Longer than the contact bound and any grant, so that a thawed host's grants have lapsed. */
#define FREEZE_MS 4000

/* A job whose coordinator died never starts again, wherever it comes back. */
static void
expect_no_second_start (rig_t *rig, job_t *job, const rig_host_t *dead)
{
  for (guint i = 0; i < rig->hosts->len; i++)
    {
      rig_host_t *host = g_ptr_array_index (rig->hosts, i);
      if (host == dead || host->process == NULL)
        continue;
      const reply_t *reply = call_wait (rig_submit (rig, host, job)->call);
      rig_expect (rig, reply->error == 0, "%s at %s got no answer", job->key, host->id);
    }
}

static void
run_killed_during (rig_t *rig)
{
  rig_host_t *host = rig_host (rig, 0, 0);
  submission_t *submission = rig_submit (rig, host, job_simple ("killed-during", 6, 300));
  rig_wait_starts (rig, "killed-during", 1);
  rig_kill_host (rig, host);
  expect_no_second_start (rig, submission->job, host);
}

/* All tasks have run, their answers are held, the coordinator dies. */
static void
run_killed_before_answer (rig_t *rig)
{
  rig_host_t *host = rig_host (rig, 0, 0);
  for (int32_t n = 0; n < rig->options.endpoints; n++)
    rig_fault_endpoint (rig, rig_endpoint (rig, 0, n), "{\"freeze\":true}");
  submission_t *submission = rig_submit (rig, host, job_simple ("killed-before", 4, 5));
  rig_wait_starts (rig, "killed-before", 4);
  rig_kill_host (rig, host);
  for (int32_t n = 0; n < rig->options.endpoints; n++)
    rig_fault_endpoint (rig, rig_endpoint (rig, 0, n), "{\"reset\":true}");
  expect_no_second_start (rig, submission->job, host);
}

static void
run_killed_after_answer (rig_t *rig)
{
  rig_host_t *host = rig_host (rig, 0, 0);
  submission_t *submission = rig_submit (rig, host, job_simple ("killed-after", 3, 5));
  rig_expect_complete (rig, submission);
  rig_kill_host (rig, host);
  expect_no_second_start (rig, submission->job, host);
}

/* At the same address as its predecessor, with nothing remembered. */
static void
run_restarted (rig_t *rig)
{
  rig_host_t *host = rig_host (rig, 0, 0);
  submission_t *submission = rig_submit (rig, host, job_simple ("restarted", 6, 300));
  rig_wait_starts (rig, "restarted", 1);
  rig_kill_host (rig, host);
  rig_start_host (rig, host);
  rig_wait_ready (rig, host);
  expect_no_second_start (rig, submission->job, NULL);
  rig_expect_complete (rig, rig_submit (rig, host, job_simple ("restarted-new", 3, 5)));
}

/* Every host once: the view loses a member and keeps serving. */
static void
run_replica_killed (rig_t *rig)
{
  submission_t *before = rig_submit (rig, rig_host (rig, 0, 1), job_simple ("replica", 3, 5));
  rig_expect_complete (rig, before);
  rig_kill_host (rig, rig_host (rig, 0, 0));
  for (int32_t i = 0; i < LOAD_JOBS && rig->failures == 0; i++)
    {
      char *key = g_strdup_printf ("replica-%d", i);
      rig_expect_complete (rig,
                           rig_submit (rig, rig_host (rig, 0, 1 + i % 2), job_simple (key, 2, 5)));
      g_free (key);
    }
  rig_expect_complete (rig, rig_submit (rig, rig_host (rig, 0, 2), before->job));
}

static bool
serves (void *data)
{
  rig_t *rig = data;
  static int32_t number;
  char *key = g_strdup_printf ("serves-%d", number++);
  submission_t *submission = rig_submit (rig, rig_host (rig, 0, 2), job_simple (key, 1, 5));
  g_free (key);
  return call_wait (submission->call)->status == 200;
}

/* Two of three replicas are lost: old keys may not start again, later ones run
 * once the view has changed. */
static void
run_two_killed (rig_t *rig)
{
  submission_t *before = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("two-killed", 3, 5));
  rig_expect_complete (rig, before);
  rig_kill_host (rig, rig_host (rig, 0, 0));
  rig_kill_host (rig, rig_host (rig, 0, 1));
  expect_no_second_start (rig, before->job, NULL);
  rig_until (rig, "service by the one host that is left", serves, rig);
}

static void
run_frozen_during (rig_t *rig)
{
  rig_host_t *host = rig_host (rig, 0, 0);
  submission_t *first = rig_submit (rig, host, job_simple ("frozen-during", 40, 100));
  rig_wait_starts (rig, "frozen-during", 1);
  process_freeze (host->process);
  submission_t *second = rig_submit (rig, rig_host (rig, 0, 1), first->job);
  clock_sleep_ms (FREEZE_MS);
  process_thaw (host->process);
  call_wait (first->call);
  call_wait (second->call);
}

/* The frozen host has the request in its socket, another host runs it; then
 * the frozen one wakes up with its clock far behind. */
static void
run_frozen_before_claim (rig_t *rig)
{
  rig_host_t *host = rig_host (rig, 0, 0);
  process_freeze (host->process);
  job_t *job = job_simple ("frozen-before", 3, 5);
  submission_t *first = rig_submit (rig, host, job);
  submission_t *second = rig_submit (rig, rig_host (rig, 0, 1), job);
  rig_expect_complete (rig, second);
  clock_sleep_ms (FREEZE_MS);
  process_thaw (host->process);
  const reply_t *reply = call_wait (first->call);
  rig_expect (rig, reply->error == 0, "the thawed host gave no answer");
}

/* Frozen for a random short time in the middle of submissions, many times. */
static void
run_frozen_often (rig_t *rig)
{
  GRand *random = g_rand_new_with_seed (7);
  for (int32_t i = 0; i < LOAD_JOBS; i++)
    {
      rig_host_t *host = rig_host (rig, 0, i % 3);
      char *key = g_strdup_printf ("often-%d", i);
      submission_t *first = rig_submit (rig, host, job_simple (key, 2, 5));
      clock_sleep_ms (g_rand_int_range (random, 0, 8));
      process_freeze (host->process);
      submission_t *second = rig_submit (rig, rig_host (rig, 0, (i + 1) % 3), first->job);
      clock_sleep_ms (g_rand_int_range (random, 0, 100));
      process_thaw (host->process);
      call_wait (first->call);
      call_wait (second->call);
      g_free (key);
    }
  g_rand_free (random);
}

/* SIGTERM while jobs run at the host: all get their whole answers. */
static void
run_stopped_under_load (rig_t *rig)
{
  submission_t *submissions[LOAD_JOBS];
  rig_host_t *host = rig_host (rig, 0, 0);
  for (int32_t i = 0; i < LOAD_JOBS; i++)
    {
      char *key = g_strdup_printf ("stopped-%d", i);
      submissions[i] = rig_submit (rig, host, job_simple (key, 3, 300));
      g_free (key);
    }
  for (int32_t i = 0; i < LOAD_JOBS; i++)
    {
      char *key = g_strdup_printf ("stopped-%d", i);
      bool started = rig_wait_starts (rig, key, 1);
      g_free (key);
      if (!started)
        return;
    }
  rig_stop_host (rig, host);
  for (int32_t i = 0; i < LOAD_JOBS; i++)
    rig_expect_complete (rig, submissions[i]);
}

static bool
is_unready (void *data)
{
  return call_status (data, "GET", "/readyz", NULL) != 200;
}

/* While it drains it is live but not ready, and refuses new jobs truthfully. */
static void
run_draining (rig_t *rig)
{
  rig_host_t *host = rig_host (rig, 0, 0);
  submission_t *running = rig_submit (rig, host, job_simple ("draining", 1, 3000));
  rig_wait_starts (rig, "draining", 1);
  process_signal (host->process, SIGTERM);
  rig_until (rig, "the end of readiness", is_unready, host->admin);
  submission_t *late = rig_submit (rig, host, job_simple ("too-late", 1, 5));
  const reply_t *reply = call_wait (late->call);
  if (reply->error == 0)
    rig_expect (rig, strcmp (reply_string (reply, "kind"), "draining") == 0,
                "a draining host answered: %.200s", reply->text);
  else
    late->may_break = true;
  rig_expect (rig, check_count_starts (rig, "too-late") == 0, "a draining host started a new job");
  rig_expect_complete (rig, running);
  rig_await_stop (rig, host);
}

typedef struct
{
  rig_t *rig;
  gint stop;
  gint next;
  gint incomplete;
  const reply_t *first; /* of those that are not complete */
  pthread_mutex_t mutex;
  GPtrArray *hosts; /* of rig_host_t: ready ones, with the mutex */
} balancer_t;

/* A refusal that a balancer answers by another host: nothing was written, or
 * the host says that it is leaving. */
static bool
goes_elsewhere (submission_t *submission)
{
  const reply_t *reply = call_wait (submission->call);
  if (reply->error == ERROR_NOT_CONNECTED)
    submission->may_break = true;
  return reply->error == ERROR_NOT_CONNECTED
         || strcmp (reply_string (reply, "kind"), "draining") == 0;
}

static submission_t *
submit_next (balancer_t *balancer, job_t *job, guint turn)
{
  pthread_mutex_lock (&balancer->mutex);
  rig_host_t *host = g_ptr_array_index (balancer->hosts, turn % balancer->hosts->len);
  submission_t *submission = rig_submit (balancer->rig, host, job);
  pthread_mutex_unlock (&balancer->mutex);
  return submission;
}

/* Submits to hosts in the balancer's list, one job after another. */
static gpointer
submit_on (gpointer data)
{
  balancer_t *balancer = data;
  while (!g_atomic_int_get (&balancer->stop))
    {
      guint turn = (guint) g_atomic_int_add (&balancer->next, 1);
      char *key = g_strdup_printf ("rolling-%u", turn);
      job_t *job = job_simple (key, 2, 20);
      submission_t *submission = submit_next (balancer, job, turn);
      while (goes_elsewhere (submission))
        submission = submit_next (balancer, job, ++turn);
      const reply_t *reply = call_wait (submission->call);
      if (reply->status != 200 && g_atomic_int_add (&balancer->incomplete, 1) == 0)
        balancer->first = reply;
      g_free (key);
    }
  return NULL;
}

/* All hosts are replaced one by one while callers submit to those in service. */
static void
replace_all (rig_t *rig)
{
  balancer_t balancer = { .rig = rig, .hosts = g_ptr_array_new () };
  GThread *threads[4];
  for (int32_t n = 0; n < 3; n++)
    g_ptr_array_add (balancer.hosts, rig_host (rig, 0, n));
  for (size_t i = 0; i < G_N_ELEMENTS (threads); i++)
    threads[i] = g_thread_new ("caller", submit_on, &balancer);
  for (int32_t n = 0; n < 3; n++)
    {
      rig_host_t *old = rig_host (rig, 0, n);
      rig_host_t *new = rig_add_host (rig, 0);
      rig_push_hosts (rig);
      rig_start_host (rig, new);
      rig_wait_ready (rig, new);
      pthread_mutex_lock (&balancer.mutex);
      g_ptr_array_add (balancer.hosts, new);
      g_ptr_array_remove (balancer.hosts, old);
      pthread_mutex_unlock (&balancer.mutex);
      old->state = "leaving";
      rig_push_hosts (rig);
      rig_stop_host (rig, old);
      old->state = NULL;
      rig_push_hosts (rig);
    }
  g_atomic_int_set (&balancer.stop, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (threads); i++)
    g_thread_join (threads[i]);
  g_ptr_array_unref (balancer.hosts);
  rig_expect (rig, balancer.incomplete == 0, "%d of %d jobs did not complete, first %.150s",
              balancer.incomplete, balancer.next,
              balancer.first != NULL ? balancer.first->text : "");
}

static void
run_rolling (rig_t *rig)
{
  submission_t *first = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("first", 2, 5));
  rig_expect_complete (rig, first);
  replace_all (rig);
  /* No host that granted the key is left; its successors still know it. */
  expect_no_second_start (rig, first->job, NULL);
  rig_expect (rig, check_count_starts (rig, "first") == 2, "the first job started again");
}

static void
run_rolling_outage (rig_t *rig)
{
  submission_t *first = rig_submit (rig, rig_host (rig, 0, 0), job_simple ("first", 2, 5));
  rig_expect_complete (rig, first);
  rig_fault_platform (rig, "{\"outage\":true}");
  replace_all (rig);
  expect_no_second_start (rig, first->job, NULL);
  rig_expect (rig, check_count_starts (rig, "first") == 2, "the first job started again");
  rig_fault_platform (rig, "{\"reset\":true}");
}

static const case_t cases[] = {
  { "coordinator_killed",
    "kill -9 of the coordinator",
    "while tasks run",
    "no second start at any other host",
    { 0 },
    run_killed_during },
  { "coordinator_killed_late",
    "kill -9 of the coordinator",
    "tasks have run, before the answer",
    "no second start",
    { 0 },
    run_killed_before_answer },
  { "coordinator_killed_after",
    "kill -9 of the coordinator",
    "after the answer",
    "no second start",
    { 0 },
    run_killed_after_answer },
  { "coordinator_restarted",
    "kill -9 and restart at the same address",
    "while tasks run",
    "no second start, also at the restarted host",
    { 0 },
    run_restarted },
  { "replica_killed",
    "kill -9 of one host of three",
    "between jobs",
    "all later jobs complete, an old answer is still given",
    { 0 },
    run_replica_killed },
  { "two_replicas_killed",
    "kill -9 of two hosts of three",
    "between jobs",
    "old keys do not start again, new ones are served",
    { 0 },
    run_two_killed },
  { "coordinator_frozen",
    "SIGSTOP, SIGCONT of the coordinator",
    "while tasks run, for 4 s",
    "no second start, whole answers",
    { 0 },
    run_frozen_during },
  { "frozen_before_claim",
    "SIGSTOP, SIGCONT of a host",
    "before it claims, for 4 s",
    "no second start",
    { 0 },
    run_frozen_before_claim },
  { "frozen_often",
    "SIGSTOP, SIGCONT, random moments",
    "around claims (seed 7)",
    "no second start, whole answers",
    { 0 },
    run_frozen_often },
  { "stopped_under_load",
    "SIGTERM",
    "while 24 jobs run",
    "no request cut, exit 0",
    { 0 },
    run_stopped_under_load },
  { "draining",
    "SIGTERM",
    "while a job runs",
    "not ready, new jobs refused, exit 0",
    { 0 },
    run_draining },
  { "rolling_replacement",
    "every host is replaced",
    "under load",
    "all jobs complete, an old key does not start again",
    { 0 },
    run_rolling },
  { "rolling_replacement_outage",
    "every host is replaced, the platform down",
    "under load",
    "all jobs complete, an old key does not start again",
    { 0 },
    run_rolling_outage },
};

const case_list_t cases_host = { cases, G_N_ELEMENTS (cases) };
