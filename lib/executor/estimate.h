/* estimate.h -- correction of callers' duration estimates by measured durations
 *
 * The estimates of one kind of work contain random errors, so that the highest are mostly too high
 * and the lowest mostly too low (regression to the mean).  A linear regression of log duration on
 * log estimate shows which part of an estimate's distance from the mean is real.  Only the slope is
 * used; the ratio of durations to estimates is measured per endpoint (placement.c).
 *
 * The module does no I/O.  Not thread-safe.
 */
#ifndef EXECUTOR_ESTIMATE_H
#define EXECUTOR_ESTIMATE_H

#include <stdint.h>

typedef struct estimates_t estimates_t;

estimates_t *estimates_new (void);
void estimates_free (estimates_t *estimates);

/* Records that a task of SERVICE and PRIORITY with an estimate of ESTIMATE_MS took WORK_MS,
 * normalised for the speed of its endpoint. */
void estimates_add (estimates_t *estimates,
                    const char *service,
                    int32_t priority,
                    int64_t estimate_ms,
                    double work_ms);

/* Returns the corrected estimate for a task whose caller estimates ESTIMATE_MS (above 0). */
int64_t estimates_correct (const estimates_t *estimates,
                           const char *service,
                           int32_t priority,
                           int64_t estimate_ms);

#endif
