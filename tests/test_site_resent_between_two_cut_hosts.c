/* test_site_resent_between_two_cut_hosts.c -- a job whose first host is cut from the second one
 * alone, while both reach all others, must run once at a time, on real processes */
#include "tests/resent_cut.h"

#include <glib.h>

#define KNOWN_MS 1500

static const resent_cut_case_t cases[] = {
  { "in two data centres", CUT_BOTH_HOSTS, 6, 1, 0, 4000, .known_cut_ms = KNOWN_MS,
    .may_be_unserved = true },
  { "in one data centre", CUT_BOTH_HOSTS, 6, 1, 4, 4000, .known_cut_ms = KNOWN_MS,
    .may_be_unserved = true },
  { "in two data centres, as the job comes", CUT_BOTH_HOSTS, 6, 1, 0, 4000, .cut_after_ms = 100,
    .broken_at_once = true, .may_be_unserved = true },
  { "in one data centre, as the job comes", CUT_BOTH_HOSTS, 6, 1, 4, 4000, .cut_after_ms = 100,
    .broken_at_once = true, .may_be_unserved = true },
  { "in larger data centres", CUT_BOTH_HOSTS, 18, 1, 0, 4000, .known_cut_ms = KNOWN_MS,
    .may_be_unserved = true },
  { "hosts that are no hubs", CUT_BOTH_HOSTS, 18, 1, 0, 4000, .known_cut_ms = KNOWN_MS,
    .first_is_no_hub = true, .second_is_no_hub = true, .may_be_unserved = true },
};

int
main (int argc, char **argv)
{
  return resent_cut_main ("site_resent_between_two_cut_hosts",
                          "sent again to the one host that the first one does not reach", cases,
                          G_N_ELEMENTS (cases), argc, argv);
}
