/* report.c -- the body of GET /v1/burn */
#include "slo/report.h"

#include "base/error.h"
#include "slo/alert.h"

#include <string.h>

/* Six hours of points, and the current one. */
#define POINT_COUNT 73
#define ERROR_COUNT (1 - ERROR_LAST)

/* Sums over one series, that is over one plan and kind. */
typedef struct
{
  char *plan;
  char *kind;
  int64_t classes[SLO_WINDOWS][SLO_CLASSES];
  int64_t errors[ERROR_COUNT]; /* index: negated error code */
  int64_t good[POINT_COUNT];   /* index: points before the current one */
  int64_t bad[POINT_COUNT];
} series_sums_t;

typedef struct
{
  GHashTable *by_name; /* plan, newline, kind -> series_sums_t */
  int64_t now_minute;
} source_sums_t;

static void
series_sums_free (void *data)
{
  series_sums_t *sums = data;

  g_free (sums->plan);
  g_free (sums->kind);
  g_free (sums);
}

static series_sums_t *
series_sums_get (source_sums_t *source_sums, const char *plan, const char *kind)
{
  char *name = g_strdup_printf ("%s\n%s", plan, kind);
  series_sums_t *sums = g_hash_table_lookup (source_sums->by_name, name);

  if (sums != NULL)
    {
      g_free (name);
      return sums;
    }
  sums = g_new0 (series_sums_t, 1);
  sums->plan = g_strdup (plan);
  sums->kind = g_strdup (kind);
  g_hash_table_insert (source_sums->by_name, name, sums);
  return sums;
}

static bool
is_in_window (int64_t minute, const source_sums_t *source_sums, slo_window_t window)
{
  return minute > source_sums->now_minute - slo_window_minutes (window);
}

static void
add_row (const slo_count_row_t *row, void *data)
{
  source_sums_t *source_sums = data;
  series_sums_t *sums = series_sums_get (source_sums, row->plan, row->kind);
  int64_t point = source_sums->now_minute / SLO_POINT_MINUTES - row->minute / SLO_POINT_MINUTES;

  for (int w = 0; w < SLO_WINDOWS; w++)
    for (int c = 0; c < SLO_CLASSES && is_in_window (row->minute, source_sums, (slo_window_t) w);
         c++)
      sums->classes[w][c] += row->counts[c];
  if (point < 0 || point >= POINT_COUNT)
    return;
  sums->good[point] += row->counts[SLO_GOOD];
  sums->bad[point] +=
      (int64_t) row->counts[SLO_LATE] + row->counts[SLO_REFUSED] + row->counts[SLO_FAILED];
}

static void
add_error (const slo_error_row_t *row, void *data)
{
  source_sums_t *source_sums = data;

  if (is_in_window (row->minute, source_sums, SLO_WINDOW_1_HOUR))
    series_sums_get (source_sums, row->plan, row->kind)->errors[-row->error] += row->count;
}

static void
put_int (json_object *object, const char *key, int64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 (value));
}

static void
put_string (json_object *object, const char *key, const char *value)
{
  json_object_object_add (object, key, json_object_new_string (value));
}

static json_object *
windows_json (const series_sums_t *sums)
{
  json_object *windows = json_object_new_object ();

  for (int w = 0; w < SLO_WINDOWS; w++)
    {
      json_object *row = json_object_new_object ();
      for (int c = 0; c < SLO_CLASSES; c++)
        put_int (row, slo_class_name ((slo_class_t) c), sums->classes[w][c]);
      json_object_object_add (windows, slo_window_name ((slo_window_t) w), row);
    }
  return windows;
}

static json_object *
errors_json (const series_sums_t *sums)
{
  json_object *errors = json_object_new_object ();

  for (int e = 1; e < ERROR_COUNT; e++)
    if (sums->errors[e] > 0)
      put_int (errors, error_name (-e), sums->errors[e]);
  return errors;
}

static json_object *
points_json (const series_sums_t *sums, int64_t last_point)
{
  json_object *points = json_object_new_array ();

  for (int p = POINT_COUNT - 1; p >= 0; p--)
    {
      if (sums->good[p] + sums->bad[p] == 0)
        continue;
      json_object *point = json_object_new_array ();
      json_object_array_add (point, json_object_new_int64 (last_point - p));
      json_object_array_add (point, json_object_new_int64 (sums->good[p]));
      json_object_array_add (point, json_object_new_int64 (sums->bad[p]));
      json_object_array_add (points, point);
    }
  return points;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(char *const *) a, *(char *const *) b);
}

static json_object *
series_json (source_sums_t *source_sums)
{
  json_object *list = json_object_new_array ();
  guint count = 0;
  char **names = (char **) g_hash_table_get_keys_as_array (source_sums->by_name, &count);

  qsort (names, count, sizeof *names, compare_names);
  for (guint i = 0; i < count; i++)
    {
      const series_sums_t *sums = g_hash_table_lookup (source_sums->by_name, names[i]);
      json_object *row = json_object_new_object ();
      put_string (row, "plan", sums->plan);
      put_string (row, "kind", sums->kind);
      json_object_object_add (row, "windows", windows_json (sums));
      json_object_object_add (row, "errors", errors_json (sums));
      json_object_object_add (row, "points",
                              points_json (sums, source_sums->now_minute / SLO_POINT_MINUTES));
      json_object_array_add (list, row);
    }
  g_free (names);
  return list;
}

typedef struct
{
  json_object *list;
  int64_t now_ms;
} report_builder_t;

static void
add_source (slo_source_t *source, void *data)
{
  report_builder_t *builder = data;
  source_sums_t source_sums = { g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                                       series_sums_free),
                                builder->now_ms / SLO_MINUTE_MS };
  slo_visitor_t visitor = { add_row, add_error, &source_sums };
  slo_source_info_t info = slo_source_info (source);
  json_object *row = json_object_new_object ();
  char incarnation[20];

  slo_visit_counts (source, source_sums.now_minute - SLO_RETENTION_MINUTES + 1, &visitor);
  g_snprintf (incarnation, sizeof incarnation, "%016" G_GINT64_MODIFIER "x", info.incarnation);
  put_string (row, "host", info.host);
  put_string (row, "incarnation", incarnation);
  json_object_object_add (row, "own", json_object_new_boolean (info.is_local));
  put_int (row, "from_ms", info.start_ms);
  put_int (row, "as_of_ms", info.is_local ? builder->now_ms : info.as_of_ms);
  json_object_object_add (row, "series", series_json (&source_sums));
  json_object_array_add (builder->list, row);
  g_hash_table_destroy (source_sums.by_name);
}

void
slo_report (slo_counters_t *counters, int64_t now_ms, json_object *out)
{
  report_builder_t builder = { json_object_new_array (), now_ms };

  slo_foreach_source (counters, add_source, &builder);
  put_int (out, "now_ms", now_ms);
  json_object_object_add (out, "sources", builder.list);
}
