/* test_site_resent_past_a_cut.c -- a job that is sent again to another data centre, while that of
 * its first host is cut off, must run once at a time, on real processes */
#include "tests/resent_cut.h"

#include <glib.h>

static const resent_cut_case_t cases[] = {
  { "a data centre is cut off", CUT_ALL, 6, 1, 0, 4000, .cut_after_ms = RESENT_ANNOUNCED_MS },
  { "a data centre is cut off, but not from its callers", CUT_NOT_CALLERS, 6, 1, 0, 4000,
    .cut_after_ms = RESENT_ANNOUNCED_MS },
  { "only hosts are cut off", CUT_HOSTS, 6, 1, 0, 4000, .cut_after_ms = RESENT_ANNOUNCED_MS },
  { "only hosts are cut off, many of them", CUT_HOSTS, 18, 1, 0, 5000,
    .cut_after_ms = RESENT_ANNOUNCED_MS },
  { "the first host is killed", HOST_KILLED, 6, 1, 0, 4000, .cut_after_ms = RESENT_ANNOUNCED_MS },
  { "what the hosts of a data centre send is lost", CUT_HOSTS_SENT, 6, 1, 0, 4000,
    .cut_after_ms = RESENT_ANNOUNCED_MS },
  { "cut off, heard for a moment, cut off again", CUT_NOT_CALLERS_TWICE, 6, 1, 0, 6000,
    .cut_after_ms = RESENT_ANNOUNCED_MS },
  { "cut off, and the owner in the data centre is killed", CUT_ALL_OWNER_KILLED, 6, 1, 0, 6000,
    .cut_after_ms = RESENT_ANNOUNCED_MS },
};

int
main (int argc, char **argv)
{
  return resent_cut_main ("site_resent_past_a_cut",
                          "sent again while the data centre of its first host is cut off", cases,
                          G_N_ELEMENTS (cases), argc, argv);
}
