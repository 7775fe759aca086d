/* operation.h -- one claim, probe or release on its way: what was asked and answered
 *
 * Private to the coordinator.  Pure; one thread.
 */
#ifndef CLAIM_OPERATION_H
#define CLAIM_OPERATION_H

#include "claim/claim.h"

typedef enum
{
  OPERATION_CLAIM,
  OPERATION_PROBE,
  OPERATION_CONFIRM, /* a claim that is given back at once */
  OPERATION_ERASE    /* done but for erasing this host's claim */
} operation_kind_t;

typedef enum
{
  OPERATION_ASKING,   /* replicas */
  OPERATION_QUERYING, /* claimants that replicas named */
  OPERATION_WAITING   /* until AGAIN_MS, then a new attempt */
} operation_state_t;

/* One replica of the key, in the view of the attempt. */
typedef struct
{
  int32_t seat;
  bool asked;
  bool failed; /* not connected */
  bool replied;
  claim_reply_result_t result;
} asked_replica_t;

typedef struct
{
  claim_holder_t holder;
  bool answered;
  claim_answer_result_t result;
} asked_holder_t;

typedef struct
{
  operation_kind_t kind;
  operation_state_t state;
  uint64_t id; /* of the attempt; new for each */
  char *key;
  char *home;
  hash_digest_t digest;
  int64_t issued_at_ms;
  int64_t started_ms;
  int64_t give_up_ms;
  int64_t attempt_ms; /* start of the attempt */
  int64_t again_ms;   /* OPERATION_WAITING */
  int64_t query_until_ms;
  void *user;
  view_t *view;
  int32_t replica_count;
  asked_replica_t replicas[VIEW_REPLICAS_PER_KEY];
  int32_t holder_count;
  asked_holder_t holders[CLAIM_HOLDERS_MAX];
  bool heard;          /* some replica has replied since the start */
  bool uncertain;      /* some replica said so */
  member_t *last_seen; /* a claimant that was named, for the answer at the end */
  bool last_other_digest;
} operation_t;

operation_t *operation_new (operation_kind_t kind, const char *key, const char *home);
void operation_free (operation_t *operation);

/* Forgets the replies of the last attempt and takes VIEW (may be NULL). */
void operation_restart (operation_t *operation, uint64_t id, view_t *view, int64_t now_ms);

/* Replies with RESULT. */
int32_t operation_count (const operation_t *operation, claim_reply_result_t result);

/* Replicas whose reply can still come. */
int32_t operation_outstanding (const operation_t *operation);

/* The next replica to ask, or NULL. */
asked_replica_t *operation_next (operation_t *operation);

/* Takes a reply of FROM in; false if it does not belong to this attempt or is a
 * copy. */
bool operation_reply (operation_t *operation,
                      const claim_reply_t *reply,
                      const member_t *from,
                      const member_t *self);

#endif
