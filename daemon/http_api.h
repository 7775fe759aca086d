/* http_api.h -- the HTTP listeners for callers and for administration
 *
 * Each listener has its own threads, so that callers that wait for answers never
 * delay health checks, metrics and administration.
 */
#ifndef DAEMON_HTTP_API_H
#define DAEMON_HTTP_API_H

#include "daemon/daemon.h"

/* Starts both listeners, and adds a part that keeps a stopping daemon running
 * until all requests of callers have been answered.  JOB and BURN are parts of
 * DAEMON.  Returns 0, or ERROR_IO with *ADDRESS set to the address on which
 * listening failed. */
int http_api_start (daemon_t *daemon, part_t *job, part_t *burn, const char **address);

#endif
