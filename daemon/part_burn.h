/* part_burn.h -- service-level counters of this host, and copies of those of peers
 *
 * Each host counts its own answers in buckets of one minute.  It regularly sends
 * the counters to a few peers, so that they survive when the host is replaced.
 * Control thread only.
 */
#ifndef DAEMON_PART_BURN_H
#define DAEMON_PART_BURN_H

#include "daemon/part.h"

/* CONFIG is the configuration part, which has the objectives of the plans. */
part_t *part_burn_new (daemon_t *daemon, part_t *config);

/* Counts an answer after ELAPSED_MS to a job with TASKS tasks of KIND for PLAN.
 * ERROR is 0 if the job completed, else the error code of the answer.  Does nothing
 * if PLAN or KIND is NULL or TASKS is not positive.  NOW_MS is not used. */
void part_burn_record (part_t *part,
                       const char *plan,
                       const char *kind,
                       int error,
                       int64_t elapsed_ms,
                       int32_t tasks,
                       int64_t now_ms);

/* Adds the body of GET /v1/burn to OUT. */
void part_burn_report (part_t *part, json_object *out);

#endif
