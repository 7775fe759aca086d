/* merge.h -- the reports of several hosts as one
 *
 * Of each source (host and incarnation) the freshest copy counts, its own word
 * before any copy.  What could not be learned is listed in words.
 */
#ifndef BURN_MERGE_H
#define BURN_MERGE_H

#include "burn/burn.h"
#include "burn/judge.h"

#include <json-c/json.h>

#define MERGE_POINTS 72

typedef struct
{
  char *name;
  int64_t classes[BURN_WINDOWS][BURN_CLASSES];
} merge_kind_t;

typedef struct
{
  char *name;
  int64_t target_ms;
  int32_t objective_ppm;
  int64_t classes[BURN_WINDOWS][BURN_CLASSES];
  burn_sum_t sums[BURN_WINDOWS];
  burn_alert_t alert;
  GPtrArray *kinds;           /* merge_kind_t, by name */
  GHashTable *errors;         /* error name -> int64_t *, last hour */
  int64_t good[MERGE_POINTS]; /* five minutes each, oldest first */
  int64_t bad[MERGE_POINTS];
} merge_plan_t;

typedef struct merge_t merge_t;

merge_t *merge_new (void);
void merge_free (merge_t *merge);

/* Takes in the report that ADDRESS gave; a reference to it is kept.  Returns 0,
 * or ERROR_PROTOCOL if it is no report. */
int merge_add (merge_t *merge, const char *address, json_object *report);

/* ADDRESS gave no report. */
void merge_missing (merge_t *merge, const char *address, const char *why);

/* Sums up; call once, after all reports.  NOW_MS is wall clock. */
void merge_finish (merge_t *merge, int64_t now_ms);

/* Results: plans in the order of names, and one sentence for each thing that is
 * not known.  They belong to MERGE. */
const GPtrArray *merge_plans (const merge_t *merge);    /* merge_plan_t */
const GPtrArray *merge_unknowns (const merge_t *merge); /* char */
int64_t merge_now_ms (const merge_t *merge);

/* The worst alert over all plans. */
burn_alert_t merge_alert (const merge_t *merge);

#endif
