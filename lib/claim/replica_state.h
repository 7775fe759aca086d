/* replica_state.h -- state of a replica and functions shared by its source files
 *
 * Private to replica.c, handover.c and slot_transfer.c.
 */
#ifndef CLAIM_REPLICA_STATE_H
#define CLAIM_REPLICA_STATE_H

#include "claim/key_table.h"
#include "claim/replica.h"
#include "claim/transition.h"

/* A slot that is being transferred to this replica. */
typedef struct
{
  member_t *source; /* the leaving replica; NULL if there is no transfer */
  char *slot;
  uint64_t cursor;     /* of the next pull */
  bool complete;       /* all keys of the slot were received */
  int64_t retry_at_ms; /* boot clock */
} slot_takeover_t;

struct claim_replica_t
{
  member_t *self;
  claim_rules_t rules;
  claim_limits_t limits;
  key_table_t *keys;
  view_t *view;
  GPtrArray *transitions;   /* transition_t, oldest first; the last one is to VIEW */
  GArray *losses;           /* claim_loss_t */
  int64_t contact_until_ms; /* boot clock; grants are allowed until then */
  int64_t expired_until_ms; /* wall clock; keys issued up to then may have been removed */
  char *successor;          /* host that is offered the slot, or NULL; if set, nothing is granted */
  bool slot_transferred;
  int64_t next_offer_ms; /* boot clock */
  slot_takeover_t takeover;
};

/* Returns the transition to view NUMBER, or NULL. */
transition_t *replica_transition (const claim_replica_t *replica, int64_t number);

/* Returns true if this replica may hand over view NUMBER, because the hand-over to
 * it was closed. */
bool replica_is_complete (const claim_replica_t *replica, int64_t number);

/* Marks this replica's own slot as handed over and closes the transitions that are
 * complete or have waited long enough. */
void replica_update_transitions (claim_replica_t *replica, claim_time_t now);

/* Sends the pulls that are due. */
void replica_send_pulls (claim_replica_t *replica, claim_time_t now, GPtrArray *actions);

void replica_on_pull (claim_replica_t *replica,
                      member_t *from,
                      const claim_pull_t *pull,
                      claim_time_t now,
                      GPtrArray *actions);
void replica_on_batch (claim_replica_t *replica,
                       member_t *from,
                       const claim_batch_t *batch,
                       claim_time_t now,
                       GPtrArray *actions);

/* Slot transfer, in slot_transfer.c. */
void replica_slot_clear (claim_replica_t *replica);
void replica_slot_start_transfer (claim_replica_t *replica, const char *successor);
void replica_slot_tick (claim_replica_t *replica, claim_time_t now, GPtrArray *actions);
void replica_slot_batch (claim_replica_t *replica,
                         member_t *from,
                         const claim_batch_t *batch,
                         claim_time_t now,
                         GPtrArray *actions);
void replica_on_slot_message (claim_replica_t *replica,
                              member_t *from,
                              const claim_msg_t *msg,
                              claim_time_t now,
                              GPtrArray *actions);
/* Returns true if FROM may pull the keys of the slot that this replica is leaving. */
bool replica_slot_may_pull (const claim_replica_t *replica,
                            const member_t *from,
                            const claim_pull_t *pull);

/* Merges the keys, losses and expiry time of BATCH into this replica's state. */
void replica_merge_batch (claim_replica_t *replica, const claim_batch_t *batch);

/* Merges the slot epochs of VIEW into the current view and the transitions that
 * have the same view. */
void replica_merge_view (claim_replica_t *replica, view_t *view);

#endif
