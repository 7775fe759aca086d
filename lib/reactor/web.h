/* web.h -- HTTP/1.1 server and client with persistent connections on an event loop
 *
 * Serves processes that have thousands of calls in flight on a fraction of a core,
 * where lib/http's thread for each connection would cost too much.  http_parser
 * parses the messages and libevent buffers them.
 *
 * All functions and callbacks run on the loop's thread.  Times are milliseconds of
 * the boot clock.  Deadlines and timeouts are checked only in web_server_tick () and
 * web_client_tick (), so the owner of the loop must call these periodically.
 */
#ifndef REACTOR_WEB_H
#define REACTOR_WEB_H

#include "base/traffic.h"
#include "reactor/loop.h"
#include "reactor/web_budget.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* --- server --- */

typedef struct web_server_t web_server_t;
typedef struct web_request_t web_request_t;

struct web_request_t
{
  const char *method;
  const char *target; /* path and query as sent */
  const char *host;   /* "" if there is no Host header */
  const char *body;   /* followed by a NUL that BODY_BYTES does not count */
  size_t body_bytes;
  const char *deadline_value; /* value of the options' deadline_header, or NULL */
  int64_t received_at_ms;     /* when the first byte was read */
  int64_t idle_ms; /* from when the connection was accepted, or the last answer, until then */
  void *user_data; /* free for use by the handlers */
};

typedef struct
{
  /* Called with a complete request, which must be answered with web_reply () or
   * web_reply_bytes (), either within the callback or later.  Never called from within these
   * two, even if the client has sent its next request ahead of the answer. */
  void (*on_request) (web_request_t *request, void *data);
  /* Called when the client closed its connection before it was answered.  REQUEST
   * is invalid once the callback returns and must not be answered. */
  void (*on_abandoned) (web_request_t *request, void *data);
} web_server_handlers_t;

typedef struct
{
  int64_t header_bytes_max;
  int64_t body_bytes_max;
  int64_t header_timeout_ms; /* from the first to the last byte of a request */
  int64_t idle_timeout_ms;   /* of a connection between requests */
} web_server_limits_t;

typedef struct
{
  const char *address;         /* IP:port */
  const char *deadline_header; /* name of the header copied to deadline_value, or NULL */
  web_server_limits_t limits;
  const web_server_handlers_t *handlers;
  void *data;
  traffic_count_t *traffic; /* counts requests and answers, or NULL; must outlive the server */
  web_budget_t budget;      /* of all connections; all 0: no limit */
} web_server_options_t;

/* Why a connection was not accepted, was closed, or got no answer of the handlers. */
typedef enum
{
  WEB_LIMIT_CONNECTIONS, /* accepting paused: as many connections as the budget allows */
  WEB_LIMIT_DESCRIPTORS, /* accepting paused: accept () failed */
  WEB_LIMIT_ROOM,        /* closed after doing nothing, to make room for a new one */
  WEB_LIMIT_BYTES,       /* closed, since all connections held more bytes than the budget */
  WEB_LIMIT_REQUESTS,    /* answered 503: the requests that wait use up the budget */
  WEB_LIMIT_UNREAD,      /* closed: its client did not take its answers */
  WEB_LIMIT_COUNT
} web_limit_t;

typedef struct
{
  int32_t connections;
  int64_t held_bytes; /* input that was not parsed, requests that are incomplete or not answered,
                         answers that were not passed to the kernel, and the connections */
  web_budget_t budget;
  int64_t limit_counts[WEB_LIMIT_COUNT]; /* since the start */
} web_server_load_t;

/* Of what a client sends ahead of an answer, as much is read as one request at the limits takes;
 * the rest stays with the client and the kernel until the answer is sent.  A client that doesn't
 * read its answers is served again once it does. */

/* Listens on the address in OPTIONS, whose handlers must outlive the server.  Returns 0
 * and *SERVER (web_server_free), or ERROR_IO. */
int web_server_start (loop_t *loop, const web_server_options_t *options, web_server_t **server);

/* Replaces the limits, also for connections that are already open. */
void web_server_set_limits (web_server_t *server, const web_server_limits_t *limits);

/* Answers REQUEST, which is invalid afterwards.  HEADERS holds complete header lines,
 * each ending with CRLF, or is NULL.  BODY is copied and may be NULL. */
void web_reply (web_request_t *request, int status, const char *headers, const char *body);
void web_reply_bytes (web_request_t *request,
                      int status,
                      const char *headers,
                      const void *body,
                      size_t size);

/* From now on each connection is closed after its next answer, once the client has
 * received that, and connections between requests are closed after IDLE_MS. */
void web_server_drain (web_server_t *server, int64_t idle_ms);

/* Stops accepting connections; those that are open remain in use.  No-op if it has stopped. */
void web_server_stop_listening (web_server_t *server);

/* Return the number of open connections, and of requests passed to on_request () and
 * not yet answered. */
int32_t web_server_connections (const web_server_t *server);
int32_t web_server_active_requests (const web_server_t *server);

/* Returns how many bytes of answers the clients have not acknowledged. */
int64_t web_server_unacked_bytes (const web_server_t *server);

/* Returns what the connections hold, against the budget. */
web_server_load_t web_server_load (const web_server_t *server);

/* Closes connections that exceeded the timeout for idleness or for an incomplete request, and those
 * whose client doesn't take its answers: no byte acknowledged for 10 s, or not all of the last
 * answer after 60 s.  A request that waits for its answer has no timeout here. */
void web_server_tick (web_server_t *server, int64_t now_ms);

/* Closes the listener and all connections without calling on_abandoned ().  NULL is a
 * no-op. */
void web_server_free (web_server_t *server);

/* --- client --- */

typedef struct web_client_t web_client_t;
typedef struct web_call_t web_call_t;

typedef enum
{
  WEB_CALL_ANSWERED,
  WEB_CALL_CONNECT_REFUSED, /* connection refused: the request was not delivered */
  WEB_CALL_CONNECTION_LOST, /* the request may have been carried out */
  WEB_CALL_TIMEOUT          /* no complete answer by the deadline; likewise */
} web_call_result_t;

typedef struct
{
  web_call_result_t result;
  int status;       /* WEB_CALL_ANSWERED only */
  const char *body; /* followed by a NUL that BODY_BYTES does not count */
  size_t body_bytes;
} web_call_answer_t;

/* Reports the end of a call.  ANSWER and its body are valid during the callback only. */
typedef void (*web_call_done_t) (const web_call_answer_t *answer, void *data);

typedef struct
{
  const char *address; /* IP:port */
  const char *method;
  const char *target;
  const char *headers; /* complete lines, each ending with CRLF, or NULL */
  const void *body;
  size_t body_bytes;
  int64_t deadline_at_ms;
  web_call_done_t done; /* called exactly once, never from within web_call_start () */
  void *data;
  traffic_count_t *traffic; /* counts requests and answers, or NULL; must outlive the client */
} web_call_options_t;

web_client_t *web_client_new (loop_t *loop);

/* Sends a request on an idle connection to the address, or on a new one.  The strings
 * and the body in OPTIONS are copied. */
void web_call_start (web_client_t *client, const web_call_options_t *options);

/* Returns how many bytes of requests wait in connections or have not been acknowledged. */
int64_t web_client_unacked_bytes (const web_client_t *client);

/* Closes the idle connections to ADDRESS.  To be called after a failed call: if the
 * host is unreachable, they are dead as well. */
void web_client_close_idle (web_client_t *client, const char *address);

/* Sets for how long this host itself delays its calls.  A call ends without an answer only that
 * much after its deadline. */
void web_client_set_own_delay (web_client_t *client, int64_t delay_ms);

/* Ends calls whose deadline has passed or whose connect failed, and closes connections
 * that exceeded the idle timeout. */
void web_client_tick (web_client_t *client, int64_t now_ms);

/* Closes all connections; the callbacks of calls in flight are not called.  NULL is a
 * no-op. */
void web_client_free (web_client_t *client);

#endif
