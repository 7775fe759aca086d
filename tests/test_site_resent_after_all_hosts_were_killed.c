/* test_site_resent_after_all_hosts_were_killed.c -- a job that is sent again to a host that was
 * just started must not run beside runs that only killed hosts knew of
 *
 * Real processes and the proxy of the soak.  The first caller loses its channel unseen as it sends
 * the job; all hosts are killed and started again before the job is sent a second time, while
 * leases of the killed hosts last.
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
#define WORK_MS 4000
#define CALLER_WAIT_MS 9000
#define SENT_AGAIN_AFTER_MS 1300
#define READY_MAX_MS 5000
/* By then hosts have found all others, and capacity and load are known. */
#define SETTLED_AFTER_MS 1500
#define FIRST_JOB 0xc0
#define CALLERS_RULE 1

static const struct
{
  const char *name;
  int first_host;
  int second_host;
  int killed_after_ms; /* from the first request */
  int down_ms;
} cases[] = {
  { "to another data centre", 0, 1, 1100, 0 },
  { "to the same data centre", 0, 3, 1100, 0 },
  { "down for longer", 0, 2, 900, 150 },
};

/* Kills all hosts, and starts them DOWN_MS later. */
static void
restart_all (rig_t *rig, int down_ms)
{
  const plan_fault_t fault = { .kind = PLAN_KILL_ALL };

  rig_begin (rig, &fault);
  clock_sleep_ms (down_ms);
  rig_end (rig, &fault);
  rig_watch (rig);
}

/* Sends JOB to HOST as soon as it takes requests, and no sooner than AT_MS. */
static int
send_when_ready (rig_t *rig, int host, const resent_job_t *job, int64_t at_ms)
{
  int64_t until_ms = clock_boot_ms () + READY_MAX_MS;

  while (!rig_is_ready (rig, host) && clock_boot_ms () < until_ms)
    {
      clock_sleep_ms (5);
      rig_watch (rig);
    }
  CU_ASSERT_TRUE (rig_is_ready (rig, host));
  clock_sleep_ms (MAX (at_ms - clock_boot_ms (), 0));
  return resent_job_send (rig, host, job);
}

/* Returns the status of the second request. */
static int
play_case (rig_t *rig, size_t row)
{
  const resent_job_t job = { FIRST_JOB + row, TASKS, WORK_MS, CALLER_WAIT_MS };
  int first_host = cases[row].first_host;
  int second_host = cases[row].second_host;

  clock_sleep_ms (SETTLED_AFTER_MS);
  int32_t trouble = book_trouble (rig->book, clock_boot_ms ());
  int64_t sent_ms = clock_boot_ms ();
  int first = resent_job_send (rig, first_host, &job);
  clock_sleep_ms (50);
  proxy_rule (rig->proxy, CALLERS_RULE, PROXY_HOLD, "callers", rig->hosts[first_host].name, 0,
              false);
  clock_sleep_ms (MAX (sent_ms + cases[row].killed_after_ms - clock_boot_ms (), 0));
  restart_all (rig, cases[row].down_ms);
  proxy_end_rule (rig->proxy, CALLERS_RULE);
  resent_job_broken (rig, first_host, &job);
  int second = send_when_ready (rig, second_host, &job, sent_ms + SENT_AGAIN_AFTER_MS);
  printf ("  %s: sent again after %d ms\n", cases[row].name, (int) (clock_boot_ms () - sent_ms));
  site_response_t answer = site_read_response (second, clock_boot_ms () + CALLER_WAIT_MS);
  resent_job_answered (rig, second_host, &job, answer.status, answer.body);
  book_trouble_over (rig->book, trouble, clock_boot_ms ());
  close (first);
  close (second);
  return answer.status;
}

static void
test_killed (void)
{
  for (size_t row = 0; row < G_N_ELEMENTS (cases); row++)
    {
      rig_t rig = { .programs = site_programs (),
                    .hosts_count = HOSTS,
                    .endpoints_count = ENDPOINTS,
                    .zones = ZONES };
      rig.book = book_new ();
      CU_ASSERT_TRUE (rig_start (&rig));
      int status = play_case (&rig, row);
      rig_watch (&rig);
      int32_t findings = book_check (rig.book, clock_boot_ms ());
      CU_ASSERT_EQUAL (status, 200);
      CU_ASSERT_EQUAL (findings, 0);
      if (status != 200 || findings > 0)
        printf ("  %s: answered %d, %d findings\n", cases[row].name, status, (int) findings);
      rig_stop (&rig, status != 200 || findings > 0);
      book_free (rig.book);
    }
}

static const unit_test_t tests[] = {
  { "sent again after all hosts were killed", test_killed },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run_named ("site_resent_after_all_hosts_were_killed", tests, G_N_ELEMENTS (tests),
                         argc > 1 ? argv[1] : NULL);
}
