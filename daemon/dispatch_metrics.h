/* dispatch_metrics.h -- metrics of the dispatch part
 *
 * Control thread only.
 */
#ifndef DAEMON_DISPATCH_METRICS_H
#define DAEMON_DISPATCH_METRICS_H

#include "dispatch/dispatch.h"

/* Counts a task that ended after ELAPSED_US, or that was given up before it started. */
void dispatch_metrics_task_ended (const char *plan,
                                  const char *kind,
                                  dispatch_outcome_t outcome,
                                  int64_t elapsed_us);
void dispatch_metrics_task_given_up (const char *plan, const char *kind);

/* Counts a job that admission control refused with ERROR. */
void dispatch_metrics_job_refused (const char *plan, int error);

/* Sets the gauges of queues, running tasks and endpoints. */
void dispatch_metrics_set_gauges (dispatch_t *dispatch);

#endif
