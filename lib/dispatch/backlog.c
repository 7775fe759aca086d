/* backlog.c -- admission control of one plan by the work that it has queued
 *
 * The queue of a plan is served by about SLOTS slots, in order of latest start.  Work
 * with the latest start S therefore starts at about now + (work with a latest start up
 * to S) / SLOTS.  A job fits if it starts in time itself and if all work with a later
 * latest start, which it delays, does so too.
 */
#include "dispatch/backlog.h"

#include <math.h>

/* Reserved work is halved once per such period. */
#define RESERVATION_HALF_LIFE_MS 500
/* The spacing of retries moves a retry time at most this far ahead; after that it
 * starts again from the earliest time. */
#define RETRY_MAX_MS 30000
/* Added to the time at which a job is expected to fit. */
#define RETRY_MIN_MS 50

static int64_t
bucket_for (const backlog_t *backlog, int64_t latest_start_ms)
{
  int64_t bucket = latest_start_ms / BACKLOG_BUCKET_MS;

  if (bucket < backlog->first_bucket)
    return backlog->first_bucket;
  if (bucket >= backlog->first_bucket + BACKLOG_BUCKETS)
    return backlog->first_bucket + BACKLOG_BUCKETS - 1;
  return bucket;
}

static double *
bucket_at (double *buckets, int64_t bucket)
{
  return &buckets[bucket % BACKLOG_BUCKETS];
}

static void
decay_reservations (backlog_t *backlog, int64_t now_ms)
{
  if (now_ms - backlog->decayed_at_ms < RESERVATION_HALF_LIFE_MS)
    return;
  backlog->decayed_at_ms = now_ms;
  for (int i = 0; i < BACKLOG_BUCKETS; i++)
    backlog->reserved_ms[i] /= 2;
}

void
backlog_advance (backlog_t *backlog, int64_t now_ms)
{
  int64_t first = now_ms / BACKLOG_BUCKET_MS;

  if (first - backlog->first_bucket > BACKLOG_BUCKETS)
    backlog->first_bucket = first - BACKLOG_BUCKETS;
  for (; backlog->first_bucket < first; backlog->first_bucket++)
    {
      *bucket_at (backlog->queued_ms, backlog->first_bucket) = 0;
      *bucket_at (backlog->reserved_ms, backlog->first_bucket) = 0;
    }
  decay_reservations (backlog, now_ms);
}

int64_t
backlog_add (backlog_t *backlog, int64_t latest_start_ms, double work_ms)
{
  int64_t bucket = bucket_for (backlog, latest_start_ms);
  double *reserved = bucket_at (backlog->reserved_ms, bucket);

  *reserved = fmax (0, *reserved - work_ms);
  *bucket_at (backlog->queued_ms, bucket) += work_ms;
  return bucket;
}

void
backlog_remove (backlog_t *backlog, int64_t bucket, double work_ms)
{
  if (bucket < backlog->first_bucket)
    return;
  double *queued = bucket_at (backlog->queued_ms, bucket);
  *queued = fmax (0, *queued - work_ms);
}

static double
job_work_ms (const backlog_job_t *job)
{
  return job->task_count * job->task_ms * job->slots_per_task;
}

/* Expected wait of the last task of JOB.  AHEAD_MS is the work that is served up to
 * then, the work of JOB included. */
static double
last_start_ms (const backlog_job_t *job, double ahead_ms)
{
  double idle_work_ms = job->free_slots * job->task_ms;

  return fmax (0, ahead_ms - idle_work_ms) / job->slots;
}

/* Largest lateness of JOB and of the queued work that it delays, if JOB is admitted.
 * Not positive if everything starts in time. */
static double
lateness_ms (const backlog_t *backlog, const backlog_job_t *job, int64_t now_ms)
{
  int64_t own_bucket = bucket_for (backlog, job->latest_start_ms);
  double ahead_ms = job_work_ms (job);
  double worst_ms = -INFINITY;

  for (int64_t b = backlog->first_bucket; b < backlog->first_bucket + BACKLOG_BUCKETS; b++)
    {
      double bucket_ms =
          backlog->queued_ms[b % BACKLOG_BUCKETS] + backlog->reserved_ms[b % BACKLOG_BUCKETS];
      ahead_ms += bucket_ms;
      if (b < own_bucket || (b > own_bucket && bucket_ms == 0))
        continue;
      double available_ms = b == own_bucket ? (double) (job->latest_start_ms - now_ms)
                                            : (double) ((b + 1) * BACKLOG_BUCKET_MS - now_ms);
      worst_ms = fmax (worst_ms, last_start_ms (job, ahead_ms) - available_ms);
    }
  return worst_ms;
}

/* Returns the retry time for JOB and advances that of the next refused job. */
static int64_t
take_retry_time (backlog_t *backlog, const backlog_job_t *job, double late_ms, int64_t now_ms)
{
  int64_t fits_at_ms = now_ms + RETRY_MIN_MS + (int64_t) late_ms;

  if (backlog->next_retry_at_ms < fits_at_ms)
    backlog->next_retry_at_ms = fits_at_ms;
  if (backlog->next_retry_at_ms > now_ms + RETRY_MAX_MS)
    backlog->next_retry_at_ms = fits_at_ms;
  int64_t retry_at_ms = backlog->next_retry_at_ms;
  backlog->next_retry_at_ms += (int64_t) ceil (job_work_ms (job) / job->slots);
  return retry_at_ms;
}

backlog_verdict_t
backlog_admit (backlog_t *backlog, const backlog_job_t *job, int64_t now_ms, int64_t *retry_at_ms)
{
  backlog_job_t unqueued = *job;

  unqueued.free_slots = job->slots;
  if ((double) (job->latest_start_ms - now_ms) < last_start_ms (&unqueued, job_work_ms (job)))
    return BACKLOG_DEADLINE_UNREACHABLE;
  double late_ms = lateness_ms (backlog, job, now_ms);
  if (late_ms > 0)
    {
      *retry_at_ms = take_retry_time (backlog, job, late_ms, now_ms);
      return BACKLOG_FULL;
    }
  *bucket_at (backlog->reserved_ms, bucket_for (backlog, job->latest_start_ms)) +=
      job_work_ms (job);
  return BACKLOG_FITS;
}

double
backlog_total_ms (const backlog_t *backlog)
{
  double total_ms = 0;

  for (int i = 0; i < BACKLOG_BUCKETS; i++)
    total_ms += backlog->queued_ms[i] + backlog->reserved_ms[i];
  return total_ms;
}
