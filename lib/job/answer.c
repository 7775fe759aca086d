/* answer.c -- builds the answers that callers get */
#include "job/answer.h"

#include "base/error.h"

#include <json-c/json.h>

#define STATUS_OK 200

static GBytes *
json_to_bytes (json_object *object)
{
  size_t size = 0;
  const char *text = json_object_to_json_string_length (object, JSON_C_TO_STRING_PLAIN, &size);
  GBytes *bytes = g_bytes_new (text, size);

  json_object_put (object);
  return bytes;
}

static job_answer_t *
answer_new (int error, int status, GBytes *body)
{
  job_answer_t *answer = g_new0 (job_answer_t, 1);

  atomic_init (&answer->refs, 1);
  answer->error = error;
  answer->status = status;
  answer->body = body;
  return answer;
}

/* g_utf8_validate () rejects NUL, but JSON can encode it as \u0000.  So the parts
 * between NULs are checked separately. */
static bool
is_utf8 (const char *text, gsize size)
{
  const char *end = text + size;

  while (text < end)
    {
      const char *stop = NULL;
      if (!g_utf8_validate (text, end - text, &stop) && *stop != '\0')
        return false;
      text = stop + 1;
    }
  return true;
}

/* A JSON string must be valid UTF-8, so any other body is encoded in base64 and
 * added as "body_base64". */
static void
add_body (json_object *result, const GByteArray *body)
{
  const char *text = body != NULL && body->len > 0 ? (const char *) body->data : "";
  gsize size = body != NULL ? body->len : 0;

  if (is_utf8 (text, size))
    {
      json_object_object_add (result, "body", json_object_new_string_len (text, (int) size));
      return;
    }
  char *encoded = g_base64_encode ((const guchar *) text, size);
  json_object_object_add (result, "body_base64", json_object_new_string (encoded));
  g_free (encoded);
}

job_answer_t *
job_answer_complete (const job_result_t *results, uint32_t count)
{
  json_object *root = json_object_new_object ();
  json_object *list = json_object_new_array_ext ((int) count);

  for (uint32_t i = 0; i < count; i++)
    {
      json_object *result = json_object_new_object ();
      json_object_object_add (result, "task", json_object_new_string (results[i].task));
      json_object_object_add (result, "status", json_object_new_int (results[i].status));
      add_body (result, results[i].body);
      json_object_array_add (list, result);
    }
  json_object_object_add (root, "state", json_object_new_string ("complete"));
  json_object_object_add (root, "results", list);
  return answer_new (ERROR_NONE, STATUS_OK, json_to_bytes (root));
}

static bool
is_certainly_not_run (const error_row_t *row, bool confirmed)
{
  if (row->execution == EXECUTION_NOT_RUN)
    return true;
  return row->execution == EXECUTION_NOT_RUN_IF_CONFIRMED && confirmed;
}

job_answer_t *
job_answer_error (int error, bool confirmed, int64_t retry_at_ms, const char *message)
{
  const error_row_t *row = error_row (error);
  bool not_run = is_certainly_not_run (row, confirmed);
  json_object *root = json_object_new_object ();

  json_object_object_add (root, "state", json_object_new_string (row->state));
  json_object_object_add (root, "kind", json_object_new_string (row->name));
  json_object_object_add (root, "run",
                          json_object_new_string (not_run ? "not_run" : "may_have_run"));
  json_object_object_add (root, "retry_at_ms",
                          retry_at_ms > 0 ? json_object_new_int64 (retry_at_ms) : NULL);
  json_object_object_add (root, "message",
                          json_object_new_string (message != NULL ? message : row->message));
  job_answer_t *answer = answer_new (error, row->http_status, json_to_bytes (root));
  answer->not_run = not_run;
  answer->retry_at_ms = retry_at_ms;
  return answer;
}

job_answer_t *
job_answer_from_peer (int error, int status, bool not_run, int64_t retry_at_ms, GBytes *body)
{
  job_answer_t *answer = answer_new (error, status, body);

  answer->not_run = not_run;
  answer->retry_at_ms = retry_at_ms;
  return answer;
}

job_answer_t *
job_answer_state (const char *state, uint32_t tasks, uint32_t started, uint32_t done)
{
  json_object *root = json_object_new_object ();

  json_object_object_add (root, "state", json_object_new_string (state));
  json_object_object_add (root, "tasks", json_object_new_int64 (tasks));
  json_object_object_add (root, "started", json_object_new_int64 (started));
  json_object_object_add (root, "done", json_object_new_int64 (done));
  return answer_new (ERROR_NONE, STATUS_OK, json_to_bytes (root));
}

job_answer_t *
job_answer_ref (job_answer_t *answer)
{
  atomic_fetch_add (&answer->refs, 1);
  return answer;
}

void
job_answer_unref (job_answer_t *answer)
{
  if (answer == NULL || atomic_fetch_sub (&answer->refs, 1) > 1)
    return;
  g_bytes_unref (answer->body);
  g_free (answer);
}
