/* merge.c -- merges the reports of several hosts */
#include "slo/merge.h"

#include "base/error.h"
#include "slo/report.h"

#include <string.h>

/* A copy older than this is listed as a gap, since it lacks the recent counts. */
#define COPY_MAX_AGE_MS 30000
#define DEFAULT_TARGET_MS 1000
#define DEFAULT_OBJECTIVE_PPM 990000

typedef struct
{
  const char *host;
  const char *incarnation;
  bool from_own_process; /* reported by its own process; not a copy */
  int64_t start_ms;
  int64_t as_of_ms;
  json_object *series;
} source_t;

struct slo_merge_t
{
  GPtrArray *reports;  /* json_object */
  GHashTable *sources; /* host, newline, incarnation -> source_t; strings belong to the reports */
  GHashTable *reporting_hosts; /* set of host ids */
  GPtrArray *plans;
  GPtrArray *gaps;
  int64_t now_ms;
};

static void
kind_free (void *data)
{
  slo_merge_kind_t *kind = data;

  g_free (kind->name);
  g_free (kind);
}

static void
plan_free (void *data)
{
  slo_merge_plan_t *plan = data;

  g_free (plan->name);
  g_ptr_array_unref (plan->kinds);
  g_hash_table_destroy (plan->error_counts);
  g_free (plan);
}

static void
report_free (void *data)
{
  json_object_put (data);
}

slo_merge_t *
slo_merge_new (void)
{
  slo_merge_t *merge = g_new0 (slo_merge_t, 1);

  merge->reports = g_ptr_array_new_with_free_func (report_free);
  merge->sources = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  merge->reporting_hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  merge->plans = g_ptr_array_new_with_free_func (plan_free);
  merge->gaps = g_ptr_array_new_with_free_func (g_free);
  return merge;
}

void
slo_merge_free (slo_merge_t *merge)
{
  g_hash_table_destroy (merge->sources);
  g_hash_table_destroy (merge->reporting_hosts);
  g_ptr_array_unref (merge->plans);
  g_ptr_array_unref (merge->gaps);
  g_ptr_array_unref (merge->reports);
  g_free (merge);
}

/* Accessors for members of a JSON object.  They return NULL or 0 if the member is
 * missing or has another type. */

static json_object *
json_member (json_object *object, const char *key, json_type type)
{
  json_object *value = NULL;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, key, &value) || !json_object_is_type (value, type))
    return NULL;
  return value;
}

static const char *
json_member_string (json_object *object, const char *key)
{
  json_object *value = json_member (object, key, json_type_string);

  return value == NULL ? NULL : json_object_get_string (value);
}

static int64_t
json_member_int (json_object *object, const char *key)
{
  return json_object_get_int64 (json_member (object, key, json_type_int));
}

static size_t
json_length (json_object *array)
{
  return array == NULL ? 0 : json_object_array_length (array);
}

static void add_gap (slo_merge_t *merge, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
add_gap (slo_merge_t *merge, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  g_ptr_array_add (merge->gaps, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

/* Returns true if A is to be used instead of B, another version of the same source. */
static bool
supersedes (const source_t *a, const source_t *b)
{
  if (a->from_own_process != b->from_own_process)
    return a->from_own_process;
  return a->as_of_ms > b->as_of_ms;
}

static void
add_report_source (slo_merge_t *merge, json_object *row)
{
  source_t candidate = { .host = json_member_string (row, "host"),
                         .incarnation = json_member_string (row, "incarnation"),
                         .from_own_process =
                             json_object_get_boolean (json_member (row, "own", json_type_boolean)),
                         .start_ms = json_member_int (row, "from_ms"),
                         .as_of_ms = json_member_int (row, "as_of_ms"),
                         .series = json_member (row, "series", json_type_array) };

  if (candidate.host == NULL || candidate.incarnation == NULL)
    return;
  char *name = g_strdup_printf ("%s\n%s", candidate.host, candidate.incarnation);
  source_t *known = g_hash_table_lookup (merge->sources, name);
  if (known != NULL && !supersedes (&candidate, known))
    {
      g_free (name);
      return;
    }
  g_hash_table_insert (merge->sources, name, g_memdup2 (&candidate, sizeof candidate));
}

int
slo_merge_add (slo_merge_t *merge, const char *address, json_object *report)
{
  json_object *sources = json_member (report, "sources", json_type_array);
  const char *host = json_member_string (report, "host");

  if (sources == NULL || host == NULL)
    {
      add_gap (merge, "%s sent an invalid report.", address);
      return ERROR_PROTOCOL;
    }
  g_ptr_array_add (merge->reports, json_object_get (report));
  g_hash_table_add (merge->reporting_hosts, g_strdup (host));
  for (size_t i = 0; i < json_length (sources); i++)
    add_report_source (merge, json_object_array_get_idx (sources, i));
  return 0;
}

void
slo_merge_add_unreachable (slo_merge_t *merge, const char *address, const char *why)
{
  add_gap (merge, "%s did not answer (%s).", address, why);
}

static slo_merge_plan_t *
plan_get (slo_merge_t *merge, const char *name)
{
  for (guint i = 0; i < merge->plans->len; i++)
    {
      slo_merge_plan_t *plan = g_ptr_array_index (merge->plans, i);
      if (strcmp (plan->name, name) == 0)
        return plan;
    }
  slo_merge_plan_t *plan = g_new0 (slo_merge_plan_t, 1);
  plan->name = g_strdup (name);
  plan->target_ms = DEFAULT_TARGET_MS;
  plan->objective_ppm = DEFAULT_OBJECTIVE_PPM;
  plan->kinds = g_ptr_array_new_with_free_func (kind_free);
  plan->error_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_ptr_array_add (merge->plans, plan);
  return plan;
}

static slo_merge_kind_t *
kind_get (slo_merge_plan_t *plan, const char *name)
{
  for (guint i = 0; i < plan->kinds->len; i++)
    {
      slo_merge_kind_t *kind = g_ptr_array_index (plan->kinds, i);
      if (strcmp (kind->name, name) == 0)
        return kind;
    }
  slo_merge_kind_t *kind = g_new0 (slo_merge_kind_t, 1);
  kind->name = g_strdup (name);
  g_ptr_array_add (plan->kinds, kind);
  return kind;
}

/* Takes the objectives from the report with the highest settings revision. */
static void
set_objectives (slo_merge_t *merge)
{
  json_object *latest = NULL;

  for (guint i = 0; i < merge->reports->len; i++)
    {
      json_object *report = g_ptr_array_index (merge->reports, i);
      if (latest == NULL
          || json_member_int (report, "revision") > json_member_int (latest, "revision"))
        latest = report;
    }
  json_object *plans = json_member (latest, "plans", json_type_object);
  if (plans == NULL)
    return;
  json_object_object_foreach (plans, name, row)
  {
    slo_merge_plan_t *plan = plan_get (merge, name);
    plan->target_ms = json_member_int (row, "target_ms");
    plan->objective_ppm = (int32_t) json_member_int (row, "objective_ppm");
  }
}

static void
add_windows (json_object *windows, int64_t classes[SLO_WINDOWS][SLO_CLASSES])
{
  for (int w = 0; w < SLO_WINDOWS; w++)
    {
      json_object *row =
          json_member (windows, slo_window_name ((slo_window_t) w), json_type_object);
      for (int c = 0; c < SLO_CLASSES; c++)
        classes[w][c] += json_member_int (row, slo_class_name ((slo_class_t) c));
    }
}

static void
add_errors (slo_merge_plan_t *plan, json_object *errors)
{
  if (errors == NULL)
    return;
  json_object_object_foreach (errors, name, value)
  {
    int64_t *count = g_hash_table_lookup (plan->error_counts, name);
    if (count == NULL)
      {
        count = g_new0 (int64_t, 1);
        g_hash_table_insert (plan->error_counts, g_strdup (name), count);
      }
    *count += json_object_get_int64 (value);
  }
}

static void
add_points (slo_merge_plan_t *plan, json_object *points, int64_t last_point)
{
  for (size_t i = 0; i < json_length (points); i++)
    {
      json_object *point = json_object_array_get_idx (points, i);
      if (!json_object_is_type (point, json_type_array) || json_length (point) < 3)
        continue;
      int64_t index = SLO_MERGE_POINTS - 1
                      - (last_point - json_object_get_int64 (json_object_array_get_idx (point, 0)));
      if (index < 0 || index >= SLO_MERGE_POINTS)
        continue;
      plan->good_tasks[index] += json_object_get_int64 (json_object_array_get_idx (point, 1));
      plan->bad_tasks[index] += json_object_get_int64 (json_object_array_get_idx (point, 2));
    }
}

static void
add_source (slo_merge_t *merge, const source_t *source)
{
  int64_t last_point = merge->now_ms / SLO_MINUTE_MS / SLO_POINT_MINUTES;

  for (size_t i = 0; i < json_length (source->series); i++)
    {
      json_object *row = json_object_array_get_idx (source->series, i);
      const char *name = json_member_string (row, "plan");
      const char *kind = json_member_string (row, "kind");
      if (name == NULL || kind == NULL)
        continue;
      slo_merge_plan_t *plan = plan_get (merge, name);
      json_object *windows = json_member (row, "windows", json_type_object);
      add_windows (windows, plan->class_counts);
      add_windows (windows, kind_get (plan, kind)->class_counts);
      add_errors (plan, json_member (row, "errors", json_type_object));
      add_points (plan, json_member (row, "points", json_type_array), last_point);
    }
}

/* Lists a gap if SOURCE is known only from an outdated copy. */
static void
add_stale_copy_gap (slo_merge_t *merge, const source_t *source)
{
  bool answered = g_hash_table_contains (merge->reporting_hosts, source->host);
  int64_t age_ms = merge->now_ms - source->as_of_ms;

  if (!source->from_own_process && !answered && age_ms > COPY_MAX_AGE_MS)
    add_gap (merge, "%s is known only from copies; its counts of the last %d s are missing.",
             source->host, (int) (age_ms / 1000));
}

/* Lists a gap if the earliest known process of HOST started within the longest
 * window, since the counts of an earlier process may be missing. */
static void
add_late_start_gap (slo_merge_t *merge, const char *host, int64_t start_ms)
{
  int64_t since_ms = merge->now_ms - slo_window_minutes (SLO_WINDOW_6_HOURS) * SLO_MINUTE_MS;

  if (start_ms <= since_ms)
    return;
  GDateTime *when = g_date_time_new_from_unix_utc (start_ms / 1000);
  char *time_text = g_date_time_format (when, "%H:%M:%SZ");
  add_gap (merge, "No counts are available from %s before %s.", host, time_text);
  g_free (time_text);
  g_date_time_unref (when);
}

/* Lists a gap for each peer named in REPORT that sent no report, once for each host. */
static void
add_silent_peer_gaps (slo_merge_t *merge, json_object *report, GHashTable *listed_hosts)
{
  json_object *peers = json_member (report, "peers", json_type_array);

  for (size_t i = 0; i < json_length (peers); i++)
    {
      const char *host = json_object_get_string (json_object_array_get_idx (peers, i));
      if (host == NULL || g_hash_table_contains (merge->reporting_hosts, host)
          || !g_hash_table_add (listed_hosts, g_strdup (host)))
        continue;
      add_gap (merge, "%s, a peer of a host that answered, sent no report.", host);
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
  return x->start_ms < y->start_ms ? -1 : x->start_ms > y->start_ms;
}

static GPtrArray *
sorted_sources (const slo_merge_t *merge)
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
  return strcmp ((*(slo_merge_plan_t *const *) a)->name, (*(slo_merge_plan_t *const *) b)->name);
}

static int
compare_kinds (const void *a, const void *b)
{
  return strcmp ((*(slo_merge_kind_t *const *) a)->name, (*(slo_merge_kind_t *const *) b)->name);
}

static void
finish_plan (void *data, void *user)
{
  (void) user;
  slo_merge_plan_t *plan = data;

  for (int w = 0; w < SLO_WINDOWS; w++)
    {
      const int64_t *classes = plan->class_counts[w];
      plan->totals[w].good_tasks = (uint64_t) classes[SLO_GOOD];
      plan->totals[w].bad_tasks =
          (uint64_t) (classes[SLO_LATE] + classes[SLO_REFUSED] + classes[SLO_FAILED]);
    }
  plan->alert = slo_evaluate_alert (plan->totals, plan->objective_ppm);
  g_ptr_array_sort (plan->kinds, compare_kinds);
}

void
slo_merge_finish (slo_merge_t *merge, int64_t now_ms)
{
  GPtrArray *sources = sorted_sources (merge);
  GHashTable *listed_hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  const char *last_host = "";

  merge->now_ms = now_ms;
  set_objectives (merge);
  for (guint i = 0; i < sources->len; i++)
    {
      const source_t *source = g_ptr_array_index (sources, i);
      add_source (merge, source);
      add_stale_copy_gap (merge, source);
      if (strcmp (source->host, last_host) != 0)
        add_late_start_gap (merge, source->host, source->start_ms);
      last_host = source->host;
    }
  for (guint i = 0; i < merge->reports->len; i++)
    add_silent_peer_gaps (merge, g_ptr_array_index (merge->reports, i), listed_hosts);
  g_ptr_array_foreach (merge->plans, finish_plan, NULL);
  g_ptr_array_sort (merge->plans, compare_plans);
  g_hash_table_destroy (listed_hosts);
  g_ptr_array_unref (sources);
}

const GPtrArray *
slo_merge_plans (const slo_merge_t *merge)
{
  return merge->plans;
}

const GPtrArray *
slo_merge_gaps (const slo_merge_t *merge)
{
  return merge->gaps;
}

int64_t
slo_merge_now_ms (const slo_merge_t *merge)
{
  return merge->now_ms;
}

slo_alert_t
slo_merge_worst_alert (const slo_merge_t *merge)
{
  slo_alert_t worst = SLO_ALERT_NONE;

  for (guint i = 0; i < merge->plans->len; i++)
    {
      const slo_merge_plan_t *plan = g_ptr_array_index (merge->plans, i);
      worst = MAX (worst, plan->alert);
    }
  return worst;
}
