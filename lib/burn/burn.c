/* burn.c -- service-level counters: answers by plan, kind and minute
 *
 * A series is a ring of minutes; a bucket that is met with another minute than
 * its own is emptied first, unless the minute is older than the bucket.  Errors
 * are rare and kept in a list beside the ring.
 */
#include "burn/burn.h"

#include "base/error.h"

#include <string.h>

#define OTHER_KIND "other"

typedef struct
{
  uint32_t minute;
  uint32_t counts[BURN_CLASSES];
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
  bucket_t ring[BURN_KEPT_MINUTES];
  GArray *errors; /* error_entry_t, unordered */
} series_t;

struct burn_source_t
{
  char *host;
  uint64_t incarnation;
  bool own;
  int64_t from_ms;
  int64_t as_of_ms;
  GPtrArray *series;   /* series_t */
  GHashTable *by_name; /* plan, newline, kind -> series_t */
};

struct burn_t
{
  GPtrArray *sources; /* burn_source_t; the own one first */
};

/* Answers that are the caller's own doing; all others are failures or refusals
 * of the service. */
static const int excused[] = {
  ERROR_BAD_REQUEST,        ERROR_TOO_LARGE,   ERROR_KEY_REUSED,      ERROR_UNKNOWN_CUSTOMER,
  ERROR_SUBMISSION_EXPIRED, ERROR_CLOCK_AHEAD, ERROR_DEADLINE_PASSED, ERROR_NEVER_FITS,
  ERROR_CANCELLED,          ERROR_UNKNOWN_KEY, ERROR_NOT_FOUND,       ERROR_METHOD_NOT_ALLOWED,
  ERROR_PLAN_LIMIT,
};

static const char *const class_names[BURN_CLASSES] = {
  [BURN_GOOD] = "good",     [BURN_LATE] = "late",       [BURN_REFUSED] = "refused",
  [BURN_FAILED] = "failed", [BURN_EXCUSED] = "excused",
};

burn_class_t
burn_class (int error, bool late)
{
  if (error == 0)
    return late ? BURN_LATE : BURN_GOOD;
  for (gsize i = 0; i < G_N_ELEMENTS (excused); i++)
    if (excused[i] == error)
      return BURN_EXCUSED;
  return strcmp (error_row (error)->state, "refused") == 0 ? BURN_REFUSED : BURN_FAILED;
}

const char *
burn_class_name (burn_class_t class)
{
  return class_names[class];
}

static void
series_free (void *data)
{
  series_t *series = data;

  g_free (series->plan);
  g_free (series->kind);
  g_array_unref (series->errors);
  g_free (series);
}

static void
source_free (void *data)
{
  burn_source_t *source = data;

  g_hash_table_destroy (source->by_name);
  g_ptr_array_unref (source->series);
  g_free (source->host);
  g_free (source);
}

static burn_source_t *
source_new (const char *host, uint64_t incarnation, bool own, int64_t from_ms)
{
  burn_source_t *source = g_new0 (burn_source_t, 1);

  source->host = g_strdup (host);
  source->incarnation = incarnation;
  source->own = own;
  source->from_ms = from_ms;
  source->as_of_ms = from_ms;
  source->series = g_ptr_array_new_with_free_func (series_free);
  source->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return source;
}

burn_t *
burn_new (const char *host, uint64_t incarnation, int64_t now_ms)
{
  burn_t *burn = g_new0 (burn_t, 1);

  burn->sources = g_ptr_array_new_with_free_func (source_free);
  g_ptr_array_add (burn->sources, source_new (host, incarnation, true, now_ms));
  return burn;
}

void
burn_free (burn_t *burn)
{
  g_ptr_array_unref (burn->sources);
  g_free (burn);
}

static series_t *
series_get (burn_source_t *source, const char *plan, const char *kind)
{
  char *name = g_strdup_printf ("%s\n%s", plan, kind);
  series_t *series = g_hash_table_lookup (source->by_name, name);

  if (series == NULL && source->series->len >= BURN_SERIES_MAX && strcmp (kind, OTHER_KIND) != 0)
    series = series_get (source, plan, OTHER_KIND);
  else if (series == NULL)
    {
      series = g_new0 (series_t, 1);
      series->plan = g_strdup (plan);
      series->kind = g_strdup (kind);
      series->errors = g_array_new (FALSE, FALSE, sizeof (error_entry_t));
      g_ptr_array_add (source->series, series);
      g_hash_table_insert (source->by_name, g_steal_pointer (&name), series);
    }
  g_free (name);
  return series;
}

/* The bucket of MINUTE, or NULL if the ring has gone past it. */
static bucket_t *
bucket_get (series_t *series, int64_t minute)
{
  bucket_t *bucket = &series->ring[minute % BURN_KEPT_MINUTES];

  if (bucket->minute > minute)
    return NULL;
  if (bucket->minute < minute)
    *bucket = (bucket_t){ .minute = (uint32_t) minute };
  return bucket;
}

static error_entry_t *
error_get (series_t *series, int64_t minute, int32_t error)
{
  error_entry_t fresh = { .minute = minute, .error = error };

  for (guint i = series->errors->len; i-- > 0;)
    {
      error_entry_t *entry = &g_array_index (series->errors, error_entry_t, i);
      if (entry->minute == minute && entry->error == error)
        return entry;
    }
  g_array_append_val (series->errors, fresh);
  return &g_array_index (series->errors, error_entry_t, series->errors->len - 1);
}

void
burn_count (burn_t *burn,
            const char *plan,
            const char *kind,
            int error,
            bool late,
            uint32_t tasks,
            int64_t now_ms)
{
  burn_source_t *own = burn_own (burn);
  series_t *series = series_get (own, plan, kind);
  int64_t minute = now_ms / BURN_MINUTE_MS;
  bucket_t *bucket = bucket_get (series, minute);

  if (bucket == NULL)
    return;
  bucket->counts[burn_class (error, late)] += tasks;
  if (error != 0)
    error_get (series, minute, error)->count += tasks;
  own->as_of_ms = MAX (own->as_of_ms, now_ms);
}

burn_source_t *
burn_own (burn_t *burn)
{
  return g_ptr_array_index (burn->sources, 0);
}

burn_source_t *
burn_copy (burn_t *burn, const char *host, uint64_t incarnation, int64_t from_ms, int64_t now_ms)
{
  for (guint i = 0; i < burn->sources->len; i++)
    {
      burn_source_t *source = g_ptr_array_index (burn->sources, i);
      if (source->incarnation == incarnation && strcmp (source->host, host) == 0)
        return source->own ? NULL : source;
    }
  burn_prune (burn, now_ms);
  if (burn->sources->len >= BURN_SOURCES_MAX)
    return NULL;
  burn_source_t *source = source_new (host, incarnation, false, from_ms);
  g_ptr_array_add (burn->sources, source);
  return source;
}

/* A minute that is neither forgotten already nor far ahead of the clock. */
static bool
is_kept (int64_t minute, int64_t now_ms)
{
  int64_t now = now_ms / BURN_MINUTE_MS;

  return minute > now - BURN_KEPT_MINUTES && minute <= now + 1;
}

void
burn_take (burn_source_t *source, const burn_row_t *row, int64_t now_ms)
{
  if (!is_kept (row->minute, now_ms))
    return;
  bucket_t *bucket = bucket_get (series_get (source, row->plan, row->kind), row->minute);
  if (bucket == NULL)
    return;
  for (int c = 0; c < BURN_CLASSES; c++)
    bucket->counts[c] = MAX (bucket->counts[c], row->counts[c]);
}

void
burn_take_error (burn_source_t *source, const burn_error_row_t *row, int64_t now_ms)
{
  if (!is_kept (row->minute, now_ms) || row->error >= 0 || row->error < ERROR_LAST)
    return;
  series_t *series = series_get (source, row->plan, row->kind);
  error_entry_t *entry = error_get (series, row->minute, row->error);
  entry->count = MAX (entry->count, row->count);
}

void
burn_reached (burn_source_t *source, int64_t as_of_ms)
{
  source->as_of_ms = MAX (source->as_of_ms, as_of_ms);
}

burn_source_info_t
burn_source_info (const burn_source_t *source)
{
  return (burn_source_info_t){ .host = source->host,
                               .incarnation = source->incarnation,
                               .own = source->own,
                               .from_ms = source->from_ms,
                               .as_of_ms = source->as_of_ms };
}

void
burn_each_source (burn_t *burn, void (*each) (burn_source_t *source, void *data), void *data)
{
  for (guint i = 0; i < burn->sources->len; i++)
    each (g_ptr_array_index (burn->sources, i), data);
}

static bool
is_empty (const bucket_t *bucket)
{
  for (int c = 0; c < BURN_CLASSES; c++)
    if (bucket->counts[c] > 0)
      return false;
  return true;
}

static void
visit_buckets (const series_t *series, int64_t since, const burn_visitor_t *visitor)
{
  for (int i = 0; i < BURN_KEPT_MINUTES && visitor->row != NULL; i++)
    {
      const bucket_t *bucket = &series->ring[i];
      if (bucket->minute < since || is_empty (bucket))
        continue;
      burn_row_t row = { .plan = series->plan, .kind = series->kind, .minute = bucket->minute };
      memcpy (row.counts, bucket->counts, sizeof row.counts);
      visitor->row (&row, visitor->data);
    }
}

static void
visit_errors (const series_t *series, int64_t since, const burn_visitor_t *visitor)
{
  for (guint i = 0; i < series->errors->len && visitor->error != NULL; i++)
    {
      const error_entry_t *entry = &g_array_index (series->errors, error_entry_t, i);
      burn_error_row_t row = { series->plan, series->kind, entry->minute, entry->error,
                               entry->count };
      if (entry->minute >= since)
        visitor->error (&row, visitor->data);
    }
}

void
burn_visit (const burn_source_t *source, int64_t since, const burn_visitor_t *visitor)
{
  for (guint s = 0; s < source->series->len; s++)
    {
      const series_t *series = g_ptr_array_index (source->series, s);
      visit_buckets (series, since, visitor);
      visit_errors (series, since, visitor);
    }
}

static void
prune_errors (series_t *series, int64_t now_ms)
{
  for (guint i = series->errors->len; i-- > 0;)
    if (!is_kept (g_array_index (series->errors, error_entry_t, i).minute, now_ms))
      g_array_remove_index_fast (series->errors, i);
}

void
burn_prune (burn_t *burn, int64_t now_ms)
{
  for (guint i = burn->sources->len; i-- > 0;)
    {
      burn_source_t *source = g_ptr_array_index (burn->sources, i);
      for (guint s = 0; s < source->series->len; s++)
        prune_errors (g_ptr_array_index (source->series, s), now_ms);
      if (!source->own && !is_kept (source->as_of_ms / BURN_MINUTE_MS, now_ms))
        g_ptr_array_remove_index (burn->sources, i);
    }
}
