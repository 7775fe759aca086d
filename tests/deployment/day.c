/* day.c -- the faults of a deployment's day as a pure function of its seed */
#include "tests/deployment/day.h"

/* Each row is drawn with PERCENT, and begins between two shares of the day. */
typedef struct
{
  plan_kind_t kind;
  int32_t percent;
  int32_t from_percent;
  int32_t until_percent;
  int32_t least_ms; /* how long it lasts */
  int32_t most_ms;
  int32_t targets; /* in series, one after the other */
  int32_t apart_ms;
} day_row_t;

static const day_row_t rows[] = {
  { PLAN_CUT_ZONE, 50, 25, 60, 5000, 6000, 1, 0 },
  { PLAN_BREAK_ZONE, 50, 25, 60, 5000, 6000, 1, 0 },
  { PLAN_LOG_DOWN, 50, 5, 80, 3000, 5000, 1, 0 },
  { PLAN_LOG_SILENT, 20, 5, 80, 3000, 5000, 1, 0 },
  { PLAN_KILL_HOST, 50, 5, 80, 500, 2000, 3, 300 },
  { PLAN_PAUSE_HOST, 50, 5, 80, 500, 3000, 3, 300 },
  { PLAN_STOP_HOST, 40, 5, 80, 1000, 2000, 8, 1300 },
  { PLAN_CUT_HOST, 50, 5, 80, 2000, 5000, 3, 500 },
  { PLAN_KILL_ENDPOINT, 40, 5, 80, 2000, 5000, 1, 0 },
  { PLAN_CUT_ENDPOINT, 40, 5, 80, 2000, 5000, 4, 100 },
  { PLAN_ENDPOINT_LATE, 20, 5, 80, 2000, 5000, 1, 0 },
  { PLAN_CALLERS_LEAVE, 60, 5, 80, 4000, 6000, 1, 0 },
  { PLAN_KILL_ALL, 60, 85, 95, 300, 1000, 1, 0 },
};

/* Owners and hubs are among the first two hosts of each data centre. */
#define STRONG_IN_ZONE 2

/* A host; every other time one that has more to do than the others. */
static int32_t
draw_host (GRand *random, const plan_options_t *options)
{
  int32_t strong = MIN (STRONG_IN_ZONE * options->zones, options->hosts);

  return g_rand_int_range (random, 0, g_rand_boolean (random) ? strong : options->hosts);
}

static int32_t
targets_of (plan_kind_t kind, const plan_options_t *options)
{
  switch (kind)
    {
    case PLAN_CUT_ZONE:
    case PLAN_BREAK_ZONE:
      return options->zones;
    case PLAN_KILL_ENDPOINT:
    case PLAN_CUT_ENDPOINT:
    case PLAN_ENDPOINT_LATE:
      return options->endpoints;
    default:
      return 1;
    }
}

static int32_t
draw_target (GRand *random, plan_kind_t kind, const plan_options_t *options)
{
  switch (kind)
    {
    case PLAN_KILL_HOST:
    case PLAN_PAUSE_HOST:
    case PLAN_STOP_HOST:
    case PLAN_CUT_HOST:
      return draw_host (random, options);
    default:
      return g_rand_int_range (random, 0, targets_of (kind, options));
    }
}

static void
add_row (GArray *day, GRand *random, const day_row_t *row, const plan_options_t *options)
{
  int64_t from_ms = options->length_ms * row->from_percent / 100;
  int64_t until_ms = options->length_ms * row->until_percent / 100;
  int64_t at_ms = g_rand_int_range (random, (gint32) from_ms, (gint32) until_ms);

  for (int32_t i = 0; i < row->targets; i++)
    {
      plan_fault_t fault = { .kind = row->kind, .at_ms = at_ms + i * row->apart_ms };
      fault.target = draw_target (random, row->kind, options);
      fault.until_ms = fault.at_ms + g_rand_int_range (random, row->least_ms, row->most_ms + 1);
      g_array_append_val (day, fault);
    }
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  const plan_fault_t *x = a;
  const plan_fault_t *y = b;

  return x->at_ms > y->at_ms ? 1 : x->at_ms < y->at_ms ? -1 : 0;
}

GArray *
day_new (uint32_t seed, const plan_options_t *options)
{
  GRand *random = g_rand_new_with_seed (seed);
  GArray *day = g_array_new (FALSE, FALSE, sizeof (plan_fault_t));

  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    if (g_rand_int_range (random, 0, 100) < rows[i].percent)
      add_row (day, random, &rows[i], options);
  g_array_sort (day, compare);
  for (guint i = 0; i < day->len; i++)
    g_array_index (day, plan_fault_t, i).number = (int32_t) i;
  g_rand_free (random);
  return day;
}
