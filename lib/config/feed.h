/* feed.h -- one log stream as this host gets it, from the log or from peers
 *
 * Batches may come twice, late or out of order, from several sources; the
 * records come out in the order of offsets, each once.  The last records are
 * kept, so that peers can be given what they miss.  Pure; one thread.
 */
#ifndef CONFIG_FEED_H
#define CONFIG_FEED_H

#include "platform/batch.h"

#include <stdbool.h>

/* What of a stream is kept for peers. */
#define FEED_KEEP_BYTES (4u * 1024 * 1024)

typedef struct
{
  /* The next record, in order. */
  void (*record) (const log_record_t *record, void *data);
  /* Records before FIRST have left the log unread.  May be NULL. */
  void (*lost) (int64_t first, void *data);
  void *data;
} feed_ops_t;

typedef enum
{
  FEED_APPLIED, /* the stream has moved on */
  FEED_OLD,     /* nothing new in it */
  FEED_GAP      /* it begins after feed_next (): get what is between first */
} feed_result_t;

typedef struct feed_t feed_t;

feed_t *feed_new (const feed_ops_t *ops, size_t keep_bytes);
void feed_free (feed_t *feed);

feed_result_t feed_add (feed_t *feed, const log_batch_t *batch);

/* The offset of the next record that is wanted. */
int64_t feed_next (const feed_t *feed);

/* Moves on to NEXT without records: their effect came as a whole state.
 * Lower offsets are ignored. */
void feed_skip (feed_t *feed, int64_t next);

/* True if all records from FROM on that the log still had are kept. */
bool feed_keeps (const feed_t *feed, int64_t from);

/* The kept records from FROM on, as a batch of at most about MAX_BYTES and at
 * least one record, that the caller frees. */
log_batch_t *feed_since (const feed_t *feed, int64_t from, size_t max_bytes);

#endif
