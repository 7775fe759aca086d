/* test_site_endpoints.c -- endpoints of a site: faults, missing entries, crashes, capacity */
#include "base/clock.h"
#include "tests/site_call.h"
#include "tests/site_rig.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <limits.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Long enough for crashes of several endpoints, one after the other. */
#define CRASHING_WAIT_MS 15000

/* A task that crashed the endpoints that started it was started for as long as its caller waited.
 */
static void
test_task_crashes_endpoints (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  char *body = site_job_json (1, "X20", 20, "");
  int fd = site_connect ("127.0.0.1", site_caller_port (&rig, 1));
  site_send_request (fd, "POST", "/q/0000000000000001", body, CRASHING_WAIT_MS);
  site_response_t response = site_read_response (fd, clock_boot_ms () + SITE_TEST_TIMEOUT_MS);
  if (response.status != 200 || strstr (response.body, "failed") == NULL)
    printf ("  %d %s\n", response.status, response.body);
  CU_ASSERT_EQUAL (response.status, 200);
  CU_ASSERT_PTR_NOT_NULL (strstr (response.body, "\"failed\""));
  int starts = site_standin_number (&rig, "starts");
  CU_ASSERT_TRUE (starts == 2 || starts == 3);
  close (fd);
  g_free (body);
  site_load_t load = {
    .rig = &rig, .first_job = 10, .job_count = 20, .host = -1, .tasks = 4, .work_ms = 20
  };
  site_run_load (&load);
  CU_ASSERT_EQUAL (load.completed, 20);
  site_rig_stop (&rig);
}

/* One faulty endpoint delays jobs but fails none. */
static void
test_bad_endpoints (void)
{
  static const char *const faults[] = {
    "{\"endpoint\":\"e0\",\"failing\":true}",
    "{\"endpoint\":\"e1\",\"hanging\":true}",
    "{\"endpoint\":\"e2\",\"mute\":true}",
  };
  site_rig_t rig;

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      site_rig_start (&rig);
      site_set_fault (&rig, faults[i]);
      site_load_t load = {
        .rig = &rig, .first_job = 1, .job_count = 20, .host = -1, .tasks = 4, .work_ms = 20
      };
      site_run_load (&load);
      CU_ASSERT_EQUAL (load.completed, 20);
      site_rig_stop (&rig);
    }
}

/* The log loses the entries of all endpoints, with its history, until they register again.  Running
 * tasks continue, none runs twice, and tasks of refused jobs do not run. */
static void
test_entries_removed (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  site_load_t load = {
    .rig = &rig, .first_job = 6000, .job_count = 40, .host = -1, .tasks = 3, .work_ms = 150
  };
  GThread *thread = g_thread_new ("load", site_run_load, &load);
  for (int i = 0; i < 4; i++)
    {
      clock_sleep_ms (700);
      site_post_to_standin (&rig, "/wipe");
    }
  g_thread_join (thread);
  CU_ASSERT_EQUAL (load.unanswered, 0);
  CU_ASSERT_TRUE (load.completed >= 30);
  CU_ASSERT_EQUAL (site_standin_number (&rig, "starts"), 3 * load.completed);
  CU_ASSERT_EQUAL (site_submit (&rig, 0, 6999, 3, 10).status, 200);
  site_rig_stop (&rig);
}

/* A draining endpoint gets no further tasks.  MORE adds members to the fault: with "born" the
 * endpoint has also restarted with a clock that went back, so that its entry looks older. */
static void
check_draining_endpoints (const char *more)
{
  site_rig_t rig;
  char fault[96];

  site_rig_start (&rig);
  for (int i = 1; i < SITE_ENDPOINTS; i++)
    {
      g_snprintf (fault, sizeof fault, "{\"endpoint\":\"e%d\",\"draining\":true%s}", i, more);
      site_set_fault (&rig, fault);
    }
  clock_sleep_ms (1500);
  site_load_t load = {
    .rig = &rig, .first_job = 4000, .job_count = 5, .host = -1, .tasks = 6, .work_ms = 60
  };
  site_run_load (&load);
  CU_ASSERT_EQUAL (load.completed, 5);
  /* The remaining endpoint runs three tasks at a time, so six tasks take two turns. */
  int64_t from_ms = clock_boot_ms ();
  CU_ASSERT_EQUAL (site_submit (&rig, 2, 4999, 6, 100).status, 200);
  CU_ASSERT_TRUE (clock_boot_ms () - from_ms >= 200);
  site_rig_stop (&rig);
}

static void
test_draining_endpoint (void)
{
  check_draining_endpoints ("");
}

static void
test_endpoint_clock_went_back (void)
{
  check_draining_endpoints (",\"born\":1");
}

#define BACKLOG_JOBS_MIN 4
#define BACKLOG_JOBS_MAX 12
#define BACKLOG_WORK_MS 4000
#define BACKLOG_WAIT_MS 20000
/* As many tasks wait at each of the two owners as it can run in twice BACKLOG_WORK_MS. */
#define BACKLOG_TASKS SITE_SLOTS

/* The fewest tasks that wait at one of the owners of both shards; -1 if a shard has no owner. */
static int
least_backlog (const site_rig_t *rig)
{
  int least = INT_MAX;
  int owned = 0;

  for (int host = 0; host < SITE_HOSTS; host++)
    {
      int shards = site_host_gauge (rig, host, "jaytrail_shards_owned");
      if (shards > 0)
        least = MIN (least, site_host_gauge (rig, host, "jaytrail_tasks_waiting"));
      owned += shards;
    }
  return owned == 2 ? least : -1;
}

/* Submits jobs until each owner has a backlog of BACKLOG_TASKS.  An owner gets none as long as its
 * endpoints do not answer in time, which happens where the machine has much else to do.  Returns
 * the number of jobs; FDS are their connections. */
static int
submit_backlog (const site_rig_t *rig, int *fds)
{
  char *body = site_job_body (SITE_SLOTS, BACKLOG_WORK_MS, "");
  int jobs = 0;

  while (jobs < BACKLOG_JOBS_MAX
         && (jobs < BACKLOG_JOBS_MIN || least_backlog (rig) < BACKLOG_TASKS))
    {
      char *target = g_strdup_printf ("/b/00000000000000f%x", (unsigned) jobs);
      fds[jobs] = site_connect ("127.0.0.1", site_caller_port (rig, 0));
      site_send_request (fds[jobs], "POST", target, body, BACKLOG_WAIT_MS);
      CU_ASSERT_TRUE (site_wait_for_number (rig, "running", SITE_SLOTS, 2000));
      g_free (target);
      jobs++;
      if (jobs >= BACKLOG_JOBS_MIN)
        clock_sleep_ms (500);
    }
  CU_ASSERT_TRUE (least_backlog (rig) >= BACKLOG_TASKS);
  g_free (body);
  return jobs;
}

/* Guards against a job that cannot be served in time waiting until its deadline, and against a
 * Retry-After of one second whatever the backlog.  It must be refused at once, with a Retry-After
 * that follows from the backlog. */
static void
test_backlog (void)
{
  site_rig_t rig;
  int fds[BACKLOG_JOBS_MAX];
  char *short_body = site_job_body (1, 1000, "");

  site_rig_start (&rig);
  site_put_queue (&rig, 4, "/b/", BACKLOG_WAIT_MS);
  CU_ASSERT_TRUE (site_wait_for_queue (&rig, "/b/", 2000));
  int jobs = submit_backlog (&rig, fds);
  for (int host = 0; host < 2; host++)
    {
      char *target = g_strdup_printf ("/b/00000000000000b%d", host);
      int64_t from_ms = clock_boot_ms ();
      site_response_t response =
          site_call (site_caller_port (&rig, host), "POST", target, short_body);
      CU_ASSERT_EQUAL (response.status, 503);
      CU_ASSERT_TRUE (clock_boot_ms () - from_ms < 1000);
      CU_ASSERT_TRUE (response.retry_after_s > 1);
      CU_ASSERT_PTR_NOT_NULL (strstr (response.body, "backlog"));
      g_free (target);
    }
  for (int i = 0; i < jobs; i++)
    close (fds[i]);
  g_free (short_body);
  site_rig_stop (&rig);
}

#define SLOTS_LEFT 1 /* of the three on each endpoint */
/* By then every owner knows of it, and the stand-in counts only what is left. */
#define CAPACITY_KNOWN_MS 1500

static void
set_capacity_of_all (const site_rig_t *rig, int slots_lost, bool guarded)
{
  char fault[96];

  for (int i = 0; i < SITE_ENDPOINTS; i++)
    {
      g_snprintf (fault, sizeof fault, "{\"endpoint\":\"e%d\",\"lost_room\":%d,\"unguarded\":%s}",
                  i, slots_lost, guarded ? "false" : "true");
      site_set_fault (rig, fault);
    }
}

static const struct
{
  const char *name;
  bool guarded; /* the endpoints refuse what they have no capacity for */
} capacity_cases[] = {
  { "guarded", true },
  { "not guarded", false },
};

/* Guards against endpoints whose capacity has shrunk getting as many tasks as before.  What ran
 * when it shrank is not stopped, and all of it is used again when it has grown. */
static void
test_capacity_shrinks (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (capacity_cases); i++)
    {
      site_rig_t rig;
      site_load_t full = {
        .first_job = 11000, .job_count = 1, .tasks = SITE_SLOTS, .work_ms = CAPACITY_KNOWN_MS + 300
      };
      site_load_t load = {
        .first_job = 11100, .job_count = 6, .host = -1, .tasks = 9, .work_ms = 60
      };

      printf ("  %s\n", capacity_cases[i].name);
      site_rig_start (&rig);
      full.rig = load.rig = &rig;
      GThread *thread = g_thread_new ("full", site_run_load, &full);
      CU_ASSERT_TRUE (site_wait_for_number (&rig, "running", SITE_SLOTS, 2000));
      set_capacity_of_all (&rig, 3 - SLOTS_LEFT, capacity_cases[i].guarded);
      clock_sleep_ms (CAPACITY_KNOWN_MS);
      CU_ASSERT_EQUAL (site_standin_number (&rig, "running"), SITE_SLOTS);
      g_thread_join (thread);
      CU_ASSERT_EQUAL (full.completed, 1);
      site_run_load (&load);
      CU_ASSERT_EQUAL (load.completed, load.job_count);
      CU_ASSERT_EQUAL (site_standin_number (&rig, "crowded"), 0);
      CU_ASSERT_EQUAL (site_standin_number (&rig, "refused"), 0);
      CU_ASSERT_EQUAL (site_standin_number (&rig, "starts"),
                       SITE_SLOTS + load.job_count * load.tasks);
      set_capacity_of_all (&rig, 0, capacity_cases[i].guarded);
      clock_sleep_ms (CAPACITY_KNOWN_MS);
      full.first_job = 11200;
      thread = g_thread_new ("full", site_run_load, &full);
      CU_ASSERT_TRUE (site_wait_for_number (&rig, "running", SITE_SLOTS, 2000));
      g_thread_join (thread);
      CU_ASSERT_EQUAL (full.completed, 2);
      site_rig_stop (&rig);
    }
}

static const unit_test_t tests[] = {
  { "bad endpoints", test_bad_endpoints },
  { "backlog", test_backlog },
  { "entries removed", test_entries_removed },
  { "draining endpoint", test_draining_endpoint },
  { "a task crashes endpoints", test_task_crashes_endpoints },
  { "an endpoint's clock went back", test_endpoint_clock_went_back },
  { "the capacity of endpoints shrinks", test_capacity_shrinks },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  return unit_run_named ("site, endpoints", tests, G_N_ELEMENTS (tests), argc > 1 ? argv[1] : NULL);
}
