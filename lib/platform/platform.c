/* platform.c -- client of the platform's log and list of hosts
 *
 * CivetWeb bounds the time to an answer's headers, but not the time to connect
 * nor the time to the end of the body.  So calls run on a worker thread of the
 * client.  A worker that misses the deadline is abandoned: it ends by itself
 * when CivetWeb returns, and the client takes a new one.  The number of
 * abandoned workers in the process is bounded; at the bound, calls time out
 * without being made.
 */
#include "platform/platform.h"

#include "base/error.h"
#include "platform/json.h"

#include <civetweb.h>
#include <inttypes.h>
#include <string.h>

#define ABANDONED_MAX 16
#define READ_CHUNK_BYTES 65536
#define STATUS_OK_FIRST 200
#define STATUS_OK_LAST 299

/* One exchange: what to send, and what came of it. */
typedef struct
{
  char *address;
  char *head;
  GBytes *body; /* NULL for none */
  bool idempotent;
  int64_t timeout_ms;
  int result;
  GByteArray *answer;
} exchange_t;

typedef struct
{
  GMutex mutex;
  GCond changed;
  exchange_t *exchange; /* NULL while idle */
  bool finished;
  bool abandoned;
  /* The worker's own: */
  struct mg_connection *connection; /* kept for the next exchange */
  char *connected_to;
} worker_t;

struct platform_client_t
{
  char **addresses;
  guint address_count;
  guint address;
  char *data_centre;
  GRand *random;
  int64_t retry_ms;
  worker_t *worker;
};

static gint abandoned_count;

static void
exchange_free (exchange_t *exchange)
{
  g_free (exchange->address);
  g_free (exchange->head);
  if (exchange->body)
    g_bytes_unref (exchange->body);
  g_byte_array_unref (exchange->answer);
  g_free (exchange);
}

static void
worker_disconnect (worker_t *worker)
{
  if (worker->connection)
    mg_close_connection (worker->connection);
  worker->connection = NULL;
  g_clear_pointer (&worker->connected_to, g_free);
}

static bool
worker_connect (worker_t *worker, const char *address)
{
  worker_disconnect (worker);
  char error[256];
  const char *colon = strrchr (address, ':');
  if (colon == NULL)
    return false;
  char *ip = g_strndup (address, (gsize) (colon - address));
  int port = (int) g_ascii_strtoll (colon + 1, NULL, 10);
  worker->connection = mg_connect_client (ip, port, 0, error, sizeof error);
  g_free (ip);
  if (worker->connection)
    worker->connected_to = g_strdup (address);
  return worker->connection != NULL;
}

static bool
write_all (struct mg_connection *connection, const void *data, size_t size)
{
  return size == 0 || mg_write (connection, data, size) == (int) size;
}

static int
read_body (struct mg_connection *connection, int64_t length, GByteArray *answer)
{
  guint8 *chunk = g_malloc (READ_CHUNK_BYTES);
  int result = 0;
  while (length < 0 || answer->len < length)
    {
      size_t wanted = READ_CHUNK_BYTES;
      if (length >= 0)
        wanted = MIN (wanted, (size_t) (length - answer->len));
      int count = mg_read (connection, chunk, wanted);
      if (count <= 0)
        break;
      g_byte_array_append (answer, chunk, (guint) count);
      if (answer->len > PLATFORM_ANSWER_MAX_BYTES)
        {
          result = ERROR_TOO_LARGE;
          break;
        }
    }
  g_free (chunk);
  if (result == 0 && length >= 0 && answer->len < length)
    return ERROR_IO;
  return result;
}

/* The connection may serve another exchange only if the answer's end is known. */
static bool
may_keep (struct mg_connection *connection, const struct mg_response_info *info)
{
  (void) connection;
  if (info->content_length < 0)
    return false;
  for (int i = 0; i < info->num_headers; i++)
    if (g_ascii_strcasecmp (info->http_headers[i].name, "Connection") == 0)
      return g_ascii_strcasecmp (info->http_headers[i].value, "keep-alive") == 0;
  return strcmp (info->http_version, "1.1") == 0;
}

/* Sets *BEGUN once any byte of an answer has come. */
static int
exchange_once (worker_t *worker, exchange_t *exchange, bool *begun)
{
  char error[256];
  gsize size = 0;
  const void *body = exchange->body ? g_bytes_get_data (exchange->body, &size) : NULL;
  struct mg_connection *connection = worker->connection;
  *begun = false;
  if (!write_all (connection, exchange->head, strlen (exchange->head))
      || !write_all (connection, body, size))
    return ERROR_IO;
  if (mg_get_response (connection, error, sizeof error, (int) exchange->timeout_ms) < 0)
    return ERROR_IO;
  *begun = true;
  const struct mg_response_info *info = mg_get_response_info (connection);
  if (info == NULL)
    return ERROR_PROTOCOL;
  if (info->content_length > (long long) PLATFORM_ANSWER_MAX_BYTES)
    return ERROR_TOO_LARGE;
  int status = info->status_code;
  bool keep = may_keep (connection, info);
  int result = read_body (connection, info->content_length, exchange->answer);
  if (result < 0)
    return result;
  if (!keep)
    worker_disconnect (worker);
  return status >= STATUS_OK_FIRST && status <= STATUS_OK_LAST ? 0 : ERROR_IO;
}

static void
exchange_run (worker_t *worker, exchange_t *exchange)
{
  bool begun = false;
  bool kept = worker->connection && exchange->idempotent
              && strcmp (worker->connected_to, exchange->address) == 0;
  if (kept)
    {
      exchange->result = exchange_once (worker, exchange, &begun);
      if (exchange->result == 0)
        return;
      worker_disconnect (worker);
      if (begun)
        return;
    }
  if (!worker_connect (worker, exchange->address))
    {
      exchange->result = ERROR_NOT_CONNECTED;
      return;
    }
  exchange->result = exchange_once (worker, exchange, &begun);
  if (exchange->result < 0)
    worker_disconnect (worker);
}

static void
worker_free (worker_t *worker)
{
  worker_disconnect (worker);
  g_mutex_clear (&worker->mutex);
  g_cond_clear (&worker->changed);
  g_free (worker);
}

static gpointer
worker_main (gpointer data)
{
  worker_t *worker = data;
  g_mutex_lock (&worker->mutex);
  while (!worker->abandoned)
    {
      if (worker->exchange == NULL || worker->finished)
        {
          g_cond_wait (&worker->changed, &worker->mutex);
          continue;
        }
      exchange_t *exchange = worker->exchange;
      g_mutex_unlock (&worker->mutex);
      exchange_run (worker, exchange);
      g_mutex_lock (&worker->mutex);
      worker->finished = true;
      g_cond_signal (&worker->changed);
    }
  exchange_t *exchange = worker->exchange;
  g_mutex_unlock (&worker->mutex);
  if (exchange)
    {
      exchange_free (exchange);
      g_atomic_int_add (&abandoned_count, -1);
    }
  worker_free (worker);
  return NULL;
}

static worker_t *
worker_new (void)
{
  worker_t *worker = g_new0 (worker_t, 1);
  g_mutex_init (&worker->mutex);
  g_cond_init (&worker->changed);
  g_thread_unref (g_thread_new ("platform", worker_main, worker));
  return worker;
}

/* The worker frees itself, and the exchange that it still has. */
static void
worker_abandon (worker_t *worker)
{
  worker->abandoned = true;
  if (worker->exchange)
    g_atomic_int_inc (&abandoned_count);
  g_cond_signal (&worker->changed);
}

/* Runs EXCHANGE and takes it over.  *ANSWER is set on success. */
static int
client_exchange (platform_client_t *client, exchange_t *exchange, GByteArray **answer)
{
  int64_t end_us = g_get_monotonic_time () + exchange->timeout_ms * 1000;
  if (client->worker == NULL)
    {
      if (g_atomic_int_get (&abandoned_count) >= ABANDONED_MAX)
        {
          g_usleep ((gulong) exchange->timeout_ms * 1000);
          exchange_free (exchange);
          return ERROR_TIMEOUT;
        }
      client->worker = worker_new ();
    }
  worker_t *worker = client->worker;
  g_mutex_lock (&worker->mutex);
  worker->exchange = exchange;
  worker->finished = false;
  g_cond_signal (&worker->changed);
  while (!worker->finished && g_cond_wait_until (&worker->changed, &worker->mutex, end_us))
    ;
  if (!worker->finished)
    {
      worker_abandon (worker);
      client->worker = NULL;
      g_mutex_unlock (&worker->mutex);
      return ERROR_TIMEOUT;
    }
  worker->exchange = NULL;
  g_mutex_unlock (&worker->mutex);
  int result = exchange->result;
  if (result == 0)
    *answer = g_byte_array_ref (exchange->answer);
  exchange_free (exchange);
  return result;
}

platform_client_t *
platform_client_new (const char *const *addresses, const char *data_centre, uint32_t seed)
{
  platform_client_t *client = g_new0 (platform_client_t, 1);
  client->addresses = g_strdupv ((char **) addresses);
  client->address_count = g_strv_length (client->addresses);
  client->data_centre = g_strdup (data_centre ? data_centre : "");
  client->random = g_rand_new_with_seed (seed);
  client->address = seed % MAX (client->address_count, 1);
  return client;
}

void
platform_client_free (platform_client_t *client)
{
  if (client == NULL)
    return;
  if (client->worker)
    {
      worker_t *worker = client->worker;
      g_mutex_lock (&worker->mutex);
      worker_abandon (worker);
      g_mutex_unlock (&worker->mutex);
    }
  g_strfreev (client->addresses);
  g_free (client->data_centre);
  g_rand_free (client->random);
  g_free (client);
}

/* Sends METHOD PATH with BODY and remembers success or failure. */
static int
client_call (platform_client_t *client,
             const char *method,
             const char *path,
             GBytes *body,
             int64_t timeout_ms,
             GByteArray **answer)
{
  if (client->address_count == 0)
    return ERROR_NOT_CONNECTED;
  exchange_t *exchange = g_new0 (exchange_t, 1);
  exchange->address = g_strdup (client->addresses[client->address]);
  exchange->head = g_strdup_printf ("%s %s HTTP/1.1\r\nHost: %s\r\nX-Data-Centre: %s\r\n"
                                    "Content-Length: %zu\r\nConnection: keep-alive\r\n\r\n",
                                    method, path, exchange->address, client->data_centre,
                                    body ? g_bytes_get_size (body) : 0);
  exchange->body = body ? g_bytes_ref (body) : NULL;
  exchange->idempotent = body == NULL;
  exchange->timeout_ms = timeout_ms;
  exchange->answer = g_byte_array_new ();
  return client_exchange (client, exchange, answer);
}

static int
client_done (platform_client_t *client, int result)
{
  if (result == 0)
    {
      client->retry_ms = 0;
      return 0;
    }
  client->address = (client->address + 1) % MAX (client->address_count, 1);
  client->retry_ms = CLAMP (client->retry_ms * 2, PLATFORM_RETRY_MIN_MS, PLATFORM_RETRY_MAX_MS);
  return result;
}

int64_t
platform_retry_ms (platform_client_t *client)
{
  if (client->retry_ms == 0)
    return 0;
  int64_t half_ms = client->retry_ms / 2;
  return half_ms + g_rand_int_range (client->random, 0, (gint32) half_ms + 1);
}

static int
offset_parse (const GByteArray *answer, int64_t *offset)
{
  json_object *root = platform_json_parse ((const char *) answer->data, answer->len);
  bool valid = json_object_is_type (root, json_type_object)
               && platform_json_int (root, "offset", 0, INT64_MAX - 1, offset);
  json_object_put (root);
  return valid ? 0 : ERROR_PROTOCOL;
}

int
platform_append (platform_client_t *client,
                 const char *stream,
                 const void *data,
                 size_t size,
                 int64_t timeout_ms,
                 int64_t *offset)
{
  GByteArray *answer = NULL;
  GBytes *body = g_bytes_new (data, size);
  char *path = g_strdup_printf ("/log/%s", stream);
  int result = client_call (client, "POST", path, body, timeout_ms, &answer);
  if (result == 0)
    result = offset_parse (answer, offset);
  g_free (path);
  g_bytes_unref (body);
  g_clear_pointer (&answer, g_byte_array_unref);
  return client_done (client, result);
}

int
platform_read (platform_client_t *client,
               const char *stream,
               int64_t from,
               int64_t wait_ms,
               int64_t timeout_ms,
               log_batch_t **batch)
{
  GByteArray *answer = NULL;
  char *path = g_strdup_printf ("/log/%s?from=%" PRId64 "&wait_ms=%" PRId64, stream, from, wait_ms);
  int result = client_call (client, "GET", path, NULL, timeout_ms, &answer);
  if (result == 0)
    result = log_batch_parse ((const char *) answer->data, answer->len, from, batch);
  g_free (path);
  g_clear_pointer (&answer, g_byte_array_unref);
  return client_done (client, result);
}

int
platform_hosts (platform_client_t *client, int64_t timeout_ms, GBytes **body)
{
  GByteArray *answer = NULL;
  int result = client_call (client, "GET", "/hosts", NULL, timeout_ms, &answer);
  if (result == 0)
    *body = g_byte_array_free_to_bytes (answer);
  return client_done (client, result);
}
