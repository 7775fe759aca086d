/* test_config_list.c -- the operators' two lists: what is taken and what is told about the rest */
#include "base/error.h"
#include "config/check.h"
#include "config/diff.h"
#include "config/list.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <string.h>

/* MESSAGE is NULL for a good list of ENTRIES. */
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
  { CONFIG_PLAN, "", 0, "f: byte 0: the file ends before its object does" },
  { CONFIG_PLAN, "{\"plans\": {\"a\": \"x\"}", 0, "the file ends before its object does" },
  { CONFIG_PLAN, "[]", 0, "must be one object" },
  { CONFIG_PLAN, "{\"plans\": {}} x", 0, "nothing may follow the object" },
  { CONFIG_PLAN, "{\"plans\": {}} {}", 0, "nothing may follow the object" },
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
  { CONFIG_PLAN, "{\"plans\": {\"\": \"gold\"}}", 0, "f: plans.: \"gold\": must be under a name" },
  { CONFIG_PLAN, "{\"plans\": {\"a\": \"x\", \"a\": \"x\"}}", 0, "f: a: the key stands twice" },
  { CONFIG_PLAN, "{\"plans\": {}, \"plans\": {}}", 0, "f: plans: the key stands twice" },
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
    "f: weight: the key stands" },
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
      bool as_told = cases[i].message ? message && strstr (message, cases[i].message)
                                      : entries && entries->len == cases[i].entries;
      if (!as_told)
        printf ("\n    %s -> %s", cases[i].text, message ? message : "taken");
      CU_ASSERT (as_told);
      CU_ASSERT (message == NULL || strchr (message, '\n') == NULL);
      g_clear_pointer (&entries, g_ptr_array_unref);
      g_free (message);
    }
}

static GPtrArray *
list_of (config_kind_t kind, const char *text)
{
  GPtrArray *entries = NULL;
  char *message = NULL;
  CU_ASSERT_EQUAL_FATAL (config_list_parse ("f", text, strlen (text), kind, &entries, &message), 0);
  return entries;
}

static void
test_defaults (void)
{
  GPtrArray *entries = list_of (CONFIG_LIMIT, "{\"limits\": {\"gold\": {}}}");
  const config_entry_t *entry = entries->pdata[0];
  const config_limit_t *limit = entry->value.limit;
  CU_ASSERT_STRING_EQUAL (limit->plan, "gold");
  CU_ASSERT_EQUAL (limit->running_max, CONFIG_NO_LIMIT);
  CU_ASSERT_EQUAL (limit->starts_per_s_max, CONFIG_NO_LIMIT);
  CU_ASSERT_EQUAL (limit->weight, 1);
  CU_ASSERT_EQUAL (limit->target_ms, CONFIG_TARGET_MS);
  CU_ASSERT_EQUAL (limit->objective_ppm, CONFIG_OBJECTIVE_PPM);
  g_ptr_array_unref (entries);
}

/* Folds what leads to the two lists; returns the number of edits. */
static guint
publish_lists (config_fold_t *fold, uint8_t number, const char *plans, const char *limits)
{
  GPtrArray *lists[CONFIG_KINDS] = { plans ? list_of (CONFIG_PLAN, plans) : NULL,
                                     limits ? list_of (CONFIG_LIMIT, limits) : NULL };
  config_id_t id = { { number } };
  config_edits_t *edits = config_diff (fold, lists, &id);
  guint count = edits->edits->len;
  GBytes *record = config_edits_encode (edits);
  gsize size = 0;
  const void *data = g_bytes_get_data (record, &size);
  if (count > 0)
    CU_ASSERT_EQUAL (config_fold_record (fold, config_fold_next (fold), data, size),
                     CONFIG_FOLD_ACCEPTED);
  g_bytes_unref (record);
  config_edits_free (edits);
  for (int kind = 0; kind < CONFIG_KINDS; kind++)
    g_clear_pointer (&lists[kind], g_ptr_array_unref);
  return count;
}

/* Whole lists in a row: only differences are edits, absent entries go, and a
 * list that is not given stays. */
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
  config_fold_t *fold = config_fold_new (&config_rules);
  for (size_t i = 0; i < G_N_ELEMENTS (diffs); i++)
    {
      guint edits = publish_lists (fold, (uint8_t) i, diffs[i].plans, diffs[i].limits);
      const config_t *config = config_fold_config (fold);
      CU_ASSERT_EQUAL (edits, diffs[i].edits);
      CU_ASSERT_EQUAL (config_count (config, CONFIG_PLAN), diffs[i].plan_count);
      CU_ASSERT_EQUAL (config_count (config, CONFIG_LIMIT), diffs[i].limit_count);
    }
  config_fold_free (fold);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("config_list", NULL, NULL);
  CU_add_test (suite, "cases", test_cases);
  CU_add_test (suite, "defaults", test_defaults);
  CU_add_test (suite, "diffs", test_diffs);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
