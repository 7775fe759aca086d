/* test_quota_random.c -- random faults, with the naive counter as the truth
 *
 * Hosts are killed, replaced, frozen and cut off; data centres are cut one way
 * and both ways; messages are lost, doubled, delayed and overtake each other;
 * limits are lowered and raised.  Tasks run on when their host dies.  After
 * each start the naive counter must be at most what was in force.  With any
 * one safety rule off, the same test must find a violation.
 *
 * SHARE_CASE=number runs one case alone, SHARE_SEED=number with another seed.
 *
 * A view is learned within VIEW_DELAY_MS of its place in the log by every host
 * that runs; this is the bound that QUOTA_VIEW_WAIT_MS stands for.
 */
#include "test_quota_sim.h"

#include <stdlib.h>

#define VIEW_DELAY_MS 1000
#define LIMIT_DELAY_MS 500
#define STEPS 400000
#define STEPS_UNSAFE 3000000
#define FREEZE_MAX_MS 6000
#define CUT_MAX_MS 8000

typedef struct
{
  const char *what;
  int centres;
  int hosts;
  quota_rules_t rules;
  uint32_t seed;
  bool safe;
} random_case_t;

static const random_case_t cases[] = {
  { "2 data centres of 3 hosts", 2, 3, { true, true, true, true }, 101, true },
  { "1 data centre of 5 hosts", 1, 5, { true, true, true, true }, 102, true },
  { "3 data centres of 2 hosts", 3, 2, { true, true, true, true }, 103, true },
  { "no deadline check", 1, 4, { false, true, true, true }, 104, false },
  { "successor does not wait", 1, 4, { true, false, true, true }, 105, false },
  { "units in use not counted", 1, 4, { true, true, false, true }, 106, false },
  { "messages not numbered", 2, 3, { true, true, true, false }, 107, false },
};

/* What heals at which time. */
typedef struct
{
  int64_t cut_ms[SIM_CENTRES_MAX][SIM_CENTRES_MAX];
  int64_t apart_ms[SIM_HOSTS_MAX];
  int64_t restart_ms[SIM_HOSTS_MAX];
  int64_t leave_ms[SIM_HOSTS_MAX];
  int64_t replace_ms[SIM_HOSTS_MAX]; /* a restarted process takes its predecessor's place */
} repair_t;

static int
draw (sim_t *sim, int low, int high)
{
  return g_rand_int_range (sim->rand, low, high);
}

static void
heal (sim_t *sim, repair_t *repair)
{
  for (int i = 0; i < sim->centres; i++)
    for (int k = 0; k < sim->centres; k++)
      if (sim->cut[i][k] && sim->now_ms >= repair->cut_ms[i][k])
        sim->cut[i][k] = false;
  for (int i = 0; i < sim->host_count; i++)
    {
      sim_host_t *host = &sim->hosts[i];
      if (sim->apart[i] && sim->now_ms >= repair->apart_ms[i])
        sim->apart[i] = false;
      if (!host->alive && sim->now_ms >= repair->restart_ms[i])
        {
          sim_start_host (sim, i);
          repair->replace_ms[i] = sim->now_ms + draw (sim, 0, 1500);
        }
      if (host->alive && sim->member[i] && repair->replace_ms[i] != 0
          && sim->now_ms >= repair->replace_ms[i])
        {
          repair->replace_ms[i] = 0;
          sim_change_view (sim, host->centre, VIEW_DELAY_MS);
        }
      if (!host->alive && sim->member[i] && sim->now_ms >= repair->leave_ms[i])
        {
          sim->member[i] = false;
          sim_change_view (sim, host->centre, VIEW_DELAY_MS);
        }
      else if (host->alive && !sim->member[i] && sim->now_ms >= repair->restart_ms[i] + 500)
        {
          sim->member[i] = true;
          repair->replace_ms[i] = 0;
          sim_change_view (sim, host->centre, VIEW_DELAY_MS);
        }
    }
}

static int
count_alive (const sim_t *sim, int centre)
{
  int count = 0;

  for (int i = 0; i < sim->host_count; i++)
    count += sim->hosts[i].centre == centre && sim->hosts[i].alive;
  return count;
}

static void
break_host (sim_t *sim, repair_t *repair)
{
  int i = draw (sim, 0, sim->host_count);
  sim_host_t *host = &sim->hosts[i];

  if (!host->alive || host->frozen_until_ms != 0)
    return;
  switch (draw (sim, 0, 4))
    {
    case 0:
      if (count_alive (sim, host->centre) < 2)
        return;
      sim_kill_host (sim, i);
      repair->restart_ms[i] = sim->now_ms + draw (sim, 0, 5000);
      repair->leave_ms[i] = sim->now_ms + draw (sim, 100, 3000);
      break;
    case 1:
      sim->apart[i] = true;
      repair->apart_ms[i] = sim->now_ms + draw (sim, 0, CUT_MAX_MS);
      break;
    default:
      host->frozen_until_ms = sim->now_ms + draw (sim, 1, FREEZE_MAX_MS);
      break;
    }
}

static void
break_network (sim_t *sim, repair_t *repair)
{
  int from = draw (sim, 0, sim->centres);
  int to = draw (sim, 0, sim->centres);
  bool both = draw (sim, 0, 2) == 0;

  sim->loss = draw (sim, 0, 4) == 0 ? draw (sim, 0, 30) / 100.0 : 0.0;
  sim->doubling = draw (sim, 0, 3) == 0 ? 0.2 : 0.0;
  sim->delay_max_ms = draw (sim, 0, 4) == 0 ? draw (sim, 1, 400) : draw (sim, 0, 5);
  if (from == to)
    return;
  sim->cut[from][to] = true;
  sim->cut[to][from] |= both;
  repair->cut_ms[from][to] = sim->now_ms + draw (sim, 0, CUT_MAX_MS);
  repair->cut_ms[to][from] = repair->cut_ms[from][to];
}

static void
change_limit (sim_t *sim)
{
  int limit = draw (sim, 0, sim->limit_count);

  sim_set_limit (sim, limit, draw (sim, 0, 13), LIMIT_DELAY_MS);
}

static void
use_limits (sim_t *sim)
{
  int host = draw (sim, 0, sim->host_count);
  int limit = draw (sim, 0, sim->limit_count);
  int tries = draw (sim, 1, 12);

  if (!sim->hosts[host].alive || sim->hosts[host].frozen_until_ms != 0)
    return;
  if (sim->limits[limit].centre >= 0 && sim->limits[limit].centre != sim->hosts[host].centre)
    return;
  if (sim->hosts[host].revision[limit] == 0)
    return; /* not ready: it has no configuration */
  quota_set_demand (sim->hosts[host].quota, sim->limits[limit].name, tries);
  bool takes = true;
  for (int i = 0; i < tries && takes; i++)
    {
      int64_t use_ms = draw (sim, 0, 50) == 0 ? draw (sim, 10, 7000) : draw (sim, 10, 3000);
      takes =
          sim_take (sim, host, limit, use_ms, draw (sim, 0, 3) == 0 ? use_ms : draw (sim, 1, 400));
    }
  if (takes)
    return;
  quota_event_t ask = { .kind = QUOTA_EVENT_REQUEST };
  sim_host_step (sim, host, &ask);
}

static void
run_case (const random_case_t *c)
{
  const char *other_seed = g_getenv ("SHARE_SEED");
  uint32_t seed = other_seed != NULL ? (uint32_t) strtoul (other_seed, NULL, 10) : c->seed;
  sim_t *sim = sim_new (c->centres, c->hosts, &c->rules, seed);
  repair_t repair = { 0 };
  int64_t steps = 0;
  int64_t goal = c->safe ? STEPS : STEPS_UNSAFE;

  sim_add_limit (sim, "running/gold", -1, 12);
  sim_add_limit (sim, "running/tiny", -1, 2);
  sim_add_limit (sim, "starts/gold", -1, 9);
  for (int i = 0; i < c->centres; i++)
    {
      char *name = g_strdup_printf ("slots/e%d", i);
      sim_add_limit (sim, name, i, 8);
      g_free (name);
    }
  sim_run (sim, sim->now_ms + 100);
  while (steps < goal && (c->safe || sim->violations == 0))
    {
      steps++;
      sim_run (sim, sim->now_ms + draw (sim, 0, 6));
      heal (sim, &repair);
      int what = draw (sim, 0, 2000);
      if (what < 1)
        break_host (sim, &repair);
      else if (what < 2)
        break_network (sim, &repair);
      else if (what < 3)
        change_limit (sim);
      else
        use_limits (sim);
    }
  printf (
      "\n  %s, seed %u: %ld steps, %ld s simulated, %ld units taken, %ld violations, most in use",
      c->what, seed, (long) steps, (long) (sim->now_ms / 1000), (long) sim->takes,
      (long) sim->violations);
  for (int i = 0; i < sim->limit_count; i++)
    printf (" %ld", (long) sim->limits[i].most);
  if (c->safe)
    CU_ASSERT_EQUAL (sim->violations, 0);
  if (!c->safe)
    CU_ASSERT (sim->violations > 0);
  CU_ASSERT (sim->takes > 1000 || !c->safe);
  sim_free (sim);
}

static void
test_random (void)
{
  const char *only = g_getenv ("SHARE_CASE");

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (only == NULL || (size_t) atoi (only) == i)
      run_case (&cases[i]);
  printf ("\n");
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("share_random", NULL, NULL);
  CU_add_test (suite, "never over the limit", test_random);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  int failed = (int) CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed != 0;
}
