/* render.h -- a merged burn report as text, JSON and HTML
 *
 * The HTML is one file without references to others; its plots are inline SVG.
 * Names come from callers and are escaped.
 */
#ifndef BURN_RENDER_H
#define BURN_RENDER_H

#include "burn/merge.h"

void render_text (const merge_t *merge, GString *out);

/* The caller owns the result. */
json_object *render_json (const merge_t *merge);

void render_html (const merge_t *merge, GString *out);

/* Why PLAN burns: its largest causes, as in "failed task_failed 12, late 3 of
 * check"; "nothing bad" if there are none.  Free with g_free (). */
char *render_cause (const merge_plan_t *plan);

#endif
