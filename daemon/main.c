/* main.c -- jaytraild: parses arguments, reads the settings, and runs the parts until stopped */
#include "base/error.h"
#include "base/log.h"
#include "daemon/daemon.h"
#include "daemon/http_api.h"
#include "daemon/part_burn.h"
#include "daemon/part_claim.h"
#include "daemon/part_config.h"
#include "daemon/part_dispatch.h"
#include "daemon/part_job.h"
#include "daemon/part_quota.h"
#include "daemon/part_view.h"
#include "daemon/site.h"
#include "daemon/version.h"

#include <argtable2.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define PART "main"
#define EXIT_USAGE_ERROR 2

typedef struct
{
  struct arg_file *settings;
  struct arg_lit *site;
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_end *end;
} args_t;

static void
print_help (void *table[])
{
  printf ("Usage: jaytraild");
  arg_print_syntax (stdout, table, "\n");
  printf ("Dispatches tasks to endpoints.\n\n");
  arg_print_glossary (stdout, table, "  %-20s %s\n");
  printf ("\nSIGTERM starts a graceful stop; a second SIGTERM stops at once.\n"
          "Exit status: 0 after a graceful stop, 1 if the stop was not graceful or a\n"
          "listener failed to start, 2 for invalid settings or usage.\n");
}

/* Returns the settings file, or NULL with *STATUS set to the exit status. */
static char *
parse_args (int argc, char **argv, int *status, bool *site)
{
  args_t args = {
    .settings = arg_file0 ("s", "settings", "FILE", "settings: JSON with comments"),
    .site = arg_lit0 (NULL, "site",
                      "run in site mode, with the settings file that " PLATFORM_SETTINGS_VARIABLE
                      " names"),
    .help = arg_lit0 ("h", "help", "print this help"),
    .version = arg_lit0 ("V", "version", "print the version"),
    .end = arg_end (4),
  };
  void *table[] = { args.settings, args.site, args.help, args.version, args.end };
  int errors = arg_parse (argc, argv, table);
  char *file = NULL;

  *status = EXIT_SUCCESS;
  if (args.help->count > 0)
    print_help (table);
  else if (args.version->count > 0)
    printf ("jaytraild %s\n", JAYTRAIL_VERSION);
  else if (errors == 0 && args.site->count > 0)
    {
      const char *path = g_getenv (PLATFORM_SETTINGS_VARIABLE);
      *site = true;
      file = args.settings->count > 0 ? g_strdup (args.settings->filename[0])
                                      : g_strdup (path != NULL ? path : PLATFORM_SETTINGS_DEFAULT);
    }
  else if (errors > 0 || args.settings->count == 0)
    {
      arg_print_errors (stderr, args.end, "jaytraild");
      fprintf (stderr, "jaytraild: --settings FILE is needed; see --help\n");
      *status = EXIT_USAGE_ERROR;
    }
  else
    file = g_strdup (args.settings->filename[0]);
  arg_freetable (table, G_N_ELEMENTS (table));
  return file;
}

/* Thread that handles SIGTERM and SIGINT.  All other threads block them. */
static void *
wait_signals (void *data)
{
  sigset_t signals;
  int signal_number = 0;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  for (;;)
    if (sigwait (&signals, &signal_number) == 0)
      daemon_drain (data);
  return NULL;
}

static void
block_signals (void)
{
  sigset_t signals;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
}

static void
add_parts (daemon_t *daemon, part_t **job, part_t **burn)
{
  job_parts_t parts = { 0 };

  parts.config = part_config_new (daemon);
  daemon_add_part (daemon, parts.config);
  parts.view = part_view_new (daemon, parts.config);
  daemon_add_part (daemon, parts.view);
  parts.claim = part_claim_new (daemon, parts.view);
  daemon_add_part (daemon, parts.claim);
  parts.share = part_quota_new (daemon, parts.view, parts.config);
  daemon_add_part (daemon, parts.share);
  parts.dispatch = part_dispatch_new (daemon, parts.config, parts.share);
  daemon_add_part (daemon, parts.dispatch);
  parts.burn = part_burn_new (daemon, parts.config);
  daemon_add_part (daemon, parts.burn);
  *burn = parts.burn;
  *job = part_job_new (daemon, &parts);
  daemon_add_part (daemon, *job);
}

static int
run (const settings_t *settings)
{
  daemon_t *daemon = daemon_new (settings);
  part_t *job = NULL;
  part_t *burn = NULL;
  const char *address = settings->peer_listen;

  int result = daemon_listen (daemon);
  if (result == 0)
    {
      add_parts (daemon, &job, &burn);
      result = http_api_start (daemon, job, burn, &address);
    }
  if (result != 0)
    {
      fprintf (stderr, "jaytraild: cannot listen on %s\n", address);
      return EXIT_FAILURE;
    }
  g_thread_unref (g_thread_new ("signals", wait_signals, daemon));
  log_info (PART, "Started.", "data_centre", settings->data_centre, "callers",
            settings->caller_listen, NULL);
  result = daemon_run (daemon);
  if (result != 0)
    {
      log_warning (PART, "Stopped before all parts were drained.", NULL);
      /* Does not free anything, because other threads are still using it. */
      _exit (EXIT_FAILURE);
    }
  log_info (PART, "Stopped.", NULL);
  /* All requests are finished.  Threads that wait in a long poll or on an idle connection
   * end with the process. */
  fflush (NULL);
  _exit (EXIT_SUCCESS);
}

/* Runs in site mode, with the platform settings in FILE. */
static int
run_site (const char *file)
{
  platform_settings_t *settings = NULL;
  char *message = NULL;

  if (platform_settings_read (file, &settings, &message) != 0)
    {
      fprintf (stderr, "jaytraild: %s\n", message);
      g_free (message);
      return EXIT_USAGE_ERROR;
    }
  log_setup (LOG_LEVEL_WARNING, true, settings->host);
  if (site_run (settings, file) != 0)
    {
      fprintf (stderr, "jaytraild: cannot listen on %s, %s and %s\n", settings->caller_listen,
               settings->ready_listen, settings->peer_listen);
      return EXIT_FAILURE;
    }
  platform_settings_free (settings);
  fflush (NULL);
  _exit (EXIT_SUCCESS);
}

int
main (int argc, char **argv)
{
  bool site = false;
  int status = EXIT_SUCCESS;
  settings_t *settings = NULL;
  char *message = NULL;
  log_level_t level = LOG_LEVEL_INFO;
  char *file = parse_args (argc, argv, &status, &site);

  if (file == NULL)
    return status;
  if (site)
    {
      status = run_site (file);
      g_free (file);
      return status;
    }
  if (settings_read (file, &settings, &message) != 0)
    {
      fprintf (stderr, "jaytraild: %s\n", message);
      g_free (message);
      g_free (file);
      return EXIT_USAGE_ERROR;
    }
  g_free (file);
  log_level_from_name (settings->log_level, &level);
  log_setup (level, g_str_equal (settings->log_format, "json"), settings->host_id);
  block_signals ();
  status = run (settings);
  settings_free (settings);
  return status;
}
