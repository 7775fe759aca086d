/* test_drain.c -- lib/drain: records, listings and messages in any order result in the same set */
#include "drain/drain.h"
#include "drain/drain_msg.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define STEPS_MAX 6
#define LISTED_MAX 2

typedef enum
{
  STEP_NONE,
  STEP_DRAIN,   /* a record that drains DATA_CENTRE */
  STEP_UNDRAIN, /* a record that ends the drain of DATA_CENTRE */
  STEP_LISTING, /* ends at OFFSET and lists LISTED, each drained at LISTED_OFFSET */
  STEP_ADVANCE  /* all records before OFFSET have been read */
} step_kind_t;

typedef struct
{
  step_kind_t kind;
  const char *data_centre;
  uint64_t offset;
  const char *listed[LISTED_MAX];
  uint64_t listed_offset;
} step_t;

static const struct
{
  const char *name;
  step_t steps[STEPS_MAX];
  const char *drained; /* names separated by spaces */
  int changes;
  uint64_t end;
} cases[] = {
  { "a drain and its end",
    { { STEP_LISTING, NULL, 5, { NULL }, 0 },
      { STEP_DRAIN, "x", 5, { NULL }, 0 },
      { STEP_UNDRAIN, "x", 6, { NULL }, 0 } },
    "",
    2,
    5 },
  { "an older drain after its end",
    { { STEP_LISTING, NULL, 5, { NULL }, 0 },
      { STEP_UNDRAIN, "x", 9, { NULL }, 0 },
      { STEP_DRAIN, "x", 7, { NULL }, 0 } },
    "",
    0,
    5 },
  { "an older end after a newer drain",
    { { STEP_LISTING, NULL, 5, { NULL }, 0 },
      { STEP_DRAIN, "x", 9, { NULL }, 0 },
      { STEP_UNDRAIN, "x", 7, { NULL }, 0 } },
    "x",
    1,
    5 },
  { "an older drain after the set is complete beyond its end",
    { { STEP_LISTING, NULL, 5, { NULL }, 0 },
      { STEP_DRAIN, "x", 5, { NULL }, 0 },
      { STEP_UNDRAIN, "x", 6, { NULL }, 0 },
      { STEP_ADVANCE, NULL, 7, { NULL }, 0 },
      { STEP_DRAIN, "x", 5, { NULL }, 0 } },
    "",
    2,
    7 },
  { "a listing without the data centre",
    { { STEP_LISTING, NULL, 9, { "x", "y" }, 5 }, { STEP_LISTING, NULL, 12, { "y" }, 5 } },
    "y",
    3,
    12 },
  { "an older listing without the data centre",
    { { STEP_LISTING, NULL, 9, { "x" }, 5 }, { STEP_LISTING, NULL, 4, { NULL }, 0 } },
    "x",
    1,
    9 },
  { "an older listing with a data centre whose drain has ended",
    { { STEP_LISTING, NULL, 9, { NULL }, 0 }, { STEP_LISTING, NULL, 8, { "x" }, 5 } },
    "",
    0,
    9 },
  { "a listing that is older than a drain",
    { { STEP_LISTING, NULL, 5, { NULL }, 0 },
      { STEP_DRAIN, "x", 20, { NULL }, 0 },
      { STEP_LISTING, NULL, 9, { NULL }, 0 } },
    "x",
    1,
    9 },
  { "a listing with a record beyond its end offset",
    { { STEP_LISTING, NULL, 5, { "x" }, 7 },
      { STEP_DRAIN, "x", 5, { NULL }, 0 },
      { STEP_UNDRAIN, "x", 6, { NULL }, 0 },
      { STEP_DRAIN, "x", 7, { NULL }, 0 },
      { STEP_ADVANCE, NULL, 8, { NULL }, 0 } },
    "x",
    1,
    8 },
  { "two data centres",
    { { STEP_LISTING, NULL, 5, { NULL }, 0 },
      { STEP_DRAIN, "x", 5, { NULL }, 0 },
      { STEP_DRAIN, "y", 6, { NULL }, 0 } },
    "x y",
    2,
    5 },
  { "an unknown data centre",
    { { STEP_LISTING, NULL, 5, { NULL }, 0 }, { STEP_DRAIN, "nowhere", 5, { NULL }, 0 } },
    "nowhere",
    1,
    5 },
  { "a repeated drain",
    { { STEP_LISTING, NULL, 5, { "x" }, 3 }, { STEP_DRAIN, "x", 5, { NULL }, 0 } },
    "x",
    1,
    5 },
  { "the end of a drain that is not known",
    { { STEP_LISTING, NULL, 5, { NULL }, 0 }, { STEP_UNDRAIN, "x", 5, { NULL }, 0 } },
    "",
    0,
    5 },
  { "the end of a drain before the first listing",
    { { STEP_UNDRAIN, "x", 9, { NULL }, 0 }, { STEP_LISTING, NULL, 8, { "x" }, 5 } },
    "",
    0,
    8 },
  { "a drain before the first listing", { { STEP_DRAIN, "x", 9, { NULL }, 0 } }, "x", 1, 0 },
};

static void
apply_step (drains_t *drains, const step_t *step, GArray *changes)
{
  drain_t listed[LISTED_MAX] = { 0 };
  size_t count = 0;

  switch (step->kind)
    {
    case STEP_DRAIN:
    case STEP_UNDRAIN:
      drains_apply_record (drains, step->data_centre, step->offset, step->kind == STEP_DRAIN, 0,
                           changes);
      break;
    case STEP_LISTING:
      for (; count < LISTED_MAX && step->listed[count] != NULL; count++)
        listed[count] = (drain_t){ step->listed[count], true, step->listed_offset, 0 };
      drains_merge (drains, listed, count, step->offset, 0, changes);
      break;
    case STEP_ADVANCE:
      drains_advance (drains, step->offset);
      break;
    case STEP_NONE:
    default:
      break;
    }
}

static char *
drained_names (const drains_t *drains)
{
  GArray *list = drains_list (drains, false);
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < list->len; i++)
    {
      const drain_t *drain = &g_array_index (list, drain_t, i);
      g_string_append_printf (text, "%s%s", i > 0 ? " " : "", drain->data_centre);
      CU_ASSERT_TRUE (drains_contain (drains, drain->data_centre));
    }
  g_array_unref (list);
  return g_string_free (text, FALSE);
}

/* Records and listings that arrive late must neither drain a data centre again nor end a drain. */
static void
test_arrival_order (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GArray *changes = g_array_new (FALSE, FALSE, sizeof (drain_t));
      drains_t *drains = drains_new ();

      for (size_t k = 0; k < STEPS_MAX; k++)
        apply_step (drains, &cases[i].steps[k], changes);
      char *names = drained_names (drains);
      if (strcmp (names, cases[i].drained) != 0 || (int) changes->len != cases[i].changes)
        printf ("  %s: '%s', %u changes\n", cases[i].name, names, changes->len);
      CU_ASSERT_STRING_EQUAL (names, cases[i].drained);
      CU_ASSERT_EQUAL (changes->len, cases[i].changes);
      CU_ASSERT_EQUAL (drains_end_offset (drains), cases[i].end);
      g_free (names);
      drains_free (drains);
      g_array_unref (changes);
    }
}

static void
free_data_centre (void *data)
{
  g_free ((char *) ((drain_t *) data)->data_centre);
}

/* Reads a frame of SIZE bytes.  Returns 0 and appends to LISTED, or returns an error. */
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

/* Sends the set of FROM as a message, 10 s later by the receiver's clock, and merges it into TO. */
static void
send_set (const drains_t *from, drains_t *to, GArray *changes)
{
  GArray *listed = g_array_new (FALSE, FALSE, sizeof (drain_t));
  GBytes *frame = drain_msg_set (from, 500);
  gsize size = 0;
  uint64_t end = 0;
  const guint8 *data = g_bytes_get_data (frame, &size);

  g_array_set_clear_func (listed, free_data_centre);
  CU_ASSERT_EQUAL (
      read_set (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, 10500, listed, &end), 0);
  drains_merge (to, (const drain_t *) (void *) listed->data, listed->len, end, 10500, changes);
  g_array_unref (listed);
  g_bytes_unref (frame);
}

/* Two hosts that have seen different records agree on the newest state once each has
 * sent its set to the other. */
static void
test_hosts_converge (void)
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
              apply_step (behind, &cases[i].steps[k], changes);
            apply_step (ahead, &cases[i].steps[k], changes);
          }
        if (drains_are_initialised (ahead))
          {
            if (drains_are_initialised (behind))
              send_set (behind, ahead, changes);
            send_set (ahead, behind, changes);
            char *names = drained_names (behind);
            CU_ASSERT_STRING_EQUAL (names, cases[i].drained);
            CU_ASSERT_EQUAL (drains_end_offset (behind), cases[i].end);
            g_free (names);
          }
        drains_free (ahead);
        drains_free (behind);
        g_array_unref (changes);
      }
}

/* The start of a drain is sent as an age, since the boot clocks of hosts differ. */
static void
test_age_is_sent (void)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (drain_t));
  drains_t *from = drains_new ();
  drains_t *to = drains_new ();

  drains_merge (from, NULL, 0, 5, 0, changes);
  drains_apply_record (from, "x", 5, true, 100, changes);
  drains_advance (from, 6);
  send_set (from, to, changes);
  GArray *list = drains_list (to, false);
  CU_ASSERT_EQUAL_FATAL (list->len, 1);
  CU_ASSERT_EQUAL (g_array_index (list, drain_t, 0).first_seen_at_ms, 10100);
  CU_ASSERT_EQUAL (g_array_index (list, drain_t, 0).record_offset, 5);
  g_array_unref (list);
  drains_free (to);
  drains_free (from);
  g_array_unref (changes);
}

/* A frame that is truncated at any byte must be refused.  One with a flipped bit may be valid, but
 * must be read without access out of bounds. */
static void
test_malformed (void)
{
  GArray *changes = g_array_new (FALSE, FALSE, sizeof (drain_t));
  drains_t *drains = drains_new ();
  gsize size = 0;

  drains_merge (drains, NULL, 0, 300, 0, changes);
  drains_apply_record (drains, "x", 300, true, 0, changes);
  drains_apply_record (drains, "data-centre-y", 70000, true, 0, changes);
  GBytes *frame = drain_msg_set (drains, 100);
  const guint8 *data = g_bytes_get_data (frame, &size);
  guint8 *copy = g_memdup2 (data, size);
  for (gsize at = FRAME_LENGTH_BYTES; at < size; at++)
    {
      GArray *listed = g_array_new (FALSE, FALSE, sizeof (drain_t));
      uint64_t end = 0;
      g_array_set_clear_func (listed, free_data_centre);
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
  const char *data_centre; /* NULL: a message without a name */
  int32_t running_tasks;
  int result;
} running_tasks_cases[] = {
  { "some tasks", "x", 7, 0 },
  { "no tasks", "x", 0, 0 },
  { "a negative number", "x", -1, -1 },
  { "no data centre", NULL, 7, -1 },
};

static void
test_running_tasks (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (running_tasks_cases); i++)
    {
      GBytes *frame = drain_msg_running_tasks (running_tasks_cases[i].data_centre,
                                               running_tasks_cases[i].running_tasks);
      frame_reader_t *reader = NULL;
      gsize size = 0;
      const guint8 *data = g_bytes_get_data (frame, &size);
      char *name = NULL;
      int32_t running_tasks = -1;

      CU_ASSERT_EQUAL_FATAL (
          frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader), 0);
      int result = drain_msg_read_running_tasks (reader, &name, &running_tasks);
      if ((result == 0) != (running_tasks_cases[i].result == 0))
        printf ("  %s\n", running_tasks_cases[i].name);
      CU_ASSERT_EQUAL (result == 0, running_tasks_cases[i].result == 0);
      if (result == 0)
        {
          CU_ASSERT_STRING_EQUAL (name, running_tasks_cases[i].data_centre);
          CU_ASSERT_EQUAL (running_tasks, running_tasks_cases[i].running_tasks);
        }
      g_free (name);
      frame_reader_free (reader);
      g_bytes_unref (frame);
    }
}

static const unit_test_t tests[] = {
  { "late records and listings change nothing", test_arrival_order },
  { "hosts with different records converge", test_hosts_converge },
  { "the start of a drain is sent as an age", test_age_is_sent },
  { "malformed frames", test_malformed },
  { "running tasks", test_running_tasks },
};

int
main (void)
{
  return unit_run ("drain", tests, G_N_ELEMENTS (tests));
}
