/* quota_msg.c -- encodes and decodes reports and grants */
#include "quota/quota_msg.h"

#include "base/error.h"

/* Upper bound on numbers of units and times in a message, so that sums over a
 * message cannot overflow. */
#define VALUE_MAX ((int64_t) 1 << 40)

static void
clear_report_entry (void *entry)
{
  g_free (((quota_report_entry_t *) entry)->name);
}

static void
clear_grant_entry (void *entry)
{
  g_free (((quota_grant_entry_t *) entry)->name);
}

quota_message_t *
quota_message_new (int type)
{
  quota_message_t *message = g_new0 (quota_message_t, 1);
  bool report = type == QUOTA_FRAME_REPORT;
  guint size = report ? sizeof (quota_report_entry_t) : sizeof (quota_grant_entry_t);

  message->type = type;
  message->header.entries = g_array_new (FALSE, TRUE, size);
  g_array_set_clear_func (message->header.entries, report ? clear_report_entry : clear_grant_entry);
  return message;
}

void
quota_message_free (quota_message_t *message)
{
  if (message == NULL)
    return;
  g_array_unref (message->header.entries);
  g_free (message);
}

static void
put_report_entry (frame_writer_t *writer, const quota_report_entry_t *entry)
{
  frame_put_string (writer, entry->name);
  frame_put_int (writer, entry->in_use);
  frame_put_int (writer, entry->last_end_in_ms);
  frame_put_int (writer, entry->demand);
  frame_put_int (writer, entry->held);
  frame_put_int (writer, entry->held_for_ms);
  frame_put_int (writer, entry->needed_use_ms);
  frame_put_int (writer, entry->announced_use_ms);
  frame_put_int (writer, entry->granted_outside);
  frame_put_bool (writer, entry->awaiting_grant);
  frame_put_bool (writer, entry->withdrawn);
}

static void
get_report_entry (frame_reader_t *reader, quota_report_entry_t *entry)
{
  entry->name = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  entry->in_use = frame_get_range (reader, 0, VALUE_MAX);
  entry->last_end_in_ms = frame_get_range (reader, 0, VALUE_MAX);
  entry->demand = frame_get_range (reader, 0, VALUE_MAX);
  entry->held = frame_get_range (reader, 0, VALUE_MAX);
  entry->held_for_ms = frame_get_range (reader, 0, VALUE_MAX);
  entry->needed_use_ms = frame_get_range (reader, 0, VALUE_MAX);
  entry->announced_use_ms = frame_get_range (reader, 0, VALUE_MAX);
  entry->granted_outside = frame_get_range (reader, 0, VALUE_MAX);
  entry->awaiting_grant = frame_get_bool (reader);
  entry->withdrawn = frame_get_bool (reader);
}

static void
put_grant_entry (frame_writer_t *writer, const quota_grant_entry_t *entry)
{
  frame_put_string (writer, entry->name);
  frame_put_int (writer, entry->units);
  frame_put_int (writer, entry->max_use_ms);
  frame_put_int (writer, entry->announced_use_ms);
  frame_put_bool (writer, entry->active);
}

static void
get_grant_entry (frame_reader_t *reader, quota_grant_entry_t *entry)
{
  entry->name = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  entry->units = frame_get_range (reader, 0, VALUE_MAX);
  entry->max_use_ms = frame_get_range (reader, 0, VALUE_MAX);
  entry->announced_use_ms = frame_get_range (reader, 0, VALUE_MAX);
  entry->active = frame_get_bool (reader);
}

GBytes *
quota_message_encode (const quota_message_t *message)
{
  const quota_header_t *header = &message->header;
  frame_writer_t *writer = frame_begin (message->type);

  frame_put_uint (writer, header->incarnation);
  frame_put_uint (writer, header->to_incarnation);
  frame_put_uint (writer, header->sequence);
  frame_put_uint (writer, header->acked_sequence);
  frame_put_int (writer, header->view_id);
  frame_put_bool (writer, header->no_departures);
  frame_put_bool (writer, header->saw_departure);
  frame_put_bool (writer, header->leaving);
  frame_put_count (writer, header->entries->len);
  for (guint i = 0; i < header->entries->len; i++)
    if (message->type == QUOTA_FRAME_REPORT)
      put_report_entry (writer, &g_array_index (header->entries, quota_report_entry_t, i));
    else
      put_grant_entry (writer, &g_array_index (header->entries, quota_grant_entry_t, i));
  return frame_finish (writer);
}

static void
get_entry (frame_reader_t *reader, quota_message_t *message)
{
  GArray *entries = message->header.entries;
  guint at = entries->len;

  g_array_set_size (entries, at + 1);
  if (message->type == QUOTA_FRAME_REPORT)
    get_report_entry (reader, &g_array_index (entries, quota_report_entry_t, at));
  else
    get_grant_entry (reader, &g_array_index (entries, quota_grant_entry_t, at));
}

/* Returns true if every entry has a name; the name is the first field of both
 * types. */
static bool
has_names (const quota_message_t *message)
{
  const GArray *entries = message->header.entries;

  for (guint i = 0; i < entries->len; i++)
    {
      const char *name = message->type == QUOTA_FRAME_REPORT
                             ? g_array_index (entries, quota_report_entry_t, i).name
                             : g_array_index (entries, quota_grant_entry_t, i).name;
      if (name == NULL)
        return false;
    }
  return true;
}

int
quota_message_decode (frame_reader_t *reader, quota_message_t **out)
{
  int type = frame_type (reader);

  if (type != QUOTA_FRAME_REPORT && type != QUOTA_FRAME_GRANT)
    return ERROR_PROTOCOL;
  quota_message_t *message = quota_message_new (type);
  quota_header_t *header = &message->header;
  header->incarnation = frame_get_uint (reader);
  header->to_incarnation = frame_get_uint (reader);
  header->sequence = frame_get_uint (reader);
  header->acked_sequence = frame_get_uint (reader);
  header->view_id = frame_get_range (reader, 0, INT64_MAX);
  header->no_departures = frame_get_bool (reader);
  header->saw_departure = frame_get_bool (reader);
  header->leaving = frame_get_bool (reader);
  size_t count = frame_get_count (reader, QUOTA_ENTRIES_MAX);
  for (size_t i = 0; i < count && frame_ok (reader); i++)
    get_entry (reader, message);
  if (!frame_ok (reader) || !has_names (message))
    {
      quota_message_free (message);
      return ERROR_PROTOCOL;
    }
  *out = message;
  return 0;
}
