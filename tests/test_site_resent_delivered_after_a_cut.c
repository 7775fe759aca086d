/* test_site_resent_delivered_after_a_cut.c -- a job whose first request is delivered seconds after
 * the end of a cut, when it was sent again, must run once at a time, on real processes */
#include "tests/resent_cut.h"

#include <glib.h>

static const resent_cut_case_t cases[] = {
  { "2.5 s after the end", CUT_NOT_CALLERS, 6, 1, 0, 900, .cut_ends_ms = 700,
    .callers_held_ms = 2500 },
  { "2.5 s after the end, many hosts", CUT_NOT_CALLERS, 18, 1, 0, 900, .cut_ends_ms = 700,
    .callers_held_ms = 2500 },
};

int
main (int argc, char **argv)
{
  return resent_cut_main ("site_resent_delivered_after_a_cut",
                          "sent again before a cut's first request is delivered", cases,
                          G_N_ELEMENTS (cases), argc, argv);
}
