/* stream_buffer.h -- puts one log stream in order and buffers its latest records for peers
 *
 * Batches of records may arrive from the log and from several peers, repeatedly,
 * late or out of order.  The buffer delivers each record once, in the order of
 * offsets, and keeps the latest records for peers that lack them.
 *
 * The module performs no I/O.  A buffer must be used by one thread at a time.
 */
#ifndef CONFIG_STREAM_BUFFER_H
#define CONFIG_STREAM_BUFFER_H

#include "platform/batch.h"

#include <stdbool.h>

/* Usual size of the records kept for peers. */
#define STREAM_BUFFER_MAX_BYTES (4u * 1024 * 1024)

typedef struct
{
  /* Delivers the next record. */
  void (*on_record) (const log_record_t *record, void *data);
  /* The log has dropped the records below FIRST_OFFSET, which had not been read yet.
   * May be NULL. */
  void (*on_lost) (int64_t first_offset, void *data);
  void *data;
} stream_buffer_ops_t;

typedef enum
{
  STREAM_BUFFER_APPLIED, /* the next offset has advanced */
  STREAM_BUFFER_STALE,   /* ignored: the batch has no new records */
  STREAM_BUFFER_GAP      /* ignored: the batch begins after the next offset, so that the
                          * records between must be fetched first */
} stream_buffer_result_t;

typedef struct stream_buffer_t stream_buffer_t;

/* OPS is copied.  MAX_BYTES bounds the size of the records kept. */
stream_buffer_t *stream_buffer_new (const stream_buffer_ops_t *ops, size_t max_bytes);
/* BUFFER may be NULL. */
void stream_buffer_free (stream_buffer_t *buffer);

/* Adds a batch and delivers its new records before returning. */
stream_buffer_result_t stream_buffer_add (stream_buffer_t *buffer, const log_batch_t *batch);

/* The offset of the next record to deliver. */
int64_t stream_buffer_next_offset (const stream_buffer_t *buffer);

/* Advances to NEXT_OFFSET without delivering records, after a checkpoint that
 * covers them was loaded.  No effect if NEXT_OFFSET is not higher. */
void stream_buffer_skip_to (stream_buffer_t *buffer, int64_t next_offset);

/* True if the buffer holds all records from offset FROM on that the log still
 * had when they were read. */
bool stream_buffer_covers (const stream_buffer_t *buffer, int64_t from);

/* Returns the buffered records from offset FROM on as a batch, which the caller
 * frees (log_batch_free).  Stops before the total size of the data would exceed
 * MAX_BYTES, but always includes the first record. */
log_batch_t *
stream_buffer_batch_from (const stream_buffer_t *buffer, int64_t from, size_t max_bytes);

#endif
