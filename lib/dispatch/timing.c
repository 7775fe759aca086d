/* timing.c -- measured service times: mean, deviation and their age */
#include "dispatch/timing.h"

#include <math.h>

/* Gain of the mean and of the deviation once there are enough samples; before
 * that the plain average is taken. */
#define MEAN_GAIN 0.125
#define DEVIATION_GAIN 0.25
/* Samples that weigh as much as the fallback. */
#define FALLBACK_WEIGHT 1.0

void
timing_add (timing_t *timing, double sample_ms, int64_t now_ms)
{
  timing->count++;
  timing->at_ms = now_ms;
  double gain = fmax (MEAN_GAIN, 1.0 / timing->count);
  double error_ms = sample_ms - timing->mean_ms;

  timing->mean_ms += gain * error_ms;
  if (timing->count > 1)
    timing->deviation_ms += DEVIATION_GAIN * (fabs (error_ms) - timing->deviation_ms);
}

bool
timing_is_fresh (const timing_t *timing, int64_t now_ms)
{
  return timing->count > 0 && now_ms - timing->at_ms < TIMING_STALE_MS;
}

double
timing_estimate_ms (const timing_t *timing, double fallback_ms, int64_t now_ms)
{
  if (timing->count == 0)
    return fallback_ms;
  double age = (double) (now_ms - timing->at_ms) / TIMING_HALF_LIFE_MS;
  double weight = fmin (timing->count, 1.0 / MEAN_GAIN) / (1.0 + age);

  return (weight * timing->mean_ms + FALLBACK_WEIGHT * fallback_ms) / (weight + FALLBACK_WEIGHT);
}
