/* test_drain.c -- lib/drain: records, listings and messages in any order give one set */
#include "drain/drain.h"
#include "drain/drain_msg.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <string.h>

#define STEPS_MAX 6
#define LISTED_MAX 2

typedef enum
{
  NOTHING,
  SET,     /* a record that drains NAME */
  REMOVE,  /* a record that removes that */
  LISTING, /* ends at OFFSET and names LISTED, each with offset LISTED_AT */
  ADVANCE  /* all records before OFFSET were read */
} kind_t;

typedef struct
{
  kind_t kind;
  const char *name;
  uint64_t offset;
  const char *listed[LISTED_MAX];
  uint64_t listed_at;
} step_t;

static const struct
{
  const char *name;
  step_t steps[STEPS_MAX];
  const char *drained; /* names with a space between */
  int changes;
  uint64_t end;
} cases[] = {
  { "a record and its removal",
    { { LISTING, NULL, 5, { NULL }, 0 },
      { SET, "x", 5, { NULL }, 0 },
      { REMOVE, "x", 6, { NULL }, 0 } },
    "",
    2,
    5 },
  { "an older record after its removal",
    { { LISTING, NULL, 5, { NULL }, 0 },
      { REMOVE, "x", 9, { NULL }, 0 },
      { SET, "x", 7, { NULL }, 0 } },
    "",
    0,
    5 },
  { "an older removal after a newer record",
    { { LISTING, NULL, 5, { NULL }, 0 },
      { SET, "x", 9, { NULL }, 0 },
      { REMOVE, "x", 7, { NULL }, 0 } },
    "x",
    1,
    5 },
  { "an older record after the set is complete beyond its removal",
    { { LISTING, NULL, 5, { NULL }, 0 },
      { SET, "x", 5, { NULL }, 0 },
      { REMOVE, "x", 6, { NULL }, 0 },
      { ADVANCE, NULL, 7, { NULL }, 0 },
      { SET, "x", 5, { NULL }, 0 } },
    "",
    2,
    7 },
  { "a listing without the key",
    { { LISTING, NULL, 9, { "x", "y" }, 5 }, { LISTING, NULL, 12, { "y" }, 5 } },
    "y",
    3,
    12 },
  { "an older listing without the key",
    { { LISTING, NULL, 9, { "x" }, 5 }, { LISTING, NULL, 4, { NULL }, 0 } },
    "x",
    1,
    9 },
  { "an older listing with a key that was removed since",
    { { LISTING, NULL, 9, { NULL }, 0 }, { LISTING, NULL, 8, { "x" }, 5 } },
    "",
    0,
    9 },
  { "a listing that is older than a record",
    { { LISTING, NULL, 5, { NULL }, 0 },
      { SET, "x", 20, { NULL }, 0 },
      { LISTING, NULL, 9, { NULL }, 0 } },
    "x",
    1,
    9 },
  { "a listing that was overtaken by the records after its end",
    { { LISTING, NULL, 5, { "x" }, 7 },
      { SET, "x", 5, { NULL }, 0 },
      { REMOVE, "x", 6, { NULL }, 0 },
      { SET, "x", 7, { NULL }, 0 },
      { ADVANCE, NULL, 8, { NULL }, 0 } },
    "x",
    1,
    8 },
  { "two at once",
    { { LISTING, NULL, 5, { NULL }, 0 },
      { SET, "x", 5, { NULL }, 0 },
      { SET, "y", 6, { NULL }, 0 } },
    "x y",
    2,
    5 },
  { "a name that does not exist",
    { { LISTING, NULL, 5, { NULL }, 0 }, { SET, "nowhere", 5, { NULL }, 0 } },
    "nowhere",
    1,
    5 },
  { "the request is repeated",
    { { LISTING, NULL, 5, { "x" }, 3 }, { SET, "x", 5, { NULL }, 0 } },
    "x",
    1,
    5 },
  { "the removal of what is not set",
    { { LISTING, NULL, 5, { NULL }, 0 }, { REMOVE, "x", 5, { NULL }, 0 } },
    "",
    0,
    5 },
  { "a removal before anything is known",
    { { REMOVE, "x", 9, { NULL }, 0 }, { LISTING, NULL, 8, { "x" }, 5 } },
    "",
    0,
    8 },
  { "a record before anything is known", { { SET, "x", 9, { NULL }, 0 } }, "x", 1, 0 },
};

static void
take_step (drains_t *drains, const step_t *step, GArray *changes)
{
  drain_t listed[LISTED_MAX] = { 0 };
  size_t count = 0;

  switch (step->kind)
    {
    case SET:
    case REMOVE:
      drains_record (drains, step->name, step->offset, step->kind == SET, 0, changes);
      break;
    case LISTING:
      for (; count < LISTED_MAX && step->listed[count] != NULL; count++)
        listed[count] = (drain_t){ step->listed[count], true, step->listed_at, 0 };
      drains_merge (drains, listed, count, step->offset, 0, changes);
      break;
    case ADVANCE:
      drains_advance (drains, step->offset);
      break;
    case NOTHING:
    default:
      break;
    }
}

static char *
names_of (const drains_t *drains)
{
  GArray *list = drains_list (drains, false);
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < list->len; i++)
    {
      const drain_t *drain = &g_array_index (list, drain_t, i);
      g_string_append_printf (text, "%s%s", i > 0 ? " " : "", drain->name);
      CU_ASSERT_TRUE (drains_has (drains, drain->name));
    }
  g_array_unref (list);
  return g_string_free (text, FALSE);
}

/* What came late must neither drain a data centre again nor end a drain. */
static void
test_order (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GArray *changes = g_array_new (FALSE, FALSE, sizeof (drain_t));
      drains_t *drains = drains_new ();

      for (size_t k = 0; k < STEPS_MAX; k++)
        take_step (drains, &cases[i].steps[k], changes);
      char *names = names_of (drains);
      if (strcmp (names, cases[i].drained) != 0 || (int) changes->len != cases[i].changes)
        printf ("  %s: '%s', %u changes\n", cases[i].name, names, changes->len);
      CU_ASSERT_STRING_EQUAL (names, cases[i].drained);
      CU_ASSERT_EQUAL (changes->len, cases[i].changes);
      CU_ASSERT_EQUAL (drains_end (drains), cases[i].end);
      g_free (names);
      drains_free (drains);
      g_array_unref (changes);
    }
}

static void
free_name (void *data)
{
  g_free ((char *) ((drain_t *) data)->name);
}

/* Reads a frame of SIZE bytes.  Returns 0 and adds to LISTED, or an error. */
static int
read_set (const guint8 *data, gsize size, int64_t now_ms, GArray *listed, uint64_t *end)
{
  frame_reader_t *reader = NULL;

  if (frame_parse (data, size, &reader) != 0)
    return -1;
  int result = drain_msg_read_set (reader, now_ms, listed, end);
  frame_reader_free (reader);
  return result;
}

/* TO takes over what FROM tells. */
static void
tell (const drains_t *from, drains_t *to, GArray *changes)
{
  GArray *listed = g_array_new (FALSE, FALSE, sizeof (drain_t));
  GBytes *frame = drain_msg_set (from, 500);
  gsize size = 0;
  uint64_t end = 0;
  const guint8 *data = g_bytes_get_data (frame, &size);

  g_array_set_clear_func (listed, free_name);
  CU_ASSERT_EQUAL (
      read_set (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, 10500, listed, &end), 0);
  drains_merge (to, (const drain_t *) (void *) listed->data, listed->len, end, 10500, changes);
  g_array_unref (listed);
  g_bytes_unref (frame);
}

/* Whatever two hosts have seen, once each has told the other they agree on what is newest. */
static void
test_peers_agree (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (size_t split = 0; split <= STEPS_MAX; split++)
      {
        GArray *changes = g_array_new (FALSE, FALSE, sizeof (drain_t));
        drains_t *behind = drains_new ();
        drains_t *ahead = drains_new ();

        for (size_t k = 0; k < STEPS_MAX; k++)
          {
            if (k < split)
              take_step (behind, &cases[i].steps[k], changes);
            take_step (ahead, &cases[i].steps[k], changes);
          }
        if (drains_is_known (ahead))
          {
            if (drains_is_known (behind))
              tell (behind, ahead, changes);
            tell (ahead, behind, changes);
            char *names = names_of (behind);
            CU_ASSERT_STRING_EQUAL (names, cases[i].drained);
            CU_ASSERT_EQUAL (drains_end (behind), cases[i].end);
            g_free (names);
          }
        drains_free (ahead);
        drains_free (behind);
        g_array_unref (changes);
      }
}

/* How long a drain lasts is told as an age, since boot clocks differ. */
static void
test_age_crosses_hosts (void)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (drain_t));
  drains_t *from = drains_new ();
  drains_t *to = drains_new ();

  drains_merge (from, NULL, 0, 5, 0, changes);
  drains_record (from, "x", 5, true, 100, changes);
  drains_advance (from, 6);
  tell (from, to, changes);
  GArray *list = drains_list (to, false);
  CU_ASSERT_EQUAL_FATAL (list->len, 1);
  CU_ASSERT_EQUAL (g_array_index (list, drain_t, 0).since_ms, 10100);
  CU_ASSERT_EQUAL (g_array_index (list, drain_t, 0).offset, 5);
  g_array_unref (list);
  drains_free (to);
  drains_free (from);
  g_array_unref (changes);
}

/* A frame that is cut anywhere is refused, and one with changed bytes is at least read in
 * bounds. */
static void
test_malformed (void)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (drain_t));
  drains_t *drains = drains_new ();
  gsize size = 0;

  drains_merge (drains, NULL, 0, 300, 0, changes);
  drains_record (drains, "x", 300, true, 0, changes);
  drains_record (drains, "data-centre-y", 70000, true, 0, changes);
  GBytes *frame = drain_msg_set (drains, 100);
  const guint8 *data = g_bytes_get_data (frame, &size);
  guint8 *copy = g_memdup2 (data, size);
  for (gsize at = FRAME_LENGTH_BYTES; at < size; at++)
    {
      GArray *listed = g_array_new (FALSE, FALSE, sizeof (drain_t));
      uint64_t end = 0;
      g_array_set_clear_func (listed, free_name);
      CU_ASSERT_NOT_EQUAL (
          read_set (data + FRAME_LENGTH_BYTES, at - FRAME_LENGTH_BYTES, 0, listed, &end), 0);
      for (int bit = 0; bit < 8; bit++)
        {
          copy[at] = (guint8) (data[at] ^ (1 << bit));
          g_array_set_size (listed, 0);
          read_set (copy + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, 0, listed, &end);
        }
      copy[at] = data[at];
      g_array_unref (listed);
    }
  g_free (copy);
  g_bytes_unref (frame);
  drains_free (drains);
  g_array_unref (changes);
}

static const struct
{
  const char *name;
  const char *drained; /* NULL: a frame of another form */
  int32_t runs;
  int result;
} runs_cases[] = {
  { "some run", "x", 7, 0 },
  { "none", "x", 0, 0 },
  { "fewer than none", "x", -1, -1 },
  { "no name", NULL, 7, -1 },
};

static void
test_runs (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (runs_cases); i++)
    {
      GBytes *frame = drain_msg_runs (runs_cases[i].drained, runs_cases[i].runs);
      frame_reader_t *reader = NULL;
      gsize size = 0;
      const guint8 *data = g_bytes_get_data (frame, &size);
      char *name = NULL;
      int32_t runs = -1;

      CU_ASSERT_EQUAL_FATAL (
          frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader), 0);
      int result = drain_msg_read_runs (reader, &name, &runs);
      if ((result == 0) != (runs_cases[i].result == 0))
        printf ("  %s\n", runs_cases[i].name);
      CU_ASSERT_EQUAL (result == 0, runs_cases[i].result == 0);
      if (result == 0)
        {
          CU_ASSERT_STRING_EQUAL (name, runs_cases[i].drained);
          CU_ASSERT_EQUAL (runs, runs_cases[i].runs);
        }
      g_free (name);
      frame_reader_free (reader);
      g_bytes_unref (frame);
    }
}

static const struct
{
  const char *name;
  CU_TestFunc run;
} tests[] = {
  { "late records and listings change nothing", test_order },
  { "hosts that are behind or ahead agree", test_peers_agree },
  { "an age crosses hosts", test_age_crosses_hosts },
  { "malformed frames", test_malformed },
  { "runs that are left", test_runs },
};

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("drain", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
