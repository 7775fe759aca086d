/* entry.h -- which entries of the directory describe a usable endpoint
 *
 * The directory may contain entries of other writers.  An entry that breaks one of the bounds below
 * describes no endpoint.  Entries are checked wherever they enter a host: from the directory and
 * from other hosts.  Pure functions; any thread.
 */
#ifndef EXECUTOR_ENTRY_H
#define EXECUTOR_ENTRY_H

#include "executor/executor.h"

/* Longest address, without the terminating NUL. */
#define ENTRY_TEXT_MAX_BYTES 256
/* Returns true if the address of ENDPOINT of SHARD is IPv4:port of one host, of at most
 * ENTRY_TEXT_MAX_BYTES, and no text is NULL. */
bool entry_is_usable (const char *shard, const executor_endpoint_t *endpoint);

#endif
