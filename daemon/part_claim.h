/* part_claim.h -- claims of idempotency keys, so that each submission starts at most once
 *
 * A host must claim the key of a submission before it starts any of its tasks.
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
  CLAIM_GRANTED,     /* this host may start, as long as part_claim_may_start () is true */
  CLAIM_HELD,        /* another host has claimed the key: wait for its answer */
  CLAIM_REUSED,      /* the key is held for a submission with another digest */
  CLAIM_FREE,        /* answer to a probe, confirm or release: no host holds the key */
  CLAIM_UNCERTAIN,   /* tasks may have run: replicas were lost or the key is contested */
  CLAIM_UNREACHABLE, /* too few replicas answered in time, so nothing is known */
  CLAIM_EXPIRED      /* issued before the key window: must never start */
} claim_result_t;

typedef struct
{
  claim_result_t result;
  const char *claimant; /* host id of the holder, with CLAIM_HELD; else NULL */
  const char *claimant_address;
  const char *claimant_data_centre;
  uint64_t claimant_incarnation;
} claim_outcome_t;

/* Runs once for each request, possibly before the function that makes the request
 * returns.  OUTCOME and its strings are valid during the call only. */
typedef void (*claim_done_t) (const claim_outcome_t *outcome, void *data);

/* Parameters of a request. */
typedef struct
{
  const char *key;
  const char *home; /* the data centre whose replicas store the key */
  hash_digest_t digest;
  int64_t issued_at_ms;  /* wall clock */
  int64_t timeout_at_ms; /* boot clock: the request is answered by then */
} claim_params_t;

/* Claims a key for this host.  DONE usually runs within about a second, and at
 * TIMEOUT_AT_MS at the latest. */
void part_claim_request (part_t *part, const claim_params_t *params, claim_done_t done, void *data);

/* Asks whether any host holds KEY, without claiming it.  CLAIM_FREE means that two
 * replicas have confirmed that no host held KEY when the probe began.  It may have
 * been claimed since.  A key whose window has passed is free, too. */
void part_claim_probe (part_t *part,
                       const char *key,
                       const char *home,
                       int64_t timeout_at_ms,
                       claim_done_t done,
                       void *data);

/* Confirms that no task of a key has started, which the answer "not_run" requires.
 * CLAIM_FREE holds at the moment of the answer, because this host holds the key
 * itself then.  It releases the key one tick later. */
void part_claim_confirm (part_t *part, const claim_params_t *params, claim_done_t done, void *data);

/* Releases a granted claim under which no task has started or will start.  DONE,
 * which may be NULL, gets CLAIM_FREE at once: this host has held the key until then,
 * so no other host has started a task.  The key is released one tick later. */
void part_claim_release (part_t *part, const char *key, claim_done_t done, void *data);

/* True while this host may start tasks of KEY: the deadline of its grants has not
 * passed and the process has not been frozen since.  Must be checked immediately
 * before the first start. */
bool part_claim_may_start (part_t *part, const char *key, int64_t now_ms);

/* Must be called just before the first task of KEY starts.  After that, the claim is
 * never released. */
void part_claim_mark_started (part_t *part, const char *key);

#endif
