/* web_server_connection.c -- a connection of the HTTP server: its memory, its time-outs, its end */
#include "reactor/web_server_private.h"

#include "base/clock.h"
#include "base/unacked.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

/* A connection lingers for this long if its client does not close its side, and longer while the
 * client has not acknowledged all of the last answer. */
#define LINGER_TIMEOUT_MS 1000
/* A connection is closed when its client has acknowledged no byte of its answers for this long...
 */
#define UNREAD_TIMEOUT_MS 10000
/* ...and at the latest this long after its last answer. */
#define LAST_ANSWER_TIMEOUT_MS 60000

int32_t
web_server_connections (const web_server_t *server)
{
  return (int32_t) g_hash_table_size (server->connections);
}

void
web_resume_accepting (web_server_t *server, int64_t now_ms)
{
  if (!server->accept_paused || server->listener == NULL || now_ms < server->accept_resume_at_ms
      || !web_budget_may_accept (&server->budget, web_server_connections (server)))
    return;
  server->accept_paused = false;
  evconnlistener_enable (server->listener);
}

void
web_connection_close (connection_t *connection)
{
  web_server_t *server = connection->server;

  if (connection->state == ANSWERING)
    {
      server->active--;
      connection->state = CLOSING;
      server->handlers->on_abandoned (&connection->request, server->data);
    }
  g_hash_table_remove (server->connections, connection);
  web_resume_accepting (server, clock_boot_ms ());
}

void
web_connection_free (void *data)
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

void
web_count_held_bytes (connection_t *connection)
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
  web_connection_close (connection);
}

void
web_give_up_connections (web_server_t *server, const connection_t *kept)
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

bool
web_is_timed_out (connection_t *connection, int64_t now_ms)
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
