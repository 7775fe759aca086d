/* explain.h -- what hosts' logs say about one job, and the cause of its outcome
 *
 * Pure but for reading the lines it is given; single thread.
 */
#ifndef TOOL_EXPLAIN_H
#define TOOL_EXPLAIN_H

#include <glib.h>
#include <json-c/json.h>
#include <stddef.h>

typedef struct explain_t explain_t;

/* Starts an explanation of the job with ID. */
explain_t *explain_new (const char *id);

/* Takes one line of a host's log; anything before its first brace is passed over, and a
 * line that is no event is ignored. */
void explain_line (explain_t *explain, const char *line);

/* Puts the lines in order and finds the cause.  Returns the number of lines about the
 * job itself. */
size_t explain_finish (explain_t *explain);

/* One sentence for each line, in order, with its time. */
void explain_print (const explain_t *explain, GString *text);
/* The same as {"job", "cause", "lines": [...]}; the caller puts it. */
json_object *explain_json (const explain_t *explain);

/* One sentence: why the job had its outcome. */
const char *explain_cause (const explain_t *explain);

void explain_free (explain_t *explain);

#endif
