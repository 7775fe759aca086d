/* capacity.c -- capacity of an endpoint, from its reports and its refusals */
#include "executor/capacity.h"

/* Back-off after the first refusal, and how often it is doubled at most, which keeps it shorter
 * than the usual time between two reports. */
#define REFUSAL_BACKOFF_MS 20
#define REFUSAL_DOUBLINGS_MAX 5

bool
resources_fit (const resources_t *capacity, const resources_t *used, const resources_t *need)
{
  return used->cores_milli + need->cores_milli <= capacity->cores_milli
         && used->memory_mb + need->memory_mb <= capacity->memory_mb
         && used->gpus + need->gpus <= capacity->gpus;
}

int32_t
resources_slots (const resources_t *capacity, const resources_t *used, const resources_t *need)
{
  int64_t slots = INT32_MAX;

  if (need->cores_milli > 0)
    slots = MIN (slots, (capacity->cores_milli - used->cores_milli) / need->cores_milli);
  if (need->memory_mb > 0)
    slots = MIN (slots, (capacity->memory_mb - used->memory_mb) / need->memory_mb);
  if (need->gpus > 0)
    slots = MIN (slots, (capacity->gpus - used->gpus) / need->gpus);
  return (int32_t) CLAMP (slots, 0, INT16_MAX);
}

void
resources_add (resources_t *total, const resources_t *need, int32_t factor)
{
  total->cores_milli += factor * need->cores_milli;
  total->memory_mb += factor * need->memory_mb;
  total->gpus += factor * need->gpus;
}

static bool
resources_equal (const resources_t *a, const resources_t *b)
{
  return a->cores_milli == b->cores_milli && a->memory_mb == b->memory_mb && a->gpus == b->gpus;
}

resources_t
resources_min (const resources_t *a, const resources_t *b)
{
  return (resources_t){ MIN (a->cores_milli, b->cores_milli), MIN (a->memory_mb, b->memory_mb),
                        MIN (a->gpus, b->gpus) };
}

static int64_t
backoff_ms (const capacity_t *capacity)
{
  return (int64_t) REFUSAL_BACKOFF_MS << CLAMP (capacity->refusals - 1, 0, REFUSAL_DOUBLINGS_MAX);
}

static void
forget_refusals (capacity_t *capacity)
{
  capacity->refusals = 0;
  capacity->trying = false;
  capacity->refused_until_ms = 0;
}

/* True if ALLOCATED is at least what was refused. */
static bool
reaches_refused (const capacity_t *capacity, const resources_t *allocated)
{
  static const resources_t none;

  return capacity->refusals > 0 && resources_fit (allocated, &none, &capacity->refused);
}

void
capacity_report (capacity_t *capacity, const resources_t *reported)
{
  if (resources_equal (&capacity->reported, reported))
    return;
  capacity->reported = *reported;
  forget_refusals (capacity);
}

void
capacity_record_start (capacity_t *capacity, const resources_t *allocated, int64_t now_ms)
{
  if (!reaches_refused (capacity, allocated))
    return;
  capacity->trying = true;
  capacity->refused_until_ms = now_ms + backoff_ms (capacity);
}

void
capacity_record_refusal (capacity_t *capacity, const resources_t *allocated, int64_t now_ms)
{
  bool first = capacity->refusals == 0;

  capacity->refused = first ? *allocated : resources_min (&capacity->refused, allocated);
  /* Starts that were ordered before the first refusal was known are no further tries. */
  if (!first && !capacity->trying)
    return;
  capacity->trying = false;
  capacity->refusals++;
  capacity->refused_until_ms = now_ms + backoff_ms (capacity);
}

void
capacity_record_accepted (capacity_t *capacity, const resources_t *allocated)
{
  if (reaches_refused (capacity, allocated))
    forget_refusals (capacity);
}

bool
capacity_fits (const capacity_t *capacity,
               const resources_t *used,
               const resources_t *need,
               int64_t now_ms)
{
  resources_t allocated = *used;

  resources_add (&allocated, need, 1);
  if (now_ms < capacity->refused_until_ms && reaches_refused (capacity, &allocated))
    return false;
  return resources_fit (&capacity->reported, used, need);
}

int32_t
capacity_slots (const capacity_t *capacity,
                const resources_t *used,
                const resources_t *need,
                int64_t now_ms)
{
  int32_t slots = resources_slots (&capacity->reported, used, need);

  while (slots > 0)
    {
      resources_t others = *used;
      resources_add (&others, need, slots - 1);
      if (capacity_fits (capacity, &others, need, now_ms))
        break;
      slots--;
    }
  return slots;
}
