/* site_usage.c -- memory and descriptors that a process of a test holds */
#include "tests/site_usage.h"

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define KIB 1024

/* The number behind NAME, in KiB, in the status of process PID; 0 if it is missing. */
static int64_t
status_bytes (pid_t pid, const char *name)
{
  char *file = g_strdup_printf ("/proc/%d/status", (int) pid);
  char *text = NULL;
  int64_t bytes = 0;

  if (g_file_get_contents (file, &text, NULL, NULL))
    {
      const char *at = strstr (text, name);
      bytes = at != NULL ? strtoll (at + strlen (name), NULL, 10) * KIB : 0;
    }
  g_free (text);
  g_free (file);
  return bytes;
}

static bool
is_channel (const char *directory, const char *name)
{
  char *file = g_build_filename (directory, name, NULL);
  char *target = g_file_read_link (file, NULL);
  bool channel = target != NULL
                 && (g_str_has_prefix (target, "socket:") || g_str_has_prefix (target, "pipe:"));

  g_free (target);
  g_free (file);
  return channel;
}

static void
count_descriptors (pid_t pid, site_usage_t *usage)
{
  char *directory = g_strdup_printf ("/proc/%d/fd", (int) pid);
  GDir *dir = g_dir_open (directory, 0, NULL);
  const char *name = NULL;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      usage->descriptors++;
      usage->channels += is_channel (directory, name);
    }
  if (dir != NULL)
    g_dir_close (dir);
  g_free (directory);
}

site_usage_t
site_read_usage (pid_t pid)
{
  site_usage_t usage = { .resident_bytes = status_bytes (pid, "VmRSS:"),
                         .resident_max_bytes = status_bytes (pid, "VmHWM:") };

  count_descriptors (pid, &usage);
  return usage;
}
