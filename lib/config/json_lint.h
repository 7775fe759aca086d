/* json_lint.h -- detects errors in JSON with comments that json-c accepts
 *
 * json-c silently keeps the last of several equal keys, and accepts strings in
 * single quotes.  Pure functions; may be called from any thread.
 */
#ifndef CONFIG_JSON_LINT_H
#define CONFIG_JSON_LINT_H

#include <stdbool.h>
#include <stddef.h>

/* Returns the first key that occurs twice in one object of TEXT, in its escaped
 * form without quotes, or NULL if there is none.  The caller frees it (g_free).
 * TEXT must have been parsed by json-c without error. */
char *config_json_duplicate_key (const char *text, size_t size);

/* True if TEXT has a single quote outside strings and comments. */
bool config_json_has_single_quotes (const char *text, size_t size);

/* True if TEXT consists only of white space and comments. */
bool config_json_is_blank (const char *text, size_t size);

#endif
