/* resent_job.h -- what tests of jobs that are sent again share: requests, and hosts that are no
 * hubs
 *
 * Real processes of the soak's rig.  Not thread-safe.
 */
#ifndef TESTS_RESENT_JOB_H
#define TESTS_RESENT_JOB_H

#include "cluster/ranking.h"
#include "tests/soak/rig.h"

#include <stdbool.h>
#include <stdint.h>

/* Most data centres of a rig in these tests. */
#define RESENT_ZONES_MAX 3

/* A job as these tests send it. */
typedef struct
{
  uint64_t id;
  int32_t tasks;
  int32_t work_ms; /* of each task; its caller expects as much */
  int64_t caller_wait_ms;
} resent_job_t;

/* Sends JOB to HOST on a new connection and records that.  Returns the connection, which the caller
 * closes. */
int resent_job_send (rig_t *rig, int host, const resent_job_t *job);

/* The same for a caller who expects each task to take EXPECTED_MS. */
int resent_job_send_expecting (rig_t *rig, int host, const resent_job_t *job, int32_t expected_ms);

/* As resent_job_send () on FD, a connection to HOST. */
void resent_job_send_on (rig_t *rig, int host, const resent_job_t *job, int fd);

/* Records that HOST has answered JOB with STATUS and BODY. */
void
resent_job_answered (rig_t *rig, int host, const resent_job_t *job, int status, const char *body);

/* Records that the caller of JOB has lost its channel to HOST, as it does before it sends it again.
 */
void resent_job_broken (rig_t *rig, int host, const resent_job_t *job);

/* Returns RIG's hosts, all alive, as the hosts themselves rank them.  The caller frees it. */
ranking_t *resent_job_rank_hosts (const rig_t *rig);

/* Sets HOSTS_OF to one host of each of RIG's data centres that is no hub, the first or the last of
 * them; -1 where all are hubs. */
void resent_job_find_non_hubs (const rig_t *rig, bool last, int hosts_of[RESENT_ZONES_MAX]);

#endif
