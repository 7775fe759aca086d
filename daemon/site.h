/* site.h -- jaytraild on the users' machines: one loop that serves callers and owns endpoints
 *
 * A site_t wires lib/scheduler (coordinator), lib/executor (owner), lib/cluster (hosts) and the
 * adapter in platform/.  All of it runs on one thread; connections to other hosts
 * have one of their own and post what they read.
 */
#ifndef DAEMON_SITE_H
#define DAEMON_SITE_H

#include "platform/settings.h"

/* Runs with SETTINGS, which were read from FILE, until it is stopped by SIGTERM; bounds that change
 * in the file are followed.  Returns 0 after a graceful stop, ERROR_IO if it
 * cannot listen. */
int site_run (platform_settings_t *settings, const char *file);

#endif
