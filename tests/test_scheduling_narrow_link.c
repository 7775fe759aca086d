/* test_scheduling_narrow_link.c -- hosts whose links are too narrow for the demand
 *
 * Guards against a collapse: answers wait behind orders in the queue of a link until all endpoints
 * count as silent, orders are sent again, hosts lose each other, and much less is served than the
 * link carries. */
#include "tests/test_scheduling_links.h"

#include <CUnit/Basic.h>

static const narrow_case_t cases[] = {
  { "links carry half the demand", FULL_MS, 50, LINK_SHARED, 0, 0, false, 80 },
  { "links carry a quarter of the demand", FULL_MS, 25, LINK_SHARED, 0, 0, false, 80 },
  { "links carry half of what leaves", FULL_MS, 50, LINK_OUT_ONLY, 0, 0, false, 80 },
  { "links carry a quarter of what leaves", FULL_MS, 25, LINK_OUT_ONLY, 0, 0, false, 80 },
  { "links carry a quarter in each direction", FULL_MS, 25, LINK_SEPARATE, 0, 0, false, 80 },
  { "links carry a quarter of what arrives", FULL_MS, 25, LINK_IN_ONLY, 0, 0, false, 80 },
  { "links are narrow for 5 s", FULL_MS, 25, LINK_SHARED, SPELL_FROM_MS, SPELL_UNTIL_MS, false,
    80 },
  { "the link of one owner is narrow", FULL_MS, 25, LINK_SHARED, SPELL_FROM_MS, 0, true, 80 },
  { "the link of one owner is narrow for 5 s", FULL_MS, 25, LINK_SHARED, SPELL_FROM_MS,
    SPELL_UNTIL_MS, true, 80 },
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
  CU_pSuite suite = CU_add_suite ("narrow links", NULL, NULL);
  CU_add_test (suite, "what the links carry is served", test_links);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
