/* test_site_resent_past_an_owner.c -- a job that is sent again must run once at a time also where
 * its first host claims the shard, and the owner that others hear can't know of its runs */
#include "tests/resent_cut.h"

#include <glib.h>

static const resent_cut_case_t cases[] = {
  { "the first host is cut off alone", CUT_FIRST_HOST, 6, 1, 0, 4000,
    .cut_after_ms = RESENT_ANNOUNCED_MS },
  { "what the first host, the owner, sends is lost", CUT_FIRST_HOST_SENT, 6, 4, 0, 4000,
    .cut_after_ms = RESENT_ANNOUNCED_MS },
  { "half of a data centre is cut off", CUT_HALF, 12, 1, 7, 4000,
    .cut_after_ms = RESENT_ANNOUNCED_MS },
};

int
main (int argc, char **argv)
{
  return resent_cut_main ("site_resent_past_an_owner",
                          "sent again while its first host owns the shard unheard", cases,
                          G_N_ELEMENTS (cases), argc, argv);
}
