/* queue.h -- a blocking queue between threads, and a pool of threads behind one
 *
 * Both are built on POSIX mutexes and conditions, which the thread sanitizer
 * knows.
 */
#ifndef BASE_QUEUE_H
#define BASE_QUEUE_H

#include <stdint.h>

typedef struct queue_t queue_t;
typedef struct pool_t pool_t;

queue_t *queue_new (void);

/* Adds ITEM, which must not be NULL.  Any thread. */
void queue_push (queue_t *queue, void *item);

/* Takes the oldest item, waiting for at most WAIT_MS.  Returns NULL if none
 * came. */
void *queue_pop (queue_t *queue, int64_t wait_ms);

/* Makes a pool of at most THREADS_MAX threads, started when needed and ended
 * when they were idle for a while.  RUN gets each item with USER. */
pool_t *pool_new (void (*run) (void *item, void *user), void *user, int32_t threads_max);

/* Hands ITEM to a thread; it waits in a queue if all are busy.  Any thread. */
void pool_push (pool_t *pool, void *item);

#endif
