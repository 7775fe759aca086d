/* test_config_hosts.c -- the newest list of hosts wins, whatever the clocks say
 *
 * Random readers with clocks far apart read lists, and pass them on late, twice
 * and out of order.  The naive version knows which lists each reader had heard
 * of: no host may go back to one of them.
 */
#include "config/hosts_version.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define SEED 20261208
#define WORLDS 5000
#define STEPS 200
#define LISTS_MAX 64
#define NO_LIST (-1)
#define HOSTS 6
#define MESSAGES_MAX 32
#define SKEW_MAX_MS 600000
#define START_MS 1700000000000

typedef struct
{
  hosts_clock_t clock;
  int64_t skew_ms;
  int list;       /* number of the list in force */
  uint64_t heard; /* naive: one bit for each list that came by here */
} node_t;

typedef struct
{
  hosts_version_t version;
  int list;
} message_t;

typedef struct
{
  node_t nodes[HOSTS];
  message_t messages[MESSAGES_MAX];
  uint64_t known[LISTS_MAX]; /* naive: what the list's reader had heard of */
  int lists;
  int64_t backwards; /* a host took a list that its own one's reader had heard of */
} world_t;

static void
read_list (world_t *world, int index, int64_t wall_ms)
{
  node_t *node = &world->nodes[index];
  hosts_version_t version =
      hosts_clock_read (&node->clock, wall_ms + node->skew_ms, (uint64_t) index);
  hosts_clock_take (&node->clock, &version);
  world->known[world->lists] = node->heard;
  node->list = world->lists++;
  node->heard |= UINT64_C (1) << node->list;
}

static void
receive (world_t *world, int index, const message_t *message)
{
  node_t *node = &world->nodes[index];
  if (message->list == NO_LIST)
    return;
  uint64_t bit = UINT64_C (1) << message->list;
  node->heard |= bit;
  if (!hosts_clock_see (&node->clock, &message->version))
    return;
  hosts_clock_take (&node->clock, &message->version);
  world->backwards += node->list != NO_LIST && (world->known[node->list] & bit) != 0;
  node->list = message->list;
}

static message_t
message_of (const node_t *node)
{
  message_t message = { node->clock.current, node->list };
  return message;
}

static void
world_start (world_t *world, GRand *random)
{
  memset (world, 0, sizeof *world);
  for (int i = 0; i < HOSTS; i++)
    {
      world->nodes[i].list = NO_LIST;
      world->nodes[i].skew_ms = g_rand_int_range (random, -SKEW_MAX_MS, SKEW_MAX_MS);
    }
  for (int i = 0; i < MESSAGES_MAX; i++)
    world->messages[i].list = NO_LIST;
}

static void
world_step (world_t *world, GRand *random, int64_t wall_ms)
{
  int index = g_rand_int_range (random, 0, HOSTS);
  message_t *message = &world->messages[g_rand_int_range (random, 0, MESSAGES_MAX)];
  int choice = g_rand_int_range (random, 0, 4);
  /* Some lists are left for the end. */
  if (choice == 0 && world->lists < LISTS_MAX - HOSTS)
    read_list (world, index, wall_ms);
  else if (choice == 1)
    *message = message_of (&world->nodes[index]);
  else
    receive (world, index, message);
}

/* Each host in turn hears what all others have, reads, and tells them: its
 * list wins everywhere. */
static void
world_finish (world_t *world)
{
  for (int reader = 0; reader < HOSTS; reader++)
    {
      for (int i = 0; i < HOSTS; i++)
        {
          message_t message = message_of (&world->nodes[i]);
          receive (world, reader, &message);
        }
      read_list (world, reader, START_MS);
      message_t message = message_of (&world->nodes[reader]);
      for (int i = 0; i < HOSTS; i++)
        {
          receive (world, i, &message);
          CU_ASSERT_EQUAL (world->nodes[i].list, message.list);
        }
    }
}

static void
test_random (void)
{
  GRand *random = g_rand_new_with_seed (SEED);
  int64_t lists = 0;
  for (int i = 0; i < WORLDS; i++)
    {
      world_t world;
      world_start (&world, random);
      for (int step = 0; step < STEPS; step++)
        world_step (&world, random, START_MS + step);
      world_finish (&world);
      CU_ASSERT_EQUAL (world.backwards, 0);
      lists += world.lists;
    }
  printf ("\n    seed %d, %d steps, %" PRId64 " lists\n", SEED, WORLDS * STEPS, lists);
  g_rand_free (random);
}

/* A reader whose clock is ahead dies; the next one's list wins at once. */
static void
test_clock_ahead (void)
{
  hosts_clock_t ahead = { { 0, 0 }, 0 };
  hosts_clock_t behind = { { 0, 0 }, 0 };
  hosts_version_t first = hosts_clock_read (&ahead, START_MS + SKEW_MAX_MS, 1);
  CU_ASSERT (hosts_clock_see (&behind, &first));
  hosts_clock_take (&behind, &first);
  hosts_version_t second = hosts_clock_read (&behind, START_MS, 2);
  CU_ASSERT (hosts_version_compare (&second, &first) > 0);
  CU_ASSERT (hosts_clock_see (&ahead, &second));
  /* The same list again is no news. */
  hosts_clock_take (&ahead, &second);
  CU_ASSERT_FALSE (hosts_clock_see (&ahead, &second));
  CU_ASSERT_FALSE (hosts_clock_see (&ahead, &first));
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("config_hosts", NULL, NULL);
  CU_add_test (suite, "random", test_random);
  CU_add_test (suite, "clock ahead", test_clock_ahead);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
