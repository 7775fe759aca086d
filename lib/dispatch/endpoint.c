/* endpoint.c -- state of one endpoint: slots, service times, reachability and silence */
#include "dispatch/state.h"

#include <assert.h>
#include <math.h>

/* An endpoint is silent if no answer came for SILENT_FACTOR times the longest expected
 * service time, or for SILENT_DEVIATIONS deviations more than that time, whichever is
 * longer, and for at least SILENT_MIN_MS. */
#define SILENT_FACTOR 4.0
#define SILENT_DEVIATIONS 8.0
#define SILENT_MIN_MS 1000.0
/* A kind with fewer samples than this is allowed SILENT_DEFAULT_MS. */
#define SILENT_MIN_SAMPLES 8
#define SILENT_DEFAULT_MS 20000.0

void
endpoint_free (void *data)
{
  endpoint_state_t *endpoint = data;

  g_free (endpoint->id);
  g_free (endpoint->rack);
  g_free (endpoint);
}

/* Slots, of SLOTS in all, that stand for NEEDED of TOTAL, rounded up; SLOTS + 1 if
 * NEEDED is more than TOTAL. */
static int32_t
slots_for (int64_t needed, int64_t total, int32_t slots)
{
  if (needed > total)
    return slots + 1;
  return total == 0 ? 1 : (int32_t) ((needed * slots + total - 1) / total);
}

int32_t
endpoint_slots_needed (const endpoint_state_t *endpoint, int32_t cores, int64_t memory_mb)
{
  int32_t by_cores = slots_for (cores, endpoint->cores, endpoint->slots);
  int32_t by_memory = slots_for (memory_mb, endpoint->memory_mb, endpoint->slots);
  int32_t by_connections = slots_for (1, endpoint->connections, endpoint->slots);

  return MAX (MAX (by_cores, by_memory), MAX (by_connections, 1));
}

int32_t
available_slots (const dispatch_t *dispatch, const endpoint_state_t *endpoint, int64_t now_ms)
{
  int32_t left = dispatch->limits->ops->available (dispatch->limits, DISPATCH_LIMIT_SLOTS,
                                                   endpoint->id, now_ms);

  return MIN (left, endpoint->slots - endpoint->used_slots);
}

double
kind_mean_ms (const kind_stats_t *kind)
{
  return kind->service_time.sample_count == 0 ? SERVICE_TIME_DEFAULT_MS
                                              : kind->service_time.mean_ms;
}

double
endpoint_expected_ms (const endpoint_state_t *endpoint, const kind_stats_t *kind, int64_t now_ms)
{
  double fallback_ms =
      kind_mean_ms (kind) * service_time_estimate_ms (&endpoint->relative_time, 1.0, now_ms);

  return service_time_estimate_ms (&endpoint->service_times[kind->index], fallback_ms, now_ms);
}

bool
endpoint_is_silent (const endpoint_state_t *endpoint, int64_t now_ms)
{
  return endpoint->running_tasks > 0 && now_ms > endpoint->answer_due_at_ms;
}

bool
endpoint_is_reachable (const endpoint_state_t *endpoint, int64_t now_ms)
{
  return endpoint->connect_backoff.backoff_ms == 0
         || (now_ms >= endpoint->connect_backoff.retry_at_ms && endpoint->running_tasks == 0);
}

/* Sets answer_due_at_ms: ENDPOINT is silent if no answer comes by then. */
static void
set_answer_due (endpoint_state_t *endpoint, int64_t now_ms)
{
  endpoint->answer_due_at_ms = now_ms + (int64_t) fmax (SILENT_MIN_MS, endpoint->max_silence_ms);
}

/* Time without an answer after which ENTRY, once started, makes its endpoint silent. */
static double
silent_after_ms (const task_entry_t *entry)
{
  const service_time_t *stats = &entry->kind->service_time;
  double expected_ms = (double) entry->cost_us / 1000;

  if (stats->sample_count < SILENT_MIN_SAMPLES)
    return SILENT_DEFAULT_MS;
  return fmax (SILENT_FACTOR * expected_ms, expected_ms + SILENT_DEVIATIONS * stats->deviation_ms);
}

void
endpoint_task_started (endpoint_state_t *endpoint, const task_entry_t *entry, int64_t now_ms)
{
  if (endpoint->running_tasks == 0)
    endpoint->max_silence_ms = 0;
  endpoint->max_silence_ms = fmax (endpoint->max_silence_ms, silent_after_ms (entry));
  if (endpoint->running_tasks == 0)
    set_answer_due (endpoint, now_ms);
  endpoint->running_tasks++;
  endpoint->used_slots += entry->slots;
}

void
endpoint_task_ended (endpoint_state_t *endpoint, const task_entry_t *entry)
{
  assert (endpoint->running_tasks > 0 && endpoint->used_slots >= entry->slots);
  endpoint->running_tasks--;
  endpoint->used_slots -= entry->slots;
}

void
endpoint_record_answer (endpoint_state_t *endpoint, int64_t now_ms)
{
  set_answer_due (endpoint, now_ms);
  connect_backoff_reset (&endpoint->connect_backoff);
}

/* The time of a failed task is not recorded, since it does not show how long a task
 * takes.  A timeout shows only that the task takes at least that long, so its time is
 * recorded if it is longer than expected. */
void
endpoint_record_time (endpoint_state_t *endpoint,
                      kind_stats_t *kind,
                      dispatch_outcome_t outcome,
                      double ms,
                      int64_t now_ms)
{
  bool exceeds_expected =
      outcome == DISPATCH_TIMEOUT && ms > endpoint_expected_ms (endpoint, kind, now_ms);

  if (outcome != DISPATCH_DONE && !exceeds_expected)
    return;
  if (kind->service_time.sample_count > 0)
    service_time_add (&endpoint->relative_time, ms / fmax (kind->service_time.mean_ms, 1.0),
                      now_ms);
  service_time_add (&endpoint->service_times[kind->index], ms, now_ms);
  if (outcome == DISPATCH_DONE)
    service_time_add (&kind->service_time, ms, now_ms);
}

void
candidate_set_add (dispatch_t *dispatch, endpoint_state_t *endpoint)
{
  if (endpoint->candidate_index != 0 || endpoint->leaving || !endpoint->listed)
    return;
  g_ptr_array_add (dispatch->candidates, endpoint);
  endpoint->candidate_index = dispatch->candidates->len;
}

void
candidate_set_remove (dispatch_t *dispatch, endpoint_state_t *endpoint)
{
  if (endpoint->candidate_index == 0)
    return;
  endpoint_state_t *last = g_ptr_array_index (dispatch->candidates, dispatch->candidates->len - 1);
  g_ptr_array_index (dispatch->candidates, endpoint->candidate_index - 1) = last;
  last->candidate_index = endpoint->candidate_index;
  g_ptr_array_set_size (dispatch->candidates, (int) dispatch->candidates->len - 1);
  endpoint->candidate_index = 0;
}

void
candidate_set_add_all (dispatch_t *dispatch)
{
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    candidate_set_add (dispatch, g_ptr_array_index (dispatch->endpoints, i));
}
