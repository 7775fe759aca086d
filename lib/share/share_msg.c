/* share_msg.c -- encodes and decodes reports and grants */
#include "share/share_msg.h"

#include "base/error.h"

/* Bounds every number of units and every time in a message, so that sums over
 * a message cannot overflow. */
#define VALUE_MAX ((int64_t) 1 << 40)

static void
clear_report_entry (void *entry)
{
  g_free (((share_report_entry_t *) entry)->name);
}

static void
clear_grant_entry (void *entry)
{
  g_free (((share_grant_entry_t *) entry)->name);
}

share_message_t *
share_message_new (int type)
{
  share_message_t *message = g_new0 (share_message_t, 1);
  bool report = type == SHARE_FRAME_REPORT;
  guint size = report ? sizeof (share_report_entry_t) : sizeof (share_grant_entry_t);

  message->type = type;
  message->header.entries = g_array_new (FALSE, TRUE, size);
  g_array_set_clear_func (message->header.entries, report ? clear_report_entry : clear_grant_entry);
  return message;
}

void
share_message_free (share_message_t *message)
{
  if (message == NULL)
    return;
  g_array_unref (message->header.entries);
  g_free (message);
}

static void
put_report_entry (frame_writer_t *writer, const share_report_entry_t *entry)
{
  frame_put_string (writer, entry->name);
  frame_put_int (writer, entry->in_use);
  frame_put_int (writer, entry->ends_in_ms);
  frame_put_int (writer, entry->wanted);
  frame_put_int (writer, entry->held);
  frame_put_int (writer, entry->held_ms);
  frame_put_int (writer, entry->use_ms);
  frame_put_int (writer, entry->told_ms);
  frame_put_int (writer, entry->lent);
  frame_put_bool (writer, entry->fresh);
  frame_put_bool (writer, entry->gone);
}

static void
get_report_entry (frame_reader_t *reader, share_report_entry_t *entry)
{
  entry->name = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  entry->in_use = frame_get_range (reader, 0, VALUE_MAX);
  entry->ends_in_ms = frame_get_range (reader, 0, VALUE_MAX);
  entry->wanted = frame_get_range (reader, 0, VALUE_MAX);
  entry->held = frame_get_range (reader, 0, VALUE_MAX);
  entry->held_ms = frame_get_range (reader, 0, VALUE_MAX);
  entry->use_ms = frame_get_range (reader, 0, VALUE_MAX);
  entry->told_ms = frame_get_range (reader, 0, VALUE_MAX);
  entry->lent = frame_get_range (reader, 0, VALUE_MAX);
  entry->fresh = frame_get_bool (reader);
  entry->gone = frame_get_bool (reader);
}

static void
put_grant_entry (frame_writer_t *writer, const share_grant_entry_t *entry)
{
  frame_put_string (writer, entry->name);
  frame_put_int (writer, entry->units);
  frame_put_int (writer, entry->use_ms);
  frame_put_int (writer, entry->told_ms);
  frame_put_bool (writer, entry->active);
}

static void
get_grant_entry (frame_reader_t *reader, share_grant_entry_t *entry)
{
  entry->name = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  entry->units = frame_get_range (reader, 0, VALUE_MAX);
  entry->use_ms = frame_get_range (reader, 0, VALUE_MAX);
  entry->told_ms = frame_get_range (reader, 0, VALUE_MAX);
  entry->active = frame_get_bool (reader);
}

GBytes *
share_message_encode (const share_message_t *message)
{
  const share_header_t *header = &message->header;
  frame_writer_t *writer = frame_begin (message->type);

  frame_put_uint (writer, header->incarnation);
  frame_put_uint (writer, header->to_incarnation);
  frame_put_uint (writer, header->number);
  frame_put_uint (writer, header->confirmed);
  frame_put_int (writer, header->view);
  frame_put_bool (writer, header->steady);
  frame_put_bool (writer, header->departed);
  frame_put_bool (writer, header->leaving);
  frame_put_count (writer, header->entries->len);
  for (guint i = 0; i < header->entries->len; i++)
    if (message->type == SHARE_FRAME_REPORT)
      put_report_entry (writer, &g_array_index (header->entries, share_report_entry_t, i));
    else
      put_grant_entry (writer, &g_array_index (header->entries, share_grant_entry_t, i));
  return frame_finish (writer);
}

static void
get_entry (frame_reader_t *reader, share_message_t *message)
{
  GArray *entries = message->header.entries;
  guint at = entries->len;

  g_array_set_size (entries, at + 1);
  if (message->type == SHARE_FRAME_REPORT)
    get_report_entry (reader, &g_array_index (entries, share_report_entry_t, at));
  else
    get_grant_entry (reader, &g_array_index (entries, share_grant_entry_t, at));
}

/* Every entry begins with its name, in both types. */
static bool
has_names (const share_message_t *message)
{
  const GArray *entries = message->header.entries;

  for (guint i = 0; i < entries->len; i++)
    {
      const char *name = message->type == SHARE_FRAME_REPORT
                             ? g_array_index (entries, share_report_entry_t, i).name
                             : g_array_index (entries, share_grant_entry_t, i).name;
      if (name == NULL)
        return false;
    }
  return true;
}

int
share_message_decode (frame_reader_t *reader, share_message_t **out)
{
  int type = frame_type (reader);

  if (type != SHARE_FRAME_REPORT && type != SHARE_FRAME_GRANT)
    return ERROR_PROTOCOL;
  share_message_t *message = share_message_new (type);
  share_header_t *header = &message->header;
  header->incarnation = frame_get_uint (reader);
  header->to_incarnation = frame_get_uint (reader);
  header->number = frame_get_uint (reader);
  header->confirmed = frame_get_uint (reader);
  header->view = frame_get_range (reader, 0, INT64_MAX);
  header->steady = frame_get_bool (reader);
  header->departed = frame_get_bool (reader);
  header->leaving = frame_get_bool (reader);
  size_t count = frame_get_count (reader, SHARE_ENTRIES_MAX);
  for (size_t i = 0; i < count && frame_ok (reader); i++)
    get_entry (reader, message);
  if (!frame_ok (reader) || !has_names (message))
    {
      share_message_free (message);
      return ERROR_PROTOCOL;
    }
  *out = message;
  return 0;
}
