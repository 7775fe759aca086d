/* settings.c -- reads and checks the daemon's settings
 *
 * A table describes the scalar keys: name, type, range, default and offset in
 * settings_t.  The structured keys "platform" and "data_centres" are read by functions
 * of their own.  Reading stops at the first error.
 */
#include "settings/settings.h"

#include "base/address.h"
#include "base/error.h"

#include <errno.h>
#include <stddef.h>
#include <string.h>

#define KIB INT64_C (1024)
#define MIB (1024 * KIB)
#define GIB (1024 * MIB)
#define NAME_MAX_BYTES 128

typedef enum
{
  KEY_NAME,    /* 1 to NAME_MAX_BYTES printable characters */
  KEY_ADDRESS, /* IP:port */
  KEY_CHOICE,  /* one of the words in CHOICES */
  KEY_INT,
  KEY_BOOL
} key_type_t;

typedef struct
{
  const char *key;
  key_type_t type;
  size_t offset;
  bool required;
  const char *default_text; /* default of strings */
  const char *choices;      /* allowed words of KEY_CHOICE, separated by '|' */
  int64_t min;
  int64_t max;
  int64_t default_number; /* default of integers and booleans */
} key_spec_t;

#define FIELD(member) offsetof (settings_t, member)

static const key_spec_t key_specs[] = {
  { "host_id", KEY_NAME, FIELD (host_id), true, NULL, NULL, 0, 0, 0 },
  { "data_centre", KEY_NAME, FIELD (data_centre), true, NULL, NULL, 0, 0, 0 },
  { "caller_listen", KEY_ADDRESS, FIELD (caller_listen), true, NULL, NULL, 0, 0, 0 },
  { "admin_listen", KEY_ADDRESS, FIELD (admin_listen), true, NULL, NULL, 0, 0, 0 },
  { "peer_listen", KEY_ADDRESS, FIELD (peer_listen), true, NULL, NULL, 0, 0, 0 },
  { "log_level", KEY_CHOICE, FIELD (log_level), false, "info", "error|warning|info|debug", 0, 0,
    0 },
  { "log_format", KEY_CHOICE, FIELD (log_format), false, "text", "text|json", 0, 0, 0 },
  { "caller_threads", KEY_INT, FIELD (caller_threads), false, NULL, NULL, 4, 4096, 192 },
  { "endpoint_threads", KEY_INT, FIELD (endpoint_threads), false, NULL, NULL, 1, 4096, 512 },
  { "max_body_bytes", KEY_INT, FIELD (max_body_bytes), false, NULL, NULL, KIB, 32 * MIB, 8 * MIB },
  { "max_total_bytes", KEY_INT, FIELD (max_total_bytes), false, NULL, NULL, KIB, 64 * GIB,
    512 * MIB },
  { "max_answer_bytes", KEY_INT, FIELD (max_answer_bytes), false, NULL, NULL, KIB, 8 * MIB, MIB },
  { "kept_answers_bytes", KEY_INT, FIELD (kept_answers_bytes), false, NULL, NULL, 0, 64 * GIB,
    64 * MIB },
  { "key_window_ms", KEY_INT, FIELD (key_window_ms), false, NULL, NULL, 1000, 86400000, 600000 },
  { "clock_skew_ms", KEY_INT, FIELD (clock_skew_ms), false, NULL, NULL, 0, 60000, 1000 },
  { "stop_after_ms", KEY_INT, FIELD (stop_after_ms), false, NULL, NULL, 100, 3600000, 60000 },
  { "test_faults", KEY_BOOL, FIELD (test_faults), false, NULL, NULL, 0, 1, 0 },
};

typedef struct
{
  const char *file;
  settings_t *settings;
  char *message;
} reader_t;

static int
set_error (reader_t *reader, const char *key, json_object *value, const char *allowed)
{
  const char *shown_value =
      value != NULL ? json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN) : "(absent)";

  if (reader->message == NULL)
    reader->message =
        g_strdup_printf ("%s: %s: %.200s: must be %s", reader->file, key, shown_value, allowed);
  return ERROR_BAD_FILE;
}

/* Returns whether VALUE is a string that no NUL character would cut off. */
static bool
is_whole_text (json_object *value)
{
  return json_object_is_type (value, json_type_string)
         && strlen (json_object_get_string (value)) == (size_t) json_object_get_string_len (value);
}

static bool
is_address (json_object *value)
{
  return is_whole_text (value) && address_split (json_object_get_string (value), NULL, NULL) == 0;
}

static bool
is_name (json_object *value)
{
  if (!is_whole_text (value))
    return false;
  const char *text = json_object_get_string (value);
  size_t size = strlen (text);
  if (size == 0 || size > NAME_MAX_BYTES)
    return false;
  for (size_t i = 0; i < size; i++)
    if (!g_ascii_isgraph (text[i]) || strchr ("\"\\{}", text[i]) != NULL)
      return false;
  return true;
}

static bool
is_choice (json_object *value, const char *choices)
{
  if (!is_whole_text (value))
    return false;
  char **words = g_strsplit (choices, "|", -1);
  bool found = g_strv_contains ((const char *const *) words, json_object_get_string (value));
  g_strfreev (words);
  return found;
}

static void *
value_pointer (reader_t *reader, const key_spec_t *spec)
{
  return (char *) reader->settings + spec->offset;
}

static int
read_string (reader_t *reader, const key_spec_t *spec, json_object *value)
{
  bool valid = false;
  char allowed[128];

  switch (spec->type)
    {
    case KEY_ADDRESS:
      valid = is_address (value);
      g_strlcpy (allowed, "an address as IP:port", sizeof allowed);
      break;
    case KEY_CHOICE:
      valid = is_choice (value, spec->choices);
      g_snprintf (allowed, sizeof allowed, "one of %s", spec->choices);
      break;
    default:
      valid = is_name (value);
      g_snprintf (allowed, sizeof allowed, "1 to %d printable characters without quotes or braces",
                  NAME_MAX_BYTES);
      break;
    }
  if (!valid)
    return set_error (reader, spec->key, value, allowed);
  *(char **) value_pointer (reader, spec) = g_strdup (json_object_get_string (value));
  return 0;
}

static int
read_int (reader_t *reader, const key_spec_t *spec, json_object *value)
{
  char allowed[128];

  g_snprintf (allowed, sizeof allowed,
              "a whole number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, spec->min,
              spec->max);
  if (!json_object_is_type (value, json_type_int))
    return set_error (reader, spec->key, value, allowed);
  int64_t number = json_object_get_int64 (value);
  if (number < spec->min || number > spec->max)
    return set_error (reader, spec->key, value, allowed);
  *(int64_t *) value_pointer (reader, spec) = number;
  return 0;
}

static int
read_bool (reader_t *reader, const key_spec_t *spec, json_object *value)
{
  if (!json_object_is_type (value, json_type_boolean))
    return set_error (reader, spec->key, value, "true or false");
  *(bool *) value_pointer (reader, spec) = json_object_get_boolean (value);
  return 0;
}

static int
read_value (reader_t *reader, const key_spec_t *spec, json_object *value)
{
  if (spec->type == KEY_INT)
    return read_int (reader, spec, value);
  if (spec->type == KEY_BOOL)
    return read_bool (reader, spec, value);
  return read_string (reader, spec, value);
}

static int
use_default (reader_t *reader, const key_spec_t *spec)
{
  if (spec->required)
    return set_error (reader, spec->key, NULL, "present");
  if (spec->type == KEY_INT)
    *(int64_t *) value_pointer (reader, spec) = spec->default_number;
  else if (spec->type == KEY_BOOL)
    *(bool *) value_pointer (reader, spec) = spec->default_number != 0;
  else
    *(char **) value_pointer (reader, spec) = g_strdup (spec->default_text);
  return 0;
}

/* Appends the addresses of LIST to OUT.  SEEN holds the addresses read so far and is used
 * to reject duplicates. */
static int
read_addresses (reader_t *reader,
                const char *key,
                json_object *list,
                GPtrArray *out,
                GHashTable *seen)
{
  if (!json_object_is_type (list, json_type_array))
    return set_error (reader, key, list, "a list of addresses as IP:port");
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      if (!is_address (item))
        return set_error (reader, key, item, "an address as IP:port");
      char *address = g_strdup (json_object_get_string (item));
      g_ptr_array_add (out, address);
      if (!g_hash_table_add (seen, address))
        return set_error (reader, key, item, "an address that is listed only once");
    }
  return 0;
}

static int
read_platform (reader_t *reader, json_object *list)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  int result = read_addresses (reader, "platform", list, reader->settings->platform, seen);

  g_hash_table_unref (seen);
  if (result == 0 && reader->settings->platform->len == 0)
    return set_error (reader, "platform", list, "a list of at least one address");
  return result;
}

static void
data_centre_free (void *data)
{
  settings_data_centre_t *data_centre = data;

  g_free (data_centre->name);
  g_ptr_array_unref (data_centre->addresses);
  g_free (data_centre);
}

static int
compare_data_centres (const void *a, const void *b)
{
  const settings_data_centre_t *const *x = a;
  const settings_data_centre_t *const *y = b;

  return strcmp ((*x)->name, (*y)->name);
}

static int
read_data_centres (reader_t *reader, json_object *map)
{
  if (!json_object_is_type (map, json_type_object))
    return set_error (reader, "data_centres", map,
                      "an object that maps data centres to lists of addresses");
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  int result = 0;
  json_object_object_foreach (map, name, list)
  {
    json_object *name_value = json_object_new_string (name);
    bool name_valid = is_name (name_value);
    json_object_put (name_value);
    if (result == 0 && !name_valid)
      result = set_error (reader, "data_centres", map, "an object with printable names");
    if (result != 0)
      break;
    settings_data_centre_t *data_centre = g_new0 (settings_data_centre_t, 1);
    data_centre->name = g_strdup (name);
    data_centre->addresses = g_ptr_array_new_with_free_func (g_free);
    g_ptr_array_add (reader->settings->data_centres, data_centre);
    char *key = g_strdup_printf ("data_centres.%s", name);
    result = read_addresses (reader, key, list, data_centre->addresses, seen);
    g_free (key);
  }
  g_hash_table_unref (seen);
  g_ptr_array_sort (reader->settings->data_centres, compare_data_centres);
  return result;
}

static bool
is_known (const char *key)
{
  if (strcmp (key, "platform") == 0 || strcmp (key, "data_centres") == 0)
    return true;
  for (size_t i = 0; i < G_N_ELEMENTS (key_specs); i++)
    if (strcmp (key_specs[i].key, key) == 0)
      return true;
  return false;
}

static int
check_keys (reader_t *reader, json_object *root)
{
  json_object_object_foreach (root, key, value)
  {
    if (!is_known (key))
      return set_error (reader, key, value, "removed: the key is unknown");
  }
  return 0;
}

/* Checks rules that involve several keys: the listeners of this host must differ, and its
 * data centre must be listed in data_centres. */
static int
check_consistency (reader_t *reader, json_object *root)
{
  settings_t *settings = reader->settings;
  bool listed = false;

  if (strcmp (settings->caller_listen, settings->admin_listen) == 0)
    return set_error (reader, "admin_listen", json_object_object_get (root, "admin_listen"),
                      "another address than caller_listen");
  if (strcmp (settings->peer_listen, settings->admin_listen) == 0
      || strcmp (settings->peer_listen, settings->caller_listen) == 0)
    return set_error (reader, "peer_listen", json_object_object_get (root, "peer_listen"),
                      "another address than caller_listen and admin_listen");
  for (guint i = 0; i < settings->data_centres->len; i++)
    {
      const settings_data_centre_t *data_centre = settings->data_centres->pdata[i];
      listed = listed || strcmp (data_centre->name, settings->data_centre) == 0;
    }
  if (!listed)
    return set_error (reader, "data_centre", json_object_object_get (root, "data_centre"),
                      "one of the names in data_centres");
  return 0;
}

static int
read_root (reader_t *reader, json_object *root)
{
  json_object *value = NULL;
  int result = check_keys (reader, root);

  for (size_t i = 0; i < G_N_ELEMENTS (key_specs) && result == 0; i++)
    if (json_object_object_get_ex (root, key_specs[i].key, &value))
      result = read_value (reader, &key_specs[i], value);
    else
      result = use_default (reader, &key_specs[i]);
  if (result == 0 && !json_object_object_get_ex (root, "platform", &value))
    result = set_error (reader, "platform", NULL, "present");
  if (result == 0)
    result = read_platform (reader, value);
  if (result == 0 && !json_object_object_get_ex (root, "data_centres", &value))
    result = set_error (reader, "data_centres", NULL, "present");
  if (result == 0)
    result = read_data_centres (reader, value);
  if (result == 0)
    result = check_consistency (reader, root);
  return result;
}

static bool
is_all_space (const char *text, size_t size)
{
  for (size_t i = 0; i < size; i++)
    if (!g_ascii_isspace (text[i]))
      return false;
  return true;
}

int
settings_read_json (const char *file, json_object **root, char **message)
{
  char *text = NULL;
  gsize size = 0;
  GError *error = NULL;

  if (!g_file_get_contents (file, &text, &size, &error))
    {
      *message = g_strdup_printf ("%s: cannot be read: %s", file, g_strerror (errno));
      g_error_free (error);
      return ERROR_BAD_FILE;
    }
  json_tokener *tokener = json_tokener_new ();
  json_object *parsed = json_tokener_parse_ex (tokener, text, (int) size);
  size_t end = json_tokener_get_parse_end (tokener);
  enum json_tokener_error parse_error = json_tokener_get_error (tokener);
  if (parse_error != json_tokener_success || parsed == NULL)
    *message = g_strdup_printf ("%s: byte %zu: not valid JSON: %s", file, end,
                                json_tokener_error_desc (parse_error));
  else if (!json_object_is_type (parsed, json_type_object))
    *message = g_strdup_printf ("%s: must be one JSON object", file);
  else if (!is_all_space (text + end, size - end))
    *message = g_strdup_printf ("%s: byte %zu: nothing may follow the object", file, end);
  else
    *root = json_object_get (parsed);
  bool valid = *message == NULL;
  json_object_put (parsed);
  json_tokener_free (tokener);
  g_free (text);
  return valid ? 0 : ERROR_BAD_FILE;
}

static settings_t *
settings_new (void)
{
  settings_t *settings = g_new0 (settings_t, 1);

  settings->platform = g_ptr_array_new_with_free_func (g_free);
  settings->data_centres = g_ptr_array_new_with_free_func (data_centre_free);
  return settings;
}

int
settings_read (const char *file, settings_t **settings, char **message)
{
  json_object *root = NULL;
  reader_t reader = { .file = file };

  *message = NULL;
  if (settings_read_json (file, &root, message) != 0)
    return ERROR_BAD_FILE;
  reader.settings = settings_new ();
  int result = read_root (&reader, root);
  json_object_put (root);
  if (result != 0)
    {
      settings_free (reader.settings);
      *message = reader.message;
      return result;
    }
  *settings = reader.settings;
  return 0;
}

void
settings_free (settings_t *settings)
{
  if (settings == NULL)
    return;
  g_free (settings->host_id);
  g_free (settings->data_centre);
  g_free (settings->caller_listen);
  g_free (settings->admin_listen);
  g_free (settings->peer_listen);
  g_free (settings->log_level);
  g_free (settings->log_format);
  g_ptr_array_unref (settings->platform);
  g_ptr_array_unref (settings->data_centres);
  g_free (settings);
}
