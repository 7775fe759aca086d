/* remote_jobs.c -- jobs whose tasks may be running for another coordinator */
#include "scheduler/remote_jobs.h"

/* The end of an open job may not be told.  Its entry is kept for this long after its deadline, by
 * which its host has answered it and ended its runs. */
#define UNTOLD_END_MS 2000

struct remote_jobs_t
{
  GHashTable *by_id; /* id, owned -> remote_job_t, owned */
};

remote_jobs_t *
remote_jobs_new (void)
{
  remote_jobs_t *jobs = g_new0 (remote_jobs_t, 1);

  jobs->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return jobs;
}

void
remote_jobs_free (remote_jobs_t *jobs)
{
  if (jobs == NULL)
    return;
  g_hash_table_unref (jobs->by_id);
  g_free (jobs);
}

static remote_job_t *
find_or_add (remote_jobs_t *jobs, const char *id, const char *host, int64_t now_ms)
{
  remote_job_t *job = g_hash_table_lookup (jobs->by_id, id);

  if (job != NULL && now_ms < job->over_at_ms)
    return job;
  if (job == NULL && g_hash_table_size (jobs->by_id) >= REMOTE_JOBS_MAX)
    return NULL;
  job = g_new0 (remote_job_t, 1);
  job->host = g_intern_string (host);
  g_hash_table_replace (jobs->by_id, g_strdup (id), job);
  return job;
}

bool
remote_jobs_open (remote_jobs_t *jobs,
                  const char *id,
                  const char *host,
                  int64_t deadline_at_ms,
                  int64_t now_ms)
{
  remote_job_t *job = find_or_add (jobs, id, host, now_ms);

  if (job == NULL)
    return false;
  if (job->host != g_intern_string (host) && job->over_at_ms == INT64_MAX)
    return true;
  job->host = g_intern_string (host);
  job->learned_at_ms = now_ms;
  job->over_at_ms = INT64_MAX;
  job->expires_at_ms = MAX (deadline_at_ms, now_ms) + UNTOLD_END_MS;
  return true;
}

void
remote_jobs_ended (remote_jobs_t *jobs,
                   const char *id,
                   const char *host,
                   int64_t over_at_ms,
                   int64_t now_ms)
{
  remote_job_t *job = g_hash_table_lookup (jobs->by_id, id);

  if (over_at_ms <= now_ms)
    {
      if (job != NULL && job->host == g_intern_string (host))
        g_hash_table_remove (jobs->by_id, id);
      return;
    }
  job = find_or_add (jobs, id, host, now_ms);
  if (job == NULL || job->host != g_intern_string (host))
    return;
  job->learned_at_ms = now_ms;
  job->over_at_ms = over_at_ms;
  job->expires_at_ms = over_at_ms;
}

void
remote_jobs_host_lost (remote_jobs_t *jobs, const char *host, int64_t over_at_ms)
{
  const char *interned = g_intern_string (host);
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, jobs->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      remote_job_t *job = value;
      if (job->host != interned)
        continue;
      job->over_at_ms = MIN (job->over_at_ms, over_at_ms);
      job->expires_at_ms = MIN (job->expires_at_ms, over_at_ms);
    }
}

const remote_job_t *
remote_jobs_find (const remote_jobs_t *jobs, const char *id, int64_t now_ms)
{
  const remote_job_t *job = g_hash_table_lookup (jobs->by_id, id);

  return job != NULL && now_ms < job->over_at_ms && now_ms < job->expires_at_ms ? job : NULL;
}

static gboolean
is_expired (void *id, void *value, void *now_ms)
{
  (void) id;
  return *(const int64_t *) now_ms >= ((const remote_job_t *) value)->expires_at_ms;
}

void
remote_jobs_expire (remote_jobs_t *jobs, int64_t now_ms)
{
  g_hash_table_foreach_remove (jobs->by_id, is_expired, &now_ms);
}

size_t
remote_jobs_count (const remote_jobs_t *jobs)
{
  return g_hash_table_size (jobs->by_id);
}
