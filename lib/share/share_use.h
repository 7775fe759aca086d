/* share_use.h -- units in use, by the time at which each ends at the latest
 *
 * Ends are rounded up to SHARE_USE_STEP_MS, so that the memory depends on how
 * far ahead ends lie and not on the number of units.  Pure, one thread.
 */
#ifndef SHARE_USE_H
#define SHARE_USE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SHARE_USE_STEP_MS 10

typedef struct
{
  GArray *steps; /* of share_use_step_t, by ends_at_ms */
  int64_t total; /* units in use */
} share_use_t;

void share_use_init (share_use_t *use);
void share_use_clear (share_use_t *use);

/* Adds a unit that ends at ENDS_AT_MS at the latest. */
void share_use_add (share_use_t *use, int64_t ends_at_ms);

/* Removes a unit that was added with ENDS_AT_MS.  Returns false if it has
 * ended already. */
bool share_use_remove (share_use_t *use, int64_t ends_at_ms);

/* Ends the units whose time has come; returns their number. */
int64_t share_use_expire (share_use_t *use, int64_t now_ms);

/* When the last unit ends; 0 without units. */
int64_t share_use_last (const share_use_t *use);

#endif
