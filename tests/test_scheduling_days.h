/* test_scheduling_days.h -- how often jobs of different sizes are completed during a day
 *
 * A day is a number of simulations with mixed jobs.  Only the jobs of the queue "draft", which are
 * the largest, are counted, in three classes of sizes. */
#ifndef TESTS_TEST_SCHEDULING_DAYS_H
#define TESTS_TEST_SCHEDULING_DAYS_H

#include "tests/test_scheduling_run.h"

/* These simulations have about as many jobs of the queue "draft" as the users have on one day. */
#define SIMULATIONS_PER_DAY 5
#define DAYS 6

typedef struct
{
  const char *name;
  simulation_options_t options;
} day_case_t;

#define DAY_CALM                                                                                   \
  {                                                                                                \
    "calm", { .length_ms = 40000, .mixed_jobs = true }                                             \
  }
#define DAY_CRASHES                                                                                \
  {                                                                                                \
    "endpoints crash and hang",                                                                    \
    {                                                                                              \
      .length_ms = 40000, .mixed_jobs = true, .endpoint_crashes = 20, .crashed_refuse = true,      \
      .hanging_runs = 5                                                                            \
    }                                                                                              \
  }
#define DAY_SILENT_CRASHES                                                                         \
  {                                                                                                \
    "endpoints crash silently, and hang",                                                          \
    {                                                                                              \
      .length_ms = 40000, .mixed_jobs = true, .endpoint_crashes = 20, .hanging_runs = 5            \
    }                                                                                              \
  }

/* Callers wait longer for longer jobs, as the users' callers do. */
#define DAY_LONG_WAITS                                                                             \
  {                                                                                                \
    "callers wait long", { .length_ms = 40000, .mixed_jobs = true, .long_waits = true }            \
  }
#define DAY_LONG_WAITS_CRASHES                                                                     \
  {                                                                                                \
    "callers wait long, endpoints crash and hang",                                                 \
    {                                                                                              \
      .length_ms = 40000, .mixed_jobs = true, .long_waits = true, .endpoint_crashes = 20,          \
      .crashed_refuse = true, .hanging_runs = 5                                                    \
    }                                                                                              \
  }

typedef struct
{
  size_class_counts_t size_classes[SIZE_CLASSES];
} day_counts_t;

static void
add_size_classes (day_counts_t *sum, const size_class_counts_t *classes)
{
  for (int i = 0; i < SIZE_CLASSES; i++)
    {
      sum->size_classes[i].jobs += classes[i].jobs;
      sum->size_classes[i].complete += classes[i].complete;
      sum->size_classes[i].feasible += classes[i].feasible;
      sum->size_classes[i].complete_by_oracle += classes[i].complete_by_oracle;
    }
}

static double
fraction (int32_t count, int32_t all)
{
  return all > 0 ? (double) count / all : 1.0;
}

static double
completed_fraction (const day_counts_t *day, int size_class)
{
  return fraction (day->size_classes[size_class].complete, day->size_classes[size_class].jobs);
}

static double
completed_fraction_of_all (const day_counts_t *day)
{
  int32_t complete = 0;
  int32_t jobs = 0;

  for (int i = 0; i < SIZE_CLASSES; i++)
    {
      complete += day->size_classes[i].complete;
      jobs += day->size_classes[i].jobs;
    }
  return fraction (complete, jobs);
}

/* The users call a day SHORT if the completed fraction of the largest tenth of the jobs, or of the
 * next fifth, is less than half of the completed fraction of all jobs. */
static bool
has_starvation (const day_counts_t *day)
{
  double all = completed_fraction_of_all (day);

  return completed_fraction (day, 0) < all / 2 || completed_fraction (day, 1) < all / 2;
}

static day_counts_t
run_day (const day_case_t *day_case, uint32_t number)
{
  day_counts_t day = { 0 };

  for (uint32_t i = 0; i < SIMULATIONS_PER_DAY; i++)
    {
      simulation_options_t options = day_case->options;
      options.seed = number * SIMULATIONS_PER_DAY + i + 1;
      simulation_result_t result = simulation_run (&options);
      add_size_classes (&day, result.size_classes);
    }
  printf ("\n  %s, day %u: completed of the largest %.2f, next %.2f, all %.2f%s ", day_case->name,
          number, completed_fraction (&day, 0), completed_fraction (&day, 1),
          completed_fraction_of_all (&day), has_starvation (&day) ? " SHORT" : "");
  return day;
}

#endif
