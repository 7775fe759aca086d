/* report.c -- the body of GET /v1/burn */
#include "burn/report.h"

#include "base/error.h"
#include "burn/judge.h"

#include <string.h>

#define POINTS 73
#define ERROR_SLOTS (1 - ERROR_LAST)

/* Sums of one series. */
typedef struct
{
  char *plan;
  char *kind;
  int64_t classes[BURN_WINDOWS][BURN_CLASSES];
  int64_t errors[ERROR_SLOTS]; /* by the negated kind */
  int64_t good[POINTS];        /* by the distance from the last point */
  int64_t bad[POINTS];
} sums_t;

typedef struct
{
  GHashTable *by_name; /* plan, newline, kind -> sums_t */
  int64_t now_minute;
} walk_t;

static void
sums_free (void *data)
{
  sums_t *sums = data;

  g_free (sums->plan);
  g_free (sums->kind);
  g_free (sums);
}

static sums_t *
sums_get (walk_t *walk, const char *plan, const char *kind)
{
  char *name = g_strdup_printf ("%s\n%s", plan, kind);
  sums_t *sums = g_hash_table_lookup (walk->by_name, name);

  if (sums != NULL)
    {
      g_free (name);
      return sums;
    }
  sums = g_new0 (sums_t, 1);
  sums->plan = g_strdup (plan);
  sums->kind = g_strdup (kind);
  g_hash_table_insert (walk->by_name, name, sums);
  return sums;
}

static bool
is_in (int64_t minute, const walk_t *walk, burn_window_t window)
{
  return minute > walk->now_minute - burn_window_minutes (window);
}

static void
add_row (const burn_row_t *row, void *data)
{
  walk_t *walk = data;
  sums_t *sums = sums_get (walk, row->plan, row->kind);
  int64_t point = walk->now_minute / BURN_POINT_MINUTES - row->minute / BURN_POINT_MINUTES;

  for (int w = 0; w < BURN_WINDOWS; w++)
    for (int c = 0; c < BURN_CLASSES && is_in (row->minute, walk, (burn_window_t) w); c++)
      sums->classes[w][c] += row->counts[c];
  if (point < 0 || point >= POINTS)
    return;
  sums->good[point] += row->counts[BURN_GOOD];
  sums->bad[point] +=
      (int64_t) row->counts[BURN_LATE] + row->counts[BURN_REFUSED] + row->counts[BURN_FAILED];
}

static void
add_error (const burn_error_row_t *row, void *data)
{
  walk_t *walk = data;

  if (is_in (row->minute, walk, BURN_1_HOUR))
    sums_get (walk, row->plan, row->kind)->errors[-row->error] += row->count;
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
windows_json (const sums_t *sums)
{
  json_object *windows = json_object_new_object ();

  for (int w = 0; w < BURN_WINDOWS; w++)
    {
      json_object *row = json_object_new_object ();
      for (int c = 0; c < BURN_CLASSES; c++)
        put_int (row, burn_class_name ((burn_class_t) c), sums->classes[w][c]);
      json_object_object_add (windows, burn_window_name ((burn_window_t) w), row);
    }
  return windows;
}

static json_object *
errors_json (const sums_t *sums)
{
  json_object *errors = json_object_new_object ();

  for (int e = 1; e < ERROR_SLOTS; e++)
    if (sums->errors[e] > 0)
      put_int (errors, error_name (-e), sums->errors[e]);
  return errors;
}

static json_object *
points_json (const sums_t *sums, int64_t last)
{
  json_object *points = json_object_new_array ();

  for (int p = POINTS - 1; p >= 0; p--)
    {
      if (sums->good[p] + sums->bad[p] == 0)
        continue;
      json_object *point = json_object_new_array ();
      json_object_array_add (point, json_object_new_int64 (last - p));
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
series_json (walk_t *walk)
{
  json_object *list = json_object_new_array ();
  guint count = 0;
  char **names = (char **) g_hash_table_get_keys_as_array (walk->by_name, &count);

  qsort (names, count, sizeof *names, compare_names);
  for (guint i = 0; i < count; i++)
    {
      const sums_t *sums = g_hash_table_lookup (walk->by_name, names[i]);
      json_object *row = json_object_new_object ();
      put_string (row, "plan", sums->plan);
      put_string (row, "kind", sums->kind);
      json_object_object_add (row, "windows", windows_json (sums));
      json_object_object_add (row, "errors", errors_json (sums));
      json_object_object_add (row, "points",
                              points_json (sums, walk->now_minute / BURN_POINT_MINUTES));
      json_object_array_add (list, row);
    }
  g_free (names);
  return list;
}

typedef struct
{
  json_object *list;
  int64_t now_ms;
} sources_walk_t;

static void
add_source (burn_source_t *source, void *data)
{
  sources_walk_t *all = data;
  walk_t walk = { g_hash_table_new_full (g_str_hash, g_str_equal, g_free, sums_free),
                  all->now_ms / BURN_MINUTE_MS };
  burn_visitor_t visitor = { add_row, add_error, &walk };
  burn_source_info_t info = burn_source_info (source);
  json_object *row = json_object_new_object ();
  char incarnation[20];

  burn_visit (source, walk.now_minute - BURN_KEPT_MINUTES + 1, &visitor);
  g_snprintf (incarnation, sizeof incarnation, "%016" G_GINT64_MODIFIER "x", info.incarnation);
  put_string (row, "host", info.host);
  put_string (row, "incarnation", incarnation);
  json_object_object_add (row, "own", json_object_new_boolean (info.own));
  put_int (row, "from_ms", info.from_ms);
  put_int (row, "as_of_ms", info.own ? all->now_ms : info.as_of_ms);
  json_object_object_add (row, "series", series_json (&walk));
  json_object_array_add (all->list, row);
  g_hash_table_destroy (walk.by_name);
}

void
burn_report (burn_t *burn, int64_t now_ms, json_object *out)
{
  sources_walk_t all = { json_object_new_array (), now_ms };

  burn_each_source (burn, add_source, &all);
  put_int (out, "now_ms", now_ms);
  json_object_object_add (out, "sources", all.list);
}
