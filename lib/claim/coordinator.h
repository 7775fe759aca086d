/* coordinator.h -- claims one host's keys at the replicas of any data centre
 *
 * An operation first sends its request to two of the key's three replicas, and
 * to the third only if these two disagree or do not reply.  It ends with exactly
 * one CLAIM_ACTION_DONE.  If a replica refuses and names a claimant, the
 * coordinator queries that claimant.  If the claimant answers that it has not
 * started the key and never will, the stale claim is erased and the operation
 * makes a new attempt.
 *
 * For a probe, CLAIM_DONE_FREE means that the key had not been started when the
 * probe began.  It says nothing about later times, because the replicas do not
 * reply at the same moment and a claim can be granted between their replies.
 * For a confirmation or a release, CLAIM_DONE_FREE is true at the time of the
 * action: this host holds the key itself then, and releases it one tick later.
 *
 * No I/O and no clocks: events and times in, actions out.  Random numbers are
 * derived from the seed.  Single-threaded.
 */
#ifndef CLAIM_COORDINATOR_H
#define CLAIM_COORDINATOR_H

#include "claim/claim.h"

typedef struct claim_coordinator_t claim_coordinator_t;

/* Returns this host's current view of DATA_CENTRE (borrowed), or NULL if it knows
 * none. */
typedef view_t *(*claim_find_view_t) (const char *data_centre, void *data);

typedef enum
{
  COORDINATOR_CLAIM,       /* KEY, HOME, DIGEST, ISSUED_AT_MS, DEADLINE_MS, USER_DATA */
  COORDINATOR_PROBE,       /* KEY, HOME, ISSUED_AT_MS, DEADLINE_MS, USER_DATA */
  COORDINATOR_CONFIRM,     /* as PROBE; checks that KEY is not started by claiming it briefly */
  COORDINATOR_RELEASE,     /* KEY, USER_DATA; gives back a granted key that was not started */
  COORDINATOR_STARTED,     /* KEY; its first task starts now */
  COORDINATOR_MESSAGE,     /* MSG from FROM */
  COORDINATOR_SEND_FAILED, /* MSG to host TO could not be sent */
  COORDINATOR_TICK
} coordinator_event_kind_t;

typedef struct
{
  coordinator_event_kind_t kind;
  const char *key;
  const char *home;     /* the data centre whose replicas store KEY */
  hash_digest_t digest; /* of the request; tells a reuse of KEY for another request */
  int64_t issued_at_ms; /* wall clock */
  int64_t deadline_ms;  /* boot clock */
  void *user_data;
  member_t *from;
  const claim_msg_t *msg;
  const char *to;
} coordinator_event_t;

/* SELF is referenced; RULES and LIMITS are copied.  FIND_VIEW is called with DATA
 * during claim_coordinator_step (). */
claim_coordinator_t *claim_coordinator_new (member_t *self,
                                            const claim_rules_t *rules,
                                            const claim_limits_t *limits,
                                            claim_find_view_t find_view,
                                            void *data,
                                            uint32_t seed);
void claim_coordinator_free (claim_coordinator_t *coordinator);

/* Handles one event and appends claim_action_t pointers to ACTIONS. */
void claim_coordinator_step (claim_coordinator_t *coordinator,
                             const coordinator_event_t *event,
                             claim_time_t now,
                             GPtrArray *actions);

/* Returns true while this host may start KEY: the key was granted and the grant
 * has not expired, or this host has already started it. */
bool claim_coordinator_may_start (const claim_coordinator_t *coordinator,
                                  const char *key,
                                  int64_t now_ms);

/* Returns the number of operations in progress. */
int32_t claim_coordinator_operation_count (const claim_coordinator_t *coordinator);

/* Returns the number of keys that this host has claimed and that were neither
 * released nor removed after their expiry. */
int32_t claim_coordinator_own_key_count (const claim_coordinator_t *coordinator);

#endif
