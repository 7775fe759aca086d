/* burn_msg.c -- the frame that carries a source's counters to a peer
 *
 * {host, incarnation, from_ms, as_of_ms, rows, rows x {plan, kind, minute, one
 * count for each class}, errors, errors x {plan, kind, minute, error, count}}
 */
#include "burn/burn_msg.h"

#include "base/error.h"

#include <string.h>

/* Keeps a frame around 100 KB. */
#define ROWS_MAX 2000

typedef struct
{
  GArray *rows;   /* burn_row_t */
  GArray *errors; /* burn_error_row_t */
} collected_t;

static void
collect_row (const burn_row_t *row, void *data)
{
  g_array_append_vals (((collected_t *) data)->rows, row, 1);
}

static void
collect_error (const burn_error_row_t *row, void *data)
{
  g_array_append_vals (((collected_t *) data)->errors, row, 1);
}

static void
put_rows (frame_writer_t *writer, const GArray *rows, guint from, guint count)
{
  frame_put_count (writer, count);
  for (guint i = from; i < from + count; i++)
    {
      const burn_row_t *row = &g_array_index (rows, burn_row_t, i);
      frame_put_string (writer, row->plan);
      frame_put_string (writer, row->kind);
      frame_put_int (writer, row->minute);
      for (int c = 0; c < BURN_CLASSES; c++)
        frame_put_uint (writer, row->counts[c]);
    }
}

static void
put_errors (frame_writer_t *writer, const GArray *errors, guint from, guint count)
{
  frame_put_count (writer, count);
  for (guint i = from; i < from + count; i++)
    {
      const burn_error_row_t *row = &g_array_index (errors, burn_error_row_t, i);
      frame_put_string (writer, row->plan);
      frame_put_string (writer, row->kind);
      frame_put_int (writer, row->minute);
      frame_put_int (writer, row->error);
      frame_put_uint (writer, row->count);
    }
}

static guint
part_from (const GArray *array, guint from)
{
  return from >= array->len ? 0 : MIN (array->len - from, ROWS_MAX);
}

void
burn_msg_write (const burn_source_t *source,
                int64_t since,
                int64_t as_of_ms,
                void (*send) (GBytes *frame, void *data),
                void *data)
{
  collected_t all = { g_array_new (FALSE, FALSE, sizeof (burn_row_t)),
                      g_array_new (FALSE, FALSE, sizeof (burn_error_row_t)) };
  burn_visitor_t visitor = { collect_row, collect_error, &all };
  burn_source_info_t info = burn_source_info (source);
  guint from = 0;

  burn_visit (source, since, &visitor);
  do
    {
      frame_writer_t *writer = frame_begin (FRAME_BURN_COUNTS);
      guint rows = part_from (all.rows, from);
      guint errors = part_from (all.errors, from);
      frame_put_string (writer, info.host);
      frame_put_uint (writer, info.incarnation);
      frame_put_int (writer, info.from_ms);
      frame_put_int (writer, as_of_ms);
      put_rows (writer, all.rows, rows > 0 ? from : 0, rows);
      put_errors (writer, all.errors, errors > 0 ? from : 0, errors);
      send (frame_finish (writer), data);
      from += ROWS_MAX;
    }
  while (from < all.rows->len || from < all.errors->len);
  g_array_unref (all.rows);
  g_array_unref (all.errors);
}

static bool
read_row (burn_source_t *source, frame_reader_t *reader, int64_t now_ms)
{
  char *plan = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  char *kind = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  burn_row_t row = { plan, kind, frame_get_range (reader, 0, UINT32_MAX), { 0 } };

  for (int c = 0; c < BURN_CLASSES; c++)
    row.counts[c] = (uint32_t) frame_get_range (reader, 0, UINT32_MAX);
  bool good = frame_ok (reader) && plan != NULL && kind != NULL;
  if (good)
    burn_take (source, &row, now_ms);
  g_free (plan);
  g_free (kind);
  return good;
}

static bool
read_error (burn_source_t *source, frame_reader_t *reader, int64_t now_ms)
{
  char *plan = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  char *kind = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  burn_error_row_t row = { plan, kind, frame_get_range (reader, 0, UINT32_MAX),
                           (int32_t) frame_get_range (reader, INT32_MIN, -1),
                           (uint32_t) frame_get_range (reader, 0, UINT32_MAX) };
  bool good = frame_ok (reader) && plan != NULL && kind != NULL;

  if (good)
    burn_take_error (source, &row, now_ms);
  g_free (plan);
  g_free (kind);
  return good;
}

int
burn_msg_read (burn_t *burn, frame_reader_t *reader, int64_t now_ms)
{
  char *host = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  uint64_t incarnation = frame_get_uint (reader);
  int64_t from_ms = frame_get_range (reader, 0, INT64_MAX);
  int64_t as_of_ms = frame_get_range (reader, 0, now_ms + BURN_MINUTE_MS);
  bool good = frame_ok (reader) && host != NULL;
  burn_source_t *source = good ? burn_copy (burn, host, incarnation, from_ms, now_ms) : NULL;

  g_free (host);
  if (!good)
    return ERROR_PROTOCOL;
  if (source == NULL)
    return ERROR_FULL;
  size_t rows = frame_get_count (reader, ROWS_MAX);
  for (size_t i = 0; i < rows && good; i++)
    good = read_row (source, reader, now_ms);
  size_t errors = frame_get_count (reader, ROWS_MAX);
  for (size_t i = 0; i < errors && good; i++)
    good = read_error (source, reader, now_ms);
  if (!good || !frame_ok (reader))
    return ERROR_PROTOCOL;
  burn_reached (source, as_of_ms);
  return 0;
}
