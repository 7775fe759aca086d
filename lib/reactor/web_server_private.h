/* web_server_private.h -- what web_server.c and the other web_server_*.c files share
 *
 * web_server.c accepts connections and holds the public functions.  web_server_request.c reads and
 * answers requests, with the callbacks of web_server_parser.c, and web_server_connection.c counts
 * and closes connections.  All functions belong to the thread of the event loop.
 */
#ifndef REACTOR_WEB_SERVER_PRIVATE_H
#define REACTOR_WEB_SERVER_PRIVATE_H

#include "reactor/web.h"
#include "reactor/web_budget.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct connection_t connection_t;

struct web_server_t
{
  loop_t *loop;
  struct evconnlistener *listener;
  char *deadline_header;
  web_server_limits_t limits;
  const web_server_handlers_t *handlers;
  void *data;
  traffic_count_t *traffic;  /* not NULL */
  traffic_count_t uncounted; /* stands in for missing counts */
  GHashTable *connections;
  int32_t active;
  web_budget_t budget;
  int64_t held_bytes; /* by all connections */
  int64_t limit_counts[WEB_LIMIT_COUNT];
  bool accept_paused;
  int64_t accept_resume_at_ms; /* not earlier */
  bool draining;
  int64_t drain_idle_ms; /* idle timeout while draining */
};

typedef enum
{
  READING,   /* between requests, or within an incomplete one */
  ANSWERING, /* the handler is processing the request */
  CLOSING,   /* the last answer is being sent */
  LINGERING  /* all is sent; closed once the client has closed its side, or after a while */
} connection_state_t;

typedef enum
{
  HEADER_OTHER,
  HEADER_HOST,
  HEADER_DEADLINE
} header_kind_t;

struct connection_t
{
  web_server_t *server;
  struct bufferevent *bufferevent;
  struct event *peer_closed; /* added while reading is stopped */
  http_parser parser;
  connection_state_t state;
  bool request_begun; /* a request has been received in part */
  bool too_large;
  bool reading_stopped;
  int64_t since_ms; /* time of the request's first byte, of the last answer, or of its last byte */
  int64_t idle_ms;  /* before the first byte of the request */
  int64_t counted_bytes;      /* part of the server's held_bytes */
  int64_t answered_bytes;     /* sum of all answers */
  int64_t acked_bytes;        /* of these, as of the last progress */
  int64_t unread_close_at_ms; /* unless there is progress by then; 0: nothing is unread */
  size_t header_bytes;
  GString *target;
  GString *host;
  GString *deadline;
  GString *header_name;
  header_kind_t current_header;
  GString *body;
  web_request_t request;
};

/* --- web_server_connection.c --- */

/* Accepts again after a pause, if its time is over and the budget has room. */
void web_resume_accepting (web_server_t *server, int64_t now_ms);

/* Closes CONNECTION and frees it.  A request that is being answered is abandoned. */
void web_connection_close (connection_t *connection);

/* The GDestroyNotify of the server's connections; DATA is a connection_t. */
void web_connection_free (void *data);

/* Counts what CONNECTION holds in memory: input, a request and answers that were not sent. */
void web_count_held_bytes (connection_t *connection);

/* Gives connections but KEPT (may be NULL) up until the others are within the budget. */
void web_give_up_connections (web_server_t *server, const connection_t *kept);

/* Returns whether a connection has been idle, a request incomplete, or answers unread for too
 * long.  While a request waits for its answer, no timeout applies. */
bool web_is_timed_out (connection_t *connection, int64_t now_ms);

/* --- web_server_parser.c --- */

/* Callbacks for the parser of a connection_t, which is the parser's data.  They fill the request's
 * texts, set too_large at a limit, and pause the parser at the end of a request. */
extern const http_parser_settings web_parser_settings;

/* --- web_server_request.c --- */

/* Callbacks of libevent; DATA is the connection_t. */
void web_on_peer_closed (evutil_socket_t fd, short what, void *data);
void web_on_readable (struct bufferevent *bufferevent, void *data);
void web_on_written (struct bufferevent *bufferevent, void *data);
void web_on_event (struct bufferevent *bufferevent, short what, void *data);

#endif
