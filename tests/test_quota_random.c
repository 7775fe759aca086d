/* test_quota_random.c -- limits under random faults, checked by a plain count
 * of tasks
 *
 * Hosts are killed, replaced, paused and isolated; data centres are cut off in
 * one direction or both; messages are lost, duplicated, delayed and reordered;
 * limits are lowered and raised.  Tasks keep running when their host dies.
 * After each start, the number of running tasks must not exceed the limit in
 * force.  With any one safety rule off, the same test must find a violation.
 *
 * SHARE_CASE=number runs one case only; SHARE_SEED=number replaces the seeds.
 *
 * Every running host learns of a view within VIEW_DELAY_MS of its entry in the
 * log.  QUOTA_VIEW_WAIT_MS relies on such a bound.
 */
#include "test_quota_sim.h"
#include "tests/unit_runner.h"

#include <stdlib.h>

#define VIEW_DELAY_MS 1000
#define LIMIT_DELAY_MS 500
#define STEPS 400000
#define STEPS_UNSAFE 3000000
#define PAUSE_MAX_MS 6000
#define CUT_MAX_MS 8000

typedef struct
{
  const char *description;
  int centres;
  int hosts;
  quota_rules_t rules;
  uint32_t seed;
  bool is_safe;
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

/* Times at which faults end, by data centre or host. */
typedef struct
{
  int64_t cut_until_ms[SIM_CENTRES_MAX][SIM_CENTRES_MAX];
  int64_t isolated_until_ms[SIM_HOSTS_MAX];
  int64_t restart_at_ms[SIM_HOSTS_MAX];
  int64_t leave_at_ms[SIM_HOSTS_MAX];
  int64_t replace_at_ms[SIM_HOSTS_MAX]; /* a restarted process replaces its predecessor */
} fault_ends_t;

static int
random_int (sim_t *sim, int low, int high)
{
  return g_rand_int_range (sim->rand, low, high);
}

static void
end_faults (sim_t *sim, fault_ends_t *ends)
{
  for (int i = 0; i < sim->centres; i++)
    for (int k = 0; k < sim->centres; k++)
      if (sim->is_cut[i][k] && sim->now_ms >= ends->cut_until_ms[i][k])
        sim->is_cut[i][k] = false;
  for (int i = 0; i < sim->host_count; i++)
    {
      sim_host_t *host = &sim->hosts[i];
      if (sim->is_isolated[i] && sim->now_ms >= ends->isolated_until_ms[i])
        sim->is_isolated[i] = false;
      if (!host->alive && sim->now_ms >= ends->restart_at_ms[i])
        {
          sim_start_host (sim, i);
          ends->replace_at_ms[i] = sim->now_ms + random_int (sim, 0, 1500);
        }
      if (host->alive && sim->is_member[i] && ends->replace_at_ms[i] != 0
          && sim->now_ms >= ends->replace_at_ms[i])
        {
          ends->replace_at_ms[i] = 0;
          sim_append_view (sim, host->centre, VIEW_DELAY_MS);
        }
      if (!host->alive && sim->is_member[i] && sim->now_ms >= ends->leave_at_ms[i])
        {
          sim->is_member[i] = false;
          sim_append_view (sim, host->centre, VIEW_DELAY_MS);
        }
      else if (host->alive && !sim->is_member[i] && sim->now_ms >= ends->restart_at_ms[i] + 500)
        {
          sim->is_member[i] = true;
          ends->replace_at_ms[i] = 0;
          sim_append_view (sim, host->centre, VIEW_DELAY_MS);
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
inject_host_fault (sim_t *sim, fault_ends_t *ends)
{
  int i = random_int (sim, 0, sim->host_count);
  sim_host_t *host = &sim->hosts[i];

  if (!host->alive || host->paused_until_ms != 0)
    return;
  switch (random_int (sim, 0, 4))
    {
    case 0:
      if (count_alive (sim, host->centre) < 2)
        return;
      sim_kill_host (sim, i);
      ends->restart_at_ms[i] = sim->now_ms + random_int (sim, 0, 5000);
      ends->leave_at_ms[i] = sim->now_ms + random_int (sim, 100, 3000);
      break;
    case 1:
      sim->is_isolated[i] = true;
      ends->isolated_until_ms[i] = sim->now_ms + random_int (sim, 0, CUT_MAX_MS);
      break;
    default:
      host->paused_until_ms = sim->now_ms + random_int (sim, 1, PAUSE_MAX_MS);
      break;
    }
}

static void
inject_network_fault (sim_t *sim, fault_ends_t *ends)
{
  int from = random_int (sim, 0, sim->centres);
  int to = random_int (sim, 0, sim->centres);
  bool both_directions = random_int (sim, 0, 2) == 0;

  sim->loss = random_int (sim, 0, 4) == 0 ? random_int (sim, 0, 30) / 100.0 : 0.0;
  sim->duplication = random_int (sim, 0, 3) == 0 ? 0.2 : 0.0;
  sim->delay_max_ms =
      random_int (sim, 0, 4) == 0 ? random_int (sim, 1, 400) : random_int (sim, 0, 5);
  if (from == to)
    return;
  sim->is_cut[from][to] = true;
  sim->is_cut[to][from] |= both_directions;
  ends->cut_until_ms[from][to] = sim->now_ms + random_int (sim, 0, CUT_MAX_MS);
  ends->cut_until_ms[to][from] = ends->cut_until_ms[from][to];
}

static void
change_limit (sim_t *sim)
{
  int limit = random_int (sim, 0, sim->limit_count);

  sim_set_limit (sim, limit, random_int (sim, 0, 13), LIMIT_DELAY_MS);
}

static void
use_limit (sim_t *sim)
{
  int host = random_int (sim, 0, sim->host_count);
  int limit = random_int (sim, 0, sim->limit_count);
  int max_acquires = random_int (sim, 1, 12);

  if (!sim->hosts[host].alive || sim->hosts[host].paused_until_ms != 0)
    return;
  if (sim->limits[limit].centre >= 0 && sim->limits[limit].centre != sim->hosts[host].centre)
    return;
  if (sim->hosts[host].revision[limit] == 0)
    return; /* The host has no configuration yet and would not be ready. */
  quota_set_demand (sim->hosts[host].quota, sim->limits[limit].name, max_acquires);
  bool acquired = true;
  for (int i = 0; i < max_acquires && acquired; i++)
    {
      int64_t use_ms =
          random_int (sim, 0, 50) == 0 ? random_int (sim, 10, 7000) : random_int (sim, 10, 3000);
      acquired = sim_acquire (sim, host, limit, use_ms,
                              random_int (sim, 0, 3) == 0 ? use_ms : random_int (sim, 1, 400));
    }
  if (acquired)
    return;
  quota_event_t request = { .kind = QUOTA_EVENT_REQUEST };
  sim_host_step (sim, host, &request);
}

static void
run_case (const random_case_t *c)
{
  const char *seed_override = g_getenv ("SHARE_SEED");
  uint32_t seed = seed_override != NULL ? (uint32_t) strtoul (seed_override, NULL, 10) : c->seed;
  sim_t *sim = sim_new (c->centres, c->hosts, &c->rules, seed);
  fault_ends_t ends = { 0 };
  int64_t steps = 0;
  int64_t max_steps = c->is_safe ? STEPS : STEPS_UNSAFE;

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
  while (steps < max_steps && (c->is_safe || sim->violations == 0))
    {
      steps++;
      sim_run (sim, sim->now_ms + random_int (sim, 0, 6));
      end_faults (sim, &ends);
      int action = random_int (sim, 0, 2000);
      if (action < 1)
        inject_host_fault (sim, &ends);
      else if (action < 2)
        inject_network_fault (sim, &ends);
      else if (action < 3)
        change_limit (sim);
      else
        use_limit (sim);
    }
  printf (
      "\n  %s, seed %u: %ld steps, %ld s simulated, %ld units taken, %ld violations, most in use",
      c->description, seed, (long) steps, (long) (sim->now_ms / 1000), (long) sim->acquired,
      (long) sim->violations);
  for (int i = 0; i < sim->limit_count; i++)
    printf (" %ld", (long) sim->limits[i].max_in_use);
  if (c->is_safe)
    CU_ASSERT_EQUAL (sim->violations, 0);
  if (!c->is_safe)
    CU_ASSERT (sim->violations > 0);
  CU_ASSERT (sim->acquired > 1000 || !c->is_safe);
  sim_free (sim);
}

static void
test_random (void)
{
  const char *selected_case = g_getenv ("SHARE_CASE");

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (selected_case == NULL || (size_t) atoi (selected_case) == i)
      run_case (&cases[i]);
  printf ("\n");
}

static const unit_test_t tests[] = {
  { "never over the limit", test_random },
};

int
main (void)
{
  return unit_run ("quota_random", tests, G_N_ELEMENTS (tests));
}
