/* checkpoint.h -- decides when a reader appends a checkpoint to the log
 *
 * The platform does not tell its retention, so a checkpoint is due by age, by
 * the number of records since the last one, and as soon as the log's first
 * offset comes close to the last one or has passed it.  The readers of the
 * data centres wait for each other by rank, so that one usually does it; two
 * checkpoints are harmless.
 *
 * Pure; one thread.
 */
#ifndef CONFIG_CHECKPOINT_H
#define CONFIG_CHECKPOINT_H

#include <stdbool.h>
#include <stdint.h>

/* Age at which a checkpoint is written again.  The log's retention must be
 * longer. */
#define CHECKPOINT_AGE_MS (10 * 60 * 1000)
/* Records since the last checkpoint: this many, and a part of the entries. */
#define CHECKPOINT_RECORDS 256
#define CHECKPOINT_ENTRIES_DIVISOR 16
/* How much longer each next data centre waits. */
#define CHECKPOINT_RANK_MS 3000
/* An append without an answer, or not read back, is tried again after this. */
#define CHECKPOINT_RETRY_MS 10000

typedef struct
{
  int64_t log_first;     /* first offset that the log still has */
  int64_t log_next;      /* its end */
  int64_t checkpoint;    /* offset of the last checkpoint in it, -1 for none */
  int64_t oldest_at_ms;  /* wall time of that checkpoint, or of the first record without one */
  int64_t records_since; /* records since that checkpoint */
  int64_t entries;       /* of the state */
  int32_t rank;          /* of this data centre */
} checkpoint_facts_t;

typedef struct
{
  int64_t due_at_ms;  /* boot clock; 0 while not due */
  int64_t next_at_ms; /* no other attempt before this, but for a new checkpoint */
  int64_t checkpoint; /* the last one in the log at the last attempt */
} checkpoint_plan_t;

/* True if this host should append a checkpoint now.  NOW_MS is on the boot
 * clock, WALL_MS on the wall clock. */
bool checkpoint_step (checkpoint_plan_t *plan,
                      const checkpoint_facts_t *facts,
                      int64_t now_ms,
                      int64_t wall_ms);

#endif
