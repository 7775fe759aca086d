/* crew_msg.c -- the messages by which hosts tell each other that they are there */
#include "crew/crew_msg.h"

#include "base/error.h"

#define CONFIG_BYTES_MAX (4u * 1024 * 1024)
#define POWER_MAX 1000000
#define NEXT_MAX_MS 60000
#define UP_MAX_MS (INT64_C (1) << 50)
#define ROSTER_MAX 1024

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
  frame_put_int (writer, beat->up_ms);
  frame_put_bool (writer, beat->reads);
  frame_put_int (writer, beat->next_ms);
  frame_put_uint (writer, beat->epoch);
  frame_put_count (writer, beat->claims->len);
  for (guint i = 0; i < beat->claims->len; i++)
    {
      const crew_claim_t *claim = &g_array_index (beat->claims, crew_claim_t, i);
      frame_put_string (writer, claim->shard);
      frame_put_int (writer, claim->token);
    }
  frame_put_uint (writer, beat->drain_end);
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
  beat->up_ms = frame_get_range (reader, 0, UP_MAX_MS);
  beat->reads = frame_get_bool (reader);
  beat->next_ms = frame_get_range (reader, 0, NEXT_MAX_MS);
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
  beat->drain_end = frame_get_uint (reader);
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

GBytes *
crew_msg_roster (const crew_host_t *hosts, size_t count)
{
  frame_writer_t *writer = frame_begin (CREW_MSG_ROSTER);

  frame_put_count (writer, MIN (count, ROSTER_MAX));
  for (size_t i = 0; i < MIN (count, ROSTER_MAX); i++)
    {
      frame_put_string (writer, hosts[i].host);
      frame_put_string (writer, hosts[i].address);
      frame_put_string (writer, hosts[i].data_centre);
      frame_put_int (writer, hosts[i].power);
    }
  return frame_finish (writer);
}

int
crew_msg_read_roster (frame_reader_t *reader, GArray *hosts)
{
  size_t count = frame_get_count (reader, ROSTER_MAX);
  bool named = true;

  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      crew_host_t host = { 0 };
      host.host = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      host.address = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      host.data_centre = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      host.power = (int32_t) frame_get_range (reader, 0, POWER_MAX);
      named = named && host.host != NULL && host.address != NULL && host.data_centre != NULL;
      g_array_append_val (hosts, host);
    }
  return frame_ok (reader) && named ? 0 : ERROR_PROTOCOL;
}

void
crew_host_clear (void *data)
{
  crew_host_t *host = data;

  g_free (host->host);
  g_free (host->address);
  g_free (host->data_centre);
}
