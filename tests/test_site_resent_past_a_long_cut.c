/* test_site_resent_past_a_long_cut.c -- a job that is received when a cut lasts for longer than
 * hosts remember lost ones, and that is sent again beyond it, must run once at a time, on real
 * processes */
#include "tests/resent_cut.h"

#include <glib.h>

static const resent_cut_case_t cases[] = {
  { "for longer than 20 s", CUT_NOT_CALLERS, 6, 1, 0, 4000, .known_cut_ms = 22000,
    .may_be_unserved = true },
};

int
main (int argc, char **argv)
{
  return resent_cut_main ("site_resent_past_a_long_cut", "sent again past a cut that lasts", cases,
                          G_N_ELEMENTS (cases), argc, argv);
}
