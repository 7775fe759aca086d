/* part_dispatch.h -- queues, refusal at the door and the choice of endpoints
 *
 * The job part adds tasks; this part chooses when and where each starts and
 * calls the task's START; the job part then calls the endpoint and reports.
 * Starts are made in rounds of their own turn of the control thread, never
 * inside a call of this header.  Control thread only.
 */
#ifndef DAEMON_PART_DISPATCH_H
#define DAEMON_PART_DISPATCH_H

#include "daemon/part.h"
#include "dispatch/dispatch.h"
#include "platform/hosts.h"

part_t *part_dispatch_new (daemon_t *daemon, part_t *config, part_t *quota);

/* Says whether COUNT tasks like TASK (deadline on the boot clock) are likely to
 * end in time.  Returns 0, or ERROR_DEADLINE_UNREACHABLE, ERROR_PLAN_LIMIT,
 * ERROR_OVERLOADED with *RETRY_AT_MS (wall clock) set, or ERROR_NEVER_FITS. */
int part_dispatch_admit (part_t *part,
                         const dispatch_task_t *task,
                         int32_t count,
                         int64_t now_ms,
                         int64_t *retry_at_ms);

/* START runs on the control thread: the task must be written to ENDPOINT now,
 * or be reported as not started.  ENDPOINT is valid during the call. */
typedef void (*dispatch_start_t) (uint64_t ticket, const host_t *endpoint, void *data);

/* Queues a task.  Returns its ticket, never 0. */
uint64_t part_dispatch_add (part_t *part,
                            const dispatch_task_t *task,
                            dispatch_start_t start,
                            void *data,
                            int64_t now_ms);

/* GIVEN_UP runs for each queued task that can no longer end before its
 * deadline; its ticket has ended without a start.  DATA is the task's.  Without
 * a listener such tickets stay until they are removed. */
typedef void (*dispatch_give_up_t) (uint64_t ticket, void *data);
void part_dispatch_set_give_up_handler (part_t *part, dispatch_give_up_t on_give_up);

/* Takes a task out of its queue.  Returns false if it has been started. */
bool part_dispatch_remove (part_t *part, uint64_t ticket);

/* A started task has ended; frees its slot and the plan's units.  After
 * DISPATCH_NOT_STARTED the same ticket is queued again, for another endpoint,
 * and START runs again; any other outcome ends the ticket. */
void part_dispatch_report_end (part_t *part,
                               uint64_t ticket,
                               dispatch_outcome_t outcome,
                               int64_t elapsed_us,
                               int64_t now_ms);

#endif
