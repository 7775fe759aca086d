/* report.h -- the body of GET /v1/burn
 *
 *   {"host": "a1", "now_ms": N, "plans": {"gold": {"target_ms": N,
 *    "objective_ppm": N}}, "peers": ["a2", ...], "sources": [{"host": "a1",
 *    "incarnation": "hex", "own": true, "from_ms": N, "as_of_ms": N, "series":
 *    [{"plan": "gold", "kind": "check", "windows": {"5m": {"good": N, "late": N,
 *    "refused": N, "failed": N, "excused": N}, "1h": ..., "6h": ...},
 *    "errors": {"task_failed": N}, "points": [[N, good, bad], ...]}]}]}
 *
 * "errors" covers the last hour.  A point is the number of a five-minute period
 * since the epoch, with its good and bad tasks.  The caller adds the members other
 * than "now_ms" and "sources".
 */
#ifndef SLO_REPORT_H
#define SLO_REPORT_H

#include "slo/counters.h"

#include <json-c/json.h>

#define SLO_POINT_MINUTES 5

/* Adds the members "now_ms" and "sources" to OUT. */
void slo_report (slo_counters_t *counters, int64_t now_ms, json_object *out);

#endif
