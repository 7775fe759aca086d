/* transition.h -- one change of the view, as seen by a replica
 *
 * Tells which old replicas have handed over, and so which keys are complete.
 * Pure; one thread.
 */
#ifndef CLAIM_TRANSITION_H
#define CLAIM_TRANSITION_H

#include "claim/claim.h"

typedef struct
{
  view_t *from; /* NULL: the first view, or not known yet */
  view_t *to;
  bool closed;               /* nothing more is pulled; this replica may vouch for TO */
  uint64_t handed_over;      /* seats of FROM that handed over to this replica */
  uint64_t fully_pulled;     /* seats of TO that have pulled all from this replica */
  uint64_t departed;         /* seats of FROM whose occupants are not in the newest view */
  int64_t departed_since_ms; /* boot clock: since when GONE is as it is */
  int64_t started_ms;        /* boot clock */
  int64_t sealed_at_ms;      /* wall clock: when the last of HANDED sealed FROM */
  int64_t next_pull_ms;      /* boot clock */
  uint64_t pull_cursors[VIEW_SEATS_MAX];
} transition_t;

/* What is known of a key that was not handed over. */
typedef enum
{
  KEY_COMPLETE,  /* a majority of its old replicas has handed over */
  KEY_PENDING,   /* more hand-overs are due */
  KEY_UNCERTAIN, /* its old replicas are lost and may have granted it */
} key_state_t;

transition_t *transition_new (view_t *from, view_t *to, claim_time_t now);
void transition_free (transition_t *transition);

/* A newer state of FROM or TO, with passed seats. */
void transition_merge_view (transition_t *transition, view_t *view);

/* VIEW, which is TO or a later one, is in force. */
void transition_update_departed (transition_t *transition, const view_t *view, int64_t now_ms);

/* True if seat SEAT of FROM will not hand over: its occupant is not in the
 * newest view and the wait is over, or the transition is closed. */
bool transition_lost (const transition_t *transition,
                      int32_t seat,
                      const claim_limits_t *limits,
                      int64_t now_ms);

/* Keys issued later than this (wall clock) cannot have been granted by replicas
 * of FROM that have not handed over.
 *
 * A replica grants only while its contact is fresh: it has read the log's end
 * before the change, or it hears a majority of FROM that has not sealed FROM.
 * Where fewer than a majority can be unsealed, no contact outlives the change
 * and the seals by more than the contact bound; else the bound on isolated
 * majorities holds.  A key may be issued two clock differences ahead. */
int64_t transition_max_issued_at_ms (const transition_t *transition, const claim_limits_t *limits);

/* State of KEY for this transition alone. */
key_state_t transition_key_state (const transition_t *transition,
                                  const char *key,
                                  int64_t issued_at_ms,
                                  const claim_limits_t *limits,
                                  int64_t now_ms);

/* Closes the transition if every key is complete or its missing replicas are
 * lost, or if it has been open for too long: replicas that wait for each other
 * must not do so for ever.  Returns true when it has just been closed. */
bool transition_close (transition_t *transition, const claim_limits_t *limits, int64_t now_ms);

/* Closes a transition whose old view stayed unknown for too long.  Returns true
 * when it has just been closed. */
bool
transition_close_unknown (transition_t *transition, const claim_limits_t *limits, int64_t now_ms);

/* The giver of a seat vouches for all that it knew: nothing more is due. */
void transition_mark_complete (transition_t *transition);

/* Number of seats that have not handed over. */
int32_t transition_missing_count (const transition_t *transition);

/* True if some key's majority can be among the missing. */
bool transition_has_loss (const transition_t *transition);

/* True if LOSS leaves it open whether KEY was granted. */
bool claim_loss_covers (const claim_loss_t *loss, const char *key, int64_t issued_at_ms);

#endif
