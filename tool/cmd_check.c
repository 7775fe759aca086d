/* cmd_check.c -- jaytrail check: checks a list or a settings file without a platform */
#include "tool/tool.h"

#include "base/error.h"
#include "config/list.h"
#include "settings/settings.h"

#include <argtable2.h>
#include <json-c/json.h>

#define FILES_MAX 64

typedef struct
{
  struct arg_lit *help;
  struct arg_file *files;
  struct arg_lit *json;
  struct arg_end *end;
} args_t;

/* What a file turned out to be. */
typedef struct
{
  int result;
  const char *kind;
  guint entries;
  char *message; /* of a bad file */
} verdict_t;

static verdict_t
check_file (const char *file)
{
  verdict_t verdict = { .kind = "settings" };
  char *text = NULL;
  gsize size = 0;
  config_kind_t kind = CONFIG_PLAN;
  bool is_list =
      g_file_get_contents (file, &text, &size, NULL) && config_list_kind (text, size, &kind);
  if (is_list)
    {
      GPtrArray *entries = NULL;
      verdict.kind = config_list_name (kind);
      verdict.result = config_list_parse (file, text, size, kind, &entries, &verdict.message);
      verdict.entries = entries ? entries->len : 0;
      g_clear_pointer (&entries, g_ptr_array_unref);
    }
  else
    {
      settings_t *settings = NULL;
      verdict.result = settings_read (file, &settings, &verdict.message);
      settings_free (settings);
    }
  g_free (text);
  return verdict;
}

static void
print_text (const char *file, const verdict_t *verdict)
{
  if (verdict->result < 0)
    fprintf (stderr, "%s\n", verdict->message);
  else if (verdict->entries > 0)
    printf ("%s: good list of %s, %u entries\n", file, verdict->kind, verdict->entries);
  else
    printf ("%s: good %s file\n", file, verdict->kind);
}

static json_object *
verdict_json (const char *file, const verdict_t *verdict)
{
  json_object *row = json_object_new_object ();
  json_object_object_add (row, "file", json_object_new_string (file));
  json_object_object_add (row, "good", json_object_new_boolean (verdict->result == 0));
  json_object_object_add (row, "kind", json_object_new_string (verdict->kind));
  json_object_object_add (row, "entries", json_object_new_int64 (verdict->entries));
  if (verdict->message)
    json_object_object_add (row, "message", json_object_new_string (verdict->message));
  return row;
}

static int
run (const args_t *args)
{
  int status = TOOL_OK;
  json_object *rows = json_object_new_array ();
  for (int i = 0; i < args->files->count; i++)
    {
      const char *file = args->files->filename[i];
      verdict_t verdict = check_file (file);
      if (verdict.result < 0)
        status = TOOL_USAGE;
      if (args->json->count > 0)
        json_object_array_add (rows, verdict_json (file, &verdict));
      else
        print_text (file, &verdict);
      g_free (verdict.message);
    }
  if (args->json->count > 0)
    printf ("%s\n", json_object_to_json_string_ext (rows, JSON_C_TO_STRING_PLAIN));
  json_object_put (rows);
  return status;
}

int
cmd_check (int argc, char **argv)
{
  args_t args = {
    .help = arg_lit0 ("h", "help", "print this help"),
    .files = arg_filen (NULL, NULL, "FILE", 1, FILES_MAX, "a list or a settings file"),
    .json = arg_lit0 (NULL, "json", "print the verdicts as JSON"),
    .end = arg_end (8),
  };
  void *table[] = { args.help, args.files, args.json, args.end };
  int status = TOOL_OK;
  if (tool_parse (argc, argv, table, G_N_ELEMENTS (table),
                  "Checks lists of plans, lists of limits and settings of the daemon; which of\n"
                  "them a FILE is follows from its first key.\n\n"
                  "Exit status: 0 all good, 2 bad file or usage.",
                  &status))
    status = run (&args);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
