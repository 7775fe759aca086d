/* main.c -- the failure tests on real processes
 *
 *   system [DIRECTORY] [NAME...]         all cases, or those named
 *   system [DIRECTORY] --list            their names
 *   system [DIRECTORY] --table           the table of docs/FAULTS.md
 *   system [DIRECTORY] --one NAME        one case in this process
 *   system [DIRECTORY] --soak SEED SECONDS
 *
 * Programs come from DIRECTORY, else from $JAYTRAIL_BUILD, else from build/.
 * $JAYTRAIL_JOBS cases run side by side.  $JAYTRAIL_KEEP keeps their folders.
 */
#include "tests/system/cases.h"
#include "tests/system/check.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <civetweb.h>
#include <stdio.h>
#include <stdlib.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

static const case_list_t *const lists[] = {
  &cases_basic,   &cases_input, &cases_resubmit, &cases_host,   &cases_endpoint, &cases_platform,
  &cases_publish, &cases_limit, &cases_cut,      &cases_cancel, &cases_kinds,
};

/* Cases wait more than they work, so several run side by side, each in a
 * process of its own. */
#define JOBS_DEFAULT 4
#define JOBS_MAX 16
/* Ends a case that would go on for ever. */
#define CASE_GUARD_S 120

/* One chosen case and, once DONE, how its process ended. */
typedef struct
{
  const case_t *row;
  bool done;
  int status;
  char *output;
} trial_t;

static const char *self; /* this program */
static const char *programs;
static GArray *trials;      /* of trial_t */
static guint next_to_start; /* with the mutex, as the trials */
static guint next_to_report;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

/* In a process of its own. */
static int
run_one (const case_t *row)
{
  alarm (CASE_GUARD_S);
  rig_t *rig = rig_new (row->name, &row->options);
  if (rig->failures == 0)
    row->run (rig);
  check_all (rig);
  return rig_free (rig) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static gpointer
run_trials (gpointer data)
{
  (void) data;
  pthread_mutex_lock (&mutex);
  while (next_to_start < trials->len)
    {
      guint number = next_to_start++;
      const case_t *row = g_array_index (trials, trial_t, number).row;
      char *argv[] = { (char *) self, (char *) programs, "--one", (char *) row->name, NULL };
      char *output = NULL;
      pthread_mutex_unlock (&mutex);
      int status = process_run (argv, &output);
      pthread_mutex_lock (&mutex);
      trial_t *trial = &g_array_index (trials, trial_t, number);
      trial->status = status;
      trial->output = output;
      trial->done = true;
      pthread_cond_broadcast (&changed);
    }
  pthread_mutex_unlock (&mutex);
  return NULL;
}

/* CUnit's functions take no argument: the reports walk along with it. */
static void
report_next (void)
{
  pthread_mutex_lock (&mutex);
  trial_t *trial = &g_array_index (trials, trial_t, next_to_report++);
  while (!trial->done)
    pthread_cond_wait (&changed, &mutex);
  pthread_mutex_unlock (&mutex);
  if (trial->status != EXIT_SUCCESS)
    printf ("%s", trial->output);
  CU_ASSERT_EQUAL (trial->status, EXIT_SUCCESS);
  g_free (trial->output);
}

static void
each_case (void (*visit) (const case_t *row))
{
  for (size_t i = 0; i < G_N_ELEMENTS (lists); i++)
    for (int32_t n = 0; n < lists[i]->count; n++)
      visit (&lists[i]->cases[n]);
}

static void
print_name (const case_t *row)
{
  printf ("%s\n", row->name);
}

static void
print_row (const case_t *row)
{
  printf ("| %s | %s | %s | `%s` |\n", row->fault, row->moment, row->invariant, row->name);
}

static int wanted_count;
static char **wanted_names;

static void
choose (const case_t *row)
{
  bool wanted = wanted_count == 0;
  for (int i = 0; i < wanted_count; i++)
    wanted = wanted || strcmp (wanted_names[i], row->name) == 0;
  trial_t trial = { .row = row };
  if (wanted)
    g_array_append_val (trials, trial);
}

static guint
job_count (void)
{
  const char *text = g_getenv ("JAYTRAIL_JOBS");
  guint64 count = text != NULL ? g_ascii_strtoull (text, NULL, 10) : JOBS_DEFAULT;
  return (guint) CLAMP (count, 1, JOBS_MAX);
}

static int
run_cases (int count, char **names)
{
  wanted_count = count;
  wanted_names = names;
  trials = g_array_new (FALSE, TRUE, sizeof (trial_t));
  each_case (choose);
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("system", NULL, NULL);
  for (guint i = 0; i < trials->len; i++)
    CU_add_test (suite, g_array_index (trials, trial_t, i).row->name, report_next);
  for (guint i = 0; i < job_count (); i++)
    g_thread_unref (g_thread_new ("trials", run_trials, NULL));
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  bool passed = CU_get_number_of_failures () == 0 && trials->len > 0;
  if (trials->len == 0)
    fprintf (stderr, "system: no such case\n");
  CU_cleanup_registry ();
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

static const char *one_name;
static const case_t *one;

static void
find_one (const case_t *row)
{
  if (strcmp (row->name, one_name) == 0)
    one = row;
}

static int
run_soak (int argc, char **argv)
{
  if (argc != 2)
    {
      fprintf (stderr, "usage: system --soak SEED SECONDS\n");
      return 2;
    }
  uint32_t seed = (uint32_t) g_ascii_strtoull (argv[0], NULL, 10);
  int32_t seconds = (int32_t) g_ascii_strtoll (argv[1], NULL, 10);
  return soak_run (seed, seconds) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  self = argv[0];
  programs = g_getenv ("JAYTRAIL_BUILD") != NULL ? g_getenv ("JAYTRAIL_BUILD") : "build";
  argc--;
  argv++;
  if (argc > 0 && g_file_test (argv[0], G_FILE_TEST_IS_DIR))
    {
      programs = argv[0];
      argc--;
      argv++;
    }
  rig_set_programs (programs);
  mg_init_library (0);
  setvbuf (stdout, NULL, _IOLBF, 0);
  if (argc == 0 || argv[0][0] != '-')
    return run_cases (argc, argv);
  if (strcmp (argv[0], "--soak") == 0)
    return run_soak (argc - 1, argv + 1);
  if (strcmp (argv[0], "--list") == 0)
    each_case (print_name);
  else if (strcmp (argv[0], "--table") == 0)
    each_case (print_row);
  else if (strcmp (argv[0], "--one") == 0 && argc == 2)
    {
      one_name = argv[1];
      each_case (find_one);
      return one != NULL ? run_one (one) : EXIT_FAILURE;
    }
  return EXIT_SUCCESS;
}
