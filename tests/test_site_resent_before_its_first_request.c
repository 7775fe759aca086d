/* test_site_resent_before_its_first_request.c -- a job whose first request is held up by a cut, and
 * that is sent again meanwhile, must run once at a time, on real processes */
#include "tests/resent_cut.h"

#include <glib.h>

static const resent_cut_case_t cases[] = {
  { "held up until the cut ends", CUT_ALL, 6, 1, 0, 7000, .cut_after_ms = 0, .first_is_held = true,
    .may_be_unserved = true },
  { "held up until the cut ends, many hosts", CUT_ALL, 18, 1, 0, 7000, .cut_after_ms = 0,
    .first_is_held = true, .may_be_unserved = true },
  { "held up until the second one runs", CUT_ALL, 6, 1, 0, 900, .first_is_held = true,
    .cut_ends_ms = 300 },
  { "held up until the second one runs, many hosts", CUT_ALL, 18, 1, 0, 900, .first_is_held = true,
    .cut_ends_ms = 300 },
};

int
main (int argc, char **argv)
{
  return resent_cut_main ("site_resent_before_its_first_request",
                          "sent again while a cut holds up the first request", cases,
                          G_N_ELEMENTS (cases), argc, argv);
}
