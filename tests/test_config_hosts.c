/* test_config_hosts.c -- versions of the list of hosts under clock skew, and deltas of the list
 *
 * Guards against a host that returns to an older list because the clock of
 * another reader is ahead.  Simulated hosts with very different clocks read lists
 * and relay them late, twice and out of order.  A simple model tracks which lists
 * the reader of each list had received: no host may replace a list by one of
 * those.
 */
#include "config/hosts_msg.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define SEED 20261208
#define SIMULATIONS 5000
#define STEPS 200
#define LISTS_MAX 64
#define DELTA_ROUNDS 5000
#define NO_LIST (-1)
#define HOSTS 6
#define MESSAGES_MAX 32
#define SKEW_MAX_MS 600000
#define START_MS 1700000000000

typedef struct
{
  hosts_clock_t clock;
  int64_t skew_ms;
  int list;          /* number of the list in use, or NO_LIST */
  uint64_t received; /* model: one bit for each list that this host has received */
} sim_host_t;

typedef struct
{
  hosts_version_t version;
  int list;
} message_t;

typedef struct
{
  sim_host_t hosts[HOSTS];
  message_t messages[MESSAGES_MAX];
  /* Model: for each list, the lists that its reader had received, one bit each. */
  uint64_t reader_received[LISTS_MAX];
  int lists;
  /* Number of times that a host adopted a list that the reader of its previous list
   * had already received. */
  int64_t regressions;
} simulation_t;

static void
read_list (simulation_t *sim, int index, int64_t wall_ms)
{
  sim_host_t *host = &sim->hosts[index];
  hosts_version_t version =
      hosts_clock_new_version (&host->clock, wall_ms + host->skew_ms, (uint64_t) index);
  hosts_clock_adopt (&host->clock, &version);
  sim->reader_received[sim->lists] = host->received;
  host->list = sim->lists++;
  host->received |= UINT64_C (1) << host->list;
}

static void
receive (simulation_t *sim, int index, const message_t *message)
{
  sim_host_t *host = &sim->hosts[index];
  if (message->list == NO_LIST)
    return;
  uint64_t bit = UINT64_C (1) << message->list;
  host->received |= bit;
  if (!hosts_clock_observe (&host->clock, &message->version))
    return;
  hosts_clock_adopt (&host->clock, &message->version);
  sim->regressions += host->list != NO_LIST && (sim->reader_received[host->list] & bit) != 0;
  host->list = message->list;
}

static message_t
current_message (const sim_host_t *host)
{
  message_t message = { host->clock.current, host->list };
  return message;
}

static void
simulation_start (simulation_t *sim, GRand *random)
{
  memset (sim, 0, sizeof *sim);
  for (int i = 0; i < HOSTS; i++)
    {
      sim->hosts[i].list = NO_LIST;
      sim->hosts[i].skew_ms = g_rand_int_range (random, -SKEW_MAX_MS, SKEW_MAX_MS);
    }
  for (int i = 0; i < MESSAGES_MAX; i++)
    sim->messages[i].list = NO_LIST;
}

static void
simulation_step (simulation_t *sim, GRand *random, int64_t wall_ms)
{
  int index = g_rand_int_range (random, 0, HOSTS);
  message_t *message = &sim->messages[g_rand_int_range (random, 0, MESSAGES_MAX)];
  int choice = g_rand_int_range (random, 0, 4);
  /* Leave one list for each host for simulation_finish (). */
  if (choice == 0 && sim->lists < LISTS_MAX - HOSTS)
    read_list (sim, index, wall_ms);
  else if (choice == 1)
    *message = current_message (&sim->hosts[index]);
  else
    receive (sim, index, message);
}

/* Each host in turn receives the lists of all others, reads a new list and sends it
 * to them.  All of them must adopt it. */
static void
simulation_finish (simulation_t *sim)
{
  for (int reader = 0; reader < HOSTS; reader++)
    {
      for (int i = 0; i < HOSTS; i++)
        {
          message_t message = current_message (&sim->hosts[i]);
          receive (sim, reader, &message);
        }
      read_list (sim, reader, START_MS);
      message_t message = current_message (&sim->hosts[reader]);
      for (int i = 0; i < HOSTS; i++)
        {
          receive (sim, i, &message);
          CU_ASSERT_EQUAL (sim->hosts[i].list, message.list);
        }
    }
}

static void
test_random (void)
{
  GRand *random = g_rand_new_with_seed (SEED);
  int64_t lists = 0;
  for (int i = 0; i < SIMULATIONS; i++)
    {
      simulation_t sim;
      simulation_start (&sim, random);
      for (int step = 0; step < STEPS; step++)
        simulation_step (&sim, random, START_MS + step);
      simulation_finish (&sim);
      CU_ASSERT_EQUAL (sim.regressions, 0);
      lists += sim.lists;
    }
  printf ("\n    seed %d, %d steps, %" PRId64 " lists\n", SEED, SIMULATIONS * STEPS, lists);
  g_rand_free (random);
}

/* Makes up to three random changes to a list of hosts. */
static void
change_list (GPtrArray *list, GRand *random)
{
  for (int changes = g_rand_int_range (random, 0, 4); changes > 0; changes--)
    {
      char id[8];
      guint index = 0;
      g_snprintf (id, sizeof id, "e%d", g_rand_int_range (random, 0, 40));
      while (index < list->len && strcmp (((host_t *) list->pdata[index])->id, id) != 0)
        index++;
      if (index < list->len && g_rand_boolean (random))
        {
          g_ptr_array_remove_index (list, index);
          continue;
        }
      host_t entry = { .id = id, .data_centre = (char *) "dc", .address = (char *) "127.0.0.1:9" };
      entry.rack = (char *) "r";
      entry.slots = g_rand_int_range (random, 1, 4);
      entry.leaving = g_rand_boolean (random);
      if (index < list->len)
        g_ptr_array_remove_index (list, index);
      g_ptr_array_add (list, host_copy (&entry));
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
decode_frame (GBytes *frame, const hosts_snapshot_t *own, GPtrArray **list)
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

/* A delta gives the same list as the complete message, and is rejected with any
 * other base list. */
static void
test_deltas (void)
{
  GRand *random = g_rand_new_with_seed (SEED);
  GPtrArray *list = hosts_list_new ();
  for (int i = 0; i < DELTA_ROUNDS; i++)
    {
      GPtrArray *old_list = copy_list (list);
      change_list (list, random);
      hosts_snapshot_t base = { { 1, 1 }, hosts_list_digest (old_list), old_list };
      hosts_snapshot_t snapshot = { { 2, 1 }, hosts_list_digest (list), list };
      hosts_snapshot_t other = { { 1, 1 }, base.digest + 1, old_list };
      GBytes *complete = hosts_msg_encode (56, NULL, &snapshot);
      GBytes *delta = hosts_msg_encode (56, &base, &snapshot);
      GPtrArray *got = NULL;
      CU_ASSERT_EQUAL_FATAL (decode_frame (complete, &other, &got), HOSTS_MSG_LIST);
      CU_ASSERT_EQUAL (hosts_list_digest (got), snapshot.digest);
      g_ptr_array_unref (got);
      CU_ASSERT_EQUAL_FATAL (decode_frame (delta, &base, &got), HOSTS_MSG_LIST);
      CU_ASSERT_EQUAL (hosts_list_digest (got), snapshot.digest);
      CU_ASSERT_EQUAL (got->len, list->len);
      g_ptr_array_unref (got);
      CU_ASSERT_EQUAL (decode_frame (delta, &other, &got), HOSTS_MSG_BASE_MISMATCH);
      CU_ASSERT_PTR_NULL (got);
      CU_ASSERT (list->len < 8 || g_bytes_get_size (delta) < g_bytes_get_size (complete));
      g_bytes_unref (complete);
      g_bytes_unref (delta);
      g_ptr_array_unref (old_list);
    }
  g_ptr_array_unref (list);
  g_rand_free (random);
}

/* After the failure of a reader whose clock is ahead, the list of the next reader is
 * newer at once. */
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
  /* The same list again is not newer. */
  hosts_clock_adopt (&ahead, &second);
  CU_ASSERT_FALSE (hosts_clock_observe (&ahead, &second));
  CU_ASSERT_FALSE (hosts_clock_observe (&ahead, &first));
}

static const unit_test_t tests[] = {
  { "random", test_random },
  { "clock ahead", test_clock_ahead },
  { "deltas", test_deltas },
};

int
main (void)
{
  return unit_run ("config_hosts", tests, G_N_ELEMENTS (tests));
}
