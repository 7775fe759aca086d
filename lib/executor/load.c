/* load.c -- load reports: the capacity and the backlog of an owner */
#include "executor/load.h"

#include "executor/state.h"

#include <string.h>

#define MILLI_PER_CORE 1000.0
/* Limit for a single task, so that the totals stay in range whatever a caller asks for. */
#define CORE_MS_MAX 1e9

/* Capacity of one service while the endpoints are summed up. */
typedef struct
{
  executor_load_t load;
  double reference_milli; /* cores at the reference speed: each divided by its endpoint's duration
                             ratio */
} service_capacity_t;

int32_t
executor_load_level (int32_t priority)
{
  return CLAMP (priority, 0, EXECUTOR_LOAD_LEVELS - 1);
}

int64_t
load_core_ms (const resources_t *need, int64_t work_ms)
{
  double core_ms = (double) need->cores_milli * (double) work_ms / MILLI_PER_CORE;

  return (int64_t) MIN (core_ms, CORE_MS_MAX);
}

void
load_add (GHashTable *totals_by_service,
          const char *service,
          int32_t priority,
          int64_t core_ms,
          bool late,
          load_entry_t *entry)
{
  load_totals_t *totals = g_hash_table_lookup (totals_by_service, service);

  if (totals == NULL)
    {
      totals = g_new0 (load_totals_t, 1);
      g_hash_table_insert (totals_by_service, g_strdup (service), totals);
    }
  *entry = (load_entry_t){ totals, executor_load_level (priority), core_ms, late };
  totals->total[entry->level] += core_ms;
  if (late)
    totals->late[entry->level] += core_ms;
}

void
load_remove (load_entry_t *entry)
{
  if (entry->totals == NULL)
    return;
  entry->totals->total[entry->level] -= entry->core_ms;
  if (entry->late)
    entry->totals->late[entry->level] -= entry->core_ms;
  entry->totals = NULL;
}

static service_capacity_t *
capacity_for (GArray *capacities, const char *service)
{
  for (guint i = 0; i < capacities->len; i++)
    {
      service_capacity_t *capacity = &g_array_index (capacities, service_capacity_t, i);
      if (strcmp (capacity->load.service, service) == 0)
        return capacity;
    }
  service_capacity_t capacity = { .load = { .service = service, .next_free_ms = INT64_MAX } };
  g_array_append_val (capacities, capacity);
  return &g_array_index (capacities, service_capacity_t, capacities->len - 1);
}

static void
add_endpoint (service_capacity_t *capacity, const endpoint_t *endpoint, int64_t now_ms)
{
  executor_load_t *load = &capacity->load;
  int64_t cores_milli = endpoint->capacity.reported.cores_milli;

  load->cores_milli += cores_milli;
  capacity->reference_milli += (double) cores_milli / MAX (endpoint->duration_ratio, G_MINDOUBLE);
  load->max_free_milli = MAX (load->max_free_milli, cores_milli - endpoint->used.cores_milli);
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const task_t *run = endpoint->runs->pdata[i];
      int64_t remaining_ms = run->start_sent_at_ms + run->expected_ms - now_ms;
      load->next_free_ms = MIN (load->next_free_ms, MAX (remaining_ms, 0));
    }
}

/* If nothing waits, only the capacity is filled in.  The report of an idle shard then stays the
 * same and is not sent again. */
static void
add_backlog (service_capacity_t *capacity, const load_totals_t *totals)
{
  executor_load_t *load = &capacity->load;
  double ratio = (double) load->cores_milli / MAX (capacity->reference_milli, 1.0);
  int64_t total = 0;

  for (int level = 0; totals != NULL && level < EXECUTOR_LOAD_LEVELS; level++)
    {
      load->backlog_core_ms[level] = (int64_t) ((double) totals->total[level] * ratio);
      load->late_core_ms[level] = (int64_t) ((double) totals->late[level] * ratio);
      total += totals->total[level];
    }
  if (total == 0)
    load->max_free_milli = 0;
  if (total == 0 || load->next_free_ms == INT64_MAX)
    load->next_free_ms = 0;
}

/* Reduces CAPACITY to PART of it: no task starts at once, wherever cores are free. */
static void
reduce_capacity (service_capacity_t *capacity, double part)
{
  capacity->load.cores_milli = MAX ((int64_t) ((double) capacity->load.cores_milli * part), 1);
  capacity->reference_milli *= part;
  capacity->load.max_free_milli = 0;
}

/* The endpoints can't do more than this host can start. */
static void
apply_window (GArray *capacities, int64_t window_milli)
{
  int64_t cores_milli = 0;

  for (guint i = 0; i < capacities->len; i++)
    cores_milli += g_array_index (capacities, service_capacity_t, i).load.cores_milli;
  if (cores_milli <= window_milli)
    return;
  double part = (double) window_milli / (double) cores_milli;
  for (guint i = 0; i < capacities->len; i++)
    reduce_capacity (&g_array_index (capacities, service_capacity_t, i), part);
}

void
executor_loads (const executor_t *executor, int64_t now_ms, GArray *loads)
{
  GArray *capacities = g_array_new (FALSE, FALSE, sizeof (service_capacity_t));
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, executor->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const endpoint_t *endpoint = value;
      if (placement_is_usable (endpoint, now_ms))
        add_endpoint (capacity_for (capacities, endpoint->service), endpoint, now_ms);
    }
  apply_window (capacities, order_window_cores_milli (&executor->order_window, now_ms));
  for (guint i = 0; i < capacities->len; i++)
    {
      service_capacity_t *capacity = &g_array_index (capacities, service_capacity_t, i);
      add_backlog (capacity, g_hash_table_lookup (executor->load_totals, capacity->load.service));
      g_array_append_val (loads, capacity->load);
    }
  g_array_unref (capacities);
}
