/* test_quota.c -- division of units, units in use, and the messages of
 * lib/quota
 */
#include "quota/quota.h"
#include "quota/quota_fair.h"
#include "quota/quota_use.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

#define HOLDERS_MAX 4
#define RANDOM_CASES 100000
#define SEED 7

typedef struct
{
  int64_t units;
  uint64_t rotation;
  int count;
  int64_t demand[HOLDERS_MAX];
  int64_t target[HOLDERS_MAX];
} fair_case_t;

static const fair_case_t fair_cases[] = {
  { 8, 0, 4, { 0, 0, 0, 0 }, { 2, 2, 2, 2 } },    /* idle units are spread */
  { 8, 0, 4, { 8, 0, 0, 0 }, { 8, 0, 0, 0 } },    /* one holder has all the demand */
  { 9, 0, 3, { 3, 0, 0, 0 }, { 5, 2, 2, 0 } },    /* demand is met, the rest is spread */
  { 2, 0, 4, { 5, 5, 5, 5 }, { 1, 1, 0, 0 } },    /* fewer units than holders */
  { 2, 3, 4, { 5, 5, 5, 5 }, { 1, 0, 0, 1 } },    /* the same with another rotation */
  { 12, 0, 2, { 30, 10, 0, 0 }, { 9, 3, 0, 0 } }, /* more demand than units */
  { 0, 0, 2, { 1, 1, 0, 0 }, { 0, 0, 0, 0 } },
};

static void
test_fair (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (fair_cases); i++)
    {
      const fair_case_t *c = &fair_cases[i];
      quota_demand_t demands[HOLDERS_MAX] = { 0 };
      for (int k = 0; k < c->count; k++)
        demands[k].demand = c->demand[k];
      quota_divide_fairly (demands, (size_t) c->count, c->units, c->rotation);
      for (int k = 0; k < c->count; k++)
        CU_ASSERT_EQUAL (demands[k].target, c->target[k]);
    }
}

/* For random demands: the targets sum up to the units exactly, every holder
 * with demand gets a unit if there are enough, and no holder gets more than its
 * demand while another has too little. */
static void
test_fair_random (void)
{
  GRand *rand = g_rand_new_with_seed (SEED);

  for (int i = 0; i < RANDOM_CASES; i++)
    {
      quota_demand_t demands[8];
      int count = g_rand_int_range (rand, 1, 9);
      int64_t units = g_rand_int_range (rand, 0, 40);
      int64_t total = 0;
      int64_t sum = 0;
      for (int k = 0; k < count; k++)
        {
          int64_t random_demand = g_rand_int_range (rand, -10, 20);
          demands[k].demand = MAX (random_demand, 0);
          total += demands[k].demand;
        }
      quota_divide_fairly (demands, (size_t) count, units, g_rand_int (rand));
      bool fits = total <= units;
      bool is_fair = true;
      for (int k = 0; k < count; k++)
        {
          sum += demands[k].target;
          is_fair &= fits ? demands[k].target >= demands[k].demand
                          : demands[k].target <= demands[k].demand;
          is_fair &= units < count || demands[k].demand == 0 || demands[k].target > 0;
        }
      CU_ASSERT (is_fair && sum == units);
    }
  g_rand_free (rand);
}

/* Compares quota_use_t with a plain list of end times. */
static void
test_use (void)
{
  GRand *rand = g_rand_new_with_seed (SEED);
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (int64_t));
  quota_use_t use;
  int64_t now_ms = 0;

  quota_use_init (&use);
  for (int i = 0; i < RANDOM_CASES; i++)
    {
      now_ms += g_rand_int_range (rand, 0, 5);
      int64_t new_end_ms = now_ms + g_rand_int_range (rand, 1, 500);
      guint at = ends->len > 0 ? g_rand_int (rand) % ends->len : 0;
      for (guint k = ends->len; k > 0; k--)
        {
          int64_t end = g_array_index (ends, int64_t, k - 1);
          int64_t step =
              (end + QUOTA_USE_BUCKET_MS - 1) / QUOTA_USE_BUCKET_MS * QUOTA_USE_BUCKET_MS;
          if (step <= now_ms)
            g_array_remove_index_fast (ends, k - 1);
        }
      quota_use_expire (&use, now_ms);
      if (at < ends->len && g_rand_boolean (rand))
        {
          CU_ASSERT (quota_use_remove (&use, g_array_index (ends, int64_t, at)));
          g_array_remove_index_fast (ends, at);
        }
      else
        {
          quota_use_add (&use, new_end_ms);
          g_array_append_val (ends, new_end_ms);
        }
      CU_ASSERT_EQUAL (use.total, ends->len);
    }
  CU_ASSERT_FALSE (quota_use_remove (&use, now_ms - 1));
  quota_use_clear (&use);
  g_array_unref (ends);
  g_rand_free (rand);
}

static int
decode (GBytes *frame, gsize size, quota_message_t **message)
{
  const char *data = g_bytes_get_data (frame, NULL);
  frame_reader_t *reader = NULL;
  int result = frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader);

  if (result == 0)
    result = quota_message_decode (reader, message);
  frame_reader_free (reader);
  return result;
}

/* An encoded message decodes to the same values, and every truncation of it is
 * rejected. */
static void
test_message (void)
{
  quota_message_t *message = quota_message_new (QUOTA_FRAME_REPORT);
  quota_report_entry_t entry = { .name = g_strdup ("running/gold"),
                                 .in_use = 3,
                                 .withdrawn = true };
  quota_message_t *copy = NULL;

  message->header.incarnation = UINT64_MAX;
  message->header.leaving = true;
  g_array_append_val (message->header.entries, entry);
  GBytes *frame = quota_message_encode (message);
  gsize size = g_bytes_get_size (frame);
  CU_ASSERT_EQUAL_FATAL (decode (frame, size, &copy), 0);
  if (copy == NULL)
    return;
  const quota_report_entry_t *read = &g_array_index (copy->header.entries, quota_report_entry_t, 0);
  CU_ASSERT_EQUAL (copy->header.incarnation, UINT64_MAX);
  CU_ASSERT (copy->header.leaving && read->withdrawn);
  CU_ASSERT_STRING_EQUAL (read->name, "running/gold");
  CU_ASSERT_EQUAL (read->in_use, 3);
  quota_message_free (copy);
  for (gsize cut = FRAME_LENGTH_BYTES; cut < size; cut++)
    CU_ASSERT_NOT_EQUAL (decode (frame, cut, &copy), 0);
  g_bytes_unref (frame);
  quota_message_free (message);
}

static const unit_test_t tests[] = {
  { "fair division", test_fair },
  { "fair division, random", test_fair_random },
  { "units in use", test_use },
  { "messages", test_message },
};

int
main (void)
{
  printf ("seed %d\n", SEED);
  return unit_run ("quota", tests, G_N_ELEMENTS (tests));
}
