/* state.h -- structs and functions shared by the sources of lib/dispatch; private to
 * it
 *
 * An entry (task_entry_t) is a task that is queued or running.  All functions run on
 * the thread that owns the dispatch_t.
 */
#ifndef DISPATCH_STATE_H
#define DISPATCH_STATE_H

#include "dispatch/backlog.h"
#include "dispatch/dispatch.h"
#include "dispatch/fair_queue.h"
#include "dispatch/outlier.h"
#include "dispatch/service_time.h"

/* Kinds that have statistics of their own.  The bound limits the memory that callers
 * can use up by sending new kinds; all further kinds share the last one. */
#define KINDS_MAX 64
/* Interval at which rankings and sums over all endpoints are computed again, so that
 * they are not recomputed for every task. */
#define REFRESH_INTERVAL_MS 50

/* What is known of one kind of task. */
typedef struct
{
  char *name;
  uint32_t index;              /* in dispatch_t.kinds_by_index and in service_times */
  service_time_t service_time; /* over all endpoints */
  outlier_baseline_t baseline; /* failures over all endpoints */
  GArray *ranking;             /* ranked_endpoint_t, best first; NULL before the first use */
  int64_t ranked_at_ms;
  uint64_t ranking_generation; /* dispatch_t.ranking_generation when it was made */
} kind_stats_t;

/* What is known of one plan. */
typedef struct
{
  fair_queue_plan_t *queue;
  backlog_t backlog;
  uint32_t running;    /* tasks started by this host and not ended */
  double starts_per_s; /* starts in the last second if its limit on starts was reached; else 0 */
  uint32_t starts_this_second; /* in the second that began at second_start_ms */
  uint32_t starts_last_second; /* in the second before that */
  int64_t second_start_ms;
} plan_state_t;

/* What is known of one endpoint. */
typedef struct
{
  char *id;
  char *rack;
  int32_t slots;
  int32_t connections;
  int32_t cores;
  int64_t memory_mb;
  bool leaving;
  bool listed;              /* in the latest list given to dispatch_set_endpoints () */
  uint32_t candidate_index; /* 1-based index in dispatch_t.candidates; 0 if not in it */
  int32_t running_tasks;    /* started by this host and not ended */
  int32_t used_slots;       /* slots that the running tasks take */
  service_time_t service_times[KINDS_MAX]; /* by kind_stats_t.index */
  service_time_t relative_time;            /* ratio of measured times to their kinds' means */
  outlier_t outlier;
  connect_backoff_t connect_backoff;
  int64_t answer_due_at_ms; /* silent if no answer has come by then */
  double max_silence_ms;    /* longest wait allowed for any task started since it was last idle */
  uint64_t
      reserved_for_ticket; /* ticket of the large task that slots are kept free for; 0 if none */
} endpoint_state_t;

/* A task that is queued or running. */
typedef struct
{
  fair_queue_item_t queue_item; /* must be first: items are cast to entries */
  heap_node_t by_latest_start;  /* key: time at which it is given up if still queued */
  uint64_t ticket;
  plan_state_t *plan;
  kind_stats_t *kind;
  int32_t cores;
  int64_t memory_mb;
  int64_t deadline_at_ms;
  bool repeatable;
  bool is_large;          /* queued in dispatch_t.large_tasks instead of its plan's queue */
  bool is_probe;          /* runs on an ejected endpoint to test it */
  double backlog_work_ms; /* work added to the backlog, to be removed from it */
  int64_t backlog_bucket;
  endpoint_state_t *endpoint;               /* NULL while queued */
  const endpoint_state_t *avoided_endpoint; /* its last connect there failed; NULL if none */
  int32_t slots;   /* while queued, the fewest that it needs; then those that it takes */
  int64_t cost_us; /* expected time times slots, charged to the plan at the start */
} task_entry_t;

struct dispatch_t
{
  dispatch_options_t options;
  dispatch_limits_t *limits;
  GRand *random;
  fair_queue_t *fair_queue;
  GHashTable *plans;           /* fair_queue_plan_t -> plan_state_t */
  GHashTable *entries;         /* ticket -> task_entry_t */
  GPtrArray *endpoints;        /* endpoint_state_t; includes unlisted ones with running tasks */
  GHashTable *endpoints_by_id; /* id -> endpoint_state_t */
  uint64_t ranking_generation; /* incremented to invalidate all rankings */
  GPtrArray *candidates;       /* endpoint_state_t that may have a free slot */
  GHashTable *kinds;           /* name -> kind_stats_t */
  GPtrArray *kinds_by_index;   /* kind_stats_t; owns them */
  heap_t by_latest_start;      /* task_entry_t: all queued tasks */
  heap_t large_tasks; /* task_entry_t by deadline: tasks of several slots that did not find them */
  outlier_fleet_t fleet;
  uint32_t running_tasks;
  int64_t refreshed_at_ms;   /* when held_slots and free_slots were computed */
  double held_slots;         /* slots that this host may use, free or in use */
  double free_slots;         /* those of held_slots that are free */
  double listed_slots;       /* slots of all endpoints that take work */
  int32_t single_slot_cores; /* tasks up to this size take one slot at every endpoint */
  int64_t single_slot_memory_mb;
  bool local_only; /* see dispatch_set_local_only () */
};

/* An element of kind_stats_t.ranking. */
typedef struct
{
  endpoint_state_t *endpoint;
  double expected_ms;
  double rank_ms;     /* expected_ms, multiplied if the endpoint failed recently */
  uint32_t tie_break; /* random, so that equal endpoints share the load */
} ranked_endpoint_t;

/* endpoint.c */

void endpoint_free (void *endpoint);
/* Slots of ENDPOINT that a task of this size takes.  A result above ENDPOINT's number
 * of slots means that the task does not fit there. */
int32_t endpoint_slots_needed (const endpoint_state_t *endpoint, int32_t cores, int64_t memory_mb);
/* Free slots of ENDPOINT that this host may take. */
int32_t
available_slots (const dispatch_t *dispatch, const endpoint_state_t *endpoint, int64_t now_ms);
/* Mean service time of KIND, or SERVICE_TIME_DEFAULT_MS if it was never measured. */
double kind_mean_ms (const kind_stats_t *kind);
/* Service time to expect of a task of KIND at ENDPOINT. */
double
endpoint_expected_ms (const endpoint_state_t *endpoint, const kind_stats_t *kind, int64_t now_ms);
/* True if ENDPOINT has running tasks and its answer is overdue. */
bool endpoint_is_silent (const endpoint_state_t *endpoint, int64_t now_ms);
/* False during the back-off after a failed connect.  From then until ENDPOINT answers,
 * true only while no task runs there, so that one task at a time tries to connect. */
bool endpoint_is_reachable (const endpoint_state_t *endpoint, int64_t now_ms);
/* Count a task that starts or has ended at ENDPOINT. */
void endpoint_task_started (endpoint_state_t *endpoint, const task_entry_t *entry, int64_t now_ms);
void endpoint_task_ended (endpoint_state_t *endpoint, const task_entry_t *entry);
/* Adds the elapsed time of a task that ended with OUTCOME to the statistics. */
void endpoint_record_time (endpoint_state_t *endpoint,
                           kind_stats_t *kind,
                           dispatch_outcome_t outcome,
                           double ms,
                           int64_t now_ms);
/* Records that ENDPOINT answered: it is neither silent nor unreachable. */
void endpoint_record_answer (endpoint_state_t *endpoint, int64_t now_ms);

/* dispatch_t.candidates: the endpoints that take work and may have a free slot.  Adding
 * one that is in the set or takes no work is a no-op, and so is removing one that is
 * not in it. */
void candidate_set_add (dispatch_t *dispatch, endpoint_state_t *endpoint);
void candidate_set_remove (dispatch_t *dispatch, endpoint_state_t *endpoint);
void candidate_set_add_all (dispatch_t *dispatch);

/* selection.c */

typedef enum
{
  SELECTION_FOUND,
  SELECTION_NONE,         /* no eligible endpoint has a free slot */
  SELECTION_WAIT,         /* a faster endpoint is expected to have a free slot soon */
  SELECTION_TOO_FEW_SLOTS /* there are free slots, but no endpoint has as many as the task needs */
} selection_result_t;

typedef struct
{
  endpoint_state_t *endpoint;
  int32_t slots;
  double expected_ms;
  bool is_probe;
} selection_t;

/* Selects an endpoint for ENTRY.  *SELECTION is meaningful only with SELECTION_FOUND. */
selection_result_t select_endpoint (dispatch_t *dispatch,
                                    const task_entry_t *entry,
                                    int64_t now_ms,
                                    selection_t *selection);

/* Fewest slots that a task of this size takes at any endpoint; 0 if it fits at none. */
int32_t min_slots_needed (const dispatch_t *dispatch, int32_t cores, int64_t memory_mb);

/* Shortest expected time of KIND over the endpoints that take work; 0 if there are none. */
double best_expected_ms (dispatch_t *dispatch, kind_stats_t *kind, int64_t now_ms);

/* admit.c */

/* Latest time at which a task of KIND should start to end before its deadline, with a
 * safety margin.  The deadline itself if KIND has no recent measurement. */
int64_t latest_start_ms (const kind_stats_t *kind, int64_t deadline_at_ms, int64_t now_ms);

/* endpoint_list.c */

/* True if ENDPOINT is listed and not leaving. */
bool endpoint_takes_work (const endpoint_state_t *endpoint);
/* Computes held_slots and free_slots again if they are REFRESH_INTERVAL_MS old. */
void refresh_slots (dispatch_t *dispatch, int64_t now_ms);

/* dispatch.c */

/* The plan or kind NAME, created on first use. */
plan_state_t *plan_get (dispatch_t *dispatch, const char *name);
kind_stats_t *kind_get (dispatch_t *dispatch, const char *name);
/* Adds ENTRY to its plan's queue and backlog and to by_latest_start. */
void entry_enqueue (dispatch_t *dispatch, task_entry_t *entry, int64_t now_ms);
/* Removes ENTRY from every queue that it is in and from the backlog. */
void entry_dequeue (dispatch_t *dispatch, task_entry_t *entry);
/* Ends the reservation of an endpoint for ENTRY, if there is one. */
void entry_release_endpoint (dispatch_t *dispatch, const task_entry_t *entry);

/* round.c */

const char *entry_plan_name (const task_entry_t *entry);
/* Gives UNITS of a limit back that were acquired for ENTRY. */
void entry_release_units (dispatch_t *dispatch,
                          dispatch_limit_t limit,
                          const char *name,
                          int32_t units,
                          const task_entry_t *entry,
                          int64_t now_ms);
/* Gives up tasks that are too late and starts those that can start.  Appends the
 * actions to ACTIONS. */
void round_run (dispatch_t *dispatch, int64_t now_ms, GArray *actions);

/* completion.c */

/* Handles DISPATCH_ENDED: releases the units and records the outcome. */
void entry_ended (dispatch_t *dispatch, const dispatch_event_t *event, int64_t now_ms);

#endif
