/* main.c -- the failure tests on real processes
 *
 *   system [DIRECTORY] [NAME...]         all cases, or those named
 *   system [DIRECTORY] --list            their names
 *   system [DIRECTORY] --table           the table of docs/FAULTS.md
 *   system [DIRECTORY] --soak SEED SECONDS
 *
 * Programs come from DIRECTORY, else from $JAYTRAIL_BUILD, else from build/.
 */
#include "tests/system/cases.h"
#include "tests/system/check.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <civetweb.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const case_list_t *const lists[] = {
  &cases_basic,    &cases_input,   &cases_resubmit, &cases_host, &cases_endpoint,
  &cases_platform, &cases_publish, &cases_limit,    &cases_cut,  &cases_cancel,
};

/* CUnit's functions take no argument: the runner walks along with it. */
static GPtrArray *chosen;
static guint next_case;

static void
run_next (void)
{
  const case_t *row = g_ptr_array_index (chosen, next_case++);
  rig_t *rig = rig_new (row->name, &row->options);
  if (rig->failures == 0)
    row->run (rig);
  check_all (rig);
  CU_ASSERT_EQUAL (rig_free (rig), 0);
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

static void
choose (const case_t *row)
{
  g_ptr_array_add (chosen, (gpointer) row);
}

static bool
is_named (const char *name, int count, char **names)
{
  for (int i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return true;
  return count == 0;
}

static int
run_cases (int count, char **names)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("system", NULL, NULL);
  GPtrArray *all = chosen;
  chosen = g_ptr_array_new ();
  for (guint i = 0; i < all->len; i++)
    {
      const case_t *row = g_ptr_array_index (all, i);
      if (!is_named (row->name, count, names))
        continue;
      g_ptr_array_add (chosen, (gpointer) row);
      CU_add_test (suite, row->name, run_next);
    }
  g_ptr_array_unref (all);
  if (chosen->len == 0)
    fprintf (stderr, "system: no such case\n");
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  bool passed = CU_get_number_of_failures () == 0 && chosen->len > 0;
  CU_cleanup_registry ();
  g_ptr_array_unref (chosen);
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
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
  const char *programs = g_getenv ("JAYTRAIL_BUILD");
  argc--;
  argv++;
  if (argc > 0 && g_file_test (argv[0], G_FILE_TEST_IS_DIR))
    {
      programs = argv[0];
      argc--;
      argv++;
    }
  rig_set_programs (programs != NULL ? programs : "build");
  mg_init_library (0);
  setvbuf (stdout, NULL, _IOLBF, 0);
  chosen = g_ptr_array_new ();
  each_case (choose);
  if (argc > 0 && strcmp (argv[0], "--soak") == 0)
    return run_soak (argc - 1, argv + 1);
  if (argc > 0 && strcmp (argv[0], "--list") == 0)
    each_case (print_name);
  else if (argc > 0 && strcmp (argv[0], "--table") == 0)
    each_case (print_row);
  else
    return run_cases (argc, argv);
  return EXIT_SUCCESS;
}
