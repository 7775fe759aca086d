/* endpoint_list.c -- the list of endpoints and totals over it
 *
 * An endpoint that is no longer listed is kept as long as tasks run there.  It is freed
 * by the first dispatch_set_endpoints () after its last task has ended.
 */
#include "dispatch/state.h"

static endpoint_state_t *
endpoint_get (dispatch_t *dispatch, const char *id)
{
  endpoint_state_t *endpoint = g_hash_table_lookup (dispatch->endpoints_by_id, id);

  if (endpoint != NULL)
    return endpoint;
  endpoint = g_new0 (endpoint_state_t, 1);
  endpoint->id = g_strdup (id);
  g_ptr_array_add (dispatch->endpoints, endpoint);
  g_hash_table_insert (dispatch->endpoints_by_id, endpoint->id, endpoint);
  return endpoint;
}

static void
update_endpoint (endpoint_state_t *endpoint, const dispatch_endpoint_t *update)
{
  g_free (endpoint->rack);
  endpoint->rack = g_strdup (update->rack);
  endpoint->slots = update->slots;
  endpoint->connections = update->connections;
  endpoint->cores = update->cores;
  endpoint->memory_mb = update->memory_mb;
  endpoint->leaving = update->leaving;
  endpoint->listed = true;
}

bool
endpoint_takes_work (const endpoint_state_t *endpoint)
{
  return endpoint->listed && !endpoint->leaving;
}

/* Frees endpoints that are not listed and have no running tasks, and removes those that
 * take no work from the candidates. */
static void
free_unlisted (dispatch_t *dispatch)
{
  for (guint i = dispatch->endpoints->len; i-- > 0;)
    {
      endpoint_state_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (!endpoint_takes_work (endpoint))
        candidate_set_remove (dispatch, endpoint);
      if (endpoint->listed || endpoint->running_tasks > 0)
        continue;
      g_hash_table_remove (dispatch->endpoints_by_id, endpoint->id);
      g_ptr_array_remove_index_fast (dispatch->endpoints, i);
    }
}

/* Clears avoided_endpoint in all entries, since it may point to an endpoint that is
 * about to be freed. */
static void
clear_avoided (dispatch_t *dispatch)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, dispatch->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((task_entry_t *) value)->avoided_endpoint = NULL;
}

/* Computes the totals over all endpoints that take work. */
static void
update_totals (dispatch_t *dispatch)
{
  dispatch->fleet = (outlier_fleet_t){ 0 };
  dispatch->listed_slots = 0;
  dispatch->single_slot_cores = INT32_MAX;
  dispatch->single_slot_memory_mb = INT64_MAX;
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      const endpoint_state_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (!endpoint_takes_work (endpoint))
        continue;
      dispatch->fleet.endpoints++;
      dispatch->fleet.ejected += endpoint->outlier.state == OUTLIER_EJECTED;
      dispatch->listed_slots += endpoint->slots;
      int32_t slots = MAX (endpoint->slots, 1);
      bool has_connection_per_slot = endpoint->connections >= slots;
      dispatch->single_slot_cores =
          MIN (dispatch->single_slot_cores, has_connection_per_slot ? endpoint->cores / slots : 0);
      dispatch->single_slot_memory_mb =
          MIN (dispatch->single_slot_memory_mb, endpoint->memory_mb / slots);
    }
}

void
dispatch_set_endpoints (dispatch_t *dispatch,
                        const dispatch_endpoint_t *endpoints,
                        size_t count,
                        int64_t now_ms)
{
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    ((endpoint_state_t *) g_ptr_array_index (dispatch->endpoints, i))->listed = false;
  for (size_t i = 0; i < count; i++)
    update_endpoint (endpoint_get (dispatch, endpoints[i].id), &endpoints[i]);
  dispatch->ranking_generation++;
  clear_avoided (dispatch);
  free_unlisted (dispatch);
  update_totals (dispatch);
  candidate_set_add_all (dispatch);
  dispatch->refreshed_at_ms = now_ms - REFRESH_INTERVAL_MS;
}

void
refresh_slots (dispatch_t *dispatch, int64_t now_ms)
{
  if (now_ms - dispatch->refreshed_at_ms < REFRESH_INTERVAL_MS)
    return;
  dispatch->refreshed_at_ms = now_ms;
  dispatch->held_slots = 0;
  dispatch->free_slots = 0;
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      const endpoint_state_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (!endpoint_takes_work (endpoint) || endpoint->outlier.state == OUTLIER_EJECTED
          || endpoint_is_silent (endpoint, now_ms) || !endpoint_is_reachable (endpoint, now_ms))
        continue;
      int32_t left = available_slots (dispatch, endpoint, now_ms);
      dispatch->free_slots += MAX (left, 0);
      dispatch->held_slots += MAX (left, 0) + endpoint->used_slots;
    }
}
