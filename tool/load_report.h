/* load_report.h -- what a load run measured, as text, JSON and CSV */
#ifndef TOOL_LOAD_REPORT_H
#define TOOL_LOAD_REPORT_H

#include "tool/load_plan.h"

/* Prints counts by kind of answer, and for complete jobs the response time and
 * its excess over the longest task, in all and by customer, with a histogram.
 * CUSTOMERS are names by number. */
void load_report_text (const load_plan_t *plan, char *const *customers);

/* The same as one JSON object, without the histogram. */
void load_report_json (const load_plan_t *plan, char *const *customers, uint32_t seed);

/* One line for each operation.  Returns 0 or ERROR_IO. */
int load_report_csv (const load_plan_t *plan, char *const *customers, const char *file);

#endif
