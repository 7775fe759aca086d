/* daemon.h -- the control thread of jaytraild
 *
 * The thread that calls daemon_run () is the control thread.  It runs closures,
 * frames and peer events from one queue, and the ticks of the parts, until the
 * daemon has stopped.  The functions for parts are in part.h.
 */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "daemon/part.h"
#include "settings/settings.h"
#include "wire/net.h"

/* Creates the daemon without starting anything.  SETTINGS must outlive it. */
daemon_t *daemon_new (const settings_t *settings);

/* Starts the peer listener and the connections to other hosts.  Returns 0, or
 * ERROR_IO if the listener's address is in use. */
int daemon_listen (daemon_t *daemon);

/* Runs until the daemon has stopped gracefully, its stop deadline has passed, or
 * daemon_drain () was called a second time.  Returns 0 if all parts were drained,
 * else ERROR_TIMEOUT. */
int daemon_run (daemon_t *daemon);

/* Begins a graceful stop.  A second call stops the daemon at once.  Any thread. */
void daemon_drain (daemon_t *daemon);

/* Builds the body of GET /v1/status, which the caller owns.  Control thread. */
json_object *daemon_status (daemon_t *daemon);

/* For tests: drops traffic from (IN) and to (OUT) the hosts of DATA_CENTRE; see
 * net_set_partition ().  Any thread. */
void daemon_block_traffic (daemon_t *daemon, const char *data_centre, bool in, bool out);

#endif
