/* book_stop_times.c -- how long runs go on after a request ended without a whole answer */
#include "tests/soak/book_private.h"

#include <string.h>

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
goes_on_ms (const book_job_t *job, guint index)
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

  GArray *rows = book_sorted_rows (book);
  book_view_t view = { .book = book,
                       .rows = (const book_row_t *) (void *) rows->data,
                       .count = rows->len };
  GHashTable *jobs = book_jobs_of (&view);
  g_hash_table_iter_init (&iter, jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const book_job_t *job = value;
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
