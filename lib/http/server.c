/* server.c -- an HTTP listener over CivetWeb */
#include "http/server.h"

#include "base/error.h"

#include <civetweb.h>
#include <stdatomic.h>
#include <string.h>

/* How long a client may take for its request, and be idle between two. */
#define REQUEST_TIMEOUT_MS "10000"
#define KEEP_ALIVE_TIMEOUT_MS "5000"
#define READ_CHUNK_BYTES 65536

/* Above this share of the threads connections are closed after each answer:
 * idle ones would keep waiting clients from a thread. */
#define KEEP_ALIVE_SHARE_PERCENT 50

struct http_server_t
{
  struct mg_context *context;
  http_server_options_t options;
  atomic_int active;
  atomic_int connections;
  _Atomic int64_t held_bytes; /* bodies of running requests */
  atomic_bool draining;
};

/* Takes room for SIZE more bytes of bodies, or returns false. */
static bool
reserve (http_server_t *server, int64_t size)
{
  int64_t held = atomic_fetch_add (&server->held_bytes, size) + size;

  if (held <= server->options.max_total_bytes)
    return true;
  atomic_fetch_sub (&server->held_bytes, size);
  return false;
}

/* Appends what comes to BODY; *HELD counts the bytes that were reserved. */
static int
read_chunks (http_server_t *server,
             struct mg_connection *connection,
             GByteArray *body,
             int64_t *held)
{
  guint8 *chunk = g_malloc (READ_CHUNK_BYTES);
  int result = 0;
  int got = 0;

  while (result == 0 && (got = mg_read (connection, chunk, READ_CHUNK_BYTES)) > 0)
    {
      if ((int64_t) body->len + got > server->options.max_body_bytes)
        result = ERROR_TOO_LARGE;
      else if (!reserve (server, got))
        result = ERROR_OVERLOADED;
      else
        {
          *held += got;
          g_byte_array_append (body, chunk, (guint) got);
        }
    }
  g_free (chunk);
  return got < 0 && result == 0 ? ERROR_BAD_REQUEST : result;
}

static int
read_body (http_server_t *server, struct mg_connection *connection, GByteArray *body, int64_t *held)
{
  int64_t expected = mg_get_request_info (connection)->content_length;

  if (expected > server->options.max_body_bytes)
    return ERROR_TOO_LARGE;
  if (expected == 0)
    return 0;
  int result = read_chunks (server, connection, body, held);
  if (result == 0 && expected > 0 && (int64_t) body->len < expected)
    return ERROR_BAD_REQUEST;
  return result;
}

static const char *
status_text (int status)
{
  static const struct
  {
    int status;
    const char *text;
  } texts[] = {
    { 200, "OK" },
    { 400, "Bad Request" },
    { 403, "Forbidden" },
    { 404, "Not Found" },
    { 405, "Method Not Allowed" },
    { 409, "Conflict" },
    { 410, "Gone" },
    { 413, "Content Too Large" },
    { 422, "Unprocessable Content" },
    { 429, "Too Many Requests" },
    { 500, "Internal Server Error" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    if (texts[i].status == status)
      return texts[i].text;
  return "Status";
}

static void
write_response (struct mg_connection *connection, const http_response_t *response, bool close)
{
  gsize size = 0;
  const char *body = response->body != NULL ? g_bytes_get_data (response->body, &size) : NULL;
  GString *head = g_string_new (NULL);

  g_string_append_printf (head, "HTTP/1.1 %d %s\r\n", response->status,
                          status_text (response->status));
  g_string_append_printf (
      head, "Content-Type: %s\r\nContent-Length: %" G_GSIZE_FORMAT "\r\n",
      response->content_type != NULL ? response->content_type : "application/json", size);
  if (response->retry_after_s > 0)
    g_string_append_printf (head, "Retry-After: %" G_GINT64_FORMAT "\r\n", response->retry_after_s);
  g_string_append_printf (head, "Connection: %s\r\n\r\n", close ? "close" : "keep-alive");
  /* One write for small answers saves a segment. */
  if (size > 0 && size <= READ_CHUNK_BYTES)
    {
      g_string_append_len (head, body, (gssize) size);
      size = 0;
    }
  mg_write (connection, head->str, head->len);
  if (size > 0)
    mg_write (connection, body, size);
  g_string_free (head, TRUE);
}

static bool
must_close (const http_server_t *server, const struct mg_connection *connection)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  const char *header = mg_get_header (connection, "Connection");

  if (atomic_load (&server->draining))
    return true;
  if (atomic_load (&server->connections) * INT64_C (100)
      > server->options.threads * KEEP_ALIVE_SHARE_PERCENT)
    return true;
  if (header != NULL)
    return g_ascii_strcasecmp (header, "close") == 0;
  return strcmp (info->http_version, "1.1") != 0;
}

static int
handle (struct mg_connection *connection, void *data)
{
  http_server_t *server = data;
  const struct mg_request_info *info = mg_get_request_info (connection);
  GByteArray *body = g_byte_array_new ();

  atomic_fetch_add (&server->active, 1);
  int64_t held_bytes = 0;
  int body_error = read_body (server, connection, body, &held_bytes);
  http_request_t request = {
    .method = info->request_method,
    /* Not cleaned of dots and slashes, which a key may have. */
    .path = info->local_uri_raw != NULL ? info->local_uri_raw : "",
    .query = info->query_string,
    .key = mg_get_header (connection, "Idempotency-Key"),
    .body = g_byte_array_free_to_bytes (body),
    .body_error = body_error,
  };
  http_response_t response = { .status = 500 };

  server->options.handler (&request, &response, server->options.data);
  write_response (connection, &response, body_error != 0 || must_close (server, connection));
  if (response.body != NULL)
    g_bytes_unref (response.body);
  g_bytes_unref (request.body);
  atomic_fetch_sub (&server->held_bytes, held_bytes);
  atomic_fetch_sub (&server->active, 1);
  return response.status;
}

static void
init_once (void)
{
  static gsize done;

  if (g_once_init_enter (&done))
    {
      mg_init_library (MG_FEATURES_DEFAULT);
      g_once_init_leave (&done, 1);
    }
}

/* CivetWeb's own messages go to the log of the one who calls. */
static int
drop_message (const struct mg_connection *connection, const char *message)
{
  (void) connection;
  (void) message;
  return 1;
}

static int
on_open (const struct mg_connection *connection, void **data)
{
  http_server_t *server = mg_get_user_data (mg_get_context (connection));

  (void) data;
  atomic_fetch_add (&server->connections, 1);
  return 0;
}

static void
on_closed (const struct mg_connection *connection)
{
  http_server_t *server = mg_get_user_data (mg_get_context (connection));

  atomic_fetch_sub (&server->connections, 1);
}

int
http_server_start (const http_server_options_t *options, http_server_t **out)
{
  http_server_t *server = g_new0 (http_server_t, 1);
  char threads[16];
  struct mg_callbacks callbacks = { .log_message = drop_message,
                                    .init_connection = on_open,
                                    .connection_closed = on_closed };

  init_once ();
  server->options = *options;
  g_snprintf (threads, sizeof threads, "%d", (int) options->threads);
  const char *settings[] = { "listening_ports",
                             options->address,
                             "num_threads",
                             threads,
                             "request_timeout_ms",
                             REQUEST_TIMEOUT_MS,
                             "enable_keep_alive",
                             "yes",
                             "keep_alive_timeout_ms",
                             KEEP_ALIVE_TIMEOUT_MS,
                             "tcp_nodelay",
                             "1",
                             "decode_url",
                             "yes",
                             NULL };
  server->context = mg_start (&callbacks, server, settings);
  if (server->context == NULL)
    {
      g_free (server);
      return ERROR_IO;
    }
  mg_set_request_handler (server->context, "/", handle, server);
  *out = server;
  return 0;
}

int32_t
http_server_active (const http_server_t *server)
{
  return atomic_load (&server->active);
}

void
http_server_drain (http_server_t *server)
{
  atomic_store (&server->draining, true);
}

void
http_server_stop (http_server_t *server)
{
  if (server == NULL)
    return;
  mg_stop (server->context);
  g_free (server);
}
