/* site.h -- the daemon of one host: serves callers, owns shards of endpoints, talks to other hosts
 *
 * Connects lib/scheduler (the coordinator of this host's jobs), lib/executor (the owner of a
 * shard), lib/cluster (the other hosts) and lib/drain with the HTTP interfaces of the platform in
 * platform/. Everything runs on the thread that calls site_run (), apart from the connections to
 * other hosts, which have a thread of their own and post what they receive to the event loop.
 */
#ifndef DAEMON_SITE_H
#define DAEMON_SITE_H

#include "platform/settings.h"

/* Runs the daemon with SETTINGS, which were read from FILE, until SIGTERM or SIGINT.  Some settings
 * follow changes of FILE, which is read again on SIGHUP and when it has changed.  Both arguments
 * must outlive the call.  Returns 0 after a graceful stop, or an error code, such as ERROR_IO, if
 * an address cannot be listened on. */
int site_run (platform_settings_t *settings, const char *file);

#endif
