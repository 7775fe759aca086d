/* web_server.c -- HTTP/1.1 server on an event loop
 *
 * Accepts connections within the budget, and closes those whose time is up.
 */
#include "reactor/web_server_private.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/unacked.h"
#include "reactor/tcp.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <string.h>

#define BACKLOG 512
/* Pause after accept () failed, as it does when descriptors have run out. */
#define ACCEPT_PAUSE_MS 100
/* A connection that has done nothing for this long is closed to make room for a new one. */
#define ROOM_IDLE_MS 1000

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
  web_connection_close (oldest);
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
      event_new (loop_event_base (server->loop), fd, EV_CLOSED, web_on_peer_closed, connection);
  connection->target = g_string_new (NULL);
  connection->host = g_string_new (NULL);
  connection->deadline = g_string_new (NULL);
  connection->header_name = g_string_new (NULL);
  connection->body = g_string_new (NULL);
  connection->since_ms = clock_boot_ms ();
  http_parser_init (&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  bufferevent_setcb (connection->bufferevent, web_on_readable, web_on_written, web_on_event,
                     connection);
  g_hash_table_add (server->connections, connection);
  bufferevent_enable (connection->bufferevent, EV_READ | EV_WRITE);
  web_count_held_bytes (connection);
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
  server->connections = g_hash_table_new_full (NULL, NULL, web_connection_free, NULL);
  *out = server;
  return 0;
}

void
web_server_set_limits (web_server_t *server, const web_server_limits_t *limits)
{
  server->limits = *limits;
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

void
web_server_tick (web_server_t *server, int64_t now_ms)
{
  GHashTableIter iter;
  void *key = NULL;
  GPtrArray *timed_out = NULL;

  g_hash_table_iter_init (&iter, server->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (web_is_timed_out (key, now_ms))
      {
        if (timed_out == NULL)
          timed_out = g_ptr_array_new ();
        g_ptr_array_add (timed_out, key);
      }
  for (guint i = 0; timed_out != NULL && i < timed_out->len; i++)
    web_connection_close (timed_out->pdata[i]);
  if (timed_out != NULL)
    g_ptr_array_unref (timed_out);
  web_give_up_connections (server, NULL);
  if (server->accept_paused && server->listener != NULL
      && !web_budget_may_accept (&server->budget, web_server_connections (server)))
    make_room (server, now_ms);
  web_resume_accepting (server, now_ms);
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
