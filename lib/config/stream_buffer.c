/* stream_buffer.c -- puts one log stream in order and buffers its latest records for peers
 *
 * The field records holds all records in the range [first_offset, next_offset)
 * that the log had when they were read.  Offsets in that range without a record
 * were already missing from the log.
 */
#include "config/stream_buffer.h"

struct stream_buffer_t
{
  stream_buffer_ops_t ops;
  size_t max_bytes;
  size_t size_bytes;
  int64_t first_offset;
  int64_t next_offset;
  GQueue records; /* of log_record_t * */
};

stream_buffer_t *
stream_buffer_new (const stream_buffer_ops_t *ops, size_t max_bytes)
{
  stream_buffer_t *buffer = g_new0 (stream_buffer_t, 1);
  buffer->ops = *ops;
  buffer->max_bytes = max_bytes;
  g_queue_init (&buffer->records);
  return buffer;
}

static void
record_free (gpointer data)
{
  log_record_t *record = data;
  g_bytes_unref (record->data);
  g_free (record);
}

void
stream_buffer_free (stream_buffer_t *buffer)
{
  if (buffer == NULL)
    return;
  g_queue_clear_full (&buffer->records, record_free);
  g_free (buffer);
}

/* Adds RECORD and evicts the oldest records beyond max_bytes. */
static void
append (stream_buffer_t *buffer, const log_record_t *record)
{
  log_record_t *copy = g_new (log_record_t, 1);
  *copy = *record;
  g_bytes_ref (copy->data);
  g_queue_push_tail (&buffer->records, copy);
  buffer->size_bytes += g_bytes_get_size (copy->data) + sizeof *copy;
  while (buffer->size_bytes > buffer->max_bytes)
    {
      log_record_t *oldest = g_queue_pop_head (&buffer->records);
      buffer->size_bytes -= g_bytes_get_size (oldest->data) + sizeof *oldest;
      buffer->first_offset = oldest->offset + 1;
      record_free (oldest);
    }
}

/* Empties the buffer, which then begins at NEXT_OFFSET. */
static void
reset (stream_buffer_t *buffer, int64_t next_offset)
{
  g_queue_clear_full (&buffer->records, record_free);
  buffer->size_bytes = 0;
  buffer->first_offset = next_offset;
  buffer->next_offset = next_offset;
}

static void
deliver (stream_buffer_t *buffer, const log_record_t *record)
{
  buffer->next_offset = record->offset + 1;
  append (buffer, record);
  buffer->ops.on_record (record, buffer->ops.data);
}

stream_buffer_result_t
stream_buffer_add (stream_buffer_t *buffer, const log_batch_t *batch)
{
  if (batch->next_offset <= buffer->next_offset && batch->first_offset <= buffer->next_offset)
    return STREAM_BUFFER_STALE;
  if (batch->from_offset > buffer->next_offset)
    return STREAM_BUFFER_GAP;
  if (batch->first_offset > buffer->next_offset)
    {
      reset (buffer, batch->first_offset);
      if (buffer->ops.on_lost)
        buffer->ops.on_lost (batch->first_offset, buffer->ops.data);
    }
  for (guint i = 0; i < batch->records->len; i++)
    {
      const log_record_t *record = &g_array_index (batch->records, log_record_t, i);
      if (record->offset >= buffer->next_offset)
        deliver (buffer, record);
    }
  buffer->next_offset = MAX (buffer->next_offset, batch->next_offset);
  return STREAM_BUFFER_APPLIED;
}

int64_t
stream_buffer_next_offset (const stream_buffer_t *buffer)
{
  return buffer->next_offset;
}

void
stream_buffer_skip_to (stream_buffer_t *buffer, int64_t next_offset)
{
  if (next_offset > buffer->next_offset)
    reset (buffer, next_offset);
}

bool
stream_buffer_covers (const stream_buffer_t *buffer, int64_t from)
{
  return from >= buffer->first_offset;
}

log_batch_t *
stream_buffer_batch_from (const stream_buffer_t *buffer, int64_t from, size_t max_bytes)
{
  log_batch_t *batch = log_batch_new (from, buffer->first_offset, MAX (from, buffer->next_offset));
  size_t bytes = 0;
  for (const GList *link = buffer->records.head; link; link = link->next)
    {
      const log_record_t *record = link->data;
      if (record->offset < from)
        continue;
      if (bytes > 0 && bytes + g_bytes_get_size (record->data) > max_bytes)
        {
          batch->next_offset = record->offset;
          break;
        }
      bytes += g_bytes_get_size (record->data);
      log_batch_add (batch, record->offset, record->at_ms, record->data);
    }
  batch->end_offset = buffer->next_offset;
  return batch;
}
