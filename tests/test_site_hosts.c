/* test_site_hosts.c -- hosts of a site that start, stop, are killed, and find each other */
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
#include <sys/wait.h>
#include <unistd.h>

/* bounds.grace_period_s of the hosts. */
#define GRACE_MS 6000
/* Within this time endpoints write their entries anew, and hosts read them. */
#define ENTRIES_KNOWN_MS 1500

/* Every host finds every other, although its settings name only one of them.  A host that starts
 * while the log is down learns of the others from the one that it knows. */
static void
test_hosts_find_each_other (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  for (int i = 0; i < SITE_HOSTS; i++)
    CU_ASSERT_TRUE (site_wait_for_log_lines (&rig, i, "\"host_found\"", SITE_HOSTS - 1));
  site_end_process (&rig.hosts[3], SIGKILL);
  site_set_fault (&rig, "{\"log_down\":true}");
  site_start_host (&rig, 3);
  CU_ASSERT_TRUE (site_wait_for_log_lines (&rig, 3, "\"host_found\"", 2 * (SITE_HOSTS - 1)));
  site_set_fault (&rig, "{\"log_down\":false}");
  site_rig_stop (&rig);
}

/* A change of the settings, with or without a signal, interrupts no job. */
static void
test_settings_change (void)
{
  site_rig_t rig;
  char *text = NULL;

  site_rig_start (&rig);
  site_load_t load = {
    .rig = &rig, .first_job = 5000, .job_count = 60, .host = 0, .tasks = 2, .work_ms = 30
  };
  GThread *thread = g_thread_new ("load", site_run_load, &load);
  char *file = g_strdup_printf ("%s/h0.conf", rig.directory);
  char *log = g_strdup_printf ("%s/h0.log", rig.directory);
  CU_ASSERT_TRUE (g_file_get_contents (file, &text, NULL, NULL));
  char *more = g_strdup_printf ("%sanother.new=2\n", text);
  clock_sleep_ms (300);
  kill (rig.hosts[0], SIGHUP);
  clock_sleep_ms (300);
  g_file_set_contents (file, more, -1, NULL);
  clock_sleep_ms (1200);
  g_file_set_contents (file, "node_name=\n", -1, NULL);
  clock_sleep_ms (1200);
  g_thread_join (thread);
  CU_ASSERT_EQUAL (load.completed, 60);
  g_free (text);
  CU_ASSERT_TRUE (g_file_get_contents (log, &text, NULL, NULL));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "a signal"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "the file has changed"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "allowed is text that is not empty"));
  g_free (text);
  g_free (more);
  g_free (log);
  g_free (file);
  site_rig_stop (&rig);
}

/* When any host is killed the others continue at once, and it serves again once restarted. */
static void
test_host_killed (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  for (int i = 0; i < SITE_HOSTS; i++)
    {
      site_load_t load = { .rig = &rig,
                           .first_job = 1000 + i * 100,
                           .job_count = 60,
                           .host = (i + 1) % SITE_HOSTS,
                           .tasks = 4,
                           .work_ms = 30 };
      GThread *thread = g_thread_new ("load", site_run_load, &load);
      clock_sleep_ms (200);
      site_end_process (&rig.hosts[i], SIGKILL);
      g_thread_join (thread);
      CU_ASSERT_EQUAL (load.unanswered, 0);
      CU_ASSERT_TRUE (load.completed >= 57);
      site_start_host (&rig, i);
      CU_ASSERT_TRUE (site_wait_until_all_ready (&rig));
    }
  site_rig_stop (&rig);
}

/* A graceful stop interrupts no job, whether the host owns endpoints or not. */
static void
test_host_stopped (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  for (int i = 0; i < SITE_HOSTS; i++)
    {
      site_load_t own = { .rig = &rig,
                          .first_job = 2000 + i * 100,
                          .job_count = 30,
                          .host = i,
                          .tasks = 2,
                          .work_ms = 30,
                          .pause_ms = 5 };
      site_load_t other = own;
      other.first_job += 50;
      other.host = (i + 1) % SITE_HOSTS;
      GThread *threads[] = { g_thread_new ("own", site_run_load, &own),
                             g_thread_new ("other", site_run_load, &other) };
      clock_sleep_ms (300);
      kill (rig.hosts[i], SIGTERM);
      g_thread_join (threads[0]);
      g_thread_join (threads[1]);
      CU_ASSERT_EQUAL (own.completed, 30);
      CU_ASSERT_EQUAL (other.completed, 30);
      int status = -1;
      waitpid (rig.hosts[i], &status, 0);
      rig.hosts[i] = 0;
      CU_ASSERT_EQUAL (status, 0);
      site_start_host (&rig, i);
      CU_ASSERT_TRUE (site_wait_until_all_ready (&rig));
    }
  site_rig_stop (&rig);
}

/* Requests to a host that is stopped, and killed after GRACE_MS. */
static const struct
{
  const char *name;
  int64_t sent_at_ms; /* after the signal to stop */
  int work_ms;
  int wait_ms; /* how long its caller waits */
  int status;
  int64_t answer_within_ms; /* of the request */
} stop_cases[] = {
  { "before the stop, it ends late in the grace period", -300, 4700, 8000, 200, 5500 },
  { "before the stop, it takes longer than the grace period", -300, 9000, 12000, 504, 6200 },
  { "after the stop, it can end", 400, 500, 3000, 200, 3000 },
  { "after the stop, it takes longer than what is left", 500, 9000, 12000, 503, 1000 },
  { "late in the grace period, it can't end", 4000, 3000, 8000, 503, 500 },
};

typedef struct
{
  const site_rig_t *rig;
  size_t row; /* of stop_cases */
  int64_t stop_at_ms;
  site_response_t response;
  int64_t elapsed_ms;
} stop_request_t;

static void
sleep_until (int64_t at_ms)
{
  clock_sleep_ms (MAX (at_ms - clock_boot_ms (), 0));
}

static void *
send_stop_request (void *data)
{
  stop_request_t *request = data;
  char *target = g_strdup_printf ("/q/%016x", (unsigned) request->row + 0x5100);
  char *body = site_job_body (1, stop_cases[request->row].work_ms, "");

  sleep_until (request->stop_at_ms + stop_cases[request->row].sent_at_ms);
  int fd = site_connect ("127.0.0.1", site_caller_port (request->rig, 3));
  int64_t from_ms = clock_boot_ms ();
  site_send_request (fd, "POST", target, body, stop_cases[request->row].wait_ms);
  request->response = site_read_response (fd, from_ms + stop_cases[request->row].wait_ms);
  request->elapsed_ms = clock_boot_ms () - from_ms;
  close (fd);
  g_free (body);
  g_free (target);
  return NULL;
}

static void
check_stop_response (const stop_request_t *request)
{
  const site_response_t *response = &request->response;
  bool in_time = request->elapsed_ms <= stop_cases[request->row].answer_within_ms;

  if (response->status != stop_cases[request->row].status || !in_time)
    printf ("  %s: %d after %d ms %s\n", stop_cases[request->row].name, response->status,
            (int) request->elapsed_ms, response->body);
  CU_ASSERT_EQUAL (response->status, stop_cases[request->row].status);
  CU_ASSERT_TRUE (in_time);
  CU_ASSERT_TRUE (response->status != 503 || response->retry_after_s >= 1);
}

/* A host that was stopped took new jobs until it ended, and cut the connections of those that had
 * not ended by then.  Each gets a complete answer, as early as it is known. */
static void
test_stopped_with_open_jobs (void)
{
  site_rig_t rig;
  stop_request_t requests[G_N_ELEMENTS (stop_cases)];
  GThread *threads[G_N_ELEMENTS (stop_cases)];
  int status = -1;

  site_rig_start (&rig);
  int64_t stop_at_ms = clock_boot_ms () + 500;
  for (size_t i = 0; i < G_N_ELEMENTS (stop_cases); i++)
    {
      requests[i] = (stop_request_t){ .rig = &rig, .row = i, .stop_at_ms = stop_at_ms };
      threads[i] = g_thread_new ("request", send_stop_request, &requests[i]);
    }
  sleep_until (stop_at_ms);
  kill (rig.hosts[3], SIGTERM);
  waitpid (rig.hosts[3], &status, 0);
  rig.hosts[3] = 0;
  CU_ASSERT_EQUAL (status, 0);
  CU_ASSERT_TRUE (clock_boot_ms () - stop_at_ms < GRACE_MS);
  for (size_t i = 0; i < G_N_ELEMENTS (stop_cases); i++)
    {
      g_thread_join (threads[i]);
      check_stop_response (&requests[i]);
    }
  CU_ASSERT_EQUAL (site_count_lines (&rig, 3, "\"stopped\",\"jobs\":0"), 1);
  CU_ASSERT_TRUE (site_wait_for_number (&rig, "running", 0, 1000));
  site_rig_stop (&rig);
}

/* After all hosts were killed at once they serve again within 3 s of their restart. */
static void
test_all_hosts_killed (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  CU_ASSERT_EQUAL (site_submit (&rig, 0, 1, 2, 10).status, 200);
  for (int i = 0; i < SITE_HOSTS; i++)
    site_end_process (&rig.hosts[i], SIGKILL);
  for (int i = 0; i < SITE_HOSTS; i++)
    site_start_host (&rig, i);
  int64_t from_ms = clock_boot_ms ();
  while (site_submit (&rig, 1, 2, 2, 10).status != 200
         && clock_boot_ms () - from_ms < SITE_TEST_TIMEOUT_MS)
    clock_sleep_ms (20);
  CU_ASSERT_TRUE (clock_boot_ms () - from_ms < 3000);
  site_rig_stop (&rig);
}

/* The entry of the endpoint that runs tasks is missing when their owner is killed.  The next owner
 * must not take them for tasks that run nowhere. */
static void
test_owner_killed_while_entry_missing (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  clock_sleep_ms (SITE_DISCOVERY_END_MS);
  for (int killed = 2; killed >= 0; killed -= 2) /* each owner of data centre x in turn */
    {
      site_load_t load = { .rig = &rig,
                           .first_job = 7000 + killed,
                           .job_count = 1,
                           .host = 2 - killed,
                           .tasks = 3,
                           .work_ms = 1800 };
      GThread *thread = g_thread_new ("load", site_run_load, &load);
      clock_sleep_ms (200);
      site_set_fault (&rig, "{\"endpoint\":\"e0\",\"unlisted\":true}");
      site_post_to_standin (&rig, "/wipe");
      clock_sleep_ms (600);
      site_end_process (&rig.hosts[killed], SIGKILL);
      g_thread_join (thread);
      CU_ASSERT_EQUAL (load.completed, 1);
      site_set_fault (&rig, "{\"endpoint\":\"e0\",\"unlisted\":false}");
      site_start_host (&rig, killed);
      CU_ASSERT_TRUE (site_wait_until_all_ready (&rig));
      clock_sleep_ms (SITE_DISCOVERY_END_MS);
    }
  site_rig_stop (&rig);
}

/* From now on HOST finds nobody at the address of the log. */
static void
turn_away_from_log (const site_rig_t *rig, int host)
{
  char *file = g_strdup_printf ("%s/h%d.conf", rig->directory, host);
  char *text = NULL;

  CU_ASSERT_TRUE (g_file_get_contents (file, &text, NULL, NULL));
  char *more = g_strdup_printf ("%splatform.address=127.0.0.1:1\n", text);
  g_file_set_contents (file, more, -1, NULL);
  kill (rig->hosts[host], SIGHUP);
  CU_ASSERT_TRUE (site_wait_for_log_lines (rig, host, "\"log_lost\"", 1));
  g_free (more);
  g_free (text);
  g_free (file);
}

/* An endpoint registers that the next owner doesn't learn of, because the log turns it away.  Tasks
 * that run there when the owner is stopped must not be taken for tasks that run nowhere. */
static void
test_owner_stopped_after_endpoint_joined (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  site_set_fault (&rig, "{\"endpoint\":\"e0\",\"unlisted\":true}");
  site_post_to_standin (&rig, "/wipe");
  for (int i = 0; i < SITE_HOSTS; i++)
    site_end_process (&rig.hosts[i], SIGKILL);
  for (int i = 0; i < SITE_HOSTS; i++)
    site_start_host (&rig, i);
  CU_ASSERT_TRUE (site_wait_until_all_ready (&rig));
  clock_sleep_ms (SITE_DISCOVERY_END_MS);
  int owner = site_host_gauge (&rig, 0, "jaytrail_shards_owned") > 0 ? 0 : 2;
  turn_away_from_log (&rig, 2 - owner);
  /* The tasks can't start elsewhere. */
  site_set_fault (&rig, "{\"endpoint\":[\"e1\",\"e2\",\"e3\",\"e4\",\"e5\"],\"draining\":true}");
  site_set_fault (&rig, "{\"endpoint\":\"e0\",\"unlisted\":false}");
  clock_sleep_ms (ENTRIES_KNOWN_MS);
  site_load_t load = {
    .rig = &rig, .first_job = 8000, .job_count = 1, .host = 1, .tasks = 3, .work_ms = 1000
  };
  GThread *thread = g_thread_new ("load", site_run_load, &load);
  CU_ASSERT_TRUE (site_wait_for_number (&rig, "running", 3, 500));
  site_set_fault (&rig, "{\"endpoint\":[\"e1\",\"e2\",\"e3\",\"e4\",\"e5\"],\"draining\":false}");
  site_end_process (&rig.hosts[owner], SIGTERM);
  g_thread_join (thread);
  CU_ASSERT_TRUE (site_host_gauge (&rig, 2 - owner, "jaytrail_shards_owned") > 0);
  site_rig_stop (&rig);
}

static const unit_test_t tests[] = {
  { "hosts find each other", test_hosts_find_each_other },
  { "settings change", test_settings_change },
  { "host killed", test_host_killed },
  { "host stopped", test_host_stopped },
  { "a host is stopped with jobs that cannot end", test_stopped_with_open_jobs },
  { "all hosts killed", test_all_hosts_killed },
  { "an owner is killed while an entry is missing", test_owner_killed_while_entry_missing },
  { "an owner is stopped after an endpoint joined", test_owner_stopped_after_endpoint_joined },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run_named ("site, hosts", tests, G_N_ELEMENTS (tests), argc > 1 ? argv[1] : NULL);
}
