/* site_call.c -- blocking HTTP/1.1 client and process helpers for tests of the daemon */
#include "tests/site_call.h"

#include "base/clock.h"

#include <arpa/inet.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALL_TIMEOUT_MS 5000
#define DEADLINE_MS 3000

int
site_connect (const char *ip, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (inet_pton (AF_INET, ip, &address.sin_addr) == 1
      && connect (fd, (struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
is_complete (const char *text)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = strcasestr (text, "content-length:");

  return end != NULL && length != NULL
         && strlen (end + 4) >= (size_t) atoi (length + strlen ("content-length:"));
}

site_response_t
site_read_response (int fd, int64_t until_ms)
{
  site_response_t response = { 0 };
  char text[SITE_CALL_BODY_BYTES] = "";
  size_t size = 0;

  while (!is_complete (text) && size < sizeof text - 1)
    {
      struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
      int64_t remaining_ms = until_ms - clock_boot_ms ();
      if (remaining_ms <= 0 || poll (&poll_fd, 1, (int) remaining_ms) <= 0)
        return response;
      ssize_t received = recv (fd, text + size, sizeof text - 1 - size, 0);
      response.connection_closed = received <= 0;
      if (response.connection_closed)
        return response;
      size += (size_t) received;
      text[size] = '\0';
    }
  response.status = atoi (text + strlen ("HTTP/1.1 "));
  const char *retry = strcasestr (text, "\r\nretry-after:");
  if (retry != NULL && retry < strstr (text, "\r\n\r\n"))
    response.retry_after_s = atoi (retry + strlen ("\r\nretry-after:"));
  response.keep_alive = strcasestr (text, "connection: close") == NULL;
  g_strlcpy (response.body, strstr (text, "\r\n\r\n") + 4, sizeof response.body);
  return response;
}

void
site_send_request (int fd,
                   const char *method,
                   const char *target,
                   const char *body,
                   int deadline_ms)
{
  char *text = g_strdup_printf ("%s %s HTTP/1.1\r\nHost: " SITE_CALL_QUEUE_HOST
                                "\r\nContent-Type: application/json\r\n"
                                "Jaytrail-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n%s",
                                method, target, deadline_ms, strlen (body), body);

  (void) !send (fd, text, strlen (text), MSG_NOSIGNAL);
  g_free (text);
}

site_response_t
site_call (int port, const char *method, const char *target, const char *body)
{
  site_response_t response = { 0 };
  int fd = site_connect ("127.0.0.1", port);

  if (fd < 0)
    return response;
  site_send_request (fd, method, target, body, DEADLINE_MS);
  response = site_read_response (fd, clock_boot_ms () + CALL_TIMEOUT_MS);
  close (fd);
  return response;
}

int
site_json_number (const char *body, const char *name)
{
  char *key = g_strdup_printf ("\"%s\":", name);
  const char *position = strstr (body, key);
  int value = position != NULL ? atoi (position + strlen (key)) : -1;

  g_free (key);
  return value;
}

char *
site_job_json (int tasks, const char *spec, int estimate_ms, const char *more)
{
  return g_strdup_printf ("{\"spec\":\"%s\",\"best_effort\":true,\"phases\":[{\"count\":%d,"
                          "\"cpu_millis\":1000,\"mem_mb\":10,\"estimated_ms\":%d%s}]}",
                          spec, tasks, estimate_ms, more);
}

pid_t
site_run (char **argv, const char *settings, const char *log)
{
  return site_run_with_files (argv, settings, log, 0);
}

pid_t
site_run_with_files (char **argv, const char *settings, const char *log, int max_open_files)
{
  struct rlimit files = { (rlim_t) max_open_files, (rlim_t) max_open_files };
  pid_t pid = fork ();

  if (pid != 0)
    return pid;
  if (max_open_files > 0 && setrlimit (RLIMIT_NOFILE, &files) != 0)
    _exit (125);
  if (settings != NULL)
    setenv ("JAYTRAIL_SETTINGS", settings, 1);
  if (freopen (log, "a", stdout) == NULL || freopen (log, "a", stderr) == NULL)
    _exit (126);
  /* Descriptors of whoever started the test don't count as the program's. */
  (void) close_range (STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
  execv (argv[0], argv);
  _exit (127);
}

void
site_remove_directory (const char *directory)
{
  GDir *dir = g_dir_open (directory, 0, NULL);
  const char *name = NULL;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *file = g_build_filename (directory, name, NULL);
      g_unlink (file);
      g_free (file);
    }
  if (dir != NULL)
    g_dir_close (dir);
  g_rmdir (directory);
}
