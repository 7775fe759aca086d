/* day.h -- the faults of a deployment's day as a pure function of its seed
 *
 * A day is a table of faults; which of them, when and where is drawn.  The default one mixes what a
 * site with three data centres reports: a data centre that is cut off for 5 to 6 s, silently or
 * with resets, the log that is down, hosts that are killed, stopped in turn or stand still,
 * endpoints that crash, are late or can't be reached, callers who leave early, and an end at which
 * all hosts are killed at once.  The others have one kind of trouble each.
 */
#ifndef DEPLOYMENT_DAY_H
#define DEPLOYMENT_DAY_H

#include "tests/soak/plan.h"

#define DAY_DEFAULT "mixed"

bool day_exists (const char *name);

/* All names, joined by commas; the caller frees them. */
char *day_names (void);

/* Faults (plan_fault_t) of the day NAME, which has to exist, for SEED, in the order of their begin;
 * the caller frees the array. */
GArray *day_new (const char *name, uint32_t seed, const plan_options_t *options);

#endif
