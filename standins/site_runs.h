/* site_runs.h -- the runs of a stand-in endpoint: leases, stops, ends, crashes
 *
 * Time passes in site_runs_step (), which ends what is due; it is called before each order and on
 * each tick, so that an endpoint that was paused ends its runs as of the time when their lease
 * ended.
 *
 * Runs on the loop's thread.  Private to the stand-in endpoint.
 */
#ifndef STANDINS_SITE_RUNS_H
#define STANDINS_SITE_RUNS_H

#include "standins/site_endpoint_state.h"

void site_runs_init (site_endpoint_t *endpoint);

/* Ends what has ended by NOW_MS.  An endpoint that has crashed starts again when it is time. */
void site_runs_step (site_endpoint_t *endpoint, int64_t now_ms);

/* Loses what a process loses when it crashes, and is down for DOWN_MS. */
void site_runs_crash (site_endpoint_t *endpoint, int64_t down_ms, int64_t now_ms);

/* Returns the run of TASK, or NULL. */
run_t *site_runs_find (const site_endpoint_t *endpoint, const char *task);

/* Returns the highest attempt of TASK that was stopped or has ended; 0 if none was. */
int32_t site_runs_highest_seen (const site_endpoint_t *endpoint, const char *task);

/* Starts TASK, whatever runs already. */
void site_runs_start (site_endpoint_t *endpoint,
                      const char *task,
                      const char *spec,
                      int32_t attempt,
                      int64_t now_ms);

/* Stops the attempts of TASK up to ATTEMPT, also those that have not started yet. */
void site_runs_stop (site_endpoint_t *endpoint, const char *task, int32_t attempt, int64_t now_ms);

/* Extends the lease of all runs to UNTIL_MS on the endpoint's clock, but not beyond its longest. */
void site_runs_extend_lease (site_endpoint_t *endpoint, int64_t until_ms, int64_t now_ms);

/* Forgets the ends up to NUMBER. */
void site_runs_acknowledge (site_endpoint_t *endpoint, int64_t number);

/* The tasks that it runs at once, and those that an owner has to know of: room that was lost counts
 * for a while, because the owner has to learn of it first. */
int32_t site_runs_room (const site_endpoint_t *endpoint);
int32_t site_runs_counted_room (const site_endpoint_t *endpoint, int64_t now_ms);

/* The room has changed; COUNTED was counted before. */
void site_runs_room_changed (site_endpoint_t *endpoint, int32_t counted, int64_t now_ms);

#endif
