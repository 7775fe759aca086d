/* service_time.c -- measured service times: mean, deviation and their age */
#include "dispatch/service_time.h"

#include <math.h>

/* Weight of a new sample in the mean and in the deviation.  The first samples get more
 * weight in the mean, so that it is the arithmetic mean until there are 1 / MEAN_GAIN
 * of them. */
#define MEAN_GAIN 0.125
#define DEVIATION_GAIN 0.25
/* Weight of the fallback, in samples. */
#define FALLBACK_WEIGHT 1.0

void
service_time_add (service_time_t *service_time, double sample_ms, int64_t now_ms)
{
  service_time->sample_count++;
  service_time->sampled_at_ms = now_ms;
  double gain = fmax (MEAN_GAIN, 1.0 / service_time->sample_count);
  double error_ms = sample_ms - service_time->mean_ms;

  service_time->mean_ms += gain * error_ms;
  if (service_time->sample_count > 1)
    service_time->deviation_ms += DEVIATION_GAIN * (fabs (error_ms) - service_time->deviation_ms);
}

bool
service_time_is_fresh (const service_time_t *service_time, int64_t now_ms)
{
  return service_time->sample_count > 0
         && now_ms - service_time->sampled_at_ms < SERVICE_TIME_STALE_MS;
}

double
service_time_estimate_ms (const service_time_t *service_time, double fallback_ms, int64_t now_ms)
{
  if (service_time->sample_count == 0)
    return fallback_ms;
  double age = (double) (now_ms - service_time->sampled_at_ms) / SERVICE_TIME_HALF_LIFE_MS;
  double weight = fmin (service_time->sample_count, 1.0 / MEAN_GAIN) / (1.0 + age);

  return (weight * service_time->mean_ms + FALLBACK_WEIGHT * fallback_ms)
         / (weight + FALLBACK_WEIGHT);
}
