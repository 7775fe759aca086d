/* test_quota_use.c -- how much of a limit is in use, over simulated time */
#include "test_quota_sim.h"
#include "tests/unit_runner.h"

#define TASK_MS 200
#define MAX_USE_MS 3000
#define RATE_RUN_MS 1000

/* In each millisecond, starts as many tasks as possible on each host that has a
 * backlog. */
static void
run_with_backlog (sim_t *sim, int limit, const int64_t *backlog, int64_t for_ms)
{
  int64_t end = sim->now_ms + for_ms;

  while (sim->now_ms < end)
    {
      for (int i = 0; i < sim->host_count; i++)
        {
          sim_host_t *h = &sim->hosts[i];
          if (!h->alive || h->paused_until_ms != 0)
            continue;
          quota_set_demand (h->quota, sim->limits[limit].name, backlog[i]);
          for (int64_t k = 0; k < backlog[i]; k++)
            if (!sim_acquire (sim, i, limit, MAX_USE_MS, TASK_MS))
              break;
          quota_event_t request = { .kind = QUOTA_EVENT_REQUEST };
          if (backlog[i] > 0)
            sim_host_step (sim, i, &request);
        }
      sim_run (sim, sim->now_ms + 1);
    }
}

/* Returns the mean number of units in use over the next FOR_MS, in percent of
 * the limit. */
static int64_t
used_percent (sim_t *sim, int limit, const int64_t *backlog, int64_t for_ms)
{
  int64_t sum = 0;

  for (int64_t i = 0; i < for_ms; i++)
    {
      run_with_backlog (sim, limit, backlog, 1);
      sum += sim_in_use (sim, limit);
    }
  return sum * 100 / for_ms / sim->limits[limit].units;
}

typedef struct
{
  const char *description;
  int first; /* hosts first to last have the backlog */
  int last;
} demand_case_t;

static const demand_case_t demand_cases[] = { { "one host", 0, 0 },
                                              { "one data centre", 0, 3 },
                                              { "all hosts", 0, 11 },
                                              { "another host", 7, 7 },
                                              { "all hosts again", 0, 11 } };

static void
check_demand_cases (const char *name, int64_t units)
{
  sim_t *sim = sim_new (3, 4, &quota_rules_all, 11);
  int limit = sim_add_limit (sim, name, -1, units);

  sim_run (sim, sim->now_ms + 1500);
  for (size_t s = 0; s < G_N_ELEMENTS (demand_cases); s++)
    {
      int64_t backlog[SIM_HOSTS_MAX] = { 0 };
      for (int i = demand_cases[s].first; i <= demand_cases[s].last; i++)
        backlog[i] = 2 * units;
      run_with_backlog (sim, limit, backlog, 2000);
      int64_t percent = used_percent (sim, limit, backlog, 2000);
      printf ("  %s %ld units, %s: %ld %% used after 2 s\n", name, (long) units,
              demand_cases[s].description, (long) percent);
      CU_ASSERT (percent >= 95);
    }
  CU_ASSERT_EQUAL (sim->violations, 0);
  sim_free (sim);
}

static void
test_demand_cases (void)
{
  check_demand_cases ("running/gold", 64);
  check_demand_cases ("running/gold", 510);
  check_demand_cases ("starts/gold", 300);
}

/* Slots of an endpoint among the hosts of its data centre: every idle host has
 * one, and a host with a backlog soon gets all. */
static void
test_slots (void)
{
  sim_t *sim = sim_new (1, 8, &quota_rules_all, 12);
  int limit = sim_add_limit (sim, "slots/e1", 0, 8);
  int64_t backlog[SIM_HOSTS_MAX] = { 0 };

  sim_run (sim, sim->now_ms + 1500);
  int hosts_with_units = 0;
  for (int i = 0; i < 8; i++)
    hosts_with_units +=
        quota_available (sim->hosts[i].quota, "slots/e1", sim_local_ms (sim, i)) > 0;
  printf ("  slots/e1 idle: %d of 8 hosts can start at once\n", hosts_with_units);
  CU_ASSERT_EQUAL (hosts_with_units, 8);
  backlog[3] = 40;
  run_with_backlog (sim, limit, backlog, 50);
  printf ("  slots/e1 50 ms after a backlog at one host: %ld of 8 in use\n",
          (long) sim_in_use (sim, limit));
  CU_ASSERT_EQUAL (sim_in_use (sim, limit), 8);
  CU_ASSERT_EQUAL (sim->violations, 0);
  sim_free (sim);
}

static const int64_t small_limit_units[] = { 1, 2, 3 };

/* With fewer units than hosts, every host with a backlog is served. */
static void
test_small_limits (void)
{
  for (size_t c = 0; c < G_N_ELEMENTS (small_limit_units); c++)
    for (int centres = 1; centres <= 2; centres++)
      {
        sim_t *sim = sim_new (centres, 8 / centres, &quota_rules_all, 13);
        int limit = sim_add_limit (sim, "running/tiny", -1, small_limit_units[c]);
        int64_t backlog[SIM_HOSTS_MAX];
        int64_t running_ms[SIM_HOSTS_MAX] = { 0 };
        int64_t sum = 0;
        int64_t least_running_ms = INT64_MAX;
        for (int i = 0; i < SIM_HOSTS_MAX; i++)
          backlog[i] = 2;
        sim_run (sim, sim->now_ms + 1500);
        for (int ms = 0; ms < 16000; ms++)
          {
            run_with_backlog (sim, limit, backlog, 1);
            sum += sim_in_use (sim, limit);
            for (guint i = 0; i < sim->tasks->len; i++)
              running_ms[g_array_index (sim->tasks, sim_task_t, i).host]++;
          }
        for (int i = 0; i < sim->host_count; i++)
          least_running_ms = MIN (least_running_ms, running_ms[i]);
        printf ("  running/tiny %ld units, 8 hosts in %d data centres: %ld %% used, the least "
                "served host had %ld ms\n",
                (long) small_limit_units[c], centres,
                (long) (sum * 100 / 16000 / small_limit_units[c]), (long) least_running_ms);
        CU_ASSERT (sum * 100 / 16000 / small_limit_units[c] >= 80);
        CU_ASSERT (least_running_ms > 0);
        CU_ASSERT_EQUAL (sim->violations, 0);
        sim_free (sim);
      }
}

static void
check_allocator (const quota_status_t *status, void *data)
{
  *(bool *) data |= status->is_allocator;
}

static int
find_allocator (sim_t *sim)
{
  for (int i = 0; i < sim->host_count; i++)
    {
      bool is_allocator = false;
      quota_for_each (sim->hosts[i].quota, sim_local_ms (sim, i), check_allocator, &is_allocator);
      if (is_allocator)
        return i;
    }
  CU_FAIL ("no host is the active allocator");
  return 0;
}

/* Returns the longest time without a start of a task after the allocator has
 * died. */
static int64_t
measure_start_gap (bool connections_reset, bool view_changes, int hosts)
{
  sim_t *sim = sim_new (1, hosts, &quota_rules_all, 14);
  int limit = sim_add_limit (sim, "running/gold", -1, 40);
  int64_t backlog[SIM_HOSTS_MAX];
  int64_t last = 0;
  int64_t gap = 0;

  for (int i = 0; i < SIM_HOSTS_MAX; i++)
    backlog[i] = 20;
  sim_run (sim, sim->now_ms + 1000);
  run_with_backlog (sim, limit, backlog, 3000);
  int dead_host = find_allocator (sim);
  sim_kill_host (sim, dead_host);
  for (int i = 0; connections_reset && i < hosts; i++)
    {
      quota_event_t down = { .kind = QUOTA_EVENT_PEER,
                             .host = sim->hosts[dead_host].name,
                             .data_centre = "dc0" };
      if (i != dead_host)
        sim_host_step (sim, i, &down);
    }
  last = sim->now_ms;
  for (int ms = 0; ms < 8000; ms++)
    {
      int64_t acquired = sim->acquired;
      run_with_backlog (sim, limit, backlog, 1);
      if (ms == 1500 && view_changes)
        {
          sim->is_member[dead_host] = false;
          sim_append_view (sim, 0, 20);
        }
      if (sim->acquired == acquired)
        continue;
      gap = MAX (gap, sim->now_ms - last);
      last = sim->now_ms;
    }
  gap = MAX (gap, sim->now_ms - last);
  CU_ASSERT_EQUAL (sim->violations, 0);
  sim_free (sim);
  return gap;
}

typedef struct
{
  bool connections_reset;
  bool view_changes;
  int hosts;
} start_gap_case_t;

static const start_gap_case_t start_gap_cases[] = { { true, true, 8 },   { false, true, 8 },
                                                    { false, false, 8 }, { true, false, 3 },
                                                    { false, true, 3 },  { false, true, 2 } };

static void
test_start_gap (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (start_gap_cases); i++)
    {
      const start_gap_case_t *c = &start_gap_cases[i];
      int64_t gap = measure_start_gap (c->connections_reset, c->view_changes, c->hosts);
      printf ("  a host of %d dies%s%s: no start for %ld ms\n", c->hosts,
              c->connections_reset ? ", connections are reset" : "",
              c->view_changes ? "" : ", no view change", (long) gap);
      CU_ASSERT (gap < 3000);
    }
}

/* A stopping host returns its share before it exits. */
static void
test_leave (void)
{
  sim_t *sim = sim_new (1, 3, &quota_rules_all, 15);
  int64_t held = 0;

  sim_add_limit (sim, "running/gold", -1, 30);
  sim_run (sim, sim->now_ms + 3000);
  quota_event_t leave = { .kind = QUOTA_EVENT_LEAVE };
  sim_host_step (sim, 0, &leave);
  int64_t start_ms = sim->now_ms;
  while (!quota_has_left (sim->hosts[0].quota, sim_local_ms (sim, 0))
         && sim->now_ms < start_ms + 1000)
    sim_run (sim, sim->now_ms + 1);
  printf ("  a host has given back its share after %ld ms\n", (long) (sim->now_ms - start_ms));
  CU_ASSERT (quota_has_left (sim->hosts[0].quota, sim_local_ms (sim, 0)));
  sim_kill_host (sim, 0);
  sim_run (sim, sim->now_ms + 1100);
  for (int i = 1; i < 3; i++)
    held += quota_available (sim->hosts[i].quota, "running/gold", sim_local_ms (sim, i));
  CU_ASSERT_EQUAL (held, 30);
  CU_ASSERT_EQUAL (sim->violations, 0);
  sim_free (sim);
}

static const unit_test_t tests[] = {
  { "95 percent within 2 s", test_demand_cases },
  { "slots", test_slots },
  { "small limits", test_small_limits },
  { "allocator dies", test_start_gap },
  { "a host leaves", test_leave },
};

int
main (void)
{
  return unit_run ("quota_use", tests, G_N_ELEMENTS (tests));
}
