/* test_config_relay.c -- who reads the platform: cases, and random data centres under faults
 *
 * In the random part, hosts of one data centre exchange beats over links that
 * are cut and healed, are frozen and restarted, and get answers of the platform
 * or not.  Whatever happened, once the faults end exactly one host reads; and
 * while all hosts hear each other, at most two do.
 */
#include "base/hash.h"
#include "config/checkpoint.h"
#include "config/relay.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define SEED 20261206
#define WORLDS 400
#define TICK_MS 50
#define FAULT_MS 20000
/* After the faults: silence noticed twice, and a beat. */
#define SETTLE_MS (2 * RELAY_HEARTBEAT_TIMEOUT_MS + 2 * RELAY_HEARTBEAT_INTERVAL_MS)
#define STEADY_MS 3000
#define HOSTS_MAX 7
#define START_MS 1000000

typedef struct
{
  char id[8];
  relay_t *relay; /* NULL while the host is down */
  bool frozen;
  bool answered; /* the platform answers it */
  bool reads;
  int64_t read_ms; /* how long it has read */
} node_t;

typedef struct
{
  GRand *random;
  node_t nodes[HOSTS_MAX];
  int count;
  bool cut[HOSTS_MAX][HOSTS_MAX];
  int64_t now_ms;
} world_t;

static void
node_start (world_t *world, int index)
{
  node_t *node = &world->nodes[index];
  node->relay = relay_new (node->id, "dc", world->now_ms);
  node->frozen = false;
  for (int i = 0; i < world->count; i++)
    if (i != index && world->nodes[i].relay && !world->cut[i][index])
      {
        relay_peer_up (node->relay, world->nodes[i].id, "dc", world->now_ms);
        relay_peer_up (world->nodes[i].relay, node->id, "dc", world->now_ms);
      }
}

static void
node_stop (world_t *world, int index)
{
  node_t *node = &world->nodes[index];
  relay_free (node->relay);
  node->relay = NULL;
  node->reads = false;
  for (int i = 0; i < world->count; i++)
    if (world->nodes[i].relay)
      relay_peer_down (world->nodes[i].relay, node->id);
}

static void
link_set (world_t *world, int a, int b, bool cut)
{
  if (a == b || world->cut[a][b] == cut)
    return;
  world->cut[a][b] = cut;
  world->cut[b][a] = cut;
  node_t *left = &world->nodes[a];
  node_t *right = &world->nodes[b];
  if (left->relay == NULL || right->relay == NULL)
    return;
  if (cut)
    {
      relay_peer_down (left->relay, right->id);
      relay_peer_down (right->relay, left->id);
      return;
    }
  relay_peer_up (left->relay, right->id, "dc", world->now_ms);
  relay_peer_up (right->relay, left->id, "dc", world->now_ms);
}

static void
send_beats (world_t *world, int index, bool answered)
{
  relay_heartbeat_t beat = { answered, false };
  for (int i = 0; i < world->count; i++)
    if (i != index && world->nodes[i].relay && !world->nodes[i].frozen && !world->cut[index][i])
      relay_heartbeat_received (world->nodes[i].relay, world->nodes[index].id, &beat,
                                world->now_ms);
}

static void
tick (world_t *world)
{
  world->now_ms += TICK_MS;
  for (int i = 0; i < world->count; i++)
    {
      node_t *node = &world->nodes[i];
      relay_actions_t actions;
      if (node->relay == NULL || node->frozen)
        continue;
      if (node->reads && node->answered)
        relay_platform_answered (node->relay, world->now_ms);
      relay_step (node->relay, false, world->now_ms, &actions);
      node->reads = actions.read_platform;
      node->read_ms += node->reads ? TICK_MS : 0;
      if (actions.send_heartbeat)
        send_beats (world, i, actions.platform_answered);
    }
}

static void
cause_fault (world_t *world)
{
  int a = g_rand_int_range (world->random, 0, world->count);
  int b = g_rand_int_range (world->random, 0, world->count);
  node_t *node = &world->nodes[a];
  switch (g_rand_int_range (world->random, 0, 5))
    {
    case 0:
      link_set (world, a, b, !world->cut[a][b]);
      break;
    case 1:
      node->frozen = !node->frozen;
      break;
    case 2:
      node->answered = !node->answered;
      break;
    case 3:
      if (node->relay)
        node_stop (world, a);
      else
        node_start (world, a);
      break;
    default:
      break;
    }
}

static void
end_faults (world_t *world)
{
  for (int a = 0; a < world->count; a++)
    {
      world->nodes[a].frozen = false;
      world->nodes[a].answered = true;
      for (int b = 0; b < world->count; b++)
        link_set (world, a, b, false);
      if (world->nodes[a].relay == NULL)
        node_start (world, a);
    }
}

static int
count_readers (const world_t *world)
{
  int readers = 0;
  for (int i = 0; i < world->count; i++)
    readers += world->nodes[i].reads;
  return readers;
}

static void
run_for (world_t *world, int64_t duration_ms, int faults_in_100)
{
  int64_t end_ms = world->now_ms + duration_ms;
  while (world->now_ms < end_ms)
    {
      if (g_rand_int_range (world->random, 0, 100) < faults_in_100)
        cause_fault (world);
      tick (world);
    }
}

static void
world_start (world_t *world, GRand *random)
{
  *world = (world_t){ .random = random, .now_ms = START_MS };
  world->count = g_rand_int_range (random, 1, HOSTS_MAX + 1);
  for (int i = 0; i < world->count; i++)
    {
      g_snprintf (world->nodes[i].id, sizeof world->nodes[i].id, "h%d", i);
      world->nodes[i].answered = true;
      node_start (world, i);
    }
}

static void
world_end (world_t *world)
{
  for (int i = 0; i < world->count; i++)
    relay_free (world->nodes[i].relay);
}

static void
test_random (void)
{
  GRand *random = g_rand_new_with_seed (SEED);
  int64_t ticks = 0;
  for (int i = 0; i < WORLDS; i++)
    {
      world_t world;
      world_start (&world, random);
      run_for (&world, FAULT_MS, 5);
      end_faults (&world);
      run_for (&world, SETTLE_MS, 0);
      int64_t end_ms = world.now_ms + STEADY_MS;
      while (world.now_ms < end_ms)
        {
          tick (&world);
          CU_ASSERT_EQUAL (count_readers (&world), 1);
        }
      ticks += (world.now_ms - START_MS) / TICK_MS;
      world_end (&world);
    }
  printf ("\n    seed %d, %d data centres, %" PRId64 " ticks\n", SEED, WORLDS, ticks);
  g_rand_free (random);
}

/* The platform answers nobody: two read, whatever the number of hosts. */
static void
test_outage (void)
{
  GRand *random = g_rand_new_with_seed (SEED);
  for (int i = 0; i < WORLDS; i++)
    {
      world_t world;
      world_start (&world, random);
      run_for (&world, SETTLE_MS, 0);
      for (int j = 0; j < world.count; j++)
        world.nodes[j].answered = false;
      run_for (&world, 2 * RELAY_ANSWER_TIMEOUT_MS + 2 * RELAY_HEARTBEAT_INTERVAL_MS, 0);
      int64_t end_ms = world.now_ms + STEADY_MS;
      while (world.now_ms < end_ms)
        {
          tick (&world);
          CU_ASSERT_EQUAL (count_readers (&world), MIN (world.count, 2));
        }
      world_end (&world);
    }
  g_rand_free (random);
}

/* The reader dies without a word: how long until another one reads. */
static void
test_takeover (void)
{
  GRand *random = g_rand_new_with_seed (SEED);
  int64_t longest_ms = 0;
  for (int i = 0; i < WORLDS; i++)
    {
      world_t world;
      world_start (&world, random);
      run_for (&world, SETTLE_MS + g_rand_int_range (random, 0, RELAY_HEARTBEAT_INTERVAL_MS), 0);
      for (int j = 0; j < world.count && world.count > 1; j++)
        world.nodes[j].frozen = world.nodes[j].frozen || world.nodes[j].reads;
      int64_t begin_ms = world.now_ms;
      int frozen = count_readers (&world);
      while (world.count > 1 && count_readers (&world) == frozen)
        tick (&world);
      longest_ms = MAX (longest_ms, world.now_ms - begin_ms);
      world_end (&world);
    }
  printf ("\n    longest time to a new reader: %" PRId64 " ms\n", longest_ms);
  CU_ASSERT (longest_ms <= RELAY_HEARTBEAT_TIMEOUT_MS + RELAY_HEARTBEAT_INTERVAL_MS + TICK_MS);
  g_rand_free (random);
}

/* Whom a host pulls from. */
static void
test_pulls (void)
{
  relay_actions_t actions;
  relay_heartbeat_t ahead = { true, true };
  relay_heartbeat_t level = { true, false };
  relay_t *relay = relay_new ("h0", "dc", START_MS);
  relay_step (relay, true, START_MS, &actions);
  CU_ASSERT (actions.read_platform);
  CU_ASSERT_PTR_NULL (actions.pull_from);
  relay_peer_up (relay, "far", "other", START_MS);
  relay_step (relay, true, START_MS + 1, &actions);
  CU_ASSERT_EQUAL (g_strcmp0 (actions.pull_from, "far"), 0);
  /* Not again at once. */
  relay_step (relay, true, START_MS + 2, &actions);
  CU_ASSERT_PTR_NULL (actions.pull_from);
  /* With state and answers, from nobody. */
  int64_t now_ms = START_MS + RELAY_PULL_INTERVAL_MS + 1;
  relay_platform_answered (relay, now_ms);
  relay_step (relay, false, now_ms, &actions);
  CU_ASSERT_PTR_NULL (actions.pull_from);
  /* From a host of this data centre that has more, until it says otherwise. */
  relay_peer_up (relay, "near", "dc", now_ms);
  relay_heartbeat_received (relay, "near", &ahead, now_ms);
  relay_step (relay, false, now_ms + 1, &actions);
  CU_ASSERT_EQUAL (g_strcmp0 (actions.pull_from, "near"), 0);
  relay_heartbeat_received (relay, "near", &level, now_ms + 2);
  now_ms += RELAY_PULL_INTERVAL_MS + 2;
  relay_platform_answered (relay, now_ms);
  relay_step (relay, false, now_ms, &actions);
  CU_ASSERT_PTR_NULL (actions.pull_from);
  relay_free (relay);
}

/* A reader without answers asks the other data centres in turn, and stays with
 * the one that has something newer. */
static void
test_pull_giver (void)
{
  relay_actions_t actions;
  relay_t *relay = relay_new ("h0", "dc", START_MS);
  int far[2] = { 0, 0 };
  relay_peer_up (relay, "near", "dc", START_MS);
  relay_peer_up (relay, "far1", "b", START_MS);
  relay_peer_up (relay, "far2", "c", START_MS);
  int64_t now_ms = START_MS;
  /* Only far2 has something newer, until it falls silent. */
  for (int64_t end_ms = now_ms + 20 * RELAY_PULL_INTERVAL_MS; now_ms < end_ms; now_ms += TICK_MS)
    {
      relay_heartbeat_t beat = { false, false };
      relay_heartbeat_received (relay, "near", &beat, now_ms);
      relay_step (relay, false, now_ms, &actions);
      if (actions.pull_from == NULL)
        continue;
      CU_ASSERT (g_strcmp0 (actions.pull_from, "near") != 0);
      far[0] += g_strcmp0 (actions.pull_from, "far1") == 0;
      far[1] += g_strcmp0 (actions.pull_from, "far2") == 0;
      if (g_strcmp0 (actions.pull_from, "far2") == 0)
        relay_pull_succeeded (relay, "far2", now_ms);
    }
  /* It may begin to read only when the other host has shown that it has no answers. */
  CU_ASSERT (far[0] <= 1 && far[1] >= 15);
  now_ms += RELAY_PULL_SOURCE_KEEP_MS;
  far[0] = 0;
  for (int64_t end_ms = now_ms + 6 * RELAY_PULL_INTERVAL_MS; now_ms < end_ms; now_ms += TICK_MS)
    {
      relay_step (relay, false, now_ms, &actions);
      far[0] += g_strcmp0 (actions.pull_from, "far1") == 0;
    }
  CU_ASSERT (far[0] >= 2);
  relay_free (relay);
}

/* A host without state asks both its own and the other data centres. */
static void
test_pull_turns (void)
{
  relay_actions_t actions;
  relay_t *relay = relay_new ("h0", "dc", START_MS);
  int near = 0;
  int far = 0;
  relay_peer_up (relay, "near", "dc", START_MS);
  relay_peer_up (relay, "far1", "b", START_MS);
  relay_peer_up (relay, "far2", "c", START_MS);
  for (int64_t now_ms = START_MS; now_ms < START_MS + 40 * RELAY_PULL_INTERVAL_MS;
       now_ms += TICK_MS)
    {
      relay_step (relay, true, now_ms, &actions);
      if (actions.pull_from == NULL)
        continue;
      near += strcmp (actions.pull_from, "near") == 0;
      far += strncmp (actions.pull_from, "far", 3) == 0;
    }
  CU_ASSERT (near >= 15 && far >= 15);
  relay_free (relay);
}

static const struct
{
  const char *name;
  checkpoint_inputs_t facts;
  bool due;
} checkpoint_cases[] = {
  { "empty log", { 0, 0, -1, 0, 0, 0, 0 }, false },
  { "few records", { 0, 5, -1, START_MS, 5, 5, 0 }, false },
  { "many records", { 0, 300, -1, START_MS, 300, 5, 0 }, true },
  { "many records for a small state only", { 0, 300, -1, START_MS, 300, 100000, 0 }, false },
  { "old records", { 0, 5, -1, START_MS - CHECKPOINT_MAX_AGE_MS - 1, 5, 5, 0 }, true },
  { "old checkpoint", { 0, 5, 2, START_MS - CHECKPOINT_MAX_AGE_MS - 1, 2, 5, 0 }, true },
  { "records lost, no checkpoint", { 3, 5, -1, START_MS, 5, 5, 0 }, true },
  { "checkpoint lost", { 4, 5, 3, START_MS, 5, 5, 0 }, true },
  { "all lost", { 5, 5, 3, START_MS, 5, 5, 0 }, true },
  { "checkpoint in the older half", { 10, 100, 20, START_MS, 80, 5, 0 }, true },
  { "checkpoint in the newer half", { 10, 100, 60, START_MS, 40, 5, 0 }, false },
  { "only the checkpoint is left", { 9, 10, 9, START_MS, 0, 5, 0 }, false },
  { "it is the last of two", { 8, 10, 9, START_MS, 0, 5, 0 }, false },
};

static void
test_checkpoint_cases (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (checkpoint_cases); i++)
    {
      checkpoint_schedule_t plan = { .last_checkpoint_offset = -1 };
      bool now = checkpoint_should_append (&plan, &checkpoint_cases[i].facts, START_MS, START_MS);
      if (now != checkpoint_cases[i].due)
        printf ("\n    %s", checkpoint_cases[i].name);
      CU_ASSERT_EQUAL (now, checkpoint_cases[i].due);
      /* Not again at once; and the next data centre waits. */
      CU_ASSERT_FALSE (
          checkpoint_should_append (&plan, &checkpoint_cases[i].facts, START_MS + 1, START_MS));
      /* But at once where a new checkpoint is in the log and is not enough. */
      checkpoint_inputs_t next = checkpoint_cases[i].facts;
      next.checkpoint_offset += checkpoint_cases[i].due ? 1 : 0;
      next.records_since += CHECKPOINT_MIN_RECORDS + next.entry_count;
      CU_ASSERT_EQUAL (checkpoint_should_append (&plan, &next, START_MS + 2, START_MS),
                       next.log_end_offset > 0);
      checkpoint_inputs_t second = checkpoint_cases[i].facts;
      second.rank = 1;
      plan = (checkpoint_schedule_t){ .last_checkpoint_offset = -1 };
      CU_ASSERT_FALSE (checkpoint_should_append (&plan, &second, START_MS, START_MS));
      CU_ASSERT_EQUAL (
          checkpoint_should_append (&plan, &second, START_MS + CHECKPOINT_RANK_DELAY_MS, START_MS),
          checkpoint_cases[i].due);
    }
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("config_relay", NULL, NULL);
  CU_add_test (suite, "random", test_random);
  CU_add_test (suite, "outage", test_outage);
  CU_add_test (suite, "takeover", test_takeover);
  CU_add_test (suite, "pulls", test_pulls);
  CU_add_test (suite, "pull turns", test_pull_turns);
  CU_add_test (suite, "pull giver", test_pull_giver);
  CU_add_test (suite, "checkpoint cases", test_checkpoint_cases);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
