/* state.h -- the structs behind dispatch_t; private to lib/dispatch */
#ifndef DISPATCH_STATE_H
#define DISPATCH_STATE_H

#include "dispatch/backlog.h"
#include "dispatch/dispatch.h"
#include "dispatch/fair.h"
#include "dispatch/outlier.h"
#include "dispatch/timing.h"

/* Bounds the memory that callers can use up by inventing kinds; later kinds
 * share the last entry. */
#define KINDS_MAX 64
/* Age up to which sums over all endpoints are used again. */
#define REFRESH_EVERY_MS 50

typedef struct
{
  char *name;
  uint32_t index;
  timing_t all; /* over all endpoints */
  outlier_base_t base;
  GArray *order; /* place_t by expected time, NULL before the first use */
  int64_t order_at_ms;
  uint64_t order_list; /* the list of endpoints that it was made from */
} kind_t;

typedef struct
{
  fair_plan_t *queue;
  backlog_t backlog;
  uint32_t running;
  double starts_per_s;  /* measured while at the limit on starts */
  uint32_t starts;      /* in the running second */
  uint32_t last_starts; /* in the second before it */
  int64_t second_ms;
} plan_t;

typedef struct
{
  char *id;
  char *rack;
  int32_t slots;
  int32_t connections;
  int32_t cores;
  int64_t memory_mb;
  bool leaving;
  bool listed;      /* in the last list */
  uint32_t open_at; /* 1-based place in the open set, 0 when not in it */
  int32_t tasks;    /* running from this host */
  int32_t units;    /* slots that they take */
  timing_t kinds[KINDS_MAX];
  timing_t speed; /* measured time over the kind's mean */
  outlier_t outlier;
  reach_t reach;
  int64_t due_at_ms; /* by then at least one answer should have come */
  double longest_ms; /* longest silence to expect from the tasks since it was last idle */
  uint64_t held_for; /* ticket of a large task for which slots are kept free */
} endpoint_t;

typedef struct
{
  fair_item_t item; /* first */
  heap_node_t by_latest_start;
  uint64_t ticket;
  plan_t *plan;
  kind_t *kind;
  int32_t cores;
  int64_t memory_mb;
  int64_t deadline_at_ms;
  bool repeatable;
  bool large; /* waits in `large`, not in its plan's queue */
  bool probe;
  double work_ms; /* as added to the backlog */
  int64_t bucket;
  endpoint_t *endpoint; /* NULL while queued */
  const endpoint_t *avoid;
  int32_t units;
  int64_t cost_us;
} entry_t;

struct dispatch_t
{
  dispatch_options_t options;
  dispatch_limits_t *limits;
  GRand *random;
  fair_t *fair;
  GHashTable *plans;    /* fair_plan_t -> plan_t */
  GHashTable *entries;  /* ticket -> entry_t */
  GPtrArray *endpoints; /* endpoint_t, those that left while running included */
  GHashTable *by_id;    /* id -> endpoint_t */
  uint64_t list_number; /* changes when all rankings are out of date */
  GPtrArray *open;      /* endpoint_t that may have a free slot */
  GHashTable *kinds;    /* name -> kind_t */
  GPtrArray *kind_list;
  heap_t by_latest_start; /* entry_t */
  heap_t large;           /* entry_t by deadline: tasks of several slots */
  outlier_fleet_t fleet;
  uint32_t running;
  int64_t refreshed_at_ms;
  double held_slots; /* slots that this host holds, free or in use */
  double free_slots;
  double listed_slots;  /* slots of all endpoints that take work */
  int32_t simple_cores; /* tasks up to this size take one slot anywhere */
  int64_t simple_memory_mb;
  bool alone;
};

/* A row of the ranking of a kind. */
typedef struct
{
  endpoint_t *endpoint;
  double expected_ms;
  double rank_ms; /* the same, longer for one that failed lately */
  uint32_t tie;   /* random order among equals */
} place_t;

/* endpoint.c */

void endpoint_free (void *endpoint);
/* Slots that a task of this size takes; more than its slots means never. */
int32_t endpoint_units (const endpoint_t *endpoint, int32_t cores, int64_t memory_mb);
/* Free slots of ENDPOINT that this host may take. */
int32_t slots_left (const dispatch_t *dispatch, const endpoint_t *endpoint, int64_t now_ms);
double kind_mean_ms (const kind_t *kind);
double endpoint_expected_ms (const endpoint_t *endpoint, const kind_t *kind, int64_t now_ms);
bool endpoint_is_silent (const endpoint_t *endpoint, int64_t now_ms);
bool endpoint_is_reachable (const endpoint_t *endpoint, int64_t now_ms);
/* A task was written to it, or has ended there. */
void endpoint_began (endpoint_t *endpoint, const entry_t *entry, int64_t now_ms);
void endpoint_ended (endpoint_t *endpoint, const entry_t *entry);
void endpoint_measured (endpoint_t *endpoint,
                        kind_t *kind,
                        dispatch_outcome_t outcome,
                        double ms,
                        int64_t now_ms);
void endpoint_answered (endpoint_t *endpoint, int64_t now_ms);

/* The open set: endpoints that may have a free slot. */
void open_add (dispatch_t *dispatch, endpoint_t *endpoint);
void open_remove (dispatch_t *dispatch, endpoint_t *endpoint);
void open_add_all (dispatch_t *dispatch);

/* choice.c */

typedef enum
{
  CHOICE_FOUND,
  CHOICE_NONE,  /* no endpoint that suits has a free slot */
  CHOICE_LATER, /* a faster one should be free soon */
  CHOICE_SMALL  /* free slots, but too few at one endpoint */
} choice_result_t;

typedef struct
{
  endpoint_t *endpoint;
  int32_t units;
  double expected_ms;
  bool probe;
} choice_t;

choice_result_t
choose_endpoint (dispatch_t *dispatch, const entry_t *entry, int64_t now_ms, choice_t *choice);

/* Least slots that such a task takes at any endpoint; 0 if it fits at none. */
int32_t least_units (const dispatch_t *dispatch, int32_t cores, int64_t memory_mb);

/* The least expected time over the endpoints that take work. */
double best_expected_ms (dispatch_t *dispatch, kind_t *kind, int64_t now_ms);

/* admit.c */

/* Latest start of a task of KIND that ends before its deadline, with some time
 * to spare; the deadline itself while KIND was not measured lately. */
int64_t start_by_ms (const kind_t *kind, int64_t deadline_at_ms, int64_t now_ms);

/* list.c */

bool endpoint_takes_work (const endpoint_t *endpoint);
/* Counts the slots that this host holds, if the last count is too old. */
void refresh_slots (dispatch_t *dispatch, int64_t now_ms);

/* dispatch.c */

plan_t *plan_get (dispatch_t *dispatch, const char *name);
kind_t *kind_get (dispatch_t *dispatch, const char *name);
void entry_enqueue (dispatch_t *dispatch, entry_t *entry, int64_t now_ms);
/* Takes ENTRY out of whatever it waits in; a start has charged its plan. */
void entry_leave (dispatch_t *dispatch, entry_t *entry);
/* No endpoint is kept free for ENTRY any longer. */
void entry_release_hold (dispatch_t *dispatch, const entry_t *entry);

/* round.c */

const char *entry_plan_name (const entry_t *entry);
void entry_give (dispatch_t *dispatch,
                 dispatch_limit_t limit,
                 const char *name,
                 int32_t units,
                 const entry_t *entry,
                 int64_t now_ms);
void round_run (dispatch_t *dispatch, int64_t now_ms, GArray *actions);

/* ended.c */

void entry_ended (dispatch_t *dispatch, const dispatch_event_t *event, int64_t now_ms);

#endif
