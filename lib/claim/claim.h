/* claim.h -- types shared by the replica and the coordinator of idempotency keys
 *
 * At most one host starts the work of a key.  A coordinator starts it only after
 * a majority of the key's replicas in one view has granted the key to it, and a
 * replica grants a key to one claimant only.  The rules in claim_rules_t keep
 * this true when messages are lost, duplicated, delayed or reordered, when hosts
 * freeze or are replaced, and when the view changes.
 *
 * The code performs no I/O and reads no clock: it takes events and times and
 * returns actions.  All times are in milliseconds.  Single-threaded.
 */
#ifndef CLAIM_CLAIM_H
#define CLAIM_CLAIM_H

#include "claim/claim_msg.h"

/* Safety rules.  Production code enables all of them; tests disable one at a
 * time to show which failure it prevents. */
typedef struct
{
  bool require_majority;         /* start only with grants of a majority of the replicas */
  bool seal_before_handover;     /* a replica stops granting in its view before it hands over */
  bool start_deadline;           /* a grant expires, measured on the boot clock */
  bool require_contact;          /* a replica grants only until its contact deadline */
  bool check_release_attempt;    /* a release does not erase a claim of a later attempt */
  bool keep_all_claimants;       /* keep all claimants handed over for a key; grant to none */
  bool require_complete_history; /* hand over a view only after receiving all of it */
} claim_rules_t;

#define CLAIM_RULES_ALL ((claim_rules_t){ true, true, true, true, true, true, true })

/* Timeouts and bounds in milliseconds.  All hosts must use the same values. */
typedef struct
{
  int64_t key_window_ms;      /* a key is stored until its issue time plus this */
  int64_t clock_skew_ms;      /* maximum difference between two wall clocks */
  int64_t start_timeout_ms;   /* time in which a granted key may be started */
  int64_t contact_timeout_ms; /* a replica may grant for this long after contact with a majority of
                                 its view or with the log */
  /* A majority that is cut off from the log and from other members of its view may
   * go on granting for this long. */
  int64_t isolation_timeout_ms;
  int64_t handover_timeout_ms; /* wait for the hand-over of a replica that left the view */
} claim_limits_t;

#define CLAIM_LIMITS_DEFAULT ((claim_limits_t){ 600000, 2000, 10000, 2000, 6000, 2000 })

/* Readings of the boot clock and the wall clock, taken together. */
typedef struct
{
  int64_t boot_ms;
  int64_t wall_ms;
} claim_time_t;

typedef enum
{
  CLAIM_ACTION_SEND,      /* send MSG to host TO */
  CLAIM_ACTION_DONE,      /* an operation of the coordinator has ended */
  CLAIM_ACTION_SLOT_MOVED /* a slot of VIEW has a new occupant; announce VIEW */
} claim_action_kind_t;

/* Result of an operation of the coordinator. */
typedef enum
{
  CLAIM_DONE_GRANTED,     /* this host may start the key */
  CLAIM_DONE_HELD,        /* a claimant, possibly this host, holds the key or may hold it */
  CLAIM_DONE_REUSED,      /* as HELD, but that claim is for a request with another digest */
  CLAIM_DONE_FREE,        /* not started; see coordinator.h for the time that this refers to */
  CLAIM_DONE_UNCERTAIN,   /* replicas that may have granted the key were lost */
  CLAIM_DONE_UNREACHABLE, /* no result before the deadline; for a release: the key is not granted to
                             this host */
  CLAIM_DONE_EXPIRED      /* the issue time is outside of the key window */
} claim_done_result_t;

typedef struct
{
  claim_action_kind_t kind;
  char *to;                   /* SEND: host id */
  claim_msg_t *msg;           /* SEND */
  claim_done_result_t result; /* DONE */
  member_t *holder;           /* DONE with HELD or REUSED: the claimant */
  void *user_data;            /* DONE: the pointer given with the operation */
  view_t *view;               /* SLOT_MOVED */
} claim_action_t;

/* Returns an empty array of claim_action_t pointers that frees its elements. */
GPtrArray *claim_actions_new (void);
void claim_action_free (claim_action_t *action);

/* Appends a CLAIM_ACTION_SEND for host TO.  Takes ownership of MSG. */
void claim_send (GPtrArray *actions, const char *to, claim_msg_t *msg);

#endif
