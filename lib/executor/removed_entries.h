/* removed_entries.h -- endpoints whose entries were removed from the directory a short time ago
 *
 * The entry of an endpoint can be missing although the endpoint is alive and runs tasks: because
 * the endpoint cannot reach the log, or because its entry expired while the log was unavailable.
 * Its owner goes on tracking those runs.  A host that becomes the owner meanwhile does not find the
 * endpoint in the directory; from this list it learns that it must ask that endpoint, too, before
 * it takes a task for one that runs nowhere.
 *
 * Times are milliseconds of the boot clock.  Entries are copied.  Not thread-safe.
 */
#ifndef EXECUTOR_REMOVED_ENTRIES_H
#define EXECUTOR_REMOVED_ENTRIES_H

#include "executor/executor_msg.h"

typedef struct removed_entries_t removed_entries_t;

/* An entry is kept for this long after its removal, which is longer than most tasks run. */
#define REMOVED_ENTRY_RETENTION_MS 15000

removed_entries_t *removed_entries_new (void);
void removed_entries_free (removed_entries_t *entries);

/* Adds ENTRY, which was removed at NOW_MS, or replaces the one with its id. */
void
removed_entries_add (removed_entries_t *entries, const executor_entry_t *entry, int64_t now_ms);

/* Records that the directory has an entry of endpoint ID again. */
void removed_entries_forget (removed_entries_t *entries, const char *id);

/* Returns the entry of endpoint ID, which is valid until the next call; NULL if there is none. */
const executor_entry_t *removed_entries_find (const removed_entries_t *entries, const char *id);

/* Calls VISIT for each entry of SHARD that has not expired at NOW_MS, and drops those of all shards
 * that have.  VISIT must not change ENTRIES. */
void removed_entries_foreach (removed_entries_t *entries,
                              const char *shard,
                              int64_t now_ms,
                              void (*visit) (const executor_entry_t *entry, void *data),
                              void *data);

#endif
