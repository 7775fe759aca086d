/* caller.h -- callers with open connections, and a prober of configurations
 *
 * Each caller is a thread that sends one job after the other over a connection that it keeps until
 * the other side ends it; a job without an answer is sent again to another host.
 */
#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include "tests/soak/rig.h"

#define CALLER_HOSTS_MAX 128

typedef struct callers_t callers_t;

/* BROKEN_PERCENT of the jobs lose their connection on the caller's side, which their host sees late
 * or never, and are sent again. */
callers_t *callers_start (rig_t *rig, uint32_t seed, int32_t count, int32_t broken_percent);

/* Whether new connections go to HOST. */
void callers_set_ready (callers_t *callers, int32_t host, bool ready);

/* Ends all threads and frees. */
void callers_stop (callers_t *callers);

/* Sends one small job to HOST.  Returns true if it was completed. */
bool caller_is_served (rig_t *rig, int32_t host, uint64_t job);

#endif
