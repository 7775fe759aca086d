/* entry.h -- which entries of the directory describe a usable endpoint
 *
 * The directory may contain entries of other writers.  An entry that breaks one of the bounds below
 * describes no endpoint.  Entries are checked wherever they enter a host: from the directory and
 * from other hosts.  Pure functions; any thread.
 */
#ifndef EXECUTOR_ENTRY_H
#define EXECUTOR_ENTRY_H

#include "executor/executor.h"

/* Longest id, address, service, kind, rack or shard, without the terminating NUL. */
#define ENTRY_TEXT_MAX_BYTES 256
/* Upper bounds of the capacity of one endpoint. */
#define ENTRY_CORES_MAX_MILLI INT64_C (100000000)
#define ENTRY_MEMORY_MAX_MB (INT64_C (1) << 32)
#define ENTRY_GPUS_MAX INT64_C (100000)
/* Integers up to this one are exact in every JSON implementation. */
#define ENTRY_INTEGER_MAX (INT64_C (1) << 53)

/* Returns true if ENDPOINT of SHARD can be used:
 *
 *   id              printable ASCII without spaces, since it is sent in an HTTP header
 *   address         IPv4:port of one host
 *   service, shard  UTF-8 without control characters, not empty
 *   kind, rack      UTF-8 without control characters, possibly empty
 *   free            from 0 to the upper bounds above
 *   started_at_ms   from 0 (unknown) to ENTRY_INTEGER_MAX
 *
 * No text is longer than ENTRY_TEXT_MAX_BYTES.  Any text may be NULL, which is not usable. */
bool entry_is_usable (const char *shard, const executor_endpoint_t *endpoint);

#endif
