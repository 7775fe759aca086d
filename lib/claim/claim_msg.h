/* claim_msg.h -- messages about idempotency keys, and their codec
 *
 * Messages may be lost, duplicated, delayed or reordered.  Each carries the ids
 * that its receiver needs to recognise and discard an outdated one.
 *
 * No I/O and no global state; usable from any thread.
 */
#ifndef CLAIM_CLAIM_MSG_H
#define CLAIM_CLAIM_MSG_H

#include "base/hash.h"
#include "view/view.h"

/* Maximum length of a key, in visible ASCII characters. */
#define CLAIM_KEY_MAX_BYTES 128
/* Maximum number of claimants that a message lists for one contested key. */
#define CLAIM_HOLDERS_MAX 8
/* Maximum number of keys in one hand-over message. */
#define CLAIM_BATCH_KEYS 256
/* Maximum number of losses (claim_loss_t) in one hand-over message. */
#define CLAIM_LOSSES_MAX 16

typedef enum
{
  CLAIM_MSG_CLAIM = FRAME_CLAIM_FIRST, /* coordinator to replica: request to grant a key */
  CLAIM_MSG_PROBE,           /* coordinator to replica: who holds a key; may erase a claim */
  CLAIM_MSG_REPLY,           /* replica to coordinator: answer to CLAIM or PROBE */
  CLAIM_MSG_QUERY,           /* coordinator to claimant: state of the claimant's claim */
  CLAIM_MSG_ANSWER,          /* claimant to coordinator: answer to QUERY */
  CLAIM_MSG_PULL,            /* new replica to old one: request for its keys */
  CLAIM_MSG_BATCH,           /* old replica to new one: keys, answer to PULL */
  CLAIM_MSG_SLOT_OFFER,      /* leaving replica to successor: offer of its slot */
  CLAIM_MSG_SLOT_READY,      /* successor to leaving replica: all keys received */
  CLAIM_MSG_SLOT_TRANSFERRED /* leaving replica to successor: transfer done */
} claim_msg_type_t;

/* Result of a claim or a probe at one replica. */
typedef enum
{
  CLAIM_REPLY_GRANTED,   /* claim: granted to the sender */
  CLAIM_REPLY_FREE,      /* probe: nobody holds it */
  CLAIM_REPLY_HELD,      /* one claimant holds it */
  CLAIM_REPLY_CONTESTED, /* several claimants are stored for it */
  CLAIM_REPLY_EXPIRED,   /* issue time outside of the key window: never granted */
  CLAIM_REPLY_UNCERTAIN, /* old replicas that may have granted it were lost */
  CLAIM_REPLY_NOT_READY, /* other view, hand-over incomplete, or no contact */
  CLAIM_REPLY_LAST = CLAIM_REPLY_NOT_READY
} claim_reply_result_t;

/* A claimant of a key, and the latest attempt under which it was granted the key. */
typedef struct
{
  member_t *member;
  uint64_t attempt;
  hash_digest_t digest;
} claim_holder_t;

/* Keys whose state is uncertain because replicas of view FROM were lost before
 * they handed over.  A key may have been granted by them if no majority of its
 * replicas in FROM is in HANDED_OVER and it was issued at MAX_ISSUED_AT_MS (wall
 * clock) or earlier. */
typedef struct
{
  view_t *from;
  uint64_t handed_over; /* bit mask of slots of FROM */
  int64_t max_issued_at_ms;
} claim_loss_t;

typedef struct
{
  uint64_t attempt;
  int64_t view_number;
  char *key;
  hash_digest_t digest;
  int64_t issued_at_ms;
} claim_request_t;

typedef struct
{
  uint64_t request_id;
  int64_t view_number;
  char *key;
  int64_t issued_at_ms; /* wall clock, or CLAIM_ISSUED_AT_UNKNOWN */
  /* A claim to erase, or NULL.  This claimant has not started KEY under any
   * attempt up to ERASE_ATTEMPT and never will. */
  char *erase_host;
  uint64_t erase_incarnation;
  uint64_t erase_attempt;
} claim_probe_t;

/* Issue time of a probe whose sender does not know it. */
#define CLAIM_ISSUED_AT_UNKNOWN INT64_MAX

typedef struct
{
  uint64_t request_id;  /* the claim's attempt, or the probe's request_id */
  uint64_t incarnation; /* of the coordinator that sent the request */
  int64_t view_number;
  char *slot; /* the slot that replies; NULL if it has none for the key in that view */
  claim_reply_result_t result;
  int32_t holder_count;
  claim_holder_t holders[CLAIM_HOLDERS_MAX]; /* of the key, for HELD and CONTESTED */
} claim_reply_t;

typedef struct
{
  uint64_t request_id;
  uint64_t incarnation; /* of the claimant */
  char *key;
} claim_query_t;

typedef enum
{
  CLAIM_ANSWER_HOLDING,     /* granted or started */
  CLAIM_ANSWER_CLAIMING,    /* its claim is in progress */
  CLAIM_ANSWER_NOT_STARTED, /* not started under any attempt up to ATTEMPT, and never will be */
  CLAIM_ANSWER_UNAVAILABLE, /* the claimant's process no longer runs, or is not connected */
  CLAIM_ANSWER_LAST = CLAIM_ANSWER_UNAVAILABLE
} claim_answer_result_t;

typedef struct
{
  uint64_t request_id;
  uint64_t incarnation; /* of the coordinator that sent the query */
  claim_answer_result_t result;
  uint64_t attempt; /* the claimant's latest attempt */
} claim_answer_t;

typedef struct
{
  int64_t to_view_number; /* the new view, for which the sender needs the keys */
  uint64_t cursor;        /* 0, or next_cursor of the previous batch */
  char *transferred_slot; /* the slot of that view being transferred to the sender, or NULL */
} claim_pull_t;

typedef struct
{
  char *key;
  int64_t issued_at_ms;
  int32_t holder_count;
  claim_holder_t holders[CLAIM_HOLDERS_MAX];
} claim_key_t;

typedef struct
{
  int64_t to_view_number;
  char *transferred_slot;   /* copied from the pull */
  char *from_slot;          /* the sender's slot; the keys belong to it */
  uint64_t cursor;          /* copied from the pull */
  uint64_t next_cursor;     /* cursor for the next pull */
  bool done;                /* no more keys */
  int64_t sealed_at_ms;     /* wall clock of the sender; it no longer grants in the old view */
  int64_t expired_until_ms; /* keys issued at or before this wall clock time have expired */
  GArray *losses;           /* claim_loss_t */
  GPtrArray *keys;          /* claim_key_t * */
} claim_batch_t;

typedef struct
{
  int64_t view_number;
  char *slot;
  uint32_t epoch; /* of the slot; OFFER: before the transfer, TRANSFERRED: after it, READY: 0 */
} claim_slot_transfer_t;

typedef struct
{
  claim_msg_type_t type;
  union
  {
    claim_request_t claim;
    claim_probe_t probe;
    claim_reply_t reply;
    claim_query_t query;
    claim_answer_t answer;
    claim_pull_t pull;
    claim_batch_t batch;
    claim_slot_transfer_t slot;
  } u;
} claim_msg_t;

/* Returns an empty message of TYPE.  The message owns its strings, which are
 * freed with g_free (). */
claim_msg_t *claim_msg_new (claim_msg_type_t type);
void claim_msg_free (claim_msg_t *msg);

void claim_key_free (claim_key_t *key);
/* Drops the members of COUNT holders. */
void claim_holders_clear (claim_holder_t *holders, int32_t count);
/* Removes all elements (claim_loss_t) and drops their views. */
void claim_losses_clear (GArray *losses);

/* Encodes MSG as a frame; the caller unrefs it. */
GBytes *claim_msg_encode (const claim_msg_t *msg);

/* Decodes a frame.  Returns NULL if it is malformed or exceeds a limit above. */
claim_msg_t *claim_msg_decode (frame_reader_t *reader);

#endif
