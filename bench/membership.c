/* membership.c -- suspicion measured: second opinion, traffic as contact, mesh against ring
 *
 * Hosts run the membership code in simulated time.  A lossy link loses a part
 * of the messages between two hosts for a while, both ways.  "False" counts
 * members that were removed while alive; detection is the time from a death to
 * the view without the dead host, at every other host.  The ring is a model of
 * its own: each host watches its right neighbour with a request and an answer
 * in each interval, and tells the others.  Second opinion, traffic as contact
 * and the ring are those of "Geode: membership manager functional
 * specification".
 */
#include "tests/test_view_sim.h"

#include <stdio.h>

#define SEED 20261204u
#define HOSTS 8
#define SETTLE_MS 4000
#define RUN_MS 120000
#define TRIALS 10

typedef struct
{
  const char *name;
  bool second_opinion;
  bool traffic_is_contact;
  int32_t traffic_permille; /* chance of other traffic on a link in 50 ms */
  int32_t loss_permille;    /* of the links of one host with two others */
} manner_t;

static const manner_t manners[] = {
  { "beats only", false, false, 100, 800 },        { "second opinion", true, false, 100, 800 },
  { "traffic is contact", false, true, 100, 800 }, { "both", true, true, 100, 800 },
  { "beats only, idle", false, false, 0, 800 },    { "both, idle", true, true, 0, 800 },
  { "beats only, no loss", false, false, 100, 0 }, { "both, no loss", true, true, 100, 0 },
};

/* Views that were made beyond the first; no host has died. */
static int64_t
false_changes (view_sim_t *world)
{
  return view_sim_view (world, 0)->number - 1;
}

static int64_t
detection_ms (view_sim_t *world)
{
  int64_t begin_ms = world->now_ms;

  view_sim_stop_host (world, HOSTS - 1);
  while (world->now_ms < begin_ms + 60000)
    {
      bool gone = true;
      view_sim_run (world, VIEW_SIM_STEP_MS);
      for (int32_t i = 0; i < HOSTS - 1; i++)
        gone = gone && view_slot_named (view_sim_view (world, i), "h07") < 0;
      if (gone)
        break;
    }
  return world->now_ms - begin_ms;
}

static void
measure (const manner_t *manner)
{
  int64_t changes = 0;
  int64_t detection_sum_ms = 0;
  int64_t messages = 0;
  int64_t bytes = 0;

  for (uint32_t trial = 0; trial < TRIALS; trial++)
    {
      membership_limits_t limits = MEMBERSHIP_LIMITS_DEFAULT;
      view_sim_t world;
      limits.confirm_suspicion = manner->second_opinion;
      limits.traffic_counts_as_heartbeat = manner->traffic_is_contact;
      view_sim_init (&world, &limits, SEED + trial);
      world.traffic_permille = manner->traffic_permille;
      for (int32_t i = 0; i < HOSTS; i++)
        view_sim_start_host (&world, i);
      view_sim_run (&world, SETTLE_MS);
      int64_t before = world.messages_sent;
      int64_t bytes_before = world.bytes_sent;
      for (int32_t i = 0; i < 2; i++)
        {
          world.loss_permille[i][4] = manner->loss_permille;
          world.loss_permille[4][i] = manner->loss_permille;
        }
      view_sim_run (&world, RUN_MS);
      messages += world.messages_sent - before;
      bytes += world.bytes_sent - bytes_before;
      changes += false_changes (&world);
      memset (world.loss_permille, 0, sizeof (world.loss_permille));
      view_sim_run (&world, SETTLE_MS);
      detection_sum_ms += detection_ms (&world);
      view_sim_clear (&world);
    }
  double host_seconds = (double) TRIALS * HOSTS * RUN_MS / 1000;
  printf ("  %-22s %14.1f %13.0f %16.2f %15.0f\n", manner->name, (double) changes / TRIALS,
          (double) detection_sum_ms / TRIALS, (double) messages / host_seconds,
          (double) bytes / host_seconds);
}

/* --- the ring ----------------------------------------------------------------- */

/* Time until every dead host is known, when the first DEAD neighbours die at
 * once: the watcher of the first one must give each up in turn. */
static int64_t
ring_detection_ms (const membership_limits_t *limits, int32_t dead)
{
  int64_t one_ms = limits->suspect_timeout_ms + limits->heartbeat_interval_ms;

  return one_ms + (int64_t) (dead - 1) * limits->suspect_timeout_ms;
}

static int64_t
mesh_detection_ms (int32_t dead)
{
  membership_limits_t limits = MEMBERSHIP_LIMITS_DEFAULT;
  view_sim_t world;

  view_sim_init (&world, &limits, SEED);
  for (int32_t i = 0; i < HOSTS; i++)
    view_sim_start_host (&world, i);
  view_sim_run (&world, SETTLE_MS);
  int64_t begin_ms = world.now_ms;
  for (int32_t i = 0; i < dead; i++)
    view_sim_stop_host (&world, HOSTS - 1 - i);
  while (view_sim_view (&world, 0)->count > HOSTS - dead && world.now_ms < begin_ms + 60000)
    view_sim_run (&world, VIEW_SIM_STEP_MS);
  int64_t elapsed_ms = world.now_ms - begin_ms;
  view_sim_clear (&world);
  return elapsed_ms;
}

static void
compare_ring (void)
{
  membership_limits_t limits = MEMBERSHIP_LIMITS_DEFAULT;
  double per_s = 1000.0 / (double) limits.heartbeat_interval_ms;

  printf ("\nmesh (measured) and ring (worked out), %d hosts\n", HOSTS);
  printf ("  messages per host and second: mesh %.1f, ring %.1f\n", per_s * (HOSTS - 1), per_s * 2);
  for (int32_t dead = 1; dead <= 3; dead++)
    printf ("  %d neighbouring deaths known after: mesh %" G_GINT64_FORMAT
            " ms, ring %" G_GINT64_FORMAT " ms\n",
            dead, mesh_detection_ms (dead), ring_detection_ms (&limits, dead));
}

static void
measure_sizes (void)
{
  static const int32_t sizes[] = { 3, 6, 8, 16 };

  printf ("\nbeats against hosts of a data centre\n  %5s %16s %15s\n", "hosts", "messages/host/s",
          "bytes/host/s");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      membership_limits_t limits = MEMBERSHIP_LIMITS_DEFAULT;
      view_sim_t world;
      view_sim_init (&world, &limits, SEED);
      for (int32_t j = 0; j < sizes[i]; j++)
        view_sim_start_host (&world, j);
      view_sim_run (&world, SETTLE_MS);
      int64_t messages = world.messages_sent;
      int64_t bytes = world.bytes_sent;
      view_sim_run (&world, RUN_MS);
      double host_seconds = (double) sizes[i] * RUN_MS / 1000;
      printf ("  %5d %16.2f %15.0f\n", sizes[i],
              (double) (world.messages_sent - messages) / host_seconds,
              (double) (world.bytes_sent - bytes) / host_seconds);
      view_sim_clear (&world);
    }
}

int
main (void)
{
  printf ("seed %u, %d hosts, %d trials of %d s; 2 of one host's links lose messages\n", SEED,
          HOSTS, TRIALS, RUN_MS / 1000);
  printf ("  %-22s %14s %13s %16s %15s\n", "manner", "false changes", "detection ms",
          "messages/host/s", "bytes/host/s");
  for (size_t i = 0; i < G_N_ELEMENTS (manners); i++)
    measure (&manners[i]);
  compare_ring ();
  measure_sizes ();
  return 0;
}
