/* diff.c -- computes the edits that turn the current configuration into given lists */
#include "config/diff.h"

static void
diff_list (const config_replica_t *replica,
           config_kind_t kind,
           GPtrArray *list,
           config_edits_t *edits)
{
  const config_t *config = config_replica_config (replica);
  GHashTable *wanted = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < list->len; i++)
    {
      config_entry_t *entry = list->pdata[i];
      const config_entry_t *current = config_find (config, kind, entry->name);
      g_hash_table_add (wanted, entry->name);
      if (current == NULL || !config_entry_equal (current, entry))
        config_edits_add (edits, kind, entry->name,
                          config_replica_base_offset (replica, kind, entry->name), entry);
    }
  GPtrArray *current = config_entries (config, kind);
  for (guint i = 0; i < current->len; i++)
    {
      const config_entry_t *entry = current->pdata[i];
      if (!g_hash_table_contains (wanted, entry->name))
        config_edits_add (edits, kind, entry->name,
                          config_replica_base_offset (replica, kind, entry->name), NULL);
    }
  g_ptr_array_unref (current);
  g_hash_table_unref (wanted);
}

config_edits_t *
config_diff (const config_replica_t *replica,
             GPtrArray *const lists[CONFIG_KINDS],
             const config_publication_id_t *id)
{
  config_edits_t *edits = config_edits_new (id);
  for (int kind = 0; kind < CONFIG_KINDS; kind++)
    if (lists[kind])
      diff_list (replica, (config_kind_t) kind, lists[kind], edits);
  return edits;
}
