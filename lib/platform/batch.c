/* batch.c -- batches of log records, and parsing of the log's answer to a read */
#include "platform/batch.h"

#include "base/error.h"
#include "platform/json.h"

#include <limits.h>

static void
record_clear (gpointer data)
{
  g_bytes_unref (((log_record_t *) data)->data);
}

log_batch_t *
log_batch_new (int64_t from, int64_t first, int64_t next)
{
  log_batch_t *batch = g_new0 (log_batch_t, 1);
  batch->from_offset = from;
  batch->first_offset = first;
  batch->next_offset = next;
  batch->end_offset = next;
  batch->records = g_array_new (FALSE, FALSE, sizeof (log_record_t));
  g_array_set_clear_func (batch->records, record_clear);
  return batch;
}

void
log_batch_free (log_batch_t *batch)
{
  if (batch == NULL)
    return;
  g_array_unref (batch->records);
  g_free (batch);
}

void
log_batch_add (log_batch_t *batch, int64_t offset, int64_t at_ms, GBytes *data)
{
  log_record_t record = { offset, at_ms, g_bytes_ref (data) };
  g_array_append_val (batch->records, record);
}

static int
record_parse (json_object *entry, int64_t min_offset, log_batch_t *batch)
{
  int64_t offset = 0;
  int64_t at_ms = 0;
  if (!json_object_is_type (entry, json_type_object)
      || !platform_json_int (entry, "offset", min_offset, INT64_MAX - 1, &offset)
      || !platform_json_int (entry, "at_ms", 0, INT64_MAX, &at_ms))
    return ERROR_PROTOCOL;
  const char *data = platform_json_string (entry, "data", INT_MAX);
  if (data == NULL)
    return ERROR_PROTOCOL;
  gsize size = 0;
  guchar *bytes = g_base64_decode (data, &size);
  GBytes *record = g_bytes_new_take (bytes, size);
  log_batch_add (batch, offset, at_ms, record);
  g_bytes_unref (record);
  return 0;
}

static int
records_parse (json_object *list, log_batch_t *batch)
{
  int64_t min_offset = MAX (batch->from_offset, batch->first_offset);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      int result = record_parse (json_object_array_get_idx (list, i), min_offset, batch);
      if (result < 0)
        return result;
      min_offset = g_array_index (batch->records, log_record_t, i).offset + 1;
    }
  if (min_offset > batch->end_offset && batch->records->len > 0)
    return ERROR_PROTOCOL;
  /* An answer may end before the end of the log, so the next read starts after its last record. */
  batch->next_offset =
      batch->records->len > 0 ? min_offset : MAX (batch->from_offset, batch->end_offset);
  return 0;
}

int
log_batch_parse (const char *json, size_t size, int64_t from, log_batch_t **batch)
{
  *batch = NULL;
  json_object *root = platform_json_parse (json, size);
  json_object *list = NULL;
  int64_t first = 0;
  int64_t end = 0;
  int result = ERROR_PROTOCOL;
  if (json_object_is_type (root, json_type_object)
      && platform_json_int (root, "first", 0, INT64_MAX - 1, &first)
      && platform_json_int (root, "next", first, INT64_MAX - 1, &end)
      && json_object_object_get_ex (root, "records", &list)
      && json_object_is_type (list, json_type_array))
    {
      *batch = log_batch_new (from, first, end);
      result = records_parse (list, *batch);
    }
  json_object_put (root);
  if (result == 0)
    return 0;
  log_batch_free (*batch);
  *batch = NULL;
  return result;
}
