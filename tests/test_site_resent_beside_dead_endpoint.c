/* test_site_resent_beside_dead_endpoint.c -- a job whose host was killed is served when it is sent
 * again, although one endpoint of many does not answer */
#include "tests/resent_job.h"
#include "tests/unit_runner.h"

#include "base/clock.h"
#include "tests/site_rig.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <unistd.h>

#define HOSTS 6
#define ENDPOINTS 12
#define ZONES 3
#define FIRST_HOST 4
#define SECOND_HOST 0
#define DEAD_ENDPOINT 11
#define TASKS 2
#define WORK_MS 1000
#define CALLER_WAIT_MS 6000
#define SETTLED_MS 1500
#define KILLED_AFTER_MS 700
#define SENT_AGAIN_MS 1300

/* Its first run does not end before it is sent again. */
static const resent_job_t first_job = { 0xe0, TASKS, CALLER_WAIT_MS / 2, CALLER_WAIT_MS };
static const resent_job_t second_job = { 0xe0, TASKS, WORK_MS, CALLER_WAIT_MS };

static void
test_with (plan_kind_t kind)
{
  rig_t rig = { .programs = site_programs (),
                .hosts_count = HOSTS,
                .endpoints_count = ENDPOINTS,
                .zones = ZONES,
                .book = book_new () };
  const plan_fault_t dead = { .number = 1, .kind = kind, .target = DEAD_ENDPOINT };

  CU_ASSERT_TRUE (rig_start (&rig));
  clock_sleep_ms (SETTLED_MS);
  if (kind != PLAN_KINDS)
    rig_begin (&rig, &dead);
  int first = resent_job_send (&rig, FIRST_HOST, &first_job);
  clock_sleep_ms (KILLED_AFTER_MS);
  rig_begin (&rig, &(plan_fault_t){ .kind = PLAN_KILL_HOST, .target = FIRST_HOST });
  clock_sleep_ms (SENT_AGAIN_MS);
  int64_t sent_at_ms = clock_boot_ms ();
  int second = resent_job_send (&rig, SECOND_HOST, &second_job);
  site_response_t answer = site_read_response (second, sent_at_ms + CALLER_WAIT_MS + 500);
  printf ("  answer %d after %d ms\n", answer.status, (int) (clock_boot_ms () - sent_at_ms));
  CU_ASSERT_EQUAL (answer.status, 200);
  close (first);
  close (second);
  if (kind != PLAN_KINDS)
    rig_end (&rig, &dead);
  rig_stop (&rig, answer.status != 200);
  book_free (rig.book);
}

static void
test_none (void)
{
  test_with (PLAN_KINDS);
}

static void
test_killed (void)
{
  test_with (PLAN_KILL_ENDPOINT);
}

static void
test_paused (void)
{
  test_with (PLAN_PAUSE_ENDPOINT);
}

static const unit_test_t tests[] = {
  { "all endpoints answer", test_none },
  { "an endpoint is killed", test_killed },
  { "an endpoint stands still", test_paused },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run_named ("site_resent_beside_dead_endpoint", tests, G_N_ELEMENTS (tests),
                         argc > 1 ? argv[1] : NULL);
}
