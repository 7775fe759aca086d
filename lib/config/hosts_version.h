/* hosts_version.h -- which list of hosts is the newer one
 *
 * The platform gives its list no version.  A version here is a logical clock
 * that follows the wall clock of the host that read the list: it is above all
 * versions that the reader had seen.  So a list wins over every list that its
 * reader could know of, also where the clocks of two readers differ.
 *
 * Pure; one thread.
 */
#ifndef CONFIG_HOSTS_VERSION_H
#define CONFIG_HOSTS_VERSION_H

#include <stdbool.h>
#include <stdint.h>

/* The higher one is newer; the reader, a hash of its id, breaks ties. */
typedef struct
{
  int64_t time; /* 0 for no list */
  uint64_t reader;
} hosts_version_t;

/* Less than, equal to or greater than 0, as for strcmp (). */
int hosts_version_compare (const hosts_version_t *a, const hosts_version_t *b);

/* What one host knows of versions; begins as zeroes. */
typedef struct
{
  hosts_version_t current; /* of the list in force here */
  int64_t seen;            /* highest time of any version that came by */
} hosts_clock_t;

/* The version of a list that this host, READER, has just read. */
hosts_version_t hosts_clock_read (const hosts_clock_t *clock, int64_t wall_ms, uint64_t reader);

/* A version has come by.  Returns true if it is newer than the list in force. */
bool hosts_clock_see (hosts_clock_t *clock, const hosts_version_t *version);

/* The list of VERSION is in force from now on. */
void hosts_clock_take (hosts_clock_t *clock, const hosts_version_t *version);

#endif
