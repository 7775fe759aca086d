/* diff.h -- the edits that lead from one state to whole lists; pure, any thread */
#ifndef CONFIG_DIFF_H
#define CONFIG_DIFF_H

#include "config/fold.h"

/* The edits that lead from the state of FOLD to LISTS, by config_kind_t: a
 * list that is NULL stays as it is, entries that are absent from a list are
 * removed, entries that are the same are no edits.  The caller frees them. */
config_edits_t *config_diff (const config_fold_t *fold,
                             GPtrArray *const lists[CONFIG_KINDS],
                             const config_id_t *id);

#endif
