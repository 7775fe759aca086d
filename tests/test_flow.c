/* test_flow.c -- lib/flow step by step: single decisions on scripted events */
#include "flow/flow.h"
#include "flow/sizes.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>

/* Jobs of sizes 1 to 100 have come before. */
static const struct
{
  const char *queue;
  double size;
  flow_size_t rank;
} ranks[] = {
  { "q", 101, FLOW_SIZE_LARGEST }, { "q", 91.5, FLOW_SIZE_LARGEST }, { "q", 89.5, FLOW_SIZE_LARGE },
  { "q", 71.5, FLOW_SIZE_LARGE },  { "q", 69.5, FLOW_SIZE_USUAL },   { "q", 1, FLOW_SIZE_USUAL },
  { "new", 101, FLOW_SIZE_USUAL },
};

static void
test_sizes (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (ranks); i++)
    {
      sizes_t *sizes = sizes_new ();
      for (int size = 1; size <= 100; size++)
        sizes_add (sizes, "q", size);
      CU_ASSERT_EQUAL (sizes_add (sizes, ranks[i].queue, ranks[i].size), ranks[i].rank);
      sizes_free (sizes);
    }
}

/* What came long ago no longer counts. */
static void
test_sizes_forgotten (void)
{
  sizes_t *sizes = sizes_new ();

  for (int i = 0; i < SIZES_KEPT; i++)
    sizes_add (sizes, "q", 1000);
  for (int i = 0; i < SIZES_KEPT; i++)
    sizes_add (sizes, "q", 10);
  CU_ASSERT_EQUAL (sizes_add (sizes, "q", 100), FLOW_SIZE_LARGEST);
  sizes_free (sizes);
}

static const struct
{
  const char *name;
  void (*run) (void);
} cases[] = {
  { "a job's rank by size", test_sizes },
  { "sizes are forgotten", test_sizes_forgotten },
};

int
main (void)
{
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("flow", NULL, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_add_test (suite, cases[i].name, cases[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures != 0;
}
