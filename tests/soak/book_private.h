/* book_private.h -- what book.c and the other book_*.c files share
 *
 * book.c holds the rows.  book_view.c sorts them and groups them by job, for book_job_checks.c and
 * book_checks.c, which go over them, for book_stories.c and for book_stop_times.c.
 */
#ifndef SOAK_BOOK_PRIVATE_H
#define SOAK_BOOK_PRIVATE_H

#include "tests/soak/book.h"

typedef struct
{
  int64_t at_ms;
  int64_t until_ms;
} book_trouble_t;

struct book_t
{
  GMutex lock;
  GArray *rows; /* book_row_t; their texts are interned */
  GArray *troubles;
  GHashTable *found; /* texts of findings */
};

/* The sorted rows of a book, as far as they are looked at, and its faults. */
typedef struct
{
  book_t *book;
  const book_row_t *rows;
  guint count;
  const book_trouble_t *troubles;
  guint troubles_count;
} book_view_t;

/* What has become of one job; its rows in order. */
typedef struct
{
  uint64_t id;
  GArray *rows; /* book_row_t */
} book_job_t;

/* Compares two book_row_t: by time, then in the order of their kinds.  A GCompareFunc. */
gint book_compare_rows (gconstpointer a, gconstpointer b);

/* A copy of all rows in their order; the caller frees it.  Any thread. */
GArray *book_sorted_rows (book_t *book);

/* No fault between FROM_MS less the contact window and UNTIL_MS. */
bool book_is_calm (const book_view_t *view, int64_t from_ms, int64_t until_ms);

/* Reports a finding as book_find () does. */
void book_view_find (const book_view_t *view, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* The jobs of the rows of VIEW: id -> book_job_t, which the table owns.  The caller frees it. */
GHashTable *book_jobs_of (const book_view_t *view);

/* Goes over all jobs of VIEW. */
void book_check_jobs (const book_view_t *view);

#endif
