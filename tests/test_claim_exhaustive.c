/* test_claim_exhaustive.c -- searches all interleavings for two grants of one key
 *
 * Two coordinators claim the same key at three replicas.  The search tries every
 * order of delivery of the first messages, with a limited number of losses; later
 * messages are delivered in order.  A path is a list of choices.  Each path is
 * run from the initial state, so the state of the code under test need not be
 * copied.
 */
#include "tests/test_claim_world.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <stdio.h>

/* Maximum number of choices in a path. */
#define DEPTH_MAX 24
/* Number of time steps after the searched part of a path. */
#define TAIL_STEPS 40
/* Masks of hosts: replicas 0 to 2, coordinators 3 and 4. */
#define COORDINATORS 0x18u
#define REPLICAS 0x07u

typedef struct
{
  int32_t taken[DEPTH_MAX];
  int32_t options[DEPTH_MAX];
  int32_t depth;  /* choices made in this run */
  int32_t limit;  /* maximum number of choices in a run */
  int32_t losses; /* messages lost in this run */
} path_t;

typedef struct
{
  const char *name;
  int32_t depth;
  int32_t losses; /* maximum number of lost messages per path */
  bool ticks;     /* time may pass once, so that the coordinators ask the third replica */
  bool release;   /* the first coordinator releases the key as soon as it is granted */
  int64_t paths;
  int64_t double_grants;
  int64_t grants;
} search_t;

/* Returns the next choice of PATH among COUNT options; 0 past its limit. */
static int32_t
choose (path_t *path, int32_t count)
{
  if (path->depth >= path->limit || count <= 1)
    return 0;
  path->options[path->depth] = count;
  return path->taken[path->depth++];
}

/* Advances PATH to the next combination of choices.  Returns false after the last
 * one. */
static bool
next_path (path_t *path)
{
  while (path->depth > 0)
    {
      int32_t last = path->depth - 1;
      if (++path->taken[last] < path->options[last])
        {
          for (int32_t i = path->depth; i < DEPTH_MAX; i++)
            path->taken[i] = 0;
          return true;
        }
      path->taken[last] = 0;
      path->depth--;
    }
  return false;
}

static void
release_granted (world_t *world, const search_t *search)
{
  if (search->release && world->hosts[3].granted)
    world_release (world, 3);
}

static void
pass_time (world_t *world, int64_t time_ms)
{
  world->now_ms += time_ms;
  world_contact_all (world, REPLICAS);
  world_tick (world, COORDINATORS);
}

/* Makes one choice: delivers a packet, loses a packet, or lets time pass. */
static void
move (world_t *world, const search_t *search, path_t *path, int32_t *ticks)
{
  int32_t packets = (int32_t) world->net->len;
  int32_t losses = path->losses < search->losses ? packets : 0;
  int32_t time = search->ticks && *ticks < 1 ? 1 : 0;
  int32_t pick = choose (path, packets + losses + time);

  if (pick < packets)
    world_deliver (world, (guint) pick, false);
  else if (pick < packets + losses)
    {
      world_deliver (world, (guint) (pick - packets), true);
      path->losses++;
    }
  else if (time > 0)
    {
      ++*ticks;
      pass_time (world, 30);
    }
}

static void
run_path (search_t *search, path_t *path, const claim_rules_t *rules)
{
  world_t world;
  int32_t ticks = 0;

  world_init (&world, 5, rules);
  view_t *view = world_view (&world, 1, REPLICAS);
  world_install_view_all (&world, REPLICAS | COORDINATORS, view, NULL);
  world_contact_all (&world, REPLICAS);
  g_strlcpy (world.key, "key", sizeof (world.key));
  path->depth = 0;
  path->losses = 0;
  world_claim (&world, 3);
  world_claim (&world, 4);
  while (world.net->len > 0 && path->depth < path->limit)
    {
      move (&world, search, path, &ticks);
      release_granted (&world, search);
    }
  for (int32_t i = 0; i < TAIL_STEPS; i++)
    {
      world_deliver_all (&world);
      release_granted (&world, search);
      pass_time (&world, 20);
    }
  search->paths++;
  search->grants += world.hosts[3].last_result == CLAIM_DONE_GRANTED
                    || world.hosts[4].last_result == CLAIM_DONE_GRANTED;
  search->double_grants += world.holders_max > 1;
  view_unref (view);
  world_clear (&world);
}

static void
run_search (search_t *search, const claim_rules_t *rules)
{
  path_t path = { .limit = search->depth };

  do
    run_path (search, &path, rules);
  while (next_path (&path));
}

static search_t searches[] = {
  { "deliveries", 9, 0, false, false, 0, 0, 0 },
  { "deliveries, one loss, time", 5, 1, true, false, 0, 0, 0 },
  { "deliveries, release", 8, 0, false, true, 0, 0, 0 },
};

static void
test_all_interleavings (void)
{
  claim_rules_t rules = CLAIM_RULES_ALL;

  for (size_t i = 0; i < G_N_ELEMENTS (searches); i++)
    {
      search_t *search = &searches[i];
      run_search (search, &rules);
      printf ("\n  %s, depth %d: %" G_GINT64_FORMAT " paths, %" G_GINT64_FORMAT
              " with two holders, %" G_GINT64_FORMAT " granted",
              search->name, search->depth, search->paths, search->double_grants, search->grants);
      fflush (stdout);
      CU_ASSERT_EQUAL (search->double_grants, 0);
      CU_ASSERT (search->grants > 0);
    }
  printf ("\n  ");
}

static void
test_one_grant_is_not_enough (void)
{
  claim_rules_t rules = CLAIM_RULES_ALL;
  search_t search = { "one grant", 4, 1, true, false, 0, 0, 0 };

  rules.require_majority = false;
  run_search (&search, &rules);
  printf ("\n  one grant only: %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
          " paths with two holders\n  ",
          search.double_grants, search.paths);
  CU_ASSERT (search.double_grants > 0);
}

static const unit_test_t tests[] = {
  { "all rules, every interleaving", test_all_interleavings },
  { "one grant is not enough", test_one_grant_is_not_enough },
};

int
main (void)
{
  return unit_run ("claim_exhaustive", tests, G_N_ELEMENTS (tests));
}
