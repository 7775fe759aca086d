/* state.h -- how a configuration is built: entries in copy-on-write shards
 *
 * Entries are immutable and shared between configurations.  A configuration
 * is a fixed number of shards, each a sorted array of entries; changing one
 * entry of a configuration that readers hold copies one shard and the list of
 * shards, not the entries.
 *
 * Building belongs to one thread; a configuration that was handed out may be
 * read by any thread.
 */
#ifndef CONFIG_STATE_H
#define CONFIG_STATE_H

#include "config/config.h"

#include <stdbool.h>

typedef enum
{
  CONFIG_PLAN, /* customer -> plan */
  CONFIG_LIMIT /* plan -> what it may use */
} config_kind_t;
#define CONFIG_KINDS 2

typedef struct
{
  gatomicrefcount refs;
  config_kind_t kind;
  int64_t revision; /* offset of the edit that wrote it */
  char *name;       /* customer or plan */
  union
  {
    char *plan;            /* CONFIG_PLAN */
    config_limit_t *limit; /* CONFIG_LIMIT; its plan is NAME */
  } value;
} config_entry_t;

/* New entries, with one reference for the caller. */
config_entry_t *config_entry_plan (const char *customer, const char *plan, int64_t revision);
config_entry_t *config_entry_limit (const config_limit_t *limit, int64_t revision);
config_entry_t *config_entry_ref (config_entry_t *entry);
void config_entry_unref (config_entry_t *entry);
/* True if both have the same kind, name and value; revisions do not count. */
bool config_entry_same (const config_entry_t *a, const config_entry_t *b);

/* An empty configuration. */
config_t *config_new (void);

/* The entry, or NULL. */
config_entry_t *config_find (const config_t *config, config_kind_t kind, const char *name);

/* Number of entries of KIND. */
size_t config_count (const config_t *config, config_kind_t kind);

/* The entries of KIND in the order of names, referenced by the array. */
GPtrArray *config_entries (const config_t *config, config_kind_t kind);

/* Changes *CONFIG, after replacing it by a copy if others hold it.  Put takes
 * its own reference of ENTRY. */
void config_put (config_t **config, config_entry_t *entry);
void config_remove (config_t **config, config_kind_t kind, const char *name);
void config_set_revision (config_t **config, int64_t revision);

#endif
