/* coordinator.h -- claims of one host on keys of any data centre
 *
 * An operation asks two of the key's replicas at once, and the third only if
 * these do not agree or do not answer.  It ends with exactly one
 * CLAIM_ACTION_DONE.  A refusal that names a claimant is checked with the
 * claimant, which may say that it never started the key; then the stale claim
 * is erased and the operation goes on.
 *
 * CLAIM_DONE_FREE means, for a probe, that the key had not been started when
 * the probe began: two replicas can be asked only one after the other, and a
 * claim may pass between.  For a confirmation or a release it is true at the
 * moment of the action: the host holds the key itself then, and gives it back
 * one tick later.
 *
 * Pure: events and times in, actions out; random numbers come from the seed.
 * One thread.
 */
#ifndef CLAIM_COORDINATOR_H
#define CLAIM_COORDINATOR_H

#include "claim/claim.h"

typedef struct claim_coordinator_t claim_coordinator_t;

/* The view of DATA_CENTRE that the host knows, or NULL. */
typedef view_t *(*claim_find_view_t) (const char *data_centre, void *data);

typedef enum
{
  COORDINATOR_CLAIM,       /* KEY, HOME, DIGEST, ISSUED_AT_MS, GIVE_UP_MS, USER */
  COORDINATOR_PROBE,       /* KEY, HOME, ISSUED_AT_MS, GIVE_UP_MS, USER */
  COORDINATOR_CONFIRM,     /* as PROBE: makes sure that nobody has started KEY */
  COORDINATOR_RELEASE,     /* KEY, USER: a granted claim, not started */
  COORDINATOR_STARTED,     /* KEY: its first task starts now */
  COORDINATOR_MESSAGE,     /* MSG from FROM */
  COORDINATOR_SEND_FAILED, /* MSG to host TO could not be sent */
  COORDINATOR_TICK
} coordinator_event_kind_t;

typedef struct
{
  coordinator_event_kind_t kind;
  const char *key;
  const char *home;
  hash_digest_t digest;
  int64_t issued_at_ms;
  int64_t deadline_ms; /* boot clock */
  void *user_data;
  member_t *from;
  const claim_msg_t *msg;
  const char *to;
} coordinator_event_t;

/* VIEW_OF runs during steps, with DATA. */
claim_coordinator_t *claim_coordinator_new (member_t *self,
                                            const claim_rules_t *rules,
                                            const claim_limits_t *limits,
                                            claim_find_view_t view_of,
                                            void *data,
                                            uint32_t seed);
void claim_coordinator_free (claim_coordinator_t *coordinator);

/* Takes one event; appends claim_action_t pointers to ACTIONS. */
void claim_coordinator_step (claim_coordinator_t *coordinator,
                             const coordinator_event_t *event,
                             claim_time_t now,
                             GPtrArray *actions);

/* True while this host may start KEY: it was granted and the grants have not
 * ended, or it has started already. */
bool claim_coordinator_may_start (const claim_coordinator_t *coordinator,
                                  const char *key,
                                  int64_t now_ms);

/* Operations that have not ended. */
int32_t claim_coordinator_operation_count (const claim_coordinator_t *coordinator);

/* Keys that this host has claimed and not released or forgotten. */
int32_t claim_coordinator_own_key_count (const claim_coordinator_t *coordinator);

#endif
