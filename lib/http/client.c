/* client.c -- blocking HTTP client with reusable connections, based on CivetWeb */
#include "http/client.h"

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/sync.h"
#include "http/watchdog.h"

#include <civetweb.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>

#define READ_CHUNK_BYTES 65536
#define ERROR_TEXT_BYTES 128

/* How long a connect waits for another thread's connect to the same address. */
#define CONNECT_TURN_TIMEOUT_MS 1000

struct http_connection_t
{
  struct mg_connection *connection;
  char *host;
  int fd; /* descriptor of CivetWeb's socket, or -1 if it was not found */
};

/* Addresses with a connect in progress.  Only one connect to an address runs at a time,
 * so that its socket can be identified by the peer address.  This also prevents an
 * address that does not respond from blocking more than one thread for long. */
static pthread_mutex_t connect_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t connect_done = PTHREAD_COND_INITIALIZER;
static GHashTable *connecting;

static bool
connect_begin (const char *address)
{
  int64_t until_ms = clock_boot_ms () + CONNECT_TURN_TIMEOUT_MS;
  bool acquired = true;

  pthread_mutex_lock (&connect_lock);
  if (connecting == NULL)
    connecting = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  while (g_hash_table_contains (connecting, address) && acquired)
    acquired = sync_wait_until (&connect_done, &connect_lock, until_ms);
  if (acquired)
    g_hash_table_add (connecting, g_strdup (address));
  pthread_mutex_unlock (&connect_lock);
  return acquired;
}

static void
connect_end (const char *address)
{
  pthread_mutex_lock (&connect_lock);
  g_hash_table_remove (connecting, address);
  pthread_cond_broadcast (&connect_done);
  pthread_mutex_unlock (&connect_lock);
}

int
http_connect (const char *address, http_connection_t **out)
{
  char error[ERROR_TEXT_BYTES];
  char *ip = NULL;
  uint16_t port = 0;

  if (address_split (address, &ip, &port) != 0)
    return ERROR_NOT_CONNECTED;
  if (!connect_begin (address))
    {
      g_free (ip);
      return ERROR_NOT_CONNECTED;
    }
  struct mg_connection *connection = mg_connect_client (ip, port, 0, error, sizeof error);
  int fd = connection != NULL ? watchdog_claim_socket (address) : -1;
  connect_end (address);
  g_free (ip);
  if (connection == NULL)
    return ERROR_NOT_CONNECTED;
  *out = g_new0 (http_connection_t, 1);
  (*out)->connection = connection;
  (*out)->host = g_strdup (address);
  (*out)->fd = fd;
  return 0;
}

bool
http_is_idle (const http_connection_t *connection)
{
  struct pollfd socket = { .fd = connection->fd, .events = POLLIN };

  return connection->fd >= 0 && poll (&socket, 1, 0) == 0;
}

void
http_close (http_connection_t *connection)
{
  if (connection == NULL)
    return;
  watchdog_release_socket (connection->fd);
  mg_close_connection (connection->connection);
  g_free (connection->host);
  g_free (connection);
}

static int
write_request (http_connection_t *connection, const http_call_t *call)
{
  GString *text = g_string_sized_new (256 + call->body_bytes);

  g_string_append_printf (text, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %zu\r\n%s\r\n",
                          call->method, call->path, connection->host, call->body_bytes,
                          call->headers != NULL ? call->headers : "");
  g_string_append_len (text, call->body, (gssize) call->body_bytes);
  int written = mg_write (connection->connection, text->str, text->len);
  bool complete = written >= 0 && (gsize) written == text->len;
  g_string_free (text, TRUE);
  return complete ? 0 : ERROR_CLOSED;
}

static bool
is_chunked (const struct mg_connection *connection)
{
  const char *encoding = mg_get_header (connection, "Transfer-Encoding");

  return encoding != NULL && g_ascii_strcasecmp (encoding, "chunked") == 0;
}

static int
read_body (http_connection_t *connection, const http_call_t *call, int64_t length, GByteArray *body)
{
  guint8 *chunk = g_malloc (READ_CHUNK_BYTES);
  int received = 0;
  int result = 0;

  while (result == 0 && (length < 0 || (int64_t) body->len < length))
    {
      received = mg_read (connection->connection, chunk, READ_CHUNK_BYTES);
      if (received <= 0)
        break;
      g_byte_array_append (body, chunk, (guint) received);
      if ((int64_t) body->len > call->max_answer_bytes)
        result = ERROR_TOO_LARGE;
    }
  g_free (chunk);
  if (result == 0 && (received < 0 || (length >= 0 && (int64_t) body->len < length)))
    result = ERROR_CLOSED;
  return result;
}

static int
read_answer (http_connection_t *connection, const http_call_t *call, http_answer_t *answer)
{
  const struct mg_response_info *info = mg_get_response_info (connection->connection);
  bool chunked = is_chunked (connection->connection);
  int64_t length = chunked ? -1 : info->content_length;

  answer->status = info->status_code;
  if (length < 0 && !chunked)
    return ERROR_PROTOCOL;
  if (length > call->max_answer_bytes)
    return ERROR_TOO_LARGE;
  if (call->copy_header != NULL)
    answer->copied_header = g_strdup (mg_get_header (connection->connection, call->copy_header));
  const char *close = mg_get_header (connection->connection, "Connection");
  answer->reusable = strcmp (info->http_version, "1.1") == 0
                     && (close == NULL || g_ascii_strcasecmp (close, "close") != 0);
  answer->body = g_byte_array_new ();
  return read_body (connection, call, length, answer->body);
}

static int
exchange (http_connection_t *connection, const http_call_t *call, http_answer_t *answer)
{
  char error[ERROR_TEXT_BYTES];

  int result = write_request (connection, call);
  if (result != 0)
    return result;
  int64_t remaining_ms = call->deadline_at_ms - clock_boot_ms ();
  if (remaining_ms <= 0)
    return ERROR_TIMEOUT;
  if (mg_get_response (connection->connection, error, sizeof error,
                       (int) MIN (remaining_ms, INT32_MAX))
      < 0)
    return clock_boot_ms () >= call->deadline_at_ms ? ERROR_TIMEOUT : ERROR_CLOSED;
  return read_answer (connection, call, answer);
}

int
http_exchange (http_connection_t *connection, const http_call_t *call, http_answer_t *answer)
{
  watchdog_entry_t entry = { .fd = connection->fd, .deadline_at_ms = call->deadline_at_ms };

  memset (answer, 0, sizeof *answer);
  watchdog_add (&entry);
  int result = exchange (connection, call, answer);
  if (watchdog_remove (&entry))
    result = ERROR_TIMEOUT;
  if (result != 0)
    http_answer_clear (answer);
  return result;
}

int
http_call_once (const char *address, const http_call_t *call, http_answer_t *answer)
{
  http_connection_t *connection = NULL;

  memset (answer, 0, sizeof *answer);
  int result = http_connect (address, &connection);
  if (result != 0)
    return result;
  result = http_exchange (connection, call, answer);
  http_close (connection);
  return result;
}

void
http_answer_clear (http_answer_t *answer)
{
  if (answer->body != NULL)
    g_byte_array_unref (answer->body);
  g_free (answer->copied_header);
  memset (answer, 0, sizeof *answer);
}
