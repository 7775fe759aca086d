/* config_poll.h -- threads for requests to the platform: log reads, host lists and appends
 *
 * The functions are called on the control thread and never block.  Requests run
 * on threads of this module; the callbacks run on the control thread, by
 * daemon_post ().  Times are in milliseconds on the boot clock.
 */
#ifndef DAEMON_CONFIG_POLL_H
#define DAEMON_CONFIG_POLL_H

#include "daemon/part.h"
#include "platform/hosts.h"
#include "platform/platform.h"

/* The result of one request.  BATCH and HOSTS are freed after the callback. */
typedef struct
{
  int result;            /* 0 or an ERROR code */
  int64_t sent_at_ms;    /* when the request began */
  log_batch_t *batch;    /* records, if a stream was read */
  GPtrArray *hosts;      /* host_t, if the list was read; NULL if it is unchanged */
  uint64_t hosts_digest; /* hosts_list_digest () of the list that was read */
} config_poll_result_t;

typedef void (*config_poll_done_t) (const config_poll_result_t *result, void *data);

typedef struct config_poll_t config_poll_t;

/* Starts a thread that reads STREAM, or the list of hosts if STREAM is NULL.
 * DONE runs after each request.  The thread runs as long as the process. */
config_poll_t *
config_poll_new (daemon_t *daemon, const char *stream, config_poll_done_t done, void *data);

/* Starts one request.  POSITION is the offset from which a stream is read; for
 * the list of hosts, it is the digest of the current list.  Returns false without
 * a request while the thread is busy or waits before the next one. */
bool config_poll_start (config_poll_t *poll, int64_t position);

/* A pool of threads that append to streams.  DONE may be NULL.  DATA is copied. */
typedef struct config_append_t config_append_t;
config_append_t *config_append_new (daemon_t *daemon);
void config_append_start (config_append_t *append,
                          const char *stream,
                          const void *data,
                          size_t size,
                          void (*done) (int result, int64_t offset, void *user),
                          void *user);

#endif
