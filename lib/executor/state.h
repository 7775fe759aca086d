/* state.h -- internal structures of executor_t; private to lib/executor */
#ifndef EXECUTOR_STATE_H
#define EXECUTOR_STATE_H

#include "dispatch/outlier.h"
#include "executor/capacity.h"
#include "executor/discovery.h"
#include "executor/done_tasks.h"
#include "executor/estimate.h"
#include "executor/executor.h"
#include "executor/load.h"
#include "executor/open_order.h"
#include "executor/order_window.h"

typedef struct endpoint_t endpoint_t;
typedef struct batch_t batch_t;

typedef enum
{
  TASK_MAYBE_RUNNING, /* another owner may have started it; not known yet */
  TASK_WAITING,       /* in the queue */
  TASK_STARTING,
  TASK_RUNNING,
  TASK_START_UNCONFIRMED, /* the start order was not answered */
  TASK_STOPPING           /* a stop order was sent or is to be sent */
} task_state_t;

typedef struct
{
  batch_t *batch; /* NULL if the batch was cancelled and only the run is left */
  char *name;
  int32_t index;
  task_state_t state;
  int32_t attempt;         /* of its present or last run */
  int32_t highest_attempt; /* of all its orders */
  int32_t failures;
  int32_t rejections; /* start orders that were rejected as malformed */
  bool ever_started;  /* a start order was sent at least once */
  endpoint_t *endpoint;
  resources_t need;
  char *avoid_endpoint_id; /* endpoint of the last failure, or NULL */
  int64_t queued_at_ms;
  int64_t maybe_running_since_ms; /* MAYBE_RUNNING: only results of polls sent since then count */
  int64_t start_sent_at_ms;       /* when the last start order was sent */
  uint64_t start_serial;          /* of the call of the last start order */
  bool order_open;                /* the last start order may still be carried out */
  int64_t order_open_until_ms;    /* if a later instance may carry it out: until then; else 0 */
  int64_t start_confirmed_at_ms;  /* when the start was confirmed; 0 before */
  bool confirmed_by_later;        /* by a later instance than the one whose polls are known */
  int64_t expected_ms;
  int64_t lease_until_endpoint_ms; /* of the start order */
  int64_t stop_requested_at_ms;    /* STOPPING: when the stop was requested */
  stop_reason_t stop_reason;       /* STOPPING: why */
  const char *stop_coordinator;    /* STOPPING: for whom it ran; interned, or NULL */
  int64_t stop_sent_at_ms;
  bool stop_confirmed;
  int64_t lease_limit_ms; /* no lease lasts longer; 0 unless its coordinator is gone or has
                             cancelled it */
  bool misses_objective;  /* would miss its objective on every endpoint */
  bool runs_alone;        /* nothing else starts on its endpoint while it runs */
  bool moved;             /* it has been stopped to be restarted on a faster endpoint */
  int32_t progress_percent;
  int64_t progress_at_ms;  /* when PROGRESS_PERCENT last increased */
  GList queue_link;        /* in the queue */
  load_entry_t load_entry; /* in the backlog totals, while the task is queued */
} task_t;

struct batch_t
{
  char *coordinator;
  uint64_t number;
  char *job;
  int32_t step;
  char *spec;
  char *service;
  int32_t priority;
  resources_t need;
  int64_t caller_estimate_ms; /* as given by the caller */
  placement_target_t target;  /* work_ms is the corrected estimate (estimate.h) */
  int64_t start_by_ms;        /* 0 for no limit */
  int32_t attempts_max;
  int32_t attempt_base;
  char *required_label;
  char *preferred_rack;
  int32_t tasks_per_endpoint_max;
  bool maybe_running; /* an earlier owner may have started its tasks */
  int64_t prior_runs_end_by_ms;
  GPtrArray *tasks;  /* task_t that have not ended */
  GArray *sent_ends; /* task_outcome_t that were sent to the coordinator */
  bool ever_started;
  bool closed; /* all its tasks have ended; kept because the coordinator may have missed an end */
  int64_t closed_at_ms; /* first round after the batch was closed; 0 before */
};

typedef struct
{
  int32_t index;
  executor_action_kind_t outcome;
  task_failure_t failure; /* EXECUTOR_FAILED, EXECUTOR_OVERDUE */
} task_outcome_t;

/* A task end that the coordinator may have missed and is to be sent again. */
typedef struct
{
  const char *coordinator; /* interned */
  uint64_t batch;
  task_outcome_t ended;
} resend_t;

/* Measured durations compared with callers' estimates, over many runs and over the last few.
 * Estimates are rough: the long average is stable, the short one shows quickly that the speed has
 * changed. */
typedef struct
{
  double elapsed_ms; /* exponentially weighted sums over many runs */
  double estimate_ms;
  double recent_elapsed_ms;
  double recent_estimate_ms;
  uint32_t count;
} duration_stats_t;

/* A run that this owner has not started. */
typedef struct
{
  char *name;
  int32_t attempt;
  int64_t seen_at_ms;
  int64_t stop_sent_at_ms;
  bool present; /* listed in the poll result that is being read */
} foreign_run_t;

struct endpoint_t
{
  char *id;
  char *address;          /* by its entry */
  char *answered_address; /* where it has answered last; NULL if it has not */
  char *service;
  char *kind;
  char *rack;
  int64_t started_at_ms;       /* of the last observed instance */
  int64_t entry_started_at_ms; /* of the instance that its entry describes */
  bool reports_start_time;     /* its poll results contain its start time */
  int64_t cold_until_ms;
  resources_t entry_capacity; /* of that instance, by its last entry */
  capacity_t capacity;        /* of the last observed instance */
  bool leaving;
  bool instance_leaving; /* the last observed instance said that it would leave */
  bool entry_removed;    /* its entry is gone; kept until its runs are over */
  bool runs_known;       /* a poll under the token in force has listed its runs */
  bool fenced;
  uint32_t token_generation; /* incremented when the token changes */
  bool poll_in_flight;       /* a poll is waiting for its answer */
  uint64_t poll_serial;
  int64_t poll_sent_at_ms;
  int64_t last_poll_sent_at_ms; /* send time of the last answered poll */
  int64_t poll_due_at_ms;       /* no poll before this time */
  int64_t listing_needed_ms;    /* an answer is needed to a poll that was sent since then */
  bool clock_known;             /* its clock was read recently enough for leases */
  int64_t clock_offset_ms; /* endpoint clock minus boot clock at CLOCK_READ_AT_MS; never above the
                              true offset at that time, which falls if the clock is slow */
  int64_t clock_offset_max_ms; /* never below that offset */
  int64_t clock_read_at_ms;
  bool clock_was_read;          /* the clock of the last observed instance was read */
  bool later_clock_seen;        /* an answer to an order had the clock of a later instance */
  bool restart_suspected;       /* that, or its entry, names another instance than its polls */
  int64_t lease_end_ms;         /* no run is alive there after this time */
  int64_t ack_number;           /* of the last end that was read */
  int64_t ack_number_sent;      /* in the last poll; 0 if it acknowledged none */
  int64_t ack_number_confirmed; /* in the last answered poll that acknowledged any */
  bool ends_held;               /* not all ends that were listed may be acknowledged yet */
  int64_t unanswered_since_ms;  /* send time of the first unanswered call in a row; 0 if none */
  int32_t unanswered_calls;     /* number of unanswered calls in a row */
  int64_t full_until_ms;        /* gets no tasks until then, after a refusal */
  GPtrArray *runs;              /* task_t */
  GPtrArray *foreign_runs;      /* foreign_run_t */
  GPtrArray *open_orders;       /* open_order_t: start orders of runs that are over */
  resources_t used;
  outlier_t outlier;
  duration_stats_t durations;
  double duration_ratio; /* estimated from DURATIONS and the machine kind */
};

/* Measured durations on one kind of machine. */
typedef struct
{
  char *kind;
  duration_stats_t durations;
} machine_kind_t;

struct executor_t
{
  executor_options_t options;
  int64_t token;          /* of the claim in force */
  int64_t token_since_ms; /* when that was set */
  bool directory_wanted;  /* a read of the directory is needed that was sent since then */
  bool drained;
  order_window_t order_window;
  GHashTable *endpoints;          /* id -> endpoint_t */
  GHashTable *tasks;              /* name -> task_t */
  GHashTable *batches;            /* "coordinator/number" -> batch_t */
  GHashTable *calls;              /* serial of a start, stop or poll order -> call_t */
  GHashTable *coordinators_heard; /* interned id of a coordinator -> when it was last alive */
  GHashTable *kinds;              /* kind -> machine_kind_t */
  estimates_t *estimates;
  done_tasks_t *done_tasks;     /* whose coordinators may not have been told */
  done_tasks_t *reported_tasks; /* whose coordinators were told a short time ago */
  crash_history_t *crashes;     /* of the options, or OWN_CRASHES */
  crash_history_t *own_crashes;
  GArray *new_losses;        /* crash_loss_t that are not reported yet, with strings of their own */
  GQueue queue;              /* waiting tasks in the order in which they start */
  GHashTable *load_totals;   /* service -> load_totals_t of the queue */
  GHashTable *maybe_running; /* set of the tasks in TASK_MAYBE_RUNNING */
  int32_t removed_endpoints; /* number of endpoints with ENTRY_REMOVED */
  discovery_t discovery;     /* of the endpoints of the shard */
  int64_t contested_until_ms; /* until then another owner may have unlisted runs */
  int64_t unlisted_until_ms;  /* until then an endpoint that was forgotten may run tasks */
  uint64_t last_serial;
  GPtrArray *closed_batches;    /* batch_t */
  GArray *resends;              /* resend_t to be sent in the next round */
  GStringChunk *action_strings; /* strings that the actions of the last call point to */
  outlier_fleet_t outliers;
  outlier_baseline_t outlier_baseline;
  double failure_rate;
  resources_t usual_need;
  /* Valid for one round (placement_begin_round ()): */
  GPtrArray *usable;          /* endpoint_t that may be given tasks */
  GPtrArray *with_free_cores; /* those of USABLE that have free cores */
  double min_ratio;           /* lowest duration ratio of USABLE; 0 if it is empty */
  int32_t alone_left;         /* tasks that may still start alone */
  resources_t min_capacity;   /* least capacity of USABLE, for each resource */
};

typedef struct
{
  char *endpoint;
  char *task;
  int32_t attempt;
  uint32_t token_generation; /* of the endpoint when the call was made */
  uint64_t serial;
  int64_t sent_at_ms;
  bool is_start;
  bool timed; /* its answer shows the delay of this host; see order_window.h */
} call_t;

/* An endpoint counts as unresponsive after this many unanswered calls in a row; a single call may
 * be lost. */
#define UNRESPONSIVE_CALLS 2

/* Placement (placement.c). */

/* Prepares a round: collects the endpoints that may be given tasks. */
void placement_begin_round (executor_t *executor, int64_t now_ms);

/* Returns the ratio of durations on ENDPOINT to corrected estimates. */
double placement_ratio (const endpoint_t *endpoint);

/* Factor on the duration of a task of BATCH on ENDPOINT because of its distance from the data; 1
 * in the preferred rack. */
double placement_remote_factor (const executor_t *executor,
                                const endpoint_t *endpoint,
                                const batch_t *batch);

/* Expected duration of a task of BATCH on ENDPOINT. */
int64_t placement_expected_ms (const executor_t *executor,
                               const endpoint_t *endpoint,
                               const batch_t *batch);

/* Expected duration on the fastest endpoint of this round; INT64_MAX if there is none. */
int64_t placement_min_ms (const executor_t *executor, const batch_t *batch);

/* True if ENDPOINT may run TASK.  Free resources are not checked. */
bool placement_may_run (const endpoint_t *endpoint, const task_t *task);

/* True if ENDPOINT may be given tasks now.  Free resources are not checked. */
bool placement_is_usable (const endpoint_t *endpoint, int64_t now_ms);

/* Returns the endpoint on which TASK should start in this round, or NULL if it has to wait.  *BEST
 * is set to the best outcome that any usable endpoint could give. */
endpoint_t *
placement_choose (executor_t *executor, const task_t *task, int64_t now_ms, placement_best_t *best);

/* True if a run on ENDPOINT is to have it for itself. */
bool placement_is_reserved (const endpoint_t *endpoint);

/* Returns the endpoint on which TASK should start alone: one without runs, or else the one with the
 * fewest.  NULL if it has to wait. */
endpoint_t *placement_choose_alone (executor_t *executor, const task_t *task, int64_t now_ms);

/* For a task that would otherwise be refused: returns an endpoint with free resources on which
 * TASK still meets its deadline if its estimate is too high, or NULL. */
endpoint_t *placement_fallback (const executor_t *executor, const task_t *task, int64_t now_ms);

/* Records that a run of TASK took ELAPSED_MS on its endpoint. */
void placement_record_duration (executor_t *executor, const task_t *task, int64_t elapsed_ms);

/* Recomputes the duration ratio of ENDPOINT from its measured durations and its machine kind. */
void placement_update_ratio (const executor_t *executor, endpoint_t *endpoint);

#endif
