/* ended_jobs.c -- jobs that have ended, so that a repeated request is answered and not run again */
#include "scheduler/ended_jobs.h"

#include <string.h>

#define OUTCOMES (SCHEDULER_CANCELLED + 1)

/* An outcome without a row of numbers is not recorded. */
static const struct
{
  int64_t retention_ms;
  guint count_max;
} limits[OUTCOMES] = {
  [SCHEDULER_COMPLETE] = { ENDED_ANSWERED_RETENTION_MS, ENDED_COMPLETE_MAX },
  [SCHEDULER_FAILED] = { ENDED_ANSWERED_RETENTION_MS, ENDED_FAILED_MAX },
  [SCHEDULER_CANCELLED] = { ENDED_CANCELLED_RETENTION_MS, ENDED_CANCELLED_MAX },
};

typedef struct
{
  GList link; /* in the queue of RETAINED_AS; its data is the job */
  int64_t expires_at_ms;
  scheduler_outcome_t outcome;     /* the first one */
  scheduler_outcome_t retained_as; /* the one that is kept the longest */
  char id[];
} ended_job_t;

struct ended_jobs_t
{
  GQueue queues[OUTCOMES]; /* ended_job_t by RETAINED_AS, the first to expire first */
  GHashTable *by_id;       /* id -> ended_job_t */
};

ended_jobs_t *
ended_jobs_new (void)
{
  ended_jobs_t *jobs = g_new0 (ended_jobs_t, 1);

  for (int i = 0; i < OUTCOMES; i++)
    g_queue_init (&jobs->queues[i]);
  jobs->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  return jobs;
}

static void
forget (ended_jobs_t *jobs, ended_job_t *job)
{
  g_hash_table_remove (jobs->by_id, job->id);
  g_queue_unlink (&jobs->queues[job->retained_as], &job->link);
  g_free (job);
}

void
ended_jobs_free (ended_jobs_t *jobs)
{
  if (jobs == NULL)
    return;
  for (int i = 0; i < OUTCOMES; i++)
    while (jobs->queues[i].head != NULL)
      forget (jobs, jobs->queues[i].head->data);
  g_hash_table_unref (jobs->by_id);
  g_free (jobs);
}

static ended_job_t *
new_job (ended_jobs_t *jobs, const char *id, scheduler_outcome_t outcome)
{
  size_t id_bytes = strlen (id) + 1;
  ended_job_t *job = g_malloc0 (sizeof *job + id_bytes);

  memcpy (job->id, id, id_bytes);
  job->link.data = job;
  job->outcome = outcome;
  g_hash_table_insert (jobs->by_id, job->id, job);
  return job;
}

/* Puts JOB, which is in no queue, into that of OUTCOME. */
static void
retain (ended_jobs_t *jobs, ended_job_t *job, scheduler_outcome_t outcome, int64_t now_ms)
{
  GQueue *queue = &jobs->queues[outcome];

  if (queue->length >= limits[outcome].count_max)
    forget (jobs, queue->head->data);
  job->retained_as = outcome;
  job->expires_at_ms = now_ms + limits[outcome].retention_ms;
  g_queue_push_tail_link (queue, &job->link);
}

void
ended_jobs_add (ended_jobs_t *jobs, const char *id, scheduler_outcome_t outcome, int64_t now_ms)
{
  if (limits[outcome].count_max == 0)
    return;
  ended_jobs_expire (jobs, now_ms);
  ended_job_t *job = g_hash_table_lookup (jobs->by_id, id);

  if (job == NULL)
    job = new_job (jobs, id, outcome);
  else if (limits[outcome].retention_ms > limits[job->retained_as].retention_ms)
    g_queue_unlink (&jobs->queues[job->retained_as], &job->link);
  else
    return;
  retain (jobs, job, outcome, now_ms);
}

bool
ended_jobs_find (ended_jobs_t *jobs, const char *id, int64_t now_ms, scheduler_outcome_t *outcome)
{
  ended_jobs_expire (jobs, now_ms);
  const ended_job_t *job = g_hash_table_lookup (jobs->by_id, id);

  if (job == NULL)
    return false;
  *outcome = job->outcome;
  return true;
}

void
ended_jobs_expire (ended_jobs_t *jobs, int64_t now_ms)
{
  for (int i = 0; i < OUTCOMES; i++)
    while (jobs->queues[i].head != NULL
           && now_ms >= ((ended_job_t *) jobs->queues[i].head->data)->expires_at_ms)
      forget (jobs, jobs->queues[i].head->data);
}

void
ended_jobs_foreach_cancelled (const ended_jobs_t *jobs,
                              size_t count_max,
                              void (*function) (const char *id, void *data),
                              void *data)
{
  const GList *at = jobs->queues[SCHEDULER_CANCELLED].tail;

  for (size_t i = 0; i < count_max && at != NULL; i++, at = at->prev)
    function (((const ended_job_t *) at->data)->id, data);
}

size_t
ended_jobs_count (const ended_jobs_t *jobs)
{
  return g_hash_table_size (jobs->by_id);
}
