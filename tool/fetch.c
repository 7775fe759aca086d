/* fetch.c -- reads a JSON page of a host's admin listener */
#include "tool/fetch.h"

#include "base/clock.h"
#include "base/error.h"
#include "http/client.h"

#include <glib.h>

#define ANSWER_WITHIN_MS 5000
#define ANSWER_MAX_BYTES (64 * 1024 * 1024)
#define STATUS_OK 200

json_object *
fetch_json (const char *address, const char *path, int *error)
{
  http_answer_t answer = { 0 };
  http_call_t call = {
    .method = "GET",
    .path = path,
    .deadline_at_ms = clock_boot_ms () + ANSWER_WITHIN_MS,
    .max_answer_bytes = ANSWER_MAX_BYTES,
  };

  *error = http_call_once (address, &call, &answer);
  if (*error != 0)
    return NULL;
  char *text = g_strndup ((const char *) answer.body->data, answer.body->len);
  json_object *root = answer.status == STATUS_OK ? json_tokener_parse (text) : NULL;
  g_free (text);
  http_answer_clear (&answer);
  if (root == NULL)
    *error = ERROR_PROTOCOL;
  return root;
}
