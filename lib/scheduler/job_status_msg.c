/* job_status_msg.c -- messages between coordinators about jobs that were sent to more than one */
#include "scheduler/job_status_msg.h"

#include "base/error.h"

/* No caller waits for longer. */
#define TIME_MAX_MS 3600000

static void
put_time_left (frame_writer_t *writer, int64_t until_ms, int64_t now_ms)
{
  frame_put_int (writer, CLAMP (until_ms - now_ms, 0, TIME_MAX_MS));
}

static int64_t
get_time_left (frame_reader_t *reader, int64_t now_ms)
{
  return now_ms + frame_get_range (reader, 0, TIME_MAX_MS);
}

GBytes *
job_msg_statuses (const char *host,
                  bool relay,
                  const job_status_t *statuses,
                  size_t count,
                  int64_t now_ms)
{
  frame_writer_t *writer = frame_begin (JOB_MSG_STATUSES);

  frame_put_string (writer, host);
  frame_put_bool (writer, relay);
  frame_put_count (writer, count);
  for (size_t i = 0; i < count; i++)
    {
      frame_put_string (writer, statuses[i].id);
      frame_put_uint (writer, statuses[i].kind);
      put_time_left (writer, statuses[i].until_ms, now_ms);
    }
  return frame_finish (writer);
}

int
job_msg_read_statuses (frame_reader_t *reader,
                       int64_t now_ms,
                       char **host,
                       bool *relay,
                       GArray *statuses)
{
  *host = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  *relay = frame_get_bool (reader);
  size_t count = frame_get_count (reader, JOB_STATUSES_MAX);
  bool complete = *host != NULL;

  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      job_status_t status = { 0 };
      status.id = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      status.kind = (job_status_kind_t) frame_get_range (reader, 0, JOB_STATUS_LAST);
      status.until_ms = get_time_left (reader, now_ms);
      complete &= status.id != NULL;
      g_array_append_val (statuses, status);
    }
  return frame_ok (reader) && complete ? 0 : ERROR_PROTOCOL;
}

GBytes *
job_msg_relayed (const GPtrArray *messages)
{
  frame_writer_t *writer = frame_begin (JOB_MSG_RELAYED);
  guint count = MIN (messages->len, JOB_RELAYED_MAX);

  frame_put_count (writer, count);
  for (guint i = 0; i < count; i++)
    {
      gsize size = 0;
      const char *data = g_bytes_get_data (messages->pdata[i], &size);
      frame_put_bytes (writer, data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES);
    }
  return frame_finish (writer);
}

int
job_msg_read_relayed (frame_reader_t *reader,
                      void (*read) (frame_reader_t *message, void *data),
                      void *data)
{
  size_t count = frame_get_count (reader, JOB_RELAYED_MAX);

  for (size_t i = 0; i < count; i++)
    {
      size_t size = 0;
      frame_reader_t *message = NULL;
      const void *bytes = frame_get_bytes (reader, FRAME_MAX_BYTES, &size);
      if (!frame_ok (reader) || frame_parse (bytes, size, &message) != 0)
        return ERROR_PROTOCOL;
      if (frame_type (message) == JOB_MSG_STATUSES)
        read (message, data);
      frame_reader_free (message);
    }
  return frame_ok (reader) ? 0 : ERROR_PROTOCOL;
}

GBytes *
job_msg_all_told (void)
{
  return frame_finish (frame_begin (JOB_MSG_ALL_TOLD));
}

GBytes *
job_msg_tell_all (void)
{
  return frame_finish (frame_begin (JOB_MSG_TELL_ALL));
}

GBytes *
job_msg_registrar (void)
{
  return frame_finish (frame_begin (JOB_MSG_REGISTRAR));
}

GBytes *
job_msg_query (const char *id)
{
  frame_writer_t *writer = frame_begin (JOB_MSG_QUERY);

  frame_put_string (writer, id);
  return frame_finish (writer);
}

int
job_msg_read_query (frame_reader_t *reader, char **id)
{
  *id = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  return frame_ok (reader) && *id != NULL ? 0 : ERROR_PROTOCOL;
}

GBytes *
job_msg_told (job_status_msg_t type, int64_t clock_ms)
{
  frame_writer_t *writer = frame_begin ((int) type);

  frame_put_int (writer, clock_ms);
  return frame_finish (writer);
}

int
job_msg_read_told (frame_reader_t *reader, int64_t *clock_ms)
{
  *clock_ms = frame_get_range (reader, 0, INT64_MAX);
  return frame_ok (reader) ? 0 : ERROR_PROTOCOL;
}

GBytes *
job_msg_register (const job_status_t *status, int64_t now_ms)
{
  frame_writer_t *writer = frame_begin (JOB_MSG_REGISTER);

  frame_put_string (writer, status->id);
  frame_put_uint (writer, status->kind);
  put_time_left (writer, status->until_ms, now_ms);
  return frame_finish (writer);
}

int
job_msg_read_register (frame_reader_t *reader, int64_t now_ms, job_status_t *status)
{
  status->id = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  status->kind = (job_status_kind_t) frame_get_range (reader, 0, JOB_STATUS_WAITING);
  status->until_ms = get_time_left (reader, now_ms);
  return frame_ok (reader) && status->id != NULL ? 0 : ERROR_PROTOCOL;
}

GBytes *
job_msg_registered (const char *id, bool confirmed, const GArray *claims, int64_t now_ms)
{
  frame_writer_t *writer = frame_begin (JOB_MSG_REGISTERED);
  guint count = MIN (claims->len, JOB_CLAIMS_MAX);

  frame_put_string (writer, id);
  frame_put_bool (writer, confirmed);
  frame_put_count (writer, count);
  for (guint i = 0; i < count; i++)
    {
      const job_claim_t *claim = &g_array_index (claims, job_claim_t, i);
      frame_put_string (writer, claim->host);
      frame_put_uint (writer, claim->kind);
      put_time_left (writer, claim->until_ms, now_ms);
      frame_put_bool (writer, claim->unheard);
    }
  return frame_finish (writer);
}

int
job_msg_read_registered (frame_reader_t *reader,
                         int64_t now_ms,
                         char **id,
                         bool *confirmed,
                         GArray *claims)
{
  *id = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  *confirmed = frame_get_bool (reader);
  size_t count = frame_get_count (reader, JOB_CLAIMS_MAX);
  bool complete = *id != NULL;

  for (size_t i = 0; i < count && frame_ok (reader); i++)
    {
      job_claim_t claim = { 0 };
      char *host = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
      claim.kind = (job_status_kind_t) frame_get_range (reader, 0, JOB_STATUS_LAST);
      claim.until_ms = get_time_left (reader, now_ms);
      claim.unheard = frame_get_bool (reader);
      complete &= host != NULL;
      if (host != NULL)
        claim.host = g_intern_string (host);
      g_free (host);
      if (claim.host != NULL)
        g_array_append_val (claims, claim);
    }
  return frame_ok (reader) && complete ? 0 : ERROR_PROTOCOL;
}

GBytes *
job_msg_runs (job_status_msg_t type, const job_runs_t *runs)
{
  frame_writer_t *writer = frame_begin ((int) type);

  frame_put_string (writer, runs->id);
  frame_put_string (writer, runs->holder);
  frame_put_string (writer, runs->shard);
  frame_put_int (writer, runs->token);
  frame_put_int (writer, runs->asked_at_ms);
  return frame_finish (writer);
}

int
job_msg_read_runs (frame_reader_t *reader, job_runs_t *runs)
{
  runs->id = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  runs->holder = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  runs->shard = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  runs->token = frame_get_range (reader, 0, INT64_MAX);
  runs->asked_at_ms = frame_get_range (reader, 0, INT64_MAX);
  bool complete = runs->id != NULL && runs->holder != NULL && runs->shard != NULL;
  return frame_ok (reader) && complete ? 0 : ERROR_PROTOCOL;
}

void
job_runs_clear (job_runs_t *runs)
{
  g_free (runs->id);
  g_free (runs->holder);
  g_free (runs->shard);
}
