/* config_poll.h -- the threads that talk to the platform for the configuration part
 *
 * Control thread only; the results come back on it by daemon_post ().
 */
#ifndef DAEMON_CONFIG_POLL_H
#define DAEMON_CONFIG_POLL_H

#include "daemon/part.h"
#include "platform/hosts.h"
#include "platform/platform.h"

/* What one request to the platform gave. */
typedef struct
{
  int result;
  int64_t sent_at_ms;    /* boot clock */
  log_batch_t *batch;    /* of a read of a stream */
  GPtrArray *hosts;      /* of the list of hosts; NULL if its digest is the one asked with */
  uint64_t hosts_digest; /* hosts_list_digest () */
} config_poll_result_t;

typedef void (*config_poll_done_t) (const config_poll_result_t *result, void *data);

typedef struct config_poll_t config_poll_t;

/* A thread that reads STREAM, or the list of hosts if STREAM is NULL.  DONE
 * runs after each request. */
config_poll_t *
config_poll_new (daemon_t *daemon, const char *stream, config_poll_done_t done, void *data);

/* Sends one request, from offset FROM; for the list of hosts, FROM is the digest
 * of the list in force.  Returns false, and does nothing, while
 * the thread is busy or waits before a retry. */
bool config_poll_start (config_poll_t *poll, int64_t position);

/* Threads that append. */
typedef struct config_append_t config_append_t;
config_append_t *config_append_new (daemon_t *daemon);
void config_append_start (config_append_t *append,
                          const char *stream,
                          const void *data,
                          size_t size,
                          void (*done) (int result, int64_t offset, void *user),
                          void *user);

#endif
