/* plan.c -- the faults of a soak as a pure function of its seed
 *
 * Faults come in series: a first one, and others a short while after it, so that they overlap.
 */
#include "tests/soak/plan.h"

#define SERIES_MIN 2
#define SERIES_MAX 4
#define SERIES_FAULTS_MAX 5
#define SERIES_SPREAD_MS 1800
#define LENGTH_MIN_MS 300
#define LENGTH_MAX_MS 4000
#define PLANNED_ONE_OF 3
#define DRAIN_SEED 0x64726e
#define RESTART_SEED 0x727374
#define RESTARTS_FROM_SEED 20000
#define APART_ONE_OF 2

typedef enum
{
  ON_HOST,
  ON_ENDPOINT,
  ON_ZONE,
  ON_ALL
} scope_t;

static const struct
{
  const char *name;
  scope_t scope;
  int32_t weight;
} kinds[PLAN_KINDS] = {
  [PLAN_STOP_HOST] = { "stop host", ON_HOST, 6 },
  [PLAN_HANGUP] = { "hang up host", ON_HOST, 2 },
  [PLAN_SETTINGS] = { "change settings of host", ON_HOST, 2 },
  [PLAN_CONFIG] = { "change configuration", ON_ALL, 4 },
  [PLAN_ENDPOINT_LEAVES] = { "take away endpoint", ON_ENDPOINT, 3 },
  [PLAN_KILL_HOST] = { "kill host", ON_HOST, 6 },
  [PLAN_PAUSE_HOST] = { "pause host", ON_HOST, 6 },
  [PLAN_KILL_ALL] = { "kill all hosts", ON_ALL, 1 },
  [PLAN_CUT_HOST] = { "cut host", ON_HOST, 4 },
  [PLAN_CUT_ONE_WAY] = { "cut host one way", ON_HOST, 4 },
  [PLAN_CUT_ZONE] = { "cut data centre", ON_ZONE, 4 },
  [PLAN_DELAY] = { "delay data centre", ON_ZONE, 3 },
  [PLAN_RESET] = { "reset connections of host", ON_HOST, 4 },
  [PLAN_MUTE] = { "silence connections of host", ON_HOST, 4 },
  [PLAN_CUT_ENDPOINT] = { "cut endpoint", ON_ENDPOINT, 4 },
  [PLAN_CUT_LOG] = { "cut log from host", ON_HOST, 4 },
  [PLAN_SLOW_CALLERS] = { "slow callers of host", ON_HOST, 2 },
  [PLAN_LOG_DOWN] = { "log down", ON_ALL, 2 },
  [PLAN_LOG_SILENT] = { "log silent", ON_ALL, 2 },
  [PLAN_LOG_SLOW] = { "log slow", ON_ALL, 2 },
  [PLAN_LOG_LOSES] = { "log loses answers", ON_ALL, 2 },
  [PLAN_LOG_FORGETS] = { "log forgets history", ON_ALL, 2 },
  [PLAN_LOG_WIPED] = { "log wiped", ON_ALL, 1 },
  [PLAN_ENDPOINT_FAILS] = { "failing endpoint", ON_ENDPOINT, 2 },
  [PLAN_ENDPOINT_HANGS] = { "hanging endpoint", ON_ENDPOINT, 3 },
  [PLAN_ENDPOINT_MUTE] = { "mute endpoint", ON_ENDPOINT, 3 },
  [PLAN_ENDPOINT_LATE] = { "late endpoint", ON_ENDPOINT, 3 },
  [PLAN_ENDPOINT_SLOW] = { "slow endpoint", ON_ENDPOINT, 2 },
  [PLAN_KILL_ENDPOINT] = { "kill endpoint", ON_ENDPOINT, 4 },
  [PLAN_PAUSE_ENDPOINT] = { "pause endpoint", ON_ENDPOINT, 3 },
  [PLAN_DRAIN] = { "drain data centre", ON_ZONE, 0 },
  [PLAN_RESTART_ENDPOINTS] = { "restart endpoints from", ON_ENDPOINT, 0 },
  [PLAN_BREAK_ZONE] = { "cut data centre with resets", ON_ZONE, 0 },
  [PLAN_CALLERS_LEAVE] = { "callers leave", ON_ALL, 0 },
  [PLAN_BREAK_LOG] = { "cut log with resets from host", ON_HOST, 0 },
  [PLAN_KILL_TAKER] = { "kill host that has just taken work", ON_ALL, 0 },
  [PLAN_KILL_OWNER] = { "kill owner", ON_HOST, 0 },
};

const char *
plan_name (plan_kind_t kind)
{
  return kinds[kind].name;
}

bool
plan_is_planned (plan_kind_t kind)
{
  return kind <= PLAN_ENDPOINT_LEAVES;
}

static plan_kind_t
draw_kind (GRand *random, bool planned)
{
  int32_t count = planned ? PLAN_ENDPOINT_LEAVES + 1 : PLAN_KINDS;
  int32_t total = 0;
  int32_t kind = 0;

  for (int32_t i = 0; i < count; i++)
    total += kinds[i].weight;
  int32_t at = g_rand_int_range (random, 0, total);
  while (at >= kinds[kind].weight)
    at -= kinds[kind++].weight;
  return (plan_kind_t) kind;
}

static int32_t
draw_target (GRand *random, plan_kind_t kind, const plan_options_t *options)
{
  const int32_t counts[] = { [ON_HOST] = options->hosts,
                             [ON_ENDPOINT] = options->endpoints,
                             [ON_ZONE] = options->zones,
                             [ON_ALL] = 1 };

  return g_rand_int_range (random, 0, counts[kinds[kind].scope]);
}

/* Adds one fault of KIND, or none. */
static void
add_apart (GArray *plan, uint32_t seed, plan_kind_t kind, const plan_options_t *options)
{
  GRand *random = g_rand_new_with_seed (seed);

  if (g_rand_int_range (random, 0, APART_ONE_OF) == 0)
    {
      plan_fault_t fault = { .number = (int32_t) plan->len, .kind = kind };
      fault.target = draw_target (random, kind, options);
      fault.at_ms = g_rand_int_range (random, 0, (gint32) options->length_ms);
      fault.until_ms = fault.at_ms + g_rand_int_range (random, LENGTH_MIN_MS, LENGTH_MAX_MS);
      g_array_append_val (plan, fault);
    }
  g_rand_free (random);
}

static gint
compare (gconstpointer a, gconstpointer b)
{
  const plan_fault_t *x = a;
  const plan_fault_t *y = b;

  return x->at_ms != y->at_ms ? (x->at_ms > y->at_ms ? 1 : -1) : x->number - y->number;
}

GArray *
plan_new (uint32_t seed, const plan_options_t *options)
{
  GRand *random = g_rand_new_with_seed (seed);
  GArray *plan = g_array_new (FALSE, FALSE, sizeof (plan_fault_t));
  bool planned = seed % PLANNED_ONE_OF == 0;
  int32_t series = g_rand_int_range (random, SERIES_MIN, SERIES_MAX + 1);

  for (int32_t i = 0; i < series; i++)
    {
      int64_t at_ms = g_rand_int_range (random, 0, (gint32) options->length_ms);
      int32_t faults = g_rand_int_range (random, 1, SERIES_FAULTS_MAX + 1);
      for (int32_t k = 0; k < faults; k++)
        {
          plan_fault_t fault = { .number = (int32_t) plan->len };
          fault.kind = draw_kind (random, planned);
          fault.target = draw_target (random, fault.kind, options);
          fault.at_ms = at_ms;
          fault.until_ms = at_ms + g_rand_int_range (random, LENGTH_MIN_MS, LENGTH_MAX_MS);
          g_array_append_val (plan, fault);
          at_ms += g_rand_int_range (random, 0, SERIES_SPREAD_MS);
        }
    }
  g_array_sort (plan, compare);
  for (guint i = 0; i < plan->len; i++)
    g_array_index (plan, plan_fault_t, i).number = (int32_t) i;
  if (!planned)
    {
      add_apart (plan, seed ^ DRAIN_SEED, PLAN_DRAIN, options);
      if (seed >= RESTARTS_FROM_SEED)
        add_apart (plan, seed ^ RESTART_SEED, PLAN_RESTART_ENDPOINTS, options);
      g_array_sort (plan, compare);
    }
  g_rand_free (random);
  return plan;
}

char *
plan_text (const GArray *plan)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < plan->len; i++)
    {
      const plan_fault_t *fault = &g_array_index (plan, plan_fault_t, i);
      g_string_append_printf (text,
                              "  %2d: %5" G_GINT64_FORMAT " to %5" G_GINT64_FORMAT " ms: %s %d\n",
                              (int) fault->number, fault->at_ms, fault->until_ms,
                              plan_name (fault->kind), (int) fault->target);
    }
  return g_string_free (text, FALSE);
}
