/* book_job_checks.c -- what must hold of each job of a soak
 *
 * Each check walks the sorted rows of one job.  Bounds are those that users are promised; what a
 * fault near the event allows is left out by book_is_calm ().
 */
#include "tests/soak/book_private.h"

#include <string.h>

/* Promised bounds. */
#define CANCEL_MS 3000
#define STOP_MS 50
#define LOSS_SLACK_MS 200
#define ATTEMPTS_MAX 3
/* A task under which this many endpoints have crashed may be given up. */
#define CRASHES_OF_GIVEN_UP 2
/* Rows of several processes carry times of one clock, read a little apart. */
#define APART_MS 10

/* A start of what nobody asked for, or of something else. */
static void
check_asked (const book_view_t *view, const book_job_t *job)
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
        book_view_find (view, "unasked: job %016" G_GINT64_MODIFIER "x.%d starts at e%d", job->id,
                        (int) row->index, (int) row->endpoint);
    }
}

/* "Has not run" is true. */
static void
check_refused (const book_view_t *view, const book_job_t *job)
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
    book_view_find (view, "refused, and ran: job %016" G_GINT64_MODIFIER "x.%d at e%d", job->id,
                    (int) start->index, (int) start->endpoint);
}

/* True if the endpoint of the run that START has started crashed before the run was over, and
 * before UNTIL_MS: its ledger says so, or its process was killed. */
static bool
has_crashed (const book_view_t *view, const book_row_t *start, int64_t until_ms)
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
most_crashes (const book_view_t *view, const book_job_t *job, int64_t until_ms)
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
check_outcome (const book_view_t *view, const book_job_t *job)
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
        book_view_find (view, "incomplete: job %016" G_GINT64_MODIFIER "x has %u of %d tasks done",
                        job->id, g_hash_table_size (done), (int) tasks);
      if (strstr (row->text, "failed") != NULL && most < ATTEMPTS_MAX
          && most_crashes (view, job, row->at_ms) < CRASHES_OF_GIVEN_UP)
        book_view_find (view, "failed too soon: job %016" G_GINT64_MODIFIER "x after %d ends",
                        job->id, (int) most);
    }
  g_hash_table_unref (done);
  g_hash_table_unref (failures);
}

/* A cancelled job is gone in time and does not start any more. */
static void
check_cancelled (const book_view_t *view, const book_job_t *job)
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
      if (row->at_ms <= gone_by_ms || !book_is_calm (view, at_ms, row->at_ms))
        continue;
      if (row->kind == BOOK_START || row->kind == BOOK_END)
        book_view_find (view,
                        "cancelled, and still there: job %016" G_GINT64_MODIFIER "x.%d at e%d",
                        job->id, (int) row->index, (int) row->endpoint);
    }
}

/* A host that is asked to stop answers what it has read. */
static void
check_stops (const book_view_t *view, const book_job_t *job)
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
      if (sent == NULL || !book_is_calm (view, sent->at_ms, broken->at_ms))
        continue;
      if (started || broken->at_ms - sent->at_ms > LOSS_SLACK_MS)
        book_view_find (view,
                        "lost: job %016" G_GINT64_MODIFIER "x, sent to h%d, no whole answer (%s)",
                        job->id, (int) broken->host, broken->text);
    }
}

void
book_check_jobs (const book_view_t *view)
{
  static void (*const checks[]) (const book_view_t *view, const book_job_t *job) = {
    check_asked, check_refused, check_outcome, check_cancelled, check_stops,
  };
  GHashTable *jobs = book_jobs_of (view);
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (gsize i = 0; i < G_N_ELEMENTS (checks); i++)
      checks[i](view, value);
  g_hash_table_unref (jobs);
}
