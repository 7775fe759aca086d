/* job_peer.c -- messages between the coordinator of a job and hosts that wait for it
 *
 * If another host holds a key, this host attaches to it: it sends the claimant a
 * wait message.  The message is repeated, because frames are lost when a
 * connection breaks; the claimant recognises repetitions by host and request id.
 * The claimant answers when the job has ended.  If it does not know the key it
 * says so at once, and the attached host claims the key again after a short
 * delay.  If the claimant stays disconnected, or reconnects with another
 * incarnation, its jobs are lost and may have run, unless it has transferred its
 * answers (job_transfer.c).
 *
 * Cancellations to the same host are sent in one frame per tick.
 */
#include "daemon/job_private.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"

#include <string.h>

/* Interval at which a wait message is repeated. */
#define WAIT_RESEND_INTERVAL_MS 2000
/* A claimant that has been disconnected for this long counts as lost. */
#define CLAIMANT_RECONNECT_TIMEOUT_MS 3000
/* Random delay before the key is claimed again, in which the claimant releases
 * it. */
#define RECLAIM_DELAY_MIN_MS 30
#define RECLAIM_DELAY_MAX_MS 150
/* Limit of claims after a claimant did not know the key.  Then the claimant
 * counts as lost. */
#define ATTACH_ATTEMPTS_MAX 10
#define CANCEL_BATCH_COUNT_MAX 100000

static void
send_frame (job_part_t *part, const char *host, frame_writer_t *writer)
{
  counter_add (part->messages_sent, 1);
  daemon_send (part->base.daemon, host, frame_finish (writer));
}

/* --- the attached host --- */

static void
send_wait_request (job_entry_t *entry)
{
  frame_writer_t *writer = frame_begin (FRAME_JOB_WAIT);

  frame_put_uint (writer, entry->request_id);
  frame_put_string (writer, entry->key);
  frame_put_bool (writer, entry->cancelled);
  send_frame (entry->part, entry->claimant, writer);
  entry->next_send_at_ms = daemon_now_ms (entry->part->base.daemon) + WAIT_RESEND_INTERVAL_MS;
}

static void
end_claimant_lost (job_entry_t *entry)
{
  log_info (JOB_PART, "Claimant is lost; the job may have run.", "key", entry->key, "claimant",
            entry->claimant, NULL);
  job_entry_end (entry, job_answer_error (ERROR_CLAIMANT_LOST, false, 0, NULL), false);
}

/* Attaches ENTRY to HOST.  If HOST runs as another incarnation than INCARNATION,
 * the claimant is lost. */
static void
attach_to_host (job_entry_t *entry, const char *host, uint64_t incarnation)
{
  job_part_t *part = entry->part;
  daemon_t *daemon = part->base.daemon;
  daemon_peer_t peer;
  bool known_peer = daemon_find_peer (daemon, host, &peer);
  char *claimant = g_strdup (host);

  if (entry->request_id != 0)
    g_hash_table_remove (part->attached_entries, &entry->request_id);
  entry->state = JOB_ENTRY_ATTACHED;
  entry->request_id = part->next_request_id++;
  entry->reclaim_pending = false;
  entry->claimant_incarnation = incarnation;
  entry->claimant_timeout_at_ms = 0;
  g_free (entry->claimant);
  entry->claimant = claimant;
  g_hash_table_insert (part->attached_entries, &entry->request_id, entry);
  counter_add (part->jobs_attached, 1);
  if (known_peer && peer.connected && peer.incarnation != incarnation)
    {
      end_claimant_lost (entry);
      return;
    }
  if (!known_peer || !peer.connected)
    entry->claimant_timeout_at_ms = daemon_now_ms (daemon) + CLAIMANT_RECONNECT_TIMEOUT_MS;
  send_wait_request (entry);
}

void
job_entry_attach (job_entry_t *entry, const claim_outcome_t *outcome)
{
  const char *host = outcome->claimant;
  uint64_t incarnation = outcome->claimant_incarnation;

  if (!job_transfer_resolve (entry->part, outcome->claimant_incarnation, &host, &incarnation))
    daemon_add_address (entry->part->base.daemon, outcome->claimant_address,
                        outcome->claimant_data_centre);
  attach_to_host (entry, host, incarnation);
}

/* The claimant has stopped or is unreachable.  Attaches ENTRY to the host that has
 * the claimant's answers; if they were not transferred, ends ENTRY. */
static void
handle_claimant_gone (job_entry_t *entry)
{
  const char *host = NULL;
  uint64_t incarnation = 0;

  if (job_transfer_resolve (entry->part, entry->claimant_incarnation, &host, &incarnation))
    attach_to_host (entry, host, incarnation);
  else
    end_claimant_lost (entry);
}

static void
handle_key_unknown (job_entry_t *entry)
{
  if (++entry->attach_attempts > ATTACH_ATTEMPTS_MAX)
    {
      end_claimant_lost (entry);
      return;
    }
  entry->reclaim_pending = true;
  entry->next_send_at_ms = daemon_now_ms (entry->part->base.daemon)
                           + g_random_int_range (RECLAIM_DELAY_MIN_MS, RECLAIM_DELAY_MAX_MS);
}

static job_answer_t *
read_answer (frame_reader_t *reader)
{
  int error = (int) frame_get_range (reader, ERROR_LAST, 0);
  int status = (int) frame_get_range (reader, 100, 599);
  bool not_run = frame_get_bool (reader);
  int64_t retry_at_ms = frame_get_int (reader);
  size_t size = 0;
  const void *body = frame_get_bytes (reader, FRAME_MAX_BYTES, &size);

  if (!frame_ok (reader))
    return NULL;
  return job_answer_from_peer (error, status, not_run, retry_at_ms, g_bytes_new (body, size));
}

static void
complete_query (job_query_t *query, job_answer_t *answer)
{
  g_hash_table_remove (query->part->queries, &query->request_id);
  waiter_complete (query->waiter, answer);
  g_free (query->key);
  g_free (query->host);
  g_free (query);
}

static void
handle_answer (job_part_t *part, frame_reader_t *reader)
{
  uint64_t request_id = frame_get_uint (reader);
  bool known = frame_get_bool (reader);
  job_answer_t *answer = known ? read_answer (reader) : NULL;
  job_entry_t *entry = g_hash_table_lookup (part->attached_entries, &request_id);
  job_query_t *query = g_hash_table_lookup (part->queries, &request_id);

  if (!frame_ok (reader))
    job_answer_unref (answer);
  else if (entry != NULL && entry->state == JOB_ENTRY_ATTACHED)
    {
      job_entry_ref (entry);
      if (known)
        job_entry_end (entry, answer, false);
      else
        handle_key_unknown (entry);
      job_entry_unref (entry);
    }
  else if (query != NULL)
    complete_query (query, known ? answer : job_answer_error (ERROR_UNKNOWN_KEY, false, 0, NULL));
  else
    job_answer_unref (answer);
}

/* --- the claimant --- */

static void
send_key_unknown (job_part_t *part, const char *host, uint64_t request_id)
{
  frame_writer_t *writer = frame_begin (FRAME_JOB_ANSWER);

  frame_put_uint (writer, request_id);
  frame_put_bool (writer, false);
  send_frame (part, host, writer);
}

static void
send_answer (job_part_t *part, const char *host, uint64_t request_id, const job_answer_t *answer)
{
  frame_writer_t *writer = frame_begin (FRAME_JOB_ANSWER);
  gsize size = 0;
  const void *body = g_bytes_get_data (answer->body, &size);

  frame_put_uint (writer, request_id);
  frame_put_bool (writer, true);
  frame_put_int (writer, answer->error);
  frame_put_int (writer, answer->status);
  frame_put_bool (writer, answer->not_run);
  frame_put_int (writer, answer->retry_at_ms);
  frame_put_bytes (writer, body, size);
  send_frame (part, host, writer);
}

void
job_peer_send_answer (job_entry_t *entry, const char *host, uint64_t request_id)
{
  job_answer_t *answer = job_entry_answer (entry);

  send_answer (entry->part, host, request_id, answer);
  job_answer_unref (answer);
}

static void
add_remote_waiter (job_entry_t *entry, const char *host, uint64_t request_id)
{
  for (guint i = 0; i < entry->remote_waiters->len; i++)
    {
      const remote_waiter_t *known = entry->remote_waiters->pdata[i];
      if (known->request_id == request_id && strcmp (known->host, host) == 0)
        return;
    }
  remote_waiter_t *remote = g_new (remote_waiter_t, 1);
  remote->host = g_strdup (host);
  remote->request_id = request_id;
  g_ptr_array_add (entry->remote_waiters, remote);
}

/* Answers a wait message: at once if the job has ended, when it ends if it is
 * active, and with "unknown key" if this host does not coordinate it. */
static void
serve_waiter (job_part_t *part, const char *from, uint64_t request_id, const char *key, bool cancel)
{
  job_entry_t *entry = g_hash_table_lookup (part->entries, key);

  if (entry == NULL || entry->state == JOB_ENTRY_ATTACHED)
    {
      send_key_unknown (part, from, request_id);
      return;
    }
  if (entry->state == JOB_ENTRY_ENDED)
    {
      job_peer_send_answer (entry, from, request_id);
      return;
    }
  add_remote_waiter (entry, from, request_id);
  if (!cancel)
    return;
  job_entry_ref (entry);
  job_entry_cancel (entry);
  job_entry_unref (entry);
}

static void
handle_wait_request (job_part_t *part, const char *from, frame_reader_t *reader)
{
  uint64_t request_id = frame_get_uint (reader);
  char *key = frame_get_string (reader, JOB_KEY_MAX_BYTES);
  bool cancel = frame_get_bool (reader);

  if (frame_ok (reader) && key != NULL)
    serve_waiter (part, from, request_id, key, cancel);
  g_free (key);
}

static void
handle_cancels (job_part_t *part, const char *from, frame_reader_t *reader)
{
  size_t count = frame_get_count (reader, CANCEL_BATCH_COUNT_MAX);

  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      uint64_t request_id = frame_get_uint (reader);
      char *key = frame_get_string (reader, JOB_KEY_MAX_BYTES);
      if (frame_ok (reader) && key != NULL)
        serve_waiter (part, from, request_id, key, true);
      g_free (key);
    }
}

static void
handle_state_query (job_part_t *part, const char *from, frame_reader_t *reader)
{
  uint64_t request_id = frame_get_uint (reader);
  char *key = frame_get_string (reader, JOB_KEY_MAX_BYTES);
  job_entry_t *entry = key != NULL ? g_hash_table_lookup (part->entries, key) : NULL;

  if (!frame_ok (reader) || key == NULL)
    return;
  if (entry == NULL || entry->state == JOB_ENTRY_ATTACHED)
    send_key_unknown (part, from, request_id);
  else
    {
      job_answer_t *answer = job_entry_state (entry);
      send_answer (part, from, request_id, answer);
      job_answer_unref (answer);
    }
  g_free (key);
}

void
job_peer_frame (part_t *base, const char *from, frame_reader_t *reader, int64_t now_ms)
{
  job_part_t *part = (job_part_t *) base;

  (void) now_ms;
  switch (frame_type (reader))
    {
    case FRAME_JOB_WAIT:
      handle_wait_request (part, from, reader);
      break;
    case FRAME_JOB_ANSWER:
      handle_answer (part, reader);
      break;
    case FRAME_JOB_CANCEL:
      handle_cancels (part, from, reader);
      break;
    case FRAME_JOB_STATE:
      handle_state_query (part, from, reader);
      break;
    case FRAME_JOB_TRANSFER:
      job_transfer_handle_answers (part, from, reader);
      break;
    case FRAME_JOB_TRANSFER_CONFIRM:
      job_transfer_handle_confirm (part, from, reader);
      break;
    case FRAME_JOB_TRANSFERRED:
      job_transfer_handle_announcements (part, from, reader);
      break;
    default:
      break;
    }
}

/* --- queries --- */

void
job_peer_send_query (job_query_t *query)
{
  job_part_t *part = query->part;

  query->request_id = part->next_request_id++;
  g_hash_table_insert (part->queries, &query->request_id, query);
  if (!query->cancel)
    {
      frame_writer_t *writer = frame_begin (FRAME_JOB_STATE);
      frame_put_uint (writer, query->request_id);
      frame_put_string (writer, query->key);
      send_frame (part, query->host, writer);
      return;
    }
  GPtrArray *batch = g_hash_table_lookup (part->pending_cancels, query->host);
  if (batch == NULL)
    {
      batch = g_ptr_array_new ();
      g_hash_table_insert (part->pending_cancels, g_strdup (query->host), batch);
    }
  g_ptr_array_add (batch, query);
}

static void
send_cancels (job_part_t *part)
{
  GHashTableIter iter;
  void *host = NULL;
  void *value = NULL;

  g_hash_table_iter_init (&iter, part->pending_cancels);
  while (g_hash_table_iter_next (&iter, &host, &value))
    {
      GPtrArray *batch = value;
      frame_writer_t *writer = frame_begin (FRAME_JOB_CANCEL);
      frame_put_count (writer, batch->len);
      for (guint i = 0; i < batch->len; i++)
        {
          const job_query_t *query = batch->pdata[i];
          frame_put_uint (writer, query->request_id);
          frame_put_string (writer, query->key);
        }
      send_frame (part, host, writer);
      g_hash_table_iter_remove (&iter);
    }
}

static void
expire_queries (job_part_t *part, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;
  GPtrArray *overdue = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, part->queries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms >= ((job_query_t *) value)->timeout_at_ms)
      g_ptr_array_add (overdue, value);
  for (guint i = 0; i < overdue->len; i++)
    complete_query (overdue->pdata[i], job_answer_error (ERROR_CLAIMANT_LOST, false, 0, NULL));
  g_ptr_array_unref (overdue);
}

/* --- peers and ticks --- */

/* Returns the attached entries, each with a reference, so that the caller may
 * change the set of active entries while it walks the list. */
static GPtrArray *
list_attached (job_part_t *part)
{
  GHashTableIter iter;
  void *key = NULL;
  GPtrArray *list = g_ptr_array_new_with_free_func ((GDestroyNotify) job_entry_unref);

  g_hash_table_iter_init (&iter, part->active_entries);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (((job_entry_t *) key)->state == JOB_ENTRY_ATTACHED)
      g_ptr_array_add (list, job_entry_ref (key));
  return list;
}

static void
update_attached (job_entry_t *entry, int64_t now_ms)
{
  if (entry->claimant_timeout_at_ms > 0 && now_ms >= entry->claimant_timeout_at_ms)
    handle_claimant_gone (entry);
  else if (now_ms < entry->next_send_at_ms)
    return;
  else if (entry->reclaim_pending)
    job_entry_claim (entry);
  else
    send_wait_request (entry);
}

void
job_peer_tick (job_part_t *part, int64_t now_ms)
{
  GPtrArray *attached = list_attached (part);

  for (guint i = 0; i < attached->len; i++)
    update_attached (attached->pdata[i], now_ms);
  g_ptr_array_unref (attached);
  send_cancels (part);
  expire_queries (part, now_ms);
}

void
job_peer_up (part_t *base, const char *host, int64_t now_ms)
{
  job_part_t *part = (job_part_t *) base;
  daemon_peer_t peer;
  GPtrArray *attached = list_attached (part);

  (void) now_ms;
  daemon_find_peer (base->daemon, host, &peer);
  g_hash_table_remove (part->stopping_hosts, host);
  job_transfer_send_announcements (part, host);
  for (guint i = 0; i < attached->len; i++)
    {
      job_entry_t *entry = attached->pdata[i];
      if (strcmp (entry->claimant, host) != 0)
        continue;
      entry->claimant_timeout_at_ms = 0;
      if (peer.incarnation != entry->claimant_incarnation)
        handle_claimant_gone (entry);
      else if (!entry->reclaim_pending)
        send_wait_request (entry);
    }
  g_ptr_array_unref (attached);
}

void
job_peer_down (part_t *base, const char *host, int64_t now_ms)
{
  GPtrArray *attached = list_attached ((job_part_t *) base);

  for (guint i = 0; i < attached->len; i++)
    {
      job_entry_t *entry = attached->pdata[i];
      const char *new_host = NULL;
      uint64_t incarnation = 0;
      if (strcmp (entry->claimant, host) != 0)
        continue;
      if (job_transfer_resolve (entry->part, entry->claimant_incarnation, &new_host, &incarnation))
        attach_to_host (entry, new_host, incarnation);
      else
        entry->claimant_timeout_at_ms = now_ms + CLAIMANT_RECONNECT_TIMEOUT_MS;
    }
  g_ptr_array_unref (attached);
}
