/* platform.c -- HTTP client of the platform's log and list of hosts
 *
 * One connection is kept open and reused for reads.  An append always opens a new connection: if it
 * were sent on a connection that the platform has just closed, it would be unknown whether the
 * append had been received.
 */
#include "platform/platform.h"

#include "base/clock.h"
#include "base/error.h"
#include "http/client.h"
#include "platform/json.h"

#include <inttypes.h>

#define STATUS_OK_FIRST 200
#define STATUS_OK_LAST 299

struct platform_client_t
{
  char **addresses;
  guint address_count;
  guint address_index; /* the address in use */
  char *headers;
  GRand *random;
  int64_t retry_delay_ms;        /* before jitter; 0 after a success */
  http_connection_t *connection; /* to the address in use; NULL if there is none */
};

platform_client_t *
platform_client_new (const char *const *addresses, const char *data_centre, uint32_t seed)
{
  platform_client_t *client = g_new0 (platform_client_t, 1);
  client->addresses = g_strdupv ((char **) addresses);
  client->address_count = g_strv_length (client->addresses);
  if (data_centre)
    client->headers = g_strdup_printf ("X-Data-Centre: %s\r\n", data_centre);
  client->random = g_rand_new_with_seed (seed);
  client->address_index = seed % MAX (client->address_count, 1);
  return client;
}

static void
disconnect (platform_client_t *client)
{
  http_close (client->connection);
  client->connection = NULL;
}

void
platform_client_free (platform_client_t *client)
{
  if (client == NULL)
    return;
  disconnect (client);
  g_strfreev (client->addresses);
  g_free (client->headers);
  g_rand_free (client->random);
  g_free (client);
}

/* Opens a connection, unless MAY_REUSE is true and the open one is idle. */
static int
ensure_connected (platform_client_t *client, bool may_reuse)
{
  if (client->address_count == 0)
    return ERROR_NOT_CONNECTED;
  if (client->connection && may_reuse && http_is_idle (client->connection))
    return 0;
  disconnect (client);
  return http_connect (client->addresses[client->address_index], &client->connection);
}

/* Sends CALL and receives ANSWER.  Returns 0 for a 2xx status; the caller then clears ANSWER. */
static int
send_call (platform_client_t *client, http_call_t *call, http_answer_t *answer)
{
  int result = ensure_connected (client, call->body == NULL);
  if (result < 0)
    return result;
  call->headers = client->headers;
  call->max_answer_bytes = PLATFORM_ANSWER_MAX_BYTES;
  result = http_exchange (client->connection, call, answer);
  if (result < 0 || !answer->reusable)
    disconnect (client);
  if (result < 0)
    return result == ERROR_CLOSED ? ERROR_IO : result;
  if (answer->status >= STATUS_OK_FIRST && answer->status <= STATUS_OK_LAST)
    return 0;
  http_answer_clear (answer);
  return ERROR_IO;
}

/* Ends a call with RESULT, which it returns.  A success resets the retry delay; a failure closes
 * the connection, selects the next address and increases the delay. */
static int
finish_call (platform_client_t *client, int result)
{
  if (result == 0)
    {
      client->retry_delay_ms = 0;
      return 0;
    }
  disconnect (client);
  client->address_index = (client->address_index + 1) % MAX (client->address_count, 1);
  client->retry_delay_ms =
      CLAMP (client->retry_delay_ms * 2, PLATFORM_RETRY_MIN_MS, PLATFORM_RETRY_MAX_MS);
  return result;
}

int64_t
platform_retry_delay_ms (platform_client_t *client)
{
  if (client->retry_delay_ms == 0)
    return 0;
  int64_t half_ms = client->retry_delay_ms / 2;
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
  http_answer_t answer = { 0 };
  char *path = g_strdup_printf ("/log/%s", stream);
  http_call_t call = { .method = "POST", .path = path, .body = data, .body_bytes = size };
  call.deadline_at_ms = clock_boot_ms () + timeout_ms;
  int result = send_call (client, &call, &answer);
  if (result == 0)
    result = offset_parse (answer.body, offset);
  http_answer_clear (&answer);
  g_free (path);
  return finish_call (client, result);
}

int
platform_read (platform_client_t *client,
               const char *stream,
               int64_t from,
               int64_t wait_ms,
               int64_t timeout_ms,
               log_batch_t **batch)
{
  http_answer_t answer = { 0 };
  char *path = g_strdup_printf ("/log/%s?from=%" PRId64 "&wait_ms=%" PRId64, stream, from, wait_ms);
  http_call_t call = { .method = "GET", .path = path };
  call.deadline_at_ms = clock_boot_ms () + timeout_ms;
  int result = send_call (client, &call, &answer);
  if (result == 0)
    result = log_batch_parse ((const char *) answer.body->data, answer.body->len, from, batch);
  http_answer_clear (&answer);
  g_free (path);
  return finish_call (client, result);
}

int
platform_fetch_hosts (platform_client_t *client, int64_t timeout_ms, GBytes **body)
{
  http_answer_t answer = { 0 };
  http_call_t call = { .method = "GET", .path = "/hosts" };
  call.deadline_at_ms = clock_boot_ms () + timeout_ms;
  int result = send_call (client, &call, &answer);
  if (result == 0)
    *body = g_bytes_new (answer.body->data, answer.body->len);
  http_answer_clear (&answer);
  return finish_call (client, result);
}
