/* flow.h -- jobs of one coordinator: which owner gets their tasks, and what is answered
 *
 * The host that has read a job is its coordinator until it is answered.  It splits
 * the tasks over the owners of shards by the room that they offer, follows them when a shard
 * changes its owner, and answers as soon as the outcome is certain: complete, failed as
 * often as is allowed, refused with nothing run, or given up.
 *
 * Pure: events and the time go in, actions come out; times are milliseconds of the boot
 * clock.  Not thread-safe.  Strings in events are copied; pointers in actions are valid
 * until the next call.
 */
#ifndef FLOW_FLOW_H
#define FLOW_FLOW_H

#include "fleet/fleet.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct flow_t flow_t;

typedef struct
{
  const char *id;
  const char *queue; /* its name; "" if it has none */
  const char *spec;
  const char *service;
  int32_t priority;
  int32_t tasks;
  resources_t need;
  int64_t estimate_ms;
  double stretch;    /* a job is late after this times its estimate .. */
  int64_t target_ms; /* .. and this more */
  int64_t received_at_ms;
  int64_t deadline_at_ms; /* nobody waits for the answer any longer */
  bool
      deadline_of_queue; /* the caller has not said how long it waits: the queue's time stands in */
  int64_t start_by_ms;   /* refused if no task has started by then; 0 for never */
  int32_t attempts_max;
  const char *label;
  const char *near_rack;
  int32_t spread_max;
  void *user; /* comes back with the answer */
} flow_job_t;

typedef enum
{
  FLOW_COMPLETE,
  FLOW_FAILED,   /* a task has failed as often as is allowed */
  FLOW_REFUSED,  /* nothing has run and nothing will */
  FLOW_GIVEN_UP, /* it may have run in part */
  FLOW_CANCELLED /* its caller wants it no more; it may have run in part */
} flow_outcome_t;

/* The limit that has ended a job. */
typedef enum
{
  FLOW_LIMIT_NONE,
  FLOW_LIMIT_CALLER_WAIT, /* it can't end while its caller waits */
  FLOW_LIMIT_QUEUE_TIME, /* likewise, within its queue's time; or no task has started within that */
  FLOW_LIMIT_ATTEMPTS,   /* a task has failed as often as its queue allows */
  FLOW_LIMIT_OWNERS,     /* no owner of endpoints was there for it, or one was lost */
  FLOW_LIMIT_DRAINED,    /* every data centre with endpoints for it is drained */
  FLOW_LIMIT_CAPACITY    /* on arrival: the backlog is too long for it */
} flow_limit_t;

/* How large a job is among the last ones of its queue, by the work that its caller expects. */
typedef enum
{
  FLOW_SIZE_USUAL,
  FLOW_SIZE_LARGE,  /* the fifth below the largest tenth */
  FLOW_SIZE_LARGEST /* the largest tenth */
} flow_size_t;

#define FLOW_OWNERS_BYTES 128

typedef enum
{
  FLOW_SUBMIT,  /* send BATCH to HOST */
  FLOW_CANCEL,  /* tell HOST to end batch NUMBER */
  FLOW_RELEASE, /* tell HOST that batch NUMBER is another owner's now */
  FLOW_ANSWER
} flow_action_kind_t;

typedef struct
{
  flow_action_kind_t kind;
  const char *host;  /* interned */
  const char *shard; /* FLOW_SUBMIT; interned */
  uint64_t number;
  fleet_batch_t batch; /* its strings and indexes belong to the flow */
  GArray *indexes;     /* FLOW_SUBMIT: int32_t; the receiver of the action unrefs it */
  flow_outcome_t outcome;
  void *user;
  const char *reason; /* static */
  flow_limit_t limit;
  int64_t retry_after_ms; /* FLOW_REFUSED */
  int64_t elapsed_ms;
  int64_t late_by_ms; /* over the goal; negative if in time */
  /* FLOW_ANSWER, for the log: */
  const char *job;          /* valid until the next call */
  const char *queue;        /* likewise */
  int64_t expected_wait_ms; /* of a task, as forecast on arrival; negative if nothing was known */
  int64_t report_age_ms;    /* of the owner's report that this rests on; likewise */
  int32_t tasks;
  int64_t estimate_ms;
  flow_size_t size;
  int32_t left;                   /* not done */
  int32_t handovers;              /* of parts of it between owners */
  int32_t returns;                /* tasks that owners gave back */
  char owners[FLOW_OWNERS_BYTES]; /* which owners had how many of those left */
} flow_action_t;

typedef struct
{
  const char *host; /* this one */
  const char *data_centre;
  int64_t lease_ms; /* as in fleet_options_t */
  double remote_factor;
} flow_options_t;

flow_t *flow_new (const flow_options_t *options);
void flow_free (flow_t *flow);

/* Takes a job, or refuses it, with nothing sent, if it is nearly certain that it can't be served in
 * time.  Its actions follow at once or from flow_step (). */
uint64_t flow_submit (flow_t *flow, const flow_job_t *job, int64_t now_ms, GArray *actions);

/* The caller has gone, or has cancelled the job: its tasks end, and there is no answer. */
void flow_abandon (flow_t *flow, uint64_t job, int64_t now_ms, GArray *actions);

/* Ends the job with ID, which is answered as cancelled.  Returns false if it is not here. */
bool flow_cancel (flow_t *flow, const char *id, int64_t now_ms, GArray *actions);

/* What the owner of SHARD offers: COUNT rows.  WAITING tasks are queued there. */
void flow_offer (flow_t *flow,
                 const char *shard,
                 const char *host,
                 const fleet_offer_t *offers,
                 size_t count,
                 int32_t waiting);

/* What the owner of SHARD has told of its backlog by NOW_MS: one row for each of its services.  An
 * owner that tells nothing is placed by its count of waiting tasks, and no job is refused for its
 * backlog. */
void flow_load (flow_t *flow,
                const char *shard,
                const char *host,
                const fleet_load_t *loads,
                size_t count,
                int64_t now_ms);

/* Endpoints of RACK are in SHARD. */
void flow_set_rack (flow_t *flow, const char *rack, const char *shard);

/* The data centre of SHARD is drained, or no longer: nothing is placed there while it is.  A job
 * for whose service every data centre with endpoints is drained is refused at once. */
void flow_set_drained (flow_t *flow, const char *shard, bool drained);

/* SHARD is owned by HOST (NULL: by nobody) under TOKEN. */
void flow_owner (flow_t *flow,
                 const char *shard,
                 const char *host,
                 int64_t token,
                 int64_t now_ms,
                 GArray *actions);

/* HOST is gone; it was last heard at HEARD_AT_MS. */
void flow_host_lost (flow_t *flow,
                     const char *host,
                     int64_t heard_at_ms,
                     int64_t now_ms,
                     GArray *actions);

/* Messages to and from HOST may have been lost: sends what it still owes again. */
void flow_resync (flow_t *flow, const char *host, GArray *actions);

/* HOST had lost this host and has ended what it was given: sends it again, as tasks that may be
 * running. */
void flow_dropped (flow_t *flow, const char *host, int64_t now_ms, GArray *actions);

/* Gives up all jobs: this host stood still for so long that owners have dropped them. */
void flow_give_up_all (flow_t *flow, const char *reason, int64_t now_ms, GArray *actions);

typedef enum
{
  FLOW_TASK_DONE,
  FLOW_TASK_FAILED,
  FLOW_TASK_RETURNED,
  FLOW_TASK_EXPIRED,
  FLOW_TASK_UNSTARTED, /* it never started within its queue's time */
  FLOW_TASK_OVERDUE,   /* it has run, and can't end before its deadline */
  FLOW_TASK_NOT_OWNED, /* HOST does not own the shard, and knows nothing of the task */
  FLOW_TASK_VACATED    /* it may have run, what ran is over, and HOST does not start it */
} flow_task_end_t;

/* What HOW, one of FLEET_DONE to FLEET_RETURNED_AFTER_RUN as an owner tells it, is to a job. */
flow_task_end_t flow_end_of (fleet_action_kind_t how);

/* Task INDEX of batch NUMBER at HOST has ended, as far as HOST is concerned. */
void flow_task_ended (flow_t *flow,
                      const char *host,
                      uint64_t number,
                      int32_t index,
                      flow_task_end_t how,
                      int64_t now_ms,
                      GArray *actions);

/* HOST has ended batch NUMBER, or left it to another owner; NEVER_STARTED if nothing of it ran. */
void flow_cancelled (flow_t *flow,
                     const char *host,
                     uint64_t number,
                     bool never_started,
                     int64_t now_ms,
                     GArray *actions);

/* Places tasks, and answers what has no chance or has run out of time.  Call after other
 * events and every few milliseconds. */
void flow_step (flow_t *flow, int64_t now_ms, GArray *actions);

/* Appends what the owners of other shards than SHARD offer, as fleet_offer_t. */
void flow_offers_elsewhere (const flow_t *flow, const char *shard, GArray *offers);

int32_t flow_jobs (const flow_t *flow);

/* Some owner has endpoints for tasks, or would have if its data centre were not drained. */
bool flow_has_offers (const flow_t *flow);

#endif
