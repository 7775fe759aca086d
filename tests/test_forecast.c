/* test_forecast.c -- when a task would start and end at an owner with a backlog */
#include "flow/forecast.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>

/* 100 cores; core-milliseconds of backlog by priority, and the late part of it at priority 2. */
static const struct
{
  const char *name;
  int32_t priority;
  int64_t goal_at_ms;
  int64_t age_ms;
  int64_t room_milli;
  int64_t next_free_ms;
  int64_t backlog[3];
  int64_t late; /* at the level of PRIORITY */
  int64_t wait_ms;
  int64_t least_wait_ms;
} waits[] = {
  { "no backlog", 2, 500, 0, 0, 0, { 0, 0, 0 }, 0, 0, 0 },
  { "an old report without a backlog", 2, 500, 2000, 0, 0, { 0, 0, 0 }, 0, 0, 0 },
  { "the backlog of its own and of higher priorities",
    1,
    0,
    0,
    0,
    0,
    { 100000, 100000, 900000 },
    0,
    2000,
    1500 },
  { "a backlog of lower priorities only", 0, 0, 0, 0, 0, { 0, 100000, 900000 }, 0, 0, 0 },
  { "it goes before those that are late", 2, 3000, 0, 0, 0, { 0, 0, 400000 }, 300000, 1000, 750 },
  { "it would be late itself by then", 2, 500, 0, 0, 0, { 0, 0, 400000 }, 300000, 4000, 3000 },
  { "a report 2 s old", 2, 0, 2000, 0, 0, { 0, 0, 500000 }, 0, 4700, 250 },
  { "a report from before the backlog was done", 2, 0, 2000, 0, 0, { 0, 0, 100000 }, 0, 700, 0 },
  { "a hole that it fits in", 2, 0, 0, 8000, 0, { 0, 0, 500000 }, 0, 5000, 0 },
  { "a hole that is too small", 2, 0, 0, 7999, 0, { 0, 0, 500000 }, 0, 5000, 3750 },
  { "nothing gets free before", 2, 0, 0, 0, 900, { 0, 0, 100 }, 0, 900, 675 },
};

static void
test_waits (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (waits); i++)
    {
      forecast_load_t load = { .told = { .cores_milli = 100000,
                                         .max_free_milli = waits[i].room_milli,
                                         .next_free_ms = waits[i].next_free_ms },
                               .heard_at_ms = -waits[i].age_ms };
      const forecast_task_t task = { waits[i].priority, 8000, 100, 100, waits[i].goal_at_ms, 1.0 };
      for (int level = 0; level < 3; level++)
        load.told.backlog_core_ms[level] = waits[i].backlog[level];
      load.told.late_core_ms[waits[i].priority] = waits[i].late;
      forecast_t forecast = forecast_of (&load, &task, 0);
      if (forecast.wait_ms != waits[i].wait_ms || forecast.least_wait_ms != waits[i].least_wait_ms)
        printf ("\n  %s: wait %d, least %d ", waits[i].name, (int) forecast.wait_ms,
                (int) forecast.least_wait_ms);
      CU_ASSERT_EQUAL (forecast.wait_ms, waits[i].wait_ms);
      CU_ASSERT_EQUAL (forecast.end_ms, waits[i].wait_ms + 100);
      CU_ASSERT_EQUAL (forecast.least_wait_ms, waits[i].least_wait_ms);
      CU_ASSERT_EQUAL (forecast.least_end_ms, waits[i].least_wait_ms + 60);
      CU_ASSERT_EQUAL (forecast.age_ms, waits[i].age_ms);
    }
}

/* A coordinator that ignored what it had just sent queued a whole burst at one owner. */
static void
test_own_tasks_count (void)
{
  forecast_load_t load = { .told = { .cores_milli = 10000 } };
  const forecast_task_t task = { 1, 5000, 200, 200, 0, 1.0 };

  for (int i = 0; i < 10; i++)
    forecast_sent (&load, &task);
  CU_ASSERT_EQUAL (forecast_of (&load, &task, 0).wait_ms, 1000);
  const forecast_task_t urgent = { 0, 5000, 200, 200, 0, 1.0 };
  CU_ASSERT_EQUAL (forecast_of (&load, &urgent, 0).wait_ms, 0);
}

static const struct
{
  const char *name;
  int64_t ends_ms[3];
  int64_t cores_milli[3];
  int64_t age_ms;
  int percent[3]; /* of the draws, at least */
} choices[] = {
  { "clearly the earliest", { 1000, 3000, 3000 }, { 1, 1, 1 }, 0, { 100, 0, 0 } },
  { "two alike", { 1000, 1100, 3000 }, { 300, 100, 400 }, 0, { 70, 20, 0 } },
  { "the third is not drawn", { 1000, 1000, 1000 }, { 200, 200, 100 }, 0, { 45, 45, 0 } },
  { "old reports leave more open", { 1000, 2500, 4000 }, { 1, 1, 1 }, 1000, { 45, 45, 0 } },
};

static void
test_choices (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (choices); i++)
    {
      forecast_place_t places[3];
      int counts[3] = { 0 };
      for (int k = 0; k < 3; k++)
        places[k] =
            (forecast_place_t){ { .end_ms = choices[i].ends_ms[k], .age_ms = choices[i].age_ms },
                                choices[i].cores_milli[k] };
      for (uint64_t draw = 0; draw < 1200; draw++)
        counts[forecast_choose (places, 3, draw)]++;
      for (int k = 0; k < 3; k++)
        {
          if (counts[k] * 100 < choices[i].percent[k] * 1200)
            printf ("\n  %s: %d of place %d ", choices[i].name, counts[k], k);
          CU_ASSERT_TRUE (counts[k] * 100 >= choices[i].percent[k] * 1200);
          CU_ASSERT_TRUE (choices[i].percent[k] > 0 || counts[k] == 0);
        }
    }
}

#define COORDINATORS 30
#define SHARDS 3
#define REPORT_MS 300
#define STEP_MS 10
#define DAY_MS 12000

/* Three owners of 1,000 cores get 1.5 times what they can do from coordinators whose reports are
 * up to 0.3 s old.  DAMPED: by forecast_choose (), else always where the end is earliest.  Returns
 * the most by which the longest and the shortest wait differed. */
static int64_t
swing_of (bool damped)
{
  static forecast_load_t heard[COORDINATORS][SHARDS];
  double backlog[SHARDS] = { 300000, 330000, 360000 }; /* core-ms */
  const forecast_task_t task = { 2, 32000, 900, 900, 0, 1.0 };
  GRand *rand = g_rand_new_with_seed (7);
  int64_t most_ms = 0;

  for (int64_t now_ms = 0; now_ms < DAY_MS; now_ms += STEP_MS)
    {
      for (int host = 0; host < COORDINATORS; host++)
        {
          forecast_place_t places[SHARDS];
          bool told = (now_ms / STEP_MS) % (REPORT_MS / STEP_MS) == host;
          for (int k = 0; k < SHARDS; k++)
            {
              if (now_ms == 0 || told)
                heard[host][k] = (forecast_load_t){
                  .told = { .cores_milli = 1000000,
                            .backlog_core_ms = { 0, 0, (int64_t) backlog[k] } },
                  .heard_at_ms = now_ms
                };
              places[k].forecast = forecast_of (&heard[host][k], &task, now_ms);
              places[k].cores_milli = 1000000;
            }
          /* 45,000 core-ms come in 10 ms: 1.5 of a task of 28,800 at 30 hosts. */
          if (g_rand_double (rand) > 45000.0 / 28800 / COORDINATORS)
            continue;
          size_t to = forecast_choose (places, SHARDS, g_rand_int (rand));
          for (size_t k = 0; !damped && k < SHARDS; k++)
            if (places[k].forecast.end_ms < places[to].forecast.end_ms)
              to = k;
          forecast_sent (&heard[host][to], &task);
          backlog[to] += 28800;
        }
      for (int k = 0; k < SHARDS; k++)
        backlog[k] = MAX (backlog[k] - 1000.0 * STEP_MS, 0);
      double longest = MAX (MAX (backlog[0], backlog[1]), backlog[2]);
      double shortest = MIN (MIN (backlog[0], backlog[1]), backlog[2]);
      if (now_ms > DAY_MS / 4)
        most_ms = MAX (most_ms, (int64_t) ((longest - shortest) / 1000));
    }
  g_rand_free (rand);
  return most_ms;
}

/* Coordinators with the same old reports all went to the same owner, and then all to the next. */
static void
test_no_oscillation (void)
{
  int64_t damped_ms = swing_of (true);
  int64_t undamped_ms = swing_of (false);

  printf ("waits differ by %d ms at the most, %d ms undamped ", (int) damped_ms, (int) undamped_ms);
  CU_ASSERT_TRUE (damped_ms < 2 * REPORT_MS);
}

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("forecast", NULL, NULL);
  CU_add_test (suite, "waits", test_waits);
  CU_add_test (suite, "a coordinator's own tasks count", test_own_tasks_count);
  CU_add_test (suite, "the choice of an owner", test_choices);
  CU_add_test (suite, "30 coordinators don't all go to one owner", test_no_oscillation);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures != 0;
}
