/* merge.h -- merges the reports of several hosts
 *
 * A report lists a host's own source and copies of the sources of its peers.  Of
 * each source (host and incarnation) one version is used: that of its own process
 * if present, otherwise the most recent copy.  Missing data is described in one
 * sentence for each gap.
 *
 * Add all reports, call slo_merge_finish () once, then read the results.  Not
 * thread-safe.
 */
#ifndef SLO_MERGE_H
#define SLO_MERGE_H

#include "slo/counters.h"
#include "slo/alert.h"

#include <json-c/json.h>

/* Points of SLO_POINT_MINUTES each: six hours. */
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
  GPtrArray *kinds;                     /* slo_merge_kind_t, sorted by name */
  GHashTable *error_counts;             /* error name -> int64_t *, over the last hour */
  int64_t good_tasks[SLO_MERGE_POINTS]; /* by point, oldest first */
  int64_t bad_tasks[SLO_MERGE_POINTS];
} slo_merge_plan_t;

typedef struct slo_merge_t slo_merge_t;

slo_merge_t *slo_merge_new (void);
void slo_merge_free (slo_merge_t *merge);

/* Adds the report received from ADDRESS and keeps a reference to it.  Returns 0,
 * or ERROR_PROTOCOL if it is not a valid report, which is listed as a gap. */
int slo_merge_add (slo_merge_t *merge, const char *address, json_object *report);

/* Records as a gap that ADDRESS sent no report; WHY names the error. */
void slo_merge_add_unreachable (slo_merge_t *merge, const char *address, const char *why);

/* Computes the results.  NOW_MS is wall clock. */
void slo_merge_finish (slo_merge_t *merge, int64_t now_ms);

/* Results, owned by MERGE: the plans sorted by name, and the gaps as one sentence
 * each. */
const GPtrArray *slo_merge_plans (const slo_merge_t *merge); /* slo_merge_plan_t */
const GPtrArray *slo_merge_gaps (const slo_merge_t *merge);  /* char */
int64_t slo_merge_now_ms (const slo_merge_t *merge);

/* Returns the most severe alert of all plans. */
slo_alert_t slo_merge_worst_alert (const slo_merge_t *merge);

#endif
