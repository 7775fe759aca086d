/* propagation.c -- how fast an edit and a leaving endpoint reach every host, and what that costs
 *
 * Starts the platform's stand-in and daemons as processes, publishes by the
 * tool, and asks every host for its status until all have the change.  Prints
 * one row for each number of hosts and each fault.
 *
 *   propagation [--build DIRECTORY] [--hosts N]     N: most hosts in each data centre
 */
#include "base/clock.h"
#include "http/client.h"

#include <argtable2.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#define DATA_CENTRES 3
#define HOSTS_MAX 8
#define PORT_PLATFORM 22000
#define PORT_BASE 22010
#define PORTS_OF_HOST 3
#define ROUNDS 5
#define GIVE_UP_MS 30000
#define CALL_MS 3000
#define ANSWER_MAX_BYTES (16 * 1024 * 1024)
#define RATE_MS 5000
#define SETTLE_MS 3000
#define POLL_MS 2
#define PLATFORM "127.0.0.1:22000"

typedef struct
{
  const char *build;
  char *folder;
  int hosts; /* in each data centre */
  int next_port;
  GArray *processes; /* of GPid */
  GPtrArray *admins; /* addresses */
  int published;
} bench_t;

/* Returns the body of the answer, or NULL. */
static char *
call (const char *address, const char *method, const char *path, const char *body)
{
  http_answer_t answer = { 0 };
  http_call_t request = { .method = method, .path = path, .max_answer_bytes = ANSWER_MAX_BYTES };
  request.body = body;
  request.body_bytes = body ? strlen (body) : 0;
  request.deadline_at_ms = clock_boot_ms () + CALL_MS;
  if (http_call_once (address, &request, &answer) != 0)
    return NULL;
  char *text = g_strndup ((const char *) answer.body->data, answer.body->len);
  http_answer_clear (&answer);
  return text;
}

/* In the child: it ends with the bench, however that ends. */
static void
end_with_parent (gpointer data)
{
  (void) data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static void
start (bench_t *bench, char **argv)
{
  GPid process = 0;
  GError *error = NULL;
  GSpawnFlags flags =
      G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL | G_SPAWN_STDERR_TO_DEV_NULL;
  if (!g_spawn_async (NULL, argv, NULL, flags, end_with_parent, NULL, &process, &error))
    {
      fprintf (stderr, "propagation: %s\n", error->message);
      exit (EXIT_FAILURE);
    }
  g_array_append_val (bench->processes, process);
}

static void
stop_all (bench_t *bench)
{
  for (guint i = 0; i < bench->processes->len; i++)
    kill (g_array_index (bench->processes, GPid, i), SIGKILL);
  for (guint i = 0; i < bench->processes->len; i++)
    waitpid (g_array_index (bench->processes, GPid, i), NULL, 0);
  g_array_set_size (bench->processes, 0);
  g_ptr_array_set_size (bench->admins, 0);
}

static char *
peers_text (const bench_t *bench, int base)
{
  GString *text = g_string_new (NULL);
  for (int centre = 0; centre < DATA_CENTRES; centre++)
    {
      g_string_append_printf (text, "%s\"dc-%c\":[", centre ? "," : "", 'a' + centre);
      for (int host = 0; host < bench->hosts; host++)
        g_string_append_printf (text, "%s\"127.0.0.1:%d\"", host ? "," : "",
                                base + (centre * bench->hosts + host) * PORTS_OF_HOST + 2);
      g_string_append (text, "]");
    }
  return g_string_free (text, FALSE);
}

static void
start_host (bench_t *bench, int index, int base, const char *peers)
{
  int port = base + index * PORTS_OF_HOST;
  char *settings = g_strdup_printf (
      "{\"host_id\":\"h%02d\",\"data_centre\":\"dc-%c\",\"caller_listen\":\"127.0.0.1:%d\","
      "\"admin_listen\":\"127.0.0.1:%d\",\"peer_listen\":\"127.0.0.1:%d\","
      "\"platform\":[\"" PLATFORM
      "\"],\"caller_threads\":4,\"endpoint_threads\":4,\"test_faults\":true,"
      "\"data_centres\":{%s}}",
      index, 'a' + index / bench->hosts, port, port + 1, port + 2, peers);
  char *file = g_strdup_printf ("%s/h%02d.json", bench->folder, index);
  char *program = g_strdup_printf ("%s/jaytraild", bench->build);
  char *argv[] = { program, "--settings", file, NULL };
  g_file_set_contents (file, settings, -1, NULL);
  start (bench, argv);
  g_ptr_array_add (bench->admins, g_strdup_printf ("127.0.0.1:%d", port + 1));
  g_free (settings);
  g_free (file);
  g_free (program);
}

/* Every run has ports of its own: those of killed processes stay taken. */
static void
start_all (bench_t *bench)
{
  int count = bench->hosts * DATA_CENTRES;
  char *program = g_strdup_printf ("%s/fake_platform", bench->build);
  char *argv[] = { program, "--listen", PLATFORM, NULL };
  start (bench, argv);
  while (call (PLATFORM, "GET", "/stats", NULL) == NULL)
    clock_sleep_ms (POLL_MS);
  char *peers = peers_text (bench, bench->next_port);
  for (int i = 0; i < count; i++)
    start_host (bench, i, bench->next_port, peers);
  bench->next_port += count * PORTS_OF_HOST;
  g_free (peers);
  g_free (program);
}

/* The number at PATH (names apart by a dot) in the status of ADDRESS, or -1. */
static int64_t
status_number (const char *address, const char *path)
{
  char *text = call (address, "GET", "/v1/status", NULL);
  json_object *root = text ? json_tokener_parse (text) : NULL;
  json_object *value = root;
  char **names = g_strsplit (path, ".", -1);
  for (int i = 0; names[i] && value; i++)
    if (!json_object_object_get_ex (value, names[i], &value))
      value = NULL;
  int64_t number = value ? json_object_get_int64 (value) : -1;
  g_strfreev (names);
  json_object_put (root);
  g_free (text);
  return number;
}

/* Waits until the number at PATH is at least WANTED on every host; returns the
 * time since FROM_MS, or -1. */
static int64_t
wait_everywhere (const bench_t *bench, const char *path, int64_t wanted, int64_t from_ms)
{
  for (guint i = 0; i < bench->admins->len; i++)
    while (status_number (bench->admins->pdata[i], path) < wanted)
      {
        if (clock_boot_ms () - from_ms > GIVE_UP_MS)
          return -1;
        clock_sleep_ms (POLL_MS);
      }
  return clock_boot_ms () - from_ms;
}

/* Publishes a list that differs from the last one; returns the revision, or -1. */
static int64_t
publish (bench_t *bench)
{
  char *file = g_strdup_printf ("%s/plans.json", bench->folder);
  char *list = g_strdup_printf ("{\"plans\":{\"lantern\":\"plan-%d\"}}", ++bench->published);
  char *program = g_strdup_printf ("%s/jaytrail", bench->build);
  char *argv[] = { program, "publish", "--platform", PLATFORM, "--plans", file, NULL };
  char *out = NULL;
  int64_t revision = -1;
  g_file_set_contents (file, list, -1, NULL);
  if (g_spawn_sync (NULL, argv, NULL, G_SPAWN_STDERR_TO_DEV_NULL, NULL, NULL, &out, NULL, NULL,
                    NULL)
      && g_str_has_prefix (out, "accepted "))
    revision = g_ascii_strtoll (out + strlen ("accepted "), NULL, 10);
  g_free (out);
  g_free (file);
  g_free (list);
  g_free (program);
  return revision;
}

/* Sets the list of hosts to COUNT endpoints, the last LEAVING of them leaving. */
static void
set_hosts (int count, int leaving)
{
  GString *text = g_string_new ("{\"hosts\":[");
  for (int i = 0; i < count; i++)
    g_string_append_printf (text,
                            "%s{\"id\":\"e%d\",\"role\":\"endpoint\",\"data_centre\":\"dc-a\","
                            "\"address\":\"127.0.0.1:%d\",\"slots\":8,\"connections\":8,"
                            "\"cores\":8,\"memory_mb\":1024,\"rack\":\"r\",\"state\":\"%s\"}",
                            i ? "," : "", i, 9000 + i, i >= count - leaving ? "leaving" : "live");
  g_string_append (text, "]}");
  g_free (call (PLATFORM, "POST", "/hosts", text->str));
  g_string_free (text, TRUE);
}

static int
compare_times (const void *a, const void *b)
{
  int64_t left = *(const int64_t *) a;
  int64_t right = *(const int64_t *) b;
  return (left > right) - (left < right);
}

/* The counter NAME of ADDRESS. */
static int64_t
metric (const char *address, const char *name)
{
  char *text = call (address, "GET", "/metrics", NULL);
  const char *line = text ? strstr (text, name) : NULL;
  int64_t value = line ? g_ascii_strtoll (line + strlen (name), NULL, 10) : 0;
  g_free (text);
  return value;
}

typedef struct
{
  int64_t sum;
  int64_t most;
} growth_t;

/* Adds to GROWTHS how much the counters NAMES grow in RATE_MS. */
static void
measure_growth (const bench_t *bench, const char *const *names, growth_t *growths, size_t count)
{
  guint hosts = bench->admins->len;
  int64_t *before = g_new (int64_t, hosts * count);
  for (guint i = 0; i < hosts * count; i++)
    before[i] = metric (bench->admins->pdata[i / count], names[i % count]);
  clock_sleep_ms (RATE_MS);
  for (guint i = 0; i < hosts * count; i++)
    {
      int64_t grown = metric (bench->admins->pdata[i / count], names[i % count]) - before[i];
      growths[i % count].sum += grown;
      growths[i % count].most = MAX (growths[i % count].most, grown);
    }
  g_free (before);
}

static int64_t
platform_calls (void)
{
  char *text = call (PLATFORM, "GET", "/stats", NULL);
  json_object *root = text ? json_tokener_parse (text) : NULL;
  json_object *calls = NULL;
  int64_t sum = 0;
  if (root && json_object_object_get_ex (root, "calls", &calls))
    {
      json_object_object_foreach (calls, name, value)
      {
        if (*name != '\0')
          sum += json_object_get_int64 (value);
      }
    }
  json_object_put (root);
  g_free (text);
  return sum;
}

static void
print_edits (bench_t *bench, const char *label)
{
  int64_t times[ROUNDS];
  for (int i = 0; i < ROUNDS; i++)
    {
      int64_t revision = publish (bench);
      times[i] =
          revision < 0 ? -1 : wait_everywhere (bench, "revision", revision, clock_boot_ms ());
    }
  qsort (times, ROUNDS, sizeof times[0], compare_times);
  printf ("| %2d | %-32s | edit in force everywhere | median %5" PRId64 " ms, worst %5" PRId64
          " ms of %d%s |\n",
          bench->hosts * DATA_CENTRES, label, times[ROUNDS / 2], times[ROUNDS - 1], ROUNDS,
          times[0] < 0 ? ", SOME FAILED" : "");
  fflush (stdout);
}

static void
print_leaving (bench_t *bench, const char *label)
{
  int64_t times[ROUNDS];
  for (int i = 0; i < ROUNDS; i++)
    {
      set_hosts (ROUNDS, 0);
      clock_sleep_ms (SETTLE_MS);
      int64_t from_ms = clock_boot_ms ();
      set_hosts (ROUNDS, 1 + i);
      times[i] = wait_everywhere (bench, "config.host_list.leaving", 1 + i, from_ms);
    }
  qsort (times, ROUNDS, sizeof times[0], compare_times);
  printf ("| %2d | %-32s | leaving known everywhere | median %5" PRId64 " ms, worst %5" PRId64
          " ms of %d%s |\n",
          bench->hosts * DATA_CENTRES, label, times[ROUNDS / 2], times[ROUNDS - 1], ROUNDS,
          times[0] < 0 ? ", SOME FAILED" : "");
  fflush (stdout);
}

static void
print_rates (const bench_t *bench)
{
  static const char *const names[] = { "\njaytrail_relay_bytes_total ",
                                       "\njaytrail_relay_messages_total " };
  growth_t growths[G_N_ELEMENTS (names)] = { 0 };
  int64_t calls = platform_calls ();
  int64_t begin_ms = clock_boot_ms ();
  measure_growth (bench, names, growths, G_N_ELEMENTS (names));
  double seconds = (double) (clock_boot_ms () - begin_ms) / CLOCK_MS_PER_S;
  double hosts = bench->admins->len;
  printf (
      "| %2d | %-32s | rates                    | platform %.1f calls/s, relay bytes/s sent: mean "
      "%.0f, most %.0f; messages/s: mean %.1f, most %.1f |\n",
      bench->hosts * DATA_CENTRES, "idle", (double) (platform_calls () - calls) / seconds,
      (double) growths[0].sum / seconds / hosts, (double) growths[0].most / seconds,
      (double) growths[1].sum / seconds / hosts, (double) growths[1].most / seconds);
  fflush (stdout);
}

static const struct
{
  const char *label;
  const char *fault;
  bool cut_peers;
} faults[] = {
  { "platform answers 2 s late", "{\"delay_ms\":2000}", false },
  { "platform refuses one data centre", "{\"data_centre\":\"dc-a\",\"outage\":true}", false },
  { "platform hangs for one", "{\"data_centre\":\"dc-a\",\"hang\":true}", false },
  { "platform refuses dc-a, dc-b cut", "{\"data_centre\":\"dc-a\",\"outage\":true}", true },
};

/* Cuts the hosts of the first data centre from those of the second, or heals. */
static void
cut_peers (const bench_t *bench, bool cut)
{
  char *body = g_strdup_printf ("{\"data_centre\":\"dc-b\",\"in\":%s,\"out\":%s}",
                                cut ? "true" : "false", cut ? "true" : "false");
  for (int i = 0; i < bench->hosts; i++)
    g_free (call (bench->admins->pdata[i], "POST", "/v1/test/cut", body));
  g_free (body);
}

static void
run_size (bench_t *bench, bool with_faults)
{
  start_all (bench);
  set_hosts (1, 0);
  int64_t from_ms = clock_boot_ms ();
  int64_t revision = publish (bench);
  printf ("| %2d | %-32s | ready                    | %" PRId64 " ms after the last start |\n",
          bench->hosts * DATA_CENTRES, "no fault",
          wait_everywhere (bench, "revision", revision, from_ms));
  clock_sleep_ms (SETTLE_MS);
  print_edits (bench, "no fault");
  print_leaving (bench, "no fault");
  print_rates (bench);
  for (size_t i = 0; with_faults && i < G_N_ELEMENTS (faults); i++)
    {
      g_free (call (PLATFORM, "POST", "/fault", faults[i].fault));
      if (faults[i].cut_peers)
        cut_peers (bench, true);
      print_edits (bench, faults[i].label);
      print_leaving (bench, faults[i].label);
      g_free (call (PLATFORM, "POST", "/fault", "{\"reset\":true}"));
      if (faults[i].cut_peers)
        cut_peers (bench, false);
      clock_sleep_ms (SETTLE_MS);
    }
  stop_all (bench);
}

int
main (int argc, char **argv)
{
  struct arg_str *build = arg_str0 (NULL, "build", "DIRECTORY", "where the programs are (build)");
  struct arg_int *hosts = arg_int0 (NULL, "hosts", "N", "most hosts in each data centre (8)");
  struct arg_end *end = arg_end (4);
  void *table[] = { build, hosts, end };
  bench_t bench = { .build = "build", .next_port = PORT_BASE };
  int most = HOSTS_MAX;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "propagation");
      return EXIT_FAILURE;
    }
  if (build->count > 0)
    bench.build = build->sval[0];
  if (hosts->count > 0)
    most = CLAMP (hosts->ival[0], 1, HOSTS_MAX);
  bench.folder = g_dir_make_tmp ("propagation-XXXXXX", NULL);
  bench.processes = g_array_new (FALSE, FALSE, sizeof (GPid));
  bench.admins = g_ptr_array_new_with_free_func (g_free);
  printf ("| hosts | case | what | measured |\n|---|---|---|---|\n");
  for (bench.hosts = 1; bench.hosts <= most; bench.hosts *= 2)
    run_size (&bench, bench.hosts * 2 > most);
  arg_freetable (table, G_N_ELEMENTS (table));
  return EXIT_SUCCESS;
}
