/* part_view.h -- the view of this host's data centre, and the hosts of others
 *
 * Control thread only.
 */
#ifndef DAEMON_PART_VIEW_H
#define DAEMON_PART_VIEW_H

#include "daemon/part.h"

/* CONFIG is the configuration part, which carries the "views" stream. */
part_t *part_view_new (daemon_t *daemon, part_t *config);

/* Ids of the live members of this data centre, sorted, this host included.
 * Pointers belong to the part and are valid until the next tick. */
GPtrArray *part_view_members (part_t *part);

/* Number of the view in force; 0 before the first. */
int64_t part_view_number (part_t *part);

#endif
