/* test_forecast.c -- predicted start and end of a task at an owner with a backlog */
#include "scheduler/forecast.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>

/* An owner of 100 cores.  The backlogs are in core-milliseconds, by priority. */
static const struct
{
  const char *name;
  int32_t priority;
  int64_t goal_at_ms;
  int64_t age_ms;
  int64_t room_milli;
  int64_t next_free_ms;
  int64_t backlog[3];
  int64_t late_at_level_core_ms; /* late part of the backlog at the level of PRIORITY */
  int64_t wait_ms;
  int64_t min_wait_ms;
  int64_t lower_wait_ms;
} wait_cases[] = {
  { "no backlog", 2, 500, 0, 0, 0, { 0, 0, 0 }, 0, 0, 0, 0 },
  { "an old report without a backlog", 2, 500, 2000, 0, 0, { 0, 0, 0 }, 0, 0, 0, 0 },
  { "the backlog of its own and of higher priorities",
    1,
    0,
    0,
    0,
    0,
    { 100000, 100000, 900000 },
    0,
    2000,
    1500,
    9000 },
  { "a backlog of lower priorities only", 0, 0, 0, 0, 0, { 0, 100000, 900000 }, 0, 0, 0, 10000 },
  { "it goes before the late tasks", 2, 3000, 0, 0, 0, { 0, 0, 400000 }, 300000, 1000, 750, 0 },
  { "it would be late itself by then", 2, 500, 0, 0, 0, { 0, 0, 400000 }, 300000, 4000, 3000, 0 },
  { "a report 2 s old", 2, 0, 2000, 0, 0, { 0, 0, 500000 }, 0, 4700, 250, 0 },
  { "a report older than the backlog takes", 2, 0, 2000, 0, 0, { 0, 0, 100000 }, 0, 700, 0, 0 },
  { "it fits into the free cores", 2, 0, 0, 8000, 0, { 0, 0, 500000 }, 0, 5000, 0, 0 },
  { "it does not fit into the free cores", 2, 0, 0, 7999, 0, { 0, 0, 500000 }, 0, 5000, 3750, 0 },
  { "no core becomes free earlier", 2, 0, 0, 0, 900, { 0, 0, 100 }, 0, 900, 675, 0 },
};

static void
test_waits (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (wait_cases); i++)
    {
      forecast_load_t load = { .report = { .cores_milli = 100000,
                                           .max_free_milli = wait_cases[i].room_milli,
                                           .next_free_ms = wait_cases[i].next_free_ms },
                               .received_at_ms = -wait_cases[i].age_ms };
      const forecast_task_t task = { wait_cases[i].priority,   8000, 100, 100,
                                     wait_cases[i].goal_at_ms, 1.0 };
      for (int level = 0; level < 3; level++)
        load.report.backlog_core_ms[level] = wait_cases[i].backlog[level];
      load.report.late_core_ms[wait_cases[i].priority] = wait_cases[i].late_at_level_core_ms;
      forecast_t forecast = forecast_task_times (&load, &task, 0);
      if (forecast.wait_ms != wait_cases[i].wait_ms
          || forecast.min_wait_ms != wait_cases[i].min_wait_ms)
        printf ("\n  %s: wait %d, minimum %d ", wait_cases[i].name, (int) forecast.wait_ms,
                (int) forecast.min_wait_ms);
      CU_ASSERT_EQUAL (forecast.wait_ms, wait_cases[i].wait_ms);
      CU_ASSERT_EQUAL (forecast.end_ms, wait_cases[i].wait_ms + 100);
      CU_ASSERT_EQUAL (forecast.min_wait_ms, wait_cases[i].min_wait_ms);
      CU_ASSERT_EQUAL (forecast.lower_wait_ms, wait_cases[i].lower_wait_ms);
      CU_ASSERT_EQUAL (forecast.min_end_ms, wait_cases[i].min_wait_ms + 60);
      CU_ASSERT_EQUAL (forecast.report_age_ms, wait_cases[i].age_ms);
    }
}

/* A coordinator must count the tasks that it has assigned since an owner's last report.  Without
 * them it would queue a whole burst at one owner. */
static void
test_assigned_tasks_count (void)
{
  forecast_load_t load = { .report = { .cores_milli = 10000 } };
  const forecast_task_t task = { 1, 5000, 200, 200, 0, 1.0 };

  for (int i = 0; i < 10; i++)
    forecast_add_assigned (&load, &task);
  CU_ASSERT_EQUAL (forecast_task_times (&load, &task, 0).wait_ms, 1000);
  const forecast_task_t urgent = { 0, 5000, 200, 200, 0, 1.0 };
  CU_ASSERT_EQUAL (forecast_task_times (&load, &urgent, 0).wait_ms, 0);
  CU_ASSERT_EQUAL (forecast_task_times (&load, &urgent, 0).lower_wait_ms, 1000);
}

static const struct
{
  const char *name;
  int64_t ends_ms[3];
  int64_t cores_milli[3];
  int64_t age_ms;
  int percent[3]; /* minimum percentage of draws for each candidate; 0 means never */
  int64_t lower_waits_ms[3];
} choice_cases[] = {
  { "clearly the earliest", { 1000, 3000, 3000 }, { 1, 1, 1 }, 0, { 100, 0, 0 }, { 0, 0, 0 } },
  { "two about equal", { 1000, 1100, 3000 }, { 300, 100, 400 }, 0, { 70, 20, 0 }, { 0, 0, 0 } },
  { "the third is not drawn",
    { 1000, 1000, 1000 },
    { 200, 200, 100 },
    0,
    { 45, 45, 0 },
    { 0, 0, 0 } },
  { "old reports are less certain",
    { 1000, 2500, 4000 },
    { 1, 1, 1 },
    1000,
    { 45, 45, 0 },
    { 0, 0, 0 } },
  { "less waits at the second",
    { 1000, 1100, 3000 },
    { 1, 1, 1 },
    0,
    { 0, 100, 0 },
    { 400, 0, 0 } },
  { "less waits at the third",
    { 1000, 1000, 1100 },
    { 1, 1, 1 },
    0,
    { 0, 0, 100 },
    { 400, 400, 0 } },
  { "less waits at the earliest",
    { 1000, 1100, 3000 },
    { 1, 9, 1 },
    0,
    { 100, 0, 0 },
    { 0, 400, 0 } },
  { "about as much waits", { 1000, 1100, 3000 }, { 1, 1, 1 }, 0, { 45, 45, 0 }, { 200, 0, 0 } },
  { "by old reports", { 1000, 1100, 4000 }, { 1, 1, 1 }, 1000, { 45, 45, 0 }, { 1900, 0, 0 } },
  { "its own end counts more",
    { 1000, 3000, 3000 },
    { 1, 1, 1 },
    0,
    { 100, 0, 0 },
    { 9000, 0, 0 } },
};

static void
test_choices (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (choice_cases); i++)
    {
      forecast_candidate_t candidates[3];
      int counts[3] = { 0 };
      for (int k = 0; k < 3; k++)
        candidates[k] =
            (forecast_candidate_t){ { .end_ms = choice_cases[i].ends_ms[k],
                                      .lower_wait_ms = choice_cases[i].lower_waits_ms[k],
                                      .report_age_ms = choice_cases[i].age_ms },
                                    choice_cases[i].cores_milli[k] };
      for (uint64_t draw = 0; draw < 1200; draw++)
        counts[forecast_choose (candidates, 3, draw)]++;
      for (int k = 0; k < 3; k++)
        {
          if (counts[k] * 100 < choice_cases[i].percent[k] * 1200)
            printf ("\n  %s: %d of candidate %d ", choice_cases[i].name, counts[k], k);
          CU_ASSERT_TRUE (counts[k] * 100 >= choice_cases[i].percent[k] * 1200);
          CU_ASSERT_TRUE (choice_cases[i].percent[k] > 0 || counts[k] == 0);
        }
    }
}

#define COORDINATORS 30
#define SHARDS 3
#define REPORT_MS 300
#define STEP_MS 10
#define RUN_MS 12000

/* Simulates three owners of 1,000 cores that are sent 1.5 times the work that they can do, by
 * coordinators whose reports are up to 0.3 s old.  With RANDOMISED the owner is chosen by
 * forecast_choose (), else it is the one with the earliest end.  Returns the largest difference
 * between the longest and the shortest wait. */
static int64_t
max_wait_difference_ms (bool randomised)
{
  static forecast_load_t loads[COORDINATORS][SHARDS];
  double backlog[SHARDS] = { 300000, 330000, 360000 }; /* core-milliseconds */
  const forecast_task_t task = { 2, 32000, 900, 900, 0, 1.0 };
  GRand *rand = g_rand_new_with_seed (7);
  int64_t max_ms = 0;

  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS)
    {
      for (int host = 0; host < COORDINATORS; host++)
        {
          forecast_candidate_t candidates[SHARDS];
          bool reported = (now_ms / STEP_MS) % (REPORT_MS / STEP_MS) == host;
          for (int k = 0; k < SHARDS; k++)
            {
              if (now_ms == 0 || reported)
                loads[host][k] = (forecast_load_t){
                  .report = { .cores_milli = 1000000,
                              .backlog_core_ms = { 0, 0, (int64_t) backlog[k] } },
                  .received_at_ms = now_ms
                };
              candidates[k].forecast = forecast_task_times (&loads[host][k], &task, now_ms);
              candidates[k].cores_milli = 1000000;
            }
          /* 45,000 core-ms arrive in 10 ms, in tasks of 28,800 core-ms, over 30 coordinators. */
          if (g_rand_double (rand) > 45000.0 / 28800 / COORDINATORS)
            continue;
          size_t chosen = forecast_choose (candidates, SHARDS, g_rand_int (rand));
          for (size_t k = 0; !randomised && k < SHARDS; k++)
            if (candidates[k].forecast.end_ms < candidates[chosen].forecast.end_ms)
              chosen = k;
          forecast_add_assigned (&loads[host][chosen], &task);
          backlog[chosen] += 28800;
        }
      for (int k = 0; k < SHARDS; k++)
        backlog[k] = MAX (backlog[k] - 1000.0 * STEP_MS, 0);
      double longest = MAX (MAX (backlog[0], backlog[1]), backlog[2]);
      double shortest = MIN (MIN (backlog[0], backlog[1]), backlog[2]);
      if (now_ms > RUN_MS / 4)
        max_ms = MAX (max_ms, (int64_t) ((longest - shortest) / 1000));
    }
  g_rand_free (rand);
  return max_ms;
}

/* Coordinators with the same old reports must not all choose the same owner, and then all the next
 * one, which makes the waits of the owners oscillate. */
static void
test_no_oscillation (void)
{
  int64_t randomised_ms = max_wait_difference_ms (true);
  int64_t deterministic_ms = max_wait_difference_ms (false);

  printf ("waits differ by at most %d ms, and by %d ms without random choice ", (int) randomised_ms,
          (int) deterministic_ms);
  CU_ASSERT_TRUE (randomised_ms < 2 * REPORT_MS);
}

static const unit_test_t tests[] = {
  { "waits", test_waits },
  { "tasks assigned since the report count", test_assigned_tasks_count },
  { "the choice of an owner", test_choices },
  { "30 coordinators do not all choose the same owner", test_no_oscillation },
};

int
main (void)
{
  return unit_run ("forecast", tests, G_N_ELEMENTS (tests));
}
