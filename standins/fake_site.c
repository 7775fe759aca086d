/* fake_site.c -- stand-in for the users' machines: the platform's log and endpoints that run tasks
 *
 * One process and one thread: a listener for the log, and one for each endpoint.  Endpoints run a
 * task for as many milliseconds as its spec says, obey tokens and leases, list ends, and register
 * in the log.  It counts what must never happen, two runs of a task at one time and a start
 * beyond an endpoint's room; GET /seen tells.  POST /fault changes how it behaves; POST /config
 * puts a configuration.
 */
#include "base/clock.h"
#include "reactor/loop.h"
#include "reactor/web.h"

#include <argtable2.h>
#include <glib.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 2
#define BEAT_MS 300
#define LEASE_MAX_MS 1000
#define STOP_MS 20
#define BODY_MAX (4 * 1024 * 1024)

typedef struct
{
  char *key;
  GBytes *record; /* without its length */
  GBytes *value;
} record_t;

typedef struct
{
  GPtrArray *records; /* record_t */
  uint64_t first;     /* offset of the first that is kept */
} topic_t;

typedef struct
{
  char *task;
  int32_t attempt;
  int64_t started_at_ms;
  int64_t ends_at_ms;
  int64_t stop_at_ms;
} run_t;

typedef struct
{
  int64_t number;
  char *task;
  int32_t attempt;
  const char *how;
} end_t;

typedef struct
{
  char *id;
  char *address;
  char *data_centre;
  int64_t born_at_ms; /* boot clock */
  int64_t born_wall_ms;
  int64_t token;
  int64_t lease_until_ms;
  int64_t last_end;
  int64_t sequence;
  GPtrArray *runs;
  GPtrArray *ends;
  GHashTable *seen; /* task -> highest attempt that was stopped or has ended */
  web_t *web;
  bool failing; /* all runs fail */
  bool hanging; /* runs never end */
  bool mute;    /* carries out, does not answer */
  bool draining;
} endpoint_t;

/* A request that waits for something. */
typedef struct
{
  web_request_t *request;
  endpoint_t *endpoint; /* a look; NULL for a read of the log */
  char *topic;
  uint64_t from;
  int64_t until_ms;
} waiter_t;

static loop_t *loop;
static web_t *log_web;
static GHashTable *topics;
static GPtrArray *endpoints;
static GPtrArray *waiters;
static bool log_down;
static int32_t twice;
static int32_t crowded;
static int32_t starts;
static int32_t room = 3;
static int64_t beat_at_ms;

/* --- the log --- */

static topic_t *
find_topic (const char *name)
{
  topic_t *topic = g_hash_table_lookup (topics, name);

  if (topic == NULL)
    {
      topic = g_new0 (topic_t, 1);
      topic->records = g_ptr_array_new ();
      g_hash_table_insert (topics, g_strdup (name), topic);
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
  record_t *record = g_new0 (record_t, 1);
  size_t key_size = size > 0 ? MIN ((size_t) data[0], size - 1) : 0;

  record->record = g_bytes_new (data, size);
  record->key = g_strndup ((const char *) data + 1, key_size);
  record->value = g_bytes_new (data + 1 + key_size, size > key_size ? size - 1 - key_size : 0);
  g_ptr_array_add (topic->records, record);
}

static void
topic_put (const char *name, const char *key, const char *value)
{
  GByteArray *data = g_byte_array_new ();
  guint8 key_size = (guint8) strlen (key);

  g_byte_array_append (data, &key_size, 1);
  g_byte_array_append (data, (const guint8 *) key, key_size);
  g_byte_array_append (data, (const guint8 *) value, (guint) strlen (value));
  topic_add (find_topic (name), data->data, data->len);
  g_byte_array_unref (data);
}

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
  return found;
}

static void
answer_read (web_request_t *request, const char *name, uint64_t from)
{
  const topic_t *topic = find_topic (name);

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
      put_number (out, size, 4);
      g_byte_array_append (out, data, (guint) size);
    }
  web_reply_bytes (request, 200, NULL, out->data, out->len);
  g_byte_array_unref (out);
}

static void
read_log (web_request_t *request)
{
  char *topic = query_value (request->target, "topic");
  char *from = query_value (request->target, "from");
  char *wait = query_value (request->target, "wait_ms");
  uint64_t offset = from != NULL ? g_ascii_strtoull (from, NULL, 10) : 0;
  int64_t wait_ms = wait != NULL ? atoll (wait) : 0;

  if (offset < topic_end (find_topic (topic != NULL ? topic : "")) || wait_ms == 0)
    answer_read (request, topic != NULL ? topic : "", offset);
  else
    {
      waiter_t *waiter = g_new0 (waiter_t, 1);
      waiter->request = request;
      waiter->topic = g_strdup (topic);
      waiter->from = offset;
      waiter->until_ms = clock_boot_ms () + wait_ms;
      g_ptr_array_add (waiters, waiter);
    }
  g_free (topic);
  g_free (from);
  g_free (wait);
}

static void
list_newest (web_request_t *request)
{
  char *name = query_value (request->target, "topic");
  const topic_t *topic = find_topic (name != NULL ? name : "");
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  GString *items = g_string_new (NULL);

  for (guint i = topic->records->len; i-- > 0;)
    {
      const record_t *record = topic->records->pdata[i];
      gsize size = 0;
      const guint8 *data = g_bytes_get_data (record->value, &size);
      if (!g_hash_table_add (seen, record->key) || size == 0)
        continue;
      char *value = g_base64_encode (data, size);
      g_string_append_printf (items, "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%u}",
                              items->len > 0 ? "," : "", record->key, value, i);
      g_free (value);
    }
  char *body =
      g_strdup_printf ("{\"items\":[%s],\"has_more\":false,\"end_offset\":%" G_GUINT64_FORMAT "}",
                       items->str, topic_end (topic));
  web_reply (request, 200, NULL, body);
  g_free (body);
  g_string_free (items, TRUE);
  g_hash_table_unref (seen);
  g_free (name);
}

static void
append (web_request_t *request)
{
  char *name = query_value (request->target, "topic");
  topic_t *topic = find_topic (name != NULL ? name : "");
  const guint8 *at = (const guint8 *) request->body;
  size_t left = request->body_bytes;
  uint64_t offset = topic_end (topic);

  while (left >= 4)
    {
      size_t size = (size_t) at[0] << 24 | (size_t) at[1] << 16 | (size_t) at[2] << 8 | at[3];
      if (size > left - 4)
        break;
      topic_add (topic, at + 4, size);
      at += 4 + size;
      left -= 4 + size;
    }
  char *body =
      g_strdup_printf ("{\"offset\":%" G_GUINT64_FORMAT ",\"end_offset\":%" G_GUINT64_FORMAT "}",
                       offset, topic_end (topic));
  web_reply (request, 200, NULL, body);
  g_free (body);
  g_free (name);
}

/* --- endpoints --- */

static void
free_run (void *data)
{
  run_t *run = data;

  g_free (run->task);
  g_free (run);
}

static void
free_end (void *data)
{
  end_t *end = data;

  g_free (end->task);
  g_free (end);
}

static int32_t
highest_seen (const endpoint_t *endpoint, const char *task)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (endpoint->seen, task));
}

static void
note_seen (endpoint_t *endpoint, const char *task, int32_t attempt)
{
  g_hash_table_replace (endpoint->seen, g_strdup (task),
                        GINT_TO_POINTER (MAX (attempt, highest_seen (endpoint, task))));
}

static void
step_endpoint (endpoint_t *endpoint, int64_t now_ms)
{
  for (guint i = endpoint->runs->len; i-- > 0;)
    {
      run_t *run = endpoint->runs->pdata[i];
      const char *how = NULL;
      if (run->ends_at_ms <= now_ms && run->ends_at_ms <= endpoint->lease_until_ms)
        how = endpoint->failing ? "failed" : "done";
      else if (run->stop_at_ms != 0 && run->stop_at_ms <= now_ms)
        how = "stopped";
      else if (endpoint->lease_until_ms <= now_ms)
        how = "lapsed";
      if (how == NULL)
        continue;
      end_t *end = g_new0 (end_t, 1);
      end->number = ++endpoint->last_end;
      end->task = g_strdup (run->task);
      end->attempt = run->attempt;
      end->how = how;
      g_ptr_array_add (endpoint->ends, end);
      note_seen (endpoint, run->task, run->attempt);
      g_ptr_array_remove_index_fast (endpoint->runs, i);
    }
}

static run_t *
find_run (const endpoint_t *endpoint, const char *task)
{
  for (guint i = 0; i < endpoint->runs->len; i++)
    if (strcmp (((run_t *) endpoint->runs->pdata[i])->task, task) == 0)
      return endpoint->runs->pdata[i];
  return NULL;
}

static int64_t
clock_there (const endpoint_t *endpoint, int64_t now_ms)
{
  return now_ms - endpoint->born_at_ms + 1;
}

static void
reply_clock (web_request_t *request, const endpoint_t *endpoint, int status, const char *reason)
{
  char *body = g_strdup_printf ("{\"clock_ms\":%" G_GINT64_FORMAT "%s%s%s}",
                                clock_there (endpoint, clock_boot_ms ()),
                                reason != NULL ? ",\"reason\":\"" : "",
                                reason != NULL ? reason : "", reason != NULL ? "\"" : "");
  web_reply (request, status, NULL, body);
  g_free (body);
}

static int64_t
number (json_object *object, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_int64 (value) : 0;
}

static const char *
text (json_object *object, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_string (value) : "";
}

static void
extend (endpoint_t *endpoint, json_object *order, int64_t now_ms)
{
  int64_t until_ms = number (order, "deadline_ms") + endpoint->born_at_ms - 1;

  endpoint->lease_until_ms = MAX (endpoint->lease_until_ms, MIN (until_ms, now_ms + LEASE_MAX_MS));
}

static void
check_start (const endpoint_t *endpoint, const char *task, int64_t now_ms)
{
  for (guint i = 0; i < endpoints->len; i++)
    {
      endpoint_t *other = endpoints->pdata[i];
      step_endpoint (other, now_ms);
      twice += other != endpoint && find_run (other, task) != NULL;
    }
  starts++;
}

static const char *
start_run (endpoint_t *endpoint, json_object *order, int64_t now_ms)
{
  const char *task = text (order, "task");
  int32_t attempt = (int32_t) number (order, "attempt");

  if (number (order, "deadline_ms") < clock_there (endpoint, now_ms))
    return "late";
  extend (endpoint, order, now_ms);
  if (find_run (endpoint, task) != NULL)
    return NULL;
  if (highest_seen (endpoint, task) >= attempt)
    return "old";
  if ((int32_t) endpoint->runs->len >= room)
    {
      crowded++;
      return "room";
    }
  check_start (endpoint, task, now_ms);
  run_t *run = g_new0 (run_t, 1);
  run->task = g_strdup (task);
  run->attempt = attempt;
  run->started_at_ms = now_ms;
  run->ends_at_ms = endpoint->hanging ? INT64_MAX : now_ms + atoi (text (order, "spec"));
  g_ptr_array_add (endpoint->runs, run);
  return NULL;
}

static void
answer_look (web_request_t *request, const endpoint_t *endpoint, int64_t now_ms)
{
  GString *body = g_string_new (NULL);

  g_string_append_printf (
      body, "{\"clock_ms\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT ",\"active\":[",
      clock_there (endpoint, now_ms), endpoint->born_wall_ms);
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const run_t *run = endpoint->runs->pdata[i];
      int64_t whole_ms = run->ends_at_ms == INT64_MAX ? 0 : run->ends_at_ms - run->started_at_ms;
      g_string_append_printf (
          body, "%s[\"%s\",%d,\"\",%d]", i > 0 ? "," : "", run->task, run->attempt,
          whole_ms > 0 ? (int) (100 * (now_ms - run->started_at_ms) / whole_ms) : 0);
    }
  g_string_append (body, "],\"finished\":[");
  for (guint i = 0; i < endpoint->ends->len; i++)
    {
      const end_t *end = endpoint->ends->pdata[i];
      g_string_append_printf (body, "%s[%" G_GINT64_FORMAT ",\"%s\",%d,\"%s\",\"\"]",
                              i > 0 ? "," : "", end->number, end->task, end->attempt, end->how);
    }
  g_string_append (body, "]}");
  web_reply (request, 200, NULL, body->str);
  g_string_free (body, TRUE);
}

static void
look (web_request_t *request, endpoint_t *endpoint, json_object *order, int64_t now_ms)
{
  int64_t ack = number (order, "ack_index");
  int64_t wait_ms = number (order, "wait_ms");

  for (guint i = endpoint->ends->len; i-- > 0;)
    if (((end_t *) endpoint->ends->pdata[i])->number <= ack)
      g_ptr_array_remove_index (endpoint->ends, i);
  if (number (order, "deadline_ms") > 0)
    extend (endpoint, order, now_ms);
  if (wait_ms == 0 || endpoint->ends->len > 0)
    {
      answer_look (request, endpoint, now_ms);
      return;
    }
  waiter_t *waiter = g_new0 (waiter_t, 1);
  waiter->request = request;
  waiter->endpoint = endpoint;
  waiter->until_ms = now_ms + wait_ms;
  g_ptr_array_add (waiters, waiter);
}

static void
stop_run (endpoint_t *endpoint, json_object *order, int64_t now_ms)
{
  run_t *run = find_run (endpoint, text (order, "task"));

  if (run == NULL)
    note_seen (endpoint, text (order, "task"), (int32_t) number (order, "attempt"));
  else if (run->stop_at_ms == 0)
    run->stop_at_ms = now_ms + STOP_MS;
}

static void
on_order (web_request_t *request, void *data)
{
  endpoint_t *endpoint = data;
  int64_t now_ms = clock_boot_ms ();
  json_object *order = json_tokener_parse (request->body);

  request->user = NULL;
  step_endpoint (endpoint, now_ms);
  if (order == NULL)
    web_reply (request, 400, NULL, "{}");
  else if (number (order, "fencing_token") < endpoint->token)
    reply_clock (request, endpoint, 409, "fence");
  else
    {
      endpoint->token = number (order, "fencing_token");
      if (strcmp (request->target, "/hold") == 0)
        look (request, endpoint, order, now_ms);
      else if (strcmp (request->target, "/run-start") == 0)
        {
          const char *reason = start_run (endpoint, order, now_ms);
          if (!endpoint->mute)
            reply_clock (request, endpoint, reason != NULL ? 409 : 200, reason);
        }
      else
        {
          stop_run (endpoint, order, now_ms);
          reply_clock (request, endpoint, 200, NULL);
        }
    }
  if (order != NULL)
    json_object_put (order);
}

static void
on_gone (web_request_t *request, void *data)
{
  (void) data;
  for (guint i = waiters->len; i-- > 0;)
    {
      waiter_t *waiter = waiters->pdata[i];
      if (waiter->request != request)
        continue;
      g_free (waiter->topic);
      g_free (waiter);
      g_ptr_array_remove_index_fast (waiters, i);
    }
}

/* --- control --- */

static endpoint_t *
endpoint_named (const char *id)
{
  for (guint i = 0; i < endpoints->len; i++)
    if (strcmp (((endpoint_t *) endpoints->pdata[i])->id, id) == 0)
      return endpoints->pdata[i];
  return NULL;
}

static void
set_flag (json_object *fault, const char *key, bool *flag)
{
  json_object *value = NULL;

  if (json_object_object_get_ex (fault, key, &value))
    *flag = json_object_get_boolean (value);
}

static void
change_faults (web_request_t *request)
{
  json_object *fault = json_tokener_parse (request->body);
  endpoint_t *endpoint = fault != NULL ? endpoint_named (text (fault, "endpoint")) : NULL;

  if (fault == NULL)
    {
      web_reply (request, 400, NULL, "{}");
      return;
    }
  set_flag (fault, "log_down", &log_down);
  if (endpoint != NULL)
    {
      set_flag (fault, "failing", &endpoint->failing);
      set_flag (fault, "hanging", &endpoint->hanging);
      set_flag (fault, "mute", &endpoint->mute);
      set_flag (fault, "draining", &endpoint->draining);
    }
  beat_at_ms = 0;
  json_object_put (fault);
  web_reply (request, 200, NULL, "{}");
}

/* Drops all records of the log but the newest of each key. */
static void
forget (web_request_t *request)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, topics);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      topic_t *topic = value;
      /* A later record of each key is added, so that the listing stays whole. */
      GHashTable *newest = g_hash_table_new (g_str_hash, g_str_equal);
      for (guint i = 0; i < topic->records->len; i++)
        {
          record_t *record = topic->records->pdata[i];
          g_hash_table_replace (newest, record->key, record);
        }
      uint64_t end = topic_end (topic);
      GPtrArray *kept = g_ptr_array_new ();
      GHashTableIter keys;
      void *record = NULL;
      g_hash_table_iter_init (&keys, newest);
      while (g_hash_table_iter_next (&keys, NULL, &record))
        g_ptr_array_add (kept, record);
      g_ptr_array_unref (topic->records);
      topic->records = kept;
      topic->first = end + 1;
      g_hash_table_unref (newest);
    }
  web_reply (request, 200, NULL, "{}");
}

static void
tell_seen (web_request_t *request)
{
  GString *body = g_string_new (NULL);
  int32_t running = 0;
  int32_t unacknowledged = 0;

  for (guint i = 0; i < endpoints->len; i++)
    {
      const endpoint_t *endpoint = endpoints->pdata[i];
      running += (int32_t) endpoint->runs->len;
      unacknowledged += (int32_t) endpoint->ends->len;
    }
  g_string_append_printf (body,
                          "{\"starts\":%d,\"twice\":%d,\"crowded\":%d,\"running\":%d,"
                          "\"unacknowledged\":%d,\"tokens\":[",
                          starts, twice, crowded, running, unacknowledged);
  for (guint i = 0; i < endpoints->len; i++)
    g_string_append_printf (body, "%s%" G_GINT64_FORMAT, i > 0 ? "," : "",
                            ((endpoint_t *) endpoints->pdata[i])->token);
  g_string_append (body, "]}");
  web_reply (request, 200, NULL, body->str);
  g_string_free (body, TRUE);
}

static bool
starts_with (const web_request_t *request, const char *path)
{
  return strncmp (request->target, path, strlen (path)) == 0;
}

static void
on_log (web_request_t *request, void *data)
{
  (void) data;
  request->user = NULL;
  if (starts_with (request, "/fault"))
    change_faults (request);
  else if (starts_with (request, "/forget"))
    forget (request);
  else if (starts_with (request, "/seen"))
    tell_seen (request);
  else if (starts_with (request, "/config"))
    {
      topic_put ("keyed.op", "config", request->body);
      web_reply (request, 200, NULL, "{}");
    }
  else if (log_down)
    web_reply (request, 503, NULL, "{}");
  else if (starts_with (request, "/log-read"))
    read_log (request);
  else if (starts_with (request, "/log-newest"))
    list_newest (request);
  else if (starts_with (request, "/log-append"))
    append (request);
  else
    web_reply (request, 404, NULL, "{}");
}

/* --- time --- */

static void
register_endpoints (int64_t now_ms)
{
  if (now_ms - beat_at_ms < BEAT_MS || log_down)
    return;
  beat_at_ms = now_ms;
  for (guint i = 0; i < endpoints->len; i++)
    {
      endpoint_t *endpoint = endpoints->pdata[i];
      char *entry = g_strdup_printf (
          "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
          "\"capacity\":8,\"state\":\"%s\",\"cold_remaining_ms\":0,\"free_capacity\":"
          "{\"cpu_millis\":%d,\"mem_mb\":%d,\"gpus\":0},\"labels\":[\"a\",\"r1-1\"],"
          "\"clock_ms\":%" G_GINT64_FORMAT ",\"sequence\":%" G_GINT64_FORMAT
          ",\"born\":%" G_GINT64_FORMAT "}",
          endpoint->address, endpoint->data_centre, endpoint->draining ? "draining" : "ready",
          (room - (int32_t) endpoint->runs->len) * 1000,
          (room - (int32_t) endpoint->runs->len) * 100, clock_there (endpoint, now_ms),
          ++endpoint->sequence, endpoint->born_wall_ms);
      topic_put ("keyed.servers", endpoint->id, entry);
      g_free (entry);
    }
}

static void
on_tick (void *data)
{
  int64_t now_ms = clock_boot_ms ();

  (void) data;
  for (guint i = 0; i < endpoints->len; i++)
    step_endpoint (endpoints->pdata[i], now_ms);
  register_endpoints (now_ms);
  for (guint i = waiters->len; i-- > 0;)
    {
      waiter_t *waiter = waiters->pdata[i];
      bool due = now_ms >= waiter->until_ms;
      if (waiter->endpoint != NULL)
        due = due || waiter->endpoint->ends->len > 0;
      else
        due = due || waiter->from < topic_end (find_topic (waiter->topic));
      if (!due)
        continue;
      g_ptr_array_remove_index_fast (waiters, i);
      if (waiter->endpoint != NULL)
        answer_look (waiter->request, waiter->endpoint, now_ms);
      else
        answer_read (waiter->request, waiter->topic, waiter->from);
      g_free (waiter->topic);
      g_free (waiter);
    }
}

static void
on_stop (void *data)
{
  loop_stop (data);
}

/* --- start --- */

static const web_ops_t log_ops = { on_log, on_gone };
static const web_ops_t order_ops = { on_order, on_gone };
static const web_bounds_t bounds = { 65536, BODY_MAX, 10000, 60000 };

static void
add_endpoint (int number_of, const char *address, const char *data_centre)
{
  endpoint_t *endpoint = g_new0 (endpoint_t, 1);

  endpoint->id = g_strdup_printf ("e%d", number_of);
  endpoint->address = g_strdup (address);
  endpoint->data_centre = g_strdup (data_centre);
  endpoint->born_at_ms = clock_boot_ms ();
  endpoint->born_wall_ms = clock_wall_ms ();
  endpoint->runs = g_ptr_array_new_with_free_func (free_run);
  endpoint->ends = g_ptr_array_new_with_free_func (free_end);
  endpoint->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  web_options_t options = {
    .address = address, .bounds = bounds, .ops = &order_ops, .data = endpoint
  };
  if (web_listen (loop, &options, &endpoint->web) != 0)
    {
      fprintf (stderr, "fake_site: cannot listen on %s\n", address);
      exit (EXIT_FAILURE);
    }
  g_ptr_array_add (endpoints, endpoint);
}

static int
serve (const char *listen, int count, int first_port, const char *data_centres)
{
  char **names = g_strsplit (data_centres, ",", -1);
  guint names_count = g_strv_length (names);

  topics = g_hash_table_new (g_str_hash, g_str_equal);
  endpoints = g_ptr_array_new ();
  waiters = g_ptr_array_new ();
  loop = loop_new (TICK_MS, on_tick, NULL);
  for (int i = 0; i < count; i++)
    {
      char *address = g_strdup_printf ("127.0.0.1:%d", first_port + i);
      add_endpoint (i, address, names[(guint) i % names_count]);
      g_free (address);
    }
  web_options_t options = { .address = listen, .bounds = bounds, .ops = &log_ops };
  if (web_listen (loop, &options, &log_web) != 0)
    {
      fprintf (stderr, "fake_site: cannot listen on %s\n", listen);
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  loop_on_signal (loop, SIGTERM, on_stop, loop);
  printf ("listening %s\n", listen);
  fflush (stdout);
  loop_run (loop);
  g_strfreev (names);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arg_str *listen = arg_str1 (NULL, "listen", "IP:PORT", "where the log listens");
  struct arg_int *count = arg_int1 (NULL, "endpoints", "N", "how many endpoints");
  struct arg_int *first = arg_int1 (NULL, "first-port", "PORT", "of the first endpoint");
  struct arg_str *names = arg_str1 (NULL, "data-centres", "A,B", "names, in turn");
  struct arg_end *end = arg_end (4);
  void *table[] = { listen, count, first, names, end };

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "fake_site");
      arg_print_syntax (stderr, table, "\n");
      return 2;
    }
  return serve (listen->sval[0], count->ival[0], first->ival[0], names->sval[0]);
}
