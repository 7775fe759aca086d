/* cmd_explain.c -- jaytrail explain: what the hosts' logs say about one job */
#include "tool/explain.h"
#include "tool/tool.h"

#include <argtable2.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define FILES_MAX 1000

static int
read_file (explain_t *explain, const char *path)
{
  bool is_input = strcmp (path, "-") == 0;
  FILE *file = is_input ? stdin : fopen (path, "r");
  char *line = NULL;
  size_t size = 0;

  if (file == NULL)
    {
      fprintf (stderr, "jaytrail explain: %s: %s\n", path, strerror (errno));
      return TOOL_USAGE;
    }
  while (getline (&line, &size, file) >= 0)
    explain_line (explain, line);
  free (line);
  if (!is_input)
    fclose (file);
  return TOOL_OK;
}

static int
run (const char *id, const char **files, int count, bool as_json)
{
  explain_t *explain = explain_new (id);
  int status = TOOL_OK;

  for (int i = 0; i < count && status == TOOL_OK; i++)
    status = read_file (explain, files[i]);
  if (status == TOOL_OK)
    {
      size_t own = explain_finish (explain);
      if (as_json)
        {
          json_object *object = explain_json (explain);
          printf ("%s\n", json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
          json_object_put (object);
        }
      else
        {
          GString *text = g_string_new (NULL);
          explain_print (explain, text);
          fputs (text->str, stdout);
          g_string_free (text, TRUE);
        }
      status = own > 0 ? TOOL_OK : TOOL_FAILED;
    }
  explain_free (explain);
  return status;
}

int
cmd_explain (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "the job's id");
  struct arg_file *files =
      arg_filen (NULL, NULL, "FILE", 1, FILES_MAX, "logs of all hosts; - for standard input");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, json, id, files, end };
  int status = TOOL_OK;

  if (tool_parse (argc, argv, table, G_N_ELEMENTS (table),
                  "Orders the lines of one job over all hosts and names the cause of its outcome.",
                  &status))
    status = run (id->sval[0], files->filename, files->count, json->count > 0);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
