/* load.h -- backlog of an owner's queue; private to lib/executor
 *
 * The load is reported every 15 ms on hosts with a tenth of a core, while thousands of tasks may
 * wait.  The totals are therefore updated with each change of the queue, so that the cost of a
 * report depends on the number of endpoints, not on the number of waiting tasks.
 */
#ifndef EXECUTOR_LOAD_H
#define EXECUTOR_LOAD_H

#include "executor/executor.h"

/* Core-milliseconds of the waiting tasks of one service, at the reference speed. */
typedef struct
{
  int64_t total[EXECUTOR_LOAD_LEVELS];
  int64_t late[EXECUTOR_LOAD_LEVELS]; /* part of the total that misses its objective in any case */
} load_totals_t;

/* What a waiting task has added to the totals. */
typedef struct
{
  load_totals_t *totals; /* NULL while the task is not queued */
  int32_t level;
  int64_t core_ms;
  bool late;
} load_entry_t;

/* Core-milliseconds of a task that takes WORK_MS; capped to keep the totals in range. */
int64_t load_core_ms (const resources_t *need, int64_t work_ms);

/* Adds a task to the totals and fills ENTRY.  TOTALS_BY_SERVICE maps service -> load_totals_t.  The
 * task must not be counted already. */
void load_add (GHashTable *totals_by_service,
               const char *service,
               int32_t priority,
               int64_t core_ms,
               bool late,
               load_entry_t *entry);

/* Subtracts what ENTRY has added, if anything. */
void load_remove (load_entry_t *entry);

#endif
