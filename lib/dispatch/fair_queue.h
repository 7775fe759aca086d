/* fair_queue.h -- the queues of the plans and the weighted queues order between them
 *
 * Each plan has a queue ordered by deadline.  Between plans the order is
 * start-time queues queueing: a plan is charged the service time of each task
 * that it starts, divided by its weight, and the plan with the smallest charge
 * (its virtual time) goes next.  A plan that was idle or parked re-enters at
 * the virtual time of the system: it neither saves up unused service nor pays
 * for service that nobody else wanted.
 *
 * Every call is O(log n).  Not thread-safe.
 */
#ifndef DISPATCH_FAIR_H
#define DISPATCH_FAIR_H

#include "dispatch/heap.h"

#include <glib.h>

typedef struct fair_queue_t fair_queue_t;
typedef struct fair_queue_plan_t fair_queue_plan_t;

/* A queued task; first member of the caller's struct. */
typedef struct
{
  heap_node_t by_deadline; /* key: deadline in ms */
  fair_queue_plan_t *plan;
} fair_queue_item_t;

/* Why a plan is passed over.  A plan is served only while it has no reason. */
typedef enum
{
  FAIR_QUEUE_AT_RUNNING_MAX = 1 << 0,
  FAIR_QUEUE_AT_STARTS_MAX = 1 << 1,
  FAIR_QUEUE_NO_ENDPOINT = 1 << 2 /* its first task suits no free endpoint just now */
} fair_queue_reason_t;

fair_queue_t *fair_queue_new (void);
void fair_queue_free (fair_queue_t *queues);

/* The plan NAME, made with weight 1 on first use; lives as long as FAIR. */
fair_queue_plan_t *fair_queue_get_plan (fair_queue_t *queues, const char *name);

const char *fair_queue_plan_name (const fair_queue_plan_t *plan);
uint32_t fair_queue_plan_queued (const fair_queue_plan_t *plan);
int32_t fair_queue_plan_weight (const fair_queue_plan_t *plan);
void fair_queue_set_weight (fair_queue_t *queues, fair_queue_plan_t *plan, int32_t weight);

/* Calls EACH for every plan, in the order in which they were made. */
void fair_queue_each_plan (fair_queue_t *queues,
                           void (*each) (fair_queue_plan_t *plan, void *data),
                           void *data);

/* Queues ITEM for PLAN. */
void fair_queue_add (fair_queue_t *queues,
                     fair_queue_plan_t *plan,
                     fair_queue_item_t *item,
                     int64_t deadline_at_ms);

/* Takes ITEM out of its queue, without a charge.  No-op if it is in none. */
void fair_queue_remove (fair_queue_t *queues, fair_queue_item_t *item);

/* The task that goes next, still queued; NULL if every plan is empty or
 * parked. */
fair_queue_item_t *fair_queue_next (const fair_queue_t *queues);

/* Takes ITEM, the result of fair_queue_next (), out and charges its plan COST_US. */
void fair_queue_start (fair_queue_t *queues, fair_queue_item_t *item, int64_t cost_us);

/* Adds DELTA_US to PLAN's charge: what a task took beyond its estimate. */
void fair_queue_charge (fair_queue_t *queues, fair_queue_plan_t *plan, int64_t delta_us);

void fair_queue_block (fair_queue_t *queues, fair_queue_plan_t *plan, fair_queue_reason_t reason);
void fair_queue_unblock (fair_queue_t *queues, fair_queue_plan_t *plan, fair_queue_reason_t reason);
bool fair_queue_is_blocked (const fair_queue_plan_t *plan, fair_queue_reason_t reason);

/* Queued tasks over all plans. */
uint32_t fair_queue_total_queued (const fair_queue_t *queues);

/* Sum of the weights of the plans that have tasks queued and are not held back
 * by a limit of their own. */
int64_t fair_queue_active_weight (const fair_queue_t *queues);

#endif
