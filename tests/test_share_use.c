/* test_share_use.c -- how much of a limit is in use, over simulated time */
#include "test_share_world.h"

#define TASK_MS 200
#define USE_MS 3000
#define RATE_RUN_MS 1000

/* Lets every host with demand start as many tasks as it can, each millisecond. */
static void
press (world_t *world, int limit, const int64_t *backlog, int64_t for_ms)
{
  int64_t end = world->now_ms + for_ms;

  while (world->now_ms < end)
    {
      for (int i = 0; i < world->host_count; i++)
        {
          world_host_t *h = &world->hosts[i];
          if (!h->alive || h->frozen_until_ms != 0)
            continue;
          share_set_demand (h->share, world->limits[limit].name, backlog[i]);
          for (int64_t k = 0; k < backlog[i]; k++)
            if (!world_take (world, i, limit, USE_MS, TASK_MS))
              break;
          share_event_t ask = { .kind = SHARE_EVENT_ASK };
          if (backlog[i] > 0)
            world_host_step (world, i, &ask);
        }
      world_run (world, world->now_ms + 1);
    }
}

/* Mean of the units in use over the next FOR_MS, in percent of the limit. */
static int64_t
used_percent (world_t *world, int limit, const int64_t *backlog, int64_t for_ms)
{
  int64_t sum = 0;

  for (int64_t i = 0; i < for_ms; i++)
    {
      press (world, limit, backlog, 1);
      sum += world_in_use (world, limit);
    }
  return sum * 100 / for_ms / world->limits[limit].units;
}

typedef struct
{
  const char *what;
  int first; /* hosts first..last have the demand */
  int last;
} shape_t;

static const shape_t shapes[] = { { "one host", 0, 0 },
                                  { "one data centre", 0, 3 },
                                  { "all hosts", 0, 11 },
                                  { "another host", 7, 7 },
                                  { "all hosts again", 0, 11 } };

static void
check_shapes (const char *name, int64_t units)
{
  world_t *world = world_new (3, 4, &share_rules_all, 11);
  int limit = world_add_limit (world, name, -1, units);

  world_run (world, world->now_ms + 1500);
  for (size_t s = 0; s < G_N_ELEMENTS (shapes); s++)
    {
      int64_t backlog[WORLD_HOSTS_MAX] = { 0 };
      for (int i = shapes[s].first; i <= shapes[s].last; i++)
        backlog[i] = 2 * units;
      press (world, limit, backlog, 2000);
      int64_t percent = used_percent (world, limit, backlog, 2000);
      printf ("  %s %ld units, %s: %ld %% used after 2 s\n", name, (long) units, shapes[s].what,
              (long) percent);
      CU_ASSERT (percent >= 95);
    }
  CU_ASSERT_EQUAL (world->violations, 0);
  world_free (world);
}

static void
test_shapes (void)
{
  check_shapes ("running/gold", 64);
  check_shapes ("running/gold", 510);
  check_shapes ("starts/gold", 300);
}

/* An endpoint's slots among the hosts of its data centre. */
static void
test_slots (void)
{
  world_t *world = world_new (1, 8, &share_rules_all, 12);
  int limit = world_add_limit (world, "slots/e1", 0, 8);
  int64_t backlog[WORLD_HOSTS_MAX] = { 0 };

  world_run (world, world->now_ms + 1500);
  int spread = 0;
  for (int i = 0; i < 8; i++)
    spread += share_available (world->hosts[i].share, "slots/e1", world_local_ms (world, i)) > 0;
  printf ("  slots/e1 idle: %d of 8 hosts can start at once\n", spread);
  CU_ASSERT_EQUAL (spread, 8);
  backlog[3] = 40;
  press (world, limit, backlog, 50);
  printf ("  slots/e1 50 ms after a backlog at one host: %ld of 8 in use\n",
          (long) world_in_use (world, limit));
  CU_ASSERT_EQUAL (world_in_use (world, limit), 8);
  CU_ASSERT_EQUAL (world->violations, 0);
  world_free (world);
}

static const int64_t small_limits[] = { 1, 2, 3 };

/* With fewer units than hosts each host with demand gets its turn. */
static void
test_small (void)
{
  for (size_t c = 0; c < G_N_ELEMENTS (small_limits); c++)
    for (int centres = 1; centres <= 2; centres++)
      {
        world_t *world = world_new (centres, 8 / centres, &share_rules_all, 13);
        int limit = world_add_limit (world, "running/tiny", -1, small_limits[c]);
        int64_t backlog[WORLD_HOSTS_MAX];
        int64_t taken[WORLD_HOSTS_MAX] = { 0 };
        int64_t sum = 0;
        int64_t fewest = INT64_MAX;
        for (int i = 0; i < WORLD_HOSTS_MAX; i++)
          backlog[i] = 2;
        world_run (world, world->now_ms + 1500);
        for (int ms = 0; ms < 16000; ms++)
          {
            press (world, limit, backlog, 1);
            sum += world_in_use (world, limit);
            for (guint i = 0; i < world->tasks->len; i++)
              taken[g_array_index (world->tasks, world_task_t, i).host]++;
          }
        for (int i = 0; i < world->host_count; i++)
          fewest = MIN (fewest, taken[i]);
        printf ("  running/tiny %ld units, 8 hosts in %d data centres: %ld %% used, the least "
                "served host had %ld ms\n",
                (long) small_limits[c], centres, (long) (sum * 100 / 16000 / small_limits[c]),
                (long) fewest);
        CU_ASSERT (sum * 100 / 16000 / small_limits[c] >= 80);
        CU_ASSERT (fewest > 0);
        CU_ASSERT_EQUAL (world->violations, 0);
        world_free (world);
      }
}

static void
note_allotter (const share_status_t *status, void *data)
{
  *(bool *) data |= status->allots;
}

static int
find_allotter (world_t *world)
{
  for (int i = 0; i < world->host_count; i++)
    {
      bool allots = false;
      share_each (world->hosts[i].share, world_local_ms (world, i), note_allotter, &allots);
      if (allots)
        return i;
    }
  CU_FAIL ("no host allots");
  return 0;
}

/* Longest time without any start of a task, after the allotter's death. */
static int64_t
measure_gap (bool told, bool view_changes, int hosts)
{
  world_t *world = world_new (1, hosts, &share_rules_all, 14);
  int limit = world_add_limit (world, "running/gold", -1, 40);
  int64_t backlog[WORLD_HOSTS_MAX];
  int64_t last = 0;
  int64_t gap = 0;

  for (int i = 0; i < WORLD_HOSTS_MAX; i++)
    backlog[i] = 20;
  world_run (world, world->now_ms + 1000);
  press (world, limit, backlog, 3000);
  int dead = find_allotter (world);
  world_kill_host (world, dead);
  for (int i = 0; told && i < hosts; i++)
    {
      share_event_t down = { .kind = SHARE_EVENT_PEER,
                             .host = world->hosts[dead].name,
                             .data_centre = "dc0" };
      if (i != dead)
        world_host_step (world, i, &down);
    }
  last = world->now_ms;
  for (int ms = 0; ms < 8000; ms++)
    {
      int64_t takes = world->takes;
      press (world, limit, backlog, 1);
      if (ms == 1500 && view_changes)
        {
          world->member[dead] = false;
          world_change_view (world, 0, 20);
        }
      if (world->takes == takes)
        continue;
      gap = MAX (gap, world->now_ms - last);
      last = world->now_ms;
    }
  gap = MAX (gap, world->now_ms - last);
  CU_ASSERT_EQUAL (world->violations, 0);
  world_free (world);
  return gap;
}

typedef struct
{
  bool told;
  bool view_changes;
  int hosts;
} gap_case_t;

static const gap_case_t gap_cases[] = {
  { true, true, 8 },  { false, true, 8 }, { false, false, 8 },
  { true, false, 3 }, { false, true, 3 }, { false, true, 2 }
};

static void
test_gap (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (gap_cases); i++)
    {
      const gap_case_t *c = &gap_cases[i];
      int64_t gap = measure_gap (c->told, c->view_changes, c->hosts);
      printf ("  a host of %d dies%s%s: no start for %ld ms\n", c->hosts,
              c->told ? ", connections are reset" : "", c->view_changes ? "" : ", no view change",
              (long) gap);
      CU_ASSERT (gap < 3000);
    }
}

/* A host that stops gives its share back before it exits. */
static void
test_leave (void)
{
  world_t *world = world_new (1, 3, &share_rules_all, 15);
  int64_t held = 0;

  world_add_limit (world, "running/gold", -1, 30);
  world_run (world, world->now_ms + 3000);
  share_event_t leave = { .kind = SHARE_EVENT_LEAVE };
  world_host_step (world, 0, &leave);
  int64_t start_ms = world->now_ms;
  while (!share_has_left (world->hosts[0].share, world_local_ms (world, 0))
         && world->now_ms < start_ms + 1000)
    world_run (world, world->now_ms + 1);
  printf ("  a host has given back its share after %ld ms\n", (long) (world->now_ms - start_ms));
  CU_ASSERT (share_has_left (world->hosts[0].share, world_local_ms (world, 0)));
  world_kill_host (world, 0);
  world_run (world, world->now_ms + 1100);
  for (int i = 1; i < 3; i++)
    held += share_available (world->hosts[i].share, "running/gold", world_local_ms (world, i));
  CU_ASSERT_EQUAL (held, 30);
  CU_ASSERT_EQUAL (world->violations, 0);
  world_free (world);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("share_use", NULL, NULL);
  CU_add_test (suite, "95 percent within 2 s", test_shapes);
  CU_add_test (suite, "slots", test_slots);
  CU_add_test (suite, "small limits", test_small);
  CU_add_test (suite, "allotter dies", test_gap);
  CU_add_test (suite, "a host leaves", test_leave);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  int failed = (int) CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed != 0;
}
