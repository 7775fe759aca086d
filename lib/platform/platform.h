/* platform.h -- HTTP client of the platform's log and list of hosts, based on CivetWeb
 *
 * Every call blocks its thread for at most TIMEOUT_MS, even if the platform stops sending in the
 * middle of an answer.  An attempt to connect that is not answered adds about ten seconds.  After a
 * failed call the next call uses the next address of the list.
 *
 * A client must be used by one thread at a time.
 */
#ifndef PLATFORM_PLATFORM_H
#define PLATFORM_PLATFORM_H

#include "platform/batch.h"

#include <stdint.h>

/* Limits the memory that one answer can make this process allocate. */
#define PLATFORM_ANSWER_MAX_BYTES (64u * 1024 * 1024)

/* Default timeout of an append or of a request for the list of hosts, and the time that a read may
 * take in addition to its long poll. */
#define PLATFORM_TIMEOUT_MS 5000

/* Delay before a retry.  It doubles from MIN to MAX with each failure; a random part of up to half
 * is subtracted so that hosts do not retry at the same time. */
#define PLATFORM_RETRY_MIN_MS 100
#define PLATFORM_RETRY_MAX_MS 2000

typedef struct platform_client_t platform_client_t;

/* ADDRESSES is a NULL-terminated list of at least one IP:port.  DATA_CENTRE is sent with every
 * request, unless it is NULL.  Both are copied.  SEED determines the first address and the
 * jitter. */
platform_client_t *
platform_client_new (const char *const *addresses, const char *data_centre, uint32_t seed);
void platform_client_free (platform_client_t *client);

/* The calls below return 0 or an error.  ERROR_NOT_CONNECTED means that no connection was made, so
 * that the call had no effect.  After ERROR_TIMEOUT, ERROR_IO, ERROR_TOO_LARGE or ERROR_PROTOCOL it
 * is unknown whether an append took effect. */

/* Appends a record of SIZE bytes to STREAM and sets *OFFSET to its offset. */
int platform_append (platform_client_t *client,
                     const char *stream,
                     const void *data,
                     size_t size,
                     int64_t timeout_ms,
                     int64_t *offset);

/* Reads STREAM from offset FROM with a long poll that waits up to WAIT_MS for a record.  TIMEOUT_MS
 * should be longer than WAIT_MS.  The caller frees *BATCH with log_batch_free (). */
int platform_read (platform_client_t *client,
                   const char *stream,
                   int64_t from,
                   int64_t wait_ms,
                   int64_t timeout_ms,
                   log_batch_t **batch);

/* Requests the list of hosts.  *BODY is the input of hosts_parse (); the caller frees it with
 * g_bytes_unref (). */
int platform_fetch_hosts (platform_client_t *client, int64_t timeout_ms, GBytes **body);

/* Returns how long to wait before the next call; 0 after a success.  Each result has new jitter. */
int64_t platform_retry_delay_ms (platform_client_t *client);

#endif
