/* queue.c -- a blocking queue between threads, and a pool of threads behind one
 *
 * The pool starts a thread when an item arrives and no thread is idle.  The
 * count of idle threads is kept under the queue's lock, so that two items that
 * arrive together do not count on the same idle thread.
 */
#include "base/queue.h"

#include "base/clock.h"
#include "base/sync.h"

#include <assert.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

/* An idle thread of a pool ends after this. */
#define POOL_IDLE_MS 10000

struct queue_t
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GQueue items;
  int32_t waiting; /* threads in queue_pop () */
};

struct pool_t
{
  queue_t *queue;
  void (*run) (void *item, void *user);
  void *user;
  int32_t threads;
  int32_t threads_max;
};

queue_t *
queue_new (void)
{
  queue_t *queue = g_new0 (queue_t, 1);

  pthread_mutex_init (&queue->lock, NULL);
  pthread_cond_init (&queue->changed, NULL);
  g_queue_init (&queue->items);
  return queue;
}

void
queue_push (queue_t *queue, void *item)
{
  assert (item != NULL);
  pthread_mutex_lock (&queue->lock);
  g_queue_push_tail (&queue->items, item);
  pthread_cond_signal (&queue->changed);
  pthread_mutex_unlock (&queue->lock);
}

/* With the lock held. */
static void *
wait_item (queue_t *queue, int64_t wait_ms)
{
  int64_t until_ms = clock_boot_ms () + wait_ms;
  bool on_time = true;

  queue->waiting++;
  while (g_queue_is_empty (&queue->items) && on_time)
    on_time = sync_wait_until (&queue->changed, &queue->lock, until_ms);
  queue->waiting--;
  return g_queue_pop_head (&queue->items);
}

void *
queue_pop (queue_t *queue, int64_t wait_ms)
{
  pthread_mutex_lock (&queue->lock);
  void *item = g_queue_pop_head (&queue->items);
  if (item == NULL && wait_ms > 0)
    item = wait_item (queue, wait_ms);
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
        item = wait_item (queue, POOL_IDLE_MS);
      if (item == NULL)
        pool->threads--;
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
  bool start = (int32_t) g_queue_get_length (&queue->items) > queue->waiting
               && pool->threads < pool->threads_max;
  if (start)
    pool->threads++;
  pthread_cond_signal (&queue->changed);
  pthread_mutex_unlock (&queue->lock);
  if (start)
    g_thread_unref (g_thread_new ("pool", pool_thread, pool));
}
