/* test_site_resent_to_a_stopping_data_centre.c -- a job is sent again to a host of a data centre
 * all of whose hosts were told to stop just before it was cut off, and must run once at a time
 *
 * Hosts that are being stopped go on serving callers for some seconds.
 */
#include "base/clock.h"
#include "tests/resent_job.h"
#include "tests/resent_rig.h"
#include "tests/site_rig.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <unistd.h>

#define HOSTS 6
#define ENDPOINTS 6
#define ZONES RESENT_ZONES_MAX
#define FIRST_HOST 0
#define SECOND_HOST 1
#define STOPPED_ZONE 1
#define SETTLED_MS 1000
#define STOP_MAX_MS 10000
/* Hosts that have started within this time ask the data centres of all known hosts. */
#define OLD_MS 21000
/* Sent again before the cut is known there. */
#define AGAIN_MS 1300

/* Times are counted from the first request.  The job is announced at 390 to 590 ms. */
static const struct
{
  const char *name;
  int64_t stop_ms;
  int64_t cut_ms;
} cases[] = {
  { "told to stop just before the cut", 330, 400 },
};

static void
stop_zone (rig_t *rig)
{
  for (int i = STOPPED_ZONE; i < rig->hosts_count; i += rig->zones)
    rig_begin (rig, &(plan_fault_t){ .kind = PLAN_STOP_HOST, .target = i });
}

static void
play (rig_t *rig, size_t row)
{
  const resent_job_t job = { 0xf0 + row, 8, 3000, 9000 };
  int second = site_connect (RIG_CALLER_IP, rig_caller_port (rig, SECOND_HOST));
  int64_t first_ms = clock_boot_ms ();
  int first = resent_job_send (rig, FIRST_HOST, &job);

  resent_sleep_until (first_ms + cases[row].stop_ms);
  stop_zone (rig);
  resent_sleep_until (first_ms + cases[row].cut_ms);
  int32_t trouble = book_trouble (rig->book, clock_boot_ms ());
  resent_cut_hosts (rig, STOPPED_ZONE);
  resent_sleep_until (first_ms + AGAIN_MS);
  resent_job_broken (rig, FIRST_HOST, &job);
  resent_job_send_on (rig, SECOND_HOST, &job, second);
  site_response_t answer = site_read_response (second, clock_boot_ms () + job.caller_wait_ms);
  resent_job_answered (rig, SECOND_HOST, &job, answer.status, answer.body);
  proxy_end_rule (rig->proxy, RESENT_CUT_RULE);
  book_trouble_over (rig->book, trouble, clock_boot_ms ());
  printf ("  %s: %d\n", cases[row].name, answer.status);
  close (first);
  close (second);
}

static void
test_stopping (void)
{
  resent_play_rows (HOSTS, ENDPOINTS, OLD_MS, G_N_ELEMENTS (cases), play);
}

/* Waits until the hosts of the zone that is stopped have ended. */
static bool
has_ended (rig_t *rig)
{
  int64_t until_ms = clock_boot_ms () + STOP_MAX_MS;
  bool ended = false;

  while (!ended && clock_boot_ms () < until_ms)
    {
      clock_sleep_ms (20);
      rig_watch (rig);
      ended = true;
      for (int i = STOPPED_ZONE; i < rig->hosts_count; i += rig->zones)
        ended &= rig->hosts[i].pid == 0;
    }
  return ended;
}

/* A data centre whose hosts have all ended need not confirm jobs. */
static void
test_stopped (void)
{
  const resent_job_t job = { 0xf8, 4, 3000, 9000 };
  rig_t rig = { .programs = site_programs (),
                .hosts_count = HOSTS,
                .endpoints_count = ENDPOINTS,
                .zones = ZONES,
                .book = book_new () };

  CU_ASSERT_TRUE_FATAL (rig_start (&rig));
  clock_sleep_ms (SETTLED_MS);
  stop_zone (&rig);
  CU_ASSERT_TRUE (has_ended (&rig));
  clock_sleep_ms (SETTLED_MS);
  int fd = resent_job_send (&rig, FIRST_HOST, &job);
  site_response_t answer = site_read_response (fd, clock_boot_ms () + job.caller_wait_ms);
  resent_job_answered (&rig, FIRST_HOST, &job, answer.status, answer.body);
  CU_ASSERT_EQUAL (answer.status, 200);
  close (fd);
  rig_watch (&rig);
  int32_t findings = book_check (rig.book, clock_boot_ms ());
  CU_ASSERT_EQUAL (findings, 0);
  rig_stop (&rig, findings > 0 || answer.status != 200);
  book_free (rig.book);
}

static const unit_test_t tests[] = {
  { "a job goes on when a data centre was stopped", test_stopped },
  { "sent again to a data centre that is being stopped", test_stopping },
};

int
main (int argc, char **argv)
{
  (void) argc;
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run ("site_resent_to_a_stopping_data_centre", tests, G_N_ELEMENTS (tests));
}
