/* test_site_resent_to_a_host_cut_off_alone.c -- a job that is sent again to a host that is cut off
 * from all others, while its data centre knows the job, must run once at a time, on real processes
 */
#include "tests/resent_cut.h"

#include <glib.h>

#define KNOWN_MS 1500

static const resent_cut_case_t cases[] = {
  { "in another data centre", CUT_SECOND_HOST, 6, 0, 1, 2500, .known_cut_ms = KNOWN_MS,
    .may_be_unserved = true },
  { "in the same data centre", CUT_SECOND_HOST, 6, 4, 1, 2500, .known_cut_ms = KNOWN_MS,
    .may_be_unserved = true },
  { "with short tasks of its own", CUT_SECOND_HOST, 6, 0, 1, 1700, .known_cut_ms = KNOWN_MS,
    .may_be_unserved = true },
};

int
main (int argc, char **argv)
{
  return resent_cut_main ("site_resent_to_a_host_cut_off_alone",
                          "sent again to a host that is cut off from all others", cases,
                          G_N_ELEMENTS (cases), argc, argv);
}
