/* test_config_list.c -- parsing of the plans and limits lists, and the edits between lists */
#include "base/error.h"
#include "config/validate.h"
#include "config/diff.h"
#include "config/list.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <string.h>

/* MESSAGE is part of the expected error message; NULL for a valid list, which has
 * ENTRIES entries. */
static const struct
{
  config_kind_t kind;
  const char *text;
  guint entries;
  const char *message;
} cases[] = {
  { CONFIG_PLAN, "{\"plans\": {}}", 0, NULL },
  { CONFIG_PLAN, "/* a */ {\"plans\": {\"a\": \"gold\", // b\n \"b\": \"x\"}} // end", 2, NULL },
  { CONFIG_PLAN, "{\"plans\": {\"a//b\": \"/*x*/\"}}\n/* end */\n", 1, NULL },
  { CONFIG_LIMIT, "{\"limits\": {\"gold\": {}}}", 1, NULL },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"running_max\": 0, \"weight\": 1000000}}}", 1, NULL },
  { CONFIG_PLAN, "", 0, "f: byte 0: the file ends before the object is complete" },
  { CONFIG_PLAN, "{\"plans\": {\"a\": \"x\"}", 0, "the file ends before the object is complete" },
  { CONFIG_PLAN, "[]", 0, "must be a single object" },
  { CONFIG_PLAN, "{\"plans\": {}} x", 0, "only white space and comments may follow the object" },
  { CONFIG_PLAN, "{\"plans\": {}} {}", 0, "only white space and comments may follow the object" },
  { CONFIG_PLAN, "{'plans': {}}", 0, "strings must be in double quotes" },
  { CONFIG_PLAN, "{}", 0, "f: plans: null: must be an object" },
  { CONFIG_PLAN, "{\"plans\": []}", 0, "f: plans: []: must be an object" },
  { CONFIG_PLAN, "{\"limits\": {}}", 0, "f: limits: {}: must be left out" },
  { CONFIG_PLAN, "{\"plans\": {}, \"x\": 1}", 0, "f: x: 1: must be left out" },
  { CONFIG_PLAN, "{\"plans\": {\"a\": 1}}", 0, "f: plans.a: 1: must be a plan's name" },
  { CONFIG_PLAN, "{\"plans\": {\"a\": null}}", 0, "f: plans.a: null: must be a plan's name" },
  { CONFIG_PLAN, "{\"plans\": {\"a\": \"\"}}", 0, "f: plans.a: \"\": must be a plan's name" },
  { CONFIG_PLAN, "{\"plans\": {\"a\": \"b c\"}}", 0, "f: plans.a: \"b c\": must be a plan's name" },
  { CONFIG_PLAN, "{\"plans\": {\"a\": \"b\\u0000c\"}}", 0, "must be a plan's name" },
  { CONFIG_PLAN, "{\"plans\": {\"\": \"gold\"}}", 0,
    "f: plans.: \"gold\": must be listed under a name" },
  { CONFIG_PLAN, "{\"plans\": {\"a\": \"x\", \"a\": \"x\"}}", 0,
    "f: a: duplicate key: must occur only once" },
  { CONFIG_PLAN, "{\"plans\": {}, \"plans\": {}}", 0,
    "f: plans: duplicate key: must occur only once" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": 1}}", 0, "f: limits.g: 1: must be an object" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"wieght\": 1}}}", 0,
    "limits.g.wieght: 1: must be left out" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"weight\": 0}}}", 0,
    "f: limits.g.weight: 0: must be a whole number from 1 to 1000000" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"weight\": 1.0}}}", 0, "limits.g.weight: 1.0: must be" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"weight\": \"1\"}}}", 0, "weight: \"1\": must be" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"weight\": true}}}", 0, "weight: true: must be" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"running_max\": -1}}}", 0, "running_max: -1: must be" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"running_max\": 1000000001}}}", 0,
    "must be a whole number" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"running_max\": 99999999999999999999}}}", 0, "must be" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"running_max\": null}}}", 0,
    "running_max: null: must be" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"running_max\": NaN}}}", 0, "running_max: NaN: must be" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"target_ms\": 0}}}", 0, "target_ms: 0: must be" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"objective_ppm\": 1000000}}}", 0,
    "objective_ppm: 1000000" },
  { CONFIG_LIMIT, "{\"limits\": {\"g\": {\"weight\": 1, \"weight\": 2}}}", 0,
    "f: weight: duplicate key" },
};

static void
test_cases (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GPtrArray *entries = NULL;
      char *message = NULL;
      int result = config_list_parse ("f", cases[i].text, strlen (cases[i].text), cases[i].kind,
                                      &entries, &message);
      CU_ASSERT_EQUAL (result, cases[i].message ? ERROR_BAD_FILE : 0);
      bool as_expected = cases[i].message ? message && strstr (message, cases[i].message)
                                          : entries && entries->len == cases[i].entries;
      if (!as_expected)
        printf ("\n    %s -> %s", cases[i].text, message ? message : "accepted");
      CU_ASSERT (as_expected);
      CU_ASSERT (message == NULL || strchr (message, '\n') == NULL);
      g_clear_pointer (&entries, g_ptr_array_unref);
      g_free (message);
    }
}

static GPtrArray *
parse_entries (config_kind_t kind, const char *text)
{
  GPtrArray *entries = NULL;
  char *message = NULL;
  CU_ASSERT_EQUAL_FATAL (config_list_parse ("f", text, strlen (text), kind, &entries, &message), 0);
  return entries;
}

static void
test_defaults (void)
{
  GPtrArray *entries = parse_entries (CONFIG_LIMIT, "{\"limits\": {\"gold\": {}}}");
  const config_entry_t *entry = entries->pdata[0];
  const config_limit_t *limit = entry->value.limit;
  CU_ASSERT_STRING_EQUAL (limit->plan, "gold");
  CU_ASSERT_EQUAL (limit->running_max, CONFIG_NO_LIMIT);
  CU_ASSERT_EQUAL (limit->starts_per_s_max, CONFIG_NO_LIMIT);
  CU_ASSERT_EQUAL (limit->weight, 1);
  CU_ASSERT_EQUAL (limit->target_ms, CONFIG_DEFAULT_TARGET_MS);
  CU_ASSERT_EQUAL (limit->objective_ppm, CONFIG_DEFAULT_OBJECTIVE_PPM);
  g_ptr_array_unref (entries);
}

/* Applies the edits that lead to the given lists, of which either may be NULL.
 * Returns the number of edits. */
static guint
publish_lists (config_replica_t *replica, uint8_t number, const char *plans, const char *limits)
{
  GPtrArray *lists[CONFIG_KINDS] = { plans ? parse_entries (CONFIG_PLAN, plans) : NULL,
                                     limits ? parse_entries (CONFIG_LIMIT, limits) : NULL };
  config_publication_id_t id = { { number } };
  config_edits_t *edits = config_diff (replica, lists, &id);
  guint count = edits->edits->len;
  GBytes *record = config_edits_encode (edits);
  gsize size = 0;
  const void *data = g_bytes_get_data (record, &size);
  if (count > 0)
    CU_ASSERT_EQUAL (
        config_replica_apply (replica, config_replica_next_offset (replica), data, size),
        CONFIG_APPLY_ACCEPTED);
  g_bytes_unref (record);
  config_edits_free (edits);
  for (int kind = 0; kind < CONFIG_KINDS; kind++)
    g_clear_pointer (&lists[kind], g_ptr_array_unref);
  return count;
}

/* Lists that are published in this order.  Only differences produce edits, missing
 * entries are removed, and a list that is NULL stays unchanged. */
static const struct
{
  const char *plans;
  const char *limits;
  guint edits;
  guint plan_count;
  guint limit_count;
} diffs[] = {
  { "{\"plans\":{\"a\":\"gold\",\"b\":\"gold\"}}", "{\"limits\":{\"gold\":{}}}", 3, 2, 1 },
  { "{\"plans\":{\"a\":\"gold\",\"b\":\"gold\"}}", "{\"limits\":{\"gold\":{}}}", 0, 2, 1 },
  { "{\"plans\":{\"a\":\"gold\",\"c\":\"gold\"}}", NULL, 2, 2, 1 },
  { NULL, "{\"limits\":{\"gold\":{\"weight\":2},\"x\":{}}}", 2, 2, 2 },
  { "{\"plans\":{}}", "{\"limits\":{}}", 4, 0, 0 },
  { "{\"plans\":{\"a\":\"gold\"}}", NULL, 1, 1, 0 },
};

static void
test_diffs (void)
{
  config_replica_t *replica = config_replica_new (&config_rules_all);
  for (size_t i = 0; i < G_N_ELEMENTS (diffs); i++)
    {
      guint edits = publish_lists (replica, (uint8_t) i, diffs[i].plans, diffs[i].limits);
      const config_t *config = config_replica_config (replica);
      CU_ASSERT_EQUAL (edits, diffs[i].edits);
      CU_ASSERT_EQUAL (config_count (config, CONFIG_PLAN), diffs[i].plan_count);
      CU_ASSERT_EQUAL (config_count (config, CONFIG_LIMIT), diffs[i].limit_count);
    }
  config_replica_free (replica);
}

static const unit_test_t tests[] = {
  { "cases", test_cases },
  { "defaults", test_defaults },
  { "diffs", test_diffs },
};

int
main (void)
{
  return unit_run ("config_list", tests, G_N_ELEMENTS (tests));
}
