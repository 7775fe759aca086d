/* cmd_status.c -- jaytrail status: what hosts say of themselves */
#include "tool/tool.h"

#include "base/error.h"
#include "tool/fetch.h"

#include <argtable2.h>
#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#define ADDRESSES_MAX 64

typedef struct
{
  struct arg_lit *help;
  struct arg_str *admin;
  struct arg_lit *json;
  struct arg_end *end;
} args_t;

static void
print_indented (const char *name, json_object *value, int depth)
{
  if (json_object_is_type (value, json_type_object))
    {
      printf ("%*s%s\n", depth, "", name);
      json_object_object_foreach (value, key, child) print_indented (key, child, depth + 2);
    }
  else if (json_object_is_type (value, json_type_array) && json_object_array_length (value) > 0
           && json_object_is_type (json_object_array_get_idx (value, 0), json_type_object))
    {
      printf ("%*s%s\n", depth, "", name);
      for (size_t i = 0; i < json_object_array_length (value); i++)
        printf ("%*s%s\n", depth + 2, "",
                json_object_to_json_string_ext (json_object_array_get_idx (value, i),
                                                JSON_C_TO_STRING_PLAIN));
    }
  else
    printf ("%*s%s: %s\n", depth, "", name,
            value != NULL ? json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN)
                          : "null");
}

static int
run (const args_t *args)
{
  int status = TOOL_OK;
  json_object *all = json_object_new_object ();

  for (int i = 0; i < args->admin->count; i++)
    {
      int error = 0;
      const char *address = args->admin->sval[i];
      json_object *host = fetch_json (address, "/v1/status", &error);
      if (host == NULL)
        {
          fprintf (stderr, "jaytrail status: %s: %s\n", address, error_name (error));
          status = TOOL_FAILED;
        }
      json_object_object_add (all, address, host);
    }
  if (args->json->count > 0)
    printf ("%s\n", json_object_to_json_string_ext (all, JSON_C_TO_STRING_PRETTY));
  else
    {
      json_object_object_foreach (all, address, host) if (host != NULL)
          print_indented (address, host, 0);
    }
  json_object_put (all);
  return status;
}

int
cmd_status (int argc, char **argv)
{
  args_t args = {
    .help = arg_lit0 ("h", "help", "print this help"),
    .admin = arg_strn (NULL, "admin", "IP:PORT", 1, ADDRESSES_MAX,
                       "admin address of a host; may be repeated"),
    .json = arg_lit0 (NULL, "json", "print as JSON"),
    .end = arg_end (8),
  };
  void *table[] = { args.help, args.admin, args.json, args.end };
  int status = TOOL_OK;

  if (tool_parse (argc, argv, table, G_N_ELEMENTS (table),
                  "Prints what each host says: revision, view, members, endpoints, plans.\n"
                  "Exit status 1 if a host did not answer.",
                  &status))
    status = run (&args);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
