/* fleet_msg.h -- the messages between coordinators and owners of endpoints
 *
 * Times cross hosts as milliseconds from now, since boot clocks differ.  A reader returns
 * ERROR_PROTOCOL for anything but a whole valid message; what it fills is owned by the
 * caller.
 */
#ifndef FLEET_FLEET_MSG_H
#define FLEET_FLEET_MSG_H

#include "fleet/fleet.h"
#include "wire/frame.h"

typedef enum
{
  FLEET_MSG_SUBMIT = FRAME_FLEET_FIRST,
  FLEET_MSG_CANCEL,
  FLEET_MSG_ENDS,
  FLEET_MSG_CANCELLED,
  FLEET_MSG_OFFER,
  FLEET_MSG_RELEASE,  /* a batch is another owner's now; as FLEET_MSG_CANCEL */
  FLEET_MSG_FORGET,   /* a job's caller has cancelled it, at another host */
  FLEET_MSG_ENDPOINT, /* an endpoint that the sender knows of */
  FLEET_MSG_GONE,     /* an endpoint whose entry is gone */
  FLEET_MSG_RESYNC    /* what the sender has told of batches may be lost: send them again */
} fleet_msg_t;

/* The owner of SHARD is given BATCH; EPOCH is what it wants to hear from this host. */
GBytes *
fleet_msg_submit (const char *shard, uint64_t epoch, const fleet_batch_t *batch, int64_t now_ms);

typedef struct
{
  char *shard;
  uint64_t epoch;
  fleet_batch_t batch; /* without its coordinator: the sender is */
  GArray *indexes;
} fleet_submit_t;
int fleet_msg_read_submit (frame_reader_t *reader, int64_t now_ms, fleet_submit_t *submit);
void fleet_submit_clear (fleet_submit_t *submit);

/* FLEET_MSG_CANCEL names a batch; FLEET_MSG_CANCELLED confirms it, or a release, and says if
 * nothing of it started. */
GBytes *fleet_msg_cancel (uint64_t batch);
GBytes *fleet_msg_release (uint64_t batch);
/* RELAY: the receiver passes it on to all hosts. */
GBytes *fleet_msg_forget (const char *job, bool relay);
/* *JOB is the caller's (g_free). */
int fleet_msg_read_forget (frame_reader_t *reader, char **job, bool *relay);
/* *ID is the caller's (g_free). */
GBytes *fleet_msg_gone (const char *id);
int fleet_msg_read_gone (frame_reader_t *reader, char **id);
/* An endpoint of SHARD, with the place in the log of the entry that told of it. */
typedef struct
{
  fleet_endpoint_t endpoint;
  char *shard;
  uint64_t offset; /* of two entries the one with the higher offset is the newer */
} fleet_entry_t;
GBytes *fleet_msg_endpoint (const fleet_entry_t *entry, int64_t now_ms);
/* Clear ENTRY with fleet_entry_clear (). */
int fleet_msg_read_endpoint (frame_reader_t *reader, int64_t now_ms, fleet_entry_t *entry);
void fleet_entry_clear (fleet_entry_t *entry);
void fleet_entry_copy (fleet_entry_t *to, const fleet_entry_t *from);

GBytes *fleet_msg_resync (void);
GBytes *fleet_msg_cancelled (uint64_t batch, bool never_started);
int fleet_msg_read_cancel (frame_reader_t *reader, uint64_t *batch);
int fleet_msg_read_cancelled (frame_reader_t *reader, uint64_t *batch, bool *never_started);

/* Tasks that have ended, as far as the owner is concerned. */
typedef struct
{
  uint64_t batch;
  int32_t index;
  fleet_action_kind_t how; /* FLEET_DONE to FLEET_VACATED */
} fleet_end_t;
GBytes *fleet_msg_ends (const fleet_end_t *ends, size_t count);
/* Appends fleet_end_t. */
int fleet_msg_read_ends (frame_reader_t *reader, GArray *ends);

/* What the owner of SHARD offers. */
typedef struct
{
  char *shard;
  int32_t waiting;
  GArray *offers; /* fleet_offer_t with strings of their own */
  GArray *loads;  /* fleet_load_t likewise */
} fleet_offer_msg_t;
GBytes *
fleet_msg_offer (const char *shard, int32_t waiting, const GArray *offers, const GArray *loads);
int fleet_msg_read_offer (frame_reader_t *reader, fleet_offer_msg_t *offer);
void fleet_offer_msg_clear (fleet_offer_msg_t *offer);

#endif
