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
  int32_t targets; /* in series, one after the other; HOSTS_PERCENT: of all hosts */
  int32_t apart_ms;
} day_row_t;

#define HOSTS_PERCENT(percent) (-(percent))
/* As many as the sites cut off, one by one or from the log. */
#define A_THIRD HOSTS_PERCENT (35)
#define ALL_HOSTS HOSTS_PERCENT (100)

static const day_row_t mixed_rows[] = {
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

/* Hosts are back before the leases of their predecessors have lapsed. */
static const day_row_t short_kills_rows[] = {
  { PLAN_KILL_ALL, 100, 8, 10, 300, 450, 1, 0 },  { PLAN_KILL_ALL, 100, 20, 22, 300, 450, 1, 0 },
  { PLAN_KILL_ALL, 100, 32, 34, 300, 450, 1, 0 }, { PLAN_KILL_ALL, 100, 44, 46, 300, 450, 1, 0 },
  { PLAN_KILL_ALL, 100, 56, 58, 300, 450, 1, 0 }, { PLAN_KILL_ALL, 100, 68, 70, 300, 450, 1, 0 },
  { PLAN_KILL_ALL, 100, 80, 82, 300, 450, 1, 0 }, { PLAN_KILL_ALL, 100, 92, 94, 300, 450, 1, 0 },
};

/* All hosts lose power; kills and starts are spread, as on real machines. */
static const day_row_t spread_kills_rows[] = {
  { PLAN_KILL_HOST, 100, 8, 12, 980, 1000, ALL_HOSTS, 3 },
  { PLAN_KILL_HOST, 100, 24, 28, 980, 1000, ALL_HOSTS, 10 },
  { PLAN_KILL_HOST, 100, 40, 44, 980, 1000, ALL_HOSTS, 10 },
  { PLAN_KILL_HOST, 100, 56, 60, 980, 1000, ALL_HOSTS, 20 },
  { PLAN_KILL_HOST, 100, 72, 76, 980, 1000, ALL_HOSTS, 20 },
  { PLAN_KILL_HOST, 100, 88, 92, 980, 1000, ALL_HOSTS, 10 },
  { PLAN_CALLERS_LEAVE, 60, 5, 80, 4000, 6000, 1, 0 },
};

static const day_row_t cuts_one_by_one_rows[] = {
  { PLAN_CUT_HOST, 100, 8, 10, 11500, 12000, A_THIRD, 0 },
  { PLAN_CUT_HOST, 100, 40, 42, 11500, 12000, A_THIRD, 0 },
  { PLAN_CUT_HOST, 100, 72, 74, 11500, 12000, A_THIRD, 0 },
  { PLAN_CALLERS_LEAVE, 100, 13, 15, 5300, 6000, 1, 0 },
  { PLAN_CALLERS_LEAVE, 100, 45, 47, 5300, 6000, 1, 0 },
  { PLAN_CALLERS_LEAVE, 100, 77, 79, 5300, 6000, 1, 0 },
};

/* For a day of 60 s, in which 30 hosts are stopped. */
static const day_row_t stops_in_turn_rows[] = {
  { PLAN_STOP_HOST, 100, 1, 2, 1000, 1500, ALL_HOSTS, 2000 },
  { PLAN_LOG_DOWN, 100, 50, 52, 4600, 4600, 1, 0 },
  { PLAN_CUT_ZONE, 100, 54, 60, 5900, 6400, 1, 0 },
  { PLAN_KILL_ALL, 100, 97, 98, 1000, 1000, 1, 0 },
};

static const day_row_t log_turns_away_rows[] = {
  { PLAN_BREAK_LOG, 100, 6, 10, 9000, 9000, A_THIRD, 0 },
  { PLAN_BREAK_LOG, 100, 42, 44, 7000, 7000, 1, 0 },
  { PLAN_CUT_ZONE, 100, 78, 82, 5900, 6000, 1, 0 },
  { PLAN_KILL_ALL, 100, 95, 97, 980, 1000, 1, 0 },
};

/* The log is down and callers leave while hosts are lost that have just accepted jobs. */
static const day_row_t lost_after_accepting_rows[] = {
  { PLAN_CALLERS_LEAVE, 100, 40, 42, 6000, 6000, 1, 0 },
  { PLAN_LOG_DOWN, 100, 42, 43, 4200, 4200, 1, 0 },
  { PLAN_KILL_HOST, 100, 43, 45, 2000, 2000, 3, 1100 },
  { PLAN_CUT_ZONE, 100, 78, 82, 5300, 5300, 1, 0 },
  { PLAN_KILL_ALL, 100, 95, 97, 1000, 1000, 1, 0 },
};

/* As lost-after-accepting, three times, with the hosts that do most as targets. */
static const day_row_t takers_and_owners_rows[] = {
  { PLAN_CALLERS_LEAVE, 100, 6, 8, 6000, 6000, 1, 0 },
  { PLAN_LOG_DOWN, 100, 8, 9, 4200, 4200, 1, 0 },
  { PLAN_KILL_TAKER, 100, 9, 11, 2000, 2000, 3, 1100 },
  { PLAN_CALLERS_LEAVE, 100, 32, 34, 6000, 6000, 1, 0 },
  { PLAN_LOG_DOWN, 100, 34, 35, 4200, 4200, 1, 0 },
  { PLAN_KILL_OWNER, 100, 35, 37, 2000, 2000, 3, 1100 },
  { PLAN_CALLERS_LEAVE, 100, 58, 60, 6000, 6000, 1, 0 },
  { PLAN_LOG_DOWN, 100, 60, 61, 4200, 4200, 1, 0 },
  { PLAN_KILL_TAKER, 100, 61, 63, 2000, 2000, 3, 1100 },
  { PLAN_KILL_OWNER, 100, 62, 64, 2000, 2000, 2, 1300 },
  { PLAN_CUT_ZONE, 100, 80, 82, 5300, 5300, 1, 0 },
  { PLAN_KILL_ALL, 100, 95, 97, 1000, 1000, 1, 0 },
};

/* A data centre is cut off while a third of the hosts are being stopped, for a day of 60 s. */
static const day_row_t stops_in_cuts_rows[] = {
  { PLAN_STOP_HOST, 100, 14, 16, 1000, 1500, A_THIRD, 650 },
  { PLAN_CUT_ZONE, 100, 21, 23, 5800, 6000, 1, 0 },
  { PLAN_STOP_HOST, 100, 44, 46, 1000, 1500, A_THIRD, 650 },
  { PLAN_BREAK_ZONE, 100, 51, 53, 5800, 6000, 1, 0 },
  { PLAN_STOP_HOST, 100, 74, 76, 1000, 1500, A_THIRD, 650 },
  { PLAN_CUT_ZONE, 100, 81, 83, 5800, 6000, 1, 0 },
  { PLAN_CALLERS_LEAVE, 100, 21, 23, 5000, 6000, 1, 0 },
  { PLAN_CALLERS_LEAVE, 100, 51, 53, 5000, 6000, 1, 0 },
  { PLAN_CALLERS_LEAVE, 100, 81, 83, 5000, 6000, 1, 0 },
};

typedef struct
{
  const char *name;
  const day_row_t *rows;
  size_t count;
  bool even; /* all hosts are as likely, and none is drawn twice in one row */
} day_t;

#define ROWS(rows) rows, G_N_ELEMENTS (rows)

static const day_t days[] = {
  { DAY_DEFAULT, ROWS (mixed_rows), false },
  { "short-kills", ROWS (short_kills_rows), true },
  { "spread-kills", ROWS (spread_kills_rows), true },
  { "cuts-one-by-one", ROWS (cuts_one_by_one_rows), true },
  { "stops-in-turn", ROWS (stops_in_turn_rows), true },
  { "stops-in-cuts", ROWS (stops_in_cuts_rows), true },
  { "log-turns-away", ROWS (log_turns_away_rows), true },
  { "lost-after-accepting", ROWS (lost_after_accepting_rows), true },
  { "takers-and-owners", ROWS (takers_and_owners_rows), true },
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
draw_target (GRand *random, plan_kind_t kind, bool even, const plan_options_t *options)
{
  switch (kind)
    {
    case PLAN_KILL_HOST:
    case PLAN_PAUSE_HOST:
    case PLAN_STOP_HOST:
    case PLAN_CUT_HOST:
    case PLAN_BREAK_LOG:
    case PLAN_KILL_OWNER:
      return even ? g_rand_int_range (random, 0, options->hosts) : draw_host (random, options);
    default:
      return g_rand_int_range (random, 0, targets_of (kind, options));
    }
}

static int32_t
count_targets (const day_row_t *row, int32_t hosts)
{
  return row->targets < 0 ? hosts * -row->targets / 100 : row->targets;
}

static bool
is_among (const GArray *faults, guint first, int32_t target)
{
  for (guint i = first; i < faults->len; i++)
    if (g_array_index (faults, plan_fault_t, i).target == target)
      return true;
  return false;
}

static void
add_row (GArray *faults,
         GRand *random,
         const day_row_t *row,
         bool even,
         const plan_options_t *options)
{
  int64_t from_ms = options->length_ms * row->from_percent / 100;
  int64_t until_ms = options->length_ms * row->until_percent / 100;
  int64_t at_ms = g_rand_int_range (random, (gint32) from_ms, (gint32) until_ms);
  int32_t count = count_targets (row, options->hosts);
  guint first = faults->len;

  for (int32_t i = 0; i < count; i++)
    {
      plan_fault_t fault = { .kind = row->kind, .at_ms = at_ms + i * row->apart_ms };
      do
        fault.target = draw_target (random, row->kind, even, options);
      while (even && row->kind != PLAN_KILL_TAKER && is_among (faults, first, fault.target));
      fault.until_ms = fault.at_ms + g_rand_int_range (random, row->least_ms, row->most_ms + 1);
      g_array_append_val (faults, fault);
    }
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  const plan_fault_t *x = a;
  const plan_fault_t *y = b;

  return x->at_ms > y->at_ms ? 1 : x->at_ms < y->at_ms ? -1 : 0;
}

static const day_t *
find_day (const char *name)
{
  for (gsize i = 0; i < G_N_ELEMENTS (days); i++)
    if (g_str_equal (days[i].name, name))
      return &days[i];
  return NULL;
}

bool
day_exists (const char *name)
{
  return find_day (name) != NULL;
}

char *
day_names (void)
{
  GString *names = g_string_new (NULL);

  for (gsize i = 0; i < G_N_ELEMENTS (days); i++)
    g_string_append_printf (names, "%s%s", i > 0 ? ", " : "", days[i].name);
  return g_string_free (names, FALSE);
}

GArray *
day_new (const char *name, uint32_t seed, const plan_options_t *options)
{
  const day_t *day = find_day (name);
  GRand *random = g_rand_new_with_seed (seed);
  GArray *faults = g_array_new (FALSE, FALSE, sizeof (plan_fault_t));

  for (gsize i = 0; i < day->count; i++)
    if (g_rand_int_range (random, 0, 100) < day->rows[i].percent)
      add_row (faults, random, &day->rows[i], day->even, options);
  g_array_sort (faults, compare);
  for (guint i = 0; i < faults->len; i++)
    g_array_index (faults, plan_fault_t, i).number = (int32_t) i;
  g_rand_free (random);
  return faults;
}
