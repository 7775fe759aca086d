/* replica.h -- a replica of idempotency keys: grants, hand-over, slot transfer
 *
 * A replica occupies a slot of its data centre's view and stores the keys whose
 * three replicas include that slot.  Once a view is replaced, its replicas grant
 * no more keys in it, and the replicas of the new view pull the stored keys from
 * them.  A key can be granted in the new view once a majority of its old
 * replicas has handed over.
 *
 * No I/O and no clocks: events and times in, actions out.  Single-threaded.
 */
#ifndef CLAIM_REPLICA_H
#define CLAIM_REPLICA_H

#include "claim/claim.h"

typedef struct claim_replica_t claim_replica_t;

typedef enum
{
  REPLICA_MESSAGE, /* MSG from FROM */
  REPLICA_VIEW,    /* VIEW is the current view, BASE the one before it, or NULL */
  REPLICA_CONTACT, /* grants are allowed until CONTACT_UNTIL_MS (boot clock) */
  REPLICA_TICK,
  REPLICA_TRANSFER_SLOT /* stop granting and offer this replica's slot to host SUCCESSOR */
} replica_event_kind_t;

typedef struct
{
  replica_event_kind_t kind;
  member_t *from;
  const claim_msg_t *msg;
  view_t *view;
  view_t *base;
  int64_t contact_until_ms;
  const char *successor;
} replica_event_t;

/* SELF is referenced; RULES and LIMITS are copied. */
claim_replica_t *
claim_replica_new (member_t *self, const claim_rules_t *rules, const claim_limits_t *limits);
void claim_replica_free (claim_replica_t *replica);

/* Handles one event and appends claim_action_t pointers to ACTIONS.  Ignores
 * messages that are not addressed to replicas. */
void claim_replica_step (claim_replica_t *replica,
                         const replica_event_t *event,
                         claim_time_t now,
                         GPtrArray *actions);

typedef struct
{
  int64_t keys;          /* keys stored */
  int64_t contested;     /* keys with several claimants */
  int64_t losses;        /* number of claim_loss_t, sets of uncertain keys */
  int64_t handovers_due; /* hand-overs of old replicas still expected */
  bool view_complete;    /* the hand-over to the current view is complete or was closed */
  bool slot_transferred; /* this replica has transferred its slot */
} replica_status_t;
void claim_replica_status (const claim_replica_t *replica, replica_status_t *status);

/* Returns true if the replicas of the current view need nothing more from this
 * replica: it was not in the previous view, or every slot of the current view has
 * pulled all its keys from it. */
bool claim_replica_handed_over (const claim_replica_t *replica);

#endif
