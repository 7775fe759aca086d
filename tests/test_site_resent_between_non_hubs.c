/* test_site_resent_between_non_hubs.c -- a job that is sent again from one host that is no hub to
 * another one, of another data centre, must run once at a time, on real processes without faults */
#include "tests/resent_non_hubs.h"

static void
test_non_hubs (void)
{
  const resent_non_hubs_t scenario = { .work_ms = 3500, .caller_wait_ms = 9000 };

  resent_non_hubs_play (&scenario);
}

static const unit_test_t tests[] = {
  { "sent again between hosts that are no hubs", test_non_hubs },
};

int
main (int argc, char **argv)
{
  return resent_non_hubs_main ("site_resent_between_non_hubs", tests, G_N_ELEMENTS (tests), argc,
                               argv);
}
