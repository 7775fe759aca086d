/* share_fair.c -- max-min by demand, with turns for what does not divide */
#include "share/share_fair.h"

#include <assert.h>

/* Gives EXTRA units, fewer than COUNT, one each from TURN on. */
static void
spread_rest (share_demand_t *demands, size_t count, int64_t extra, uint64_t turn)
{
  for (int64_t i = 0; i < extra; i++)
    demands[(turn + (uint64_t) i) % count].target++;
}

static void
spread_idle (share_demand_t *demands, size_t count, int64_t idle)
{
  for (size_t i = 0; i < count; i++)
    demands[i].target = demands[i].wanted + idle / (int64_t) count;
  spread_rest (demands, count, idle % (int64_t) count, 0);
}

/* One unit each in turn, for as far as they go. */
static int64_t
serve_each (share_demand_t *demands, size_t count, int64_t units, uint64_t turn)
{
  for (size_t i = 0; i < count && units > 0; i++)
    {
      share_demand_t *demand = &demands[(turn + i) % count];
      if (demand->wanted == 0)
        continue;
      demand->target = 1;
      units--;
    }
  return units;
}

void
share_fair (share_demand_t *demands, size_t count, int64_t units, uint64_t turn)
{
  int64_t total = 0;
  int64_t wanting = 0;

  if (count == 0)
    return;
  assert (units >= 0);
  for (size_t i = 0; i < count; i++)
    {
      demands[i].target = 0;
      total += demands[i].wanted;
      wanting += demands[i].wanted > 0;
    }
  if (total <= units)
    {
      spread_idle (demands, count, units - total);
      return;
    }
  int64_t left = serve_each (demands, count, units, turn);
  if (left == 0)
    return;
  int64_t given = 0;
  int64_t above = total - wanting;
  for (size_t i = 0; i < count; i++)
    if (demands[i].wanted > 1)
      {
        int64_t more = (int64_t) ((__int128) left * (demands[i].wanted - 1) / above);
        demands[i].target += more;
        given += more;
      }
  for (size_t i = 0; given < left; i++)
    {
      share_demand_t *demand = &demands[(turn + i) % count];
      if (demand->target >= demand->wanted)
        continue;
      demand->target++;
      given++;
    }
}
