/* request.c -- reads and checks a caller's submission
 *
 * Fields are described by one table of name, reader and whether they are
 * required.  Unknown fields are ignored, so that callers may be newer than
 * this host; every safety-relevant field has the safe default.
 */
#include "job/request.h"

#include "base/error.h"

#include <json-c/json.h>
#include <stddef.h>
#include <string.h>

/* The outermost object, tasks, a task: deeper input is refused unread. */
#define JSON_DEPTH_MAX 8
#define CORES_MAX 100000
#define MEMORY_MAX_MB INT64_C (1000000000)
/* Times are milliseconds of this epoch, up to the year 3000 or so. */
#define TIME_MAX_MS INT64_C (32503680000000)

typedef struct
{
  job_request_t *request;
  char *message;
  int result;
} reader_t;

static int
fault (reader_t *reader, const char *field, const char *rule)
{
  if (reader->message == NULL)
    reader->message = g_strdup_printf ("%s %s.", field, rule);
  reader->result = ERROR_BAD_REQUEST;
  return ERROR_BAD_REQUEST;
}

static bool
is_visible (const char *text, size_t size, size_t max_bytes)
{
  if (size == 0 || size > max_bytes)
    return false;
  for (size_t i = 0; i < size; i++)
    if (!g_ascii_isgraph (text[i]))
      return false;
  return true;
}

bool
job_key_valid (const char *key)
{
  return key != NULL && is_visible (key, strnlen (key, JOB_KEY_MAX_BYTES + 1), JOB_KEY_MAX_BYTES);
}

/* A kind becomes a part of a path. */
static bool
is_path_segment (const char *text)
{
  for (; *text != '\0'; text++)
    if (!g_ascii_isalnum (*text) && strchr ("-_.", *text) == NULL)
      return false;
  return true;
}

static int
read_name (reader_t *reader, const char *field, json_object *value, char **out)
{
  if (!json_object_is_type (value, json_type_string))
    return fault (reader, field, "must be a string");
  const char *text = json_object_get_string (value);
  size_t size = (size_t) json_object_get_string_len (value);
  if (!is_visible (text, size, JOB_NAME_MAX_BYTES))
    return fault (reader, field, "must be 1 to 128 visible ASCII characters");
  *out = g_strndup (text, size);
  return 0;
}

static int
read_int (reader_t *reader, const char *field, json_object *value, int64_t max, int64_t *out)
{
  if (!json_object_is_type (value, json_type_int))
    return fault (reader, field, "must be a whole number");
  int64_t number = json_object_get_int64 (value);
  if (number < 0 || number > max)
    return fault (reader, field, "is out of range");
  *out = number;
  return 0;
}

static int
read_customer (reader_t *reader, json_object *value)
{
  return read_name (reader, "customer", value, &reader->request->customer);
}

static int
read_kind (reader_t *reader, json_object *value)
{
  int result = read_name (reader, "kind", value, &reader->request->kind);

  if (result == 0 && !is_path_segment (reader->request->kind))
    return fault (reader, "kind", "must consist of letters, digits, '-', '_' and '.'");
  return result;
}

static int
read_home (reader_t *reader, json_object *value)
{
  if (json_object_is_type (value, json_type_null))
    return 0;
  return read_name (reader, "home", value, &reader->request->home);
}

static int
read_issued (reader_t *reader, json_object *value)
{
  return read_int (reader, "issued_at_ms", value, TIME_MAX_MS, &reader->request->issued_at_ms);
}

static int
read_deadline (reader_t *reader, json_object *value)
{
  return read_int (reader, "deadline_at_ms", value, TIME_MAX_MS, &reader->request->deadline_at_ms);
}

static int
read_repeatable (reader_t *reader, json_object *value)
{
  if (!json_object_is_type (value, json_type_boolean))
    return fault (reader, "repeatable", "must be true or false");
  reader->request->repeatable = json_object_get_boolean (value);
  return 0;
}

static int
read_task_body (reader_t *reader, json_object *value, job_task_t *task)
{
  if (!json_object_is_type (value, json_type_string))
    return fault (reader, "tasks[].body", "must be a string");
  task->body =
      g_bytes_new (json_object_get_string (value), (gsize) json_object_get_string_len (value));
  return 0;
}

static int
read_task (reader_t *reader, json_object *object, job_task_t *task)
{
  json_object *value = NULL;
  int64_t number = 0;

  if (!json_object_is_type (object, json_type_object))
    return fault (reader, "tasks", "must be a list of objects");
  if (!json_object_object_get_ex (object, "id", &value))
    return fault (reader, "tasks[].id", "is required");
  if (read_name (reader, "tasks[].id", value, &task->id) != 0)
    return reader->result;
  if (!json_object_object_get_ex (object, "body", &value))
    task->body = g_bytes_new (NULL, 0);
  else if (read_task_body (reader, value, task) != 0)
    return reader->result;
  if (json_object_object_get_ex (object, "cores", &value))
    {
      if (read_int (reader, "tasks[].cores", value, CORES_MAX, &number) != 0)
        return reader->result;
      task->cores = (int32_t) number;
    }
  if (json_object_object_get_ex (object, "memory_mb", &value))
    return read_int (reader, "tasks[].memory_mb", value, MEMORY_MAX_MB, &task->memory_mb);
  return 0;
}

static int
check_unique (reader_t *reader)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  bool unique = true;

  for (uint32_t i = 0; i < reader->request->task_count; i++)
    unique = g_hash_table_add (seen, reader->request->tasks[i].id) && unique;
  g_hash_table_unref (seen);
  return unique ? 0 : fault (reader, "tasks[].id", "must be unique in the job");
}

static int
read_tasks (reader_t *reader, json_object *value)
{
  if (!json_object_is_type (value, json_type_array))
    return fault (reader, "tasks", "must be a list of objects");
  size_t count = json_object_array_length (value);
  if (count == 0)
    return fault (reader, "tasks", "must have at least one task");
  if (count > JOB_TASKS_MAX)
    {
      fault (reader, "tasks", "may have at most 510 tasks");
      reader->result = ERROR_TOO_LARGE;
      return reader->result;
    }
  reader->request->tasks = g_new0 (job_task_t, count);
  reader->request->task_count = (uint32_t) count;
  for (size_t i = 0; i < count; i++)
    if (read_task (reader, json_object_array_get_idx (value, i), &reader->request->tasks[i]) != 0)
      return reader->result;
  return check_unique (reader);
}

static const struct
{
  const char *name;
  bool required;
  int (*read) (reader_t *reader, json_object *value);
} fields[] = {
  { "customer", true, read_customer },
  { "kind", true, read_kind },
  { "issued_at_ms", true, read_issued },
  { "deadline_at_ms", true, read_deadline },
  { "repeatable", false, read_repeatable },
  { "home", false, read_home },
  { "tasks", true, read_tasks },
};

static void
read_fields (reader_t *reader, json_object *root)
{
  json_object *value = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (fields) && reader->result == 0; i++)
    if (json_object_object_get_ex (root, fields[i].name, &value))
      reader->result = fields[i].read (reader, value);
    else if (fields[i].required)
      fault (reader, fields[i].name, "is required");
}

/* Parses all of BODY as one object.  Returns NULL and sets the fault if it is
 * anything else. */
static json_object *
parse_object (reader_t *reader, GBytes *body)
{
  gsize size = 0;
  const char *text = g_bytes_get_data (body, &size);
  json_tokener *tokener = json_tokener_new_ex (JSON_DEPTH_MAX);

  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  json_object *root = size > 0 ? json_tokener_parse_ex (tokener, text, (int) size) : NULL;
  enum json_tokener_error error = json_tokener_get_error (tokener);
  size_t end = json_tokener_get_parse_end (tokener);
  json_tokener_free (tokener);
  while (end < size && g_ascii_isspace (text[end]))
    end++;
  if (size == 0 || error != json_tokener_success || end < size
      || !json_object_is_type (root, json_type_object))
    {
      fault (reader, "body", "must be one JSON object");
      json_object_put (root);
      return NULL;
    }
  return root;
}

int
job_request_parse (const char *key, GBytes *body, job_request_t **request, char **message)
{
  gsize size = 0;
  const void *data = g_bytes_get_data (body, &size);
  reader_t reader = { .request = g_new0 (job_request_t, 1) };

  atomic_init (&reader.request->refs, 1);
  reader.request->key = g_strdup (key);
  reader.request->digest = hash_digest (data, size);
  json_object *root = parse_object (&reader, body);
  if (root != NULL)
    read_fields (&reader, root);
  json_object_put (root);
  if (reader.result == 0)
    {
      *request = reader.request;
      return 0;
    }
  job_request_unref (reader.request);
  *message = reader.message;
  return reader.result;
}

job_request_t *
job_request_ref (job_request_t *request)
{
  atomic_fetch_add (&request->refs, 1);
  return request;
}

void
job_request_unref (job_request_t *request)
{
  if (request == NULL || atomic_fetch_sub (&request->refs, 1) > 1)
    return;
  for (uint32_t i = 0; i < request->task_count; i++)
    {
      g_free (request->tasks[i].id);
      if (request->tasks[i].body != NULL)
        g_bytes_unref (request->tasks[i].body);
    }
  g_free (request->tasks);
  g_free (request->key);
  g_free (request->customer);
  g_free (request->kind);
  g_free (request->home);
  g_free (request);
}
