/* queue.c -- an unbounded blocking queue, and a thread pool that uses one
 *
 * The pool starts a thread when more items are queued than threads are idle.
 * The number of idle threads is protected by the lock of the queue, so that two
 * items that arrive together are not both assigned to the same idle thread.
 */
#include "base/queue.h"

#include "base/clock.h"
#include "base/sync.h"

#include <assert.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

/* A thread of a pool ends after this time without an item. */
#define POOL_IDLE_MS 10000

struct queue_t
{
  pthread_mutex_t lock;
  pthread_cond_t item_added;
  GQueue items;
  int32_t waiting_threads; /* threads in wait_for_item () */
};

struct pool_t
{
  queue_t *queue;
  void (*run) (void *item, void *user);
  void *user;
  int32_t thread_count;
  int32_t threads_max;
};

queue_t *
queue_new (void)
{
  queue_t *queue = g_new0 (queue_t, 1);

  pthread_mutex_init (&queue->lock, NULL);
  pthread_cond_init (&queue->item_added, NULL);
  g_queue_init (&queue->items);
  return queue;
}

void
queue_push (queue_t *queue, void *item)
{
  assert (item != NULL);
  pthread_mutex_lock (&queue->lock);
  g_queue_push_tail (&queue->items, item);
  pthread_cond_signal (&queue->item_added);
  pthread_mutex_unlock (&queue->lock);
}

/* Waits for an item and removes it.  The caller holds the lock. */
static void *
wait_for_item (queue_t *queue, int64_t wait_ms)
{
  int64_t until_ms = clock_boot_ms () + wait_ms;
  bool before_deadline = true;

  queue->waiting_threads++;
  while (g_queue_is_empty (&queue->items) && before_deadline)
    before_deadline = sync_wait_until (&queue->item_added, &queue->lock, until_ms);
  queue->waiting_threads--;
  return g_queue_pop_head (&queue->items);
}

void *
queue_pop (queue_t *queue, int64_t wait_ms)
{
  pthread_mutex_lock (&queue->lock);
  void *item = g_queue_pop_head (&queue->items);
  if (item == NULL && wait_ms > 0)
    item = wait_for_item (queue, wait_ms);
  pthread_mutex_unlock (&queue->lock);
  return item;
}

static void *
pool_thread (void *data)
{
  pool_t *pool = data;
  queue_t *queue = pool->queue;

  for (;;)
    {
      pthread_mutex_lock (&queue->lock);
      void *item = g_queue_pop_head (&queue->items);
      if (item == NULL)
        item = wait_for_item (queue, POOL_IDLE_MS);
      if (item == NULL)
        pool->thread_count--;
      pthread_mutex_unlock (&queue->lock);
      if (item == NULL)
        return NULL;
      pool->run (item, pool->user);
    }
}

pool_t *
pool_new (void (*run) (void *item, void *user), void *user, int32_t threads_max)
{
  pool_t *pool = g_new0 (pool_t, 1);

  pool->queue = queue_new ();
  pool->run = run;
  pool->user = user;
  pool->threads_max = threads_max;
  return pool;
}

void
pool_push (pool_t *pool, void *item)
{
  queue_t *queue = pool->queue;

  pthread_mutex_lock (&queue->lock);
  g_queue_push_tail (&queue->items, item);
  bool start = (int32_t) g_queue_get_length (&queue->items) > queue->waiting_threads
               && pool->thread_count < pool->threads_max;
  if (start)
    pool->thread_count++;
  pthread_cond_signal (&queue->item_added);
  pthread_mutex_unlock (&queue->lock);
  if (start)
    g_thread_unref (g_thread_new ("pool", pool_thread, pool));
}
