/* test_dispatch_fake.h -- in-memory limits (dispatch_limits_t) for the tests of lib/dispatch */
#ifndef TESTS_TEST_DISPATCH_FAKE_H
#define TESTS_TEST_DISPATCH_FAKE_H

#include "base/error.h"
#include "dispatch/dispatch.h"

typedef struct
{
  int32_t max;
  int32_t used;
} fake_limit_t;

typedef struct
{
  dispatch_limits_t base; /* must be first: it is cast to fake_limits_t */
  GHashTable *by_name[3]; /* by dispatch_limit_t: name -> fake_limit_t */
} fake_limits_t;

static fake_limit_t *
fake_find (fake_limits_t *limits, dispatch_limit_t limit, const char *name)
{
  return g_hash_table_lookup (limits->by_name[limit], name);
}

static int
fake_acquire (dispatch_limits_t *base,
              dispatch_limit_t limit,
              const char *name,
              int32_t units,
              int64_t ends_at_ms,
              int64_t now_ms)
{
  (void) ends_at_ms;
  (void) now_ms;
  fake_limit_t *entry = fake_find ((fake_limits_t *) base, limit, name);

  if (entry == NULL)
    return 0;
  if (entry->used + units > entry->max)
    return ERROR_FULL;
  entry->used += units;
  return 0;
}

static void
fake_release (dispatch_limits_t *base,
              dispatch_limit_t limit,
              const char *name,
              int32_t units,
              int64_t ends_at_ms,
              int64_t now_ms)
{
  (void) ends_at_ms;
  (void) now_ms;
  fake_limit_t *entry = fake_find ((fake_limits_t *) base, limit, name);

  if (entry != NULL)
    entry->used -= units;
}

static int32_t
fake_available (dispatch_limits_t *base, dispatch_limit_t limit, const char *name, int64_t now_ms)
{
  (void) now_ms;
  const fake_limit_t *entry = fake_find ((fake_limits_t *) base, limit, name);

  return entry == NULL ? INT32_MAX : entry->max - entry->used;
}

static const dispatch_limits_ops_t fake_ops = { fake_acquire, fake_release, fake_available };

static fake_limits_t *
fake_new (void)
{
  fake_limits_t *limits = g_new0 (fake_limits_t, 1);

  limits->base.ops = &fake_ops;
  for (gsize i = 0; i < G_N_ELEMENTS (limits->by_name); i++)
    limits->by_name[i] = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return limits;
}

static void
fake_free (fake_limits_t *limits)
{
  for (gsize i = 0; i < G_N_ELEMENTS (limits->by_name); i++)
    g_hash_table_destroy (limits->by_name[i]);
  g_free (limits);
}

static void
fake_set (fake_limits_t *limits, dispatch_limit_t limit, const char *name, int32_t max)
{
  fake_limit_t *entry = fake_find (limits, limit, name);

  if (entry == NULL)
    {
      entry = g_new0 (fake_limit_t, 1);
      g_hash_table_insert (limits->by_name[limit], g_strdup (name), entry);
    }
  entry->max = max;
}

#endif
