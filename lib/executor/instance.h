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

/* Records that ENDPOINT may have a new instance, which the next poll shows.  That instance is told
 * at once to stop what orders without an answer may start there. */
void endpoint_suspect_restart (endpoint_t *endpoint);

/* Which instance of an endpoint has answered, compared with the one that was observed last. */
typedef enum
{
  INSTANCE_KNOWN, /* the same, as far as its clock can tell */
  INSTANCE_EARLIER,
  INSTANCE_LATER
} instance_order_t;

/* Records the clock of the present instance of ENDPOINT, from the answer to a call that was sent at
 * SENT_AT_MS.  Does nothing if ENDPOINT_CLOCK_MS is 0: the answer did not contain it. */
void endpoint_read_clock (endpoint_t *endpoint,
                          int64_t endpoint_clock_ms,
                          int64_t sent_at_ms,
                          int64_t now_ms);

/* Tells by the clock in an answer which instance it comes from: the clock of an endpoint begins
 * with its instance, and never goes back or gains. */
instance_order_t instance_of_answer (const endpoint_t *endpoint,
                                     int64_t endpoint_clock_ms,
                                     int64_t sent_at_ms,
                                     int64_t now_ms);

/* The same for the answer to a start or a stop, which does not name its instance.  If that is a
 * later one, the endpoint is polled anew, and gets no start before the answer. */
instance_order_t note_order_clock (endpoint_t *endpoint,
                                   int64_t endpoint_clock_ms,
                                   int64_t sent_at_ms,
                                   int64_t now_ms);

/* True if RESULT, of a poll that was sent at SENT_AT_MS, comes from a later instance.  Start times
 * tell instances apart; where they are missing, the clock does. */
bool is_later_instance (const endpoint_t *endpoint,
                        const poll_result_t *result,
                        int64_t sent_at_ms,
                        int64_t now_ms);

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
