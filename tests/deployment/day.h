/* day.h -- the faults of a deployment's day as a pure function of its seed
 *
 * A day has what a site with three data centres reports: a data centre that is cut off for 5 to 6
 * s, silently or with resets, the log that is down, hosts that are killed, stopped in turn or stand
 * still, endpoints that crash, are late or can't be reached, callers who leave early, and an end at
 * which all hosts are killed at once.  Which of them, when and where is drawn.
 */
#ifndef DEPLOYMENT_DAY_H
#define DEPLOYMENT_DAY_H

#include "tests/soak/plan.h"

/* Faults (plan_fault_t) of SEED in the order of their begin; the caller frees the array. */
GArray *day_new (uint32_t seed, const plan_options_t *options);

#endif
