/* crew_msg.c -- the messages by which hosts tell each other that they are there */
#include "crew/crew_msg.h"

#include "base/error.h"

#define CONFIG_BYTES_MAX (4u * 1024 * 1024)
#define POWER_MAX 1000000

GBytes *
crew_msg_beat (const crew_beat_t *beat)
{
  frame_writer_t *writer = frame_begin (CREW_MSG_BEAT);

  frame_put_string (writer, beat->host);
  frame_put_string (writer, beat->data_centre);
  frame_put_uint (writer, beat->incarnation);
  frame_put_bool (writer, beat->ready);
  frame_put_bool (writer, beat->leaving);
  frame_put_int (writer, beat->power);
  frame_put_int (writer, beat->config_version);
  frame_put_uint (writer, beat->epoch);
  frame_put_count (writer, beat->claims->len);
  for (guint i = 0; i < beat->claims->len; i++)
    {
      const crew_claim_t *claim = &g_array_index (beat->claims, crew_claim_t, i);
      frame_put_string (writer, claim->shard);
      frame_put_int (writer, claim->token);
    }
  return frame_finish (writer);
}

int
crew_msg_read_beat (frame_reader_t *reader, crew_beat_t *beat)
{
  bool named = true;

  *beat = (crew_beat_t){ 0 };
  beat->host = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  beat->data_centre = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  beat->incarnation = frame_get_uint (reader);
  beat->ready = frame_get_bool (reader);
  beat->leaving = frame_get_bool (reader);
  beat->power = (int32_t) frame_get_range (reader, 0, POWER_MAX);
  beat->config_version = frame_get_int (reader);
  beat->epoch = frame_get_uint (reader);
  beat->claims = g_array_new (FALSE, FALSE, sizeof (crew_claim_t));
  size_t count = frame_get_count (reader, CREW_CLAIMS_MAX);
  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      crew_claim_t claim = { 0 };
      claim.shard = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      claim.token = frame_get_range (reader, 0, INT64_MAX);
      named = named && claim.shard != NULL;
      g_array_append_val (beat->claims, claim);
    }
  if (frame_ok (reader) && named && beat->host != NULL && beat->data_centre != NULL)
    return 0;
  crew_beat_clear (beat);
  return ERROR_PROTOCOL;
}

GBytes *
crew_msg_config_pull (void)
{
  return frame_finish (frame_begin (CREW_MSG_CONFIG_PULL));
}

GBytes *
crew_msg_config (const void *data, size_t size)
{
  frame_writer_t *writer = frame_begin (CREW_MSG_CONFIG);

  frame_put_bytes (writer, data, size);
  return frame_finish (writer);
}

int
crew_msg_read_config (frame_reader_t *reader, const void **data, size_t *size)
{
  *data = frame_get_bytes (reader, CONFIG_BYTES_MAX, size);
  return frame_ok (reader) && *data != NULL ? 0 : ERROR_PROTOCOL;
}
