/* replica.h -- a replica of idempotency keys: grants, hand-over, seat passing
 *
 * A replica occupies a seat of its data centre's view and remembers the keys
 * whose three replicas include that seat.  When a view is replaced, the replica
 * grants nothing more in it, and the replicas of the new view pull the keys of
 * the old ones.  A key can be granted in the new view once a majority of its
 * old replicas has handed over.
 *
 * Pure: events and times in, actions out.  One thread.
 */
#ifndef CLAIM_REPLICA_H
#define CLAIM_REPLICA_H

#include "claim/claim.h"

typedef struct claim_replica_t claim_replica_t;

typedef enum
{
  REPLICA_MESSAGE, /* MSG from FROM */
  REPLICA_VIEW,    /* VIEW is the view in force, BASE the one before it if known */
  REPLICA_CONTACT, /* grants are allowed up to CONTACT_UNTIL_MS (boot clock) */
  REPLICA_TICK,
  REPLICA_TRANSFER_SEAT /* offer this replica's seat to host SUCCESSOR and stop granting */
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

/* SELF is referenced. */
claim_replica_t *
claim_replica_new (member_t *self, const claim_rules_t *rules, const claim_limits_t *limits);
void claim_replica_free (claim_replica_t *replica);

/* Takes one event; appends claim_action_t pointers to ACTIONS.  Messages of
 * other types than a replica's are ignored. */
void claim_replica_step (claim_replica_t *replica,
                         const replica_event_t *event,
                         claim_time_t now,
                         GPtrArray *actions);

typedef struct
{
  int64_t keys;
  int64_t contested;
  int64_t losses;        /* sets of keys that are uncertain */
  int64_t handovers_due; /* old replicas that have not handed over yet */
  bool view_complete;    /* this replica may vouch for the current view */
  bool seat_transferred; /* the seat was passed on */
} replica_status_t;
void claim_replica_status (const claim_replica_t *replica, replica_status_t *status);

/* True once nobody in the current view needs anything from this replica, which
 * has left it: every seat has pulled. */
bool claim_replica_handed_over (const claim_replica_t *replica);

#endif
