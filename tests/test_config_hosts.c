/* test_config_hosts.c -- the newest list of hosts wins, whatever the clocks say
 *
 * Random readers with clocks far apart read lists, and pass them on late, twice
 * and out of order.  The naive version knows which lists each reader had heard
 * of: no host may go back to one of them.
 */
#include "config/hosts_msg.h"

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
#define LISTS 5000
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
      hosts_clock_new_version (&node->clock, wall_ms + node->skew_ms, (uint64_t) index);
  hosts_clock_adopt (&node->clock, &version);
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
  if (!hosts_clock_observe (&node->clock, &message->version))
    return;
  hosts_clock_adopt (&node->clock, &message->version);
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

/* A random list of hosts, in which few entries differ from one to the next. */
static void
change_list (GPtrArray *list, GRand *random)
{
  for (int changes = g_rand_int_range (random, 0, 4); changes > 0; changes--)
    {
      char id[8];
      guint at = 0;
      g_snprintf (id, sizeof id, "e%d", g_rand_int_range (random, 0, 40));
      while (at < list->len && strcmp (((host_t *) list->pdata[at])->id, id) != 0)
        at++;
      if (at < list->len && g_rand_boolean (random))
        {
          g_ptr_array_remove_index (list, at);
          continue;
        }
      host_t host = { .id = id, .data_centre = (char *) "dc", .address = (char *) "127.0.0.1:9" };
      host.rack = (char *) "r";
      host.slots = g_rand_int_range (random, 1, 4);
      host.leaving = g_rand_boolean (random);
      if (at < list->len)
        g_ptr_array_remove_index (list, at);
      g_ptr_array_add (list, host_copy (&host));
      hosts_list_sort (list);
    }
}

static GPtrArray *
copy_list (const GPtrArray *list)
{
  GPtrArray *copy = hosts_list_new ();
  for (guint i = 0; i < list->len; i++)
    g_ptr_array_add (copy, host_copy (list->pdata[i]));
  return copy;
}

static hosts_msg_result_t
pass (GBytes *frame, const hosts_snapshot_t *own, GPtrArray **list)
{
  gsize size = 0;
  const guint8 *data = g_bytes_get_data (frame, &size);
  frame_reader_t *reader = NULL;
  hosts_version_t version;
  uint64_t digest = 0;
  CU_ASSERT_EQUAL_FATAL (
      frame_parse (data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &reader), 0);
  hosts_msg_result_t result = hosts_msg_decode (reader, own, &version, &digest, list);
  frame_reader_free (reader);
  return result;
}

/* A difference leads to the same list as the whole one, and is refused on any
 * other base. */
static void
test_differences (void)
{
  GRand *random = g_rand_new_with_seed (SEED);
  GPtrArray *list = hosts_list_new ();
  for (int i = 0; i < LISTS; i++)
    {
      GPtrArray *before = copy_list (list);
      change_list (list, random);
      hosts_snapshot_t base = { { 1, 1 }, hosts_list_digest (before), before };
      hosts_snapshot_t known = { { 2, 1 }, hosts_list_digest (list), list };
      hosts_snapshot_t other = { { 1, 1 }, base.digest + 1, before };
      GBytes *whole = hosts_msg_encode (56, NULL, &known);
      GBytes *difference = hosts_msg_encode (56, &base, &known);
      GPtrArray *got = NULL;
      CU_ASSERT_EQUAL_FATAL (pass (whole, &other, &got), HOSTS_MSG_LIST);
      CU_ASSERT_EQUAL (hosts_list_digest (got), known.digest);
      g_ptr_array_unref (got);
      CU_ASSERT_EQUAL_FATAL (pass (difference, &base, &got), HOSTS_MSG_LIST);
      CU_ASSERT_EQUAL (hosts_list_digest (got), known.digest);
      CU_ASSERT_EQUAL (got->len, list->len);
      g_ptr_array_unref (got);
      CU_ASSERT_EQUAL (pass (difference, &other, &got), HOSTS_MSG_BASE_MISMATCH);
      CU_ASSERT_PTR_NULL (got);
      CU_ASSERT (list->len < 8 || g_bytes_get_size (difference) < g_bytes_get_size (whole));
      g_bytes_unref (whole);
      g_bytes_unref (difference);
      g_ptr_array_unref (before);
    }
  g_ptr_array_unref (list);
  g_rand_free (random);
}

/* A reader whose clock is ahead dies; the next one's list wins at once. */
static void
test_clock_ahead (void)
{
  hosts_clock_t ahead = { { 0, 0 }, 0 };
  hosts_clock_t behind = { { 0, 0 }, 0 };
  hosts_version_t first = hosts_clock_new_version (&ahead, START_MS + SKEW_MAX_MS, 1);
  CU_ASSERT (hosts_clock_observe (&behind, &first));
  hosts_clock_adopt (&behind, &first);
  hosts_version_t second = hosts_clock_new_version (&behind, START_MS, 2);
  CU_ASSERT (hosts_version_compare (&second, &first) > 0);
  CU_ASSERT (hosts_clock_observe (&ahead, &second));
  /* The same list again is no news. */
  hosts_clock_adopt (&ahead, &second);
  CU_ASSERT_FALSE (hosts_clock_observe (&ahead, &second));
  CU_ASSERT_FALSE (hosts_clock_observe (&ahead, &first));
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("config_hosts", NULL, NULL);
  CU_add_test (suite, "random", test_random);
  CU_add_test (suite, "clock ahead", test_clock_ahead);
  CU_add_test (suite, "differences", test_differences);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0;
}
