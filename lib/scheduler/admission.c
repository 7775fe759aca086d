/* admission.c -- decides whether a job is admitted, and when a refused caller should retry */
#include "scheduler/admission.h"

admission_t
admission_decide (const forecast_t *forecast,
                  int64_t other_tasks_ms,
                  int64_t deadline_at_ms,
                  int64_t start_by_ms,
                  int64_t now_ms)
{
  int64_t remaining_ms = deadline_at_ms - now_ms;

  if (forecast->min_wait_ms == 0)
    return ADMISSION_ADMIT;
  /* The sum of the two durations may be more than can be counted. */
  if (forecast->min_end_ms > remaining_ms || other_tasks_ms > remaining_ms - forecast->min_end_ms)
    return ADMISSION_MISSES_DEADLINE;
  if (start_by_ms != 0 && forecast->min_wait_ms > start_by_ms - now_ms)
    return ADMISSION_MISSES_START_LIMIT;
  return ADMISSION_ADMIT;
}

int64_t
admission_retry_after_ms (int64_t wait_ms, int64_t caller_wait_ms, uint64_t hash)
{
  int64_t min_ms = wait_ms > caller_wait_ms ? wait_ms - MAX (caller_wait_ms, 0) : 0;
  int64_t spread_ms = wait_ms;

  if (wait_ms < 0)
    {
      min_ms = 0;
      spread_ms = ADMISSION_RETRY_UNKNOWN_MS;
    }
  spread_ms = MIN (spread_ms, ADMISSION_RETRY_MAX_MS);
  int64_t retry_ms = min_ms + (int64_t) (hash % (uint64_t) (spread_ms + 1));
  return CLAMP (retry_ms, 1, ADMISSION_RETRY_MAX_MS);
}
