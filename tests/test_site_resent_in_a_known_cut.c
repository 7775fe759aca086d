/* test_site_resent_in_a_known_cut.c -- a job that its first host receives when a cut is known
 * already, and that is sent again to the other side, must run once at a time, on real processes */
#include "tests/resent_cut.h"

#include <glib.h>

/* By then each host counts what is cut off as out of reach. */
#define KNOWN_MS 1500

static const resent_cut_case_t cases[] = {
  { "from the side that is cut off", CUT_NOT_CALLERS, 6, 1, 0, 4000, .known_cut_ms = KNOWN_MS,
    .may_be_unserved = true },
  { "between hosts that are no hubs", CUT_NOT_CALLERS, 18, 1, 0, 4000, .known_cut_ms = KNOWN_MS,
    .first_is_no_hub = true, .second_is_no_hub = true, .may_be_unserved = true },
  { "as the cut becomes known", CUT_NOT_CALLERS, 6, 1, 0, 4000, .known_cut_ms = 900,
    .may_be_unserved = true },
  { "to the side that is cut off", CUT_SECOND, 6, 0, 1, 4000, .known_cut_ms = KNOWN_MS,
    .may_be_unserved = true },
  { "callers are cut off later", CUT_NOT_CALLERS, 6, 1, 0, 4000, .known_cut_ms = KNOWN_MS,
    .callers_cut_ms = 200, .may_be_unserved = true },
  { "only hosts are cut off", CUT_HOSTS, 6, 1, 0, 4000, .known_cut_ms = KNOWN_MS,
    .may_be_unserved = true },
  { "the cut ends while both may run", CUT_NOT_CALLERS, 6, 1, 0, 4000, .known_cut_ms = KNOWN_MS,
    .cut_ends_ms = 700, .may_be_unserved = true },
  { "only the first host is cut off", CUT_FIRST_HOST, 6, 1, 0, 4000, .known_cut_ms = KNOWN_MS,
    .may_be_unserved = true },
  { "what the hosts of a data centre send is lost", CUT_HOSTS_SENT, 6, 1, 0, 4000,
    .known_cut_ms = KNOWN_MS, .may_be_unserved = true },
  { "all data centres are cut from each other", CUT_EACH, 6, 1, 2, 4000, .known_cut_ms = KNOWN_MS,
    .may_be_unserved = true },
  { "the cut spreads link by link", CUT_LINK_BY_LINK, 18, 1, 0, 4000, .known_cut_ms = 300,
    .may_be_unserved = true },
  { "a third request, to a third data centre", CUT_NOT_CALLERS, 6, 1, 0, 4000,
    .known_cut_ms = KNOWN_MS, .third_request = true, .third_host = 2, .may_be_unserved = true },
  { "short tasks are served", CUT_NOT_CALLERS, 6, 1, 0, 900, .known_cut_ms = KNOWN_MS },
  { "short tasks are served on the side that is cut off", CUT_SECOND, 6, 0, 1, 900,
    .known_cut_ms = KNOWN_MS },
};

int
main (int argc, char **argv)
{
  return resent_cut_main ("site_resent_in_a_known_cut",
                          "received when a cut is known, and sent again to the other side", cases,
                          G_N_ELEMENTS (cases), argc, argv);
}
