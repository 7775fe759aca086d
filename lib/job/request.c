/* request.c -- parses and validates a caller's submission
 *
 * The table field_readers lists each field with its reader and whether it is
 * required.  Unknown fields are ignored, so that callers may use a newer version
 * of the protocol than this host.  A missing optional field has the safe value:
 * without "repeatable" no task runs twice.
 */
#include "job/request.h"

#include "base/error.h"

#include <json-c/json.h>
#include <stddef.h>
#include <string.h>

/* A valid submission is nested three levels deep: the root object, the list of
 * tasks and a task.  Unknown fields may be nested deeper, up to this limit; input
 * beyond it is rejected while it is parsed. */
#define JSON_DEPTH_MAX 8
#define CORES_MAX 100000
#define MEMORY_MAX_MB INT64_C (1000000000)
/* Times are in milliseconds since the Unix epoch.  The limit is 1 January
 * 3000. */
#define TIME_MAX_MS INT64_C (32503680000000)

typedef struct
{
  job_request_t *request;
  char *message;
  int error;
} request_parser_t;

static int
reject_field (request_parser_t *parser, const char *field, const char *rule)
{
  if (parser->message == NULL)
    parser->message = g_strdup_printf ("%s %s.", field, rule);
  parser->error = ERROR_BAD_REQUEST;
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
job_key_is_valid (const char *key)
{
  return key != NULL && is_visible (key, strnlen (key, JOB_KEY_MAX_BYTES + 1), JOB_KEY_MAX_BYTES);
}

/* The kind becomes a segment of the path of the request to the endpoint, so it
 * may contain neither '/' nor characters that need escaping. */
static bool
is_path_segment (const char *text)
{
  for (; *text != '\0'; text++)
    if (!g_ascii_isalnum (*text) && strchr ("-_.", *text) == NULL)
      return false;
  return true;
}

static int
read_name (request_parser_t *parser, const char *field, json_object *value, char **out)
{
  if (!json_object_is_type (value, json_type_string))
    return reject_field (parser, field, "must be a string");
  const char *text = json_object_get_string (value);
  size_t size = (size_t) json_object_get_string_len (value);
  if (!is_visible (text, size, JOB_NAME_MAX_BYTES))
    return reject_field (parser, field, "must be 1 to 128 visible ASCII characters");
  *out = g_strndup (text, size);
  return 0;
}

static int
read_int (request_parser_t *parser,
          const char *field,
          json_object *value,
          int64_t max,
          int64_t *out)
{
  if (!json_object_is_type (value, json_type_int))
    return reject_field (parser, field, "must be a whole number");
  int64_t number = json_object_get_int64 (value);
  if (number < 0 || number > max)
    return reject_field (parser, field, "is out of range");
  *out = number;
  return 0;
}

static int
read_customer (request_parser_t *parser, json_object *value)
{
  return read_name (parser, "customer", value, &parser->request->customer);
}

static int
read_kind (request_parser_t *parser, json_object *value)
{
  int result = read_name (parser, "kind", value, &parser->request->kind);

  if (result == 0 && !is_path_segment (parser->request->kind))
    return reject_field (parser, "kind", "must consist of letters, digits, '-', '_' and '.'");
  return result;
}

static int
read_home (request_parser_t *parser, json_object *value)
{
  if (json_object_is_type (value, json_type_null))
    return 0;
  return read_name (parser, "home", value, &parser->request->home);
}

static int
read_issued (request_parser_t *parser, json_object *value)
{
  return read_int (parser, "issued_at_ms", value, TIME_MAX_MS, &parser->request->issued_at_ms);
}

static int
read_deadline (request_parser_t *parser, json_object *value)
{
  return read_int (parser, "deadline_at_ms", value, TIME_MAX_MS, &parser->request->deadline_at_ms);
}

static int
read_repeatable (request_parser_t *parser, json_object *value)
{
  if (!json_object_is_type (value, json_type_boolean))
    return reject_field (parser, "repeatable", "must be true or false");
  parser->request->repeatable = json_object_get_boolean (value);
  return 0;
}

static int
read_task_body (request_parser_t *parser, json_object *value, job_task_t *task)
{
  if (!json_object_is_type (value, json_type_string))
    return reject_field (parser, "tasks[].body", "must be a string");
  task->body =
      g_bytes_new (json_object_get_string (value), (gsize) json_object_get_string_len (value));
  return 0;
}

static int
read_task (request_parser_t *parser, json_object *object, job_task_t *task)
{
  json_object *value = NULL;
  int64_t number = 0;

  if (!json_object_is_type (object, json_type_object))
    return reject_field (parser, "tasks", "must be a list of objects");
  if (!json_object_object_get_ex (object, "id", &value))
    return reject_field (parser, "tasks[].id", "is required");
  if (read_name (parser, "tasks[].id", value, &task->id) != 0)
    return parser->error;
  if (!json_object_object_get_ex (object, "body", &value))
    task->body = g_bytes_new (NULL, 0);
  else if (read_task_body (parser, value, task) != 0)
    return parser->error;
  if (json_object_object_get_ex (object, "cores", &value))
    {
      if (read_int (parser, "tasks[].cores", value, CORES_MAX, &number) != 0)
        return parser->error;
      task->cores = (int32_t) number;
    }
  if (json_object_object_get_ex (object, "memory_mb", &value))
    return read_int (parser, "tasks[].memory_mb", value, MEMORY_MAX_MB, &task->memory_mb);
  return 0;
}

static int
check_task_ids_unique (request_parser_t *parser)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  bool unique = true;

  for (uint32_t i = 0; i < parser->request->task_count; i++)
    unique = g_hash_table_add (seen, parser->request->tasks[i].id) && unique;
  g_hash_table_unref (seen);
  return unique ? 0 : reject_field (parser, "tasks[].id", "must be unique in the job");
}

static int
read_tasks (request_parser_t *parser, json_object *value)
{
  if (!json_object_is_type (value, json_type_array))
    return reject_field (parser, "tasks", "must be a list of objects");
  size_t count = json_object_array_length (value);
  if (count == 0)
    return reject_field (parser, "tasks", "must have at least one task");
  if (count > JOB_TASKS_MAX)
    {
      reject_field (parser, "tasks", "may have at most 510 tasks");
      parser->error = ERROR_TOO_LARGE;
      return parser->error;
    }
  parser->request->tasks = g_new0 (job_task_t, count);
  parser->request->task_count = (uint32_t) count;
  for (size_t i = 0; i < count; i++)
    if (read_task (parser, json_object_array_get_idx (value, i), &parser->request->tasks[i]) != 0)
      return parser->error;
  return check_task_ids_unique (parser);
}

static const struct
{
  const char *name;
  bool required;
  int (*read) (request_parser_t *parser, json_object *value);
} field_readers[] = {
  { "customer", true, read_customer },
  { "kind", true, read_kind },
  { "issued_at_ms", true, read_issued },
  { "deadline_at_ms", true, read_deadline },
  { "repeatable", false, read_repeatable },
  { "home", false, read_home },
  { "tasks", true, read_tasks },
};

static void
read_fields (request_parser_t *parser, json_object *root)
{
  json_object *value = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (field_readers) && parser->error == 0; i++)
    if (json_object_object_get_ex (root, field_readers[i].name, &value))
      parser->error = field_readers[i].read (parser, value);
    else if (field_readers[i].required)
      reject_field (parser, field_readers[i].name, "is required");
}

/* Parses BODY, which must be a single JSON object with only white space after
 * it.  Returns NULL and sets the parser's error if it is not. */
static json_object *
parse_object (request_parser_t *parser, GBytes *body)
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
      reject_field (parser, "body", "must be one JSON object");
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
  request_parser_t parser = { .request = g_new0 (job_request_t, 1) };

  atomic_init (&parser.request->refs, 1);
  parser.request->key = g_strdup (key);
  parser.request->digest = hash_digest (data, size);
  json_object *root = parse_object (&parser, body);
  if (root != NULL)
    read_fields (&parser, root);
  json_object_put (root);
  if (parser.error == 0)
    {
      *request = parser.request;
      return 0;
    }
  job_request_unref (parser.request);
  *message = parser.message;
  return parser.error;
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
