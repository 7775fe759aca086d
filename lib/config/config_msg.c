/* config_msg.c -- messages by which hosts relay log streams and the list of hosts */
#include "config/config_msg.h"

static void
position_clear (gpointer data)
{
  g_free (((config_stream_position_t *) data)->stream);
}

config_progress_t *
config_progress_new (void)
{
  config_progress_t *progress = g_new0 (config_progress_t, 1);
  progress->positions = g_array_new (FALSE, FALSE, sizeof (config_stream_position_t));
  g_array_set_clear_func (progress->positions, position_clear);
  return progress;
}

void
config_progress_free (config_progress_t *progress)
{
  if (progress == NULL)
    return;
  g_array_unref (progress->positions);
  g_free (progress);
}

void
config_progress_add_position (config_progress_t *progress, const char *stream, int64_t next_offset)
{
  config_stream_position_t position = { g_strdup (stream), next_offset };
  g_array_append_val (progress->positions, position);
}

static void
put_version (frame_writer_t *writer, const hosts_version_t *version)
{
  frame_put_int (writer, version->time_ms);
  frame_put_uint (writer, version->reader_hash);
}

static void
get_version (frame_reader_t *reader, hosts_version_t *version)
{
  version->time_ms = frame_get_range (reader, 0, INT64_MAX - 1);
  version->reader_hash = frame_get_uint (reader);
}

GBytes *
config_msg_progress (config_msg_type_t type, const config_progress_t *progress)
{
  frame_writer_t *writer = frame_begin (type);
  frame_put_bool (writer, progress->platform_answered);
  frame_put_bool (writer, progress->want_state);
  put_version (writer, &progress->hosts_version);
  frame_put_uint (writer, progress->hosts_digest);
  frame_put_count (writer, progress->positions->len);
  for (guint i = 0; i < progress->positions->len; i++)
    {
      const config_stream_position_t *position =
          &g_array_index (progress->positions, config_stream_position_t, i);
      frame_put_string (writer, position->stream);
      frame_put_int (writer, position->next_offset);
    }
  return frame_finish (writer);
}

bool
config_msg_get_progress (frame_reader_t *reader, config_progress_t **result)
{
  config_progress_t *progress = config_progress_new ();
  progress->platform_answered = frame_get_bool (reader);
  progress->want_state = frame_get_bool (reader);
  get_version (reader, &progress->hosts_version);
  progress->hosts_digest = frame_get_uint (reader);
  size_t count = frame_get_count (reader, CONFIG_MSG_STREAMS_MAX);
  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      char *stream = frame_get_string (reader, CONFIG_MSG_STREAM_MAX_BYTES);
      int64_t next_offset = frame_get_range (reader, 0, INT64_MAX - 1);
      if (stream)
        config_progress_add_position (progress, stream, next_offset);
      g_free (stream);
    }
  bool valid = frame_ok (reader) && progress->positions->len == count;
  *result = valid ? progress : NULL;
  if (!valid)
    config_progress_free (progress);
  return valid;
}

GBytes *
config_msg_records (const char *stream, const log_batch_t *batch)
{
  frame_writer_t *writer = frame_begin (CONFIG_MSG_RECORDS);
  frame_put_string (writer, stream);
  frame_put_int (writer, batch->from_offset);
  frame_put_int (writer, batch->first_offset);
  frame_put_int (writer, batch->next_offset);
  frame_put_int (writer, batch->end_offset);
  frame_put_count (writer, batch->records->len);
  for (guint i = 0; i < batch->records->len; i++)
    {
      const log_record_t *record = &g_array_index (batch->records, log_record_t, i);
      gsize size = 0;
      const void *data = g_bytes_get_data (record->data, &size);
      frame_put_int (writer, record->offset);
      frame_put_int (writer, record->at_ms);
      frame_put_bytes (writer, data, size);
    }
  return frame_finish (writer);
}

/* Reads a record and adds it to BATCH.  Its offset must be at least MIN_OFFSET and
 * below the end of the batch's range. */
static bool
get_record (frame_reader_t *reader, int64_t min_offset, log_batch_t *batch)
{
  gsize size = 0;
  int64_t offset = frame_get_range (reader, min_offset, batch->next_offset - 1);
  int64_t at_ms = frame_get_int (reader);
  const void *data = frame_get_bytes (reader, FRAME_MAX_BYTES, &size);
  if (!frame_ok (reader))
    return false;
  GBytes *bytes = g_bytes_new (data, size);
  log_batch_add (batch, offset, at_ms, bytes);
  g_bytes_unref (bytes);
  return true;
}

bool
config_msg_get_records (frame_reader_t *reader, char **stream, log_batch_t **result)
{
  char *name = frame_get_string (reader, CONFIG_MSG_STREAM_MAX_BYTES);
  int64_t from = frame_get_range (reader, 0, INT64_MAX - 1);
  int64_t first = frame_get_range (reader, 0, INT64_MAX - 1);
  int64_t next = frame_get_range (reader, from, INT64_MAX - 1);
  int64_t end = frame_get_range (reader, 0, INT64_MAX - 1);
  size_t count = frame_get_count (reader, CONFIG_MSG_RECORDS_MAX);
  log_batch_t *batch = log_batch_new (from, first, next);
  batch->end_offset = end;
  int64_t min_offset = MAX (from, first);
  bool valid = name != NULL && frame_ok (reader);
  for (size_t i = 0; i < count && valid; i++)
    {
      valid = get_record (reader, min_offset, batch);
      if (valid)
        min_offset = g_array_index (batch->records, log_record_t, i).offset + 1;
    }
  if (valid)
    {
      *stream = name;
      *result = batch;
      return true;
    }
  g_free (name);
  log_batch_free (batch);
  return false;
}

GBytes *
config_msg_state (GBytes *checkpoint)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (checkpoint, &size);
  frame_writer_t *writer = frame_begin (CONFIG_MSG_STATE);
  frame_put_bytes (writer, data, size);
  return frame_finish (writer);
}

bool
config_msg_get_state (frame_reader_t *reader, const void **data, size_t *size)
{
  *data = frame_get_bytes (reader, FRAME_MAX_BYTES, size);
  return frame_ok (reader) && *data != NULL;
}

GBytes *
config_msg_hosts_unchanged (const hosts_version_t *version, uint64_t digest)
{
  frame_writer_t *writer = frame_begin (CONFIG_MSG_HOSTS_UNCHANGED);
  put_version (writer, version);
  frame_put_uint (writer, digest);
  return frame_finish (writer);
}

bool
config_msg_get_hosts_unchanged (frame_reader_t *reader, hosts_version_t *version, uint64_t *digest)
{
  get_version (reader, version);
  *digest = frame_get_uint (reader);
  return frame_ok (reader);
}
