/* test_scheduling_links.c -- hosts whose links carry the demand
 *
 * Guards against delays of a host's own link that count as silence of its endpoints: a job's start
 * orders alone may keep a link busy for longer than the time limit of a call. */
#include "tests/test_scheduling_links.h"

#include <CUnit/Basic.h>

static const narrow_case_t cases[] = {
  { "links carry twice the demand", FULL_MS, 200, LINK_SHARED, 0, 0, false, 99 },
  { "links carry a tenth more than a small demand", SMALL_MS, 110, LINK_SHARED, 0, 0, false, 80 },
};

static void
test_links (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (uint32_t seed = 1; seed <= SEEDS; seed++)
      check_narrow (&cases[i], seed);
}

int
main (int argc, char **argv)
{
  if (print_cases_of_arguments (cases, G_N_ELEMENTS (cases), argc, argv))
    return 0;
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("links", NULL, NULL);
  CU_add_test (suite, "what the links carry is served", test_links);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
