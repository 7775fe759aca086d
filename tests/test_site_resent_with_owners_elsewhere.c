/* test_site_resent_with_owners_elsewhere.c -- a job whose tasks run for an owner in another data
 * centre, whose channel breaks at once, and whose first host is then cut off from that owner, must
 * run once at a time, on real processes */
#include "tests/resent_cut.h"

#include <glib.h>

static const resent_cut_case_t cases[] = {
  { "cut as it is announced", CUT_NOT_CALLERS, 6, 1, 0, 4000, .cut_after_ms = 480,
    .broken_at_once = true, .first_zone_busy = true, .may_be_unserved = true },
  { "cut a little later", CUT_NOT_CALLERS, 6, 1, 0, 4000, .cut_after_ms = 540,
    .broken_at_once = true, .first_zone_busy = true, .may_be_unserved = true },
  { "cut after it was announced", CUT_NOT_CALLERS, 6, 1, 0, 4000, .cut_after_ms = 620,
    .broken_at_once = true, .first_zone_busy = true, .may_be_unserved = true },
  { "the cut spreads link by link", CUT_LINK_BY_LINK, 18, 1, 0, 4000, .cut_after_ms = 100,
    .broken_at_once = true, .first_zone_busy = true, .may_be_unserved = true },
};

int
main (int argc, char **argv)
{
  return resent_cut_main ("site_resent_with_owners_elsewhere",
                          "sent again while an owner beyond the cut runs it", cases,
                          G_N_ELEMENTS (cases), argc, argv);
}
