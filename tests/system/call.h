/* call.h -- HTTP calls of the system tests, each on a thread of its own */
#ifndef TESTS_SYSTEM_CALL_H
#define TESTS_SYSTEM_CALL_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int error;      /* 0, or why there is no whole answer */
  int32_t status; /* HTTP status */
  char *text;     /* the answer's body, or NULL */
  gsize text_bytes;
  json_object *json;   /* the body parsed, or NULL */
  int64_t begun_at_ms; /* wall clock, before anything was sent */
} reply_t;

typedef struct call_t call_t;

/* Starts a call on a connection of its own.  HEADERS and BODY are copied. */
call_t *call_start (const char *address,
                    const char *method,
                    const char *path,
                    const char *headers,
                    const char *body);

/* True once the reply is there. */
bool call_done (call_t *call);

/* Waits for the reply; it belongs to the call. */
const reply_t *call_wait (call_t *call);

/* Waits and frees. */
void call_free (call_t *call);

/* Calls and waits.  The caller frees the result by call_free (). */
call_t *call_now (const char *address,
                  const char *method,
                  const char *path,
                  const char *headers,
                  const char *body);

/* Calls, waits and returns only the status, or a negative error. */
int32_t call_status (const char *address, const char *method, const char *path, const char *body);

/* The string member NAME of the reply, or "". */
const char *reply_string (const reply_t *reply, const char *name);

/* Sends SIZE bytes as they are, in pieces of STEP bytes with PAUSE_MS between
 * them, then closes the sending side if HALF_CLOSE.  Returns all that came back
 * until the connection was closed (g_free), "" if nothing did. */
typedef struct
{
  const char *bytes;
  gsize size_bytes;
  gsize step_bytes;
  int64_t pause_ms;
  bool half_close;
} raw_t;

char *call_raw (const char *address, const raw_t *raw);

#endif
