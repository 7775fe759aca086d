/* test_site_owner_killed_at_age.c -- the owner of a job's shard is killed while the job is open */
#include "tests/resent_job.h"
#include "tests/unit_runner.h"

#include "base/clock.h"
#include "tests/site_rig.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <unistd.h>

#define HOSTS 18
#define ENDPOINTS 12
#define ZONES 3
#define FIRST_HOST 3
#define OWNER 0
#define TASKS 2
#define WORK_MS 3500
#define CALLER_WAIT_MS 6000
#define SETTLED_MS 3000

static const resent_job_t job = { 0xe0, TASKS, WORK_MS, CALLER_WAIT_MS };

static void
test_with (int age_ms)
{
  rig_t rig = { .programs = site_programs (),
                .hosts_count = HOSTS,
                .endpoints_count = ENDPOINTS,
                .zones = ZONES,
                .book = book_new () };

  CU_ASSERT_TRUE (rig_start (&rig));
  clock_sleep_ms (SETTLED_MS);
  int64_t sent_at_ms = clock_boot_ms ();
  int first = resent_job_send (&rig, FIRST_HOST, &job);
  clock_sleep_ms (age_ms);
  rig_begin (&rig, &(plan_fault_t){ .kind = PLAN_KILL_HOST, .target = OWNER });
  site_response_t answer = site_read_response (first, sent_at_ms + CALLER_WAIT_MS + 500);
  printf ("  answer %d after %d ms\n", answer.status, (int) (clock_boot_ms () - sent_at_ms));
  CU_ASSERT_EQUAL (answer.status, 200);
  close (first);
  rig_stop (&rig, answer.status != 200);
  book_free (rig.book);
}

static void
test_young (void)
{
  test_with (700);
}

static void
test_older (void)
{
  test_with (1250);
}

static void
test_old (void)
{
  test_with (1700);
}

static const unit_test_t tests[] = {
  { "700 ms old", test_young },
  { "1250 ms old", test_older },
  { "1700 ms old", test_old },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run_named ("site_owner_killed_at_age", tests, G_N_ELEMENTS (tests),
                         argc > 1 ? argv[1] : NULL);
}
