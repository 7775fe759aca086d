/* counters.c -- service-level counters: answers by plan, kind and minute
 *
 * A series is a ring buffer of one bucket for each minute.  A bucket that holds
 * an older minute is cleared before use; counts for a minute older than the
 * bucket are dropped.  Errors are rare and are stored in a list, not in the ring.
 */
#include "slo/counters.h"

#include "base/error.h"

#include <string.h>

#define OTHER_KIND "other"

typedef struct
{
  uint32_t minute;
  uint32_t counts[SLO_CLASSES];
} bucket_t;

typedef struct
{
  int64_t minute;
  int32_t error;
  uint32_t count;
} error_entry_t;

typedef struct
{
  char *plan;
  char *kind;
  bucket_t ring[SLO_RETENTION_MINUTES];
  GArray *error_entries; /* error_entry_t, unordered */
} series_t;

struct slo_source_t
{
  char *host;
  uint64_t incarnation;
  bool is_local;
  int64_t start_ms;
  int64_t as_of_ms;
  GPtrArray *series;   /* series_t */
  GHashTable *by_name; /* plan, newline, kind -> series_t */
};

struct slo_counters_t
{
  GPtrArray *sources; /* slo_source_t; the local one first */
};

/* Errors caused by the caller.  All others are failures or refusals of the
 * service. */
static const int caller_errors[] = {
  ERROR_BAD_REQUEST,        ERROR_TOO_LARGE,   ERROR_KEY_REUSED,      ERROR_UNKNOWN_CUSTOMER,
  ERROR_SUBMISSION_EXPIRED, ERROR_CLOCK_AHEAD, ERROR_DEADLINE_PASSED, ERROR_NEVER_FITS,
  ERROR_CANCELLED,          ERROR_UNKNOWN_KEY, ERROR_NOT_FOUND,       ERROR_METHOD_NOT_ALLOWED,
  ERROR_PLAN_LIMIT,
};

static const char *const class_names[SLO_CLASSES] = {
  [SLO_GOOD] = "good",     [SLO_LATE] = "late",        [SLO_REFUSED] = "refused",
  [SLO_FAILED] = "failed", [SLO_EXCLUDED] = "excused",
};

slo_class_t
slo_classify (int error, bool late)
{
  if (error == 0)
    return late ? SLO_LATE : SLO_GOOD;
  for (gsize i = 0; i < G_N_ELEMENTS (caller_errors); i++)
    if (caller_errors[i] == error)
      return SLO_EXCLUDED;
  return strcmp (error_row (error)->state, "refused") == 0 ? SLO_REFUSED : SLO_FAILED;
}

const char *
slo_class_name (slo_class_t class)
{
  return class_names[class];
}

static void
series_free (void *data)
{
  series_t *series = data;

  g_free (series->plan);
  g_free (series->kind);
  g_array_unref (series->error_entries);
  g_free (series);
}

static void
source_free (void *data)
{
  slo_source_t *source = data;

  g_hash_table_destroy (source->by_name);
  g_ptr_array_unref (source->series);
  g_free (source->host);
  g_free (source);
}

static slo_source_t *
source_new (const char *host, uint64_t incarnation, bool local, int64_t start_ms)
{
  slo_source_t *source = g_new0 (slo_source_t, 1);

  source->host = g_strdup (host);
  source->incarnation = incarnation;
  source->is_local = local;
  source->start_ms = start_ms;
  source->as_of_ms = start_ms;
  source->series = g_ptr_array_new_with_free_func (series_free);
  source->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return source;
}

slo_counters_t *
slo_counters_new (const char *host, uint64_t incarnation, int64_t now_ms)
{
  slo_counters_t *counters = g_new0 (slo_counters_t, 1);

  counters->sources = g_ptr_array_new_with_free_func (source_free);
  g_ptr_array_add (counters->sources, source_new (host, incarnation, true, now_ms));
  return counters;
}

void
slo_counters_free (slo_counters_t *counters)
{
  g_ptr_array_unref (counters->sources);
  g_free (counters);
}

static series_t *
series_get (slo_source_t *source, const char *plan, const char *kind)
{
  char *name = g_strdup_printf ("%s\n%s", plan, kind);
  series_t *series = g_hash_table_lookup (source->by_name, name);

  if (series == NULL && source->series->len >= SLO_SERIES_MAX && strcmp (kind, OTHER_KIND) != 0)
    series = series_get (source, plan, OTHER_KIND);
  else if (series == NULL)
    {
      series = g_new0 (series_t, 1);
      series->plan = g_strdup (plan);
      series->kind = g_strdup (kind);
      series->error_entries = g_array_new (FALSE, FALSE, sizeof (error_entry_t));
      g_ptr_array_add (source->series, series);
      g_hash_table_insert (source->by_name, g_steal_pointer (&name), series);
    }
  g_free (name);
  return series;
}

/* Returns the bucket of MINUTE, or NULL if a later minute already uses it. */
static bucket_t *
bucket_get (series_t *series, int64_t minute)
{
  bucket_t *bucket = &series->ring[minute % SLO_RETENTION_MINUTES];

  if (bucket->minute > minute)
    return NULL;
  if (bucket->minute < minute)
    *bucket = (bucket_t){ .minute = (uint32_t) minute };
  return bucket;
}

static error_entry_t *
error_get (series_t *series, int64_t minute, int32_t error)
{
  error_entry_t new_entry = { .minute = minute, .error = error };

  for (guint i = series->error_entries->len; i-- > 0;)
    {
      error_entry_t *entry = &g_array_index (series->error_entries, error_entry_t, i);
      if (entry->minute == minute && entry->error == error)
        return entry;
    }
  g_array_append_val (series->error_entries, new_entry);
  return &g_array_index (series->error_entries, error_entry_t, series->error_entries->len - 1);
}

void
slo_count_tasks (slo_counters_t *counters,
                 const char *plan,
                 const char *kind,
                 int error,
                 bool late,
                 uint32_t tasks,
                 int64_t now_ms)
{
  slo_source_t *local = slo_local_source (counters);
  series_t *series = series_get (local, plan, kind);
  int64_t minute = now_ms / SLO_MINUTE_MS;
  bucket_t *bucket = bucket_get (series, minute);

  if (bucket == NULL)
    return;
  bucket->counts[slo_classify (error, late)] += tasks;
  if (error != 0)
    error_get (series, minute, error)->count += tasks;
  local->as_of_ms = MAX (local->as_of_ms, now_ms);
}

slo_source_t *
slo_local_source (slo_counters_t *counters)
{
  return g_ptr_array_index (counters->sources, 0);
}

slo_source_t *
slo_get_copy (slo_counters_t *counters,
              const char *host,
              uint64_t incarnation,
              int64_t start_ms,
              int64_t now_ms)
{
  for (guint i = 0; i < counters->sources->len; i++)
    {
      slo_source_t *source = g_ptr_array_index (counters->sources, i);
      if (source->incarnation == incarnation && strcmp (source->host, host) == 0)
        return source->is_local ? NULL : source;
    }
  slo_prune (counters, now_ms);
  if (counters->sources->len >= SLO_SOURCES_MAX)
    return NULL;
  slo_source_t *source = source_new (host, incarnation, false, start_ms);
  g_ptr_array_add (counters->sources, source);
  return source;
}

/* Returns true if MINUTE is within the retention period and at most one minute
 * ahead of the clock. */
static bool
is_retained (int64_t minute, int64_t now_ms)
{
  int64_t now = now_ms / SLO_MINUTE_MS;

  return minute > now - SLO_RETENTION_MINUTES && minute <= now + 1;
}

void
slo_copy_update_counts (slo_source_t *source, const slo_count_row_t *row, int64_t now_ms)
{
  if (!is_retained (row->minute, now_ms))
    return;
  bucket_t *bucket = bucket_get (series_get (source, row->plan, row->kind), row->minute);
  if (bucket == NULL)
    return;
  for (int c = 0; c < SLO_CLASSES; c++)
    bucket->counts[c] = MAX (bucket->counts[c], row->counts[c]);
}

void
slo_copy_update_error (slo_source_t *source, const slo_error_row_t *row, int64_t now_ms)
{
  if (!is_retained (row->minute, now_ms) || row->error >= 0 || row->error < ERROR_LAST)
    return;
  series_t *series = series_get (source, row->plan, row->kind);
  error_entry_t *entry = error_get (series, row->minute, row->error);
  entry->count = MAX (entry->count, row->count);
}

void
slo_copy_advance (slo_source_t *source, int64_t as_of_ms)
{
  source->as_of_ms = MAX (source->as_of_ms, as_of_ms);
}

slo_source_info_t
slo_source_info (const slo_source_t *source)
{
  return (slo_source_info_t){ .host = source->host,
                              .incarnation = source->incarnation,
                              .is_local = source->is_local,
                              .start_ms = source->start_ms,
                              .as_of_ms = source->as_of_ms };
}

void
slo_foreach_source (slo_counters_t *counters,
                    void (*callback) (slo_source_t *source, void *data),
                    void *data)
{
  for (guint i = 0; i < counters->sources->len; i++)
    callback (g_ptr_array_index (counters->sources, i), data);
}

static bool
is_empty (const bucket_t *bucket)
{
  for (int c = 0; c < SLO_CLASSES; c++)
    if (bucket->counts[c] > 0)
      return false;
  return true;
}

static void
visit_buckets (const series_t *series, int64_t since_minute, const slo_visitor_t *visitor)
{
  for (int i = 0; i < SLO_RETENTION_MINUTES && visitor->on_counts != NULL; i++)
    {
      const bucket_t *bucket = &series->ring[i];
      if (bucket->minute < since_minute || is_empty (bucket))
        continue;
      slo_count_row_t row = { .plan = series->plan,
                              .kind = series->kind,
                              .minute = bucket->minute };
      memcpy (row.counts, bucket->counts, sizeof row.counts);
      visitor->on_counts (&row, visitor->data);
    }
}

static void
visit_errors (const series_t *series, int64_t since_minute, const slo_visitor_t *visitor)
{
  for (guint i = 0; i < series->error_entries->len && visitor->on_error != NULL; i++)
    {
      const error_entry_t *entry = &g_array_index (series->error_entries, error_entry_t, i);
      slo_error_row_t row = { series->plan, series->kind, entry->minute, entry->error,
                              entry->count };
      if (entry->minute >= since_minute)
        visitor->on_error (&row, visitor->data);
    }
}

void
slo_visit_counts (const slo_source_t *source, int64_t since_minute, const slo_visitor_t *visitor)
{
  for (guint s = 0; s < source->series->len; s++)
    {
      const series_t *series = g_ptr_array_index (source->series, s);
      visit_buckets (series, since_minute, visitor);
      visit_errors (series, since_minute, visitor);
    }
}

static void
prune_errors (series_t *series, int64_t now_ms)
{
  for (guint i = series->error_entries->len; i-- > 0;)
    if (!is_retained (g_array_index (series->error_entries, error_entry_t, i).minute, now_ms))
      g_array_remove_index_fast (series->error_entries, i);
}

void
slo_prune (slo_counters_t *counters, int64_t now_ms)
{
  for (guint i = counters->sources->len; i-- > 0;)
    {
      slo_source_t *source = g_ptr_array_index (counters->sources, i);
      for (guint s = 0; s < source->series->len; s++)
        prune_errors (g_ptr_array_index (source->series, s), now_ms);
      if (!source->is_local && !is_retained (source->as_of_ms / SLO_MINUTE_MS, now_ms))
        g_ptr_array_remove_index (counters->sources, i);
    }
}
