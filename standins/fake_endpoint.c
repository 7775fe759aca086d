/* fake_endpoint.c -- stand-in for an endpoint: runs tasks by sleeping
 *
 * Every start is recorded before anything else happens, and nothing removes
 * duplicates, so GET /starts is the truth that tests compare with.  A task's
 * body may direct its own run, as a JSON object:
 *
 *   {"ms":50, "status":200, "answer":"...", "drop":true, "wrong_id":true, "hang":true,
 *    "bad_head":true}
 *
 * With bad_head the head of an answer that nobody can accept goes out before the
 * run, which goes on.  Any other body runs for the default time and is echoed.  POST /fault changes
 * the whole endpoint: freeze (answers are held), fail_all (500 at once), drop
 * (the connection is cut in the middle of the answer), wrong_id (the answer
 * echoes another task's id), delay_ms, hang (no answer; the connection is cut
 * when the fault ends) and speed (per cent).
 */
#include "base/clock.h"
#include "standins/common_server.h"

#include <argtable2.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_RUN_MS 50
#define DEFAULT_SLOTS 8
#define DEFAULT_THREADS 256

typedef struct
{
  char *key;
  char *task;
  char *kind;
  char *plan;
  int64_t at_ms;
  int64_t end_at_ms; /* 0 while it runs */
  const char *state;
} start_t;

/* How one task is to run: its own wishes and the endpoint's faults. */
typedef struct
{
  int64_t run_ms;
  int64_t status;
  const char *answer;
  size_t answer_bytes;
  bool drop;
  bool wrong_id;
  bool hang;
  bool bad_head;
} run_t;

static struct
{
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  GPtrArray *starts; /* of start_t */
  int64_t slots;
  int64_t run_ms;
  int64_t running;
  int64_t max_running;
  int64_t over_slots; /* starts that came with all slots taken */
  bool freeze;
  bool fail_all;
  bool drop;
  bool wrong_id;
  bool hang;
  int64_t delay_ms;
  int64_t speed_percent;
  int journal;     /* file that every start is written to, or -1 */
  uint32_t resets; /* a task that hangs by its own wish does so until the next one */
} endpoint = { .run_ms = DEFAULT_RUN_MS,
               .slots = DEFAULT_SLOTS,
               .speed_percent = 100,
               .journal = -1 };

/* One line a start: key, task, kind, plan, time.  Outlives a kill. */
static void
journal_write (const start_t *start)
{
  char *line = g_strdup_printf ("%s\t%s\t%s\t%s\t%" G_GINT64_FORMAT "\n", start->key, start->task,
                                start->kind, start->plan, start->at_ms);
  if (write (endpoint.journal, line, strlen (line)) < 0)
    fprintf (stderr, "fake_endpoint: the journal cannot be written\n");
  g_free (line);
}

static start_t *
start_record (standin_request_t *request)
{
  start_t *start = g_new0 (start_t, 1);
  start->key = g_strdup (standin_header (request, "X-Job-Key"));
  start->task = g_strdup (standin_header (request, "X-Task-Id"));
  start->kind = g_strdup (request->path + strlen ("/run/"));
  start->plan = g_strdup (standin_header (request, "X-Plan"));
  start->at_ms = clock_wall_ms ();
  start->state = "running";
  pthread_mutex_lock (&endpoint.mutex);
  g_ptr_array_add (endpoint.starts, start);
  if (endpoint.journal >= 0)
    journal_write (start);
  if (endpoint.running >= endpoint.slots)
    endpoint.over_slots++;
  endpoint.running++;
  endpoint.max_running = MAX (endpoint.max_running, endpoint.running);
  pthread_mutex_unlock (&endpoint.mutex);
  return start;
}

static void
start_end (start_t *start, const char *state)
{
  pthread_mutex_lock (&endpoint.mutex);
  start->state = state;
  start->end_at_ms = clock_wall_ms ();
  endpoint.running--;
  pthread_mutex_unlock (&endpoint.mutex);
}

/* Reads the task's wishes out of BODY.  Returns the object that holds the
 * answer's text, or NULL. */
static json_object *
run_directions (const GString *body, run_t *run)
{
  if (body->len == 0 || body->str[0] != '{')
    return NULL;
  json_object *object = json_tokener_parse (body->str);
  if (!json_object_is_type (object, json_type_object))
    {
      json_object_put (object);
      return NULL;
    }
  standin_get_int (object, "ms", &run->run_ms);
  standin_get_int (object, "status", &run->status);
  standin_get_bool (object, "drop", &run->drop);
  standin_get_bool (object, "wrong_id", &run->wrong_id);
  standin_get_bool (object, "hang", &run->hang);
  standin_get_bool (object, "bad_head", &run->bad_head);
  json_object *answer;
  if (json_object_object_get_ex (object, "answer", &answer))
    {
      run->answer = json_object_get_string (answer);
      run->answer_bytes = (size_t) json_object_get_string_len (answer);
    }
  return object;
}

/* Sleeps for the run's time, and then while answers are held. */
static void
run_wait (const run_t *run)
{
  pthread_mutex_lock (&endpoint.mutex);
  int64_t run_us = run->run_ms * 1000 * 100 / MAX (endpoint.speed_percent, 1);
  int64_t end_us = g_get_monotonic_time () + run_us + endpoint.delay_ms * 1000;
  while (!endpoint.fail_all && standin_wait (&endpoint.changed, &endpoint.mutex, end_us))
    ;
  while (endpoint.freeze || endpoint.hang)
    pthread_cond_wait (&endpoint.changed, &endpoint.mutex);
  pthread_mutex_unlock (&endpoint.mutex);
}

/* Sends the headers and half of the answer, and closes the connection. */
static void
answer_cut (standin_request_t *request, const run_t *run, const char *task)
{
  mg_printf (request->conn, "HTTP/1.1 200 OK\r\nX-Task-Id: %s\r\nContent-Length: %zu\r\n\r\n", task,
             run->answer_bytes + 1);
  mg_write (request->conn, run->answer, run->answer_bytes / 2);
  standin_close (request);
}

static void
answer_whole (standin_request_t *request, const run_t *run, const char *task)
{
  char *header = g_strdup_printf ("X-Task-Id: %s%s\r\n", task, run->wrong_id ? "-other" : "");
  standin_answer (request, (int) run->status, header, "application/octet-stream", run->answer,
                  run->answer_bytes);
  g_free (header);
}

/* An answer of a size that is refused unread. */
static void
answer_bad_head (standin_request_t *request, const char *task)
{
  mg_printf (request->conn, "HTTP/1.1 200 OK\r\nX-Task-Id: %s\r\nContent-Length: %d\r\n\r\n", task,
             INT32_MAX);
  standin_close (request);
}

static void
handle_run (standin_request_t *request)
{
  start_t *start = start_record (request);
  if (!request->complete)
    {
      start_end (start, "incomplete");
      standin_close (request);
      return;
    }
  run_t run = { .run_ms = endpoint.run_ms,
                .status = 200,
                .answer = request->body->str,
                .answer_bytes = request->body->len };
  json_object *directions = run_directions (request->body, &run);
  pthread_mutex_lock (&endpoint.mutex);
  bool fail = endpoint.fail_all;
  bool hang = run.hang || endpoint.hang;
  run.drop = run.drop || endpoint.drop;
  run.wrong_id = run.wrong_id || endpoint.wrong_id;
  if (fail)
    {
      run.run_ms = 0;
      run.status = 500;
    }
  uint32_t resets = endpoint.resets;
  while (run.hang && endpoint.resets == resets)
    pthread_cond_wait (&endpoint.changed, &endpoint.mutex);
  pthread_mutex_unlock (&endpoint.mutex);
  if (run.bad_head)
    answer_bad_head (request, start->task);
  run_wait (&run);
  const char *state = "done";
  if (hang || run.drop || run.bad_head)
    state = "cut";
  else if (run.status >= 500)
    state = "failed";
  start_end (start, state);
  if (hang || run.bad_head)
    standin_close (request);
  else if (run.drop)
    answer_cut (request, &run, start->task);
  else
    answer_whole (request, &run, start->task);
  json_object_put (directions);
}

static void
add_totals (json_object *answer)
{
  json_object_object_add (answer, "running", json_object_new_int64 (endpoint.running));
  json_object_object_add (answer, "max_running", json_object_new_int64 (endpoint.max_running));
  json_object_object_add (answer, "over_slots", json_object_new_int64 (endpoint.over_slots));
  json_object_object_add (answer, "slots", json_object_new_int64 (endpoint.slots));
  json_object_object_add (answer, "count", json_object_new_int64 (endpoint.starts->len));
}

/* GET /starts?from=N: the starts from the Nth on. */
static void
handle_starts (standin_request_t *request)
{
  json_object *list = json_object_new_array ();
  json_object *answer = json_object_new_object ();
  pthread_mutex_lock (&endpoint.mutex);
  int64_t from = MAX (standin_query_int (request, "from", 0), 0);
  for (int64_t i = from; i < endpoint.starts->len; i++)
    {
      const start_t *start = g_ptr_array_index (endpoint.starts, i);
      json_object *item = json_object_new_object ();
      json_object_object_add (item, "key", json_object_new_string (start->key));
      json_object_object_add (item, "task", json_object_new_string (start->task));
      json_object_object_add (item, "kind", json_object_new_string (start->kind));
      json_object_object_add (item, "plan", json_object_new_string (start->plan));
      json_object_object_add (item, "at_ms", json_object_new_int64 (start->at_ms));
      json_object_object_add (item, "end_at_ms", json_object_new_int64 (start->end_at_ms));
      json_object_object_add (item, "state", json_object_new_string (start->state));
      json_object_array_add (list, item);
    }
  add_totals (answer);
  pthread_mutex_unlock (&endpoint.mutex);
  json_object_object_add (answer, "starts", list);
  standin_answer_json (request, 200, json_object_to_json_string (answer));
  json_object_put (answer);
}

static void
handle_stats (standin_request_t *request)
{
  json_object *answer = json_object_new_object ();
  pthread_mutex_lock (&endpoint.mutex);
  add_totals (answer);
  pthread_mutex_unlock (&endpoint.mutex);
  standin_answer_json (request, 200, json_object_to_json_string (answer));
  json_object_put (answer);
}

/* Members that are absent keep their value; {"reset":true} ends all faults, and
 * {"forget":true} empties the list of starts and the totals. */
static void
handle_fault (standin_request_t *request)
{
  json_object *fault = json_tokener_parse (request->body->str);
  if (!json_object_is_type (fault, json_type_object))
    {
      json_object_put (fault);
      standin_answer_error (request, 400, "the body must be a JSON object");
      return;
    }
  bool reset = false;
  bool forget = false;
  standin_get_bool (fault, "reset", &reset);
  standin_get_bool (fault, "forget", &forget);
  pthread_mutex_lock (&endpoint.mutex);
  if (reset)
    {
      endpoint.freeze = endpoint.fail_all = endpoint.drop = false;
      endpoint.wrong_id = endpoint.hang = false;
      endpoint.delay_ms = 0;
      endpoint.speed_percent = 100;
      endpoint.resets++;
    }
  if (forget)
    {
      g_ptr_array_set_size (endpoint.starts, 0);
      endpoint.max_running = endpoint.running;
      endpoint.over_slots = 0;
    }
  standin_get_bool (fault, "freeze", &endpoint.freeze);
  standin_get_bool (fault, "fail_all", &endpoint.fail_all);
  standin_get_bool (fault, "drop", &endpoint.drop);
  standin_get_bool (fault, "wrong_id", &endpoint.wrong_id);
  standin_get_bool (fault, "hang", &endpoint.hang);
  standin_get_int (fault, "delay_ms", &endpoint.delay_ms);
  standin_get_int (fault, "speed", &endpoint.speed_percent);
  pthread_cond_broadcast (&endpoint.changed);
  pthread_mutex_unlock (&endpoint.mutex);
  json_object_put (fault);
  standin_answer_json (request, 200, "{}");
}

static const struct
{
  const char *method;
  const char *path;
  bool prefix;
  standin_handler_t handle;
} routes[] = {
  { "POST", "/run/", true, handle_run },
  { "GET", "/starts", false, handle_starts },
  { "GET", "/stats", false, handle_stats },
  { "POST", "/fault", false, handle_fault },
};

static void
handle (standin_request_t *request)
{
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      bool same = routes[i].prefix ? g_str_has_prefix (request->path, routes[i].path)
                                   : strcmp (request->path, routes[i].path) == 0;
      if (same && strcmp (request->method, routes[i].method) == 0)
        {
          routes[i].handle (request);
          return;
        }
    }
  standin_answer_error (request, 404, "no such resource");
}

int
main (int argc, char **argv)
{
  struct arg_str *listen = arg_str1 (NULL, "listen", "IP:PORT", "where to listen");
  struct arg_int *slots = arg_int0 (NULL, "slots", "N", "tasks at once; more are counted");
  struct arg_int *run_ms = arg_int0 (NULL, "ms", "N", "default run time");
  struct arg_int *threads = arg_int0 (NULL, "threads", "N", "connections served at once");
  struct arg_file *journal = arg_file0 (NULL, "journal", "FILE", "append a line for every start");
  struct arg_end *end = arg_end (8);
  void *table[] = { listen, slots, run_ms, threads, journal, end };
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "fake_endpoint");
      return 2;
    }
  endpoint.starts = g_ptr_array_new ();
  if (slots->count > 0)
    endpoint.slots = slots->ival[0];
  if (run_ms->count > 0)
    endpoint.run_ms = run_ms->ival[0];
  if (journal->count > 0)
    endpoint.journal = open (journal->filename[0], O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (journal->count > 0 && endpoint.journal < 0)
    {
      fprintf (stderr, "fake_endpoint: cannot write %s\n", journal->filename[0]);
      return 2;
    }
  return standin_serve (listen->sval[0], threads->count > 0 ? threads->ival[0] : DEFAULT_THREADS,
                        handle);
}
