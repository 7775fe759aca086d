/* cmd_publish.c -- jaytrail publish: puts the lists of plans and limits in force */
#include "tool/publish.h"
#include "tool/tool.h"

#include "base/clock.h"
#include "base/error.h"
#include "config/list.h"

#include <argtable2.h>
#include <inttypes.h>
#include <json-c/json.h>

#define WAIT_S 30
#define WAIT_MAX_S 3600
#define ADDRESSES_MAX 16

typedef struct
{
  struct arg_lit *help;
  struct arg_str *platform;
  struct arg_file *plans;
  struct arg_file *limits;
  struct arg_int *wait_s;
  struct arg_lit *json;
  struct arg_end *end;
} args_t;

/* What each outcome means to the operator. */
static const struct
{
  int result;
  int status;
  const char *name;
  const char *sentence;
} outcomes[] = {
  { 0, TOOL_OK, "accepted", "the lists are in force" },
  { ERROR_LOST_RACE, TOOL_LOST_RACE, "lost_race",
    "another publication came first, and nothing of this one is in force; "
    "look at `jaytrail show` and publish again" },
  { ERROR_UNKNOWN_OUTCOME, TOOL_UNKNOWN, "unknown",
    "the platform did not answer, and the lists may still come into force; "
    "publishing the same lists again is safe" },
  { ERROR_NOT_FOUND, TOOL_FAILED, "no_state",
    "the log has lost records that no checkpoint covers, and nothing was published" },
  { ERROR_TIMEOUT, TOOL_FAILED, "unreachable",
    "the log could not be read, and nothing was published" },
  { ERROR_NOT_CONNECTED, TOOL_FAILED, "unreachable",
    "the platform could not be reached, and nothing was published" },
};

static void
print_json (size_t row, const config_publish_t *outcome)
{
  json_object *root = json_object_new_object ();
  json_object_object_add (root, "result", json_object_new_string (outcomes[row].name));
  json_object_object_add (root, "revision", json_object_new_int64 (outcome->revision));
  json_object_object_add (root, "edits", json_object_new_int64 (outcome->edit_count));
  json_object_object_add (root, "message", json_object_new_string (outcomes[row].sentence));
  if (outcome->changed)
    json_object_object_add (root, "changed", json_object_new_string (outcome->changed));
  printf ("%s\n", json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
}

static int
report (const config_publish_t *outcome, bool json)
{
  size_t row = 0;
  while (row < G_N_ELEMENTS (outcomes) - 1 && outcomes[row].result != outcome->result)
    row++;
  if (json)
    print_json (row, outcome);
  if (outcome->result == 0 && !json)
    printf ("accepted %" PRId64 "\n", outcome->revision);
  else if (outcome->result < 0)
    fprintf (stderr, "jaytrail publish: %s: %s%s%s\n", outcomes[row].name, outcomes[row].sentence,
             outcome->changed ? "; changed since: " : "", outcome->changed ? outcome->changed : "");
  return outcomes[row].status;
}

/* Reads the files that are given.  Returns false after a message. */
static bool
read_lists (const args_t *args, GPtrArray *lists[CONFIG_KINDS])
{
  const struct arg_file *files[CONFIG_KINDS] = { args->plans, args->limits };
  for (int kind = 0; kind < CONFIG_KINDS; kind++)
    {
      char *message = NULL;
      if (files[kind]->count == 0)
        continue;
      if (config_list_read (files[kind]->filename[0], (config_kind_t) kind, &lists[kind], &message)
          == 0)
        continue;
      fprintf (stderr, "%s\n", message);
      g_free (message);
      return false;
    }
  return true;
}

static int
run (const args_t *args)
{
  GPtrArray *lists[CONFIG_KINDS] = { NULL };
  int status = TOOL_USAGE;
  if (args->plans->count + args->limits->count == 0)
    fprintf (stderr, "jaytrail publish: give --plans FILE, --limits FILE or both\n");
  else if (args->wait_s->ival[0] < 1 || args->wait_s->ival[0] > WAIT_MAX_S)
    fprintf (stderr, "jaytrail publish: --wait-s: %d: must be from 1 to %d\n",
             args->wait_s->ival[0], WAIT_MAX_S);
  else if (read_lists (args, lists))
    {
      config_publish_t outcome;
      config_publication_id_t id = config_id_random ();
      const char *addresses[ADDRESSES_MAX + 1] = { NULL };
      for (int i = 0; i < args->platform->count; i++)
        addresses[i] = args->platform->sval[i];
      platform_client_t *client = platform_client_new (addresses, NULL, 0);
      config_publish (client, lists, &id,
                      clock_boot_ms () + (int64_t) args->wait_s->ival[0] * CLOCK_MS_PER_S,
                      &outcome);
      status = report (&outcome, args->json->count > 0);
      config_publish_clear (&outcome);
      platform_client_free (client);
    }
  for (int kind = 0; kind < CONFIG_KINDS; kind++)
    g_clear_pointer (&lists[kind], g_ptr_array_unref);
  return status;
}

int
cmd_publish (int argc, char **argv)
{
  args_t args = {
    .help = arg_lit0 ("h", "help", "print this help"),
    .platform = arg_strn (NULL, "platform", "IP:PORT", 1, ADDRESSES_MAX,
                          "address of the platform; may be repeated"),
    .plans = arg_file0 (NULL, "plans", "FILE", "the plan of each customer"),
    .limits = arg_file0 (NULL, "limits", "FILE", "what each plan may use"),
    .wait_s = arg_int0 (NULL, "wait-s", "N", "give up after N seconds (30)"),
    .json = arg_lit0 (NULL, "json", "print the outcome as JSON"),
    .end = arg_end (8),
  };
  void *table[] = { args.help,   args.platform, args.plans, args.limits,
                    args.wait_s, args.json,     args.end };
  int status = TOOL_OK;
  args.wait_s->ival[0] = WAIT_S;
  if (tool_parse (argc, argv, table, G_N_ELEMENTS (table),
                  "Publishes whole lists; a list that is not given stays as it is.  Entries that\n"
                  "are absent from a given list are removed.  All changes win or lose together.\n"
                  "Prints `accepted REVISION` once they are known to have won.\n\n"
                  "Exit status: 0 accepted, 1 nothing was published, 2 bad file or usage,\n"
                  "3 another publication came first, 4 the outcome is unknown.",
                  &status))
    status = run (&args);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
