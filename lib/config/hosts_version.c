/* hosts_version.c -- versions of the list of hosts, which order lists by age */
#include "config/hosts_version.h"

int
hosts_version_compare (const hosts_version_t *a, const hosts_version_t *b)
{
  if (a->time_ms != b->time_ms)
    return a->time_ms < b->time_ms ? -1 : 1;
  if (a->reader_hash != b->reader_hash)
    return a->reader_hash < b->reader_hash ? -1 : 1;
  return 0;
}

hosts_version_t
hosts_clock_new_version (const hosts_clock_t *clock, int64_t wall_ms, uint64_t reader_hash)
{
  int64_t min_time_ms = clock->latest_time_ms + 1;
  hosts_version_t version = { wall_ms > min_time_ms ? wall_ms : min_time_ms, reader_hash };
  return version;
}

bool
hosts_clock_observe (hosts_clock_t *clock, const hosts_version_t *version)
{
  if (version->time_ms > clock->latest_time_ms)
    clock->latest_time_ms = version->time_ms;
  return hosts_version_compare (version, &clock->current) > 0;
}

void
hosts_clock_adopt (hosts_clock_t *clock, const hosts_version_t *version)
{
  hosts_clock_observe (clock, version);
  clock->current = *version;
}
