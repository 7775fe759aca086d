/* sizes.c -- how large a job is among the last ones of its queue */
#include "flow/sizes.h"

/* With fewer jobs before it a rank says nothing. */
#define SIZES_MIN 10
#define LARGEST_PERCENT 10
#define LARGE_PERCENT 30

typedef struct
{
  double sizes[SIZES_KEPT]; /* a ring */
  uint64_t count;           /* of all that came */
} queue_sizes_t;

struct sizes_t
{
  GHashTable *queues; /* name -> queue_sizes_t */
};

sizes_t *
sizes_new (void)
{
  sizes_t *sizes = g_new0 (sizes_t, 1);

  sizes->queues = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return sizes;
}

void
sizes_free (sizes_t *sizes)
{
  if (sizes == NULL)
    return;
  g_hash_table_unref (sizes->queues);
  g_free (sizes);
}

static flow_size_t
rank_of (const queue_sizes_t *queue, double size)
{
  uint64_t kept = MIN (queue->count, SIZES_KEPT);
  uint64_t larger = 0;

  if (kept < SIZES_MIN)
    return FLOW_SIZE_USUAL;
  for (uint64_t i = 0; i < kept; i++)
    larger += queue->sizes[i] > size;
  if (larger * 100 < kept * LARGEST_PERCENT)
    return FLOW_SIZE_LARGEST;
  return larger * 100 < kept * LARGE_PERCENT ? FLOW_SIZE_LARGE : FLOW_SIZE_USUAL;
}

flow_size_t
sizes_add (sizes_t *sizes, const char *name, double size)
{
  queue_sizes_t *queue = g_hash_table_lookup (sizes->queues, name);

  if (queue == NULL)
    {
      queue = g_new0 (queue_sizes_t, 1);
      g_hash_table_insert (sizes->queues, g_strdup (name), queue);
    }
  flow_size_t rank = rank_of (queue, size);
  queue->sizes[queue->count++ % SIZES_KEPT] = size;
  return rank;
}
