/* test_fuzz.c -- mutation fuzzing of the parsers of submissions and of peer frames
 *
 * Valid inputs are mutated with a seeded random generator.  A parser must return,
 * must respect its bounds, and must cause no report of the sanitizers.
 *
 *   test_fuzz             runs with the default seed and count, as in CI
 *   test_fuzz SEED COUNT  runs with another seed or a larger count
 */
#include "base/error.h"
#include "job/request.h"
#include "settings/settings.h"
#include "tests/unit_runner.h"
#include "wire/frame.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define DEFAULT_SEED 20261203u
#define DEFAULT_COUNT 100000u
#define MUTATIONS_MAX 8

static guint32 seed = DEFAULT_SEED;
static guint32 count = DEFAULT_COUNT;

static const char *const submissions[] = {
  "{\"customer\":\"lantern\",\"kind\":\"check\",\"issued_at_ms\":1,\"deadline_at_ms\":2,"
  "\"repeatable\":false,\"home\":\"tw-north-a\",\"tasks\":[{\"id\":\"0\",\"body\":\"x\","
  "\"cores\":1,\"memory_mb\":256},{\"id\":\"1\"}]}",
  "{\"customer\":\"c\",\"kind\":\"k\",\"issued_at_ms\":1e3,\"deadline_at_ms\":2,\"tasks\":[]}",
  "{\"tasks\":[{\"id\":\"\\u0000\",\"body\":\"\\ud800\"}],\"customer\":\"\\n\"}",
};

/* Returns a copy of DATA in which bytes are overwritten or removed, bits are flipped, and parts are
 * repeated at the end. */
static GByteArray *
mutate (GRand *rand, const void *data, gsize size)
{
  GByteArray *out = g_byte_array_new ();
  int mutation_count = g_rand_int_range (rand, 1, MUTATIONS_MAX + 1);

  g_byte_array_append (out, data, (guint) size);
  for (int i = 0; i < mutation_count && out->len > 0; i++)
    {
      guint at = (guint) g_rand_int_range (rand, 0, (gint32) out->len);
      guint8 byte = (guint8) g_rand_int (rand);
      switch (g_rand_int_range (rand, 0, 4))
        {
        case 0:
          out->data[at] = byte;
          break;
        case 1:
          out->data[at] ^= (guint8) (1u << (byte & 7));
          break;
        case 2:
          g_byte_array_remove_index (out, at);
          break;
        default:
          {
            /* Copied first, because appending may reallocate the array. */
            guint length = MIN (out->len - at, byte);
            guint8 *repeated = g_memdup2 (out->data + at, length);
            g_byte_array_append (out, repeated, length);
            g_free (repeated);
            break;
          }
        }
    }
  return out;
}

static void
test_submissions (void)
{
  GRand *rand = g_rand_new_with_seed (seed);
  guint32 accepted = 0;

  for (guint32 i = 0; i < count; i++)
    {
      const char *original = submissions[i % G_N_ELEMENTS (submissions)];
      GByteArray *bytes = mutate (rand, original, strlen (original));
      GBytes *body = g_byte_array_free_to_bytes (bytes);
      job_request_t *request = NULL;
      char *message = NULL;
      int result = job_request_parse ("k", body, &request, &message);
      if (result == 0)
        {
          accepted++;
          CU_ASSERT (request->task_count >= 1 && request->task_count <= JOB_TASKS_MAX);
          CU_ASSERT (request->issued_at_ms >= 0 && request->deadline_at_ms >= 0);
          job_request_unref (request);
        }
      else if (message == NULL || (result != ERROR_BAD_REQUEST && result != ERROR_TOO_LARGE))
        CU_FAIL ("a rejected submission without a message, or with an unexpected error kind");
      g_free (message);
      g_bytes_unref (body);
    }
  CU_ASSERT (accepted > 0);
  g_rand_free (rand);
}

static GBytes *
make_frame (void)
{
  frame_writer_t *writer = frame_begin (FRAME_HELLO);

  frame_put_int (writer, -5);
  frame_put_uint (writer, 1u << 20);
  frame_put_string (writer, "tw-north-a");
  frame_put_bytes (writer, "0123456789", 10);
  frame_put_bool (writer, true);
  frame_put_count (writer, 2);
  frame_put_string (writer, NULL);
  return frame_finish (writer);
}

/* Reads fields of random types until the reader has failed. */
static void
read_random_fields (GRand *rand, frame_reader_t *reader)
{
  guint8 fixed[10];
  size_t size = 0;

  while (frame_ok (reader))
    switch (g_rand_int_range (rand, 0, 6))
      {
      case 0:
        frame_get_int (reader);
        break;
      case 1:
        frame_get_uint (reader);
        break;
      case 2:
        {
          char *text = frame_get_string (reader, 16);
          CU_ASSERT (text == NULL || strlen (text) <= 16);
          g_free (text);
          break;
        }
      case 3:
        frame_get_bytes (reader, 16, &size);
        CU_ASSERT (size <= 16);
        break;
      case 4:
        frame_get_fixed (reader, fixed, sizeof fixed);
        break;
      default:
        CU_ASSERT (frame_get_count (reader, 100) <= 100);
        break;
      }
}

static void
test_frames (void)
{
  GRand *rand = g_rand_new_with_seed (seed);
  GBytes *frame = make_frame ();
  gsize size = 0;
  const guint8 *data = g_bytes_get_data (frame, &size);

  for (guint32 i = 0; i < count; i++)
    {
      GByteArray *bytes = mutate (rand, data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES);
      frame_reader_t *reader = NULL;
      if (frame_parse (bytes->data, bytes->len, &reader) == 0)
        read_random_fields (rand, reader);
      frame_reader_free (reader);
      g_byte_array_unref (bytes);
    }
  g_bytes_unref (frame);
  g_rand_free (rand);
}

static const unit_test_t tests[] = {
  { "submissions", test_submissions },
  { "peer frames", test_frames },
};

int
main (int argc, char **argv)
{
  if (argc == 3)
    {
      seed = (guint32) g_ascii_strtoull (argv[1], NULL, 10);
      count = (guint32) g_ascii_strtoull (argv[2], NULL, 10);
    }
  printf ("seed %u count %u\n", seed, count);
  return unit_run ("fuzz", tests, G_N_ELEMENTS (tests));
}
