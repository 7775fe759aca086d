/* resent_non_hubs.c -- plays jobs that are sent again from hosts that are no hubs to other such
 * hosts
 */
#include "tests/resent_non_hubs.h"

#include "base/clock.h"
#include "tests/site_rig.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <unistd.h>

#define HOSTS 18
#define ENDPOINTS 12
#define ZONES RESENT_ZONES_MAX
#define TASKS 2
#define FIRST_JOB 0xd0
/* Heartbeats between hosts that are no hubs come this rarely, so that all know the hubs by then. */
#define SETTLED_MS 3000
/* The first request may have no answer. */
#define FIRST_ANSWER_MS 100

/* The job that goes to one data centre after the other. */
typedef struct
{
  resent_job_t job;
  int first_host;
  int second_host;
  int first;  /* connection */
  int second; /* connection */
} resent_t;

static void
choose_hosts (rig_t *rig,
              const resent_non_hubs_t *scenario,
              resent_t resent[ZONES],
              int *second_hosts)
{
  int first_hosts[ZONES];

  resent_job_find_non_hubs (rig, false, first_hosts);
  resent_job_find_non_hubs (rig, true, second_hosts);
  for (int i = 0; i < ZONES; i++)
    {
      CU_ASSERT_TRUE_FATAL (first_hosts[i] >= 0 && second_hosts[i] >= 0);
      resent[i].job = (resent_job_t){ FIRST_JOB + (uint64_t) i, TASKS, scenario->work_ms,
                                      scenario->caller_wait_ms };
      resent[i].first_host = first_hosts[i];
      resent[i].second_host = second_hosts[(i + 1) % ZONES];
    }
}

/* Reads the answers to RESENT, and closes its connections. */
static void
read_answers (rig_t *rig, const resent_t *resent)
{
  int64_t until_ms = clock_boot_ms () + resent->job.caller_wait_ms;
  site_response_t answer = site_read_response (resent->second, until_ms);

  resent_job_answered (rig, resent->second_host, &resent->job, answer.status, answer.body);
  CU_ASSERT_EQUAL (answer.status, 200);
  site_response_t old = site_read_response (resent->first, clock_boot_ms () + FIRST_ANSWER_MS);
  printf ("  from %s (%d) to %s (%d)\n", rig->hosts[resent->first_host].name, old.status,
          rig->hosts[resent->second_host].name, answer.status);
  close (resent->first);
  close (resent->second);
}

static void
play (rig_t *rig, const resent_non_hubs_t *scenario)
{
  resent_t resent[ZONES];
  int second_hosts[ZONES];

  choose_hosts (rig, scenario, resent, second_hosts);
  for (int i = 0; i < ZONES; i++)
    resent[i].first = resent_job_send (rig, resent[i].first_host, &resent[i].job);
  int64_t again_ms = clock_boot_ms () + RESENT_NON_HUBS_AGAIN_MS;
  if (scenario->between != NULL)
    scenario->between (rig, second_hosts);
  clock_sleep_ms (MAX (again_ms - clock_boot_ms (), 0));
  for (int i = 0; i < ZONES; i++)
    resent[i].second = resent_job_send (rig, resent[i].second_host, &resent[i].job);
  for (int i = 0; i < ZONES; i++)
    read_answers (rig, &resent[i]);
}

void
resent_non_hubs_play (const resent_non_hubs_t *scenario)
{
  rig_t rig = { .programs = site_programs (),
                .hosts_count = HOSTS,
                .endpoints_count = ENDPOINTS,
                .zones = ZONES,
                .book = book_new () };

  CU_ASSERT_TRUE (rig_start (&rig));
  clock_sleep_ms (SETTLED_MS);
  play (&rig, scenario);
  rig_watch (&rig);
  int32_t findings = book_check (rig.book, clock_boot_ms ());
  CU_ASSERT_EQUAL (findings, 0);
  rig_stop (&rig, findings > 0);
  book_free (rig.book);
}

int
resent_non_hubs_main (const char *suite,
                      const unit_test_t *tests,
                      size_t count,
                      int argc,
                      char **argv)
{

  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run_named (suite, tests, count, argc > 1 ? argv[1] : NULL);
}
