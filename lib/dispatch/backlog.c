/* backlog.c -- the work that waits in one plan, by latest start, and who may join it
 *
 * A plan's queue is served by about SLOTS slots, the most urgent task first.
 * Work that must start by S then starts at about now + (work up to S) / SLOTS.
 * A job fits if that is in time for itself, and still in time for all work that
 * is less urgent, which it pushes back.
 */
#include "dispatch/backlog.h"

#include <math.h>

/* After each such period half of the promises is dropped. */
#define FADE_EVERY_MS 500
/* Retry times are handed out this far ahead at most. */
#define RETRY_MAX_MS 30000
#define RETRY_MIN_MS 50

static int64_t
bucket_of (const backlog_t *backlog, int64_t start_by_ms)
{
  int64_t bucket = start_by_ms / BACKLOG_BUCKET_MS;

  if (bucket < backlog->first)
    return backlog->first;
  if (bucket >= backlog->first + BACKLOG_BUCKETS)
    return backlog->first + BACKLOG_BUCKETS - 1;
  return bucket;
}

static double *
place (double *buckets, int64_t bucket)
{
  return &buckets[bucket % BACKLOG_BUCKETS];
}

static void
fade (backlog_t *backlog, int64_t now_ms)
{
  if (now_ms - backlog->faded_at_ms < FADE_EVERY_MS)
    return;
  backlog->faded_at_ms = now_ms;
  for (int i = 0; i < BACKLOG_BUCKETS; i++)
    backlog->promised_ms[i] /= 2;
}

void
backlog_advance (backlog_t *backlog, int64_t now_ms)
{
  int64_t first = now_ms / BACKLOG_BUCKET_MS;

  if (first - backlog->first > BACKLOG_BUCKETS)
    backlog->first = first - BACKLOG_BUCKETS;
  for (; backlog->first < first; backlog->first++)
    {
      *place (backlog->queued_ms, backlog->first) = 0;
      *place (backlog->promised_ms, backlog->first) = 0;
    }
  fade (backlog, now_ms);
}

int64_t
backlog_add (backlog_t *backlog, int64_t start_by_ms, double work_ms)
{
  int64_t bucket = bucket_of (backlog, start_by_ms);
  double *promised = place (backlog->promised_ms, bucket);

  *promised = fmax (0, *promised - work_ms);
  *place (backlog->queued_ms, bucket) += work_ms;
  return bucket;
}

void
backlog_remove (backlog_t *backlog, int64_t bucket, double work_ms)
{
  if (bucket < backlog->first)
    return;
  double *queued = place (backlog->queued_ms, bucket);
  *queued = fmax (0, *queued - work_ms);
}

static double
work_of (const backlog_job_t *job)
{
  return job->count * job->task_ms * job->units;
}

/* When the last task of JOB should start if AHEAD_MS of work goes first, its
 * own included. */
static double
last_start_ms (const backlog_job_t *job, double ahead_ms)
{
  double at_once = job->free_slots * job->task_ms;

  return fmax (0, ahead_ms - at_once) / job->slots;
}

/* Largest lateness, over JOB and all work behind it, if JOB joins; negative if
 * everything is in time. */
static double
lateness_ms (const backlog_t *backlog, const backlog_job_t *job, int64_t now_ms)
{
  int64_t own = bucket_of (backlog, job->start_by_ms);
  double ahead_ms = work_of (job);
  double worst_ms = -INFINITY;

  for (int64_t b = backlog->first; b < backlog->first + BACKLOG_BUCKETS; b++)
    {
      double here_ms =
          backlog->queued_ms[b % BACKLOG_BUCKETS] + backlog->promised_ms[b % BACKLOG_BUCKETS];
      ahead_ms += here_ms;
      if (b < own || (b > own && here_ms == 0))
        continue;
      double left_ms = b == own ? (double) (job->start_by_ms - now_ms)
                                : (double) ((b + 1) * BACKLOG_BUCKET_MS - now_ms);
      worst_ms = fmax (worst_ms, last_start_ms (job, ahead_ms) - left_ms);
    }
  return worst_ms;
}

static int64_t
next_retry (backlog_t *backlog, const backlog_job_t *job, double late_ms, int64_t now_ms)
{
  int64_t room_at_ms = now_ms + RETRY_MIN_MS + (int64_t) late_ms;

  if (backlog->retry_from_ms < room_at_ms)
    backlog->retry_from_ms = room_at_ms;
  if (backlog->retry_from_ms > now_ms + RETRY_MAX_MS)
    backlog->retry_from_ms = room_at_ms;
  int64_t retry_at_ms = backlog->retry_from_ms;
  backlog->retry_from_ms += (int64_t) ceil (work_of (job) / job->slots);
  return retry_at_ms;
}

backlog_verdict_t
backlog_judge (backlog_t *backlog, const backlog_job_t *job, int64_t now_ms, int64_t *retry_at_ms)
{
  backlog_job_t alone = *job;

  alone.free_slots = job->slots;
  if ((double) (job->start_by_ms - now_ms) < last_start_ms (&alone, work_of (job)))
    return BACKLOG_TOO_SHORT;
  double late_ms = lateness_ms (backlog, job, now_ms);
  if (late_ms > 0)
    {
      *retry_at_ms = next_retry (backlog, job, late_ms, now_ms);
      return BACKLOG_FULL;
    }
  *place (backlog->promised_ms, bucket_of (backlog, job->start_by_ms)) += work_of (job);
  return BACKLOG_FITS;
}

double
backlog_total_ms (const backlog_t *backlog)
{
  double total_ms = 0;

  for (int i = 0; i < BACKLOG_BUCKETS; i++)
    total_ms += backlog->queued_ms[i] + backlog->promised_ms[i];
  return total_ms;
}
