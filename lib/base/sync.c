/* sync.c -- waits on POSIX condition variables until a deadline on the boot clock
 *
 * The wait itself uses the monotonic clock, which does not advance while the
 * host is suspended.  Each call computes the remaining time from the boot clock;
 * a suspension during the wait therefore makes it end late, but never early.
 */
#include "base/sync.h"

#include "base/clock.h"

#include <errno.h>
#include <glib.h>
#include <time.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define NS_PER_S 1000000000

bool
sync_wait_until (pthread_cond_t *condition, pthread_mutex_t *mutex, int64_t until_ms)
{
  int64_t wait_ms = MAX (until_ms - clock_boot_ms (), 0);
  struct timespec end;

  clock_gettime (CLOCK_MONOTONIC, &end);
  end.tv_sec += wait_ms / MS_PER_S;
  end.tv_nsec += (wait_ms % MS_PER_S) * NS_PER_MS;
  if (end.tv_nsec >= NS_PER_S)
    {
      end.tv_sec++;
      end.tv_nsec -= NS_PER_S;
    }
  return pthread_cond_clockwait (condition, mutex, CLOCK_MONOTONIC, &end) != ETIMEDOUT;
}
