/* throttle.h -- keeps the hosts of a rig to their shares of a processor
 *
 * A thread reads the processor time of each host; one that has used its share of a period is
 * suspended until the period ends, as a quota of the kernel does it.  A host that a fault has
 * paused is left alone.
 */
#ifndef DEPLOYMENT_THROTTLE_H
#define DEPLOYMENT_THROTTLE_H

#include "tests/soak/rig.h"

typedef struct throttle_t throttle_t;

/* RIG has a cpu_share (). */
throttle_t *throttle_start (rig_t *rig);

/* Lets all hosts run, and returns how often one was suspended. */
int32_t throttle_stop (throttle_t *throttle);

#endif
