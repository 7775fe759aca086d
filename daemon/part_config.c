/* part_config.c -- the daemon's configuration and host list
 *
 * One thread for each stream of the log and one for the list of hosts talk to
 * the platform, on the hosts that relay_step () chooses to read.  What comes,
 * from there or from peers, goes through a feed for each stream, and the
 * configuration's records through the fold.  The state is published once the
 * end of a source has been reached, and from then on only moves forward.
 */
#include "daemon/part_config.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"
#include "daemon/config_private.h"
#include "settings/settings.h"

#include <inttypes.h>
#include <string.h>

#define BEHIND_READS 10

typedef struct
{
  part_config_listener_t listener;
  void *data;
} listener_entry_t;

static const char *const source_names[] = { "none", "log", "relay", "peer" };

static void
on_config_record (const log_record_t *record, void *data)
{
  config_stream_t *stream = data;
  config_part_t *config = stream->config;
  checkpoint_inputs_t *facts = &config->checkpoint_facts;
  gsize size = 0;
  const void *bytes = g_bytes_get_data (record->data, &size);
  config_apply_result_t result = config_replica_apply (config->fold, record->offset, bytes, size);
  if (result == CONFIG_APPLY_MALFORMED)
    log_warning ("config", "A record of the log is malformed.", NULL);
  if (result == CONFIG_APPLY_CHECKPOINT || facts->oldest_wall_ms == 0)
    facts->oldest_wall_ms = record->at_ms;
  facts->records_since = result == CONFIG_APPLY_CHECKPOINT ? 0 : facts->records_since + 1;
  config->changed = true;
}

static void
on_config_lost (int64_t first, void *data)
{
  config_stream_t *stream = data;
  config_replica_records_lost (stream->config->fold, first);
  if (config_replica_is_incomplete (stream->config->fold))
    log_warning ("config", "Records have left the log unread; waiting for a checkpoint.", NULL);
}

static void
on_follower_record (const log_record_t *record, void *data)
{
  config_stream_t *stream = data;
  gsize size = 0;
  const void *bytes = g_bytes_get_data (record->data, &size);
  part_config_record_t copy = { record->offset, record->at_ms, bytes, size };
  if (stream->follower.record)
    stream->follower.record (&copy, stream->follower.data);
}

void
config_answered (config_part_t *config)
{
  relay_platform_answered (config->relay,
                           MIN (config->log_answered_at_ms, config->hosts_answered_at_ms));
}

/* The log never loses its end.  One read may be older than what a peer has sent;
 * many in a row tell that the platform serves another log. */
static void
check_end (config_stream_t *stream, const log_batch_t *batch)
{
  stream->behind_reads =
      batch->end_offset < stream_buffer_next_offset (stream->feed) ? stream->behind_reads + 1 : 0;
  if (stream->behind_reads == BEHIND_READS)
    log_error ("config", "The platform's log ends before what this host has read; ignored.",
               "stream", stream->name, NULL);
}

/* The records are in; what the read says about the log is noted here. */
static void
note_log (config_stream_t *stream, const config_poll_result_t *result)
{
  config_part_t *config = stream->config;
  const log_batch_t *batch = result->batch;
  check_end (stream, batch);
  bool end = batch->next_offset >= batch->end_offset
             && stream_buffer_next_offset (stream->feed) >= batch->end_offset;
  if (stream->folded)
    {
      config->checkpoint_facts.log_first_offset = batch->first_offset;
      config->checkpoint_facts.log_end_offset = batch->end_offset;
      config->log_answered_at_ms = daemon_now_ms (config->part.daemon);
      config_answered (config);
      if (end && !config_replica_is_incomplete (config->fold))
        {
          config->known = true;
          config->source = CONFIG_SOURCE_LOG;
          config->read_at_ms = result->sent_at_ms;
        }
    }
  if (end && stream->follower.caught_up)
    stream->follower.caught_up (result->sent_at_ms, stream->follower.data);
}

static void
on_read (const config_poll_result_t *result, void *data)
{
  config_stream_t *stream = data;
  config_part_t *config = stream->config;
  counter_add (config->count_reads, 1);
  if (result->result < 0)
    {
      counter_add (config->count_read_errors, 1);
      return;
    }
  config_take_batch (stream, result->batch, CONFIG_SOURCE_LOG);
  note_log (stream, result);
  if (config->actions.read_platform)
    config_poll_start (stream->poll, stream_buffer_next_offset (stream->feed));
}

static config_stream_t *
stream_new (config_part_t *config, const char *name, bool folded)
{
  config_stream_t *stream = g_new0 (config_stream_t, 1);
  stream_buffer_ops_t ops = { folded ? on_config_record : on_follower_record,
                              folded ? on_config_lost : NULL, stream };
  stream->config = config;
  stream->name = g_strdup (name);
  stream->folded = folded;
  stream->feed = stream_buffer_new (&ops, STREAM_BUFFER_MAX_BYTES);
  stream->poll = config_poll_new (config->part.daemon, name, on_read, stream);
  g_ptr_array_add (config->streams, stream);
  return stream;
}

/* Puts the state of the fold in force for readers and listeners. */
static void
publish (config_part_t *config)
{
  if (!config->changed)
    return;
  config->changed = false;
  if (config->known && config_replica_has_state (config->fold))
    {
      config_t *state = config_ref (config_replica_config (config->fold));
      pthread_mutex_lock (&config->mutex);
      config_t *old = config->published;
      config->published = state;
      pthread_mutex_unlock (&config->mutex);
      config_unref (old);
      counter_set (config->count_revision, config_revision (state));
    }
  for (guint i = 0; i < config->listeners->len; i++)
    {
      const listener_entry_t *entry = &g_array_index (config->listeners, listener_entry_t, i);
      entry->listener (config->published, config->hosts.list, entry->data);
    }
}

static void
on_checkpoint_appended (int result, int64_t offset, void *user)
{
  (void) offset;
  (void) user;
  if (result < 0)
    log_warning ("config", "A checkpoint may not have reached the log.", "error",
                 error_name (result), NULL);
  else
    log_info ("config", "Checkpoint appended to the log.", NULL);
}

typedef struct
{
  uint64_t own;
  GHashTable *before; /* data centres with a higher weight */
} rank_t;

static void
rank_peer (const daemon_peer_t *peer, void *data)
{
  rank_t *rank = data;
  if (peer->connected && hash_rendezvous ("checkpoint", peer->data_centre) > rank->own)
    g_hash_table_add (rank->before, (gpointer) peer->data_centre);
}

/* How many data centres come before this one. */
static int32_t
data_centre_rank (config_part_t *config)
{
  daemon_t *daemon = config->part.daemon;
  rank_t rank = { hash_rendezvous ("checkpoint", daemon_data_centre (daemon)),
                  g_hash_table_new (g_str_hash, g_str_equal) };
  daemon_each_peer (daemon, rank_peer, &rank);
  int32_t count = (int32_t) g_hash_table_size (rank.before);
  g_hash_table_unref (rank.before);
  return count;
}

static void
step_checkpoint (config_part_t *config, int64_t now_ms)
{
  checkpoint_inputs_t *facts = &config->checkpoint_facts;
  if (!config->actions.read_platform || !config->actions.platform_answered || !config->known
      || config->source != CONFIG_SOURCE_LOG || !config_replica_has_state (config->fold)
      || config_replica_is_incomplete (config->fold))
    return;
  const config_t *state = config_replica_config (config->fold);
  facts->checkpoint_offset = config_replica_checkpoint_offset (config->fold);
  facts->entry_count =
      (int64_t) (config_count (state, CONFIG_PLAN) + config_count (state, CONFIG_LIMIT));
  facts->rank = data_centre_rank (config);
  if (!checkpoint_should_append (&config->checkpoint_plan, facts, now_ms, clock_wall_ms ()))
    return;
  GBytes *record = config_replica_encode_checkpoint (config->fold);
  gsize size = 0;
  const void *data = g_bytes_get_data (record, &size);
  part_config_append (&config->part, CONFIG_STREAM, data, size, on_checkpoint_appended, config);
  g_bytes_unref (record);
}

static void
config_tick (part_t *part, int64_t now_ms)
{
  config_part_t *config = (config_part_t *) part;
  relay_step (config->relay, config_is_stateless (config), now_ms, &config->actions);
  if (config->actions.read_platform)
    {
      for (guint i = 0; i < config->streams->len; i++)
        {
          config_stream_t *stream = config->streams->pdata[i];
          config_poll_start (stream->poll, stream_buffer_next_offset (stream->feed));
        }
      config_poll_start (config->hosts.poll, (int64_t) config->hosts.digest);
    }
  if (config->actions.send_heartbeat)
    config_send_beat (config, config->actions.platform_answered);
  if (config->actions.pull_from)
    config_send_pull (config, config->actions.pull_from);
  step_checkpoint (config, now_ms);
  publish (config);
}

static void
config_peer_up (part_t *part, const char *host, int64_t now_ms)
{
  config_part_t *config = (config_part_t *) part;
  daemon_peer_t peer;
  if (daemon_peer (part->daemon, host, &peer))
    relay_peer_up (config->relay, host, peer.data_centre, now_ms);
}

static void
config_peer_down (part_t *part, const char *host, int64_t now_ms)
{
  config_part_t *config = (config_part_t *) part;
  (void) now_ms;
  relay_peer_down (config->relay, host);
  g_hash_table_remove (config->state_sent, host);
}

static json_object *
status_hosts (const config_part_t *config, int64_t now_ms)
{
  json_object *section = json_object_new_object ();
  bool any = config->hosts.clock.current.time_ms > 0;
  int64_t leaving = 0;
  for (guint i = 0; i < config->hosts.list->len; i++)
    leaving += ((const host_t *) config->hosts.list->pdata[i])->leaving;
  json_object_object_add (section, "count", json_object_new_int64 (config->hosts.list->len));
  json_object_object_add (section, "leaving", json_object_new_int64 (leaving));
  json_object_object_add (section, "version",
                          json_object_new_int64 (config->hosts.clock.current.time_ms));
  json_object_object_add (section, "age_ms",
                          any ? json_object_new_int64 (now_ms - config->hosts.at_ms) : NULL);
  return section;
}

static void
config_status (part_t *part, json_object *status)
{
  config_part_t *config = (config_part_t *) part;
  const config_t *state = config->published;
  int64_t now_ms = daemon_now_ms (part->daemon);
  json_object *section = json_object_new_object ();
  json_object *revision = state ? json_object_new_int64 (config_revision (state)) : NULL;
  json_object_object_add (status, "revision", json_object_get (revision));
  json_object_object_add (section, "revision", revision);
  json_object_object_add (section, "source", json_object_new_string (source_names[config->source]));
  json_object_object_add (section, "reads_platform",
                          json_object_new_boolean (config->actions.read_platform));
  const char *relay = config->actions.read_platform ? NULL : relay_source (config->relay, now_ms);
  json_object_object_add (section, "relayed_by", relay ? json_object_new_string (relay) : NULL);
  json_object_object_add (section, "platform_answers",
                          json_object_new_boolean (config->actions.platform_answered));
  json_object_object_add (section, "next_offset",
                          json_object_new_int64 (config_replica_next_offset (config->fold)));
  json_object_object_add (section, "checkpoint_offset",
                          json_object_new_int64 (config_replica_checkpoint_offset (config->fold)));
  json_object_object_add (section, "incomplete",
                          json_object_new_boolean (config_replica_is_incomplete (config->fold)));
  json_object_object_add (section, "age_ms",
                          config->known ? json_object_new_int64 (now_ms - config->read_at_ms)
                                        : NULL);
  if (state)
    {
      json_object_object_add (section, "customers",
                              json_object_new_int64 ((int64_t) config_count (state, CONFIG_PLAN)));
      json_object_object_add (section, "limits",
                              json_object_new_int64 ((int64_t) config_count (state, CONFIG_LIMIT)));
    }
  json_object_object_add (section, "host_list", status_hosts (config, now_ms));
  json_object_object_add (status, "config", section);
}

static const part_ops_t config_ops = {
  .name = "config",
  .frame_first = FRAME_CONFIG_FIRST,
  .frame_last = FRAME_CONFIG_LAST,
  .frame = config_frame,
  .tick = config_tick,
  .peer_up = config_peer_up,
  .peer_down = config_peer_down,
  .status = config_status,
};

part_t *
part_config_new (daemon_t *daemon)
{
  config_part_t *config = g_new0 (config_part_t, 1);
  config->part = (part_t){ &config_ops, daemon };
  config->streams = g_ptr_array_new ();
  config->fold = config_replica_new (&config_rules_all);
  config->relay =
      relay_new (daemon_host_id (daemon), daemon_data_centre (daemon), clock_boot_ms ());
  config->append = config_append_new (daemon);
  config->checkpoint_plan.last_checkpoint_offset = -1;
  config->state_sent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  config->listeners = g_array_new (FALSE, FALSE, sizeof (listener_entry_t));
  pthread_mutex_init (&config->mutex, NULL);
  config->count_revision = counter_get ("jaytrail_config_revision", NULL);
  config->count_reads = counter_get ("jaytrail_log_reads_total", NULL);
  config->count_read_errors = counter_get ("jaytrail_log_read_errors_total", NULL);
  config->count_appends = counter_get ("jaytrail_log_appends_total", NULL);
  config->count_append_errors = counter_get ("jaytrail_log_append_errors_total", NULL);
  config->count_messages = counter_get ("jaytrail_relay_messages_total", NULL);
  config->count_bytes = counter_get ("jaytrail_relay_bytes_total", NULL);
  config_hosts_init (config);
  stream_new (config, CONFIG_STREAM, true);
  return &config->part;
}

config_t *
part_config_snapshot (part_t *part)
{
  config_part_t *config = (config_part_t *) part;
  pthread_mutex_lock (&config->mutex);
  config_t *state = config->published ? config_ref (config->published) : NULL;
  pthread_mutex_unlock (&config->mutex);
  return state;
}

const config_t *
part_config_current (part_t *part)
{
  return ((config_part_t *) part)->published;
}

void
part_config_listen (part_t *part, part_config_listener_t listener, void *data)
{
  config_part_t *config = (config_part_t *) part;
  listener_entry_t entry = { listener, data };
  g_array_append_val (config->listeners, entry);
}

void
part_config_follow (part_t *part, const char *stream, const part_config_follower_t *follower)
{
  config_part_t *config = (config_part_t *) part;
  stream_new (config, stream, false)->follower = *follower;
}

typedef struct
{
  config_part_t *config;
  void (*done) (int result, int64_t offset, void *user);
  void *user;
} append_call_t;

static void
on_appended (int result, int64_t offset, void *user)
{
  append_call_t *call = user;
  if (result < 0)
    counter_add (call->config->count_append_errors, 1);
  if (call->done)
    call->done (result, offset, call->user);
  g_free (call);
}

void
part_config_append (part_t *part,
                    const char *stream,
                    const void *data,
                    size_t size,
                    void (*done) (int result, int64_t offset, void *user),
                    void *user)
{
  config_part_t *config = (config_part_t *) part;
  append_call_t *call = g_new (append_call_t, 1);
  *call = (append_call_t){ config, done, user };
  counter_add (config->count_appends, 1);
  config_append_start (config->append, stream, data, size, on_appended, call);
}
