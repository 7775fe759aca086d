/* json.c -- parsing of the platform's JSON answers, with checks of types and ranges */
#include "platform/json.h"

#include <limits.h>
#include <string.h>

#define JSON_DEPTH_MAX 16

json_object *
platform_json_parse (const char *text, size_t size)
{
  if (size > INT_MAX)
    return NULL;
  json_tokener *tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  json_object *object = json_tokener_parse_ex (tokener, text, (int) size);
  bool complete = json_tokener_get_error (tokener) == json_tokener_success;
  json_tokener_free (tokener);
  if (complete)
    return object;
  json_object_put (object);
  return NULL;
}

const char *
platform_json_string (json_object *object, const char *name, size_t max_bytes)
{
  json_object *member = NULL;
  if (!json_object_object_get_ex (object, name, &member)
      || !json_object_is_type (member, json_type_string))
    return NULL;
  const char *text = json_object_get_string (member);
  size_t size = (size_t) json_object_get_string_len (member);
  return size <= max_bytes && strlen (text) == size ? text : NULL;
}

bool
platform_json_int (json_object *object, const char *name, int64_t min, int64_t max, int64_t *value)
{
  json_object *member = NULL;
  *value = 0;
  if (json_object_object_get_ex (object, name, &member))
    {
      if (!json_object_is_type (member, json_type_int))
        return false;
      *value = json_object_get_int64 (member);
    }
  return *value >= min && *value <= max;
}
