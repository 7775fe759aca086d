/* test_site_entries.c -- odd entries among those of the endpoints, with hosts as processes
 *
 * The test is another writer: it leaves odd entries in the directory while hosts read it.  No host
 * may end or stop reading, the other endpoints must be used, and the runs of an endpoint must go on
 * while its own entry is odd.
 */
#include "base/clock.h"
#include "tests/site_rig.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#define DEEP_LEVELS 10000
#define LARGE_BYTES (1024 * 1024)
/* More than a page of a listing, with keys that sort before those of the endpoints. */
#define PAGE_ENTRIES 520
#define LEASE_MS 1000 /* of the hosts */
#define RUN_MS 2000
#define FOUND_TIMEOUT_MS 5000
#define E0_FOUND "\"endpoint_found\",\"endpoint\":\"e0\""

/* --- odd entries --- */

#define ENTRY(address, cores, more)                                                                \
  "{\"service\":\"s\",\"address\":\"" address "\",\"zone\":\"x\",\"state\":\"ready\","             \
  "\"free_capacity\":{\"cpu_millis\":" cores                                                       \
  ",\"mem_mb\":32768,\"gpus\":0},\"labels\":[\"a\",\"r-x\"],\"sequence\":4" more "}"

static const struct
{
  const char *id; /* percent-encoded */
  const char *data;
} odd_entries[] = {
  { "o-text", "gone" },
  { "o-bytes", "\xff\xfe\x80{" },
  { "o-port", ENTRY ("127.0.0.1:99999", "3000", "") },
  { "o-port-zero", ENTRY ("127.0.0.1:0", "3000", "") },
  { "o-host-name", ENTRY ("server.example:8444", "3000", "") },
  { "o-no-address", ENTRY ("", "3000", "") },
  { "o-large", ENTRY ("127.0.0.1:1", "1e400", "") },
  { "o-nan", ENTRY ("127.0.0.1:1", "NaN", "") },
  { "o-born", ENTRY ("127.0.0.1:1", "3000", ",\"born\":9223372036854775808") },
  { "o-born-text", ENTRY ("127.0.0.1:1", "3000", ",\"born\":\"now\"") },
  { "o%0d%0aX-Other:%201", ENTRY ("127.0.0.1:1", "3000", "") },
  { "o%22%5c", "{}" },
  { "o%ff%fe", ENTRY ("127.0.0.1:1", "3000", "") },
};

static void
put_entry (const site_rig_t *rig, const char *id, const char *data)
{
  char *target = g_strconcat ("/entry/", id, NULL);

  CU_ASSERT_EQUAL (site_call (rig->port, "POST", target, data).status, 200);
  g_free (target);
}

static void
put_deep_entry (const site_rig_t *rig, const char *id)
{
  char *levels = g_strnfill (DEEP_LEVELS, '[');
  char *data = g_strconcat ("{\"service\":", levels, NULL);

  put_entry (rig, id, data);
  g_free (data);
  g_free (levels);
}

static void
put_large_entry (const site_rig_t *rig, const char *id)
{
  char *text = g_strnfill (LARGE_BYTES, 'k');
  char *data = g_strdup_printf ("{\"service\":\"%s\"}", text);

  put_entry (rig, id, data);
  g_free (data);
  g_free (text);
}

/* Returns how many there are. */
static int
put_odd_entries (const site_rig_t *rig)
{
  int count = (int) G_N_ELEMENTS (odd_entries);

  for (int i = 0; i < count; i++)
    put_entry (rig, odd_entries[i].id, odd_entries[i].data);
  put_deep_entry (rig, "o-deep");
  put_large_entry (rig, "o-of-a-megabyte");
  return count + 2;
}

/* --- checks --- */

static void
check_hosts_run (const site_rig_t *rig)
{
  for (int i = 0; i < SITE_HOSTS; i++)
    {
      CU_ASSERT_EQUAL (waitpid (rig->hosts[i], NULL, WNOHANG), 0);
      CU_ASSERT_TRUE (site_is_ready (rig, i));
    }
}

static void
check_log_is_json (const site_rig_t *rig, int host)
{
  char *name = g_strdup_printf ("%s/h%d.log", rig->directory, host);
  char *text = NULL;

  CU_ASSERT_TRUE_FATAL (g_file_get_contents (name, &text, NULL, NULL));
  CU_ASSERT_TRUE (g_utf8_validate (text, -1, NULL));
  char **lines = g_strsplit (text, "\n", -1);
  /* What follows the last line break is not yet written in full. */
  for (guint i = 0; i + 1 < g_strv_length (lines); i++)
    {
      json_object *line = json_tokener_parse (lines[i]);
      CU_ASSERT_PTR_NOT_NULL (line);
      json_object_put (line);
    }
  g_strfreev (lines);
  g_free (text);
  g_free (name);
}

static void
check_jobs_are_answered (const site_rig_t *rig, int first_job)
{
  site_load_t load = {
    .rig = rig, .first_job = first_job, .job_count = 12, .host = -1, .tasks = 3, .work_ms = 20
  };

  site_run_load (&load);
  CU_ASSERT_EQUAL (load.completed, 12);
}

static void
set_listed (const site_rig_t *rig, const char *endpoint, bool listed)
{
  char *fault = g_strdup_printf ("{\"endpoint\":\"%s\",\"unlisted\":%s}", endpoint,
                                 listed ? "false" : "true");

  site_set_fault (rig, fault);
  g_free (fault);
}

/* --- cases --- */

/* Odd entries are written while hosts read: an endpoint that is listed after them is found by all
 * hosts, and used. */
static void
test_odd_records (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  set_listed (&rig, "e5", false);
  put_entry (&rig, "e5", "");
  for (int i = 0; i < SITE_HOSTS; i++)
    CU_ASSERT_TRUE (site_wait_for_log_lines (&rig, i, "\"endpoint_gone\",\"endpoint\":\"e5\"", 1));
  int odd = put_odd_entries (&rig);
  set_listed (&rig, "e5", true);
  for (int i = 0; i < SITE_HOSTS; i++)
    {
      CU_ASSERT_TRUE (
          site_wait_for_log_lines (&rig, i, "\"endpoint_found\",\"endpoint\":\"e5\"", 2));
      CU_ASSERT_TRUE (site_wait_for_log_lines (&rig, i, "\"endpoint_invalid\"", odd));
      CU_ASSERT_EQUAL (site_count_lines (&rig, i, "\"endpoint_found\",\"endpoint\":\"o"), 0);
      CU_ASSERT_EQUAL (site_count_lines (&rig, i, "\"endpoint\":\"e"), SITE_ENDPOINTS + 2);
      check_log_is_json (&rig, i);
    }
  check_jobs_are_answered (&rig, 1);
  check_hosts_run (&rig);
  site_rig_stop (&rig);
}

/* Hosts that start list a page of odd entries before those of the endpoints. */
static void
test_page_of_odd_entries (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  for (int i = 0; i < PAGE_ENTRIES; i++)
    {
      char *id = g_strdup_printf ("a%03d", i);
      put_entry (&rig, id, odd_entries[(size_t) i % G_N_ELEMENTS (odd_entries)].data);
      g_free (id);
    }
  put_odd_entries (&rig);
  for (int host = 2; host < SITE_HOSTS; host++)
    {
      int found = site_count_lines (&rig, host, "\"endpoint_found\"");
      site_end_process (&rig.hosts[host], SIGKILL);
      site_start_host (&rig, host);
      CU_ASSERT_TRUE (
          site_wait_for_log_lines (&rig, host, "\"endpoint_found\"", found + SITE_ENDPOINTS));
    }
  CU_ASSERT_TRUE (site_wait_until_all_ready (&rig));
  check_jobs_are_answered (&rig, 1);
  check_hosts_run (&rig);
  site_rig_stop (&rig);
}

static const struct
{
  const char *name;
  const char *data; /* NULL: a deep one */
} overwriting_cases[] = {
  { "text", "gone" },
  { "port 99999", ENTRY ("127.0.0.1:99999", "3000", "") },
  { "a large number", ENTRY ("127.0.0.1:1", "1e400", "") },
  { "a start of another type", ENTRY ("127.0.0.1:1", "3000", ",\"born\":\"now\"") },
  { "deeply nested", NULL },
};

typedef struct
{
  const site_rig_t *rig;
  int job;
  int status;
} long_job_t;

static void *
run_long_job (void *data)
{
  long_job_t *job = data;

  job->status = site_submit (job->rig, 0, job->job, SITE_SLOTS, RUN_MS).status;
  return NULL;
}

/* Runs a job that fills all endpoints.  Its runs on e0 go on while e0's entry is odd for longer
 * than their lease; after the mend a job that needs e0 runs too. */
static void
check_overwritten_entry (const site_rig_t *rig, int number, const char *data)
{
  long_job_t job = { .rig = rig, .job = number + 1 };
  int starts = site_standin_number (rig, "starts");
  int found = site_count_lines (rig, 0, E0_FOUND);
  GThread *caller = g_thread_new ("job", run_long_job, &job);

  CU_ASSERT_TRUE (site_wait_for_number (rig, "running", SITE_SLOTS, SITE_TEST_TIMEOUT_MS));
  set_listed (rig, "e0", false);
  if (data != NULL)
    put_entry (rig, "e0", data);
  else
    put_deep_entry (rig, "e0");
  clock_sleep_ms (LEASE_MS + LEASE_MS / 5);
  CU_ASSERT_EQUAL (site_standin_number (rig, "running"), SITE_SLOTS);
  set_listed (rig, "e0", true);
  g_thread_join (caller);
  CU_ASSERT_EQUAL (job.status, 200);
  CU_ASSERT_EQUAL (site_standin_number (rig, "starts"), starts + SITE_SLOTS);
  CU_ASSERT_TRUE (site_wait_for_log_lines (rig, 0, E0_FOUND, found + 1));
}

static void
test_overwritten_entry (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  for (int i = 0; i < (int) G_N_ELEMENTS (overwriting_cases); i++)
    {
      unsigned before = CU_get_number_of_failures ();
      check_overwritten_entry (&rig, i, overwriting_cases[i].data);
      if (CU_get_number_of_failures () != before)
        printf ("\n  overwritten by: %s", overwriting_cases[i].name);
    }
  /* After the last mend the capacity of e0 is there once more. */
  long_job_t job = { .rig = &rig, .job = 1000 };
  GThread *caller = g_thread_new ("job", run_long_job, &job);
  CU_ASSERT_TRUE (site_wait_for_number (&rig, "running", SITE_SLOTS, FOUND_TIMEOUT_MS));
  g_thread_join (caller);
  CU_ASSERT_EQUAL (job.status, 200);
  check_hosts_run (&rig);
  site_rig_stop (&rig);
}

/* An entry that names another data centre does not give e0 two owners. */
static void
test_other_data_centre (void)
{
  site_rig_t rig;

  site_rig_start (&rig);
  char *data = g_strdup_printf ("{\"service\":\"s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"y\","
                                "\"state\":\"ready\",\"free_capacity\":{\"cpu_millis\":3000,"
                                "\"mem_mb\":3072,\"gpus\":0},\"sequence\":4}",
                                rig.port + 1);
  check_overwritten_entry (&rig, 0, data);
  check_jobs_are_answered (&rig, 100);
  for (int i = 0; i < SITE_HOSTS; i++)
    CU_ASSERT_EQUAL (site_count_lines (&rig, i, "\"endpoint_shut_out\""), 0);
  check_hosts_run (&rig);
  site_rig_stop (&rig);
  g_free (data);
}

static const unit_test_t tests[] = {
  { "odd records", test_odd_records },
  { "a page of odd entries", test_page_of_odd_entries },
  { "an entry is overwritten and mended", test_overwritten_entry },
  { "an entry names another data centre", test_other_data_centre },
};

/* usage: test_site_entries [CASE] */
int
main (int argc, char **argv)
{
  site_find_programs (argv[0]);
  return unit_run_named ("entries with hosts", tests, G_N_ELEMENTS (tests),
                         argc > 1 ? argv[1] : NULL);
}
