/* site_log.c -- the platform's log as a stand-in: topics, reads, the newest record of each key
 *
 * A topic is an array of records with the offset of the first that is kept, and a table of the
 * newest record of each key, which outlives the records.  A read that finds nothing waits in a
 * list; with a slow log every request waits in another list before it is looked at.
 */
#include "standins/site_log.h"

#include "base/clock.h"

#include <stdlib.h>
#include <string.h>

#define LENGTH_BYTES 4
#define PAGE_ITEMS_MAX 500

typedef struct
{
  char *key;
  GBytes *record; /* without its length */
  GBytes *value;
  uint64_t offset;
} record_t;

typedef struct
{
  GPtrArray *records; /* record_t */
  GHashTable *newest; /* key -> record_t with a value */
  uint64_t first;     /* offset of the first that is kept */
} topic_t;

/* A read that waits for a record, or any request that waits for a slow log. */
typedef struct
{
  web_request_t *request;
  char *topic; /* NULL: the request has not been looked at */
  uint64_t from;
  int64_t until_ms;
} waiter_t;

struct site_log_t
{
  GHashTable *topics;
  GPtrArray *waiters; /* waiter_t */
  site_log_faults_t faults;
};

static void
free_waiter (void *data)
{
  waiter_t *waiter = data;

  g_free (waiter->topic);
  g_free (waiter);
}

site_log_t *
site_log_new (void)
{
  site_log_t *log = g_new0 (site_log_t, 1);

  log->topics = g_hash_table_new (g_str_hash, g_str_equal);
  log->waiters = g_ptr_array_new_with_free_func (free_waiter);
  return log;
}

site_log_faults_t *
site_log_faults (site_log_t *log)
{
  return &log->faults;
}

/* --- topics --- */

static void
release_record (void *data)
{
  record_t *record = data;

  g_free (record->key);
  g_bytes_unref (record->record);
  g_bytes_unref (record->value);
}

static void
free_record (void *data)
{
  g_rc_box_release_full (data, release_record);
}

static topic_t *
find_topic (site_log_t *log, const char *name)
{
  topic_t *topic = g_hash_table_lookup (log->topics, name);

  if (topic == NULL)
    {
      topic = g_new0 (topic_t, 1);
      topic->records = g_ptr_array_new_with_free_func (free_record);
      topic->newest = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_record);
      g_hash_table_insert (log->topics, g_strdup (name), topic);
    }
  return topic;
}

static uint64_t
topic_end (const topic_t *topic)
{
  return topic->first + topic->records->len;
}

static void
topic_add (topic_t *topic, const guint8 *data, size_t size)
{
  record_t *record = g_rc_box_new0 (record_t);
  size_t key_size = size > 0 ? MIN ((size_t) data[0], size - 1) : 0;
  size_t value_size = size > key_size ? size - 1 - key_size : 0;

  record->record = g_bytes_new (data, size);
  record->key = g_strndup ((const char *) data + 1, key_size);
  record->value = g_bytes_new (data + 1 + key_size, value_size);
  record->offset = topic_end (topic);
  g_ptr_array_add (topic->records, record);
  g_hash_table_remove (topic->newest, record->key);
  if (value_size > 0)
    g_hash_table_insert (topic->newest, record->key, g_rc_box_acquire (record));
}

void
site_log_put_bytes (site_log_t *log,
                    const char *topic,
                    const char *key,
                    const void *value,
                    size_t size)
{
  GByteArray *data = g_byte_array_new ();
  guint8 key_size = (guint8) strlen (key);

  g_byte_array_append (data, &key_size, 1);
  g_byte_array_append (data, (const guint8 *) key, key_size);
  g_byte_array_append (data, value, (guint) size);
  topic_add (find_topic (log, topic), data->data, data->len);
  g_byte_array_unref (data);
}

void
site_log_put (site_log_t *log, const char *topic, const char *key, const char *value)
{
  site_log_put_bytes (log, topic, key, value, strlen (value));
}

void
site_log_forget (site_log_t *log, const char *without)
{
  GHashTableIter iter;
  void *key = NULL;
  void *value = NULL;

  g_hash_table_iter_init (&iter, log->topics);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      topic_t *topic = value;
      topic->first = topic_end (topic);
      g_ptr_array_set_size (topic->records, 0);
      if (g_strcmp0 (key, without) == 0)
        g_hash_table_remove_all (topic->newest);
    }
}

/* --- requests --- */

static void
put_number (GByteArray *out, uint64_t value, int bytes)
{
  for (int i = bytes; i-- > 0;)
    {
      guint8 byte = (guint8) (value >> (8 * i));
      g_byte_array_append (out, &byte, 1);
    }
}

static char *
query_value (const char *target, const char *name)
{
  const char *query = strchr (target, '?');
  char **pairs = g_strsplit (query != NULL ? query + 1 : "", "&", -1);
  char *found = NULL;

  for (char **pair = pairs; *pair != NULL && found == NULL; pair++)
    if (g_str_has_prefix (*pair, name) && (*pair)[strlen (name)] == '=')
      found = g_uri_unescape_string (*pair + strlen (name) + 1, NULL);
  g_strfreev (pairs);
  return found != NULL ? found : g_strdup ("");
}

static void
answer_read (site_log_t *log, web_request_t *request, const char *name, uint64_t from)
{
  const topic_t *topic = find_topic (log, name);

  if (from < topic->first)
    {
      char *body = g_strdup_printf ("{\"start_offset\":%" G_GUINT64_FORMAT "}", topic->first);
      web_reply (request, 410, NULL, body);
      g_free (body);
      return;
    }
  GByteArray *out = g_byte_array_new ();
  put_number (out, topic_end (topic), 8);
  put_number (out, topic->first, 8);
  for (uint64_t i = from; i < topic_end (topic); i++)
    {
      const record_t *record = topic->records->pdata[i - topic->first];
      gsize size = 0;
      const guint8 *data = g_bytes_get_data (record->record, &size);
      put_number (out, size, LENGTH_BYTES);
      g_byte_array_append (out, data, (guint) size);
    }
  web_reply_bytes (request, 200, NULL, out->data, out->len);
  g_byte_array_unref (out);
}

static void
wait_until (site_log_t *log, web_request_t *request, char *topic, uint64_t from, int64_t until_ms)
{
  waiter_t *waiter = g_new0 (waiter_t, 1);

  waiter->request = request;
  waiter->topic = topic;
  waiter->from = from;
  waiter->until_ms = until_ms;
  g_ptr_array_add (log->waiters, waiter);
}

static void
read_log (site_log_t *log, web_request_t *request)
{
  char *topic = query_value (request->target, "topic");
  char *from = query_value (request->target, "from");
  char *wait = query_value (request->target, "wait_ms");
  uint64_t offset = g_ascii_strtoull (from, NULL, 10);
  int64_t wait_ms = atoll (wait);

  g_free (from);
  g_free (wait);
  if (offset < topic_end (find_topic (log, topic)) || wait_ms == 0)
    {
      answer_read (log, request, topic, offset);
      g_free (topic);
    }
  else
    wait_until (log, request, topic, offset, clock_boot_ms () + wait_ms);
}

/* Appends KEY as a JSON string of ASCII: bytes beyond it stand for the characters of that number.
 */
static void
append_key (GString *items, const char *key)
{
  g_string_append_c (items, '"');
  for (const char *at = key; *at != '\0'; at++)
    if (g_ascii_isprint (*at) && *at != '"' && *at != '\\')
      g_string_append_c (items, *at);
    else
      g_string_append_printf (items, "\\u%04x", (unsigned) (guint8) *at);
  g_string_append_c (items, '"');
}

static void
append_item (GString *items, const record_t *record)
{
  gsize size = 0;
  const guint8 *data = g_bytes_get_data (record->value, &size);
  char *value = g_base64_encode (data, size);

  g_string_append (items, items->len > 0 ? ",{\"key\":" : "{\"key\":");
  append_key (items, record->key);
  g_string_append_printf (items, ",\"value\":\"%s\",\"offset\":%" G_GUINT64_FORMAT "}", value,
                          record->offset);
  g_free (value);
}

/* The keys of TOPIC that sort after AFTER ("": all), in order. */
static GList *
keys_after (const topic_t *topic, const char *after)
{
  GList *keys = g_list_sort (g_hash_table_get_keys (topic->newest), (GCompareFunc) strcmp);

  while (*after != '\0' && keys != NULL && strcmp (keys->data, after) <= 0)
    keys = g_list_delete_link (keys, keys);
  return keys;
}

static void
list_newest (site_log_t *log, web_request_t *request)
{
  char *name = query_value (request->target, "topic");
  char *after = query_value (request->target, "depends_on");
  const topic_t *topic = find_topic (log, name);
  GList *keys = keys_after (topic, after);
  GString *items = g_string_new (NULL);
  int count = 0;

  for (GList *at = keys; at != NULL && count < PAGE_ITEMS_MAX; at = at->next, count++)
    append_item (items, g_hash_table_lookup (topic->newest, at->data));
  char *body = g_strdup_printf (
      "{\"items\":[%s],\"has_more\":%s,\"end_offset\":%" G_GUINT64_FORMAT "}", items->str,
      g_list_length (keys) > PAGE_ITEMS_MAX ? "true" : "false", topic_end (topic));
  web_reply (request, 200, NULL, body);
  g_free (body);
  g_string_free (items, TRUE);
  g_list_free (keys);
  g_free (after);
  g_free (name);
}

static void
append (site_log_t *log, web_request_t *request)
{
  char *name = query_value (request->target, "topic");
  topic_t *topic = find_topic (log, name);
  const guint8 *at = (const guint8 *) request->body;
  size_t left = request->body_bytes;
  uint64_t offset = topic_end (topic);

  while (left >= LENGTH_BYTES)
    {
      size_t size = (size_t) at[0] << 24 | (size_t) at[1] << 16 | (size_t) at[2] << 8 | at[3];
      if (size > left - LENGTH_BYTES)
        break;
      topic_add (topic, at + LENGTH_BYTES, size);
      at += LENGTH_BYTES + size;
      left -= LENGTH_BYTES + size;
    }
  char *body =
      g_strdup_printf ("{\"offset\":%" G_GUINT64_FORMAT ",\"end_offset\":%" G_GUINT64_FORMAT "}",
                       offset, topic_end (topic));
  /* Without an answer the request ends when its caller gives up. */
  if (g_random_double () >= log->faults.lost)
    web_reply (request, 200, NULL, body);
  g_free (body);
  g_free (name);
}

static const struct
{
  const char *path;
  void (*run) (site_log_t *log, web_request_t *request);
} calls[] = {
  { "/log-read", read_log },
  { "/log-newest", list_newest },
  { "/log-append", append },
};

static void
serve (site_log_t *log, web_request_t *request)
{
  if (log->faults.down)
    {
      web_reply (request, 503, NULL, "{}");
      return;
    }
  for (gsize i = 0; i < G_N_ELEMENTS (calls); i++)
    if (g_str_has_prefix (request->target, calls[i].path))
      {
        calls[i].run (log, request);
        return;
      }
}

bool
site_log_request (site_log_t *log, web_request_t *request)
{
  bool known = false;

  for (gsize i = 0; i < G_N_ELEMENTS (calls); i++)
    known = known || g_str_has_prefix (request->target, calls[i].path);
  if (!known || log->faults.silent)
    return known;
  if (log->faults.slow_ms > 0)
    wait_until (log, request, NULL, 0, clock_boot_ms () + log->faults.slow_ms);
  else
    serve (log, request);
  return true;
}

void
site_log_abandoned (site_log_t *log, web_request_t *request)
{
  for (guint i = log->waiters->len; i-- > 0;)
    if (((waiter_t *) log->waiters->pdata[i])->request == request)
      g_ptr_array_remove_index_fast (log->waiters, i);
}

void
site_log_tick (site_log_t *log, int64_t now_ms)
{
  for (guint i = log->waiters->len; i-- > 0;)
    {
      const waiter_t *waiter = log->waiters->pdata[i];
      bool due = now_ms >= waiter->until_ms;
      if (waiter->topic != NULL)
        due = due || waiter->from < topic_end (find_topic (log, waiter->topic));
      if (!due)
        continue;
      waiter_t *taken = g_ptr_array_steal_index_fast (log->waiters, i);
      if (taken->topic != NULL)
        answer_read (log, taken->request, taken->topic, taken->from);
      else
        serve (log, taken->request);
      free_waiter (taken);
    }
}
