/* front.h -- the two HTTP listeners: callers, and administration
 *
 * They have threads of their own, so that callers that wait never delay
 * health, metrics and administration.
 */
#ifndef DAEMON_FRONT_H
#define DAEMON_FRONT_H

#include "daemon/daemon.h"

typedef struct front_t front_t;

/* Starts both listeners.  JOB and BURN are parts of DAEMON.  Returns 0 and
 * *FRONT, or ERROR_IO with the address that cannot be listened on in
 * *ADDRESS. */
int
front_start (daemon_t *daemon, part_t *job, part_t *burn, front_t **front, const char **address);

/* Stops both, after the requests that run. */
void front_stop (front_t *front);

#endif
