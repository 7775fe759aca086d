/* web_server.c -- HTTP/1.1 server on an event loop
 *
 * A connection carries one request at a time.  While a request is being answered the
 * parser is paused, and further input stays in the buffer.  The socket is read all the
 * same, so that a disconnect of the client is detected at once.  Reading stops when the
 * input ahead of the parser reaches the size of one request at the limits.  Beyond that EV_CLOSED
 * reports the disconnect as long as the kernel has room for what was sent, and else it is seen
 * after the answer.  While many bytes of answers are not sent, no further request is parsed.
 * Invariants: a request
 * is passed to the handler only when it is complete, and only by the event loop; exactly
 * one of web_reply (), web_reply_bytes () and the on_abandoned callback ends it.
 *
 * A socket that is closed while input arrives resets its connection, and what the client
 * has not received by then is lost.  After the last answer the server therefore closes
 * only its own side, and discards what it receives until the client closes the other.
 */
#include "reactor/web.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/unacked.h"
#include "reactor/tcp.h"
#include "reactor/web_budget.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <http_parser.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#define PART "web"
#define BACKLOG 512
/* A connection lingers for this long if its client does not close its side, and longer while the
 * client has not acknowledged all of the last answer. */
#define LINGER_TIMEOUT_MS 1000
/* Lower bound of the input that is read ahead of the parser, whatever the configuration says. */
#define AHEAD_BYTES_MIN 4096
/* No further request is parsed while more than this of earlier answers waits to be sent. */
#define UNSENT_BYTES_MAX (64 * 1024)
/* A connection is closed when its client has acknowledged no byte of its answers for this long...
 */
#define UNREAD_TIMEOUT_MS 10000
/* ...and at the latest this long after its last answer. */
#define LAST_ANSWER_TIMEOUT_MS 60000
/* Pause after accept () failed, as it does when descriptors have run out. */
#define ACCEPT_PAUSE_MS 100
/* A connection that has done nothing for this long is closed to make room for a new one. */
#define ROOM_IDLE_MS 1000
/* Buffers of an answered request that are larger are freed. */
#define KEPT_BUFFER_BYTES 1024
/* The answer to a request that would exceed the budget. */
#define RETRY_AFTER "Retry-After: 1\r\n"

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

static void resume_accepting (web_server_t *server, int64_t now_ms);

static void
connection_close (connection_t *connection)
{
  web_server_t *server = connection->server;

  if (connection->state == ANSWERING)
    {
      server->active--;
      connection->state = CLOSING;
      server->handlers->on_abandoned (&connection->request, server->data);
    }
  g_hash_table_remove (server->connections, connection);
  resume_accepting (server, clock_boot_ms ());
}

static void
connection_free (void *data)
{
  connection_t *connection = data;

  connection->server->held_bytes -= connection->counted_bytes;
  event_free (connection->peer_closed);
  bufferevent_free (connection->bufferevent);
  g_string_free (connection->target, TRUE);
  g_string_free (connection->host, TRUE);
  g_string_free (connection->deadline, TRUE);
  g_string_free (connection->header_name, TRUE);
  g_string_free (connection->body, TRUE);
  g_free (connection);
}

/* Counts what CONNECTION holds in memory: input, a request and answers that were not sent. */
static void
count_held_bytes (connection_t *connection)
{
  struct bufferevent *bufferevent = connection->bufferevent;
  gsize request_bytes = connection->target->allocated_len + connection->host->allocated_len
                        + connection->deadline->allocated_len
                        + connection->header_name->allocated_len + connection->body->allocated_len;

  int64_t bytes =
      (int64_t) (evbuffer_get_length (bufferevent_get_input (bufferevent)) + request_bytes
                 + evbuffer_get_length (bufferevent_get_output (bufferevent)))
      + WEB_CONNECTION_BYTES;

  connection->server->held_bytes += bytes - connection->counted_bytes;
  connection->counted_bytes = bytes;
}

static web_held_t
releasable (const connection_t *connection)
{
  struct bufferevent *bufferevent = connection->bufferevent;
  const struct evbuffer *in = bufferevent_get_input (bufferevent);
  const struct evbuffer *out = bufferevent_get_output (bufferevent);

  if (connection->state == ANSWERING)
    return (web_held_t){ WEB_WAITING,
                         (int64_t) (evbuffer_get_length (in) + evbuffer_get_length (out)) };
  bool idle =
      connection->state == READING && !connection->request_begun && evbuffer_get_length (out) == 0;
  return (web_held_t){ idle ? WEB_IDLE : WEB_UNFINISHED, connection->counted_bytes };
}

/* Closes CONNECTION at once: the kernel drops what it still has for the client. */
static void
connection_reset (connection_t *connection)
{
  const struct linger at_once = { .l_onoff = 1, .l_linger = 0 };

  (void) setsockopt (bufferevent_getfd (connection->bufferevent), SOL_SOCKET, SO_LINGER, &at_once,
                     sizeof at_once);
  connection_close (connection);
}

/* Gives connections but KEPT (may be NULL) up until the others are within the budget. */
static void
give_up_connections (web_server_t *server, const connection_t *kept)
{
  while (web_budget_is_exceeded (&server->budget, server->held_bytes))
    {
      GHashTableIter iter;
      void *key = NULL;
      connection_t *first = NULL;
      web_held_t first_held = { WEB_WAITING, 0 };

      g_hash_table_iter_init (&iter, server->connections);
      while (g_hash_table_iter_next (&iter, &key, NULL))
        {
          web_held_t held = releasable (key);
          if (key == kept || !web_budget_may_give_up (&held)
              || (first != NULL && !web_budget_goes_first (&held, &first_held)))
            continue;
          first = key;
          first_held = held;
        }
      if (first == NULL)
        return;
      server->limit_counts[WEB_LIMIT_BYTES]++;
      connection_reset (first);
    }
}

static void
free_large_buffer (GString **buffer)
{
  if ((*buffer)->allocated_len <= KEPT_BUFFER_BYTES)
    return;
  g_string_free (*buffer, TRUE);
  *buffer = g_string_new (NULL);
}

/* Frees what an answered request leaves behind. */
static void
release_request (connection_t *connection)
{
  free_large_buffer (&connection->target);
  free_large_buffer (&connection->host);
  free_large_buffer (&connection->deadline);
  free_large_buffer (&connection->header_name);
  free_large_buffer (&connection->body);
  count_held_bytes (connection);
}

static void
send_answer (connection_t *connection,
             int status,
             const char *headers,
             const void *body,
             size_t size)
{
  struct evbuffer *out = bufferevent_get_output (connection->bufferevent);
  size_t queued_bytes = evbuffer_get_length (out);
  bool keep_alive = connection->state != CLOSING && !connection->server->draining
                    && http_should_keep_alive (&connection->parser);

  evbuffer_add_printf (out,
                       "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                       "Content-Length: %zu\r\n%s%s\r\n",
                       status, http_status_str ((enum http_status) status), size,
                       headers != NULL ? headers : "", keep_alive ? "" : "Connection: close\r\n");
  if (size > 0)
    evbuffer_add (out, body, size);
  connection->answered_bytes += (int64_t) (evbuffer_get_length (out) - queued_bytes);
  traffic_add (&connection->server->traffic->sent, evbuffer_get_length (out) - queued_bytes);
  if (!keep_alive)
    connection->state = CLOSING;
}

/* --- parsing --- */

static int
on_message_begin (http_parser *parser)
{
  connection_t *connection = parser->data;

  g_string_truncate (connection->target, 0);
  g_string_truncate (connection->host, 0);
  g_string_truncate (connection->deadline, 0);
  g_string_truncate (connection->header_name, 0);
  g_string_truncate (connection->body, 0);
  connection->current_header = HEADER_OTHER;
  connection->header_bytes = 0;
  connection->too_large = false;
  return 0;
}

static bool
add_header_bytes (connection_t *connection, size_t size)
{
  connection->header_bytes += size;
  if ((int64_t) connection->header_bytes <= connection->server->limits.header_bytes_max)
    return true;
  connection->too_large = true;
  return false;
}

static int
on_target (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;

  if (!add_header_bytes (connection, size))
    return 1;
  g_string_append_len (connection->target, at, (gssize) size);
  return 0;
}

static int
on_header_field (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;

  if (!add_header_bytes (connection, size))
    return 1;
  if (connection->current_header != HEADER_OTHER)
    {
      connection->current_header = HEADER_OTHER;
      g_string_truncate (connection->header_name, 0);
    }
  g_string_append_len (connection->header_name, at, (gssize) size);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;
  const char *deadline = connection->server->deadline_header;

  if (!add_header_bytes (connection, size))
    return 1;
  if (strcasecmp (connection->header_name->str, "host") == 0)
    {
      connection->current_header = HEADER_HOST;
      g_string_append_len (connection->host, at, (gssize) size);
    }
  else if (deadline != NULL && strcasecmp (connection->header_name->str, deadline) == 0)
    {
      connection->current_header = HEADER_DEADLINE;
      g_string_append_len (connection->deadline, at, (gssize) size);
    }
  else
    g_string_truncate (connection->header_name, 0);
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;

  if ((int64_t) (connection->body->len + size) > connection->server->limits.body_bytes_max)
    {
      connection->too_large = true;
      return 1;
    }
  g_string_append_len (connection->body, at, (gssize) size);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_url = on_target,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

static void schedule_parsing (connection_t *connection);

/* The requests that wait for their answers use up the budget. */
static void
refuse_request (connection_t *connection)
{
  static const char full[] = "{\"error\":\"this host holds too many requests\"}";

  connection->server->limit_counts[WEB_LIMIT_REQUESTS]++;
  connection->since_ms = clock_boot_ms ();
  send_answer (connection, 503, RETRY_AFTER, full, sizeof full - 1);
  release_request (connection);
  schedule_parsing (connection);
}

static void
dispatch_request (connection_t *connection)
{
  web_server_t *server = connection->server;
  web_request_t *request = &connection->request;

  connection->request_begun = false;
  count_held_bytes (connection);
  give_up_connections (server, connection);
  if (!web_budget_may_serve (&server->budget, server->held_bytes))
    {
      refuse_request (connection);
      return;
    }
  connection->state = ANSWERING;
  server->active++;
  server->traffic->received.messages++;
  *request = (web_request_t){
    .method = http_method_str ((enum http_method) connection->parser.method),
    .target = connection->target->str,
    .host = connection->host->str,
    .body = connection->body->str,
    .body_bytes = connection->body->len,
    .deadline_value = connection->deadline->len > 0 ? connection->deadline->str : NULL,
    .received_at_ms = connection->since_ms,
    .idle_ms = connection->idle_ms,
  };
  server->handlers->on_request (request, server->data);
}

static void
send_parse_error (connection_t *connection)
{
  static const char too_large[] = "{\"error\":\"the request exceeds a size limit\"}";
  static const char invalid[] = "{\"error\":\"the request is not valid HTTP\"}";

  connection->state = CLOSING;
  bufferevent_disable (connection->bufferevent, EV_READ);
  if (connection->too_large)
    send_answer (connection, 413, NULL, too_large, sizeof too_large - 1);
  else
    send_answer (connection, 400, NULL, invalid, sizeof invalid - 1);
}

/* Backpressure: a client that doesn't read its answers gets no further ones until it does. */
static bool
may_begin_request (const connection_t *connection)
{
  const struct evbuffer *out = bufferevent_get_output (connection->bufferevent);

  return evbuffer_get_length (out) <= UNSENT_BYTES_MAX;
}

/* Parses the buffered input up to the end of one request. */
static void
parse_input (connection_t *connection)
{
  struct evbuffer *in = bufferevent_get_input (connection->bufferevent);

  while (connection->state == READING && evbuffer_get_length (in) > 0)
    {
      if (!connection->request_begun && !may_begin_request (connection))
        return;
      struct evbuffer_iovec chunk;
      if (evbuffer_peek (in, -1, NULL, &chunk, 1) < 1)
        return;
      if (!connection->request_begun)
        {
          int64_t now_ms = clock_boot_ms ();
          connection->request_begun = true;
          connection->idle_ms = now_ms - connection->since_ms;
          connection->since_ms = now_ms;
        }
      size_t used = http_parser_execute (&connection->parser, &parser_settings, chunk.iov_base,
                                         chunk.iov_len);
      enum http_errno failure = HTTP_PARSER_ERRNO (&connection->parser);
      connection->server->traffic->received.bytes += (int64_t) used;
      if (failure != HPE_OK && failure != HPE_PAUSED)
        {
          send_parse_error (connection);
          return;
        }
      if (failure == HPE_PAUSED)
        {
          http_parser_pause (&connection->parser, 0);
          evbuffer_drain (in, used);
          dispatch_request (connection);
          return;
        }
      evbuffer_drain (in, used);
    }
}

/* Returns how much input is read ahead of the parser. */
static size_t
ahead_bytes_max (const web_server_t *server)
{
  int64_t bytes = server->limits.header_bytes_max + server->limits.body_bytes_max;

  return (size_t) MAX (bytes, AHEAD_BYTES_MIN);
}

/* Stops or resumes reading.  A watermark of libevent would call on_readable () again and again
 * while the input is at it. */
static void
update_reading (connection_t *connection)
{
  struct evbuffer *in = bufferevent_get_input (connection->bufferevent);
  const web_server_t *server = connection->server;
  size_t ahead_bytes = evbuffer_get_length (in);
  bool stop = ahead_bytes >= ahead_bytes_max (server)
              || (connection->state == ANSWERING && ahead_bytes > 0
                  && !web_budget_may_read_ahead (&server->budget, server->held_bytes));

  if (stop == connection->reading_stopped || connection->state == LINGERING)
    return;
  if (stop)
    {
      bufferevent_disable (connection->bufferevent, EV_READ);
      event_add (connection->peer_closed, NULL);
    }
  else if (connection->state == CLOSING)
    return;
  else
    {
      event_del (connection->peer_closed);
      bufferevent_enable (connection->bufferevent, EV_READ);
    }
  connection->reading_stopped = stop;
}

static void
on_peer_closed (evutil_socket_t fd, short what, void *data)
{
  (void) fd;
  (void) what;
  connection_close (data);
}

static void
on_readable (struct bufferevent *bufferevent, void *data)
{
  connection_t *connection = data;
  struct evbuffer *in = bufferevent_get_input (bufferevent);

  if (connection->state == LINGERING)
    evbuffer_drain (in, evbuffer_get_length (in));
  else
    parse_input (connection);
  count_held_bytes (connection);
  update_reading (connection);
  give_up_connections (connection->server, NULL);
}

/* Has the event loop parse what arrived during a request.  The next request is not passed on at
 * once, since the handlers may have answered within a change of their state. */
static void
schedule_parsing (connection_t *connection)
{
  if (evbuffer_get_length (bufferevent_get_input (connection->bufferevent)) > 0)
    bufferevent_trigger (connection->bufferevent, EV_READ,
                         BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

static void
start_lingering (connection_t *connection)
{
  struct evbuffer *in = bufferevent_get_input (connection->bufferevent);

  connection->state = LINGERING;
  connection->since_ms = clock_boot_ms ();
  shutdown (bufferevent_getfd (connection->bufferevent), SHUT_WR);
  evbuffer_drain (in, evbuffer_get_length (in));
  event_del (connection->peer_closed);
  connection->reading_stopped = false;
  bufferevent_enable (connection->bufferevent, EV_READ);
}

static void
on_written (struct bufferevent *bufferevent, void *data)
{
  connection_t *connection = data;

  (void) bufferevent;
  if (connection->state == CLOSING)
    start_lingering (connection);
  else
    parse_input (connection);
  count_held_bytes (connection);
  update_reading (connection);
}

static void
on_event (struct bufferevent *bufferevent, short what, void *data)
{
  (void) bufferevent;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    connection_close (data);
}

/* --- accepting --- */

/* Closes the connection that has done nothing for longest, if it is long enough.  Returns whether
 * there was one. */
static bool
make_room (web_server_t *server, int64_t now_ms)
{
  GHashTableIter iter;
  void *key = NULL;
  connection_t *oldest = NULL;

  g_hash_table_iter_init (&iter, server->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      connection_t *connection = key;
      if (connection->state == ANSWERING || connection->request_begun
          || now_ms - connection->since_ms < ROOM_IDLE_MS
          || (oldest != NULL && connection->since_ms >= oldest->since_ms))
        continue;
      oldest = connection;
    }
  if (oldest == NULL)
    return false;
  server->limit_counts[WEB_LIMIT_ROOM]++;
  connection_close (oldest);
  return true;
}

static void
pause_accepting (web_server_t *server, web_limit_t cause, int64_t resume_at_ms)
{
  server->limit_counts[cause]++;
  server->accept_paused = true;
  server->accept_resume_at_ms = resume_at_ms;
  evconnlistener_disable (server->listener);
}

static void
resume_accepting (web_server_t *server, int64_t now_ms)
{
  if (!server->accept_paused || server->listener == NULL || now_ms < server->accept_resume_at_ms
      || !web_budget_may_accept (&server->budget, web_server_connections (server)))
    return;
  server->accept_paused = false;
  evconnlistener_enable (server->listener);
}

/* Accepts no more while the connections are as many as the budget allows. */
static void
limit_connections (web_server_t *server)
{
  int64_t now_ms = clock_boot_ms ();

  if (web_budget_may_accept (&server->budget, web_server_connections (server))
      || make_room (server, now_ms))
    return;
  pause_accepting (server, WEB_LIMIT_CONNECTIONS, now_ms);
}

/* Without a pause the event loop would try again at once, without end. */
static void
on_accept_error (struct evconnlistener *listener, void *data)
{
  web_server_t *server = data;
  int64_t now_ms = clock_boot_ms ();

  (void) listener;
  pause_accepting (server, WEB_LIMIT_DESCRIPTORS, now_ms + ACCEPT_PAUSE_MS);
  make_room (server, now_ms);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int size,
           void *data)
{
  web_server_t *server = data;
  connection_t *connection = g_new0 (connection_t, 1);

  (void) listener;
  (void) address;
  (void) size;
  tcp_set_options (fd);
  connection->server = server;
  connection->bufferevent =
      bufferevent_socket_new (loop_event_base (server->loop), fd, BEV_OPT_CLOSE_ON_FREE);
  connection->peer_closed =
      event_new (loop_event_base (server->loop), fd, EV_CLOSED, on_peer_closed, connection);
  connection->target = g_string_new (NULL);
  connection->host = g_string_new (NULL);
  connection->deadline = g_string_new (NULL);
  connection->header_name = g_string_new (NULL);
  connection->body = g_string_new (NULL);
  connection->since_ms = clock_boot_ms ();
  http_parser_init (&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  bufferevent_setcb (connection->bufferevent, on_readable, on_written, on_event, connection);
  g_hash_table_add (server->connections, connection);
  bufferevent_enable (connection->bufferevent, EV_READ | EV_WRITE);
  count_held_bytes (connection);
  limit_connections (server);
}

/* --- public --- */

int
web_server_start (loop_t *loop, const web_server_options_t *options, web_server_t **out)
{
  struct sockaddr_storage storage;
  socklen_t size = tcp_parse_address (options->address, &storage);
  web_server_t *server = g_new0 (web_server_t, 1);

  server->loop = loop;
  server->listener = size == 0
                         ? NULL
                         : evconnlistener_new_bind (
                             loop_event_base (loop), on_accept, server,
                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                             BACKLOG, (struct sockaddr *) &storage, (int) size);
  if (server->listener == NULL)
    {
      g_free (server);
      return ERROR_IO;
    }
  evconnlistener_set_error_cb (server->listener, on_accept_error);
  server->budget = options->budget;
  if (server->budget.connections_max == 0)
    server->budget = web_budget_for_callers (&(web_process_limits_t){ 0 });
  server->deadline_header = g_strdup (options->deadline_header);
  server->limits = options->limits;
  server->handlers = options->handlers;
  server->data = options->data;
  server->traffic = options->traffic != NULL ? options->traffic : &server->uncounted;
  server->connections = g_hash_table_new_full (NULL, NULL, connection_free, NULL);
  *out = server;
  return 0;
}

void
web_server_set_limits (web_server_t *server, const web_server_limits_t *limits)
{
  server->limits = *limits;
}

void
web_reply (web_request_t *request, int status, const char *headers, const char *body)
{
  web_reply_bytes (request, status, headers, body, body != NULL ? strlen (body) : 0);
}

void
web_reply_bytes (web_request_t *request,
                 int status,
                 const char *headers,
                 const void *body,
                 size_t size)
{
  connection_t *connection = (connection_t *) ((char *) request - offsetof (connection_t, request));

  connection->server->active--;
  connection->state = READING;
  connection->since_ms = clock_boot_ms ();
  send_answer (connection, status, headers, body, size);
  release_request (connection);
  schedule_parsing (connection);
}

void
web_server_drain (web_server_t *server, int64_t idle_ms)
{
  server->draining = true;
  server->drain_idle_ms = idle_ms;
}

void
web_server_stop_listening (web_server_t *server)
{
  g_clear_pointer (&server->listener, evconnlistener_free);
}

int32_t
web_server_connections (const web_server_t *server)
{
  return (int32_t) g_hash_table_size (server->connections);
}

int32_t
web_server_active_requests (const web_server_t *server)
{
  return server->active;
}

int64_t
web_server_unacked_bytes (const web_server_t *server)
{
  GHashTableIter iter;
  void *key = NULL;
  int64_t bytes = 0;

  g_hash_table_iter_init (&iter, server->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct bufferevent *bufferevent = ((connection_t *) key)->bufferevent;
      bytes += (int64_t) evbuffer_get_length (bufferevent_get_output (bufferevent));
      bytes += unacked_bytes (bufferevent_getfd (bufferevent));
    }
  return bytes;
}

web_server_load_t
web_server_load (const web_server_t *server)
{
  web_server_load_t load = { .connections = web_server_connections (server),
                             .held_bytes = server->held_bytes,
                             .budget = server->budget };

  memcpy (load.limit_counts, server->limit_counts, sizeof load.limit_counts);
  return load;
}

/* Returns whether the client has acknowledged no byte of its answers for too long.  The kernel is
 * asked only when the time is up, since it counts for each call. */
static bool
is_unread (connection_t *connection, int64_t now_ms)
{
  struct bufferevent *bufferevent = connection->bufferevent;
  int64_t queued_bytes = (int64_t) evbuffer_get_length (bufferevent_get_output (bufferevent));

  if (queued_bytes == 0 && connection->state != LINGERING)
    {
      connection->unread_close_at_ms = 0;
      return false;
    }
  if (connection->unread_close_at_ms == 0)
    {
      connection->unread_close_at_ms = now_ms + UNREAD_TIMEOUT_MS;
      return false;
    }
  if (now_ms <= connection->unread_close_at_ms)
    return false;
  int64_t acked_bytes =
      connection->answered_bytes - queued_bytes - unacked_bytes (bufferevent_getfd (bufferevent));
  bool progress = acked_bytes > connection->acked_bytes;
  if (!progress)
    connection->server->limit_counts[WEB_LIMIT_UNREAD]++;
  connection->acked_bytes = acked_bytes;
  connection->unread_close_at_ms = now_ms + UNREAD_TIMEOUT_MS;
  return !progress;
}

/* Returns whether a connection has been idle, a request incomplete, or answers unread for too
 * long.  While a request waits for its answer, no timeout applies. */
static bool
is_timed_out (connection_t *connection, int64_t now_ms)
{
  const web_server_t *server = connection->server;

  if (connection->state == ANSWERING)
    return false;
  if (is_unread (connection, now_ms))
    return true;
  if (connection->state == LINGERING && now_ms - connection->since_ms > LINGER_TIMEOUT_MS
      && unacked_bytes (bufferevent_getfd (connection->bufferevent)) == 0)
    return true;
  if (connection->state != READING)
    return now_ms - connection->since_ms > LAST_ANSWER_TIMEOUT_MS;
  int64_t limit_ms = connection->request_begun ? server->limits.header_timeout_ms
                     : server->draining        ? server->drain_idle_ms
                                               : server->limits.idle_timeout_ms;
  return now_ms - connection->since_ms > limit_ms;
}

void
web_server_tick (web_server_t *server, int64_t now_ms)
{
  GHashTableIter iter;
  void *key = NULL;
  GPtrArray *timed_out = NULL;

  g_hash_table_iter_init (&iter, server->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (is_timed_out (key, now_ms))
      {
        if (timed_out == NULL)
          timed_out = g_ptr_array_new ();
        g_ptr_array_add (timed_out, key);
      }
  for (guint i = 0; timed_out != NULL && i < timed_out->len; i++)
    connection_close (timed_out->pdata[i]);
  if (timed_out != NULL)
    g_ptr_array_unref (timed_out);
  give_up_connections (server, NULL);
  if (server->accept_paused && server->listener != NULL
      && !web_budget_may_accept (&server->budget, web_server_connections (server)))
    make_room (server, now_ms);
  resume_accepting (server, now_ms);
}

void
web_server_free (web_server_t *server)
{
  if (server == NULL)
    return;
  web_server_stop_listening (server);
  g_hash_table_unref (server->connections);
  g_free (server->deadline_header);
  g_free (server);
}
