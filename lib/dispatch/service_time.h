/* service_time.h -- measured service times: mean, deviation and their age
 *
 * Means are exponentially weighted.  The weight of a measurement decreases with its
 * age, so that an endpoint that was slow once is tried again.  Functions use no state
 * but their arguments; not thread-safe.
 */
#ifndef DISPATCH_SERVICE_TIME_H
#define DISPATCH_SERVICE_TIME_H

#include <stdbool.h>
#include <stdint.h>

/* Assumed for a kind that was never measured. */
#define SERVICE_TIME_DEFAULT_MS 100.0
/* Age at which a measurement has half its weight. */
#define SERVICE_TIME_HALF_LIFE_MS 10000
/* No job is refused because of a measurement older than this. */
#define SERVICE_TIME_STALE_MS 10000

/* All zero means no sample yet.  It can also hold ratios: the unit of the mean and of
 * the deviation is that of the samples. */
typedef struct
{
  double mean_ms;
  double deviation_ms; /* mean absolute deviation */
  uint32_t sample_count;
  int64_t sampled_at_ms; /* time of the last sample */
} service_time_t;

void service_time_add (service_time_t *service_time, double sample_ms, int64_t now_ms);

/* True if the last sample is younger than SERVICE_TIME_STALE_MS. */
bool service_time_is_fresh (const service_time_t *service_time, int64_t now_ms);

/* Weighted average of the measured mean and FALLBACK_MS.  The weight of the measured
 * mean grows with the number of samples and falls with their age. */
double
service_time_estimate_ms (const service_time_t *service_time, double fallback_ms, int64_t now_ms);

#endif
