/* book.c -- what callers, endpoints and the soak itself have seen
 *
 * The rows, faults and findings of a run, and their totals.
 */
#include "tests/soak/book_private.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Findings of one run that are printed; all count. */
#define PRINTED_MAX 12

book_t *
book_new (void)
{
  book_t *book = g_new0 (book_t, 1);

  g_mutex_init (&book->lock);
  book->rows = g_array_new (FALSE, FALSE, sizeof (book_row_t));
  book->troubles = g_array_new (FALSE, FALSE, sizeof (book_trouble_t));
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
  book_trouble_t trouble = { at_ms, INT64_MAX };

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
  g_array_index (book->troubles, book_trouble_t, number).until_ms = until_ms;
  g_mutex_unlock (&book->lock);
}

void
book_find (book_t *book, const char *text)
{
  if (g_hash_table_add (book->found, g_strdup (text))
      && g_hash_table_size (book->found) <= PRINTED_MAX)
    printf ("  BROKEN: %s\n", text);
}

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

/* The index of the row of the last start; -1: none.  Under the lock. */
static int64_t
find_last_start (const GArray *rows)
{
  int64_t last = -1;

  for (guint i = 0; i < rows->len; i++)
    if (g_array_index (rows, book_row_t, i).kind == BOOK_START
        && (last < 0
            || g_array_index (rows, book_row_t, i).at_ms
                   >= g_array_index (rows, book_row_t, last).at_ms))
      last = i;
  return last;
}

int32_t
book_last_taker (book_t *book)
{
  int32_t host = -1;

  g_mutex_lock (&book->lock);
  int64_t start = find_last_start (book->rows);
  for (guint i = 0; start >= 0 && i < book->rows->len; i++)
    {
      const book_row_t *row = &g_array_index (book->rows, book_row_t, i);
      if (row->kind == BOOK_SENT && row->job == g_array_index (book->rows, book_row_t, start).job)
        host = row->host;
    }
  g_mutex_unlock (&book->lock);
  return host;
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
