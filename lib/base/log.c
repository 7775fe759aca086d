/* log.c -- structured log messages, written to standard error through GLib
 *
 * log_error () and its siblings build an array of GLogField and pass it to
 * g_log_structured_array (), which calls write_line ().  The levels of GLib are
 * used, so that messages of libraries that log through GLib are printed in the
 * same format.
 */
#include "base/log.h"

#include "base/error.h"

#include <json-c/json.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define MAX_FIELDS 16
#define PART_FIELD "JAYTRAIL_PART"

static log_level_t max_level = LOG_LEVEL_INFO;
static bool write_json;
static char *host_name;

static const struct
{
  const char *name;
  GLogLevelFlags flag;
} levels[] = {
  [LOG_LEVEL_ERROR] = { "error", G_LOG_LEVEL_CRITICAL },
  [LOG_LEVEL_WARNING] = { "warning", G_LOG_LEVEL_WARNING },
  [LOG_LEVEL_INFO] = { "info", G_LOG_LEVEL_MESSAGE },
  [LOG_LEVEL_DEBUG] = { "debug", G_LOG_LEVEL_DEBUG },
};

static log_level_t
level_of (GLogLevelFlags flags)
{
  if (flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return LOG_LEVEL_ERROR;
  if (flags & G_LOG_LEVEL_WARNING)
    return LOG_LEVEL_WARNING;
  if (flags & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
    return LOG_LEVEL_INFO;
  return LOG_LEVEL_DEBUG;
}

/* The names of GLib's own fields are upper case, those of the caller's fields
 * are lower case. */
static bool
is_caller_field (const GLogField *field)
{
  return g_ascii_islower (field->key[0]);
}

static const char *
find_field (const GLogField *fields, gsize count, const char *key, const char *fallback)
{
  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, key) == 0)
      return fields[i].value;
  return fallback;
}

static char *
print_text (const char *timestamp, log_level_t level, const GLogField *fields, gsize count)
{
  GString *line = g_string_new (NULL);

  g_string_append_printf (line, "%s %s %s: %s", timestamp, levels[level].name,
                          find_field (fields, count, PART_FIELD, "library"),
                          find_field (fields, count, "MESSAGE", ""));
  for (gsize i = 0; i < count; i++)
    if (is_caller_field (&fields[i]))
      g_string_append_printf (line, " %s=%s", fields[i].key, (const char *) fields[i].value);
  g_string_append_c (line, '\n');
  return g_string_free (line, FALSE);
}

static void
add_string (json_object *object, const char *key, const char *value)
{
  json_object_object_add (object, key, json_object_new_string (value));
}

static char *
print_json (const char *timestamp, log_level_t level, const GLogField *fields, gsize count)
{
  json_object *object = json_object_new_object ();

  add_string (object, "at", timestamp);
  add_string (object, "level", levels[level].name);
  add_string (object, "part", find_field (fields, count, PART_FIELD, "library"));
  add_string (object, "message", find_field (fields, count, "MESSAGE", ""));
  if (host_name != NULL)
    add_string (object, "host_id", host_name);
  for (gsize i = 0; i < count; i++)
    if (is_caller_field (&fields[i]))
      add_string (object, fields[i].key, fields[i].value);
  char *line =
      g_strdup_printf ("%s\n", json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return line;
}

static GLogWriterOutput
write_line (GLogLevelFlags flags, const GLogField *fields, gsize count, gpointer data)
{
  (void) data;
  log_level_t level = level_of (flags);

  if (level > max_level)
    return G_LOG_WRITER_HANDLED;
  GDateTime *now = g_date_time_new_now_utc ();
  char *seconds = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S");
  char *timestamp = g_strdup_printf ("%s.%03dZ", seconds, g_date_time_get_microsecond (now) / 1000);
  char *line = write_json ? print_json (timestamp, level, fields, count)
                          : print_text (timestamp, level, fields, count);
  fputs (line, stderr);
  g_free (line);
  g_free (timestamp);
  g_free (seconds);
  g_date_time_unref (now);
  return G_LOG_WRITER_HANDLED;
}

void
log_setup (log_level_t level, bool json, const char *host)
{
  max_level = level;
  write_json = json;
  host_name = g_strdup (host);
  g_log_set_writer_func (write_line, NULL, NULL);
}

int
log_level_from_name (const char *name, log_level_t *level)
{
  for (gsize i = 0; i < G_N_ELEMENTS (levels); i++)
    if (strcmp (levels[i].name, name) == 0)
      {
        *level = (log_level_t) i;
        return 0;
      }
  return ERROR_BAD_REQUEST;
}

static void
write_fields (log_level_t level, const char *part, const char *message, va_list pairs)
{
  GLogField fields[MAX_FIELDS] = {
    { "MESSAGE", message, -1 },
    { PART_FIELD, part, -1 },
  };
  gsize count = 2;
  const char *key = va_arg (pairs, const char *);

  while (key != NULL && count < MAX_FIELDS)
    {
      const char *value = va_arg (pairs, const char *);
      fields[count++] = (GLogField){ key, value != NULL ? value : "", -1 };
      key = va_arg (pairs, const char *);
    }
  g_log_structured_array (levels[level].flag, fields, count);
}

#define DEFINE_LOG(function, level)                                                                \
  void function (const char *part, const char *message, ...)                                       \
  {                                                                                                \
    va_list pairs;                                                                                 \
                                                                                                   \
    if ((level) > max_level)                                                                       \
      return;                                                                                      \
    va_start (pairs, message);                                                                     \
    write_fields (level, part, message, pairs);                                                    \
    va_end (pairs);                                                                                \
  }

DEFINE_LOG (log_error, LOG_LEVEL_ERROR)
DEFINE_LOG (log_warning, LOG_LEVEL_WARNING)
DEFINE_LOG (log_info, LOG_LEVEL_INFO)
DEFINE_LOG (log_debug, LOG_LEVEL_DEBUG)
