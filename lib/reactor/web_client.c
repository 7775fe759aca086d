/* web_client.c -- HTTP/1.1 client with persistent connections on an event loop
 *
 * A connection carries one call at a time.  After a complete answer it returns to the
 * pool of its address.  After a failure it is closed, since data that arrives on it
 * later could belong to the failed call.  Invariant: each call ends exactly once, and
 * never within web_call_start ().
 */
#include "reactor/web.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/unacked.h"
#include "reactor/tcp.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <http_parser.h>
#include <string.h>

/* Idle connections are closed after this time.  It is shorter than the idle timeout of
 * the servers, so that a request is not sent on a connection that the server closes. */
#define IDLE_TIMEOUT_MS 12000
#define ANSWER_MAX_BYTES (8 * 1024 * 1024)
/* Limit on the answers that have arrived incompletely, all calls together.  Beyond it the call with
 * the largest one fails. */
#define ANSWERS_MAX_BYTES (32 * 1024 * 1024)

typedef struct
{
  char *address;
  GPtrArray *idle; /* of connection_t *, the most recently used last */
} pool_t;

typedef struct
{
  web_client_t *client;
  pool_t *pool;
  struct bufferevent *bufferevent;
  http_parser parser;
  bool connected;       /* the connect has succeeded */
  bool busy;            /* a call is in flight */
  bool complete;        /* the answer has been read completely */
  bool connect_failed;  /* the connect failed at once; the next tick ends the call */
  bool too_large;       /* the answer was dropped; the next tick ends the call */
  bool connect_refused; /* the connect failed at once with ECONNREFUSED */
  int64_t since_ms;     /* when the connection became idle */
  GString *body;
  int64_t deadline_at_ms;
  web_call_done_t done;
  void *data;
  traffic_count_t *traffic; /* of the call in flight; not NULL */
} connection_t;

struct web_client_t
{
  loop_t *loop;
  GHashTable *pools;         /* address -> pool_t */
  GHashTable *busy;          /* connection_t with a call in flight */
  traffic_count_t uncounted; /* stands in for calls without counts */
  size_t answer_bytes;       /* in the bodies of the calls in flight */
  int64_t own_delay_ms;      /* by which calls may end after their deadlines */
};

static void
pool_free (void *data)
{
  pool_t *pool = data;

  g_ptr_array_unref (pool->idle);
  g_free (pool->address);
  g_free (pool);
}

static void
connection_free (connection_t *connection)
{
  bufferevent_free (connection->bufferevent);
  g_string_free (connection->body, TRUE);
  g_free (connection);
}

/* Ends the call of CONNECTION, which returns to its pool if KEEP_ALIVE. */
static void
finish_call (connection_t *connection, web_call_result_t result, bool keep_alive)
{
  web_client_t *client = connection->client;
  web_call_done_t done = connection->done;
  void *data = connection->data;
  GString *body = connection->body;
  web_call_answer_t answer = {
    .result = result,
    .status = result == WEB_CALL_ANSWERED ? (int) connection->parser.status_code : 0,
    .body = body->str,
    .body_bytes = body->len,
  };

  g_hash_table_remove (client->busy, connection);
  client->answer_bytes -= body->len;
  if (result == WEB_CALL_ANSWERED)
    connection->traffic->received.messages++;
  else if (result == WEB_CALL_TIMEOUT)
    connection->traffic->unanswered++;
  connection->busy = false;
  if (keep_alive)
    {
      connection->body = g_string_new (NULL);
      connection->since_ms = clock_boot_ms ();
      g_ptr_array_add (connection->pool->idle, connection);
    }
  else
    {
      bufferevent_free (connection->bufferevent);
      g_free (connection);
    }
  done (&answer, data);
  g_string_free (body, TRUE);
}

/* Drops the largest answer in flight and stops reading it.  Returns false if no call is in flight.
 */
static bool
drop_largest_answer (web_client_t *client)
{
  GHashTableIter iter;
  void *key = NULL;
  connection_t *largest = NULL;

  g_hash_table_iter_init (&iter, client->busy);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (largest == NULL || ((connection_t *) key)->body->len > largest->body->len)
      largest = key;
  if (largest == NULL)
    return false;
  client->answer_bytes -= largest->body->len;
  g_string_free (largest->body, TRUE);
  largest->body = g_string_new (NULL);
  largest->too_large = true;
  bufferevent_disable (largest->bufferevent, EV_READ);
  counter_add (counter_get ("jaytrail_answers_dropped_total", NULL), 1);
  return true;
}

/* --- parsing --- */

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  connection_t *connection = parser->data;

  if (connection->body->len + size > ANSWER_MAX_BYTES)
    return 1;
  g_string_append_len (connection->body, at, (gssize) size);
  connection->client->answer_bytes += size;
  while (connection->client->answer_bytes > ANSWERS_MAX_BYTES
         && drop_largest_answer (connection->client))
    ;
  return connection->too_large;
}

static int
on_message_complete (http_parser *parser)
{
  ((connection_t *) parser->data)->complete = true;
  /* What follows the answer belongs to no call. */
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

static void
close_idle_connection (connection_t *connection)
{
  g_ptr_array_remove (connection->pool->idle, connection);
  connection_free (connection);
}

static void
on_readable (struct bufferevent *bufferevent, void *data)
{
  connection_t *connection = data;
  struct evbuffer *in = bufferevent_get_input (bufferevent);
  size_t size = evbuffer_get_length (in);
  const char *bytes = (const char *) evbuffer_pullup (in, -1);

  if (!connection->busy)
    {
      /* No request is in flight, so the data cannot belong to any call. */
      close_idle_connection (connection);
      return;
    }
  size_t used = http_parser_execute (&connection->parser, &parser_settings, bytes, size);
  connection->traffic->received.bytes += (int64_t) size;
  enum http_errno error = HTTP_PARSER_ERRNO (&connection->parser);
  bool valid = (error == HPE_OK || error == HPE_PAUSED) && used == size;
  evbuffer_drain (in, size);
  if (connection->complete)
    finish_call (connection, WEB_CALL_ANSWERED,
                 valid && http_should_keep_alive (&connection->parser));
  else if (!valid)
    finish_call (connection, WEB_CALL_CONNECTION_LOST, false);
}

static void
on_event (struct bufferevent *bufferevent, short what, void *data)
{
  connection_t *connection = data;
  int failure = EVUTIL_SOCKET_ERROR ();

  (void) bufferevent;
  if (what & BEV_EVENT_CONNECTED)
    {
      connection->connected = true;
      return;
    }
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  if (!connection->busy)
    close_idle_connection (connection);
  else
    finish_call (connection,
                 !connection->connected && failure == ECONNREFUSED ? WEB_CALL_CONNECT_REFUSED
                                                                   : WEB_CALL_CONNECTION_LOST,
                 false);
}

static connection_t *
connection_open (web_client_t *client, pool_t *pool)
{
  struct sockaddr_storage storage;
  socklen_t size = tcp_parse_address (pool->address, &storage);
  connection_t *connection = g_new0 (connection_t, 1);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd >= 0)
    tcp_set_options (fd);
  connection->client = client;
  connection->pool = pool;
  connection->body = g_string_new (NULL);
  connection->bufferevent =
      bufferevent_socket_new (loop_event_base (client->loop), fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (connection->bufferevent, on_readable, NULL, on_event, connection);
  bufferevent_enable (connection->bufferevent, EV_READ | EV_WRITE);
  /* The call must not end before web_call_start () has returned: a failure is recorded
   * here and reported by the next tick. */
  connection->connect_failed = fd < 0 || size == 0;
  if (!connection->connect_failed)
    {
      bufferevent_setcb (connection->bufferevent, NULL, NULL, NULL, NULL);
      errno = 0;
      connection->connect_failed =
          bufferevent_socket_connect (connection->bufferevent, (struct sockaddr *) &storage,
                                      (int) size)
          != 0;
      connection->connect_refused = connection->connect_failed && errno == ECONNREFUSED;
      bufferevent_setcb (connection->bufferevent, on_readable, NULL, on_event, connection);
    }
  return connection;
}

static pool_t *
find_pool (web_client_t *client, const char *address)
{
  pool_t *pool = g_hash_table_lookup (client->pools, address);

  if (pool == NULL)
    {
      pool = g_new0 (pool_t, 1);
      pool->address = g_strdup (address);
      pool->idle = g_ptr_array_new ();
      g_hash_table_insert (client->pools, pool->address, pool);
    }
  return pool;
}

web_client_t *
web_client_new (loop_t *loop)
{
  web_client_t *client = g_new0 (web_client_t, 1);

  client->loop = loop;
  client->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  client->busy = g_hash_table_new (NULL, NULL);
  return client;
}

void
web_call_start (web_client_t *client, const web_call_options_t *options)
{
  pool_t *pool = find_pool (client, options->address);
  connection_t *connection = NULL;
  traffic_count_t *traffic = options->traffic != NULL ? options->traffic : &client->uncounted;

  if (pool->idle->len > 0)
    connection = g_ptr_array_remove_index (pool->idle, pool->idle->len - 1);
  else
    {
      connection = connection_open (client, pool);
      traffic->connections++;
    }
  connection->busy = true;
  connection->complete = false;
  connection->deadline_at_ms = options->deadline_at_ms;
  connection->done = options->done;
  connection->data = options->data;
  connection->traffic = traffic;
  g_string_truncate (connection->body, 0);
  http_parser_init (&connection->parser, HTTP_RESPONSE);
  connection->parser.data = connection;
  g_hash_table_add (client->busy, connection);
  if (connection->connect_failed)
    return;
  struct evbuffer *out = bufferevent_get_output (connection->bufferevent);
  size_t queued_bytes = evbuffer_get_length (out);
  evbuffer_add_printf (out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", options->method, options->target,
                       pool->address, options->headers != NULL ? options->headers : "");
  if (options->body != NULL)
    evbuffer_add_printf (out, "Content-Length: %zu\r\n\r\n", options->body_bytes);
  else
    evbuffer_add (out, "\r\n", 2);
  if (options->body_bytes > 0)
    evbuffer_add (out, options->body, options->body_bytes);
  traffic_add (&traffic->sent, evbuffer_get_length (out) - queued_bytes);
}

int64_t
web_client_unacked_bytes (const web_client_t *client)
{
  GHashTableIter iter;
  void *key = NULL;
  int64_t bytes = 0;

  g_hash_table_iter_init (&iter, client->busy);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const connection_t *connection = key;
      bytes += (int64_t) evbuffer_get_length (bufferevent_get_output (connection->bufferevent));
      bytes += unacked_bytes (bufferevent_getfd (connection->bufferevent));
    }
  return bytes;
}

void
web_client_close_idle (web_client_t *client, const char *address)
{
  pool_t *pool = g_hash_table_lookup (client->pools, address);

  while (pool != NULL && pool->idle->len > 0)
    connection_free (g_ptr_array_remove_index (pool->idle, pool->idle->len - 1));
}

static void
close_expired_idle (web_client_t *client, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, client->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      pool_t *pool = value;
      /* The least recently used connection is the first. */
      while (pool->idle->len > 0
             && now_ms - ((connection_t *) pool->idle->pdata[0])->since_ms > IDLE_TIMEOUT_MS)
        connection_free (g_ptr_array_remove_index (pool->idle, 0));
    }
}

void
web_client_set_own_delay (web_client_t *client, int64_t delay_ms)
{
  client->own_delay_ms = delay_ms;
}

void
web_client_tick (web_client_t *client, int64_t now_ms)
{
  GHashTableIter iter;
  void *key = NULL;
  GPtrArray *ended = NULL;

  g_hash_table_iter_init (&iter, client->busy);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const connection_t *connection = key;
      if (!connection->connect_failed && !connection->too_large
          && now_ms < connection->deadline_at_ms + client->own_delay_ms)
        continue;
      if (ended == NULL)
        ended = g_ptr_array_new ();
      g_ptr_array_add (ended, key);
    }
  for (guint i = 0; ended != NULL && i < ended->len; i++)
    {
      connection_t *connection = ended->pdata[i];
      finish_call (connection,
                   connection->connect_refused                           ? WEB_CALL_CONNECT_REFUSED
                   : connection->connect_failed || connection->too_large ? WEB_CALL_CONNECTION_LOST
                                                                         : WEB_CALL_TIMEOUT,
                   false);
    }
  if (ended != NULL)
    g_ptr_array_unref (ended);
  close_expired_idle (client, now_ms);
}

void
web_client_free (web_client_t *client)
{
  GHashTableIter iter;
  void *key = NULL;

  if (client == NULL)
    return;
  g_hash_table_iter_init (&iter, client->pools);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    web_client_close_idle (client, key);
  g_hash_table_iter_init (&iter, client->busy);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    connection_free (key);
  g_hash_table_unref (client->busy);
  g_hash_table_unref (client->pools);
  g_free (client);
}
