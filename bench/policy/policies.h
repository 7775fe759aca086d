/* policies.h -- the policies that the bench compares */
#ifndef BENCH_POLICY_POLICIES_H
#define BENCH_POLICY_POLICIES_H

#include "bench/policy/sim.h"

/* Knows true times and faults, has all slots: each task goes where it ends
 * first; a job that would be late is refused. */
policy_t *policy_oracle (const world_t *world);

typedef enum
{
  NAIVE_RANDOM,
  NAIVE_ROUND_ROBIN,
  NAIVE_LEAST_IN_FLIGHT
} naive_kind_t;

/* One queue in the order of arrival; endpoints with a free slot by KIND. */
policy_t *policy_naive (const world_t *world, naive_kind_t kind);

/* How several entry hosts come by slots. */
typedef enum
{
  HOSTS_ONE,    /* all jobs are forwarded to one host */
  HOSTS_LOCAL,  /* a fixed part each */
  HOSTS_SHARES, /* parts by reported demand */
  HOSTS_ASK,    /* and one request to the allotting host per job that waits */
  HOSTS_PEERS   /* parts by demand, and a request to two peers per job that waits */
} hosts_mode_t;

/* The decision code of jaytrail on HOSTS entry hosts. */
policy_t *policy_jaytrail (const world_t *world,
                           const dispatch_options_t *options,
                           int32_t hosts,
                           hosts_mode_t mode);

#endif
