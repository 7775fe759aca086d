/* main.c -- the fault soak: real processes, faults from outside them, checks while it runs
 *
 *   soak --seed N           one seed; --count N from there on
 *   soak --minutes N        fresh seeds for so long
 *   soak --seeds FILE       the seeds of a file, one a line
 *
 * The faults are a pure function of the seed (plan.h); what the processes do between them depends
 * on the machine.  --only chooses faults by number, --shrink looks for the fewest that still fail.
 */
#include "base/clock.h"
#include "tests/soak/caller.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000
#define MS_PER_MINUTE 60000
#define TICK_MS 20
#define WATCH_EVERY_MS 60
#define BALANCE_EVERY_MS 300
#define CHECK_EVERY_MS 1000
/* Rows may come so late: what a paused process writes when it goes on. */
#define CHECK_LAG_MS 6000
#define WARM_MS 700
/* Faults and their effects are over by then. */
#define TAIL_MS 1000
#define RECOVERY_MAX_MS 12000
#define LEFT_MAX_MS 4000
#define SHRINK_TRIES 2

typedef struct
{
  const char *programs;
  int32_t hosts;
  int32_t endpoints;
  int32_t callers;
  int32_t broken_percent;
  int64_t length_ms;
  const char *only; /* numbers of faults, joined by commas; NULL for all */
  bool keep;
} soak_options_t;

/* --- one run --- */

static bool
is_chosen (const char *only, int32_t number)
{
  char **numbers = g_strsplit (only != NULL ? only : "", ",", -1);
  bool chosen = only == NULL;

  for (char **at = numbers; *at != NULL; at++)
    chosen |= **at != '\0' && atoi (*at) == number;
  g_strfreev (numbers);
  return chosen;
}

static GArray *
make_plan (uint32_t seed, const soak_options_t *options)
{
  plan_options_t plan_options = { options->hosts, options->endpoints, 3, options->length_ms };
  GArray *plan = plan_new (seed, &plan_options);

  for (guint i = plan->len; i-- > 0;)
    if (!is_chosen (options->only, g_array_index (plan, plan_fault_t, i).number))
      g_array_remove_index (plan, i);
  return plan;
}

typedef struct
{
  rig_t *rig;
  callers_t *callers;
  GArray *plan;
  GArray *troubles; /* int32_t: of each fault in the book, or -1 */
  int64_t from_ms;
  int64_t watch_due_ms;
  int64_t balance_due_ms;
  int64_t check_due_ms;
} run_t;

static void
step_faults (run_t *run, int64_t before_ms, int64_t now_ms)
{
  for (guint i = 0; i < run->plan->len; i++)
    {
      const plan_fault_t *fault = &g_array_index (run->plan, plan_fault_t, i);
      int32_t *trouble = &g_array_index (run->troubles, int32_t, i);
      if (fault->at_ms > before_ms && fault->at_ms <= now_ms)
        {
          if (!plan_is_planned (fault->kind))
            *trouble = book_trouble (run->rig->book, clock_boot_ms ());
          rig_begin (run->rig, fault);
        }
      if (fault->until_ms > before_ms && fault->until_ms <= now_ms)
        {
          rig_end (run->rig, fault);
          if (*trouble >= 0)
            book_trouble_over (run->rig->book, *trouble, clock_boot_ms ());
        }
    }
}

static void
step_upkeep (run_t *run, int64_t now_ms)
{
  if (now_ms >= run->watch_due_ms)
    {
      rig_watch (run->rig);
      run->watch_due_ms = now_ms + WATCH_EVERY_MS;
    }
  if (now_ms >= run->balance_due_ms)
    {
      for (int32_t i = 0; i < run->rig->hosts_count; i++)
        callers_set_ready (run->callers, i, rig_is_ready (run->rig, i));
      run->balance_due_ms = now_ms + BALANCE_EVERY_MS;
    }
  if (now_ms >= run->check_due_ms)
    {
      book_check (run->rig->book, now_ms - CHECK_LAG_MS);
      run->check_due_ms = now_ms + CHECK_EVERY_MS;
    }
}

static int64_t
end_of (const GArray *plan)
{
  int64_t end_ms = 0;

  for (guint i = 0; i < plan->len; i++)
    end_ms = MAX (end_ms, g_array_index (plan, plan_fault_t, i).until_ms);
  return end_ms;
}

static void
play (run_t *run)
{
  int64_t before_ms = -WARM_MS;
  int64_t end_ms = end_of (run->plan) + TAIL_MS;

  run->from_ms = clock_boot_ms () + WARM_MS;
  while (before_ms < end_ms)
    {
      int64_t now_ms = clock_boot_ms () - run->from_ms;
      step_faults (run, before_ms, now_ms);
      step_upkeep (run, clock_boot_ms ());
      before_ms = now_ms;
      clock_sleep_ms (TICK_MS);
    }
}

/* Every host serves again in time. */
static void
check_service (run_t *run, uint32_t seed)
{
  rig_t *rig = run->rig;
  int64_t until_ms = clock_boot_ms () + RECOVERY_MAX_MS;
  uint64_t job = (uint64_t) seed << 32 | 0xffff0000U;

  for (int32_t i = 0; i < rig->hosts_count; i++)
    {
      bool served = false;
      while (!served && clock_boot_ms () < until_ms)
        {
          step_upkeep (run, clock_boot_ms ());
          served = caller_is_served (rig, i, job++);
          if (!served)
            clock_sleep_ms (TICK_MS);
        }
      char *text = g_strdup_printf ("no service: h%d", (int) i);
      if (!served)
        book_find (rig->book, text);
      g_free (text);
    }
}

/* Nothing runs, and every end is acknowledged. */
static void
check_left (run_t *run)
{
  int64_t until_ms = clock_boot_ms () + LEFT_MAX_MS;
  char *left = rig_left (run->rig);

  while (left != NULL && clock_boot_ms () < until_ms)
    {
      g_free (left);
      clock_sleep_ms (TICK_MS);
      left = rig_left (run->rig);
    }
  if (left == NULL)
    return;
  char *text = g_strdup_printf ("left over at%s", left);
  book_find (run->rig->book, text);
  g_free (text);
  g_free (left);
}

/* Returns the number of findings. */
static int32_t
run_seed (uint32_t seed, const soak_options_t *options)
{
  rig_t rig = { .programs = options->programs,
                .hosts_count = options->hosts,
                .endpoints_count = options->endpoints,
                .zones = 3,
                .book = book_new () };
  run_t run = { .rig = &rig, .plan = make_plan (seed, options) };

  run.troubles = g_array_new (FALSE, FALSE, sizeof (int32_t));
  for (guint i = 0; i < run.plan->len; i++)
    {
      int32_t none = -1;
      g_array_append_val (run.troubles, none);
    }
  bool started = rig_start (&rig);
  if (!started)
    book_find (rig.book, "not all hosts became ready");
  run.callers = callers_start (&rig, seed, options->callers, options->broken_percent);
  if (started)
    {
      play (&run);
      int32_t healing = book_trouble (rig.book, clock_boot_ms ());
      rig_heal (&rig);
      check_service (&run, seed);
      book_trouble_over (rig.book, healing, clock_boot_ms ());
    }
  callers_stop (run.callers);
  if (started)
    check_left (&run);
  rig_watch (&rig);
  int32_t findings = book_check (rig.book, INT64_MAX);
  book_totals_t totals = book_totals (rig.book);
  printf (
      "seed %u: %u faults, %d requests, %d complete, %d failed, %d refused, %d other, %d without "
      "an answer, %d starts: %d findings\n",
      seed, run.plan->len, (int) totals.sent, (int) totals.complete, (int) totals.failed,
      (int) totals.refused, (int) totals.other, (int) totals.broken, (int) totals.starts,
      (int) findings);
  if (findings > 0)
    {
      char *text = plan_text (run.plan);
      fputs (text, stdout);
      g_free (text);
    }
  fflush (stdout);
  rig_stop (&rig, findings > 0 || options->keep);
  g_array_unref (run.plan);
  g_array_unref (run.troubles);
  book_free (rig.book);
  return findings;
}

/* --- fewer faults --- */

static bool
still_fails (uint32_t seed, const soak_options_t *options, const char *only)
{
  soak_options_t fewer = *options;

  fewer.only = only;
  for (int32_t i = 0; i < SHRINK_TRIES; i++)
    if (run_seed (seed, &fewer) > 0)
      return true;
  return false;
}

static char *
join_without (const GArray *numbers, guint without)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < numbers->len; i++)
    if (i != without)
      g_string_append_printf (text, "%s%d", text->len > 0 ? "," : "",
                              g_array_index (numbers, int32_t, i));
  return g_string_free (text, FALSE);
}

static void
shrink (uint32_t seed, const soak_options_t *options)
{
  GArray *plan = make_plan (seed, options);
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (int32_t));

  for (guint i = 0; i < plan->len; i++)
    g_array_append_val (numbers, g_array_index (plan, plan_fault_t, i).number);
  for (guint i = numbers->len; i-- > 0;)
    {
      char *only = join_without (numbers, i);
      if (still_fails (seed, options, only))
        g_array_remove_index (numbers, i);
      g_free (only);
    }
  char *left = join_without (numbers, numbers->len);
  printf ("seed %u fails with --only %s\n", seed, left);
  g_free (left);
  g_array_unref (numbers);
  g_array_unref (plan);
}

/* --- command line --- */

static int32_t
run_file (const char *file, const soak_options_t *options)
{
  char *text = NULL;
  int32_t failed = 0;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    {
      fprintf (stderr, "soak: cannot read %s\n", file);
      return 1;
    }
  char **lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    if (g_ascii_isdigit (**line))
      failed += run_seed ((uint32_t) g_ascii_strtoull (*line, NULL, 10), options) > 0;
  g_strfreev (lines);
  g_free (text);
  return failed;
}

static void
print_plan (uint32_t seed, const soak_options_t *options)
{
  GArray *plan = make_plan (seed, options);
  char *text = plan_text (plan);

  fputs (text, stdout);
  g_free (text);
  g_array_unref (plan);
}

int
main (int argc, char **argv)
{
  struct arg_str *build = arg_str0 (NULL, "build", "DIRECTORY", "where the programs are (build)");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "first seed (from the clock)");
  struct arg_int *count = arg_int0 (NULL, "count", "N", "how many seeds (1)");
  struct arg_int *minutes = arg_int0 (NULL, "minutes", "N", "seeds for so long");
  struct arg_str *seeds = arg_str0 (NULL, "seeds", "FILE", "seeds, one a line");
  struct arg_int *hosts = arg_int0 (NULL, "hosts", "N", "hosts, 3 to 100 (6)");
  struct arg_int *endpoints = arg_int0 (NULL, "endpoints", "N", "endpoints, 3 to 200 (12)");
  struct arg_int *callers = arg_int0 (NULL, "callers", "N", "callers (16)");
  struct arg_int *broken =
      arg_int0 (NULL, "broken", "N", "jobs in a hundred that lose their connection unseen (0)");
  struct arg_int *seconds = arg_int0 (NULL, "seconds", "N", "in which faults begin (7)");
  struct arg_str *only = arg_str0 (NULL, "only", "N,N", "of the faults, only these");
  struct arg_lit *print = arg_lit0 (NULL, "print", "the faults of the seed, and no run");
  struct arg_lit *less = arg_lit0 (NULL, "shrink", "look for the fewest faults that fail");
  struct arg_lit *keep = arg_lit0 (NULL, "keep", "logs and ledgers, also of good runs");
  struct arg_end *end = arg_end (4);
  void *table[] = { build,  seed,    count, minutes, seeds, hosts, endpoints, callers,
                    broken, seconds, only,  print,   less,  keep,  end };
  int32_t failed = 0;

  build->sval[0] = "build";
  seed->ival[0] = (int) (clock_wall_ms () & INT32_MAX);
  count->ival[0] = 1;
  hosts->ival[0] = 6;
  endpoints->ival[0] = 12;
  callers->ival[0] = 16;
  broken->ival[0] = 0;
  seconds->ival[0] = 7;
  if (arg_parse (argc, argv, table) > 0 || hosts->ival[0] < 3 || hosts->ival[0] > 100
      || endpoints->ival[0] < 3 || endpoints->ival[0] > 200)
    {
      arg_print_errors (stderr, end, "soak");
      arg_print_syntax (stderr, table, "\n");
      return 2;
    }
  soak_options_t options = { build->sval[0],
                             hosts->ival[0],
                             endpoints->ival[0],
                             callers->ival[0],
                             broken->ival[0],
                             (int64_t) seconds->ival[0] * MS_PER_S,
                             only->count > 0 ? only->sval[0] : NULL,
                             keep->count > 0 };
  signal (SIGPIPE, SIG_IGN);
  if (print->count > 0)
    print_plan ((uint32_t) seed->ival[0], &options);
  else if (less->count > 0)
    shrink ((uint32_t) seed->ival[0], &options);
  else if (seeds->count > 0)
    failed = run_file (seeds->sval[0], &options);
  else
    {
      int64_t until_ms = clock_boot_ms () + (int64_t) minutes->ival[0] * MS_PER_MINUTE;
      for (int32_t i = 0; minutes->count > 0 ? clock_boot_ms () < until_ms : i < count->ival[0];
           i++)
        failed += run_seed ((uint32_t) (seed->ival[0] + i), &options) > 0;
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return failed > 0 ? 1 : 0;
}
