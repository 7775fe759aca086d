/* fetch.h -- reads a JSON page of a host's admin listener */
#ifndef TOOL_FETCH_H
#define TOOL_FETCH_H

#include <json-c/json.h>

/* Reads PATH of ADDRESS (IP:port).  Returns the JSON (json_object_put), or NULL
 * with *ERROR set if the host does not answer, or not with JSON. */
json_object *fetch_json (const char *address, const char *path, int *error);

#endif
