/* report.c -- reports the state of dispatch_t: totals, endpoints, service times and plans */
#include "dispatch/state.h"

bool
dispatch_is_queued (const dispatch_t *dispatch, uint64_t ticket)
{
  const task_entry_t *entry = g_hash_table_lookup (dispatch->entries, &ticket);

  return entry != NULL && entry->endpoint == NULL;
}

dispatch_totals_t
dispatch_totals (const dispatch_t *dispatch)
{
  return (dispatch_totals_t){ .queued = dispatch->by_latest_start.count,
                              .running = dispatch->running_tasks,
                              .endpoints = dispatch->fleet.endpoints,
                              .ejected = dispatch->fleet.ejected };
}

void
dispatch_each_endpoint (dispatch_t *dispatch,
                        int64_t now_ms,
                        void (*each) (const dispatch_endpoint_state_t *state, void *data),
                        void *data)
{
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      const endpoint_state_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      dispatch_endpoint_state_t state = {
        .id = endpoint->id,
        .leaving = endpoint->leaving || !endpoint->listed,
        .ejected = endpoint->outlier.state == OUTLIER_EJECTED,
        .silent = endpoint_is_silent (endpoint, now_ms),
        .unreachable = endpoint->connect_backoff.backoff_ms > 0,
        .slots = endpoint->slots,
        .running = endpoint->used_slots,
      };
      each (&state, data);
    }
}

void
dispatch_each_service_time (
    dispatch_t *dispatch,
    const char *id,
    void (*each) (const char *kind, double mean_ms, double deviation_ms, void *data),
    void *data)
{
  const endpoint_state_t *endpoint = g_hash_table_lookup (dispatch->endpoints_by_id, id);

  if (endpoint == NULL)
    return;
  for (guint i = 0; i < dispatch->kinds_by_index->len; i++)
    {
      const kind_stats_t *kind = g_ptr_array_index (dispatch->kinds_by_index, i);
      const service_time_t *service_time = &endpoint->service_times[kind->index];
      if (service_time->sample_count > 0)
        each (kind->name, service_time->mean_ms, service_time->deviation_ms, data);
    }
}

typedef struct
{
  dispatch_t *dispatch;
  void (*each) (const dispatch_plan_state_t *state, void *data);
  void *data;
} plan_walk_t;

static void
report_plan (fair_queue_plan_t *queue, void *data)
{
  plan_walk_t *walk = data;
  const plan_state_t *plan = plan_get (walk->dispatch, fair_queue_plan_name (queue));
  dispatch_plan_state_t state = {
    .plan = fair_queue_plan_name (queue),
    .queued = fair_queue_plan_queued (queue),
    .running = plan->running,
    .recent_starts = MAX (plan->starts_this_second, plan->starts_last_second),
    .at_running_max = fair_queue_is_blocked (queue, FAIR_QUEUE_AT_RUNNING_MAX),
    .at_starts_max = fair_queue_is_blocked (queue, FAIR_QUEUE_AT_STARTS_MAX),
  };

  walk->each (&state, walk->data);
}

void
dispatch_each_plan (dispatch_t *dispatch,
                    void (*each) (const dispatch_plan_state_t *state, void *data),
                    void *data)
{
  plan_walk_t walk = { dispatch, each, data };

  fair_queue_each_plan (dispatch->fair_queue, report_plan, &walk);
}
