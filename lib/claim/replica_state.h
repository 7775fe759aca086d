/* replica_state.h -- a replica's state, private to replica.c and handover.c */
#ifndef CLAIM_REPLICA_STATE_H
#define CLAIM_REPLICA_STATE_H

#include "claim/key_table.h"
#include "claim/replica.h"
#include "claim/transition.h"

/* A seat that this replica is about to take over. */
typedef struct
{
  member_t *source; /* NULL: none */
  char *seat;
  uint64_t cursor;
  bool complete; /* all keys are here */
  int64_t retry_at_ms;
} seat_takeover_t;

struct claim_replica_t
{
  member_t *self;
  claim_rules_t rules;
  claim_limits_t limits;
  key_table_t *keys;
  view_t *view;
  GPtrArray *transitions; /* transition_t, oldest first; the last one leads to VIEW */
  GArray *losses;         /* claim_loss_t */
  int64_t contact_until_ms;
  int64_t expired_until_ms;
  char *successor; /* offered this replica's seat; it grants no more */
  bool seat_transferred;
  int64_t next_offer_ms;
  seat_takeover_t takeover;
};

/* The transition to view NUMBER, or NULL. */
transition_t *replica_transition (const claim_replica_t *replica, int64_t number);

/* True if this replica knows all keys that it should in view NUMBER. */
bool replica_is_complete (const claim_replica_t *replica, int64_t number);

/* Counts its own keys as handed over, and closes what is complete. */
void replica_update_transitions (claim_replica_t *replica, claim_time_t now);

/* Asks for what is due. */
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

/* Passing a seat on, in seat_transfer.c. */
void replica_seat_clear (claim_replica_t *replica);
void replica_seat_start_transfer (claim_replica_t *replica, const char *successor);
void replica_seat_tick (claim_replica_t *replica, claim_time_t now, GPtrArray *actions);
void replica_seat_batch (claim_replica_t *replica,
                         member_t *from,
                         const claim_batch_t *batch,
                         claim_time_t now,
                         GPtrArray *actions);
void replica_on_seat_message (claim_replica_t *replica,
                              member_t *from,
                              const claim_msg_t *msg,
                              claim_time_t now,
                              GPtrArray *actions);
/* True if FROM may pull the seat that this replica is leaving. */
bool replica_seat_may_pull (const claim_replica_t *replica,
                            const member_t *from,
                            const claim_pull_t *pull);

/* Adds the keys, losses and horizon of BATCH to this replica's. */
void replica_merge_batch (claim_replica_t *replica, const claim_batch_t *batch);

/* Adopts a newer state of the view in force. */
void replica_merge_view (claim_replica_t *replica, view_t *view);

#endif
