/* queue.h -- an unbounded blocking queue, and a thread pool that uses one
 *
 * Both use POSIX mutexes and condition variables, which the thread sanitizer
 * understands.  Items are opaque pointers that are never freed here.  Queues
 * and pools live until the process ends.
 */
#ifndef BASE_QUEUE_H
#define BASE_QUEUE_H

#include <stdint.h>

typedef struct queue_t queue_t;
typedef struct pool_t pool_t;

queue_t *queue_new (void);

/* Adds ITEM, which must not be NULL.  Any thread. */
void queue_push (queue_t *queue, void *item);

/* Removes and returns the oldest item.  Waits at most WAIT_MS for an item and
 * returns NULL if there is none.  Any thread. */
void *queue_pop (queue_t *queue, int64_t wait_ms);

/* Creates a pool of at most THREADS_MAX threads, which are started on demand and
 * end after 10 s without work.  RUN is called on a thread of the pool with each
 * item and USER. */
pool_t *pool_new (void (*run) (void *item, void *user), void *user, int32_t threads_max);

/* Passes ITEM, which must not be NULL, to a thread of the pool.  The item is
 * queued while all threads are busy.  Any thread. */
void pool_push (pool_t *pool, void *item);

#endif
