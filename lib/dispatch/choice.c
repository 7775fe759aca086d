/* choice.c -- the choice of an endpoint for one task
 *
 * Each kind has its endpoints ranked by expected time, those that failed lately
 * behind; the ranking is made anew when it is used and older than
 * REFRESH_EVERY_MS, or when an endpoint has failed.  A task goes to the first in
 * rank that has a free slot.  An endpoint whose limit turns out to be used up
 * leaves the open set until a slot comes back, so that a busy fleet is not asked
 * again for each task.
 *
 * Choosing by expected time leaves one trap: when every fast slot is busy, the
 * free slots are those of slow endpoints.  A task then waits instead if the
 * last task of its plan's queue would still end sooner on the slots that
 * faster endpoints are expected to free.
 */
#include "dispatch/state.h"

#include <math.h>

/* How much faster other endpoints must be to be waited for, and the part of the
 * slow endpoint's time that waiting and running there may take.  A plan beside
 * others with long queues (CONTENDED_PART of the slots) is served soon, and what
 * it leaves they take; one that waits alone is overtaken by its own more urgent
 * tasks while slots are idle. */
#define CONTENDED_PART 0.5
static const struct
{
  double factor;
  double gain;
} waiting[] = { { 2.0, 0.5 }, { 1.1, 1.0 } };

int32_t
least_units (const dispatch_t *dispatch, int32_t cores, int64_t memory_mb)
{
  int32_t least = 0;

  if (dispatch->listed_slots > 0 && cores <= dispatch->simple_cores
      && memory_mb <= dispatch->simple_memory_mb)
    return 1;
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      const endpoint_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      int32_t units = endpoint_units (endpoint, cores, memory_mb);
      if (!endpoint->listed || endpoint->leaving || units > endpoint->slots)
        continue;
      if (least == 0 || units < least)
        least = units;
    }
  return least;
}

/* May ENTRY go there at all, free slots apart? */
static bool
is_eligible (const dispatch_t *dispatch,
             const endpoint_t *endpoint,
             const entry_t *entry,
             int64_t now_ms)
{
  if (endpoint->held_for != 0 && endpoint->held_for != entry->ticket)
    return false;
  if (!dispatch->options.eject)
    return true;
  return endpoint->outlier.state == OUTLIER_IN && !endpoint_is_silent (endpoint, now_ms)
         && endpoint_is_reachable (endpoint, now_ms);
}

/* Slots that the last of ENTRY's plan must wait for, counting the other plans'
 * turns. */
static double
places_ahead (const dispatch_t *dispatch, const entry_t *entry)
{
  double queued = fair_plan_queued (entry->plan->queue);
  double weight = fair_plan_weight (entry->plan->queue);
  double share = weight / fmax ((double) fair_active_weight (dispatch->fair), weight);

  return fmin (queued / share, fair_queued (dispatch->fair));
}

/* An endpoint that failed lately is chosen only if others would take this much
 * longer. */
#define DOUBTED_FACTOR 8

static int
compare_places (const void *a, const void *b)
{
  const place_t *x = a;
  const place_t *y = b;

  if (x->rank_ms != y->rank_ms)
    return x->rank_ms < y->rank_ms ? -1 : 1;
  return (x->tie > y->tie) - (x->tie < y->tie);
}

/* The endpoints by their expected time for KIND, at most REFRESH_EVERY_MS old. */
static const GArray *
ranked (dispatch_t *dispatch, kind_t *kind, int64_t now_ms)
{
  bool fresh = kind->order != NULL && kind->order_list == dispatch->list_number
               && now_ms - kind->order_at_ms < REFRESH_EVERY_MS;

  if (fresh)
    return kind->order;
  if (kind->order == NULL)
    kind->order = g_array_new (FALSE, FALSE, sizeof (place_t));
  g_array_set_size (kind->order, 0);
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      endpoint_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      place_t place = { .endpoint = endpoint, .tie = g_rand_int (dispatch->random) };
      if (!endpoint->listed || endpoint->leaving)
        continue;
      place.expected_ms = endpoint_expected_ms (endpoint, kind, now_ms);
      bool doubted = dispatch->options.eject && outlier_is_doubted (&endpoint->outlier, now_ms);
      place.rank_ms = place.expected_ms * (doubted ? DOUBTED_FACTOR : 1);
      g_array_append_val (kind->order, place);
    }
  g_array_sort (kind->order, compare_places);
  kind->order_at_ms = now_ms;
  kind->order_list = dispatch->list_number;
  return kind->order;
}

double
best_expected_ms (dispatch_t *dispatch, kind_t *kind, int64_t now_ms)
{
  const GArray *order = ranked (dispatch, kind, now_ms);

  return order->len == 0 ? 0 : g_array_index (order, place_t, 0).expected_ms;
}

static bool
is_better_later (dispatch_t *dispatch, const entry_t *entry, const choice_t *choice, int64_t now_ms)
{
  double others = fair_queued (dispatch->fair) - fair_plan_queued (entry->plan->queue);
  bool contended = others > CONTENDED_PART * dispatch->held_slots;
  double limit_ms = choice->expected_ms / waiting[contended].factor;
  const GArray *order = ranked (dispatch, entry->kind, now_ms);
  double running = 0;
  double ends_per_ms = 0;

  for (guint i = 0; i < order->len; i++)
    {
      const place_t *place = &g_array_index (order, place_t, i);
      const endpoint_t *other = place->endpoint;
      if (place->expected_ms > limit_ms || other->tasks == 0
          || !is_eligible (dispatch, other, entry, now_ms))
        continue;
      running += other->tasks;
      ends_per_ms += other->tasks / fmax (place->expected_ms, 1.0);
    }
  if (running == 0)
    return false;
  double wait_ms = places_ahead (dispatch, entry) / ends_per_ms;
  return wait_ms + running / ends_per_ms < waiting[contended].gain * choice->expected_ms;
}

/* The slots that ENTRY takes at ENDPOINT, 0 if they are not free; *SMALL is set
 * if only some of them are. */
static int32_t
free_units (dispatch_t *dispatch,
            endpoint_t *endpoint,
            const entry_t *entry,
            int64_t now_ms,
            bool *small)
{
  int32_t left = slots_left (dispatch, endpoint, now_ms);
  int32_t units = endpoint_units (endpoint, entry->cores, entry->memory_mb);

  if (left <= 0)
    open_remove (dispatch, endpoint);
  if (units <= left)
    return units;
  *small |= left > 0 && units <= endpoint->slots;
  return 0;
}

/* An ejected endpoint that ENTRY may probe. */
static bool
choose_probe (dispatch_t *dispatch, const entry_t *entry, int64_t now_ms, choice_t *choice)
{
  bool small = false;

  if (!dispatch->options.eject || dispatch->fleet.ejected == 0)
    return false;
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      endpoint_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (endpoint->open_at == 0 || endpoint->tasks > 0
          || !outlier_wants_probe (&endpoint->outlier, entry->repeatable, now_ms)
          || !endpoint_is_reachable (endpoint, now_ms))
        continue;
      int32_t units = free_units (dispatch, endpoint, entry, now_ms, &small);
      if (units == 0)
        continue;
      *choice = (choice_t){ .endpoint = endpoint, .units = units, .probe = true };
      choice->expected_ms = endpoint_expected_ms (endpoint, entry->kind, now_ms);
      return true;
    }
  return false;
}

/* The first in rank that suits; the endpoint that ENTRY avoids comes last. */
static void
choose_by_rank (dispatch_t *dispatch,
                const entry_t *entry,
                int64_t now_ms,
                choice_t *choice,
                bool *small)
{
  const GArray *order = ranked (dispatch, entry->kind, now_ms);

  for (guint i = 0; i < order->len; i++)
    {
      const place_t *place = &g_array_index (order, place_t, i);
      endpoint_t *endpoint = place->endpoint;
      if (endpoint->open_at == 0 || !is_eligible (dispatch, endpoint, entry, now_ms))
        continue;
      int32_t units = free_units (dispatch, endpoint, entry, now_ms, small);
      if (units == 0 || (choice->endpoint != NULL && endpoint == entry->avoid))
        continue;
      *choice = (choice_t){ endpoint, units, place->expected_ms, false };
      if (endpoint != entry->avoid)
        return;
    }
}

choice_result_t
choose_endpoint (dispatch_t *dispatch, const entry_t *entry, int64_t now_ms, choice_t *choice)
{
  bool small = false;

  *choice = (choice_t){ 0 };
  if (choose_probe (dispatch, entry, now_ms, choice))
    return CHOICE_FOUND;
  choose_by_rank (dispatch, entry, now_ms, choice, &small);
  if (choice->endpoint == NULL)
    return small ? CHOICE_SMALL : CHOICE_NONE;
  if (dispatch->options.wait_for_faster && is_better_later (dispatch, entry, choice, now_ms))
    return CHOICE_LATER;
  return CHOICE_FOUND;
}
