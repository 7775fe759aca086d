/* test_site_resent_before_a_cut_is_known.c -- a job whose channel breaks at once, whose first host
 * is then cut off, and that is sent again before that host can know of the cut, must run once at a
 * time, on real processes */
#include "tests/resent_cut.h"

#include <glib.h>

static const resent_cut_case_t cases[] = {
  { "before it was announced", CUT_NOT_CALLERS, 6, 1, 0, 4000, .cut_after_ms = 300,
    .broken_at_once = true, .may_be_unserved = true },
  { "as it is announced", CUT_NOT_CALLERS, 6, 1, 0, 4000, .cut_after_ms = 380,
    .broken_at_once = true, .may_be_unserved = true },
  { "only hosts are cut off", CUT_HOSTS, 6, 1, 0, 4000, .cut_after_ms = 300, .broken_at_once = true,
    .may_be_unserved = true },
  { "what the hosts of a data centre send is lost", CUT_HOSTS_SENT, 6, 1, 0, 4000,
    .cut_after_ms = 300, .broken_at_once = true, .may_be_unserved = true },
  { "the second host is cut off", CUT_SECOND, 6, 0, 1, 4000, .cut_after_ms = 300,
    .broken_at_once = true, .may_be_unserved = true },
  { "hosts that are no hubs", CUT_NOT_CALLERS, 18, 1, 0, 4000, .cut_after_ms = 300,
    .broken_at_once = true, .first_is_no_hub = true, .second_is_no_hub = true,
    .may_be_unserved = true },
};

int
main (int argc, char **argv)
{
  return resent_cut_main ("site_resent_before_a_cut_is_known",
                          "sent again before the first host can know that it is cut off", cases,
                          G_N_ELEMENTS (cases), argc, argv);
}
