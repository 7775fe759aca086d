/* leases.h -- how long the runs on an endpoint may live; private to lib/executor
 *
 * All runs on an endpoint live under one lease, which each order may renew.  It is granted as a
 * time on the endpoint's clock, which may be slow, and reckoned here on the boot clock: once the
 * lease has ended by this host's reckoning, no run is alive there.  No lease outlasts the time at
 * which the caller of a run under it may submit its job again because the coordinator was lost, or
 * has ended the job.
 *
 * Durations and times are milliseconds.  Not thread-safe.
 */
#ifndef EXECUTOR_LEASES_H
#define EXECUTOR_LEASES_H

#include "executor/state.h"

/* True if ENDPOINT has a foreign run, or a run whose stop is overdue, so that its lease must not be
 * renewed. */
bool blocks_lease_renewal (const endpoint_t *endpoint, int64_t now_ms);

/* How far the clock of ENDPOINT may have fallen behind since it was read. */
int64_t clock_drift_ms (const endpoint_t *endpoint, int64_t now_ms);

/* Forgets the clock of ENDPOINT if it was read too long ago to grant leases by it. */
void forget_old_clock (const executor_t *executor, endpoint_t *endpoint, int64_t now_ms);

/* No lease under which TASK runs lasts beyond UNTIL_MS, now that it has left its batch. */
void limit_lease (task_t *task, int64_t until_ms);

/* Length of the next lease of ENDPOINT; 0 if there must be none. */
int64_t next_lease_ms (const executor_t *executor, const endpoint_t *endpoint, int64_t now_ms);

/* Time after which the run of TASK is not alive. */
int64_t run_end_ms (const executor_t *executor, const task_t *task);

/* Records that the next order renews the lease of ENDPOINT.  Returns the end of the lease on the
 * endpoint's clock. */
int64_t extend_lease (const executor_t *executor, endpoint_t *endpoint, int64_t now_ms);

#endif
