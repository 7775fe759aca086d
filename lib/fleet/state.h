/* state.h -- the structs behind fleet_t; private to lib/fleet */
#ifndef FLEET_STATE_H
#define FLEET_STATE_H

#include "dispatch/outlier.h"
#include "fleet/estimate.h"
#include "fleet/fleet.h"
#include "fleet/load.h"

typedef struct endpoint_t endpoint_t;
typedef struct batch_t batch_t;

typedef enum
{
  TASK_MAYBE,   /* another owner may have started it: not yet known */
  TASK_WAITING, /* in the queue */
  TASK_STARTING,
  TASK_RUNNING,
  TASK_UNSURE,  /* its start got no answer */
  TASK_STOPPING /* a stop was sent, or must be */
} task_state_t;

typedef struct
{
  batch_t *batch; /* NULL once its batch was cancelled: only its run is left */
  char *name;
  int32_t index;
  task_state_t state;
  int32_t attempt;
  int32_t failures;
  bool ever_started; /* an order to start it was sent at some time */
  endpoint_t *endpoint;
  room_t need;
  char *avoid; /* id of the endpoint where it last failed, or NULL */
  int64_t queued_at_ms;
  int64_t doubted_at_ms;  /* MAYBE: what was seen before says nothing */
  int64_t sent_at_ms;     /* of the start order */
  int64_t answered_at_ms; /* the start was confirmed; 0 before */
  int64_t expected_ms;
  int64_t lease_there_ms; /* of the start order */
  int64_t must_end_at_ms; /* STOPPING: since when */
  int64_t stop_sent_at_ms;
  bool stop_confirmed;
  bool late;  /* it misses its objective wherever it starts */
  bool moved; /* it was stopped once to run on a faster endpoint */
  int32_t percent;
  int64_t percent_at_ms; /* when PERCENT last grew */
  GList link;            /* in the queue */
  load_mark_t counted;   /* in the backlog, while it is in the queue */
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
  room_t need;
  int64_t raw_estimate_ms; /* the caller's */
  place_aim_t aim;         /* its work is the estimate, corrected (estimate.h) */
  int64_t start_by_ms;     /* 0 for no such limit */
  int32_t attempts_max;
  int32_t attempt_base;
  char *label;
  char *near_rack;
  int32_t spread_max;
  bool doubted; /* an owner before may have started its tasks */
  int64_t wait_until_ms;
  GPtrArray *tasks; /* task_t that have not ended */
  GArray *ended;    /* ended_t: what its coordinator was told */
  bool ever_started;
  bool closed;          /* all its tasks have ended; kept for a coordinator that missed it */
  int64_t closed_at_ms; /* 0 until the next round */
};

typedef struct
{
  int32_t index;
  fleet_action_kind_t how;
} ended_t;

/* An end that a coordinator may have missed. */
typedef struct
{
  const char *coordinator; /* interned */
  uint64_t batch;
  int32_t index;
  fleet_action_kind_t how;
} retold_t;

/* How durations compare with callers' estimates, over many runs and over the last few.
 * Estimates are rough, so that only the first is steady, and only the second shows at once
 * that something has changed. */
typedef struct
{
  double elapsed_ms; /* fading sums */
  double estimate_ms;
  double late_elapsed_ms;
  double late_estimate_ms;
  uint32_t count;
} pace_t;

/* A run that this owner has not started. */
typedef struct
{
  char *name;
  int32_t attempt;
  int64_t seen_at_ms;
  int64_t stop_sent_at_ms;
  bool present; /* in the look that is being read */
} foreign_run_t;

struct endpoint_t
{
  char *id;
  char *address;
  char *service;
  char *kind;
  char *rack;
  int64_t born_at_ms;       /* of the life that was seen last */
  int64_t entry_born_at_ms; /* of the life that its entry tells of */
  bool tells_born;          /* looks tell of its life */
  int64_t cold_until_ms;
  room_t entry_free; /* the most that its entry told in that life */
  room_t whole;      /* the most that was ever seen free */
  bool leaving;
  bool departed; /* its entry is gone; stays here until its runs are over */
  bool looked;   /* what runs there is known under the token in force */
  bool shut_out;
  uint32_t term; /* grows when the token changes */
  bool look_out; /* a look is on its way */
  uint64_t look_serial;
  int64_t look_sent_at_ms;
  int64_t looked_at_ms; /* when the last look that was answered had been sent */
  int64_t look_due_ms;  /* not before */
  bool clock_known;
  int64_t clock_ahead_ms; /* its clock less the boot clock, at the most */
  int64_t lease_end_ms;   /* nothing runs there after this */
  int64_t ack;
  int64_t ack_sent;
  int64_t silent_from_ms;   /* the first call without an answer since then; 0 if none */
  int32_t misses;           /* calls without an answer since then */
  int64_t full_until_ms;    /* it refused for want of room */
  GPtrArray *runs;          /* task_t */
  GPtrArray *foreign;       /* foreign_run_t */
  GPtrArray *ended_foreign; /* names of tasks that ended done under another owner */
  room_t used;
  outlier_t outlier;
  pace_t pace;
  double ratio; /* what PACE amounts to */
};

/* Durations by kind of machine. */
typedef struct
{
  char *kind;
  pace_t pace;
} kind_t;

struct fleet_t
{
  fleet_options_t options;
  int64_t token; /* of the claim in force */
  bool drained;
  GHashTable *endpoints; /* id -> endpoint_t */
  GHashTable *tasks;     /* name -> task_t */
  GHashTable *batches;   /* "coordinator/number" -> batch_t */
  GHashTable *calls;     /* serial of a start or stop -> call_t */
  GHashTable *kinds;     /* kind -> kind_t */
  estimates_t *estimates;
  GQueue queue;            /* waiting tasks in the order of their turn */
  GHashTable *load_sums;   /* service -> load_sums_t of the queue */
  GHashTable *maybe;       /* tasks of unknown state: a set */
  int32_t departed;        /* endpoints */
  int64_t unsettled_to_ms; /* until then endpoints may be unknown */
  int64_t contested_to_ms; /* until then another owner may still run tasks unseen */
  uint64_t serial;
  GPtrArray *closed;   /* batch_t */
  GArray *retold;      /* retold_t: to be told again */
  GStringChunk *names; /* that actions of the last call point to */
  outlier_fleet_t outliers;
  outlier_baseline_t base;
  double failure_rate;
  room_t usual_need;
  /* For one round (place_prepare ()): */
  GPtrArray *usable;  /* endpoint_t that may be given tasks */
  GPtrArray *open;    /* those of them with free cores */
  double least_ratio; /* of the usable ones; 0 if there is none */
};

typedef struct
{
  char *endpoint;
  char *task;
  int32_t attempt;
  uint32_t term; /* of the endpoint when the call was made */
  uint64_t serial;
} call_t;

/* So many calls without an answer in a row mean that the endpoint is not there; one may be lost. */
#define SILENT_MISSES 2

/* Placement (place.c). */

/* Prepares a round: collects the endpoints that may be given tasks. */
void place_prepare (fleet_t *fleet, int64_t now_ms);

/* Duration over the caller's estimate on ENDPOINT. */
double place_ratio (const endpoint_t *endpoint);

/* So many times as long a task of BATCH takes on ENDPOINT for being away from its data. */
double place_distance (const fleet_t *fleet, const endpoint_t *endpoint, const batch_t *batch);

/* How long a task of BATCH should take on ENDPOINT. */
int64_t place_expected_ms (const fleet_t *fleet, const endpoint_t *endpoint, const batch_t *batch);

/* How long it should take on the fastest endpoint of this round; INT64_MAX if there is none. */
int64_t place_least_ms (const fleet_t *fleet, const batch_t *batch);

/* True if ENDPOINT may run TASK, were there room. */
bool place_may_run (const endpoint_t *endpoint, const task_t *task);

/* True if ENDPOINT may be given any task now. */
bool place_is_usable (const endpoint_t *endpoint, int64_t now_ms);

/* The endpoint of this round for TASK, or NULL if it has to wait for what is then in *HOPE. */
endpoint_t *place_choose (fleet_t *fleet, const task_t *task, int64_t now_ms, place_hope_t *hope);

/* A free endpoint on which TASK may yet be in time, if its estimate is too high; NULL if there is
 * none. For a task that would be refused. */
endpoint_t *place_last_resort (const fleet_t *fleet, const task_t *task, int64_t now_ms);

/* Takes in that a run of TASK took ELAPSED_MS on its endpoint. */
void place_learn (fleet_t *fleet, const task_t *task, int64_t elapsed_ms);

/* Sets the ratio of ENDPOINT by its pace and its kind. */
void place_rate (const fleet_t *fleet, endpoint_t *endpoint);

bool room_fits (const room_t *whole, const room_t *used, const room_t *need);
void room_add (room_t *room, const room_t *need, int32_t sign);

#endif
