/* backlog.h -- admission control of one plan by the work that it has queued
 *
 * Work is service time: the expected milliseconds of a task times the slots that it
 * takes.  It is summed in buckets of BACKLOG_BUCKET_MS by the latest time at which a
 * task can start and still end before its deadline.  The cost of an admission decision
 * is thus BACKLOG_BUCKETS additions, however long the queue.
 *
 * Admission reserves the work of a job; adding its tasks turns the reserved work into
 * queued work.  Reserved work decays, because the tasks of an admitted job may never be
 * added, for instance if the job turns out to be a duplicate.
 *
 * Functions use no state but their arguments; not thread-safe.
 */
#ifndef DISPATCH_BACKLOG_H
#define DISPATCH_BACKLOG_H

#include <stdint.h>

#define BACKLOG_BUCKET_MS 100
/* The buckets cover 25.6 s.  Work with a later latest start is put into the last. */
#define BACKLOG_BUCKETS 256

/* The work of bucket B is at index B % BACKLOG_BUCKETS.  All zero is an empty
 * backlog. */
typedef struct
{
  int64_t first_bucket;     /* number of the oldest bucket: its time / BACKLOG_BUCKET_MS */
  int64_t decayed_at_ms;    /* when the reserved work was last halved */
  int64_t next_retry_at_ms; /* earliest retry time for the next refused job; spaces retries */
  double queued_ms[BACKLOG_BUCKETS];
  double reserved_ms[BACKLOG_BUCKETS];
} backlog_t;

/* Drops the buckets before NOW_MS and decays the reserved work. */
void backlog_advance (backlog_t *backlog, int64_t now_ms);

/* Adds WORK_MS as queued work, which replaces as much reserved work of the same bucket.
 * Returns the number of the bucket, to be given to backlog_remove (). */
int64_t backlog_add (backlog_t *backlog, int64_t latest_start_ms, double work_ms);
/* Removes WORK_MS from the queued work of BUCKET.  No-op if BUCKET was dropped. */
void backlog_remove (backlog_t *backlog, int64_t bucket, double work_ms);

/* What a job needs, and what its plan may use. */
typedef struct
{
  int32_t task_count;
  double task_ms;          /* expected service time of each task */
  double margin_ms;        /* safety margin on task_ms */
  double slots_per_task;   /* slots that each task takes */
  double slots;            /* slots that the plan can expect to use; must be above 0 */
  double free_slots;       /* slots that are free now */
  int64_t latest_start_ms; /* latest start of each task */
} backlog_job_t;

typedef enum
{
  BACKLOG_FITS,
  BACKLOG_DEADLINE_UNREACHABLE, /* the job would be late even with an empty queue */
  BACKLOG_FULL                  /* the job would be late or delay queued work too much */
} backlog_verdict_t;

/* Decides whether JOB can be admitted, and if so reserves its work.  With BACKLOG_FULL,
 * *RETRY_AT_MS is the time at which the job is expected to fit.  The retry times of
 * jobs refused in succession are spaced by the time that each job takes, so that they
 * are not all retried at once. */
backlog_verdict_t
backlog_admit (backlog_t *backlog, const backlog_job_t *job, int64_t now_ms, int64_t *retry_at_ms);

/* Sum of all queued and reserved work. */
double backlog_total_ms (const backlog_t *backlog);

#endif
