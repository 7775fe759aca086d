/* test_share_random.c -- random faults, with the naive counter as the truth
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
 * that runs; this is the bound that SHARE_VIEW_WAIT_MS stands for.
 */
#include "test_share_world.h"

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
  share_rules_t rules;
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
  int64_t cut_ms[WORLD_CENTRES_MAX][WORLD_CENTRES_MAX];
  int64_t apart_ms[WORLD_HOSTS_MAX];
  int64_t restart_ms[WORLD_HOSTS_MAX];
  int64_t leave_ms[WORLD_HOSTS_MAX];
  int64_t replace_ms[WORLD_HOSTS_MAX]; /* a restarted process takes its predecessor's place */
} repair_t;

static int
draw (world_t *world, int low, int high)
{
  return g_rand_int_range (world->rand, low, high);
}

static void
heal (world_t *world, repair_t *repair)
{
  for (int i = 0; i < world->centres; i++)
    for (int k = 0; k < world->centres; k++)
      if (world->cut[i][k] && world->now_ms >= repair->cut_ms[i][k])
        world->cut[i][k] = false;
  for (int i = 0; i < world->host_count; i++)
    {
      world_host_t *host = &world->hosts[i];
      if (world->apart[i] && world->now_ms >= repair->apart_ms[i])
        world->apart[i] = false;
      if (!host->alive && world->now_ms >= repair->restart_ms[i])
        {
          world_start_host (world, i);
          repair->replace_ms[i] = world->now_ms + draw (world, 0, 1500);
        }
      if (host->alive && world->member[i] && repair->replace_ms[i] != 0
          && world->now_ms >= repair->replace_ms[i])
        {
          repair->replace_ms[i] = 0;
          world_change_view (world, host->centre, VIEW_DELAY_MS);
        }
      if (!host->alive && world->member[i] && world->now_ms >= repair->leave_ms[i])
        {
          world->member[i] = false;
          world_change_view (world, host->centre, VIEW_DELAY_MS);
        }
      else if (host->alive && !world->member[i] && world->now_ms >= repair->restart_ms[i] + 500)
        {
          world->member[i] = true;
          repair->replace_ms[i] = 0;
          world_change_view (world, host->centre, VIEW_DELAY_MS);
        }
    }
}

static int
count_alive (const world_t *world, int centre)
{
  int count = 0;

  for (int i = 0; i < world->host_count; i++)
    count += world->hosts[i].centre == centre && world->hosts[i].alive;
  return count;
}

static void
break_host (world_t *world, repair_t *repair)
{
  int i = draw (world, 0, world->host_count);
  world_host_t *host = &world->hosts[i];

  if (!host->alive || host->frozen_until_ms != 0)
    return;
  switch (draw (world, 0, 4))
    {
    case 0:
      if (count_alive (world, host->centre) < 2)
        return;
      world_kill_host (world, i);
      repair->restart_ms[i] = world->now_ms + draw (world, 0, 5000);
      repair->leave_ms[i] = world->now_ms + draw (world, 100, 3000);
      break;
    case 1:
      world->apart[i] = true;
      repair->apart_ms[i] = world->now_ms + draw (world, 0, CUT_MAX_MS);
      break;
    default:
      host->frozen_until_ms = world->now_ms + draw (world, 1, FREEZE_MAX_MS);
      break;
    }
}

static void
break_network (world_t *world, repair_t *repair)
{
  int from = draw (world, 0, world->centres);
  int to = draw (world, 0, world->centres);
  bool both = draw (world, 0, 2) == 0;

  world->loss = draw (world, 0, 4) == 0 ? draw (world, 0, 30) / 100.0 : 0.0;
  world->doubling = draw (world, 0, 3) == 0 ? 0.2 : 0.0;
  world->delay_max_ms = draw (world, 0, 4) == 0 ? draw (world, 1, 400) : draw (world, 0, 5);
  if (from == to)
    return;
  world->cut[from][to] = true;
  world->cut[to][from] |= both;
  repair->cut_ms[from][to] = world->now_ms + draw (world, 0, CUT_MAX_MS);
  repair->cut_ms[to][from] = repair->cut_ms[from][to];
}

static void
change_limit (world_t *world)
{
  int limit = draw (world, 0, world->limit_count);

  world_set_limit (world, limit, draw (world, 0, 13), LIMIT_DELAY_MS);
}

static void
use_limits (world_t *world)
{
  int host = draw (world, 0, world->host_count);
  int limit = draw (world, 0, world->limit_count);
  int tries = draw (world, 1, 12);

  if (!world->hosts[host].alive || world->hosts[host].frozen_until_ms != 0)
    return;
  if (world->limits[limit].centre >= 0 && world->limits[limit].centre != world->hosts[host].centre)
    return;
  if (world->hosts[host].revision[limit] == 0)
    return; /* not ready: it has no configuration */
  share_set_demand (world->hosts[host].share, world->limits[limit].name, tries);
  bool takes = true;
  for (int i = 0; i < tries && takes; i++)
    {
      int64_t use_ms = draw (world, 0, 50) == 0 ? draw (world, 10, 7000) : draw (world, 10, 3000);
      takes = world_take (world, host, limit, use_ms,
                          draw (world, 0, 3) == 0 ? use_ms : draw (world, 1, 400));
    }
  if (takes)
    return;
  share_event_t ask = { .kind = SHARE_EVENT_ASK };
  world_host_step (world, host, &ask);
}

static void
run_case (const random_case_t *c)
{
  const char *other_seed = g_getenv ("SHARE_SEED");
  uint32_t seed = other_seed != NULL ? (uint32_t) strtoul (other_seed, NULL, 10) : c->seed;
  world_t *world = world_new (c->centres, c->hosts, &c->rules, seed);
  repair_t repair = { 0 };
  int64_t steps = 0;
  int64_t goal = c->safe ? STEPS : STEPS_UNSAFE;

  world_add_limit (world, "running/gold", -1, 12);
  world_add_limit (world, "running/tiny", -1, 2);
  world_add_limit (world, "starts/gold", -1, 9);
  for (int i = 0; i < c->centres; i++)
    {
      char *name = g_strdup_printf ("slots/e%d", i);
      world_add_limit (world, name, i, 8);
      g_free (name);
    }
  world_run (world, world->now_ms + 100);
  while (steps < goal && (c->safe || world->violations == 0))
    {
      steps++;
      world_run (world, world->now_ms + draw (world, 0, 6));
      heal (world, &repair);
      int what = draw (world, 0, 2000);
      if (what < 1)
        break_host (world, &repair);
      else if (what < 2)
        break_network (world, &repair);
      else if (what < 3)
        change_limit (world);
      else
        use_limits (world);
    }
  printf (
      "\n  %s, seed %u: %ld steps, %ld s simulated, %ld units taken, %ld violations, most in use",
      c->what, seed, (long) steps, (long) (world->now_ms / 1000), (long) world->takes,
      (long) world->violations);
  for (int i = 0; i < world->limit_count; i++)
    printf (" %ld", (long) world->limits[i].most);
  if (c->safe)
    CU_ASSERT_EQUAL (world->violations, 0);
  if (!c->safe)
    CU_ASSERT (world->violations > 0);
  CU_ASSERT (world->takes > 1000 || !c->safe);
  world_free (world);
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
