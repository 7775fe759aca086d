/* removed_entries.c -- endpoints whose entries were removed from the directory a short time ago */
#include "executor/removed_entries.h"

#include <string.h>

typedef struct
{
  executor_entry_t entry;
  int64_t expires_at_ms;
} removed_entry_t;

struct removed_entries_t
{
  GHashTable *by_id; /* endpoint id -> removed_entry_t */
};

static void
free_removed_entry (void *data)
{
  removed_entry_t *removed = data;

  executor_entry_clear (&removed->entry);
  g_free (removed);
}

removed_entries_t *
removed_entries_new (void)
{
  removed_entries_t *entries = g_new0 (removed_entries_t, 1);

  entries->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_removed_entry);
  return entries;
}

void
removed_entries_free (removed_entries_t *entries)
{
  if (entries == NULL)
    return;
  g_hash_table_unref (entries->by_id);
  g_free (entries);
}

static gboolean
is_expired (gpointer id, gpointer value, gpointer now_ms)
{
  (void) id;
  return ((const removed_entry_t *) value)->expires_at_ms < *(const int64_t *) now_ms;
}

void
removed_entries_add (removed_entries_t *entries, const executor_entry_t *entry, int64_t now_ms)
{
  removed_entry_t *removed = g_new0 (removed_entry_t, 1);

  g_hash_table_foreach_remove (entries->by_id, is_expired, &now_ms);
  executor_entry_copy (&removed->entry, entry);
  removed->expires_at_ms = now_ms + REMOVED_ENTRY_RETENTION_MS;
  g_hash_table_replace (entries->by_id, (void *) removed->entry.endpoint.id, removed);
}

void
removed_entries_forget (removed_entries_t *entries, const char *id)
{
  g_hash_table_remove (entries->by_id, id);
}

const executor_entry_t *
removed_entries_find (const removed_entries_t *entries, const char *id)
{
  const removed_entry_t *removed = g_hash_table_lookup (entries->by_id, id);

  return removed != NULL ? &removed->entry : NULL;
}

void
removed_entries_foreach (removed_entries_t *entries,
                         const char *shard,
                         int64_t now_ms,
                         void (*visit) (const executor_entry_t *entry, void *data),
                         void *data)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_foreach_remove (entries->by_id, is_expired, &now_ms);
  g_hash_table_iter_init (&iter, entries->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const removed_entry_t *removed = value;
      if (strcmp (removed->entry.shard, shard) == 0)
        visit (&removed->entry, data);
    }
}
