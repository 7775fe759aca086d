/* rig.c -- a small deployment as processes, for the cases of the second review */
#include "review/common-2/rig.h"

#include "base/clock.h"

#include <glib.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define READY_TIMEOUT_MS 20000
#define POLL_MS 10
#define PORTS_PER_HOST 3
#define FIRST_ENDPOINT_PORT 1
#define FIRST_SPARE_PORT 40
#define FIRST_HOST_PORT 60

static const port_range_t rig_ports = { .first_port = 12000, .ports = 100, .blocks = 40 };

/* The queue of all jobs, without a limit on its time and with a wide objective. */
static const char *const configuration =
    "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"" SITE_CALL_QUEUE_HOST
    "\",\"path_prefix\":\"/q/\",\"timeout_ms\":3000,\"target_latency_ms\":60,\"priority\":0,"
    "\"service\":\"s\",\"max_attempts\":3,\"stretch_factor\":1.6}],"
    "\"services\":[{\"name\":\"s\",\"admission_control\":true}],\"limits\":{}}";

/* The members of a line of the stand-in's ledger that are looked at. */
#define LEDGER_TASK "\"task\":\""
#define LEDGER_START "\"what\":\"start\""
#define LEDGER_TIME "{\"at_ms\":"

void
rig_record (rig_t *rig, const char *format, ...)
{
  FILE *file = rig->record != NULL ? rig->record : stdout;
  va_list arguments;

  fprintf (file, "%8.3f s  ", (double) (clock_boot_ms () - rig->opened_at_ms) / 1000.0);
  va_start (arguments, format);
  vfprintf (file, format, arguments);
  va_end (arguments);
  fputc ('\n', file);
  fflush (file);
}

static void
end_process (pid_t *pid)
{
  if (*pid == 0)
    return;
  kill (*pid, SIGKILL);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

int
rig_close (rig_t *rig, int result)
{
  for (int i = 0; i < RIG_HOSTS; i++)
    end_process (&rig->hosts[i]);
  end_process (&rig->standin);
  port_block_free (&rig->ports);
  if (g_getenv ("KEEP_LOGS") == NULL)
    site_remove_directory (rig->directory);
  else
    printf ("logs: %s\n", rig->directory);
  g_free (rig->directory);
  if (rig->record != NULL)
    fclose (rig->record);
  return result;
}

void
rig_fail (rig_t *rig, const char *why)
{
  rig_record (rig, "NOT RUN: %s", why);
  exit (rig_close (rig, REVIEW_NOT_RUN));
}

int
rig_log_port (const rig_t *rig)
{
  return rig->ports.first_port;
}

int
rig_spare_port (const rig_t *rig, int number)
{
  return rig->ports.first_port + FIRST_SPARE_PORT + number;
}

int
rig_caller_port (const rig_t *rig, int host)
{
  return rig->ports.first_port + FIRST_HOST_PORT + host * PORTS_PER_HOST;
}

/* --- processes --- */

static void
on_alarm (int signal_number)
{
  (void) signal_number;
  kill (0, SIGKILL);
}

void
rig_start_host (rig_t *rig, int host)
{
  int port = rig_caller_port (rig, host);
  char *settings = g_strdup_printf ("%s/h%d.conf", rig->directory, host);
  char *log = g_strdup_printf ("%s/h%d.log", rig->directory, host);
  char *text = g_strdup_printf (
      "node_name=h%d\nzone=%s\nregion=r\nserves=edge,control\nip=127.0.0.1\n"
      "listen_addrs.frontend=127.0.0.1:%d\nlisten_addrs.ready=127.0.0.1:%d\n"
      "listen_addrs.control_plane=127.0.0.1:%d\nseed_nodes=127.0.0.1:%d,127.0.0.1:%d\n"
      "limits.cpu_fraction=0.25\nlimits.cpu_cores=1\nlimits.memory_mb=260\n"
      "limits.max_open_files=4100\ndiscovery=platform\nheartbeat_interval_ms=1500\n"
      "bounds.contact_window_ms=%d\nbounds.ack_timeout_ms=4000\nbounds.drain_timeout_ms=2000\n"
      "bounds.grace_period_s=6\nbounds.config_apply_ms=2000\nbounds.max_hold_ms=1000\n"
      "bounds.stop_timeout_ms=50\nbounds.cancel_ms=%d\nbounds.visible_ms=3000\n"
      "bounds.remote_penalty=2\nbounds.retransmit_ms=%d\ncontrol_mode=request\n"
      "platform.address=127.0.0.1:%d\nplatform.form=log\n",
      host, host % rig->data_centres == 0 ? "x" : "y", port, port + 1, port + 2,
      rig_caller_port (rig, 0) + 2, rig_caller_port (rig, 1) + 2, RIG_CONTACT_WINDOW_MS,
      RIG_CANCEL_MS, RIG_RETRANSMIT_MS, rig_log_port (rig));
  char *program = g_build_filename (rig->programs, "jaytraild", NULL);
  char *argv[] = { program, "--site", NULL };

  g_file_set_contents (settings, text, -1, NULL);
  rig->hosts[host] = site_run (argv, settings, log);
  g_free (program);
  g_free (text);
  g_free (log);
  g_free (settings);
}

void
rig_kill_host (rig_t *rig, int host)
{
  end_process (&rig->hosts[host]);
}

void
rig_wait_ready (rig_t *rig, int host)
{
  int64_t until_ms = clock_boot_ms () + READY_TIMEOUT_MS;

  while (site_call (rig_caller_port (rig, host) + 1, "GET", "/readyz", "").status != 200)
    {
      if (clock_boot_ms () > until_ms)
        rig_fail (rig, "a host is not ready");
      clock_sleep_ms (POLL_MS);
    }
}

static void
start_standin (rig_t *rig)
{
  char *program = g_build_filename (rig->programs, "fake_site", NULL);
  char *listen = g_strdup_printf ("127.0.0.1:%d", rig_log_port (rig));
  char *first = g_strdup_printf ("%d", rig_log_port (rig) + FIRST_ENDPOINT_PORT);
  char *count = g_strdup_printf ("%d", RIG_ENDPOINTS);
  char *log = g_strdup_printf ("%s/site.log", rig->directory);
  char *argv[] = { program,
                   "--listen",
                   listen,
                   "--endpoints",
                   count,
                   "--first-port",
                   first,
                   "--data-centres",
                   (char *) (rig->data_centres == 1 ? "x" : "x,y"),
                   "--ledger",
                   NULL };
  int64_t until_ms = clock_boot_ms () + READY_TIMEOUT_MS;

  rig->standin = site_run (argv, NULL, log);
  while (site_call (rig_log_port (rig), "GET", "/seen", "").status != 200)
    {
      if (clock_boot_ms () > until_ms)
        rig_fail (rig, "the stand-in does not answer");
      clock_sleep_ms (POLL_MS);
    }
  site_call (rig_log_port (rig), "POST", "/config", configuration);
  g_free (log);
  g_free (count);
  g_free (first);
  g_free (listen);
  g_free (program);
}

void
rig_open (rig_t *rig, int data_centres, int argc, char **argv)
{
  if (argc != RIG_ARGUMENTS)
    exit (REVIEW_NOT_RUN);
  *rig = (rig_t){ .programs = argv[1],
                  .data_centres = data_centres,
                  .opened_at_ms = clock_boot_ms (),
                  .troubled = strcmp (argv[3], "without") != 0 };
  (void) setpgid (0, 0);
  signal (SIGALRM, on_alarm);
  signal (SIGPIPE, SIG_IGN);
  alarm (REVIEW_TIMEOUT_S);
  rig->record = fopen (argv[2], "w");
  rig->directory = g_dir_make_tmp ("jaytrail-review-XXXXXX", NULL);
  if (port_block_take (&rig_ports, &rig->ports) != 0)
    {
      rig_record (rig, "NOT RUN: no free ports");
      exit (REVIEW_NOT_RUN);
    }
  rig_record (rig, rig->troubled ? "with the disruption" : "without the disruption (TROUBLE=0)");
  start_standin (rig);
  for (int i = 0; i < RIG_HOSTS; i++)
    rig_start_host (rig, i);
  for (int i = 0; i < RIG_HOSTS; i++)
    rig_wait_ready (rig, i);
  rig_record (rig, "%d hosts are ready", RIG_HOSTS);
}

/* --- jobs --- */

int
rig_send_job (rig_t *rig, int host, const rig_job_t *job)
{
  char *spec = g_strdup_printf ("%d", job->work_ms);
  char *body = site_job_json (job->tasks, spec, job->estimate_ms, job->more);
  char *target = g_strconcat ("/q/", job->id, NULL);
  int fd = site_connect ("127.0.0.1", rig_caller_port (rig, host));

  if (fd < 0)
    rig_fail (rig, "a host refuses a connection");
  site_send_request (fd, "POST", target, body, job->wait_ms);
  g_free (target);
  g_free (body);
  g_free (spec);
  return fd;
}

int
rig_cancel_job (const rig_t *rig, int host, const char *id)
{
  char *target = g_strconcat ("/q/", id, NULL);
  int status = site_call (rig_caller_port (rig, host), "DELETE", target, "").status;

  g_free (target);
  return status;
}

int
rig_count_starts (rig_t *rig, const char *id, int64_t at_ms)
{
  char *file = g_build_filename (rig->directory, "site.log", NULL);
  char *task = g_strconcat (LEDGER_TASK, id, ".", NULL);
  char *text = NULL;
  int starts = 0;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    rig_fail (rig, "the stand-in has no ledger");
  char **lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      if (strstr (*line, task) == NULL || !g_str_has_prefix (*line, LEDGER_TIME)
          || g_ascii_strtoll (*line + strlen (LEDGER_TIME), NULL, 10) < at_ms)
        continue;
      rig_record (rig, "endpoints: %s", *line);
      starts += strstr (*line, LEDGER_START) != NULL;
    }
  g_strfreev (lines);
  g_free (text);
  g_free (task);
  g_free (file);
  return starts;
}
