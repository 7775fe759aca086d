/* resent_non_hubs.h -- plays jobs that are sent again from hosts that are no hubs to other such
 * hosts
 *
 * Real processes of the soak's rig: 18 hosts in three data centres, more in each than it has hubs.
 * A job goes to a host of each data centre, and 1,900 ms later again to one of the next data
 * centre. Not thread-safe.
 */
#ifndef TESTS_RESENT_NON_HUBS_H
#define TESTS_RESENT_NON_HUBS_H

#include "tests/resent_job.h"
#include "tests/unit_runner.h"

/* From a job's first request to its second one. */
#define RESENT_NON_HUBS_AGAIN_MS 1900

typedef struct
{
  int32_t work_ms; /* of each task */
  int64_t caller_wait_ms;
  /* What happens between the two requests, to the second host of each data centre; NULL for
   * nothing. Returns when it has happened, before the second requests are due. */
  void (*between) (rig_t *rig, const int second_hosts[RESENT_ZONES_MAX]);
} resent_non_hubs_t;

/* Plays SCENARIO, and asserts that all second requests are answered 200 and that no promise of
 * book.h is broken.  Prints the hosts and what they have answered. */
void resent_non_hubs_play (const resent_non_hubs_t *scenario);

/* The main () of a test program SUITE: runs COUNT tests with the programs in the directory above
 * that of ARGV[0].  Returns the exit status. */
int resent_non_hubs_main (const char *suite,
                          const unit_test_t *tests,
                          size_t count,
                          int argc,
                          char **argv);

#endif
