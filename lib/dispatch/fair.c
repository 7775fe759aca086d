/* fair.c -- the queues of the plans and the weighted fair order between them
 *
 * Invariant: a plan is in `ready` if and only if its queue is not empty and it
 * has no reason to be passed over.  `virtual_us` never falls; it is the virtual
 * time of the plan served last.
 */
#include "dispatch/fair.h"

#include <assert.h>
#include <string.h>

/* Keeps a charge of one microsecond above zero for large weights. */
#define WEIGHT_SCALE 1024

struct fair_plan_t
{
  heap_node_t by_virtual; /* key: virtual time */
  char *name;
  heap_t queue; /* fair_item_t by deadline */
  int32_t weight;
  unsigned reasons;
};

struct fair_t
{
  GHashTable *plans;    /* name -> fair_plan_t */
  GPtrArray *plan_list; /* fair_plan_t */
  heap_t ready;         /* fair_plan_t by virtual time */
  int64_t virtual_us;
  uint64_t last_order;
  uint32_t queued;
  int64_t active_weight;
};

static void
plan_free (void *data)
{
  fair_plan_t *plan = data;

  heap_clear (&plan->queue);
  g_free (plan->name);
  g_free (plan);
}

fair_t *
fair_new (void)
{
  fair_t *fair = g_new0 (fair_t, 1);

  fair->plans = g_hash_table_new (g_str_hash, g_str_equal);
  fair->plan_list = g_ptr_array_new_with_free_func (plan_free);
  return fair;
}

void
fair_free (fair_t *fair)
{
  g_hash_table_destroy (fair->plans);
  g_ptr_array_unref (fair->plan_list);
  heap_clear (&fair->ready);
  g_free (fair);
}

fair_plan_t *
fair_plan (fair_t *fair, const char *name)
{
  fair_plan_t *plan = g_hash_table_lookup (fair->plans, name);

  if (plan != NULL)
    return plan;
  plan = g_new0 (fair_plan_t, 1);
  plan->name = g_strdup (name);
  plan->weight = 1;
  plan->by_virtual.order = fair->plan_list->len;
  g_hash_table_insert (fair->plans, plan->name, plan);
  g_ptr_array_add (fair->plan_list, plan);
  return plan;
}

const char *
fair_plan_name (const fair_plan_t *plan)
{
  return plan->name;
}

uint32_t
fair_plan_queued (const fair_plan_t *plan)
{
  return plan->queue.count;
}

int32_t
fair_plan_weight (const fair_plan_t *plan)
{
  return plan->weight;
}

void
fair_each_plan (fair_t *fair, void (*each) (fair_plan_t *plan, void *data), void *data)
{
  for (guint i = 0; i < fair->plan_list->len; i++)
    each (g_ptr_array_index (fair->plan_list, i), data);
}

/* A plan at its own limit takes nothing from the others. */
static bool
is_active (const fair_plan_t *plan)
{
  return plan->queue.count > 0 && (plan->reasons & ~(unsigned) FAIR_SET_ASIDE) == 0;
}

static bool
is_ready (const fair_plan_t *plan)
{
  return plan->queue.count > 0 && plan->reasons == 0;
}

/* Enters or leaves `ready` after a change; WAS_ACTIVE is from before it. */
static void
settle (fair_t *fair, fair_plan_t *plan, bool was_active)
{
  bool listed = plan->by_virtual.place != 0;

  if (is_active (plan) != was_active)
    fair->active_weight += was_active ? -plan->weight : plan->weight;
  if (is_ready (plan) == listed)
    return;
  if (listed)
    {
      heap_remove (&fair->ready, &plan->by_virtual);
      return;
    }
  heap_push (&fair->ready, &plan->by_virtual);
}

void
fair_set_weight (fair_t *fair, fair_plan_t *plan, int32_t weight)
{
  assert (weight >= 1);
  if (is_active (plan))
    fair->active_weight += weight - plan->weight;
  plan->weight = weight;
}

void
fair_add (fair_t *fair, fair_plan_t *plan, fair_item_t *item, int64_t deadline_at_ms)
{
  bool was_active = is_active (plan);

  if (plan->queue.count == 0 && plan->by_virtual.key < fair->virtual_us)
    plan->by_virtual.key = fair->virtual_us;
  item->plan = plan;
  item->by_deadline.key = deadline_at_ms;
  item->by_deadline.order = ++fair->last_order;
  heap_push (&plan->queue, &item->by_deadline);
  fair->queued++;
  settle (fair, plan, was_active);
}

void
fair_remove (fair_t *fair, fair_item_t *item)
{
  if (item->by_deadline.place == 0)
    return;
  fair_plan_t *plan = item->plan;
  bool was_active = is_active (plan);

  heap_remove (&plan->queue, &item->by_deadline);
  fair->queued--;
  settle (fair, plan, was_active);
}

fair_item_t *
fair_next (const fair_t *fair)
{
  fair_plan_t *plan = (fair_plan_t *) heap_first (&fair->ready);

  return plan == NULL ? NULL : (fair_item_t *) heap_first (&plan->queue);
}

void
fair_start (fair_t *fair, fair_item_t *item, int64_t cost_us)
{
  fair_plan_t *plan = item->plan;

  if (plan->by_virtual.key > fair->virtual_us)
    fair->virtual_us = plan->by_virtual.key;
  fair_charge (fair, plan, cost_us);
  fair_remove (fair, item);
}

void
fair_charge (fair_t *fair, fair_plan_t *plan, int64_t delta_us)
{
  plan->by_virtual.key += delta_us * WEIGHT_SCALE / plan->weight;
  heap_moved (&fair->ready, &plan->by_virtual);
}

void
fair_park (fair_t *fair, fair_plan_t *plan, fair_reason_t reason)
{
  bool was_active = is_active (plan);

  plan->reasons |= reason;
  settle (fair, plan, was_active);
}

void
fair_unpark (fair_t *fair, fair_plan_t *plan, fair_reason_t reason)
{
  bool was_active = is_active (plan);

  if ((plan->reasons & reason) == 0)
    return;
  if (reason != FAIR_SET_ASIDE && plan->by_virtual.key < fair->virtual_us)
    plan->by_virtual.key = fair->virtual_us;
  plan->reasons &= ~(unsigned) reason;
  settle (fair, plan, was_active);
}

bool
fair_is_parked (const fair_plan_t *plan, fair_reason_t reason)
{
  return (plan->reasons & reason) != 0;
}

uint32_t
fair_queued (const fair_t *fair)
{
  return fair->queued;
}

int64_t
fair_active_weight (const fair_t *fair)
{
  return fair->active_weight;
}
