/* fake_site.c -- stand-in for the users' machines: the platform's log and endpoints that run tasks
 *
 * One process and one thread: a listener for the log, and one for each endpoint, which register
 * in it.  With --log the endpoints register at the log of another such process instead.  The
 * process counts what must never happen, two runs of a task at one time, a start of a task that was
 * done, and a start beyond an endpoint's room; GET /seen tells.  POST /fault changes how it
 * behaves, its "endpoint" is an id or an array of ids; POST /config puts a configuration; POST
 * /drain/ZONE drains a data centre, DELETE removes that; POST /entry/ID an endpoint's entry; POST
 * /forget drops the history, POST /wipe the entries of endpoints too, until they register again.
 */
#include "base/clock.h"
#include "reactor/loop.h"
#include "reactor/web.h"
#include "standins/site_endpoint.h"
#include "standins/site_log.h"

#include <argtable2.h>
#include <glib.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 2
#define BEAT_MS 300
#define BODY_MAX (4 * 1024 * 1024)
#define ENTRIES "keyed.servers"
#define ENTRY_PATH "/entry/"
#define ENTRY_CALL_MS 1000
#define DRAIN_PATH "/drain/"

static loop_t *loop;
static web_server_t *web;
static site_log_t *records;
static GPtrArray *endpoints; /* site_endpoint_t */
static web_client_t *client; /* with --log */
static const char *log_address;
static int64_t beat_at_ms;
static char **data_centres; /* their names */

/* --- control --- */

static site_endpoint_t *
endpoint_named (const char *id)
{
  for (guint i = 0; i < endpoints->len; i++)
    if (g_strcmp0 (site_endpoint_id (endpoints->pdata[i]), id) == 0)
      return endpoints->pdata[i];
  return NULL;
}

static void
change_endpoint (json_object *id, const char *fault)
{
  site_endpoint_t *endpoint = endpoint_named (json_object_get_string (id));

  if (endpoint != NULL)
    site_endpoint_set_faults (endpoint, fault);
}

static void
change_endpoints (json_object *ids, const char *fault)
{
  if (!json_object_is_type (ids, json_type_array))
    {
      change_endpoint (ids, fault);
      return;
    }
  for (size_t i = 0; i < json_object_array_length (ids); i++)
    change_endpoint (json_object_array_get_idx (ids, i), fault);
}

static void
change_faults (web_request_t *request)
{
  json_object *fault = json_tokener_parse (request->body);
  site_log_faults_t *log = site_log_faults (records);
  json_object *value = NULL;

  if (fault == NULL)
    {
      web_reply (request, 400, NULL, "{}");
      return;
    }
  if (json_object_object_get_ex (fault, "log_down", &value))
    log->down = json_object_get_boolean (value);
  if (json_object_object_get_ex (fault, "log_silent", &value))
    log->silent = json_object_get_boolean (value);
  if (json_object_object_get_ex (fault, "log_slow_ms", &value))
    log->slow_ms = json_object_get_int64 (value);
  if (json_object_object_get_ex (fault, "log_lost", &value))
    log->lost = json_object_get_double (value);
  if (json_object_object_get_ex (fault, "endpoint", &value))
    change_endpoints (value, request->body);
  beat_at_ms = 0;
  json_object_put (fault);
  web_reply (request, 200, NULL, "{}");
}

static void
forget (web_request_t *request)
{
  site_log_forget (records, NULL);
  web_reply (request, 200, NULL, "{}");
}

static void
wipe (web_request_t *request)
{
  site_log_forget (records, ENTRIES);
  web_reply (request, 200, NULL, "{}");
}

static void
put_config (web_request_t *request)
{
  site_log_put (records, "keyed.op", "config", request->body);
  web_reply (request, 200, NULL, "{}");
}

/* The operator reaches the log also while hosts don't. */
static void
put_drain (web_request_t *request)
{
  char *key = g_strconcat ("evacuate/", request->target + strlen (DRAIN_PATH), NULL);

  site_log_put (records, "keyed.op", key, strcmp (request->method, "DELETE") == 0 ? "" : "{}");
  g_free (key);
  web_reply (request, 200, NULL, "{}");
}

static void
put_entry (web_request_t *request)
{
  if (site_log_faults (records)->down)
    {
      web_reply (request, 503, NULL, "{}");
      return;
    }
  /* Any bytes, as another writer may leave them. */
  char *id = g_uri_unescape_string (request->target + strlen (ENTRY_PATH), NULL);
  if (id != NULL)
    site_log_put_bytes (records, ENTRIES, id, request->body, request->body_bytes);
  web_reply (request, id != NULL ? 200 : 400, NULL, "{}");
  g_free (id);
}

static void
tell_seen (web_request_t *request)
{
  site_endpoint_totals_t totals = site_endpoint_totals ();
  GString *body = g_string_new (NULL);

  g_string_append_printf (
      body,
      "{\"starts\":%d,\"twice\":%d,\"again\":%d,\"crowded\":%d,\"refused\":%d,\"running\":%d,"
      "\"unacknowledged\":%d,\"tokens\":[",
      totals.starts, totals.twice, totals.again, totals.crowded, totals.refused, totals.running,
      totals.unacknowledged);
  for (guint i = 0; i < endpoints->len; i++)
    g_string_append_printf (body, "%s%" G_GINT64_FORMAT, i > 0 ? "," : "",
                            site_endpoint_token (endpoints->pdata[i]));
  g_string_append_c (body, ']');
  for (char **name = data_centres; *name != NULL; name++)
    g_string_append_printf (body, ",\"starts_%s\":%d,\"running_%s\":%d", *name,
                            site_endpoint_starts_in (*name), *name,
                            site_endpoint_running_in (*name));
  g_string_append_c (body, '}');
  web_reply (request, 200, NULL, body->str);
  g_string_free (body, TRUE);
}

static const struct
{
  const char *path;
  void (*run) (web_request_t *request);
} calls[] = {
  { "/fault", change_faults }, { "/forget", forget },     { "/wipe", wipe },
  { "/config", put_config },   { ENTRY_PATH, put_entry }, { "/seen", tell_seen },
  { DRAIN_PATH, put_drain },
};

static void
on_request (web_request_t *request, void *data)
{
  (void) data;
  request->user_data = NULL;
  for (gsize i = 0; i < G_N_ELEMENTS (calls); i++)
    if (g_str_has_prefix (request->target, calls[i].path))
      {
        calls[i].run (request);
        return;
      }
  if (!site_log_request (records, request))
    web_reply (request, 404, NULL, "{}");
}

static void
on_abandoned (web_request_t *request, void *data)
{
  (void) data;
  site_log_abandoned (records, request);
}

/* --- time --- */

static void
on_registered (const web_call_answer_t *answer, void *data)
{
  (void) answer;
  (void) data;
}

static void
register_elsewhere (const char *id, const char *entry, int64_t now_ms)
{
  char *target = g_strconcat (ENTRY_PATH, id, NULL);
  web_call_options_t call = { .address = log_address,
                              .method = "POST",
                              .target = target,
                              .headers = "Content-Type: application/json\r\n",
                              .body = entry,
                              .body_bytes = strlen (entry),
                              .deadline_at_ms = now_ms + ENTRY_CALL_MS,
                              .done = on_registered };

  web_call_start (client, &call);
  g_free (target);
}

/* Puts ENTRY under ID; an empty one removes what is there. */
static void
change_entry (const char *id, const char *entry, int64_t now_ms)
{
  if (log_address != NULL)
    register_elsewhere (id, entry, now_ms);
  else
    site_log_put (records, ENTRIES, id, entry);
}

static void
register_endpoint (site_endpoint_t *endpoint, int64_t now_ms)
{
  const char *id = site_endpoint_id (endpoint);
  char *entry = NULL;
  site_entry_change_t change = site_endpoint_register (endpoint, &entry);

  if (change == SITE_ENTRY_REPLACE)
    change_entry (id, "", now_ms);
  if (change != SITE_ENTRY_KEEP)
    change_entry (id, entry, now_ms);
  g_free (entry);
}

static void
register_endpoints (int64_t now_ms)
{
  if (now_ms - beat_at_ms < BEAT_MS || (log_address == NULL && site_log_faults (records)->down))
    return;
  beat_at_ms = now_ms;
  for (guint i = 0; i < endpoints->len; i++)
    register_endpoint (endpoints->pdata[i], now_ms);
}

static void
on_tick (void *data)
{
  int64_t now_ms = clock_boot_ms ();

  (void) data;
  site_endpoint_tick (now_ms);
  register_endpoints (now_ms);
  site_log_tick (records, now_ms);
  if (client != NULL)
    web_client_tick (client, now_ms);
}

static void
on_stop (void *data)
{
  loop_stop (data);
}

/* --- start --- */

typedef struct
{
  const char *listen;
  int count;
  int first; /* number of the first endpoint */
  int first_port;
  const char *data_centres;
  const char *known_at; /* IP that entries tell */
  int room;
  bool ledger;
} arguments_t;

static void
add_endpoint (const arguments_t *arguments, int number, const char *data_centre)
{
  int port = arguments->first_port + number;
  site_endpoint_t *endpoint = NULL;
  site_endpoint_options_t options = {
    .id = g_strdup_printf ("e%d", arguments->first + number),
    .address = g_strdup_printf ("127.0.0.1:%d", port),
    .known_as = g_strdup_printf ("%s:%d", arguments->known_at, port),
    .data_centre = data_centre,
    .rack = g_strdup_printf ("r-%s", data_centre),
    .room = arguments->room,
    .ledger = arguments->ledger,
  };

  if (site_endpoint_new (loop, &options, &endpoint) != 0)
    {
      fprintf (stderr, "fake_site: cannot listen on %s\n", options.address);
      exit (EXIT_FAILURE);
    }
  g_ptr_array_add (endpoints, endpoint);
}

static int
serve (const arguments_t *arguments)
{
  static const web_server_handlers_t ops = { on_request, on_abandoned };
  char **names = g_strsplit (arguments->data_centres, ",", -1);
  guint names_count = g_strv_length (names);

  data_centres = names;
  records = site_log_new ();
  endpoints = g_ptr_array_new ();
  loop = loop_new (TICK_MS, on_tick, NULL);
  if (log_address != NULL)
    client = web_client_new (loop);
  for (int i = 0; i < arguments->count; i++)
    add_endpoint (arguments, i, names[(guint) i % names_count]);
  web_server_options_t options = { .address = arguments->listen,
                                   .limits = { 65536, BODY_MAX, 10000, 60000 },
                                   .handlers = &ops };
  if (log_address == NULL && web_server_start (loop, &options, &web) != 0)
    {
      fprintf (stderr, "fake_site: cannot listen on %s\n", arguments->listen);
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  loop_on_signal (loop, SIGTERM, on_stop, loop);
  if (!arguments->ledger)
    printf ("listening %s\n", arguments->listen);
  fflush (stdout);
  loop_run (loop);
  g_strfreev (names);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arg_str *listen = arg_str0 (NULL, "listen", "IP:PORT", "where the log listens");
  struct arg_str *log = arg_str0 (NULL, "log", "IP:PORT", "register there; no log of its own");
  struct arg_int *count = arg_int1 (NULL, "endpoints", "N", "how many endpoints");
  struct arg_int *first = arg_int0 (NULL, "first", "N", "number of the first endpoint");
  struct arg_int *port = arg_int1 (NULL, "first-port", "PORT", "of the first endpoint");
  struct arg_str *names = arg_str1 (NULL, "data-centres", "A,B", "names, in turn");
  struct arg_str *known = arg_str0 (NULL, "known-at", "IP", "the IP that entries tell");
  struct arg_int *room = arg_int0 (NULL, "room", "N", "tasks at once on an endpoint");
  struct arg_lit *ledger = arg_lit0 (NULL, "ledger", "a line for each start and end");
  struct arg_end *end = arg_end (4);
  void *table[] = { listen, log, count, first, port, names, known, room, ledger, end };

  known->sval[0] = "127.0.0.1";
  room->ival[0] = 3;
  first->ival[0] = 0;
  if (arg_parse (argc, argv, table) > 0 || listen->count + log->count != 1)
    {
      arg_print_errors (stderr, end, "fake_site");
      arg_print_syntax (stderr, table, "\n");
      return 2;
    }
  log_address = log->count > 0 ? log->sval[0] : NULL;
  arguments_t arguments = {
    .listen = listen->count > 0 ? listen->sval[0] : "",
    .count = count->ival[0],
    .first = first->ival[0],
    .first_port = port->ival[0],
    .data_centres = names->sval[0],
    .known_at = known->sval[0],
    .room = room->ival[0],
    .ledger = ledger->count > 0,
  };
  return serve (&arguments);
}
