/* drain.h -- which data centres are drained, as far as this host knows
 *
 * The operator sets and removes a record of each data centre in the platform's log.  The set is
 * built from records, from listings of the log and from the sets of other hosts, in any order: a
 * record with a higher offset wins.  A set with end E also states that every data centre which it
 * does not name was not drained when the log ended at E; a listing and a message of another host
 * both have that form.
 *
 * Load: a few data centres, several records a second, 300 hosts that tell each other.  A removal is
 * kept only until the set is complete beyond it, so that the size follows what is drained now.
 *
 * Pure: records and the time go in, changes come out.  Times are milliseconds of the boot clock.
 * Not thread-safe.
 */
#ifndef DRAIN_DRAIN_H
#define DRAIN_DRAIN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct drains_t drains_t;

/* A data centre that is drained, or is not any more. */
typedef struct
{
  const char *name; /* interned in what the set gives out */
  bool drained;
  uint64_t offset;  /* of the record */
  int64_t since_ms; /* when the first host took it in */
} drain_t;

drains_t *drains_new (void);
void drains_free (drains_t *drains);

/* The log has a record at OFFSET that drains NAME, or removes that.  Appends to CHANGES (drain_t)
 * if it is news. */
void drains_record (drains_t *drains,
                    const char *name,
                    uint64_t offset,
                    bool drained,
                    int64_t now_ms,
                    GArray *changes);

/* A listing of the log, or another host's set: COUNT data centres are drained or, by records that
 * END does not cover, not any more; those which are missing were not when the log ended at END. */
void drains_merge (drains_t *drains,
                   const drain_t *listed,
                   size_t count,
                   uint64_t end,
                   int64_t now_ms,
                   GArray *changes);

/* All records before END have been taken in.  Valid after the first drains_merge (). */
void drains_advance (drains_t *drains, uint64_t end);

/* Whether the set was complete at some time; nothing may be started before. */
bool drains_is_known (const drains_t *drains);

/* The set is complete up to this offset; 0 while it is not known. */
uint64_t drains_end (const drains_t *drains);

bool drains_has (const drains_t *drains, const char *name);

/* The drained data centres as drain_t, by name; with REMOVALS also those whose removal the set is
 * not complete beyond.  The caller unrefs the array. */
GArray *drains_list (const drains_t *drains, bool removals);

#endif
