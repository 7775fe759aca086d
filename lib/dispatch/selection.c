/* selection.c -- selects an endpoint for one task
 *
 * For each kind the endpoints are ranked by expected time; the time of those that
 * failed recently is multiplied.  The ranking is computed again on use if it is older
 * than REFRESH_INTERVAL_MS or if an endpoint has failed since.  A task goes to the
 * first endpoint in the ranking that has a free slot.  An endpoint whose limit on slots
 * is used up leaves the candidates until a slot is released, so that the limits of a
 * busy fleet are not queried for each task.
 *
 * When every slot of the fast endpoints is busy, the only free slots are those of slow
 * endpoints.  A task then waits instead of starting there if the last task in the queue
 * of its plan would still end sooner on the slots that faster endpoints are expected to
 * release.
 */
#include "dispatch/state.h"

#include <math.h>

/* The fleet is contended if the tasks queued for other plans are more than this
 * fraction of the held slots. */
#define CONTENDED_FRACTION 0.5
/* When to wait for a faster endpoint, by whether the fleet is contended.  MIN_SPEEDUP
 * is how many times faster it must be; MAX_TIME_FRACTION bounds waiting and service
 * time together, as a fraction of the service time at the slow endpoint.  In a
 * contended fleet other plans use the slots that a waiting plan leaves free, and each
 * plan is served again soon.  Otherwise those slots stay idle, and the waiting task may
 * be overtaken by more urgent tasks of its own plan, so the gain must be larger. */
static const struct
{
  double min_speedup;
  double max_time_fraction;
} wait_rules[] = { { 2.0, 0.5 }, { 1.1, 1.0 } };

int32_t
min_slots_needed (const dispatch_t *dispatch, int32_t cores, int64_t memory_mb)
{
  int32_t min_slots = 0;

  if (dispatch->listed_slots > 0 && cores <= dispatch->single_slot_cores
      && memory_mb <= dispatch->single_slot_memory_mb)
    return 1;
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      const endpoint_state_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      int32_t slots = endpoint_slots_needed (endpoint, cores, memory_mb);
      if (!endpoint->listed || endpoint->leaving || slots > endpoint->slots)
        continue;
      if (min_slots == 0 || slots < min_slots)
        min_slots = slots;
    }
  return min_slots;
}

/* True if ENTRY may run at ENDPOINT, whether or not it has free slots. */
static bool
is_eligible (const dispatch_t *dispatch,
             const endpoint_state_t *endpoint,
             const task_entry_t *entry,
             int64_t now_ms)
{
  if (endpoint->reserved_for_ticket != 0 && endpoint->reserved_for_ticket != entry->ticket)
    return false;
  if (!dispatch->options.eject)
    return true;
  return endpoint->outlier.state == OUTLIER_ADMITTED && !endpoint_is_silent (endpoint, now_ms)
         && endpoint_is_reachable (endpoint, now_ms);
}

/* Number of starts until the last queued task of ENTRY's plan has started, those of
 * other plans that are served in between included. */
static double
starts_ahead (const dispatch_t *dispatch, const task_entry_t *entry)
{
  double queued = fair_queue_plan_queued (entry->plan->queue);
  double weight = fair_queue_plan_weight (entry->plan->queue);
  double share = weight / fmax ((double) fair_queue_active_weight (dispatch->fair_queue), weight);

  return fmin (queued / share, fair_queue_total_queued (dispatch->fair_queue));
}

/* An endpoint that failed recently is selected only if the expected time of the others
 * is this many times longer. */
#define SUSPECT_FACTOR 8

static int
compare_ranked (const void *a, const void *b)
{
  const ranked_endpoint_t *x = a;
  const ranked_endpoint_t *y = b;

  if (x->rank_ms != y->rank_ms)
    return x->rank_ms < y->rank_ms ? -1 : 1;
  return (x->tie_break > y->tie_break) - (x->tie_break < y->tie_break);
}

/* Returns the ranking of the endpoints for KIND, at most REFRESH_INTERVAL_MS old. */
static const GArray *
ranked_endpoints (dispatch_t *dispatch, kind_stats_t *kind, int64_t now_ms)
{
  bool fresh = kind->ranking != NULL && kind->ranking_generation == dispatch->ranking_generation
               && now_ms - kind->ranked_at_ms < REFRESH_INTERVAL_MS;

  if (fresh)
    return kind->ranking;
  if (kind->ranking == NULL)
    kind->ranking = g_array_new (FALSE, FALSE, sizeof (ranked_endpoint_t));
  g_array_set_size (kind->ranking, 0);
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      endpoint_state_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      ranked_endpoint_t candidate = { .endpoint = endpoint,
                                      .tie_break = g_rand_int (dispatch->random) };
      if (!endpoint->listed || endpoint->leaving)
        continue;
      candidate.expected_ms = endpoint_expected_ms (endpoint, kind, now_ms);
      bool suspect = dispatch->options.eject && outlier_is_suspect (&endpoint->outlier, now_ms);
      candidate.rank_ms = candidate.expected_ms * (suspect ? SUSPECT_FACTOR : 1);
      g_array_append_val (kind->ranking, candidate);
    }
  g_array_sort (kind->ranking, compare_ranked);
  kind->ranked_at_ms = now_ms;
  kind->ranking_generation = dispatch->ranking_generation;
  return kind->ranking;
}

double
best_expected_ms (dispatch_t *dispatch, kind_stats_t *kind, int64_t now_ms)
{
  const GArray *ranking = ranked_endpoints (dispatch, kind, now_ms);

  return ranking->len == 0 ? 0 : g_array_index (ranking, ranked_endpoint_t, 0).expected_ms;
}

/* True if ENTRY should wait for a faster endpoint instead of taking SELECTION.  The
 * rate at which faster endpoints release slots is estimated from their running
 * tasks. */
static bool
is_waiting_faster (dispatch_t *dispatch,
                   const task_entry_t *entry,
                   const selection_t *selection,
                   int64_t now_ms)
{
  double other_queued =
      fair_queue_total_queued (dispatch->fair_queue) - fair_queue_plan_queued (entry->plan->queue);
  bool contended = other_queued > CONTENDED_FRACTION * dispatch->held_slots;
  double limit_ms = selection->expected_ms / wait_rules[contended].min_speedup;
  const GArray *ranking = ranked_endpoints (dispatch, entry->kind, now_ms);
  double running_tasks = 0;
  double ends_per_ms = 0;

  for (guint i = 0; i < ranking->len; i++)
    {
      const ranked_endpoint_t *candidate = &g_array_index (ranking, ranked_endpoint_t, i);
      const endpoint_state_t *other = candidate->endpoint;
      if (candidate->expected_ms > limit_ms || other->running_tasks == 0
          || !is_eligible (dispatch, other, entry, now_ms))
        continue;
      running_tasks += other->running_tasks;
      ends_per_ms += other->running_tasks / fmax (candidate->expected_ms, 1.0);
    }
  if (running_tasks == 0)
    return false;
  double wait_ms = starts_ahead (dispatch, entry) / ends_per_ms;
  return wait_ms + running_tasks / ends_per_ms
         < wait_rules[contended].max_time_fraction * selection->expected_ms;
}

/* Returns the slots that ENTRY takes at ENDPOINT, or 0 if they are not all free.
 * *TOO_FEW_SLOTS is set if only some of them are. */
static int32_t
slots_to_take (dispatch_t *dispatch,
               endpoint_state_t *endpoint,
               const task_entry_t *entry,
               int64_t now_ms,
               bool *too_few_slots)
{
  int32_t available = available_slots (dispatch, endpoint, now_ms);
  int32_t slots = endpoint_slots_needed (endpoint, entry->cores, entry->memory_mb);

  if (available <= 0)
    candidate_set_remove (dispatch, endpoint);
  if (slots <= available)
    return slots;
  *too_few_slots |= available > 0 && slots <= endpoint->slots;
  return 0;
}

/* Selects an ejected endpoint for which ENTRY may serve as a probe, if there is one. */
static bool
select_probe (dispatch_t *dispatch,
              const task_entry_t *entry,
              int64_t now_ms,
              selection_t *selection)
{
  bool too_few_slots = false;

  if (!dispatch->options.eject || dispatch->fleet.ejected == 0)
    return false;
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      endpoint_state_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (endpoint->candidate_index == 0 || endpoint->running_tasks > 0
          || !outlier_may_probe (&endpoint->outlier, entry->repeatable, now_ms)
          || !endpoint_is_reachable (endpoint, now_ms))
        continue;
      int32_t slots = slots_to_take (dispatch, endpoint, entry, now_ms, &too_few_slots);
      if (slots == 0)
        continue;
      *selection = (selection_t){ .endpoint = endpoint, .slots = slots, .is_probe = true };
      selection->expected_ms = endpoint_expected_ms (endpoint, entry->kind, now_ms);
      return true;
    }
  return false;
}

/* Selects the first eligible endpoint in the ranking that has enough free slots.  The
 * endpoint that ENTRY avoids is selected only if there is no other. */
static void
select_by_rank (dispatch_t *dispatch,
                const task_entry_t *entry,
                int64_t now_ms,
                selection_t *selection,
                bool *too_few_slots)
{
  const GArray *ranking = ranked_endpoints (dispatch, entry->kind, now_ms);

  for (guint i = 0; i < ranking->len; i++)
    {
      const ranked_endpoint_t *candidate = &g_array_index (ranking, ranked_endpoint_t, i);
      endpoint_state_t *endpoint = candidate->endpoint;
      if (endpoint->candidate_index == 0 || !is_eligible (dispatch, endpoint, entry, now_ms))
        continue;
      int32_t slots = slots_to_take (dispatch, endpoint, entry, now_ms, too_few_slots);
      if (slots == 0 || (selection->endpoint != NULL && endpoint == entry->avoided_endpoint))
        continue;
      *selection = (selection_t){ endpoint, slots, candidate->expected_ms, false };
      if (endpoint != entry->avoided_endpoint)
        return;
    }
}

selection_result_t
select_endpoint (dispatch_t *dispatch,
                 const task_entry_t *entry,
                 int64_t now_ms,
                 selection_t *selection)
{
  bool too_few_slots = false;

  *selection = (selection_t){ 0 };
  if (select_probe (dispatch, entry, now_ms, selection))
    return SELECTION_FOUND;
  select_by_rank (dispatch, entry, now_ms, selection, &too_few_slots);
  if (selection->endpoint == NULL)
    return too_few_slots ? SELECTION_TOO_FEW_SLOTS : SELECTION_NONE;
  if (dispatch->options.wait_for_faster && is_waiting_faster (dispatch, entry, selection, now_ms))
    return SELECTION_WAIT;
  return SELECTION_FOUND;
}
