/* key_table.c -- the table of keys stored by a replica
 *
 * A hash set of entries, linked in a circular list in order of insertion.
 * Members are interned: all keys of one claimant share one member_t.
 */
#include "claim/key_table.h"

#include <string.h>

struct key_table_t
{
  GHashTable *table;       /* set of key_entry_t, by key */
  GHashTable *members;     /* set of member_t, by process */
  key_entry_t list;        /* head of the circular list */
  key_entry_t *sweep_next; /* where the next scan for expired keys starts */
  uint64_t next_sequence;
  int64_t contested;
  key_entry_t *last_found; /* last result of key_table_first_from (), or NULL */
};

static const char *
entry_key (gconstpointer entry)
{
  return ((const key_entry_t *) entry)->key;
}

static guint
entry_hash (gconstpointer entry)
{
  return g_str_hash (entry_key (entry));
}

static gboolean
entry_equal (gconstpointer a, gconstpointer b)
{
  return strcmp (entry_key (a), entry_key (b)) == 0;
}

static guint
member_hash (gconstpointer member)
{
  return (guint) ((const member_t *) member)->incarnation;
}

static gboolean
member_same (gconstpointer a, gconstpointer b)
{
  return member_equal (a, b);
}

key_table_t *
key_table_new (void)
{
  key_table_t *keys = g_new0 (key_table_t, 1);

  keys->table = g_hash_table_new (entry_hash, entry_equal);
  keys->members =
      g_hash_table_new_full (member_hash, member_same, (GDestroyNotify) member_unref, NULL);
  keys->list.next = keys->list.prev = &keys->list;
  keys->sweep_next = &keys->list;
  keys->next_sequence = 1;
  return keys;
}

void
key_table_free (key_table_t *keys)
{
  while (keys->list.next != &keys->list)
    key_table_remove (keys, keys->list.next);
  g_hash_table_unref (keys->table);
  g_hash_table_unref (keys->members);
  g_free (keys);
}

int64_t
key_table_count (const key_table_t *keys)
{
  return g_hash_table_size (keys->table);
}

int64_t
key_table_contested_count (const key_table_t *keys)
{
  return keys->contested;
}

/* The table is a set of entries, so a look-up needs an object with the key at the
 * same offset as in an entry. */
key_entry_t *
key_table_find (key_table_t *keys, const char *key)
{
  union
  {
    key_entry_t entry;
    char bytes[sizeof (key_entry_t) + CLAIM_KEY_MAX_BYTES + 1];
  } probe;
  size_t length = strlen (key);

  if (length > CLAIM_KEY_MAX_BYTES)
    return NULL;
  memcpy (probe.bytes + offsetof (key_entry_t, key), key, length + 1);
  return g_hash_table_lookup (keys->table, &probe.entry);
}

static member_t *
intern_member (key_table_t *keys, member_t *member)
{
  member_t *known = g_hash_table_lookup (keys->members, member);

  if (known == NULL)
    {
      known = member_ref (member);
      g_hash_table_add (keys->members, known);
    }
  return member_ref (known);
}

/* Drops one reference, and the interned member once only the set refers to it. */
static void
unref_interned_member (key_table_t *keys, member_t *member)
{
  member_unref (member);
  if (member->refs == 1)
    g_hash_table_remove (keys->members, member);
}

key_entry_t *
key_table_add (key_table_t *keys,
               const char *key,
               int64_t issued_at_ms,
               const claim_holder_t *holder)
{
  size_t length = strlen (key);
  key_entry_t *entry = g_malloc0 (sizeof (*entry) + length + 1);

  memcpy (entry->key, key, length + 1);
  entry->sequence = keys->next_sequence++;
  entry->issued_at_ms = issued_at_ms;
  entry->first_holder = *holder;
  entry->first_holder.member = intern_member (keys, holder->member);
  entry->prev = keys->list.prev;
  entry->next = &keys->list;
  entry->prev->next = entry;
  keys->list.prev = entry;
  g_hash_table_add (keys->table, entry);
  return entry;
}

int32_t
key_entry_holder_count (const key_entry_t *entry)
{
  return 1 + (entry->other_holders != NULL ? (int32_t) entry->other_holders->len : 0);
}

claim_holder_t *
key_entry_holder (key_entry_t *entry, int32_t index)
{
  if (index == 0)
    return &entry->first_holder;
  return &g_array_index (entry->other_holders, claim_holder_t, index - 1);
}

claim_holder_t *
key_entry_find_holder (key_entry_t *entry, const char *host, uint64_t incarnation)
{
  for (int32_t i = 0; i < key_entry_holder_count (entry); i++)
    {
      claim_holder_t *holder = key_entry_holder (entry, i);
      if (holder->member->incarnation == incarnation && strcmp (holder->member->id, host) == 0)
        return holder;
    }
  return NULL;
}

void
key_table_add_holder (key_table_t *keys, key_entry_t *entry, const claim_holder_t *holder)
{
  claim_holder_t *known =
      key_entry_find_holder (entry, holder->member->id, holder->member->incarnation);

  if (known != NULL)
    {
      if (holder->attempt > known->attempt)
        {
          known->attempt = holder->attempt;
          known->digest = holder->digest;
        }
      return;
    }
  if (key_entry_holder_count (entry) >= CLAIM_HOLDERS_MAX)
    return;
  if (entry->other_holders == NULL)
    {
      entry->other_holders = g_array_new (FALSE, FALSE, sizeof (claim_holder_t));
      keys->contested++;
    }
  claim_holder_t copy = *holder;
  copy.member = intern_member (keys, holder->member);
  g_array_append_val (entry->other_holders, copy);
}

static void
drop_others (key_table_t *keys, key_entry_t *entry)
{
  if (entry->other_holders == NULL)
    return;
  g_array_unref (entry->other_holders);
  entry->other_holders = NULL;
  keys->contested--;
}

void
key_table_remove_holder (key_table_t *keys, key_entry_t *entry, const claim_holder_t *holder)
{
  if (entry->other_holders == NULL)
    {
      key_table_remove (keys, entry);
      return;
    }
  member_t *member = holder->member;
  if (holder == &entry->first_holder)
    {
      entry->first_holder = g_array_index (entry->other_holders, claim_holder_t, 0);
      g_array_remove_index (entry->other_holders, 0);
    }
  else
    g_array_remove_index (
        entry->other_holders,
        (guint) (holder - &g_array_index (entry->other_holders, claim_holder_t, 0)));
  unref_interned_member (keys, member);
  if (entry->other_holders->len == 0)
    drop_others (keys, entry);
}

void
key_table_remove (key_table_t *keys, key_entry_t *entry)
{
  if (keys->sweep_next == entry)
    keys->sweep_next = entry->next;
  if (keys->last_found == entry)
    keys->last_found = NULL;
  entry->prev->next = entry->next;
  entry->next->prev = entry->prev;
  g_hash_table_remove (keys->table, entry);
  for (int32_t i = 0; i < key_entry_holder_count (entry); i++)
    unref_interned_member (keys, key_entry_holder (entry, i)->member);
  drop_others (keys, entry);
  g_free (entry);
}

key_entry_t *
key_table_first_from (key_table_t *keys, uint64_t cursor)
{
  key_entry_t *entry = keys->list.next;

  if (keys->last_found != NULL && keys->last_found->sequence <= cursor)
    entry = keys->last_found;
  while (entry != &keys->list && entry->sequence < cursor)
    entry = entry->next;
  if (entry == &keys->list)
    return NULL;
  keys->last_found = entry;
  return entry;
}

int64_t
key_table_remove_expired (key_table_t *keys, int64_t before_ms, int32_t limit)
{
  int64_t newest_ms = INT64_MIN;

  for (int32_t i = 0; i < limit && keys->sweep_next != &keys->list; i++)
    {
      key_entry_t *entry = keys->sweep_next;
      keys->sweep_next = entry->next;
      if (entry->issued_at_ms >= before_ms)
        continue;
      newest_ms = MAX (newest_ms, entry->issued_at_ms);
      key_table_remove (keys, entry);
    }
  if (keys->sweep_next == &keys->list)
    keys->sweep_next = keys->list.next;
  return newest_ms;
}
