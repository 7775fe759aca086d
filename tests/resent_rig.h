/* resent_rig.h -- what tests share that play jobs which are sent again while hosts are cut off
 *
 * Real processes of the soak's rig.  Hosts are in the data centres in turn.  Not thread-safe.
 */
#ifndef TESTS_RESENT_RIG_H
#define TESTS_RESENT_RIG_H

#include "tests/soak/rig.h"

#include <stddef.h>
#include <stdint.h>

/* The proxy's rule that a cut is; proxy_end_rule () ends it. */
#define RESENT_CUT_RULE 1

/* Sleeps until AT_MS, of the boot clock. */
void resent_sleep_until (int64_t at_ms);

/* Cuts the hosts of ZONE, by its number, from all other hosts. */
void resent_cut_hosts (rig_t *rig, int zone);

/* Kills HOSTS, COUNT of them, and starts them again.  Returns whether all are ready within
 * READY_MS.
 */
bool resent_restart (rig_t *rig, const int *hosts, size_t count, int64_t ready_ms);

/* Calls PLAY for ROWS rows, each on a rig of its own with HOSTS hosts and ENDPOINTS endpoints in
 * RESENT_ZONES_MAX data centres, SETTLED_MS after its start.  Asserts that no promise of book.h is
 * broken. */
void resent_play_rows (int hosts,
                       int endpoints,
                       int64_t settled_ms,
                       size_t rows,
                       void (*play) (rig_t *rig, size_t row));

#endif
