/* job_move.c -- a stopping host's kept answers move to another host
 *
 * Replicas remember a key's claimant by incarnation.  When a host stops, it
 * sends its kept answers to a successor in its data centre, waits until they
 * have arrived, and tells all peers "incarnation X has moved to host Y".  Who
 * finds X as the claimant of a key then asks Y.  A successor that stops in its
 * turn passes on what it inherited, and the chain is followed.  Moves are told
 * to peers that are met later, and forgotten after the key window, when no key
 * can lead to X any more.
 */
#include "daemon/job_private.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "settings/settings.h"

#include <string.h>

/* Answers in one frame, by size; a larger single answer goes alone. */
#define BATCH_BYTES (1024 * 1024)
#define BATCH_COUNT_MAX 100000
#define MOVES_MAX 100000
/* How long the successor may take to confirm a batch before another one is
 * chosen. */
#define CONFIRM_WITHIN_MS 2000
/* A chain of moves is followed this far. */
#define CHAIN_MAX 64

typedef struct
{
  uint64_t from; /* incarnation that has stopped */
  char *host;
  uint64_t incarnation;
  int64_t until_ms; /* boot clock */
} move_t;

static void
move_free (void *data)
{
  move_t *move = data;

  g_free (move->host);
  g_free (move);
}

void
job_move_init (job_part_t *part)
{
  part->moves = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, move_free);
  part->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* --- following moves --- */

bool
job_move_resolve (job_part_t *part, uint64_t incarnation, const char **host, uint64_t *to)
{
  const move_t *move = g_hash_table_lookup (part->moves, &incarnation);
  const move_t *last = NULL;

  for (int i = 0; move != NULL && i < CHAIN_MAX; i++)
    {
      last = move;
      move = g_hash_table_lookup (part->moves, &last->incarnation);
    }
  if (last == NULL)
    return false;
  *host = last->host;
  *to = last->incarnation;
  return true;
}

static void
put_move (frame_writer_t *writer, const move_t *move)
{
  int64_t until_wall_ms = move->until_ms - clock_boot_ms () + clock_wall_ms ();

  frame_put_uint (writer, move->from);
  frame_put_string (writer, move->host);
  frame_put_uint (writer, move->incarnation);
  frame_put_int (writer, until_wall_ms);
}

void
job_move_tell (job_part_t *part, const char *host)
{
  GHashTableIter iter;
  void *value = NULL;

  if (g_hash_table_size (part->moves) == 0)
    return;
  frame_writer_t *writer = frame_begin (FRAME_JOB_MOVED);
  frame_put_count (writer, g_hash_table_size (part->moves));
  g_hash_table_iter_init (&iter, part->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    put_move (writer, value);
  counter_add (part->messages, 1);
  daemon_send (part->base.daemon, host, frame_finish (writer));
}

static void
tell_peer (const daemon_peer_t *peer, void *data)
{
  if (peer->connected)
    job_move_tell (data, peer->host);
}

void
job_move_take_moved (job_part_t *part, const char *from, frame_reader_t *reader)
{
  size_t count = frame_get_count (reader, MOVES_MAX);

  for (size_t i = 0; i < count; i++)
    {
      move_t *move = g_new0 (move_t, 1);
      move->from = frame_get_uint (reader);
      move->host = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      move->incarnation = frame_get_uint (reader);
      move->until_ms = clock_wall_to_boot_ms (frame_get_int (reader));
      if (!frame_ok (reader) || move->host == NULL)
        {
          move_free (move);
          return;
        }
      daemon_peer_t peer;
      if (daemon_find_peer (part->base.daemon, from, &peer) && peer.incarnation == move->from)
        g_hash_table_add (part->leaving, g_strdup (from));
      g_hash_table_replace (part->moves, &move->from, move);
    }
}

void
job_move_forget (job_part_t *part, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, part->moves);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms >= ((move_t *) value)->until_ms)
      g_hash_table_iter_remove (&iter);
}

/* --- the stopping side --- */

typedef struct
{
  job_part_t *part;
  const char *best;
  uint64_t weight;
} choice_t;

static void
consider (const daemon_peer_t *peer, void *data)
{
  choice_t *choice = data;
  daemon_t *daemon = choice->part->base.daemon;
  uint64_t weight = hash_rendezvous (daemon_host_id (daemon), peer->host);

  if (!peer->connected || strcmp (peer->data_centre, daemon_data_centre (daemon)) != 0
      || g_hash_table_contains (choice->part->leaving, peer->host))
    return;
  if (choice->best != NULL && weight <= choice->weight)
    return;
  choice->best = peer->host;
  choice->weight = weight;
}

static void
put_kept (frame_writer_t *writer, const entry_t *entry)
{
  const job_answer_t *answer = entry->answer;
  gsize size = 0;
  const void *body = g_bytes_get_data (answer->body, &size);

  frame_put_string (writer, entry->key);
  frame_put_bytes (writer, entry->digest.bytes, sizeof entry->digest.bytes);
  frame_put_int (writer, entry->forget_at_ms - clock_boot_ms () + clock_wall_ms ());
  frame_put_int (writer, answer->error);
  frame_put_int (writer, answer->status);
  frame_put_int (writer, answer->retry_at_ms);
  frame_put_bytes (writer, body, size);
}

/* Ends LIST (entries to send, with SIZE bytes) with one frame. */
static void
send_batch (job_part_t *part, GPtrArray *list)
{
  frame_writer_t *writer = frame_begin (FRAME_JOB_KEPT);

  frame_put_uint (writer, ++part->move_batch);
  frame_put_count (writer, list->len);
  for (guint i = 0; i < list->len; i++)
    put_kept (writer, list->pdata[i]);
  counter_add (part->messages, 1);
  daemon_send (part->base.daemon, part->successor, frame_finish (writer));
  g_ptr_array_set_size (list, 0);
}

static void
send_kept (job_part_t *part)
{
  GPtrArray *list = g_ptr_array_new ();
  gsize size = 0;

  for (GList *item = part->kept.head; item != NULL; item = item->next)
    {
      entry_t *entry = item->data;
      if (entry->answer == NULL)
        continue;
      g_ptr_array_add (list, entry);
      size += g_bytes_get_size (entry->answer->body);
      if (size < BATCH_BYTES)
        continue;
      send_batch (part, list);
      size = 0;
    }
  if (list->len > 0 || part->move_batch == 0)
    send_batch (part, list);
  g_ptr_array_unref (list);
}

static void
announce (job_part_t *part, uint64_t successor_incarnation)
{
  daemon_t *daemon = part->base.daemon;
  move_t *move = g_new0 (move_t, 1);

  move->from = daemon_incarnation (daemon);
  move->host = g_strdup (part->successor);
  move->incarnation = successor_incarnation;
  move->until_ms = daemon_now_ms (daemon) + daemon_settings (daemon)->key_window_ms;
  g_hash_table_replace (part->moves, &move->from, move);
  daemon_foreach_peer (daemon, tell_peer, part);
  log_info (JOB_PART, "Answers moved.", "successor", part->successor, NULL);
}

bool
job_move_done (job_part_t *part, int64_t now_ms)
{
  choice_t choice = { .part = part };
  daemon_peer_t peer;

  if (part->moved)
    return true;
  if (part->successor != NULL && now_ms < part->move_until_ms)
    return false;
  if (part->successor != NULL)
    g_hash_table_add (part->leaving, g_strdup (part->successor));
  daemon_foreach_peer (part->base.daemon, consider, &choice);
  if (choice.best == NULL || !daemon_find_peer (part->base.daemon, choice.best, &peer))
    {
      /* Nobody is left to take them. */
      part->moved = true;
      return true;
    }
  g_free (part->successor);
  part->successor = g_strdup (choice.best);
  part->successor_incarnation = peer.incarnation;
  part->move_until_ms = now_ms + CONFIRM_WITHIN_MS;
  send_kept (part);
  return false;
}

void
job_move_take_confirm (job_part_t *part, const char *from, frame_reader_t *reader)
{
  uint64_t batch = frame_get_uint (reader);

  if (!frame_ok (reader) || part->moved || g_strcmp0 (from, part->successor) != 0)
    return;
  if (batch < part->move_batch)
    {
      part->move_until_ms = daemon_now_ms (part->base.daemon) + CONFIRM_WITHIN_MS;
      return;
    }
  part->moved = true;
  announce (part, part->successor_incarnation);
}

/* --- the successor's side --- */

static void
inherit (job_part_t *part, frame_reader_t *reader)
{
  hash_digest_t digest;
  size_t size = 0;
  char *key = frame_get_string (reader, JOB_KEY_MAX_BYTES);

  frame_get_fixed (reader, digest.bytes, sizeof digest.bytes);
  int64_t forget_wall_ms = frame_get_int (reader);
  int error = (int) frame_get_range (reader, ERROR_LAST, 0);
  int status = (int) frame_get_range (reader, 100, 599);
  int64_t retry_at_ms = frame_get_int (reader);
  const void *body = frame_get_bytes (reader, FRAME_MAX_BYTES, &size);
  if (frame_ok (reader) && key != NULL && !g_hash_table_contains (part->entries, key))
    entry_inherit (
        part, key, &digest, clock_wall_to_boot_ms (forget_wall_ms),
        job_answer_from_peer (error, status, false, retry_at_ms, g_bytes_new (body, size)));
  g_free (key);
}

void
job_move_take_kept (job_part_t *part, const char *from, frame_reader_t *reader)
{
  uint64_t batch = frame_get_uint (reader);
  size_t count = frame_get_count (reader, BATCH_COUNT_MAX);

  /* A host that stops itself leaves the answers to the next choice. */
  if (daemon_is_draining (part->base.daemon))
    return;
  for (size_t i = 0; i < count && frame_ok (reader); i++)
    inherit (part, reader);
  if (!frame_ok (reader))
    return;
  frame_writer_t *writer = frame_begin (FRAME_JOB_KEPT_CONFIRM);
  frame_put_uint (writer, batch);
  counter_add (part->messages, 1);
  daemon_send (part->base.daemon, from, frame_finish (writer));
}
