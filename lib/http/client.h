/* client.h -- blocking HTTP client with reusable connections, based on CivetWeb
 *
 * A connection must be used by only one thread at a time.  After any failure it must
 * be closed, since data that arrives on it later could belong to the failed request.
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
  const char *headers; /* complete lines, each ending with CRLF; may be NULL */
  const void *body;
  size_t body_bytes;
  int64_t deadline_at_ms; /* boot clock */
  int64_t max_answer_bytes;
  const char *copy_header; /* name of a response header to copy, or NULL */
} http_call_t;

typedef struct
{
  int status;
  GByteArray *body;    /* the complete body; g_byte_array_unref */
  char *copied_header; /* value of copy_header, or NULL; g_free */
  bool reusable;       /* the connection may carry another request */
} http_answer_t;

/* Connects to IP:port.  May block for about ten seconds if the host does not respond.
 * Returns 0 and *CONNECTION (http_close), or ERROR_NOT_CONNECTED, in which case nothing
 * was sent. */
int http_connect (const char *address, http_connection_t **connection);

/* Returns whether the connection is still open and has no unread data, so that it can
 * carry the next request.  False if the socket of the connection is unknown. */
bool http_is_idle (const http_connection_t *connection);

/* Closes and frees CONNECTION; NULL is a no-op. */
void http_close (http_connection_t *connection);

/* Sends CALL and reads the complete answer.  Returns 0 and fills ANSWER
 * (http_answer_clear), or ERROR_TIMEOUT if the deadline passed, ERROR_CLOSED if the
 * connection was lost, ERROR_TOO_LARGE if the body exceeds max_answer_bytes, or
 * ERROR_PROTOCOL if the answer has neither a length nor chunked encoding.  After any
 * error the request may have taken effect. */
int http_exchange (http_connection_t *connection, const http_call_t *call, http_answer_t *answer);

/* Performs one exchange on a new connection.  Returns the errors of http_connect () and
 * http_exchange (). */
int http_call_once (const char *address, const http_call_t *call, http_answer_t *answer);

/* Frees what ANSWER owns, and zeroes it. */
void http_answer_clear (http_answer_t *answer);

#endif
