/* transition.h -- one change of the view, as seen by a replica
 *
 * Records which old replicas have handed over and derives from it whether all
 * earlier grants of a key are known.  No I/O; single-threaded.
 */
#ifndef CLAIM_TRANSITION_H
#define CLAIM_TRANSITION_H

#include "claim/claim.h"

typedef struct
{
  view_t *from; /* the old view; NULL if TO is the first view or FROM is not known */
  view_t *to;
  bool closed;               /* waits for no more hand-overs; TO may be handed over */
  uint64_t handed_over;      /* mask of slots of FROM that handed over to this replica */
  uint64_t fully_pulled;     /* mask of slots of TO that have pulled all keys of this replica */
  uint64_t departed;         /* mask of slots of FROM whose occupants are not in the current view */
  int64_t departed_since_ms; /* boot clock; time of the last change of DEPARTED */
  int64_t started_ms;        /* boot clock */
  int64_t sealed_at_ms; /* wall clock; latest time at which a slot in HANDED_OVER had sealed FROM */
  int64_t next_pull_ms; /* boot clock */
  uint64_t pull_cursors[VIEW_SLOTS_MAX];
} transition_t;

/* Whether earlier grants of a key are known to this replica. */
typedef enum
{
  KEY_COMPLETE,  /* all earlier grants are known, or its issue time rules them out */
  KEY_PENDING,   /* more hand-overs are due */
  KEY_UNCERTAIN, /* old replicas that may have granted it are lost */
} key_state_t;

/* Starts a transition from FROM, which may be NULL, to TO; both are referenced. */
transition_t *transition_new (view_t *from, view_t *to, claim_time_t now);
void transition_free (transition_t *transition);

/* Merges the slot epochs of VIEW, another state of FROM or TO, after a slot
 * transfer.  Sets FROM if it was unknown and VIEW is the view before TO. */
void transition_merge_view (transition_t *transition, view_t *view);

/* Updates the departed slots.  VIEW is the current view: TO or a later one. */
void transition_update_departed (transition_t *transition, const view_t *view, int64_t now_ms);

/* Returns true if SLOT of FROM is given up: it has not handed over, and either its
 * occupant left the current view longer than the hand-over timeout ago or the
 * transition is closed. */
bool transition_lost (const transition_t *transition,
                      int32_t slot,
                      const claim_limits_t *limits,
                      int64_t now_ms);

/* Returns the latest issue time (wall clock) of keys that replicas of FROM which
 * have not handed over can have granted.
 *
 * A replica grants only for a limited time after contact, that is, after reading
 * the end of the log or hearing from a majority of FROM whose replicas have not
 * sealed FROM.  If fewer than a majority of FROM can still be unsealed, contact
 * ends at the latest contact_timeout_ms after the change of the view and the last
 * seal.  Otherwise an isolated majority may go on granting, and
 * isolation_timeout_ms is the bound.  Twice the clock skew is added because the
 * issue time may be ahead of the granting replica's clock, and that clock ahead
 * of the clocks behind sealed_at_ms. */
int64_t transition_max_issued_at_ms (const transition_t *transition, const claim_limits_t *limits);

/* Returns the state of KEY with respect to this transition only. */
key_state_t transition_key_state (const transition_t *transition,
                                  const char *key,
                                  int64_t issued_at_ms,
                                  const claim_limits_t *limits,
                                  int64_t now_ms);

/* Closes the transition if all keys are complete, if all slots that have not handed
 * over are lost, or if it has been open for too long.  The last condition prevents
 * replicas from waiting for each other for ever.  Returns true if this call closed
 * it. */
bool transition_close (transition_t *transition, const claim_limits_t *limits, int64_t now_ms);

/* Closes the transition if its old view has been unknown for too long.  Returns
 * true if this call closed it. */
bool
transition_close_unknown (transition_t *transition, const claim_limits_t *limits, int64_t now_ms);

/* Closes the transition and marks all slots as handed over, after a slot transfer:
 * the leaving replica had received all hand-overs and has passed on its keys. */
void transition_mark_complete (transition_t *transition);

/* Returns the number of slots of FROM that have not handed over.  If FROM is NULL,
 * returns 1 until the transition is closed, then 0. */
int32_t transition_missing_count (const transition_t *transition);

/* Returns true if so many slots are missing that a key may lack a majority of its
 * old replicas. */
bool transition_has_loss (const transition_t *transition);

/* Returns true if KEY may have been granted by the replicas lost in LOSS. */
bool claim_loss_covers (const claim_loss_t *loss, const char *key, int64_t issued_at_ms);

#endif
