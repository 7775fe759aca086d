/* completion.c -- end of a task: releases its units and updates endpoint statistics */
#include "dispatch/state.h"

/* A timeout counts as a failure of the endpoint if the call took longer than expected
 * by more than this many deviations. */
#define TIMEOUT_DEVIATIONS 4.0

static bool
is_failure (dispatch_outcome_t outcome)
{
  return outcome != DISPATCH_DONE;
}

/* False if the call was cut off at its deadline before it could be expected to end;
 * then the outcome is no evidence for or against the endpoint. */
static bool
is_attributable (const task_entry_t *entry, const dispatch_event_t *event, int64_t now_ms)
{
  double elapsed_ms = (double) event->elapsed_us / 1000;
  double expected_ms = endpoint_expected_ms (entry->endpoint, entry->kind, now_ms);

  return event->outcome != DISPATCH_TIMEOUT
         || elapsed_ms > expected_ms + TIMEOUT_DEVIATIONS * entry->kind->service_time.deviation_ms;
}

/* Updates the statistics of the endpoint by the outcome. */
static void
record_outcome (dispatch_t *dispatch,
                task_entry_t *entry,
                const dispatch_event_t *event,
                int64_t now_ms)
{
  endpoint_state_t *endpoint = entry->endpoint;
  outlier_t *outlier = &endpoint->outlier;

  if (event->outcome == DISPATCH_ABANDONED)
    {
      outlier->probe_running &= !entry->is_probe;
      return;
    }
  if (event->outcome == DISPATCH_NOT_STARTED)
    {
      connect_backoff_failed (&endpoint->connect_backoff, now_ms);
      outlier->probe_running &= !entry->is_probe;
      return;
    }
  if (event->outcome == DISPATCH_DONE || event->outcome == DISPATCH_FAILED)
    endpoint_record_answer (endpoint, now_ms);
  bool attributable = is_attributable (entry, event, now_ms);
  endpoint_record_time (endpoint, entry->kind, event->outcome, (double) event->elapsed_us / 1000,
                        now_ms);
  if (!attributable)
    outlier->probe_running &= !entry->is_probe;
  if (!attributable || (outlier->state != OUTLIER_ADMITTED && !entry->is_probe))
    return;
  bool was_suspect = outlier_is_suspect (outlier, now_ms);
  outlier_record (outlier, &dispatch->fleet, &entry->kind->baseline, is_failure (event->outcome),
                  now_ms);
  if (!was_suspect && outlier_is_suspect (outlier, now_ms))
    dispatch->ranking_generation++;
}

static void
release_units (dispatch_t *dispatch, task_entry_t *entry, int64_t now_ms)
{
  endpoint_state_t *endpoint = entry->endpoint;

  entry_release_units (dispatch, DISPATCH_LIMIT_SLOTS, endpoint->id, entry->slots, entry, now_ms);
  entry_release_units (dispatch, DISPATCH_LIMIT_RUNNING, entry_plan_name (entry), 1, entry, now_ms);
  fair_queue_unblock (dispatch->fair_queue, entry->plan->queue, FAIR_QUEUE_AT_RUNNING_MAX);
  endpoint_task_ended (endpoint, entry);
  entry->plan->running--;
  dispatch->running_tasks--;
  candidate_set_add (dispatch, endpoint);
}

void
entry_ended (dispatch_t *dispatch, const dispatch_event_t *event, int64_t now_ms)
{
  task_entry_t *entry = g_hash_table_lookup (dispatch->entries, &event->ticket);

  if (entry == NULL || entry->endpoint == NULL)
    return;
  release_units (dispatch, entry, now_ms);
  record_outcome (dispatch, entry, event, now_ms);
  bool written = event->outcome != DISPATCH_NOT_STARTED && event->outcome != DISPATCH_ABANDONED;
  int64_t used_us = written ? event->elapsed_us * entry->slots : 0;
  fair_queue_charge (dispatch->fair_queue, entry->plan->queue, used_us - entry->cost_us);
  if (event->outcome != DISPATCH_NOT_STARTED)
    {
      g_hash_table_remove (dispatch->entries, &entry->ticket);
      return;
    }
  entry->avoided_endpoint = entry->endpoint;
  entry->endpoint = NULL;
  entry->is_probe = false;
  entry_enqueue (dispatch, entry, now_ms);
}
