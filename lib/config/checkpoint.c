/* checkpoint.c -- decides when a reader appends a checkpoint to the log */
#include "config/checkpoint.h"

/* True if the log has begun to drop records and the last checkpoint is in the
 * older half of those that remain. */
static bool
is_near_log_start (const checkpoint_inputs_t *inputs)
{
  if (inputs->log_first_offset == 0)
    return false;
  return inputs->checkpoint_offset - inputs->log_first_offset
         < (inputs->log_end_offset - inputs->log_first_offset) / 2;
}

static bool
is_due (const checkpoint_inputs_t *inputs, int64_t wall_ms)
{
  if (inputs->log_end_offset == 0)
    return false;
  if (inputs->log_first_offset > 0 && inputs->checkpoint_offset < inputs->log_first_offset)
    return true;
  if (is_near_log_start (inputs))
    return true;
  if (wall_ms - inputs->oldest_wall_ms > CHECKPOINT_MAX_AGE_MS)
    return true;
  return inputs->records_since
         >= CHECKPOINT_MIN_RECORDS + inputs->entry_count / CHECKPOINT_ENTRIES_DIVISOR;
}

bool
checkpoint_should_append (checkpoint_schedule_t *schedule,
                          const checkpoint_inputs_t *inputs,
                          int64_t now_ms,
                          int64_t wall_ms)
{
  if (!is_due (inputs, wall_ms))
    {
      schedule->due_at_ms = 0;
      return false;
    }
  if (schedule->due_at_ms == 0)
    schedule->due_at_ms = now_ms + inputs->rank * CHECKPOINT_RANK_DELAY_MS;
  bool is_attempt_pending = inputs->checkpoint_offset <= schedule->last_checkpoint_offset
                            && now_ms < schedule->retry_at_ms;
  if (now_ms < schedule->due_at_ms || is_attempt_pending)
    return false;
  schedule->last_checkpoint_offset = inputs->checkpoint_offset;
  schedule->retry_at_ms = now_ms + CHECKPOINT_RETRY_INTERVAL_MS;
  return true;
}
