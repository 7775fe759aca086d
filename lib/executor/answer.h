/* answer.h -- what all answers of endpoints have in common; private to lib/executor
 *
 * An answer is matched with its call by serial number.  An answer to a call whose run has ended or
 * changed shows only that the endpoint is alive.
 *
 * Times are milliseconds of the boot clock.  Not thread-safe.
 */
#ifndef EXECUTOR_ANSWER_H
#define EXECUTOR_ANSWER_H

#include "executor/state.h"

/* The call that an answer belongs to. */
typedef struct
{
  endpoint_t *endpoint;
  task_t *task;              /* NULL if the run has ended or changed */
  uint32_t token_generation; /* of the endpoint when the call was made */
  int64_t sent_at_ms;
} call_context_t;

/* Removes call SERIAL from the calls that wait for an answer and describes it in *CONTEXT.  Returns
 * false if the call or its endpoint is no longer known. */
bool take_call_context (executor_t *executor, uint64_t serial, call_context_t *context);

/* Records how long the endpoint has taken to answer call SERIAL.  Call it before
 * take_call_context (). */
void time_answer (executor_t *executor, uint64_t serial, int64_t now_ms);

/* Records that ENDPOINT has answered a call. */
void record_answer (executor_t *executor, endpoint_t *endpoint, int64_t now_ms, GArray *actions);

/* Records that ENDPOINT has not answered a call that was sent at SENT_AT_MS. */
void record_no_answer (executor_t *executor,
                       endpoint_t *endpoint,
                       int64_t sent_at_ms,
                       int64_t now_ms,
                       GArray *actions);

/* The endpoint has rejected the token: it accepts another owner.  Ignored if the token has changed
 * since the call, which was made under TOKEN_GENERATION. */
void mark_fenced (endpoint_t *endpoint, uint32_t token_generation, GArray *actions);

/* Records for the detection of outliers that a run or an order on ENDPOINT has FAILED or not. */
void record_outcome (executor_t *executor,
                     endpoint_t *endpoint,
                     bool failed,
                     int64_t now_ms,
                     GArray *actions);

/* TASK starts on another endpoint than ENDPOINT next time, if there is one. */
void avoid_endpoint (task_t *task, const endpoint_t *endpoint);

/* Tells the coordinator of TASK that it has failed, or can't be started, because of CAUSE, and
 * removes it. */
void fail_task (executor_t *executor, task_t *task, task_failure_cause_t cause, GArray *actions);

#endif
