/* load.c -- what an owner reports of its backlog and its capacity */
#include "fleet/load.h"

#include "fleet/state.h"

#include <string.h>

#define MILLI 1000.0
/* No task counts for more, so that sums stay in range whatever a caller asks for. */
#define CORE_MS_MAX 1e9

/* Capacity of one service's endpoints in a pass. */
typedef struct
{
  fleet_load_t load;
  double speed_milli; /* cores, each divided by its endpoint's ratio */
} capacity_t;

int32_t
fleet_load_level (int32_t priority)
{
  return CLAMP (priority, 0, FLEET_LOAD_LEVELS - 1);
}

int64_t
load_core_ms (const room_t *need, int64_t work_ms)
{
  double core_ms = (double) need->cores_milli * (double) work_ms / MILLI;

  return (int64_t) MIN (core_ms, CORE_MS_MAX);
}

void
load_add (GHashTable *table,
          const char *service,
          int32_t priority,
          int64_t core_ms,
          bool late,
          load_mark_t *mark)
{
  load_sums_t *sums = g_hash_table_lookup (table, service);

  if (sums == NULL)
    {
      sums = g_new0 (load_sums_t, 1);
      g_hash_table_insert (table, g_strdup (service), sums);
    }
  *mark = (load_mark_t){ sums, fleet_load_level (priority), core_ms, late };
  sums->all[mark->level] += core_ms;
  if (late)
    sums->late[mark->level] += core_ms;
}

void
load_remove (load_mark_t *mark)
{
  if (mark->sums == NULL)
    return;
  mark->sums->all[mark->level] -= mark->core_ms;
  if (mark->late)
    mark->sums->late[mark->level] -= mark->core_ms;
  mark->sums = NULL;
}

static capacity_t *
capacity_for (GArray *capacities, const char *service)
{
  for (guint i = 0; i < capacities->len; i++)
    {
      capacity_t *one = &g_array_index (capacities, capacity_t, i);
      if (strcmp (one->load.service, service) == 0)
        return one;
    }
  capacity_t one = { .load = { .service = service, .next_free_ms = INT64_MAX } };
  g_array_append_val (capacities, one);
  return &g_array_index (capacities, capacity_t, capacities->len - 1);
}

static void
add_endpoint (capacity_t *capacity, const endpoint_t *endpoint, int64_t now_ms)
{
  fleet_load_t *load = &capacity->load;
  int64_t cores_milli = endpoint->whole.cores_milli;

  load->cores_milli += cores_milli;
  capacity->speed_milli += (double) cores_milli / MAX (endpoint->ratio, G_MINDOUBLE);
  load->room_milli = MAX (load->room_milli, cores_milli - endpoint->used.cores_milli);
  for (guint i = 0; i < endpoint->runs->len; i++)
    {
      const task_t *run = endpoint->runs->pdata[i];
      int64_t left_ms = run->sent_at_ms + run->expected_ms - now_ms;
      load->next_free_ms = MIN (load->next_free_ms, MAX (left_ms, 0));
    }
}

/* Without a backlog only the capacity is told, so that a report of an idle shard stays the same
 * and is not sent again. */
static void
add_backlog (capacity_t *capacity, const load_sums_t *sums)
{
  fleet_load_t *load = &capacity->load;
  double ratio = (double) load->cores_milli / MAX (capacity->speed_milli, 1.0);
  int64_t all = 0;

  for (int level = 0; sums != NULL && level < FLEET_LOAD_LEVELS; level++)
    {
      load->backlog_core_ms[level] = (int64_t) ((double) sums->all[level] * ratio);
      load->late_core_ms[level] = (int64_t) ((double) sums->late[level] * ratio);
      all += sums->all[level];
    }
  if (all == 0)
    load->room_milli = 0;
  if (all == 0 || load->next_free_ms == INT64_MAX)
    load->next_free_ms = 0;
}

void
fleet_loads (const fleet_t *fleet, int64_t now_ms, GArray *loads)
{
  GArray *capacities = g_array_new (FALSE, FALSE, sizeof (capacity_t));
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const endpoint_t *endpoint = value;
      if (place_is_usable (endpoint, now_ms))
        add_endpoint (capacity_for (capacities, endpoint->service), endpoint, now_ms);
    }
  for (guint i = 0; i < capacities->len; i++)
    {
      capacity_t *one = &g_array_index (capacities, capacity_t, i);
      add_backlog (one, g_hash_table_lookup (fleet->load_sums, one->load.service));
      g_array_append_val (loads, one->load);
    }
  g_array_unref (capacities);
}
