/* server.c -- multithreaded HTTP server, based on CivetWeb */
#include "http/server.h"

#include "base/error.h"

#include <civetweb.h>
#include <stdatomic.h>
#include <string.h>

/* Timeouts for receiving a request, and for an idle connection between requests. */
#define REQUEST_TIMEOUT_MS "10000"
#define KEEP_ALIVE_TIMEOUT_MS "5000"
#define READ_CHUNK_BYTES 65536

/* When connections occupy more than this share of the threads, each is closed after its
 * answer, since idle connections would deprive waiting clients of a thread. */
#define KEEP_ALIVE_MAX_THREADS_PERCENT 50

struct http_server_t
{
  struct mg_context *context;
  http_server_options_t options;
  atomic_int active;
  atomic_int connections;
  _Atomic int64_t buffered_bytes; /* total size of the bodies of requests in progress */
  atomic_bool draining;
};

/* Reserves SIZE bytes of the budget for bodies.  Returns false if it is exhausted. */
static bool
reserve_bytes (http_server_t *server, int64_t size)
{
  int64_t reserved = atomic_fetch_add (&server->buffered_bytes, size) + size;

  if (reserved <= server->options.max_total_bytes)
    return true;
  atomic_fetch_sub (&server->buffered_bytes, size);
  return false;
}

/* Appends the received data to BODY, and adds the bytes reserved for it to *RESERVED. */
static int
read_chunks (http_server_t *server,
             struct mg_connection *connection,
             GByteArray *body,
             int64_t *reserved)
{
  guint8 *chunk = g_malloc (READ_CHUNK_BYTES);
  int result = 0;
  int received = 0;

  while (result == 0 && (received = mg_read (connection, chunk, READ_CHUNK_BYTES)) > 0)
    {
      if ((int64_t) body->len + received > server->options.max_body_bytes)
        result = ERROR_TOO_LARGE;
      else if (!reserve_bytes (server, received))
        result = ERROR_OVERLOADED;
      else
        {
          *reserved += received;
          g_byte_array_append (body, chunk, (guint) received);
        }
    }
  g_free (chunk);
  return received < 0 && result == 0 ? ERROR_BAD_REQUEST : result;
}

static int
read_body (http_server_t *server,
           struct mg_connection *connection,
           GByteArray *body,
           int64_t *reserved)
{
  int64_t expected = mg_get_request_info (connection)->content_length;

  if (expected > server->options.max_body_bytes)
    return ERROR_TOO_LARGE;
  if (expected == 0)
    return 0;
  int result = read_chunks (server, connection, body, reserved);
  if (result == 0 && expected > 0 && (int64_t) body->len < expected)
    return ERROR_BAD_REQUEST;
  return result;
}

static const char *
reason_phrase (int status)
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
                          reason_phrase (response->status));
  g_string_append_printf (
      head, "Content-Type: %s\r\nContent-Length: %" G_GSIZE_FORMAT "\r\n",
      response->content_type != NULL ? response->content_type : "application/json", size);
  if (response->retry_after_s > 0)
    g_string_append_printf (head, "Retry-After: %" G_GINT64_FORMAT "\r\n", response->retry_after_s);
  g_string_append_printf (head, "Connection: %s\r\n\r\n", close ? "close" : "keep-alive");
  /* A small body is sent in the same write as the header to save a TCP segment. */
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
      > server->options.threads * KEEP_ALIVE_MAX_THREADS_PERCENT)
    return true;
  if (header != NULL)
    return g_ascii_strcasecmp (header, "close") == 0;
  return strcmp (info->http_version, "1.1") != 0;
}

static int
handle_request (struct mg_connection *connection, void *data)
{
  http_server_t *server = data;
  const struct mg_request_info *info = mg_get_request_info (connection);
  GByteArray *body = g_byte_array_new ();

  atomic_fetch_add (&server->active, 1);
  int64_t buffered_bytes = 0;
  int body_error = read_body (server, connection, body, &buffered_bytes);
  http_request_t request = {
    .method = info->request_method,
    /* The raw path: CivetWeb would normalise dots and slashes, which a key may contain. */
    .path = info->local_uri_raw != NULL ? info->local_uri_raw : "",
    .query = info->query_string,
    .idempotency_key = mg_get_header (connection, "Idempotency-Key"),
    .body = g_byte_array_free_to_bytes (body),
    .body_error = body_error,
  };
  http_response_t response = { .status = 500 };

  server->options.handler (&request, &response, server->options.data);
  write_response (connection, &response, body_error != 0 || must_close (server, connection));
  if (response.body != NULL)
    g_bytes_unref (response.body);
  g_bytes_unref (request.body);
  atomic_fetch_sub (&server->buffered_bytes, buffered_bytes);
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

/* Suppresses CivetWeb's own log messages; the caller of this library logs errors. */
static int
discard_message (const struct mg_connection *connection, const char *message)
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
  struct mg_callbacks callbacks = { .log_message = discard_message,
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
  mg_set_request_handler (server->context, "/", handle_request, server);
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
