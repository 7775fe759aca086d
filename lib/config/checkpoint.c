/* checkpoint.c -- decides when a reader appends a checkpoint to the log */
#include "config/checkpoint.h"

/* True if the last checkpoint is in the older half of the records that the log
 * still has, and that has begun to drop records. */
static bool
is_close_to_retention (const checkpoint_facts_t *facts)
{
  if (facts->log_first == 0)
    return false;
  return facts->checkpoint - facts->log_first < (facts->log_next - facts->log_first) / 2;
}

static bool
is_due (const checkpoint_facts_t *facts, int64_t wall_ms)
{
  if (facts->log_next == 0)
    return false;
  if (facts->log_first > 0 && facts->checkpoint < facts->log_first)
    return true;
  if (is_close_to_retention (facts))
    return true;
  if (wall_ms - facts->oldest_at_ms > CHECKPOINT_AGE_MS)
    return true;
  return facts->records_since >= CHECKPOINT_RECORDS + facts->entries / CHECKPOINT_ENTRIES_DIVISOR;
}

bool
checkpoint_step (checkpoint_plan_t *plan,
                 const checkpoint_facts_t *facts,
                 int64_t now_ms,
                 int64_t wall_ms)
{
  if (!is_due (facts, wall_ms))
    {
      plan->due_at_ms = 0;
      return false;
    }
  if (plan->due_at_ms == 0)
    plan->due_at_ms = now_ms + facts->rank * CHECKPOINT_RANK_MS;
  bool unanswered = facts->checkpoint <= plan->checkpoint && now_ms < plan->next_at_ms;
  if (now_ms < plan->due_at_ms || unanswered)
    return false;
  plan->checkpoint = facts->checkpoint;
  plan->next_at_ms = now_ms + CHECKPOINT_RETRY_MS;
  return true;
}
