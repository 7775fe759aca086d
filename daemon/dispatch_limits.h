/* dispatch_limits.h -- implements the limits of lib/dispatch with the quota part
 *
 * Control thread only.
 */
#ifndef DAEMON_DISPATCH_LIMITS_H
#define DAEMON_DISPATCH_LIMITS_H

#include "daemon/part.h"
#include "dispatch/dispatch.h"

/* Creates limits that acquire and release units of QUOTA, a quota part.  The caller frees
 * them with g_free (). */
dispatch_limits_t *dispatch_limits_new (part_t *quota);

/* Reports to QUOTA how many units of each limit this host could use.  REPORTED holds the
 * last demand by limit name, so that only changes are reported. */
void dispatch_limits_report_demand (dispatch_t *dispatch,
                                    part_t *quota,
                                    GHashTable *reported,
                                    int64_t now_ms);

/* While RETAIN is true, released units stay in use until the deadline of their task.  Used
 * for tasks that have lost their connection, since they may still be running. */
void dispatch_limits_retain_released (dispatch_limits_t *limits, bool retain);

#endif
