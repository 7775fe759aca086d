/* book.c -- what callers, endpoints and the soak itself have seen, and the checks over it
 *
 * Each check walks the sorted rows once with a state of its own.  Bounds are those that users are
 * promised; what a fault near the event allows is left out by is_calm ().
 */
#include "tests/soak/book.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Promised bounds. */
#define CONTACT_MS 3000 /* a fault counts as near for this long */
#define LEASE_MS 1000
#define CANCEL_MS 3000
#define STOP_MS 50
#define DRAIN_MS 2000
#define LOSS_SLACK_MS 200
#define CONFIG_MS 2000
#define DOWNGRADE_MS 250
#define ATTEMPTS_MAX 3
/* A task under which this many endpoints have crashed may be given up. */
#define CRASHES_OF_GIVEN_UP 2
/* Findings of one run that are printed; all count. */
#define PRINTED_MAX 12
/* Rows of several processes carry times of one clock, read a little apart. */
#define APART_MS 10

typedef struct
{
  int64_t at_ms;
  int64_t until_ms;
} trouble_t;

struct book_t
{
  GMutex lock;
  GArray *rows; /* book_row_t; their texts are interned */
  GArray *troubles;
  GHashTable *found; /* texts of findings */
};

book_t *
book_new (void)
{
  book_t *book = g_new0 (book_t, 1);

  g_mutex_init (&book->lock);
  book->rows = g_array_new (FALSE, FALSE, sizeof (book_row_t));
  book->troubles = g_array_new (FALSE, FALSE, sizeof (trouble_t));
  book->found = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return book;
}

void
book_free (book_t *book)
{
  g_array_unref (book->rows);
  g_array_unref (book->troubles);
  g_hash_table_unref (book->found);
  g_mutex_clear (&book->lock);
  g_free (book);
}

void
book_add (book_t *book, const book_row_t *row)
{
  book_row_t copy = *row;

  copy.text = g_intern_string (row->text != NULL ? row->text : "");
  g_mutex_lock (&book->lock);
  g_array_append_val (book->rows, copy);
  g_mutex_unlock (&book->lock);
}

int32_t
book_trouble (book_t *book, int64_t at_ms)
{
  trouble_t trouble = { at_ms, INT64_MAX };

  g_mutex_lock (&book->lock);
  g_array_append_val (book->troubles, trouble);
  int32_t number = (int32_t) book->troubles->len - 1;
  g_mutex_unlock (&book->lock);
  return number;
}

void
book_trouble_over (book_t *book, int32_t number, int64_t until_ms)
{
  g_mutex_lock (&book->lock);
  g_array_index (book->troubles, trouble_t, number).until_ms = until_ms;
  g_mutex_unlock (&book->lock);
}

void
book_find (book_t *book, const char *text)
{
  if (g_hash_table_add (book->found, g_strdup (text))
      && g_hash_table_size (book->found) <= PRINTED_MAX)
    printf ("  BROKEN: %s\n", text);
}

/* --- ledgers --- */

static const char *
text_of (json_object *object, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_string (value) : "";
}

static int64_t
number_of (json_object *object, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (object, key, &value) ? json_object_get_int64 (value) : 0;
}

void
book_ledger (book_t *book, const char *line)
{
  json_object *object = json_tokener_parse (line);

  if (object == NULL)
    return;
  const char *what = text_of (object, "what");
  const char *task = text_of (object, "task");
  const char *index = strrchr (task, '.');
  bool start = strcmp (what, "start") == 0;
  book_row_t row = {
    .at_ms = number_of (object, "at_ms"),
    .kind = start ? BOOK_START : BOOK_END,
    .job = g_ascii_strtoull (task, NULL, 16),
    .index = index != NULL ? atoi (index + 1) : -1,
    .attempt = (int32_t) number_of (object, "attempt"),
    .endpoint = atoi (text_of (object, "endpoint") + 1),
    .text = start ? text_of (object, "spec") : what,
  };
  book_add (book, &row);
  json_object_put (object);
}

/* --- what the checks share --- */

typedef struct
{
  book_t *book;
  const book_row_t *rows;
  guint count;
  const trouble_t *troubles;
  guint troubles_count;
} view_t;

/* No fault between FROM_MS less the contact window and UNTIL_MS. */
static bool
is_calm (const view_t *view, int64_t from_ms, int64_t until_ms)
{
  for (guint i = 0; i < view->troubles_count; i++)
    if (view->troubles[i].at_ms <= until_ms && view->troubles[i].until_ms >= from_ms - CONTACT_MS)
      return false;
  return true;
}

static void find (const view_t *view, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
find (const view_t *view, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  book_find (view->book, text);
  g_free (text);
}

/* What has become of one job; its rows in order. */
typedef struct
{
  uint64_t id;
  GArray *rows; /* book_row_t */
} job_t;

static void
free_job (void *data)
{
  job_t *job = data;

  g_array_unref (job->rows);
  g_free (job);
}

static GHashTable *
jobs_of (const view_t *view)
{
  GHashTable *jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_job);

  for (guint i = 0; i < view->count; i++)
    {
      const book_row_t *row = &view->rows[i];
      if (row->job == 0)
        continue;
      job_t *job = g_hash_table_lookup (jobs, &row->job);
      if (job == NULL)
        {
          job = g_new0 (job_t, 1);
          job->id = row->job;
          job->rows = g_array_new (FALSE, FALSE, sizeof (book_row_t));
          g_hash_table_insert (jobs, &job->id, job);
        }
      g_array_append_vals (job->rows, row, 1);
    }
  return jobs;
}

/* --- checks of a job --- */

/* A start of what nobody asked for, or of something else. */
static void
check_asked (const view_t *view, const job_t *job)
{
  const book_row_t *sent = NULL;

  for (guint i = 0; i < job->rows->len; i++)
    {
      const book_row_t *row = &g_array_index (job->rows, book_row_t, i);
      if (row->kind == BOOK_SENT && sent == NULL)
        sent = row;
      if (row->kind != BOOK_START)
        continue;
      if (sent == NULL || row->at_ms + APART_MS < sent->at_ms || row->text != sent->text
          || row->index >= sent->index)
        find (view, "unasked: job %016" G_GINT64_MODIFIER "x.%d starts at e%d", job->id,
              (int) row->index, (int) row->endpoint);
    }
}

/* "Has not run" is true. */
static void
check_refused (const view_t *view, const job_t *job)
{
  bool refused = false;
  bool other = false;
  const book_row_t *start = NULL;

  for (guint i = 0; i < job->rows->len; i++)
    {
      const book_row_t *row = &g_array_index (job->rows, book_row_t, i);
      bool is_refusal = row->kind == BOOK_ANSWERED && (row->status == 503 || row->status == 429);
      refused |= is_refusal;
      other |= (row->kind == BOOK_ANSWERED && !is_refusal) || row->kind == BOOK_BROKEN;
      if (row->kind == BOOK_START)
        start = row;
    }
  if (refused && !other && start != NULL)
    find (view, "refused, and ran: job %016" G_GINT64_MODIFIER "x.%d at e%d", job->id,
          (int) start->index, (int) start->endpoint);
}

/* True if the endpoint of the run that START has started crashed before the run was over, and
 * before UNTIL_MS: its ledger says so, or its process was killed. */
static bool
has_crashed (const view_t *view, const book_row_t *start, int64_t until_ms)
{
  for (guint i = 0; i < view->count && view->rows[i].at_ms <= until_ms; i++)
    {
      const book_row_t *row = &view->rows[i];
      if (row->at_ms < start->at_ms || row->endpoint != start->endpoint)
        continue;
      if (row->kind == BOOK_ENDPOINT_GONE && row->at_ms > start->at_ms)
        return true;
      if (row->kind == BOOK_END && row->job == start->job && row->index == start->index
          && row->attempt == start->attempt)
        return strcmp (row->text, "crashed") == 0;
    }
  return false;
}

/* Returns the most endpoints that have crashed under one task of JOB before UNTIL_MS. */
static int32_t
most_crashes (const view_t *view, const job_t *job, int64_t until_ms)
{
  GHashTable *crashes = g_hash_table_new (NULL, NULL);
  int32_t most = 0;

  for (guint i = 0; i < job->rows->len; i++)
    {
      const book_row_t *row = &g_array_index (job->rows, book_row_t, i);
      void *key = GINT_TO_POINTER (row->index);
      if (row->kind != BOOK_START || !has_crashed (view, row, until_ms))
        continue;
      int32_t count = GPOINTER_TO_INT (g_hash_table_lookup (crashes, key)) + 1;
      g_hash_table_replace (crashes, key, GINT_TO_POINTER (count));
      most = MAX (most, count);
    }
  g_hash_table_unref (crashes);
  return most;
}

/* A complete answer has every task done; a failed one a task that failed often enough, or under
 * which enough endpoints have crashed. */
static void
check_outcome (const view_t *view, const job_t *job)
{
  GHashTable *done = g_hash_table_new (NULL, NULL);
  GHashTable *failures = g_hash_table_new (NULL, NULL);
  int32_t tasks = 0;
  int32_t most = 0;

  for (guint i = 0; i < job->rows->len; i++)
    {
      const book_row_t *row = &g_array_index (job->rows, book_row_t, i);
      void *key = GINT_TO_POINTER (row->index);
      if (row->kind == BOOK_SENT)
        tasks = row->index;
      if (row->kind == BOOK_END && strcmp (row->text, "done") == 0)
        g_hash_table_add (done, key);
      if (row->kind == BOOK_END && strcmp (row->text, "failed") == 0)
        {
          int32_t count = GPOINTER_TO_INT (g_hash_table_lookup (failures, key)) + 1;
          g_hash_table_replace (failures, key, GINT_TO_POINTER (count));
          most = MAX (most, count);
        }
      if (row->kind != BOOK_ANSWERED || row->status != 200)
        continue;
      if (strstr (row->text, "completed") != NULL && (int32_t) g_hash_table_size (done) < tasks)
        find (view, "incomplete: job %016" G_GINT64_MODIFIER "x has %u of %d tasks done", job->id,
              g_hash_table_size (done), (int) tasks);
      if (strstr (row->text, "failed") != NULL && most < ATTEMPTS_MAX
          && most_crashes (view, job, row->at_ms) < CRASHES_OF_GIVEN_UP)
        find (view, "failed too soon: job %016" G_GINT64_MODIFIER "x after %d ends", job->id,
              (int) most);
    }
  g_hash_table_unref (done);
  g_hash_table_unref (failures);
}

/* A cancelled job is gone in time and does not start any more. */
static void
check_cancelled (const view_t *view, const job_t *job)
{
  int64_t gone_by_ms = INT64_MAX;
  int64_t at_ms = INT64_MAX;

  for (guint i = 0; i < job->rows->len; i++)
    {
      const book_row_t *row = &g_array_index (job->rows, book_row_t, i);
      bool answered = row->status / 100 == 2 || row->status == 410;
      if (row->kind == BOOK_CANCELLED && answered && at_ms == INT64_MAX)
        {
          at_ms = row->at_ms;
          gone_by_ms = at_ms + CANCEL_MS + STOP_MS;
        }
      if (row->at_ms <= gone_by_ms || !is_calm (view, at_ms, row->at_ms))
        continue;
      if (row->kind == BOOK_START || row->kind == BOOK_END)
        find (view, "cancelled, and still there: job %016" G_GINT64_MODIFIER "x.%d at e%d", job->id,
              (int) row->index, (int) row->endpoint);
    }
}

/* A host that is asked to stop answers what it has read. */
static void
check_stops (const view_t *view, const job_t *job)
{
  for (guint i = 0; i < job->rows->len; i++)
    {
      const book_row_t *broken = &g_array_index (job->rows, book_row_t, i);
      const book_row_t *sent = NULL;
      bool started = false;
      if (broken->kind != BOOK_BROKEN)
        continue;
      for (guint k = 0; k < i; k++)
        {
          const book_row_t *row = &g_array_index (job->rows, book_row_t, k);
          if (row->kind == BOOK_SENT && row->number == broken->number)
            sent = row;
          started |= sent != NULL && row->kind == BOOK_START;
        }
      if (sent == NULL || !is_calm (view, sent->at_ms, broken->at_ms))
        continue;
      if (started || broken->at_ms - sent->at_ms > LOSS_SLACK_MS)
        find (view, "lost: job %016" G_GINT64_MODIFIER "x, sent to h%d, no whole answer (%s)",
              job->id, (int) broken->host, broken->text);
    }
}

static void
check_jobs (const view_t *view)
{
  static void (*const checks[]) (const view_t *view, const job_t *job) = {
    check_asked, check_refused, check_outcome, check_cancelled, check_stops,
  };
  GHashTable *jobs = jobs_of (view);
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (gsize i = 0; i < G_N_ELEMENTS (checks); i++)
      checks[i](view, value);
  g_hash_table_unref (jobs);
}

/* --- checks of endpoints --- */

typedef struct
{
  uint64_t job;
  int32_t index;
  int32_t attempt;
  int32_t endpoint;
} run_t;

static void
end_runs (GArray *runs, const book_row_t *row)
{
  for (guint i = runs->len; i-- > 0;)
    {
      const run_t *run = &g_array_index (runs, run_t, i);
      bool same = run->job == row->job && run->index == row->index && run->attempt == row->attempt;
      if (run->endpoint == row->endpoint && (row->kind == BOOK_ENDPOINT_GONE || same))
        g_array_remove_index_fast (runs, i);
    }
}

/* What a paused endpoint runs is over with its lease, though it can't say so. */
static bool
is_surely_over (GHashTable *paused, const run_t *run, int64_t now_ms)
{
  const int64_t *from_ms = g_hash_table_lookup (paused, GINT_TO_POINTER (run->endpoint));

  return from_ms != NULL && now_ms - *from_ms > LEASE_MS;
}

/* True if the run that row number INDEX has started crashed its endpoint, or was lost with it,
 * within that millisecond.  Ends are read first there, but an endpoint that has crashed is down and
 * starts nothing. */
static bool
has_crashed_at_once (const view_t *view, guint index)
{
  const book_row_t *start = &view->rows[index];

  for (guint i = index; i-- > 0 && view->rows[i].at_ms == start->at_ms;)
    {
      const book_row_t *row = &view->rows[i];
      if (row->kind == BOOK_END && row->endpoint == start->endpoint && row->job == start->job
          && row->index == start->index && row->attempt == start->attempt
          && strcmp (row->text, "crashed") == 0)
        return true;
    }
  return false;
}

/* No task runs twice at a time. */
static void
check_twice (const view_t *view)
{
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (run_t));
  GHashTable *paused = g_hash_table_new (NULL, NULL);

  for (guint i = 0; i < view->count; i++)
    {
      const book_row_t *row = &view->rows[i];
      if (row->kind == BOOK_END || row->kind == BOOK_ENDPOINT_GONE)
        end_runs (runs, row);
      if (row->kind == BOOK_ENDPOINT_PAUSED)
        g_hash_table_insert (paused, GINT_TO_POINTER (row->endpoint), (void *) &row->at_ms);
      if (row->kind == BOOK_ENDPOINT_GONE || row->kind == BOOK_ENDPOINT_BACK)
        g_hash_table_remove (paused, GINT_TO_POINTER (row->endpoint));
      if (row->kind != BOOK_START)
        continue;
      for (guint k = 0; k < runs->len; k++)
        {
          const run_t *run = &g_array_index (runs, run_t, k);
          if (run->job == row->job && run->index == row->index
              && !is_surely_over (paused, run, row->at_ms))
            find (view, "twice: job %016" G_GINT64_MODIFIER "x.%d at e%d and e%d", row->job,
                  (int) row->index, (int) run->endpoint, (int) row->endpoint);
        }
      run_t run = { row->job, row->index, row->attempt, row->endpoint };
      if (!has_crashed_at_once (view, i))
        g_array_append_val (runs, run);
    }
  g_hash_table_unref (paused);
  g_array_unref (runs);
}

/* An endpoint that leaves gets nothing new after a while. */
static void
check_leaving (const view_t *view)
{
  GHashTable *leaving = g_hash_table_new (NULL, NULL);

  for (guint i = 0; i < view->count; i++)
    {
      const book_row_t *row = &view->rows[i];
      void *key = GINT_TO_POINTER (row->endpoint);
      if (row->kind == BOOK_ENDPOINT_LEAVING)
        g_hash_table_insert (leaving, key, (void *) &row->at_ms);
      if (row->kind == BOOK_ENDPOINT_BACK)
        g_hash_table_remove (leaving, key);
      const int64_t *from_ms = g_hash_table_lookup (leaving, key);
      if (row->kind == BOOK_START && from_ms != NULL && row->at_ms - *from_ms > DRAIN_MS
          && is_calm (view, *from_ms, row->at_ms))
        find (view, "leaving, and given work: e%d, job %016" G_GINT64_MODIFIER "x.%d",
              (int) row->endpoint, row->job, (int) row->index);
    }
  g_hash_table_unref (leaving);
}

/* --- checks of hosts --- */

/* A host ends only when it is told to, and then well. */
static void
check_ends (const view_t *view)
{
  for (guint i = 0; i < view->count; i++)
    {
      const book_row_t *row = &view->rows[i];
      if (row->kind == BOOK_HOST_ENDED && row->text[0] == '\0')
        find (view, "ended by itself: h%d, status %d", (int) row->host, (int) row->status);
      if (row->kind == BOOK_HOST_ENDED && strcmp (row->text, "stopped") == 0 && row->status != 0)
        find (view, "stopped badly: h%d, status %d", (int) row->host, (int) row->status);
    }
}

/* The version of a probe was put so long before that it must be in force. */
static bool
is_due (const view_t *view, const book_row_t *probe)
{
  for (guint i = 0; i < view->count; i++)
    {
      const book_row_t *row = &view->rows[i];
      if (row->kind == BOOK_CONFIG && row->number == probe->number)
        return probe->at_ms - row->at_ms > CONFIG_MS && is_calm (view, row->at_ms, probe->at_ms);
    }
  return false;
}

/* A configuration is in force in time, and never goes back.  Each keeps the queues of those before,
 * so that a version that was seen vouches for all lower ones. */
static void
check_config (const view_t *view)
{
  for (guint i = 0; i < view->count; i++)
    {
      const book_row_t *probe = &view->rows[i];
      if (probe->kind != BOOK_PROBED || probe->status != 404)
        continue;
      for (guint k = 0; k < i; k++)
        {
          const book_row_t *before = &view->rows[k];
          if (before->kind == BOOK_PROBED && before->status == 410 && before->host == probe->host
              && before->attempt == probe->attempt && before->number >= probe->number
              && probe->at_ms - before->at_ms > DOWNGRADE_MS)
            {
              find (view, "configuration went back: h%d, version %d", (int) probe->host,
                    (int) probe->number);
              break;
            }
        }
      if (is_due (view, probe))
        find (view, "configuration not in force: h%d, version %d", (int) probe->host,
              (int) probe->number);
    }
}

/* --- all of them --- */

static gint
compare (gconstpointer a, gconstpointer b)
{
  const book_row_t *x = a;
  const book_row_t *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms > y->at_ms ? 1 : -1;
  return (gint) x->kind - (gint) y->kind;
}

int32_t
book_check (book_t *book, int64_t until_ms)
{
  g_mutex_lock (&book->lock);
  GArray *rows = g_array_copy (book->rows);
  GArray *troubles = g_array_copy (book->troubles);
  g_mutex_unlock (&book->lock);
  g_array_sort (rows, compare);
  view_t view = { .book = book,
                  .rows = (const book_row_t *) (void *) rows->data,
                  .troubles = (const trouble_t *) (void *) troubles->data,
                  .troubles_count = troubles->len };
  while (view.count < rows->len && view.rows[view.count].at_ms <= until_ms)
    view.count++;
  check_jobs (&view);
  check_twice (&view);
  check_leaving (&view);
  check_ends (&view);
  check_config (&view);
  g_array_unref (rows);
  g_array_unref (troubles);
  return (int32_t) g_hash_table_size (book->found);
}

/* A copy of all rows in their order; the caller frees it. */
static GArray *
sorted_rows (book_t *book)
{
  g_mutex_lock (&book->lock);
  GArray *rows = g_array_copy (book->rows);
  g_mutex_unlock (&book->lock);
  g_array_sort (rows, compare);
  return rows;
}

/* --- jobs that ran twice --- */

#define TWICE "twice: job "
/* Jobs that are printed. */
#define STORIES_MAX 6

static const char *const kind_names[] = {
  [BOOK_END] = "ends",          [BOOK_SENT] = "sent",           [BOOK_START] = "starts",
  [BOOK_ANSWERED] = "answered", [BOOK_BROKEN] = "not answered", [BOOK_CANCELLED] = "cancelled",
};

static void
print_job (const GArray *rows, uint64_t job)
{
  int64_t from_ms = 0;

  printf ("  job %016" G_GINT64_MODIFIER "x\n", job);
  for (guint i = 0; i < rows->len; i++)
    {
      const book_row_t *row = &g_array_index (rows, book_row_t, i);
      if (row->job != job || row->kind >= G_N_ELEMENTS (kind_names)
          || kind_names[row->kind] == NULL)
        continue;
      bool of_endpoint = row->kind == BOOK_START || row->kind == BOOK_END;
      from_ms = from_ms == 0 ? row->at_ms : from_ms;
      printf ("    %6" G_GINT64_FORMAT " ms (%" G_GINT64_FORMAT "): %s %s%d, %d: %s\n",
              row->at_ms - from_ms, row->at_ms, kind_names[row->kind], of_endpoint ? "e" : "h",
              (int) (of_endpoint ? row->endpoint : row->host),
              (int) (of_endpoint ? row->index : row->status), row->text);
    }
}

int32_t
book_print_twice (book_t *book)
{
  GHashTable *jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  GHashTableIter iter;
  void *text = NULL;
  int32_t count = 0;

  GArray *rows = sorted_rows (book);
  g_hash_table_iter_init (&iter, book->found);
  while (g_hash_table_iter_next (&iter, &text, NULL))
    {
      if (!g_str_has_prefix (text, TWICE))
        continue;
      count++;
      uint64_t job = g_ascii_strtoull ((const char *) text + strlen (TWICE), NULL, 16);
      uint64_t *key = g_memdup2 (&job, sizeof job);
      if (g_hash_table_add (jobs, key) && g_hash_table_size (jobs) <= STORIES_MAX)
        print_job (rows, job);
    }
  g_hash_table_unref (jobs);
  g_array_unref (rows);
  return count;
}

void
book_print_job (book_t *book, uint64_t job)
{
  GArray *rows = sorted_rows (book);
  print_job (rows, job);
  g_array_unref (rows);
}

/* --- how long runs go on --- */

typedef struct
{
  int64_t for_ms;
  uint64_t job;
} stop_time_t;

static bool
is_without_answer (const book_row_t *row)
{
  return row->kind == BOOK_BROKEN || (row->kind == BOOK_ANSWERED && row->status == 504);
}

/* How long runs of JOB that were started before row number INDEX go on after it; 0 if none do. */
static int64_t
goes_on_ms (const job_t *job, guint index)
{
  const book_row_t *rows = (const book_row_t *) (void *) job->rows->data;
  int64_t for_ms = 0;

  for (guint i = index + 1; i < job->rows->len; i++)
    for (guint k = 0; k < index && rows[i].kind == BOOK_END; k++)
      if (rows[k].kind == BOOK_START && rows[k].index == rows[i].index
          && rows[k].attempt == rows[i].attempt && rows[k].endpoint == rows[i].endpoint)
        for_ms = MAX (for_ms, rows[i].at_ms - rows[index].at_ms);
  return for_ms;
}

static gint
compare_stop_times (gconstpointer a, gconstpointer b)
{
  const stop_time_t *x = a;
  const stop_time_t *y = b;

  return x->for_ms > y->for_ms ? 1 : x->for_ms < y->for_ms ? -1 : 0;
}

book_stop_times_t
book_stop_times (book_t *book)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (stop_time_t));
  book_stop_times_t result = { 0 };
  GHashTableIter iter;
  void *value = NULL;

  GArray *rows = sorted_rows (book);
  view_t view = { .book = book,
                  .rows = (const book_row_t *) (void *) rows->data,
                  .count = rows->len };
  GHashTable *jobs = jobs_of (&view);
  g_hash_table_iter_init (&iter, jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const job_t *job = value;
      for (guint i = 0; i < job->rows->len; i++)
        {
          const book_row_t *row = &g_array_index (job->rows, book_row_t, i);
          stop_time_t time = { 0, job->id };
          /* From then on its host runs the job for a caller that has gone. */
          if (strcmp (row->text, BOOK_LEFT_UNSEEN) == 0)
            break;
          if (is_without_answer (row))
            time.for_ms = goes_on_ms (job, i);
          if (time.for_ms > 0)
            g_array_append_val (times, time);
        }
    }
  g_array_sort (times, compare_stop_times);
  if (times->len > 0)
    {
      const stop_time_t *longest = &g_array_index (times, stop_time_t, times->len - 1);
      result = (book_stop_times_t){
        .requests = (int32_t) times->len,
        .half_ms = g_array_index (times, stop_time_t, times->len / 2).for_ms,
        .most_of_hundred_ms = g_array_index (times, stop_time_t, times->len * 99 / 100).for_ms,
        .longest_ms = longest->for_ms,
        .longest_job = longest->job,
      };
    }
  g_hash_table_unref (jobs);
  g_array_unref (rows);
  g_array_unref (times);
  return result;
}

book_totals_t
book_totals (book_t *book)
{
  book_totals_t totals = { 0 };

  g_mutex_lock (&book->lock);
  for (guint i = 0; i < book->rows->len; i++)
    {
      const book_row_t *row = &g_array_index (book->rows, book_row_t, i);
      bool good = row->kind == BOOK_ANSWERED && row->status == 200;
      bool refused = row->kind == BOOK_ANSWERED && (row->status == 503 || row->status == 429);
      totals.sent += row->kind == BOOK_SENT;
      totals.complete += good && strstr (row->text, "completed") != NULL;
      totals.failed += good && strstr (row->text, "failed") != NULL;
      totals.refused += refused;
      totals.other += row->kind == BOOK_ANSWERED && !good && !refused;
      totals.broken += row->kind == BOOK_BROKEN;
      totals.starts += row->kind == BOOK_START;
    }
  g_mutex_unlock (&book->lock);
  return totals;
}
