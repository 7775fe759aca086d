/* sync.h -- waits on POSIX condition variables until a deadline on the boot clock */
#ifndef BASE_SYNC_H
#define BASE_SYNC_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/* Waits for CONDITION until UNTIL_MS (boot clock) at the latest.  The caller
 * holds MUTEX.  Returns false if the wait timed out.  It may also return true
 * without a signal, so the caller must check its predicate in a loop. */
bool sync_wait_until (pthread_cond_t *condition, pthread_mutex_t *mutex, int64_t until_ms);

#endif
