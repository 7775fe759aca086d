/* book_view.c -- the rows of a book in order, by job, and the faults near them */
#include "tests/soak/book_private.h"

#define CONTACT_MS 3000 /* a fault counts as near for this long */

gint
book_compare_rows (gconstpointer a, gconstpointer b)
{
  const book_row_t *x = a;
  const book_row_t *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms > y->at_ms ? 1 : -1;
  return (gint) x->kind - (gint) y->kind;
}

GArray *
book_sorted_rows (book_t *book)
{
  g_mutex_lock (&book->lock);
  GArray *rows = g_array_copy (book->rows);
  g_mutex_unlock (&book->lock);
  g_array_sort (rows, book_compare_rows);
  return rows;
}

bool
book_is_calm (const book_view_t *view, int64_t from_ms, int64_t until_ms)
{
  for (guint i = 0; i < view->troubles_count; i++)
    if (view->troubles[i].at_ms <= until_ms && view->troubles[i].until_ms >= from_ms - CONTACT_MS)
      return false;
  return true;
}

void
book_view_find (const book_view_t *view, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  book_find (view->book, text);
  g_free (text);
}

static void
free_job (void *data)
{
  book_job_t *job = data;

  g_array_unref (job->rows);
  g_free (job);
}

GHashTable *
book_jobs_of (const book_view_t *view)
{
  GHashTable *jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_job);

  for (guint i = 0; i < view->count; i++)
    {
      const book_row_t *row = &view->rows[i];
      if (row->job == 0)
        continue;
      book_job_t *job = g_hash_table_lookup (jobs, &row->job);
      if (job == NULL)
        {
          job = g_new0 (book_job_t, 1);
          job->id = row->job;
          job->rows = g_array_new (FALSE, FALSE, sizeof (book_row_t));
          g_hash_table_insert (jobs, &job->id, job);
        }
      g_array_append_vals (job->rows, row, 1);
    }
  return jobs;
}
