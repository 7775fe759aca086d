/* fair_queue.c -- one task queue per plan and weighted fair queueing between plans
 *
 * Invariants: a plan is in ready_plans if and only if its queue is not empty and it is
 * not blocked.  virtual_time_us, the virtual time of the system, never decreases; it is
 * the largest virtual time at which a plan has been served.
 */
#include "dispatch/fair_queue.h"

#include <assert.h>
#include <string.h>

/* Factor of virtual times, so that 1 us of service is not rounded to 0 for large weights. */
#define WEIGHT_SCALE 1024

struct fair_queue_plan_t
{
  heap_node_t by_virtual_time; /* key: virtual time */
  char *name;
  heap_t queue; /* fair_queue_item_t by deadline */
  int32_t weight;
  unsigned block_reasons; /* bits of fair_queue_reason_t; 0 if not blocked */
};

struct fair_queue_t
{
  GHashTable *plans;    /* name -> fair_queue_plan_t */
  GPtrArray *plan_list; /* fair_queue_plan_t */
  heap_t ready_plans;   /* fair_queue_plan_t by virtual time */
  int64_t virtual_time_us;
  uint64_t last_tie_break;
  uint32_t queued;
  int64_t active_weight; /* sum of the weights of the active plans */
};

static void
plan_free (void *data)
{
  fair_queue_plan_t *plan = data;

  heap_clear (&plan->queue);
  g_free (plan->name);
  g_free (plan);
}

fair_queue_t *
fair_queue_new (void)
{
  fair_queue_t *queues = g_new0 (fair_queue_t, 1);

  queues->plans = g_hash_table_new (g_str_hash, g_str_equal);
  queues->plan_list = g_ptr_array_new_with_free_func (plan_free);
  return queues;
}

void
fair_queue_free (fair_queue_t *queues)
{
  g_hash_table_destroy (queues->plans);
  g_ptr_array_unref (queues->plan_list);
  heap_clear (&queues->ready_plans);
  g_free (queues);
}

fair_queue_plan_t *
fair_queue_get_plan (fair_queue_t *queues, const char *name)
{
  fair_queue_plan_t *plan = g_hash_table_lookup (queues->plans, name);

  if (plan != NULL)
    return plan;
  plan = g_new0 (fair_queue_plan_t, 1);
  plan->name = g_strdup (name);
  plan->weight = 1;
  plan->by_virtual_time.tie_break = queues->plan_list->len;
  g_hash_table_insert (queues->plans, plan->name, plan);
  g_ptr_array_add (queues->plan_list, plan);
  return plan;
}

const char *
fair_queue_plan_name (const fair_queue_plan_t *plan)
{
  return plan->name;
}

uint32_t
fair_queue_plan_queued (const fair_queue_plan_t *plan)
{
  return plan->queue.count;
}

int32_t
fair_queue_plan_weight (const fair_queue_plan_t *plan)
{
  return plan->weight;
}

void
fair_queue_each_plan (fair_queue_t *queues,
                      void (*each) (fair_queue_plan_t *plan, void *data),
                      void *data)
{
  for (guint i = 0; i < queues->plan_list->len; i++)
    each (g_ptr_array_index (queues->plan_list, i), data);
}

/* True if PLAN competes with other plans: it has queued tasks and is not blocked by a
 * limit of its own. */
static bool
is_active (const fair_queue_plan_t *plan)
{
  return plan->queue.count > 0 && (plan->block_reasons & ~(unsigned) FAIR_QUEUE_NO_ENDPOINT) == 0;
}

static bool
is_ready (const fair_queue_plan_t *plan)
{
  return plan->queue.count > 0 && plan->block_reasons == 0;
}

/* Updates ready_plans and active_weight after a change of PLAN.  WAS_ACTIVE is the
 * result of is_active () before the change. */
static void
update_ready (fair_queue_t *queues, fair_queue_plan_t *plan, bool was_active)
{
  bool in_ready_plans = plan->by_virtual_time.index != 0;

  if (is_active (plan) != was_active)
    queues->active_weight += was_active ? -plan->weight : plan->weight;
  if (is_ready (plan) == in_ready_plans)
    return;
  if (in_ready_plans)
    {
      heap_remove (&queues->ready_plans, &plan->by_virtual_time);
      return;
    }
  heap_push (&queues->ready_plans, &plan->by_virtual_time);
}

void
fair_queue_set_weight (fair_queue_t *queues, fair_queue_plan_t *plan, int32_t weight)
{
  assert (weight >= 1);
  if (is_active (plan))
    queues->active_weight += weight - plan->weight;
  plan->weight = weight;
}

void
fair_queue_add (fair_queue_t *queues,
                fair_queue_plan_t *plan,
                fair_queue_item_t *item,
                int64_t deadline_at_ms)
{
  bool was_active = is_active (plan);

  if (plan->queue.count == 0 && plan->by_virtual_time.key < queues->virtual_time_us)
    plan->by_virtual_time.key = queues->virtual_time_us;
  item->plan = plan;
  item->by_deadline.key = deadline_at_ms;
  item->by_deadline.tie_break = ++queues->last_tie_break;
  heap_push (&plan->queue, &item->by_deadline);
  queues->queued++;
  update_ready (queues, plan, was_active);
}

void
fair_queue_remove (fair_queue_t *queues, fair_queue_item_t *item)
{
  if (item->by_deadline.index == 0)
    return;
  fair_queue_plan_t *plan = item->plan;
  bool was_active = is_active (plan);

  heap_remove (&plan->queue, &item->by_deadline);
  queues->queued--;
  update_ready (queues, plan, was_active);
}

fair_queue_item_t *
fair_queue_next (const fair_queue_t *queues)
{
  fair_queue_plan_t *plan = (fair_queue_plan_t *) heap_peek (&queues->ready_plans);

  return plan == NULL ? NULL : (fair_queue_item_t *) heap_peek (&plan->queue);
}

void
fair_queue_start (fair_queue_t *queues, fair_queue_item_t *item, int64_t cost_us)
{
  fair_queue_plan_t *plan = item->plan;

  if (plan->by_virtual_time.key > queues->virtual_time_us)
    queues->virtual_time_us = plan->by_virtual_time.key;
  fair_queue_charge (queues, plan, cost_us);
  fair_queue_remove (queues, item);
}

void
fair_queue_charge (fair_queue_t *queues, fair_queue_plan_t *plan, int64_t delta_us)
{
  plan->by_virtual_time.key += delta_us * WEIGHT_SCALE / plan->weight;
  heap_update (&queues->ready_plans, &plan->by_virtual_time);
}

void
fair_queue_block (fair_queue_t *queues, fair_queue_plan_t *plan, fair_queue_reason_t reason)
{
  bool was_active = is_active (plan);

  plan->block_reasons |= reason;
  update_ready (queues, plan, was_active);
}

void
fair_queue_unblock (fair_queue_t *queues, fair_queue_plan_t *plan, fair_queue_reason_t reason)
{
  bool was_active = is_active (plan);

  if ((plan->block_reasons & reason) == 0)
    return;
  if (reason != FAIR_QUEUE_NO_ENDPOINT && plan->by_virtual_time.key < queues->virtual_time_us)
    plan->by_virtual_time.key = queues->virtual_time_us;
  plan->block_reasons &= ~(unsigned) reason;
  update_ready (queues, plan, was_active);
}

bool
fair_queue_is_blocked (const fair_queue_plan_t *plan, fair_queue_reason_t reason)
{
  return (plan->block_reasons & reason) != 0;
}

uint32_t
fair_queue_total_queued (const fair_queue_t *queues)
{
  return queues->queued;
}

int64_t
fair_queue_active_weight (const fair_queue_t *queues)
{
  return queues->active_weight;
}
