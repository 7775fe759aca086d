/* caller.c -- callers with open connections, and a prober of configurations */
#include "tests/soak/caller.h"

#include "base/clock.h"
#include "tests/site_call.h"

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define DEADLINE_MS 1500
/* An answer that comes later than this after the deadline is none. */
#define PATIENCE_MS 500
#define RESEND_MS 1300
#define SENDS_MAX 3
#define REQUESTS_MAX 20
#define TASKS_MAX 5
#define PAUSE_MAX_MS 60
#define REFUSED_PAUSE_MS 50
#define CANCEL_PERCENT 4
#define LEAVE_PERCENT 3
#define POISON_PERCENT 2
/* Jobs whose connection breaks on the caller's side, which their host sees late or never.  Their
 * work is long enough to go on until they are sent again. */
#define BREAK_WORK_MS 2500
#define BREAK_DEADLINE_MS 5000
#define BREAK_AFTER_MAX_MS 900
#define PROBE_EVERY_MS 250

struct callers_t
{
  rig_t *rig;
  uint32_t seed;
  int32_t broken_percent;
  atomic_bool stop;
  atomic_bool ready[CALLER_HOSTS_MAX];
  GPtrArray *threads; /* GThread */
};

typedef struct
{
  callers_t *callers;
  GRand *random;
  GRand *breaks; /* draws of their own, so that the others of a seed stay as they are */
  int fd;        /* -1: none */
  int32_t host;
  int32_t left; /* requests before it is closed */
} caller_t;

typedef struct
{
  uint64_t id;
  int32_t tasks;
  char spec[16];
  int32_t estimate_ms;
  bool cancels;
  bool leaves;
  bool breaks;
  int32_t deadline_ms;
  char target[32];
} job_t;

static atomic_int_least64_t requests;

static int32_t
draw (caller_t *caller, int32_t end)
{
  return g_rand_int_range (caller->random, 0, end);
}

static void
draw_job (caller_t *caller, job_t *job)
{
  int32_t kind = draw (caller, 100);
  int32_t work_ms = kind < 70   ? 20 + draw (caller, 100)
                    : kind < 95 ? 150 + draw (caller, 250)
                                : 700;
  bool poison = draw (caller, 100) < POISON_PERCENT;

  job->id = ((uint64_t) g_rand_int (caller->random) << 32) | g_rand_int (caller->random) | 1;
  job->tasks = 1 + draw (caller, TASKS_MAX);
  g_snprintf (job->spec, sizeof job->spec, "%s%d", poison ? "F" : "", work_ms);
  job->estimate_ms = work_ms * (60 + draw (caller, 80)) / 100;
  job->cancels = draw (caller, 100) < CANCEL_PERCENT;
  job->leaves = !job->cancels && draw (caller, 100) < LEAVE_PERCENT;
  job->deadline_ms = DEADLINE_MS;
  job->breaks = !job->cancels && !job->leaves
                && g_rand_int_range (caller->breaks, 0, 100) < caller->callers->broken_percent;
  if (job->breaks)
    {
      job->estimate_ms = BREAK_WORK_MS;
      job->deadline_ms = BREAK_DEADLINE_MS;
      g_snprintf (job->spec, sizeof job->spec, "%d", BREAK_WORK_MS);
    }
  g_snprintf (job->target, sizeof job->target, "/q/%016" G_GINT64_MODIFIER "x", job->id);
}

/* --- connections --- */

static void
hang_up (caller_t *caller)
{
  if (caller->fd >= 0)
    close (caller->fd);
  caller->fd = -1;
}

static bool
connect_somewhere (caller_t *caller)
{
  callers_t *callers = caller->callers;

  if (caller->fd >= 0 && caller->left > 0)
    return true;
  hang_up (caller);
  caller->host = draw (caller, callers->rig->hosts_count);
  if (!atomic_load (&callers->ready[caller->host]))
    return false;
  caller->fd = site_connect (RIG_CALLER_IP, rig_caller_port (callers->rig, caller->host));
  caller->left = 1 + draw (caller, REQUESTS_MAX);
  return caller->fd >= 0;
}

/* --- jobs --- */

static void
note (const caller_t *caller,
      const job_t *job,
      book_kind_t kind,
      int64_t number,
      int32_t status,
      const char *text)
{
  book_row_t row = { .at_ms = clock_boot_ms (),
                     .kind = kind,
                     .job = job->id,
                     .index = job->tasks,
                     .host = caller->host,
                     .status = status,
                     .number = number,
                     .text = text };

  book_add (caller->callers->rig->book, &row);
}

static void
cancel (caller_t *caller, const job_t *job)
{
  const rig_t *rig = caller->callers->rig;

  clock_sleep_ms (10 + draw (caller, 150));
  int32_t host = draw (caller, rig->hosts_count);
  int fd = site_connect (RIG_CALLER_IP, rig_caller_port (rig, host));
  if (fd < 0)
    return;
  site_send_request (fd, "DELETE", job->target, "", DEADLINE_MS);
  site_response_t answer = site_read_response (fd, clock_boot_ms () + DEADLINE_MS);
  if (answer.status != 0)
    note (caller, job, BOOK_CANCELLED, 0, answer.status, NULL);
  close (fd);
}

/* Sends JOB once.  Returns true if it is to be sent again. */
static bool
send_once (caller_t *caller, const job_t *job)
{
  int64_t number = atomic_fetch_add (&requests, 1);
  char *body = site_job_json (job->tasks, job->spec, job->estimate_ms, "");

  caller->left--;
  note (caller, job, BOOK_SENT, number, 0, job->spec);
  int64_t until_ms = clock_boot_ms () + job->deadline_ms + PATIENCE_MS;
  site_send_request (caller->fd, "POST", job->target, body, job->deadline_ms);
  g_free (body);
  if (job->leaves)
    {
      clock_sleep_ms (draw (caller, 200));
      hang_up (caller);
      return false;
    }
  if (job->cancels)
    cancel (caller, job);
  site_response_t answer = site_read_response (caller->fd, until_ms);
  if (answer.status == 0)
    note (caller, job, BOOK_BROKEN, number, 0, answer.connection_closed ? "closed" : "timeout");
  else
    note (caller, job, BOOK_ANSWERED, number, answer.status, answer.body);
  if (!answer.keep_alive)
    hang_up (caller);
  if (answer.status == 503 || answer.status == 429)
    clock_sleep_ms (REFUSED_PAUSE_MS);
  return !job->cancels && (answer.status == 0 || answer.status == 502 || answer.status == 504);
}

/* Sends JOB, and gives up its connection without closing it.  Returns the connection. */
static int
send_and_break (caller_t *caller, const job_t *job)
{
  int fd = caller->fd;
  char *body = site_job_json (job->tasks, job->spec, job->estimate_ms, "");

  note (caller, job, BOOK_SENT, atomic_fetch_add (&requests, 1), 0, job->spec);
  site_send_request (fd, "POST", job->target, body, job->deadline_ms);
  g_free (body);
  caller->fd = -1;
  clock_sleep_ms (g_rand_int_range (caller->breaks, 0, BREAK_AFTER_MAX_MS));
  return fd;
}

/* Returns false if the callers stop before a host could be connected to. */
static bool
connect_until_stopped (caller_t *caller)
{
  while (!connect_somewhere (caller))
    {
      if (atomic_load (&caller->callers->stop))
        return false;
      clock_sleep_ms (10);
    }
  return true;
}

static void
do_job (caller_t *caller)
{
  job_t job;
  bool again = true;
  int broken_fd = -1;

  draw_job (caller, &job);
  for (int32_t sends = 0; sends < SENDS_MAX && again; sends++)
    {
      if (sends > 0)
        clock_sleep_ms (RESEND_MS);
      if (!connect_until_stopped (caller))
        break;
      if (sends == 0 && job.breaks)
        broken_fd = send_and_break (caller, &job);
      else
        again = send_once (caller, &job);
    }
  if (broken_fd >= 0)
    close (broken_fd);
}

typedef struct
{
  callers_t *callers;
  uint32_t number;
} caller_thread_t;

static void *
run_caller (void *data)
{
  caller_thread_t *thread = data;
  caller_t caller = {
    .callers = thread->callers,
    .random = g_rand_new_with_seed (thread->callers->seed * 1000 + thread->number),
    .breaks = g_rand_new_with_seed (thread->callers->seed * 1000 + 500 + thread->number),
    .fd = -1
  };

  while (!atomic_load (&thread->callers->stop))
    {
      do_job (&caller);
      clock_sleep_ms (draw (&caller, PAUSE_MAX_MS));
    }
  hang_up (&caller);
  g_rand_free (caller.random);
  g_rand_free (caller.breaks);
  g_free (thread);
  return NULL;
}

/* --- the prober --- */

static void
probe (rig_t *rig, int32_t number, int32_t version)
{
  const rig_host_t *host = &rig->hosts[number];
  char target[64];
  int32_t life = host->life;
  book_row_t row = { .at_ms = clock_boot_ms (), .kind = BOOK_PROBED, .host = number };

  if (host->pid == 0 || host->paused)
    return;
  g_snprintf (target, sizeof target, "/v%d/00000000000000d1", (int) version);
  row.status = site_call (rig_caller_port (rig, number), "GET", target, "").status;
  row.number = version;
  row.attempt = life;
  if (row.status != 0 && host->life == life)
    book_add (rig->book, &row);
}

static void *
run_prober (void *data)
{
  callers_t *callers = data;
  rig_t *rig = callers->rig;
  GRand *random = g_rand_new_with_seed (callers->seed);

  while (!atomic_load (&callers->stop))
    {
      for (int32_t i = 0; i < rig->hosts_count && !atomic_load (&callers->stop); i++)
        {
          probe (rig, i, rig->version);
          probe (rig, i, g_rand_int_range (random, 1, rig->version + 1));
        }
      clock_sleep_ms (PROBE_EVERY_MS);
    }
  g_rand_free (random);
  return NULL;
}

/* --- public --- */

callers_t *
callers_start (rig_t *rig, uint32_t seed, int32_t count, int32_t broken_percent)
{
  callers_t *callers = g_new0 (callers_t, 1);

  callers->rig = rig;
  callers->seed = seed;
  callers->broken_percent = broken_percent;
  callers->threads = g_ptr_array_new ();
  for (int32_t i = 0; i < rig->hosts_count; i++)
    atomic_store (&callers->ready[i], true);
  for (int32_t i = 0; i < count; i++)
    {
      caller_thread_t *thread = g_new0 (caller_thread_t, 1);
      *thread = (caller_thread_t){ callers, (uint32_t) i };
      g_ptr_array_add (callers->threads, g_thread_new ("caller", run_caller, thread));
    }
  g_ptr_array_add (callers->threads, g_thread_new ("prober", run_prober, callers));
  return callers;
}

void
callers_set_ready (callers_t *callers, int32_t host, bool ready)
{
  atomic_store (&callers->ready[host], ready);
}

void
callers_stop (callers_t *callers)
{
  atomic_store (&callers->stop, true);
  for (guint i = 0; i < callers->threads->len; i++)
    g_thread_join (callers->threads->pdata[i]);
  g_ptr_array_unref (callers->threads);
  g_free (callers);
}

bool
caller_is_served (rig_t *rig, int32_t host, uint64_t id)
{
  callers_t callers = { .rig = rig };
  caller_t caller = { .callers = &callers, .host = host };
  job_t job = { .id = id, .tasks = 2, .spec = "10", .estimate_ms = 10 };
  char *body = site_job_json (job.tasks, job.spec, job.estimate_ms, "");

  g_snprintf (job.target, sizeof job.target, "/q/%016" G_GINT64_MODIFIER "x", id);
  int64_t number = atomic_fetch_add (&requests, 1);
  note (&caller, &job, BOOK_SENT, number, 0, job.spec);
  site_response_t answer = site_call (rig_caller_port (rig, host), "POST", job.target, body);
  if (answer.status != 0)
    note (&caller, &job, BOOK_ANSWERED, number, answer.status, answer.body);
  g_free (body);
  return answer.status == 200 && strstr (answer.body, "completed") != NULL;
}
