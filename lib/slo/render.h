/* render.h -- a merged burn report as text, JSON and HTML
 *
 * The HTML is one file without references to others; its plots are inline SVG.
 * Names come from callers and are escaped.
 */
#ifndef SLO_RENDER_H
#define SLO_RENDER_H

#include "slo/merge.h"

void slo_render_text (const slo_merge_t *merge, GString *out);

/* The caller owns the result. */
json_object *slo_render_json (const slo_merge_t *merge);

void slo_render_html (const slo_merge_t *merge, GString *out);

/* Why PLAN burns: its largest causes, as in "failed task_failed 12, late 3 of
 * check"; "nothing bad" if there are none.  Free with g_free (). */
char *slo_render_cause (const slo_merge_plan_t *plan);

#endif
