/* clock.h -- reads the boot clock and the wall clock
 *
 * Deadlines inside a process are on the boot clock, which continues while the
 * process or the host is suspended and is never stepped.  The times in requests
 * and answers (`*_at_ms`) are on the wall clock.  Decision code reads neither
 * clock; its caller passes the time.
 *
 * All functions are thread-safe.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

#define CLOCK_MS_PER_S 1000

/* Returns CLOCK_BOOTTIME in milliseconds. */
int64_t clock_boot_ms (void);

/* Returns CLOCK_BOOTTIME in microseconds, for measuring latency. */
int64_t clock_boot_us (void);

/* Returns the milliseconds since the Unix epoch. */
int64_t clock_wall_ms (void);

/* Converts a wall time to the boot clock, using the current offset between the
 * two clocks. */
int64_t clock_wall_to_boot_ms (int64_t wall_ms);

/* Blocks the calling thread for WAIT_MS milliseconds, or less if a signal
 * interrupts it. */
void clock_sleep_ms (int64_t wait_ms);

#endif
