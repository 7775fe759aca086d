/* platform.h -- client of the platform's log and list of hosts, over CivetWeb
 *
 * Every call blocks its thread for at most TIMEOUT_MS, also where the platform
 * goes silent in the middle of an answer, and for about ten seconds more where
 * a connect is not answered.  After a failed call the next one goes to the next
 * address of the list.
 *
 * A client belongs to one thread at a time.
 */
#ifndef PLATFORM_PLATFORM_H
#define PLATFORM_PLATFORM_H

#include "platform/batch.h"

#include <stdint.h>

/* Bounds what one answer makes this process allocate. */
#define PLATFORM_ANSWER_MAX_BYTES (64u * 1024 * 1024)

/* Default timeouts: of an append or a list, and what a read may take beyond
 * its long poll. */
#define PLATFORM_TIMEOUT_MS 5000

/* Delay before a retry: doubles from MIN to MAX, of which a random half is
 * taken off so that hosts do not retry in step. */
#define PLATFORM_RETRY_MIN_MS 100
#define PLATFORM_RETRY_MAX_MS 2000

typedef struct platform_client_t platform_client_t;

/* ADDRESSES (IP:port, ended by NULL, at least one) and DATA_CENTRE, which may
 * be NULL, are copied.  SEED chooses the first address and the jitter. */
platform_client_t *
platform_client_new (const char *const *addresses, const char *data_centre, uint32_t seed);
void platform_client_free (platform_client_t *client);

/* The errors of the three calls: ERROR_NOT_CONNECTED if no connection could be
 * made, so that nothing has taken effect; ERROR_TIMEOUT; ERROR_IO;
 * ERROR_TOO_LARGE; or ERROR_PROTOCOL, all of which leave open whether an append took effect. */

/* Appends SIZE bytes to STREAM. */
int platform_append (platform_client_t *client,
                     const char *stream,
                     const void *data,
                     size_t size,
                     int64_t timeout_ms,
                     int64_t *offset);

/* Reads STREAM from offset FROM; waits up to WAIT_MS for a record.  TIMEOUT_MS
 * should be longer than WAIT_MS.  The caller frees *BATCH. */
int platform_read (platform_client_t *client,
                   const char *stream,
                   int64_t from,
                   int64_t wait_ms,
                   int64_t timeout_ms,
                   log_batch_t **batch);

/* Gets the body of the list of hosts, for hosts_parse (). */
int platform_hosts (platform_client_t *client, int64_t timeout_ms, GBytes **body);

/* How long to wait before the next call: 0 after a success. */
int64_t platform_retry_ms (platform_client_t *client);

#endif
