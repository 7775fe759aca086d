/* part_dispatch.h -- queues, refusal at the door and the choice of endpoints
 *
 * The job part adds tasks; this part chooses when and where each starts and
 * calls the task's START; the job part then calls the endpoint and reports.
 * Control thread only.
 */
#ifndef DAEMON_PART_DISPATCH_H
#define DAEMON_PART_DISPATCH_H

#include "daemon/part.h"
#include "platform/hosts.h"

part_t *part_dispatch_new (daemon_t *daemon, part_t *config, part_t *share);

typedef struct
{
  const char *plan;
  const char *kind;
  int32_t cores;
  int64_t memory_mb;
  int64_t deadline_at_ms; /* boot clock */
} dispatch_task_t;

typedef enum
{
  DISPATCH_DONE,        /* a whole 2xx or 4xx */
  DISPATCH_FAILED,      /* a whole 5xx */
  DISPATCH_TIMEOUT,     /* no whole answer in time */
  DISPATCH_CUT,         /* the connection broke after the request was written */
  DISPATCH_NOT_STARTED, /* no connection: nothing was written */
  DISPATCH_ABANDONED    /* nothing was written and nothing will be: ends the ticket, says
                         * nothing about the endpoint */
} dispatch_outcome_t;

/* Says whether COUNT tasks like TASK are likely to finish in time.  Returns 0,
 * or ERROR_DEADLINE_UNREACHABLE, ERROR_PLAN_LIMIT, ERROR_OVERLOADED with
 * *RETRY_AT_MS (wall clock) set, or ERROR_NEVER_FITS. */
int part_dispatch_admit (part_t *part,
                         const dispatch_task_t *task,
                         int32_t count,
                         int64_t now_ms,
                         int64_t *retry_at_ms);

/* START runs on the control thread, once: the task must be written to ENDPOINT
 * now, or be reported as not started.  ENDPOINT is valid during the call. */
typedef void (*dispatch_start_t) (uint64_t ticket, const host_t *endpoint, void *data);

/* Queues a task.  Returns its ticket, never 0. */
uint64_t part_dispatch_add (part_t *part,
                            const dispatch_task_t *task,
                            dispatch_start_t start,
                            void *data,
                            int64_t now_ms);

/* Takes a task out of its queue.  Returns false if it has been started. */
bool part_dispatch_remove (part_t *part, uint64_t ticket);

/* A started task has ended; frees its slot and the plan's units.  After
 * DISPATCH_NOT_STARTED the same ticket is queued again, for another endpoint,
 * and START runs again; any other outcome ends the ticket. */
void part_dispatch_ended (part_t *part,
                          uint64_t ticket,
                          dispatch_outcome_t outcome,
                          int64_t elapsed_us,
                          int64_t now_ms);

#endif
