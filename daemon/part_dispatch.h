/* part_dispatch.h -- queues, admission control and selection of endpoints
 *
 * The job part adds tasks.  This part decides when and on which endpoint each task
 * starts, and calls its START.  The job part then calls the endpoint and reports
 * the outcome.  START and GIVE_UP are called in a separate turn of the event loop,
 * never from within a function of this header.  Control thread only.
 */
#ifndef DAEMON_PART_DISPATCH_H
#define DAEMON_PART_DISPATCH_H

#include "daemon/part.h"
#include "dispatch/dispatch.h"
#include "platform/hosts.h"

part_t *part_dispatch_new (daemon_t *daemon, part_t *config, part_t *quota);

/* Decides whether to admit COUNT tasks like TASK, whose deadline is on the boot
 * clock.  Returns 0 if they are likely to end in time, else
 * ERROR_DEADLINE_UNREACHABLE, ERROR_PLAN_LIMIT, ERROR_OVERLOADED or
 * ERROR_NEVER_FITS.  With an error, *RETRY_AT_MS (wall clock) is the time to try
 * again, or the current time if the error has none. */
int part_dispatch_admit (part_t *part,
                         const dispatch_task_t *task,
                         int32_t count,
                         int64_t now_ms,
                         int64_t *retry_at_ms);

/* Starts a task.  Runs on the control thread.  The task must be sent to ENDPOINT
 * now or be reported as not started.  ENDPOINT is valid during the call only. */
typedef void (*dispatch_start_t) (uint64_t ticket, const host_t *endpoint, void *data);

/* Queues a task.  Returns its ticket, never 0. */
uint64_t part_dispatch_add (part_t *part,
                            const dispatch_task_t *task,
                            dispatch_start_t start,
                            void *data,
                            int64_t now_ms);

/* ON_GIVE_UP runs for each queued task that can no longer end before its deadline.
 * Its ticket is no longer valid and the task never starts.  DATA is that of
 * part_dispatch_add ().  Without a handler such tickets stay until they are
 * removed. */
typedef void (*dispatch_give_up_t) (uint64_t ticket, void *data);
void part_dispatch_set_give_up_handler (part_t *part, dispatch_give_up_t on_give_up);

/* Removes a task from its queue.  Returns false if it has started or is unknown. */
bool part_dispatch_remove (part_t *part, uint64_t ticket);

/* Reports that a started task has ended, which releases its slot and the units of
 * its plan.  After DISPATCH_NOT_STARTED the ticket is queued again for another
 * endpoint, and START runs again.  Any other outcome ends the ticket. */
void part_dispatch_report_end (part_t *part,
                               uint64_t ticket,
                               dispatch_outcome_t outcome,
                               int64_t elapsed_us,
                               int64_t now_ms);

#endif
