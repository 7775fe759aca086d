/* fleet_msg.h -- messages between coordinators and owners of endpoints
 *
 * Times are sent relative to now, in milliseconds, because boot clocks differ between hosts.  A
 * reader function returns 0, or ERROR_PROTOCOL unless the message is complete and valid.  The
 * caller owns what a reader function fills in.
 */
#ifndef FLEET_FLEET_MSG_H
#define FLEET_FLEET_MSG_H

#include "fleet/fleet.h"
#include "wire/frame.h"

typedef enum
{
  FLEET_MSG_SUBMIT = FRAME_FLEET_FIRST,
  FLEET_MSG_CANCEL,
  FLEET_MSG_TASK_ENDS,
  FLEET_MSG_CANCELLED,
  FLEET_MSG_OFFER,
  FLEET_MSG_RELEASE, /* the batch belongs to another owner now; same format as FLEET_MSG_CANCEL */
  FLEET_MSG_CANCEL_JOB,       /* the caller of a job has cancelled it at another host */
  FLEET_MSG_ENDPOINT,         /* an endpoint that the sender knows */
  FLEET_MSG_ENDPOINT_REMOVED, /* the entry of an endpoint is gone */
  FLEET_MSG_RESYNC /* task ends sent earlier may be lost: the receiver sends its batches again */
} fleet_msg_t;

/* Gives BATCH to the owner of SHARD.  EPOCH is the epoch under which the coordinator expects
 * answers from this host. */
GBytes *
fleet_msg_submit (const char *shard, uint64_t epoch, const fleet_batch_t *batch, int64_t now_ms);

typedef struct
{
  char *shard;
  uint64_t epoch;
  fleet_batch_t batch; /* without the coordinator, which is the sender */
  GArray *indexes;
} fleet_submit_t;
int fleet_msg_read_submit (frame_reader_t *reader, int64_t now_ms, fleet_submit_t *submit);
void fleet_submit_clear (fleet_submit_t *submit);

/* FLEET_MSG_CANCEL names a batch.  FLEET_MSG_CANCELLED confirms a cancel or a release and says
 * whether no task of the batch has started. */
GBytes *fleet_msg_cancel (uint64_t batch);
GBytes *fleet_msg_release (uint64_t batch);
/* If RELAY is set, the receiver passes the message on to all hosts. */
GBytes *fleet_msg_cancel_job (const char *job, bool relay);
/* The caller frees *JOB with g_free (). */
int fleet_msg_read_cancel_job (frame_reader_t *reader, char **job, bool *relay);
/* The caller of fleet_msg_read_endpoint_removed () frees *ID with g_free (). */
GBytes *fleet_msg_endpoint_removed (const char *id);
int fleet_msg_read_endpoint_removed (frame_reader_t *reader, char **id);
/* An endpoint of SHARD and the offset in the log of the entry that describes it. */
typedef struct
{
  fleet_endpoint_t endpoint;
  char *shard;
  uint64_t offset; /* the entry with the higher offset is the newer one */
} fleet_entry_t;
GBytes *fleet_msg_endpoint (const fleet_entry_t *entry, int64_t now_ms);
/* Free the contents of ENTRY with fleet_entry_clear (). */
int fleet_msg_read_endpoint (frame_reader_t *reader, int64_t now_ms, fleet_entry_t *entry);
void fleet_entry_clear (fleet_entry_t *entry);
void fleet_entry_copy (fleet_entry_t *to, const fleet_entry_t *from);

GBytes *fleet_msg_resync (void);
GBytes *fleet_msg_cancelled (uint64_t batch, bool never_started);
int fleet_msg_read_cancel (frame_reader_t *reader, uint64_t *batch);
int fleet_msg_read_cancelled (frame_reader_t *reader, uint64_t *batch, bool *never_started);

/* A task that has ended or has left the queue of its owner. */
typedef struct
{
  uint64_t batch;
  int32_t index;
  fleet_action_kind_t outcome; /* FLEET_DONE to FLEET_RETURNED_AFTER_RUN */
} fleet_task_end_t;
GBytes *fleet_msg_task_ends (const fleet_task_end_t *ends, size_t count);
/* Appends fleet_task_end_t. */
int fleet_msg_read_task_ends (frame_reader_t *reader, GArray *ends);

/* Free capacity and load reported by the owner of SHARD. */
typedef struct
{
  char *shard;
  int32_t waiting;
  GArray *offers; /* fleet_offer_t with strings that the message owns */
  GArray *loads;  /* fleet_load_t with strings that the message owns */
} fleet_offer_msg_t;
GBytes *
fleet_msg_offer (const char *shard, int32_t waiting, const GArray *offers, const GArray *loads);
int fleet_msg_read_offer (frame_reader_t *reader, fleet_offer_msg_t *offer);
void fleet_offer_msg_clear (fleet_offer_msg_t *offer);

#endif
