/* view_msg.c -- codec of the messages of the membership protocol */
#include "view/view_msg.h"

typedef struct
{
  void (*put) (frame_writer_t *writer, const view_msg_t *msg);
  bool (*get) (frame_reader_t *reader, view_msg_t *msg);
  void (*clear) (view_msg_t *msg);
} codec_t;

static char *
get_name (frame_reader_t *reader)
{
  return frame_get_string (reader, FRAME_NAME_MAX_BYTES);
}

static void
heartbeat_put (frame_writer_t *writer, const view_msg_t *msg)
{
  const view_heartbeat_t *heartbeat = &msg->u.heartbeat;

  frame_put_uint (writer, heartbeat->incarnation);
  frame_put_int (writer, heartbeat->sent_ms);
  frame_put_int (writer, heartbeat->echo_ms);
  frame_put_int (writer, heartbeat->view_number);
  frame_put_bool (writer, heartbeat->leaving);
  frame_put_uint (writer, heartbeat->directory_digest);
}

static bool
heartbeat_get (frame_reader_t *reader, view_msg_t *msg)
{
  view_heartbeat_t *heartbeat = &msg->u.heartbeat;

  heartbeat->incarnation = frame_get_uint (reader);
  heartbeat->sent_ms = frame_get_int (reader);
  heartbeat->echo_ms = frame_get_int (reader);
  heartbeat->view_number = frame_get_int (reader);
  heartbeat->leaving = frame_get_bool (reader);
  heartbeat->directory_digest = frame_get_uint (reader);
  return true;
}

static void
heartbeat_clear (view_msg_t *msg)
{
  (void) msg;
}

static void
summary_put (frame_writer_t *writer, const view_msg_t *msg)
{
  const view_summary_t *summary = &msg->u.summary;

  frame_put_bool (writer, summary->is_reply);
  frame_put_count (writer, (size_t) summary->count);
  for (int32_t i = 0; i < summary->count; i++)
    {
      frame_put_string (writer, summary->rows[i].data_centre);
      frame_put_int (writer, summary->rows[i].number);
      frame_put_uint (writer, summary->rows[i].version);
    }
}

static bool
summary_get (frame_reader_t *reader, view_msg_t *msg)
{
  view_summary_t *summary = &msg->u.summary;

  summary->is_reply = frame_get_bool (reader);
  int32_t count = (int32_t) frame_get_count (reader, VIEW_MSG_STATES_MAX);
  summary->rows = g_new0 (view_summary_row_t, (gsize) count);
  for (int32_t i = 0; i < count && frame_ok (reader); i++)
    {
      view_summary_row_t *row = &summary->rows[summary->count++];
      row->data_centre = get_name (reader);
      row->number = frame_get_int (reader);
      row->version = frame_get_uint (reader);
      if (row->data_centre == NULL)
        return false;
    }
  return true;
}

static void
summary_clear (view_msg_t *msg)
{
  for (int32_t i = 0; i < msg->u.summary.count; i++)
    g_free (msg->u.summary.rows[i].data_centre);
  g_free (msg->u.summary.rows);
}

static void
states_put (frame_writer_t *writer, const view_msg_t *msg)
{
  const GPtrArray *views = msg->u.states.views;

  frame_put_count (writer, views->len);
  for (guint i = 0; i < views->len; i++)
    view_put (writer, g_ptr_array_index (views, i));
}

static bool
states_get (frame_reader_t *reader, view_msg_t *msg)
{
  size_t count = frame_get_count (reader, VIEW_MSG_STATES_MAX);

  for (size_t i = 0; i < count; i++)
    {
      view_t *view = view_get (reader);
      if (view == NULL)
        return false;
      g_ptr_array_add (msg->u.states.views, view);
    }
  return true;
}

static void
states_clear (view_msg_t *msg)
{
  g_ptr_array_unref (msg->u.states.views);
}

static void
suspicion_query_put (frame_writer_t *writer, const view_msg_t *msg)
{
  frame_put_string (writer, msg->u.suspicion_query.host);
  frame_put_uint (writer, msg->u.suspicion_query.incarnation);
}

static bool
suspicion_query_get (frame_reader_t *reader, view_msg_t *msg)
{
  msg->u.suspicion_query.host = get_name (reader);
  msg->u.suspicion_query.incarnation = frame_get_uint (reader);
  return msg->u.suspicion_query.host != NULL;
}

static void
suspicion_query_clear (view_msg_t *msg)
{
  g_free (msg->u.suspicion_query.host);
}

static void
suspicion_reply_put (frame_writer_t *writer, const view_msg_t *msg)
{
  frame_put_string (writer, msg->u.suspicion_reply.host);
  frame_put_uint (writer, msg->u.suspicion_reply.incarnation);
  frame_put_uint (writer, msg->u.suspicion_reply.known_incarnation);
  frame_put_int (writer, msg->u.suspicion_reply.silence_ms);
}

static bool
suspicion_reply_get (frame_reader_t *reader, view_msg_t *msg)
{
  msg->u.suspicion_reply.host = get_name (reader);
  msg->u.suspicion_reply.incarnation = frame_get_uint (reader);
  msg->u.suspicion_reply.known_incarnation = frame_get_uint (reader);
  msg->u.suspicion_reply.silence_ms = frame_get_int (reader);
  return msg->u.suspicion_reply.host != NULL;
}

static void
suspicion_reply_clear (view_msg_t *msg)
{
  g_free (msg->u.suspicion_reply.host);
}

static const codec_t codecs[] = {
  [VIEW_MSG_HEARTBEAT] = { heartbeat_put, heartbeat_get, heartbeat_clear },
  [VIEW_MSG_SUMMARY] = { summary_put, summary_get, summary_clear },
  [VIEW_MSG_STATES] = { states_put, states_get, states_clear },
  [VIEW_MSG_SUSPICION_QUERY] = { suspicion_query_put, suspicion_query_get, suspicion_query_clear },
  [VIEW_MSG_SUSPICION_REPLY] = { suspicion_reply_put, suspicion_reply_get, suspicion_reply_clear },
};

view_msg_t *
view_msg_new (view_msg_type_t type)
{
  view_msg_t *msg = g_new0 (view_msg_t, 1);

  msg->type = type;
  if (type == VIEW_MSG_STATES)
    msg->u.states.views = g_ptr_array_new_with_free_func ((GDestroyNotify) view_unref);
  return msg;
}

void
view_msg_free (view_msg_t *msg)
{
  if (msg == NULL)
    return;
  codecs[msg->type].clear (msg);
  g_free (msg);
}

GBytes *
view_msg_encode (const view_msg_t *msg)
{
  frame_writer_t *writer = frame_begin (msg->type);

  codecs[msg->type].put (writer, msg);
  return frame_finish (writer);
}

view_msg_t *
view_msg_decode (frame_reader_t *reader)
{
  int type = frame_type (reader);

  if (type < VIEW_MSG_HEARTBEAT || type > VIEW_MSG_SUSPICION_REPLY)
    return NULL;
  view_msg_t *msg = view_msg_new ((view_msg_type_t) type);
  if (codecs[type].get (reader, msg) && frame_ok (reader))
    return msg;
  view_msg_free (msg);
  return NULL;
}
