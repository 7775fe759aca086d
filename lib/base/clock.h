/* clock.h -- the two clocks of jaytrail
 *
 * Deadlines inside one process are on the boot clock, which runs on while the
 * process or the machine is suspended and is never stepped.  Times that cross
 * the outside interface (`*_at_ms`) are on the wall clock.  Decision code reads
 * neither: it is given the time by its caller.
 *
 * Thread-safe.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

#define CLOCK_MS_PER_S 1000

/* Milliseconds of CLOCK_BOOTTIME. */
int64_t clock_boot_ms (void);

/* Microseconds of CLOCK_BOOTTIME, for measuring latency. */
int64_t clock_boot_us (void);

/* Milliseconds since the epoch. */
int64_t clock_wall_ms (void);

/* Converts a wall time to the boot clock, by the offset of this moment. */
int64_t clock_wall_to_boot_ms (int64_t wall_ms);

/* Blocks the calling thread for WAIT_MS. */
void clock_sleep_ms (int64_t wait_ms);

#endif
