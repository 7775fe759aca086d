/* checkpoint.h -- decides when a reader appends a checkpoint to the log
 *
 * The platform does not disclose the retention of its log.  A checkpoint is
 * therefore due when the last one has reached a maximum age, when enough records
 * follow it, or when the first offset of the log has come close to it or has
 * passed it.  The readers of the data centres wait for different times by their
 * rank, so that usually only one of them appends a checkpoint; two checkpoints
 * in a row do no harm.
 *
 * The functions perform no I/O and read no clock.  A checkpoint_schedule_t must
 * be used by one thread at a time.
 */
#ifndef CONFIG_CHECKPOINT_H
#define CONFIG_CHECKPOINT_H

#include <stdbool.h>
#include <stdint.h>

/* A checkpoint older than this is replaced.  The retention of the log must be
 * longer, or the log may contain no checkpoint at all. */
#define CHECKPOINT_MAX_AGE_MS (10 * 60 * 1000)
/* A checkpoint is due after CHECKPOINT_MIN_RECORDS records plus one for every
 * CHECKPOINT_ENTRIES_DIVISOR entries of the state, so that a large state is not
 * written after every few edits. */
#define CHECKPOINT_MIN_RECORDS 256
#define CHECKPOINT_ENTRIES_DIVISOR 16
/* Additional delay for each rank of a data centre. */
#define CHECKPOINT_RANK_DELAY_MS 3000
/* An append that was not answered, or whose checkpoint has not been read back,
 * is repeated after this time. */
#define CHECKPOINT_RETRY_INTERVAL_MS 10000

typedef struct
{
  int64_t log_first_offset;  /* first offset that the log still holds */
  int64_t log_end_offset;    /* offset after the last record of the log */
  int64_t checkpoint_offset; /* of the last checkpoint in the log, -1 for none */
  int64_t oldest_wall_ms;    /* wall time of that checkpoint; without one, of the
                              * first record */
  int64_t records_since;     /* records after that checkpoint */
  int64_t entry_count;       /* entries of the state */
  int32_t rank;              /* of this data centre; 0 appends first */
} checkpoint_inputs_t;

/* Initialise to zero, except for last_checkpoint_offset, which starts as -1. */
typedef struct
{
  int64_t due_at_ms;              /* boot clock; 0 while no checkpoint is due */
  int64_t retry_at_ms;            /* boot clock; no further attempt before this time, unless a
                                   * newer checkpoint has appeared in the log */
  int64_t last_checkpoint_offset; /* checkpoint_offset at the last attempt */
} checkpoint_schedule_t;

/* Returns true if this host should append a checkpoint now, and then records
 * the attempt in SCHEDULE.  NOW_MS is on the boot clock, WALL_MS on the wall
 * clock. */
bool checkpoint_should_append (checkpoint_schedule_t *schedule,
                               const checkpoint_inputs_t *inputs,
                               int64_t now_ms,
                               int64_t wall_ms);

#endif
