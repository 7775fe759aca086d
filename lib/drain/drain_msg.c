/* drain_msg.c -- the messages by which hosts tell each other what is drained */
#include "drain/drain_msg.h"

#include "base/error.h"

#define AGE_MAX_MS (INT64_C (1) << 50)

GBytes *
drain_msg_pull (void)
{
  return frame_finish (frame_begin (DRAIN_MSG_PULL));
}

GBytes *
drain_msg_set (const drains_t *drains, int64_t now_ms)
{
  frame_writer_t *writer = frame_begin (DRAIN_MSG_SET);
  GArray *list = drains_list (drains, true);

  frame_put_uint (writer, drains_end (drains));
  frame_put_count (writer, list->len);
  for (guint i = 0; i < list->len; i++)
    {
      const drain_t *drain = &g_array_index (list, drain_t, i);
      frame_put_string (writer, drain->name);
      frame_put_bool (writer, drain->drained);
      frame_put_uint (writer, drain->offset);
      frame_put_int (writer, MAX (now_ms - drain->since_ms, 0));
    }
  g_array_unref (list);
  return frame_finish (writer);
}

int
drain_msg_read_set (frame_reader_t *reader, int64_t now_ms, GArray *listed, uint64_t *end)
{
  bool named = true;

  *end = frame_get_uint (reader);
  size_t count = frame_get_count (reader, DRAIN_NAMES_MAX);
  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      drain_t drain = { 0 };
      drain.name = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      drain.drained = frame_get_bool (reader);
      drain.offset = frame_get_uint (reader);
      drain.since_ms = now_ms - frame_get_range (reader, 0, AGE_MAX_MS);
      named = named && drain.name != NULL;
      g_array_append_val (listed, drain);
    }
  return frame_ok (reader) && named ? 0 : ERROR_PROTOCOL;
}

GBytes *
drain_msg_runs (const char *name, int32_t runs)
{
  frame_writer_t *writer = frame_begin (DRAIN_MSG_RUNS);

  frame_put_string (writer, name);
  frame_put_int (writer, runs);
  return frame_finish (writer);
}

int
drain_msg_read_runs (frame_reader_t *reader, char **name, int32_t *runs)
{
  *name = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  *runs = (int32_t) frame_get_range (reader, 0, INT32_MAX);
  if (frame_ok (reader) && *name != NULL)
    return 0;
  g_clear_pointer (name, g_free);
  return ERROR_PROTOCOL;
}
