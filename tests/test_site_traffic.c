/* test_site_traffic.c -- traffic of hosts as processes: metrics by kind, and the event `traffic` */
#include "base/clock.h"
#include "base/traffic.h"
#include "tests/site_rig.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define JOBS 24
#define TASKS 3
/* By then all frames about the ended jobs have arrived. */
#define SETTLED_MS 500
/* Less than the gap from which a host takes itself for suspended. */
#define DELAY_MS 300
#define DELAY_MIN_MS 250
#define NOTICED_MS 5000
/* A start order or a poll is not unsent for long; a full link leaves more. */
#define CALLS_UNSENT_MAX_BYTES 16384

/* The sum of the metric NAME of KIND over all hosts; each must have it. */
static int64_t
sum_of (const site_rig_t *rig, const char *name, const char *kind)
{
  int64_t sum = 0;
  char *full = g_strdup_printf ("%s{kind=\"%s\"}", name, kind);

  for (int i = 0; i < SITE_HOSTS; i++)
    {
      int value = site_host_gauge (rig, i, full);
      if (value < 0)
        printf ("\n  host %d has no %s\n", i, full);
      CU_ASSERT_TRUE (value >= 0);
      sum += value;
    }
  g_free (full);
  return sum;
}

static void
check_all_kinds_are_there (const site_rig_t *rig)
{
  static const char *const names[] = { "jaytrail_sent_bytes_total", "jaytrail_sent_messages_total",
                                       "jaytrail_received_bytes_total",
                                       "jaytrail_received_messages_total" };

  for (int kind = 0; kind < TRAFFIC_KINDS; kind++)
    for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
      sum_of (rig, names[i], traffic_kind_name ((traffic_kind_t) kind));
  for (int kind = TRAFFIC_ENDPOINT_FIRST; kind <= TRAFFIC_ENDPOINT_LAST; kind++)
    sum_of (rig, "jaytrail_endpoint_calls_unanswered_total",
            traffic_kind_name ((traffic_kind_t) kind));
}

/* What hosts receive from each other is what they have sent; frames on a connection that broke may
 * be missing. */
static void
check_frames_agree (const site_rig_t *rig, const char *kind)
{
  int64_t sent = sum_of (rig, "jaytrail_sent_messages_total", kind);
  int64_t sent_bytes = sum_of (rig, "jaytrail_sent_bytes_total", kind);
  int64_t received = sum_of (rig, "jaytrail_received_messages_total", kind);
  int64_t received_bytes = sum_of (rig, "jaytrail_received_bytes_total", kind);

  CU_ASSERT_TRUE (received > 0);
  CU_ASSERT_TRUE (received <= sent);
  CU_ASSERT_TRUE (received_bytes <= sent_bytes);
  if (received == sent)
    CU_ASSERT_EQUAL (received_bytes, sent_bytes);
}

static void
test_metrics (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  site_load_t load = {
    .rig = &rig, .first_job = 100, .job_count = JOBS, .host = -1, .tasks = TASKS, .work_ms = 10
  };
  site_run_load (&load);
  CU_ASSERT_TRUE (load.completed >= JOBS / 2);
  CU_ASSERT_EQUAL (load.unanswered, 0);
  clock_sleep_ms (SETTLED_MS);
  check_all_kinds_are_there (&rig);
  check_frames_agree (&rig, "submit");
  check_frames_agree (&rig, "task_ends");
  CU_ASSERT_EQUAL (sum_of (&rig, "jaytrail_received_messages_total", "caller"), JOBS);
  CU_ASSERT_EQUAL (sum_of (&rig, "jaytrail_sent_messages_total", "caller"), JOBS);
  CU_ASSERT_TRUE (sum_of (&rig, "jaytrail_sent_messages_total", "start")
                  >= site_standin_number (&rig, "starts"));
  CU_ASSERT_TRUE (sum_of (&rig, "jaytrail_received_bytes_total", "poll") > 0);
  CU_ASSERT_TRUE (sum_of (&rig, "jaytrail_received_bytes_total", "log") > 0);
  CU_ASSERT_TRUE (sum_of (&rig, "jaytrail_sent_messages_total", "heartbeat") > 0);
  int connections = 0;
  for (int i = 0; i < SITE_HOSTS; i++)
    {
      CU_ASSERT_TRUE (site_host_gauge (&rig, i, "jaytrail_unsent_bytes") >= 0);
      CU_ASSERT_TRUE (site_host_gauge (&rig, i, "jaytrail_loop_delay_ms") >= 0);
      connections += MAX (site_host_gauge (&rig, i, "jaytrail_endpoint_connections_total"), 0);
    }
  CU_ASSERT_TRUE (connections >= SITE_ENDPOINTS);
  site_rig_stop (&rig);
}

/* The largest value of FIELD in the events `traffic` of HOST; -1 if there are none.  If NONZERO is
 * not NULL, only those events count in which that field is not 0. */
static int64_t
largest_in_events (const site_rig_t *rig, int host, const char *field, const char *nonzero)
{
  char *name = g_strdup_printf ("%s/h%d.log", rig->directory, host);
  char *text = NULL;
  int64_t largest = -1;

  CU_ASSERT_TRUE_FATAL (g_file_get_contents (name, &text, NULL, NULL));
  char **lines = g_strsplit (text, "\n", -1);
  /* What follows the last line break is not yet written in full. */
  for (guint i = 0; i + 1 < g_strv_length (lines); i++)
    {
      json_object *value = NULL;
      json_object *line = json_tokener_parse (lines[i]);
      bool counts = strstr (lines[i], "\"event\":\"traffic\"") != NULL;
      if (counts && nonzero != NULL)
        counts =
            json_object_object_get_ex (line, nonzero, &value) && json_object_get_int64 (value) != 0;
      if (counts && json_object_object_get_ex (line, field, &value))
        largest = MAX (largest, json_object_get_int64 (value));
      json_object_put (line);
    }
  g_strfreev (lines);
  g_free (text);
  g_free (name);
  return largest;
}

/* Returns the largest of all hosts. */
static int64_t
largest_of_all (const site_rig_t *rig, const char *field, const char *nonzero)
{
  int64_t largest = -1;

  for (int i = 0; i < SITE_HOSTS; i++)
    largest = MAX (largest, largest_in_events (rig, i, field, nonzero));
  return largest;
}

static void
test_late_loop (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  kill (rig.hosts[0], SIGSTOP);
  clock_sleep_ms (DELAY_MS);
  kill (rig.hosts[0], SIGCONT);
  int64_t until_ms = clock_boot_ms () + NOTICED_MS;
  int delay_ms = -1;
  while (delay_ms < DELAY_MIN_MS && clock_boot_ms () < until_ms)
    delay_ms = site_host_gauge (&rig, 0, "jaytrail_loop_delay_ms");
  CU_ASSERT_TRUE (delay_ms >= DELAY_MIN_MS);
  while (largest_in_events (&rig, 0, "loop_delay_ms", NULL) < DELAY_MIN_MS
         && clock_boot_ms () < until_ms)
    clock_sleep_ms (20);
  CU_ASSERT_TRUE (largest_in_events (&rig, 0, "loop_delay_ms", NULL) >= DELAY_MIN_MS);
  site_rig_stop (&rig);
}

static void
set_mute (const site_rig_t *rig, bool mute)
{
  for (int i = 0; i < SITE_ENDPOINTS; i++)
    {
      char *fault =
          g_strdup_printf ("{\"endpoint\":\"e%d\",\"mute\":%s}", i, mute ? "true" : "false");
      site_set_fault (rig, fault);
      g_free (fault);
    }
}

/* Endpoints that do not answer leave unanswered calls, but no bytes that wait on the host's link.
 */
static void
test_silent_endpoints (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  clock_sleep_ms (SITE_DISCOVERY_END_MS);
  site_load_t load = {
    .rig = &rig, .first_job = 300, .job_count = 2, .host = -1, .tasks = TASKS, .work_ms = 200
  };
  set_mute (&rig, true);
  GThread *thread = g_thread_new ("load", site_run_load, &load);
  int64_t until_ms = clock_boot_ms () + NOTICED_MS;
  while (largest_of_all (&rig, "unanswered", NULL) < 1 && clock_boot_ms () < until_ms)
    clock_sleep_ms (20);
  CU_ASSERT_TRUE (largest_of_all (&rig, "unanswered", NULL) >= 1);
  CU_ASSERT_TRUE (largest_of_all (&rig, "unsent_bytes", "unanswered") < CALLS_UNSENT_MAX_BYTES);
  set_mute (&rig, false);
  g_thread_join (thread);
  site_rig_stop (&rig);
}

static const struct
{
  const char *name;
  CU_TestFunc run;
} tests[] = {
  { "metrics by kind", test_metrics },
  { "a loop that is late", test_late_loop },
  { "silent endpoints", test_silent_endpoints },
};

int
main (int argc, char **argv)
{
  (void) argc;
  site_find_programs (argv[0]);
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("traffic of hosts", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (tests); i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
