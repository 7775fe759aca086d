/* test_estimate.c -- correction of callers' estimates by measured durations */
#include "executor/estimate.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>

#define MEAN_MS 400.0

static const struct
{
  const char *name;
  int tasks;            /* number of tasks measured before */
  double true_fraction; /* real part of an estimate's distance from the mean, in logarithms */
  int64_t estimate_ms;
  double corrected_min_ms;
  double corrected_max_ms;
} correction_cases[] = {
  { "no tasks measured", 0, 0.5, 1600, 1600, 1600 },
  { "too few tasks measured", 10, 0.5, 1600, 1600, 1600 },
  { "estimates are exact, high", 400, 1.0, 1600, 1550, 1600 },
  { "estimates are exact, low", 400, 1.0, 100, 100, 105 },
  { "half of the distance is real, high", 400, 0.5, 1600, 760, 840 },
  { "half of the distance is real, low", 400, 0.5, 100, 190, 210 },
  { "half of the distance is real, mean estimate", 400, 0.5, 400, 395, 405 },
  { "none of the distance is real", 400, 0.0, 1600, 395, 405 },
  { "durations fall with estimates", 400, -1.0, 1600, 395, 405 },
  { "durations grow faster than estimates", 400, 2.0, 1600, 1590, 1600 },
};

/* Adds TASKS tasks whose log estimates are spread evenly around the mean. */
static void
add_tasks (estimates_t *estimates,
           int32_t priority,
           int tasks,
           double true_fraction,
           double duration_ratio)
{
  for (int i = 0; i < tasks; i++)
    {
      double log_distance = (i % 21 - 10) / 10.0;
      int64_t estimate_ms = (int64_t) lround (MEAN_MS * exp (log_distance));
      double work_ms = duration_ratio * MEAN_MS * exp (true_fraction * log_distance);
      estimates_add (estimates, "s", priority, estimate_ms, work_ms);
    }
}

static void
check_correction (size_t i, const estimates_t *estimates)
{
  double corrected_ms =
      (double) estimates_correct (estimates, "s", 1, correction_cases[i].estimate_ms);

  if (corrected_ms < correction_cases[i].corrected_min_ms
      || corrected_ms > correction_cases[i].corrected_max_ms)
    printf ("  %s: %.0f ms\n", correction_cases[i].name, corrected_ms);
  CU_ASSERT_TRUE (corrected_ms >= correction_cases[i].corrected_min_ms
                  && corrected_ms <= correction_cases[i].corrected_max_ms);
}

/* The correction is independent of the speed of the endpoints and of work of other priorities. */
static void
test_corrected (void)
{
  static const double duration_ratio[] = { 0.5, 1.0, 3.0 };

  for (size_t i = 0; i < G_N_ELEMENTS (correction_cases); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (duration_ratio); k++)
      {
        estimates_t *estimates = estimates_new ();
        add_tasks (estimates, 1, correction_cases[i].tasks, correction_cases[i].true_fraction,
                   duration_ratio[k]);
        add_tasks (estimates, 0, correction_cases[i].tasks, 0.0, 1.0);
        check_correction (i, estimates);
        estimates_free (estimates);
      }
}

/* Equal estimates do not determine a slope, so they must not be corrected. */
static void
test_equal_estimates (void)
{
  estimates_t *estimates = estimates_new ();

  for (int i = 0; i < 400; i++)
    estimates_add (estimates, "s", 1, 60, 30 + i % 60);
  CU_ASSERT_EQUAL (estimates_correct (estimates, "s", 1, 90), 90);
  estimates_free (estimates);
}

static const unit_test_t tests[] = {
  { "corrected", test_corrected },
  { "equal estimates", test_equal_estimates },
};

int
main (void)
{
  return unit_run ("estimates", tests, G_N_ELEMENTS (tests));
}
