/* keys.h -- finds what json-c lets through in a file of JSON with comments
 *
 * json-c keeps the last one of several equal keys without a word, and takes
 * strings in single quotes.  Pure; any thread.
 */
#ifndef CONFIG_KEYS_H
#define CONFIG_KEYS_H

#include <stdbool.h>
#include <stddef.h>

/* Finds a key that stands twice in one object of TEXT, as written, without its
 * quotes.  Returns NULL if there is none; the caller frees it (g_free).  TEXT
 * is JSON that json-c has parsed. */
char *config_keys_repeated (const char *text, size_t size);

/* Finds a single quote outside of strings and comments. */
bool config_keys_single_quoted (const char *text, size_t size);

/* True if only space and comments stand in TEXT. */
bool config_keys_blank (const char *text, size_t size);

#endif
