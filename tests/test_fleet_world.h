/* test_fleet_world.h -- hosts with the coordinator, owner and crew code, endpoints and callers in
 * simulated time
 *
 * Everything random follows from one seed.  Hosts exchange the messages of the real daemon as
 * closures with a delay; endpoints obey tokens and leases on clocks of their own; orders may
 * lose their answer or be carried out seconds later.  The world checks, at each start and each
 * answer, what must always hold, and counts what it saw broken.
 */
#ifndef TESTS_TEST_FLEET_WORLD_H
#define TESTS_TEST_FLEET_WORLD_H

#include "cluster/cluster.h"
#include "executor/executor.h"
#include "scheduler/scheduler.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define WORLD_ZONES 3
#define WORLD_HOSTS 6
#define WORLD_ENDPOINTS 12
#define WORLD_ROOM 3 /* tasks that fit on an endpoint */
#define WORLD_LEASE_MS 1000
#define WORLD_STOP_MS 50
#define WORLD_RESEND_MS 1300
#define WORLD_REMOTE_FACTOR 2.0

/* Which faults happen, in thousandths of the things that may meet them. */
typedef struct
{
  uint32_t seed;
  int64_t length_ms;
  int64_t every_ms;     /* a job comes this often; 0 for as often as usual */
  int lost;             /* orders that are carried out, and whose answer is lost */
  int late;             /* orders that are carried out 2 to 12 s later without an answer */
  int failing;          /* runs that fail */
  int hanging;          /* runs that never end by themselves */
  int leavers;          /* callers that hang up early */
  int crashes;          /* hosts that crash, a second and host */
  int freezes;          /* hosts that stand still, a second and host */
  int zone_cuts;        /* data centres that are cut off, a second */
  int drains;           /* data centres that are drained for a while, a second */
  int host_cuts;        /* hosts that other hosts can't reach, a second and host */
  int one_way_cuts;     /* hosts that send nothing, get nothing or both, but reach endpoints */
  int endpoint_crashes; /* a second and endpoint */
  bool refusing;        /* endpoints that have crashed refuse connections */
  int endpoint_cuts;    /* endpoints that can't be reached, a second and endpoint */
  bool held;            /* what is sent into a cut arrives when it ends, in place of never */
  bool uneven;          /* hosts of very different power */
  bool few_hubs;        /* one hub in each data centre; the others are heard less often */
  bool blind;           /* hosts do not know half of the endpoints for a while after a start */
  int terminations;     /* hosts that are stopped gracefully, a second and host */
  int clock_steps;      /* hosts whose time of day jumps, a second and host */
  int clock_step_ms;    /* by so much at the most, either way; 0 for 5 s */
  int racks;            /* jobs that run faster in one data centre */
  bool mixed;      /* jobs of three queues with priorities, of very different sizes, with bursts */
  bool long_waits; /* callers wait longer for longer jobs; their queues' time is as without it */
} world_options_t;

/* Drafts of mixed jobs. */
typedef struct
{
  int32_t jobs;
  int32_t complete;
  int32_t feasible;  /* a fast endpoint that is free ends each task in time */
  int32_t reachable; /* an oracle with one queue ends the job in time */
} world_size_t;

typedef struct
{
  int64_t steps; /* events handled */
  int32_t jobs;
  int32_t complete;
  int32_t failed;
  int32_t refused;
  int32_t given_up;
  int32_t twice;           /* two runs of a task at one time */
  int32_t crowded;         /* a start beyond an endpoint's room */
  int32_t untrue;          /* "not run" of a job that has run, or complete before all were done */
  int32_t false_failed;    /* "failed" before a task had failed as often as is allowed */
  int32_t unanswered;      /* jobs without an answer long after their deadline */
  world_size_t sizes[3];   /* the largest tenth, the fifth below it, the others */
  int32_t drained_out;     /* jobs refused because all data centres are drained */
  int32_t falsely_drained; /* of them, where the host did not know all to be drained */
  int32_t drained_starts;  /* orders to start in a data centre that has been drained for 1 s */
  int32_t reused;          /* starts with an attempt number that the endpoint had seen */
} world_result_t;

world_result_t world_run (const world_options_t *options);

#endif
