/* server.h -- multithreaded HTTP server with limits on body sizes, based on CivetWeb
 *
 * Each connection occupies one thread of its server until it closes, so a handler may
 * block.  A request is passed to the handler after its body has been read.  Servers
 * share no threads: an overloaded one does not delay another.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <glib.h>
#include <stdint.h>

typedef struct http_server_t http_server_t;

typedef struct
{
  const char *method;
  const char *path;            /* decoded, without the query */
  const char *query;           /* not decoded; may be NULL */
  const char *idempotency_key; /* Idempotency-Key header, or NULL */
  GBytes *body;                /* the complete body; empty if there is none */
  /* 0 if the body is complete; ERROR_TOO_LARGE if it exceeds max_body_bytes,
   * ERROR_OVERLOADED if max_total_bytes is exhausted, ERROR_BAD_REQUEST if it was
   * truncated. */
  int body_error;
} http_request_t;

typedef struct
{
  int status;
  const char *content_type; /* static string; NULL means application/json */
  GBytes *body;             /* owned by the response; NULL means empty */
  int64_t retry_after_s;    /* 0 for no Retry-After header */
} http_response_t;

/* Answers REQUEST by filling RESPONSE.  Runs on a thread of the server. */
typedef void (*http_handler_t) (const http_request_t *request,
                                http_response_t *response,
                                void *data);

typedef struct
{
  const char *address; /* IP:port */
  int64_t threads;     /* connections served at once */
  int64_t max_body_bytes;
  int64_t max_total_bytes; /* of the bodies of all requests in progress */
  http_handler_t handler;
  void *data;
} http_server_options_t;

/* Starts a server.  Returns 0 and *SERVER (http_server_stop), or ERROR_IO if it cannot
 * listen on the address. */
int http_server_start (const http_server_options_t *options, http_server_t **server);

/* Returns the number of requests being read or answered.  May be called from any thread. */
int32_t http_server_active (const http_server_t *server);

/* From now on each connection is closed after its next answer.  May be called from any
 * thread. */
void http_server_drain (http_server_t *server);

/* Waits for running handlers, then closes all connections and frees SERVER. */
void http_server_stop (http_server_t *server);

#endif
