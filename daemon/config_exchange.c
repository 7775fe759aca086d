/* config_exchange.c -- the configuration part's frames: beats, pulls, records and whole states */
#include "base/error.h"
#include "base/log.h"
#include "daemon/config_private.h"

#include <string.h>

/* A longer backlog goes out in several answers. */
#define RECORDS_MAX_BYTES (1024u * 1024)
/* A host is sent the whole configuration at most this often. */
#define STATE_AGAIN_MS 2000

static void
send_one (config_part_t *config, const char *host, GBytes *frame)
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
send_local (const daemon_peer_t *peer, void *data)
{
  broadcast_t *broadcast = data;
  daemon_t *daemon = broadcast->config->part.daemon;
  if (peer->connected && strcmp (peer->data_centre, daemon_data_centre (daemon)) == 0)
    send_one (broadcast->config, peer->host, broadcast->frame);
}

void
config_send (config_part_t *config, const char *host, GBytes *frame)
{
  broadcast_t broadcast = { config, frame };
  if (host)
    send_one (config, host, frame);
  else
    daemon_each_peer (config->part.daemon, send_local, &broadcast);
  g_bytes_unref (frame);
}

static config_progress_t *
have_new (config_part_t *config)
{
  config_progress_t *have = config_progress_new ();
  have->hosts_version = config->hosts.clock.current;
  have->hosts_digest = config->hosts.digest;
  for (guint i = 0; i < config->streams->len; i++)
    {
      const config_stream_t *stream = config->streams->pdata[i];
      config_progress_add_position (have, stream->name, stream_buffer_next_offset (stream->feed));
    }
  return have;
}

void
config_send_beat (config_part_t *config, bool answered)
{
  config_progress_t *have = have_new (config);
  have->platform_answered = answered;
  config_send (config, NULL, config_msg_progress (CONFIG_MSG_HEARTBEAT, have));
  config_progress_free (have);
}

void
config_send_pull (config_part_t *config, const char *host)
{
  config_progress_t *have = have_new (config);
  have->want_state = config_replica_is_incomplete (config->fold);
  config_send (config, host, config_msg_progress (CONFIG_MSG_PULL, have));
  config_progress_free (have);
}

void
config_send_records (config_stream_t *stream, const char *host, int64_t from)
{
  log_batch_t *batch = stream_buffer_batch_from (stream->feed, from, RECORDS_MAX_BYTES);
  config_send (stream->config, host, config_msg_records (stream->name, batch));
  log_batch_free (batch);
}

static config_stream_t *
stream_find (config_part_t *config, const char *name)
{
  for (guint i = 0; i < config->streams->len; i++)
    {
      config_stream_t *stream = config->streams->pdata[i];
      if (strcmp (stream->name, name) == 0)
        return stream;
    }
  return NULL;
}

/* True if the sender of HAVE has records that this host lacks. */
static bool
is_behind (config_part_t *config, const config_progress_t *have)
{
  for (guint i = 0; i < have->positions->len; i++)
    {
      const config_stream_position_t *position =
          &g_array_index (have->positions, config_stream_position_t, i);
      const config_stream_t *stream = stream_find (config, position->stream);
      if (stream && stream_buffer_next_offset (stream->feed) < position->next_offset)
        return true;
    }
  return false;
}

/* This host has the end of the source's streams. */
static void
note_known (config_part_t *config, config_source_t source)
{
  if (config_replica_is_incomplete (config->fold))
    return;
  config->known = true;
  config->source = source;
  config->read_at_ms = daemon_now_ms (config->part.daemon);
}

static config_source_t
source_of (config_part_t *config, const char *host)
{
  daemon_peer_t peer;
  if (daemon_peer (config->part.daemon, host, &peer)
      && strcmp (peer.data_centre, daemon_data_centre (config->part.daemon)) == 0)
    return CONFIG_SOURCE_RELAY;
  return CONFIG_SOURCE_PEER;
}

static void
on_beat (config_part_t *config, const char *from, frame_reader_t *reader, int64_t now_ms)
{
  config_progress_t *have = NULL;
  if (!config_msg_get_progress (reader, &have))
    return;
  bool list_behind = config_hosts_beat (config, have, now_ms);
  relay_heartbeat_t beat = { have->platform_answered, list_behind || is_behind (config, have) };
  relay_heartbeat_received (config->relay, from, &beat, now_ms);
  if (have->platform_answered && config->known && !config->actions.read_platform
      && !is_behind (config, have))
    {
      config->source = CONFIG_SOURCE_RELAY;
      config->read_at_ms = now_ms;
    }
  config_progress_free (have);
}

/* Sends the whole configuration, unless HOST has just been sent it. */
static void
send_state (config_part_t *config, const char *host, int64_t now_ms)
{
  int64_t *sent_at_ms = g_hash_table_lookup (config->state_sent, host);
  if (sent_at_ms && now_ms - *sent_at_ms < STATE_AGAIN_MS)
    return;
  if (sent_at_ms == NULL)
    {
      sent_at_ms = g_new (int64_t, 1);
      g_hash_table_insert (config->state_sent, g_strdup (host), sent_at_ms);
    }
  *sent_at_ms = now_ms;
  GBytes *checkpoint = config_replica_encode_checkpoint (config->fold);
  config_send (config, host, config_msg_state (checkpoint));
  g_bytes_unref (checkpoint);
}

static void
answer_position (config_part_t *config,
                 const char *host,
                 const config_progress_t *have,
                 const config_stream_position_t *position,
                 int64_t now_ms)
{
  config_stream_t *stream = stream_find (config, position->stream);
  if (stream == NULL)
    return;
  bool has_state = stream->folded && config_replica_has_state (config->fold)
                   && !config_replica_is_incomplete (config->fold);
  bool behind = position->next_offset < stream_buffer_next_offset (stream->feed);
  if (has_state
      && (have->want_state
          || (behind && !stream_buffer_covers (stream->feed, position->next_offset))))
    send_state (config, host, now_ms);
  else if (behind)
    config_send_records (stream, host, position->next_offset);
}

static void
on_pull (config_part_t *config, const char *from, frame_reader_t *reader, int64_t now_ms)
{
  config_progress_t *have = NULL;
  if (!config_msg_get_progress (reader, &have))
    return;
  for (guint i = 0; i < have->positions->len; i++)
    answer_position (config, from, have,
                     &g_array_index (have->positions, config_stream_position_t, i), now_ms);
  config_hosts_answer (config, from, have);
  config_progress_free (have);
}

static void
on_records (config_part_t *config, const char *from, frame_reader_t *reader)
{
  char *name = NULL;
  log_batch_t *batch = NULL;
  if (!config_msg_get_records (reader, &name, &batch))
    {
      log_warning ("config", "Malformed records from a peer.", "host", from, NULL);
      return;
    }
  config_stream_t *stream = stream_find (config, name);
  if (stream)
    config_take_batch (stream, batch, source_of (config, from));
  if (stream && stream->folded && stream_buffer_next_offset (stream->feed) >= batch->end_offset)
    note_known (config, source_of (config, from));
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
  int result = config_replica_load_checkpoint (config->fold, data, size);
  if (result < 0)
    {
      if (result == ERROR_PROTOCOL)
        log_warning ("config", "Malformed configuration from a peer.", "host", from, NULL);
      return;
    }
  stream_buffer_skip_to (stream->feed, config_replica_next_offset (config->fold));
  config->changed = true;
  note_known (config, source_of (config, from));
  log_info ("config", "Configuration taken from a peer.", "host", from, NULL);
}

static void
take_frame (config_part_t *config, const char *from, frame_reader_t *reader, int64_t now_ms)
{
  switch (frame_type (reader))
    {
    case CONFIG_MSG_HEARTBEAT:
      on_beat (config, from, reader, now_ms);
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
      config_hosts_relayed (config, reader, now_ms);
      break;
    case CONFIG_MSG_HOSTS_UNCHANGED:
      config_hosts_relayed_same (config, reader, now_ms);
      break;
    default:
      break;
    }
}

void
config_frame (part_t *part, const char *from, frame_reader_t *reader, int64_t now_ms)
{
  config_part_t *config = (config_part_t *) part;
  const config_stream_t *stream = config->streams->pdata[0];
  int64_t next = stream_buffer_next_offset (stream->feed);
  hosts_version_t version = config->hosts.clock.current;
  take_frame (config, from, reader, now_ms);
  if (stream_buffer_next_offset (stream->feed) > next
      || hosts_version_compare (&config->hosts.clock.current, &version) > 0)
    relay_pull_succeeded (config->relay, from, now_ms);
}

bool
config_is_stateless (const config_part_t *config)
{
  return !config->known || config_replica_is_incomplete (config->fold);
}

void
config_take_batch (config_stream_t *stream, const log_batch_t *batch, config_source_t source)
{
  config_part_t *config = stream->config;
  int64_t before = stream_buffer_next_offset (stream->feed);
  if (stream_buffer_add (stream->feed, batch) != STREAM_BUFFER_APPLIED)
    return;
  if (stream->folded)
    {
      config->source = source;
      config->read_at_ms = daemon_now_ms (config->part.daemon);
    }
  if (config->actions.read_platform && batch->records->len > 0)
    config_send_records (stream, NULL, before);
}
