/* part_claim.h -- idempotency keys: at most one start of each submission
 *
 * Control thread only.
 */
#ifndef DAEMON_PART_CLAIM_H
#define DAEMON_PART_CLAIM_H

#include "base/hash.h"
#include "daemon/part.h"

/* VIEW is the view part of this host. */
part_t *part_claim_new (daemon_t *daemon, part_t *view);

typedef enum
{
  CLAIM_GRANTED,     /* this host may start, while part_claim_may_start () says so */
  CLAIM_HELD,        /* another host claimed it: wait for its answer */
  CLAIM_REUSED,      /* the key is held with another digest */
  CLAIM_FREE,        /* answer to a probe or a release: nobody holds the key, confirmed */
  CLAIM_UNCERTAIN,   /* may have run: replicas lost, or the key is contested */
  CLAIM_UNREACHABLE, /* not enough replicas answered in time: nothing is known */
  CLAIM_EXPIRED      /* issued before the window: never starts */
} claim_result_t;

typedef struct
{
  claim_result_t result;
  const char *claimant; /* CLAIM_HELD: host id */
  const char *claimant_address;
  const char *claimant_data_centre;
  uint64_t claimant_incarnation;
} claim_outcome_t;

/* Runs once for each request, possibly before the request returns; OUTCOME and
 * its strings are valid during the call only. */
typedef void (*claim_done_t) (const claim_outcome_t *outcome, void *data);

/* What is asked about a key. */
typedef struct
{
  const char *key;
  const char *home; /* the data centre that remembers the key */
  hash_digest_t digest;
  int64_t issued_at_ms;  /* wall clock */
  int64_t timeout_at_ms; /* boot clock: an answer comes by then */
} claim_params_t;

/* Claims KEY for this host.
 * Answers by DONE within about a second, or by GIVE_UP_AT_MS (boot clock). */
void part_claim_request (part_t *part, const claim_params_t *params, claim_done_t done, void *data);

/* Asks whether anybody holds KEY, without claiming it.  CLAIM_FREE says that two
 * replicas have confirmed that nobody did when the probe began; a claim may have
 * passed since.  A key that was forgotten with its window is free, too. */
void part_claim_probe (part_t *part,
                       const char *key,
                       const char *home,
                       int64_t timeout_at_ms,
                       claim_done_t done,
                       void *data);

/* Makes sure that no task of KEY has started: CLAIM_FREE is true at the moment
 * of the answer, since this host holds the key itself then and gives it back one
 * tick later.  This is what a "not_run" needs. */
void part_claim_confirm (part_t *part, const claim_params_t *params, claim_done_t done, void *data);

/* Gives back a granted claim under which nothing has started and nothing will.
 * DONE (may be NULL) gets CLAIM_FREE at once: this host held the key up to then,
 * so nobody has started it; it is given back one tick later. */
void part_claim_release (part_t *part, const char *key, claim_done_t done, void *data);

/* True while the grants of KEY let this host start: before their deadline, and
 * the process was not frozen since.  Ask right before the first start. */
bool part_claim_may_start (part_t *part, const char *key, int64_t now_ms);

/* The first task of KEY is about to start: from here on it is never released. */
void part_claim_mark_started (part_t *part, const char *key);

#endif
