/* dispatch_limits.h -- the limits of lib/dispatch over the shares of this host */
#ifndef DAEMON_DISPATCH_LIMITS_H
#define DAEMON_DISPATCH_LIMITS_H

#include "daemon/part.h"
#include "dispatch/dispatch.h"

/* Limits that take and give units of SHARE.  Free with g_free (). */
dispatch_limits_t *dispatch_limits_new (part_t *quota);

/* Tells SHARE what this host could use of every limit.  SENT remembers the
 * demands by limit name, so that only changes are told. */
void dispatch_limits_report_demand (dispatch_t *dispatch,
                                    part_t *quota,
                                    GHashTable *reported,
                                    int64_t now_ms);

/* While HOLD is true, units of running tasks and slots that are given stay in
 * use until the deadline of their task: it has lost its connection and may run
 * on. */
void dispatch_limits_retain_released (dispatch_limits_t *limits, bool retain);

#endif
