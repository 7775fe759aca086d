/* hosts_version.h -- versions of the list of hosts, which order lists by age
 *
 * The platform returns its list of hosts without a version.  The host that reads
 * the list assigns one from a hybrid logical clock: the wall clock of the
 * reader, raised where necessary above every version that it has observed.  A
 * list is thus newer than every list that its reader knew of, even if the wall
 * clocks of the readers differ.
 *
 * Pure functions.  A hosts_clock_t must be used by one thread at a time.
 */
#ifndef CONFIG_HOSTS_VERSION_H
#define CONFIG_HOSTS_VERSION_H

#include <stdbool.h>
#include <stdint.h>

/* The higher version is the newer one.  For equal times, the hash of the
 * reader's host id decides. */
typedef struct
{
  int64_t time_ms; /* logical time, close to the wall clock; 0 for no list */
  uint64_t reader_hash;
} hosts_version_t;

/* Returns a value less than, equal to or greater than 0, as strcmp () does. */
int hosts_version_compare (const hosts_version_t *a, const hosts_version_t *b);

/* The logical clock of one host; initialise to zero. */
typedef struct
{
  hosts_version_t current; /* version of the list that this host uses */
  int64_t latest_time_ms;  /* highest time of all versions observed */
} hosts_clock_t;

/* Returns the version for a list that this host has just read from the platform.
 * READER_HASH is the hash of its own host id. */
hosts_version_t
hosts_clock_new_version (const hosts_clock_t *clock, int64_t wall_ms, uint64_t reader_hash);

/* Records a version that was received from a peer.  Returns true if it is newer
 * than the list in use. */
bool hosts_clock_observe (hosts_clock_t *clock, const hosts_version_t *version);

/* Records that this host now uses the list with VERSION. */
void hosts_clock_adopt (hosts_clock_t *clock, const hosts_version_t *version);

#endif
