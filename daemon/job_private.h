/* job_private.h -- what the files of the job part share: entries and their flow
 *
 * An entry stands for one idempotency key at this host, from its first
 * submission here until the key's window has passed.  All on the control
 * thread, except waiter_t, which a caller's thread shares with it.
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

#define JOB_PART "job"

/* How long a claim or a probe may take. */
#define CLAIM_WITHIN_MS 3000
/* How long past its deadline a caller's thread waits for the control thread. */
#define WAIT_SLACK_MS 5000

enum
{
  FRAME_JOB_WAIT = FRAME_JOB_FIRST,
  FRAME_JOB_ANSWER,
  FRAME_JOB_CANCEL,
  FRAME_JOB_STATE,
  FRAME_JOB_KEPT,
  FRAME_JOB_KEPT_CONFIRM,
  FRAME_JOB_MOVED
};

typedef enum
{
  ENTRY_CLAIMING,   /* waits for grants */
  ENTRY_RUNNING,    /* this host coordinates: tasks are queued or run */
  ENTRY_RECLAIMING, /* its grants ran out before the first start */
  ENTRY_REFUSING,   /* a refusal waits for its confirmation */
  ENTRY_ATTACHED,   /* another host coordinates */
  ENTRY_ENDED       /* has its answer, or had it */
} entry_state_t;

typedef struct job_part_t job_part_t;
typedef struct entry_t entry_t;

/* A caller's thread that waits for an answer. */
typedef struct
{
  atomic_int refs;
  pthread_mutex_t lock;
  pthread_cond_t done;
  job_answer_t *answer;
} waiter_t;

/* Another host that waits for the answer of an entry. */
typedef struct
{
  char *host;
  uint64_t request_id;
} remote_waiter_t;

/* One task of a running entry. */
typedef struct
{
  entry_t *entry;
  uint32_t index;
  uint64_t ticket; /* 0 when not at the dispatcher */
} run_t;

struct entry_t
{
  atomic_int refs;
  job_part_t *part;
  entry_state_t state;
  char *key;
  char *home;
  hash_digest_t digest;
  job_request_t *request; /* NULL once ended */
  char *plan;
  char *kind;
  int64_t begun_at_ms;
  int64_t deadline_at_ms; /* boot clock */
  int64_t forget_at_ms;   /* boot clock: the end of the key's window */
  GPtrArray *waiters;     /* waiter_t */
  GPtrArray *remotes;     /* remote_waiter_t */
  job_t *job;             /* while this host coordinates */
  run_t *runs;
  GPtrArray *held; /* run_t whose start came without a valid grant */
  bool cancelled;
  uint32_t attach_attempts;
  /* The refusal or failure that waits for confirmation. */
  int pending_error;
  int64_t pending_retry_at_ms;
  char *pending_message;
  /* While attached. */
  char *claimant;
  uint64_t claimant_incarnation;
  uint64_t request_id;
  bool claimant_unknown; /* it does not know the key: claim again at resend_at_ms */
  int64_t resend_at_ms;
  int64_t lost_at_ms; /* when a claimant that is not connected is given up; 0 if connected */
  /* Once ended. */
  job_answer_t *answer; /* NULL when it is no longer kept */
};

/* A question to another host that is not a submission: cancel or state. */
typedef struct
{
  waiter_t *waiter;
  uint64_t request_id;
  char *key;
  char *host; /* NULL until the claimant is known */
  bool cancel;
  int64_t give_up_at_ms;
  job_part_t *part;
} query_t;

struct job_part_t
{
  part_t base;
  job_parts_t parts;
  endpoint_client_t *endpoints;
  GHashTable *entries;  /* key -> entry_t */
  GHashTable *live;     /* set of entry_t that have not ended */
  GHashTable *requests; /* request id -> entry_t (attached), weak */
  GHashTable *queries;  /* request id -> query_t */
  GHashTable *cancels;  /* host -> GPtrArray of query_t to send with the next tick */
  int64_t forget_next_at_ms;
  GQueue kept; /* entry_t with a kept answer, oldest first */
  int64_t kept_bytes;
  uint64_t next_request_id;
  GHashTable *moves;   /* incarnation -> where its answers went */
  GHashTable *leaving; /* set of hosts that are no successors */
  char *successor;     /* of this host, while it stops */
  uint64_t successor_incarnation;
  uint64_t move_batch;
  int64_t move_until_ms;
  bool moved;
  GPtrArray *hosts; /* host_t of the last host list, or NULL */
  bool warm;        /* holds slots, or has waited for some long enough */
  int64_t cold_since_ms;
  atomic_int waiting;
  atomic_bool ready;
  _Atomic int64_t last_tick_ms;
  counter_t *attached;
  counter_t *retries;
  counter_t *messages;
  counter_t *tasks_started;
};

/* --- job_table.c: entries, waiters and kept answers --- */

entry_t *entry_new (job_part_t *part, job_request_t *request);
entry_t *entry_ref (entry_t *entry);
void entry_unref (entry_t *entry);
/* Gives ANSWER (taken over) to all waiters.  KEEP keeps it for resubmissions;
 * otherwise the key is forgotten here and may be submitted anew. */
void entry_end (entry_t *entry, job_answer_t *answer, bool keep);
/* The answer of an ended entry: the kept one, or answer_gone. */
job_answer_t *entry_answer (entry_t *entry);
/* Adds an ended entry with a kept answer (taken over) of another host. */
void entry_inherit (job_part_t *part,
                    const char *key,
                    const hash_digest_t *digest,
                    int64_t forget_at_ms,
                    job_answer_t *answer);
/* Forgets ended entries whose window has passed. */
void entries_forget (job_part_t *part, int64_t now_ms);

waiter_t *waiter_new (void);
void waiter_unref (waiter_t *waiter);
/* Gives ANSWER (taken over) to WAITER and drops one reference. */
void waiter_give (waiter_t *waiter, job_answer_t *answer);
/* Blocks until the answer is there, at most until UNTIL_MS (boot clock), and
 * drops one reference.  Never NULL. */
job_answer_t *waiter_take (waiter_t *waiter, int64_t until_ms);

/* --- job_door.c: checks before the claim --- */

/* What the dispatcher needs to know of TASK. */
dispatch_task_t entry_describe_task (const entry_t *entry, const job_task_t *task);
/* Returns 0, or the error kind of a refusal, with *RETRY_AT_MS (wall clock, 0
 * for none) and *MESSAGE (static, or NULL for the kind's own). */
int entry_check_at_door (entry_t *entry, int64_t *retry_at_ms, const char **message);

/* --- job_ready.c: readiness --- */

/* Listens to the host list; DATA is the job part. */
void job_ready_on_hosts (const config_t *config, GPtrArray *hosts, void *data);
/* Every tick, before the time of the last one is updated. */
void job_ready_update (job_part_t *part, int64_t now_ms);

/* --- part_job.c: the flow of an entry --- */

/* Starts over with the claim, for example because its claimant released it. */
void entry_claim (entry_t *entry);
/* The state of an entry as an answer, which the caller owns. */
job_answer_t *entry_state (entry_t *entry);
/* Cancels an entry, whatever its state; its waiters get the answer. */
void entry_cancel (entry_t *entry);

/* --- job_peer.c: messages between coordinators --- */

/* Waits for the answer of the claimant in OUTCOME. */
void entry_attach (entry_t *entry, const claim_outcome_t *outcome);
void job_peer_frame (part_t *base, const char *from, frame_reader_t *reader, int64_t now_ms);
void job_peer_tick (job_part_t *part, int64_t now_ms);
void job_peer_up (part_t *base, const char *host, int64_t now_ms);
void job_peer_down (part_t *base, const char *host, int64_t now_ms);
/* Sends the answer of ENTRY to a host that waits for it. */
void job_peer_answer (entry_t *entry, const char *host, uint64_t request_id);
/* Asks the claimant of a key for its state or to cancel it; QUERY is taken
 * over and answered. */
void job_peer_query (query_t *query);

/* --- job_move.c: a stopping host's kept answers --- */

void job_move_init (job_part_t *part);
/* True once this stopping host's answers are with another host, or there is
 * none to take them.  Starts the move; call it every tick while stopping. */
bool job_move_done (job_part_t *part, int64_t now_ms);
/* Finds the HOST that has the answers of a stopped INCARNATION.  Returns false
 * if it has not moved. */
bool job_move_resolve (job_part_t *part, uint64_t incarnation, const char **host, uint64_t *to);
/* Tells HOST of all moves that are known. */
void job_move_tell (job_part_t *part, const char *host);
void job_move_forget (job_part_t *part, int64_t now_ms);
void job_move_take_kept (job_part_t *part, const char *from, frame_reader_t *reader);
void job_move_take_confirm (job_part_t *part, const char *from, frame_reader_t *reader);
void job_move_take_moved (job_part_t *part, const char *from, frame_reader_t *reader);

#endif
