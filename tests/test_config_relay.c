/* test_config_relay.c -- choice of the platform's reader and of pull sources; checkpoint schedule
 *
 * The random tests guard against a data centre without a reader or with too many.
 * Simulated hosts of one data centre exchange heartbeats while links are cut and
 * restored, hosts are frozen and restarted, and the platform answers only some of
 * them.  After the faults end, exactly one host must read; during an outage of
 * the platform without other faults, exactly two, or the only one.
 */
#include "base/hash.h"
#include "config/checkpoint.h"
#include "config/relay.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define SEED 20261206
#define SIMULATIONS 400
#define TICK_MS 50
#define FAULT_PHASE_MS 20000
/* Time for the hosts to settle after the faults: two heartbeat timeouts in a row
 * and two heartbeat intervals. */
#define SETTLE_PHASE_MS (2 * RELAY_HEARTBEAT_TIMEOUT_MS + 2 * RELAY_HEARTBEAT_INTERVAL_MS)
#define STEADY_PHASE_MS 3000
#define HOSTS_MAX 7
#define START_MS 1000000

typedef struct
{
  char id[8];
  relay_t *relay; /* NULL while the host is down */
  bool frozen;
  bool answered; /* the platform answers this host */
  bool reads;
  int64_t read_ms; /* total time as a reader */
} sim_host_t;

typedef struct
{
  GRand *random;
  sim_host_t hosts[HOSTS_MAX];
  int count;
  bool cut[HOSTS_MAX][HOSTS_MAX];
  int64_t now_ms;
} simulation_t;

static void
host_start (simulation_t *sim, int index)
{
  sim_host_t *host = &sim->hosts[index];
  host->relay = relay_new (host->id, "dc", sim->now_ms);
  host->frozen = false;
  for (int i = 0; i < sim->count; i++)
    if (i != index && sim->hosts[i].relay && !sim->cut[i][index])
      {
        relay_peer_up (host->relay, sim->hosts[i].id, "dc", sim->now_ms);
        relay_peer_up (sim->hosts[i].relay, host->id, "dc", sim->now_ms);
      }
}

static void
host_stop (simulation_t *sim, int index)
{
  sim_host_t *host = &sim->hosts[index];
  relay_free (host->relay);
  host->relay = NULL;
  host->reads = false;
  for (int i = 0; i < sim->count; i++)
    if (sim->hosts[i].relay)
      relay_peer_down (sim->hosts[i].relay, host->id);
}

static void
link_set (simulation_t *sim, int a, int b, bool cut)
{
  if (a == b || sim->cut[a][b] == cut)
    return;
  sim->cut[a][b] = cut;
  sim->cut[b][a] = cut;
  sim_host_t *left = &sim->hosts[a];
  sim_host_t *right = &sim->hosts[b];
  if (left->relay == NULL || right->relay == NULL)
    return;
  if (cut)
    {
      relay_peer_down (left->relay, right->id);
      relay_peer_down (right->relay, left->id);
      return;
    }
  relay_peer_up (left->relay, right->id, "dc", sim->now_ms);
  relay_peer_up (right->relay, left->id, "dc", sim->now_ms);
}

static void
send_heartbeats (simulation_t *sim, int index, bool answered)
{
  relay_heartbeat_t heartbeat = { answered, false };
  for (int i = 0; i < sim->count; i++)
    if (i != index && sim->hosts[i].relay && !sim->hosts[i].frozen && !sim->cut[index][i])
      relay_heartbeat_received (sim->hosts[i].relay, sim->hosts[index].id, &heartbeat, sim->now_ms);
}

static void
tick (simulation_t *sim)
{
  sim->now_ms += TICK_MS;
  for (int i = 0; i < sim->count; i++)
    {
      sim_host_t *host = &sim->hosts[i];
      relay_actions_t actions;
      if (host->relay == NULL || host->frozen)
        continue;
      if (host->reads && host->answered)
        relay_platform_answered (host->relay, sim->now_ms);
      relay_step (host->relay, false, sim->now_ms, &actions);
      host->reads = actions.read_platform;
      host->read_ms += host->reads ? TICK_MS : 0;
      if (actions.send_heartbeat)
        send_heartbeats (sim, i, actions.platform_answered);
    }
}

static void
inject_fault (simulation_t *sim)
{
  int a = g_rand_int_range (sim->random, 0, sim->count);
  int b = g_rand_int_range (sim->random, 0, sim->count);
  sim_host_t *host = &sim->hosts[a];
  switch (g_rand_int_range (sim->random, 0, 5))
    {
    case 0:
      link_set (sim, a, b, !sim->cut[a][b]);
      break;
    case 1:
      host->frozen = !host->frozen;
      break;
    case 2:
      host->answered = !host->answered;
      break;
    case 3:
      if (host->relay)
        host_stop (sim, a);
      else
        host_start (sim, a);
      break;
    default:
      break;
    }
}

static void
end_faults (simulation_t *sim)
{
  for (int a = 0; a < sim->count; a++)
    {
      sim->hosts[a].frozen = false;
      sim->hosts[a].answered = true;
      for (int b = 0; b < sim->count; b++)
        link_set (sim, a, b, false);
      if (sim->hosts[a].relay == NULL)
        host_start (sim, a);
    }
}

static int
count_readers (const simulation_t *sim)
{
  int readers = 0;
  for (int i = 0; i < sim->count; i++)
    readers += sim->hosts[i].reads;
  return readers;
}

static void
run_for (simulation_t *sim, int64_t duration_ms, int fault_percent)
{
  int64_t end_ms = sim->now_ms + duration_ms;
  while (sim->now_ms < end_ms)
    {
      if (g_rand_int_range (sim->random, 0, 100) < fault_percent)
        inject_fault (sim);
      tick (sim);
    }
}

static void
simulation_start (simulation_t *sim, GRand *random)
{
  *sim = (simulation_t){ .random = random, .now_ms = START_MS };
  sim->count = g_rand_int_range (random, 1, HOSTS_MAX + 1);
  for (int i = 0; i < sim->count; i++)
    {
      g_snprintf (sim->hosts[i].id, sizeof sim->hosts[i].id, "h%d", i);
      sim->hosts[i].answered = true;
      host_start (sim, i);
    }
}

static void
simulation_end (simulation_t *sim)
{
  for (int i = 0; i < sim->count; i++)
    relay_free (sim->hosts[i].relay);
}

static void
test_random (void)
{
  GRand *random = g_rand_new_with_seed (SEED);
  int64_t ticks = 0;
  for (int i = 0; i < SIMULATIONS; i++)
    {
      simulation_t sim;
      simulation_start (&sim, random);
      run_for (&sim, FAULT_PHASE_MS, 5);
      end_faults (&sim);
      run_for (&sim, SETTLE_PHASE_MS, 0);
      int64_t end_ms = sim.now_ms + STEADY_PHASE_MS;
      while (sim.now_ms < end_ms)
        {
          tick (&sim);
          CU_ASSERT_EQUAL (count_readers (&sim), 1);
        }
      ticks += (sim.now_ms - START_MS) / TICK_MS;
      simulation_end (&sim);
    }
  printf ("\n    seed %d, %d data centres, %" PRId64 " ticks\n", SEED, SIMULATIONS, ticks);
  g_rand_free (random);
}

/* If the platform answers no host, two hosts read, however many there are. */
static void
test_outage (void)
{
  GRand *random = g_rand_new_with_seed (SEED);
  for (int i = 0; i < SIMULATIONS; i++)
    {
      simulation_t sim;
      simulation_start (&sim, random);
      run_for (&sim, SETTLE_PHASE_MS, 0);
      for (int j = 0; j < sim.count; j++)
        sim.hosts[j].answered = false;
      run_for (&sim, 2 * RELAY_ANSWER_TIMEOUT_MS + 2 * RELAY_HEARTBEAT_INTERVAL_MS, 0);
      int64_t end_ms = sim.now_ms + STEADY_PHASE_MS;
      while (sim.now_ms < end_ms)
        {
          tick (&sim);
          CU_ASSERT_EQUAL (count_readers (&sim), MIN (sim.count, 2));
        }
      simulation_end (&sim);
    }
  g_rand_free (random);
}

/* The reader stops without notice: measures the time until another host reads. */
static void
test_failover (void)
{
  GRand *random = g_rand_new_with_seed (SEED);
  int64_t longest_ms = 0;
  for (int i = 0; i < SIMULATIONS; i++)
    {
      simulation_t sim;
      simulation_start (&sim, random);
      run_for (&sim, SETTLE_PHASE_MS + g_rand_int_range (random, 0, RELAY_HEARTBEAT_INTERVAL_MS),
               0);
      for (int j = 0; j < sim.count && sim.count > 1; j++)
        sim.hosts[j].frozen = sim.hosts[j].frozen || sim.hosts[j].reads;
      int64_t begin_ms = sim.now_ms;
      int frozen = count_readers (&sim);
      while (sim.count > 1 && count_readers (&sim) == frozen)
        tick (&sim);
      longest_ms = MAX (longest_ms, sim.now_ms - begin_ms);
      simulation_end (&sim);
    }
  printf ("\n    longest time to a new reader: %" PRId64 " ms\n", longest_ms);
  CU_ASSERT (longest_ms <= RELAY_HEARTBEAT_TIMEOUT_MS + RELAY_HEARTBEAT_INTERVAL_MS + TICK_MS);
  g_rand_free (random);
}

/* The pull source in the basic situations. */
static void
test_pull_source (void)
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
  /* No second pull within the pull interval. */
  relay_step (relay, true, START_MS + 2, &actions);
  CU_ASSERT_PTR_NULL (actions.pull_from);
  /* A reader with state that receives answers does not pull. */
  int64_t now_ms = START_MS + RELAY_PULL_INTERVAL_MS + 1;
  relay_platform_answered (relay, now_ms);
  relay_step (relay, false, now_ms, &actions);
  CU_ASSERT_PTR_NULL (actions.pull_from);
  /* Pulls from a host of this data centre that has newer data, until a heartbeat of
   * that host shows that it has none. */
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

/* A reader that receives no answers pulls from the other data centres in turn and
 * stays with the peer that supplies newer data. */
static void
test_pull_source_kept (void)
{
  relay_actions_t actions;
  relay_t *relay = relay_new ("h0", "dc", START_MS);
  int far[2] = { 0, 0 };
  relay_peer_up (relay, "near", "dc", START_MS);
  relay_peer_up (relay, "far1", "b", START_MS);
  relay_peer_up (relay, "far2", "c", START_MS);
  int64_t now_ms = START_MS;
  /* Only far2 supplies newer data; after this loop it supplies none. */
  for (int64_t end_ms = now_ms + 20 * RELAY_PULL_INTERVAL_MS; now_ms < end_ms; now_ms += TICK_MS)
    {
      relay_heartbeat_t heartbeat = { false, false };
      relay_heartbeat_received (relay, "near", &heartbeat, now_ms);
      relay_step (relay, false, now_ms, &actions);
      if (actions.pull_from == NULL)
        continue;
      CU_ASSERT (g_strcmp0 (actions.pull_from, "near") != 0);
      far[0] += g_strcmp0 (actions.pull_from, "far1") == 0;
      far[1] += g_strcmp0 (actions.pull_from, "far2") == 0;
      if (g_strcmp0 (actions.pull_from, "far2") == 0)
        relay_pull_succeeded (relay, "far2", now_ms);
    }
  /* If the other host ranks higher, this host starts to read only after it has seen
   * that the other one receives no answers. */
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

/* A host without state pulls from its own and from the other data centres in turn. */
static void
test_pull_round_robin (void)
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
  checkpoint_inputs_t inputs;
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
      checkpoint_schedule_t schedule = { .last_checkpoint_offset = -1 };
      bool due_now =
          checkpoint_should_append (&schedule, &checkpoint_cases[i].inputs, START_MS, START_MS);
      if (due_now != checkpoint_cases[i].due)
        printf ("\n    %s", checkpoint_cases[i].name);
      CU_ASSERT_EQUAL (due_now, checkpoint_cases[i].due);
      /* The append is not repeated at once. */
      CU_ASSERT_FALSE (checkpoint_should_append (&schedule, &checkpoint_cases[i].inputs,
                                                 START_MS + 1, START_MS));
      /* It is repeated at once if a new checkpoint has appeared in the log and a further
       * one is due. */
      checkpoint_inputs_t next = checkpoint_cases[i].inputs;
      next.checkpoint_offset += checkpoint_cases[i].due ? 1 : 0;
      next.records_since += CHECKPOINT_MIN_RECORDS + next.entry_count;
      CU_ASSERT_EQUAL (checkpoint_should_append (&schedule, &next, START_MS + 2, START_MS),
                       next.log_end_offset > 0);
      /* A data centre of rank 1 waits for the rank delay. */
      checkpoint_inputs_t second = checkpoint_cases[i].inputs;
      second.rank = 1;
      schedule = (checkpoint_schedule_t){ .last_checkpoint_offset = -1 };
      CU_ASSERT_FALSE (checkpoint_should_append (&schedule, &second, START_MS, START_MS));
      CU_ASSERT_EQUAL (checkpoint_should_append (&schedule, &second,
                                                 START_MS + CHECKPOINT_RANK_DELAY_MS, START_MS),
                       checkpoint_cases[i].due);
    }
}

static const unit_test_t tests[] = {
  { "random", test_random },
  { "outage", test_outage },
  { "failover", test_failover },
  { "pull source", test_pull_source },
  { "pull round robin", test_pull_round_robin },
  { "pull source kept", test_pull_source_kept },
  { "checkpoint cases", test_checkpoint_cases },
};

int
main (void)
{
  return unit_run ("config_relay", tests, G_N_ELEMENTS (tests));
}
