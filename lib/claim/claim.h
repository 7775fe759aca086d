/* claim.h -- what the replica and the coordinator of idempotency keys share
 *
 * A key starts at most once: its coordinator starts only with grants of a
 * majority of the key's replicas in one view, and a replica grants a key to one
 * claimant.  The rules below keep this true over lost, doubled, delayed and
 * reordered messages, frozen and replaced hosts, and changes of the view.
 *
 * Everything here is pure: events and times in, actions out.  One thread.
 */
#ifndef CLAIM_CLAIM_H
#define CLAIM_CLAIM_H

#include "claim/claim_msg.h"

/* Each rule can be switched off alone, to show that it is needed. */
typedef struct
{
  bool require_majority;         /* start only with a majority of grants */
  bool seal_before_handover;     /* an old replica seals its view before it hands over */
  bool start_deadline;           /* a grant ends, on the boot clock */
  bool require_contact;          /* a replica grants only while its contact is fresh */
  bool check_release_attempt;    /* a release never erases a later attempt */
  bool keep_all_claimants;       /* two claimants handed over: neither is granted */
  bool require_complete_history; /* hand over only what was handed over completely */
} claim_rules_t;

#define CLAIM_RULES_ALL ((claim_rules_t){ true, true, true, true, true, true, true })

/* Times that all hosts must share. */
typedef struct
{
  int64_t key_window_ms;        /* a key is remembered until issued_at + window */
  int64_t clock_skew_ms;        /* bounds the difference between two wall clocks */
  int64_t start_timeout_ms;     /* a grant lets its coordinator start this long */
  int64_t contact_timeout_ms;   /* a replica grants this long after its last contact */
  int64_t isolation_timeout_ms; /* a majority grants this long without log and minority */
  int64_t handover_timeout_ms;  /* an old replica that left the view is lost after this */
} claim_limits_t;

#define CLAIM_LIMITS_DEFAULT ((claim_limits_t){ 600000, 2000, 10000, 2000, 6000, 2000 })

/* Both clocks at one moment. */
typedef struct
{
  int64_t boot_ms;
  int64_t wall_ms;
} claim_time_t;

typedef enum
{
  CLAIM_ACTION_SEND,      /* MSG to host TO */
  CLAIM_ACTION_DONE,      /* an operation of the coordinator has ended */
  CLAIM_ACTION_SEAT_MOVED /* VIEW has a new occupant: announce it */
} claim_action_kind_t;

/* How an operation of the coordinator ended. */
typedef enum
{
  CLAIM_DONE_GRANTED,
  CLAIM_DONE_HELD,
  CLAIM_DONE_REUSED,
  CLAIM_DONE_FREE,
  CLAIM_DONE_UNCERTAIN,
  CLAIM_DONE_UNREACHABLE,
  CLAIM_DONE_EXPIRED
} claim_done_result_t;

typedef struct
{
  claim_action_kind_t kind;
  char *to;                   /* SEND: host id */
  claim_msg_t *msg;           /* SEND */
  claim_done_result_t result; /* DONE */
  member_t *holder;           /* DONE with HELD or REUSED: the claimant */
  void *user_data;            /* DONE: as given with the operation */
  view_t *view;               /* SEAT_MOVED */
} claim_action_t;

/* A list of claim_action_t pointers that frees its items. */
GPtrArray *claim_actions_new (void);
void claim_action_free (claim_action_t *action);

/* Appends a message; takes MSG over. */
void claim_send (GPtrArray *actions, const char *to, claim_msg_t *msg);

#endif
