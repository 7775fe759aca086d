/* size_history.c -- ranks a job's size among the recent jobs of its queue */
#include "scheduler/size_history.h"

/* A rank among fewer earlier jobs than this has no meaning. */
#define MIN_JOBS 10
#define LARGEST_PERCENT 10
#define LARGE_PERCENT 30

typedef struct
{
  double sizes[SIZE_HISTORY_JOBS]; /* ring buffer */
  uint64_t count; /* of all jobs so far; the next one is stored at COUNT modulo the length */
} queue_sizes_t;

struct size_history_t
{
  GHashTable *queues; /* name -> queue_sizes_t */
};

size_history_t *
size_history_new (void)
{
  size_history_t *sizes = g_new0 (size_history_t, 1);

  sizes->queues = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return sizes;
}

void
size_history_free (size_history_t *sizes)
{
  if (sizes == NULL)
    return;
  g_hash_table_unref (sizes->queues);
  g_free (sizes);
}

static scheduler_size_class_t
size_class_of (const queue_sizes_t *queue, double size)
{
  uint64_t kept = MIN (queue->count, SIZE_HISTORY_JOBS);
  uint64_t larger = 0;

  if (kept < MIN_JOBS)
    return SCHEDULER_SIZE_USUAL;
  for (uint64_t i = 0; i < kept; i++)
    larger += queue->sizes[i] > size;
  if (larger * 100 < kept * LARGEST_PERCENT)
    return SCHEDULER_SIZE_LARGEST;
  return larger * 100 < kept * LARGE_PERCENT ? SCHEDULER_SIZE_LARGE : SCHEDULER_SIZE_USUAL;
}

scheduler_size_class_t
size_history_add (size_history_t *sizes, const char *name, double size)
{
  queue_sizes_t *queue = g_hash_table_lookup (sizes->queues, name);

  if (queue == NULL)
    {
      queue = g_new0 (queue_sizes_t, 1);
      g_hash_table_insert (sizes->queues, g_strdup (name), queue);
    }
  scheduler_size_class_t rank = size_class_of (queue, size);
  queue->sizes[queue->count++ % SIZE_HISTORY_JOBS] = size;
  return rank;
}
