/* report.c -- what dispatch_t says about itself */
#include "dispatch/state.h"

bool
dispatch_is_queued (const dispatch_t *dispatch, uint64_t ticket)
{
  const entry_t *entry = g_hash_table_lookup (dispatch->entries, &ticket);

  return entry != NULL && entry->endpoint == NULL;
}

dispatch_totals_t
dispatch_totals (const dispatch_t *dispatch)
{
  return (dispatch_totals_t){ .queued = dispatch->by_latest_start.count,
                              .running = dispatch->running,
                              .endpoints = dispatch->fleet.members,
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
      const endpoint_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      dispatch_endpoint_state_t state = {
        .id = endpoint->id,
        .leaving = endpoint->leaving || !endpoint->listed,
        .ejected = endpoint->outlier.state == OUTLIER_OUT,
        .silent = endpoint_is_silent (endpoint, now_ms),
        .unreachable = endpoint->reach.backoff_ms > 0,
        .slots = endpoint->slots,
        .running = endpoint->units,
      };
      each (&state, data);
    }
}

void
dispatch_each_timing (
    dispatch_t *dispatch,
    const char *id,
    void (*each) (const char *kind, double mean_ms, double deviation_ms, void *data),
    void *data)
{
  const endpoint_t *endpoint = g_hash_table_lookup (dispatch->by_id, id);

  if (endpoint == NULL)
    return;
  for (guint i = 0; i < dispatch->kind_list->len; i++)
    {
      const kind_t *kind = g_ptr_array_index (dispatch->kind_list, i);
      const timing_t *timing = &endpoint->kinds[kind->index];
      if (timing->count > 0)
        each (kind->name, timing->mean_ms, timing->deviation_ms, data);
    }
}

typedef struct
{
  dispatch_t *dispatch;
  void (*each) (const dispatch_plan_state_t *state, void *data);
  void *data;
} plan_walk_t;

static void
report_plan (fair_plan_t *queue, void *data)
{
  plan_walk_t *walk = data;
  const plan_t *plan = plan_get (walk->dispatch, fair_plan_name (queue));
  dispatch_plan_state_t state = {
    .plan = fair_plan_name (queue),
    .queued = fair_plan_queued (queue),
    .running = plan->running,
    .started_lately = MAX (plan->starts, plan->last_starts),
    .at_running_max = fair_is_parked (queue, FAIR_AT_RUNNING_MAX),
    .at_starts_max = fair_is_parked (queue, FAIR_AT_STARTS_MAX),
  };

  walk->each (&state, walk->data);
}

void
dispatch_each_plan (dispatch_t *dispatch,
                    void (*each) (const dispatch_plan_state_t *state, void *data),
                    void *data)
{
  plan_walk_t walk = { dispatch, each, data };

  fair_each_plan (dispatch->fair, report_plan, &walk);
}
