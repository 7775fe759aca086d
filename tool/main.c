/* main.c -- jaytrail: finds the subcommand and runs it */
#include "tool/tool.h"

#include "daemon/version.h"

#include <argtable2.h>
#include <glib.h>
#include <string.h>

static const struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *summary;
} commands[] = {
  { "check", cmd_check, "check a list or settings file without a platform" },
  { "publish", cmd_publish, "publish the lists of plans and limits" },
  { "show", cmd_show, "print the configuration in force" },
  { "status", cmd_status, "print the status of hosts" },
  { "submit", cmd_submit, "submit a job and print its answer" },
  { "burn", cmd_burn, "report on service-level burn" },
  { "drains", cmd_drains, "print which data centres are drained" },
  { "explain", cmd_explain, "explain the outcome of a job by the hosts' logs" },
  { "load", cmd_load, "generate load and measure response times" },
};

static void
print_help (FILE *out)
{
  fprintf (out, "Usage: jaytrail COMMAND [OPTION]...\n"
                "Operates the jaytrail dispatcher.\n\nCommands:\n");
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (out, "  %-10s %s\n", commands[i].name, commands[i].summary);
  fprintf (out, "\n`jaytrail COMMAND --help` lists a command's options.\n\n"
                "Exit status: 0 success, 1 failure, 2 bad file or usage, 3 an edit lost the\n"
                "race, 4 the outcome of an edit is unknown, 5 slow burn, 6 fast burn.\n");
}

bool
tool_parse (int argc, char **argv, void **table, size_t count, const char *summary, int *status)
{
  const struct arg_lit *help = table[0];
  int errors = arg_parse (argc, argv, table);

  if (help->count > 0)
    {
      printf ("Usage: jaytrail %s", argv[0]);
      arg_print_syntax (stdout, table, "\n");
      printf ("%s\n\n", summary);
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      *status = TOOL_OK;
      return false;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, table[count - 1], argv[0]);
      fprintf (stderr, "jaytrail %s: see --help\n", argv[0]);
      *status = TOOL_USAGE;
      return false;
    }
  return true;
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      print_help (stderr);
      return TOOL_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0)
    {
      print_help (stdout);
      return TOOL_OK;
    }
  if (strcmp (argv[1], "--version") == 0 || strcmp (argv[1], "-V") == 0)
    {
      printf ("jaytrail %s\n", JAYTRAIL_VERSION);
      return TOOL_OK;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, argv[1]) == 0)
      return commands[i].run (argc - 1, argv + 1);
  fprintf (stderr, "jaytrail: unknown command '%s'; see --help\n", argv[1]);
  return TOOL_USAGE;
}
