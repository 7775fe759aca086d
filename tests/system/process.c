/* process.c -- child processes of the system tests */
#include "tests/system/process.h"

#include "base/clock.h"
#include "tests/port_block.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define POLL_MS 5
#define SIGNAL_STATUS 128

/* Held until the process ends. */
static const port_range_t system_ports = { .first_port = 20000, .ports = 400, .blocks = 25 };

/* In the child: only system calls. */
static void
child_setup (gpointer data)
{
  (void) data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static int
open_output (const char *file)
{
  return open (file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
}

process_t *
process_start (const char *dir, const char *name, char *const *argv)
{
  process_t *process = g_new0 (process_t, 1);
  process->name = g_strdup (name);
  process->out_file = g_strdup_printf ("%s/%s.out", dir, name);
  process->log_file = g_strdup_printf ("%s/%s.log", dir, name);
  unlink (process->out_file);
  int out = open_output (process->out_file);
  int log = open_output (process->log_file);
  GError *error = NULL;
  process->running = g_spawn_async_with_pipes_and_fds (
      NULL, (const char *const *) argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, child_setup, NULL, -1, out,
      log, NULL, NULL, 0, &process->pid, NULL, NULL, NULL, &error);
  close (out);
  close (log);
  if (process->running)
    return process;
  fprintf (stderr, "%s: %s\n", name, error->message);
  g_error_free (error);
  process_free (process);
  return NULL;
}

char *
process_listening (process_t *process)
{
  int64_t end_ms = clock_boot_ms () + HANG_GUARD_MS;
  while (clock_boot_ms () < end_ms)
    {
      char *text = NULL;
      if (g_file_get_contents (process->out_file, &text, NULL, NULL)
          && g_str_has_prefix (text, "listening ") && strchr (text, '\n') != NULL)
        {
          char *address = g_strdup (text + strlen ("listening "));
          address[strcspn (address, "\n")] = '\0';
          g_free (text);
          return address;
        }
      g_free (text);
      clock_sleep_ms (POLL_MS);
    }
  return NULL;
}

void
process_signal (process_t *process, int signal)
{
  if (process->running)
    kill (process->pid, signal);
}

void
process_freeze (process_t *process)
{
  process_signal (process, SIGSTOP);
  process->frozen = true;
}

void
process_thaw (process_t *process)
{
  process_signal (process, SIGCONT);
  process->frozen = false;
}

int
process_wait (process_t *process)
{
  int64_t end_ms = clock_boot_ms () + HANG_GUARD_MS;
  while (process->running && clock_boot_ms () < end_ms)
    {
      int status = 0;
      if (waitpid (process->pid, &status, WNOHANG) != process->pid)
        {
          clock_sleep_ms (POLL_MS);
          continue;
        }
      process->running = false;
      g_spawn_close_pid (process->pid);
      return WIFSIGNALED (status) ? SIGNAL_STATUS + WTERMSIG (status) : WEXITSTATUS (status);
    }
  return -1;
}

void
process_kill (process_t *process)
{
  process_signal (process, SIGKILL);
  process_wait (process);
}

void
process_free (process_t *process)
{
  if (process == NULL)
    return;
  process_kill (process);
  g_free (process->name);
  g_free (process->out_file);
  g_free (process->log_file);
  g_free (process);
}

int
process_run (char *const *argv, char **output)
{
  char *out = NULL;
  char *err = NULL;
  int status = 0;
  GError *error = NULL;
  if (!g_spawn_sync (NULL, (char **) argv, NULL, G_SPAWN_DEFAULT, child_setup, NULL, &out, &err,
                     &status, &error))
    {
      fprintf (stderr, "%s: %s\n", argv[0], error->message);
      g_error_free (error);
      return -1;
    }
  if (output != NULL)
    *output = g_strconcat (out, err, NULL);
  g_free (out);
  g_free (err);
  return WIFEXITED (status) ? WEXITSTATUS (status) : SIGNAL_STATUS + WTERMSIG (status);
}

static bool
can_bind (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr = { htonl (INADDR_LOOPBACK) } };
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  bool bound = bind (fd, (struct sockaddr *) &address, sizeof address) == 0;
  close (fd);
  return bound;
}

uint16_t
process_free_port (void)
{
  static port_block_t block;
  static uint32_t next;
  uint16_t port = 0;

  if (block.first_port == 0 && port_block_take (&system_ports, &block) != 0)
    g_error ("no block of ports is free");
  do
    port = (uint16_t) (block.first_port + (int) (next++ % (uint32_t) (system_ports.ports - 1)));
  while (!can_bind (port));
  return port;
}
