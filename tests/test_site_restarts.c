/* test_site_restarts.c -- guard: a task ran twice after its endpoint had restarted under its id
 *
 * Endpoints of a rig crash at one time and come back as new instances under their ids, with
 * everything forgotten.  Each case does so several times, with and without load, and checks that no
 * task runs twice at a time or starts after it was done, and that all callers get true answers.
 *
 *   test_site_restarts [CASE [SEED]]
 */
#include "base/clock.h"
#include "tests/site_call.h"
#include "tests/site_rig.h"
#include "tests/unit_runner.h"

#include <CUnit/CUnit.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENDPOINTS 18
#define CALLERS_MAX 16
#define JOBS_MAX 64
#define DEFAULT_SEED 1
/* Owners learn how long tasks take from these. */
#define FIRST_JOBS 8
/* Within this time after a restart all runs are over and the next restart may come. */
#define SETTLE_MS 3000

typedef struct
{
  int64_t min_ms;
  int64_t max_ms;
} range_t;

typedef struct
{
  const char *name;
  int rounds;
  int restarting; /* so many of the endpoints */
  range_t down;
  bool refusing;
  int64_t entry_lag_ms;
  bool relisted;
  bool clock_back; /* the new start time is less than the earlier one */
  int slow;        /* from then on tasks take so many times as long */
  range_t again;   /* after so long they crash once more; 0: not */
  range_t order;   /* the first jobs are submitted so long after the crash; 0: before it */
  range_t kill;    /* so long after the crash an owner is killed; 0: not */
  int callers;
  int jobs; /* of each caller */
  int tasks;
  int work_ms;
} restart_case_t;

/* clang-format off */
static const restart_case_t cases[] = {
  { .name = "idle, tasks that end before the poll", .rounds = 2, .restarting = ENDPOINTS,
    .down = { 300, 600 }, .entry_lag_ms = 2000, .order = { 620, 900 },
    .callers = 4, .jobs = 4, .tasks = 2, .work_ms = 3 },
  { .name = "idle, tasks that end while a poll waits", .rounds = 2, .restarting = ENDPOINTS,
    .down = { 300, 600 }, .entry_lag_ms = 2000, .order = { 620, 900 },
    .callers = 4, .jobs = 3, .tasks = 2, .work_ms = 90 },
  { .name = "idle, tasks longer than the poll", .rounds = 2, .restarting = ENDPOINTS,
    .down = { 300, 600 }, .entry_lag_ms = 2000, .order = { 620, 900 },
    .callers = 4, .jobs = 1, .tasks = 2, .work_ms = 700 },
  { .name = "idle, tasks that last longer than expected", .rounds = 2, .restarting = ENDPOINTS,
    .down = { 300, 600 }, .entry_lag_ms = 2000, .slow = 40, .order = { 620, 900 },
    .callers = 4, .jobs = 1, .tasks = 2, .work_ms = 6 },
  { .name = "idle, connections break", .rounds = 2, .restarting = ENDPOINTS,
    .down = { 300, 600 }, .refusing = true, .entry_lag_ms = 2000, .order = { 620, 900 },
    .callers = 4, .jobs = 2, .tasks = 2, .work_ms = 300 },
  { .name = "idle, entries as soon as they are back", .rounds = 2, .restarting = ENDPOINTS,
    .down = { 550, 600 }, .order = { 600, 1100 },
    .callers = 4, .jobs = 2, .tasks = 2, .work_ms = 300 },
  { .name = "idle, entries removed and back in one reading", .rounds = 2, .restarting = ENDPOINTS,
    .down = { 300, 600 }, .entry_lag_ms = 400, .relisted = true, .order = { 620, 1300 },
    .callers = 4, .jobs = 3, .tasks = 2, .work_ms = 300 },
  { .name = "idle, the clock went back", .rounds = 3, .restarting = ENDPOINTS,
    .down = { 300, 600 }, .entry_lag_ms = 300, .clock_back = true, .order = { 620, 1300 },
    .callers = 4, .jobs = 3, .tasks = 2, .work_ms = 200 },
  { .name = "many callers", .rounds = 2, .restarting = 9,
    .down = { 550, 940 }, .callers = 16, .jobs = 20, .tasks = 3, .work_ms = 40 },
  { .name = "many callers, all endpoints, connections break, entries lag", .rounds = 2,
    .restarting = ENDPOINTS, .down = { 550, 940 }, .refusing = true, .entry_lag_ms = 900,
    .callers = 16, .jobs = 16, .tasks = 3, .work_ms = 60 },
  { .name = "many callers, entries removed and back in one reading", .rounds = 2,
    .restarting = 9, .down = { 200, 500 }, .entry_lag_ms = 500, .relisted = true,
    .callers = 12, .jobs = 16, .tasks = 3, .work_ms = 100 },
  { .name = "twice in a row, idle", .rounds = 2, .restarting = ENDPOINTS,
    .down = { 200, 400 }, .entry_lag_ms = 1500, .again = { 450, 900 }, .order = { 430, 1200 },
    .callers = 6, .jobs = 3, .tasks = 2, .work_ms = 200 },
  { .name = "twice in a row, many callers", .rounds = 2, .restarting = 9,
    .down = { 200, 400 }, .again = { 420, 900 },
    .callers = 12, .jobs = 16, .tasks = 3, .work_ms = 60 },
  { .name = "an owner is killed while they restart", .rounds = 2, .restarting = 9,
    .down = { 300, 600 }, .entry_lag_ms = 1000, .kill = { 10, 900 },
    .callers = 8, .jobs = 12, .tasks = 2, .work_ms = 150 },
  { .name = "an owner is killed after the first orders", .rounds = 2, .restarting = ENDPOINTS,
    .down = { 300, 400 }, .entry_lag_ms = 2000, .order = { 430, 600 }, .kill = { 610, 800 },
    .callers = 6, .jobs = 2, .tasks = 2, .work_ms = 500 },
};
/* clang-format on */

static guint32 seed = DEFAULT_SEED;

/* A number of RANGE. */
static int64_t
draw (GRand *random, range_t range)
{
  return g_rand_int_range (random, (gint32) range.min_ms, (gint32) range.max_ms + 1);
}

/* --- restarts --- */

static void
sleep_until (int64_t at_ms)
{
  clock_sleep_ms (MAX (at_ms - clock_boot_ms (), 0));
}

/* The endpoints that restart crash at once, at AT_MS, and are down for DOWN_MS. */
static void
crash_endpoints_at (const site_rig_t *rig,
                    const restart_case_t *test,
                    int64_t at_ms,
                    int64_t down_ms,
                    int round)
{
  GString *fault = g_string_new ("{\"endpoint\":[");

  sleep_until (at_ms);
  for (int i = 0; i < test->restarting; i++)
    g_string_append_printf (fault, "%s\"e%d\"", i > 0 ? "," : "", i);
  g_string_append_printf (fault,
                          "],\"down_ms\":%d,\"refusing\":%s,\"relisted\":%s,"
                          "\"entry_lag_ms\":%d,\"born\":%d,\"slow\":%d}",
                          (int) down_ms, test->refusing ? "true" : "false",
                          test->relisted ? "true" : "false", (int) test->entry_lag_ms,
                          test->clock_back ? test->rounds - round : 0, test->slow);
  site_set_fault (rig, fault->str);
  g_string_free (fault, TRUE);
}

static int
find_owner (const site_rig_t *rig)
{
  for (int host = 0; host < SITE_HOSTS; host++)
    if (site_host_gauge (rig, host, "jaytrail_shards_owned") > 0)
      return host;
  return -1;
}

/* --- callers --- */

typedef struct
{
  site_load_t loads[CALLERS_MAX];
  bool completed[CALLERS_MAX][JOBS_MAX];
  GThread *threads[CALLERS_MAX];
  int count;
} callers_t;

/* None of them calls the host AVOIDED. */
static void
start_callers (callers_t *callers,
               const site_rig_t *rig,
               const restart_case_t *test,
               int round,
               int avoided)
{
  *callers = (callers_t){ .count = test->callers };
  for (int i = 0; i < test->callers; i++)
    {
      int host = i % SITE_HOSTS == avoided ? (i + 1) % SITE_HOSTS : i % SITE_HOSTS;
      callers->loads[i] = (site_load_t){ .rig = rig,
                                         .first_job = 1 + (round * CALLERS_MAX + i) * JOBS_MAX,
                                         .job_count = test->jobs,
                                         .host = host,
                                         .tasks = test->tasks,
                                         .work_ms = test->work_ms,
                                         .job_completed = callers->completed[i] };
      callers->threads[i] = g_thread_new ("load", site_run_load, &callers->loads[i]);
    }
}

/* The tasks that the stand-in has written to be done. */
static GHashTable *
read_done_tasks (const site_rig_t *rig)
{
  GHashTable *done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  char *file = g_strdup_printf ("%s/site.log", rig->directory);
  char *text = NULL;

  CU_ASSERT_TRUE (g_file_get_contents (file, &text, NULL, NULL));
  char **lines = g_strsplit (text != NULL ? text : "", "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      json_object *row = json_tokener_parse (*line);
      const char *what = json_object_get_string (json_object_object_get (row, "what"));
      if (g_strcmp0 (what, "done") == 0)
        g_hash_table_add (done,
                          g_strdup (json_object_get_string (json_object_object_get (row, "task"))));
      json_object_put (row);
    }
  g_strfreev (lines);
  g_free (text);
  g_free (file);
  return done;
}

/* The number of tasks of jobs that were answered as completed and are not in DONE. */
static int
count_not_done (const site_load_t *load, GHashTable *done)
{
  int missing = 0;

  for (int job = 0; job < load->job_count; job++)
    for (int task = 0; load->job_completed[job] && task < load->tasks; task++)
      {
        char *name = g_strdup_printf ("%016x.0.0.%d", (unsigned) (load->first_job + job), task);
        missing += !g_hash_table_contains (done, name);
        g_free (name);
      }
  return missing;
}

/* Waits for the answers and checks them. */
static void
join_callers (callers_t *callers, const site_rig_t *rig)
{
  for (int i = 0; i < callers->count; i++)
    {
      g_thread_join (callers->threads[i]);
      CU_ASSERT_EQUAL (callers->loads[i].unanswered, 0);
    }
  GHashTable *done = read_done_tasks (rig);
  for (int i = 0; i < callers->count; i++)
    CU_ASSERT_EQUAL (count_not_done (&callers->loads[i], done), 0);
  g_hash_table_unref (done);
}

/* --- cases --- */

static void
learn_durations (const site_rig_t *rig, const restart_case_t *test)
{
  site_load_t load = { .rig = rig,
                       .first_job = 0xf0000,
                       .job_count = FIRST_JOBS,
                       .host = -1,
                       .tasks = test->tasks,
                       .work_ms = MIN (test->work_ms, 100) };

  site_run_load (&load);
  CU_ASSERT_EQUAL (load.completed, FIRST_JOBS);
}

static void
run_round (site_rig_t *rig, const restart_case_t *test, int round, GRand *random)
{
  callers_t callers;
  int owner = test->kill.max_ms > 0 ? find_owner (rig) : -1;
  bool idle = test->order.max_ms > 0;

  if (!idle)
    {
      start_callers (&callers, rig, test, round, owner);
      clock_sleep_ms (100);
    }
  int64_t crash_at_ms = clock_boot_ms ();
  int64_t order_at_ms = crash_at_ms + draw (random, test->order);
  int64_t again_at_ms = crash_at_ms + draw (random, test->again);
  int64_t kill_at_ms = crash_at_ms + draw (random, test->kill);
  crash_endpoints_at (rig, test, crash_at_ms, draw (random, test->down), round);
  bool crashes_first = test->again.max_ms > 0 && again_at_ms <= order_at_ms;
  if (crashes_first)
    crash_endpoints_at (rig, test, again_at_ms, draw (random, test->down), round);
  if (idle)
    {
      sleep_until (order_at_ms);
      start_callers (&callers, rig, test, round, owner);
    }
  if (test->again.max_ms > 0 && !crashes_first)
    crash_endpoints_at (rig, test, again_at_ms, draw (random, test->down), round);
  if (owner >= 0)
    {
      sleep_until (kill_at_ms);
      site_end_process (&rig->hosts[owner], SIGKILL);
    }
  join_callers (&callers, rig);
  if (owner >= 0)
    {
      site_start_host (rig, owner);
      CU_ASSERT_TRUE (site_wait_until_all_ready (rig));
    }
  CU_ASSERT_TRUE (site_wait_for_number (rig, "running", 0, SETTLE_MS));
}

static void
run_case (const restart_case_t *test)
{
  site_rig_t rig;
  GRand *random = g_rand_new_with_seed (seed);

  site_rig_start_ledger (&rig, ENDPOINTS);
  learn_durations (&rig, test);
  for (int round = 0; round < test->rounds; round++)
    run_round (&rig, test, round, random);
  int again = site_standin_number (&rig, "again");
  int twice = site_standin_number (&rig, "twice");
  if (twice != 0 || again != 0)
    printf ("  seed %u: %d at a time, %d after they were done\n", seed, twice, again);
  CU_ASSERT_EQUAL (again, 0);
  site_rig_stop (&rig);
  g_rand_free (random);
}

static const char *only; /* NULL: all cases */

static void
test_restarts (void)
{
  int ran = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (only == NULL || strcmp (only, cases[i].name) == 0)
      {
        int64_t from_ms = clock_boot_ms ();
        unsigned before = CU_get_number_of_failures ();
        run_case (&cases[i]);
        printf ("  %s: %u failed, %d ms\n", cases[i].name, CU_get_number_of_failures () - before,
                (int) (clock_boot_ms () - from_ms));
        ran++;
      }
  CU_ASSERT_TRUE (ran > 0);
}

static const unit_test_t tests[] = {
  { "a task ran twice after its endpoint had restarted under its id", test_restarts },
};

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  site_find_programs (argv[0]);
  only = argc > 1 ? argv[1] : NULL;
  seed = argc > 2 ? (guint32) strtoul (argv[2], NULL, 10) : DEFAULT_SEED;
  return unit_run ("site", tests, G_N_ELEMENTS (tests));
}
