/* callers.c -- the callers of a deployment's day: its mix of jobs, at its rate */
#include "tests/deployment/callers.h"

#include "base/clock.h"
#include "tests/site_call.h"

#include <math.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SENDS_MAX 4
#define DEADLINE_MIN_MS 1500
#define STRETCH 1.6
#define TARGET_LATENCY_MS 60
#define LATE_TIMES 3
/* A caller waits a little longer than it says. */
#define PATIENCE_MS 100
#define LEAVE_MAX_MS 900
#define ESTIMATE_OFF_PERCENT 40
#define WORK_SPREAD 0.4
/* One long job in so many takes LONGER_TIMES as long as its kind. */
#define LONGER_ONE_OF 4
#define LONGER_TIMES 3
#define STOP_CHECK_MS 10
#define MS_PER_S 1000

/* A kind of jobs; all have one phase. */
typedef struct
{
  int32_t weight;
  int32_t tasks;
  int32_t work_ms; /* the mean of a task */
  int32_t work_max_ms;
} job_kind_t;

static const job_kind_t long_kind = { 0, 4, 900, 3600 };
static const job_kind_t short_kinds[] = {
  { 25, 8, 60, 240 },
  { 75, 2, 200, 800 },
};

struct deployment_callers_t
{
  rig_t *rig;
  deployment_callers_options_t options;
  atomic_bool stop;
  atomic_int leaving_percent;
  atomic_bool ready[CALLERS_HOSTS_MAX];
  atomic_int_least64_t requests;
  GPtrArray *threads; /* GThread */
  GMutex lock;
  deployment_callers_totals_t totals; /* under the lock */
};

typedef struct
{
  deployment_callers_t *callers;
  int32_t number;
  int32_t zone;
  GRand *random;
  int fd;      /* -1: none */
  int left_fd; /* the connection that was left, and is not closed; -1: none */
  int32_t host;
  deployment_callers_totals_t totals;
} caller_t;

typedef struct
{
  uint64_t id;
  int32_t tasks;
  int32_t work_ms;
  int32_t estimate_ms;
  int32_t deadline_ms;
  char spec[16];
  char target[32];
} job_t;

/* --- jobs --- */

static const job_kind_t *
draw_kind (GRand *random, int32_t long_percent)
{
  if (g_rand_int_range (random, 0, 100) < long_percent)
    return &long_kind;
  return &short_kinds[g_rand_int_range (random, 0, 100) >= short_kinds[0].weight];
}

/* A draw of a lognormal distribution with a mean of 1. */
static double
draw_spread (GRand *random)
{
  double sum = 0;

  for (int i = 0; i < 12; i++)
    sum += g_rand_double (random);
  return exp (WORK_SPREAD * (sum - 6) - WORK_SPREAD * WORK_SPREAD / 2);
}

static void
draw_job (GRand *random, int32_t long_percent, job_t *job)
{
  const job_kind_t *kind = draw_kind (random, long_percent);
  int32_t off = g_rand_int_range (random, -ESTIMATE_OFF_PERCENT, ESTIMATE_OFF_PERCENT + 1);

  job->id = ((uint64_t) g_rand_int (random) << 32) | g_rand_int (random) | 1;
  job->tasks = kind->tasks;
  job->work_ms = MIN ((int32_t) (kind->work_ms * draw_spread (random)), kind->work_max_ms);
  if (kind == &long_kind && g_rand_int_range (random, 0, LONGER_ONE_OF) == 0)
    job->work_ms *= LONGER_TIMES;
  job->work_ms = MAX (job->work_ms, 1);
  job->estimate_ms = MAX (job->work_ms * (100 + off) / 100, 1);
  job->deadline_ms =
      MAX ((int32_t) (LATE_TIMES * (STRETCH * job->work_ms + TARGET_LATENCY_MS)), DEADLINE_MIN_MS);
  g_snprintf (job->spec, sizeof job->spec, "%d", (int) job->work_ms);
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

/* Leaves the connection as it is, so that its host does not see that the caller has gone. */
static void
leave_open (caller_t *caller)
{
  if (caller->left_fd >= 0)
    close (caller->left_fd);
  caller->left_fd = caller->fd;
  caller->fd = -1;
}

static void
close_left (caller_t *caller)
{
  if (caller->left_fd >= 0)
    close (caller->left_fd);
  caller->left_fd = -1;
}

/* The first host of ZONE in rotation from a random one on, other than EXCEPT; any data centre if
 * ZONE is negative.  -1 if there is none. */
static int32_t
find_ready (caller_t *caller, int32_t zone, int32_t from, int32_t except)
{
  const rig_t *rig = caller->callers->rig;

  for (int32_t i = 0; i < rig->hosts_count; i++)
    {
      int32_t host = (from + i) % rig->hosts_count;
      bool there = zone < 0 || host % rig->zones == zone;
      if (there && host != except && atomic_load (&caller->callers->ready[host]))
        return host;
    }
  return -1;
}

/* Connects to any other host than EXCEPT, or the usual one of the data centre if that is -1; with
 * again_max_ms to another one of the data centre.  Returns false if none is in rotation. */
static bool
connect_somewhere (caller_t *caller, int32_t except)
{
  const rig_t *rig = caller->callers->rig;
  int32_t from = except < 0 ? caller->number * 7 % rig->hosts_count
                            : g_rand_int_range (caller->random, 0, rig->hosts_count);

  if (caller->fd >= 0 && except < 0)
    return true;
  hang_up (caller);
  bool stays = except < 0 || caller->callers->options.again_max_ms >= 0;
  caller->host = find_ready (caller, stays ? caller->zone : -1, from, except);
  if (caller->host < 0)
    caller->host = find_ready (caller, -1, from, except);
  if (caller->host < 0)
    return false;
  caller->fd = site_connect (RIG_CALLER_IP, rig_caller_port (rig, caller->host));
  return caller->fd >= 0;
}

static bool
connect_until_stopped (caller_t *caller, int32_t except)
{
  while (!connect_somewhere (caller, except))
    {
      if (atomic_load (&caller->callers->stop))
        return false;
      clock_sleep_ms (STOP_CHECK_MS);
    }
  return true;
}

/* --- requests --- */

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
count_answer (deployment_callers_totals_t *totals, const site_response_t *answer, bool leaves)
{
  totals->left += answer->status == 0 && leaves;
  totals->broken += answer->status == 0 && answer->connection_closed;
  totals->timed_out += answer->status == 0 && !answer->connection_closed && !leaves;
  totals->status_504 += answer->status == 504;
  totals->refused += answer->status == 503 || answer->status == 429;
  totals->served += answer->status == 200;
}

/* Sends JOB once.  Returns whether it is to be sent again. */
static bool
send_once (caller_t *caller, const job_t *job)
{
  deployment_callers_t *callers = caller->callers;
  int64_t number = atomic_fetch_add (&callers->requests, 1);
  bool leaves = g_rand_int_range (caller->random, 0, 100) < atomic_load (&callers->leaving_percent);
  bool unseen =
      leaves && g_rand_int_range (caller->random, 0, 100) < callers->options.silent_percent;
  int32_t wait_ms =
      leaves ? g_rand_int_range (caller->random, 1, LEAVE_MAX_MS) : job->deadline_ms + PATIENCE_MS;
  char *body = site_job_json (job->tasks, job->spec, job->estimate_ms, "");

  note (caller, job, BOOK_SENT, number, 0, job->spec);
  int64_t until_ms = clock_boot_ms () + wait_ms;
  site_send_request (caller->fd, "POST", job->target, body, job->deadline_ms);
  g_free (body);
  site_response_t answer = site_read_response (caller->fd, until_ms);
  if (answer.status == 0)
    note (caller, job, BOOK_BROKEN, number, 0,
          unseen                     ? BOOK_LEFT_UNSEEN
          : leaves                   ? "left"
          : answer.connection_closed ? "closed"
                                     : "timeout");
  else
    note (caller, job, BOOK_ANSWERED, number, answer.status, answer.body);
  if (unseen && answer.status == 0)
    leave_open (caller);
  if (!answer.keep_alive)
    hang_up (caller);
  count_answer (&caller->totals, &answer, leaves);
  return answer.status == 0 || answer.status == 502 || answer.status == 504;
}

static void
wait_again (caller_t *caller)
{
  int32_t most_ms = caller->callers->options.again_max_ms;

  clock_sleep_ms (most_ms < 0 ? RESEND_MS : g_rand_int_range (caller->random, 0, most_ms + 1));
}

static void
do_job (caller_t *caller)
{
  job_t job;
  int32_t except = -1;
  bool again = true;

  draw_job (caller->random, caller->callers->options.long_percent, &job);
  caller->totals.jobs++;
  for (int32_t sends = 0; sends < SENDS_MAX && again; sends++)
    {
      if (sends > 0)
        wait_again (caller);
      if (!connect_until_stopped (caller, except))
        return;
      caller->totals.sent_again += sends > 0;
      again = send_once (caller, &job);
      caller->totals.first_requests_unserved += again && sends == 0;
      except = caller->host;
    }
  caller->totals.never_served += again;
}

static void
add_totals (deployment_callers_t *callers, const deployment_callers_totals_t *more)
{
  deployment_callers_totals_t *totals = &callers->totals;

  g_mutex_lock (&callers->lock);
  totals->jobs += more->jobs;
  totals->first_requests_unserved += more->first_requests_unserved;
  totals->sent_again += more->sent_again;
  totals->left += more->left;
  totals->timed_out += more->timed_out;
  totals->broken += more->broken;
  totals->status_504 += more->status_504;
  totals->refused += more->refused;
  totals->served += more->served;
  totals->never_served += more->never_served;
  g_mutex_unlock (&callers->lock);
}

static void *
run_caller (void *data)
{
  caller_t *caller = data;
  deployment_callers_t *callers = caller->callers;
  double mean_ms = MS_PER_S * callers->options.count / callers->options.jobs_per_s;
  int64_t next_ms = clock_boot_ms ();

  while (!atomic_load (&callers->stop))
    {
      next_ms += (int64_t) (-mean_ms * log (1 - g_rand_double (caller->random)));
      int64_t now_ms = clock_boot_ms ();
      if (next_ms > now_ms)
        clock_sleep_ms (next_ms - now_ms);
      else
        next_ms = now_ms;
      do_job (caller);
      close_left (caller);
    }
  hang_up (caller);
  add_totals (callers, &caller->totals);
  g_rand_free (caller->random);
  g_free (caller);
  return NULL;
}

/* --- public --- */

deployment_callers_t *
deployment_callers_start (rig_t *rig, const deployment_callers_options_t *options)
{
  deployment_callers_t *callers = g_new0 (deployment_callers_t, 1);

  callers->rig = rig;
  callers->options = *options;
  callers->threads = g_ptr_array_new ();
  g_mutex_init (&callers->lock);
  for (int32_t i = 0; i < rig->hosts_count; i++)
    atomic_store (&callers->ready[i], true);
  for (int32_t i = 0; i < options->count; i++)
    {
      caller_t *caller = g_new0 (caller_t, 1);
      *caller = (caller_t){ .callers = callers,
                            .number = i,
                            .zone = i % rig->zones,
                            .random = g_rand_new_with_seed (options->seed * 1000 + (uint32_t) i),
                            .fd = -1,
                            .left_fd = -1 };
      g_ptr_array_add (callers->threads, g_thread_new ("caller", run_caller, caller));
    }
  return callers;
}

void
deployment_callers_set_ready (deployment_callers_t *callers, int32_t host, bool ready)
{
  atomic_store (&callers->ready[host], ready);
}

void
deployment_callers_set_leaving (deployment_callers_t *callers, int32_t percent)
{
  atomic_store (&callers->leaving_percent, percent);
}

deployment_callers_totals_t
deployment_callers_stop (deployment_callers_t *callers)
{
  atomic_store (&callers->stop, true);
  for (guint i = 0; i < callers->threads->len; i++)
    g_thread_join (callers->threads->pdata[i]);
  deployment_callers_totals_t totals = callers->totals;
  g_ptr_array_unref (callers->threads);
  g_mutex_clear (&callers->lock);
  g_free (callers);
  return totals;
}
