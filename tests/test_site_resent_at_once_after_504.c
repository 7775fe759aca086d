/* test_site_resent_at_once_after_504.c -- a job that was started and given up, as a data centre is
 * out of reach, and that is sent again as soon as its 504 is read must run once at a time
 *
 * Real processes and the proxy of the soak.
 */
#include "base/clock.h"
#include "tests/resent_job.h"
#include "tests/site_rig.h"
#include "tests/soak/rig_private.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <unistd.h>

#define ENDPOINTS 6
#define HOSTS 6
#define ZONES RESENT_ZONES_MAX
#define TASKS 8
/* Short enough to be started in a known cut, too long to end there. */
#define WORK_MS 1700
#define CALLER_WAIT_MS 9000
/* By then hosts have found all others, and capacity and load are known. */
#define SETTLED_AFTER_MS 1500
#define KNOWN_CUT_MS 1500
#define CUT_ZONE 2
#define CUT_RULE 1
#define REQUESTS 4
#define FIRST_JOB 0xd0

static const struct
{
  const char *name;
  int hosts[REQUESTS]; /* which get the job, one after the other */
} cases[] = {
  { "to the other data centre in turn", { 0, 1, 0, 1 } },
  { "to the same data centre", { 0, 3, 0, 3 } },
};

static void
cut_zone (rig_t *rig)
{
  for (int zone = 0; zone < ZONES; zone++)
    if (zone != CUT_ZONE)
      proxy_rule (rig->proxy, CUT_RULE, PROXY_HOLD, rig_zone_name (CUT_ZONE), rig_zone_name (zone),
                  0, false);
  for (int i = CUT_ZONE; i < HOSTS; i += ZONES)
    proxy_rule (rig->proxy, CUT_RULE, PROXY_HOLD, rig->hosts[i].name, "log", 0, false);
}

/* Sends JOB to HOST and returns the status of its answer. */
static int
request (rig_t *rig, int host, const resent_job_t *job)
{
  int fd = resent_job_send (rig, host, job);
  site_response_t answer = site_read_response (fd, clock_boot_ms () + CALLER_WAIT_MS);

  resent_job_answered (rig, host, job, answer.status, answer.body);
  close (fd);
  return answer.status;
}

/* Returns the number of requests that were answered 504. */
static int
play_case (rig_t *rig, size_t row)
{
  const resent_job_t job = { FIRST_JOB + row, TASKS, WORK_MS, CALLER_WAIT_MS };
  int given_up = 0;

  clock_sleep_ms (SETTLED_AFTER_MS);
  int32_t trouble = book_trouble (rig->book, clock_boot_ms ());
  cut_zone (rig);
  clock_sleep_ms (KNOWN_CUT_MS);
  for (int i = 0; i < REQUESTS; i++)
    given_up += request (rig, cases[row].hosts[i], &job) == 504;
  proxy_end_rule (rig->proxy, CUT_RULE);
  book_trouble_over (rig->book, trouble, clock_boot_ms ());
  return given_up;
}

static void
test_at_once (void)
{
  for (size_t row = 0; row < G_N_ELEMENTS (cases); row++)
    {
      rig_t rig = { .programs = site_programs (),
                    .hosts_count = HOSTS,
                    .endpoints_count = ENDPOINTS,
                    .zones = ZONES };
      rig.book = book_new ();
      CU_ASSERT_TRUE (rig_start (&rig));
      int given_up = play_case (&rig, row);
      rig_watch (&rig);
      int32_t findings = book_check (rig.book, clock_boot_ms ());
      CU_ASSERT_TRUE (given_up > 0);
      CU_ASSERT_EQUAL (findings, 0);
      if (given_up == 0 || findings > 0)
        printf ("  %s: %d given up, %d findings\n", cases[row].name, given_up, (int) findings);
      rig_stop (&rig, findings > 0);
      book_free (rig.book);
    }
}

static const unit_test_t tests[] = {
  { "sent again at once after 504", test_at_once },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run_named ("site_resent_at_once_after_504", tests, G_N_ELEMENTS (tests),
                         argc > 1 ? argv[1] : NULL);
}
