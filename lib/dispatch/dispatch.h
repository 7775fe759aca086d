/* dispatch.h -- decides which task starts next, on which endpoint, and which is refused
 *
 * One dispatch_t decides for one entry host.  Its decisions are pure: events
 * and the time go in, actions come out; whether a unit of a limit is free is
 * asked through dispatch_limits_t.  All times are milliseconds of one
 * monotonic clock.  Not thread-safe; strings in events are copied.
 *
 * Order: per plan by deadline, between plans weighted fair by service time.
 * Place: the least expected service time, measured per endpoint and kind, among
 * the endpoints with a free slot; a much faster endpoint that should
 * be free soon is waited for.  Endpoints that fail or fall silent are passed
 * over.  A task that takes more than one slot's part of an endpoint's cores or
 * memory takes several slots, so that the limits on slots also bound cores and
 * memory over all hosts.
 */
#ifndef DISPATCH_DISPATCH_H
#define DISPATCH_DISPATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct dispatch_t dispatch_t;

typedef struct
{
  const char *plan;
  const char *kind;
  int32_t cores;
  int64_t memory_mb;
  int64_t deadline_at_ms;
  bool repeatable; /* a task that may be started again is preferred as a probe */
} dispatch_task_t;

typedef enum
{
  DISPATCH_DONE,            /* a whole 2xx or 4xx */
  DISPATCH_FAILED,          /* a whole 5xx */
  DISPATCH_TIMEOUT,         /* no whole answer in time */
  DISPATCH_CONNECTION_LOST, /* the connection broke after the request was written */
  DISPATCH_NOT_STARTED,     /* no connection: nothing was written */
  DISPATCH_ABANDONED        /* nothing was written and nothing will be: ends the ticket, says
                             * nothing about the endpoint */
} dispatch_outcome_t;

typedef struct
{
  const char *id;
  const char *rack;
  int32_t slots;
  int32_t connections;
  int32_t cores;
  int64_t memory_mb;
  bool leaving;
} dispatch_endpoint_t;

/* The limits that a start must keep within.  NAME is a plan's name, or an
 * endpoint's id for DISPATCH_LIMIT_SLOTS. */
typedef enum
{
  DISPATCH_LIMIT_RUNNING, /* a plan's tasks at once */
  DISPATCH_LIMIT_STARTS,  /* a plan's starts; never given back */
  DISPATCH_LIMIT_SLOTS    /* an endpoint's slots */
} dispatch_limit_t;

typedef struct dispatch_limits_t dispatch_limits_t;

typedef struct
{
  /* Takes all UNITS or none.  Returns 0 or ERROR_FULL.  The units are free
   * again at ENDS_AT_MS at the latest. */
  int (*acquire) (dispatch_limits_t *limits,
                  dispatch_limit_t limit,
                  const char *name,
                  int32_t units,
                  int64_t ends_at_ms,
                  int64_t now_ms);
  void (*release) (dispatch_limits_t *limits,
                   dispatch_limit_t limit,
                   const char *name,
                   int32_t units,
                   int64_t ends_at_ms,
                   int64_t now_ms);
  /* Units that could be taken now; INT32_MAX if there is no limit. */
  int32_t (*available) (dispatch_limits_t *limits,
                        dispatch_limit_t limit,
                        const char *name,
                        int64_t now_ms);
} dispatch_limits_ops_t;

struct dispatch_limits_t
{
  const dispatch_limits_ops_t *ops;
};

/* What may be switched off to measure its effect. */
typedef struct
{
  uint32_t seed;        /* of the sampling */
  int32_t sample_size;  /* endpoints compared for each start; 0 means all */
  bool wait_for_faster; /* leave a slow slot idle if a fast one is soon free */
  bool eject;           /* pass over endpoints that fail or are silent */
  bool refuse;          /* refuse and give up what cannot end in time */
} dispatch_options_t;

#define DISPATCH_OPTIONS_DEFAULT                                                                   \
  {                                                                                                \
    .seed = 1, .wait_for_faster = true, .eject = true, .refuse = true                              \
  }

/* LIMITS must outlive the result. */
dispatch_t *dispatch_new (const dispatch_options_t *options, dispatch_limits_t *limits);
void dispatch_free (dispatch_t *dispatch);

/* Replaces the list of endpoints.  Measurements of those that stay are kept. */
void dispatch_set_endpoints (dispatch_t *dispatch,
                             const dispatch_endpoint_t *endpoints,
                             size_t count,
                             int64_t now_ms);

void dispatch_set_weight (dispatch_t *dispatch, const char *plan, int32_t weight);

typedef enum
{
  DISPATCH_ADD,           /* queue TASK under TICKET */
  DISPATCH_REMOVE,        /* take TICKET out of its queue; no-op once started */
  DISPATCH_ENDED,         /* TICKET ended with OUTCOME after ELAPSED_US */
  DISPATCH_LIMITS_RAISED, /* limits may have more units than before */
  DISPATCH_RUN            /* start what can be started; after the others, and every 50 ms */
} dispatch_event_kind_t;

typedef struct
{
  dispatch_event_kind_t kind;
  uint64_t ticket; /* chosen by the caller, unique, not 0 */
  const dispatch_task_t *task;
  dispatch_outcome_t outcome;
  int64_t elapsed_us;
} dispatch_event_t;

typedef enum
{
  DISPATCH_START,  /* write the task to ENDPOINT now; its units are taken */
  DISPATCH_GIVE_UP /* the task was never started and has left: it cannot end in time */
} dispatch_action_kind_t;

typedef struct
{
  dispatch_action_kind_t kind;
  uint64_t ticket;
  const char *endpoint; /* valid until the next dispatch_set_endpoints () */
} dispatch_action_t;

/* Takes EVENT in; actions (dispatch_action_t) are appended to ACTIONS.  After
 * DISPATCH_NOT_STARTED the ticket is queued again and prefers another
 * endpoint; any other outcome ends it. */
void dispatch_step (dispatch_t *dispatch,
                    const dispatch_event_t *event,
                    int64_t now_ms,
                    GArray *actions);

/* Says whether COUNT tasks like TASK would end in time.  Returns 0, or
 * ERROR_NEVER_FITS, ERROR_DEADLINE_UNREACHABLE, or with *RETRY_AT_MS set
 * ERROR_PLAN_LIMIT or ERROR_OVERLOADED. */
int dispatch_admit (dispatch_t *dispatch,
                    const dispatch_task_t *task,
                    int32_t count,
                    int64_t now_ms,
                    int64_t *retry_at_ms);

/* True while TICKET is queued. */
bool dispatch_is_queued (const dispatch_t *dispatch, uint64_t ticket);

/* Figures for reports. */
typedef struct
{
  uint32_t queued;
  uint32_t running;
  int32_t endpoints;
  int32_t ejected;
} dispatch_totals_t;
dispatch_totals_t dispatch_totals (const dispatch_t *dispatch);

typedef struct
{
  const char *id;
  bool leaving;
  bool ejected;
  bool silent;      /* answers are overdue */
  bool unreachable; /* refused its last connect */
  int32_t slots;
  int32_t running; /* slots in use by this host */
} dispatch_endpoint_state_t;

void dispatch_each_endpoint (dispatch_t *dispatch,
                             int64_t now_ms,
                             void (*each) (const dispatch_endpoint_state_t *state, void *data),
                             void *data);

/* Calls EACH for every kind measured on endpoint ID. */
void dispatch_each_service_time (
    dispatch_t *dispatch,
    const char *id,
    void (*each) (const char *kind, double mean_ms, double deviation_ms, void *data),
    void *data);

typedef struct
{
  const char *plan;
  uint32_t queued;
  uint32_t running;
  uint32_t recent_starts; /* starts in the last second, or in this one if more */
  bool at_running_max;    /* held back by its limit */
  bool at_starts_max;
} dispatch_plan_state_t;

void dispatch_each_plan (dispatch_t *dispatch,
                         void (*each) (const dispatch_plan_state_t *state, void *data),
                         void *data);

/* Tells that limits were asked to grow and did not: from then on only slots
 * that this host holds count for admission. */
void dispatch_set_local_only (dispatch_t *dispatch, bool alone);

#endif
