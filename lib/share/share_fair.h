/* share_fair.h -- divides units among holders by their demand; pure */
#ifndef SHARE_FAIR_H
#define SHARE_FAIR_H

#include <stddef.h>
#include <stdint.h>

typedef struct
{
  int64_t wanted; /* in: units that it could use now */
  int64_t target; /* out */
} share_demand_t;

/* Divides UNITS among COUNT holders; the targets sum up to UNITS exactly if
 * COUNT > 0.  Demand that fits is met, and the idle rest is spread evenly.
 * Otherwise each holder with demand gets one unit, and the rest follows the
 * demand.  TURN says who is first when units are too few for that: a caller
 * that raises it by and by serves every holder in turn. */
void share_fair (share_demand_t *demands, size_t count, int64_t units, uint64_t turn);

#endif
