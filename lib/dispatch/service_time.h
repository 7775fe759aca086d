/* service_time.h -- measured service times: mean, deviation and their age
 *
 * Means are exponentially weighted.  A measurement loses its say with age, so
 * that an endpoint that was slow once is tried again.  Pure; not thread-safe.
 */
#ifndef DISPATCH_TIMING_H
#define DISPATCH_TIMING_H

#include <stdbool.h>
#include <stdint.h>

/* Stands for the service time of a kind that was never measured. */
#define SERVICE_TIME_DEFAULT_MS 100.0
/* After this long without a sample half of a measurement's say is gone. */
#define SERVICE_TIME_HALF_LIFE_MS 10000
/* A measurement older than this refuses nobody. */
#define SERVICE_TIME_STALE_MS 10000

typedef struct
{
  double mean_ms;
  double deviation_ms; /* mean of the absolute deviation */
  uint32_t sample_count;
  int64_t sampled_at_ms; /* of the last sample */
} service_time_t;

void service_time_add (service_time_t *service_time, double sample_ms, int64_t now_ms);

/* True if TIMING was sampled within SERVICE_TIME_STALE_MS. */
bool service_time_is_fresh (const service_time_t *service_time, int64_t now_ms);

/* The mean of TIMING, drawn towards FALLBACK_MS while it has few samples and
 * as it ages. */
double
service_time_estimate_ms (const service_time_t *service_time, double fallback_ms, int64_t now_ms);

#endif
