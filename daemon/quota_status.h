/* quota_status.h -- the state of the limits in GET /v1/status */
#ifndef DAEMON_QUOTA_STATUS_H
#define DAEMON_QUOTA_STATUS_H

#include "quota/quota.h"

#include <json-c/json.h>

/* Adds the sections "limits", with the limits of each plan, and "slots", with the
 * slots of each endpoint, to STATUS.  Each limit comes with the units that this host
 * holds, uses and could use, and its allocator. */
void quota_status_add (quota_t *quota, int64_t now_ms, json_object *status);

#endif
