/* backlog.h -- the work that waits in one plan, by latest start, and who may join it
 *
 * Work is service time: the expected milliseconds of a task times the slots
 * that it takes.  It is kept in buckets of BACKLOG_BUCKET_MS by the latest
 * moment at which the task may start to end before its deadline, so
 * that a question costs BACKLOG_BUCKETS additions whatever the queue's length.
 *
 * Work is promised when a job is let in and becomes queued when its tasks are
 * added.  A promise that is not taken up (the job turned out to be a duplicate)
 * fades.
 *
 * Pure; not thread-safe.
 */
#ifndef DISPATCH_BACKLOG_H
#define DISPATCH_BACKLOG_H

#include <stdint.h>

#define BACKLOG_BUCKET_MS 100
/* 25.6 s ahead; later ones share the last bucket. */
#define BACKLOG_BUCKETS 256

typedef struct
{
  int64_t first_bucket; /* number of the oldest bucket: its time / BACKLOG_BUCKET_MS */
  int64_t decayed_at_ms;
  int64_t next_retry_at_ms; /* where the next refused job is told to come back */
  double queued_ms[BACKLOG_BUCKETS];
  double reserved_ms[BACKLOG_BUCKETS];
} backlog_t;

/* Forgets times that have passed and lets promises fade. */
void backlog_advance (backlog_t *backlog, int64_t now_ms);

/* Queues WORK_MS, using up what was promised for the same time.  Returns
 * the bucket's number for backlog_remove (). */
int64_t backlog_add (backlog_t *backlog, int64_t latest_start_ms, double work_ms);
void backlog_remove (backlog_t *backlog, int64_t bucket, double work_ms);

/* What a job asks for, and what its plan may use. */
typedef struct
{
  int32_t task_count;      /* tasks */
  double task_ms;          /* expected service time of one */
  double margin_ms;        /* safety on it */
  double slots_per_task;   /* slots that each task takes */
  double slots;            /* slots that the plan can count on, above 0 */
  double free_slots;       /* of them idle now */
  int64_t latest_start_ms; /* latest start of each task */
} backlog_job_t;

typedef enum
{
  BACKLOG_FITS,
  BACKLOG_DEADLINE_UNREACHABLE, /* would be late with nothing ahead of it */
  BACKLOG_FULL                  /* would be late, or make others late */
} backlog_verdict_t;

/* Judges JOB; if it fits, its work is promised.  On BACKLOG_FULL, *RETRY_AT_MS
 * is when there should be room; jobs refused one after the other are told
 * times that are apart by the time that each of them takes, so that they don't
 * come back together. */
backlog_verdict_t
backlog_admit (backlog_t *backlog, const backlog_job_t *job, int64_t now_ms, int64_t *retry_at_ms);

/* All work queued and promised. */
double backlog_total_ms (const backlog_t *backlog);

#endif
