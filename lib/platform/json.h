/* json.h -- checked access to the platform's JSON answers; pure, any thread */
#ifndef PLATFORM_JSON_H
#define PLATFORM_JSON_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Parses SIZE bytes as one strict JSON document; NULL if it is none.  The
 * caller frees it by json_object_put (). */
json_object *platform_json_parse (const char *text, size_t size);

/* The string member NAME, without NUL inside and of at most MAX_BYTES; NULL if
 * there is none.  Belongs to OBJECT. */
const char *platform_json_string (json_object *object, const char *name, size_t max_bytes);

/* Reads the integer member NAME into *VALUE.  Absent counts as 0.  Returns
 * false if it is no integer or outside of [MIN, MAX]. */
bool
platform_json_int (json_object *object, const char *name, int64_t min, int64_t max, int64_t *value);

#endif
