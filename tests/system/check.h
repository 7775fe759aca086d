/* check.h -- what must hold after every case, whatever faults it had
 *
 * The truth about starts comes from the endpoints' journals, which outlive a
 * killed endpoint.
 */
#ifndef TESTS_SYSTEM_CHECK_H
#define TESTS_SYSTEM_CHECK_H

#include "tests/system/rig.h"

/* Number of starts of KEY (NULL for all keys) so far. */
int32_t check_count_starts (rig_t *rig, const char *key);

/* The plan with which the first start of KEY reached an endpoint (g_free), or
 * NULL. */
char *check_plan_of (rig_t *rig, const char *key);

/* Waits for all answers and for all tasks at endpoints, then checks:
 * - no task of a key started twice, unless the job is repeatable;
 * - each whole answer equals the expected one byte by byte, and each of its
 *   tasks has started;
 * - each other answer has a kind of the closed list, its status, a state, a
 *   run and a message;
 * - an answer that says "not_run" is true: no task had started before its
 *   request was sent, and another request accounts for each later start;
 * - no request broke, unless its host was killed. */
void check_all (rig_t *rig);

/* Most tasks of PLAN that ran at once, over all live endpoints. */
int32_t check_max_running (rig_t *rig, const char *plan);

/* Most starts of PLAN in any period of one second. */
int32_t check_max_starts_per_s (rig_t *rig, const char *plan);

#endif
