/* web.h -- HTTP/1.1 on an event loop: a listener and a client with kept connections
 *
 * For processes with thousands of calls in flight and a fraction of a core, where
 * lib/http's thread for each connection would cost too much.  Parsing is
 * http_parser's, buffering libevent's.
 *
 * All functions and callbacks run on the loop's thread.  Deadlines are on the
 * boot clock; they are checked when web_tick () or webcall_tick () is called.
 */
#ifndef REACTOR_WEB_H
#define REACTOR_WEB_H

#include "reactor/loop.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* --- listener --- */

typedef struct web_t web_t;
typedef struct web_request_t web_request_t;

struct web_request_t
{
  const char *method;
  const char *target; /* path and query as sent */
  const char *host;   /* "" without a Host header */
  const char *body;   /* NUL-terminated beyond BODY_BYTES */
  size_t body_bytes;
  const char *deadline_header; /* value of the header named in the options, or NULL */
  int64_t received_at_ms;      /* when its first byte was read */
  void *user;                  /* the handler's */
};

typedef struct
{
  /* A whole request.  Answer it with web_reply (), now or later. */
  void (*request) (web_request_t *request, void *data);
  /* The caller has closed its connection before the answer; REQUEST is gone after
   * this call. */
  void (*abandoned) (web_request_t *request, void *data);
} web_ops_t;

typedef struct
{
  int64_t header_bytes_max;
  int64_t body_bytes_max;
  int64_t header_timeout_ms; /* from the first byte of a request to its end */
  int64_t idle_timeout_ms;   /* of a connection without a request */
} web_bounds_t;

typedef struct
{
  const char *address;         /* IP:port */
  const char *deadline_header; /* name of the header that web_request_t gives, or NULL */
  web_bounds_t bounds;
  const web_ops_t *ops;
  void *data;
} web_options_t;

/* Listens.  Returns 0 and *WEB, or ERROR_IO. */
int web_listen (loop_t *loop, const web_options_t *options, web_t **web);
void web_set_bounds (web_t *web, const web_bounds_t *bounds);

/* Answers REQUEST, which is gone afterwards.  HEADERS are whole lines, each ended
 * by CRLF, or NULL. */
void web_reply (web_request_t *request, int status, const char *headers, const char *body);
void web_reply_bytes (web_request_t *request,
                      int status,
                      const char *headers,
                      const void *body,
                      size_t size);

/* From now on every answer closes its connection, and idle ones are closed as
 * soon as they have been quiet for QUIET_MS. */
void web_drain (web_t *web, int64_t quiet_ms);

/* Stops accepting; kept connections go on. */
void web_stop_listening (web_t *web);

/* Open connections, and requests that are being read or answered. */
int32_t web_connections (const web_t *web);
int32_t web_active (const web_t *web);

void web_tick (web_t *web, int64_t now_ms);
void web_free (web_t *web);

/* --- client --- */

typedef struct webclient_t webclient_t;
typedef struct webcall_t webcall_t;

typedef enum
{
  WEBCALL_ANSWERED,
  WEBCALL_REFUSED, /* nothing listens there: the request was not delivered */
  WEBCALL_BROKEN,  /* the connection broke: the request may have been carried out */
  WEBCALL_TIMEOUT  /* no whole answer before the deadline: likewise */
} webcall_result_t;

typedef struct
{
  webcall_result_t result;
  int status;       /* WEBCALL_ANSWERED only */
  const char *body; /* NUL-terminated beyond BODY_BYTES */
  size_t body_bytes;
} webcall_answer_t;

typedef void (*webcall_done_t) (const webcall_answer_t *answer, void *data);

typedef struct
{
  const char *address; /* IP:port */
  const char *method;
  const char *target;
  const char *headers; /* whole lines, or NULL */
  const void *body;
  size_t body_bytes;
  int64_t deadline_at_ms;
  webcall_done_t done; /* called exactly once, never from within webcall_start () */
  void *data;
} webcall_options_t;

webclient_t *webclient_new (loop_t *loop);

/* Sends a request on an idle connection to the address, or on a new one. */
void webcall_start (webclient_t *client, const webcall_options_t *options);

/* Closes idle connections to ADDRESS: a silent channel may take others with it. */
void webclient_forget (webclient_t *client, const char *address);

/* Ends calls whose deadline has passed, and closes connections that were idle for
 * long. */
void webclient_tick (webclient_t *client, int64_t now_ms);
void webclient_free (webclient_t *client);

#endif
