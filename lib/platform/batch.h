/* batch.h -- records of one log stream, as one read of the log gives them
 *
 * Pure; a batch belongs to one thread at a time.
 */
#ifndef PLATFORM_BATCH_H
#define PLATFORM_BATCH_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  int64_t offset;
  int64_t at_ms; /* wall clock of the platform */
  GBytes *data;
} log_record_t;

/* All records of [from, next) that the log still has: those before FIRST are
 * gone.  Offsets are ascending, but may skip numbers. */
typedef struct
{
  int64_t from;
  int64_t first;
  int64_t next;
  int64_t end;     /* offset that the next append will get, at least NEXT */
  GArray *records; /* of log_record_t */
} log_batch_t;

/* An empty batch.  Free with log_batch_free (). */
log_batch_t *log_batch_new (int64_t from, int64_t first, int64_t next);
void log_batch_free (log_batch_t *batch);

/* Adds a record; references DATA. */
void log_batch_add (log_batch_t *batch, int64_t offset, int64_t at_ms, GBytes *data);

/* Parses the answer to a read from offset FROM.  Returns 0, or ERROR_PROTOCOL
 * if it is not a batch with ascending offsets. */
int log_batch_parse (const char *json, size_t size, int64_t from, log_batch_t **batch);

#endif
