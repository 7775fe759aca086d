/* unit_runner.h -- runs the tests of one test program
 *
 * A test program is a table of tests and a main () that hands it to the runner.  The tests run in
 * the order of the table, on the calling thread.  CUnit's report goes to standard output.
 */
#ifndef TESTS_UNIT_RUNNER_H
#define TESTS_UNIT_RUNNER_H

#include <stddef.h>

typedef struct
{
  const char *name;
  void (*run) (void);
} unit_test_t;

/* Runs COUNT tests as suite SUITE.  Returns the exit status of the program: 0 if all asserts held,
 * else 1. */
int unit_run (const char *suite, const unit_test_t *tests, size_t count);

/* Like unit_run (), but runs only the tests called NAME, unless that is NULL. */
int unit_run_named (const char *suite, const unit_test_t *tests, size_t count, const char *name);

#endif
