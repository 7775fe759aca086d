/* dispatch_count.h -- counters of the dispatch part */
#ifndef DAEMON_DISPATCH_COUNT_H
#define DAEMON_DISPATCH_COUNT_H

#include "dispatch/dispatch.h"

/* A task of PLAN and KIND ended; GIVEN_UP tasks never started. */
void dispatch_count_end (const char *plan,
                         const char *kind,
                         dispatch_outcome_t outcome,
                         int64_t elapsed_us);
void dispatch_count_given_up (const char *plan, const char *kind);

/* A job was refused at the door with ERROR. */
void dispatch_count_refused (const char *plan, int error);

/* Sets the gauges. */
void dispatch_count_state (dispatch_t *dispatch);

#endif
