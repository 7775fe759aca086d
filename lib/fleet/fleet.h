/* fleet.h -- the endpoints that one host owns, their leases and runs, and the tasks that wait
 *
 * The owner of an endpoint alone starts tasks on it, renews the lease under which they run,
 * and takes note of their ends.  What an endpoint obeys is the highest token that it
 * has seen, so that a new owner shuts out the old one with its first call.
 *
 * A fleet_t is pure: events and the time go in, actions (fleet_action_t) come out.  Times are
 * milliseconds of the boot clock, but for those named `_there_ms`, which are on the endpoint's
 * own clock.  Not thread-safe.  Strings in events are copied; pointers in actions are valid
 * until the next call.
 *
 * What always holds:
 * - a task has at most one run that may be alive, on one endpoint;
 * - a run whose start got no answer is over only when the endpoint has said so, has
 *   confirmed a stop, or its lease has surely ended;
 * - an endpoint with a run that must end and has not is held no longer than
 *   FLEET_UNSTOPPED_MAX_MS, so that everything there ends with the lease;
 * - nothing starts on an endpoint before the owner has seen what runs there;
 * - "it never started" is said only of a task that no owner but this one can have started: the
 *   claim under which its batch was sent is the one in force, so that whatever happened to it
 *   happened here.  A task in doubt stays with its shard, whose endpoints obey one owner, until
 *   its end is known or its deadline decides.
 */
#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct fleet_t fleet_t;

/* What a task needs, or an endpoint has. */
typedef struct
{
  int64_t cores_milli;
  int64_t memory_mb;
  int64_t gpus;
} room_t;

typedef struct
{
  const char *id;
  const char *address;
  const char *service;
  const char *kind; /* of the machine: endpoints of one kind are about equally fast */
  const char *rack;
  int64_t born_at_ms; /* its own clock, which may jump; another life has another one */
  room_t free;        /* as it says itself; an idle endpoint's whole room */
  bool leaving;
  int64_t cold_until_ms; /* it may run slower until then; 0 if it does not */
} fleet_endpoint_t;

/* The tasks of one step of a job that one coordinator wants run. */
typedef struct
{
  const char *coordinator; /* host id */
  uint64_t batch;          /* chosen by the coordinator, unique for it */
  int64_t token;           /* of the claim that it was meant for */
  const char *job;
  int32_t step;
  const char *spec; /* what endpoints are told; opaque */
  const char *service;
  int32_t priority; /* 0 is the most urgent */
  room_t need;
  int64_t estimate_ms;    /* the caller's guess of a task's duration */
  int64_t goal_at_ms;     /* a job that ends later is late, if the guess is right .. */
  double stretch;         /* .. and by so many times as its work is larger, later */
  int64_t deadline_at_ms; /* a job that ends later is worthless */
  int64_t start_by_ms;    /* it is returned if none of it has started by then; 0 for never */
  int32_t attempts_max;   /* failed ends of a task that fail the job */
  int32_t attempt_base;   /* the first attempt is this plus 1 */
  const char *label;      /* an endpoint must have it as kind or rack; "" for any */
  const char *near_rack;  /* runs faster there; "" for none */
  int32_t spread_max;     /* tasks of the step on one endpoint; 0 for any number */
  bool maybe_running;     /* another owner may have started them */
  int64_t wait_until_ms;  /* MAYBE_RUNNING: by then what that owner started is over */
  const int32_t *indexes;
  size_t count;
} fleet_batch_t;

typedef enum
{
  FLEET_START,     /* start TASK on the endpoint */
  FLEET_STOP,      /* stop attempt ATTEMPT of TASK there */
  FLEET_LOOK,      /* renew the lease (0: don't), acknowledge ends, ask what runs */
  FLEET_DONE,      /* to the coordinator: task INDEX of BATCH is done */
  FLEET_FAILED,    /* likewise: it has failed as often as is allowed, or can't run */
  FLEET_RETURNED,  /* likewise: it never started, and is no longer queued here */
  FLEET_EXPIRED,   /* likewise: it never started, and can't end before its deadline */
  FLEET_UNSTARTED, /* likewise: nothing of its batch has started by START_BY_MS */
  FLEET_OVERDUE,   /* likewise: it may have run, and can't end before its deadline anywhere */
  FLEET_NOT_OWNED, /* likewise, from a host that does not own the shard: it knows nothing of it */
  FLEET_VACATED,  /* likewise: it may have run, what ran is over, and it is no longer queued here */
  FLEET_SHUT_OUT, /* the endpoint obeys a higher token */
  FLEET_NOTE      /* for the log: what was decided, and by what */
} fleet_action_kind_t;

/* What a FLEET_NOTE tells, and which figures go with it. */
typedef enum
{
  FLEET_NOTE_DONE,   /* elapsed, expected */
  FLEET_NOTE_FAILED, /* elapsed */
  FLEET_NOTE_LAPSED, /* elapsed */
  FLEET_NOTE_HUNG,   /* elapsed, percent */
  FLEET_NOTE_MOVED,  /* elapsed, percent */
  FLEET_NOTE_CUT,    /* elapsed, expected, percent */
  FLEET_NOTE_ADOPTED,
  FLEET_NOTE_REFUSED, /* reason */
  FLEET_NOTE_UNANSWERED,
  FLEET_NOTE_SILENT, /* runs, as count */
  FLEET_NOTE_HEARD,  /* elapsed: how long it was silent */
  FLEET_NOTE_REBORN, /* runs, as count */
  FLEET_NOTE_EJECTED,
  FLEET_NOTE_READMITTED
} fleet_note_t;

typedef struct
{
  fleet_action_kind_t kind;
  const char *endpoint; /* id */
  const char *address;
  const char *task; /* "JOB.0.STEP.INDEX" */
  int32_t attempt;
  const char *spec;
  int64_t lease_until_there_ms;
  int64_t ack;     /* FLEET_LOOK: ends up to this number are known */
  int64_t wait_ms; /* FLEET_LOOK: the answer may wait this long for an end */
  uint64_t serial; /* of this call; comes back with its answer */
  const char *coordinator;
  uint64_t batch;
  int32_t index;
  const char *reason; /* static; why, for logs */
  bool drained;       /* FLEET_RETURNED, FLEET_VACATED: the data centre is drained */
  /* For logs; FLEET_START: expected, elapsed since it was queued, least and left; FLEET_RETURNED:
   * elapsed likewise; FLEET_EXPIRED: elapsed, expected at the least, usable endpoints and waiting
   * tasks as counts. */
  fleet_note_t note;
  int64_t elapsed_ms;
  int64_t expected_ms;
  int64_t least_ms; /* on the fastest endpoint */
  int64_t left_ms;  /* until the deadline */
  int32_t percent;
  int32_t count;
  int32_t waiting;
} fleet_action_t;

/* How a call to an endpoint ended. */
typedef enum
{
  FLEET_OK,
  FLEET_NO_ROOM,
  FLEET_OLD,       /* a run with this attempt or a later one was there */
  FLEET_LATE,      /* its lease had run out on arrival */
  FLEET_BAD_TOKEN, /* a higher token was seen there */
  FLEET_UNHEALTHY, /* nothing was done; may be tried again */
  FLEET_INVALID,   /* the order is malformed */
  FLEET_GONE,      /* nothing listens there, or another life of the endpoint */
  FLEET_UNKNOWN    /* no answer: the order may have been carried out, or may be later */
} fleet_answer_t;

typedef enum
{
  RUN_DONE,
  RUN_FAILED,
  RUN_STOPPED,
  RUN_LAPSED,
  RUN_OTHER /* ended with other members of its group */
} run_end_t;

/* What an endpoint says of itself when it is looked at. */
typedef struct
{
  const char *task;
  int32_t attempt;
  int32_t percent; /* of its work */
} look_active_t;

typedef struct
{
  int64_t number;
  const char *task;
  int32_t attempt;
  run_end_t how;
} look_ended_t;

typedef struct
{
  int64_t clock_there_ms;
  int64_t born_at_ms; /* 0 if it does not say */
  const look_active_t *active;
  size_t active_count;
  const look_ended_t *ended;
  size_t ended_count;
} look_t;

typedef struct
{
  int64_t lease_ms; /* the longest that endpoints grant */
  int64_t stop_ms;  /* the longest that a stop takes */
  /* A task takes so many times as long away from the rack of its data; 0 counts as 1. */
  double remote_factor;
} fleet_options_t;

/* A lease ends this much later at the latest on an endpoint with a slow clock. */
#define FLEET_CLOCK_SLACK_PERCENT 3
#define FLEET_UNSTOPPED_MAX_MS 250

fleet_t *fleet_new (const fleet_options_t *options);
void fleet_free (fleet_t *fleet);
void fleet_set_options (fleet_t *fleet, const fleet_options_t *options);

/* Takes over the endpoint, or takes in what it says now. */
void fleet_set_endpoint (fleet_t *fleet, const fleet_endpoint_t *endpoint, int64_t now_ms);

/* The endpoint's entry is gone: nothing new starts there.  It may live, so that its runs are
 * followed until they have ended or its lease is over.  No-op if it is unknown. */
void fleet_drop_endpoint (fleet_t *fleet, const char *id);

/* Another host owns the endpoint: its runs go on without this one, nothing is told
 * to coordinators, who turn to the new owner. */
void fleet_yield_endpoint (fleet_t *fleet, const char *id);

/* The data centre is drained, or no longer.  While it is nothing starts, the offers have no slots,
 * and what waits is told at once: FLEET_RETURNED if it never started, FLEET_VACATED if its run is
 * over.  A task in doubt stays until it can't be run by the owner before.  Runs go on and their
 * leases are renewed; nothing is stopped that would not be stopped otherwise. */
void fleet_set_drained (fleet_t *fleet, bool drained);

/* Until AT_MS there may be endpoints that this owner does not know of yet: a task that may be
 * running and is not found waits for as long as it may run. */
void fleet_set_unsettled (fleet_t *fleet, int64_t at_ms);

/* This host owns the endpoints under a new TOKEN: another owner may have been there in between, so
 * that what runs must be seen again, and what waits may run somewhere. */
void fleet_renew (fleet_t *fleet, int64_t token, int64_t now_ms);

/* Queues the tasks of BATCH.  A task that is known already, by another batch, is handed
 * over to this one with its run.  A batch that is known already, or has ended a moment ago, is not
 * taken twice: what has ended of it is told again.  One that was meant for another claim may be
 * running, whatever it says: an owner before may have taken it. */
void fleet_submit (fleet_t *fleet, const fleet_batch_t *batch, int64_t now_ms);

/* Ends the tasks of a batch.  Returns true if none of them can ever have started. */
bool fleet_cancel (fleet_t *fleet,
                   const char *coordinator,
                   uint64_t batch,
                   int64_t now_ms,
                   GArray *actions);

/* Another owner has been given the batch: forgets its tasks and leaves their runs alone.  A run
 * that the other owner does not take over is stopped as any that nobody here knows. */
void fleet_release (fleet_t *fleet, const char *coordinator, uint64_t batch);

/* Ends all batches of a coordinator that is gone. */
void
fleet_drop_coordinator (fleet_t *fleet, const char *coordinator, int64_t now_ms, GArray *actions);

/* Drops what is queued and running without a word: another host owns all. */
void fleet_yield_all (fleet_t *fleet);

/* Answers to FLEET_START, FLEET_STOP and FLEET_LOOK.  CLOCK_THERE_MS is 0 if the
 * answer has none. */
void fleet_started (fleet_t *fleet,
                    uint64_t serial,
                    fleet_answer_t answer,
                    int64_t clock_there_ms,
                    int64_t now_ms,
                    GArray *actions);
void fleet_stopped (fleet_t *fleet,
                    uint64_t serial,
                    fleet_answer_t answer,
                    int64_t clock_there_ms,
                    int64_t now_ms,
                    GArray *actions);
/* LOOK is NULL unless ANSWER is FLEET_OK. */
void fleet_looked (fleet_t *fleet,
                   uint64_t serial,
                   fleet_answer_t answer,
                   const look_t *look,
                   int64_t now_ms,
                   GArray *actions);

/* What may be expected of a task, if it starts now. */
typedef enum
{
  PLACE_UNLIKELY, /* without a margin before its deadline */
  PLACE_LATE,     /* after its objective, or with little margin before its deadline */
  PLACE_IN_TIME,  /* unless its estimate is far off; not worth waiting for better */
  PLACE_SURE      /* also if its estimate is far off */
} place_tier_t;

/* What a task has to meet.  Its objective grows with the work that it turns out to be, its
 * deadline does not. */
typedef struct
{
  int64_t work_ms;    /* what it should take at the speed that estimates are made for */
  int64_t goal_at_ms; /* its objective, if it takes just that .. */
  double stretch;     /* .. and so much later for each millisecond more */
  int64_t deadline_at_ms;
} place_aim_t;

/* What may be expected of a task that starts now and takes RATIO times its work. */
place_tier_t place_tier (const place_aim_t *aim, double ratio, int64_t now_ms);

/* What a task may hope for if it waits. */
typedef struct
{
  place_tier_t tier; /* the best */
  int64_t least_ms;  /* its shortest duration; INT64_MAX if there is no endpoint for it */
} place_hope_t;

/* No hope yet, for place_hope_add (). */
#define PLACE_NO_HOPE ((place_hope_t){ PLACE_UNLIKELY, INT64_MAX })
void place_hope_add (place_hope_t *hope, place_tier_t tier, int64_t expected_ms);

/* True if a task should start where it can expect TIER and EXPECTED_MS, rather than wait for what
 * it may hope for. */
bool place_is_worth (place_tier_t tier, int64_t expected_ms, const place_hope_t *hope);

/* What coordinators need to know to place tasks. */
typedef struct
{
  const char *service;
  int32_t slots; /* free, for tasks of the usual size */
  int32_t slots_all;
  double ratio; /* duration over the caller's estimate, as measured */
} fleet_offer_t;

/* Backlogs are told by priority; the last level stands for all priorities from there on. */
#define FLEET_LOAD_LEVELS 4
int32_t fleet_load_level (int32_t priority);

/* What coordinators need to know to tell how long a task would wait: an owner's capacity for one
 * service, and what waits for it, in core-milliseconds at the mean speed of its endpoints. */
typedef struct
{
  const char *service;
  int64_t cores_milli;  /* of the usable endpoints */
  int64_t room_milli;   /* the most free cores of one of them; 0 while nothing waits */
  int64_t next_free_ms; /* until the next run should end; 0 while nothing waits */
  int64_t backlog_core_ms[FLEET_LOAD_LEVELS];
  int64_t late_core_ms[FLEET_LOAD_LEVELS]; /* the part of it that goes last at its level: it misses
                                              its objective anyway */
} fleet_load_t;

/* Starts what can be started, renews leases, gives up what can't end in time.  Call after
 * other events and every few milliseconds.  Queued tasks that would do as well on the free
 * slots of other owners (ELSEWHERE, fleet_offer_t; slots are taken off) are returned to their
 * coordinators. */
void fleet_run (fleet_t *fleet, GArray *elsewhere, int64_t now_ms, GArray *actions);

/* Appends one fleet_offer_t for each service and speed; NEED is the usual size.  A drained data
 * centre offers no slots, but names its services. */
void fleet_offers (const fleet_t *fleet, const room_t *need, int64_t now_ms, GArray *offers);

/* Appends one fleet_load_t for each service with usable endpoints; its strings last until the next
 * call. */
void fleet_loads (const fleet_t *fleet, int64_t now_ms, GArray *loads);

typedef struct
{
  int32_t endpoints;
  int32_t endpoints_ready; /* may be given tasks now */
  int32_t waiting;
  int32_t running;
  room_t usual_need; /* of tasks lately */
} fleet_totals_t;
fleet_totals_t fleet_totals (const fleet_t *fleet, int64_t now_ms);

#endif
