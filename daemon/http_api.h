/* http_api.h -- the two HTTP listeners: callers, and administration
 *
 * They have threads of their own, so that callers that wait never delay
 * health, metrics and administration.
 */
#ifndef DAEMON_HTTP_API_H
#define DAEMON_HTTP_API_H

#include "daemon/daemon.h"

/* Starts both listeners and adds a part that keeps a stopping daemon running
 * until the last request has its answer.  JOB and BURN are parts of DAEMON.  Returns 0,
 * or ERROR_IO with the address that cannot be listened on in
 * *ADDRESS. */
int http_api_start (daemon_t *daemon, part_t *job, part_t *burn, const char **address);

#endif
