/* attempt.h -- the coordinator's state, and one attempt of an operation
 *
 * Private to the coordinator.  Pure; one thread.
 */
#ifndef CLAIM_ATTEMPT_H
#define CLAIM_ATTEMPT_H

#include "claim/coordinator.h"
#include "claim/operation.h"

typedef enum
{
  OWN_KEY_CLAIMING, /* by the operation, which may also be confirming or erasing */
  OWN_KEY_GRANTED,
  OWN_KEY_STARTED
} own_key_state_t;

/* A key that this host claims, may start or has started. */
typedef struct
{
  own_key_state_t state;
  operation_t *operation; /* OWN_KEY_CLAIMING */
  hash_digest_t digest;
  int64_t issued_at_ms;
  int64_t start_deadline_ms; /* boot clock */
  int64_t expires_at_ms;     /* boot clock */
  char *home;
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
  GHashTable *operations; /* &id -> operation_t */
  GHashTable *own_keys;   /* key -> own_key_t */
  int64_t next_expiry_scan_ms;
};

/* Makes a new attempt: asks replicas in the view that is known now. */
void attempt_begin (claim_coordinator_t *coordinator,
                    operation_t *operation,
                    claim_time_t now,
                    GPtrArray *actions);

/* Asks one replica more. */
void attempt_ask_replica (operation_t *operation, asked_replica_t *replica, GPtrArray *actions);

/* Host id of the replica at INDEX. */
const char *attempt_replica_host (const operation_t *operation, int32_t index);

/* Looks at the replies: ends the operation, asks on, or waits. */
void attempt_evaluate (claim_coordinator_t *coordinator,
                       operation_t *operation,
                       claim_time_t now,
                       GPtrArray *actions);

/* Asks the claimants that replicas named. */
void attempt_query_holders (claim_coordinator_t *coordinator,
                            operation_t *operation,
                            claim_time_t now,
                            GPtrArray *actions);

/* Goes on once every claimant has answered, or one holds the key, or the time
 * for answers is over. */
void attempt_evaluate_answers (claim_coordinator_t *coordinator,
                               operation_t *operation,
                               claim_time_t now,
                               GPtrArray *actions);

/* What this host says of its own claim on KEY. */
claim_answer_result_t attempt_own_answer (const claim_coordinator_t *coordinator, const char *key);

/* Ends OPERATION, which is freed.  Claims that were not granted are erased. */
void attempt_finish (claim_coordinator_t *coordinator,
                     operation_t *operation,
                     claim_done_result_t result,
                     member_t *holder,
                     GPtrArray *actions);

/* Ends OPERATION without a result, by what is known so far. */
void attempt_give_up (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions);

/* Turns OPERATION into one that only gives its claim back, a tick later. */
void attempt_schedule_erase (operation_t *operation, int64_t now_ms);

/* Ends an OPERATION_ERASE, which is freed. */
void
attempt_finish_erase (claim_coordinator_t *coordinator, operation_t *operation, GPtrArray *actions);

/* Appends the result of an operation. */
void attempt_report_result (void *user,
                            claim_done_result_t result,
                            member_t *holder,
                            GPtrArray *actions);

#endif
