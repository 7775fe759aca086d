/* replica.h -- a replica of the configuration, built from the records of the log
 *
 * Replicas that apply the same records in the order of their offsets reach the
 * same state, by these rules:
 *
 * - A publication is accepted if none of its entries has changed after the base
 *   offset of its edit.  Otherwise all of it is rejected, on every replica.
 * - Copies of a publication that was applied before are ignored: the outcome of
 *   the first copy stands.
 * - The state never returns to a lower offset: records before its offset and
 *   checkpoints of an earlier state are ignored.
 * - If the log dropped records before they were read, the state stays unchanged,
 *   and later records are deferred until a checkpoint covers the lost ones.
 *
 * The number of publication ids and tombstones kept is bounded.  An edit can be
 * rejected because a tombstone was evicted, but is never accepted because of it.
 *
 * The module performs no I/O.  A replica must be used by one thread at a time.
 */
#ifndef CONFIG_REPLICA_H
#define CONFIG_REPLICA_H

#include "config/record.h"

/* Outcomes of publications and tombstones of removed entries that are kept. */
#define CONFIG_OUTCOMES_MAX 256
#define CONFIG_TOMBSTONES_MAX 1024
/* Records that are deferred until a checkpoint arrives; beyond this number the
 * oldest ones are dropped and count as lost. */
#define CONFIG_DEFERRED_MAX 65536

/* The first three rules above, in the same order.  Each can be disabled, so that
 * tests can show that a missing rule is detected. */
typedef struct
{
  bool check_base;
  bool check_id;
  bool check_offset;
} config_rules_t;

/* All rules enabled. */
extern const config_rules_t config_rules_all;

/* What became of a record. */
typedef enum
{
  CONFIG_APPLY_ACCEPTED,
  CONFIG_APPLY_CONFLICT,   /* rejected: an entry has changed after its base offset */
  CONFIG_APPLY_DUPLICATE,  /* ignored: a copy of a publication that was applied before */
  CONFIG_APPLY_STALE,      /* ignored: before the offset of the state */
  CONFIG_APPLY_MALFORMED,  /* skipped */
  CONFIG_APPLY_CHECKPOINT, /* a checkpoint; it may have replaced the state */
  CONFIG_APPLY_DEFERRED,   /* kept until a checkpoint arrives */
  CONFIG_APPLY_RESULTS
} config_apply_result_t;

typedef struct config_replica_t config_replica_t;

config_replica_t *config_replica_new (const config_rules_t *rules);
/* REPLICA may be NULL. */
void config_replica_free (config_replica_t *replica);

/* Applies the record at OFFSET.  Records must be passed in the order of their
 * offsets, without gaps other than those reported by
 * config_replica_records_lost (). */
config_apply_result_t
config_replica_apply (config_replica_t *replica, int64_t offset, const void *data, size_t size);

/* Reports that the log has dropped the records before FIRST_OFFSET. */
void config_replica_records_lost (config_replica_t *replica, int64_t first_offset);

/* Replaces the state by the checkpoint record DATA, which a peer has sent.
 * Returns 0, ERROR_STALE_BASE if the checkpoint is not newer than the state or
 * does not cover the lost records, or ERROR_PROTOCOL. */
int config_replica_load_checkpoint (config_replica_t *replica, const void *data, size_t size);

/* True while records are missing that no checkpoint has covered. */
bool config_replica_is_incomplete (const config_replica_t *replica);

/* True once a publication has been accepted or a checkpoint has replaced the
 * state. */
bool config_replica_has_state (const config_replica_t *replica);

/* The state results from all records before this offset. */
int64_t config_replica_next_offset (const config_replica_t *replica);

/* Offset of the last checkpoint found in the log, -1 for none. */
int64_t config_replica_checkpoint_offset (const config_replica_t *replica);

/* The state.  Valid until the next change of the replica unless the caller
 * takes a reference. */
config_t *config_replica_config (const config_replica_t *replica);

/* Encodes the state as a checkpoint record, which the caller frees
 * (g_bytes_unref). */
GBytes *config_replica_encode_checkpoint (const config_replica_t *replica);

/* Finds the outcome of publication ID.  Returns false if it was not applied or
 * is no longer kept. */
bool config_replica_find_outcome (const config_replica_t *replica,
                                  const config_publication_id_t *id,
                                  config_outcome_t *outcome);

/* The base offset with which an edit of this entry would be accepted now. */
int64_t
config_replica_base_offset (const config_replica_t *replica, config_kind_t kind, const char *name);

/* True if the entry of EDIT may have changed after the edit's base offset. */
bool config_replica_is_stale (const config_replica_t *replica, const config_edit_t *edit);

/* Number of records with RESULT so far. */
int64_t config_replica_count (const config_replica_t *replica, config_apply_result_t result);

#endif
