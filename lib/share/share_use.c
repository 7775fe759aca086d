/* share_use.c -- a sorted array of (end, count), mostly appended at its end */
#include "share/share_use.h"

typedef struct
{
  int64_t ends_at_ms;
  int64_t count;
} share_use_step_t;

#define STEP(use, i) g_array_index ((use)->steps, share_use_step_t, i)

static int64_t
round_up (int64_t ends_at_ms)
{
  return (ends_at_ms + SHARE_USE_STEP_MS - 1) / SHARE_USE_STEP_MS * SHARE_USE_STEP_MS;
}

/* Index of the first step that does not end before ENDS_AT_MS. */
static guint
lower_bound (const share_use_t *use, int64_t ends_at_ms)
{
  guint low = 0;
  guint high = use->steps->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      if (STEP (use, middle).ends_at_ms < ends_at_ms)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

void
share_use_init (share_use_t *use)
{
  use->steps = g_array_new (FALSE, TRUE, sizeof (share_use_step_t));
  use->total = 0;
}

void
share_use_clear (share_use_t *use)
{
  g_array_free (use->steps, TRUE);
  use->steps = NULL;
  use->total = 0;
}

void
share_use_add (share_use_t *use, int64_t ends_at_ms)
{
  share_use_step_t step = { round_up (ends_at_ms), 1 };
  guint at = lower_bound (use, step.ends_at_ms);

  if (at < use->steps->len && STEP (use, at).ends_at_ms == step.ends_at_ms)
    STEP (use, at).count++;
  else
    g_array_insert_val (use->steps, at, step);
  use->total++;
}

bool
share_use_remove (share_use_t *use, int64_t ends_at_ms)
{
  int64_t end = round_up (ends_at_ms);
  guint at = lower_bound (use, end);

  if (at == use->steps->len || STEP (use, at).ends_at_ms != end)
    return false;
  STEP (use, at).count--;
  if (STEP (use, at).count == 0)
    g_array_remove_index (use->steps, at);
  use->total--;
  return true;
}

int64_t
share_use_expire (share_use_t *use, int64_t now_ms)
{
  guint ended = 0;
  int64_t units = 0;

  while (ended < use->steps->len && STEP (use, ended).ends_at_ms <= now_ms)
    units += STEP (use, ended++).count;
  if (ended > 0)
    g_array_remove_range (use->steps, 0, ended);
  use->total -= units;
  return units;
}

int64_t
share_use_last (const share_use_t *use)
{
  return use->steps->len > 0 ? STEP (use, use->steps->len - 1).ends_at_ms : 0;
}
