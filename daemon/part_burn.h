/* part_burn.h -- service-level counters of this host and what peers reported
 *
 * Each host counts its own answers in buckets of a minute and sends its totals
 * to its peers every BURN_SEND_EVERY_MS, so that the counters of a host that
 * was replaced are still known.  Control thread only.
 */
#ifndef DAEMON_PART_BURN_H
#define DAEMON_PART_BURN_H

#include "daemon/part.h"

/* CONFIG is the configuration part, which has each plan's objective. */
part_t *part_burn_new (daemon_t *daemon, part_t *config);

/* Counts an answer: TASKS tasks of KIND for PLAN, answered after ELAPSED_MS.
 * ERROR is 0 for a complete job, else the error kind of the answer.  NOW_MS is
 * on the boot clock. */
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
