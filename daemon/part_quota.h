/* part_quota.h -- limits over many hosts, as leased shares
 *
 * The names of limits are "running/PLAN", "starts/PLAN" (starts per second) and
 * "slots/ENDPOINT"; see quota/quota.h.  A name for which no limit is set is not
 * limited.  Control thread only.
 */
#ifndef DAEMON_PART_QUOTA_H
#define DAEMON_PART_QUOTA_H

#include "daemon/part.h"

part_t *part_quota_new (daemon_t *daemon, part_t *view, part_t *config);

/* Acquires one unit of LIMIT.  Returns 0, or ERROR_FULL if the share of this host
 * has no unit left.  ENDS_AT_MS (boot clock) is the latest time at which the unit
 * can be in use: the deadline of the task. */
int part_quota_acquire (part_t *part, const char *limit, int64_t ends_at_ms, int64_t now_ms);

/* Releases a unit of a "running/" or "slots/" limit.  ENDS_AT_MS must be that of
 * part_quota_acquire (). */
void part_quota_release (part_t *part, const char *limit, int64_t ends_at_ms, int64_t now_ms);

/* Returns how many units could be acquired now. */
int32_t part_quota_available (part_t *part, const char *limit, int64_t now_ms);

/* Sets how many units of LIMIT this host could use now, including those in use. */
void part_quota_set_demand (part_t *part, const char *limit, int32_t demand, int64_t now_ms);

/* Requests the units that are missing to meet the demands from the allocators at
 * once, instead of with the next report.  Sends at most one message to each host. */
void part_quota_request (part_t *part, int64_t now_ms);

/* Sets a callback that runs whenever a share of this host has grown. */
void part_quota_set_listener (part_t *part, void (*grown) (void *data), void *data);

#endif
