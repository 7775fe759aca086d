/* discovery.h -- until when a new owner may not know all endpoints of its shard
 *
 * Entries of endpoints can be missing from a listing of the directory: they expire while the log is
 * unavailable, and are registered again within some seconds.  A host that has not followed the
 * directory since its last listing knows only the endpoints of that time.  Until the discovery
 * ends, a task may run on an endpoint that the owner does not know.
 *
 * Times are milliseconds of the boot clock.
 */
#ifndef EXECUTOR_DISCOVERY_H
#define EXECUTOR_DISCOVERY_H

#include <stdbool.h>
#include <stdint.h>

/* What a host knows of the directory when it claims a shard. */
typedef struct
{
  bool followed;             /* it follows the directory */
  int64_t followed_since_ms; /* valid if FOLLOWED; 0 for since its start */
  int64_t listed_at_ms;      /* when its first listing was complete; 0 if none is */
  bool all_have_just_started;
} directory_view_t;

/* Returns the time at which the discovery of a shard ends that is claimed at NOW_MS. */
int64_t discovery_until_ms (const directory_view_t *view, int64_t now_ms);

#endif
