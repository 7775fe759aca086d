/* test_scheduling_simulation.h -- options and results of the scheduling simulation
 *
 * Simulates hosts that run lib/cluster, lib/scheduler (coordinators) and lib/executor (owners),
 * together with endpoints and callers, in simulated time.  Everything random follows from one
 * seed.  Hosts exchange the messages of the real daemon with a delay.  Endpoints check fencing
 * tokens and leases against clocks of their own.  The answer to an order may be lost, and an order
 * may be carried out seconds after it was sent.  At each start of a task and at each answer to a
 * caller the simulation checks the invariants and counts their violations.
 */
#ifndef TESTS_TEST_SCHEDULING_SIMULATION_H
#define TESTS_TEST_SCHEDULING_SIMULATION_H

#include "cluster/cluster.h"
#include "executor/executor.h"
#include "scheduler/scheduler.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SIM_DATA_CENTRES 3
#ifndef SIM_HOSTS
#define SIM_HOSTS 6
#endif
#define SIM_ENDPOINTS 12
#define SIM_ENDPOINT_SLOTS 3 /* tasks that an endpoint can run at one time */
#define SIM_REPORT_DELAY_MS 500
#define SIM_CAPACITY_GRACE_MS 1000 /* a slot that was taken away counts for so long */
#define SIM_LEASE_MS 1000
#define SIM_STOP_MS 50       /* an endpoint stops a run within this time */
#define SIM_RESUBMIT_MS 1300 /* a caller without an answer submits again after this time */
#define SIM_REMOTE_FACTOR 2.0

/* How the bytes that leave and arrive at a host wait for its link. */
typedef enum
{
  LINK_SHARED,   /* in one queue */
  LINK_SEPARATE, /* in a queue for each direction */
  LINK_OUT_ONLY, /* what leaves waits, what arrives does not */
  LINK_IN_ONLY   /* what arrives waits, what leaves does not */
} link_queues_t;

/* The links of the hosts, over which orders to endpoints, messages to other hosts and the answers
 * to both pass.  A speed of 0 has no limit.  Messages to a host itself and requests of callers use
 * no link. */
typedef struct
{
  link_queues_t queues;
  int64_t narrow_bytes_s; /* in each direction, or in both together if they share a queue; 0: no
                             link is ever narrow */
  int64_t wide_bytes_s;   /* while a link is not narrow, and of links that never are */
  int64_t narrow_from_ms;
  int64_t narrow_until_ms; /* 0: until the end */
  bool one_owner;          /* only the host that owns the first data centre at NARROW_FROM_MS */
} link_options_t;

/* Which faults and loads are simulated.  The probabilities are in thousandths.  Those of faults of
 * hosts, data centres and endpoints apply once per simulated second. */
typedef struct
{
  uint32_t seed;
  int64_t length_ms;
  int64_t job_interval_ms;      /* time between two jobs; 0 for the default */
  int lost_answers;             /* per order: it is carried out, but its answer is lost */
  int late_answers;             /* per order: its answer is on its way for up to 300 ms */
  int late_orders;              /* per order: carried out 2 to 12 s later, without an answer */
  int failing_runs;             /* per run: it fails */
  int hanging_runs;             /* per run: it never ends by itself */
  int leaving_callers;          /* per job: its caller disconnects early */
  int broken_channels;          /* per job: its channel breaks, which its host sees late or never,
                                   and its caller sends it again SIM_RESUBMIT_MS later */
  bool early_callers;           /* callers whose channel breaks, or whose host ends, come again to
                                   the same data centre 0 to SIM_RESUBMIT_MS later, to another
                                   one not before that, if no host there accepts jobs */
  int second_breaks;            /* per broken channel: that of the second request breaks too */
  int host_crashes;             /* per host */
  bool staggered_faults;        /* the faults of hosts come at different times within a second */
  int host_freezes;             /* per host: its process is suspended for a while */
  int data_centre_cuts;         /* per data centre: it is cut off from the others */
  int drains;                   /* per data centre: it is drained for a while */
  int host_cuts;                /* per host: no other host can reach it */
  int one_way_cuts;             /* per host: it can't send to hosts, receive from them, or both;
                                   it still reaches endpoints */
  int link_cuts;                /* per pair of hosts: they can't reach each other for a while, but
                                   all other hosts and the endpoints */
  int parted_hosts;             /* per host: it can't reach the others of its data centre for a
                                   while, but all other hosts and the endpoints */
  int gradual_cuts;             /* per data centre: its hosts lose those of the others link by link
                                   within a second, and reach them again at one time */
  int endpoint_crashes;         /* per endpoint */
  int restart_bursts;           /* once per second: half of the endpoints are down at once, for 0.3
                                   to 1 s */
  int entry_delay_max_ms;       /* owners learn from the directory of the restart of an endpoint
                                   after up to this time; 0 for at once */
  int endpoint_faults_after_ms; /* faults of endpoints and data centres begin this long after those
                                   of hosts; less than 1,000 */
  bool crashed_refuse;          /* crashed endpoints refuse connections */
  int capacity_changes;         /* per endpoint: its number of slots changes, and its report shows
                                   that within SIM_REPORT_DELAY_MS */
  bool unguarded_endpoints;     /* endpoints start what they have no slot for */
  int endpoint_cuts;            /* per endpoint: no host can reach it */
  int64_t endpoint_cut_max_ms;  /* longest such cut; 0 for the default */
  int slow_links;               /* per host: its messages to other hosts are delayed, more and more,
                                   and arrive even if it crashes meanwhile */
  bool cuts_delay_messages;     /* a cut delays messages until it ends; otherwise they are lost */
  bool uneven_hosts;            /* hosts have very different processing power */
  bool one_hub_per_data_centre; /* other hosts send heartbeats less often */
  bool partial_discovery;       /* a host knows only half of the endpoints for some time after
                                   its start */
  int terminations;             /* per host: it is stopped gracefully */
  int clock_steps;              /* per host: its wall clock jumps */
  int clock_step_max_ms;        /* limit of such a jump, in both directions; 0 for 5 s */
  int jobs_near_data;           /* per job: its data are in one data centre */
  bool mixed_jobs;              /* jobs of three queues with priorities, of very different sizes,
                                   with bursts */
  int deadly_jobs;              /* per job: one of its tasks crashes each endpoint that starts it */
  int64_t caller_wait_ms;       /* how long callers wait; 0 for the default */
  bool long_waits;              /* callers wait longer for longer jobs; the time within which a
                                   job must start is the same as without */
  int64_t task_work_ms;         /* of each task of jobs that are not mixed; 0: drawn for each job */
  int64_t offer_interval_ms;    /* of an owner to each host; 0 for the default */
  link_options_t links;
} simulation_options_t;

/* Counts of the jobs of the mixed queue "draft" in one class of sizes. */
typedef struct
{
  int32_t jobs;
  int32_t complete;
  int32_t feasible;           /* an idle fast endpoint completes each task in time */
  int32_t complete_by_oracle; /* the oracle completes the job in time */
} size_class_counts_t;

/* When a job was submitted first.  Other jobs are of no phase. */
typedef enum
{
  PHASE_BEFORE, /* its caller waits no longer than until links become narrow */
  PHASE_NARROW, /* while links were narrow */
  PHASE_AFTER,  /* SIM_RECOVERY_MS after that or later */
  PHASES
} link_phase_t;

#define SIM_RECOVERY_MS 2000

typedef struct
{
  int32_t jobs;
  int32_t in_time; /* answered as complete while the caller waited for the first submission */
} phase_counts_t;

/* Counts that show the state of the links. */
typedef struct
{
  phase_counts_t phases[PHASES];
  int32_t orders;            /* to endpoints: starts, stops and polls */
  int32_t unanswered_orders; /* without an answer by the deadline of the call */
  int32_t lost_hosts;        /* times that a host has lost another one */
  int32_t moved_batches;     /* sent to an owner although another one may have started them */
  int64_t sent_bytes;        /* by the host that has sent and received most */
  int64_t received_bytes;    /* by that host */
  int64_t max_wait_ms;       /* longest time that something waited for a link */
} link_counts_t;

#define SIZE_CLASSES 3 /* the largest tenth of the jobs, the next fifth, the others */

typedef struct
{
  int64_t steps; /* events handled */
  int32_t jobs;
  int32_t complete;
  int32_t failed;
  int32_t refused;
  int32_t given_up;
  int32_t concurrent_runs; /* starts of a task while it was running on another endpoint */
  int32_t repeated_starts; /* starts of a task whose end, done, was acknowledged since its job was
                              submitted last; late orders don't count */
  int32_t overfull_starts; /* orders to start on an endpoint that had no free slot */
  int32_t refused_starts;  /* starts refused for lack of a slot */
  int32_t false_answers;   /* "refused" for a job that has run or runs later, or "complete" before
                              all tasks were done */
  int32_t false_failures;  /* "failed" before any task had failed on all of its attempts, or two
                              endpoints had crashed under a task */
  int32_t deadly_starts;   /* third and later starts of a task after three endpoints have crashed
                              under it */
  int32_t innocent;        /* jobs without a task that crashes endpoints */
  int32_t innocent_complete;
  int32_t unanswered; /* jobs without an answer 1 s after their deadline */
  size_class_counts_t size_classes[SIZE_CLASSES];
  int32_t refused_drained;      /* jobs refused because all data centres are drained */
  int32_t false_drain_refusals; /* of these, jobs for which the host did not know all data centres
                                   to be drained */
  int32_t starts_while_drained; /* orders to start a task in a data centre that has been drained
                                   for at least 1 s */
  int32_t reused_attempts;      /* starts with an attempt number that the endpoint had seen */
  link_counts_t links;
} simulation_result_t;

/* Runs one simulation of OPTIONS->length_ms and returns its counts.  Prints a line for each
 * concurrent run, false answer and unanswered job.  Equal options give equal results. */
simulation_result_t simulation_run (const simulation_options_t *options);

#endif
