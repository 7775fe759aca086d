/* quota_use.h -- number of units in use, by the time at which their use ends
 *
 * End times are rounded up to buckets of QUOTA_USE_BUCKET_MS.  The memory thus
 * depends on how far ahead the ends lie and not on the number of units.  No
 * locking: one thread at a time.
 */
#ifndef QUOTA_USE_H
#define QUOTA_USE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define QUOTA_USE_BUCKET_MS 10

typedef struct
{
  GArray *buckets; /* of quota_use_bucket_t, sorted by ends_at_ms */
  int64_t total;   /* units in use */
} quota_use_t;

void quota_use_init (quota_use_t *use);
void quota_use_clear (quota_use_t *use);

/* Adds a unit whose use ends at ENDS_AT_MS at the latest. */
void quota_use_add (quota_use_t *use, int64_t ends_at_ms);

/* Removes a unit that was added with ENDS_AT_MS.  Returns false if there is
 * none, for example because it has expired. */
bool quota_use_remove (quota_use_t *use, int64_t ends_at_ms);

/* Removes the units whose end is not after NOW_MS; returns their number. */
int64_t quota_use_expire (quota_use_t *use, int64_t now_ms);

/* Returns the latest end of all units; 0 without units. */
int64_t quota_use_last_end_ms (const quota_use_t *use);

#endif
