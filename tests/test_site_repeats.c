/* test_site_repeats.c -- guard: a cancelled job started again when its request was repeated
 *
 * A job is submitted to host 0 of a rig and ends there.  Its request then arrives again, at that
 * host or another: it must be answered like the first one, and no task may start.
 */
#include "base/clock.h"
#include "tests/site_call.h"
#include "tests/site_rig.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define FIRST_HOST 0
#define NOBODY (-1)
#define TASKS 3
#define LONG_WORK_MS 2500
#define SHORT_WORK_MS 20
#define ANSWER_TIMEOUT_MS 2000
#define STARTED_WITHIN_MS 2000
/* A message from one host to all others is under way for less than this. */
#define ALL_TOLD_MS 300

static const struct
{
  const char *name;
  int cancelled_at; /* NOBODY: it completes */
  int killed;       /* this host, after the answer */
  int restarted;    /* this host, after the answer */
  int repeated_at;
  const char *state;
} repeat_cases[] = {
  { "cancelled and repeated at its host", 0, NOBODY, NOBODY, 0, "cancelled" },
  { "cancelled at its host, repeated at another", 0, NOBODY, NOBODY, 1, "cancelled" },
  { "cancelled at another host, repeated at a third", 1, NOBODY, NOBODY, 2, "cancelled" },
  { "cancelled and repeated at another host", 1, NOBODY, NOBODY, 1, "cancelled" },
  { "the host at which it is repeated was started again", 0, NOBODY, 1, 1, "cancelled" },
  { "its host is lost", 0, 0, NOBODY, 2, "cancelled" },
  { "complete, repeated at its host", NOBODY, NOBODY, NOBODY, 0, "completed" },
};

static void
restart_host (site_rig_t *rig, int host)
{
  if (host == NOBODY)
    return;
  site_end_process (&rig->hosts[host], SIGKILL);
  site_start_host (rig, host);
  CU_ASSERT_TRUE (site_wait_until_all_ready (rig));
}

/* Submits the job with TARGET, cancels it unless CANCELLED_AT is NOBODY, and returns the answer. */
static site_response_t
run_first (const site_rig_t *rig, int cancelled_at, const char *target, const char *body)
{
  int fd = site_connect ("127.0.0.1", site_caller_port (rig, FIRST_HOST));

  site_send_request (fd, "POST", target, body, SITE_DEADLINE_MS);
  if (cancelled_at != NOBODY)
    {
      CU_ASSERT_TRUE (site_wait_for_number (rig, "running", TASKS, STARTED_WITHIN_MS));
      int status = site_call (site_caller_port (rig, cancelled_at), "DELETE", target, "").status;
      CU_ASSERT_TRUE (status == 200 || status == 410);
    }
  site_response_t answer = site_read_response (fd, clock_boot_ms () + ANSWER_TIMEOUT_MS);
  close (fd);
  CU_ASSERT_TRUE (site_wait_for_number (rig, "running", 0, STARTED_WITHIN_MS));
  clock_sleep_ms (ALL_TOLD_MS);
  return answer;
}

static void
test_repeats (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  for (int i = 0; i < (int) G_N_ELEMENTS (repeat_cases); i++)
    {
      int cancelled_at = repeat_cases[i].cancelled_at;
      char *body = site_job_body (TASKS, cancelled_at == NOBODY ? SHORT_WORK_MS : LONG_WORK_MS, "");
      char *target = g_strdup_printf ("/q/00000000000000d%d", i);

      site_response_t first = run_first (&rig, cancelled_at, target, body);
      CU_ASSERT_EQUAL (first.status, 200);
      CU_ASSERT_PTR_NOT_NULL (strstr (first.body, repeat_cases[i].state));
      if (repeat_cases[i].killed != NOBODY)
        site_end_process (&rig.hosts[repeat_cases[i].killed], SIGKILL);
      restart_host (&rig, repeat_cases[i].restarted);
      int starts = site_standin_number (&rig, "starts");
      site_response_t second =
          site_call (site_caller_port (&rig, repeat_cases[i].repeated_at), "POST", target, body);
      int again = site_standin_number (&rig, "starts") - starts;
      if (again != 0 || strcmp (first.body, second.body) != 0)
        printf ("  %s: %d starts, %d %s\n", repeat_cases[i].name, again, second.status,
                second.body);
      CU_ASSERT_EQUAL (again, 0);
      CU_ASSERT_EQUAL (second.status, 200);
      CU_ASSERT_STRING_EQUAL (second.body, first.body);
      restart_host (&rig, repeat_cases[i].killed);
      g_free (target);
      g_free (body);
    }
  site_rig_stop (&rig);
}

static const unit_test_t tests[] = {
  { "a cancelled job started again when its request was repeated", test_repeats },
};

int
main (int argc, char **argv)
{
  (void) argc;
  site_find_programs (argv[0]);
  return unit_run ("repeated requests at hosts", tests, G_N_ELEMENTS (tests));
}
