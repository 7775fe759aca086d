/* test_site_resent_to_restarted_non_hub.c -- a job that is sent again from one host that is no hub
 * to another one, which was restarted after the job was announced, must run once at a time */
#include "tests/resent_job.h"
#include "tests/soak/rig_private.h"
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
#define WORK_MS 5000
#define CALLER_WAIT_MS 12000
/* Heartbeats between hosts that are no hubs come this rarely, so that all know the hubs by then. */
#define SETTLED_MS 3000
/* The jobs were announced by then. */
#define RESTARTED_MS 900
#define READY_MAX_MS 3000
#define SENT_AGAIN_MS 1900

/* One is sent to each zone. */
static const resent_job_t jobs[ZONES] = {
  { 0xd0, TASKS, WORK_MS, CALLER_WAIT_MS },
  { 0xd1, TASKS, WORK_MS, CALLER_WAIT_MS },
  { 0xd2, TASKS, WORK_MS, CALLER_WAIT_MS },
};

static char programs[4096];

/* Restarts the host of each zone in HOSTS_OF, and waits until all are ready and jobs that were sent
 * RESTARTED_MS before may be sent again. */
static void
restart (rig_t *rig, const int *hosts_of)
{
  int64_t began_at_ms = clock_boot_ms ();
  bool ready = false;

  for (int i = 0; i < ZONES; i++)
    rig_kill_host (rig, hosts_of[i], "killed");
  while (!ready && clock_boot_ms () < began_at_ms + READY_MAX_MS)
    {
      clock_sleep_ms (20);
      rig_watch (rig);
      ready = true;
      for (int i = 0; i < ZONES; i++)
        ready = ready && rig_is_ready (rig, hosts_of[i]);
    }
  CU_ASSERT_TRUE (ready);
  int64_t passed_ms = clock_boot_ms () - began_at_ms;
  printf ("  ready again after %d ms\n", (int) passed_ms);
  clock_sleep_ms (MAX (SENT_AGAIN_MS - RESTARTED_MS - passed_ms, 0));
}

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
  clock_sleep_ms (RESTARTED_MS);
  restart (rig, second_hosts);
  for (int i = 0; i < ZONES; i++)
    second[i] = resent_job_send (rig, second_hosts[(i + 1) % ZONES], &jobs[i]);
  for (int i = 0; i < ZONES; i++)
    {
      site_response_t answer = site_read_response (second[i], clock_boot_ms () + CALLER_WAIT_MS);
      resent_job_answered (rig, second_hosts[(i + 1) % ZONES], &jobs[i], answer.status,
                           answer.body);
      CU_ASSERT_EQUAL (answer.status, 200);
      printf ("  from %s to %s: %d\n", rig->hosts[first_hosts[i]].name,
              rig->hosts[second_hosts[(i + 1) % ZONES]].name, answer.status);
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
  { "sent again to a host that was restarted", test_non_hubs },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  char *directory = g_path_get_dirname (argv[0]);
  g_snprintf (programs, sizeof programs, "%s/..", directory);
  g_free (directory);
  return unit_run_named ("site_resent_to_restarted_non_hub", tests, G_N_ELEMENTS (tests),
                         argc > 1 ? argv[1] : NULL);
}
