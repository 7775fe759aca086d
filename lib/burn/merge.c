/* merge.c -- the reports of several hosts as one */
#include "burn/merge.h"

#include "base/error.h"
#include "burn/report.h"

#include <string.h>

/* A copy that is older than this misses what its host counted since. */
#define FRESH_MS 30000
#define DEFAULT_TARGET_MS 1000
#define DEFAULT_OBJECTIVE_PPM 990000

typedef struct
{
  const char *host;
  const char *incarnation;
  bool own;
  int64_t from_ms;
  int64_t as_of_ms;
  json_object *series;
} source_t;

struct merge_t
{
  GPtrArray *reports;   /* json_object */
  GHashTable *sources;  /* host, newline, incarnation -> source_t; strings of the reports */
  GHashTable *answered; /* host id -> itself */
  GPtrArray *plans;
  GPtrArray *unknowns;
  int64_t now_ms;
};

static void
kind_free (void *data)
{
  merge_kind_t *kind = data;

  g_free (kind->name);
  g_free (kind);
}

static void
plan_free (void *data)
{
  merge_plan_t *plan = data;

  g_free (plan->name);
  g_ptr_array_unref (plan->kinds);
  g_hash_table_destroy (plan->errors);
  g_free (plan);
}

static void
put_report (void *data)
{
  json_object_put (data);
}

merge_t *
merge_new (void)
{
  merge_t *merge = g_new0 (merge_t, 1);

  merge->reports = g_ptr_array_new_with_free_func (put_report);
  merge->sources = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  merge->answered = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  merge->plans = g_ptr_array_new_with_free_func (plan_free);
  merge->unknowns = g_ptr_array_new_with_free_func (g_free);
  return merge;
}

void
merge_free (merge_t *merge)
{
  g_hash_table_destroy (merge->sources);
  g_hash_table_destroy (merge->answered);
  g_ptr_array_unref (merge->plans);
  g_ptr_array_unref (merge->unknowns);
  g_ptr_array_unref (merge->reports);
  g_free (merge);
}

/* Members of a JSON object, with a harmless value where one is missing. */

static json_object *
member (json_object *object, const char *key, json_type type)
{
  json_object *value = NULL;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, key, &value) || !json_object_is_type (value, type))
    return NULL;
  return value;
}

static const char *
string_of (json_object *object, const char *key)
{
  json_object *value = member (object, key, json_type_string);

  return value == NULL ? NULL : json_object_get_string (value);
}

static int64_t
int_of (json_object *object, const char *key)
{
  return json_object_get_int64 (member (object, key, json_type_int));
}

static size_t
length_of (json_object *array)
{
  return array == NULL ? 0 : json_object_array_length (array);
}

static void unknown (merge_t *merge, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
unknown (merge_t *merge, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  g_ptr_array_add (merge->unknowns, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

static bool
is_better (const source_t *a, const source_t *b)
{
  if (a->own != b->own)
    return a->own;
  return a->as_of_ms > b->as_of_ms;
}

static void
take_source (merge_t *merge, json_object *row)
{
  source_t fresh = { .host = string_of (row, "host"),
                     .incarnation = string_of (row, "incarnation"),
                     .own = json_object_get_boolean (member (row, "own", json_type_boolean)),
                     .from_ms = int_of (row, "from_ms"),
                     .as_of_ms = int_of (row, "as_of_ms"),
                     .series = member (row, "series", json_type_array) };

  if (fresh.host == NULL || fresh.incarnation == NULL)
    return;
  char *name = g_strdup_printf ("%s\n%s", fresh.host, fresh.incarnation);
  source_t *known = g_hash_table_lookup (merge->sources, name);
  if (known != NULL && !is_better (&fresh, known))
    {
      g_free (name);
      return;
    }
  g_hash_table_insert (merge->sources, name, g_memdup2 (&fresh, sizeof fresh));
}

int
merge_add (merge_t *merge, const char *address, json_object *report)
{
  json_object *sources = member (report, "sources", json_type_array);
  const char *host = string_of (report, "host");

  if (sources == NULL || host == NULL)
    {
      unknown (merge, "%s gave no report that can be read.", address);
      return ERROR_PROTOCOL;
    }
  g_ptr_array_add (merge->reports, json_object_get (report));
  g_hash_table_add (merge->answered, g_strdup (host));
  for (size_t i = 0; i < length_of (sources); i++)
    take_source (merge, json_object_array_get_idx (sources, i));
  return 0;
}

void
merge_missing (merge_t *merge, const char *address, const char *why)
{
  unknown (merge, "%s did not answer (%s).", address, why);
}

static merge_plan_t *
plan_get (merge_t *merge, const char *name)
{
  for (guint i = 0; i < merge->plans->len; i++)
    {
      merge_plan_t *plan = g_ptr_array_index (merge->plans, i);
      if (strcmp (plan->name, name) == 0)
        return plan;
    }
  merge_plan_t *plan = g_new0 (merge_plan_t, 1);
  plan->name = g_strdup (name);
  plan->target_ms = DEFAULT_TARGET_MS;
  plan->objective_ppm = DEFAULT_OBJECTIVE_PPM;
  plan->kinds = g_ptr_array_new_with_free_func (kind_free);
  plan->errors = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_ptr_array_add (merge->plans, plan);
  return plan;
}

static merge_kind_t *
kind_get (merge_plan_t *plan, const char *name)
{
  for (guint i = 0; i < plan->kinds->len; i++)
    {
      merge_kind_t *kind = g_ptr_array_index (plan->kinds, i);
      if (strcmp (kind->name, name) == 0)
        return kind;
    }
  merge_kind_t *kind = g_new0 (merge_kind_t, 1);
  kind->name = g_strdup (name);
  g_ptr_array_add (plan->kinds, kind);
  return kind;
}

/* Objectives come from the report with the latest revision. */
static void
take_objectives (merge_t *merge)
{
  json_object *best = NULL;

  for (guint i = 0; i < merge->reports->len; i++)
    {
      json_object *report = g_ptr_array_index (merge->reports, i);
      if (best == NULL || int_of (report, "revision") > int_of (best, "revision"))
        best = report;
    }
  json_object *plans = member (best, "plans", json_type_object);
  if (plans == NULL)
    return;
  json_object_object_foreach (plans, name, row)
  {
    merge_plan_t *plan = plan_get (merge, name);
    plan->target_ms = int_of (row, "target_ms");
    plan->objective_ppm = (int32_t) int_of (row, "objective_ppm");
  }
}

static void
add_windows (json_object *windows, int64_t classes[BURN_WINDOWS][BURN_CLASSES])
{
  for (int w = 0; w < BURN_WINDOWS; w++)
    {
      json_object *row = member (windows, burn_window_name ((burn_window_t) w), json_type_object);
      for (int c = 0; c < BURN_CLASSES; c++)
        classes[w][c] += int_of (row, burn_class_name ((burn_class_t) c));
    }
}

static void
add_errors (merge_plan_t *plan, json_object *errors)
{
  if (errors == NULL)
    return;
  json_object_object_foreach (errors, name, value)
  {
    int64_t *count = g_hash_table_lookup (plan->errors, name);
    if (count == NULL)
      {
        count = g_new0 (int64_t, 1);
        g_hash_table_insert (plan->errors, g_strdup (name), count);
      }
    *count += json_object_get_int64 (value);
  }
}

static void
add_points (merge_plan_t *plan, json_object *points, int64_t last)
{
  for (size_t i = 0; i < length_of (points); i++)
    {
      json_object *point = json_object_array_get_idx (points, i);
      if (!json_object_is_type (point, json_type_array) || length_of (point) < 3)
        continue;
      int64_t at =
          MERGE_POINTS - 1 - (last - json_object_get_int64 (json_object_array_get_idx (point, 0)));
      if (at < 0 || at >= MERGE_POINTS)
        continue;
      plan->good[at] += json_object_get_int64 (json_object_array_get_idx (point, 1));
      plan->bad[at] += json_object_get_int64 (json_object_array_get_idx (point, 2));
    }
}

static void
add_source (merge_t *merge, const source_t *source)
{
  int64_t last = merge->now_ms / BURN_MINUTE_MS / BURN_POINT_MINUTES;

  for (size_t i = 0; i < length_of (source->series); i++)
    {
      json_object *row = json_object_array_get_idx (source->series, i);
      const char *name = string_of (row, "plan");
      const char *kind = string_of (row, "kind");
      if (name == NULL || kind == NULL)
        continue;
      merge_plan_t *plan = plan_get (merge, name);
      json_object *windows = member (row, "windows", json_type_object);
      add_windows (windows, plan->classes);
      add_windows (windows, kind_get (plan, kind)->classes);
      add_errors (plan, member (row, "errors", json_type_object));
      add_points (plan, member (row, "points", json_type_array), last);
    }
}

/* What a source leaves open: counts since its last copy, or before its start. */
static void
note_source (merge_t *merge, const source_t *source)
{
  bool answered = g_hash_table_contains (merge->answered, source->host);
  int64_t age_ms = merge->now_ms - source->as_of_ms;

  if (!source->own && !answered && age_ms > FRESH_MS)
    unknown (merge, "%s is known only by copies; what it counted in the last %d s is not.",
             source->host, (int) (age_ms / 1000));
}

/* A host that started within the window may have had a predecessor. */
static void
note_start (merge_t *merge, const char *host, int64_t from_ms)
{
  int64_t since_ms = merge->now_ms - burn_window_minutes (BURN_6_HOURS) * BURN_MINUTE_MS;

  if (from_ms <= since_ms)
    return;
  GDateTime *when = g_date_time_new_from_unix_utc (from_ms / 1000);
  char *text = g_date_time_format (when, "%H:%M:%SZ");
  unknown (merge, "Nothing is known from %s before %s.", host, text);
  g_free (text);
  g_date_time_unref (when);
}

static void
note_peers (merge_t *merge, json_object *report, GHashTable *seen)
{
  json_object *peers = member (report, "peers", json_type_array);

  for (size_t i = 0; i < length_of (peers); i++)
    {
      const char *host = json_object_get_string (json_object_array_get_idx (peers, i));
      if (host == NULL || g_hash_table_contains (merge->answered, host)
          || !g_hash_table_add (seen, g_strdup (host)))
        continue;
      unknown (merge, "%s, a peer of those that answered, gave no report of its own.", host);
    }
}

static int
compare_sources (const void *a, const void *b)
{
  const source_t *x = *(source_t *const *) a;
  const source_t *y = *(source_t *const *) b;
  int order = strcmp (x->host, y->host);

  if (order != 0)
    return order;
  return x->from_ms < y->from_ms ? -1 : x->from_ms > y->from_ms;
}

static GPtrArray *
sorted_sources (const merge_t *merge)
{
  GPtrArray *sources = g_ptr_array_new ();
  GHashTableIter iter;
  void *source = NULL;

  g_hash_table_iter_init (&iter, merge->sources);
  while (g_hash_table_iter_next (&iter, NULL, &source))
    g_ptr_array_add (sources, source);
  g_ptr_array_sort (sources, compare_sources);
  return sources;
}

static int
compare_plans (const void *a, const void *b)
{
  return strcmp ((*(merge_plan_t *const *) a)->name, (*(merge_plan_t *const *) b)->name);
}

static int
compare_kinds (const void *a, const void *b)
{
  return strcmp ((*(merge_kind_t *const *) a)->name, (*(merge_kind_t *const *) b)->name);
}

static void
finish_plan (void *data, void *user)
{
  (void) user;
  merge_plan_t *plan = data;

  for (int w = 0; w < BURN_WINDOWS; w++)
    {
      const int64_t *classes = plan->classes[w];
      plan->sums[w].good = (uint64_t) classes[BURN_GOOD];
      plan->sums[w].bad =
          (uint64_t) (classes[BURN_LATE] + classes[BURN_REFUSED] + classes[BURN_FAILED]);
    }
  plan->alert = burn_judge (plan->sums, plan->objective_ppm);
  g_ptr_array_sort (plan->kinds, compare_kinds);
}

void
merge_finish (merge_t *merge, int64_t now_ms)
{
  GPtrArray *sources = sorted_sources (merge);
  GHashTable *seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  const char *last_host = "";

  merge->now_ms = now_ms;
  take_objectives (merge);
  for (guint i = 0; i < sources->len; i++)
    {
      const source_t *source = g_ptr_array_index (sources, i);
      add_source (merge, source);
      note_source (merge, source);
      if (strcmp (source->host, last_host) != 0)
        note_start (merge, source->host, source->from_ms);
      last_host = source->host;
    }
  for (guint i = 0; i < merge->reports->len; i++)
    note_peers (merge, g_ptr_array_index (merge->reports, i), seen);
  g_ptr_array_foreach (merge->plans, finish_plan, NULL);
  g_ptr_array_sort (merge->plans, compare_plans);
  g_hash_table_destroy (seen);
  g_ptr_array_unref (sources);
}

const GPtrArray *
merge_plans (const merge_t *merge)
{
  return merge->plans;
}

const GPtrArray *
merge_unknowns (const merge_t *merge)
{
  return merge->unknowns;
}

int64_t
merge_now_ms (const merge_t *merge)
{
  return merge->now_ms;
}

burn_alert_t
merge_alert (const merge_t *merge)
{
  burn_alert_t worst = BURN_FINE;

  for (guint i = 0; i < merge->plans->len; i++)
    {
      const merge_plan_t *plan = g_ptr_array_index (merge->plans, i);
      worst = MAX (worst, plan->alert);
    }
  return worst;
}
