/* check.c -- what must hold after every case, whatever faults it had */
#include "tests/system/check.h"

#include "base/clock.h"
#include "base/error.h"

#include <stdio.h>
#include <string.h>

#define MS_PER_S 1000

/* Columns of a journal's line. */
enum
{
  COLUMN_KEY,
  COLUMN_TASK,
  COLUMN_KIND,
  COLUMN_PLAN,
  COLUMN_AT_MS,
  COLUMN_COUNT
};

typedef void (*start_visitor_t) (char **columns, void *data);

static void
each_start (rig_t *rig, start_visitor_t visit, void *data)
{
  for (guint i = 0; i < rig->endpoints->len; i++)
    {
      const rig_endpoint_t *endpoint = g_ptr_array_index (rig->endpoints, i);
      char *text = NULL;
      if (!g_file_get_contents (endpoint->journal, &text, NULL, NULL))
        continue;
      char **lines = g_strsplit (text, "\n", -1);
      for (char **line = lines; *line != NULL; line++)
        {
          char **columns = g_strsplit (*line, "\t", -1);
          if (g_strv_length (columns) == COLUMN_COUNT)
            visit (columns, data);
          g_strfreev (columns);
        }
      g_strfreev (lines);
      g_free (text);
    }
}

typedef struct
{
  const char *key;
  int32_t count;
} counting_t;

static void
count_start (char **columns, void *data)
{
  counting_t *counting = data;
  if (counting->key == NULL || strcmp (columns[COLUMN_KEY], counting->key) == 0)
    counting->count++;
}

int32_t
check_count_starts (rig_t *rig, const char *key)
{
  counting_t counting = { .key = key };
  each_start (rig, count_start, &counting);
  return counting.count;
}

typedef struct
{
  const char *key;
  char *plan;
} finding_t;

static void
find_plan (char **columns, void *data)
{
  finding_t *finding = data;
  if (finding->plan == NULL && strcmp (columns[COLUMN_KEY], finding->key) == 0)
    finding->plan = g_strdup (columns[COLUMN_PLAN]);
}

char *
check_plan_of (rig_t *rig, const char *key)
{
  finding_t finding = { .key = key };
  each_start (rig, find_plan, &finding);
  return finding.plan;
}

/* "key TAB task" -> number of starts, and "key" -> number of starts. */
static void
tally_start (char **columns, void *data)
{
  GHashTable *tally = data;
  char *names[] = { g_strdup_printf ("%s\t%s", columns[COLUMN_KEY], columns[COLUMN_TASK]),
                    g_strdup (columns[COLUMN_KEY]) };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      int32_t count = GPOINTER_TO_INT (g_hash_table_lookup (tally, names[i]));
      g_hash_table_replace (tally, names[i], GINT_TO_POINTER (count + 1));
    }
}

static int32_t
tally_get (GHashTable *tally, const char *key, const char *task)
{
  char *name = task != NULL ? g_strdup_printf ("%s\t%s", key, task) : g_strdup (key);
  int32_t count = GPOINTER_TO_INT (g_hash_table_lookup (tally, name));
  g_free (name);
  return count;
}

static void
check_started_once (rig_t *rig, const job_t *job, GHashTable *tally)
{
  for (guint i = 0; i < job->tasks->len; i++)
    {
      const job_task_t *task = g_ptr_array_index (job->tasks, i);
      int32_t count = tally_get (tally, job->key, task->id);
      rig_expect (rig, count <= 1 || job->repeatable, "task %s of %s started %d times", task->id,
                  job->key, count);
    }
}

static void
check_complete (rig_t *rig, const submission_t *submission, GHashTable *tally)
{
  const job_t *job = submission->job;
  char *wrong = job_compare (job, call_wait (submission->call)->json);
  rig_expect (rig, wrong == NULL, "the answer to %s at %s is not whole: %s", job->key,
              submission->host->id, wrong);
  g_free (wrong);
  for (guint i = 0; i < job->tasks->len; i++)
    {
      const job_task_t *task = g_ptr_array_index (job->tasks, i);
      rig_expect (rig, tally_get (tally, job->key, task->id) > 0,
                  "%s is complete but its task %s never started", job->key, task->id);
    }
}

static bool
has_retry (const reply_t *reply)
{
  json_object *member = NULL;
  return json_object_object_get_ex (reply->json, "retry_at_ms", &member)
         && (member == NULL || json_object_is_type (member, json_type_int));
}

typedef struct
{
  const char *key;
  int64_t end_at_ms;
  int32_t count;
} earlier_t;

static void
count_earlier (char **columns, void *data)
{
  earlier_t *earlier = data;
  if (strcmp (columns[COLUMN_KEY], earlier->key) == 0
      && g_ascii_strtoll (columns[COLUMN_AT_MS], NULL, 10) < earlier->end_at_ms)
    earlier->count++;
}

/* After a truthful "not_run" the caller may submit again, and then tasks start.
 * So the promise is broken if a task had started before the refused request was
 * sent, or if no other request of the key accounts for the starts. */
static bool
is_false_not_run (rig_t *rig, const submission_t *submission)
{
  earlier_t before = { submission->job->key, call_wait (submission->call)->begun_at_ms, 0 };
  each_start (rig, count_earlier, &before);
  if (before.count > 0)
    return true;
  for (guint i = 0; i < rig->submissions->len; i++)
    {
      const submission_t *other = g_ptr_array_index (rig->submissions, i);
      const char *run = reply_string (call_wait (other->call), "run");
      if (strcmp (other->job->key, submission->job->key) == 0 && strcmp (run, "not_run") != 0)
        return false;
    }
  return true;
}

/* A false "not_run", with all that was said about the key. */
static void
fail_not_run (rig_t *rig, const submission_t *submission, const char *kind)
{
  const char *key = submission->job->key;
  int64_t begun_at_ms = call_wait (submission->call)->begun_at_ms;
  earlier_t before = { key, begun_at_ms, 0 };
  earlier_t all = { key, INT64_MAX, 0 };
  each_start (rig, count_earlier, &before);
  each_start (rig, count_earlier, &all);
  rig_fail (rig, "%s at %s: %s, \"not_run\", but %d tasks started, %d of them before it was sent",
            key, submission->host->id, kind, all.count, before.count);
  for (guint i = 0; i < rig->submissions->len; i++)
    {
      const submission_t *other = g_ptr_array_index (rig->submissions, i);
      const reply_t *reply = call_wait (other->call);
      if (strcmp (other->job->key, key) == 0)
        printf ("\n      sent %+" G_GINT64_FORMAT " ms to %s: error %d, %.120s",
                reply->begun_at_ms - begun_at_ms, other->host->id, reply->error,
                reply->text != NULL ? reply->text : "");
    }
}

static void
check_refusal (rig_t *rig, const submission_t *submission, GHashTable *tally)
{
  const reply_t *reply = call_wait (submission->call);
  const char *key = submission->job->key;
  const char *kind = reply_string (reply, "kind");
  const char *run = reply_string (reply, "run");
  const char *state = reply_string (reply, "state");
  const error_row_t *row = error_row (error_from_name (kind));
  bool not_run = strcmp (run, "not_run") == 0;
  bool whole = strcmp (row->name, kind) == 0 && row->http_status == reply->status
               && strcmp (state, row->state) == 0 && strlen (reply_string (reply, "message")) > 0
               && (not_run || strcmp (run, "may_have_run") == 0) && has_retry (reply);
  rig_expect (rig, whole, "the answer to %s at %s breaks the contract: %d %.300s", key,
              submission->host->id, reply->status, reply->text);
  if (not_run && tally_get (tally, key, NULL) > 0 && is_false_not_run (rig, submission))
    fail_not_run (rig, submission, kind);
}

static void
check_submission (rig_t *rig, const submission_t *submission, GHashTable *tally)
{
  const reply_t *reply = call_wait (submission->call);
  if (reply->error != 0)
    rig_expect (rig, submission->may_break, "the request of %s at %s broke: %s",
                submission->job->key, submission->host->id, error_name (reply->error));
  else if (reply->status == 200)
    check_complete (rig, submission, tally);
  else
    check_refusal (rig, submission, tally);
}

/* What a DELETE says must be true as well.  One that finds no job may have
 * overtaken the submission, which then starts: only starts from before the
 * DELETE was sent make its "not_run" false.  A job that was found and cancelled
 * never starts. */
static void
check_cancel (rig_t *rig, const cancel_t *cancel)
{
  const reply_t *reply = call_wait (cancel->call);
  const char *kind = reply_string (reply, "kind");
  bool found = strcmp (kind, error_name (ERROR_UNKNOWN_KEY)) != 0;
  earlier_t earlier = { cancel->key, found ? INT64_MAX : reply->begun_at_ms, 0 };
  if (strcmp (reply_string (reply, "run"), "not_run") == 0)
    each_start (rig, count_earlier, &earlier);
  rig_expect (rig, earlier.count == 0, "DELETE of %s at %s: %s, \"not_run\", but %d tasks started",
              cancel->key, cancel->host->id, kind, earlier.count);
}

static bool
is_idle (void *data)
{
  const rig_endpoint_t *endpoint = data;
  if (!endpoint->process->running || endpoint->process->frozen)
    return true;
  call_t *call = call_now (endpoint->address, "GET", "/stats", NULL, NULL);
  json_object *running = NULL;
  json_object_object_get_ex (call_wait (call)->json, "running", &running);
  bool idle = json_object_get_int64 (running) == 0;
  call_free (call);
  return idle;
}

static void
wait_idle (rig_t *rig)
{
  for (guint i = 0; i < rig->submissions->len; i++)
    call_wait (((submission_t *) g_ptr_array_index (rig->submissions, i))->call);
  for (guint i = 0; i < rig->endpoints->len; i++)
    {
      rig_endpoint_t *endpoint = g_ptr_array_index (rig->endpoints, i);
      if (endpoint->process->running && !endpoint->process->frozen)
        rig_fault_endpoint (rig, endpoint, "{\"reset\":true}");
      rig_until (rig, "the end of all tasks", is_idle, endpoint);
    }
}

void
check_all (rig_t *rig)
{
  GHashTable *tally = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  wait_idle (rig);
  each_start (rig, tally_start, tally);
  for (guint i = 0; i < rig->jobs->len; i++)
    check_started_once (rig, g_ptr_array_index (rig->jobs, i), tally);
  for (guint i = 0; i < rig->submissions->len; i++)
    check_submission (rig, g_ptr_array_index (rig->submissions, i), tally);
  for (guint i = 0; i < rig->cancels->len; i++)
    check_cancel (rig, g_ptr_array_index (rig->cancels, i));
  g_hash_table_unref (tally);
}

/* Limits. */

/* A start (+1) or an end (-1). */
typedef struct
{
  int64_t at_ms;
  int32_t delta;
} event_t;

static void
add_events (json_object *start, const char *plan, GArray *events)
{
  json_object *member = NULL;
  json_object_object_get_ex (start, "plan", &member);
  if (strcmp (json_object_get_string (member), plan) != 0)
    return;
  json_object_object_get_ex (start, "at_ms", &member);
  event_t begin = { json_object_get_int64 (member), 1 };
  json_object_object_get_ex (start, "end_at_ms", &member);
  event_t end = { json_object_get_int64 (member), -1 };
  if (end.at_ms == 0)
    end.at_ms = INT64_MAX;
  g_array_append_val (events, begin);
  g_array_append_val (events, end);
}

/* By time; ends before starts, since times are whole milliseconds. */
static int
compare_events (const void *left, const void *right)
{
  const event_t *a = left;
  const event_t *b = right;
  if (a->at_ms != b->at_ms)
    return a->at_ms < b->at_ms ? -1 : 1;
  return a->delta - b->delta;
}

static GArray *
collect_events (rig_t *rig, const char *plan)
{
  GArray *events = g_array_new (FALSE, FALSE, sizeof (event_t));
  for (guint i = 0; i < rig->endpoints->len; i++)
    {
      const rig_endpoint_t *endpoint = g_ptr_array_index (rig->endpoints, i);
      if (!endpoint->process->running)
        continue;
      call_t *call = call_now (endpoint->address, "GET", "/starts", NULL, NULL);
      json_object *starts = NULL;
      json_object_object_get_ex (call_wait (call)->json, "starts", &starts);
      size_t count = starts != NULL ? json_object_array_length (starts) : 0;
      for (size_t n = 0; n < count; n++)
        add_events (json_object_array_get_idx (starts, n), plan, events);
      call_free (call);
    }
  g_array_sort (events, compare_events);
  return events;
}

int32_t
check_max_running (rig_t *rig, const char *plan)
{
  GArray *events = collect_events (rig, plan);
  int32_t running = 0;
  int32_t most = 0;
  for (guint i = 0; i < events->len; i++)
    {
      running += g_array_index (events, event_t, i).delta;
      most = MAX (most, running);
    }
  g_array_unref (events);
  return most;
}

int32_t
check_max_starts_per_s (rig_t *rig, const char *plan)
{
  GArray *events = collect_events (rig, plan);
  GArray *starts = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (guint i = 0; i < events->len; i++)
    if (g_array_index (events, event_t, i).delta > 0)
      g_array_append_val (starts, g_array_index (events, event_t, i).at_ms);
  int32_t most = 0;
  guint first = 0;
  for (guint last = 0; last < starts->len; last++)
    {
      int64_t begin_ms = g_array_index (starts, int64_t, last) - MS_PER_S;
      while (g_array_index (starts, int64_t, first) <= begin_ms)
        first++;
      most = MAX (most, (int32_t) (last - first + 1));
    }
  g_array_unref (starts);
  g_array_unref (events);
  return most;
}
