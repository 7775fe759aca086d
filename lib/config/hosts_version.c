/* hosts_version.c -- which list of hosts is the newer one */
#include "config/hosts_version.h"

int
hosts_version_compare (const hosts_version_t *a, const hosts_version_t *b)
{
  if (a->time != b->time)
    return a->time < b->time ? -1 : 1;
  if (a->reader != b->reader)
    return a->reader < b->reader ? -1 : 1;
  return 0;
}

hosts_version_t
hosts_clock_read (const hosts_clock_t *clock, int64_t wall_ms, uint64_t reader)
{
  int64_t after_seen = clock->seen + 1;
  hosts_version_t version = { wall_ms > after_seen ? wall_ms : after_seen, reader };
  return version;
}

bool
hosts_clock_see (hosts_clock_t *clock, const hosts_version_t *version)
{
  if (version->time > clock->seen)
    clock->seen = version->time;
  return hosts_version_compare (version, &clock->current) > 0;
}

void
hosts_clock_take (hosts_clock_t *clock, const hosts_version_t *version)
{
  hosts_clock_see (clock, version);
  clock->current = *version;
}
