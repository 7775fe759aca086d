/* roster.h -- which hosts there are, and which of them are the hubs of their data centre
 *
 * Every host ranks the hosts of each data centre alike, by their power and a hash.  The first few
 * that are there are its hubs: every host keeps a connection to all hubs, so that the number
 * of connections and beats does not grow with the square of the hosts.  A host that was counted
 * on and is not heard makes way for the next.  Few hosts are all hubs.
 *
 * Pure; not thread-safe.  Names are interned.
 */
#ifndef CREW_ROSTER_H
#define CREW_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct roster_t roster_t;

/* A place that no host has. */
#define ROSTER_ABSENT INT32_MAX

/* HOST is this one; HUBS of each data centre are chosen. */
roster_t *roster_new (const char *host, const char *data_centre, int32_t power, int32_t hubs);
void roster_free (roster_t *roster);

/* HOST exists, whether it can be heard or not. */
void roster_know (roster_t *roster, const char *host, const char *data_centre, int32_t power);

/* HOST is heard from now on, or no longer. */
void roster_set_present (roster_t *roster, const char *host, bool present, int64_t now_ms);

/* Ranks anew.  Call every few hundred milliseconds, and after changes that matter. */
void roster_rank (roster_t *roster, int64_t now_ms);

/* How many hosts of its data centre go before HOST; ROSTER_ABSENT if it is not there. */
int32_t roster_place (const roster_t *roster, const char *host);

/* HOST is a hub, or may be one if it can be heard. */
bool roster_is_hub (const roster_t *roster, const char *host);

/* All hosts are hubs. */
bool roster_is_small (const roster_t *roster);

/* How many hosts are known, this one included. */
int32_t roster_hosts (const roster_t *roster);

#endif
