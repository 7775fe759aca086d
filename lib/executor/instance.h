/* instance.h -- endpoints that start again under their ids; private to lib/executor
 *
 * A later instance knows nothing of the runs, ends and token of the one before, and its clock and
 * the numbers of its ends begin anew.  Orders do not name the instance that they are meant for, so
 * that it may have carried out some before its owner knew of it.  What has become of a run follows
 * from what that instance has said, never from silence about it alone.
 *
 * Times are milliseconds of the boot clock.  Not thread-safe.
 */
#ifndef EXECUTOR_INSTANCE_H
#define EXECUTOR_INSTANCE_H

#include "executor/state.h"

/* Records that ENDPOINT has a new instance: the runs of the previous instance are over and their
 * tasks are requeued.  A task whose start order may still be carried out stays until the new
 * instance has confirmed a stop. */
void endpoint_restarted (executor_t *executor, endpoint_t *endpoint, int64_t now_ms);

/* True if RESULT lists the run of TASK as alive. */
bool is_listed_active (const poll_result_t *result, const task_t *task);

/* ENDPOINT has answered a poll that was sent at SENT_AT_MS as a later instance than the one that
 * was known.  The runs that it may have started go on, the others are over. */
void handle_later_instance (executor_t *executor,
                            endpoint_t *endpoint,
                            const poll_result_t *result,
                            int64_t sent_at_ms,
                            int64_t now_ms,
                            GArray *actions);

#endif
