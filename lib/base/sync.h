/* sync.h -- waiting on POSIX conditions until a deadline on the boot clock */
#ifndef BASE_SYNC_H
#define BASE_SYNC_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/* Waits for CONDITION with MUTEX held, until UNTIL_MS (boot clock) at the
 * latest.  Returns false once that time has come; may also wake early, so check
 * the state in a loop. */
bool sync_wait_until (pthread_cond_t *condition, pthread_mutex_t *mutex, int64_t until_ms);

#endif
