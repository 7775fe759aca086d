/* dispatch.h -- admission of jobs, and order and placement of their tasks
 *
 * One dispatch_t decides for the tasks of one entry host.  It does no input or output:
 * the caller passes events and the time, carries out the actions that are returned, and
 * provides the limits through dispatch_limits_t.  All times are milliseconds of one
 * monotonic clock.  Not thread-safe.  Strings in arguments are copied.
 *
 * Order of starts: within a plan by deadline; between plans weighted fair queueing by
 * service time.
 *
 * Selection of an endpoint: the shortest expected service time, measured per endpoint
 * and kind, among the endpoints with a free slot.  A task waits for a faster endpoint
 * if that is expected to have a free slot soon enough.  Endpoints that fail, are
 * unreachable or do not answer are not selected.
 *
 * Slots: each slot stands for an equal part of an endpoint's cores, memory and
 * connections.  A task that needs more than one part takes several slots, so that the
 * limits on slots also bound the use of cores and memory by all hosts together.
 */
#ifndef DISPATCH_DISPATCH_H
#define DISPATCH_DISPATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct dispatch_t dispatch_t;

/* A task to be queued or admitted. */
typedef struct
{
  const char *plan;
  const char *kind;
  int32_t cores;
  int64_t memory_mb;
  int64_t deadline_at_ms;
  bool repeatable; /* may be run again after a failure, so it is preferred as a probe */
} dispatch_task_t;

/* How the call of an endpoint ended. */
typedef enum
{
  DISPATCH_DONE,            /* complete answer with status 2xx or 4xx */
  DISPATCH_FAILED,          /* complete answer with status 5xx */
  DISPATCH_TIMEOUT,         /* no complete answer in time */
  DISPATCH_CONNECTION_LOST, /* connection lost after the request was written */
  DISPATCH_NOT_STARTED,     /* connect failed; nothing was written */
  DISPATCH_ABANDONED        /* given up by the caller before anything was written; not counted
                             * for or against the endpoint */
} dispatch_outcome_t;

/* An endpoint in the list given to dispatch_set_endpoints ().  CONNECTIONS, CORES and
 * MEMORY_MB are totals over its slots. */
typedef struct
{
  const char *id;
  const char *rack;
  int32_t slots;
  int32_t connections;
  int32_t cores;
  int64_t memory_mb;
  bool leaving; /* gets no new tasks */
} dispatch_endpoint_t;

/* The limits that apply to a start.  In the functions below NAME is the name of a plan,
 * or the id of an endpoint for DISPATCH_LIMIT_SLOTS. */
typedef enum
{
  DISPATCH_LIMIT_RUNNING, /* tasks of a plan that run at the same time */
  DISPATCH_LIMIT_STARTS,  /* starts of a plan per second; never released */
  DISPATCH_LIMIT_SLOTS    /* slots of an endpoint that are in use */
} dispatch_limit_t;

typedef struct dispatch_limits_t dispatch_limits_t;

/* Implemented by the caller; called during dispatch_step () and dispatch_admit (). */
typedef struct
{
  /* Acquires all UNITS or none.  Returns 0 or ERROR_FULL.  The units are needed
   * until ENDS_AT_MS at the latest. */
  int (*acquire) (dispatch_limits_t *limits,
                  dispatch_limit_t limit,
                  const char *name,
                  int32_t units,
                  int64_t ends_at_ms,
                  int64_t now_ms);
  /* Releases UNITS that were acquired with the same LIMIT, NAME and ENDS_AT_MS. */
  void (*release) (dispatch_limits_t *limits,
                   dispatch_limit_t limit,
                   const char *name,
                   int32_t units,
                   int64_t ends_at_ms,
                   int64_t now_ms);
  /* Number of units that could be acquired now; INT32_MAX if there is no limit. */
  int32_t (*available) (dispatch_limits_t *limits,
                        dispatch_limit_t limit,
                        const char *name,
                        int64_t now_ms);
} dispatch_limits_ops_t;

/* Base of the implementations, which embed it as their first member. */
struct dispatch_limits_t
{
  const dispatch_limits_ops_t *ops;
};

/* The parts of the algorithm that can be switched off to measure their effect. */
typedef struct
{
  uint32_t seed;        /* of the random order among equal endpoints */
  int32_t sample_size;  /* endpoints compared for each start; 0 for all */
  bool wait_for_faster; /* wait if a faster endpoint should have a free slot soon */
  bool eject;           /* do not select endpoints that fail, are unreachable or silent */
  bool refuse;          /* refuse jobs and give up tasks that cannot end in time */
} dispatch_options_t;

#define DISPATCH_OPTIONS_DEFAULT                                                                   \
  {                                                                                                \
    .seed = 1, .wait_for_faster = true, .eject = true, .refuse = true                              \
  }

/* LIMITS must outlive the result, which the caller frees with dispatch_free (). */
dispatch_t *dispatch_new (const dispatch_options_t *options, dispatch_limits_t *limits);
void dispatch_free (dispatch_t *dispatch);

/* Replaces the list of endpoints.  The measurements of endpoints that stay in the list
 * are kept. */
void dispatch_set_endpoints (dispatch_t *dispatch,
                             const dispatch_endpoint_t *endpoints,
                             size_t count,
                             int64_t now_ms);

/* Sets the weight of PLAN for fair queueing; at least 1, which is the default. */
void dispatch_set_weight (dispatch_t *dispatch, const char *plan, int32_t weight);

/* Events for dispatch_step (). */
typedef enum
{
  DISPATCH_ADD,           /* queue TASK with the id TICKET */
  DISPATCH_REMOVE,        /* remove TICKET from its queue; no-op once it has started */
  DISPATCH_ENDED,         /* the call for TICKET ended with OUTCOME after ELAPSED_US */
  DISPATCH_LIMITS_RAISED, /* limits may have more units than before */
  DISPATCH_RUN            /* start tasks; to be sent after other events and every 50 ms */
} dispatch_event_kind_t;

/* Only the members that KIND needs are read. */
typedef struct
{
  dispatch_event_kind_t kind;
  uint64_t ticket; /* unique id chosen by the caller; not 0 */
  const dispatch_task_t *task;
  dispatch_outcome_t outcome;
  int64_t elapsed_us;
} dispatch_event_t;

/* Actions that the caller must carry out. */
typedef enum
{
  DISPATCH_START,  /* write the task to ENDPOINT now; its units are acquired */
  DISPATCH_GIVE_UP /* the task cannot end in time; it was not started and is no longer queued */
} dispatch_action_kind_t;

typedef struct
{
  dispatch_action_kind_t kind;
  uint64_t ticket;
  const char *endpoint; /* valid until the next dispatch_set_endpoints () */
} dispatch_action_t;

/* Handles EVENT and appends the resulting actions (dispatch_action_t) to ACTIONS.
 * After DISPATCH_NOT_STARTED the task is queued again and another endpoint is preferred
 * for it; after any other outcome the ticket is no longer valid. */
void dispatch_step (dispatch_t *dispatch,
                    const dispatch_event_t *event,
                    int64_t now_ms,
                    GArray *actions);

/* Decides whether a job of COUNT tasks like TASK can be admitted.  Nothing is queued,
 * but the work of an admitted job is reserved.  Returns
 *   0                           if the job is admitted,
 *   ERROR_NEVER_FITS            if no endpoint is large enough for a task,
 *   ERROR_DEADLINE_UNREACHABLE  if the job would be late even with an empty queue,
 *   ERROR_PLAN_LIMIT            if it would be late because of the plan's own limits,
 *   ERROR_OVERLOADED            if it would be late, or make queued work late, because of
 *                               the load, or if the queues are full.
 * With the last two *RETRY_AT_MS is the time to try again. */
int dispatch_admit (dispatch_t *dispatch,
                    const dispatch_task_t *task,
                    int32_t count,
                    int64_t now_ms,
                    int64_t *retry_at_ms);

/* True if TICKET is queued and not started. */
bool dispatch_is_queued (const dispatch_t *dispatch, uint64_t ticket);

/* Totals for reports. */
typedef struct
{
  uint32_t queued;
  uint32_t running;
  int32_t endpoints;
  int32_t ejected;
} dispatch_totals_t;
dispatch_totals_t dispatch_totals (const dispatch_t *dispatch);

/* The state of one endpoint, for reports. */
typedef struct
{
  const char *id;
  bool leaving;     /* gets no new tasks */
  bool ejected;     /* gets no tasks except probes */
  bool silent;      /* has running tasks and its answer is overdue */
  bool unreachable; /* the last connect failed and no answer has come since */
  int32_t slots;
  int32_t running; /* slots in use by tasks of this host */
} dispatch_endpoint_state_t;

/* Calls EACH for every listed endpoint and for those that are still kept for running
 * tasks.  STATE is valid only during the call. */
void dispatch_each_endpoint (dispatch_t *dispatch,
                             int64_t now_ms,
                             void (*each) (const dispatch_endpoint_state_t *state, void *data),
                             void *data);

/* Calls EACH for every kind that was measured at endpoint ID; not at all if ID is unknown. */
void dispatch_each_service_time (
    dispatch_t *dispatch,
    const char *id,
    void (*each) (const char *kind, double mean_ms, double deviation_ms, void *data),
    void *data);

/* The state of one plan, for reports. */
typedef struct
{
  const char *plan;
  uint32_t queued;
  uint32_t running;
  uint32_t recent_starts; /* starts in the previous or the current second, whichever has more */
  bool at_running_max;    /* blocked by its limit on running tasks */
  bool at_starts_max;     /* blocked by its limit on starts */
} dispatch_plan_state_t;

/* Calls EACH for every plan.  STATE is valid only during the call. */
void dispatch_each_plan (dispatch_t *dispatch,
                         void (*each) (const dispatch_plan_state_t *state, void *data),
                         void *data);

/* With LOCAL_ONLY, admission counts only the slots that this host holds; otherwise the
 * slots of all endpoints.  To be set when the host has asked for more units of its
 * limits and does not get them. */
void dispatch_set_local_only (dispatch_t *dispatch, bool local_only);

#endif
