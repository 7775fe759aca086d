/* cmd_drains.c -- jaytrail drains: which data centres are drained, as a host knows it */
#include "tool/tool.h"

#include "base/error.h"
#include "tool/fetch.h"

#include <argtable2.h>
#include <glib.h>
#include <json-c/json.h>
#include <time.h>

#define STAMP_BYTES 32
#define MS_PER_S 1000

typedef struct
{
  struct arg_lit *help;
  struct arg_lit *json;
  struct arg_str *address;
  struct arg_end *end;
} args_t;

static json_object *
member (json_object *object, const char *key)
{
  json_object *value = NULL;

  json_object_object_get_ex (object, key, &value);
  return value;
}

static void
print_row (json_object *row)
{
  time_t since_s = (time_t) (json_object_get_int64 (member (row, "since_wall_ms")) / MS_PER_S);
  json_object *running = member (row, "running");
  char stamp[STAMP_BYTES] = "";
  struct tm parts;

  if (gmtime_r (&since_s, &parts) != NULL)
    strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%SZ", &parts);
  printf ("%-20s drained since %s by offset %s, running %s\n",
          json_object_get_string (member (row, "data_centre")), stamp,
          json_object_get_string (member (row, "offset")),
          running != NULL ? json_object_get_string (running) : "unknown");
}

static void
print_page (json_object *page)
{
  json_object *rows = member (page, "drains");
  size_t count = json_object_is_type (rows, json_type_array) ? json_object_array_length (rows) : 0;

  if (!json_object_get_boolean (member (page, "known")))
    printf ("not known yet\n");
  else if (count == 0)
    printf ("no data centre is drained as of offset %s\n",
            json_object_get_string (member (page, "end_offset")));
  for (size_t i = 0; i < count; i++)
    print_row (json_object_array_get_idx (rows, i));
  if (!json_object_get_boolean (member (page, "log_reachable")))
    printf ("the platform's log does not answer; this is what was known last\n");
}

static int
run (const args_t *args)
{
  const char *address = args->address->sval[0];
  int error = 0;
  json_object *page = fetch_json (address, "/v1/drains", &error);

  if (page == NULL)
    {
      fprintf (stderr, "jaytrail drains: %s: %s\n", address, error_name (error));
      return TOOL_FAILED;
    }
  if (args->json->count > 0)
    printf ("%s\n", json_object_to_json_string_ext (page, JSON_C_TO_STRING_PRETTY));
  else
    print_page (page);
  json_object_put (page);
  return TOOL_OK;
}

int
cmd_drains (int argc, char **argv)
{
  args_t args = {
    .help = arg_lit0 ("h", "help", "print this help"),
    .json = arg_lit0 (NULL, "json", "print as JSON"),
    .address = arg_str1 (NULL, NULL, "ADDRESS", "ready and metrics address of a host (IP:port)"),
    .end = arg_end (8),
  };
  void *table[] = { args.help, args.json, args.address, args.end };
  int status = TOOL_OK;

  if (tool_parse (argc, argv, table, G_N_ELEMENTS (table),
                  "Prints which data centres are drained, since when, by which record of the\n"
                  "platform's log, and how many tasks still run there.\n"
                  "Exit status 1 if the host did not answer.",
                  &status))
    status = run (&args);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
