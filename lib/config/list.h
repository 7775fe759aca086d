/* list.h -- parses and validates the operators' plans and limits lists, JSON with comments
 *
 * Plans:  {"plans": {"CUSTOMER": "PLAN", ...}}
 * Limits: {"limits": {"PLAN": {"running_max": N, "starts_per_s_max": N,
 *                              "weight": N, "target_ms": N, "objective_ppm": N}, ...}}
 *
 * Every member of a limit is optional; validate.c has the ranges and defaults.
 * The functions may be called from any thread.
 */
#ifndef CONFIG_LIST_H
#define CONFIG_LIST_H

#include "config/state.h"

#include <stddef.h>

/* Parses SIZE bytes of TEXT as the list of KIND.  On success returns 0 and sets
 * *ENTRIES to an array of config_entry_t, which the caller frees
 * (g_ptr_array_unref).  On failure returns ERROR_BAD_FILE and sets *MESSAGE to
 * one line that names FILE and, as far as they are known, the key, its value and
 * the values allowed; the caller frees it (g_free). */
int config_list_parse (const char *file,
                       const char *text,
                       size_t size,
                       config_kind_t kind,
                       GPtrArray **entries,
                       char **message);

/* Like config_list_parse (), with the contents of FILE. */
int config_list_read (const char *file, config_kind_t kind, GPtrArray **entries, char **message);

/* Sets *KIND by the top-level key of TEXT.  Returns false if TEXT is neither
 * list. */
bool config_list_kind (const char *text, size_t size, config_kind_t *kind);

/* The top-level key of the list of KIND: "plans" or "limits". */
const char *config_list_name (config_kind_t kind);

#endif
