/* job_transfer.c -- transfer of a stopping host's kept answers to another host
 *
 * Replicas record the claimant of a key by its incarnation.  When a host stops,
 * it sends its kept answers to a successor in its data centre, waits for the
 * confirmation, and announces to all peers that the answers of its incarnation X
 * are at host Y.  A host that later finds X as the claimant of a key asks Y.  A
 * successor that stops transfers the received answers as well, so transfers form
 * chains, which job_transfer_resolve () follows.
 *
 * Each host repeats the known transfers to every peer that connects.  A transfer
 * is removed when the key window has passed since it was made: no valid key can
 * have X as its claimant any more.
 */
#include "daemon/job_private.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "settings/settings.h"

#include <string.h>

/* A batch is sent as soon as its answers have this size together. */
#define BATCH_BYTES (1024 * 1024)
#define BATCH_COUNT_MAX 100000
#define TRANSFER_COUNT_MAX 100000
/* If the successor does not confirm a batch within this time, another successor
 * is chosen and all answers are sent again. */
#define BATCH_CONFIRM_TIMEOUT_MS 2000
/* Limit of transfers that are followed in a chain. */
#define CHAIN_LENGTH_MAX 64

typedef struct
{
  uint64_t from_incarnation; /* the host that has stopped */
  char *host;
  uint64_t to_incarnation;
  int64_t expires_at_ms; /* boot clock */
} transfer_t;

static void
transfer_free (void *data)
{
  transfer_t *transfer = data;

  g_free (transfer->host);
  g_free (transfer);
}

void
job_transfer_init (job_part_t *part)
{
  part->transfers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, transfer_free);
  part->stopping_hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* --- following transfers --- */

bool
job_transfer_resolve (job_part_t *part, uint64_t incarnation, const char **host, uint64_t *to)
{
  const transfer_t *transfer = g_hash_table_lookup (part->transfers, &incarnation);
  const transfer_t *last = NULL;

  for (int i = 0; transfer != NULL && i < CHAIN_LENGTH_MAX; i++)
    {
      last = transfer;
      transfer = g_hash_table_lookup (part->transfers, &last->to_incarnation);
    }
  if (last == NULL)
    return false;
  *host = last->host;
  *to = last->to_incarnation;
  return true;
}

static void
put_transfer (frame_writer_t *writer, const transfer_t *transfer)
{
  int64_t expires_wall_ms = transfer->expires_at_ms - clock_boot_ms () + clock_wall_ms ();

  frame_put_uint (writer, transfer->from_incarnation);
  frame_put_string (writer, transfer->host);
  frame_put_uint (writer, transfer->to_incarnation);
  frame_put_int (writer, expires_wall_ms);
}

void
job_transfer_send_announcements (job_part_t *part, const char *host)
{
  GHashTableIter iter;
  void *value = NULL;

  if (g_hash_table_size (part->transfers) == 0)
    return;
  frame_writer_t *writer = frame_begin (FRAME_JOB_TRANSFERRED);
  frame_put_count (writer, g_hash_table_size (part->transfers));
  g_hash_table_iter_init (&iter, part->transfers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    put_transfer (writer, value);
  counter_add (part->messages_sent, 1);
  daemon_send (part->base.daemon, host, frame_finish (writer));
}

static void
send_announcements_to_peer (const daemon_peer_t *peer, void *data)
{
  if (peer->connected)
    job_transfer_send_announcements (data, peer->host);
}

void
job_transfer_handle_announcements (job_part_t *part, const char *from, frame_reader_t *reader)
{
  size_t count = frame_get_count (reader, TRANSFER_COUNT_MAX);

  for (size_t i = 0; i < count; i++)
    {
      transfer_t *transfer = g_new0 (transfer_t, 1);
      transfer->from_incarnation = frame_get_uint (reader);
      transfer->host = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      transfer->to_incarnation = frame_get_uint (reader);
      transfer->expires_at_ms = clock_wall_to_boot_ms (frame_get_int (reader));
      if (!frame_ok (reader) || transfer->host == NULL)
        {
          transfer_free (transfer);
          return;
        }
      daemon_peer_t peer;
      if (daemon_find_peer (part->base.daemon, from, &peer)
          && peer.incarnation == transfer->from_incarnation)
        g_hash_table_add (part->stopping_hosts, g_strdup (from));
      g_hash_table_replace (part->transfers, &transfer->from_incarnation, transfer);
    }
}

void
job_transfer_expire (job_part_t *part, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, part->transfers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms >= ((transfer_t *) value)->expires_at_ms)
      g_hash_table_iter_remove (&iter);
}

/* --- the stopping host --- */

typedef struct
{
  job_part_t *part;
  const char *host;
  uint64_t weight;
} successor_choice_t;

static void
consider_peer (const daemon_peer_t *peer, void *data)
{
  successor_choice_t *choice = data;
  daemon_t *daemon = choice->part->base.daemon;
  uint64_t weight = hash_rendezvous (daemon_host_id (daemon), peer->host);

  if (!peer->connected || strcmp (peer->data_centre, daemon_data_centre (daemon)) != 0
      || g_hash_table_contains (choice->part->stopping_hosts, peer->host))
    return;
  if (choice->host != NULL && weight <= choice->weight)
    return;
  choice->host = peer->host;
  choice->weight = weight;
}

static void
put_kept_answer (frame_writer_t *writer, const job_entry_t *entry)
{
  const job_answer_t *answer = entry->answer;
  gsize size = 0;
  const void *body = g_bytes_get_data (answer->body, &size);

  frame_put_string (writer, entry->key);
  frame_put_bytes (writer, entry->digest.bytes, sizeof entry->digest.bytes);
  frame_put_int (writer, entry->expires_at_ms - clock_boot_ms () + clock_wall_ms ());
  frame_put_int (writer, answer->error);
  frame_put_int (writer, answer->status);
  frame_put_int (writer, answer->retry_at_ms);
  frame_put_bytes (writer, body, size);
}

/* Sends the answers of the entries in LIST in one frame, and empties LIST. */
static void
send_batch (job_part_t *part, GPtrArray *list)
{
  frame_writer_t *writer = frame_begin (FRAME_JOB_TRANSFER);

  frame_put_uint (writer, ++part->transfer_batch);
  frame_put_count (writer, list->len);
  for (guint i = 0; i < list->len; i++)
    put_kept_answer (writer, list->pdata[i]);
  counter_add (part->messages_sent, 1);
  daemon_send (part->base.daemon, part->successor, frame_finish (writer));
  g_ptr_array_set_size (list, 0);
}

static void
send_kept_answers (job_part_t *part)
{
  GPtrArray *list = g_ptr_array_new ();
  gsize size = 0;

  for (GList *item = part->kept_entries.head; item != NULL; item = item->next)
    {
      job_entry_t *entry = item->data;
      if (entry->answer == NULL)
        continue;
      g_ptr_array_add (list, entry);
      size += g_bytes_get_size (entry->answer->body);
      if (size < BATCH_BYTES)
        continue;
      send_batch (part, list);
      size = 0;
    }
  if (list->len > 0 || part->transfer_batch == 0)
    send_batch (part, list);
  g_ptr_array_unref (list);
}

static void
announce_transfer (job_part_t *part, uint64_t successor_incarnation)
{
  daemon_t *daemon = part->base.daemon;
  transfer_t *transfer = g_new0 (transfer_t, 1);

  transfer->from_incarnation = daemon_incarnation (daemon);
  transfer->host = g_strdup (part->successor);
  transfer->to_incarnation = successor_incarnation;
  transfer->expires_at_ms = daemon_now_ms (daemon) + daemon_settings (daemon)->key_window_ms;
  g_hash_table_replace (part->transfers, &transfer->from_incarnation, transfer);
  daemon_foreach_peer (daemon, send_announcements_to_peer, part);
  log_info (JOB_PART, "Kept answers have been transferred to the successor.", "successor",
            part->successor, NULL);
}

bool
job_transfer_advance (job_part_t *part, int64_t now_ms)
{
  successor_choice_t choice = { .part = part };
  daemon_peer_t peer;

  if (part->transfer_finished)
    return true;
  if (part->successor != NULL && now_ms < part->transfer_timeout_at_ms)
    return false;
  if (part->successor != NULL)
    g_hash_table_add (part->stopping_hosts, g_strdup (part->successor));
  daemon_foreach_peer (part->base.daemon, consider_peer, &choice);
  if (choice.host == NULL || !daemon_find_peer (part->base.daemon, choice.host, &peer))
    {
      /* No host is left that could receive the answers. */
      part->transfer_finished = true;
      return true;
    }
  g_free (part->successor);
  part->successor = g_strdup (choice.host);
  part->successor_incarnation = peer.incarnation;
  part->transfer_timeout_at_ms = now_ms + BATCH_CONFIRM_TIMEOUT_MS;
  send_kept_answers (part);
  return false;
}

void
job_transfer_handle_confirm (job_part_t *part, const char *from, frame_reader_t *reader)
{
  uint64_t batch = frame_get_uint (reader);

  if (!frame_ok (reader) || part->transfer_finished || g_strcmp0 (from, part->successor) != 0)
    return;
  if (batch < part->transfer_batch)
    {
      part->transfer_timeout_at_ms = daemon_now_ms (part->base.daemon) + BATCH_CONFIRM_TIMEOUT_MS;
      return;
    }
  part->transfer_finished = true;
  announce_transfer (part, part->successor_incarnation);
}

/* --- the successor --- */

static void
add_kept_answer (job_part_t *part, frame_reader_t *reader)
{
  hash_digest_t digest;
  size_t size = 0;
  char *key = frame_get_string (reader, JOB_KEY_MAX_BYTES);

  frame_get_fixed (reader, digest.bytes, sizeof digest.bytes);
  int64_t expires_wall_ms = frame_get_int (reader);
  int error = (int) frame_get_range (reader, ERROR_LAST, 0);
  int status = (int) frame_get_range (reader, 100, 599);
  int64_t retry_at_ms = frame_get_int (reader);
  const void *body = frame_get_bytes (reader, FRAME_MAX_BYTES, &size);
  if (frame_ok (reader) && key != NULL && !g_hash_table_contains (part->entries, key))
    job_entry_add_kept (
        part, key, &digest, clock_wall_to_boot_ms (expires_wall_ms),
        job_answer_from_peer (error, status, false, retry_at_ms, g_bytes_new (body, size)));
  g_free (key);
}

void
job_transfer_handle_answers (job_part_t *part, const char *from, frame_reader_t *reader)
{
  uint64_t batch = frame_get_uint (reader);
  size_t count = frame_get_count (reader, BATCH_COUNT_MAX);

  /* A host that is stopping does not confirm, so the sender chooses another
   * successor. */
  if (daemon_is_draining (part->base.daemon))
    return;
  for (size_t i = 0; i < count && frame_ok (reader); i++)
    add_kept_answer (part, reader);
  if (!frame_ok (reader))
    return;
  frame_writer_t *writer = frame_begin (FRAME_JOB_TRANSFER_CONFIRM);
  frame_put_uint (writer, batch);
  counter_add (part->messages_sent, 1);
  daemon_send (part->base.daemon, from, frame_finish (writer));
}
