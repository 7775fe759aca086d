/* drain_msg.c -- the codec of the messages that exchange the set of drained data centres */
#include "drain/drain_msg.h"

#include "base/error.h"

#define AGE_MAX_MS (INT64_C (1) << 50)

GBytes *
drain_msg_set_request (void)
{
  return frame_finish (frame_begin (DRAIN_MSG_SET_REQUEST));
}

GBytes *
drain_msg_set (const drains_t *drains, int64_t now_ms)
{
  frame_writer_t *writer = frame_begin (DRAIN_MSG_SET);
  GArray *list = drains_list (drains, true);

  frame_put_uint (writer, drains_end_offset (drains));
  frame_put_count (writer, list->len);
  for (guint i = 0; i < list->len; i++)
    {
      const drain_t *drain = &g_array_index (list, drain_t, i);
      frame_put_string (writer, drain->data_centre);
      frame_put_bool (writer, drain->drained);
      frame_put_uint (writer, drain->record_offset);
      frame_put_int (writer, MAX (now_ms - drain->first_seen_at_ms, 0));
    }
  g_array_unref (list);
  return frame_finish (writer);
}

int
drain_msg_read_set (frame_reader_t *reader, int64_t now_ms, GArray *listed, uint64_t *end)
{
  bool names_present = true;

  *end = frame_get_uint (reader);
  size_t count = frame_get_count (reader, DRAIN_ENTRIES_MAX);
  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      drain_t drain = { 0 };
      drain.data_centre = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      drain.drained = frame_get_bool (reader);
      drain.record_offset = frame_get_uint (reader);
      drain.first_seen_at_ms = now_ms - frame_get_range (reader, 0, AGE_MAX_MS);
      names_present = names_present && drain.data_centre != NULL;
      g_array_append_val (listed, drain);
    }
  return frame_ok (reader) && names_present ? 0 : ERROR_PROTOCOL;
}

GBytes *
drain_msg_running_tasks (const char *data_centre, int32_t running_tasks)
{
  frame_writer_t *writer = frame_begin (DRAIN_MSG_RUNNING_TASKS);

  frame_put_string (writer, data_centre);
  frame_put_int (writer, running_tasks);
  return frame_finish (writer);
}

int
drain_msg_read_running_tasks (frame_reader_t *reader, char **data_centre, int32_t *running_tasks)
{
  *data_centre = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  *running_tasks = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  if (frame_ok (reader) && *data_centre != NULL)
    return 0;
  g_clear_pointer (data_centre, g_free);
  return ERROR_PROTOCOL;
}
