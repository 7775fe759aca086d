/* site_rig.c -- a stand-in of the platform and hosts as processes, for tests of the daemon */
#include "tests/site_rig.h"

#include "base/clock.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define PORTS_PER_HOST 3
#define QUEUE_TIMEOUT_MS 3000
#define LEASE_MS 1000

/* Each rig uses the first ports of its block for the stand-in, and those from FIRST_HOST_PORT on
 * for the hosts. */
static const port_range_t rig_ports = { .first_port = 30000, .ports = 150, .blocks = 18 };
#define FIRST_HOST_PORT 100

static const site_limits_t no_limits;
static char *programs; /* the directory with jaytraild and fake_site */

void
site_find_programs (const char *program)
{
  char *own = g_path_get_dirname (program);

  programs = g_build_filename (own, "..", NULL);
  g_free (own);
}

const char *
site_programs (void)
{
  return programs;
}

int
site_caller_port (const site_rig_t *rig, int host)
{
  return rig->port + FIRST_HOST_PORT + host * PORTS_PER_HOST;
}

/* --- calls --- */

/* A number in the JSON statistics of the stand-in. */
int
site_standin_number (const site_rig_t *rig, const char *name)
{
  return site_json_number (site_call (rig->port, "GET", "/seen", "").body, name);
}

bool
site_wait_for_number (const site_rig_t *rig, const char *name, int value, int64_t within_ms)
{
  int64_t until_ms = clock_boot_ms () + within_ms;

  while (clock_boot_ms () < until_ms)
    {
      if (site_standin_number (rig, name) == value)
        return true;
      clock_sleep_ms (10);
    }
  return false;
}

char *
site_job_body (int tasks, int work_ms, const char *more)
{
  char *spec = g_strdup_printf ("%d", work_ms);
  char *body = site_job_json (tasks, spec, work_ms, more);

  g_free (spec);
  return body;
}

site_response_t
site_submit (const site_rig_t *rig, int host, int job, int tasks, int work_ms)
{
  char *target = g_strdup_printf ("/q/%016x", (unsigned) job);
  char *body = site_job_body (tasks, work_ms, "");
  site_response_t response = site_call (site_caller_port (rig, host), "POST", target, body);

  g_free (target);
  g_free (body);
  return response;
}

/* --- processes --- */

/* The lines of the settings that name the limits of a host.  The caller frees them. */
static char *
limit_lines (const site_limits_t *limits)
{
  GString *lines = g_string_new ("");

  if (limits->memory_mb > 0)
    g_string_append_printf (lines, "limits.memory_mb=%d\n", limits->memory_mb);
  if (limits->max_open_files > 0)
    g_string_append_printf (lines, "limits.max_open_files=%d\n", limits->max_open_files);
  return g_string_free (lines, FALSE);
}

void
site_start_host (site_rig_t *rig, int host)
{
  char *limits = limit_lines (&rig->limits);
  char *settings = g_strdup_printf ("%s/h%d.conf", rig->directory, host);
  char *log = g_strdup_printf ("%s/h%d.log", rig->directory, host);
  int port = site_caller_port (rig, host);
  char *text = g_strdup_printf (
      "node_name=h%d\nzone=%s\nlisten_addrs.frontend=127.0.0.1:%d\nlisten_addrs.ready="
      "127.0.0.1:%d\nlisten_addrs.control_plane=127.0.0.1:%d\nseed_nodes=127.0.0.1:%d\n"
      "platform.address=127.0.0.1:%d\nbounds.max_hold_ms=%d\nbounds.stop_timeout_ms=50\n"
      "bounds.grace_period_s=6\nbounds.retransmit_ms=1300\nbounds.config_apply_ms=2000\n"
      "limits.cpu_fraction=0.25\nsomething.new=1\n%s",
      host, host % 2 == 0 ? "x" : "y", port, port + 1, port + 2, site_caller_port (rig, 0) + 2,
      rig->port, LEASE_MS, limits);
  char *program = g_strdup_printf ("%s/jaytraild", programs);
  char *argv[] = { program, "--site", NULL };

  g_file_set_contents (settings, text, -1, NULL);
  rig->hosts[host] = site_run_with_files (argv, settings, log, rig->limits.kernel_max_files);
  g_free (program);
  g_free (limits);
  g_free (text);
  g_free (log);
  g_free (settings);
}

void
site_put_queue (const site_rig_t *rig, int version, const char *prefix, int timeout_ms)
{
  char *body = g_strdup_printf (
      "{\"version\":%d,\"routes\":[{\"name\":\"r\",\"host\":\"" SITE_CALL_QUEUE_HOST
      "\",\"path_prefix\":\"%s\",\"timeout_ms\":%d,\"target_latency_ms\":60,\"priority\":0,"
      "\"service\":\"s\",\"max_attempts\":3,\"stretch_factor\":1.6}],\"services\":[],"
      "\"limits\":{}}",
      version, prefix, timeout_ms);

  site_call (rig->port, "POST", "/config", body);
  g_free (body);
}

void
site_put_queue_prefix (const site_rig_t *rig, int version, const char *prefix)
{
  site_put_queue (rig, version, prefix, QUEUE_TIMEOUT_MS);
}

int
site_status_of_get (const site_rig_t *rig, int host, const char *prefix)
{
  char *target = g_strdup_printf ("%s00000000000000d1", prefix);
  int status = site_call (site_caller_port (rig, host), "GET", target, "").status;

  g_free (target);
  return status;
}
bool
site_wait_for_queue (const site_rig_t *rig, const char *prefix, int64_t within_ms)
{
  int64_t until_ms = clock_boot_ms () + within_ms;

  for (int i = 0; i < SITE_HOSTS; i++)
    while (site_status_of_get (rig, i, prefix) != 410)
      {
        if (clock_boot_ms () > until_ms)
          return false;
        clock_sleep_ms (10);
      }
  return true;
}

bool
site_is_ready (const site_rig_t *rig, int host)
{
  return site_call (site_caller_port (rig, host) + 1, "GET", "/readyz", "").status == 200;
}

bool
site_wait_until_all_ready (const site_rig_t *rig)
{
  int64_t until_ms = clock_boot_ms () + SITE_TEST_TIMEOUT_MS;

  for (int i = 0; i < SITE_HOSTS; i++)
    while (!site_is_ready (rig, i))
      {
        if (clock_boot_ms () > until_ms)
          return false;
        clock_sleep_ms (20);
      }
  return true;
}

static void
start_rig (site_rig_t *rig, int endpoints, bool ledger, const site_limits_t *limits)
{
  *rig = (site_rig_t){ .limits = *limits, .failures_before = CU_get_number_of_failures () };
  CU_ASSERT_EQUAL_FATAL (port_block_take (&rig_ports, &rig->ports), 0);
  rig->port = rig->ports.first_port;
  char *program = g_strdup_printf ("%s/fake_site", programs);
  char *listen = g_strdup_printf ("127.0.0.1:%d", rig->port);
  char *first = g_strdup_printf ("%d", rig->port + 1);
  char *count = g_strdup_printf ("%d", endpoints);
  char *argv[] = { program, "--listen",
                   listen,  "--endpoints",
                   count,   "--first-port",
                   first,   "--data-centres",
                   "x,y",   ledger ? "--ledger" : NULL,
                   NULL };

  rig->directory = g_dir_make_tmp ("jaytrail-site-XXXXXX", NULL);
  char *log = g_strdup_printf ("%s/site.log", rig->directory);
  rig->standin = site_run (argv, NULL, log);
  int64_t until_ms = clock_boot_ms () + SITE_TEST_TIMEOUT_MS;
  while (site_call (rig->port, "GET", "/seen", "").status != 200 && clock_boot_ms () < until_ms)
    clock_sleep_ms (10);
  site_put_queue_prefix (rig, 3, "/q/");
  for (int i = 0; i < SITE_HOSTS; i++)
    site_start_host (rig, i);
  CU_ASSERT_TRUE (site_wait_until_all_ready (rig));
  g_free (log);
  g_free (count);
  g_free (first);
  g_free (listen);
  g_free (program);
}

void
site_rig_start (site_rig_t *rig)
{
  start_rig (rig, SITE_ENDPOINTS, false, &no_limits);
}

void
site_rig_start_limited (site_rig_t *rig, const site_limits_t *limits)
{
  start_rig (rig, SITE_ENDPOINTS, false, limits);
}

void
site_rig_start_ledger (site_rig_t *rig, int endpoints)
{
  start_rig (rig, endpoints, true, &no_limits);
}

void
site_end_process (pid_t *pid, int signal_number)
{
  if (*pid == 0)
    return;
  kill (*pid, signal_number);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

/* Checks what must hold after every case: no task ran at two endpoints at a time, and no
 * endpoint was sent more tasks than it has room for. */
void
site_rig_stop (site_rig_t *rig)
{
  CU_ASSERT_EQUAL (site_standin_number (rig, "twice"), 0);
  CU_ASSERT_EQUAL (site_standin_number (rig, "crowded"), 0);
  for (int i = 0; i < SITE_HOSTS; i++)
    site_end_process (&rig->hosts[i], SIGKILL);
  site_end_process (&rig->standin, SIGKILL);
  port_block_free (&rig->ports);
  bool failed = CU_get_number_of_failures () > rig->failures_before;
  if (failed || g_getenv ("JAYTRAIL_KEEP_LOGS") != NULL)
    printf ("  logs: %s\n", rig->directory);
  else
    site_remove_directory (rig->directory);
  g_free (rig->directory);
}

void
site_set_fault (const site_rig_t *rig, const char *fault)
{
  CU_ASSERT_EQUAL (site_call (rig->port, "POST", "/fault", fault).status, 200);
}

int
site_count_lines (const site_rig_t *rig, int host, const char *what)
{
  char *log = g_strdup_printf ("%s/h%d.log", rig->directory, host);
  char *text = NULL;
  int count = 0;

  CU_ASSERT_TRUE (g_file_get_contents (log, &text, NULL, NULL));
  for (const char *at = text; at != NULL && (at = strstr (at, what)) != NULL; at++)
    count++;
  g_free (text);
  g_free (log);
  return count;
}

bool
site_wait_for_log_lines (const site_rig_t *rig, int host, const char *what, int count)
{
  int64_t until_ms = clock_boot_ms () + 5000;

  while (site_count_lines (rig, host, what) < count && clock_boot_ms () < until_ms)
    clock_sleep_ms (20);
  return site_count_lines (rig, host, what) >= count;
}

void
site_post_to_standin (const site_rig_t *rig, const char *target)
{
  CU_ASSERT_EQUAL (site_call (rig->port, "POST", target, "").status, 200);
}

int
site_host_gauge (const site_rig_t *rig, int host, const char *name)
{
  site_response_t response = site_call (site_caller_port (rig, host) + 1, "GET", "/metrics", "");
  char *line = g_strdup_printf ("\n%s ", name);
  const char *at = strstr (response.body, line);
  int value = at != NULL ? atoi (at + strlen (line)) : -1;

  g_free (line);
  return value;
}

/* --- load --- */

void *
site_run_load (void *data)
{
  site_load_t *load = data;

  for (int i = 0; i < load->job_count; i++)
    {
      int host = load->host >= 0 ? load->host : (load->first_job + i) % SITE_HOSTS;
      site_response_t response =
          site_submit (load->rig, host, load->first_job + i, load->tasks, load->work_ms);
      bool completed = response.status == 200 && strstr (response.body, "completed") != NULL;
      if (load->job_completed != NULL)
        load->job_completed[i] = completed;
      if (completed)
        g_atomic_int_inc (&load->completed);
      else if (response.status == 0)
        g_atomic_int_inc (&load->unanswered);
      else
        g_atomic_int_inc (&load->failed);
      clock_sleep_ms (load->pause_ms);
    }
  return NULL;
}
