/* discovery.h -- whether a new owner knows all endpoints of its shard
 *
 * Entries of endpoints can be missing from a listing of the directory: they expire while the log is
 * unavailable, and are registered again within some seconds.  A host that has not followed the
 * directory since its last listing knows only the endpoints of that time.  Until the discovery
 * ends, a task may run on an endpoint that the owner does not know.
 *
 * Endpoints register at any time, and the previous owner may have started a task on one a moment
 * later.  A host knows those that had registered when it sent its last read of the directory; a
 * task that may have been started until some time waits for a read that was sent after it.
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

/* What the owner of a shard knows of its endpoints. */
typedef struct
{
  int64_t until_ms; /* until then entries may be missing */
  /* When the last read was sent that has got all of the directory; 0 if there is none. */
  int64_t directory_read_at_ms;
} discovery_t;

/* Whether the owner knows at NOW_MS every endpoint on which a task can have been started until
 * AT_MS. */
bool discovery_covers (const discovery_t *discovery, int64_t at_ms, int64_t now_ms);

#endif
