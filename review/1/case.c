/* case.c -- workers join while the store does not answer one host, which then becomes their owner
 *
 * Host B of a zone is turned away by the store.  Two endpoints join the zone, and its owner, host
 * A, starts tasks there.  A is stopped with a SIGTERM, and B takes the zone over.  No task may run
 * twice at the same time.
 */
#include "review/common/deployment.h"

#include "base/clock.h"
#include "tests/site_call.h"

#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define HOSTS 4
#define ENDPOINTS 4
#define ZONES 2
#define ZONE_HOST_1 0 /* the hosts of the first zone */
#define ZONE_HOST_2 2
#define CALLED_HOST 1 /* of the other zone */
#define RULE_ID 1
#define JOINING "2"
#define FIRST_JOINING "50"
#define PORT_OFFSET 500 /* of the endpoints that join, in the block of ports of the rig */
#define JOBS 8
/* The first jobs fill the endpoints that are there from the start, for this long, so that the
 * others start on those that join. */
#define FIRST_TASK_MS 4000
#define TASK_MS 2500
#define CALLER_WAIT_MS 6000
#define SETTLE_MS 2500
#define STOP_AFTER_MS 400

/* Starts the endpoints that join; their ledger is the file that is returned. */
static char *
start_joining (const rig_t *rig, pid_t *pid)
{
  char *program = g_strdup_printf ("%s/fake_site", rig->programs);
  char *log = g_strdup_printf ("127.0.0.1:%d", rig->ports.first_port);
  char *port = g_strdup_printf ("%d", rig->ports.first_port + PORT_OFFSET);
  char *ledger = g_strdup_printf ("%s/joining.ledger", rig->directory);
  char *argv[] = { program,
                   "--log",
                   log,
                   "--endpoints",
                   JOINING,
                   "--first",
                   FIRST_JOINING,
                   "--first-port",
                   port,
                   "--data-centres",
                   rig->hosts[ZONE_HOST_1].zone,
                   "--room",
                   "4",
                   "--ledger",
                   NULL };

  *pid = site_run (argv, NULL, ledger);
  g_free (port);
  g_free (log);
  g_free (program);
  return ledger;
}

/* --- runs that overlap --- */

typedef struct
{
  char *task;
  char *endpoint;
  int64_t from_ms;
  int64_t until_ms; /* INT64_MAX: it has not ended */
} run_t;

static const char *
text_of (json_object *row, const char *key)
{
  json_object *value = NULL;

  return json_object_object_get_ex (row, key, &value) ? json_object_get_string (value) : "";
}

static void
add_row (GArray *runs, const char *line)
{
  json_object *row = json_tokener_parse (line);
  json_object *at = NULL;

  if (row == NULL || !json_object_object_get_ex (row, "at_ms", &at))
    {
      json_object_put (row);
      return;
    }
  int64_t at_ms = json_object_get_int64 (at);
  if (strcmp (text_of (row, "what"), "start") == 0)
    {
      run_t run = { g_strdup (text_of (row, "task")), g_strdup (text_of (row, "endpoint")), at_ms,
                    INT64_MAX };
      g_array_append_val (runs, run);
    }
  else
    for (guint i = 0; i < runs->len; i++)
      {
        run_t *run = &g_array_index (runs, run_t, i);
        if (run->until_ms == INT64_MAX && strcmp (run->task, text_of (row, "task")) == 0
            && strcmp (run->endpoint, text_of (row, "endpoint")) == 0)
          run->until_ms = at_ms;
      }
  json_object_put (row);
}

static void
read_ledger (GArray *runs, const char *file)
{
  char *text = NULL;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    return;
  char **lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    if (**line == '{')
      add_row (runs, *line);
  g_strfreev (lines);
  g_free (text);
}

/* Returns the number of pairs of runs of one task that overlap. */
static int
count_twice (deployment_t *deployment, const char *joining_ledger)
{
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (run_t));
  int twice = 0;

  for (int i = 0; i < deployment->rig.endpoints_count; i++)
    read_ledger (runs, deployment->rig.endpoints[i].ledger);
  read_ledger (runs, joining_ledger);
  for (guint i = 0; i < runs->len; i++)
    for (guint k = 0; k < runs->len; k++)
      {
        const run_t *a = &g_array_index (runs, run_t, i);
        const run_t *b = &g_array_index (runs, run_t, k);
        if (i == k || strcmp (a->task, b->task) != 0 || b->from_ms <= a->from_ms
            || b->from_ms >= a->until_ms)
          continue;
        twice++;
        deployment_note (deployment, "TWICE: %s runs on %s from %d ms and on %s from %d ms",
                         a->task, a->endpoint, (int) (a->from_ms - deployment->started_at_ms),
                         b->endpoint, (int) (b->from_ms - deployment->started_at_ms));
      }
  deployment_note (deployment, "%u runs, %d pairs of one task at the same time", runs->len, twice);
  g_array_unref (runs);
  return twice;
}

static void
append_ledger (deployment_t *deployment, const char *file)
{
  char *text = NULL;

  if (g_file_get_contents (file, &text, NULL, NULL))
    fprintf (deployment->record, "\nwhat the endpoints that joined have run\n%s", text);
  g_free (text);
}

/* --- the case --- */

/* Submits JOBS jobs of one task of WORK_MS, whose numbers begin with FIRST. */
static void
submit_jobs (deployment_t *deployment, int *channels, int first, int work_ms)
{
  const rig_t *rig = &deployment->rig;
  char spec[16];
  char *label = g_strdup_printf (",\"required_label\":\"r-%s\"", rig->hosts[ZONE_HOST_1].zone);

  g_snprintf (spec, sizeof spec, "%d", work_ms);
  char *body = site_job_json (1, spec, work_ms, label);
  deployment_note (deployment, "%d jobs of one task of %d ms for zone %s go to %s", JOBS, work_ms,
                   rig->hosts[ZONE_HOST_1].zone, rig->hosts[CALLED_HOST].name);
  for (int i = first; i < first + JOBS; i++)
    {
      char target[32];
      g_snprintf (target, sizeof target, "/q/%015xa", (unsigned) (0xc0de1000 + i));
      channels[i] = site_connect (RIG_CALLER_IP, rig_caller_port (rig, CALLED_HOST));
      site_send_request (channels[i], "POST", target, body, CALLER_WAIT_MS);
    }
  g_free (body);
  g_free (label);
}

static void
read_answers (deployment_t *deployment, const int *channels)
{
  int64_t until_ms = clock_boot_ms () + CALLER_WAIT_MS + 500;

  for (int i = 0; i < 2 * JOBS; i++)
    {
      site_response_t answer = site_read_response (channels[i], until_ms);
      deployment_note (deployment, "job %d is answered: %d %s", i, answer.status, answer.body);
      close (channels[i]);
    }
}

int
main (int argc, char **argv)
{
  deployment_t deployment;
  int channels[2 * JOBS];
  pid_t joining = 0;

  if (argc != 2 || !deployment_start (&deployment, argv[1], HOSTS, ENDPOINTS, ZONES))
    return REVIEW_NOT_RUN;
  rig_t *rig = &deployment.rig;
  clock_sleep_ms (REVIEW_CONTACT_WINDOW_MS + 1000);
  bool first_owns = deployment_owns_shard (&deployment, ZONE_HOST_1);
  bool second_owns = deployment_owns_shard (&deployment, ZONE_HOST_2);
  int owner = first_owns ? ZONE_HOST_1 : ZONE_HOST_2;
  int other = first_owns ? ZONE_HOST_2 : ZONE_HOST_1;
  if (first_owns == second_owns)
    {
      deployment_stop (&deployment);
      return REVIEW_NOT_RUN;
    }
  if (review_has_trouble ())
    {
      deployment_note (&deployment, "the store does not answer %s any more",
                       rig->hosts[other].name);
      proxy_rule (rig->proxy, RULE_ID, PROXY_HOLD, rig->hosts[other].name, "log", 0, false);
    }
  clock_sleep_ms (500);
  submit_jobs (&deployment, channels, 0, FIRST_TASK_MS);
  clock_sleep_ms (300);
  deployment_note (&deployment, "%s endpoints join zone %s", JOINING, rig->hosts[other].zone);
  char *ledger = start_joining (rig, &joining);
  clock_sleep_ms (SETTLE_MS);
  submit_jobs (&deployment, channels, JOBS, TASK_MS);
  clock_sleep_ms (STOP_AFTER_MS);
  deployment_note (&deployment, "SIGTERM to %s, the owner of zone %s", rig->hosts[owner].name,
                   rig->hosts[owner].zone);
  rig_stop_host (rig, owner);
  read_answers (&deployment, channels);
  int twice = count_twice (&deployment, ledger);
  append_ledger (&deployment, ledger);
  kill (joining, SIGKILL);
  waitpid (joining, NULL, 0);
  deployment_stop (&deployment);
  g_free (ledger);
  return twice > 0 ? REVIEW_BROKEN : REVIEW_HELD;
}
