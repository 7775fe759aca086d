/* test_site_resent_after_resets.c -- a job that is sent again from one host that is no hub to
 * another one must run once at a time, also if connections of the second one broke as it was
 * announced */
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
/* The job is announced 390 to 590 ms after it was received, and passed on 200 ms later at the most.
 */
#define BREAKS_FROM_MS 350
#define BREAK_EVERY_MS 25
#define BREAKS 20
#define SENT_AGAIN_MS 1900

/* One is sent to each zone. */
static const resent_job_t jobs[ZONES] = {
  { 0xd0, TASKS, WORK_MS, CALLER_WAIT_MS },
  { 0xd1, TASKS, WORK_MS, CALLER_WAIT_MS },
  { 0xd2, TASKS, WORK_MS, CALLER_WAIT_MS },
};

static char programs[4096];

/* Breaks the connections of the host of each zone in HOSTS_OF while others announce. */
static void
break_connections (rig_t *rig, plan_kind_t kind, const int *hosts_of)
{
  clock_sleep_ms (BREAKS_FROM_MS);
  for (int i = 0; i < BREAKS; i++)
    {
      for (int zone = 0; zone < ZONES && (kind == PLAN_RESET || i == 0); zone++)
        rig_begin (rig, &(plan_fault_t){ .kind = kind, .target = hosts_of[zone] });
      clock_sleep_ms (BREAK_EVERY_MS);
    }
}

/* Each job goes to a host of one zone, and again to one of the next zone. */
static void
play (rig_t *rig, plan_kind_t kind)
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
  break_connections (rig, kind, second_hosts);
  clock_sleep_ms (SENT_AGAIN_MS - BREAKS_FROM_MS - (int64_t) BREAK_EVERY_MS * BREAKS);
  for (int i = 0; i < ZONES; i++)
    second[i] = resent_job_send (rig, second_hosts[(i + 1) % ZONES], &jobs[i]);
  for (int i = 0; i < ZONES; i++)
    {
      site_response_t answer = site_read_response (second[i], clock_boot_ms () + CALLER_WAIT_MS);
      resent_job_answered (rig, second_hosts[(i + 1) % ZONES], &jobs[i], answer.status,
                           answer.body);
      CU_ASSERT_EQUAL (answer.status, 200);
      site_response_t old = site_read_response (first[i], clock_boot_ms () + 100);
      printf ("  from %s (%d) to %s (%d)\n", rig->hosts[first_hosts[i]].name, old.status,
              rig->hosts[second_hosts[(i + 1) % ZONES]].name, answer.status);
      close (first[i]);
      close (second[i]);
    }
}

static void
test_breaks (plan_kind_t kind)
{
  rig_t rig = { .programs = programs,
                .hosts_count = HOSTS,
                .endpoints_count = ENDPOINTS,
                .zones = ZONES,
                .book = book_new () };

  CU_ASSERT_TRUE (rig_start (&rig));
  clock_sleep_ms (SETTLED_MS);
  play (&rig, kind);
  rig_watch (&rig);
  int32_t findings = book_check (rig.book, clock_boot_ms ());
  CU_ASSERT_EQUAL (findings, 0);
  rig_stop (&rig, findings > 0);
  book_free (rig.book);
}

static void
test_resets (void)
{
  test_breaks (PLAN_RESET);
}

static void
test_silence (void)
{
  test_breaks (PLAN_MUTE);
}

static const unit_test_t tests[] = {
  { "connections are reset", test_resets },
  { "connections fall silent", test_silence },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  char *directory = g_path_get_dirname (argv[0]);
  g_snprintf (programs, sizeof programs, "%s/..", directory);
  g_free (directory);
  return unit_run_named ("site_resent_after_resets", tests, G_N_ELEMENTS (tests),
                         argc > 1 ? argv[1] : NULL);
}
