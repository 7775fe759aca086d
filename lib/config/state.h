/* state.h -- construction of configurations from entries in copy-on-write shards
 *
 * Entries are immutable and shared between configurations.  A configuration is
 * a fixed number of shards, each of which is a sorted array of entries.  To
 * change an entry of a configuration that has other references, one shard and
 * the list of shards are copied; the entries are shared.
 *
 * A configuration must be built by one thread.  Other threads that hold a
 * reference may read it.
 */
#ifndef CONFIG_STATE_H
#define CONFIG_STATE_H

#include "config/config.h"

#include <stdbool.h>

typedef enum
{
  CONFIG_PLAN, /* customer -> plan */
  CONFIG_LIMIT /* plan -> limits */
} config_kind_t;
#define CONFIG_KINDS 2

typedef struct
{
  gatomicrefcount refs;
  config_kind_t kind;
  int64_t revision; /* offset of the publication that wrote the entry */
  char *name;       /* customer or plan */
  union
  {
    char *plan;            /* CONFIG_PLAN */
    config_limit_t *limit; /* CONFIG_LIMIT; its field plan is NAME */
  } value;
} config_entry_t;

/* Create an entry, with one reference for the caller; the arguments are copied. */
config_entry_t *config_entry_plan (const char *customer, const char *plan, int64_t revision);
config_entry_t *config_entry_limit (const config_limit_t *limit, int64_t revision);
config_entry_t *config_entry_ref (config_entry_t *entry);
void config_entry_unref (config_entry_t *entry);
/* True if both entries have the same kind, name and value; their revisions are
 * not compared. */
bool config_entry_equal (const config_entry_t *a, const config_entry_t *b);

/* Returns an empty configuration of revision 0. */
config_t *config_new (void);

/* Returns the entry, or NULL.  Valid while CONFIG is referenced and not changed. */
config_entry_t *config_find (const config_t *config, config_kind_t kind, const char *name);

/* The number of entries of KIND. */
size_t config_count (const config_t *config, config_kind_t kind);

/* Returns the entries of KIND, sorted by name.  The array holds references; the
 * caller frees it (g_ptr_array_unref). */
GPtrArray *config_entries (const config_t *config, config_kind_t kind);

/* Change *CONFIG, which is first replaced by a copy if it has other references.
 * config_put () takes its own reference of ENTRY and replaces an entry of the
 * same name. */
void config_put (config_t **config, config_entry_t *entry);
void config_remove (config_t **config, config_kind_t kind, const char *name);
void config_set_revision (config_t **config, int64_t revision);

#endif
