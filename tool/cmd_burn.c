/* cmd_burn.c -- jaytrail burn: who burns the error budget, and why */
#include "tool/tool.h"

#include "base/clock.h"
#include "base/error.h"
#include "tool/fetch.h"
#include "slo/render.h"

#include <argtable2.h>
#include <glib.h>
#include <string.h>

#define ADDRESSES_MAX 64

typedef struct
{
  struct arg_lit *help;
  struct arg_str *admin;
  struct arg_lit *json;
  struct arg_file *html;
  struct arg_end *end;
} args_t;

static const int statuses[] = {
  [SLO_ALERT_NONE] = TOOL_OK,
  [SLO_ALERT_SLOW_BURN] = TOOL_SLOW_BURN,
  [SLO_ALERT_FAST_BURN] = TOOL_FAST_BURN,
};

/* Returns true if ADDRESS gave a report. */
static bool
ask (slo_merge_t *merge, const char *address)
{
  int error = 0;
  json_object *report = fetch_json (address, "/v1/burn", &error);

  if (report == NULL)
    {
      slo_merge_add_unreachable (merge, address, error_name (error));
      return false;
    }
  bool good = slo_merge_add (merge, address, report) == 0;
  json_object_put (report);
  return good;
}

static int
ask_all (slo_merge_t *merge, const args_t *args)
{
  int answered = 0;

  for (int i = 0; i < args->admin->count; i++)
    {
      char **addresses = g_strsplit (args->admin->sval[i], ",", -1);
      for (char **address = addresses; *address != NULL; address++)
        answered += ask (merge, *address);
      g_strfreev (addresses);
    }
  return answered;
}

static int
write_html (const slo_merge_t *merge, const char *path)
{
  GString *page = g_string_new (NULL);
  GError *error = NULL;

  slo_render_html (merge, page);
  bool written = g_file_set_contents (path, page->str, (gssize) page->len, &error);
  g_string_free (page, TRUE);
  if (written)
    return TOOL_OK;
  fprintf (stderr, "jaytrail burn: %s\n", error->message);
  g_error_free (error);
  return TOOL_FAILED;
}

static void
print (const slo_merge_t *merge, bool as_json)
{
  if (as_json)
    {
      json_object *root = slo_render_json (merge);
      printf ("%s\n", json_object_to_json_string_ext (root, JSON_C_TO_STRING_PRETTY));
      json_object_put (root);
      return;
    }
  GString *text = g_string_new (NULL);
  slo_render_text (merge, text);
  fputs (text->str, stdout);
  g_string_free (text, TRUE);
}

static int
run (const args_t *args)
{
  slo_merge_t *merge = slo_merge_new ();
  int status = TOOL_OK;
  int answered = ask_all (merge, args);

  slo_merge_finish (merge, clock_wall_ms ());
  print (merge, args->json->count > 0);
  if (args->html->count > 0)
    status = write_html (merge, args->html->filename[0]);
  if (answered == 0)
    {
      fputs ("jaytrail burn: no host answered\n", stderr);
      status = TOOL_FAILED;
    }
  if (status == TOOL_OK)
    status = statuses[slo_merge_worst_alert (merge)];
  slo_merge_free (merge);
  return status;
}

int
cmd_burn (int argc, char **argv)
{
  args_t args = {
    .help = arg_lit0 ("h", "help", "print this help"),
    .admin = arg_strn (NULL, "admin", "IP:PORT,...", 1, ADDRESSES_MAX,
                       "admin addresses of the hosts to ask; may be repeated"),
    .json = arg_lit0 (NULL, "json", "print as JSON"),
    .html = arg_file0 (NULL, "html", "FILE", "also write a page with plots"),
    .end = arg_end (8),
  };
  void *table[] = { args.help, args.admin, args.json, args.html, args.end };
  int status = TOOL_OK;

  if (tool_parse (argc, argv, table, G_N_ELEMENTS (table),
                  "Reports each plan's error budget, how fast it burns and why, and what is not "
                  "known.\nExit status: 0 fine, 5 slow burn, 6 fast burn, 1 no host answered, 2 "
                  "usage.",
                  &status))
    status = run (&args);
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
