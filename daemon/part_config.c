/* part_config.c -- the daemon's configuration and host list
 *
 * On the hosts that relay_step () chooses as readers, one thread for each log
 * stream and one for the list of hosts poll the platform.  Records from the
 * platform and from peers go through the buffer of their stream, which delivers
 * them in order.  The replica applies the records of the configuration.  Its state
 * is published once the end of a source has been reached, and after that never
 * goes back to an earlier offset.
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

/* After this many consecutive reads in which the log ended before what this host has
 * received, an error is logged. */
#define SHORT_READS_MAX 10

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
  checkpoint_inputs_t *inputs = &config->checkpoint_inputs;
  gsize size = 0;
  const void *bytes = g_bytes_get_data (record->data, &size);
  config_apply_result_t result =
      config_replica_apply (config->replica, record->offset, bytes, size);
  if (result == CONFIG_APPLY_MALFORMED)
    log_warning ("config", "Skipped a malformed record of the configuration log.", NULL);
  if (result == CONFIG_APPLY_CHECKPOINT || inputs->oldest_wall_ms == 0)
    inputs->oldest_wall_ms = record->at_ms;
  inputs->records_since = result == CONFIG_APPLY_CHECKPOINT ? 0 : inputs->records_since + 1;
  config->notify_pending = true;
}

static void
on_config_lost (int64_t first, void *data)
{
  config_stream_t *stream = data;
  config_replica_records_lost (stream->config->replica, first);
  if (config_replica_is_incomplete (stream->config->replica))
    log_warning ("config", "Log records expired before they were read; waiting for a checkpoint.",
                 NULL);
}

static void
on_follower_record (const log_record_t *record, void *data)
{
  config_stream_t *stream = data;
  gsize size = 0;
  const void *bytes = g_bytes_get_data (record->data, &size);
  part_config_record_t copy = { record->offset, record->at_ms, bytes, size };
  if (stream->follower.on_record)
    stream->follower.on_record (&copy, stream->follower.data);
}

void
config_note_platform_answer (config_part_t *config)
{
  relay_platform_answered (config->relay,
                           MIN (config->log_answered_at_ms, config->hosts_answered_at_ms));
}

/* Detects a platform that serves another log.  The log never loses its latest records, and
 * a single read that ends early may just be older than records from a peer, but
 * SHORT_READS_MAX consecutive ones cannot. */
static void
check_log_end (config_stream_t *stream, const log_batch_t *batch)
{
  stream->consecutive_short_reads = batch->end_offset < stream_buffer_next_offset (stream->buffer)
                                        ? stream->consecutive_short_reads + 1
                                        : 0;
  if (stream->consecutive_short_reads == SHORT_READS_MAX)
    log_error ("config",
               "The platform's log ends before records that this host has read; ignoring it.",
               "stream", stream->name, NULL);
}

/* Takes in what a read says about the log, after its records have been applied. */
static void
update_from_read (config_stream_t *stream, const config_poll_result_t *result)
{
  config_part_t *config = stream->config;
  const log_batch_t *batch = result->batch;
  check_log_end (stream, batch);
  bool end = batch->next_offset >= batch->end_offset
             && stream_buffer_next_offset (stream->buffer) >= batch->end_offset;
  if (stream->is_config)
    {
      config->checkpoint_inputs.log_first_offset = batch->first_offset;
      config->checkpoint_inputs.log_end_offset = batch->end_offset;
      config->log_answered_at_ms = daemon_now_ms (config->part.daemon);
      config_note_platform_answer (config);
      if (end && !config_replica_is_incomplete (config->replica))
        {
          config->caught_up = true;
          config->source = CONFIG_SOURCE_LOG;
          config->confirmed_at_ms = result->sent_at_ms;
        }
    }
  if (end && stream->follower.on_stream_end)
    stream->follower.on_stream_end (result->sent_at_ms, stream->follower.data);
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
  config_apply_batch (stream, result->batch, CONFIG_SOURCE_LOG);
  update_from_read (stream, result);
  if (config->relay_actions.read_platform)
    config_poll_start (stream->poll, stream_buffer_next_offset (stream->buffer));
}

static config_stream_t *
stream_new (config_part_t *config, const char *name, bool is_config)
{
  config_stream_t *stream = g_new0 (config_stream_t, 1);
  stream_buffer_ops_t ops = { is_config ? on_config_record : on_follower_record,
                              is_config ? on_config_lost : NULL, stream };
  stream->config = config;
  stream->name = g_strdup (name);
  stream->is_config = is_config;
  stream->buffer = stream_buffer_new (&ops, STREAM_BUFFER_MAX_BYTES);
  stream->poll = config_poll_new (config->part.daemon, name, on_read, stream);
  g_ptr_array_add (config->streams, stream);
  return stream;
}

/* Publishes the state of the replica and calls the listeners, if anything has changed. */
static void
publish (config_part_t *config)
{
  if (!config->notify_pending)
    return;
  config->notify_pending = false;
  if (config->caught_up && config_replica_has_state (config->replica))
    {
      config_t *state = config_ref (config_replica_config (config->replica));
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
    log_warning ("config", "Appending a checkpoint failed or was not confirmed.", "error",
                 error_name (result), NULL);
  else
    log_info ("config", "Appended a checkpoint to the log.", NULL);
}

typedef struct
{
  uint64_t own_weight;
  GHashTable *higher_ranked; /* set of the data centres with higher weights */
} data_centre_rank_t;

static void
rank_peer (const daemon_peer_t *peer, void *data)
{
  data_centre_rank_t *rank = data;
  if (peer->connected && hash_rendezvous ("checkpoint", peer->data_centre) > rank->own_weight)
    g_hash_table_add (rank->higher_ranked, (gpointer) peer->data_centre);
}

/* The number of connected data centres that come before this one in the order in which
 * they append checkpoints. */
static int32_t
data_centre_rank (config_part_t *config)
{
  daemon_t *daemon = config->part.daemon;
  data_centre_rank_t rank = { hash_rendezvous ("checkpoint", daemon_data_centre (daemon)),
                              g_hash_table_new (g_str_hash, g_str_equal) };
  daemon_foreach_peer (daemon, rank_peer, &rank);
  int32_t count = (int32_t) g_hash_table_size (rank.higher_ranked);
  g_hash_table_unref (rank.higher_ranked);
  return count;
}

static void
append_checkpoint_if_due (config_part_t *config, int64_t now_ms)
{
  checkpoint_inputs_t *inputs = &config->checkpoint_inputs;
  if (!config->relay_actions.read_platform || !config->relay_actions.platform_answered
      || !config->caught_up || config->source != CONFIG_SOURCE_LOG
      || !config_replica_has_state (config->replica)
      || config_replica_is_incomplete (config->replica))
    return;
  const config_t *state = config_replica_config (config->replica);
  inputs->checkpoint_offset = config_replica_checkpoint_offset (config->replica);
  inputs->entry_count =
      (int64_t) (config_count (state, CONFIG_PLAN) + config_count (state, CONFIG_LIMIT));
  inputs->rank = data_centre_rank (config);
  if (!checkpoint_should_append (&config->checkpoint_schedule, inputs, now_ms, clock_wall_ms ()))
    return;
  GBytes *record = config_replica_encode_checkpoint (config->replica);
  gsize size = 0;
  const void *data = g_bytes_get_data (record, &size);
  part_config_append (&config->part, CONFIG_STREAM, data, size, on_checkpoint_appended, config);
  g_bytes_unref (record);
}

static void
config_tick (part_t *part, int64_t now_ms)
{
  config_part_t *config = (config_part_t *) part;
  relay_step (config->relay, config_lacks_state (config), now_ms, &config->relay_actions);
  if (config->relay_actions.read_platform)
    {
      for (guint i = 0; i < config->streams->len; i++)
        {
          config_stream_t *stream = config->streams->pdata[i];
          config_poll_start (stream->poll, stream_buffer_next_offset (stream->buffer));
        }
      config_poll_start (config->hosts.poll, (int64_t) config->hosts.digest);
    }
  if (config->relay_actions.send_heartbeat)
    config_send_heartbeat (config, config->relay_actions.platform_answered);
  if (config->relay_actions.pull_from)
    config_send_pull (config, config->relay_actions.pull_from);
  append_checkpoint_if_due (config, now_ms);
  publish (config);
}

static void
config_peer_up (part_t *part, const char *host, int64_t now_ms)
{
  config_part_t *config = (config_part_t *) part;
  daemon_peer_t peer;
  if (daemon_find_peer (part->daemon, host, &peer))
    relay_peer_up (config->relay, host, peer.data_centre, now_ms);
}

static void
config_peer_down (part_t *part, const char *host, int64_t now_ms)
{
  config_part_t *config = (config_part_t *) part;
  (void) now_ms;
  relay_peer_down (config->relay, host);
  g_hash_table_remove (config->state_sent_at_ms, host);
}

static json_object *
host_list_status (const config_part_t *config, int64_t now_ms)
{
  json_object *section = json_object_new_object ();
  bool has_list = config->hosts.clock.current.time_ms > 0;
  int64_t leaving = 0;
  for (guint i = 0; i < config->hosts.list->len; i++)
    leaving += ((const host_t *) config->hosts.list->pdata[i])->leaving;
  json_object_object_add (section, "count", json_object_new_int64 (config->hosts.list->len));
  json_object_object_add (section, "leaving", json_object_new_int64 (leaving));
  json_object_object_add (section, "version",
                          json_object_new_int64 (config->hosts.clock.current.time_ms));
  json_object_object_add (section, "age_ms",
                          has_list ? json_object_new_int64 (now_ms - config->hosts.confirmed_at_ms)
                                   : NULL);
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
                          json_object_new_boolean (config->relay_actions.read_platform));
  const char *relay =
      config->relay_actions.read_platform ? NULL : relay_source (config->relay, now_ms);
  json_object_object_add (section, "relayed_by", relay ? json_object_new_string (relay) : NULL);
  json_object_object_add (section, "platform_answers",
                          json_object_new_boolean (config->relay_actions.platform_answered));
  json_object_object_add (section, "next_offset",
                          json_object_new_int64 (config_replica_next_offset (config->replica)));
  json_object_object_add (
      section, "checkpoint_offset",
      json_object_new_int64 (config_replica_checkpoint_offset (config->replica)));
  json_object_object_add (section, "incomplete",
                          json_object_new_boolean (config_replica_is_incomplete (config->replica)));
  json_object_object_add (
      section, "age_ms",
      config->caught_up ? json_object_new_int64 (now_ms - config->confirmed_at_ms) : NULL);
  if (state)
    {
      json_object_object_add (section, "customers",
                              json_object_new_int64 ((int64_t) config_count (state, CONFIG_PLAN)));
      json_object_object_add (section, "limits",
                              json_object_new_int64 ((int64_t) config_count (state, CONFIG_LIMIT)));
    }
  json_object_object_add (section, "host_list", host_list_status (config, now_ms));
  json_object_object_add (status, "config", section);
}

static const part_ops_t config_ops = {
  .name = "config",
  .frame_first = FRAME_CONFIG_FIRST,
  .frame_last = FRAME_CONFIG_LAST,
  .frame = config_handle_frame,
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
  config->replica = config_replica_new (&config_rules_all);
  config->relay =
      relay_new (daemon_host_id (daemon), daemon_data_centre (daemon), clock_boot_ms ());
  config->append = config_append_new (daemon);
  config->checkpoint_schedule.last_checkpoint_offset = -1;
  config->state_sent_at_ms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
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
part_config_add_listener (part_t *part, part_config_listener_t listener, void *data)
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
