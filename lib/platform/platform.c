/* platform.c -- client of the platform's log and list of hosts
 *
 * One connection is kept for reads.  An append always takes a new one: on a
 * connection that the platform has closed meanwhile, it would not be known
 * whether the append had been read.
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
  guint address; /* the one in use */
  char *headers;
  GRand *random;
  int64_t retry_ms;
  http_connection_t *kept; /* to the address in use; NULL for none */
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
  client->address = seed % MAX (client->address_count, 1);
  return client;
}

static void
disconnect (platform_client_t *client)
{
  http_close (client->kept);
  client->kept = NULL;
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

/* Connects, unless the kept connection may carry the call. */
static int
prepare (platform_client_t *client, bool may_use_kept)
{
  if (client->address_count == 0)
    return ERROR_NOT_CONNECTED;
  if (client->kept && may_use_kept && http_is_idle (client->kept))
    return 0;
  disconnect (client);
  return http_connect (client->addresses[client->address], &client->kept);
}

/* Makes CALL; on success the caller clears ANSWER. */
static int
client_call (platform_client_t *client, http_call_t *call, http_answer_t *answer)
{
  int result = prepare (client, call->body == NULL);
  if (result < 0)
    return result;
  call->headers = client->headers;
  call->max_answer_bytes = PLATFORM_ANSWER_MAX_BYTES;
  result = http_exchange (client->kept, call, answer);
  if (result < 0 || !answer->reusable)
    disconnect (client);
  if (result < 0)
    return result == ERROR_CLOSED ? ERROR_IO : result;
  if (answer->status >= STATUS_OK_FIRST && answer->status <= STATUS_OK_LAST)
    return 0;
  http_answer_clear (answer);
  return ERROR_IO;
}

/* Remembers success, or failure: the next call goes to the next address. */
static int
client_done (platform_client_t *client, int result)
{
  if (result == 0)
    {
      client->retry_ms = 0;
      return 0;
    }
  disconnect (client);
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
  http_answer_t answer = { 0 };
  char *path = g_strdup_printf ("/log/%s", stream);
  http_call_t call = { .method = "POST", .path = path, .body = data, .body_bytes = size };
  call.deadline_at_ms = clock_boot_ms () + timeout_ms;
  int result = client_call (client, &call, &answer);
  if (result == 0)
    result = offset_parse (answer.body, offset);
  http_answer_clear (&answer);
  g_free (path);
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
  http_answer_t answer = { 0 };
  char *path = g_strdup_printf ("/log/%s?from=%" PRId64 "&wait_ms=%" PRId64, stream, from, wait_ms);
  http_call_t call = { .method = "GET", .path = path };
  call.deadline_at_ms = clock_boot_ms () + timeout_ms;
  int result = client_call (client, &call, &answer);
  if (result == 0)
    result = log_batch_parse ((const char *) answer.body->data, answer.body->len, from, batch);
  http_answer_clear (&answer);
  g_free (path);
  return client_done (client, result);
}

int
platform_hosts (platform_client_t *client, int64_t timeout_ms, GBytes **body)
{
  http_answer_t answer = { 0 };
  http_call_t call = { .method = "GET", .path = "/hosts" };
  call.deadline_at_ms = clock_boot_ms () + timeout_ms;
  int result = client_call (client, &call, &answer);
  if (result == 0)
    *body = g_bytes_new (answer.body->data, answer.body->len);
  http_answer_clear (&answer);
  return client_done (client, result);
}
