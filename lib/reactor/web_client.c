/* web_client.c -- HTTP/1.1 calls on an event loop, with kept connections
 *
 * A connection carries one call at a time.  After its answer it waits in the
 * list of its address for the next call; after anything else it is closed, since
 * what arrives on it later could belong to the failed call.  Invariant: each call
 * ends exactly once, and never inside webcall_start ().
 */
#include "reactor/web.h"

#include "base/clock.h"
#include "reactor/dial.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <http_parser.h>
#include <string.h>

/* A kept connection without a call is closed after this; servers close theirs
 * later. */
#define IDLE_MAX_MS 12000
#define ANSWER_MAX_BYTES (8 * 1024 * 1024)

typedef struct
{
  char *address;
  GPtrArray *idle; /* connection_t, the last used at the end */
} target_t;

typedef struct
{
  webclient_t *client;
  target_t *target;
  struct bufferevent *channel;
  http_parser parser;
  bool open;     /* the connect has succeeded */
  bool busy;     /* a call is in flight */
  bool answered; /* its answer is whole */
  bool doomed;   /* closed at the next tick */
  bool refused;  /* doomed since nothing listens there */
  int64_t since_ms;
  GString *body;
  int64_t deadline_at_ms;
  webcall_done_t done;
  void *data;
} channel_t;

struct webclient_t
{
  loop_t *loop;
  GHashTable *targets; /* address -> target_t */
  GHashTable *busy;    /* channel_t with a call */
};

static void
target_free (void *data)
{
  target_t *target = data;

  g_ptr_array_unref (target->idle);
  g_free (target->address);
  g_free (target);
}

static void
channel_free (channel_t *channel)
{
  bufferevent_free (channel->channel);
  g_string_free (channel->body, TRUE);
  g_free (channel);
}

/* Ends the call of CHANNEL; the connection is kept if KEEP. */
static void
finish (channel_t *channel, webcall_result_t result, bool keep)
{
  webclient_t *client = channel->client;
  webcall_done_t done = channel->done;
  void *data = channel->data;
  GString *body = channel->body;
  webcall_answer_t answer = {
    .result = result,
    .status = result == WEBCALL_ANSWERED ? (int) channel->parser.status_code : 0,
    .body = body->str,
    .body_bytes = body->len,
  };

  g_hash_table_remove (client->busy, channel);
  channel->busy = false;
  if (keep)
    {
      channel->body = g_string_new (NULL);
      channel->since_ms = clock_boot_ms ();
      g_ptr_array_add (channel->target->idle, channel);
    }
  else
    {
      bufferevent_free (channel->channel);
      g_free (channel);
    }
  done (&answer, data);
  g_string_free (body, TRUE);
}

/* --- parsing --- */

static int
on_body (http_parser *parser, const char *at, size_t size)
{
  channel_t *channel = parser->data;

  if (channel->body->len + size > ANSWER_MAX_BYTES)
    return 1;
  g_string_append_len (channel->body, at, (gssize) size);
  return 0;
}

static int
on_whole (http_parser *parser)
{
  ((channel_t *) parser->data)->answered = true;
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_body = on_body,
  .on_message_complete = on_whole,
};

static void
drop_idle (channel_t *channel)
{
  g_ptr_array_remove (channel->target->idle, channel);
  channel_free (channel);
}

static void
on_readable (struct bufferevent *bufferevent, void *data)
{
  channel_t *channel = data;
  struct evbuffer *in = bufferevent_get_input (bufferevent);
  size_t size = evbuffer_get_length (in);
  const char *bytes = (const char *) evbuffer_pullup (in, -1);

  if (!channel->busy)
    {
      /* Nothing was asked: whatever this is, it can't be trusted. */
      drop_idle (channel);
      return;
    }
  size_t used = http_parser_execute (&channel->parser, &parser_settings, bytes, size);
  bool valid = HTTP_PARSER_ERRNO (&channel->parser) == HPE_OK && used == size;
  evbuffer_drain (in, size);
  if (channel->answered)
    finish (channel, WEBCALL_ANSWERED, valid && http_should_keep_alive (&channel->parser));
  else if (!valid)
    finish (channel, WEBCALL_BROKEN, false);
}

static void
on_event (struct bufferevent *bufferevent, short what, void *data)
{
  channel_t *channel = data;
  int failure = EVUTIL_SOCKET_ERROR ();

  (void) bufferevent;
  if (what & BEV_EVENT_CONNECTED)
    {
      channel->open = true;
      return;
    }
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  if (!channel->busy)
    drop_idle (channel);
  else
    finish (channel, !channel->open && failure == ECONNREFUSED ? WEBCALL_REFUSED : WEBCALL_BROKEN,
            false);
}

static channel_t *
channel_open (webclient_t *client, target_t *target)
{
  struct sockaddr_storage storage;
  socklen_t size = dial_address (target->address, &storage);
  channel_t *channel = g_new0 (channel_t, 1);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd >= 0)
    dial_tune (fd);
  channel->client = client;
  channel->target = target;
  channel->body = g_string_new (NULL);
  channel->channel = bufferevent_socket_new (loop_base (client->loop), fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (channel->channel, on_readable, NULL, on_event, channel);
  bufferevent_enable (channel->channel, EV_READ | EV_WRITE);
  /* The call must not end before webcall_start () has returned. */
  channel->doomed = fd < 0 || size == 0;
  if (!channel->doomed)
    {
      bufferevent_setcb (channel->channel, NULL, NULL, NULL, NULL);
      errno = 0;
      channel->doomed =
          bufferevent_socket_connect (channel->channel, (struct sockaddr *) &storage, (int) size)
          != 0;
      channel->refused = channel->doomed && errno == ECONNREFUSED;
      bufferevent_setcb (channel->channel, on_readable, NULL, on_event, channel);
    }
  return channel;
}

static target_t *
find_target (webclient_t *client, const char *address)
{
  target_t *target = g_hash_table_lookup (client->targets, address);

  if (target == NULL)
    {
      target = g_new0 (target_t, 1);
      target->address = g_strdup (address);
      target->idle = g_ptr_array_new ();
      g_hash_table_insert (client->targets, target->address, target);
    }
  return target;
}

webclient_t *
webclient_new (loop_t *loop)
{
  webclient_t *client = g_new0 (webclient_t, 1);

  client->loop = loop;
  client->targets = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, target_free);
  client->busy = g_hash_table_new (NULL, NULL);
  return client;
}

void
webcall_start (webclient_t *client, const webcall_options_t *options)
{
  target_t *target = find_target (client, options->address);
  channel_t *channel = NULL;

  if (target->idle->len > 0)
    channel = g_ptr_array_remove_index (target->idle, target->idle->len - 1);
  else
    channel = channel_open (client, target);
  channel->busy = true;
  channel->answered = false;
  channel->deadline_at_ms = options->deadline_at_ms;
  channel->done = options->done;
  channel->data = options->data;
  g_string_truncate (channel->body, 0);
  http_parser_init (&channel->parser, HTTP_RESPONSE);
  channel->parser.data = channel;
  g_hash_table_add (client->busy, channel);
  if (channel->doomed)
    return;
  struct evbuffer *out = bufferevent_get_output (channel->channel);
  evbuffer_add_printf (out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", options->method, options->target,
                       target->address, options->headers != NULL ? options->headers : "");
  if (options->body != NULL)
    evbuffer_add_printf (out, "Content-Length: %zu\r\n\r\n", options->body_bytes);
  else
    evbuffer_add (out, "\r\n", 2);
  if (options->body_bytes > 0)
    evbuffer_add (out, options->body, options->body_bytes);
}

void
webclient_forget (webclient_t *client, const char *address)
{
  target_t *target = g_hash_table_lookup (client->targets, address);

  while (target != NULL && target->idle->len > 0)
    channel_free (g_ptr_array_remove_index (target->idle, target->idle->len - 1));
}

static void
close_long_idle (webclient_t *client, int64_t now_ms)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, client->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      target_t *target = value;
      /* The first of the list was used least lately. */
      while (target->idle->len > 0
             && now_ms - ((channel_t *) target->idle->pdata[0])->since_ms > IDLE_MAX_MS)
        channel_free (g_ptr_array_remove_index (target->idle, 0));
    }
}

void
webclient_tick (webclient_t *client, int64_t now_ms)
{
  GHashTableIter iter;
  void *key = NULL;
  GPtrArray *ended = NULL;

  g_hash_table_iter_init (&iter, client->busy);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const channel_t *channel = key;
      if (!channel->doomed && now_ms < channel->deadline_at_ms)
        continue;
      if (ended == NULL)
        ended = g_ptr_array_new ();
      g_ptr_array_add (ended, key);
    }
  for (guint i = 0; ended != NULL && i < ended->len; i++)
    {
      channel_t *channel = ended->pdata[i];
      finish (channel,
              channel->refused  ? WEBCALL_REFUSED
              : channel->doomed ? WEBCALL_BROKEN
                                : WEBCALL_TIMEOUT,
              false);
    }
  if (ended != NULL)
    g_ptr_array_unref (ended);
  close_long_idle (client, now_ms);
}

void
webclient_free (webclient_t *client)
{
  GHashTableIter iter;
  void *key = NULL;

  if (client == NULL)
    return;
  g_hash_table_iter_init (&iter, client->targets);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    webclient_forget (client, key);
  g_hash_table_iter_init (&iter, client->busy);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    channel_free (key);
  g_hash_table_unref (client->busy);
  g_hash_table_unref (client->targets);
  g_free (client);
}
