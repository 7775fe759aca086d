/* test_site_resent_from_a_host_started_in_a_cut.c -- a job is sent to a host that has started while
 * a data centre is cut off, from the log as well, and again to a host beyond the cut; it must run
 * once at a time
 *
 * What the first host knows of the data centres beyond the cut it has from hosts of its own.
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
#define CUT_ZONE 1
#define IN_CUT 1
#define ALSO_IN_CUT 4
#define OUTSIDE 0
#define SETTLED_MS 3000
#define READY_MAX_MS 5000
#define AGAIN_MS 1300
/* Less than the job takes, so that no host refuses it at once. */
#define EXPECTED_MS 600

static const char *const zones[] = { "zone-x", "zone-y", "zone-z" };

/* Times are counted from the cut. */
static const struct
{
  const char *name;
  int first_host;
  int second_host;
  int64_t killed_ms;
  int64_t sent_ms;
} cases[] = {
  { "started when the cut is not known", IN_CUT, OUTSIDE, 200, 1600 },
  { "started when the others are lost", IN_CUT, OUTSIDE, 1500, 4000 },
  { "started outside, when the data centre is lost", OUTSIDE, ALSO_IN_CUT, 1500, 4000 },
  { "started outside, when the data centre is out of the log", OUTSIDE, ALSO_IN_CUT, 6000, 8500 },
};

static void
cut (rig_t *rig)
{
  for (int zone = 0; zone < ZONES; zone++)
    if (zone != CUT_ZONE)
      proxy_rule (rig->proxy, RESENT_CUT_RULE, PROXY_HOLD, zones[CUT_ZONE], zones[zone], 0, false);
  for (int i = CUT_ZONE; i < rig->hosts_count; i += rig->zones)
    proxy_rule (rig->proxy, RESENT_CUT_RULE, PROXY_HOLD, rig->hosts[i].name, "log", 0, false);
}

static void
play (rig_t *rig, size_t row)
{
  const resent_job_t job = { 0xa0 + row, 4, 3000, 9000 };
  int first_host = cases[row].first_host;
  int second_host = cases[row].second_host;
  int32_t trouble = book_trouble (rig->book, clock_boot_ms ());
  int64_t cut_ms = clock_boot_ms ();

  cut (rig);
  resent_sleep_until (cut_ms + cases[row].killed_ms);
  CU_ASSERT_TRUE (resent_restart (rig, &first_host, 1, READY_MAX_MS));
  resent_sleep_until (cut_ms + cases[row].sent_ms);
  int first = resent_job_send_expecting (rig, first_host, &job, EXPECTED_MS);
  clock_sleep_ms (AGAIN_MS);
  resent_job_broken (rig, first_host, &job);
  int second = resent_job_send_expecting (rig, second_host, &job, EXPECTED_MS);
  site_response_t answer = site_read_response (second, clock_boot_ms () + job.caller_wait_ms);
  resent_job_answered (rig, second_host, &job, answer.status, answer.body);
  proxy_end_rule (rig->proxy, RESENT_CUT_RULE);
  book_trouble_over (rig->book, trouble, clock_boot_ms ());
  printf ("  %s: %d\n", cases[row].name, answer.status);
  close (first);
  close (second);
}

static void
test_started (void)
{
  resent_play_rows (HOSTS, ENDPOINTS, SETTLED_MS, G_N_ELEMENTS (cases), play);
}

static const unit_test_t tests[] = {
  { "sent again from a host that was started in a cut", test_started },
};

int
main (int argc, char **argv)
{
  (void) argc;
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run ("site_resent_from_a_host_started_in_a_cut", tests, G_N_ELEMENTS (tests));
}
