/* book_stories.c -- prints what a book has of a job, and of the jobs that ran twice */
#include "tests/soak/book_private.h"

#include <stdio.h>
#include <string.h>

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

  GArray *rows = book_sorted_rows (book);
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
  GArray *rows = book_sorted_rows (book);
  print_job (rows, job);
  g_array_unref (rows);
}
