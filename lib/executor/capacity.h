/* capacity.h -- capacity of an endpoint, from its reports and its refusals; private to lib/executor
 *
 * Load pattern: an endpoint gives a part of its resources to something else for seconds or minutes
 * and takes it back, while tasks run there.  Its entry states the whole capacity that it has for
 * tasks, whatever runs there; the entry is rewritten with each heartbeat, not with each start.
 *
 * The last report of the instance counts, whether it is higher or lower than those before it.  Runs
 * that no longer fit are not stopped; they stay allocated until they have ended, so that nothing
 * starts before the others fit.
 *
 * An endpoint that guards its capacity shows earlier that it has shrunk: it refuses a start.  What
 * was allocated there together with that start did not fit, and nothing that needs as much is
 * started until a back-off has passed.  Then one start is tried.  Each refused try doubles the
 * back-off; an accepted one, or a report of another capacity, ends it.  The back-off is bounded,
 * because a refusal has other causes as well, such as a run of an earlier owner.
 */
#ifndef EXECUTOR_CAPACITY_H
#define EXECUTOR_CAPACITY_H

#include "executor/executor.h"

typedef struct
{
  resources_t reported;     /* by the last report of the instance; 0 before the first */
  resources_t refused;      /* least allocation that was refused; valid if REFUSALS is not 0 */
  int32_t refusals;         /* number of refused tries in a row */
  bool trying;              /* a start of REFUSED or more has no answer yet */
  int64_t refused_until_ms; /* nothing of REFUSED or more starts before this time */
} capacity_t;

bool resources_fit (const resources_t *capacity, const resources_t *used, const resources_t *need);
/* Number of tasks that need NEED and fit beside USED; 0 if USED exceeds CAPACITY. */
int32_t
resources_slots (const resources_t *capacity, const resources_t *used, const resources_t *need);
/* Adds FACTOR times NEED to TOTAL. */
void resources_add (resources_t *total, const resources_t *need, int32_t factor);

/* Returns the lower amount of each resource. */
resources_t resources_min (const resources_t *a, const resources_t *b);

/* Records a report of the endpoint. */
void capacity_report (capacity_t *capacity, const resources_t *reported);

/* Records the order for a start; ALLOCATED includes what the task needs. */
void capacity_record_start (capacity_t *capacity, const resources_t *allocated, int64_t now_ms);

/* Records that a start was refused for lack of resources; ALLOCATED includes what the task needs.
 */
void capacity_record_refusal (capacity_t *capacity, const resources_t *allocated, int64_t now_ms);

/* Records that a start was accepted; ALLOCATED includes what the task needs. */
void capacity_record_accepted (capacity_t *capacity, const resources_t *allocated);

/* True if NEED fits beside USED now. */
bool capacity_fits (const capacity_t *capacity,
                    const resources_t *used,
                    const resources_t *need,
                    int64_t now_ms);

/* Number of tasks that need NEED and fit beside USED now. */
int32_t capacity_slots (const capacity_t *capacity,
                        const resources_t *used,
                        const resources_t *need,
                        int64_t now_ms);

#endif
