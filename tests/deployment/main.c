/* main.c -- a deployment at its size, as real processes: does a task run twice at one time?
 *
 *   deployment --seed N          one day; --count N from there on
 *   deployment --day NAME        another table of faults; --help lists them
 *   deployment --programs DIR    jaytraild and fake_site of another build
 *
 * 30 hosts with little processor in three data centres, 350 endpoints in few processes, jobs of
 * 0.06, 0.2 and 0.9 s, callers that send a job again, and faults that are a function of the seed
 * (day.h).  What does not depend on calm times is checked (tests/soak/book.h); for each task that
 * ran twice all that callers and endpoints saw of its job is printed.  By hand: it takes a machine
 * of its own, and up to two descriptors for each pair of a host and an endpoint; "Too many open
 * files" means that the day isn't the one of the table (--endpoints 9 needs half as many).
 */
#include "base/clock.h"
#include "tests/deployment/callers.h"
#include "tests/deployment/day.h"
#include "tests/deployment/throttle.h"
#include "tests/site_call.h"

#include <argtable2.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ZONES 3
#define ENDPOINTS_EACH 19
#define ROOM 2
#define TICK_MS 10
#define WATCH_EVERY_MS 60
#define BALANCE_EVERY_MS 1000
#define MS_PER_S 1000
#define TAIL_MS 9000
#define LEAVE_PERCENT 35
/* Rules of the cut between a data centre and the log; above those of the plan. */
#define LOG_RULE 10000
#define OWNED "jaytrail_shards_owned "

typedef struct
{
  const char *programs;
  const char *day;
  const char *only; /* kinds of faults, joined by commas; NULL for all */
  int32_t hosts;
  int32_t endpoint_processes;
  int32_t callers;
  double jobs_per_s;
  int32_t long_percent;
  int32_t leaving_percent; /* when no fault makes callers leave */
  int32_t silent_percent;
  int32_t again_max_ms;
  int64_t length_ms;
  bool throttled;
  bool keep;
} options_t;

typedef struct
{
  rig_t *rig;
  deployment_callers_t *callers;
  GArray *day; /* plan_fault_t */
  int32_t leaving_percent;
  int64_t from_ms;
  int64_t watch_due_ms;
  bool aims_at_owners;                 /* set before the balancer starts */
  atomic_bool owns[CALLERS_HOSTS_MAX]; /* a shard */
  atomic_bool is_over;
  int64_t late_ms; /* at most; faults begin and end late when the rig is kept busy */
} run_t;

/* Of the shares, what a host gets. */
static int32_t speed_percent = 100;

/* Each data centre has two hosts with 0.5 cores, six with 0.09 and two with 0.3. */
static double
cpu_share (int32_t host)
{
  int32_t host_in_zone = host / ZONES;

  double share = host_in_zone < 2 ? 0.5 : host_in_zone < 8 ? 0.09 : 0.3;

  return share * speed_percent / 100;
}

/* --- faults --- */

/* A data centre that is cut off does not reach the log. */
static void
cut_log (run_t *run, const plan_fault_t *fault, bool begins)
{
  proxy_mode_t mode = fault->kind == PLAN_CUT_ZONE ? PROXY_HOLD : PROXY_BREAK;

  if (fault->kind != PLAN_CUT_ZONE && fault->kind != PLAN_BREAK_ZONE)
    return;
  if (begins)
    proxy_rule (run->rig->proxy, LOG_RULE + fault->number, mode,
                run->rig->hosts[fault->target].zone, "log", 0, false);
  else
    proxy_end_rule (run->rig->proxy, LOG_RULE + fault->number);
}

static void
change_leaving (run_t *run, const plan_fault_t *fault, bool begins)
{
  if (fault->kind == PLAN_CALLERS_LEAVE)
    deployment_callers_set_leaving (run->callers, begins ? LEAVE_PERCENT : run->leaving_percent);
}

/* -1 if no host that runs owns a shard. */
static int32_t
find_owner (run_t *run, int32_t from)
{
  for (int32_t i = 0; i < run->rig->hosts_count; i++)
    {
      int32_t host = (from + i) % run->rig->hosts_count;
      if (run->rig->hosts[host].pid != 0 && atomic_load (&run->owns[host]))
        return host;
    }
  return -1;
}

/* Names the host of a fault that strikes one by what it does at this moment; where there is none
 * it strikes nobody. */
static void
aim (run_t *run, plan_fault_t *fault, int64_t now_ms)
{
  bool taker = fault->kind == PLAN_KILL_TAKER;

  if (!taker && fault->kind != PLAN_KILL_OWNER)
    return;
  rig_watch (run->rig);
  int32_t host = taker ? book_last_taker (run->rig->book) : find_owner (run, fault->target);
  bool strikes = host >= 0 && run->rig->hosts[host].pid != 0;
  printf ("  %d.%03d s: %s: %s\n", (int) (now_ms / MS_PER_S), (int) (now_ms % MS_PER_S),
          plan_name (fault->kind), strikes ? run->rig->hosts[host].name : "strikes nobody");
  /* Processes that are started inherit the buffer. */
  fflush (stdout);
  if (!strikes)
    return;
  fault->kind = PLAN_KILL_HOST;
  fault->target = host;
}

static void
step_faults (run_t *run, int64_t before_ms, int64_t now_ms)
{
  for (guint i = 0; i < run->day->len; i++)
    {
      plan_fault_t *fault = &g_array_index (run->day, plan_fault_t, i);
      if (fault->at_ms > before_ms && fault->at_ms <= now_ms)
        {
          aim (run, fault, now_ms);
          rig_begin (run->rig, fault);
          cut_log (run, fault, true);
          change_leaving (run, fault, true);
        }
      if (fault->until_ms > before_ms && fault->until_ms <= now_ms)
        {
          rig_end (run->rig, fault);
          cut_log (run, fault, false);
          change_leaving (run, fault, false);
        }
    }
}

/* --- one day --- */

static void
step_upkeep (run_t *run, int64_t now_ms)
{
  if (now_ms < run->watch_due_ms)
    return;
  rig_watch (run->rig);
  run->watch_due_ms = now_ms + WATCH_EVERY_MS;
}

static bool
owns_shard (const rig_t *rig, int32_t host)
{
  site_response_t page = site_call (rig_caller_port (rig, host) + 1, "GET", "/metrics", "");
  const char *line = strstr (page.body, OWNED);

  return page.status == 200 && line != NULL && atoi (line + strlen (OWNED)) > 0;
}

/* On a thread of its own: a host may take seconds to answer, and faults don't wait for it. */
static void *
balance (void *data)
{
  run_t *run = data;

  while (!atomic_load (&run->is_over))
    {
      for (int32_t i = 0; i < run->rig->hosts_count && !atomic_load (&run->is_over); i++)
        {
          bool ready = rig_is_ready (run->rig, i);
          deployment_callers_set_ready (run->callers, i, ready);
          if (run->aims_at_owners)
            atomic_store (&run->owns[i], ready && owns_shard (run->rig, i));
        }
      clock_sleep_ms (BALANCE_EVERY_MS);
    }
  return NULL;
}

static int64_t
end_of (const GArray *day, int64_t length_ms)
{
  for (guint i = 0; i < day->len; i++)
    length_ms = MAX (length_ms, g_array_index (day, plan_fault_t, i).until_ms);
  return length_ms + TAIL_MS;
}

static void
play (run_t *run, int64_t length_ms)
{
  int64_t before_ms = 0;
  GThread *balancer = g_thread_new ("balance", balance, run);

  run->from_ms = clock_boot_ms ();
  while (before_ms < length_ms)
    {
      int64_t now_ms = clock_boot_ms () - run->from_ms;
      step_faults (run, before_ms, now_ms);
      step_upkeep (run, clock_boot_ms ());
      run->late_ms = MAX (run->late_ms, now_ms - before_ms);
      before_ms = now_ms;
      clock_sleep_ms (TICK_MS);
    }
  atomic_store (&run->is_over, true);
  g_thread_join (balancer);
}

static bool
is_chosen (const char *only, plan_kind_t kind)
{
  char **names = g_strsplit (only != NULL ? only : "", ",", -1);
  bool chosen = only == NULL || g_strv_contains ((const char *const *) names, plan_name (kind));

  g_strfreev (names);
  return chosen;
}

static GArray *
make_day (uint32_t seed, const options_t *options)
{
  plan_options_t plan_options = { options->hosts, options->endpoint_processes, ZONES,
                                  options->length_ms };
  GArray *day = day_new (options->day, seed, &plan_options);

  for (guint i = day->len; i-- > 0;)
    if (!is_chosen (options->only, g_array_index (day, plan_fault_t, i).kind))
      g_array_remove_index (day, i);
  return day;
}

static bool
has_kind (const GArray *day, plan_kind_t kind)
{
  for (guint i = 0; i < day->len; i++)
    if (g_array_index (day, plan_fault_t, i).kind == kind)
      return true;
  return false;
}

/* The caller may send its job again RESEND_MS after its request ended. */
static void
print_stop_times (book_t *book)
{
  book_stop_times_t times = book_stop_times (book);

  printf ("  runs go on after %d requests without an answer: half %d ms, 99 of 100 %d ms, longest "
          "%d ms\n",
          (int) times.requests, (int) times.half_ms, (int) times.most_of_hundred_ms,
          (int) times.longest_ms);
  if (times.longest_ms > RESEND_MS)
    book_print_job (book, times.longest_job);
}

/* Returns the number of tasks that ran twice. */
static int32_t
run_day (uint32_t seed, const options_t *options)
{
  rig_t rig = { .programs = options->programs,
                .hosts_count = options->hosts,
                .endpoints_count = options->endpoint_processes,
                .endpoints_each = ENDPOINTS_EACH,
                .room = ROOM,
                .seed_hosts = ZONES,
                .zones = ZONES,
                .drops_unsent = true,
                .cpu_share = cpu_share,
                .book = book_new () };
  run_t run = { .rig = &rig,
                .day = make_day (seed, options),
                .leaving_percent = options->leaving_percent };
  run.aims_at_owners = has_kind (run.day, PLAN_KILL_OWNER);
  deployment_callers_options_t caller_options = { seed,
                                                  options->callers,
                                                  options->jobs_per_s,
                                                  options->long_percent,
                                                  options->silent_percent,
                                                  options->again_max_ms };

  /* Checks that hold only without a fault are left out. */
  book_trouble (rig.book, 0);
  bool started = rig_start (&rig);
  if (!started)
    book_find (rig.book, "not all hosts became ready");
  throttle_t *throttle = options->throttled ? throttle_start (&rig) : NULL;
  run.callers = deployment_callers_start (&rig, &caller_options);
  deployment_callers_set_leaving (run.callers, options->leaving_percent);
  if (started)
    play (&run, end_of (run.day, options->length_ms));
  deployment_callers_totals_t totals = deployment_callers_stop (run.callers);
  int32_t suspensions = throttle != NULL ? throttle_stop (throttle) : 0;
  rig_watch (&rig);
  int32_t findings = book_check (rig.book, INT64_MAX);
  int32_t twice = book_print_twice (rig.book);
  printf ("%s, seed %u: %u faults, %d jobs, %d first requests unserved, %d sent again, %d left, %d "
          "timed out, %d broken, %d 504, %d refused, %d served, %d jobs never served, %d "
          "suspensions: %d tasks twice, %d findings\n",
          options->day, seed, run.day->len, (int) totals.jobs, (int) totals.first_requests_unserved,
          (int) totals.sent_again, (int) totals.left, (int) totals.timed_out, (int) totals.broken,
          (int) totals.status_504, (int) totals.refused, (int) totals.served,
          (int) totals.never_served, (int) suspensions, (int) twice, (int) findings);
  printf ("  faults begin and end up to %d ms late\n", (int) run.late_ms);
  print_stop_times (rig.book);
  fflush (stdout);
  rig_stop (&rig, findings > 0 || options->keep);
  g_array_unref (run.day);
  book_free (rig.book);
  return twice;
}

static void
print_day (uint32_t seed, const options_t *options)
{
  GArray *day = make_day (seed, options);
  char *text = plan_text (day);

  fputs (text, stdout);
  g_free (text);
  g_array_unref (day);
}

static void
print_help (void **table)
{
  char *names = day_names ();

  arg_print_glossary (stdout, table, "  %-20s %s\n");
  printf ("days: %s\n", names);
  g_free (names);
}

int
main (int argc, char **argv)
{
  struct arg_str *programs = arg_str0 (NULL, "programs", "DIRECTORY", "where they are (build)");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "first seed (1)");
  struct arg_int *count = arg_int0 (NULL, "count", "N", "how many seeds (1)");
  struct arg_int *hosts = arg_int0 (NULL, "hosts", "N", "hosts, 3 to 60 (30)");
  struct arg_int *endpoints = arg_int0 (NULL, "endpoints", "N", "processes of 19 endpoints (18)");
  struct arg_int *callers = arg_int0 (NULL, "callers", "N", "callers (120)");
  struct arg_int *rate = arg_int0 (NULL, "rate", "N", "jobs a second of all callers (300)");
  struct arg_int *seconds = arg_int0 (NULL, "seconds", "N", "in which faults begin (30)");
  struct arg_int *long_jobs = arg_int0 (NULL, "long", "N", "jobs of 0.9 s in a hundred (5)");
  struct arg_int *leaving = arg_int0 (NULL, "leaving", "N", "of a hundred jobs left early (0)");
  struct arg_int *silent =
      arg_int0 (NULL, "silent", "N", "of a hundred who leave, unseen by their host (0)");
  struct arg_int *again_max =
      arg_int0 (NULL, "again-max-ms", "N",
                "jobs are sent again after 0 to N ms, in the caller's data centre; callers promise "
                "more: " G_STRINGIFY (RESEND_MS) " ms, the default, to any host");
  struct arg_int *speed = arg_int0 (NULL, "speed", "N", "percent of the hosts' shares (100)");
  struct arg_str *day = arg_str0 (NULL, "day", "NAME", "table of faults (" DAY_DEFAULT ")");
  struct arg_str *only = arg_str0 (NULL, "only", "KIND,KIND", "of the faults, only these");
  struct arg_lit *unlimited = arg_lit0 (NULL, "unlimited", "hosts get all processor that they use");
  struct arg_lit *print = arg_lit0 (NULL, "print", "the faults of the day, and no run");
  struct arg_lit *help = arg_lit0 (NULL, "help", "this text");
  struct arg_lit *keep = arg_lit0 (NULL, "keep", "logs and ledgers, also of good days");
  struct arg_end *end = arg_end (4);
  void *table[] = { programs,  seed,      count,  hosts, endpoints, callers,   rate,
                    long_jobs, leaving,   silent, speed, seconds,   again_max, day,
                    only,      unlimited, print,  keep,  help,      end };
  int32_t failed = 0;

  programs->sval[0] = "build";
  day->sval[0] = DAY_DEFAULT;
  seed->ival[0] = 1;
  count->ival[0] = 1;
  hosts->ival[0] = 30;
  endpoints->ival[0] = 18;
  callers->ival[0] = 120;
  rate->ival[0] = 300;
  seconds->ival[0] = 30;
  long_jobs->ival[0] = 5;
  leaving->ival[0] = 0;
  silent->ival[0] = 0;
  again_max->ival[0] = -1;
  speed->ival[0] = 100;
  int32_t errors = arg_parse (argc, argv, table);
  if (help->count > 0)
    {
      print_help (table);
      arg_freetable (table, G_N_ELEMENTS (table));
      return 0;
    }
  if (errors > 0 || hosts->ival[0] < ZONES || hosts->ival[0] > 60 || endpoints->ival[0] < ZONES
      || endpoints->ival[0] > 20 || seconds->ival[0] < 5
      || (again_max->count > 0 && again_max->ival[0] < 0))
    {
      arg_print_errors (stderr, end, "deployment");
      arg_print_syntax (stderr, table, "\n");
      return 2;
    }
  if (!day_exists (day->sval[0]))
    {
      char *names = day_names ();
      fprintf (stderr, "deployment: there is no day %s; days are %s\n", day->sval[0], names);
      g_free (names);
      return 2;
    }
  options_t options = {
    .programs = programs->sval[0],
    .day = day->sval[0],
    .only = only->count > 0 ? only->sval[0] : NULL,
    .hosts = hosts->ival[0],
    .endpoint_processes = endpoints->ival[0],
    .callers = callers->ival[0],
    .jobs_per_s = rate->ival[0],
    .long_percent = long_jobs->ival[0],
    .leaving_percent = leaving->ival[0],
    .silent_percent = silent->ival[0],
    .again_max_ms = again_max->ival[0],
    .length_ms = (int64_t) seconds->ival[0] * MS_PER_S,
    .throttled = unlimited->count == 0,
    .keep = keep->count > 0,
  };
  speed_percent = speed->ival[0];
  signal (SIGPIPE, SIG_IGN);
  for (int32_t i = 0; i < count->ival[0]; i++)
    {
      if (print->count > 0)
        print_day ((uint32_t) (seed->ival[0] + i), &options);
      else
        failed += run_day ((uint32_t) (seed->ival[0] + i), &options) > 0;
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return failed > 0 ? 1 : 0;
}
