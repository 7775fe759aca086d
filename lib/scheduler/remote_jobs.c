/* remote_jobs.c -- jobs whose tasks may be running for another coordinator */
#include "scheduler/remote_jobs.h"

#include <string.h>

/* The end of an open job may not be told.  Its entry is kept for this long after its deadline, by
 * which its host has answered it and ended its runs. */
#define UNTOLD_END_MS 2000

/* The entries of one job, the last one to be added first. */
typedef struct entry_t entry_t;
struct entry_t
{
  remote_job_t job;
  entry_t *next;
};

struct remote_jobs_t
{
  GHashTable *by_id; /* id, owned -> entry_t, owned; never NULL */
};

static void
free_entries (void *data)
{
  entry_t *entry = data;

  while (entry != NULL)
    {
      entry_t *next = entry->next;
      g_free (entry);
      entry = next;
    }
}

remote_jobs_t *
remote_jobs_new (void)
{
  remote_jobs_t *jobs = g_new0 (remote_jobs_t, 1);

  jobs->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entries);
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

static entry_t *
find_entry (const remote_jobs_t *jobs, const char *id, const char *host)
{
  entry_t *entry = g_hash_table_lookup (jobs->by_id, id);

  while (entry != NULL && entry->job.host != host)
    entry = entry->next;
  return entry;
}

/* Adds an entry of the job with ID, in front of the others.  NULL if there is no place. */
static entry_t *
add_entry (remote_jobs_t *jobs, const char *id, const char *host)
{
  void *key = NULL;
  void *first = NULL;
  bool known = g_hash_table_steal_extended (jobs->by_id, id, &key, &first);

  if (!known && g_hash_table_size (jobs->by_id) >= REMOTE_JOBS_MAX)
    return NULL;
  entry_t *entry = g_new0 (entry_t, 1);
  entry->job.host = host;
  entry->next = first;
  g_hash_table_insert (jobs->by_id, known ? key : g_strdup (id), entry);
  return entry;
}

/* Records until when the runs of the job with ID at HOST may go on, and the entry is kept. */
static bool
set_entry (remote_jobs_t *jobs, const char *id, const char *host, const remote_job_t *job)
{
  const char *interned = g_intern_string (host);
  entry_t *entry = find_entry (jobs, id, interned);

  if (entry == NULL)
    entry = add_entry (jobs, id, interned);
  if (entry == NULL)
    return false;
  entry->job = *job;
  entry->job.host = interned;
  return true;
}

bool
remote_jobs_open (remote_jobs_t *jobs,
                  const char *id,
                  const char *host,
                  bool runs,
                  int64_t deadline_at_ms,
                  int64_t now_ms)
{
  const entry_t *entry = find_entry (jobs, id, g_intern_string (host));
  const remote_job_t job = { .learned_at_ms = now_ms,
                             .over_at_ms = INT64_MAX,
                             .expires_at_ms = MAX (deadline_at_ms, now_ms) + UNTOLD_END_MS,
                             .runs = runs,
                             .asked_at_ms = entry != NULL && !runs ? entry->job.asked_at_ms : 0 };

  return set_entry (jobs, id, host, &job);
}

void
remote_jobs_ended (remote_jobs_t *jobs,
                   const char *id,
                   const char *host,
                   job_evidence_t evidence,
                   int64_t over_at_ms,
                   int64_t now_ms)
{
  const remote_job_t job = { .learned_at_ms = now_ms,
                             .over_at_ms = over_at_ms,
                             .expires_at_ms = over_at_ms,
                             .evidence = evidence };
  entry_t *entry = find_entry (jobs, id, g_intern_string (host));

  if (over_at_ms > now_ms)
    set_entry (jobs, id, host, &job);
  else if (entry != NULL)
    entry->job.expires_at_ms = 0;
}

void
remote_jobs_asked (remote_jobs_t *jobs, const char *id, const char *host, int64_t now_ms)
{
  entry_t *entry = find_entry (jobs, id, g_intern_string (host));

  if (entry == NULL)
    return;
  entry->job.runs = false;
  entry->job.asked_at_ms = now_ms;
}

void
remote_jobs_end_open (remote_jobs_t *jobs, const char *id)
{
  for (entry_t *entry = g_hash_table_lookup (jobs->by_id, id); entry != NULL; entry = entry->next)
    if (entry->job.over_at_ms == INT64_MAX)
      entry->job.expires_at_ms = 0;
}

static void
mark_unheard (entry_t *entry)
{
  entry->job.unheard = true;
  if (entry->job.over_at_ms == INT64_MAX)
    entry->job.evidence = JOB_EVIDENCE_DEADLINE;
}

void
remote_jobs_host_lost (remote_jobs_t *jobs, const char *host)
{
  const char *interned = g_intern_string (host);
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, jobs->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (entry_t *entry = value; entry != NULL; entry = entry->next)
      if (entry->job.host == interned)
        mark_unheard (entry);
}

void
remote_jobs_host_silent (remote_jobs_t *jobs, const char *id, const char *host)
{
  entry_t *entry = find_entry (jobs, id, g_intern_string (host));

  if (entry != NULL)
    mark_unheard (entry);
}

void
remote_jobs_host_restarted (remote_jobs_t *jobs, const char *host, int64_t over_at_ms)
{
  const char *interned = g_intern_string (host);
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, jobs->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (entry_t *entry = value; entry != NULL; entry = entry->next)
      if (entry->job.host == interned && entry->job.over_at_ms > over_at_ms)
        {
          entry->job.over_at_ms = over_at_ms;
          entry->job.expires_at_ms = MIN (entry->job.expires_at_ms, over_at_ms);
          entry->job.evidence = JOB_EVIDENCE_HOST_RESTARTED;
        }
}

void
remote_jobs_foreach (
    const remote_jobs_t *jobs,
    int64_t now_ms,
    void (*function) (const char *id, const remote_job_t *job, int64_t deadline_at_ms, void *data),
    void *data)
{
  GHashTableIter iter;
  void *id = NULL;
  void *value = NULL;

  g_hash_table_iter_init (&iter, jobs->by_id);
  while (g_hash_table_iter_next (&iter, &id, &value))
    for (const entry_t *entry = value; entry != NULL; entry = entry->next)
      if (now_ms < entry->job.over_at_ms && now_ms < entry->job.expires_at_ms)
        function (id, &entry->job, entry->job.expires_at_ms - UNTOLD_END_MS, data);
}

/* The lower, the more likely it is that the host of JOB runs it. */
static int
rank (const remote_job_t *job)
{
  if (job->runs || job->over_at_ms != INT64_MAX)
    return 0;
  return job->asked_at_ms == 0 ? 1 : 2;
}

const remote_job_t *
remote_jobs_find (const remote_jobs_t *jobs, const char *id, int64_t now_ms)
{
  const remote_job_t *found = NULL;

  for (const entry_t *entry = g_hash_table_lookup (jobs->by_id, id); entry != NULL;
       entry = entry->next)
    if (now_ms < entry->job.expires_at_ms && (found == NULL || rank (&entry->job) < rank (found)))
      found = &entry->job;
  return found;
}

const remote_job_t *
remote_jobs_find_host (const remote_jobs_t *jobs, const char *id, const char *host, int64_t now_ms)
{
  const entry_t *entry = find_entry (jobs, id, g_intern_string (host));

  return entry != NULL && now_ms < entry->job.expires_at_ms ? &entry->job : NULL;
}

void
remote_jobs_foreach_host (const remote_jobs_t *jobs,
                          const char *id,
                          int64_t now_ms,
                          void (*function) (const remote_job_t *job, void *data),
                          void *data)
{
  for (const entry_t *entry = g_hash_table_lookup (jobs->by_id, id); entry != NULL;
       entry = entry->next)
    if (now_ms < entry->job.expires_at_ms)
      function (&entry->job, data);
}

const char *
remote_jobs_first_waiting (const remote_jobs_t *jobs,
                           const char *id,
                           const char *self,
                           int64_t asked_since_ms,
                           int64_t now_ms)
{
  const char *first = NULL;

  for (const entry_t *entry = g_hash_table_lookup (jobs->by_id, id); entry != NULL;
       entry = entry->next)
    {
      const remote_job_t *job = &entry->job;
      if (now_ms >= job->expires_at_ms || g_str_equal (job->host, self))
        continue;
      if (rank (job) != 2 || job->asked_at_ms < asked_since_ms)
        return NULL;
      if (first == NULL || strcmp (job->host, first) < 0)
        first = job->host;
    }
  return first;
}

int64_t
remote_jobs_over_at (const remote_jobs_t *jobs, const char *id, const char *host, int64_t now_ms)
{
  const remote_job_t *job = remote_jobs_find_host (jobs, id, host, now_ms);

  return job != NULL ? job->over_at_ms : now_ms;
}

/* Whether all entries have expired. */
static gboolean
is_expired (void *id, void *value, void *now_ms)
{
  (void) id;
  for (const entry_t *entry = value; entry != NULL; entry = entry->next)
    if (*(const int64_t *) now_ms < entry->job.expires_at_ms)
      return FALSE;
  return TRUE;
}

void
remote_jobs_expire (remote_jobs_t *jobs, int64_t now_ms)
{
  g_hash_table_foreach_remove (jobs->by_id, is_expired, &now_ms);
}
