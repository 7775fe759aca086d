/* batch.h -- a batch of records, the result of one read of a log stream
 *
 * Pure functions.  A batch must be used by one thread at a time.
 */
#ifndef PLATFORM_BATCH_H
#define PLATFORM_BATCH_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  int64_t offset;
  int64_t at_ms; /* time of the append, in milliseconds of the platform's wall clock */
  GBytes *data;
} log_record_t;

/* All records at offsets from FROM_OFFSET up to, but not including, NEXT_OFFSET that the log still
 * keeps; the records before FIRST_OFFSET have been deleted.  Offsets are ascending but may have
 * gaps. */
typedef struct
{
  int64_t from_offset;
  int64_t first_offset;
  int64_t next_offset;
  int64_t end_offset; /* offset of the next append, at least NEXT_OFFSET unless FROM_OFFSET is past
                         it */
  GArray *records;    /* of log_record_t */
} log_batch_t;

/* Returns an empty batch whose end is at offset NEXT.  Free with log_batch_free (). */
log_batch_t *log_batch_new (int64_t from, int64_t first, int64_t next);
void log_batch_free (log_batch_t *batch);

/* Adds a record and takes a reference to DATA. */
void log_batch_add (log_batch_t *batch, int64_t offset, int64_t at_ms, GBytes *data);

/* Parses the JSON answer to a read from offset FROM.  Returns 0 and sets *BATCH, which the caller
 * frees, or returns ERROR_PROTOCOL and sets *BATCH to NULL if the answer is not a batch with
 * ascending offsets. */
int log_batch_parse (const char *json, size_t size, int64_t from, log_batch_t **batch);

#endif
