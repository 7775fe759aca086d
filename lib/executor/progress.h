/* progress.h -- what the progress of a run says about its end; private to lib/executor
 *
 * The end of a run is extrapolated from the time that it has taken so far.  Times are milliseconds
 * of the boot clock.  Not thread-safe.
 */
#ifndef EXECUTOR_PROGRESS_H
#define EXECUTOR_PROGRESS_H

#include "executor/state.h"

/* True if TASK misses its deadline on its endpoint and would meet it if it was restarted on a
 * faster one.  A task is moved only once. */
bool should_move (const executor_t *executor, const task_t *task, int64_t now_ms);

/* True if TASK misses its deadline on its endpoint and would miss it on the fastest one too. */
bool is_overdue (const executor_t *executor, const task_t *task, int64_t now_ms);

#endif
