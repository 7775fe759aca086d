/* test_site_resent_before_its_first_request.c -- a job whose first request is held up by a cut, and
 * that is sent again meanwhile, must run once at a time, on real processes */
#include "tests/resent_cut.h"
#include "tests/unit_runner.h"

#include <glib.h>
#include <signal.h>

static const resent_cut_case_t cases[] = {
  { "held up until the cut ends", CUT_ALL, 6, 1, 0, 7000, .cut_after_ms = 0,
    .first_is_held = true },
  { "held up until the cut ends, many hosts", CUT_ALL, 18, 1, 0, 7000, .cut_after_ms = 0,
    .first_is_held = true },
};

static char programs[4096];

static void
test_held (void)
{
  resent_cut_play (programs, cases, G_N_ELEMENTS (cases));
}

static const unit_test_t tests[] = {
  { "sent again while a cut holds up the first request", test_held },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  char *directory = g_path_get_dirname (argv[0]);
  g_snprintf (programs, sizeof programs, "%s/..", directory);
  g_free (directory);
  return unit_run_named ("site_resent_before_its_first_request", tests, G_N_ELEMENTS (tests),
                         argc > 1 ? argv[1] : NULL);
}
