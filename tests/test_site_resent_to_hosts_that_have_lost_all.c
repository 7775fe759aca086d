/* test_site_resent_to_hosts_that_have_lost_all.c -- a job runs in a data centre that is cut off,
 * and is sent again to another one, all of whose hosts were killed meanwhile; it must run once at a
 * time
 *
 * A third data centre is in reach, and was told of the job.
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
#define CUT_ZONE 1
#define FIRST_HOST 1
#define SECOND_HOST 0
#define NEIGHBOUR 3
#define SETTLED_MS 3000
#define READY_MAX_MS 1300
/* Less than the job takes, so that no host refuses it at once. */
#define EXPECTED_MS 600
#define WORK_MS 5000
#define CALLER_WAIT_MS 12000
/* Times from the first request, which is announced and confirmed before the cut. */
#define CUT_MS 800
#define KILLED_MS 900
#define CUT_ENDS_MS 5500

static const struct
{
  const char *name;
  int64_t again_ms;
} cases[] = {
  { "sent again when it may be", 2100 },
  { "sent again when no lease from before lasts", 2600 },
};

/* All hosts of the data centre to which the job is sent again. */
static const int killed[] = { SECOND_HOST, NEIGHBOUR };

static void
play (rig_t *rig, size_t row)
{
  const resent_job_t job = { 0xa8 + row, 4, WORK_MS, CALLER_WAIT_MS };
  int64_t first_ms = clock_boot_ms ();
  int first = resent_job_send_expecting (rig, FIRST_HOST, &job, EXPECTED_MS);

  resent_sleep_until (first_ms + CUT_MS);
  int32_t trouble = book_trouble (rig->book, clock_boot_ms ());
  resent_cut_hosts (rig, CUT_ZONE);
  /* Its caller has lost its channel in the cut. */
  resent_job_broken (rig, FIRST_HOST, &job);
  resent_sleep_until (first_ms + KILLED_MS);
  CU_ASSERT_TRUE (resent_restart (rig, killed, G_N_ELEMENTS (killed), READY_MAX_MS));
  resent_sleep_until (first_ms + cases[row].again_ms);
  int second = resent_job_send_expecting (rig, SECOND_HOST, &job, EXPECTED_MS);
  resent_sleep_until (first_ms + CUT_ENDS_MS);
  proxy_end_rule (rig->proxy, RESENT_CUT_RULE);
  site_response_t answer = site_read_response (second, clock_boot_ms () + job.caller_wait_ms);
  resent_job_answered (rig, SECOND_HOST, &job, answer.status, answer.body);
  book_trouble_over (rig->book, trouble, clock_boot_ms ());
  printf ("  %s: %d\n", cases[row].name, answer.status);
  close (first);
  close (second);
}

static void
test_lost (void)
{
  resent_play_rows (HOSTS, ENDPOINTS, SETTLED_MS, G_N_ELEMENTS (cases), play);
}

static const unit_test_t tests[] = {
  { "sent again to hosts that have lost all", test_lost },
};

int
main (int argc, char **argv)
{
  (void) argc;
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run ("site_resent_to_hosts_that_have_lost_all", tests, G_N_ELEMENTS (tests));
}
