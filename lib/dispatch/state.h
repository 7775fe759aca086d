/* state.h -- the structs behind dispatch_t; private to lib/dispatch */
#ifndef DISPATCH_STATE_H
#define DISPATCH_STATE_H

#include "dispatch/backlog.h"
#include "dispatch/dispatch.h"
#include "dispatch/fair_queue.h"
#include "dispatch/outlier.h"
#include "dispatch/service_time.h"

/* Bounds the memory that callers can use up by inventing kinds; later kinds
 * share the last entry. */
#define KINDS_MAX 64
/* Age up to which sums over all endpoints are used again. */
#define REFRESH_INTERVAL_MS 50

typedef struct
{
  char *name;
  uint32_t index;
  service_time_t service_time; /* over all endpoints */
  outlier_baseline_t baseline;
  GArray *ranking; /* ranked_endpoint_t by expected time, NULL before the first use */
  int64_t ranked_at_ms;
  uint64_t ranking_generation; /* the list of endpoints that it was made from */
} kind_stats_t;

typedef struct
{
  fair_queue_plan_t *queue;
  backlog_t backlog;
  uint32_t running;
  double starts_per_s;         /* measured while at the limit on starts */
  uint32_t starts_this_second; /* in the running second */
  uint32_t starts_last_second; /* in the second before it */
  int64_t second_start_ms;
} plan_state_t;

typedef struct
{
  char *id;
  char *rack;
  int32_t slots;
  int32_t connections;
  int32_t cores;
  int64_t memory_mb;
  bool leaving;
  bool listed;           /* in the last list */
  uint32_t open_index;   /* 1-based place in the open set, 0 when not in it */
  int32_t running_tasks; /* running from this host */
  int32_t used_slots;    /* slots that they take */
  service_time_t service_times[KINDS_MAX];
  service_time_t relative_time; /* measured time over the kind's mean */
  outlier_t outlier;
  connect_backoff_t connect_backoff;
  int64_t answer_due_at_ms; /* by then at least one answer should have come */
  double max_silence_ms;    /* longest silence to expect from the tasks since it was last idle */
  uint64_t reserved_for_ticket; /* ticket of a large task for which slots are kept free */
} endpoint_state_t;

typedef struct
{
  fair_queue_item_t queue_item; /* first */
  heap_node_t by_latest_start;
  uint64_t ticket;
  plan_state_t *plan;
  kind_stats_t *kind;
  int32_t cores;
  int64_t memory_mb;
  int64_t deadline_at_ms;
  bool repeatable;
  bool is_large; /* waits in `large`, not in its plan's queue */
  bool is_probe;
  double backlog_work_ms; /* as added to the backlog */
  int64_t backlog_bucket;
  endpoint_state_t *endpoint; /* NULL while queued */
  const endpoint_state_t *avoided_endpoint;
  int32_t slots;
  int64_t cost_us;
} task_entry_t;

struct dispatch_t
{
  dispatch_options_t options;
  dispatch_limits_t *limits;
  GRand *random;
  fair_queue_t *fair_queue;
  GHashTable *plans;           /* fair_queue_plan_t -> plan_state_t */
  GHashTable *entries;         /* ticket -> task_entry_t */
  GPtrArray *endpoints;        /* endpoint_state_t, those that left while running included */
  GHashTable *endpoints_by_id; /* id -> endpoint_state_t */
  uint64_t ranking_generation; /* changes when all rankings are out of date */
  GPtrArray *open_set;         /* endpoint_state_t that may have a free slot */
  GHashTable *kinds;           /* name -> kind_stats_t */
  GPtrArray *kinds_by_index;
  heap_t by_latest_start; /* task_entry_t */
  heap_t large_tasks;     /* task_entry_t by deadline: tasks of several slots */
  outlier_fleet_t fleet;
  uint32_t running_tasks;
  int64_t refreshed_at_ms;
  double held_slots; /* slots that this host holds, free or in use */
  double free_slots;
  double listed_slots;       /* slots of all endpoints that take work */
  int32_t single_slot_cores; /* tasks up to this size take one slot anywhere */
  int64_t single_slot_memory_mb;
  bool local_only;
};

/* A row of the ranking of a kind. */
typedef struct
{
  endpoint_state_t *endpoint;
  double expected_ms;
  double rank_ms;     /* the same, longer for one that failed lately */
  uint32_t tie_break; /* random order among equals */
} ranked_endpoint_t;

/* endpoint.c */

void endpoint_free (void *endpoint);
/* Slots that a task of this size takes; more than its slots means never. */
int32_t endpoint_slots_needed (const endpoint_state_t *endpoint, int32_t cores, int64_t memory_mb);
/* Free slots of ENDPOINT that this host may take. */
int32_t
available_slots (const dispatch_t *dispatch, const endpoint_state_t *endpoint, int64_t now_ms);
double kind_mean_ms (const kind_stats_t *kind);
double
endpoint_expected_ms (const endpoint_state_t *endpoint, const kind_stats_t *kind, int64_t now_ms);
bool endpoint_is_silent (const endpoint_state_t *endpoint, int64_t now_ms);
bool endpoint_is_reachable (const endpoint_state_t *endpoint, int64_t now_ms);
/* A task was written to it, or has ended there. */
void endpoint_task_started (endpoint_state_t *endpoint, const task_entry_t *entry, int64_t now_ms);
void endpoint_task_ended (endpoint_state_t *endpoint, const task_entry_t *entry);
void endpoint_record_time (endpoint_state_t *endpoint,
                           kind_stats_t *kind,
                           dispatch_outcome_t outcome,
                           double ms,
                           int64_t now_ms);
void endpoint_record_answer (endpoint_state_t *endpoint, int64_t now_ms);

/* The open set: endpoints that may have a free slot. */
void open_set_add (dispatch_t *dispatch, endpoint_state_t *endpoint);
void open_set_remove (dispatch_t *dispatch, endpoint_state_t *endpoint);
void open_set_add_all (dispatch_t *dispatch);

/* selection.c */

typedef enum
{
  SELECTION_FOUND,
  SELECTION_NONE,         /* no endpoint that suits has a free slot */
  SELECTION_WAIT,         /* a faster one should be free soon */
  SELECTION_TOO_FEW_SLOTS /* free slots, but too few at one endpoint */
} selection_result_t;

typedef struct
{
  endpoint_state_t *endpoint;
  int32_t slots;
  double expected_ms;
  bool is_probe;
} selection_t;

selection_result_t select_endpoint (dispatch_t *dispatch,
                                    const task_entry_t *entry,
                                    int64_t now_ms,
                                    selection_t *selection);

/* Least slots that such a task takes at any endpoint; 0 if it fits at none. */
int32_t min_slots_needed (const dispatch_t *dispatch, int32_t cores, int64_t memory_mb);

/* The least expected time over the endpoints that take work. */
double best_expected_ms (dispatch_t *dispatch, kind_stats_t *kind, int64_t now_ms);

/* admit.c */

/* Latest start of a task of KIND that ends before its deadline, with some time
 * to spare; the deadline itself while KIND was not measured lately. */
int64_t latest_start_ms (const kind_stats_t *kind, int64_t deadline_at_ms, int64_t now_ms);

/* endpoint_list.c */

bool endpoint_takes_work (const endpoint_state_t *endpoint);
/* Counts the slots that this host holds, if the last count is too old. */
void refresh_slots (dispatch_t *dispatch, int64_t now_ms);

/* dispatch.c */

plan_state_t *plan_get (dispatch_t *dispatch, const char *name);
kind_stats_t *kind_get (dispatch_t *dispatch, const char *name);
void entry_enqueue (dispatch_t *dispatch, task_entry_t *entry, int64_t now_ms);
/* Takes ENTRY out of whatever it waits in; a start has charged its plan. */
void entry_leave (dispatch_t *dispatch, task_entry_t *entry);
/* No endpoint is kept free for ENTRY any longer. */
void entry_release_endpoint (dispatch_t *dispatch, const task_entry_t *entry);

/* round.c */

const char *entry_plan_name (const task_entry_t *entry);
void entry_release_units (dispatch_t *dispatch,
                          dispatch_limit_t limit,
                          const char *name,
                          int32_t units,
                          const task_entry_t *entry,
                          int64_t now_ms);
void round_run (dispatch_t *dispatch, int64_t now_ms, GArray *actions);

/* completion.c */

void entry_ended (dispatch_t *dispatch, const dispatch_event_t *event, int64_t now_ms);

#endif
