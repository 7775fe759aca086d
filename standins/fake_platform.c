/* fake_platform.c -- stand-in for the platform: append-only log streams and the list of hosts
 *
 * Everything is in memory.  POST /fault changes how calls are answered, for
 * all callers, or for the callers of one data centre (header X-Data-Centre):
 *
 *   outage        the call fails before it does anything: 503 or a cut connection, by turns
 *   delay_ms      the call is held that long first
 *   hang          the call is held until the fault ends, and is then served
 *   lose_answers  a fraction of the appends (true: all) take effect, but the
 *                 answer is a 500 or a cut connection, by turns
 *   lag_ms        a new list of hosts becomes visible that much later
 *   appends_per_s appends beyond this rate are refused with 503 and do nothing
 *
 * Members that are absent keep their value; {"reset":true} ends all faults.
 */
#include "base/clock.h"
#include "standins/common_server.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#define DEFAULT_RETENTION_RECORDS 100000
#define DEFAULT_THREADS 256
#define WAIT_MAX_MS 60000
#define US_PER_MS 1000

typedef struct
{
  int64_t at_ms;
  char *data; /* base64 */
} record_t;

typedef struct
{
  GPtrArray *records; /* of record_t; the first has offset FIRST */
  int64_t first;
} stream_t;

typedef struct
{
  bool outage;
  bool hang;
  int64_t delay_ms;
  double lose_answers;
} fault_t;

/* A list of hosts that becomes visible at VISIBLE_AT_US. */
typedef struct
{
  int64_t visible_at_us;
  char *text;
} hosts_t;

static struct
{
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  GHashTable *streams; /* name -> stream_t */
  GHashTable *faults;  /* data centre -> fault_t; goes before ALL */
  fault_t all;
  GQueue hosts; /* of hosts_t, the last visible one first */
  int64_t lag_ms;
  int64_t appends_per_s;
  int64_t second; /* the second that APPENDS_IN_SECOND counts in */
  int64_t appends_in_second;
  int64_t retention_records;
  GRand *random;
  uint32_t turn; /* chooses between an error and a cut connection */
  int64_t appends;
  int64_t reads;
  int64_t host_reads;
  GHashTable *calls; /* data centre -> number of calls */
} platform = { .retention_records = DEFAULT_RETENTION_RECORDS };

/* With the mutex held, as everything below unless said otherwise. */
static const fault_t *
fault_of (const char *data_centre)
{
  const fault_t *own = g_hash_table_lookup (platform.faults, data_centre);
  return own ? own : &platform.all;
}

static stream_t *
stream_get (const char *name)
{
  stream_t *stream = g_hash_table_lookup (platform.streams, name);
  if (stream == NULL)
    {
      stream = g_new0 (stream_t, 1);
      stream->records = g_ptr_array_new ();
      g_hash_table_insert (platform.streams, g_strdup (name), stream);
    }
  return stream;
}

static int64_t
stream_next (const stream_t *stream)
{
  return stream->first + (int64_t) stream->records->len;
}

static void
record_free (record_t *record)
{
  g_free (record->data);
  g_free (record);
}

static int64_t
stream_append (stream_t *stream, const GString *body)
{
  record_t *record = g_new0 (record_t, 1);
  record->at_ms = clock_wall_ms ();
  record->data = g_base64_encode ((const guchar *) body->str, body->len);
  g_ptr_array_add (stream->records, record);
  while ((int64_t) stream->records->len > platform.retention_records)
    {
      record_free (g_ptr_array_index (stream->records, 0));
      g_ptr_array_remove_index (stream->records, 0);
      stream->first++;
    }
  pthread_cond_broadcast (&platform.changed);
  return stream_next (stream) - 1;
}

static bool
append_rate_exceeded (void)
{
  int64_t second = g_get_monotonic_time () / G_USEC_PER_SEC;
  if (second != platform.second)
    {
      platform.second = second;
      platform.appends_in_second = 0;
    }
  platform.appends_in_second++;
  return platform.appends_per_s > 0 && platform.appends_in_second > platform.appends_per_s;
}

/* Without the mutex: an error answer or a cut connection, by turns. */
static void
answer_lost (standin_request_t *request, int status, uint32_t turn)
{
  if (turn % 2 == 0)
    standin_answer_error (request, status, "unavailable");
  else
    standin_close (request);
}

/* Without the mutex: holds the call as the faults say.  Returns false if it
 * has been answered. */
static bool
pass_faults (standin_request_t *request)
{
  const char *data_centre = standin_header (request, "X-Data-Centre");
  pthread_mutex_lock (&platform.mutex);
  int64_t *calls = g_hash_table_lookup (platform.calls, data_centre);
  if (calls == NULL)
    {
      calls = g_new0 (int64_t, 1);
      g_hash_table_insert (platform.calls, g_strdup (data_centre), calls);
    }
  (*calls)++;
  int64_t end_us = g_get_monotonic_time () + fault_of (data_centre)->delay_ms * US_PER_MS;
  while (g_get_monotonic_time () < end_us)
    standin_wait (&platform.changed, &platform.mutex, end_us);
  while (fault_of (data_centre)->hang)
    pthread_cond_wait (&platform.changed, &platform.mutex);
  bool outage = fault_of (data_centre)->outage;
  uint32_t turn = platform.turn;
  if (outage)
    platform.turn++;
  pthread_mutex_unlock (&platform.mutex);
  if (outage)
    answer_lost (request, 503, turn);
  return !outage;
}

static void
handle_append (standin_request_t *request)
{
  if (!request->complete)
    {
      standin_close (request);
      return;
    }
  const char *data_centre = standin_header (request, "X-Data-Centre");
  pthread_mutex_lock (&platform.mutex);
  if (append_rate_exceeded ())
    {
      pthread_mutex_unlock (&platform.mutex);
      standin_answer_error (request, 503, "too many appends");
      return;
    }
  int64_t offset = stream_append (stream_get (request->path + strlen ("/log/")), request->body);
  platform.appends++;
  bool lost = g_rand_double (platform.random) < fault_of (data_centre)->lose_answers;
  uint32_t turn = platform.turn;
  if (lost)
    platform.turn++;
  pthread_mutex_unlock (&platform.mutex);
  if (lost)
    {
      answer_lost (request, 500, turn);
      return;
    }
  char text[64];
  g_snprintf (text, sizeof text, "{\"offset\":%" G_GINT64_FORMAT "}", offset);
  standin_answer_json (request, 200, text);
}

static GString *
stream_print (const stream_t *stream, int64_t from)
{
  GString *text = g_string_new (NULL);
  g_string_printf (text,
                   "{\"first\":%" G_GINT64_FORMAT ",\"next\":%" G_GINT64_FORMAT ",\"records\":[",
                   stream->first, stream_next (stream));
  int64_t begin = MAX (from, stream->first);
  for (int64_t offset = begin; offset < stream_next (stream); offset++)
    {
      const record_t *record = g_ptr_array_index (stream->records, offset - stream->first);
      g_string_append_printf (text,
                              "%s{\"offset\":%" G_GINT64_FORMAT ",\"at_ms\":%" G_GINT64_FORMAT
                              ",\"data\":\"%s\"}",
                              offset > begin ? "," : "", offset, record->at_ms, record->data);
    }
  g_string_append (text, "]}");
  return text;
}

/* GET /log/{stream}?from=N&wait_ms=M: waits for a record at N or later. */
static void
handle_read (standin_request_t *request)
{
  const char *data_centre = standin_header (request, "X-Data-Centre");
  int64_t from = standin_query_int (request, "from", 0);
  int64_t wait_ms = CLAMP (standin_query_int (request, "wait_ms", 0), 0, WAIT_MAX_MS);
  int64_t end_us = g_get_monotonic_time () + wait_ms * US_PER_MS;
  pthread_mutex_lock (&platform.mutex);
  platform.reads++;
  const stream_t *stream = stream_get (request->path + strlen ("/log/"));
  while (stream_next (stream) <= from && !fault_of (data_centre)->outage
         && standin_wait (&platform.changed, &platform.mutex, end_us))
    ;
  /* A fault that came during the wait holds the answer as well. */
  while (fault_of (data_centre)->hang)
    pthread_cond_wait (&platform.changed, &platform.mutex);
  bool outage = fault_of (data_centre)->outage;
  GString *text = stream_print (stream, from);
  pthread_mutex_unlock (&platform.mutex);
  if (outage)
    answer_lost (request, 503, 0);
  else
    standin_answer_json (request, 200, text->str);
  g_string_free (text, TRUE);
}

static void
handle_hosts (standin_request_t *request)
{
  pthread_mutex_lock (&platform.mutex);
  platform.host_reads++;
  int64_t now_us = g_get_monotonic_time ();
  while (g_queue_get_length (&platform.hosts) > 1
         && ((hosts_t *) g_queue_peek_nth (&platform.hosts, 1))->visible_at_us <= now_us)
    {
      hosts_t *old = g_queue_pop_head (&platform.hosts);
      g_free (old->text);
      g_free (old);
    }
  char *text = g_strdup (((hosts_t *) g_queue_peek_head (&platform.hosts))->text);
  pthread_mutex_unlock (&platform.mutex);
  standin_answer_json (request, 200, text);
  g_free (text);
}

static bool
hosts_valid (const char *text)
{
  json_object *document = json_tokener_parse (text);
  json_object *list;
  bool valid = json_object_is_type (document, json_type_object)
               && json_object_object_get_ex (document, "hosts", &list)
               && json_object_is_type (list, json_type_array);
  json_object_put (document);
  return valid;
}

static void
hosts_push (const char *text)
{
  hosts_t *hosts = g_new0 (hosts_t, 1);
  hosts->visible_at_us = g_get_monotonic_time () + platform.lag_ms * US_PER_MS;
  hosts->text = g_strdup (text);
  g_queue_push_tail (&platform.hosts, hosts);
}

/* POST /hosts: replaces the list, visible after lag_ms. */
static void
handle_set_hosts (standin_request_t *request)
{
  if (!hosts_valid (request->body->str))
    {
      standin_answer_error (request, 400, "the body must be {\"hosts\":[...]}");
      return;
    }
  pthread_mutex_lock (&platform.mutex);
  hosts_push (request->body->str);
  pthread_mutex_unlock (&platform.mutex);
  standin_answer_json (request, 200, "{}");
}

static void
fault_read (json_object *object, fault_t *fault)
{
  standin_get_bool (object, "outage", &fault->outage);
  standin_get_bool (object, "hang", &fault->hang);
  standin_get_int (object, "delay_ms", &fault->delay_ms);
  standin_get_fraction (object, "lose_answers", &fault->lose_answers);
}

/* The fault of DATA_CENTRE, made from the common one on first use. */
static fault_t *
fault_get (const char *data_centre)
{
  if (data_centre == NULL)
    return &platform.all;
  fault_t *fault = g_hash_table_lookup (platform.faults, data_centre);
  if (fault == NULL)
    {
      fault = g_new (fault_t, 1);
      *fault = platform.all;
      g_hash_table_insert (platform.faults, g_strdup (data_centre), fault);
    }
  return fault;
}

static void
handle_fault (standin_request_t *request)
{
  json_object *object = json_tokener_parse (request->body->str);
  if (!json_object_is_type (object, json_type_object))
    {
      json_object_put (object);
      standin_answer_error (request, 400, "the body must be a JSON object");
      return;
    }
  bool reset = false;
  json_object *data_centre = NULL;
  standin_get_bool (object, "reset", &reset);
  json_object_object_get_ex (object, "data_centre", &data_centre);
  pthread_mutex_lock (&platform.mutex);
  if (reset)
    {
      platform.all = (fault_t){ 0 };
      g_hash_table_remove_all (platform.faults);
      platform.lag_ms = 0;
      platform.appends_per_s = 0;
    }
  fault_read (object, fault_get (data_centre ? json_object_get_string (data_centre) : NULL));
  standin_get_int (object, "lag_ms", &platform.lag_ms);
  standin_get_int (object, "appends_per_s", &platform.appends_per_s);
  pthread_cond_broadcast (&platform.changed);
  pthread_mutex_unlock (&platform.mutex);
  json_object_put (object);
  standin_answer_json (request, 200, "{}");
}

static void
handle_stats (standin_request_t *request)
{
  json_object *answer = json_object_new_object ();
  json_object *calls = json_object_new_object ();
  pthread_mutex_lock (&platform.mutex);
  json_object_object_add (answer, "appends", json_object_new_int64 (platform.appends));
  json_object_object_add (answer, "reads", json_object_new_int64 (platform.reads));
  json_object_object_add (answer, "host_reads", json_object_new_int64 (platform.host_reads));
  GHashTableIter iter;
  gpointer name;
  gpointer count;
  g_hash_table_iter_init (&iter, platform.calls);
  while (g_hash_table_iter_next (&iter, &name, &count))
    json_object_object_add (calls, name, json_object_new_int64 (*(int64_t *) count));
  pthread_mutex_unlock (&platform.mutex);
  json_object_object_add (answer, "calls", calls);
  standin_answer_json (request, 200, json_object_to_json_string (answer));
  json_object_put (answer);
}

static const struct
{
  const char *method;
  const char *path;
  bool prefix;
  bool faulty; /* subject to the faults */
  standin_handler_t handle;
} routes[] = {
  { "POST", "/log/", true, true, handle_append },
  { "GET", "/log/", true, true, handle_read },
  { "GET", "/hosts", false, true, handle_hosts },
  { "POST", "/hosts", false, false, handle_set_hosts },
  { "POST", "/fault", false, false, handle_fault },
  { "GET", "/stats", false, false, handle_stats },
};

static void
handle (standin_request_t *request)
{
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      bool same = routes[i].prefix ? g_str_has_prefix (request->path, routes[i].path)
                                   : strcmp (request->path, routes[i].path) == 0;
      if (!same || strcmp (request->method, routes[i].method) != 0)
        continue;
      if (!routes[i].faulty || pass_faults (request))
        routes[i].handle (request);
      return;
    }
  standin_answer_error (request, 404, "no such resource");
}

/* Reads the first list of hosts.  Returns false after a message. */
static bool
load_hosts (const char *file)
{
  char *text = NULL;
  GError *error = NULL;
  if (file == NULL)
    text = g_strdup ("{\"hosts\":[]}");
  else if (!g_file_get_contents (file, &text, NULL, &error))
    {
      fprintf (stderr, "fake_platform: %s\n", error->message);
      g_error_free (error);
      return false;
    }
  bool valid = hosts_valid (text);
  if (valid)
    hosts_push (text);
  else
    fprintf (stderr, "fake_platform: %s is not {\"hosts\":[...]}\n", file);
  g_free (text);
  return valid;
}

int
main (int argc, char **argv)
{
  struct arg_str *listen = arg_str1 (NULL, "listen", "IP:PORT", "where to listen");
  struct arg_file *hosts = arg_file0 (NULL, "hosts", "FILE", "the first list of hosts");
  struct arg_int *retention = arg_int0 (NULL, "retention", "N", "records kept in a stream");
  struct arg_int *threads = arg_int0 (NULL, "threads", "N", "connections served at once");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "chooses the answers that are lost");
  struct arg_end *end = arg_end (8);
  void *table[] = { listen, hosts, retention, threads, seed, end };
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "fake_platform");
      return 2;
    }
  platform.streams = g_hash_table_new (g_str_hash, g_str_equal);
  platform.faults = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  platform.calls = g_hash_table_new (g_str_hash, g_str_equal);
  platform.random = g_rand_new_with_seed (seed->count > 0 ? (guint32) seed->ival[0] : 1);
  if (retention->count > 0)
    platform.retention_records = MAX (retention->ival[0], 1);
  if (!load_hosts (hosts->count > 0 ? hosts->filename[0] : NULL))
    return 2;
  return standin_serve (listen->sval[0], threads->count > 0 ? threads->ival[0] : DEFAULT_THREADS,
                        handle);
}
