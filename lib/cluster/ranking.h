/* ranking.h -- ranks the known hosts of each data centre and selects its hubs
 *
 * All hosts rank the hosts of each data centre in the same way: by CPU, then by a hash.  The first
 * few hosts that are available are the hubs of the data centre.  Every host keeps a connection to
 * all hubs, so that the number of connections and heartbeats does not grow with the square of the
 * number of hosts.  A hub that is not heard is replaced by the next host.  With few hosts, all of
 * them are hubs.
 *
 * No I/O and no clock: callers pass the time, in milliseconds of the boot clock.  The ranking
 * interns the names that it is given.  Not thread-safe.
 */
#ifndef CLUSTER_RANKING_H
#define CLUSTER_RANKING_H

#include <stdbool.h>
#include <stdint.h>

typedef struct ranking_t ranking_t;

/* The position of a host that is unknown or not available. */
#define RANKING_NO_POSITION INT32_MAX

/* HOST is this host, which is always alive.  Up to HUBS_PER_DATA_CENTRE hosts of each data centre
 * are selected as hubs.  CPU_MILLICORES is in thousandths of a core. */
ranking_t *ranking_new (const char *host,
                        const char *data_centre,
                        int32_t cpu_millicores,
                        int32_t hubs_per_data_centre);
void ranking_free (ranking_t *ranking);

/* Adds HOST, which need not be alive, or updates its data centre and CPU. */
void ranking_add_host (ranking_t *ranking,
                       const char *host,
                       const char *data_centre,
                       int32_t cpu_millicores);

/* Records that HOST is alive, or was lost.  Has no effect if HOST is unknown. */
void ranking_set_alive (ranking_t *ranking, const char *host, bool alive, int64_t now_ms);

/* Records whether HOST has said that its process ends.  Has no effect if HOST is unknown. */
void ranking_set_ended (ranking_t *ranking, const char *host, bool ended);

/* Whether HOST is known and has said that its process ends. */
bool ranking_has_ended (const ranking_t *ranking, const char *host);

/* The number of known hosts of DATA_CENTRE, which need not be alive, that have not said that their
 * processes end. */
int32_t ranking_count_hosts (const ranking_t *ranking, const char *data_centre);

/* Recomputes positions and hubs.  Call every few hundred milliseconds, and when a host was added,
 * became alive or was lost; the functions below return the state of the last call. */
void ranking_update (ranking_t *ranking, int64_t now_ms);

/* The number of available hosts of its data centre that are ranked before HOST, or
 * RANKING_NO_POSITION if HOST is unknown or not available. */
int32_t ranking_position (const ranking_t *ranking, const char *host);

/* Whether HOST is a hub, or is being contacted to become one. */
bool ranking_is_hub (const ranking_t *ranking, const char *host);

/* Whether HOST would be a hub if all known hosts were available. */
bool ranking_is_first (const ranking_t *ranking, const char *host);

/* Whether all available hosts are hubs. */
bool ranking_all_are_hubs (const ranking_t *ranking);

/* Returns a number of this host below RANGE, derived from its name.  Hosts that know the same hosts
 * get different numbers, as long as there are fewer hosts than RANGE. */
int64_t ranking_distinct_number (const ranking_t *ranking, int64_t range);

/* The number of known hosts, this one included. */
int32_t ranking_host_count (const ranking_t *ranking);

#endif
