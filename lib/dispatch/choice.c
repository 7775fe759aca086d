/* choice.c -- the choice of an endpoint for one task
 *
 * Endpoints are drawn without replacement from the open set.  One whose limit
 * turns out to be used up leaves the set until a slot comes back, so that a
 * busy fleet is not searched again for each task.
 *
 * Choosing by expected time leaves one trap: when every fast slot is busy, the
 * free slots are those of slow endpoints.  A task then waits instead if the
 * last task of its plan's queue would still end sooner on the slots that
 * endpoints at least FASTER_FACTOR faster are expected to free.
 */
#include "dispatch/state.h"

#include <math.h>

#define FASTER_FACTOR 1.5
/* How much sooner the other must be, against errors of the estimates. */
#define WAIT_GAIN 0.9

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

double
best_expected_ms (const dispatch_t *dispatch, kind_t *kind, int64_t now_ms)
{
  double best_ms = INFINITY;

  if (kind->best_at_ms != 0 && now_ms - kind->best_at_ms < REFRESH_EVERY_MS)
    return kind->best_ms;
  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      const endpoint_t *endpoint = g_ptr_array_index (dispatch->endpoints, i);
      if (endpoint->listed && !endpoint->leaving)
        best_ms = fmin (best_ms, endpoint_expected_ms (endpoint, kind, now_ms));
    }
  kind->best_ms = isinf (best_ms) ? 0 : best_ms;
  kind->best_at_ms = now_ms;
  return kind->best_ms;
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

static bool
is_better_later (const dispatch_t *dispatch,
                 const entry_t *entry,
                 const choice_t *choice,
                 int64_t now_ms)
{
  double limit_ms = choice->expected_ms / FASTER_FACTOR;
  double running = 0;
  double ends_per_ms = 0;

  for (guint i = 0; i < dispatch->endpoints->len; i++)
    {
      const endpoint_t *other = g_ptr_array_index (dispatch->endpoints, i);
      if (other->tasks == 0 || other->leaving || !is_eligible (dispatch, other, entry, now_ms))
        continue;
      double expected_ms = endpoint_expected_ms (other, entry->kind, now_ms);
      if (expected_ms > limit_ms)
        continue;
      running += other->tasks;
      ends_per_ms += other->tasks / fmax (expected_ms, 1.0);
    }
  if (running == 0)
    return false;
  double wait_ms = places_ahead (dispatch, entry) / ends_per_ms;
  return wait_ms + running / ends_per_ms < WAIT_GAIN * choice->expected_ms;
}

/* An open endpoint, drawn at random among those from place FROM on, which it is
 * swapped with. */
static endpoint_t *
draw (dispatch_t *dispatch, guint from)
{
  GPtrArray *open = dispatch->open;
  guint at = from;

  if (open->len - from > 1)
    at = (guint) g_rand_int_range (dispatch->random, (gint32) from, (gint32) open->len);
  endpoint_t *drawn = g_ptr_array_index (open, at);
  endpoint_t *first = g_ptr_array_index (open, from);
  open->pdata[at] = first;
  open->pdata[from] = drawn;
  first->open_at = at + 1;
  drawn->open_at = from + 1;
  return drawn;
}

/* Puts ENDPOINT into CHOICE if it is better than what is there. */
static void
compare (const entry_t *entry,
         endpoint_t *endpoint,
         int32_t units,
         int64_t now_ms,
         choice_t *choice)
{
  double expected_ms = endpoint_expected_ms (endpoint, entry->kind, now_ms);
  bool avoided = endpoint == entry->avoid;
  bool was_avoided = choice->endpoint != NULL && choice->endpoint == entry->avoid;

  if (choice->endpoint != NULL && avoided != was_avoided && avoided)
    return;
  if (choice->endpoint != NULL && avoided == was_avoided && expected_ms >= choice->expected_ms)
    return;
  *choice = (choice_t){ .endpoint = endpoint, .units = units, .expected_ms = expected_ms };
}

choice_result_t
choose_endpoint (dispatch_t *dispatch, const entry_t *entry, int64_t now_ms, choice_t *choice)
{
  int32_t sampled = 0;
  bool small = false;
  guint from = 0;

  *choice = (choice_t){ 0 };
  while (from < dispatch->open->len
         && (dispatch->options.sample == 0 || sampled < dispatch->options.sample))
    {
      endpoint_t *endpoint = draw (dispatch, from);
      int32_t left = slots_left (dispatch, endpoint, now_ms);
      int32_t units = endpoint_units (endpoint, entry->cores, entry->memory_mb);
      if (left <= 0)
        {
          open_remove (dispatch, endpoint);
          continue;
        }
      from++;
      if (units > endpoint->slots)
        continue;
      if (units > left)
        {
          small = true;
          continue;
        }
      if (dispatch->options.eject
          && outlier_wants_probe (&endpoint->outlier, entry->repeatable, now_ms)
          && endpoint->tasks == 0 && endpoint_is_reachable (endpoint, now_ms))
        {
          *choice = (choice_t){ .endpoint = endpoint, .units = units, .probe = true };
          choice->expected_ms = endpoint_expected_ms (endpoint, entry->kind, now_ms);
          return CHOICE_FOUND;
        }
      if (!is_eligible (dispatch, endpoint, entry, now_ms))
        continue;
      sampled++;
      compare (entry, endpoint, units, now_ms, choice);
    }
  if (choice->endpoint == NULL)
    return small ? CHOICE_SMALL : CHOICE_NONE;
  if (dispatch->options.wait_for_faster && is_better_later (dispatch, entry, choice, now_ms))
    return CHOICE_LATER;
  return CHOICE_FOUND;
}
