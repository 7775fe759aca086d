/* job_private.h -- declarations shared by the files of the job part
 *
 * An entry is the record of one idempotency key at this host.  It exists from
 * the first submission here until the job has ended without a kept answer, or
 * until the key's window has passed.
 *
 * Everything runs on the control thread, except waiter_t, which the control
 * thread shares with a caller's thread.  Times ending in _at_ms are on the boot
 * clock unless a comment says otherwise.
 */
#ifndef DAEMON_JOB_PRIVATE_H
#define DAEMON_JOB_PRIVATE_H

#include "base/counter.h"
#include "daemon/endpoint_client.h"
#include "daemon/part_claim.h"
#include "daemon/part_config.h"
#include "daemon/part_dispatch.h"
#include "daemon/part_job.h"
#include "job/job.h"

#include <pthread.h>
#include <stdatomic.h>

/* Component name in log lines. */
#define JOB_PART "job"

/* Timeout of a claim, a probe or a confirmation at the key's replicas. */
#define CLAIM_TIMEOUT_MS 3000
/* A caller's thread waits this long past the time by which the control thread
 * should have answered, and then returns ERROR_DEADLINE_PASSED itself. */
#define ANSWER_WAIT_MARGIN_MS 5000

/* Frame types of the job part. */
enum
{
  FRAME_JOB_WAIT = FRAME_JOB_FIRST, /* asks for the answer of a key; may cancel it */
  FRAME_JOB_ANSWER,                 /* an answer, or that the key is unknown */
  FRAME_JOB_CANCEL,                 /* a batch of cancellations, answered like FRAME_JOB_WAIT */
  FRAME_JOB_STATE,                  /* asks for the state of a key */
  FRAME_JOB_TRANSFER,               /* a batch of kept answers of a host that stops */
  FRAME_JOB_TRANSFER_CONFIRM,       /* the batch has been stored */
  FRAME_JOB_TRANSFERRED /* which incarnations have transferred their answers, and where */
};

typedef enum
{
  JOB_ENTRY_CLAIMING,   /* a claim has been sent to the key's replicas */
  JOB_ENTRY_RUNNING,    /* this host coordinates: tasks are queued or run */
  JOB_ENTRY_RECLAIMING, /* the grants expired before the first start; claims again */
  JOB_ENTRY_REFUSING,   /* a refusal waits for confirmation by the replicas */
  JOB_ENTRY_ATTACHED,   /* another host coordinates; waits for its answer */
  JOB_ENTRY_ENDED       /* answered; the answer may have been discarded since */
} job_entry_state_t;

typedef struct job_part_t job_part_t;
typedef struct job_entry_t job_entry_t;

/* A caller's thread that waits for an answer.  Two references: one of the
 * caller's thread, one of the control thread. */
typedef struct
{
  atomic_int refs;
  pthread_mutex_t lock;
  pthread_cond_t answered;
  job_answer_t *answer;
} waiter_t;

/* Another host that waits for the answer of an entry. */
typedef struct
{
  char *host;
  uint64_t request_id;
} remote_waiter_t;

/* One task of an entry that this host coordinates. */
typedef struct
{
  job_entry_t *entry;
  uint32_t index;
  uint64_t ticket; /* of the dispatcher; 0 while it has none */
} task_run_t;

struct job_entry_t
{
  atomic_int refs;
  job_part_t *part;
  job_entry_state_t state;
  char *key;
  char *home;
  hash_digest_t digest;
  job_request_t *request; /* NULL once ended */
  char *plan;             /* NULL until the precheck has found the customer's plan */
  char *kind;
  int64_t submitted_at_ms;
  int64_t deadline_at_ms;
  int64_t expires_at_ms;     /* end of the key's window */
  GPtrArray *waiters;        /* waiter_t */
  GPtrArray *remote_waiters; /* remote_waiter_t */
  job_t *job;                /* while this host coordinates */
  task_run_t *task_runs;
  GPtrArray *deferred_runs; /* task_run_t that were dispatched without a valid grant */
  bool cancelled;           /* as soon as the claim has been granted, the job ends as cancelled */
  uint32_t attach_attempts; /* claimants that did not know the key */
  /* The error of an entry in JOB_ENTRY_REFUSING. */
  int pending_error;
  int64_t pending_retry_at_ms; /* wall clock, 0 for none */
  char *pending_message;       /* NULL for the default message */
  /* While attached; the claimant is a host id. */
  char *claimant;
  uint64_t claimant_incarnation;
  uint64_t request_id;     /* of the wait message */
  bool reclaim_pending;    /* the claimant does not know the key; claims again at next_send_at_ms */
  int64_t next_send_at_ms; /* of the wait message or the claim */
  int64_t claimant_timeout_at_ms; /* when a disconnected claimant counts as lost; 0 if connected */
  /* Once ended. */
  job_answer_t *answer; /* NULL once it has been discarded */
};

/* A caller's request for the state or the cancellation of a key. */
typedef struct
{
  waiter_t *waiter;
  uint64_t request_id;
  char *key;
  char *host;  /* NULL until the claimant is known */
  bool cancel; /* else a state query */
  int64_t timeout_at_ms;
  job_part_t *part;
} job_query_t;

struct job_part_t
{
  part_t base;
  job_parts_t parts;
  endpoint_client_t *endpoints;
  GHashTable *entries;          /* key -> job_entry_t */
  GHashTable *active_entries;   /* set of job_entry_t that have not ended */
  GHashTable *attached_entries; /* request id -> job_entry_t (attached), without a reference */
  GHashTable *queries;          /* request id -> job_query_t */
  GHashTable *pending_cancels;  /* host -> GPtrArray of job_query_t, sent with the next tick */
  int64_t next_expiry_scan_at_ms;
  GQueue kept_entries; /* job_entry_t with a kept answer, oldest first */
  int64_t kept_bytes;  /* size of the kept answers with their overhead */
  uint64_t next_request_id;
  GHashTable *transfers;      /* stopped incarnation -> transfer_t */
  GHashTable *stopping_hosts; /* set of host ids that cannot be the successor */
  char *successor;            /* host that receives the kept answers while this host stops */
  uint64_t successor_incarnation;
  uint64_t transfer_batch;        /* number of the last batch sent */
  int64_t transfer_timeout_at_ms; /* when another successor is chosen */
  bool transfer_finished;
  GPtrArray *hosts; /* host_t of the last host list, or NULL */
  bool warmed_up;   /* has held a free slot, or the warm-up has timed out */
  int64_t warmup_started_at_ms;
  atomic_int waiting_callers; /* in part_job_submit () */
  atomic_bool ready;          /* see part_job_is_ready () */
  _Atomic int64_t last_tick_ms;
  counter_t *jobs_attached;
  counter_t *task_retries;
  counter_t *messages_sent;
  counter_t *tasks_started;
};

/* --- job_table.c: entries, waiters and kept answers --- */

/* Adds an entry for REQUEST, in JOB_ENTRY_CLAIMING.  The table owns the returned
 * reference. */
job_entry_t *job_entry_new (job_part_t *part, job_request_t *request);
job_entry_t *job_entry_ref (job_entry_t *entry);
void job_entry_unref (job_entry_t *entry);
/* Ends ENTRY and gives ANSWER (taken over) to all its waiters.  With KEEP the
 * answer is kept for resubmissions; otherwise the entry is removed, and a
 * resubmission claims the key again.  If ENTRY has already ended, ANSWER is
 * only released. */
void job_entry_end (job_entry_t *entry, job_answer_t *answer, bool keep);
/* The answer of an ended entry, or ERROR_ANSWER_GONE if it has been discarded.
 * The caller owns it. */
job_answer_t *job_entry_answer (job_entry_t *entry);
/* Adds an ended entry with ANSWER (taken over), which a stopping host has
 * transferred to this one. */
void job_entry_add_kept (job_part_t *part,
                         const char *key,
                         const hash_digest_t *digest,
                         int64_t expires_at_ms,
                         job_answer_t *answer);
/* Removes ended entries whose key window has passed.  Call it every tick. */
void job_entries_expire (job_part_t *part, int64_t now_ms);

waiter_t *waiter_new (void);
void waiter_unref (waiter_t *waiter);
/* Hands ANSWER (taken over) to the waiting thread and releases the control
 * thread's reference of WAITER. */
void waiter_complete (waiter_t *waiter, job_answer_t *answer);
/* Blocks until there is an answer or until UNTIL_MS (boot clock), and releases
 * the calling thread's reference of WAITER.  Returns an answer that the caller
 * owns; ERROR_DEADLINE_PASSED after a timeout. */
job_answer_t *waiter_wait (waiter_t *waiter, int64_t until_ms);

/* --- job_precheck.c: checks before the claim --- */

/* Returns the dispatcher's description of TASK.  Its strings belong to ENTRY. */
dispatch_task_t job_entry_describe_task (const job_entry_t *entry, const job_task_t *task);
/* Checks a submission against the state of this host and sets the entry's plan.
 * Returns 0, or the error of a refusal; then *RETRY_AT_MS (wall clock) and
 * *MESSAGE (static) are set if there are any, else left unchanged. */
int job_entry_check_before_claim (job_entry_t *entry, int64_t *retry_at_ms, const char **message);

/* --- job_ready.c: readiness --- */

/* Listener for new host lists; DATA is the job part.  Takes a reference of HOSTS. */
void job_ready_on_hosts (const config_t *config, GPtrArray *hosts, void *data);
/* Updates the readiness.  Call it every tick, before last_tick_ms is set: the gap
 * since the previous tick shows whether the process was frozen. */
void job_ready_update (job_part_t *part, int64_t now_ms);

/* --- part_job.c: state transitions of an entry --- */

/* Claims the key of ENTRY; also again, for example after its claimant has released
 * it. */
void job_entry_claim (job_entry_t *entry);
/* Returns the state of ENTRY as an answer that the caller owns. */
job_answer_t *job_entry_state (job_entry_t *entry);
/* Cancels ENTRY: at once if this host coordinates it, or after the grant if the key
 * is still being claimed.  An entry that is being refused or has ended keeps its
 * answer. */
void job_entry_cancel (job_entry_t *entry);

/* --- job_peer.c: messages between coordinators --- */

/* Attaches ENTRY to the claimant in OUTCOME: sends it a wait message, whose answer
 * ends the entry. */
void job_entry_attach (job_entry_t *entry, const claim_outcome_t *outcome);
/* job_peer_frame (), job_peer_up () and job_peer_down () are members of the job
 * part's part_ops_t; see there. */
void job_peer_frame (part_t *base, const char *from, frame_reader_t *reader, int64_t now_ms);
/* Sends what is due, and ends queries that have timed out.  Every tick. */
void job_peer_tick (job_part_t *part, int64_t now_ms);
void job_peer_up (part_t *base, const char *host, int64_t now_ms);
void job_peer_down (part_t *base, const char *host, int64_t now_ms);
/* Sends the answer of ENTRY, which has ended, to HOST, which waits for it with
 * REQUEST_ID. */
void job_peer_send_answer (job_entry_t *entry, const char *host, uint64_t request_id);
/* Sends QUERY (taken over) to its host, the claimant of the key.  Its waiter gets
 * the answer, or ERROR_CLAIMANT_LOST after a timeout. */
void job_peer_send_query (job_query_t *query);

/* --- job_transfer.c: transfer of a stopping host's kept answers --- */

void job_transfer_init (job_part_t *part);
/* Starts and continues the transfer of the kept answers of this host; call it
 * every tick while the host stops.  Returns true once another host has stored
 * them, or if there is no host that could. */
bool job_transfer_advance (job_part_t *part, int64_t now_ms);
/* Finds the host that holds the answers of INCARNATION, which has stopped: sets
 * *HOST (belongs to the part) and *TO, its incarnation.  Returns false, and sets
 * nothing, if no transfer from INCARNATION is known. */
bool job_transfer_resolve (job_part_t *part, uint64_t incarnation, const char **host, uint64_t *to);
/* Sends HOST all known transfers. */
void job_transfer_send_announcements (job_part_t *part, const char *host);
/* Removes transfers that have expired.  Call it every tick. */
void job_transfer_expire (job_part_t *part, int64_t now_ms);
/* Handle one received frame each: FRAME_JOB_TRANSFER, FRAME_JOB_TRANSFER_CONFIRM
 * and FRAME_JOB_TRANSFERRED. */
void job_transfer_handle_answers (job_part_t *part, const char *from, frame_reader_t *reader);
void job_transfer_handle_confirm (job_part_t *part, const char *from, frame_reader_t *reader);
void job_transfer_handle_announcements (job_part_t *part, const char *from, frame_reader_t *reader);

#endif
