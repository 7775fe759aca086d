/* list.c -- parses and validates the operators' plans and limits lists */
#include "config/list.h"

#include "base/error.h"
#include "config/json_lint.h"
#include "config/validate.h"

#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <limits.h>
#include <string.h>

#define LIST_DEPTH_MAX 8
#define LIST_MAX_BYTES (64u * 1024 * 1024)
/* Longer values and names are cut off in messages. */
#define VALUE_SHOWN_MAX_CHARS 80

static const char *const list_names[CONFIG_KINDS] = { "plans", "limits" };

/* The file that is parsed, and where to store its error message. */
typedef struct
{
  const char *file;
  char **message;
} error_report_t;

/* Sets the message for a value that is not allowed.  Returns ERROR_BAD_FILE. */
static int G_GNUC_PRINTF (4, 5) report_invalid (const error_report_t *report,
                                                const char *key,
                                                json_object *value,
                                                const char *allowed,
                                                ...)
{
  va_list args;
  va_start (args, allowed);
  char *allowed_text = g_strdup_vprintf (allowed, args);
  va_end (args);
  const char *text = json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN);
  *report->message = g_strdup_printf ("%s: %s: %.*s: must be %s", report->file, key,
                                      VALUE_SHOWN_MAX_CHARS, text, allowed_text);
  g_free (allowed_text);
  return ERROR_BAD_FILE;
}

const char *
config_list_name (config_kind_t kind)
{
  return list_names[kind];
}

/* Parses TEXT as one JSON object.  Returns NULL and sets the message on failure. */
static json_object *
parse_root (const error_report_t *report, const char *text, size_t size)
{
  json_tokener *tokener = json_tokener_new_ex (LIST_DEPTH_MAX);
  json_tokener_set_flags (tokener, JSON_TOKENER_VALIDATE_UTF8);
  json_object *root = json_tokener_parse_ex (tokener, text, (int) size);
  enum json_tokener_error error = json_tokener_get_error (tokener);
  size_t end = json_tokener_get_parse_end (tokener);
  /* json-c waits for the end of a comment on the last line if the file does not
   * end with a newline; supply one. */
  if (error == json_tokener_continue)
    {
      root = json_tokener_parse_ex (tokener, "\n", 1);
      error = json_tokener_get_error (tokener);
    }
  json_tokener_free (tokener);
  const char *problem = NULL;
  if (error == json_tokener_continue)
    problem = "the file ends before the object is complete";
  else if (error != json_tokener_success)
    problem = json_tokener_error_desc (error);
  else if (!json_object_is_type (root, json_type_object))
    problem = "must be a single object";
  else if (!config_json_is_blank (text + end, size - end))
    problem = "only white space and comments may follow the object";
  else if (config_json_has_single_quotes (text, size))
    problem = "strings must be in double quotes";
  if (problem == NULL)
    return root;
  *report->message = g_strdup_printf ("%s: byte %zu: %s", report->file, end, problem);
  json_object_put (root);
  return NULL;
}

static int
parse_plan (const error_report_t *report,
            const char *path,
            const char *name,
            json_object *value,
            GPtrArray *entries)
{
  const char *plan =
      json_object_is_type (value, json_type_string) ? json_object_get_string (value) : "";
  if (strlen (plan) != (size_t) json_object_get_string_len (value) || !config_name_valid (plan))
    return report_invalid (report, path, value, "a plan's name of %s", CONFIG_NAME_ALLOWED);
  g_ptr_array_add (entries, config_entry_plan (name, plan, 0));
  return 0;
}

static int
parse_member (const error_report_t *report,
              const char *path,
              const char *key,
              json_object *value,
              int64_t values[CONFIG_FIELDS])
{
  for (int i = 0; i < CONFIG_FIELDS; i++)
    {
      const config_field_t *field = &config_fields[i];
      if (strcmp (field->key, key) != 0)
        continue;
      values[i] = json_object_get_int64 (value);
      if (!json_object_is_type (value, json_type_int) || values[i] < field->min
          || values[i] > field->max)
        return report_invalid (report, path, value, "a whole number from %" PRId64 " to %" PRId64,
                               field->min, field->max);
      return 0;
    }
  return report_invalid (
      report, path, value,
      "left out: known keys are running_max, starts_per_s_max, weight, target_ms and "
      "objective_ppm");
}

static int
parse_limit (const error_report_t *report,
             const char *path,
             const char *name,
             json_object *value,
             GPtrArray *entries)
{
  int64_t values[CONFIG_FIELDS];
  if (!json_object_is_type (value, json_type_object))
    return report_invalid (report, path, value, "an object");
  for (int i = 0; i < CONFIG_FIELDS; i++)
    values[i] = config_fields[i].default_value;
  json_object_object_foreach (value, key, member)
  {
    char *member_path = g_strdup_printf ("%s.%s", path, key);
    int result = parse_member (report, member_path, key, member, values);
    g_free (member_path);
    if (result < 0)
      return result;
  }
  config_limit_t limit = { .plan = (char *) name };
  config_limit_from_values (&limit, values);
  g_ptr_array_add (entries, config_entry_limit (&limit, 0));
  return 0;
}

static int
parse_entry (const error_report_t *report,
             config_kind_t kind,
             const char *name,
             json_object *value,
             GPtrArray *entries)
{
  char *path = g_strdup_printf ("%s.%.*s", list_names[kind], VALUE_SHOWN_MAX_CHARS, name);
  int result = 0;
  if (!config_name_valid (name))
    result = report_invalid (report, path, value, "listed under a name of %s", CONFIG_NAME_ALLOWED);
  else if (kind == CONFIG_PLAN)
    result = parse_plan (report, path, name, value, entries);
  else
    result = parse_limit (report, path, name, value, entries);
  g_free (path);
  return result;
}

static int
parse_list (const error_report_t *report, config_kind_t kind, json_object *root, GPtrArray *entries)
{
  json_object *list = NULL;
  json_object_object_foreach (root, key, value)
  {
    if (strcmp (key, list_names[kind]) != 0)
      return report_invalid (report, key, value, "left out: the only known key is %s",
                             list_names[kind]);
    list = value;
  }
  if (!json_object_is_type (list, json_type_object))
    return report_invalid (report, list_names[kind], list, "an object");
  json_object_object_foreach (list, name, entry)
  {
    int result = parse_entry (report, kind, name, entry, entries);
    if (result < 0)
      return result;
  }
  return 0;
}

int
config_list_parse (const char *file,
                   const char *text,
                   size_t size,
                   config_kind_t kind,
                   GPtrArray **entries,
                   char **message)
{
  error_report_t report = { file, message };
  *entries = NULL;
  *message = NULL;
  if (size > LIST_MAX_BYTES || memchr (text, '\0', size))
    {
      *message = g_strdup_printf ("%s: must be text of at most %u bytes", file, LIST_MAX_BYTES);
      return ERROR_BAD_FILE;
    }
  json_object *root = parse_root (&report, text, size);
  if (root == NULL)
    return ERROR_BAD_FILE;
  int result = 0;
  char *duplicate = config_json_duplicate_key (text, size);
  *entries = g_ptr_array_new_with_free_func ((GDestroyNotify) config_entry_unref);
  if (duplicate)
    {
      *message = g_strdup_printf ("%s: %.*s: duplicate key: must occur only once", file,
                                  VALUE_SHOWN_MAX_CHARS, duplicate);
      result = ERROR_BAD_FILE;
    }
  else
    result = parse_list (&report, kind, root, *entries);
  g_free (duplicate);
  json_object_put (root);
  if (result < 0)
    g_clear_pointer (entries, g_ptr_array_unref);
  return result;
}

int
config_list_read (const char *file, config_kind_t kind, GPtrArray **entries, char **message)
{
  char *text = NULL;
  gsize size = 0;
  GError *error = NULL;
  *entries = NULL;
  if (!g_file_get_contents (file, &text, &size, &error))
    {
      *message = g_strdup_printf ("%s: cannot be read: %s", file, g_strerror (errno));
      g_error_free (error);
      return ERROR_BAD_FILE;
    }
  int result = config_list_parse (file, text, size, kind, entries, message);
  g_free (text);
  return result;
}

bool
config_list_kind (const char *text, size_t size, config_kind_t *kind)
{
  json_tokener *tokener = json_tokener_new_ex (LIST_DEPTH_MAX);
  json_object *root = size <= INT_MAX ? json_tokener_parse_ex (tokener, text, (int) size) : NULL;
  bool found = false;
  for (int i = 0; i < CONFIG_KINDS && !found; i++)
    {
      found = json_object_is_type (root, json_type_object)
              && json_object_object_get_ex (root, list_names[i], NULL);
      *kind = (config_kind_t) i;
    }
  json_object_put (root);
  json_tokener_free (tokener);
  return found;
}
