/* unit_runner.c -- runs the tests of one test program */
#include "tests/unit_runner.h"

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <string.h>

int
unit_run (const char *suite, const unit_test_t *tests, size_t count)
{
  return unit_run_named (suite, tests, count, NULL);
}

int
unit_run_named (const char *suite, const unit_test_t *tests, size_t count, const char *name)
{
  CU_initialize_registry ();
  CU_pSuite registered = CU_add_suite (suite, NULL, NULL);
  for (size_t i = 0; i < count; i++)
    if (name == NULL || strcmp (name, tests[i].name) == 0)
      CU_add_test (registered, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
