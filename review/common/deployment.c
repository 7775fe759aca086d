/* deployment.c -- a small deployment for the scripts of the review, and the record of what it did
 */
#include "review/common/deployment.h"

#include "base/clock.h"
#include "tests/site_call.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#define PROGRAMS "target"

bool
review_has_trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

bool
deployment_start (deployment_t *deployment, const char *file, int hosts, int endpoints, int zones)
{
  *deployment = (deployment_t){ .record = fopen (file, "w"), .started_at_ms = clock_boot_ms () };
  deployment->rig = (rig_t){ .programs = PROGRAMS,
                             .hosts_count = hosts,
                             .endpoints_count = endpoints,
                             .zones = zones,
                             .book = book_new () };
  if (deployment->record == NULL)
    return false;
  deployment_note (deployment, "%d hosts and %d endpoints in %d zones start%s", hosts, endpoints,
                   zones, review_has_trouble () ? "" : "; without the disruption");
  return rig_start (&deployment->rig);
}

static void
note_ledgers (deployment_t *deployment)
{
  for (int i = 0; i < deployment->rig.endpoints_count; i++)
    {
      char *text = NULL;
      fprintf (deployment->record,
               "\nwhat endpoint e%d has run (times of the boot clock; %" PRId64 " is 0 ms)\n", i,
               deployment->started_at_ms);
      if (g_file_get_contents (deployment->rig.endpoints[i].ledger, &text, NULL, NULL))
        fputs (text, deployment->record);
      g_free (text);
    }
}

void
deployment_stop (deployment_t *deployment)
{
  note_ledgers (deployment);
  rig_stop (&deployment->rig, g_getenv ("KEEP_LOGS") != NULL);
  fclose (deployment->record);
}

void
deployment_note (deployment_t *deployment, const char *format, ...)
{
  va_list arguments;

  fprintf (deployment->record, "%6d ms  ", (int) (clock_boot_ms () - deployment->started_at_ms));
  va_start (arguments, format);
  vfprintf (deployment->record, format, arguments);
  va_end (arguments);
  fputc ('\n', deployment->record);
  fflush (deployment->record);
}

bool
deployment_owns_shard (const deployment_t *deployment, int host)
{
  static const char gauge[] = "\njaytrail_shards_owned ";
  site_response_t page =
      site_call (rig_caller_port (&deployment->rig, host) + 1, "GET", "/metrics", "");
  const char *line = strstr (page.body, gauge);

  return line == NULL || g_ascii_strtoll (line + strlen (gauge), NULL, 10) > 0;
}

int
deployment_host_without_shard (const deployment_t *deployment, int except)
{
  for (int i = deployment->rig.hosts_count; i-- > 0;)
    if (i != except && !deployment_owns_shard (deployment, i))
      return i;
  return -1;
}

static void
add_start (GArray *starts, const char *line)
{
  json_object *row = json_tokener_parse (line);
  json_object *what = NULL;
  json_object *at = NULL;
  json_object *task = NULL;
  json_object *endpoint = NULL;
  json_object *spec = NULL;

  if (row != NULL && json_object_object_get_ex (row, "what", &what)
      && strcmp (json_object_get_string (what), "start") == 0
      && json_object_object_get_ex (row, "at_ms", &at)
      && json_object_object_get_ex (row, "task", &task)
      && json_object_object_get_ex (row, "endpoint", &endpoint)
      && json_object_object_get_ex (row, "spec", &spec))
    {
      review_start_t start = { json_object_get_int64 (at), g_strdup (json_object_get_string (task)),
                               g_strdup (json_object_get_string (endpoint)),
                               g_strdup (json_object_get_string (spec)) };
      g_array_append_val (starts, start);
    }
  json_object_put (row);
}

static void
clear_start (void *data)
{
  review_start_t *start = data;

  g_free (start->task);
  g_free (start->endpoint);
  g_free (start->spec);
}

GArray *
deployment_starts (const deployment_t *deployment)
{
  GArray *starts = g_array_new (FALSE, FALSE, sizeof (review_start_t));

  g_array_set_clear_func (starts, clear_start);
  for (int i = 0; i < deployment->rig.endpoints_count; i++)
    {
      char *text = NULL;
      if (!g_file_get_contents (deployment->rig.endpoints[i].ledger, &text, NULL, NULL))
        continue;
      char **lines = g_strsplit (text, "\n", -1);
      for (char **line = lines; *line != NULL; line++)
        if (**line == '{')
          add_start (starts, *line);
      g_strfreev (lines);
      g_free (text);
    }
  return starts;
}

int
deployment_count_starts_after (deployment_t *deployment, int64_t at_ms)
{
  GArray *starts = deployment_starts (deployment);
  int count = 0;

  for (guint i = 0; i < starts->len; i++)
    count += g_array_index (starts, review_start_t, i).at_ms > at_ms;
  deployment_note (deployment, "%u starts in all, %d of them later than %d ms", starts->len, count,
                   (int) (at_ms - deployment->started_at_ms));
  g_array_unref (starts);
  return count;
}
