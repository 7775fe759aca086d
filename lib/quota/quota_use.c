/* quota_use.c -- sorted array of buckets; most insertions are at its end */
#include "quota/quota_use.h"

typedef struct
{
  int64_t ends_at_ms;
  int64_t count;
} quota_use_bucket_t;

#define BUCKET(use, i) g_array_index ((use)->buckets, quota_use_bucket_t, i)

static int64_t
round_up_to_bucket (int64_t ends_at_ms)
{
  return (ends_at_ms + QUOTA_USE_BUCKET_MS - 1) / QUOTA_USE_BUCKET_MS * QUOTA_USE_BUCKET_MS;
}

/* Returns the index of the first bucket that does not end before ENDS_AT_MS. */
static guint
lower_bound (const quota_use_t *use, int64_t ends_at_ms)
{
  guint low = 0;
  guint high = use->buckets->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      if (BUCKET (use, middle).ends_at_ms < ends_at_ms)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

void
quota_use_init (quota_use_t *use)
{
  use->buckets = g_array_new (FALSE, TRUE, sizeof (quota_use_bucket_t));
  use->total = 0;
}

void
quota_use_clear (quota_use_t *use)
{
  g_array_free (use->buckets, TRUE);
  use->buckets = NULL;
  use->total = 0;
}

void
quota_use_add (quota_use_t *use, int64_t ends_at_ms)
{
  quota_use_bucket_t bucket = { round_up_to_bucket (ends_at_ms), 1 };
  guint index = lower_bound (use, bucket.ends_at_ms);

  if (index < use->buckets->len && BUCKET (use, index).ends_at_ms == bucket.ends_at_ms)
    BUCKET (use, index).count++;
  else
    g_array_insert_val (use->buckets, index, bucket);
  use->total++;
}

bool
quota_use_remove (quota_use_t *use, int64_t ends_at_ms)
{
  int64_t end_ms = round_up_to_bucket (ends_at_ms);
  guint index = lower_bound (use, end_ms);

  if (index == use->buckets->len || BUCKET (use, index).ends_at_ms != end_ms)
    return false;
  BUCKET (use, index).count--;
  if (BUCKET (use, index).count == 0)
    g_array_remove_index (use->buckets, index);
  use->total--;
  return true;
}

int64_t
quota_use_expire (quota_use_t *use, int64_t now_ms)
{
  guint ended = 0;
  int64_t units = 0;

  while (ended < use->buckets->len && BUCKET (use, ended).ends_at_ms <= now_ms)
    units += BUCKET (use, ended++).count;
  if (ended > 0)
    g_array_remove_range (use->buckets, 0, ended);
  use->total -= units;
  return units;
}

int64_t
quota_use_last_end_ms (const quota_use_t *use)
{
  return use->buckets->len > 0 ? BUCKET (use, use->buckets->len - 1).ends_at_ms : 0;
}
