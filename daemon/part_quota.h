/* part_quota.h -- limits as shares with deadlines
 *
 * Limit names: "running/PLAN", "starts/PLAN" (units a second) and
 * "slots/ENDPOINT".  A name without a limit is not limited.  Control thread
 * only.
 */
#ifndef DAEMON_PART_QUOTA_H
#define DAEMON_PART_QUOTA_H

#include "daemon/part.h"

part_t *part_quota_new (daemon_t *daemon, part_t *view, part_t *config);

/* Takes one unit of LIMIT; 0, or ERROR_FULL if this host's share has none.
 * ENDS_AT_MS (boot clock) is the latest moment at which the unit can still be
 * in use: the deadline of the task. */
int part_quota_acquire (part_t *part, const char *limit, int64_t ends_at_ms, int64_t now_ms);

/* Gives back a unit of "running/" or "slots/" that part_quota_acquire () took. */
void part_quota_release (part_t *part, const char *limit, int64_t ends_at_ms, int64_t now_ms);

/* Units that could be taken now. */
int32_t part_quota_available (part_t *part, const char *limit, int64_t now_ms);

/* Says how many units this host could use now, those in use included. */
void part_quota_set_demand (part_t *part, const char *limit, int32_t demand, int64_t now_ms);

/* Asks the allotting hosts for what the demands lack, without waiting for the
 * next report: at most one message to each peer. */
void part_quota_request (part_t *part, int64_t now_ms);

/* Runs whenever this host's shares have grown. */
void part_quota_set_listener (part_t *part, void (*grown) (void *data), void *data);

#endif
