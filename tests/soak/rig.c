/* rig.c -- the processes of a soak: a log, endpoints, hosts, and the proxy between them
 *
 * A host is known to others at 127.0.1.1, endpoints at 127.0.2.1, the log to host N at its own port
 * of 127.0.3.1, and hosts to callers at 127.0.4.1: all of them the proxy's; the processes
 * themselves listen on 127.0.0.1.
 */
#include "tests/soak/rig_private.h"

#include "base/clock.h"
#include "base/hash.h"
#include "tests/site_call.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define PEER_IP "127.0.1.1"
#define ENDPOINT_IP "127.0.2.1"
#define LOG_IP "127.0.3.1"
#define PORTS_OF_HOST 3
#define ROOM 4
#define DEFAULT_CPU_SHARE 0.25
#define READY_MAX_MS 20000
/* Runs side by side have ports of their own. */
static const port_range_t soak_ports = { .first_port = 10000, .ports = 600, .blocks = 16 };
#define TOKEN_TAG_MASK 255

/* --- ports --- */

int
rig_log_port (const rig_t *rig)
{
  return rig->ports.first_port;
}

/* How many endpoints a process plays. */
static int32_t
endpoints_each (const rig_t *rig)
{
  return MAX (rig->endpoints_each, 1);
}

int
rig_endpoint_port (const rig_t *rig, int32_t endpoint)
{
  return rig->ports.first_port + 1 + endpoint * endpoints_each (rig);
}

int
rig_caller_port (const rig_t *rig, int32_t host)
{
  return rig_endpoint_port (rig, rig->endpoints_count) + host * PORTS_OF_HOST;
}

static int
log_port_of (const rig_t *rig, int32_t host)
{
  return rig_caller_port (rig, rig->hosts_count) + host;
}

/* --- processes --- */

/* The seed hosts as the settings name them.  The caller frees it. */
static char *
seed_addresses (const rig_t *rig)
{
  GString *text = g_string_new (NULL);

  for (int32_t i = 0; i < MAX (rig->seed_hosts, 1); i++)
    g_string_append_printf (text, "%s" PEER_IP ":%d", i > 0 ? "," : "",
                            rig_caller_port (rig, i) + 2);
  return g_string_free (text, FALSE);
}

static void
start_host (rig_t *rig, int32_t number)
{
  rig_host_t *host = &rig->hosts[number];
  int port = rig_caller_port (rig, number);
  char *settings = g_strdup_printf ("%s/%s.conf", rig->directory, host->name);
  char *log = g_strdup_printf ("%s/%s.log", rig->directory, host->name);
  char *program = g_strdup_printf ("%s/jaytraild", rig->programs);
  char *argv[] = { program, "--site", NULL };
  char *seeds = seed_addresses (rig);
  char cpu_share[G_ASCII_DTOSTR_BUF_SIZE];
  g_ascii_formatd (cpu_share, sizeof cpu_share, "%.2f",
                   rig->cpu_share != NULL ? rig->cpu_share (number) : DEFAULT_CPU_SHARE);
  char *text = g_strdup_printf (
      "node_name=%s\nzone=%s\nip=" PEER_IP "\nlisten_addrs.frontend=127.0.0.1:%d\n"
      "listen_addrs.ready=127.0.0.1:%d\nlisten_addrs.control_plane=127.0.0.1:%d\n"
      "seed_nodes=%s\nplatform.address=" LOG_IP ":%d\nbounds.max_hold_ms=1000\n"
      "bounds.stop_timeout_ms=50\nbounds.grace_period_s=6\nbounds.retransmit_ms=1300\n"
      "bounds.config_apply_ms=2000\nlimits.cpu_fraction=%s\nsomething.new=%d\n",
      host->name, host->zone, port, port + 1, port + 2, seeds, log_port_of (rig, number), cpu_share,
      (int) host->settings);

  /* Nothing waits for the disk: hosts that are killed together start together. */
  g_file_set_contents_full (settings, text, -1, G_FILE_SET_CONTENTS_NONE, 0600, NULL);
  host->told = "";
  host->paused = false;
  host->life++;
  host->pid = site_run (argv, settings, log);
  g_free (text);
  g_free (seeds);
  g_free (program);
  g_free (log);
  g_free (settings);
}

/* Notes KIND for all endpoints of process NUMBER. */
static void
note_endpoints (rig_t *rig, int32_t number, book_kind_t kind)
{
  int32_t first = number * endpoints_each (rig);

  for (int32_t i = first; i < first + endpoints_each (rig); i++)
    {
      book_row_t row = { .at_ms = clock_boot_ms (), .kind = kind, .endpoint = i };
      book_add (rig->book, &row);
    }
}

void
rig_start_endpoint (rig_t *rig, int32_t number)
{
  rig_endpoint_t *endpoint = &rig->endpoints[number];
  char *program = g_strdup_printf ("%s/fake_site", rig->programs);
  char *log = g_strdup_printf ("127.0.0.1:%d", rig_log_port (rig));
  char *first = g_strdup_printf ("%d", number * endpoints_each (rig));
  char *count = g_strdup_printf ("%d", endpoints_each (rig));
  char *port = g_strdup_printf ("%d", rig_endpoint_port (rig, number));
  char *room = g_strdup_printf ("%d", rig->room > 0 ? rig->room : ROOM);
  char *argv[] = { program,
                   "--log",
                   log,
                   "--endpoints",
                   count,
                   "--first",
                   first,
                   "--first-port",
                   port,
                   "--data-centres",
                   endpoint->zone,
                   "--known-at",
                   ENDPOINT_IP,
                   "--room",
                   room,
                   "--ledger",
                   NULL };

  endpoint->pid = site_run (argv, NULL, endpoint->ledger);
  endpoint->paused = false;
  note_endpoints (rig, number, BOOK_ENDPOINT_BACK);
  g_free (room);
  g_free (count);
  g_free (port);
  g_free (first);
  g_free (log);
  g_free (program);
}

static void
start_log (rig_t *rig)
{
  char *program = g_strdup_printf ("%s/fake_site", rig->programs);
  char *listen = g_strdup_printf ("127.0.0.1:%d", rig_log_port (rig));
  char *output = g_strdup_printf ("%s/log.log", rig->directory);
  char *argv[] = { program,        "--listen", listen,           "--endpoints", "0",
                   "--first-port", "1",        "--data-centres", "none",        NULL };

  rig->log_pid = site_run (argv, NULL, output);
  int64_t until_ms = clock_boot_ms () + READY_MAX_MS;
  while (site_call (rig_log_port (rig), "GET", "/seen", "").status != 200
         && clock_boot_ms () < until_ms)
    clock_sleep_ms (10);
  g_free (output);
  g_free (listen);
  g_free (program);
}

/* A signal to a process of this rig. */
void
rig_tell (pid_t pid, int number)
{
  if (pid > 0)
    kill (pid, number);
}

void
rig_kill_host (rig_t *rig, int32_t number, const char *why)
{
  rig_host_t *host = &rig->hosts[number];

  if (host->pid == 0)
    return;
  host->told = why;
  rig_tell (host->pid, SIGKILL);
}

void
rig_kill_endpoint (rig_t *rig, int32_t number)
{
  rig_endpoint_t *endpoint = &rig->endpoints[number];

  if (endpoint->pid == 0)
    return;
  rig_tell (endpoint->pid, SIGKILL);
  waitpid (endpoint->pid, NULL, 0);
  endpoint->pid = 0;
  note_endpoints (rig, number, BOOK_ENDPOINT_GONE);
}

void
rig_pause_host (rig_t *rig, int32_t number, bool paused)
{
  rig_host_t *host = &rig->hosts[number];

  if (host->pid != 0 && host->paused != paused)
    rig_tell (host->pid, paused ? SIGSTOP : SIGCONT);
  host->paused = paused && host->pid != 0;
}

void
rig_pause_endpoint (rig_t *rig, int32_t number, bool paused)
{
  rig_endpoint_t *endpoint = &rig->endpoints[number];

  if (endpoint->pid == 0 || endpoint->paused == paused)
    return;
  rig_tell (endpoint->pid, paused ? SIGSTOP : SIGCONT);
  endpoint->paused = paused;
  note_endpoints (rig, number, paused ? BOOK_ENDPOINT_PAUSED : BOOK_ENDPOINT_BACK);
}

void
rig_stop_host (rig_t *rig, int32_t number)
{
  rig_host_t *host = &rig->hosts[number];

  if (host->pid == 0 || host->told[0] != '\0')
    return;
  host->told = "stopped";
  book_row_t row = { .at_ms = clock_boot_ms (), .kind = BOOK_HOST_STOPPING, .host = number };
  book_add (rig->book, &row);
  rig_tell (host->pid, SIGTERM);
}

/* --- watching --- */

static void
watch_host (rig_t *rig, int32_t number)
{
  rig_host_t *host = &rig->hosts[number];
  int status = 0;

  if (host->pid == 0 || waitpid (host->pid, &status, WNOHANG) != host->pid)
    return;
  host->pid = 0;
  host->paused = false;
  book_row_t row = { .at_ms = clock_boot_ms (),
                     .kind = BOOK_HOST_ENDED,
                     .host = number,
                     .status = status,
                     .text = host->told };
  book_add (rig->book, &row);
}

static void
read_ledger (rig_t *rig, rig_endpoint_t *endpoint)
{
  char line[4096];
  FILE *file = fopen (endpoint->ledger, "r");

  if (file == NULL)
    return;
  fseek (file, endpoint->ledger_read, SEEK_SET);
  /* A line that is being written is read the next time. */
  while (fgets (line, sizeof line, file) != NULL && strchr (line, '\n') != NULL)
    {
      endpoint->ledger_read = ftell (file);
      if (line[0] == '{')
        book_ledger (rig->book, line);
    }
  fclose (file);
}

void
rig_watch (rig_t *rig)
{
  for (int32_t i = 0; i < rig->hosts_count; i++)
    {
      watch_host (rig, i);
      if (rig->hosts[i].pid == 0 && rig->hosts[i].held <= 0)
        start_host (rig, i);
    }
  for (int32_t i = 0; i < rig->endpoints_count; i++)
    read_ledger (rig, &rig->endpoints[i]);
}

char *
rig_left (rig_t *rig)
{
  GString *text = g_string_new (NULL);

  for (int32_t i = 0; i < rig->endpoints_count; i++)
    {
      site_response_t answer = site_call (rig_endpoint_port (rig, i), "GET", "/seen", "");
      int running = site_json_number (answer.body, "running");
      int ends = site_json_number (answer.body, "unacknowledged");
      if (running > 0 || ends > 0)
        g_string_append_printf (text, " e%d: %d runs, %d ends;", (int) i, running, ends);
    }
  return g_string_free (text, text->len == 0);
}

bool
rig_is_ready (const rig_t *rig, int32_t host)
{
  return rig->hosts[host].pid != 0 && !rig->hosts[host].paused
         && site_call (rig_caller_port (rig, host) + 1, "GET", "/readyz", "").status == 200;
}

/* --- start and end --- */

/* Names whose tokens differ in the bits that come from the name. */
static void
name_hosts (rig_t *rig)
{
  bool used[TOKEN_TAG_MASK + 1] = { false };
  int32_t suffix = 0;

  for (int32_t i = 0; i < rig->hosts_count;)
    {
      rig_host_t *host = &rig->hosts[i];
      char *name = g_strdup_printf ("host-%03d-%03d", (int) i, (int) suffix++);
      int64_t tag = (int64_t) (hash_string (name) & TOKEN_TAG_MASK);
      if (used[tag])
        {
          g_free (name);
          continue;
        }
      used[tag] = true;
      host->name = name;
      host->zone = g_strdup (rig_zone_name (i % rig->zones));
      proxy_name (rig->proxy, name, host->zone, tag);
      i++;
    }
  proxy_name (rig->proxy, "callers", "callers", -1);
}

static bool
open_doors (rig_t *rig)
{
  int result = 0;

  for (int32_t i = 0; i < rig->hosts_count; i++)
    {
      const rig_host_t *host = &rig->hosts[i];
      int port = rig_caller_port (rig, i);
      result |=
          proxy_listen (rig->proxy, PEER_IP, port + 2, port + 2, NULL, host->name, host->zone);
      result |=
          proxy_listen (rig->proxy, RIG_CALLER_IP, port, port, "callers", host->name, "entries");
      result |= proxy_listen (rig->proxy, LOG_IP, log_port_of (rig, i), rig_log_port (rig),
                              host->name, "log", "log");
    }
  for (int32_t i = 0; i < rig->endpoints_count * endpoints_each (rig); i++)
    {
      char *name = g_strdup_printf ("e%d", (int) i);
      int port = rig_endpoint_port (rig, 0) + i;
      result |= proxy_listen (rig->proxy, ENDPOINT_IP, port, port, NULL, name,
                              rig->endpoints[i / endpoints_each (rig)].zone);
      g_free (name);
    }
  return result == 0;
}

static bool
wait_ready (const rig_t *rig)
{
  int64_t until_ms = clock_boot_ms () + READY_MAX_MS;

  for (int32_t i = 0; i < rig->hosts_count; i++)
    while (!rig_is_ready (rig, i))
      {
        if (clock_boot_ms () > until_ms)
          return false;
        clock_sleep_ms (20);
      }
  return true;
}

bool
rig_start (rig_t *rig)
{
  rig->directory = g_dir_make_tmp ("jaytrail-soak-XXXXXX", NULL);
  rig->hosts = g_new0 (rig_host_t, rig->hosts_count);
  rig->endpoints = g_new0 (rig_endpoint_t, rig->endpoints_count);
  rig->proxy = proxy_new ();
  if (rig->drops_unsent)
    proxy_drop_unsent (rig->proxy);
  name_hosts (rig);
  for (int32_t i = 0; i < rig->endpoints_count; i++)
    {
      rig->endpoints[i].zone = g_strdup (rig_zone_name (i % rig->zones));
      rig->endpoints[i].ledger = g_strdup_printf ("%s/e%d.ledger", rig->directory, (int) i);
    }
  if (port_block_take (&soak_ports, &rig->ports) != 0 || !open_doors (rig))
    return false;
  start_log (rig);
  rig_put_config (rig);
  for (int32_t i = 0; i < rig->endpoints_count; i++)
    rig_start_endpoint (rig, i);
  for (int32_t i = 0; i < rig->hosts_count; i++)
    start_host (rig, i);
  return wait_ready (rig);
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

void
rig_stop (rig_t *rig, bool keep)
{
  for (int32_t i = 0; i < rig->hosts_count; i++)
    {
      end_process (&rig->hosts[i].pid);
      g_free (rig->hosts[i].name);
      g_free (rig->hosts[i].zone);
    }
  for (int32_t i = 0; i < rig->endpoints_count; i++)
    {
      end_process (&rig->endpoints[i].pid);
      g_free (rig->endpoints[i].zone);
      g_free (rig->endpoints[i].ledger);
    }
  end_process (&rig->log_pid);
  port_block_free (&rig->ports);
  proxy_free (rig->proxy);
  if (keep)
    printf ("  logs and ledgers are kept in %s\n", rig->directory);
  else
    site_remove_directory (rig->directory);
  g_free (rig->directory);
  g_free (rig->hosts);
  g_free (rig->endpoints);
}
