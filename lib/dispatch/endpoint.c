/* endpoint.c -- what is known of one endpoint: size, times, failures, silence */
#include "dispatch/state.h"

#include <assert.h>
#include <math.h>

/* An endpoint is silent when nothing came back for this many times the longest
 * expected service time or so many deviations beyond it, and at least for
 * SILENT_MIN_MS. */
#define SILENT_FACTOR 4.0
#define SILENT_DEVIATIONS 8.0
#define SILENT_MIN_MS 1000.0
/* Used for a kind with fewer samples than this. */
#define SILENT_KNOWN_COUNT 8
#define SILENT_UNKNOWN_MS 20000.0

void
endpoint_free (void *data)
{
  endpoint_t *endpoint = data;

  g_free (endpoint->id);
  g_free (endpoint->rack);
  g_free (endpoint);
}

static int32_t
part_of (int64_t wanted, int64_t there, int32_t slots)
{
  if (wanted > there)
    return slots + 1;
  return there == 0 ? 1 : (int32_t) ((wanted * slots + there - 1) / there);
}

int32_t
endpoint_units (const endpoint_t *endpoint, int32_t cores, int64_t memory_mb)
{
  int32_t by_cores = part_of (cores, endpoint->cores, endpoint->slots);
  int32_t by_memory = part_of (memory_mb, endpoint->memory_mb, endpoint->slots);
  int32_t by_connections = part_of (1, endpoint->connections, endpoint->slots);

  return MAX (MAX (by_cores, by_memory), MAX (by_connections, 1));
}

int32_t
slots_left (const dispatch_t *dispatch, const endpoint_t *endpoint, int64_t now_ms)
{
  int32_t left =
      dispatch->limits->ops->left (dispatch->limits, DISPATCH_SLOTS, endpoint->id, now_ms);

  return MIN (left, endpoint->slots - endpoint->units);
}

double
kind_mean_ms (const kind_t *kind)
{
  return kind->all.count == 0 ? TIMING_PRIOR_MS : kind->all.mean_ms;
}

double
endpoint_expected_ms (const endpoint_t *endpoint, const kind_t *kind, int64_t now_ms)
{
  double fallback_ms = kind_mean_ms (kind) * timing_estimate_ms (&endpoint->speed, 1.0, now_ms);

  return timing_estimate_ms (&endpoint->kinds[kind->index], fallback_ms, now_ms);
}

bool
endpoint_is_silent (const endpoint_t *endpoint, int64_t now_ms)
{
  return endpoint->tasks > 0 && now_ms > endpoint->due_at_ms;
}

bool
endpoint_is_reachable (const endpoint_t *endpoint, int64_t now_ms)
{
  return endpoint->reach.backoff_ms == 0
         || (now_ms >= endpoint->reach.retry_at_ms && endpoint->tasks == 0);
}

static void
expect_answer (endpoint_t *endpoint, int64_t now_ms)
{
  endpoint->due_at_ms = now_ms + (int64_t) fmax (SILENT_MIN_MS, endpoint->longest_ms);
}

static double
silent_after_ms (const entry_t *entry)
{
  const timing_t *all = &entry->kind->all;
  double expected_ms = (double) entry->cost_us / 1000;

  if (all->count < SILENT_KNOWN_COUNT)
    return SILENT_UNKNOWN_MS;
  return fmax (SILENT_FACTOR * expected_ms, expected_ms + SILENT_DEVIATIONS * all->deviation_ms);
}

void
endpoint_began (endpoint_t *endpoint, const entry_t *entry, int64_t now_ms)
{
  if (endpoint->tasks == 0)
    endpoint->longest_ms = 0;
  endpoint->longest_ms = fmax (endpoint->longest_ms, silent_after_ms (entry));
  if (endpoint->tasks == 0)
    expect_answer (endpoint, now_ms);
  endpoint->tasks++;
  endpoint->units += entry->units;
}

void
endpoint_ended (endpoint_t *endpoint, const entry_t *entry)
{
  assert (endpoint->tasks > 0 && endpoint->units >= entry->units);
  endpoint->tasks--;
  endpoint->units -= entry->units;
}

void
endpoint_answered (endpoint_t *endpoint, int64_t now_ms)
{
  expect_answer (endpoint, now_ms);
  reach_answered (&endpoint->reach);
}

/* A failure says nothing about speed, and a timeout only that the task takes at
 * least that long. */
void
endpoint_measured (endpoint_t *endpoint,
                   kind_t *kind,
                   dispatch_outcome_t outcome,
                   double ms,
                   int64_t now_ms)
{
  bool longer = outcome == DISPATCH_TIMEOUT && ms > endpoint_expected_ms (endpoint, kind, now_ms);

  if (outcome != DISPATCH_DONE && !longer)
    return;
  if (kind->all.count > 0)
    timing_add (&endpoint->speed, ms / fmax (kind->all.mean_ms, 1.0), now_ms);
  timing_add (&endpoint->kinds[kind->index], ms, now_ms);
  if (outcome == DISPATCH_DONE)
    timing_add (&kind->all, ms, now_ms);
}

void
open_add (dispatch_t *dispatch, endpoint_t *endpoint)
{
  if (endpoint->open_at != 0 || endpoint->leaving || !endpoint->listed)
    return;
  g_ptr_array_add (dispatch->open, endpoint);
  endpoint->open_at = dispatch->open->len;
}

void
open_remove (dispatch_t *dispatch, endpoint_t *endpoint)
{
  if (endpoint->open_at == 0)
    return;
  endpoint_t *last = g_ptr_array_index (dispatch->open, dispatch->open->len - 1);
  g_ptr_array_index (dispatch->open, endpoint->open_at - 1) = last;
  last->open_at = endpoint->open_at;
  g_ptr_array_set_size (dispatch->open, (int) dispatch->open->len - 1);
  endpoint->open_at = 0;
}

void
open_add_all (dispatch_t *dispatch)
{
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    open_add (dispatch, g_ptr_array_index (dispatch->endpoints, i));
}
