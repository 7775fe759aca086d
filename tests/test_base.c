/* test_base.c -- tests of lib/base and of the frame codec of lib/wire */
#include "base/counter.h"
#include "base/error.h"
#include "base/hash.h"
#include "tests/unit_runner.h"
#include "wire/frame.h"

#include <CUnit/CUnit.h>
#include <string.h>

static void
test_error_rows (void)
{
  for (int i = 1; i <= error_kind_count (); i++)
    {
      const error_row_t *row = error_row (-i);
      CU_ASSERT_EQUAL (row->kind, -i);
      CU_ASSERT_EQUAL (error_from_name (row->name), -i);
      CU_ASSERT (row->http_status >= 400 && row->http_status < 600);
      CU_ASSERT (strlen (row->message) > 0);
    }
  CU_ASSERT_EQUAL (error_row (1)->kind, ERROR_INTERNAL);
  CU_ASSERT_EQUAL (error_row (ERROR_LAST - 1)->kind, ERROR_INTERNAL);
}

static const int64_t int_cases[] = { 0,         1,         127,        128,       -1,
                                     -32,       -33,       INT8_MIN,   INT16_MIN, INT32_MIN,
                                     INT64_MIN, INT32_MAX, UINT32_MAX, INT64_MAX };

static void
test_frame_ints (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (int_cases); i++)
    {
      frame_writer_t *writer = frame_begin (FRAME_PING);
      frame_put_int (writer, int_cases[i]);
      GBytes *frame = frame_finish (writer);
      gsize size = 0;
      const char *data = g_bytes_get_data (frame, &size);
      frame_reader_t *reader = NULL;
      CU_ASSERT_EQUAL_FATAL (
          frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader), 0);
      CU_ASSERT_EQUAL (frame_get_int (reader), int_cases[i]);
      CU_ASSERT (frame_ok (reader));
      frame_get_int (reader);
      CU_ASSERT_FALSE (frame_ok (reader));
      frame_reader_free (reader);
      g_bytes_unref (frame);
    }
}

/* A frame with one field of each type, truncated at every length: the reader must
 * fail without a crash, and must succeed only for the complete frame. */
static void
test_frame_truncated (void)
{
  frame_writer_t *writer = frame_begin (FRAME_HELLO);
  frame_put_string (writer, "host");
  frame_put_string (writer, NULL);
  frame_put_bool (writer, true);
  frame_put_uint (writer, UINT64_MAX);
  frame_put_bytes (writer, "abc", 3);
  GBytes *frame = frame_finish (writer);
  gsize size = 0;
  const char *data = g_bytes_get_data (frame, &size);
  for (gsize truncated_size = 0; truncated_size <= size - FRAME_LENGTH_BYTES; truncated_size++)
    {
      frame_reader_t *reader = NULL;
      if (frame_parse (data + FRAME_LENGTH_BYTES, truncated_size, &reader) != 0)
        continue;
      char *host = frame_get_string (reader, 4);
      char *null_string = frame_get_string (reader, 4);
      frame_get_bool (reader);
      frame_get_uint (reader);
      size_t actual_size = 0;
      frame_get_bytes (reader, 3, &actual_size);
      CU_ASSERT_EQUAL (frame_ok (reader), truncated_size == size - FRAME_LENGTH_BYTES);
      CU_ASSERT_PTR_NULL (null_string);
      g_free (host);
      frame_reader_free (reader);
    }
  g_bytes_unref (frame);
}

/* An empty string and a null string must be decoded as different values. */
static void
test_frame_empty (void)
{
  frame_writer_t *writer = frame_begin (FRAME_PING);
  frame_put_string (writer, "");
  frame_put_string (writer, NULL);
  frame_put_bytes (writer, "", 0);
  GBytes *frame = frame_finish (writer);
  gsize size = 0;
  const char *data = g_bytes_get_data (frame, &size);
  frame_reader_t *reader = NULL;
  size_t actual_size = 1;
  CU_ASSERT_EQUAL_FATAL (
      frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader), 0);
  char *empty = frame_get_string (reader, 0);
  CU_ASSERT_EQUAL (g_strcmp0 (empty, ""), 0);
  CU_ASSERT_PTR_NULL (frame_get_string (reader, 0));
  frame_get_bytes (reader, 0, &actual_size);
  CU_ASSERT_EQUAL (actual_size, 0);
  CU_ASSERT (frame_ok (reader));
  g_free (empty);
  frame_reader_free (reader);
  g_bytes_unref (frame);
}

static void
test_counters (void)
{
  counter_t *counter = counter_get ("test_total", "plan=\"gold\"");
  counter_add (counter, 2);
  CU_ASSERT_PTR_EQUAL (counter, counter_get ("test_total", "plan=\"gold\""));
  GString *text = g_string_new (NULL);
  counter_print (text);
  CU_ASSERT_STRING_EQUAL (text->str, "test_total{plan=\"gold\"} 2\n");
  g_string_free (text, TRUE);
}

static const unit_test_t tests[] = {
  { "error rows", test_error_rows },
  { "frame integers", test_frame_ints },
  { "frame truncated at every length", test_frame_truncated },
  { "frame with empty fields", test_frame_empty },
  { "counters", test_counters },
};

int
main (void)
{
  return unit_run ("base", tests, G_N_ELEMENTS (tests));
}
