/* cmd_load.c -- jaytrail load: generates load and measures response times
 *
 * The load is open loop: each operation has an intended time, drawn from the
 * seed, and its response time counts from there.  A worker takes the next
 * operation, waits for its time and carries it out; if all workers are busy, the
 * operation is late, and the delay is part of what is measured.
 */
#include "tool/tool.h"

#include "base/clock.h"
#include "base/error.h"
#include "http/client.h"
#include "tool/load_plan.h"
#include "tool/load_report.h"

#include <argtable2.h>
#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define TARGETS_MAX 64
#define DEFAULT_RATE 50
#define DEFAULT_SECONDS 10
#define DEFAULT_RUN_MS 50
#define DEFAULT_WITHIN_MS 30000
#define DEFAULT_THREADS 128
#define THREADS_MAX 1024
#define WAIT_SLACK_MS 10000
#define ANSWER_MAX_BYTES (INT64_C (1) << 28)
#define PROGRESS_MS 500
#define LEAD_US 200000 /* from the making of threads to the first operation */
#define US_PER_MS 1000
#define NS_PER_US 1000
#define STATUS_OK 200
/* Servers close idle connections after about two seconds. */
#define IDLE_MAX_MS 1000

typedef struct
{
  struct arg_lit *help;
  struct arg_str *target;
  struct arg_lit *direct;
  struct arg_dbl *rate;
  struct arg_int *seconds;
  struct arg_int *seed;
  struct arg_int *tasks;
  struct arg_int *tasks_max;
  struct arg_int *run_ms;
  struct arg_int *run_max_ms;
  struct arg_str *customers;
  struct arg_str *kinds;
  struct arg_dbl *resubmit;
  struct arg_dbl *cancel;
  struct arg_int *within;
  struct arg_int *threads;
  struct arg_file *csv;
  struct arg_lit *json;
  struct arg_end *end;
} args_t;

typedef struct
{
  const char *const *targets;
  int32_t target_count;
  bool direct;
  char **customers;
  char **kinds;
  int64_t within_ms;
  load_plan_t *plan;
  char *run_id;     /* makes the keys of this run its own */
  int64_t start_us; /* boot clock */
  int64_t start_wall_ms;
  gint next; /* operation */
  gint done;
} run_t;

/* A worker's connection to one target. */
typedef struct
{
  http_connection_t *connection;
  int64_t used_at_ms;
} link_t;

static char *
task_body (int64_t run_ms)
{
  return g_strdup_printf ("{\"ms\":%" G_GINT64_FORMAT ",\"answer\":\"ok\"}", run_ms);
}

/* The submission; the same bytes for every operation on JOB. */
static char *
job_body (const run_t *run, const load_job_t *job)
{
  json_object *root = json_object_new_object ();
  json_object *tasks = json_object_new_array ();
  int64_t issued_at_ms = run->start_wall_ms + job->at_us / US_PER_MS;
  for (int32_t i = 0; i < job->tasks; i++)
    {
      json_object *task = json_object_new_object ();
      char *id = g_strdup_printf ("%d", i);
      char *body = task_body (job->run_ms[i]);
      json_object_object_add (task, "id", json_object_new_string (id));
      json_object_object_add (task, "body", json_object_new_string (body));
      json_object_array_add (tasks, task);
      g_free (body);
      g_free (id);
    }
  json_object_object_add (root, "customer", json_object_new_string (run->customers[job->customer]));
  json_object_object_add (root, "kind", json_object_new_string (run->kinds[job->kind]));
  json_object_object_add (root, "issued_at_ms", json_object_new_int64 (issued_at_ms));
  json_object_object_add (root, "deadline_at_ms",
                          json_object_new_int64 (issued_at_ms + run->within_ms));
  json_object_object_add (root, "tasks", tasks);
  char *text = g_strdup (json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return text;
}

/* What one operation sends. */
typedef struct
{
  const char *method;
  char *path;
  char *headers;
  char *body;
} message_t;

static message_t
make_message (const run_t *run, const load_op_t *op)
{
  const load_job_t *job = &g_array_index (run->plan->jobs, load_job_t, op->job);
  message_t message = { .method = "POST" };
  char *key = g_strdup_printf ("load-%s-%d", run->run_id, op->job);
  if (run->direct)
    {
      message.path = g_strdup_printf ("/run/%s", run->kinds[job->kind]);
      message.headers = g_strdup_printf ("X-Job-Key: %s\r\nX-Task-Id: 0\r\n", key);
      message.body = task_body (job->longest_ms);
    }
  else if (op->kind == LOAD_CANCEL)
    {
      message.method = "DELETE";
      message.path = g_strdup_printf ("/v1/jobs/%s", key);
      message.headers = g_strdup ("");
      message.body = g_strdup ("");
    }
  else
    {
      message.path = g_strdup ("/v1/jobs");
      message.headers = g_strdup_printf ("Idempotency-Key: %s\r\n", key);
      message.body = job_body (run, job);
    }
  g_free (key);
  return message;
}

static void
free_message (message_t *message)
{
  g_free (message->path);
  g_free (message->headers);
  g_free (message->body);
}

static void
link_close (link_t *link)
{
  http_close (link->connection);
  link->connection = NULL;
}

static int
link_open (link_t *link, const char *target)
{
  if (link->connection != NULL && clock_boot_ms () - link->used_at_ms > IDLE_MAX_MS)
    link_close (link);
  return link->connection != NULL ? 0 : http_connect (target, &link->connection);
}

/* The kind of the answer: its "kind", else its "state". */
static const char *
answer_kind (const run_t *run, const http_answer_t *answer)
{
  if (run->direct)
    return answer->status == STATUS_OK ? "complete" : "failed";
  char *text = g_strndup ((const char *) answer->body->data, answer->body->len);
  json_object *root = json_tokener_parse (text);
  json_object *member = NULL;
  const char *kind = "unreadable";
  if (json_object_is_type (root, json_type_object)
      && (json_object_object_get_ex (root, "kind", &member)
          || json_object_object_get_ex (root, "state", &member))
      && json_object_is_type (member, json_type_string))
    kind = g_intern_string (json_object_get_string (member));
  json_object_put (root);
  g_free (text);
  return kind;
}

static void
carry_out (run_t *run, load_op_t *op, link_t *link)
{
  message_t message = make_message (run, op);
  http_answer_t answer = { 0 };
  http_call_t call = { .method = message.method,
                       .path = message.path,
                       .headers = message.headers,
                       .body = message.body,
                       .body_bytes = strlen (message.body),
                       .deadline_at_ms = clock_boot_ms () + run->within_ms + WAIT_SLACK_MS,
                       .max_answer_bytes = ANSWER_MAX_BYTES };
  int error = link_open (link, run->targets[op->target]);
  if (error == 0)
    error = http_exchange (link->connection, &call, &answer);
  op->latency_us = clock_boot_us () - run->start_us - op->at_us;
  op->status = error != 0 ? error : answer.status;
  op->answer = error != 0 ? error_name (error) : answer_kind (run, &answer);
  if (error != 0 || !answer.reusable)
    link_close (link);
  link->used_at_ms = clock_boot_ms ();
  http_answer_clear (&answer);
  free_message (&message);
}

static void
wait_until_us (int64_t at_us)
{
  int64_t left_us = at_us - clock_boot_us ();
  if (left_us <= 0)
    return;
  struct timespec left = { .tv_sec = left_us / G_USEC_PER_SEC,
                           .tv_nsec = left_us % G_USEC_PER_SEC * NS_PER_US };
  nanosleep (&left, NULL);
}

static gpointer
work (gpointer data)
{
  run_t *run = data;
  link_t *links = g_new0 (link_t, run->target_count);
  gint number = 0;
  while ((number = g_atomic_int_add (&run->next, 1)) < (gint) run->plan->ops->len)
    {
      load_op_t *op = &g_array_index (run->plan->ops, load_op_t, number);
      wait_until_us (run->start_us + op->at_us);
      carry_out (run, op, &links[op->target]);
      g_atomic_int_inc (&run->done);
    }
  for (int32_t i = 0; i < run->target_count; i++)
    link_close (&links[i]);
  g_free (links);
  return NULL;
}

/* On a terminal only. */
static void
show_progress (run_t *run)
{
  gint total = (gint) run->plan->ops->len;
  while (isatty (STDERR_FILENO) && g_atomic_int_get (&run->done) < total)
    {
      fprintf (stderr, "\r%d of %d operations", g_atomic_int_get (&run->done), total);
      clock_sleep_ms (PROGRESS_MS);
    }
  if (isatty (STDERR_FILENO))
    fprintf (stderr, "\r%d of %d operations\n", total, total);
}

static void
execute (run_t *run, int32_t thread_count)
{
  GThread **threads = g_new0 (GThread *, thread_count);
  run->start_us = clock_boot_us () + LEAD_US;
  run->start_wall_ms = clock_wall_ms () + LEAD_US / US_PER_MS;
  for (int32_t i = 0; i < thread_count; i++)
    threads[i] = g_thread_new ("load", work, run);
  show_progress (run);
  for (int32_t i = 0; i < thread_count; i++)
    g_thread_join (threads[i]);
  g_free (threads);
}

static int64_t
int_or (const struct arg_int *option, int64_t otherwise)
{
  return option->count > 0 ? option->ival[0] : otherwise;
}

static double
double_or (const struct arg_dbl *option, double otherwise)
{
  return option->count > 0 ? option->dval[0] : otherwise;
}

/* Returns false after a message if a value is out of range. */
static bool
read_options (const args_t *args, const run_t *run, load_options_t *options)
{
  options->seed = (uint32_t) int_or (args->seed, 1);
  options->jobs_per_s = double_or (args->rate, DEFAULT_RATE);
  options->seconds = int_or (args->seconds, DEFAULT_SECONDS);
  options->tasks_min = (int32_t) int_or (args->tasks, 1);
  options->tasks_max = (int32_t) int_or (args->tasks_max, options->tasks_min);
  options->run_min_ms = int_or (args->run_ms, DEFAULT_RUN_MS);
  options->run_max_ms = int_or (args->run_max_ms, options->run_min_ms);
  options->resubmitted = run->direct ? 0 : double_or (args->resubmit, 0);
  options->cancelled = run->direct ? 0 : double_or (args->cancel, 0);
  options->targets = run->target_count;
  options->customers = (int32_t) g_strv_length (run->customers);
  options->kinds = (int32_t) g_strv_length (run->kinds);
  bool valid = options->jobs_per_s > 0 && options->seconds > 0 && options->tasks_min > 0
               && options->tasks_max >= options->tasks_min && options->run_min_ms >= 0
               && options->run_max_ms >= options->run_min_ms && options->customers > 0
               && options->kinds > 0 && run->within_ms > 0;
  if (!valid)
    fprintf (stderr, "jaytrail load: counts and times must be positive, and a maximum not below "
                     "its minimum\n");
  return valid;
}

static bool
all_answered (const load_plan_t *plan)
{
  for (guint i = 0; i < plan->ops->len; i++)
    if (g_array_index (plan->ops, load_op_t, i).status <= 0)
      return false;
  return true;
}

static int
report (const args_t *args, const run_t *run, uint32_t seed)
{
  if (args->json->count > 0)
    load_report_json (run->plan, run->customers, seed);
  else
    load_report_text (run->plan, run->customers);
  if (args->csv->count > 0
      && load_report_csv (run->plan, run->customers, args->csv->filename[0]) != 0)
    {
      fprintf (stderr, "jaytrail load: %s: cannot be written\n", args->csv->filename[0]);
      return TOOL_FAILED;
    }
  return all_answered (run->plan) ? TOOL_OK : TOOL_FAILED;
}

static int
load (const args_t *args)
{
  load_options_t options;
  int status = TOOL_USAGE;
  run_t run = {
    .targets = args->target->sval,
    .target_count = args->target->count,
    .direct = args->direct->count > 0,
    .customers =
        g_strsplit (args->customers->count > 0 ? args->customers->sval[0] : "lantern", ",", -1),
    .kinds = g_strsplit (args->kinds->count > 0 ? args->kinds->sval[0] : "check", ",", -1),
    .within_ms = int_or (args->within, DEFAULT_WITHIN_MS),
    .run_id = g_strdup_printf ("%" G_GINT64_MODIFIER "x", clock_boot_us ()),
  };
  if (read_options (args, &run, &options))
    {
      int64_t threads = CLAMP (int_or (args->threads, DEFAULT_THREADS), 1, THREADS_MAX);
      run.plan = load_plan_new (&options);
      if (args->json->count == 0)
        printf ("seed %u\n", options.seed);
      execute (&run, (int32_t) threads);
      status = report (args, &run, options.seed);
      load_plan_free (run.plan);
    }
  g_strfreev (run.customers);
  g_strfreev (run.kinds);
  g_free (run.run_id);
  return status;
}

int
cmd_load (int argc, char **argv)
{
  args_t args = {
    .help = arg_lit0 ("h", "help", "print this help"),
    .target = arg_strn (NULL, "target", "IP:PORT", 1, TARGETS_MAX,
                        "caller address of a host; may be repeated"),
    .direct = arg_lit0 (NULL, "direct", "targets are endpoints: call them without a host"),
    .rate = arg_dbl0 (NULL, "rate", "N", "jobs a second (50)"),
    .seconds = arg_int0 (NULL, "seconds", "N", "length of the run (10)"),
    .seed = arg_int0 (NULL, "seed", "N", "decides all arrivals and sizes (1)"),
    .tasks = arg_int0 (NULL, "tasks", "N", "tasks of a job, at least (1)"),
    .tasks_max = arg_int0 (NULL, "tasks-max", "N", "tasks of a job, at most"),
    .run_ms = arg_int0 (NULL, "run-ms", "MS", "run time of a task, at least (50)"),
    .run_max_ms = arg_int0 (NULL, "run-max-ms", "MS", "run time of a task, at most"),
    .customers = arg_str0 (NULL, "customers", "A,B", "customers that submit (lantern)"),
    .kinds = arg_str0 (NULL, "kinds", "A,B", "kinds of jobs (check)"),
    .resubmit = arg_dbl0 (NULL, "resubmit", "SHARE", "share of jobs submitted twice (0)"),
    .cancel = arg_dbl0 (NULL, "cancel", "SHARE", "share of jobs cancelled (0)"),
    .within = arg_int0 (NULL, "within-ms", "MS", "deadline of a job (30000)"),
    .threads = arg_int0 (NULL, "threads", "N", "operations at once (128)"),
    .csv = arg_file0 (NULL, "csv", "FILE", "write every operation to FILE"),
    .json = arg_lit0 (NULL, "json", "print the report as JSON"),
    .end = arg_end (8),
  };
  void *table[] = { args.help,      args.target, args.direct,    args.rate,   args.seconds,
                    args.seed,      args.tasks,  args.tasks_max, args.run_ms, args.run_max_ms,
                    args.customers, args.kinds,  args.resubmit,  args.cancel, args.within,
                    args.threads,   args.csv,    args.json,      args.end };
  int status = TOOL_OK;

  if (tool_parse (argc, argv, table, G_N_ELEMENTS (table),
                  "Submits jobs at random times and measures from the intended time.\n"
                  "Exit status 0 only if every operation got an answer.",
                  &status))
    status = load (&args);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
