/* test_site_resent_while_it_waits_in_a_cut.c -- a repeated request waits in a data centre that is
 * cut off, for a host beyond the cut, and its job is sent once more, beyond the cut; it must run
 * once at a time when the cut ends
 */
#include "base/clock.h"
#include "tests/resent_job.h"
#include "tests/resent_rig.h"
#include "tests/site_rig.h"
#include "tests/soak/rig_private.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <unistd.h>

#define HOSTS 6
#define ENDPOINTS 6
#define CUT_ZONE 1
#define FIRST_HOST 0
#define IN_CUT 1
#define OUTSIDE 3
#define SETTLED_MS 3000
#define READY_MAX_MS 1300
/* Less than the job takes, so that no host refuses it at once. */
#define EXPECTED_MS 600
#define WORK_MS 6000
#define CALLER_WAIT_MS 12000
/* Times from the first request, which is announced and confirmed before the cut. */
#define CUT_MS 800
#define SECOND_MS 2300
/* From the start of the first data centre's new processes, which know of no job, to the third
 * request.  1,300 ms after it they say that no run from before goes on. */
#define THIRD_AFTER_MS 1140
/* From the third request. */
#define CUT_ENDS_AFTER_MS 20

/* Hosts announce their jobs every 200 ms: how long both run the job depends on the moment. */
static const struct
{
  const char *name;
  int64_t killed_ms; /* after the first request */
} cases[] = {
  { "one moment", 2500 },
  { "50 ms later", 2550 },
  { "100 ms later", 2600 },
  { "150 ms later", 2650 },
};

/* Kills both hosts of the first data centre, and starts them again.  Returns when that was. */
static int64_t
restart_first_zone (rig_t *rig)
{
  int64_t until_ms = clock_boot_ms () + READY_MAX_MS;
  int32_t life = rig->hosts[OUTSIDE].life;

  rig_kill_host (rig, FIRST_HOST, "killed");
  rig_kill_host (rig, OUTSIDE, "killed");
  while (rig->hosts[OUTSIDE].life == life && clock_boot_ms () < until_ms)
    {
      clock_sleep_ms (5);
      rig_watch (rig);
    }
  return clock_boot_ms ();
}

static void
play (rig_t *rig, size_t row)
{
  const resent_job_t job = { 0xb0 + row, 4, WORK_MS, CALLER_WAIT_MS };
  int64_t first_ms = clock_boot_ms ();
  int first = resent_job_send_expecting (rig, FIRST_HOST, &job, EXPECTED_MS);

  resent_sleep_until (first_ms + CUT_MS);
  int32_t trouble = book_trouble (rig->book, clock_boot_ms ());
  resent_cut_hosts (rig, CUT_ZONE);
  resent_sleep_until (first_ms + SECOND_MS);
  int second = resent_job_send_expecting (rig, IN_CUT, &job, EXPECTED_MS);
  resent_sleep_until (first_ms + cases[row].killed_ms);
  /* Its caller leaves without a sign that the host sees. */
  resent_job_broken (rig, IN_CUT, &job);
  int64_t started_ms = restart_first_zone (rig);
  resent_sleep_until (started_ms + THIRD_AFTER_MS);
  int third = resent_job_send_expecting (rig, OUTSIDE, &job, EXPECTED_MS);
  clock_sleep_ms (CUT_ENDS_AFTER_MS);
  proxy_end_rule (rig->proxy, RESENT_CUT_RULE);
  site_response_t answer = site_read_response (third, clock_boot_ms () + job.caller_wait_ms);
  resent_job_answered (rig, OUTSIDE, &job, answer.status, answer.body);
  book_trouble_over (rig->book, trouble, clock_boot_ms ());
  printf ("  %s: %d\n", cases[row].name, answer.status);
  close (first);
  close (second);
  close (third);
}

static void
test_waits (void)
{
  resent_play_rows (HOSTS, ENDPOINTS, SETTLED_MS, G_N_ELEMENTS (cases), play);
}

static const unit_test_t tests[] = {
  { "sent again while it waits in a cut", test_waits },
};

int
main (int argc, char **argv)
{
  (void) argc;
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run ("site_resent_while_it_waits_in_a_cut", tests, G_N_ELEMENTS (tests));
}
