/* web_server_request.c -- reads requests from connections, passes them on and sends the answers
 *
 * A connection carries one request at a time.  While a request is being answered the
 * parser is paused, and further input stays in the buffer.  The socket is read all the
 * same, so that a disconnect of the client is detected at once.  Reading stops when the
 * input ahead of the parser reaches the size of one request at the limits.  Beyond that EV_CLOSED
 * reports the disconnect as long as the kernel has room for what was sent, and else it is seen
 * after the answer.  While many bytes of answers are not sent, no further request is parsed.
 *
 * Invariants: a request is passed to the handler only when it is complete, and only by the event
 * loop; exactly one of web_reply (), web_reply_bytes () and the on_abandoned callback ends it.
 *
 * A socket that is closed while input arrives resets its connection, and what the client
 * has not received by then is lost.  After the last answer the server therefore closes
 * only its own side, and discards what it receives until the client closes the other.
 */
#include "reactor/web_server_private.h"

#include "base/clock.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <string.h>
#include <sys/socket.h>

/* Lower bound of the input that is read ahead of the parser, whatever the configuration says. */
#define AHEAD_BYTES_MIN 4096
/* No further request is parsed while more than this of earlier answers waits to be sent. */
#define UNSENT_BYTES_MAX (64 * 1024)
/* Buffers of an answered request that are larger are freed. */
#define KEPT_BUFFER_BYTES 1024
/* The answer to a request that would exceed the budget. */
#define RETRY_AFTER "Retry-After: 1\r\n"

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
  web_count_held_bytes (connection);
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

/* Has the event loop parse what arrived during a request.  The next request is not passed on at
 * once, since the handlers may have answered within a change of their state. */
static void
schedule_parsing (connection_t *connection)
{
  if (evbuffer_get_length (bufferevent_get_input (connection->bufferevent)) > 0)
    bufferevent_trigger (connection->bufferevent, EV_READ,
                         BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

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
  web_count_held_bytes (connection);
  web_give_up_connections (server, connection);
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
      size_t used = http_parser_execute (&connection->parser, &web_parser_settings, chunk.iov_base,
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

/* Stops or resumes reading.  A watermark of libevent would call web_on_readable () again and again
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

void
web_on_peer_closed (evutil_socket_t fd, short what, void *data)
{
  (void) fd;
  (void) what;
  web_connection_close (data);
}

void
web_on_readable (struct bufferevent *bufferevent, void *data)
{
  connection_t *connection = data;
  struct evbuffer *in = bufferevent_get_input (bufferevent);

  if (connection->state == LINGERING)
    evbuffer_drain (in, evbuffer_get_length (in));
  else
    parse_input (connection);
  web_count_held_bytes (connection);
  update_reading (connection);
  web_give_up_connections (connection->server, NULL);
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

void
web_on_written (struct bufferevent *bufferevent, void *data)
{
  connection_t *connection = data;

  (void) bufferevent;
  if (connection->state == CLOSING)
    start_lingering (connection);
  else
    parse_input (connection);
  web_count_held_bytes (connection);
  update_reading (connection);
}

void
web_on_event (struct bufferevent *bufferevent, short what, void *data)
{
  (void) bufferevent;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    web_connection_close (data);
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
