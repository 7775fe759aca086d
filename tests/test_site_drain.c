/* test_site_drain.c -- data centres of a site that are drained */
#include "base/clock.h"
#include "tests/site_call.h"
#include "tests/site_rig.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* The default of bounds.evacuation_ms. */
#define EVACUATION_MS 5000

static void
set_drain (const site_rig_t *rig, const char *data_centre, bool drained)
{
  char *target = g_strdup_printf ("/drain/%s", data_centre);

  CU_ASSERT_EQUAL (site_call (rig->port, drained ? "POST" : "DELETE", target, "").status, 200);
  g_free (target);
}

/* The number of tasks that run in data centre x or y. */
static int
running_in (const site_rig_t *rig, const char *data_centre)
{
  char *name = g_strconcat ("running_", data_centre, NULL);
  int running = site_standin_number (rig, name);

  g_free (name);
  return running;
}

static int
starts_in (const site_rig_t *rig, const char *data_centre)
{
  char *name = g_strconcat ("starts_", data_centre, NULL);
  int starts = site_standin_number (rig, name);

  g_free (name);
  return starts;
}

/* What `jaytrail drains --json ADDRESS` prints for HOST; the caller frees it. */
static char *
drains_json (const site_rig_t *rig, int host)
{
  char *command = g_strdup_printf ("%s/jaytrail drains --json 127.0.0.1:%d", site_programs (),
                                   site_caller_port (rig, host) + 1);
  char *text = NULL;

  CU_ASSERT_TRUE (g_spawn_command_line_sync (command, &text, NULL, NULL, NULL));
  g_free (command);
  return text;
}

/* From 1 s after the request no task starts in a drained data centre, its running tasks finish, and
 * other data centres take further tasks.  Within 1 s of the end of the drain it is used again. */
static void
test_drain (void)
{
  site_rig_t rig;
  /* More tasks than one data centre has room for. */
  char *body = site_job_body (10, 1500, "");

  site_rig_start (&rig);
  int fd = site_connect ("127.0.0.1", site_caller_port (&rig, 0));
  site_send_request (fd, "POST", "/q/00000000000000f1", body, 5000);
  CU_ASSERT_TRUE (site_wait_for_number (&rig, "running", 10, 2000));
  int runs = running_in (&rig, "x");
  CU_ASSERT_TRUE (runs > 0);
  site_load_t load = {
    .rig = &rig, .first_job = 7000, .job_count = 60, .host = -1, .tasks = 3, .work_ms = 20
  };
  GThread *thread = g_thread_new ("load", site_run_load, &load);
  set_drain (&rig, "x", true);
  set_drain (&rig, "nowhere", true);
  clock_sleep_ms (1000);
  int before = starts_in (&rig, "x");
  CU_ASSERT_EQUAL (running_in (&rig, "x"), runs);
  char *page = drains_json (&rig, 1);
  CU_ASSERT_TRUE (page != NULL && strstr (page, "\"data_centre\":\"x\"") != NULL);
  CU_ASSERT_TRUE (page != NULL && strstr (page, "\"data_centre\":\"nowhere\"") != NULL);
  g_free (page);
  site_response_t response = site_read_response (fd, clock_boot_ms () + SITE_TEST_TIMEOUT_MS);
  CU_ASSERT_EQUAL (response.status, 200);
  CU_ASSERT_PTR_NOT_NULL (strstr (response.body, "completed"));
  g_thread_join (thread);
  CU_ASSERT_EQUAL (load.completed, 60);
  CU_ASSERT_EQUAL (starts_in (&rig, "x"), before);
  for (int i = 0; i < SITE_HOSTS; i++)
    CU_ASSERT_TRUE (site_is_ready (&rig, i));
  set_drain (&rig, "x", false);
  int64_t until_ms = clock_boot_ms () + 1000;
  for (int i = 0; starts_in (&rig, "x") == before && clock_boot_ms () < until_ms; i++)
    site_submit (&rig, 0, 7900 + i, 6, 10);
  CU_ASSERT_TRUE (starts_in (&rig, "x") > before);
  close (fd);
  g_free (body);
  site_rig_stop (&rig);
}

/* With all data centres drained a job is refused at once, with a Retry-After header, and none of
 * its tasks starts. */
static void
test_drain_of_all (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  CU_ASSERT_EQUAL (site_submit (&rig, 0, 1, 2, 10).status, 200);
  set_drain (&rig, "x", true);
  set_drain (&rig, "y", true);
  clock_sleep_ms (1000);
  int before = site_standin_number (&rig, "starts");
  for (int i = 0; i < SITE_HOSTS; i++)
    {
      CU_ASSERT_TRUE (site_is_ready (&rig, i));
      int64_t from_ms = clock_boot_ms ();
      site_response_t response = site_submit (&rig, i, 10 + i, 2, 10);
      CU_ASSERT_EQUAL (response.status, 503);
      CU_ASSERT_TRUE (response.retry_after_s >= 1);
      CU_ASSERT_TRUE (clock_boot_ms () - from_ms < 100);
    }
  CU_ASSERT_EQUAL (site_standin_number (&rig, "starts"), before);
  set_drain (&rig, "x", false);
  set_drain (&rig, "y", false);
  int64_t from_ms = clock_boot_ms ();
  while (site_submit (&rig, 2, 20, 6, 10).status != 200
         && clock_boot_ms () - from_ms < SITE_TEST_TIMEOUT_MS)
    clock_sleep_ms (10);
  CU_ASSERT_TRUE (clock_boot_ms () - from_ms < 1000);
  /* A drain that begins and ends within a second leaves the service unchanged. */
  set_drain (&rig, "x", true);
  clock_sleep_ms (300);
  set_drain (&rig, "x", false);
  clock_sleep_ms (1000);
  before = starts_in (&rig, "x");
  CU_ASSERT_EQUAL (site_submit (&rig, 0, 30, 18, 10).status, 200);
  CU_ASSERT_TRUE (starts_in (&rig, "x") > before);
  site_rig_stop (&rig);
}

/* While the log is down a drain stays in effect, and a host that starts learns of it from another.
 * The end of the drain takes effect once the log is back, even if the log has lost its history. */
static void
test_drain_while_log_down (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  set_drain (&rig, "x", true);
  for (int i = 0; i < SITE_HOSTS; i++)
    CU_ASSERT_TRUE (site_wait_for_log_lines (&rig, i, "\"drain_begun\"", 1));
  site_set_fault (&rig, "{\"log_down\":true}");
  site_end_process (&rig.hosts[3], SIGKILL);
  site_start_host (&rig, 3);
  CU_ASSERT_TRUE (site_wait_for_log_lines (&rig, 3, "\"drain_begun\"", 2));
  CU_ASSERT_TRUE (site_wait_until_all_ready (&rig));
  int before = starts_in (&rig, "x");
  site_load_t load = {
    .rig = &rig, .first_job = 8000, .job_count = 20, .host = -1, .tasks = 3, .work_ms = 20
  };
  site_run_load (&load);
  CU_ASSERT_EQUAL (load.completed, 20);
  CU_ASSERT_EQUAL (starts_in (&rig, "x"), before);
  set_drain (&rig, "x", false);
  site_post_to_standin (&rig, "/forget");
  clock_sleep_ms (500);
  CU_ASSERT_EQUAL (site_count_lines (&rig, 0, "\"drain_ended\""), 0);
  site_set_fault (&rig, "{\"log_down\":false}");
  for (int i = 0; i < SITE_HOSTS; i++)
    CU_ASSERT_TRUE (site_wait_for_log_lines (&rig, i, "\"drain_ended\"", 1));
  site_rig_stop (&rig);
}

/* Each of these functions drains data centre x while the hosts cannot learn of it as usual. */
static void
drain_while_log_slow (site_rig_t *rig)
{
  site_set_fault (rig, "{\"log_slow_ms\":1000}");
  clock_sleep_ms (1500);
  set_drain (rig, "x", true);
  clock_sleep_ms (EVACUATION_MS);
}

static void
drain_while_suspended (site_rig_t *rig)
{
  for (int i = 0; i < SITE_HOSTS; i++)
    kill (rig->hosts[i], SIGSTOP);
  set_drain (rig, "x", true);
  clock_sleep_ms (EVACUATION_MS);
  for (int i = 0; i < SITE_HOSTS; i++)
    kill (rig->hosts[i], SIGCONT);
}

static void
drain_while_down (site_rig_t *rig)
{
  for (int i = 0; i < SITE_HOSTS; i++)
    site_end_process (&rig->hosts[i], SIGKILL);
  set_drain (rig, "x", true);
  for (int i = 0; i < SITE_HOSTS; i++)
    site_start_host (rig, i);
}

/* The hosts of x, one of which owns its endpoints, can reach other hosts but not the log. */
static void
drain_while_cut_off (site_rig_t *rig)
{
  for (int i = 0; i < SITE_HOSTS; i += 2)
    {
      char *file = g_strdup_printf ("%s/h%d.conf", rig->directory, i);
      char *text = NULL;
      CU_ASSERT_TRUE (g_file_get_contents (file, &text, NULL, NULL));
      char *changed = g_strdup_printf ("%splatform.address=127.0.0.1:1\n", text);
      g_file_set_contents (file, changed, -1, NULL);
      kill (rig->hosts[i], SIGHUP);
      CU_ASSERT_TRUE (site_wait_for_log_lines (rig, i, "\"log_lost\"", 1));
      g_free (changed);
      g_free (text);
      g_free (file);
    }
  set_drain (rig, "x", true);
  clock_sleep_ms (1000);
}

static const struct
{
  const char *name;
  void (*run) (site_rig_t *rig);
} late_drain_cases[] = {
  { "the hosts of the data centre cannot reach the log", drain_while_cut_off },
  { "the log is slow", drain_while_log_slow },
  { "all hosts are suspended", drain_while_suspended },
  { "all hosts start", drain_while_down },
};

/* No task starts in a drained data centre after the time limit, not even by hosts that learn of the
 * drain late: a host that was suspended or has just started asks for the drains before it starts
 * any task. */
static void
test_drain_takes_effect_in_time (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (late_drain_cases); i++)
    {
      site_rig_t rig;

      site_rig_start (&rig);
      CU_ASSERT_EQUAL (site_submit (&rig, 0, 1, 10, 10).status, 200);
      late_drain_cases[i].run (&rig);
      int before = starts_in (&rig, "x");
      CU_ASSERT_TRUE (before >= 0);
      int64_t until_ms = clock_boot_ms () + SITE_TEST_TIMEOUT_MS;
      for (int k = 0; k < 20 && clock_boot_ms () < until_ms;)
        k += site_submit (&rig, k % SITE_HOSTS, 100 + k, 3, 20).status == 200;
      CU_ASSERT_TRUE (clock_boot_ms () < until_ms);
      if (before < 0 || clock_boot_ms () >= until_ms || starts_in (&rig, "x") != before)
        printf ("  %s: %d\n", late_drain_cases[i].name, before);
      CU_ASSERT_EQUAL (starts_in (&rig, "x"), before);
      site_rig_stop (&rig);
    }
}

static const unit_test_t tests[] = {
  { "drain", test_drain },
  { "drain of all", test_drain_of_all },
  { "drain in time", test_drain_takes_effect_in_time },
  { "drain while the log is down", test_drain_while_log_down },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run_named ("site, drains", tests, G_N_ELEMENTS (tests), argc > 1 ? argv[1] : NULL);
}
