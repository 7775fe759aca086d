/* quota_fair.h -- divides units among holders by their demand */
#ifndef QUOTA_FAIR_H
#define QUOTA_FAIR_H

#include <stddef.h>
#include <stdint.h>

typedef struct
{
  int64_t demand; /* in: units that the holder could use now */
  int64_t target; /* out: units that it is to have */
} quota_demand_t;

/* Divides UNITS among COUNT holders and sets their targets, whose sum is exactly
 * UNITS if COUNT > 0.  If the total demand fits, each demand is met and the rest
 * is spread evenly.  Otherwise each holder with demand gets one unit, and the
 * rest is divided in proportion to the demand.  The holder at index ROTATION
 * modulo COUNT is served first if units are too few for that, so a caller that
 * increments it from time to time serves every holder in turn. */
void quota_divide_fairly (quota_demand_t *demands, size_t count, int64_t units, uint64_t rotation);

#endif
