/* admission.c -- whether a job is taken, and when a refused caller should come back */
#include "flow/admission.h"

admission_t
admission_decide (const forecast_t *forecast,
                  int64_t own_ms,
                  int64_t deadline_at_ms,
                  int64_t start_by_ms,
                  int64_t now_ms)
{
  if (forecast->least_wait_ms == 0)
    return ADMISSION_YES;
  if (now_ms + forecast->least_end_ms + own_ms > deadline_at_ms)
    return ADMISSION_TOO_LATE;
  if (start_by_ms != 0 && now_ms + forecast->least_wait_ms > start_by_ms)
    return ADMISSION_NO_START;
  return ADMISSION_YES;
}

int64_t
admission_retry_ms (int64_t wait_ms, int64_t caller_wait_ms, uint64_t hash)
{
  int64_t least_ms = wait_ms > caller_wait_ms ? wait_ms - MAX (caller_wait_ms, 0) : 0;
  int64_t spread_ms = wait_ms;

  if (wait_ms < 0)
    {
      least_ms = 0;
      spread_ms = ADMISSION_RETRY_UNKNOWN_MS;
    }
  spread_ms = MIN (spread_ms, ADMISSION_RETRY_MAX_MS);
  int64_t retry_ms = least_ms + (int64_t) (hash % (uint64_t) (spread_ms + 1));
  return CLAMP (retry_ms, 1, ADMISSION_RETRY_MAX_MS);
}
