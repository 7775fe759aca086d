/* json.h -- parsing of the platform's JSON answers, with checks of types and ranges
 *
 * Pure functions; any thread.
 */
#ifndef PLATFORM_JSON_H
#define PLATFORM_JSON_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Parses SIZE bytes as one JSON document in strict mode.  Returns NULL if they are not one.  The
 * caller frees the result with json_object_put (). */
json_object *platform_json_parse (const char *text, size_t size);

/* Returns the string member NAME, which OBJECT owns.  Returns NULL if the member is missing, is not
 * a string, is longer than MAX_BYTES or contains a NUL byte. */
const char *platform_json_string (json_object *object, const char *name, size_t max_bytes);

/* Reads the integer member NAME into *VALUE; a missing member counts as 0.  Returns false if the
 * member is not an integer or the value is outside [MIN, MAX]. */
bool
platform_json_int (json_object *object, const char *name, int64_t min, int64_t max, int64_t *value);

#endif
