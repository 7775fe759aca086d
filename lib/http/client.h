/* client.h -- HTTP calls over CivetWeb, with reused connections
 *
 * A connection is used by one thread at a time.  After any failure it must be
 * closed: what arrives on it later could belong to the failed request.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct http_connection_t http_connection_t;

typedef struct
{
  const char *method;
  const char *path;
  const char *headers; /* whole lines, each ended by CRLF; may be NULL */
  const void *body;
  size_t body_bytes;
  int64_t deadline_at_ms; /* boot clock */
  int64_t max_answer_bytes;
  const char *echo_header; /* name of a response header to copy, or NULL */
} http_call_t;

typedef struct
{
  int status;
  GByteArray *body; /* whole; g_byte_array_unref */
  char *echo;       /* value of echo_header, or NULL; g_free */
  bool reusable;    /* the connection may carry another request */
} http_answer_t;

/* Connects to IP:port.  May block for about ten seconds if nothing answers.
 * Returns 0 and *CONNECTION, or ERROR_NOT_CONNECTED: nothing was written. */
int http_connect (const char *address, http_connection_t **connection);

/* True if a kept connection is still open and nothing has arrived on it: it may
 * carry the next request. */
bool http_is_idle (const http_connection_t *connection);

void http_close (http_connection_t *connection);

/* Sends CALL and reads the whole answer.  Returns 0 and fills ANSWER;
 * ERROR_TIMEOUT; ERROR_CLOSED if the connection broke; ERROR_TOO_LARGE;
 * ERROR_PROTOCOL if the answer has no length.  After any error the request may
 * have taken effect. */
int http_exchange (http_connection_t *connection, const http_call_t *call, http_answer_t *answer);

/* Connects, exchanges and closes. */
int http_call_once (const char *address, const http_call_t *call, http_answer_t *answer);

void http_answer_clear (http_answer_t *answer);

#endif
