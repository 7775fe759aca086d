/* server.h -- an HTTP listener over CivetWeb, with whole bodies and bounded sizes
 *
 * Each connection has a thread of the listener until it closes, so a handler
 * may block.  Listeners are independent: an overloaded one does not delay
 * another.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <glib.h>
#include <stdint.h>

typedef struct http_server_t http_server_t;

typedef struct
{
  const char *method;
  const char *path;  /* decoded, without the query */
  const char *query; /* undecoded, may be NULL */
  const char *key;   /* Idempotency-Key header, or NULL */
  GBytes *body;      /* whole; empty if there is none */
  int body_error;    /* 0, or why there is no whole body: ERROR_TOO_LARGE, ERROR_OVERLOADED if
                      * there is no room for it now, ERROR_BAD_REQUEST if it was cut short */
} http_request_t;

typedef struct
{
  int status;
  const char *content_type; /* static; NULL stands for JSON */
  GBytes *body;             /* owned by the response; NULL is empty */
  int64_t retry_after_s;    /* 0 for no Retry-After header */
} http_response_t;

/* Answers REQUEST by filling RESPONSE.  Runs on a thread of the listener. */
typedef void (*http_handler_t) (const http_request_t *request,
                                http_response_t *response,
                                void *data);

typedef struct
{
  const char *address; /* IP:port */
  int64_t threads;     /* connections served at once */
  int64_t max_body_bytes;
  int64_t max_total_bytes; /* of all bodies held at once */
  http_handler_t handler;
  void *data;
} http_server_options_t;

/* Starts a listener.  Returns 0 and *SERVER, or ERROR_IO if the address cannot
 * be listened on. */
int http_server_start (const http_server_options_t *options, http_server_t **server);

/* Requests that are being read or answered at this moment.  Any thread. */
int32_t http_server_active (const http_server_t *server);

/* From now on every answer closes its connection.  Any thread. */
void http_server_drain (http_server_t *server);

/* Waits for running handlers, then closes all connections and frees SERVER. */
void http_server_stop (http_server_t *server);

#endif
