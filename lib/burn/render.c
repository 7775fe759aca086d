/* render.c -- a merged burn report as text and JSON */
#include "burn/render.h"

#include "base/error.h"

#include <string.h>

#define PERCENT 100.0
#define PPM_PER_PERCENT 10000.0

static const burn_class_t bad_classes[] = { BURN_LATE, BURN_REFUSED, BURN_FAILED };

/* The class of bad answers that is largest in the last hour. */
static burn_class_t
worst_class (const int64_t *classes)
{
  burn_class_t worst = BURN_LATE;

  for (gsize i = 0; i < G_N_ELEMENTS (bad_classes); i++)
    if (classes[bad_classes[i]] > classes[worst])
      worst = bad_classes[i];
  return worst;
}

static const merge_kind_t *
worst_kind (const merge_plan_t *plan, burn_class_t class)
{
  const merge_kind_t *worst = NULL;

  for (guint i = 0; i < plan->kinds->len; i++)
    {
      const merge_kind_t *kind = g_ptr_array_index (plan->kinds, i);
      if (worst == NULL || kind->classes[BURN_1_HOUR][class] > worst->classes[BURN_1_HOUR][class])
        worst = kind;
    }
  return worst;
}

/* The error that answers of CLASS have most often. */
static const char *
worst_error (const merge_plan_t *plan, burn_class_t class)
{
  GHashTableIter iter;
  void *name = NULL;
  void *count = NULL;
  const char *worst = NULL;
  int64_t most = 0;

  g_hash_table_iter_init (&iter, plan->errors);
  while (g_hash_table_iter_next (&iter, &name, &count))
    {
      int64_t here = *(int64_t *) count;
      bool better = here > most || (here == most && worst != NULL && strcmp (name, worst) < 0);
      if (burn_class (error_from_name (name), false) != class || !better)
        continue;
      worst = name;
      most = here;
    }
  return worst;
}

char *
render_cause (const merge_plan_t *plan)
{
  const int64_t *classes = plan->classes[BURN_1_HOUR];
  burn_class_t class = worst_class (classes);

  if (classes[class] == 0)
    return g_strdup ("nothing bad in the last hour");
  const merge_kind_t *kind = worst_kind (plan, class);
  const char *error = class == BURN_LATE ? NULL : worst_error (plan, class);
  return g_strdup_printf ("%" G_GINT64_FORMAT " %s%s%s, most of them %s", classes[class],
                          burn_class_name (class), error != NULL ? ", " : "",
                          error != NULL ? error : "", kind != NULL ? kind->name : "");
}

static void
text_plan (const merge_plan_t *plan, GString *out)
{
  char *cause = render_cause (plan);
  double left = burn_budget_left (&plan->sums[BURN_6_HOURS], plan->objective_ppm);

  g_string_append_printf (out, "%-16s %-10s %8.2f%% %8.1f%% ", plan->name,
                          burn_alert_name (plan->alert), plan->objective_ppm / PPM_PER_PERCENT,
                          PERCENT * MAX (left, 0));
  for (int w = 0; w < BURN_WINDOWS; w++)
    g_string_append_printf (out, "%8.2f ", burn_rate (&plan->sums[w], plan->objective_ppm));
  g_string_append_printf (out, " %s\n", cause);
  g_free (cause);
}

void
render_text (const merge_t *merge, GString *out)
{
  const GPtrArray *plans = merge_plans (merge);
  const GPtrArray *unknowns = merge_unknowns (merge);

  g_string_append_printf (out, "%-16s %-10s %9s %9s %8s %8s %8s  %s\n", "plan", "state",
                          "objective", "left (6h)", "rate 5m", "rate 1h", "rate 6h", "cause");
  for (guint i = 0; i < plans->len; i++)
    text_plan (g_ptr_array_index (plans, i), out);
  if (plans->len == 0)
    g_string_append (out, "no plan is known\n");
  if (unknowns->len > 0)
    g_string_append (out, "\nnot known:\n");
  for (guint i = 0; i < unknowns->len; i++)
    g_string_append_printf (out, "  %s\n", (const char *) g_ptr_array_index (unknowns, i));
}

static void
put_string (json_object *object, const char *key, const char *value)
{
  json_object_object_add (object, key, json_object_new_string (value));
}

static void
put_int (json_object *object, const char *key, int64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 (value));
}

static json_object *
json_windows (const int64_t classes[BURN_WINDOWS][BURN_CLASSES], int32_t objective_ppm)
{
  json_object *windows = json_object_new_object ();

  for (int w = 0; w < BURN_WINDOWS; w++)
    {
      json_object *row = json_object_new_object ();
      burn_sum_t sum = { .good = (uint64_t) classes[w][BURN_GOOD] };
      for (int c = 0; c < BURN_CLASSES; c++)
        put_int (row, burn_class_name ((burn_class_t) c), classes[w][c]);
      for (gsize i = 0; i < G_N_ELEMENTS (bad_classes); i++)
        sum.bad += (uint64_t) classes[w][bad_classes[i]];
      json_object_object_add (row, "rate",
                              json_object_new_double (burn_rate (&sum, objective_ppm)));
      json_object_object_add (windows, burn_window_name ((burn_window_t) w), row);
    }
  return windows;
}

static json_object *
json_plan (const merge_plan_t *plan)
{
  json_object *row = json_object_new_object ();
  json_object *kinds = json_object_new_object ();
  json_object *errors = json_object_new_object ();
  char *cause = render_cause (plan);
  GHashTableIter iter;
  void *name = NULL;
  void *count = NULL;

  for (guint i = 0; i < plan->kinds->len; i++)
    {
      const merge_kind_t *kind = g_ptr_array_index (plan->kinds, i);
      json_object_object_add (kinds, kind->name, json_windows (kind->classes, plan->objective_ppm));
    }
  g_hash_table_iter_init (&iter, plan->errors);
  while (g_hash_table_iter_next (&iter, &name, &count))
    put_int (errors, name, *(int64_t *) count);
  put_string (row, "state", burn_alert_name (plan->alert));
  put_int (row, "target_ms", plan->target_ms);
  put_int (row, "objective_ppm", plan->objective_ppm);
  json_object_object_add (
      row, "budget_left",
      json_object_new_double (burn_budget_left (&plan->sums[BURN_6_HOURS], plan->objective_ppm)));
  json_object_object_add (row, "windows", json_windows (plan->classes, plan->objective_ppm));
  json_object_object_add (row, "kinds", kinds);
  json_object_object_add (row, "errors", errors);
  put_string (row, "cause", cause);
  g_free (cause);
  return row;
}

json_object *
render_json (const merge_t *merge)
{
  const GPtrArray *plans = merge_plans (merge);
  const GPtrArray *unknowns = merge_unknowns (merge);
  json_object *root = json_object_new_object ();
  json_object *rows = json_object_new_object ();
  json_object *open = json_object_new_array ();

  for (guint i = 0; i < plans->len; i++)
    {
      const merge_plan_t *plan = g_ptr_array_index (plans, i);
      json_object_object_add (rows, plan->name, json_plan (plan));
    }
  for (guint i = 0; i < unknowns->len; i++)
    json_object_array_add (open, json_object_new_string (g_ptr_array_index (unknowns, i)));
  put_int (root, "now_ms", merge_now_ms (merge));
  put_string (root, "state", burn_alert_name (merge_alert (merge)));
  json_object_object_add (root, "plans", rows);
  json_object_object_add (root, "not_known", open);
  return root;
}
