/* counters_msg.c -- the frame that carries a source's counters to a peer
 *
 * {host, incarnation, from_ms, as_of_ms, rows, rows x {plan, kind, minute, one
 * count for each class}, errors, errors x {plan, kind, minute, error, count}}
 */
#include "slo/counters_msg.h"

#include "base/error.h"

#include <string.h>

/* Limits a frame to about 100 KB. */
#define FRAME_ROWS_MAX 2000

typedef struct
{
  GArray *rows;   /* slo_count_row_t */
  GArray *errors; /* slo_error_row_t */
} collected_rows_t;

static void
collect_row (const slo_count_row_t *row, void *data)
{
  g_array_append_vals (((collected_rows_t *) data)->rows, row, 1);
}

static void
collect_error (const slo_error_row_t *row, void *data)
{
  g_array_append_vals (((collected_rows_t *) data)->errors, row, 1);
}

static void
put_rows (frame_writer_t *writer, const GArray *rows, guint from, guint count)
{
  frame_put_count (writer, count);
  for (guint i = from; i < from + count; i++)
    {
      const slo_count_row_t *row = &g_array_index (rows, slo_count_row_t, i);
      frame_put_string (writer, row->plan);
      frame_put_string (writer, row->kind);
      frame_put_int (writer, row->minute);
      for (int c = 0; c < SLO_CLASSES; c++)
        frame_put_uint (writer, row->counts[c]);
    }
}

static void
put_errors (frame_writer_t *writer, const GArray *errors, guint from, guint count)
{
  frame_put_count (writer, count);
  for (guint i = from; i < from + count; i++)
    {
      const slo_error_row_t *row = &g_array_index (errors, slo_error_row_t, i);
      frame_put_string (writer, row->plan);
      frame_put_string (writer, row->kind);
      frame_put_int (writer, row->minute);
      frame_put_int (writer, row->error);
      frame_put_uint (writer, row->count);
    }
}

static guint
rows_in_frame (const GArray *array, guint from)
{
  return from >= array->len ? 0 : MIN (array->len - from, FRAME_ROWS_MAX);
}

void
slo_msg_write (const slo_source_t *source,
               int64_t since_minute,
               int64_t as_of_ms,
               void (*send) (GBytes *frame, void *data),
               void *data)
{
  collected_rows_t all = { g_array_new (FALSE, FALSE, sizeof (slo_count_row_t)),
                           g_array_new (FALSE, FALSE, sizeof (slo_error_row_t)) };
  slo_visitor_t visitor = { collect_row, collect_error, &all };
  slo_source_info_t info = slo_source_info (source);
  guint from = 0;

  slo_visit_counts (source, since_minute, &visitor);
  do
    {
      frame_writer_t *writer = frame_begin (FRAME_SLO_COUNTS);
      guint rows = rows_in_frame (all.rows, from);
      guint errors = rows_in_frame (all.errors, from);
      frame_put_string (writer, info.host);
      frame_put_uint (writer, info.incarnation);
      frame_put_int (writer, info.start_ms);
      frame_put_int (writer, as_of_ms);
      put_rows (writer, all.rows, rows > 0 ? from : 0, rows);
      put_errors (writer, all.errors, errors > 0 ? from : 0, errors);
      send (frame_finish (writer), data);
      from += FRAME_ROWS_MAX;
    }
  while (from < all.rows->len || from < all.errors->len);
  g_array_unref (all.rows);
  g_array_unref (all.errors);
}

static bool
read_row (slo_source_t *source, frame_reader_t *reader, int64_t now_ms)
{
  char *plan = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  char *kind = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  slo_count_row_t row = { plan, kind, frame_get_range (reader, 0, UINT32_MAX), { 0 } };

  for (int c = 0; c < SLO_CLASSES; c++)
    row.counts[c] = (uint32_t) frame_get_range (reader, 0, UINT32_MAX);
  bool valid = frame_ok (reader) && plan != NULL && kind != NULL;
  if (valid)
    slo_copy_update_counts (source, &row, now_ms);
  g_free (plan);
  g_free (kind);
  return valid;
}

static bool
read_error (slo_source_t *source, frame_reader_t *reader, int64_t now_ms)
{
  char *plan = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  char *kind = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  slo_error_row_t row = { plan, kind, frame_get_range (reader, 0, UINT32_MAX),
                          (int32_t) frame_get_range (reader, INT32_MIN, -1),
                          (uint32_t) frame_get_range (reader, 0, UINT32_MAX) };
  bool valid = frame_ok (reader) && plan != NULL && kind != NULL;

  if (valid)
    slo_copy_update_error (source, &row, now_ms);
  g_free (plan);
  g_free (kind);
  return valid;
}

int
slo_msg_read (slo_counters_t *counters, frame_reader_t *reader, int64_t now_ms)
{
  char *host = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  uint64_t incarnation = frame_get_uint (reader);
  int64_t start_ms = frame_get_range (reader, 0, INT64_MAX);
  int64_t as_of_ms = frame_get_range (reader, 0, now_ms + SLO_MINUTE_MS);
  bool valid = frame_ok (reader) && host != NULL;
  slo_source_t *source =
      valid ? slo_get_copy (counters, host, incarnation, start_ms, now_ms) : NULL;

  g_free (host);
  if (!valid)
    return ERROR_PROTOCOL;
  if (source == NULL)
    return ERROR_FULL;
  size_t rows = frame_get_count (reader, FRAME_ROWS_MAX);
  for (size_t i = 0; i < rows && valid; i++)
    valid = read_row (source, reader, now_ms);
  size_t errors = frame_get_count (reader, FRAME_ROWS_MAX);
  for (size_t i = 0; i < errors && valid; i++)
    valid = read_error (source, reader, now_ms);
  if (!valid || !frame_ok (reader))
    return ERROR_PROTOCOL;
  slo_copy_advance (source, as_of_ms);
  return 0;
}
