/* front.h -- the two HTTP listeners: callers, and administration
 *
 * They have threads of their own, so that callers that wait never delay
 * health, metrics and administration.
 */
#ifndef DAEMON_FRONT_H
#define DAEMON_FRONT_H

#include "daemon/daemon.h"

/* Starts both listeners and adds a part that keeps a stopping daemon running
 * until the last request has its answer.  JOB and BURN are parts of DAEMON.  Returns 0,
 * or ERROR_IO with the address that cannot be listened on in
 * *ADDRESS. */
int front_start (daemon_t *daemon, part_t *job, part_t *burn, const char **address);

#endif
