/* ended.c -- the end of a task: units given back, what it says about its endpoint */
#include "dispatch/state.h"

/* A timeout counts against the endpoint beyond this many deviations. */
#define TIMEOUT_DEVIATIONS 4.0

static bool
is_failure (dispatch_outcome_t outcome)
{
  return outcome != DISPATCH_DONE;
}

/* A call that was cut off at its deadline before it could be expected to end says
 * nothing about the endpoint. */
static bool
tells_of_endpoint (const entry_t *entry, const dispatch_event_t *event, int64_t now_ms)
{
  double elapsed_ms = (double) event->elapsed_us / 1000;
  double expected_ms = endpoint_expected_ms (entry->endpoint, entry->kind, now_ms);

  return event->outcome != DISPATCH_TIMEOUT
         || elapsed_ms > expected_ms + TIMEOUT_DEVIATIONS * entry->kind->all.deviation_ms;
}

/* What the end says about the endpoint. */
static void
judge (dispatch_t *dispatch, entry_t *entry, const dispatch_event_t *event, int64_t now_ms)
{
  endpoint_t *endpoint = entry->endpoint;
  outlier_t *outlier = &endpoint->outlier;

  if (event->outcome == DISPATCH_ABANDONED)
    {
      outlier->probing &= !entry->probe;
      return;
    }
  if (event->outcome == DISPATCH_NOT_STARTED)
    {
      reach_failed (&endpoint->reach, now_ms);
      outlier->probing &= !entry->probe;
      return;
    }
  if (event->outcome == DISPATCH_DONE || event->outcome == DISPATCH_FAILED)
    endpoint_answered (endpoint, now_ms);
  bool telling = tells_of_endpoint (entry, event, now_ms);
  endpoint_measured (endpoint, entry->kind, event->outcome, (double) event->elapsed_us / 1000,
                     now_ms);
  if (!telling)
    outlier->probing &= !entry->probe;
  if (!telling || (outlier->state != OUTLIER_IN && !entry->probe))
    return;
  bool was_doubted = outlier_is_doubted (outlier, now_ms);
  outlier_outcome (outlier, &dispatch->fleet, &entry->kind->base, is_failure (event->outcome),
                   now_ms);
  if (!was_doubted && outlier_is_doubted (outlier, now_ms))
    dispatch->list_number++;
}

static void
return_units (dispatch_t *dispatch, entry_t *entry, int64_t now_ms)
{
  endpoint_t *endpoint = entry->endpoint;

  entry_give (dispatch, DISPATCH_SLOTS, endpoint->id, entry->units, entry, now_ms);
  entry_give (dispatch, DISPATCH_RUNNING, entry_plan_name (entry), 1, entry, now_ms);
  fair_unpark (dispatch->fair, entry->plan->queue, FAIR_AT_RUNNING_MAX);
  endpoint_ended (endpoint, entry);
  entry->plan->running--;
  dispatch->running--;
  open_add (dispatch, endpoint);
}

void
entry_ended (dispatch_t *dispatch, const dispatch_event_t *event, int64_t now_ms)
{
  entry_t *entry = g_hash_table_lookup (dispatch->entries, &event->ticket);

  if (entry == NULL || entry->endpoint == NULL)
    return;
  return_units (dispatch, entry, now_ms);
  judge (dispatch, entry, event, now_ms);
  bool written = event->outcome != DISPATCH_NOT_STARTED && event->outcome != DISPATCH_ABANDONED;
  int64_t used_us = written ? event->elapsed_us * entry->units : 0;
  fair_charge (dispatch->fair, entry->plan->queue, used_us - entry->cost_us);
  if (event->outcome != DISPATCH_NOT_STARTED)
    {
      g_hash_table_remove (dispatch->entries, &entry->ticket);
      return;
    }
  entry->avoid = entry->endpoint;
  entry->endpoint = NULL;
  entry->probe = false;
  entry_enqueue (dispatch, entry, now_ms);
}
