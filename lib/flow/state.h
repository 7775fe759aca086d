/* state.h -- the structs behind flow_t; private to lib/flow */
#ifndef FLOW_STATE_H
#define FLOW_STATE_H

#include "base/hash.h"
#include "flow/admission.h"
#include "flow/flow.h"
#include "flow/sizes.h"

typedef struct job_t job_t;

typedef struct
{
  uint64_t number;
  job_t *job;
  const char *host;      /* interned */
  const char *shard;     /* interned */
  int64_t token;         /* of the owner's claim */
  int64_t lost_at_ms;    /* when HOST was last heard, if it is lost; else 0 */
  GArray *open;          /* indexes of tasks that have not ended */
  bool sent_again;       /* the owner may have taken it when it was sent first */
  bool maybe;            /* an owner before may have started its tasks */
  int64_t wait_until_ms; /* MAYBE: by then what that owner started is over */
  bool cancelled;        /* its end was asked for, and is not confirmed */
} batch_t;

struct job_t
{
  uint64_t number;
  flow_job_t info; /* with strings of its own */
  placement_target_t aim;
  flow_size_t size;
  GArray *unplaced;    /* int32_t */
  int64_t stuck_at_ms; /* since then no owner is there for these; 0 if one may be */
  GPtrArray *batches;  /* batch_t */
  int32_t left;        /* tasks that are not done */
  int32_t handovers;
  int32_t returns;
  int64_t expected_wait_ms; /* on arrival; negative if nothing was known */
  int64_t report_age_ms;    /* likewise */
  int64_t start_limit_ms;   /* of its queue, from its arrival; 0 for none */
  uint32_t draw; /* all its tasks are drawn alike: a job on few owners is lost with few */
  bool was_sent;
  bool may_have_run;
  bool ending; /* waits for confirmations of its end */
  flow_outcome_t outcome;
  const char *reason;
  flow_limit_t limit;
  int64_t confirm_by_ms;
};

typedef struct
{
  const char *service; /* interned */
  int32_t slots;
  int32_t slots_all;
  double ratio;
} row_t;

typedef struct
{
  const char *name;     /* interned */
  const char *owner;    /* interned, or NULL */
  int64_t token;        /* of its claim */
  GArray *rows;         /* row_t */
  GHashTable *services; /* interned: a set of those that its owners have offered */
  GArray *loads;        /* forecast_load_t; their services are interned */
  bool reported;        /* the owner has told its loads */
  bool drained;
  int32_t waiting;
} shard_t;

/* A batch that HOST must end (FLOW_CANCEL), or leave to another owner (FLOW_RELEASE). */
typedef struct
{
  flow_action_kind_t kind;
  uint64_t number;
  const char *host; /* interned */
  int64_t due_ms;
  int64_t until_ms;
} cancel_t;

struct flow_t
{
  const char *host;
  const char *data_centre;
  int64_t lease_ms;
  double remote_factor;
  GHashTable *racks;   /* rack -> interned shard */
  GHashTable *jobs;    /* number -> job_t */
  GHashTable *by_id;   /* id -> job_t */
  GHashTable *batches; /* number -> batch_t */
  GHashTable *shards;  /* interned name -> shard_t */
  GHashTable *drained; /* interned: a set of names, also of shards that are not known */
  GPtrArray *order;    /* shard_t, as they came */
  GRand *rand;
  GHashTable *cancels; /* number -> cancel_t that is not confirmed yet */
  sizes_t *sizes;
  GStringChunk *names; /* of jobs that were answered in the last call */
  uint64_t last;
};

/* spread.c: gives what is unplaced of JOB to owners. */
void spread_job (flow_t *flow, job_t *job, int64_t now_ms, GArray *actions);

/* spread.c: a batch of JOB for the owner of SHARD, still without tasks, and the action that sends
 * it. */
batch_t *spread_batch (flow_t *flow, job_t *job, const shard_t *shard);
void spread_send (const job_t *job, const batch_t *batch, GArray *actions);

/* spread.c: so many times as long JOB takes in SHARD for being away from its data. */
double spread_distance (const flow_t *flow, const shard_t *shard, const job_t *job);

/* spread.c: a slot of RATIO is good enough for JOB. */
bool spread_is_worth (double ratio, const job_t *job, const placement_best_t *hope, int64_t now_ms);

/* outlook.c: the owner for a task of JOB that finds no free slot, which counts as sent there; NULL
 * if one that may run it has told no load. */
shard_t *
outlook_choose (flow_t *flow, const job_t *job, const placement_best_t *hope, int64_t now_ms);

/* outlook.c: whether JOB, which has just come, is taken. */
admission_t outlook_admit (flow_t *flow, job_t *job, int64_t now_ms);

/* outlook.c: when the caller of JOB, which is refused, should come back, from now. */
int64_t outlook_retry_ms (flow_t *flow, const job_t *job, int64_t now_ms);

/* cancels.c: tells the owner of BATCH, until it confirms it, what has become of it (FLOW_CANCEL or
 * FLOW_RELEASE), and repeats what is not confirmed yet. */
void cancels_add (flow_t *flow,
                  const batch_t *batch,
                  flow_action_kind_t kind,
                  int64_t now_ms,
                  GArray *actions);
void cancels_repeat (flow_t *flow, int64_t now_ms, GArray *actions);

flow_action_t *flow_add (GArray *actions, flow_action_kind_t kind);

/* Forgets a batch of a job, whose tasks are elsewhere or have ended. */
void flow_drop_batch (flow_t *flow, batch_t *batch);

#endif
