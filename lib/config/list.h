/* list.h -- the operators' two lists: JSON with comments, checked
 *
 * Plans:  {"plans": {"CUSTOMER": "PLAN", ...}}
 * Limits: {"limits": {"PLAN": {"running_max": N, "starts_per_s_max": N,
 *                              "weight": N, "target_ms": N, "objective_ppm": N}, ...}}
 *
 * Every member of a limit may be left out; check.h has the ranges.  Pure; any
 * thread.
 */
#ifndef CONFIG_LIST_H
#define CONFIG_LIST_H

#include "config/state.h"

#include <stddef.h>

/* Parses SIZE bytes of TEXT as the list of KIND.  Returns 0 and *ENTRIES, an
 * array of config_entry_t that frees them (g_ptr_array_unref); or
 * ERROR_BAD_FILE and *MESSAGE (g_free), one line that names FILE, key, value
 * and what is allowed. */
int config_list_parse (const char *file,
                       const char *text,
                       size_t size,
                       config_kind_t kind,
                       GPtrArray **entries,
                       char **message);

/* As above, from a file. */
int config_list_read (const char *file, config_kind_t kind, GPtrArray **entries, char **message);

/* Finds out by its first key which list TEXT is.  Returns false if it is
 * neither. */
bool config_list_kind (const char *text, size_t size, config_kind_t *kind);

/* The key of the whole list: "plans" or "limits". */
const char *config_list_name (config_kind_t kind);

#endif
