/* drain.c -- the set of drained data centres, as known to this host
 *
 * An entry that is not drained is a tombstone: it records the end of a drain beyond the offset up
 * to which the set is complete.  Without it, an older record that arrives late would drain the data
 * centre again.
 */
#include "drain/drain.h"

#include <string.h>

struct drains_t
{
  GHashTable *entries; /* interned name of a data centre -> drain_t */
  uint64_t end_offset;
  bool initialised;
};

drains_t *
drains_new (void)
{
  drains_t *drains = g_new0 (drains_t, 1);

  drains->entries = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return drains;
}

void
drains_free (drains_t *drains)
{
  if (drains == NULL)
    return;
  g_hash_table_unref (drains->entries);
  g_free (drains);
}

static bool
is_drained (const drain_t *entry)
{
  return entry != NULL && entry->drained;
}

/* Stores FRESH, and appends it to CHANGES if it begins or ends the drain of its data centre. */
static void
store_entry (drains_t *drains, const drain_t *fresh, GArray *changes)
{
  drain_t *entry = g_hash_table_lookup (drains->entries, fresh->data_centre);
  bool was_drained = is_drained (entry);
  int64_t first_seen_at_ms = fresh->first_seen_at_ms;

  if (entry == NULL)
    {
      entry = g_new0 (drain_t, 1);
      g_hash_table_insert (drains->entries, (void *) fresh->data_centre, entry);
    }
  /* A repeated request to drain continues the present drain, which keeps its start. */
  if (was_drained && fresh->drained)
    first_seen_at_ms = MIN (first_seen_at_ms, entry->first_seen_at_ms);
  *entry = *fresh;
  entry->first_seen_at_ms = first_seen_at_ms;
  if (was_drained != fresh->drained)
    g_array_append_val (changes, *entry);
}

/* Stores FRESH unless the set has newer information.  An offset before the end of the set, without
 * an entry, means that the drain has ended since.  That does not hold if FRESH is from a listing
 * that ends beyond the set (LISTED), which is then the newer of the two. */
static void
apply_if_newer (drains_t *drains, const drain_t *fresh, bool listed, GArray *changes)
{
  drain_t *entry = g_hash_table_lookup (drains->entries, fresh->data_centre);

  if (entry != NULL && entry->record_offset == fresh->record_offset && entry->drained
      && fresh->drained)
    entry->first_seen_at_ms = MIN (entry->first_seen_at_ms, fresh->first_seen_at_ms);
  if (entry != NULL && entry->record_offset >= fresh->record_offset)
    return;
  if (entry == NULL && fresh->record_offset < drains->end_offset && !listed)
    return;
  store_entry (drains, fresh, changes);
}

/* Removes the tombstones that the end offset of the set makes redundant. */
static void
purge_removals (drains_t *drains)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, drains->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const drain_t *entry = value;
      if (!entry->drained && entry->record_offset < drains->end_offset)
        g_hash_table_iter_remove (&iter);
    }
}

void
drains_apply_record (drains_t *drains,
                     const char *data_centre,
                     uint64_t offset,
                     bool drained,
                     int64_t now_ms,
                     GArray *changes)
{
  drain_t fresh = { g_intern_string (data_centre), drained, offset, now_ms };

  apply_if_newer (drains, &fresh, false, changes);
}

static bool
lists_data_centre (const drain_t *listed, size_t count, const char *data_centre)
{
  for (size_t i = 0; i < count; i++)
    if (listed[i].drained && strcmp (listed[i].data_centre, data_centre) == 0)
      return true;
  return false;
}

/* Ends the drains whose records are before END and that the listing with END does not contain. */
static void
end_unlisted (drains_t *drains,
              const drain_t *listed,
              size_t count,
              uint64_t end,
              int64_t now_ms,
              GArray *changes)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, drains->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const drain_t *entry = value;
      if (!entry->drained || entry->record_offset >= end
          || lists_data_centre (listed, count, entry->data_centre))
        continue;
      drain_t removed = { entry->data_centre, false, end - 1, now_ms };
      g_array_append_val (changes, removed);
      g_hash_table_iter_remove (&iter);
    }
}

void
drains_merge (drains_t *drains,
              const drain_t *listed,
              size_t count,
              uint64_t end,
              int64_t now_ms,
              GArray *changes)
{
  bool newer = !drains->initialised || end > drains->end_offset;

  for (size_t i = 0; i < count; i++)
    {
      drain_t fresh = { g_intern_string (listed[i].data_centre), listed[i].drained,
                        listed[i].record_offset, MIN (listed[i].first_seen_at_ms, now_ms) };
      apply_if_newer (drains, &fresh, newer, changes);
    }
  if (!newer)
    return;
  end_unlisted (drains, listed, count, end, now_ms, changes);
  drains->initialised = true;
  drains->end_offset = end;
  purge_removals (drains);
}

void
drains_advance (drains_t *drains, uint64_t end)
{
  if (!drains->initialised || end <= drains->end_offset)
    return;
  drains->end_offset = end;
  purge_removals (drains);
}

bool
drains_are_initialised (const drains_t *drains)
{
  return drains->initialised;
}

uint64_t
drains_end_offset (const drains_t *drains)
{
  return drains->end_offset;
}

bool
drains_contain (const drains_t *drains, const char *data_centre)
{
  return is_drained (g_hash_table_lookup (drains->entries, g_intern_string (data_centre)));
}

static int
compare_data_centres (const void *a, const void *b)
{
  return strcmp (((const drain_t *) a)->data_centre, ((const drain_t *) b)->data_centre);
}

GArray *
drains_list (const drains_t *drains, bool include_removals)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (drain_t));
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, drains->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (include_removals || is_drained (value))
      g_array_append_vals (list, value, 1);
  g_array_sort (list, compare_data_centres);
  return list;
}
