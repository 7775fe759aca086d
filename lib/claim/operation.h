/* operation.h -- a claim, probe, confirmation or release in progress
 *
 * Records which replicas and claimants were asked and what they answered.
 * Private to the coordinator.  No I/O; single-threaded.
 */
#ifndef CLAIM_OPERATION_H
#define CLAIM_OPERATION_H

#include "claim/claim.h"

typedef enum
{
  OPERATION_CLAIM,
  OPERATION_PROBE,
  OPERATION_CONFIRM, /* a claim that is released as soon as it is granted */
  OPERATION_ERASE    /* result reported; erases this host's claim */
} operation_kind_t;

typedef enum
{
  OPERATION_ASKING,   /* waiting for replies of replicas */
  OPERATION_QUERYING, /* waiting for answers of claimants that replicas named */
  OPERATION_WAITING   /* waiting until RETRY_AT_MS for a new attempt */
} operation_state_t;

/* A replica of the key in the view of the attempt. */
typedef struct
{
  int32_t slot;
  bool asked;
  bool failed; /* not connected; the request could not be sent */
  bool replied;
  claim_reply_result_t result;
} asked_replica_t;

/* A claimant that replicas named in this attempt. */
typedef struct
{
  claim_holder_t holder;
  bool answered;
  claim_answer_result_t result;
} queried_holder_t;

typedef struct
{
  operation_kind_t kind;
  operation_state_t state;
  uint64_t attempt_id; /* different for each attempt of this process */
  char *key;
  char *home; /* data centre */
  hash_digest_t digest;
  int64_t issued_at_ms; /* wall clock */
  int64_t started_ms;   /* boot clock, as all times below */
  int64_t deadline_ms;
  int64_t attempt_started_ms; /* start of the current attempt */
  int64_t retry_at_ms;        /* set in OPERATION_WAITING and OPERATION_ERASE */
  int64_t query_deadline_ms;
  void *user_data;
  view_t *view;
  int32_t replica_count;
  asked_replica_t replicas[VIEW_REPLICAS_PER_KEY];
  int32_t holder_count;
  queried_holder_t holders[CLAIM_HOLDERS_MAX];
  bool any_reply;           /* a replica has replied in any attempt */
  bool any_uncertain;       /* a replica has replied CLAIM_REPLY_UNCERTAIN in any attempt */
  member_t *last_holder;    /* claimant named last, reported at the deadline; may be NULL */
  bool last_digest_differs; /* its digest differs from that of the operation */
} operation_t;

operation_t *operation_new (operation_kind_t kind, const char *key, const char *home);
void operation_free (operation_t *operation);

/* Discards the replies of the last attempt and starts attempt ATTEMPT_ID in VIEW, which is
 * referenced and may be NULL. */
void operation_restart (operation_t *operation, uint64_t attempt_id, view_t *view, int64_t now_ms);

/* Returns the number of replies with RESULT. */
int32_t operation_reply_count (const operation_t *operation, claim_reply_result_t result);

/* Returns the number of replicas that may still reply, including those not asked
 * yet. */
int32_t operation_outstanding_count (const operation_t *operation);

/* Returns the next replica that was not asked yet, or NULL. */
asked_replica_t *operation_next_replica (operation_t *operation);

/* Records a reply of FROM.  Returns false if it does not belong to the current
 * attempt or is a duplicate.  SELF is this host's process. */
bool operation_record_reply (operation_t *operation,
                             const claim_reply_t *reply,
                             const member_t *from,
                             const member_t *self);

#endif
