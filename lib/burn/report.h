/* report.h -- the body of GET /v1/burn
 *
 *   {"host": "a1", "now_ms": N, "plans": {"gold": {"target_ms": N,
 *    "objective_ppm": N}}, "peers": ["a2", ...], "sources": [{"host": "a1",
 *    "incarnation": "hex", "own": true, "from_ms": N, "as_of_ms": N, "series":
 *    [{"plan": "gold", "kind": "check", "windows": {"5m": {"good": N, "late": N,
 *    "refused": N, "failed": N, "excused": N}, "1h": ..., "6h": ...},
 *    "errors": {"task_failed": N}, "points": [[N, good, bad], ...]}]}]}
 *
 * `errors` covers the last hour; a point is five minutes, numbered since the
 * epoch.
 */
#ifndef BURN_REPORT_H
#define BURN_REPORT_H

#include "burn/burn.h"

#include <json-c/json.h>

#define BURN_POINT_MINUTES 5

/* Adds "now_ms" and "sources" to OUT. */
void burn_report (burn_t *burn, int64_t now_ms, json_object *out);

#endif
