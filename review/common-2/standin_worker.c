/* standin_worker.c -- a worker of a given kind as a process
 *
 * It follows the protocol of workers: tokens, leases, attempts, ends, and a heartbeat entry in the
 * directory, which it writes as soon as it listens.  A task takes as many milliseconds as its spec
 * says.  A process is one incarnation: killed and started again with the same id and address it
 * knows nothing of before, and may be of another kind.  Each start and each end is a line on
 * standard output.
 */
#include "base/clock.h"
#include "reactor/loop.h"
#include "reactor/web.h"

#include <glib.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 2
#define HEARTBEAT_MS 1500
#define ENTRY_TIMEOUT_MS 1000
#define LEASE_MAX_MS 1000
#define STOP_MS 20
#define HEADER_BYTES_MAX 65536
#define BODY_BYTES_MAX (1024 * 1024)
#define HEADER_TIMEOUT_MS 10000
#define IDLE_TIMEOUT_MS 60000
#define ARGUMENTS 7

typedef struct
{
  char *task;
  int32_t attempt;
  int64_t started_at_ms;
  int64_t ends_at_ms;
  int64_t stop_at_ms; /* 0: not stopped */
} run_t;

typedef struct
{
  int64_t number;
  char *task;
  int32_t attempt;
  const char *how;
} end_t;

/* A poll that waits for an end. */
typedef struct
{
  web_request_t *request;
  int64_t until_ms;
} waiter_t;

static const char *own_address;
static const char *log_address;
static const char *own_id;
static const char *zone;
static const char *kind;
static int cpu_millis;
static web_client_t *client;
static int64_t born_at_ms;
static int64_t born_wall_ms;
static int64_t highest_token;
static int64_t lease_until_ms;
static int64_t entry_due_ms;
static int64_t last_end;
static int64_t sequence;
static GPtrArray *runs;     /* run_t */
static GPtrArray *ends;     /* end_t */
static GArray *waiters;     /* waiter_t */
static GHashTable *highest; /* task -> highest attempt stopped or ended here */

static int64_t
own_clock (int64_t now_ms)
{
  return now_ms - born_at_ms + 1;
}

static int64_t
number (json_object *order, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (order, key, &value) ? json_object_get_int64 (value) : 0;
}

static const char *
text (json_object *order, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (order, key, &value) ? json_object_get_string (value) : "";
}

/* --- runs --- */

static void
free_run (void *data)
{
  g_free (((run_t *) data)->task);
  g_free (data);
}

static void
free_end (void *data)
{
  g_free (((end_t *) data)->task);
  g_free (data);
}

static run_t *
find_run (const char *task)
{
  for (guint i = 0; i < runs->len; i++)
    if (strcmp (((const run_t *) runs->pdata[i])->task, task) == 0)
      return runs->pdata[i];
  return NULL;
}

static void
note_attempt (const char *task, int32_t attempt)
{
  int32_t known = GPOINTER_TO_INT (g_hash_table_lookup (highest, task));

  g_hash_table_replace (highest, g_strdup (task), GINT_TO_POINTER (MAX (known, attempt)));
}

static void
print_event (const char *what, const run_t *run, int64_t at_ms)
{
  printf ("{\"at_ms\":%" G_GINT64_FORMAT
          ",\"worker\":\"%s\",\"kind\":\"%s\",\"born\":%" G_GINT64_FORMAT
          ",\"what\":\"%s\",\"task\":\"%s\",\"attempt\":%d}\n",
          at_ms, own_id, kind, born_wall_ms, what, run->task, (int) run->attempt);
  fflush (stdout);
}

static const char *
end_of (const run_t *run, int64_t now_ms)
{
  if (run->ends_at_ms <= now_ms && run->ends_at_ms <= lease_until_ms)
    return "done";
  if (run->stop_at_ms != 0 && run->stop_at_ms <= now_ms)
    return "stopped";
  return lease_until_ms <= now_ms ? "lapsed" : NULL;
}

static void
step_runs (int64_t now_ms)
{
  for (guint i = runs->len; i-- > 0;)
    {
      const run_t *run = runs->pdata[i];
      const char *how = end_of (run, now_ms);
      if (how == NULL)
        continue;
      end_t *end = g_new0 (end_t, 1);
      end->number = ++last_end;
      end->task = g_strdup (run->task);
      end->attempt = run->attempt;
      end->how = how;
      g_ptr_array_add (ends, end);
      note_attempt (run->task, run->attempt);
      print_event (how, run, now_ms);
      g_ptr_array_remove_index (runs, i);
    }
}

static void
extend_lease (int64_t deadline_ms, int64_t now_ms)
{
  int64_t until_ms = born_at_ms - 1 + deadline_ms;

  lease_until_ms = MAX (lease_until_ms, MIN (until_ms, now_ms + LEASE_MAX_MS));
}

/* --- orders --- */

static void
reply_clock (web_request_t *request, int status, const char *reason)
{
  char *body =
      g_strdup_printf ("{\"clock_ms\":%" G_GINT64_FORMAT "%s%s%s}", own_clock (clock_boot_ms ()),
                       reason != NULL ? ",\"reason\":\"" : "", reason != NULL ? reason : "",
                       reason != NULL ? "\"" : "");

  web_reply (request, status, NULL, body);
  g_free (body);
}

/* Returns NULL, or why the order is refused. */
static const char *
start_run (json_object *order, int64_t now_ms)
{
  const char *task = text (order, "task");
  int32_t attempt = (int32_t) number (order, "attempt");

  if (number (order, "deadline_ms") < own_clock (now_ms))
    return "late";
  extend_lease (number (order, "deadline_ms"), now_ms);
  if (find_run (task) != NULL)
    return NULL;
  if (GPOINTER_TO_INT (g_hash_table_lookup (highest, task)) >= attempt)
    return "old";
  run_t *run = g_new0 (run_t, 1);
  run->task = g_strdup (task);
  run->attempt = attempt;
  run->started_at_ms = now_ms;
  run->ends_at_ms = now_ms + atoll (text (order, "spec"));
  g_ptr_array_add (runs, run);
  print_event ("start", run, now_ms);
  return NULL;
}

static void
stop_run (json_object *order, int64_t now_ms)
{
  run_t *run = find_run (text (order, "task"));
  int32_t attempt = (int32_t) number (order, "attempt");

  if (run == NULL)
    note_attempt (text (order, "task"), attempt);
  else if (run->stop_at_ms == 0 && run->attempt <= attempt)
    run->stop_at_ms = now_ms + STOP_MS;
}

static void
answer_poll (web_request_t *request, int64_t now_ms)
{
  GString *body = g_string_new (NULL);

  g_string_append_printf (
      body, "{\"clock_ms\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT ",\"active\":[",
      own_clock (now_ms), born_wall_ms);
  for (guint i = 0; i < runs->len; i++)
    {
      const run_t *run = runs->pdata[i];
      int64_t whole_ms = MAX (run->ends_at_ms - run->started_at_ms, 1);
      g_string_append_printf (body, "%s[\"%s\",%d,\"\",%d]", i > 0 ? "," : "", run->task,
                              (int) run->attempt,
                              (int) (100 * (now_ms - run->started_at_ms) / whole_ms));
    }
  g_string_append (body, "],\"finished\":[");
  for (guint i = 0; i < ends->len; i++)
    {
      const end_t *end = ends->pdata[i];
      g_string_append_printf (body, "%s[%" G_GINT64_FORMAT ",\"%s\",%d,\"%s\",\"\"]",
                              i > 0 ? "," : "", end->number, end->task, (int) end->attempt,
                              end->how);
    }
  g_string_append (body, "]}");
  web_reply (request, 200, NULL, body->str);
  g_string_free (body, TRUE);
}

static void
poll_runs (web_request_t *request, json_object *order, int64_t now_ms)
{
  for (guint i = ends->len; i-- > 0;)
    if (((const end_t *) ends->pdata[i])->number <= number (order, "ack_index"))
      g_ptr_array_remove_index (ends, i);
  if (number (order, "deadline_ms") > 0)
    extend_lease (number (order, "deadline_ms"), now_ms);
  waiter_t waiter = { request, now_ms + number (order, "wait_ms") };
  if (ends->len > 0 || number (order, "wait_ms") == 0)
    answer_poll (request, now_ms);
  else
    g_array_append_val (waiters, waiter);
}

static void
carry_out (web_request_t *request, json_object *order)
{
  int64_t now_ms = clock_boot_ms ();
  const char *reason = NULL;

  step_runs (now_ms);
  if (number (order, "fencing_token") < highest_token)
    {
      reply_clock (request, 409, "fence");
      return;
    }
  highest_token = number (order, "fencing_token");
  if (strcmp (request->target, "/hold") == 0)
    {
      poll_runs (request, order, now_ms);
      return;
    }
  if (strcmp (request->target, "/run-start") == 0)
    reason = start_run (order, now_ms);
  else
    stop_run (order, now_ms);
  reply_clock (request, reason != NULL ? 409 : 200, reason);
}

static void
on_request (web_request_t *request, void *data)
{
  json_object *order = json_tokener_parse (request->body);

  (void) data;
  request->user_data = NULL;
  if (order == NULL)
    {
      web_reply (request, 400, NULL, "{}");
      return;
    }
  carry_out (request, order);
  json_object_put (order);
}

static void
on_abandoned (web_request_t *request, void *data)
{
  (void) data;
  for (guint i = waiters->len; i-- > 0;)
    if (g_array_index (waiters, waiter_t, i).request == request)
      g_array_remove_index_fast (waiters, i);
}

/* --- time --- */

static void
on_registered (const web_call_answer_t *answer, void *data)
{
  (void) answer;
  (void) data;
}

static void
write_entry (int64_t now_ms)
{
  char *target = g_strconcat ("/entry/", own_id, NULL);
  char *entry = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"capacity\":8,"
      "\"state\":\"ready\",\"cold_remaining_ms\":0,\"free_capacity\":{\"cpu_millis\":%d,"
      "\"mem_mb\":1000,\"gpus\":0},\"labels\":[\"%s\",\"r-%s\"],\"clock_ms\":%" G_GINT64_FORMAT
      ",\"sequence\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT "}",
      own_address, zone, cpu_millis, kind, zone, own_clock (now_ms), ++sequence, born_wall_ms);
  web_call_options_t call = { .address = log_address,
                              .method = "POST",
                              .target = target,
                              .headers = "Content-Type: application/json\r\n",
                              .body = entry,
                              .body_bytes = strlen (entry),
                              .deadline_at_ms = now_ms + ENTRY_TIMEOUT_MS,
                              .done = on_registered };

  web_call_start (client, &call);
  g_free (entry);
  g_free (target);
}

static void
on_tick (void *data)
{
  int64_t now_ms = clock_boot_ms ();

  (void) data;
  step_runs (now_ms);
  for (guint i = waiters->len; i-- > 0;)
    {
      waiter_t waiter = g_array_index (waiters, waiter_t, i);
      if (ends->len == 0 && now_ms < waiter.until_ms)
        continue;
      g_array_remove_index_fast (waiters, i);
      answer_poll (waiter.request, now_ms);
    }
  if (now_ms >= entry_due_ms)
    {
      entry_due_ms = now_ms + HEARTBEAT_MS;
      write_entry (now_ms);
    }
  web_client_tick (client, now_ms);
}

int
main (int argc, char **argv)
{
  static const web_server_handlers_t handlers = { on_request, on_abandoned };
  web_server_t *server = NULL;

  if (argc != ARGUMENTS)
    {
      fprintf (stderr, "usage: standin_worker IP:PORT LOG-IP:PORT ID ZONE KIND CPU-MILLIS\n");
      return EXIT_FAILURE;
    }
  own_address = argv[1];
  log_address = argv[2];
  own_id = argv[3];
  zone = argv[4];
  kind = argv[5];
  cpu_millis = atoi (argv[6]);
  born_at_ms = clock_boot_ms ();
  born_wall_ms = clock_wall_ms ();
  runs = g_ptr_array_new_with_free_func (free_run);
  ends = g_ptr_array_new_with_free_func (free_end);
  waiters = g_array_new (FALSE, FALSE, sizeof (waiter_t));
  highest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  signal (SIGPIPE, SIG_IGN);
  loop_t *loop = loop_new (TICK_MS, on_tick, NULL);
  client = web_client_new (loop);
  web_server_options_t options = { .address = own_address,
                                   .limits = { HEADER_BYTES_MAX, BODY_BYTES_MAX, HEADER_TIMEOUT_MS,
                                               IDLE_TIMEOUT_MS },
                                   .handlers = &handlers };
  if (web_server_start (loop, &options, &server) != 0)
    {
      fprintf (stderr, "standin_worker: cannot listen on %s\n", own_address);
      return EXIT_FAILURE;
    }
  loop_run (loop);
  return EXIT_SUCCESS;
}
