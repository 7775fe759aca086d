/* report_timing.c -- tells when an owner's next report is overdue */
#include "scheduler/report_timing.h"

#include <glib.h>

/* The mean covers about this many reports. */
#define REPORTS_AVERAGED 8
#define FIRST_INTERVAL_MS 100
/* Longer gaps count as this one.  A gap that ended with a report was not a loss, and must not
 * delay the next suspicion by much. */
#define INTERVAL_MAX_MS 300
/* A report is overdue after this many mean intervals, but not before OVERDUE_MIN_MS: a busy host
 * with a quarter of a core may be held up for as long. */
#define OVERDUE_INTERVALS 4
#define OVERDUE_MIN_MS 60

void
report_timing_add (report_timing_t *timing, int64_t now_ms)
{
  if (timing->reported_at_ms == 0)
    timing->interval_ms = FIRST_INTERVAL_MS;
  else
    {
      double gap_ms = (double) MIN (now_ms - timing->reported_at_ms, INTERVAL_MAX_MS);
      timing->interval_ms += (gap_ms - timing->interval_ms) / REPORTS_AVERAGED;
    }
  timing->reported_at_ms = now_ms;
}

int64_t
report_timing_overdue_ms (const report_timing_t *timing, int64_t now_ms)
{
  if (timing->reported_at_ms == 0)
    return 0;
  int64_t due_ms = (int64_t) (OVERDUE_INTERVALS * timing->interval_ms);
  return MAX (now_ms - timing->reported_at_ms - MAX (due_ms, OVERDUE_MIN_MS), 0);
}
