/* render.h -- renders a merged report as text, JSON and HTML
 *
 * The HTML is a single file without external references; its plots are inline
 * SVG.  Names of plans, kinds and hosts come from callers, so the HTML escapes them.
 */
#ifndef SLO_RENDER_H
#define SLO_RENDER_H

#include "slo/merge.h"

/* Appends the report to OUT as a table in plain text. */
void slo_render_text (const slo_merge_t *merge, GString *out);

/* The caller owns the result and frees it with json_object_put (). */
json_object *slo_render_json (const slo_merge_t *merge);

/* Appends the report to OUT as a complete HTML document. */
void slo_render_html (const slo_merge_t *merge, GString *out);

/* Describes the most frequent class of bad tasks of PLAN in the last hour, with its
 * most frequent error and kind, as in "12 failed, task_failed, most of them check".
 * Returns a string to be freed with g_free (). */
char *slo_render_cause (const slo_merge_plan_t *plan);

#endif
