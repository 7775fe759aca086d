/* drain.c -- which data centres are drained, as far as this host knows
 *
 * An entry that is not drained stands for a removal that the set is not yet complete beyond:
 * without it an older record that comes late would drain the data centre again.
 */
#include "drain/drain.h"

#include <string.h>

struct drains_t
{
  GHashTable *entries; /* interned name -> drain_t */
  uint64_t end;
  bool known;
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
is_set (const drain_t *entry)
{
  return entry != NULL && entry->drained;
}

/* Stores FRESH, and appends it to CHANGES if that drains its data centre or ends a drain. */
static void
store (drains_t *drains, const drain_t *fresh, GArray *changes)
{
  drain_t *entry = g_hash_table_lookup (drains->entries, fresh->name);
  bool was_set = is_set (entry);
  int64_t since_ms = fresh->since_ms;

  if (entry == NULL)
    {
      entry = g_new0 (drain_t, 1);
      g_hash_table_insert (drains->entries, (void *) fresh->name, entry);
    }
  /* A record that repeats the request does not begin a new drain. */
  if (was_set && fresh->drained)
    since_ms = MIN (since_ms, entry->since_ms);
  *entry = *fresh;
  entry->since_ms = since_ms;
  if (was_set != fresh->drained)
    g_array_append_val (changes, *entry);
}

/* Takes in FRESH unless something newer is known.  LISTED: a listing that ends beyond the set names
 * it, so that the set's silence about it is older. */
static void
take (drains_t *drains, const drain_t *fresh, bool listed, GArray *changes)
{
  drain_t *entry = g_hash_table_lookup (drains->entries, fresh->name);

  if (entry != NULL && entry->offset == fresh->offset && entry->drained && fresh->drained)
    entry->since_ms = MIN (entry->since_ms, fresh->since_ms);
  if (entry != NULL && entry->offset >= fresh->offset)
    return;
  if (entry == NULL && fresh->offset < drains->end && !listed)
    return;
  store (drains, fresh, changes);
}

static void
forget_removals (drains_t *drains)
{
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, drains->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const drain_t *entry = value;
      if (!entry->drained && entry->offset < drains->end)
        g_hash_table_iter_remove (&iter);
    }
}

void
drains_record (drains_t *drains,
               const char *name,
               uint64_t offset,
               bool drained,
               int64_t now_ms,
               GArray *changes)
{
  drain_t fresh = { g_intern_string (name), drained, offset, now_ms };

  take (drains, &fresh, false, changes);
}

static bool
names (const drain_t *listed, size_t count, const char *name)
{
  for (size_t i = 0; i < count; i++)
    if (listed[i].drained && strcmp (listed[i].name, name) == 0)
      return true;
  return false;
}

/* Ends the drains that a listing with END does not name. */
static void
end_missing (drains_t *drains,
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
      if (!entry->drained || entry->offset >= end || names (listed, count, entry->name))
        continue;
      drain_t removed = { entry->name, false, end - 1, now_ms };
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
  bool newer = !drains->known || end > drains->end;

  for (size_t i = 0; i < count; i++)
    {
      drain_t fresh = { g_intern_string (listed[i].name), listed[i].drained, listed[i].offset,
                        MIN (listed[i].since_ms, now_ms) };
      take (drains, &fresh, newer, changes);
    }
  if (!newer)
    return;
  end_missing (drains, listed, count, end, now_ms, changes);
  drains->known = true;
  drains->end = end;
  forget_removals (drains);
}

void
drains_advance (drains_t *drains, uint64_t end)
{
  if (!drains->known || end <= drains->end)
    return;
  drains->end = end;
  forget_removals (drains);
}

bool
drains_is_known (const drains_t *drains)
{
  return drains->known;
}

uint64_t
drains_end (const drains_t *drains)
{
  return drains->end;
}

bool
drains_has (const drains_t *drains, const char *name)
{
  return is_set (g_hash_table_lookup (drains->entries, g_intern_string (name)));
}

static int
by_name (const void *a, const void *b)
{
  return strcmp (((const drain_t *) a)->name, ((const drain_t *) b)->name);
}

GArray *
drains_list (const drains_t *drains, bool removals)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (drain_t));
  GHashTableIter iter;
  void *value = NULL;

  g_hash_table_iter_init (&iter, drains->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (removals || is_set (value))
      g_array_append_vals (list, value, 1);
  g_array_sort (list, by_name);
  return list;
}
