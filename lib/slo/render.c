/* render.c -- renders a merged report as text and JSON */
#include "slo/render.h"

#include "base/error.h"

#include <string.h>

#define PERCENT 100.0
#define PPM_PER_PERCENT 10000.0

static const slo_class_t bad_classes[] = { SLO_LATE, SLO_REFUSED, SLO_FAILED };

/* Returns the class of bad answers with the largest of the counts CLASSES. */
static slo_class_t
worst_class (const int64_t *classes)
{
  slo_class_t worst = SLO_LATE;

  for (gsize i = 0; i < G_N_ELEMENTS (bad_classes); i++)
    if (classes[bad_classes[i]] > classes[worst])
      worst = bad_classes[i];
  return worst;
}

static const slo_merge_kind_t *
worst_kind (const slo_merge_plan_t *plan, slo_class_t class)
{
  const slo_merge_kind_t *worst = NULL;

  for (guint i = 0; i < plan->kinds->len; i++)
    {
      const slo_merge_kind_t *kind = g_ptr_array_index (plan->kinds, i);
      if (worst == NULL
          || kind->class_counts[SLO_WINDOW_1_HOUR][class]
                 > worst->class_counts[SLO_WINDOW_1_HOUR][class])
        worst = kind;
    }
  return worst;
}

/* Returns the most frequent error of CLASS, the first by name if several are equal,
 * or NULL if there is none. */
static const char *
worst_error (const slo_merge_plan_t *plan, slo_class_t class)
{
  GHashTableIter iter;
  void *name = NULL;
  void *count = NULL;
  const char *worst = NULL;
  int64_t most = 0;

  g_hash_table_iter_init (&iter, plan->error_counts);
  while (g_hash_table_iter_next (&iter, &name, &count))
    {
      int64_t current = *(int64_t *) count;
      bool is_larger =
          current > most || (current == most && worst != NULL && strcmp (name, worst) < 0);
      if (slo_classify (error_from_name (name), false) != class || !is_larger)
        continue;
      worst = name;
      most = current;
    }
  return worst;
}

char *
slo_render_cause (const slo_merge_plan_t *plan)
{
  const int64_t *classes = plan->class_counts[SLO_WINDOW_1_HOUR];
  slo_class_t class = worst_class (classes);

  if (classes[class] == 0)
    return g_strdup ("no bad tasks in the last hour");
  const slo_merge_kind_t *kind = worst_kind (plan, class);
  const char *error = class == SLO_LATE ? NULL : worst_error (plan, class);
  return g_strdup_printf ("%" G_GINT64_FORMAT " %s%s%s, most of them %s", classes[class],
                          slo_class_name (class), error != NULL ? ", " : "",
                          error != NULL ? error : "", kind != NULL ? kind->name : "");
}

static void
append_plan (const slo_merge_plan_t *plan, GString *out)
{
  char *cause = slo_render_cause (plan);
  double left = slo_budget_left (&plan->totals[SLO_WINDOW_6_HOURS], plan->objective_ppm);

  g_string_append_printf (out, "%-16s %-10s %8.2f%% %8.1f%% ", plan->name,
                          slo_alert_name (plan->alert), plan->objective_ppm / PPM_PER_PERCENT,
                          PERCENT * MAX (left, 0));
  for (int w = 0; w < SLO_WINDOWS; w++)
    g_string_append_printf (out, "%8.2f ", slo_burn_rate (&plan->totals[w], plan->objective_ppm));
  g_string_append_printf (out, " %s\n", cause);
  g_free (cause);
}

void
slo_render_text (const slo_merge_t *merge, GString *out)
{
  const GPtrArray *plans = slo_merge_plans (merge);
  const GPtrArray *gaps = slo_merge_gaps (merge);

  g_string_append_printf (out, "%-16s %-10s %9s %9s %8s %8s %8s  %s\n", "plan", "state",
                          "objective", "left (6h)", "rate 5m", "rate 1h", "rate 6h", "cause");
  for (guint i = 0; i < plans->len; i++)
    append_plan (g_ptr_array_index (plans, i), out);
  if (plans->len == 0)
    g_string_append (out, "no plans in the reports\n");
  if (gaps->len > 0)
    g_string_append (out, "\nnot known:\n");
  for (guint i = 0; i < gaps->len; i++)
    g_string_append_printf (out, "  %s\n", (const char *) g_ptr_array_index (gaps, i));
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
json_windows (const int64_t classes[SLO_WINDOWS][SLO_CLASSES], int32_t objective_ppm)
{
  json_object *windows = json_object_new_object ();

  for (int w = 0; w < SLO_WINDOWS; w++)
    {
      json_object *row = json_object_new_object ();
      slo_totals_t sum = { .good_tasks = (uint64_t) classes[w][SLO_GOOD] };
      for (int c = 0; c < SLO_CLASSES; c++)
        put_int (row, slo_class_name ((slo_class_t) c), classes[w][c]);
      for (gsize i = 0; i < G_N_ELEMENTS (bad_classes); i++)
        sum.bad_tasks += (uint64_t) classes[w][bad_classes[i]];
      json_object_object_add (row, "rate",
                              json_object_new_double (slo_burn_rate (&sum, objective_ppm)));
      json_object_object_add (windows, slo_window_name ((slo_window_t) w), row);
    }
  return windows;
}

static json_object *
json_plan (const slo_merge_plan_t *plan)
{
  json_object *row = json_object_new_object ();
  json_object *kinds = json_object_new_object ();
  json_object *errors = json_object_new_object ();
  char *cause = slo_render_cause (plan);
  GHashTableIter iter;
  void *name = NULL;
  void *count = NULL;

  for (guint i = 0; i < plan->kinds->len; i++)
    {
      const slo_merge_kind_t *kind = g_ptr_array_index (plan->kinds, i);
      json_object_object_add (kinds, kind->name,
                              json_windows (kind->class_counts, plan->objective_ppm));
    }
  g_hash_table_iter_init (&iter, plan->error_counts);
  while (g_hash_table_iter_next (&iter, &name, &count))
    put_int (errors, name, *(int64_t *) count);
  put_string (row, "state", slo_alert_name (plan->alert));
  put_int (row, "target_ms", plan->target_ms);
  put_int (row, "objective_ppm", plan->objective_ppm);
  json_object_object_add (row, "budget_left",
                          json_object_new_double (slo_budget_left (
                              &plan->totals[SLO_WINDOW_6_HOURS], plan->objective_ppm)));
  json_object_object_add (row, "windows", json_windows (plan->class_counts, plan->objective_ppm));
  json_object_object_add (row, "kinds", kinds);
  json_object_object_add (row, "errors", errors);
  put_string (row, "cause", cause);
  g_free (cause);
  return row;
}

json_object *
slo_render_json (const slo_merge_t *merge)
{
  const GPtrArray *plans = slo_merge_plans (merge);
  const GPtrArray *gaps = slo_merge_gaps (merge);
  json_object *root = json_object_new_object ();
  json_object *rows = json_object_new_object ();
  json_object *gap_list = json_object_new_array ();

  for (guint i = 0; i < plans->len; i++)
    {
      const slo_merge_plan_t *plan = g_ptr_array_index (plans, i);
      json_object_object_add (rows, plan->name, json_plan (plan));
    }
  for (guint i = 0; i < gaps->len; i++)
    json_object_array_add (gap_list, json_object_new_string (g_ptr_array_index (gaps, i)));
  put_int (root, "now_ms", slo_merge_now_ms (merge));
  put_string (root, "state", slo_alert_name (slo_merge_worst_alert (merge)));
  json_object_object_add (root, "plans", rows);
  json_object_object_add (root, "not_known", gap_list);
  return root;
}
