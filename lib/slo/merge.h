/* merge.h -- the reports of several hosts as one
 *
 * Of each source (host and incarnation) the freshest copy counts, its own word
 * before any copy.  What could not be learned is listed in words.
 */
#ifndef SLO_MERGE_H
#define SLO_MERGE_H

#include "slo/counters.h"
#include "slo/alert.h"

#include <json-c/json.h>

#define SLO_MERGE_POINTS 72

typedef struct
{
  char *name;
  int64_t class_counts[SLO_WINDOWS][SLO_CLASSES];
} slo_merge_kind_t;

typedef struct
{
  char *name;
  int64_t target_ms;
  int32_t objective_ppm;
  int64_t class_counts[SLO_WINDOWS][SLO_CLASSES];
  slo_totals_t totals[SLO_WINDOWS];
  slo_alert_t alert;
  GPtrArray *kinds;                     /* slo_merge_kind_t, by name */
  GHashTable *error_counts;             /* error name -> int64_t *, last hour */
  int64_t good_tasks[SLO_MERGE_POINTS]; /* five minutes each, oldest first */
  int64_t bad_tasks[SLO_MERGE_POINTS];
} slo_merge_plan_t;

typedef struct slo_merge_t slo_merge_t;

slo_merge_t *slo_merge_new (void);
void slo_merge_free (slo_merge_t *merge);

/* Takes in the report that ADDRESS gave; a reference to it is kept.  Returns 0,
 * or ERROR_PROTOCOL if it is no report. */
int slo_merge_add (slo_merge_t *merge, const char *address, json_object *report);

/* ADDRESS gave no report. */
void slo_merge_add_unreachable (slo_merge_t *merge, const char *address, const char *why);

/* Sums up; call once, after all reports.  NOW_MS is wall clock. */
void slo_merge_finish (slo_merge_t *merge, int64_t now_ms);

/* Results: plans in the order of names, and one sentence for each thing that is
 * not known.  They belong to MERGE. */
const GPtrArray *slo_merge_plans (const slo_merge_t *merge); /* slo_merge_plan_t */
const GPtrArray *slo_merge_gaps (const slo_merge_t *merge);  /* char */
int64_t slo_merge_now_ms (const slo_merge_t *merge);

/* The worst alert over all plans. */
slo_alert_t slo_merge_worst_alert (const slo_merge_t *merge);

#endif
