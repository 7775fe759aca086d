/* job_status_msg.h -- messages between coordinators about jobs that were sent to more than one
 *
 * Times are sent relative to now.  A reader function returns 0, or ERROR_PROTOCOL unless the
 * message is complete and valid.  The caller owns what a reader function fills in.  Hosts of
 * earlier versions ignore these messages.
 */
#ifndef SCHEDULER_JOB_STATUS_MSG_H
#define SCHEDULER_JOB_STATUS_MSG_H

#include "scheduler/job_status.h"
#include "wire/frame.h"

typedef enum
{
  JOB_MSG_STATUSES = FRAME_SCHEDULER_FIRST,
  JOB_MSG_QUERY,      /* asks for the status of a job, which a caller of the sender waits for */
  JOB_MSG_RELAYED,    /* several messages of other hosts, passed on together */
  JOB_MSG_RUNS_QUERY, /* asks an owner for runs of a job whose host is not heard */
  JOB_MSG_RUNS_OVER,  /* says that there are none */
  JOB_MSG_TOLD,       /* ends announcements; a relay confirms them */
  JOB_MSG_TOLD_ACK,   /* confirms all that came before JOB_MSG_TOLD */
  JOB_MSG_ALL_TOLD,   /* the sender, a hub that is not in its cold start, has told all jobs that it
                         knows */
  JOB_MSG_TELL_ALL,   /* asks a hub of another data centre for all jobs that it knows */
  JOB_MSG_REGISTER,   /* registers a job, which the sender is about to start or runs */
  JOB_MSG_REGISTRAR,  /* the sender answers JOB_MSG_REGISTER; earlier versions don't */
  JOB_MSG_REGISTERED  /* answers that: who else has the job */
} job_status_msg_t;

/* Most statuses in a message, and most messages passed on in one. */
#define JOB_STATUSES_MAX 4096
#define JOB_RELAYED_MAX 4096

/* The statuses of COUNT jobs at HOST.  With RELAY, the receiver passes them on. */
GBytes *job_msg_statuses (const char *host,
                          bool relay,
                          const job_status_t *statuses,
                          size_t count,
                          int64_t now_ms);
/* The caller frees *HOST.  Appends job_status_t, whose ids the caller frees, also after an error.
 */
int job_msg_read_statuses (frame_reader_t *reader,
                           int64_t now_ms,
                           char **host,
                           bool *relay,
                           GArray *statuses);

/* MESSAGES are GBytes of finished frames of any kind; none is changed or freed. */
GBytes *job_msg_relayed (const GPtrArray *messages);
/* Calls READ for each message, as a frame without its length; stops at one that is cut off. */
int job_msg_read_relayed (frame_reader_t *reader,
                          void (*read) (frame_reader_t *message, void *data),
                          void *data);

/* JOB_MSG_ALL_TOLD, JOB_MSG_TELL_ALL and JOB_MSG_REGISTRAR, which have no fields. */
GBytes *job_msg_all_told (void);
GBytes *job_msg_tell_all (void);
GBytes *job_msg_registrar (void);

GBytes *job_msg_query (const char *id);
/* The caller frees *ID. */
int job_msg_read_query (frame_reader_t *reader, char **id);

/* TYPE is JOB_MSG_TOLD or JOB_MSG_TOLD_ACK.  CLOCK_MS is that of the host that announces, which the
 * confirmation returns. */
GBytes *job_msg_told (job_status_msg_t type, int64_t clock_ms);
int job_msg_read_told (frame_reader_t *reader, int64_t *clock_ms);

/* The job of STATUS, of kind JOB_STATUS_OPEN or JOB_STATUS_WAITING, is registered with the
 * receiver.
 */
GBytes *job_msg_register (const job_status_t *status, int64_t now_ms);
/* The caller frees the id of *STATUS. */
int job_msg_read_register (frame_reader_t *reader, int64_t now_ms, job_status_t *status);

/* Most other hosts that a registrar names. */
#define JOB_CLAIMS_MAX 64

/* What a registrar knows of the job with ID: CLAIMS, job_claim_t, of which JOB_CLAIMS_MAX are sent.
 * CONFIRMED: it has recorded the job and knows what its data centre was told. */
GBytes *job_msg_registered (const char *id, bool confirmed, const GArray *claims, int64_t now_ms);
/* The caller frees *ID.  Appends claims with interned hosts. */
int job_msg_read_registered (frame_reader_t *reader,
                             int64_t now_ms,
                             char **id,
                             bool *confirmed,
                             GArray *claims);

/* Runs of the job with ID for HOLDER in SHARD.  TOKEN is that of the sender's claim on SHARD, and 0
 * in a query. */
typedef struct
{
  char *id;
  char *holder;
  char *shard;
  int64_t token;
  int64_t asked_at_ms; /* the clock of the host that asks, which the answer returns */
} job_runs_t;

/* TYPE is JOB_MSG_RUNS_QUERY or JOB_MSG_RUNS_OVER. */
GBytes *job_msg_runs (job_status_msg_t type, const job_runs_t *runs);
/* The caller clears *RUNS, also after an error. */
int job_msg_read_runs (frame_reader_t *reader, job_runs_t *runs);
void job_runs_clear (job_runs_t *runs);

#endif
