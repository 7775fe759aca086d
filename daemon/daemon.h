/* daemon.h -- the control thread of jaytraild
 *
 * daemon_run () is the control thread: it takes closures, frames and peer
 * events from one queue, runs the parts' ticks, and returns after a graceful
 * stop.  What parts may call is in part.h.
 */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "daemon/part.h"
#include "settings/settings.h"
#include "wire/net.h"

/* Makes the daemon; SETTINGS must outlive it.  Nothing runs yet. */
daemon_t *daemon_new (const settings_t *settings);

/* Starts the connections to other hosts.  Returns 0, or ERROR_IO if the peer
 * listener's address is taken. */
int daemon_listen (daemon_t *daemon);

/* Runs on the calling thread until the daemon has stopped gracefully, its stop
 * deadline has passed, or daemon_stop_now () was called.  Returns 0 if all parts
 * were drained, else ERROR_TIMEOUT. */
int daemon_run (daemon_t *daemon);

/* Begins a graceful stop; a second call ends the daemon at once.  Any thread. */
void daemon_drain (daemon_t *daemon);

/* Builds GET /v1/status.  Control thread. */
json_object *daemon_status (daemon_t *daemon);

/* Test switch; see net_cut ().  Any thread. */
void daemon_block_traffic (daemon_t *daemon, const char *data_centre, bool in, bool out);

#endif
