/* cases.h -- the tables of cases: fault, moment, invariant and the function that causes it */
#ifndef TESTS_SYSTEM_CASES_H
#define TESTS_SYSTEM_CASES_H

#include "tests/system/rig.h"

/* RUN gets a deployment that is ready.  check_all () follows it, so a case
 * itself checks only what is particular to it. */
typedef struct
{
  const char *name;
  const char *fault;
  const char *moment;
  const char *invariant;
  rig_options_t options;
  void (*run) (rig_t *rig);
} case_t;

typedef struct
{
  const case_t *cases;
  int32_t count;
} case_list_t;

extern const case_list_t cases_basic;
extern const case_list_t cases_input;
extern const case_list_t cases_resubmit;
extern const case_list_t cases_host;
extern const case_list_t cases_endpoint;
extern const case_list_t cases_platform;
extern const case_list_t cases_publish;
extern const case_list_t cases_limit;
extern const case_list_t cases_cut;
extern const case_list_t cases_cancel;
extern const case_list_t cases_kinds;

/* Random faults for SECONDS; the seed decides all choices.  Returns the number
 * of failures. */
int32_t soak_run (uint32_t seed, int32_t seconds);

#endif
