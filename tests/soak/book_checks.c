/* book_checks.c -- what must hold of the endpoints and hosts of a soak, and all checks together
 *
 * Each check walks the sorted rows once with a state of its own.  Bounds are those that users are
 * promised; what a fault near the event allows is left out by book_is_calm ().
 */
#include "tests/soak/book_private.h"

#include <string.h>

/* Promised bounds. */
#define LEASE_MS 1000
#define DRAIN_MS 2000
#define CONFIG_MS 2000
#define DOWNGRADE_MS 250

/* --- endpoints --- */

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

/* True if the run that row number INDEX has started crashed its endpoint, was lost with it, or
 * lapsed within that millisecond.  Ends are read first there, but an endpoint that has crashed is
 * down and starts nothing, and a run whose lease is over as it starts ends only once. */
static bool
has_ended_at_once (const book_view_t *view, guint index)
{
  const book_row_t *start = &view->rows[index];

  for (guint i = index; i-- > 0 && view->rows[i].at_ms == start->at_ms;)
    {
      const book_row_t *row = &view->rows[i];
      if (row->kind == BOOK_END && row->endpoint == start->endpoint && row->job == start->job
          && row->index == start->index && row->attempt == start->attempt
          && (strcmp (row->text, "crashed") == 0 || strcmp (row->text, "lapsed") == 0))
        return true;
    }
  return false;
}

/* No task runs twice at a time. */
static void
check_twice (const book_view_t *view)
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
            book_view_find (view, "twice: job %016" G_GINT64_MODIFIER "x.%d at e%d and e%d",
                            row->job, (int) row->index, (int) run->endpoint, (int) row->endpoint);
        }
      run_t run = { row->job, row->index, row->attempt, row->endpoint };
      if (!has_ended_at_once (view, i))
        g_array_append_val (runs, run);
    }
  g_hash_table_unref (paused);
  g_array_unref (runs);
}

/* An endpoint that leaves gets nothing new after a while. */
static void
check_leaving (const book_view_t *view)
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
          && book_is_calm (view, *from_ms, row->at_ms))
        book_view_find (view, "leaving, and given work: e%d, job %016" G_GINT64_MODIFIER "x.%d",
                        (int) row->endpoint, row->job, (int) row->index);
    }
  g_hash_table_unref (leaving);
}

/* --- hosts --- */

/* A host ends only when it is told to, and then well. */
static void
check_ends (const book_view_t *view)
{
  for (guint i = 0; i < view->count; i++)
    {
      const book_row_t *row = &view->rows[i];
      if (row->kind == BOOK_HOST_ENDED && row->text[0] == '\0')
        book_view_find (view, "ended by itself: h%d, status %d", (int) row->host,
                        (int) row->status);
      if (row->kind == BOOK_HOST_ENDED && strcmp (row->text, "stopped") == 0 && row->status != 0)
        book_view_find (view, "stopped badly: h%d, status %d", (int) row->host, (int) row->status);
    }
}

/* The version of a probe was put so long before that it must be in force. */
static bool
is_due (const book_view_t *view, const book_row_t *probe)
{
  for (guint i = 0; i < view->count; i++)
    {
      const book_row_t *row = &view->rows[i];
      if (row->kind == BOOK_CONFIG && row->number == probe->number)
        return probe->at_ms - row->at_ms > CONFIG_MS
               && book_is_calm (view, row->at_ms, probe->at_ms);
    }
  return false;
}

/* A configuration is in force in time, and never goes back.  Each keeps the queues of those before,
 * so that a version that was seen vouches for all lower ones. */
static void
check_config (const book_view_t *view)
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
              book_view_find (view, "configuration went back: h%d, version %d", (int) probe->host,
                              (int) probe->number);
              break;
            }
        }
      if (is_due (view, probe))
        book_view_find (view, "configuration not in force: h%d, version %d", (int) probe->host,
                        (int) probe->number);
    }
}

/* --- all of them --- */

int32_t
book_check (book_t *book, int64_t until_ms)
{
  g_mutex_lock (&book->lock);
  GArray *rows = g_array_copy (book->rows);
  GArray *troubles = g_array_copy (book->troubles);
  g_mutex_unlock (&book->lock);
  g_array_sort (rows, book_compare_rows);
  book_view_t view = { .book = book,
                       .rows = (const book_row_t *) (void *) rows->data,
                       .troubles = (const book_trouble_t *) (void *) troubles->data,
                       .troubles_count = troubles->len };
  while (view.count < rows->len && view.rows[view.count].at_ms <= until_ms)
    view.count++;
  book_check_jobs (&view);
  check_twice (&view);
  check_leaving (&view);
  check_ends (&view);
  check_config (&view);
  g_array_unref (rows);
  g_array_unref (troubles);
  return (int32_t) g_hash_table_size (book->found);
}
