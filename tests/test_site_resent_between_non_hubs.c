/* test_site_resent_between_non_hubs.c -- a job that is sent again from one host that is no hub to
 * another one, of another data centre, must run once at a time, on real processes without faults */
#include "tests/resent_job.h"
#include "tests/unit_runner.h"

#include "base/clock.h"
#include "tests/site_call.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <unistd.h>

/* More hosts in each data centre than it has hubs. */
#define HOSTS 18
#define ENDPOINTS 12
#define ZONES RESENT_ZONES_MAX
#define TASKS 2
#define WORK_MS 3500
#define CALLER_WAIT_MS 9000
/* Heartbeats between hosts that are no hubs come this rarely, so that all know the hubs by then. */
#define SETTLED_MS 3000
#define SENT_AGAIN_MS 1900

/* One is sent to each zone. */
static const resent_job_t jobs[ZONES] = {
  { 0xd0, TASKS, WORK_MS, CALLER_WAIT_MS },
  { 0xd1, TASKS, WORK_MS, CALLER_WAIT_MS },
  { 0xd2, TASKS, WORK_MS, CALLER_WAIT_MS },
};

static char programs[4096];

/* Each job goes to a host of one zone, and again to one of the next zone. */
static void
play (rig_t *rig)
{
  int first_hosts[ZONES];
  int second_hosts[ZONES];
  int first[ZONES];
  int second[ZONES];

  resent_job_find_non_hubs (rig, false, first_hosts);
  resent_job_find_non_hubs (rig, true, second_hosts);
  for (int i = 0; i < ZONES; i++)
    CU_ASSERT_TRUE_FATAL (first_hosts[i] >= 0 && second_hosts[i] >= 0);
  for (int i = 0; i < ZONES; i++)
    first[i] = resent_job_send (rig, first_hosts[i], &jobs[i]);
  clock_sleep_ms (SENT_AGAIN_MS);
  for (int i = 0; i < ZONES; i++)
    second[i] = resent_job_send (rig, second_hosts[(i + 1) % ZONES], &jobs[i]);
  for (int i = 0; i < ZONES; i++)
    {
      site_response_t answer = site_read_response (second[i], clock_boot_ms () + CALLER_WAIT_MS);
      resent_job_answered (rig, second_hosts[(i + 1) % ZONES], &jobs[i], answer.status,
                           answer.body);
      CU_ASSERT_EQUAL (answer.status, 200);
      close (first[i]);
      close (second[i]);
    }
}

static void
test_non_hubs (void)
{
  rig_t rig = { .programs = programs,
                .hosts_count = HOSTS,
                .endpoints_count = ENDPOINTS,
                .zones = ZONES,
                .book = book_new () };

  CU_ASSERT_TRUE (rig_start (&rig));
  clock_sleep_ms (SETTLED_MS);
  play (&rig);
  rig_watch (&rig);
  int32_t findings = book_check (rig.book, clock_boot_ms ());
  CU_ASSERT_EQUAL (findings, 0);
  rig_stop (&rig, findings > 0);
  book_free (rig.book);
}

static const unit_test_t tests[] = {
  { "sent again between hosts that are no hubs", test_non_hubs },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  char *directory = g_path_get_dirname (argv[0]);
  g_snprintf (programs, sizeof programs, "%s/..", directory);
  g_free (directory);
  return unit_run_named ("site_resent_between_non_hubs", tests, G_N_ELEMENTS (tests),
                         argc > 1 ? argv[1] : NULL);
}
