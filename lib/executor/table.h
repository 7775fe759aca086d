/* table.h -- operations on the tables of an executor; private to lib/executor */
#ifndef EXECUTOR_TABLE_H
#define EXECUTOR_TABLE_H

#include "executor/state.h"

/* Frees an endpoint_t. */
void executor_endpoint_free (void *endpoint);

endpoint_t *endpoint_find (const executor_t *executor, const char *id);

/* Records that only a poll from now on shows the runs on ENDPOINT. */
void endpoint_poll_again (endpoint_t *endpoint);

/* ENDPOINT has answered a poll. */
void endpoint_note_address (endpoint_t *endpoint);

/* Records that the endpoint of TASK was lost while it may have run there.  RESTARTED says that the
 * endpoint was found restarted, which is certain only if it tells its start time.  An endpoint that
 * has said that it would leave has not crashed. */
void record_loss (executor_t *executor, const task_t *task, bool restarted, int64_t now_ms);

/* Records that the present run of TASK is alive, although its endpoint may have counted as lost. */
void withdraw_loss (executor_t *executor, const task_t *task);

/* A crash_loss_func_t for an executor: the change of LOSS is reported in the next round. */
void note_loss (const crash_loss_t *loss, void *user);

/* Assign the run of TASK and its resources to ENDPOINT, or remove them from its endpoint. */
void task_attach (task_t *task, endpoint_t *endpoint);
void task_detach (task_t *task);

/* Records that the run of TASK is over or never existed: queues the task again, or frees it if it
 * was cancelled. */
void task_requeue (executor_t *executor, task_t *task, int64_t now_ms);

/* Removes TASK from all tables and frees it. */
void task_remove (executor_t *executor, task_t *task);

/* Returns the key of a batch in its table; the caller frees it. */
char *batch_key (const char *coordinator, uint64_t number);

/* Inserts TASK into the queue by priority and objective. */
void task_enqueue (executor_t *executor, task_t *task);

/* Removes TASK from the queue. */
void task_dequeue (executor_t *executor, task_t *task);

/* Removes TASK from its batch.  When the last task leaves, the batch is closed, or freed if no end
 * was sent to its coordinator. */
void task_leave_batch (executor_t *executor, task_t *task);

/* Marks TASK as possibly running under another owner and has all endpoints polled from NOW_MS on.
 */
void task_set_maybe_running (executor_t *executor, task_t *task, int64_t now_ms);

/* Requests the end of the run of TASK because of REASON: it is stopped in the next round, and TASK
 * is queued again when the run is over.  Of several reasons the first one counts. */
void task_request_stop (task_t *task, stop_reason_t reason, int64_t now_ms);

/* The same for a run whose earlier stop, if any, does not count. */
void task_stop_anew (task_t *task, stop_reason_t reason, int64_t now_ms);

/* Latest end of a lease under which runs of a coordinator live that was alive at LAST_HEARD_AT_MS.
 */
int64_t lease_limit_ms (const executor_t *executor, int64_t last_heard_at_ms);

/* Adopts, ends or requeues the tasks that another owner may have started, as far as that is known.
 */
void resolve_maybe_running (executor_t *executor, int64_t now_ms, GArray *actions);

executor_action_t *action_append (GArray *actions, executor_action_kind_t kind);

/* Appends an action of KIND for the coordinator of TASK.  Returns it, or NULL if TASK has no
 * coordinator. */
executor_action_t *notify_coordinator (executor_t *executor,
                                       GArray *actions,
                                       executor_action_kind_t kind,
                                       const task_t *task,
                                       const char *reason);

/* Appends a log action about ENDPOINT and, unless it is NULL, about TASK.  The caller may set more
 * fields of the returned action until it appends the next one. */
executor_action_t *log_event (executor_t *executor,
                              GArray *actions,
                              executor_log_event_t kind,
                              const endpoint_t *endpoint,
                              const task_t *task,
                              int64_t now_ms);

/* Frees the strings that the actions of the last call pointed to. */
void action_strings_clear (executor_t *executor);

/* Removes endpoints whose entry is gone and on which no run can be alive. */
void remove_departed_endpoints (executor_t *executor, int64_t now_ms);

/* Removes a batch that has no tasks. */
void batch_remove (executor_t *executor, batch_t *batch);

/* Removes closed batches after their retention time. */
void remove_closed_batches (executor_t *executor, int64_t now_ms);

/* Sends task ends again to the coordinators that have submitted the same batch again. */
void resend_ends (executor_t *executor, GArray *actions);

#endif
