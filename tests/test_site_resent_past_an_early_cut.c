/* test_site_resent_past_an_early_cut.c -- a job whose first host is cut off before it could
 * announce the job, and that is sent again to another data centre, must run once at a time, on real
 * processes */
#include "tests/resent_cut.h"

#include <glib.h>

static const resent_cut_case_t cases[] = {
  { "a data centre is cut off", CUT_ALL, 6, 1, 0, 4000, .cut_after_ms = 100,
    .may_be_unserved = true },
  { "a data centre is cut off later", CUT_ALL, 6, 1, 0, 4000, .cut_after_ms = 350,
    .may_be_unserved = true },
  { "but not from its callers", CUT_NOT_CALLERS, 6, 1, 0, 4000, .cut_after_ms = 100,
    .may_be_unserved = true },
  { "only hosts are cut off", CUT_HOSTS, 6, 1, 0, 4000, .cut_after_ms = 100,
    .may_be_unserved = true },
  { "only hosts are cut off, many of them", CUT_HOSTS, 18, 1, 0, 5000, .cut_after_ms = 100,
    .may_be_unserved = true },
  { "what the hosts of a data centre send is lost", CUT_HOSTS_SENT, 6, 1, 0, 4000,
    .cut_after_ms = 100, .may_be_unserved = true },
  { "half of a data centre is cut off", CUT_HALF, 12, 1, 0, 1800, .cut_after_ms = 100 },
  { "the first host is no hub", CUT_ALL, 18, 1, 0, 5000, .cut_after_ms = 100,
    .first_is_no_hub = true, .may_be_unserved = true },
  { "the first host is no hub, only hosts are cut off", CUT_HOSTS, 18, 1, 0, 5000,
    .cut_after_ms = 100, .first_is_no_hub = true, .may_be_unserved = true },
  { "the second host is cut off", CUT_SECOND, 6, 0, 1, 4000, .cut_after_ms = 100,
    .may_be_unserved = true },
  { "the first host is cut off", CUT_FIRST_HOST, 6, 1, 0, 4000, .cut_after_ms = 100 },
};

int
main (int argc, char **argv)
{
  return resent_cut_main ("site_resent_past_an_early_cut",
                          "sent again after a cut that began before the job was announced", cases,
                          G_N_ELEMENTS (cases), argc, argv);
}
