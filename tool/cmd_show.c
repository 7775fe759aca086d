/* cmd_show.c -- jaytrail show: prints the configuration in force, as the log has it */
#include "tool/publish.h"
#include "tool/tool.h"

#include "base/clock.h"
#include "base/error.h"
#include "config/validate.h"

#include <argtable2.h>
#include <inttypes.h>
#include <json-c/json.h>

#define WAIT_S 10
#define WAIT_MAX_S 3600
#define ADDRESSES_MAX 16

typedef struct
{
  struct arg_lit *help;
  struct arg_str *platform;
  struct arg_int *wait_s;
  struct arg_lit *json;
  struct arg_end *end;
} args_t;

static void
print_entry (const config_entry_t *entry)
{
  if (entry->kind == CONFIG_PLAN)
    {
      printf ("  %-24s %s\n", entry->name, entry->value.plan);
      return;
    }
  int64_t values[CONFIG_FIELDS];
  config_limit_to_values (entry->value.limit, values);
  printf ("  %-24s", entry->name);
  for (int i = 0; i < CONFIG_FIELDS; i++)
    if (values[i] == CONFIG_NO_LIMIT)
      printf (" %s=none", config_fields[i].key);
    else
      printf (" %s=%" PRId64, config_fields[i].key, values[i]);
  printf ("\n");
}

static void
print_text (const config_t *config)
{
  static const char *const titles[CONFIG_KINDS] = { "plans (customer, plan)",
                                                    "limits (plan, what it may use)" };
  printf ("revision %" PRId64 "\n", config_revision (config));
  for (int kind = 0; kind < CONFIG_KINDS; kind++)
    {
      GPtrArray *entries = config_entries (config, (config_kind_t) kind);
      printf ("%s: %u\n", titles[kind], entries->len);
      for (guint i = 0; i < entries->len; i++)
        print_entry (entries->pdata[i]);
      g_ptr_array_unref (entries);
    }
}

static json_object *
value_json (const config_entry_t *entry)
{
  if (entry->kind == CONFIG_PLAN)
    return json_object_new_string (entry->value.plan);
  int64_t values[CONFIG_FIELDS];
  json_object *row = json_object_new_object ();
  config_limit_to_values (entry->value.limit, values);
  for (int i = 0; i < CONFIG_FIELDS; i++)
    if (values[i] != CONFIG_NO_LIMIT)
      json_object_object_add (row, config_fields[i].key, json_object_new_int64 (values[i]));
  return row;
}

static void
print_json (const config_t *config)
{
  static const char *const names[CONFIG_KINDS] = { "plans", "limits" };
  json_object *root = json_object_new_object ();
  json_object_object_add (root, "revision", json_object_new_int64 (config_revision (config)));
  for (int kind = 0; kind < CONFIG_KINDS; kind++)
    {
      GPtrArray *entries = config_entries (config, (config_kind_t) kind);
      json_object *list = json_object_new_object ();
      for (guint i = 0; i < entries->len; i++)
        {
          const config_entry_t *entry = entries->pdata[i];
          json_object_object_add (list, entry->name, value_json (entry));
        }
      json_object_object_add (root, names[kind], list);
      g_ptr_array_unref (entries);
    }
  printf ("%s\n", json_object_to_json_string_ext (root, JSON_C_TO_STRING_PRETTY));
  json_object_put (root);
}

static int
run (const args_t *args)
{
  if (args->wait_s->ival[0] < 1 || args->wait_s->ival[0] > WAIT_MAX_S)
    {
      fprintf (stderr, "jaytrail show: --wait-s: %d: must be from 1 to %d\n", args->wait_s->ival[0],
               WAIT_MAX_S);
      return TOOL_USAGE;
    }
  const char *addresses[ADDRESSES_MAX + 1] = { NULL };
  for (int i = 0; i < args->platform->count; i++)
    addresses[i] = args->platform->sval[i];
  platform_client_t *client = platform_client_new (addresses, NULL, 0);
  config_replica_t *fold = config_replica_new (&config_rules_all);
  int64_t end_at_ms = clock_boot_ms () + (int64_t) args->wait_s->ival[0] * CLOCK_MS_PER_S;
  int result = config_read (client, fold, end_at_ms);
  if (result < 0)
    fprintf (stderr, "jaytrail show: %s\n",
             result == ERROR_NOT_FOUND ? "the log has lost records that no checkpoint covers"
                                       : "the log could not be read");
  else if (args->json->count > 0)
    print_json (config_replica_config (fold));
  else
    print_text (config_replica_config (fold));
  config_replica_free (fold);
  platform_client_free (client);
  return result == 0 ? TOOL_OK : TOOL_FAILED;
}

int
cmd_show (int argc, char **argv)
{
  args_t args = {
    .help = arg_lit0 ("h", "help", "print this help"),
    .platform = arg_strn (NULL, "platform", "IP:PORT", 1, ADDRESSES_MAX,
                          "address of the platform; may be repeated"),
    .wait_s = arg_int0 (NULL, "wait-s", "N", "give up after N seconds (10)"),
    .json = arg_lit0 (NULL, "json", "print as JSON, in the form of the two lists"),
    .end = arg_end (8),
  };
  void *table[] = { args.help, args.platform, args.wait_s, args.json, args.end };
  int status = TOOL_OK;
  args.wait_s->ival[0] = WAIT_S;
  if (tool_parse (argc, argv, table, G_N_ELEMENTS (table),
                  "Prints the configuration that the log's records lead to, and its revision.\n\n"
                  "Exit status: 0 printed, 1 the log could not be read, 2 bad usage.",
                  &status))
    status = run (&args);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
