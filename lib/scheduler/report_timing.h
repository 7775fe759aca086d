/* report_timing.h -- tells when an owner's next report is overdue
 *
 * The load to handle is hundreds of tasks a second while a data centre is cut off, or while an
 * owner is suspended.  Other hosts count such an owner as lost only after 0.45 to 0.8 s of silence.
 * Until then every coordinator would fill the free slots of the owner's last report, and lose the
 * jobs whose tasks it sends there.
 *
 * An owner reports whenever its free slots or its backlog have changed, which under load is every
 * few milliseconds, so that a silence of several usual intervals makes it suspect.  An owner with
 * little to do reports less often, and the usual interval follows.  A suspect owner is only ranked
 * behind others: a wrong suspicion delays no task that no other owner can take.
 *
 * The functions are pure.  Times are milliseconds of the boot clock.
 */
#ifndef SCHEDULER_REPORT_TIMING_H
#define SCHEDULER_REPORT_TIMING_H

#include <stdint.h>

typedef struct
{
  int64_t reported_at_ms; /* last report; 0 before the first one */
  double interval_ms;     /* mean over the last reports */
} report_timing_t;

/* Records a report that was received at NOW_MS. */
void report_timing_add (report_timing_t *timing, int64_t now_ms);

/* Returns for how long the next report has been overdue; 0 if it is not, or if none was received
 * yet. */
int64_t report_timing_overdue_ms (const report_timing_t *timing, int64_t now_ms);

#endif
