/* job_peer.c -- messages between the coordinator of a job and hosts that wait for it
 *
 * A host that finds a key held by another sends it a wait message and repeats
 * it now and then, because frames can be lost with a connection; the claimant
 * keeps one waiter for each request id.  The claimant answers when the job
 * ends, or at once that it does not know the key, in which case the waiting
 * host claims again after a moment.  A claimant that stays disconnected, or
 * comes back as another incarnation, has taken its jobs with it: they may have
 * run.
 *
 * Cancellations of one tick to the same host go in one frame.
 */
#include "daemon/job_private.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"

#include <string.h>

/* How often a wait message is repeated. */
#define RESEND_MS 2000
/* How long a disconnected claimant may take to come back. */
#define LOST_AFTER_MS 3000
/* Before the key is claimed again; the claimant is releasing it. */
#define RECLAIM_MIN_MS 30
#define RECLAIM_MAX_MS 150
/* Claims of one submission after claimants that did not know the key. */
#define ATTACH_ATTEMPTS_MAX 10
#define CANCELS_MAX 100000

static void
send_frame (job_part_t *part, const char *host, frame_writer_t *writer)
{
  counter_add (part->messages, 1);
  daemon_send (part->base.daemon, host, frame_finish (writer));
}

/* --- the waiting side --- */

static void
send_wait (entry_t *entry)
{
  frame_writer_t *writer = frame_begin (FRAME_JOB_WAIT);

  frame_put_uint (writer, entry->request_id);
  frame_put_string (writer, entry->key);
  frame_put_bool (writer, entry->cancelled);
  send_frame (entry->part, entry->claimant, writer);
  entry->resend_at_ms = daemon_now_ms (entry->part->base.daemon) + RESEND_MS;
}

static void
lose_claimant (entry_t *entry)
{
  log_info (JOB_PART, "Claimant lost.", "key", entry->key, "claimant", entry->claimant, NULL);
  entry_end (entry, job_answer_error (ERROR_CLAIMANT_LOST, false, 0, NULL), false);
}

/* Waits for HOST, whose process must be INCARNATION. */
static void
attach_to (entry_t *entry, const char *host, uint64_t incarnation)
{
  job_part_t *part = entry->part;
  daemon_t *daemon = part->base.daemon;
  daemon_peer_t peer;
  bool met = daemon_find_peer (daemon, host, &peer);
  char *claimant = g_strdup (host);

  if (entry->request_id != 0)
    g_hash_table_remove (part->requests, &entry->request_id);
  entry->state = ENTRY_ATTACHED;
  entry->request_id = part->next_request_id++;
  entry->claimant_unknown = false;
  entry->claimant_incarnation = incarnation;
  entry->lost_at_ms = 0;
  g_free (entry->claimant);
  entry->claimant = claimant;
  g_hash_table_insert (part->requests, &entry->request_id, entry);
  counter_add (part->attached, 1);
  if (met && peer.connected && peer.incarnation != incarnation)
    {
      lose_claimant (entry);
      return;
    }
  if (!met || !peer.connected)
    entry->lost_at_ms = daemon_now_ms (daemon) + LOST_AFTER_MS;
  send_wait (entry);
}

void
entry_attach (entry_t *entry, const claim_outcome_t *outcome)
{
  const char *host = outcome->claimant;
  uint64_t incarnation = outcome->claimant_incarnation;

  if (!job_move_resolve (entry->part, outcome->claimant_incarnation, &host, &incarnation))
    daemon_add_address (entry->part->base.daemon, outcome->claimant_address,
                        outcome->claimant_data_centre);
  attach_to (entry, host, incarnation);
}

/* The claimant is gone; its answers may have moved. */
static void
follow_claimant (entry_t *entry)
{
  const char *host = NULL;
  uint64_t incarnation = 0;

  if (job_move_resolve (entry->part, entry->claimant_incarnation, &host, &incarnation))
    attach_to (entry, host, incarnation);
  else
    lose_claimant (entry);
}

static void
take_unknown (entry_t *entry)
{
  if (++entry->attach_attempts > ATTACH_ATTEMPTS_MAX)
    {
      lose_claimant (entry);
      return;
    }
  entry->claimant_unknown = true;
  entry->resend_at_ms = daemon_now_ms (entry->part->base.daemon)
                        + g_random_int_range (RECLAIM_MIN_MS, RECLAIM_MAX_MS);
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
answer_query (query_t *query, job_answer_t *answer)
{
  g_hash_table_remove (query->part->queries, &query->request_id);
  waiter_give (query->waiter, answer);
  g_free (query->key);
  g_free (query->host);
  g_free (query);
}

static void
take_answer (job_part_t *part, frame_reader_t *reader)
{
  uint64_t request_id = frame_get_uint (reader);
  bool known = frame_get_bool (reader);
  job_answer_t *answer = known ? read_answer (reader) : NULL;
  entry_t *entry = g_hash_table_lookup (part->requests, &request_id);
  query_t *query = g_hash_table_lookup (part->queries, &request_id);

  if (!frame_ok (reader))
    job_answer_unref (answer);
  else if (entry != NULL && entry->state == ENTRY_ATTACHED)
    {
      entry_ref (entry);
      if (known)
        entry_end (entry, answer, false);
      else
        take_unknown (entry);
      entry_unref (entry);
    }
  else if (query != NULL)
    answer_query (query, known ? answer : job_answer_error (ERROR_UNKNOWN_KEY, false, 0, NULL));
  else
    job_answer_unref (answer);
}

/* --- the claimant's side --- */

static void
send_unknown (job_part_t *part, const char *host, uint64_t request_id)
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
job_peer_answer (entry_t *entry, const char *host, uint64_t request_id)
{
  job_answer_t *answer = entry_answer (entry);

  send_answer (entry->part, host, request_id, answer);
  job_answer_unref (answer);
}

static void
add_remote (entry_t *entry, const char *host, uint64_t request_id)
{
  for (guint i = 0; i < entry->remotes->len; i++)
    {
      const remote_waiter_t *known = entry->remotes->pdata[i];
      if (known->request_id == request_id && strcmp (known->host, host) == 0)
        return;
    }
  remote_waiter_t *remote = g_new (remote_waiter_t, 1);
  remote->host = g_strdup (host);
  remote->request_id = request_id;
  g_ptr_array_add (entry->remotes, remote);
}

/* Answers now if the entry has ended, later if it has not, and that the key is
 * not known here if this host does not coordinate it. */
static void
serve_wait (job_part_t *part, const char *from, uint64_t request_id, const char *key, bool cancel)
{
  entry_t *entry = g_hash_table_lookup (part->entries, key);

  if (entry == NULL || entry->state == ENTRY_ATTACHED)
    {
      send_unknown (part, from, request_id);
      return;
    }
  if (entry->state == ENTRY_ENDED)
    {
      job_peer_answer (entry, from, request_id);
      return;
    }
  add_remote (entry, from, request_id);
  if (!cancel)
    return;
  entry_ref (entry);
  entry_cancel (entry);
  entry_unref (entry);
}

static void
take_wait (job_part_t *part, const char *from, frame_reader_t *reader)
{
  uint64_t request_id = frame_get_uint (reader);
  char *key = frame_get_string (reader, JOB_KEY_MAX_BYTES);
  bool cancel = frame_get_bool (reader);

  if (frame_ok (reader) && key != NULL)
    serve_wait (part, from, request_id, key, cancel);
  g_free (key);
}

static void
take_cancels (job_part_t *part, const char *from, frame_reader_t *reader)
{
  size_t count = frame_get_count (reader, CANCELS_MAX);

  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      uint64_t request_id = frame_get_uint (reader);
      char *key = frame_get_string (reader, JOB_KEY_MAX_BYTES);
      if (frame_ok (reader) && key != NULL)
        serve_wait (part, from, request_id, key, true);
      g_free (key);
    }
}

static void
take_state (job_part_t *part, const char *from, frame_reader_t *reader)
{
  uint64_t request_id = frame_get_uint (reader);
  char *key = frame_get_string (reader, JOB_KEY_MAX_BYTES);
  entry_t *entry = key != NULL ? g_hash_table_lookup (part->entries, key) : NULL;

  if (!frame_ok (reader) || key == NULL)
    return;
  if (entry == NULL || entry->state == ENTRY_ATTACHED)
    send_unknown (part, from, request_id);
  else
    {
      job_answer_t *answer = entry_state (entry);
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
      take_wait (part, from, reader);
      break;
    case FRAME_JOB_ANSWER:
      take_answer (part, reader);
      break;
    case FRAME_JOB_CANCEL:
      take_cancels (part, from, reader);
      break;
    case FRAME_JOB_STATE:
      take_state (part, from, reader);
      break;
    case FRAME_JOB_KEPT:
      job_move_take_kept (part, from, reader);
      break;
    case FRAME_JOB_KEPT_CONFIRM:
      job_move_take_confirm (part, from, reader);
      break;
    case FRAME_JOB_MOVED:
      job_move_take_moved (part, from, reader);
      break;
    default:
      break;
    }
}

/* --- queries --- */

void
job_peer_query (query_t *query)
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
  GPtrArray *batch = g_hash_table_lookup (part->cancels, query->host);
  if (batch == NULL)
    {
      batch = g_ptr_array_new ();
      g_hash_table_insert (part->cancels, g_strdup (query->host), batch);
    }
  g_ptr_array_add (batch, query);
}

static void
send_cancels (job_part_t *part)
{
  GHashTableIter iter;
  void *host = NULL;
  void *value = NULL;

  g_hash_table_iter_init (&iter, part->cancels);
  while (g_hash_table_iter_next (&iter, &host, &value))
    {
      GPtrArray *batch = value;
      frame_writer_t *writer = frame_begin (FRAME_JOB_CANCEL);
      frame_put_count (writer, batch->len);
      for (guint i = 0; i < batch->len; i++)
        {
          const query_t *query = batch->pdata[i];
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
  GPtrArray *late = g_ptr_array_new ();

  g_hash_table_iter_init (&iter, part->queries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms >= ((query_t *) value)->give_up_at_ms)
      g_ptr_array_add (late, value);
  for (guint i = 0; i < late->len; i++)
    answer_query (late->pdata[i], job_answer_error (ERROR_CLAIMANT_LOST, false, 0, NULL));
  g_ptr_array_unref (late);
}

/* --- peers and ticks --- */

/* The attached entries, each with a reference: what is done with one may change
 * the set. */
static GPtrArray *
attached_entries (job_part_t *part)
{
  GHashTableIter iter;
  void *key = NULL;
  GPtrArray *list = g_ptr_array_new_with_free_func ((GDestroyNotify) entry_unref);

  g_hash_table_iter_init (&iter, part->live);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (((entry_t *) key)->state == ENTRY_ATTACHED)
      g_ptr_array_add (list, entry_ref (key));
  return list;
}

static void
attend (entry_t *entry, int64_t now_ms)
{
  if (entry->lost_at_ms > 0 && now_ms >= entry->lost_at_ms)
    follow_claimant (entry);
  else if (now_ms < entry->resend_at_ms)
    return;
  else if (entry->claimant_unknown)
    entry_claim (entry);
  else
    send_wait (entry);
}

void
job_peer_tick (job_part_t *part, int64_t now_ms)
{
  GPtrArray *attached = attached_entries (part);

  for (guint i = 0; i < attached->len; i++)
    attend (attached->pdata[i], now_ms);
  g_ptr_array_unref (attached);
  send_cancels (part);
  expire_queries (part, now_ms);
}

void
job_peer_up (part_t *base, const char *host, int64_t now_ms)
{
  job_part_t *part = (job_part_t *) base;
  daemon_peer_t peer;
  GPtrArray *attached = attached_entries (part);

  (void) now_ms;
  daemon_find_peer (base->daemon, host, &peer);
  g_hash_table_remove (part->leaving, host);
  job_move_tell (part, host);
  for (guint i = 0; i < attached->len; i++)
    {
      entry_t *entry = attached->pdata[i];
      if (strcmp (entry->claimant, host) != 0)
        continue;
      entry->lost_at_ms = 0;
      if (peer.incarnation != entry->claimant_incarnation)
        follow_claimant (entry);
      else if (!entry->claimant_unknown)
        send_wait (entry);
    }
  g_ptr_array_unref (attached);
}

void
job_peer_down (part_t *base, const char *host, int64_t now_ms)
{
  GPtrArray *attached = attached_entries ((job_part_t *) base);

  for (guint i = 0; i < attached->len; i++)
    {
      entry_t *entry = attached->pdata[i];
      const char *moved_to = NULL;
      uint64_t incarnation = 0;
      if (strcmp (entry->claimant, host) != 0)
        continue;
      if (job_move_resolve (entry->part, entry->claimant_incarnation, &moved_to, &incarnation))
        attach_to (entry, moved_to, incarnation);
      else
        entry->lost_at_ms = now_ms + LOST_AFTER_MS;
    }
  g_ptr_array_unref (attached);
}
