/* settings_example.c -- reads a settings file and prints some of its values */
#include "settings/settings.h"

#include <stdio.h>

int
main (int argc, char **argv)
{
  settings_t *settings = NULL;
  char *message = NULL;

  if (settings_read (argc > 1 ? argv[1] : "examples/settings.json", &settings, &message) != 0)
    {
      fprintf (stderr, "%s\n", message);
      g_free (message);
      return 2;
    }
  printf ("%s in %s, callers at %s\n", settings->host_id, settings->data_centre,
          settings->caller_listen);
  settings_free (settings);
  return 0;
}
