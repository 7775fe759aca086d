/* quota_status.h -- limits in GET /v1/status and in the counters */
#ifndef DAEMON_QUOTA_STATUS_H
#define DAEMON_QUOTA_STATUS_H

#include "quota/quota.h"

#include <json-c/json.h>

/* Adds "limits": for each plan what it may use, and what this host holds and
 * uses of it; and "slots", the same for each endpoint. */
void quota_status_add (quota_t *quota, int64_t now_ms, json_object *status);

#endif
