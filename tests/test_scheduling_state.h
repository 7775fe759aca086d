/* test_scheduling_state.h -- state, random draws and event queue of the scheduling simulation */
#ifndef TESTS_TEST_SCHEDULING_STATE_H
#define TESTS_TEST_SCHEDULING_STATE_H

#include "tests/test_scheduling_simulation.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 5
#define LINK_DELAY_MAX_MS 3000
#define HEARTBEAT_MS 100
#define OFFER_INTERVAL_MS 15
#define SUSPENSION_MS 400 /* a host that did nothing for longer has been suspended */
#define REFRESH_INTERVAL_MS 20
#define PARTIAL_DISCOVERY_MS 2000
/* A host that has been up for this long takes its list of endpoints for complete. */
#define DISCOVERY_MS 3000
#define ORDER_TIMEOUT_MS 80
#define ORDER_KEPT_MS 5000 /* after the last arrival of an order or of its answer */
#define LATE_ANSWER_MAX_MS 300
#define MAX_TASKS 16
#define MAX_PLAIN_TASKS 6
/* Duration of a run on a fast or a slow endpoint, as a multiple of the task's work. */
#define FAST_FACTOR 0.7
#define SLOW_FACTOR 1.7
#define CLOCK_SLOW_MAX_PERCENT 2
#define JOB_INTERVAL_MS 25
#define DEADLINE_MS 1500
/* With long_waits a caller waits DEADLINE_MS, and this many times the longest task of its job. */
#define LONG_WAIT_FACTOR 4
#define MAX_ATTEMPTS 3
/* After this many crashes under it, a task may be started this many times more. */
#define CRASHES_BEFORE_LIMIT 3
#define STARTS_AFTER_CRASHES_MAX 2
/* A task under which this many endpoints have crashed may be given up. */
#define CRASHES_OF_GIVEN_UP 2
/* A deadly task crashes its endpoint within this time, which is back after 1 to 4 s. */
#define DEADLY_AFTER_MAX_MS 60
#define DEADLY_DOWN_MIN_MS 1000
#define DEADLY_DOWN_VARIES_MS 3000
#define NAME_SIZE 8
/* Callers act for this many of the latest jobs. */
#define ACTIVE_JOBS 400
#define ACTIVE_JOBS_NARROW 1000 /* with narrow links */

typedef struct simulation_t simulation_t;

/* --- endpoints --- */

typedef struct
{
  char *task;
  int32_t attempt;
  int64_t started_at_ms;
  int64_t ends_at_ms; /* INT64_MAX if it hangs */
  bool fails;
  int64_t crashes_at_ms; /* when it crashes the endpoint; 0 if it does not */
  int64_t stop_at_ms;    /* 0 unless it is being stopped */
} sim_run_t;

/* A run that has ended and that the owner has not acknowledged yet. */
typedef struct
{
  int64_t number;
  char *task;
  int32_t attempt;
  run_result_t result;
  int64_t ended_at_ms;
} ended_run_t;

typedef struct
{
  int64_t from_ms;
  int64_t until_ms;
} outage_t;

typedef struct
{
  char id[NAME_SIZE];
  int data_centre;
  int64_t started_at_ms;
  int slots;
  int reported_slots;
  int64_t report_due_ms; /* when SLOTS is reported; 0 if it has been */
  int earlier_slots;     /* count until EARLIER_SLOTS_UNTIL_MS */
  int64_t earlier_slots_until_ms;
  int64_t down_until_ms;   /* 0 unless it has crashed */
  int64_t entry_due_at_ms; /* when the directory shows its restart; 0 if it does */
  GArray *outages;         /* outage_t: all so far */
  int64_t cut_until_ms;
  int64_t token;
  int64_t lease_until_ms; /* simulated time */
  int64_t last_end_number;
  double duration_factor;
  int clock_slow_percent;       /* its clock loses this percentage of the time */
  GPtrArray *runs;              /* sim_run_t */
  GPtrArray *ended_runs;        /* ended_run_t */
  GHashTable *highest_attempts; /* task -> highest attempt that was stopped or has ended */
} sim_endpoint_t;

/* --- hosts --- */

typedef struct
{
  executor_t *executor; /* NULL unless the host owns the shard */
  int64_t token;
  int data_centre;
  uint32_t generation; /* counts the executors; answers to orders of an earlier one are dropped */
  int64_t offers_sent_at_ms;
} owned_shard_t;

typedef struct
{
  simulation_t *sim;
  int index;
  char name[NAME_SIZE];
  int data_centre;
  uint64_t incarnation;
  int64_t down_until_ms;
  int64_t frozen_until_ms;
  int64_t cut_until_ms;
  int64_t send_cut_until_ms;    /* no host receives from it until then */
  int64_t receive_cut_until_ms; /* it receives from no host until then */
  int64_t link_slow_until_ms;   /* the delay of its messages to other hosts grows until then */
  int64_t link_delay_ms;
  bool has_narrow_link;               /* its link is narrow at the times of the options */
  int64_t link_free_at_us[2];         /* of each queue of its link: when all in it has passed */
  int64_t link_bytes[2];              /* that have left and arrived */
  int64_t last_arrival_ms[SIM_HOSTS]; /* of a message that it has sent to each host */
  int64_t held_until_ms[SIM_HOSTS];   /* messages that a cut delays on the way to each host */
  bool has_lost_statuses[SIM_HOSTS];  /* of jobs, on the way to each host */
  bool reconnect_pending;             /* its connections have to be restored after these cuts */
  int64_t leaving_since_ms;           /* 0 unless it is being stopped gracefully */
  int64_t wall_clock_ahead_ms;        /* difference of its wall clock from simulated time */
  int64_t refreshed_at_ms;
  int64_t started_at_ms;
  cluster_t *cluster; /* NULL while the host is down */
  scheduler_t *scheduler;
  crash_history_t *crashes;
  owned_shard_t owned_shards[SIM_DATA_CENTRES]; /* one shard for each data centre */
  GArray *cluster_actions;
  GArray *scheduler_actions;
  GArray *executor_actions;
} sim_host_t;

/* The link between two hosts. */
typedef struct
{
  sim_host_t *ends[2];
  int64_t cut_from_ms;
  int64_t cut_until_ms;
  bool reconnect_pending; /* its connection has to be restored after the cut */
} sim_link_t;

/* --- callers --- */

#define MIXED_QUEUES 3

typedef struct
{
  const char *name;
  int32_t priority;
  int job_share; /* thousandths of the jobs */
  double mean_tasks;
  double mean_work_ms;
} mixed_queue_t;

/* A request whose channel has broken. */
typedef struct
{
  int host_index;
  uint64_t incarnation;     /* of that host */
  uint64_t number;          /* of the request there */
  int64_t close_seen_at_ms; /* when the host sees that; 0 for never */
} stale_request_t;

#define BREAKS_MAX 2

typedef struct
{
  char id[20];
  const mixed_queue_t *mixed_queue; /* NULL for plain jobs */
  int tasks;
  int64_t estimate_ms;
  int64_t task_work_ms[MAX_TASKS];
  int64_t last_loss_ms[MAX_TASKS]; /* when a fault last ended a run of it, since SENT_AT_MS */
  int64_t work_ms;                 /* of all tasks */
  bool complete;
  int oracle_incomplete; /* tasks that the oracle does not complete in time */
  int near_data_centre;  /* index of the data centre that holds its data, or -1 */
  int64_t sent_at_ms;    /* when it was first submitted */
  int64_t deadline_at_ms;
  int64_t wait_ms;      /* how long its caller waits, from SENT_AT_MS on */
  int host_index;       /* the host it was sent to; -1 while it waits to be submitted again */
  uint64_t incarnation; /* of that host */
  uint64_t job_number;  /* of the job at that host */
  int64_t resubmit_at_ms;
  int64_t broken_at_ms; /* its channel has broken then */
  int data_centre;      /* of the host that it was sent to last; -1 before */
  int64_t leaves_at_ms;
  int64_t breaks_at_ms; /* its channel breaks then */
  int breaks;           /* that it has seen */
  stale_request_t stale[BREAKS_MAX];
  bool closed; /* answered, or abandoned by its caller */
  bool refused;
  int starts_since_sent;
  int total_starts;
  int failures[MAX_TASKS];
  bool deadly;                         /* task 0 crashes each endpoint that starts it */
  int crashes[MAX_TASKS];              /* endpoints that crashed while they ran it */
  int starts_after_crashes[MAX_TASKS]; /* after CRASHES_BEFORE_LIMIT of them */
  bool done[MAX_TASKS];
  int64_t submitted_at_ms;    /* the last time */
  int64_t complete_at_ms;     /* 0 unless it is complete */
  bool done_noted[MAX_TASKS]; /* the end of a run that was done since then is acknowledged */
} sim_job_t;

typedef void (*event_handler_t) (simulation_t *sim, void *data);

typedef struct
{
  int64_t at_ms;
  uint64_t sequence; /* events of the same time are handled in this order */
  event_handler_t handler;
  void *data;
} sim_event_t;

struct simulation_t
{
  const simulation_options_t *options;
  GRand *rand;
  GRand *capacity_rand; /* for changes of capacity, which must not depend on what the hosts do */
  GRand *mixed_rand;    /* for mixed jobs, which must not depend on what the hosts do */
  int64_t now_ms;
  uint64_t last_sequence;
  GSequence *events;
  sim_host_t hosts[SIM_HOSTS];
  sim_endpoint_t endpoints[SIM_ENDPOINTS];
  sim_link_t links[SIM_HOSTS][SIM_HOSTS]; /* the lesser index first */
  bool links_chosen;                      /* the hosts with narrow links */
  int64_t data_centre_cut_until_ms[SIM_DATA_CENTRES];
  int64_t drain_from_ms[SIM_DATA_CENTRES];
  int64_t drain_until_ms[SIM_DATA_CENTRES];
  GPtrArray *jobs;
  simulation_result_t result;
};

/* Beginning of the ids of the jobs and tasks whose events are printed, or NULL. */
static const char *traced_id;

static void trace (const simulation_t *sim, const char *id, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

static void
trace (const simulation_t *sim, const char *id, const char *format, ...)
{
  va_list arguments;

  if (traced_id == NULL || strncmp (id, traced_id, strlen (traced_id)) != 0)
    return;
  printf ("%6d %s ", (int) sim->now_ms, id);
  va_start (arguments, format);
  vprintf (format, arguments);
  va_end (arguments);
  printf ("\n");
}

/* The id under which events that concern all jobs are printed. */
static const char *
any_id (void)
{
  return traced_id != NULL ? traced_id : "";
}

static void run_all_actions (sim_host_t *host);
static int random_below (simulation_t *sim, int limit);

/* The channel of JOB breaks: its caller sends it again. */
static void
come_again (simulation_t *sim, sim_job_t *job)
{
  job->host_index = -1;
  job->broken_at_ms = sim->now_ms;
  job->resubmit_at_ms =
      sim->now_ms
      + (sim->options->early_callers ? random_below (sim, SIM_RESUBMIT_MS) : SIM_RESUBMIT_MS);
}

/* Returns a random number from 0 to LIMIT - 1. */
static int
random_below (simulation_t *sim, int limit)
{
  return g_rand_int_range (sim->rand, 0, limit);
}

/* Returns true with a probability of THOUSANDTHS. */
static bool
random_chance (simulation_t *sim, int thousandths)
{
  return thousandths > 0 && random_below (sim, 1000) < thousandths;
}

static int
compare_events (const void *a, const void *b, void *data)
{
  const sim_event_t *x = a;
  const sim_event_t *y = b;

  (void) data;
  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static void
schedule_event (simulation_t *sim, int64_t at_ms, event_handler_t handler, void *data)
{
  sim_event_t *event = g_new (sim_event_t, 1);

  *event = (sim_event_t){ at_ms, ++sim->last_sequence, handler, data };
  g_sequence_insert_sorted (sim->events, event, compare_events, NULL);
}

/* The name of a data centre, which is also that of its shard and of its rack. */
static const char *
data_centre_name (int data_centre)
{
  static const char *const names[SIM_DATA_CENTRES] = { "x", "y", "z" };

  return names[data_centre];
}

#endif
