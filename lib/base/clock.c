/* clock.c -- reads the boot clock and the wall clock */
#include "base/clock.h"

#include <time.h>

#define US_PER_S 1000000
#define NS_PER_US 1000
#define US_PER_MS 1000

static int64_t
read_us (clockid_t clock)
{
  struct timespec now;

  clock_gettime (clock, &now);
  return (int64_t) now.tv_sec * US_PER_S + now.tv_nsec / NS_PER_US;
}

int64_t
clock_boot_ms (void)
{
  return read_us (CLOCK_BOOTTIME) / US_PER_MS;
}

int64_t
clock_boot_us (void)
{
  return read_us (CLOCK_BOOTTIME);
}

int64_t
clock_wall_ms (void)
{
  return read_us (CLOCK_REALTIME) / US_PER_MS;
}

int64_t
clock_wall_to_boot_ms (int64_t wall_ms)
{
  return wall_ms - clock_wall_ms () + clock_boot_ms ();
}

void
clock_sleep_ms (int64_t wait_ms)
{
  struct timespec wait = { .tv_sec = wait_ms / CLOCK_MS_PER_S,
                           .tv_nsec = (wait_ms % CLOCK_MS_PER_S) * US_PER_MS * NS_PER_US };

  nanosleep (&wait, NULL);
}
