/* counter.h -- counters of the process and their text exposition
 *
 * A counter is registered once by name and labels and then changed without
 * locks from any thread.  Names follow the usual exposition: lower case,
 * `_total` for sums, unit suffixes.  Registered counters live until the
 * process ends.
 */
#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <stdint.h>
#include <glib.h>

typedef struct counter_t counter_t;

/* Returns the counter NAME with LABELS (for example `plan="gold"`, or NULL for
 * none), made on first use.  Thread-safe, takes a lock: keep the result. */
counter_t *counter_get (const char *name, const char *labels);

/* Adds DELTA, which may be negative for a gauge.  Thread-safe. */
void counter_add (counter_t *counter, int64_t delta);

/* Sets the value of a gauge.  Thread-safe. */
void counter_set (counter_t *counter, int64_t value);

/* Reads the value.  Thread-safe. */
int64_t counter_value (const counter_t *counter);

/* Appends all counters to TEXT, one `name{labels} value` a line, sorted.
 * Thread-safe. */
void counter_print (GString *text);

#endif
