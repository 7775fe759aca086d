/* drain.h -- the set of drained data centres, as known to this host
 *
 * The operator drains a data centre, and ends the drain, by records in the platform's log.  The set
 * is built from such records, from listings of the log and from the sets of other hosts, which may
 * arrive in any order: the record with the highest offset wins.  A set with end offset E also
 * states that each data centre that it does not list was not drained when the log ended at E.
 * Listings and the messages of other hosts have the same form.
 *
 * Expected load: a few data centres, several records a second, and 300 hosts that exchange their
 * sets.  The end of a drain is kept only until the set is complete beyond its record, so that the
 * size depends only on how many data centres are drained now.
 *
 * No I/O and no clock: records and the time go in, changes are appended to a GArray of drain_t.
 * Times are milliseconds of the boot clock.  Not thread-safe.
 */
#ifndef DRAIN_DRAIN_H
#define DRAIN_DRAIN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct drains_t drains_t;

/* A data centre that is drained, or whose drain has ended. */
typedef struct
{
  const char *data_centre; /* interned in entries and changes that the set returns */
  bool drained;
  uint64_t record_offset;   /* offset of the record in the log */
  int64_t first_seen_at_ms; /* when the first host received the record */
} drain_t;

drains_t *drains_new (void);
void drains_free (drains_t *drains);

/* Applies the record at OFFSET, which drains DATA_CENTRE or ends its drain.  Appends to CHANGES if
 * that changes whether the data centre is drained. */
void drains_apply_record (drains_t *drains,
                          const char *data_centre,
                          uint64_t offset,
                          bool drained,
                          int64_t now_ms,
                          GArray *changes);

/* Merges a listing of the log, or the set of another host, with end offset END.  LISTED has COUNT
 * data centres that are drained, or whose drain has ended by records at END or beyond.  Data
 * centres that are not listed were not drained when the log ended at END. */
void drains_merge (drains_t *drains,
                   const drain_t *listed,
                   size_t count,
                   uint64_t end,
                   int64_t now_ms,
                   GArray *changes);

/* All records before END have been applied.  Has no effect before the first drains_merge (). */
void drains_advance (drains_t *drains, uint64_t end);

/* Whether the set has been complete at some offset.  No task may be started before that. */
bool drains_are_initialised (const drains_t *drains);

/* The set is complete up to this offset; 0 while it is not initialised. */
uint64_t drains_end_offset (const drains_t *drains);

/* Whether DATA_CENTRE is drained. */
bool drains_contain (const drains_t *drains, const char *data_centre);

/* Returns the drained data centres as drain_t, sorted by name; with INCLUDE_REMOVALS also those
 * whose drain has ended by a record at the end of the set or beyond.  The caller unrefs it. */
GArray *drains_list (const drains_t *drains, bool include_removals);

#endif
