/* attempt.h -- state of the coordinator, and the attempts of an operation
 *
 * An operation makes one attempt after another until it has a result.  An
 * attempt sends requests to the replicas of one view and, if they name
 * claimants, queries these.
 *
 * Private to the coordinator.  No I/O; single-threaded.
 */
#ifndef CLAIM_ATTEMPT_H
#define CLAIM_ATTEMPT_H

#include "claim/coordinator.h"
#include "claim/operation.h"

typedef enum
{
  OWN_KEY_CLAIMING, /* OPERATION is claiming, confirming or erasing the key */
  OWN_KEY_GRANTED,  /* may be started until START_DEADLINE_MS */
  OWN_KEY_STARTED
} own_key_state_t;

/* A key that this host is claiming, was granted or has started. */
typedef struct
{
  own_key_state_t state;
  operation_t *operation; /* set in OWN_KEY_CLAIMING only */
  hash_digest_t digest;
  int64_t issued_at_ms;
  int64_t start_deadline_ms; /* boot clock */
  int64_t expires_at_ms;     /* boot clock */
  char *home;                /* data centre */
} own_key_t;

struct claim_coordinator_t
{
  member_t *self;
  claim_rules_t rules;
  claim_limits_t limits;
  claim_find_view_t find_view;
  void *find_view_data;
  GRand *random;
  uint64_t last_attempt_id;
  GHashTable *operations; /* &attempt_id -> operation_t */
  GHashTable *own_keys;   /* key -> own_key_t */
  int64_t next_expiry_scan_ms;
};

/* Starts a new attempt of OPERATION with the replicas of the current view. */
void attempt_begin (claim_coordinator_t *coordinator,
                    operation_t *operation,
                    claim_time_t now,
                    GPtrArray *actions);

/* Sends the request of OPERATION to REPLICA. */
void attempt_ask_replica (operation_t *operation, asked_replica_t *replica, GPtrArray *actions);

/* Returns the host id of the replica at INDEX (borrowed). */
const char *attempt_replica_host (const operation_t *operation, int32_t index);

/* Evaluates the replies so far.  Finishes the operation (which frees it), sends
 * further requests, queries claimants, or schedules a new attempt. */
void attempt_evaluate (claim_coordinator_t *coordinator,
                       operation_t *operation,
                       claim_time_t now,
                       GPtrArray *actions);

/* Queries the claimants that replicas have named. */
void attempt_query_holders (claim_coordinator_t *coordinator,
                            operation_t *operation,
                            claim_time_t now,
                            GPtrArray *actions);

/* Evaluates the claimants' answers.  Does nothing while an answer is outstanding
 * before the query deadline, unless one claimant has answered that it holds the
 * key. */
void attempt_evaluate_answers (claim_coordinator_t *coordinator,
                               operation_t *operation,
                               claim_time_t now,
                               GPtrArray *actions);

/* Returns the answer of this host to a query about its own claim on KEY. */
claim_answer_result_t attempt_own_answer (const claim_coordinator_t *coordinator, const char *key);

/* Finishes and frees OPERATION.  Erases its claims at the replicas unless RESULT
 * is CLAIM_DONE_GRANTED. */
void attempt_finish (claim_coordinator_t *coordinator,
                     operation_t *operation,
                     claim_done_result_t result,
                     member_t *holder,
                     GPtrArray *actions);

/* Finishes OPERATION at its deadline, with the result that the replies so far
 * allow. */
void attempt_give_up (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions);

/* Turns OPERATION into an OPERATION_ERASE, which erases its claim one tick later. */
void attempt_schedule_erase (operation_t *operation, int64_t now_ms);

/* Erases the claim of an OPERATION_ERASE at the replicas and frees the operation. */
void
attempt_finish_erase (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions);

/* Appends a CLAIM_ACTION_DONE.  HOLDER may be NULL and is referenced. */
void attempt_report_result (void *user_data,
                            claim_done_result_t result,
                            member_t *holder,
                            GPtrArray *actions);

#endif
