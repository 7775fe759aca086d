/* test_dispatch_fake.h -- limits in memory, shared by the tests of lib/dispatch */
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
  dispatch_limits_t base; /* first */
  GHashTable *rows[3];    /* by dispatch_limit_t: name -> fake_limit_t */
} fake_limits_t;

static fake_limit_t *
fake_find (fake_limits_t *limits, dispatch_limit_t limit, const char *name)
{
  return g_hash_table_lookup (limits->rows[limit], name);
}

static int
fake_take (dispatch_limits_t *base,
           dispatch_limit_t limit,
           const char *name,
           int32_t units,
           int64_t ends_at_ms,
           int64_t now_ms)
{
  (void) ends_at_ms;
  (void) now_ms;
  fake_limit_t *row = fake_find ((fake_limits_t *) base, limit, name);

  if (row == NULL)
    return 0;
  if (row->used + units > row->max)
    return ERROR_FULL;
  row->used += units;
  return 0;
}

static void
fake_give (dispatch_limits_t *base,
           dispatch_limit_t limit,
           const char *name,
           int32_t units,
           int64_t ends_at_ms,
           int64_t now_ms)
{
  (void) ends_at_ms;
  (void) now_ms;
  fake_limit_t *row = fake_find ((fake_limits_t *) base, limit, name);

  if (row != NULL)
    row->used -= units;
}

static int32_t
fake_left (dispatch_limits_t *base, dispatch_limit_t limit, const char *name, int64_t now_ms)
{
  (void) now_ms;
  const fake_limit_t *row = fake_find ((fake_limits_t *) base, limit, name);

  return row == NULL ? INT32_MAX : row->max - row->used;
}

static const dispatch_limits_ops_t fake_ops = { fake_take, fake_give, fake_left };

static fake_limits_t *
fake_new (void)
{
  fake_limits_t *limits = g_new0 (fake_limits_t, 1);

  limits->base.ops = &fake_ops;
  for (gsize i = 0; i < G_N_ELEMENTS (limits->rows); i++)
    limits->rows[i] = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return limits;
}

static void
fake_free (fake_limits_t *limits)
{
  for (gsize i = 0; i < G_N_ELEMENTS (limits->rows); i++)
    g_hash_table_destroy (limits->rows[i]);
  g_free (limits);
}

static void
fake_set (fake_limits_t *limits, dispatch_limit_t limit, const char *name, int32_t max)
{
  fake_limit_t *row = fake_find (limits, limit, name);

  if (row == NULL)
    {
      row = g_new0 (fake_limit_t, 1);
      g_hash_table_insert (limits->rows[limit], g_strdup (name), row);
    }
  row->max = max;
}

#endif
