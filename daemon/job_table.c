/* job_table.c -- entries of the job part, their waiters and kept answers
 *
 * The kept answers are limited to the setting kept_answers_bytes.  Beyond it the
 * oldest answers are discarded, but their entries stay: a resubmission is
 * answered with answer_gone and does not run again.  Entries are removed when
 * the key window has passed, which bounds their number.
 */
#include "daemon/job_private.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/sync.h"
#include "daemon/part_burn.h"
#include "settings/settings.h"

#include <string.h>

/* Estimated memory of an entry without its answer, counted towards the limit on
 * kept answers. */
#define ENTRY_OVERHEAD_BYTES 512
/* Interval of the search for entries whose key window has passed. */
#define EXPIRY_SCAN_INTERVAL_MS 1000

static void
remote_waiter_free (void *data)
{
  remote_waiter_t *remote = data;

  g_free (remote->host);
  g_free (remote);
}

job_entry_t *
job_entry_new (job_part_t *part, job_request_t *request)
{
  const settings_t *settings = daemon_settings (part->base.daemon);
  job_entry_t *entry = g_new0 (job_entry_t, 1);

  atomic_init (&entry->refs, 1);
  entry->part = part;
  entry->key = g_strdup (request->key);
  entry->home = g_strdup (
      request->home != NULL ? request->home : part_job_default_home (&part->base, request->key));
  entry->digest = request->digest;
  entry->request = job_request_ref (request);
  entry->kind = g_strdup (request->kind);
  entry->submitted_at_ms = daemon_now_ms (part->base.daemon);
  entry->deadline_at_ms = clock_wall_to_boot_ms (request->deadline_at_ms);
  entry->expires_at_ms = clock_wall_to_boot_ms (request->issued_at_ms + settings->key_window_ms);
  entry->waiters = g_ptr_array_new ();
  entry->remote_waiters = g_ptr_array_new_with_free_func (remote_waiter_free);
  entry->deferred_runs = g_ptr_array_new ();
  g_hash_table_replace (part->entries, entry->key, entry);
  g_hash_table_add (part->active_entries, entry);
  return entry;
}

job_entry_t *
job_entry_ref (job_entry_t *entry)
{
  atomic_fetch_add (&entry->refs, 1);
  return entry;
}

void
job_entry_unref (job_entry_t *entry)
{
  if (atomic_fetch_sub (&entry->refs, 1) > 1)
    return;
  job_free (entry->job);
  job_request_unref (entry->request);
  job_answer_unref (entry->answer);
  g_free (entry->task_runs);
  g_ptr_array_unref (entry->waiters);
  g_ptr_array_unref (entry->remote_waiters);
  g_ptr_array_unref (entry->deferred_runs);
  g_free (entry->key);
  g_free (entry->home);
  g_free (entry->plan);
  g_free (entry->kind);
  g_free (entry->claimant);
  g_free (entry->pending_message);
  g_free (entry);
}

static int64_t
answer_bytes (const job_answer_t *answer)
{
  return (int64_t) g_bytes_get_size (answer->body) + ENTRY_OVERHEAD_BYTES;
}

static void
discard_answer (job_part_t *part, job_entry_t *entry)
{
  part->kept_bytes -= answer_bytes (entry->answer);
  g_clear_pointer (&entry->answer, job_answer_unref);
}

static void
retain_answer (job_part_t *part, job_entry_t *entry)
{
  int64_t max_bytes = daemon_settings (part->base.daemon)->kept_answers_bytes;

  g_queue_push_tail (&part->kept_entries, job_entry_ref (entry));
  part->kept_bytes += answer_bytes (entry->answer);
  while (part->kept_bytes > max_bytes)
    {
      job_entry_t *oldest = g_queue_pop_head (&part->kept_entries);
      if (oldest == NULL)
        break;
      if (oldest->answer != NULL)
        discard_answer (part, oldest);
      job_entry_unref (oldest);
    }
}

void
job_entry_add_kept (job_part_t *part,
                    const char *key,
                    const hash_digest_t *digest,
                    int64_t expires_at_ms,
                    job_answer_t *answer)
{
  job_entry_t *entry = g_new0 (job_entry_t, 1);

  atomic_init (&entry->refs, 1);
  entry->part = part;
  entry->state = JOB_ENTRY_ENDED;
  entry->key = g_strdup (key);
  entry->digest = *digest;
  entry->expires_at_ms = expires_at_ms;
  entry->waiters = g_ptr_array_new ();
  entry->remote_waiters = g_ptr_array_new ();
  entry->deferred_runs = g_ptr_array_new ();
  entry->answer = answer;
  g_hash_table_replace (part->entries, entry->key, entry);
  retain_answer (part, entry);
}

static void
record_end (job_entry_t *entry, const job_answer_t *answer)
{
  job_part_t *part = entry->part;
  int64_t now_ms = daemon_now_ms (part->base.daemon);
  char *labels = g_strdup_printf ("kind=\"%s\"", error_name (answer->error));

  counter_add (counter_get ("jaytrail_jobs_total", labels), 1);
  log_debug (JOB_PART, "Job ended.", "key", entry->key, "plan", entry->plan, "kind", entry->kind,
             "result", error_name (answer->error), NULL);
  g_free (labels);
  /* An attached entry is recorded by the host that coordinates the job. */
  if (entry->plan != NULL && entry->claimant == NULL && entry->request != NULL)
    part_burn_record (part->parts.burn, entry->plan, entry->kind, answer->error,
                      now_ms - entry->submitted_at_ms, (int32_t) entry->request->task_count,
                      now_ms);
}

void
job_entry_end (job_entry_t *entry, job_answer_t *answer, bool keep)
{
  job_part_t *part = entry->part;

  if (entry->state == JOB_ENTRY_ENDED)
    {
      job_answer_unref (answer);
      return;
    }
  record_end (entry, answer);
  entry->state = JOB_ENTRY_ENDED;
  entry->answer = answer;
  g_hash_table_remove (part->active_entries, entry);
  for (guint i = 0; i < entry->waiters->len; i++)
    waiter_complete (entry->waiters->pdata[i], job_answer_ref (answer));
  g_ptr_array_set_size (entry->waiters, 0);
  for (guint i = 0; i < entry->remote_waiters->len; i++)
    {
      const remote_waiter_t *remote = entry->remote_waiters->pdata[i];
      job_peer_send_answer (entry, remote->host, remote->request_id);
    }
  g_ptr_array_set_size (entry->remote_waiters, 0);
  if (entry->request_id != 0)
    g_hash_table_remove (part->attached_entries, &entry->request_id);
  g_clear_pointer (&entry->request, job_request_unref);
  if (keep)
    retain_answer (part, entry);
  else if (g_hash_table_lookup (part->entries, entry->key) == entry)
    g_hash_table_remove (part->entries, entry->key);
}

job_answer_t *
job_entry_answer (job_entry_t *entry)
{
  if (entry->answer != NULL)
    return job_answer_ref (entry->answer);
  return job_answer_error (ERROR_ANSWER_GONE, false, 0, NULL);
}

void
job_entries_expire (job_part_t *part, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  if (now_ms < part->next_expiry_scan_at_ms)
    return;
  part->next_expiry_scan_at_ms = now_ms + EXPIRY_SCAN_INTERVAL_MS;
  g_hash_table_iter_init (&iter, part->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      job_entry_t *entry = value;
      if (entry->state != JOB_ENTRY_ENDED || now_ms < entry->expires_at_ms)
        continue;
      if (entry->answer != NULL)
        discard_answer (part, entry);
      if (g_queue_remove (&part->kept_entries, entry))
        job_entry_unref (entry);
      g_hash_table_iter_remove (&iter);
    }
}

/* --- waiters --- */

waiter_t *
waiter_new (void)
{
  waiter_t *waiter = g_new0 (waiter_t, 1);

  atomic_init (&waiter->refs, 2);
  pthread_mutex_init (&waiter->lock, NULL);
  pthread_cond_init (&waiter->answered, NULL);
  return waiter;
}

void
waiter_unref (waiter_t *waiter)
{
  if (atomic_fetch_sub (&waiter->refs, 1) > 1)
    return;
  job_answer_unref (waiter->answer);
  pthread_mutex_destroy (&waiter->lock);
  pthread_cond_destroy (&waiter->answered);
  g_free (waiter);
}

void
waiter_complete (waiter_t *waiter, job_answer_t *answer)
{
  pthread_mutex_lock (&waiter->lock);
  waiter->answer = answer;
  pthread_cond_signal (&waiter->answered);
  pthread_mutex_unlock (&waiter->lock);
  waiter_unref (waiter);
}

job_answer_t *
waiter_wait (waiter_t *waiter, int64_t until_ms)
{
  bool before_timeout = true;

  pthread_mutex_lock (&waiter->lock);
  while (waiter->answer == NULL && before_timeout)
    before_timeout = sync_wait_until (&waiter->answered, &waiter->lock, until_ms);
  job_answer_t *answer = waiter->answer != NULL
                             ? job_answer_ref (waiter->answer)
                             : job_answer_error (ERROR_DEADLINE_PASSED, false, 0, NULL);
  pthread_mutex_unlock (&waiter->lock);
  waiter_unref (waiter);
  return answer;
}
