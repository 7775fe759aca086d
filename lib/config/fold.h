/* fold.h -- folds the records of the configuration's log into its state
 *
 * Every reader that folds the same records in the order of offsets reaches the
 * same state.  Rules:
 *
 * - A publication wins if none of its entries changed after the base that its
 *   edit names; else it loses as a whole, at every reader.
 * - A publication whose id was folded before counts once: the first copy's
 *   outcome stays.
 * - State never moves to a lower offset: records before it are ignored, and so
 *   are checkpoints of an earlier state.
 * - Where records were lost to the log's retention, the state stays as it was,
 *   and later records wait until a checkpoint covers the lost ones.
 *
 * The ids and removals that are remembered are bounded; what is forgotten can
 * make an edit lose, never win.  Pure; one thread.
 */
#ifndef CONFIG_FOLD_H
#define CONFIG_FOLD_H

#include "config/record.h"

/* What is remembered: publications by id, and removed entries. */
#define CONFIG_RECENT_MAX 256
#define CONFIG_REMOVED_MAX 1024
/* Records that wait for a checkpoint. */
#define CONFIG_WAITING_MAX 65536

/* The rules can be switched off one by one, for tests of the tests only. */
typedef struct
{
  bool check_base;
  bool check_id;
  bool check_offset;
} config_rules_t;

extern const config_rules_t config_rules;

typedef enum
{
  CONFIG_FOLD_ACCEPTED,
  CONFIG_FOLD_LOST,
  CONFIG_FOLD_REPEATED,   /* a copy of a publication that counted before */
  CONFIG_FOLD_OLD,        /* before the state's offset: ignored */
  CONFIG_FOLD_MALFORMED,  /* skipped */
  CONFIG_FOLD_CHECKPOINT, /* read; it may have replaced the state */
  CONFIG_FOLD_WAITING,    /* kept until a checkpoint comes */
  CONFIG_FOLD_RESULTS
} config_fold_result_t;

typedef struct config_fold_t config_fold_t;

config_fold_t *config_fold_new (const config_rules_t *rules);
void config_fold_free (config_fold_t *fold);

/* Folds the record at OFFSET.  Records come in the order of offsets, without
 * holes other than those that config_fold_lost () tells. */
config_fold_result_t
config_fold_record (config_fold_t *fold, int64_t offset, const void *data, size_t size);

/* Records before FIRST have left the log. */
void config_fold_lost (config_fold_t *fold, int64_t first);

/* Takes the checkpoint DATA of a peer.  Returns 0, ERROR_STALE_BASE if its
 * state is not newer, or ERROR_PROTOCOL. */
int config_fold_load (config_fold_t *fold, const void *data, size_t size);

/* True while records were lost that no checkpoint has covered yet. */
bool config_fold_incomplete (const config_fold_t *fold);

/* True once a publication has been accepted, here or before a checkpoint. */
bool config_fold_has_state (const config_fold_t *fold);

/* The state follows from all records before this offset. */
int64_t config_fold_next (const config_fold_t *fold);

/* Offset of the last checkpoint seen in the log, -1 for none. */
int64_t config_fold_checkpoint_offset (const config_fold_t *fold);

/* The state; valid until the next change, or as long as it is referenced. */
config_t *config_fold_config (const config_fold_t *fold);

/* The state as a checkpoint record. */
GBytes *config_fold_checkpoint (const config_fold_t *fold);

/* Finds the outcome of a recent publication.  Returns false if ID was not
 * folded or is forgotten. */
bool
config_fold_outcome (const config_fold_t *fold, const config_id_t *id, config_recent_t *recent);

/* The base that an edit of this entry must name to win now. */
int64_t config_fold_base (const config_fold_t *fold, config_kind_t kind, const char *name);

/* True if the entry of EDIT has changed after the edit's base. */
bool config_fold_is_stale (const config_fold_t *fold, const config_edit_t *edit);

/* How many records had RESULT. */
int64_t config_fold_count (const config_fold_t *fold, config_fold_result_t result);

#endif
