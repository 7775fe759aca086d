/* cases_publish.c -- operators that publish at once, and a platform that loses their answers */
#include "tests/system/cases.h"
#include "tests/system/check.h"

const case_list_t cases_publish = { NULL, 0 };
