/* executor.h -- execution of tasks on the endpoints that one owner manages
 *
 * An executor runs the tasks that coordinators send to the owner of a shard: it queues them,
 * chooses the endpoint on which each of them starts, renews the leases of the endpoints, and
 * records how the tasks end.  A run is one attempt of a task on an endpoint.  Only the owner of an
 * endpoint starts tasks on it, renews the lease under which they run, and records their ends.  An
 * endpoint accepts orders only under the highest fencing token that it has seen, so that the first
 * call of a new owner locks out the previous owner.
 *
 * The module does no I/O: events and the current time are passed in, and actions
 * (executor_action_t) for the caller to carry out are appended to an array.  Times are milliseconds
 * of the boot clock; start times of endpoints and names that contain `endpoint_clock` or end in
 * `_endpoint_ms` are on the endpoint's own clock.  Not thread-safe.  Strings in events are copied.
 * Pointers in actions are valid until the next call.
 *
 * Invariants:
 * - A task has at most one run that may be alive, on one endpoint.
 * - A run whose start order was not answered counts as over only when the endpoint has reported
 *   so, has confirmed a stop, or its lease has certainly expired.
 * - If a run must stop and has not stopped, the lease of its endpoint is renewed for at most
 *   EXECUTOR_UNSTOPPED_MAX_MS.  After that, every run on the endpoint ends when the lease expires.
 * - No order extends the lease of an endpoint with runs of a coordinator beyond RESUBMIT_MS after
 *   the owner has last heard that coordinator.
 * - Nothing starts on an endpoint before a poll by the owner has listed the runs there.
 * - What this host can't send without delay waits in the queue (order_window.h), so that a
 *   delay of its own link or processor, up to some 200 ms, does not make endpoints look silent.
 * - A task is reported as failed only if so many of its runs have ended as failed, or if three
 *   endpoints have certainly crashed under runs of it that had started (crashes.h).  After the
 * first lost endpoint it starts on an endpoint of its own, so that it takes no other run with it.
 * - A task is reported as never started only if no other owner can have started it, which is the
 *   case if its batch was sent under the claim in force.  A task that another owner may have
 *   started stays with its shard, whose endpoints accept only one owner, until its outcome is
 *   known or its deadline passes.
 */
#ifndef EXECUTOR_EXECUTOR_H
#define EXECUTOR_EXECUTOR_H

#include "executor/crashes.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct executor_t executor_t;

/* Resources that a task requests or that an endpoint has. */
typedef struct
{
  int64_t cores_milli;
  int64_t memory_mb;
  int64_t gpus;
} resources_t;

typedef struct
{
  const char *id;
  const char *address;
  const char *service;
  const char *kind; /* machine kind; endpoints of one kind are about equally fast */
  const char *rack;
  int64_t started_at_ms; /* start time on its own clock, which may jump; identifies the endpoint
                            instance */
  resources_t free; /* capacity by its last entry, whatever runs there; may change at any time */
  bool leaving;     /* gets no new tasks */
  int64_t cold_until_ms; /* it may run slower until then; 0 if it is warm */
} executor_endpoint_t;

/* Tasks of one step of a job, submitted together by one coordinator. */
typedef struct
{
  const char *coordinator; /* host id */
  uint64_t batch;          /* batch number, unique within the coordinator */
  int64_t token;           /* fencing token of the claim to which the batch was addressed */
  const char *job;
  int32_t step;
  const char *spec; /* opaque task specification, passed to the endpoint */
  const char *service;
  int32_t priority; /* 0 is the most urgent */
  resources_t need;
  int64_t estimate_ms;     /* duration of a task as estimated by the caller */
  int64_t objective_at_ms; /* objective of the job if its work equals the estimate */
  double stretch_factor;   /* shift of the objective per millisecond of work above the estimate */
  int64_t deadline_at_ms;  /* a result after this is of no use */
  int64_t start_by_ms;  /* the batch is returned if no task has started by then; 0 for no limit */
  int32_t attempts_max; /* the job fails when a task has failed this many times */
  int32_t attempt_base; /* the first attempt has this number plus 1 */
  const char *required_label;     /* required kind or rack of the endpoint; "" for any */
  const char *preferred_rack;     /* rack of the data, where the tasks run faster; "" for none */
  int32_t tasks_per_endpoint_max; /* limit on the tasks of the step on one endpoint; 0 for none */
  bool maybe_running;             /* another owner may have started the tasks */
  int64_t prior_runs_end_by_ms;   /* if MAYBE_RUNNING: runs of the other owner have ended by then */
  const int32_t *indexes;
  size_t count;
} executor_batch_t;

typedef enum
{
  EXECUTOR_START,         /* start TASK on the endpoint */
  EXECUTOR_STOP,          /* stop attempt ATTEMPT of TASK on the endpoint */
  EXECUTOR_POLL,          /* list runs, acknowledge ended runs, and renew the lease unless
                             LEASE_UNTIL_ENDPOINT_MS is 0 */
  EXECUTOR_DONE,          /* to the coordinator: task INDEX of BATCH has succeeded */
  EXECUTOR_FAILED,        /* to the coordinator: it has failed too often, or has crashed its
                             endpoints */
  EXECUTOR_RETURNED,      /* to the coordinator: it never started and has left the queue */
  EXECUTOR_EXPIRED,       /* to the coordinator: it never started and cannot meet its deadline */
  EXECUTOR_START_TIMEOUT, /* to the coordinator: none of its batch has started by START_BY_MS */
  EXECUTOR_OVERDUE,   /* to the coordinator: it may have run and cannot meet its deadline, or its
                         start order was rejected */
  EXECUTOR_NOT_OWNED, /* to the coordinator: this host does not own the shard */
  EXECUTOR_RETURNED_AFTER_RUN, /* to the coordinator: it may have run, its run is over, and it has
                                  left the queue */
  EXECUTOR_LOSS,               /* for the other hosts: LOSS, which they merge into their history */
  EXECUTOR_FENCED,             /* the endpoint has seen a higher token */
  EXECUTOR_LOG                 /* for the log: a decision or an observation (LOG_EVENT) */
} executor_action_kind_t;

/* Kinds of EXECUTOR_LOG, with the fields of the action that they fill. */
typedef enum
{
  EXECUTOR_LOG_DONE,          /* elapsed_ms, expected_ms */
  EXECUTOR_LOG_FAILED,        /* elapsed_ms */
  EXECUTOR_LOG_LEASE_EXPIRED, /* elapsed_ms; also for RUN_GROUP_ENDED */
  EXECUTOR_LOG_HUNG,          /* elapsed_ms, progress_percent */
  EXECUTOR_LOG_MOVED,         /* elapsed_ms, progress_percent */
  EXECUTOR_LOG_ABORTED,       /* elapsed_ms, expected_ms, progress_percent */
  EXECUTOR_LOG_ADOPTED,
  EXECUTOR_LOG_UNCLAIMED, /* elapsed_ms: time since a poll first listed the run; this owner has not
                             started it, no coordinator has claimed it, and it is being stopped */
  EXECUTOR_LOG_REFUSED,   /* reason */
  EXECUTOR_LOG_UNANSWERED,
  EXECUTOR_LOG_UNRESPONSIVE,   /* count: runs on the endpoint */
  EXECUTOR_LOG_RESPONSIVE,     /* elapsed_ms: time since the first unanswered call */
  EXECUTOR_LOG_RESTARTED,      /* count: runs on the endpoint; reason: what showed it */
  EXECUTOR_LOG_RUN_AT_RESTART, /* elapsed_ms; reason: what becomes of the run */
  EXECUTOR_LOG_EJECTED,
  EXECUTOR_LOG_READMITTED,
  EXECUTOR_LOG_CRASHED /* crashes; no endpoint: the task is given up */
} executor_log_event_t;

/* Why a run is ordered to stop.  The first ones are those of a coordinator that has cancelled the
 * batch, and are sent to the owner: numbers don't change. */
typedef enum
{
  STOP_UNKNOWN,       /* the coordinator has not told */
  STOP_CALLER_LEFT,   /* nobody waits for the job any more */
  STOP_DEADLINE,      /* the job can't end in time, or its host stops */
  STOP_UNCONFIRMED,   /* another data centre may not know of the job */
  STOP_OTHER_HOST,    /* another host runs the job */
  STOP_JOB_CANCELLED, /* its caller has cancelled it */
  STOP_JOB_FAILED,    /* another task of it has failed for good */
  STOP_OWNER_LOST,    /* the owner of another part of it is lost */
  STOP_BY_COORDINATOR_LAST = STOP_OWNER_LOST,
  STOP_COORDINATOR_LOST, /* the coordinator is not heard any more */
  STOP_OVERDUE,          /* the run can't end before its deadline */
  STOP_HUNG,             /* it makes no progress */
  STOP_MOVED,            /* it is too slow, and starts on another endpoint */
  STOP_DONE_BEFORE,      /* an earlier run of the task has succeeded */
  STOP_START_UNANSWERED, /* its start order was not answered and may be carried out late */
  STOP_LATER_INSTANCE,   /* its start order may be carried out by a later instance */
  STOP_UNCLAIMED,        /* another owner has started it, and no coordinator has claimed it */
  STOP_REASON_LAST = STOP_UNCLAIMED
} stop_reason_t;

/* Why a task was reported as EXECUTOR_FAILED, or as EXECUTOR_OVERDUE if its order was rejected. */
typedef enum
{
  TASK_FAILURE_UNKNOWN,  /* the owner has not told */
  TASK_FAILURE_ATTEMPTS, /* as many of its runs have failed as its queue allows */
  TASK_FAILURE_CRASHES,  /* it has crashed its endpoints */
  TASK_FAILURE_REJECTED  /* endpoints have rejected its start order as malformed; it did not run */
} task_failure_cause_t;

/* The whole cause of a failed task, by the owner that has reported it. */
typedef struct
{
  task_failure_cause_t cause;
  int32_t attempt;      /* of its last run */
  int32_t failed_runs;  /* runs that have ended as RUN_FAILED at this owner */
  int32_t attempts_max; /* as in executor_batch_t */
  crash_counts_t crashes;
} task_failure_t;

typedef struct
{
  executor_action_kind_t kind;
  const char *endpoint; /* id */
  const char *address;
  const char *task; /* "JOB.0.STEP.INDEX" */
  int32_t attempt;
  const char *spec;
  int64_t lease_until_endpoint_ms;
  int64_t ack_number; /* EXECUTOR_POLL: acknowledges ended runs up to this number; 0 for none */
  int64_t wait_ms; /* EXECUTOR_POLL: how long the endpoint may delay its answer until a run ends */
  uint64_t serial; /* identifies the call; passed back with its answer */
  const char *coordinator;
  uint64_t batch;
  int32_t index;
  const char *reason; /* static string for logs */
  bool drained;       /* the task is returned because the data centre is drained */
  /* For logs.  EXECUTOR_START fills expected_ms, elapsed_ms (time in the queue), min_ms and
   * remaining_ms.  EXECUTOR_RETURNED fills elapsed_ms (time in the queue).  EXECUTOR_EXPIRED fills
   * elapsed_ms (time in the queue), expected_ms (duration on the fastest endpoint), count (usable
   * endpoints) and waiting_tasks (tasks in the queue). */
  executor_log_event_t log_event;
  int64_t elapsed_ms;
  int64_t expected_ms;
  int64_t min_ms;       /* expected duration on the fastest endpoint */
  int64_t remaining_ms; /* time until the deadline */
  int32_t progress_percent;
  int32_t count;
  int32_t waiting_tasks;
  /* EXECUTOR_STOP fills elapsed_ms (since the start order; for STOP_UNCLAIMED since the run was
   * found) and coordinator (NULL if it is not known).  REPEATED: the same stop was ordered before.
   */
  stop_reason_t stop_reason;
  bool repeated;
  crash_loss_t loss;      /* EXECUTOR_LOSS */
  crash_counts_t crashes; /* endpoints that were lost under TASK */
  task_failure_t failure; /* EXECUTOR_FAILED, EXECUTOR_OVERDUE */
} executor_action_t;

/* Outcome of a call to an endpoint. */
typedef enum
{
  EXECUTOR_OK,
  EXECUTOR_NO_CAPACITY,
  EXECUTOR_OLD_ATTEMPT,   /* the endpoint has had this attempt of the task or a later one */
  EXECUTOR_LEASE_EXPIRED, /* the lease had expired when the order arrived */
  EXECUTOR_STALE_TOKEN,   /* the endpoint has seen a higher token */
  EXECUTOR_UNHEALTHY,     /* nothing was done; the call may be retried */
  EXECUTOR_INVALID,       /* the order is malformed */
  EXECUTOR_INSTANCE_GONE, /* another endpoint has answered at the address: this one is gone */
  EXECUTOR_NO_ANSWER      /* no answer: the order may have been carried out or may still be */
} executor_answer_t;

typedef enum
{
  RUN_DONE,
  RUN_FAILED,
  RUN_STOPPED,
  RUN_LEASE_EXPIRED,
  RUN_GROUP_ENDED /* ended together with other members of its group */
} run_result_t;

/* Contents of an endpoint's answer to a poll. */
typedef struct
{
  const char *task;
  int32_t attempt;
  int32_t progress_percent; /* rounded down */
} poll_active_t;

typedef struct
{
  int64_t number;
  const char *task;
  int32_t attempt;
  run_result_t result;
} poll_ended_t;

typedef struct
{
  int64_t endpoint_clock_ms;
  int64_t started_at_ms; /* 0 if the endpoint does not report it */
  const poll_active_t *active;
  size_t active_count;
  const poll_ended_t *ended;
  size_t ended_count;
} poll_result_t;

typedef struct
{
  int64_t lease_ms; /* longest lease that endpoints grant */
  int64_t stop_ms;  /* longest time that a stop takes */
  /* Factor on the duration of a task outside the rack of its data; 0 counts as 1. */
  double remote_factor;
  /* The history of this host, which outlives its executors; NULL for one of its own. */
  crash_history_t *crashes;
  /* Callers submit a job again this long after they have lost its coordinator; 0 if never. */
  int64_t resubmit_ms;
} executor_options_t;

/* An endpoint whose clock is slow may let a lease expire later by this percentage of its length. */
#define EXECUTOR_CLOCK_SLACK_PERCENT 3
/* Longest time for which a lease of LEASE_MS may last on an endpoint's clock. */
int64_t executor_longest_lease_ms (int64_t lease_ms);
/* How long the lease of an endpoint is still renewed after a run there should have stopped. */
#define EXECUTOR_UNSTOPPED_MAX_MS 250

executor_t *executor_new (const executor_options_t *options);
void executor_free (executor_t *executor);
void executor_set_options (executor_t *executor, const executor_options_t *options);

/* Adds the endpoint, or updates it with its latest entry. */
void
executor_set_endpoint (executor_t *executor, const executor_endpoint_t *endpoint, int64_t now_ms);

/* Records that the entry of the endpoint is gone: nothing new starts there.  The endpoint itself
 * may still be alive, so its runs are tracked until they have ended or its lease has expired. After
 * a change of owner it is also polled for runs of the former owner.  Does nothing if the endpoint
 * is unknown. */
void executor_remove_endpoint (executor_t *executor, const char *id);

/* Records that another host owns the endpoint now: drops it without stopping its runs. Coordinators
 * are not told; they turn to the new owner. */
void executor_yield_endpoint (executor_t *executor, const char *id);

/* Sets whether the data centre is drained.  While it is drained nothing starts, offers have no free
 * slots, and waiting tasks are returned at once: as EXECUTOR_RETURNED if they never started, as
 * EXECUTOR_RETURNED_AFTER_RUN if their run is over.  A task that another owner may have started
 * stays until that owner can no longer run it.  Runs continue and their leases are renewed; a drain
 * by itself stops no run. */
void executor_set_drained (executor_t *executor, bool drained);

/* Sets the time until which endpoints may exist that this owner has not discovered.  Before that
 * time, a task that may be running is not requeued merely because no known endpoint lists it. */
void executor_set_discovery_until (executor_t *executor, int64_t at_ms);

/* Records that the executor has been told of all endpoints in the directory, as of a read of it
 * that was sent at SENT_AT_MS.  A task that may be running since later than that is not requeued
 * merely because no known endpoint lists it. */
void executor_set_directory_read (executor_t *executor, int64_t sent_at_ms);

/* Returns the time before which a read of the directory must not be sent, for tasks that may be
 * running and for executor_may_run_job (); 0 if none is needed. */
int64_t executor_directory_needed_ms (const executor_t *executor);

/* Records that this host owns the endpoints under a new fencing TOKEN.  Another owner may have
 * held them between the previous token and this one, so the runs on all endpoints must be
 * listed again, and every waiting task may be running. */
void executor_set_token (executor_t *executor, int64_t token, int64_t now_ms);

/* Whether every endpoint of the shard has listed its runs under the token in force, and none of
 * them was started by another owner and is alive: no run from before the claim goes on. */
bool executor_is_surveyed (const executor_t *executor);

/* Queues the tasks of BATCH.  A task that another batch has submitted already is moved to this one
 * together with its run.  A batch that is already known, or that ended shortly before, is not
 * queued again; the outcomes of its ended tasks are sent again.  Tasks of a batch that was
 * addressed to another claim are treated as maybe running, since an earlier owner may have
 * accepted the batch. */
void executor_submit (executor_t *executor, const executor_batch_t *batch, int64_t now_ms);

/* Cancels the tasks of a batch because of REASON.  Their runs are stopped, and have ended by their
 * leases before the job may be submitted again, even if the stops are lost.  Returns true if none
 * of them can have started.
 */
bool executor_cancel (executor_t *executor,
                      const char *coordinator,
                      uint64_t batch,
                      stop_reason_t reason,
                      int64_t now_ms,
                      GArray *actions);

/* Records that the batch was given to another owner: drops its tasks without stopping their runs.
 * A run that the other owner does not adopt is later stopped as a foreign run. */
void
executor_release (executor_t *executor, const char *coordinator, uint64_t batch, int64_t now_ms);

/* Records that COORDINATOR was alive at AT_MS.  A lease under which its runs live ends before
 * callers that lost it then submit their jobs again.  There is no such limit for a coordinator that
 * was never recorded, such as the owner's own host. */
void executor_coordinator_heard (executor_t *executor, const char *coordinator, int64_t at_ms);

/* Whether a run of the job with id JOB, whose coordinator was lost at LOST_AT_MS, may be alive on
 * an endpoint of the shard, or may start there by an order that was sent.  False rests on listings
 * of all endpoints that were asked for a short time ago.  Where they are missing, the next round
 * asks for them.  Endpoints that this owner does not know yet count as clear once the leases from
 * the owner before it have ended.  ALONE: no other host is lost, so that a silent endpoint is
 * rather down than cut off with that coordinator; it counts as clear once its leases have ended, if
 * this owner has held it since before the loss. */
bool executor_may_run_job (executor_t *executor,
                           const char *job,
                           int64_t lost_at_ms,
                           bool alone,
                           int64_t now_ms);

/* Cancels all batches of a coordinator that is gone and was alive at LAST_HEARD_AT_MS. */
void executor_remove_coordinator (executor_t *executor,
                                  const char *coordinator,
                                  int64_t last_heard_at_ms,
                                  int64_t now_ms,
                                  GArray *actions);

/* Records that another host owns all endpoints now: drops all tasks and endpoints without telling
 * the coordinators. */
void executor_yield_all (executor_t *executor);

/* Answers to EXECUTOR_START, EXECUTOR_STOP and EXECUTOR_POLL.  ENDPOINT_CLOCK_MS is 0 if the answer
 * does not contain the endpoint's clock. */
void executor_start_answered (executor_t *executor,
                              uint64_t serial,
                              executor_answer_t answer,
                              int64_t endpoint_clock_ms,
                              int64_t now_ms,
                              GArray *actions);
void executor_stop_answered (executor_t *executor,
                             uint64_t serial,
                             executor_answer_t answer,
                             int64_t endpoint_clock_ms,
                             int64_t now_ms,
                             GArray *actions);
/* RESULT is NULL unless ANSWER is EXECUTOR_OK. */
void executor_poll_answered (executor_t *executor,
                             uint64_t serial,
                             executor_answer_t answer,
                             const poll_result_t *result,
                             int64_t now_ms,
                             GArray *actions);

/* Expected outcome of a task that starts now, from worst to best. */
typedef enum
{
  PLACEMENT_UNLIKELY, /* too little margin before the deadline */
  PLACEMENT_LATE,     /* misses its objective, or has little margin before its deadline */
  PLACEMENT_IN_TIME,  /* meets its objective unless the estimate is far off; not worth waiting for a
                         faster endpoint */
  PLACEMENT_SAFE      /* meets its objective even if the estimate is far off */
} placement_tier_t;

/* Times that a task has to meet.  The objective moves with the actual work of the task, the
 * deadline does not. */
typedef struct
{
  int64_t work_ms;         /* expected duration at the reference speed (duration ratio 1) */
  int64_t objective_at_ms; /* objective if the task takes exactly WORK_MS */
  double stretch_factor;   /* shift of the objective per millisecond of additional work */
  int64_t deadline_at_ms;
} placement_target_t;

/* Expected outcome of a task that starts now and takes RATIO times its work. */
placement_tier_t placement_tier (const placement_target_t *target, double ratio, int64_t now_ms);

/* Best outcome that any endpoint or owner could give a task if it waited. */
typedef struct
{
  placement_tier_t tier;
  int64_t min_ms; /* shortest expected duration; INT64_MAX if no endpoint can run the task */
} placement_best_t;

/* Initial value for placement_best_add (). */
#define PLACEMENT_BEST_NONE ((placement_best_t){ PLACEMENT_UNLIKELY, INT64_MAX })
void placement_best_add (placement_best_t *best, placement_tier_t tier, int64_t expected_ms);

/* True if a task should start on an endpoint where it can expect TIER and EXPECTED_MS, rather than
 * wait for an endpoint where it can expect BEST. */
bool
placement_is_acceptable (placement_tier_t tier, int64_t expected_ms, const placement_best_t *best);

/* Free capacity of one service, published to coordinators for the placement of tasks. */
typedef struct
{
  const char *service;
  int32_t slots_free; /* for tasks of the usual size */
  int32_t slots_total;
  double duration_ratio; /* measured duration divided by the caller's estimate */
} executor_offer_t;

/* Backlogs are reported by priority level; the last level covers all higher priority numbers. */
#define EXECUTOR_LOAD_LEVELS 4
int32_t executor_load_level (int32_t priority);

/* Capacity and backlog of one service at one owner, from which coordinators estimate how long a
 * task would wait.  Work is in core-milliseconds at the mean speed of the owner's endpoints. */
typedef struct
{
  const char *service;
  int64_t cores_milli;    /* of the usable endpoints */
  int64_t max_free_milli; /* most free cores on one endpoint; 0 if no task waits */
  int64_t next_free_ms;   /* expected time until the next run ends; 0 if no task waits */
  int64_t backlog_core_ms[EXECUTOR_LOAD_LEVELS];
  int64_t late_core_ms[EXECUTOR_LOAD_LEVELS]; /* part of the backlog that misses its objective in
                                              any case and is queued last at its level */
} executor_load_t;

/* Runs one scheduling round: starts tasks, renews leases, and drops tasks that cannot meet their
 * deadline.  Call it after other events and every few milliseconds.  OTHER_OFFERS is an array of
 * executor_offer_t of other owners.  A queued task that can expect an acceptable outcome on one of
 * their free slots is returned to its coordinator, and the slots_free of that offer is decremented.
 */
void
executor_run_round (executor_t *executor, GArray *other_offers, int64_t now_ms, GArray *actions);

/* Appends one executor_offer_t for each service and speed.  NEED is the usual size of a task.  A
 * drained data centre lists its services with no slots. */
void executor_offers (const executor_t *executor,
                      const resources_t *need,
                      int64_t now_ms,
                      GArray *offers);

/* Appends one executor_load_t for each service with usable endpoints.  Its strings are valid until
 * the next call. */
void executor_loads (const executor_t *executor, int64_t now_ms, GArray *loads);

typedef struct
{
  int32_t endpoints;
  int32_t endpoints_ready; /* may be given tasks now */
  int32_t waiting;
  int32_t running;
  resources_t usual_need; /* request of the batch that was submitted last */
} executor_totals_t;
executor_totals_t executor_totals (const executor_t *executor, int64_t now_ms);

/* How long this host itself delays the calls to endpoints, because its link or its processor is
 * busy.  A call without an answer is late only after that. */
int64_t executor_own_delay_ms (const executor_t *executor, int64_t now_ms);

/* True if starts wait because this host's link or processor is busy. */
bool executor_is_congested (const executor_t *executor, int64_t now_ms);

#endif
