/* dispatch_metrics.h -- counters of the dispatch part */
#ifndef DAEMON_DISPATCH_METRICS_H
#define DAEMON_DISPATCH_METRICS_H

#include "dispatch/dispatch.h"

/* A task of PLAN and KIND ended; GIVEN_UP tasks never started. */
void dispatch_metrics_task_ended (const char *plan,
                                  const char *kind,
                                  dispatch_outcome_t outcome,
                                  int64_t elapsed_us);
void dispatch_metrics_task_given_up (const char *plan, const char *kind);

/* A job was refused at the door with ERROR. */
void dispatch_metrics_job_refused (const char *plan, int error);

/* Sets the gauges. */
void dispatch_metrics_set_gauges (dispatch_t *dispatch);

#endif
