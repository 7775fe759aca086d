/* counter.h -- process-wide counters and gauges, printed in Prometheus text format
 *
 * A counter is registered on first use by its name and labels; afterwards any
 * thread may change it without taking a lock.  Names follow the conventions of
 * the format: lower case, `_total` for sums, and a suffix for the unit.
 * Registered counters are never freed.
 */
#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <stdint.h>
#include <glib.h>

typedef struct counter_t counter_t;

/* Returns the counter NAME with LABELS (for example `plan="gold"`, or NULL for
 * none) and creates it on first use.  Thread-safe, but takes a lock: callers on
 * a frequent path should keep the result. */
counter_t *counter_get (const char *name, const char *labels);

/* Adds DELTA, which may be negative if COUNTER is a gauge.  Thread-safe. */
void counter_add (counter_t *counter, int64_t delta);

/* Sets COUNTER, which must be a gauge, to VALUE.  Thread-safe. */
void counter_set (counter_t *counter, int64_t value);

/* Returns the current value.  Thread-safe. */
int64_t counter_value (const counter_t *counter);

/* Appends all counters to TEXT, sorted by name and labels, with one
 * `name{labels} value` on each line.  Thread-safe. */
void counter_print (GString *text);

#endif
