/* cmd_submit.c -- jaytrail submit: submits a job and prints its answer
 *
 * The job is read from a file as it is, or made from options.  The key and the
 * body are printed on failure with --verbose, so that the same submission can
 * be repeated byte for byte.
 */
#include "tool/tool.h"

#include "base/clock.h"
#include "base/error.h"
#include "http/client.h"

#include <argtable2.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_WITHIN_MS 30000
#define ANSWER_MAX_BYTES (INT64_C (1) << 30)
#define WAIT_SLACK_MS 10000
#define STATUS_OK 200
/* A wait is shown from this time on, and then so often. */
#define PROGRESS_AFTER_MS 1000
#define PROGRESS_EVERY_MS 200

typedef struct
{
  struct arg_lit *help;
  struct arg_str *host;
  struct arg_str *key;
  struct arg_file *file;
  struct arg_str *customer;
  struct arg_str *kind;
  struct arg_int *tasks;
  struct arg_str *body;
  struct arg_int *within;
  struct arg_str *home;
  struct arg_lit *repeatable;
  struct arg_lit *json;
  struct arg_end *end;
} args_t;

static char *
make_body (const args_t *args)
{
  json_object *root = json_object_new_object ();
  json_object *tasks = json_object_new_array ();
  int64_t now_ms = clock_wall_ms ();
  int within_ms = args->within->count > 0 ? args->within->ival[0] : DEFAULT_WITHIN_MS;
  int count = args->tasks->count > 0 ? args->tasks->ival[0] : 1;

  for (int i = 0; i < count; i++)
    {
      json_object *task = json_object_new_object ();
      char *id = g_strdup_printf ("%d", i);
      json_object_object_add (task, "id", json_object_new_string (id));
      json_object_object_add (
          task, "body", json_object_new_string (args->body->count > 0 ? args->body->sval[0] : ""));
      json_object_array_add (tasks, task);
      g_free (id);
    }
  json_object_object_add (root, "customer", json_object_new_string (args->customer->sval[0]));
  json_object_object_add (
      root, "kind", json_object_new_string (args->kind->count > 0 ? args->kind->sval[0] : "check"));
  json_object_object_add (root, "issued_at_ms", json_object_new_int64 (now_ms));
  json_object_object_add (root, "deadline_at_ms", json_object_new_int64 (now_ms + within_ms));
  json_object_object_add (root, "repeatable",
                          json_object_new_boolean (args->repeatable->count > 0));
  if (args->home->count > 0)
    json_object_object_add (root, "home", json_object_new_string (args->home->sval[0]));
  json_object_object_add (root, "tasks", tasks);
  char *text = g_strdup (json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return text;
}

/* The deadline in BODY on the boot clock, with some slack. */
static int64_t
wait_until (const char *body)
{
  json_object *root = json_tokener_parse (body);
  int64_t wall_ms = json_object_get_int64 (json_object_object_get (root, "deadline_at_ms"));

  json_object_put (root);
  if (wall_ms == 0)
    wall_ms = clock_wall_ms () + DEFAULT_WITHIN_MS;
  return clock_wall_to_boot_ms (wall_ms) + WAIT_SLACK_MS;
}

static void
print_result (json_object *result)
{
  json_object *body = json_object_object_get (result, "body");

  printf ("%s\t%d\t%s\n", json_object_get_string (json_object_object_get (result, "task")),
          json_object_get_int (json_object_object_get (result, "status")),
          body != NULL ? json_object_get_string (body) : "(base64)");
}

static void
print_answer (const http_answer_t *answer, bool json)
{
  char *text = g_strndup ((const char *) answer->body->data, answer->body->len);
  json_object *root = json ? NULL : json_tokener_parse (text);
  json_object *results = NULL;

  if (root != NULL && json_object_object_get_ex (root, "results", &results))
    for (size_t i = 0; i < json_object_array_length (results); i++)
      print_result (json_object_array_get_idx (results, i));
  else
    printf ("%s\n", text);
  json_object_put (root);
  g_free (text);
}

/* Shows on a terminal that the answer is being waited for. */
typedef struct
{
  atomic_bool done;
  GThread *thread;
} progress_t;

static void *
show_progress (void *data)
{
  progress_t *progress = data;
  int64_t begun_ms = clock_boot_ms ();
  bool shown = false;

  while (!atomic_load (&progress->done))
    {
      clock_sleep_ms (PROGRESS_EVERY_MS);
      int64_t waited_ms = clock_boot_ms () - begun_ms;
      if (waited_ms < PROGRESS_AFTER_MS || atomic_load (&progress->done))
        continue;
      fprintf (stderr, "\rwaiting for the answer: %d s ", (int) (waited_ms / CLOCK_MS_PER_S));
      shown = true;
    }
  if (shown)
    fprintf (stderr, "\r\033[K");
  return NULL;
}

static void
progress_begin (progress_t *progress)
{
  atomic_init (&progress->done, false);
  progress->thread =
      isatty (STDERR_FILENO) ? g_thread_new ("progress", show_progress, progress) : NULL;
}

static void
progress_end (progress_t *progress)
{
  atomic_store (&progress->done, true);
  if (progress->thread != NULL)
    g_thread_join (progress->thread);
}

static int
submit (const args_t *args, const char *body)
{
  char *key = args->key->count > 0 ? g_strdup (args->key->sval[0]) : g_uuid_string_random ();
  char *headers =
      g_strdup_printf ("Idempotency-Key: %s\r\nContent-Type: application/json\r\n", key);
  http_answer_t answer = { 0 };
  http_call_t call = {
    .method = "POST",
    .path = "/v1/jobs",
    .headers = headers,
    .body = body,
    .body_bytes = strlen (body),
    .deadline_at_ms = wait_until (body),
    .max_answer_bytes = ANSWER_MAX_BYTES,
  };
  int status = TOOL_FAILED;

  progress_t progress;

  progress_begin (&progress);
  int error = http_call_once (args->host->sval[0], &call, &answer);
  progress_end (&progress);
  if (error != 0)
    fprintf (stderr, "jaytrail submit: %s: %s (key %s)\n", args->host->sval[0], error_name (error),
             key);
  else
    {
      print_answer (&answer, args->json->count > 0);
      status = answer.status == STATUS_OK ? TOOL_OK : TOOL_FAILED;
    }
  http_answer_clear (&answer);
  g_free (headers);
  g_free (key);
  return status;
}

static int
run (const args_t *args)
{
  char *body = NULL;

  if (args->file->count > 0)
    {
      if (!g_file_get_contents (args->file->filename[0], &body, NULL, NULL))
        {
          fprintf (stderr, "jaytrail submit: %s: cannot be read\n", args->file->filename[0]);
          return TOOL_USAGE;
        }
    }
  else if (args->customer->count > 0)
    body = make_body (args);
  else
    {
      fprintf (stderr, "jaytrail submit: --file or --customer is needed\n");
      return TOOL_USAGE;
    }
  int status = submit (args, body);
  g_free (body);
  return status;
}

int
cmd_submit (int argc, char **argv)
{
  args_t args = {
    .help = arg_lit0 ("h", "help", "print this help"),
    .host = arg_str1 (NULL, "host", "IP:PORT", "caller address of an entry host"),
    .key = arg_str0 (NULL, "key", "KEY", "idempotency key; random if absent"),
    .file = arg_file0 (NULL, "file", "FILE", "the job as JSON, sent as it is"),
    .customer = arg_str0 (NULL, "customer", "NAME", "make a job for this customer"),
    .kind = arg_str0 (NULL, "kind", "KIND", "kind of its tasks (check)"),
    .tasks = arg_int0 (NULL, "tasks", "N", "number of its tasks (1)"),
    .body = arg_str0 (NULL, "body", "TEXT", "body of each task"),
    .within = arg_int0 (NULL, "within-ms", "MS", "deadline from now (30000)"),
    .home = arg_str0 (NULL, "home", "DC", "data centre that remembers the key"),
    .repeatable = arg_lit0 (NULL, "repeatable", "tasks may be tried again"),
    .json = arg_lit0 (NULL, "json", "print the answer as JSON"),
    .end = arg_end (8),
  };
  void *table[] = { args.help,       args.host,  args.key,  args.file,   args.customer,
                    args.kind,       args.tasks, args.body, args.within, args.home,
                    args.repeatable, args.json,  args.end };
  int status = TOOL_OK;

  if (tool_parse (argc, argv, table, G_N_ELEMENTS (table),
                  "Submits a job and prints its answer: task, status and body, one a line.\n"
                  "Exit status 0 only if the job is complete.",
                  &status))
    status = run (&args);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
