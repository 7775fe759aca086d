/* web_server.c -- the HTTP/1.1 listener on an event loop
 *
 * A connection carries one request at a time: while one is being answered the
 * parser is paused, and what the caller has already sent waits in the buffer.
 * Reading stays on all the same, so that a caller that hangs up is noticed at
 * once.  Invariant: a request is handed to the handler only when it is whole,
 * and exactly one of web_reply () and the abandoned callback ends it.
 */
#include "reactor/web.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "reactor/dial.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <http_parser.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#define PART "web"
#define BACKLOG 512

typedef struct connection_t connection_t;

struct web_t
{
  loop_t *loop;
  struct evconnlistener *listener;
  char *deadline_header;
  web_bounds_t bounds;
  const web_ops_t *ops;
  void *data;
  GHashTable *connections;
  int32_t active;
  bool draining;
  int64_t quiet_ms; /* idle connections are closed after this while draining */
};

typedef enum
{
  READING,   /* between requests, or a part of one has come */
  ANSWERING, /* the handler has the request */
  CLOSING    /* closed as soon as the answer is sent */
} phase_t;

typedef enum
{
  HEADER_OTHER,
  HEADER_HOST,
  HEADER_DEADLINE
} header_t;

struct connection_t
{
  web_t *web;
  struct bufferevent *channel;
  http_parser parser;
  phase_t phase;
  bool begun; /* a part of a request has come */
  bool too_large;
  int64_t since_ms; /* of the request's first byte, or of the last answer */
  size_t header_bytes;
  GString *target;
  GString *host;
  GString *deadline;
  GString *field;
  header_t header;
  GString *body;
  web_request_t request;
};

static void
connection_close (connection_t *connection)
{
  web_t *web = connection->web;

  if (connection->phase == ANSWERING)
    {
      web->active--;
      connection->phase = CLOSING;
      web->ops->abandoned (&connection->request, web->data);
    }
  g_hash_table_remove (web->connections, connection);
}

static void
connection_free (void *data)
{
  connection_t *connection = data;

  bufferevent_free (connection->channel);
  g_string_free (connection->target, TRUE);
  g_string_free (connection->host, TRUE);
  g_string_free (connection->deadline, TRUE);
  g_string_free (connection->field, TRUE);
  g_string_free (connection->body, TRUE);
  g_free (connection);
}

static void
send_answer (connection_t *connection,
             int status,
             const char *headers,
             const void *body,
             size_t size)
{
  struct evbuffer *out = bufferevent_get_output (connection->channel);
  bool keep = connection->phase != CLOSING && !connection->web->draining
              && http_should_keep_alive (&connection->parser);

  evbuffer_add_printf (out,
                       "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                       "Content-Length: %zu\r\n%s%s\r\n",
                       status, http_status_str ((enum http_status) status), size,
                       headers != NULL ? headers : "", keep ? "" : "Connection: close\r\n");
  if (size > 0)
    evbuffer_add (out, body, size);
  if (!keep)
    connection->phase = CLOSING;
}

/* --- parsing --- */

static int
on_begin (http_parser *parser)
{
  connection_t *connection = parser->data;

  g_string_truncate (connection->target, 0);
  g_string_truncate (connection->host, 0);
  g_string_truncate (connection->deadline, 0);
  g_string_truncate (connection->field, 0);
  g_string_truncate (connection->body, 0);
  connection->header = HEADER_OTHER;
  connection->header_bytes = 0;
  connection->too_large = false;
  return 0;
}

static bool
count_header (connection_t *connection, size_t size)
{
  connection->header_bytes += size;
  if ((int64_t) connection->header_bytes <= connection->web->bounds.header_bytes_max)
    return true;
  connection->too_large = true;
  return false;
}

static int
on_target (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;

  if (!count_header (connection, size))
    return 1;
  g_string_append_len (connection->target, at, (gssize) size);
  return 0;
}

static int
on_field (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;

  if (!count_header (connection, size))
    return 1;
  if (connection->header != HEADER_OTHER)
    {
      connection->header = HEADER_OTHER;
      g_string_truncate (connection->field, 0);
    }
  g_string_append_len (connection->field, at, (gssize) size);
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;
  const char *deadline = connection->web->deadline_header;

  if (!count_header (connection, size))
    return 1;
  if (strcasecmp (connection->field->str, "host") == 0)
    {
      connection->header = HEADER_HOST;
      g_string_append_len (connection->host, at, (gssize) size);
    }
  else if (deadline != NULL && strcasecmp (connection->field->str, deadline) == 0)
    {
      connection->header = HEADER_DEADLINE;
      g_string_append_len (connection->deadline, at, (gssize) size);
    }
  else
    g_string_truncate (connection->field, 0);
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;

  if ((int64_t) (connection->body->len + size) > connection->web->bounds.body_bytes_max)
    {
      connection->too_large = true;
      return 1;
    }
  g_string_append_len (connection->body, at, (gssize) size);
  return 0;
}

static int
on_whole (http_parser *parser)
{
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_begin,
  .on_url = on_target,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_body = on_body,
  .on_message_complete = on_whole,
};

static void
hand_over (connection_t *connection)
{
  web_t *web = connection->web;
  web_request_t *request = &connection->request;

  connection->phase = ANSWERING;
  connection->begun = false;
  web->active++;
  *request = (web_request_t){
    .method = http_method_str ((enum http_method) connection->parser.method),
    .target = connection->target->str,
    .host = connection->host->str,
    .body = connection->body->str,
    .body_bytes = connection->body->len,
    .deadline_header = connection->deadline->len > 0 ? connection->deadline->str : NULL,
    .received_at_ms = connection->since_ms,
  };
  web->ops->request (request, web->data);
}

static void
refuse_input (connection_t *connection)
{
  static const char too_large[] = "{\"error\":\"the request exceeds a size limit\"}";
  static const char invalid[] = "{\"error\":\"the request is not valid HTTP\"}";

  connection->phase = CLOSING;
  bufferevent_disable (connection->channel, EV_READ);
  if (connection->too_large)
    send_answer (connection, 413, NULL, too_large, sizeof too_large - 1);
  else
    send_answer (connection, 400, NULL, invalid, sizeof invalid - 1);
}

/* Parses what has come, up to the end of one request. */
static void
take_input (connection_t *connection)
{
  struct evbuffer *in = bufferevent_get_input (connection->channel);

  while (connection->phase == READING && evbuffer_get_length (in) > 0)
    {
      struct evbuffer_iovec piece;
      if (evbuffer_peek (in, -1, NULL, &piece, 1) < 1)
        return;
      if (!connection->begun)
        {
          connection->begun = true;
          connection->since_ms = clock_boot_ms ();
        }
      size_t used = http_parser_execute (&connection->parser, &parser_settings, piece.iov_base,
                                         piece.iov_len);
      enum http_errno failure = HTTP_PARSER_ERRNO (&connection->parser);
      if (failure != HPE_OK && failure != HPE_PAUSED)
        {
          refuse_input (connection);
          return;
        }
      if (failure == HPE_PAUSED)
        {
          http_parser_pause (&connection->parser, 0);
          evbuffer_drain (in, used);
          hand_over (connection);
          return;
        }
      evbuffer_drain (in, used);
    }
}

static void
on_readable (struct bufferevent *channel, void *data)
{
  (void) channel;
  take_input (data);
}

static void
on_written (struct bufferevent *channel, void *data)
{
  connection_t *connection = data;

  (void) channel;
  if (connection->phase == CLOSING)
    connection_close (connection);
}

static void
on_event (struct bufferevent *channel, short what, void *data)
{
  (void) channel;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    connection_close (data);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int size,
           void *data)
{
  web_t *web = data;
  connection_t *connection = g_new0 (connection_t, 1);

  (void) listener;
  (void) address;
  (void) size;
  dial_tune (fd);
  connection->web = web;
  connection->channel = bufferevent_socket_new (loop_base (web->loop), fd, BEV_OPT_CLOSE_ON_FREE);
  connection->target = g_string_new (NULL);
  connection->host = g_string_new (NULL);
  connection->deadline = g_string_new (NULL);
  connection->field = g_string_new (NULL);
  connection->body = g_string_new (NULL);
  connection->since_ms = clock_boot_ms ();
  http_parser_init (&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  bufferevent_setcb (connection->channel, on_readable, on_written, on_event, connection);
  g_hash_table_add (web->connections, connection);
  bufferevent_enable (connection->channel, EV_READ | EV_WRITE);
}

/* --- public --- */

int
web_listen (loop_t *loop, const web_options_t *options, web_t **out)
{
  struct sockaddr_storage storage;
  socklen_t size = dial_address (options->address, &storage);
  web_t *web = g_new0 (web_t, 1);

  web->loop = loop;
  web->listener = size == 0 ? NULL
                            : evconnlistener_new_bind (
                                loop_base (loop), on_accept, web,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                BACKLOG, (struct sockaddr *) &storage, (int) size);
  if (web->listener == NULL)
    {
      g_free (web);
      return ERROR_IO;
    }
  web->deadline_header = g_strdup (options->deadline_header);
  web->bounds = options->bounds;
  web->ops = options->ops;
  web->data = options->data;
  web->connections = g_hash_table_new_full (NULL, NULL, connection_free, NULL);
  *out = web;
  return 0;
}

void
web_set_bounds (web_t *web, const web_bounds_t *bounds)
{
  web->bounds = *bounds;
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

  connection->web->active--;
  connection->phase = READING;
  connection->since_ms = clock_boot_ms ();
  send_answer (connection, status, headers, body, size);
  take_input (connection);
}

void
web_drain (web_t *web, int64_t quiet_ms)
{
  web->draining = true;
  web->quiet_ms = quiet_ms;
}

void
web_stop_listening (web_t *web)
{
  g_clear_pointer (&web->listener, evconnlistener_free);
}

int32_t
web_connections (const web_t *web)
{
  return (int32_t) g_hash_table_size (web->connections);
}

int32_t
web_active (const web_t *web)
{
  return web->active;
}

/* Whether a connection has been quiet, or a request half sent, for too long. */
static bool
is_overdue (const web_t *web, const connection_t *connection, int64_t now_ms)
{
  if (connection->phase != READING)
    return false;
  int64_t limit_ms = connection->begun ? web->bounds.header_timeout_ms
                     : web->draining   ? web->quiet_ms
                                       : web->bounds.idle_timeout_ms;
  return now_ms - connection->since_ms > limit_ms;
}

void
web_tick (web_t *web, int64_t now_ms)
{
  GHashTableIter iter;
  void *key = NULL;
  GPtrArray *overdue = NULL;

  g_hash_table_iter_init (&iter, web->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (is_overdue (web, key, now_ms))
      {
        if (overdue == NULL)
          overdue = g_ptr_array_new ();
        g_ptr_array_add (overdue, key);
      }
  if (overdue == NULL)
    return;
  for (guint i = 0; i < overdue->len; i++)
    connection_close (overdue->pdata[i]);
  g_ptr_array_unref (overdue);
}

void
web_free (web_t *web)
{
  if (web == NULL)
    return;
  web_stop_listening (web);
  g_hash_table_unref (web->connections);
  g_free (web->deadline_header);
  g_free (web);
}
