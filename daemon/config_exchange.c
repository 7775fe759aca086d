/* config_exchange.c -- replication of the configuration between hosts
 *
 * Sends and handles the frames of the configuration part: heartbeats, pulls, log
 * records, whole states and host lists.
 */
#include "base/error.h"
#include "base/log.h"
#include "daemon/config_private.h"

#include <string.h>

/* Maximum size of the records in one frame.  The receiver pulls again for the rest. */
#define RECORDS_MAX_BYTES (1024u * 1024)
/* Minimum interval between two whole states that are sent to the same host. */
#define STATE_INTERVAL_MS 2000

static void
send_to_host (config_part_t *config, const char *host, GBytes *frame)
{
  if (daemon_send (config->part.daemon, host, g_bytes_ref (frame)) < 0)
    return;
  counter_add (config->count_messages, 1);
  counter_add (config->count_bytes, (int64_t) g_bytes_get_size (frame));
}

typedef struct
{
  config_part_t *config;
  GBytes *frame;
} broadcast_t;

static void
send_to_local_peer (const daemon_peer_t *peer, void *data)
{
  broadcast_t *broadcast = data;
  daemon_t *daemon = broadcast->config->part.daemon;
  if (peer->connected && strcmp (peer->data_centre, daemon_data_centre (daemon)) == 0)
    send_to_host (broadcast->config, peer->host, broadcast->frame);
}

void
config_send (config_part_t *config, const char *host, GBytes *frame)
{
  broadcast_t broadcast = { config, frame };
  if (host)
    send_to_host (config, host, frame);
  else
    daemon_foreach_peer (config->part.daemon, send_to_local_peer, &broadcast);
  g_bytes_unref (frame);
}

static config_progress_t *
progress_new (config_part_t *config)
{
  config_progress_t *progress = config_progress_new ();
  progress->hosts_version = config->hosts.clock.current;
  progress->hosts_digest = config->hosts.digest;
  for (guint i = 0; i < config->streams->len; i++)
    {
      const config_stream_t *stream = config->streams->pdata[i];
      config_progress_add_position (progress, stream->name,
                                    stream_buffer_next_offset (stream->buffer));
    }
  return progress;
}

void
config_send_heartbeat (config_part_t *config, bool answered)
{
  config_progress_t *progress = progress_new (config);
  progress->platform_answered = answered;
  config_send (config, NULL, config_msg_progress (CONFIG_MSG_HEARTBEAT, progress));
  config_progress_free (progress);
}

void
config_send_pull (config_part_t *config, const char *host)
{
  config_progress_t *progress = progress_new (config);
  progress->want_state = config_replica_is_incomplete (config->replica);
  config_send (config, host, config_msg_progress (CONFIG_MSG_PULL, progress));
  config_progress_free (progress);
}

void
config_send_records (config_stream_t *stream, const char *host, int64_t from)
{
  log_batch_t *batch = stream_buffer_batch_from (stream->buffer, from, RECORDS_MAX_BYTES);
  config_send (stream->config, host, config_msg_records (stream->name, batch));
  log_batch_free (batch);
}

static config_stream_t *
find_stream (config_part_t *config, const char *name)
{
  for (guint i = 0; i < config->streams->len; i++)
    {
      config_stream_t *stream = config->streams->pdata[i];
      if (strcmp (stream->name, name) == 0)
        return stream;
    }
  return NULL;
}

/* True if PROGRESS names stream positions beyond those of this host. */
static bool
is_behind (config_part_t *config, const config_progress_t *progress)
{
  for (guint i = 0; i < progress->positions->len; i++)
    {
      const config_stream_position_t *position =
          &g_array_index (progress->positions, config_stream_position_t, i);
      const config_stream_t *stream = find_stream (config, position->stream);
      if (stream && stream_buffer_next_offset (stream->buffer) < position->next_offset)
        return true;
    }
  return false;
}

/* Records that this host has received all records that SOURCE has.  Does nothing while
 * records are missing. */
static void
mark_caught_up (config_part_t *config, config_source_t source)
{
  if (config_replica_is_incomplete (config->replica))
    return;
  config->caught_up = true;
  config->source = source;
  config->confirmed_at_ms = daemon_now_ms (config->part.daemon);
}

static config_source_t
source_of_host (config_part_t *config, const char *host)
{
  daemon_peer_t peer;
  if (daemon_find_peer (config->part.daemon, host, &peer)
      && strcmp (peer.data_centre, daemon_data_centre (config->part.daemon)) == 0)
    return CONFIG_SOURCE_RELAY;
  return CONFIG_SOURCE_PEER;
}

static void
on_heartbeat (config_part_t *config, const char *from, frame_reader_t *reader, int64_t now_ms)
{
  config_progress_t *progress = NULL;
  if (!config_msg_get_progress (reader, &progress))
    return;
  bool list_behind = config_hosts_on_heartbeat (config, progress, now_ms);
  relay_heartbeat_t heartbeat = { progress->platform_answered,
                                  list_behind || is_behind (config, progress) };
  relay_heartbeat_received (config->relay, from, &heartbeat, now_ms);
  if (progress->platform_answered && config->caught_up && !config->relay_actions.read_platform
      && !is_behind (config, progress))
    {
      config->source = CONFIG_SOURCE_RELAY;
      config->confirmed_at_ms = now_ms;
    }
  config_progress_free (progress);
}

/* Sends the whole configuration to HOST, at most once in STATE_INTERVAL_MS. */
static void
send_state (config_part_t *config, const char *host, int64_t now_ms)
{
  int64_t *sent_at_ms = g_hash_table_lookup (config->state_sent_at_ms, host);
  if (sent_at_ms && now_ms - *sent_at_ms < STATE_INTERVAL_MS)
    return;
  if (sent_at_ms == NULL)
    {
      sent_at_ms = g_new (int64_t, 1);
      g_hash_table_insert (config->state_sent_at_ms, g_strdup (host), sent_at_ms);
    }
  *sent_at_ms = now_ms;
  GBytes *checkpoint = config_replica_encode_checkpoint (config->replica);
  config_send (config, host, config_msg_state (checkpoint));
  g_bytes_unref (checkpoint);
}

static void
answer_position (config_part_t *config,
                 const char *host,
                 const config_progress_t *progress,
                 const config_stream_position_t *position,
                 int64_t now_ms)
{
  config_stream_t *stream = find_stream (config, position->stream);
  if (stream == NULL)
    return;
  bool has_state = stream->is_config && config_replica_has_state (config->replica)
                   && !config_replica_is_incomplete (config->replica);
  bool behind = position->next_offset < stream_buffer_next_offset (stream->buffer);
  if (has_state
      && (progress->want_state
          || (behind && !stream_buffer_covers (stream->buffer, position->next_offset))))
    send_state (config, host, now_ms);
  else if (behind)
    config_send_records (stream, host, position->next_offset);
}

static void
on_pull (config_part_t *config, const char *from, frame_reader_t *reader, int64_t now_ms)
{
  config_progress_t *progress = NULL;
  if (!config_msg_get_progress (reader, &progress))
    return;
  for (guint i = 0; i < progress->positions->len; i++)
    answer_position (config, from, progress,
                     &g_array_index (progress->positions, config_stream_position_t, i), now_ms);
  config_hosts_answer_pull (config, from, progress);
  config_progress_free (progress);
}

static void
on_records (config_part_t *config, const char *from, frame_reader_t *reader)
{
  char *name = NULL;
  log_batch_t *batch = NULL;
  if (!config_msg_get_records (reader, &name, &batch))
    {
      log_warning ("config", "Ignored malformed log records from a peer.", "host", from, NULL);
      return;
    }
  config_stream_t *stream = find_stream (config, name);
  if (stream)
    config_apply_batch (stream, batch, source_of_host (config, from));
  if (stream && stream->is_config
      && stream_buffer_next_offset (stream->buffer) >= batch->end_offset)
    mark_caught_up (config, source_of_host (config, from));
  g_free (name);
  log_batch_free (batch);
}

static void
on_state (config_part_t *config, const char *from, frame_reader_t *reader)
{
  const void *data = NULL;
  size_t size = 0;
  config_stream_t *stream = config->streams->pdata[0];
  if (!config_msg_get_state (reader, &data, &size))
    return;
  int result = config_replica_load_checkpoint (config->replica, data, size);
  if (result < 0)
    {
      if (result == ERROR_PROTOCOL)
        log_warning ("config", "Ignored a malformed configuration state from a peer.", "host", from,
                     NULL);
      return;
    }
  stream_buffer_skip_to (stream->buffer, config_replica_next_offset (config->replica));
  config->notify_pending = true;
  mark_caught_up (config, source_of_host (config, from));
  log_info ("config", "Replaced the configuration by the state of a peer.", "host", from, NULL);
}

static void
handle_frame (config_part_t *config, const char *from, frame_reader_t *reader, int64_t now_ms)
{
  switch (frame_type (reader))
    {
    case CONFIG_MSG_HEARTBEAT:
      on_heartbeat (config, from, reader, now_ms);
      break;
    case CONFIG_MSG_PULL:
      on_pull (config, from, reader, now_ms);
      break;
    case CONFIG_MSG_RECORDS:
      on_records (config, from, reader);
      break;
    case CONFIG_MSG_STATE:
      on_state (config, from, reader);
      break;
    case CONFIG_MSG_HOSTS:
      config_hosts_on_list (config, reader, now_ms);
      break;
    case CONFIG_MSG_HOSTS_UNCHANGED:
      config_hosts_on_unchanged (config, reader, now_ms);
      break;
    default:
      break;
    }
}

void
config_handle_frame (part_t *part, const char *from, frame_reader_t *reader, int64_t now_ms)
{
  config_part_t *config = (config_part_t *) part;
  const config_stream_t *stream = config->streams->pdata[0];
  int64_t next = stream_buffer_next_offset (stream->buffer);
  hosts_version_t version = config->hosts.clock.current;
  handle_frame (config, from, reader, now_ms);
  if (stream_buffer_next_offset (stream->buffer) > next
      || hosts_version_compare (&config->hosts.clock.current, &version) > 0)
    relay_pull_succeeded (config->relay, from, now_ms);
}

bool
config_lacks_state (const config_part_t *config)
{
  return !config->caught_up || config_replica_is_incomplete (config->replica);
}

void
config_apply_batch (config_stream_t *stream, const log_batch_t *batch, config_source_t source)
{
  config_part_t *config = stream->config;
  int64_t before = stream_buffer_next_offset (stream->buffer);
  if (stream_buffer_add (stream->buffer, batch) != STREAM_BUFFER_APPLIED)
    return;
  if (stream->is_config)
    {
      config->source = source;
      config->confirmed_at_ms = daemon_now_ms (config->part.daemon);
    }
  if (config->relay_actions.read_platform && batch->records->len > 0)
    config_send_records (stream, NULL, before);
}
