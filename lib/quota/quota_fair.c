/* quota_fair.c -- proportional division by demand, with rotation of remainders */
#include "quota/quota_fair.h"

#include <assert.h>

/* Gives one unit each to EXTRA holders, fewer than COUNT, beginning at
 * ROTATION. */
static void
spread_remainder (quota_demand_t *demands, size_t count, int64_t extra, uint64_t rotation)
{
  for (int64_t i = 0; i < extra; i++)
    demands[(rotation + (uint64_t) i) % count].target++;
}

static void
spread_idle (quota_demand_t *demands, size_t count, int64_t idle)
{
  for (size_t i = 0; i < count; i++)
    demands[i].target = demands[i].demand + idle / (int64_t) count;
  spread_remainder (demands, count, idle % (int64_t) count, 0);
}

/* Gives one unit to each holder with demand, beginning at ROTATION, while there
 * are units.  Returns the units that remain. */
static int64_t
grant_one_each (quota_demand_t *demands, size_t count, int64_t units, uint64_t rotation)
{
  for (size_t i = 0; i < count && units > 0; i++)
    {
      quota_demand_t *demand = &demands[(rotation + i) % count];
      if (demand->demand == 0)
        continue;
      demand->target = 1;
      units--;
    }
  return units;
}

void
quota_divide_fairly (quota_demand_t *demands, size_t count, int64_t units, uint64_t rotation)
{
  int64_t total = 0;
  int64_t with_demand = 0;

  if (count == 0)
    return;
  assert (units >= 0);
  for (size_t i = 0; i < count; i++)
    {
      demands[i].target = 0;
      total += demands[i].demand;
      with_demand += demands[i].demand > 0;
    }
  if (total <= units)
    {
      spread_idle (demands, count, units - total);
      return;
    }
  int64_t remaining = grant_one_each (demands, count, units, rotation);
  if (remaining == 0)
    return;
  int64_t granted = 0;
  int64_t excess_demand = total - with_demand;
  for (size_t i = 0; i < count; i++)
    if (demands[i].demand > 1)
      {
        int64_t extra_units =
            (int64_t) ((__int128) remaining * (demands[i].demand - 1) / excess_demand);
        demands[i].target += extra_units;
        granted += extra_units;
      }
  for (size_t i = 0; granted < remaining; i++)
    {
      quota_demand_t *demand = &demands[(rotation + i) % count];
      if (demand->target >= demand->demand)
        continue;
      demand->target++;
      granted++;
    }
}
