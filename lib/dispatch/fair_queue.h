/* fair_queue.h -- one task queue per plan and weighted fair queueing between plans
 *
 * The queue of a plan is ordered by deadline.  The plans are served by start-time fair
 * queueing: the virtual time of a plan grows by the service time of each task that it
 * starts, divided by its weight, and the plan with the smallest virtual time is served
 * next.  A plan that was idle, or blocked by a limit of its own, resumes at the virtual
 * time of the system if its own is behind.  It therefore gets no credit for service that
 * it did not use, and a plan that was served alone in the meantime does not fall behind
 * it for that.
 *
 * Adding, removing and starting a task and blocking a plan take O(log n).  The caller
 * owns the items, which must stay at their address while queued.  Not thread-safe.
 */
#ifndef DISPATCH_FAIR_QUEUE_H
#define DISPATCH_FAIR_QUEUE_H

#include "dispatch/heap.h"

#include <glib.h>

typedef struct fair_queue_t fair_queue_t;
typedef struct fair_queue_plan_t fair_queue_plan_t;

/* A queued task, embedded in the caller's struct; if it is the first member there,
 * the result of fair_queue_next () can be cast to that struct. */
typedef struct
{
  heap_node_t by_deadline; /* key: deadline in ms */
  fair_queue_plan_t *plan; /* set by fair_queue_add () */
} fair_queue_item_t;

/* Reasons to block a plan.  A plan is served only while none of them applies. */
typedef enum
{
  FAIR_QUEUE_AT_RUNNING_MAX = 1 << 0, /* as many tasks run as its limit allows */
  FAIR_QUEUE_AT_STARTS_MAX = 1 << 1,  /* its limit on starts is used up */
  FAIR_QUEUE_NO_ENDPOINT = 1 << 2     /* no endpoint can take its first task in this round */
} fair_queue_reason_t;

fair_queue_t *fair_queue_new (void);
void fair_queue_free (fair_queue_t *queues);

/* Returns the plan NAME, created with weight 1 on first use.  It is owned by QUEUES and
 * valid until fair_queue_free (). */
fair_queue_plan_t *fair_queue_get_plan (fair_queue_t *queues, const char *name);

const char *fair_queue_plan_name (const fair_queue_plan_t *plan);
/* Number of tasks queued for PLAN. */
uint32_t fair_queue_plan_queued (const fair_queue_plan_t *plan);
int32_t fair_queue_plan_weight (const fair_queue_plan_t *plan);
/* WEIGHT must be at least 1. */
void fair_queue_set_weight (fair_queue_t *queues, fair_queue_plan_t *plan, int32_t weight);

/* Calls EACH for every plan, in order of creation. */
void fair_queue_each_plan (fair_queue_t *queues,
                           void (*each) (fair_queue_plan_t *plan, void *data),
                           void *data);

/* Queues ITEM for PLAN.  Items with equal deadlines are served in the order in which
 * they were added. */
void fair_queue_add (fair_queue_t *queues,
                     fair_queue_plan_t *plan,
                     fair_queue_item_t *item,
                     int64_t deadline_at_ms);

/* Removes ITEM from its queue without a charge.  No-op if it is not queued. */
void fair_queue_remove (fair_queue_t *queues, fair_queue_item_t *item);

/* Returns the task to serve next and leaves it queued; NULL if every plan is empty or
 * blocked. */
fair_queue_item_t *fair_queue_next (const fair_queue_t *queues);

/* Removes ITEM, which must be the result of fair_queue_next (), from its queue and
 * charges COST_US of service time to its plan. */
void fair_queue_start (fair_queue_t *queues, fair_queue_item_t *item, int64_t cost_us);

/* Charges DELTA_US of service time to PLAN, to correct an estimate when a task ends.
 * It may be negative. */
void fair_queue_charge (fair_queue_t *queues, fair_queue_plan_t *plan, int64_t delta_us);

/* Set and clear a reason to block PLAN. */
void fair_queue_block (fair_queue_t *queues, fair_queue_plan_t *plan, fair_queue_reason_t reason);
void fair_queue_unblock (fair_queue_t *queues, fair_queue_plan_t *plan, fair_queue_reason_t reason);
bool fair_queue_is_blocked (const fair_queue_plan_t *plan, fair_queue_reason_t reason);

/* Number of tasks queued for all plans. */
uint32_t fair_queue_total_queued (const fair_queue_t *queues);

/* Sum of the weights of the plans that have queued tasks and are not blocked by a limit
 * of their own. */
int64_t fair_queue_active_weight (const fair_queue_t *queues);

#endif
