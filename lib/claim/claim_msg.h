/* claim_msg.h -- the messages of the idempotency keys, and their codec
 *
 * Every message may be lost, doubled, delayed or reordered; each carries what
 * its reader needs to tell a late one.  Pure; any thread.
 */
#ifndef CLAIM_CLAIM_MSG_H
#define CLAIM_CLAIM_MSG_H

#include "base/hash.h"
#include "view/view.h"

/* Bounds a key (128 visible ASCII characters). */
#define CLAIM_KEY_MAX_BYTES 128
/* Bounds the claimants of one contested key that a message names. */
#define CLAIM_HOLDERS_MAX 8
/* Bounds the keys of one hand-over message. */
#define CLAIM_BATCH_KEYS 256
/* Bounds the losses that a hand-over carries. */
#define CLAIM_LOSSES_MAX 16

typedef enum
{
  CLAIM_MSG_CLAIM = FRAME_CLAIM_FIRST, /* coordinator to replica: grant this key */
  CLAIM_MSG_PROBE,                     /* coordinator to replica: who holds it; may erase a claim */
  CLAIM_MSG_REPLY,                     /* replica to coordinator */
  CLAIM_MSG_QUERY,                     /* coordinator to claimant: do you still hold it */
  CLAIM_MSG_ANSWER,                    /* claimant to coordinator */
  CLAIM_MSG_PULL,                      /* new replica to old one: hand over */
  CLAIM_MSG_BATCH,                     /* old replica to new one: keys */
  CLAIM_MSG_SEAT_OFFER,                /* leaving replica to successor: take my seat */
  CLAIM_MSG_SEAT_READY,                /* successor: I have all keys of the seat */
  CLAIM_MSG_SEAT_TRANSFERRED           /* leaving replica: the seat is yours */
} claim_msg_type_t;

/* What a replica says of a key. */
typedef enum
{
  CLAIM_REPLY_GRANTED,
  CLAIM_REPLY_FREE,      /* probe: nobody holds it */
  CLAIM_REPLY_HELD,      /* one claimant holds it */
  CLAIM_REPLY_CONTESTED, /* several claimants were handed over */
  CLAIM_REPLY_EXPIRED,   /* outside of the window: never starts */
  CLAIM_REPLY_UNCERTAIN, /* too many old replicas were lost */
  CLAIM_REPLY_NOT_READY, /* other view, hand-over going on, or contact lost */
  CLAIM_REPLY_LAST = CLAIM_REPLY_NOT_READY
} claim_reply_result_t;

/* A claimant and the newest attempt that it was granted under. */
typedef struct
{
  member_t *member;
  uint64_t attempt;
  hash_digest_t digest;
} claim_holder_t;

/* Some old replicas of a view were lost: a key of whose replicas in FROM no
 * majority is in HANDED may have been granted by them, unless it was issued
 * after LATE_AFTER_MS (wall clock). */
typedef struct
{
  view_t *from;
  uint64_t handed_over; /* mask of seats of FROM */
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
  int64_t issued_at_ms; /* CLAIM_ISSUED_AT_UNKNOWN if not known */
  /* The claimant says that it has not started KEY under any attempt up to
   * ERASE_ATTEMPT and never will; NULL for none. */
  char *erase_host;
  uint64_t erase_incarnation;
  uint64_t erase_attempt;
} claim_probe_t;

/* The issue time of a probe that knows none. */
#define CLAIM_ISSUED_AT_UNKNOWN INT64_MAX

typedef struct
{
  uint64_t request_id;  /* the attempt, or the probe's op */
  uint64_t incarnation; /* of the coordinator that asked */
  int64_t view_number;
  char *seat;
  claim_reply_result_t result;
  int32_t holder_count;
  claim_holder_t holders[CLAIM_HOLDERS_MAX];
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
  CLAIM_ANSWER_CLAIMING,    /* not granted yet */
  CLAIM_ANSWER_NOT_STARTED, /* not started under any attempt up to ATTEMPT, and never will be */
  CLAIM_ANSWER_UNAVAILABLE, /* another process runs here now */
  CLAIM_ANSWER_LAST = CLAIM_ANSWER_UNAVAILABLE
} claim_answer_result_t;

typedef struct
{
  uint64_t request_id;
  uint64_t incarnation; /* of the coordinator that asked */
  claim_answer_result_t result;
  uint64_t attempt;
} claim_answer_t;

typedef struct
{
  int64_t to_view_number; /* the view that the puller needs the keys for */
  uint64_t cursor;
  char *transferred_seat; /* pulled as successor to this seat of TO_VIEW; NULL otherwise */
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
  char *transferred_seat;   /* as in the pull */
  char *from_seat;          /* the seat whose keys these are */
  uint64_t cursor;          /* of the pull that this answers */
  uint64_t next_cursor;     /* continue here */
  bool done;                /* no more keys */
  int64_t sealed_at_ms;     /* wall clock at which the old view was sealed */
  int64_t expired_until_ms; /* no key issued up to here starts any more */
  GArray *losses;           /* claim_loss_t */
  GPtrArray *keys;          /* claim_key_t * */
} claim_batch_t;

typedef struct
{
  int64_t view_number;
  char *seat;
  uint32_t epoch; /* of the seat before it was passed on */
} claim_seat_transfer_t;

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
    claim_seat_transfer_t seat;
  } u;
} claim_msg_t;

/* Makes an empty message of TYPE; its strings are set by g_strdup (). */
claim_msg_t *claim_msg_new (claim_msg_type_t type);
void claim_msg_free (claim_msg_t *msg);

void claim_key_free (claim_key_t *key);
void claim_holders_clear (claim_holder_t *holders, int32_t count);
void claim_losses_clear (GArray *losses);

/* Encodes MSG as a frame, which the caller owns. */
GBytes *claim_msg_encode (const claim_msg_t *msg);

/* Decodes a frame; NULL if it is malformed or over a bound. */
claim_msg_t *claim_msg_decode (frame_reader_t *reader);

#endif
