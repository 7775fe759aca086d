/* timing.h -- measured service times: mean, deviation and their age
 *
 * Means are exponentially weighted.  A measurement loses its say with age, so
 * that an endpoint that was slow once is tried again.  Pure; not thread-safe.
 */
#ifndef DISPATCH_TIMING_H
#define DISPATCH_TIMING_H

#include <stdbool.h>
#include <stdint.h>

/* Stands for the service time of a kind that was never measured. */
#define TIMING_PRIOR_MS 100.0
/* After this long without a sample half of a measurement's say is gone. */
#define TIMING_HALF_LIFE_MS 10000
/* A measurement older than this refuses nobody. */
#define TIMING_STALE_MS 10000

typedef struct
{
  double mean_ms;
  double deviation_ms; /* mean of the absolute deviation */
  uint32_t count;
  int64_t at_ms; /* of the last sample */
} timing_t;

void timing_add (timing_t *timing, double sample_ms, int64_t now_ms);

/* True if TIMING was sampled within TIMING_STALE_MS. */
bool timing_is_fresh (const timing_t *timing, int64_t now_ms);

/* The mean of TIMING, drawn towards FALLBACK_MS while it has few samples and
 * as it ages. */
double timing_estimate_ms (const timing_t *timing, double fallback_ms, int64_t now_ms);

#endif
