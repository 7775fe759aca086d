/* diff.h -- computes the edits that turn the current configuration into given lists
 *
 * The function has no shared state and may be called from any thread; REPLICA
 * must not change during the call.
 */
#ifndef CONFIG_DIFF_H
#define CONFIG_DIFF_H

#include "config/replica.h"

/* Returns a publication with ID that turns the state of REPLICA into LISTS,
 * arrays of config_entry_t indexed by config_kind_t.  A list that is NULL is left
 * unchanged; entries that are missing from a list are removed; unchanged entries
 * produce no edits.  The caller frees the result (config_edits_free). */
config_edits_t *config_diff (const config_replica_t *replica,
                             GPtrArray *const lists[CONFIG_KINDS],
                             const config_publication_id_t *id);

#endif
