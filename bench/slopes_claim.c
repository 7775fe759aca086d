/* slopes_claim.c -- what idempotency keys cost: memory per key, messages and time per job
 *
 * Memory is the growth of the heap over a table of that many keys.  Messages
 * are counted between hosts only: a coordinator that is a replica itself asks
 * itself without one.
 */
#include "claim/key_table.h"
#include "tests/test_claim_world.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

#define KEY_FORMAT "form-2026-12-04-petition-%09d"
#define JOBS 20000

static double
seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double) now.tv_sec + (double) now.tv_nsec / 1e9;
}

static void
measure_memory (int32_t count)
{
  member_t *member = member_new ("host-1", 1, "127.0.0.1:1", "tw-north-a");
  key_table_t *keys = key_table_new ();
  size_t before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  double begin_s = seconds ();

  for (int32_t i = 0; i < count; i++)
    {
      char key[64];
      claim_holder_t holder = { .member = member, .attempt = (uint64_t) i };
      g_snprintf (key, sizeof (key), KEY_FORMAT, i);
      key_table_add (keys, key, i, &holder);
    }
  double elapsed_s = seconds () - begin_s;
  size_t after = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  printf ("  %9d %12.1f %14.3f\n", count, (double) (after - before) / count,
          elapsed_s * 1e6 / count);
  key_table_free (keys);
  member_unref (member);
}

typedef struct
{
  int64_t messages;
  int64_t bytes;
} cost_t;

/* Delivers what is on the net and counts what passes between hosts. */
static void
deliver_counted (world_t *world, cost_t *cost)
{
  while (world->net->len > 0)
    {
      const world_packet_t *packet = g_ptr_array_index (world->net, 0);
      if (packet->from != packet->to)
        {
          cost->messages++;
          cost->bytes += (int64_t) g_bytes_get_size (packet->frame);
        }
      world_deliver (world, 0, false);
    }
}

static void
measure_claims (const char *name, int32_t hosts, bool require_majority)
{
  claim_rules_t rules = CLAIM_RULES_ALL;
  cost_t cost = { 0, 0 };
  world_t world;

  rules.require_majority = require_majority;
  world_init (&world, hosts, &rules);
  uint32_t all = (1u << hosts) - 1;
  view_t *view = world_view (&world, 1, all);
  world_install_view_all (&world, all, view, NULL);
  world_contact_all (&world, all);
  double begin_s = seconds ();
  for (int32_t i = 0; i < JOBS; i++)
    {
      g_snprintf (world.key, sizeof (world.key), "form-petition-%09d", i);
      world_claim (&world, i % hosts);
      deliver_counted (&world, &cost);
    }
  double elapsed_s = seconds () - begin_s;
  printf ("  %-14s %5d %12.2f %12.1f %14.2f\n", name, hosts, (double) cost.messages / JOBS,
          (double) cost.bytes / JOBS, elapsed_s * 1e6 / JOBS);
  view_unref (view);
  world_clear (&world);
}

int
main (void)
{
  static const int32_t counts[] = { 10000, 100000, 1000000 };
  static const int32_t hosts[] = { 3, 6, 8 };

  printf ("memory of a replica's table\n  %9s %12s %14s\n", "keys", "bytes/key", "add us/key");
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    measure_memory (counts[i]);
  printf ("\nclaims, %d jobs\n  %-14s %5s %12s %12s %14s\n", JOBS, "replicas asked", "hosts",
          "messages/job", "bytes/job", "all cpu us/job");
  for (size_t i = 0; i < G_N_ELEMENTS (hosts); i++)
    {
      measure_claims ("one (unsafe)", hosts[i], false);
      measure_claims ("two of three", hosts[i], true);
    }
  return 0;
}
