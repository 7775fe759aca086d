/* executor_msg.h -- messages between coordinators and owners of endpoints
 *
 * Times are sent relative to now, in milliseconds, because boot clocks differ between hosts.  A
 * reader function returns 0, or ERROR_PROTOCOL unless the message is complete and valid.  The
 * caller owns what a reader function fills in.
 */
#ifndef EXECUTOR_EXECUTOR_MSG_H
#define EXECUTOR_EXECUTOR_MSG_H

#include "executor/executor.h"
#include "wire/frame.h"

typedef enum
{
  EXECUTOR_MSG_SUBMIT = FRAME_EXECUTOR_FIRST,
  EXECUTOR_MSG_CANCEL,
  EXECUTOR_MSG_TASK_ENDS,
  EXECUTOR_MSG_CANCELLED,
  EXECUTOR_MSG_OFFER,
  EXECUTOR_MSG_RELEASE,          /* the batch belongs to another owner now; same format as
                                    EXECUTOR_MSG_CANCEL */
  EXECUTOR_MSG_CANCEL_JOB,       /* the caller of a job has cancelled it at another host */
  EXECUTOR_MSG_ENDPOINT,         /* an endpoint that the sender knows */
  EXECUTOR_MSG_ENDPOINT_REMOVED, /* the entry of an endpoint is gone */
  EXECUTOR_MSG_RESYNC, /* task ends sent earlier may be lost: the receiver sends its batches again
                        */
  EXECUTOR_MSG_LOSSES, /* endpoints that were lost under tasks */
  EXECUTOR_MSG_TASK_FAILURE,  /* why a task, whose end follows, has failed or was given up */
  EXECUTOR_MSG_JOB_CANCELLED, /* confirms EXECUTOR_MSG_CANCEL_JOB */
  EXECUTOR_MSG_SURVEYED       /* no run from before the sender's claim on a shard goes on */
} executor_msg_t;

/* Gives BATCH to the owner of SHARD.  EPOCH is the epoch under which the coordinator expects
 * answers from this host. */
GBytes *executor_msg_submit (const char *shard,
                             uint64_t epoch,
                             const executor_batch_t *batch,
                             int64_t now_ms);

typedef struct
{
  char *shard;
  uint64_t epoch;
  executor_batch_t batch; /* without the coordinator, which is the sender */
  GArray *indexes;
} executor_submit_t;
int executor_msg_read_submit (frame_reader_t *reader, int64_t now_ms, executor_submit_t *submit);
void executor_submit_clear (executor_submit_t *submit);

/* EXECUTOR_MSG_CANCEL names a batch and why it is cancelled, one of the reasons of coordinators; a
 * host of an earlier version does not tell the reason.  EXECUTOR_MSG_CANCELLED confirms a cancel or
 * a release and says whether no task of the batch has started. */
GBytes *executor_msg_cancel (uint64_t batch, stop_reason_t reason);
GBytes *executor_msg_release (uint64_t batch);
/* If RELAY is set, the receiver passes the message on to all hosts. */
GBytes *executor_msg_cancel_job (const char *job, bool relay);
/* The caller frees *JOB with g_free (). */
int executor_msg_read_cancel_job (frame_reader_t *reader, char **job, bool *relay);
/* Says whether the sender or, with RELAY, any host had JOB and has ended it.  A host of an earlier
 * version never sends it, and ignores it. */
GBytes *executor_msg_job_cancelled (const char *job, bool relay, bool found);
/* The caller frees *JOB with g_free (). */
int executor_msg_read_job_cancelled (frame_reader_t *reader, char **job, bool *relay, bool *found);
/* The caller of executor_msg_read_endpoint_removed () frees *ID with g_free (). */
GBytes *executor_msg_endpoint_removed (const char *id);
int executor_msg_read_endpoint_removed (frame_reader_t *reader, char **id);
/* An endpoint of SHARD and the offset in the log of the entry that describes it. */
typedef struct
{
  executor_endpoint_t endpoint;
  char *shard;
  uint64_t offset; /* the entry with the higher offset is the newer one */
} executor_entry_t;
GBytes *executor_msg_endpoint (const executor_entry_t *entry, int64_t now_ms);
/* Refuses an entry that does not describe a usable endpoint (executor/entry.h).  Free the contents
 * of ENTRY with executor_entry_clear (). */
int executor_msg_read_endpoint (frame_reader_t *reader, int64_t now_ms, executor_entry_t *entry);
void executor_entry_clear (executor_entry_t *entry);
void executor_entry_copy (executor_entry_t *to, const executor_entry_t *from);

GBytes *executor_msg_resync (void);
GBytes *executor_msg_cancelled (uint64_t batch, bool never_started);
int executor_msg_read_cancel (frame_reader_t *reader, uint64_t *batch, stop_reason_t *reason);
int executor_msg_read_release (frame_reader_t *reader, uint64_t *batch);
int executor_msg_read_cancelled (frame_reader_t *reader, uint64_t *batch, bool *never_started);

/* A task that has ended or has left the queue of its owner. */
typedef struct
{
  uint64_t batch;
  int32_t index;
  executor_action_kind_t outcome; /* EXECUTOR_DONE to EXECUTOR_RETURNED_AFTER_RUN */
  task_failure_t failure;         /* if known; not in EXECUTOR_MSG_TASK_ENDS */
} executor_task_end_t;
GBytes *executor_msg_task_ends (const executor_task_end_t *ends, size_t count);
/* Appends executor_task_end_t. */
int executor_msg_read_task_ends (frame_reader_t *reader, GArray *ends);

/* The failure of END.  A host of an earlier version ignores the message. */
GBytes *executor_msg_task_failure (const executor_task_end_t *end);
int executor_msg_read_task_failure (frame_reader_t *reader, executor_task_end_t *end);

/* Losses for the history of the receiver. */
GBytes *executor_msg_losses (const crash_loss_t *losses, size_t count);
/* Appends crash_loss_t; the caller frees their contents with crash_loss_clear (), also after an
 * error. */
int executor_msg_read_losses (frame_reader_t *reader, GArray *losses);

/* Free capacity and load reported by the owner of SHARD. */
typedef struct
{
  char *shard;
  int32_t waiting;
  GArray *offers; /* executor_offer_t with strings that the message owns */
  GArray *loads;  /* executor_load_t with strings that the message owns */
} executor_offer_msg_t;
GBytes *
executor_msg_offer (const char *shard, int32_t waiting, const GArray *offers, const GArray *loads);
int executor_msg_read_offer (frame_reader_t *reader, executor_offer_msg_t *offer);
void executor_offer_msg_clear (executor_offer_msg_t *offer);

/* The sender owns SHARD by the claim with TOKEN, and executor_is_surveyed ().  A host of an earlier
 * version never sends it, and ignores it. */
GBytes *executor_msg_surveyed (const char *shard, int64_t token);
/* The caller frees *SHARD with g_free (). */
int executor_msg_read_surveyed (frame_reader_t *reader, char **shard, int64_t *token);

#endif
