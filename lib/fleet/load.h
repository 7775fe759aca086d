/* load.h -- the work that waits in an owner's queue; private to lib/fleet
 *
 * Load: queues of thousands of tasks at hosts with a tenth of a core, whose report is made every
 * 15 ms.  The sums are kept up to date with each change of the queue, so that a report costs a
 * pass over the endpoints, however many tasks wait.
 */
#ifndef FLEET_LOAD_H
#define FLEET_LOAD_H

#include "fleet/fleet.h"

/* Core-milliseconds of the waiting tasks of one service, at the speed that estimates are made
 * for. */
typedef struct
{
  int64_t all[FLEET_LOAD_LEVELS];
  int64_t late[FLEET_LOAD_LEVELS]; /* the part of it that misses its objective anyway */
} load_sums_t;

/* What a waiting task was added as. */
typedef struct
{
  load_sums_t *sums; /* NULL while it does not wait */
  int32_t level;
  int64_t core_ms;
  bool late;
} load_mark_t;

/* The work of a task that takes WORK_MS. */
int64_t load_core_ms (const room_t *need, int64_t work_ms);

/* SUMS: service -> load_sums_t.  The task must not be counted already. */
void load_add (GHashTable *sums,
               const char *service,
               int32_t priority,
               int64_t core_ms,
               bool late,
               load_mark_t *mark);

/* Takes off what MARK says, if anything. */
void load_remove (load_mark_t *mark);

#endif
