/* callers.h -- the callers of a deployment's day: its mix of jobs, at its rate
 *
 * Each caller is a thread with a data centre of its own.  Its connections go to one host there, by
 * a hash, or to the next one that is in rotation; where the data centre has none, to any that is. A
 * job without a whole answer, because of a broken connection, a 502, a 504 or the caller's own
 * time-out, is sent again RESEND_MS later, to any other host.  With AGAIN_MAX_MS it is sent again
 * sooner, in the caller's data centre.  All that is sent and answered is in the rig's book.
 */
#ifndef DEPLOYMENT_CALLERS_H
#define DEPLOYMENT_CALLERS_H

#include "tests/soak/rig.h"

#define CALLERS_HOSTS_MAX 64
/* From the end of one request to the next one for the same job. */
#define RESEND_MS 1300

typedef struct deployment_callers_t deployment_callers_t;

typedef struct
{
  uint32_t seed;
  int32_t count;
  double jobs_per_s;      /* of all together, while hosts answer in time */
  int32_t long_percent;   /* of the jobs: the kind that takes longest */
  int32_t silent_percent; /* of those who leave early, unseen by their host */
  int32_t again_max_ms;   /* a job is sent again after 0 to so many; negative: after RESEND_MS */
} deployment_callers_options_t;

/* What became of requests; any thread may read them. */
typedef struct
{
  int32_t jobs;
  int32_t first_requests_unserved; /* 502, 504, broken or timed out */
  int32_t sent_again;
  int32_t left;      /* the caller closed its connection early */
  int32_t timed_out; /* the caller's own time-out */
  int32_t broken;
  int32_t status_504;
  int32_t refused;
  int32_t served;
  int32_t never_served; /* jobs whose last request went unserved as well */
} deployment_callers_totals_t;

deployment_callers_t *deployment_callers_start (rig_t *rig,
                                                const deployment_callers_options_t *options);

/* Whether new connections go to HOST. */
void deployment_callers_set_ready (deployment_callers_t *callers, int32_t host, bool ready);

/* From now on PERCENT of the jobs are left early, and sent again. */
void deployment_callers_set_leaving (deployment_callers_t *callers, int32_t percent);

/* Ends all threads, frees, and returns what there was. */
deployment_callers_totals_t deployment_callers_stop (deployment_callers_t *callers);

#endif
