/* keys.c -- the table of keys that a replica remembers
 *
 * A hash set of entries, chained in a ring in the order of insertion.  Members
 * are interned: the many keys of one claimant share one member_t.
 */
#include "claim/keys.h"

#include <string.h>

struct keys_t
{
  GHashTable *table;   /* keys_entry_t *, by key */
  GHashTable *members; /* member_t *, by identity */
  keys_entry_t ring;   /* head of the chain */
  keys_entry_t *sweep; /* where the next sweep goes on */
  uint64_t sequence;
  int64_t contested;
  keys_entry_t *last_from; /* shortcut for keys_from () */
};

static const char *
entry_key (gconstpointer entry)
{
  return ((const keys_entry_t *) entry)->key;
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

keys_t *
keys_new (void)
{
  keys_t *keys = g_new0 (keys_t, 1);

  keys->table = g_hash_table_new (entry_hash, entry_equal);
  keys->members =
      g_hash_table_new_full (member_hash, member_same, (GDestroyNotify) member_unref, NULL);
  keys->ring.next = keys->ring.prev = &keys->ring;
  keys->sweep = &keys->ring;
  keys->sequence = 1;
  return keys;
}

void
keys_free (keys_t *keys)
{
  while (keys->ring.next != &keys->ring)
    keys_remove (keys, keys->ring.next);
  g_hash_table_unref (keys->table);
  g_hash_table_unref (keys->members);
  g_free (keys);
}

int64_t
keys_count (const keys_t *keys)
{
  return g_hash_table_size (keys->table);
}

int64_t
keys_contested (const keys_t *keys)
{
  return keys->contested;
}

/* GHashTable compares by key only, so a look-up needs something that has the
 * key at an entry's place. */
keys_entry_t *
keys_find (keys_t *keys, const char *key)
{
  union
  {
    keys_entry_t entry;
    char bytes[sizeof (keys_entry_t) + CLAIM_KEY_MAX_BYTES + 1];
  } probe;
  size_t length = strlen (key);

  if (length > CLAIM_KEY_MAX_BYTES)
    return NULL;
  memcpy (probe.bytes + offsetof (keys_entry_t, key), key, length + 1);
  return g_hash_table_lookup (keys->table, &probe.entry);
}

static member_t *
intern (keys_t *keys, member_t *member)
{
  member_t *known = g_hash_table_lookup (keys->members, member);

  if (known == NULL)
    {
      known = member_ref (member);
      g_hash_table_add (keys->members, known);
    }
  return member_ref (known);
}

/* Only the table itself refers to the member any longer. */
static void
release_member (keys_t *keys, member_t *member)
{
  member_unref (member);
  if (member->refs == 1)
    g_hash_table_remove (keys->members, member);
}

keys_entry_t *
keys_add (keys_t *keys, const char *key, int64_t issued_at_ms, const claim_holder_t *holder)
{
  size_t length = strlen (key);
  keys_entry_t *entry = g_malloc0 (sizeof (*entry) + length + 1);

  memcpy (entry->key, key, length + 1);
  entry->sequence = keys->sequence++;
  entry->issued_at_ms = issued_at_ms;
  entry->first = *holder;
  entry->first.member = intern (keys, holder->member);
  entry->prev = keys->ring.prev;
  entry->next = &keys->ring;
  entry->prev->next = entry;
  keys->ring.prev = entry;
  g_hash_table_add (keys->table, entry);
  return entry;
}

int32_t
keys_holder_count (const keys_entry_t *entry)
{
  return 1 + (entry->others != NULL ? (int32_t) entry->others->len : 0);
}

claim_holder_t *
keys_holder (keys_entry_t *entry, int32_t index)
{
  if (index == 0)
    return &entry->first;
  return &g_array_index (entry->others, claim_holder_t, index - 1);
}

claim_holder_t *
keys_holder_of (keys_entry_t *entry, const char *host, uint64_t incarnation)
{
  for (int32_t i = 0; i < keys_holder_count (entry); i++)
    {
      claim_holder_t *holder = keys_holder (entry, i);
      if (holder->member->incarnation == incarnation && strcmp (holder->member->id, host) == 0)
        return holder;
    }
  return NULL;
}

void
keys_add_holder (keys_t *keys, keys_entry_t *entry, const claim_holder_t *holder)
{
  claim_holder_t *known = keys_holder_of (entry, holder->member->id, holder->member->incarnation);

  if (known != NULL)
    {
      if (holder->attempt > known->attempt)
        {
          known->attempt = holder->attempt;
          known->digest = holder->digest;
        }
      return;
    }
  if (keys_holder_count (entry) >= CLAIM_HOLDERS_MAX)
    return;
  if (entry->others == NULL)
    {
      entry->others = g_array_new (FALSE, FALSE, sizeof (claim_holder_t));
      keys->contested++;
    }
  claim_holder_t copy = *holder;
  copy.member = intern (keys, holder->member);
  g_array_append_val (entry->others, copy);
}

static void
drop_others (keys_t *keys, keys_entry_t *entry)
{
  if (entry->others == NULL)
    return;
  g_array_unref (entry->others);
  entry->others = NULL;
  keys->contested--;
}

void
keys_remove_holder (keys_t *keys, keys_entry_t *entry, const claim_holder_t *holder)
{
  if (entry->others == NULL)
    {
      keys_remove (keys, entry);
      return;
    }
  member_t *member = holder->member;
  if (holder == &entry->first)
    {
      entry->first = g_array_index (entry->others, claim_holder_t, 0);
      g_array_remove_index (entry->others, 0);
    }
  else
    g_array_remove_index (entry->others,
                          (guint) (holder - &g_array_index (entry->others, claim_holder_t, 0)));
  release_member (keys, member);
  if (entry->others->len == 0)
    drop_others (keys, entry);
}

void
keys_remove (keys_t *keys, keys_entry_t *entry)
{
  if (keys->sweep == entry)
    keys->sweep = entry->next;
  if (keys->last_from == entry)
    keys->last_from = NULL;
  entry->prev->next = entry->next;
  entry->next->prev = entry->prev;
  g_hash_table_remove (keys->table, entry);
  for (int32_t i = 0; i < keys_holder_count (entry); i++)
    release_member (keys, keys_holder (entry, i)->member);
  drop_others (keys, entry);
  g_free (entry);
}

keys_entry_t *
keys_from (keys_t *keys, uint64_t cursor)
{
  keys_entry_t *entry = keys->ring.next;

  if (keys->last_from != NULL && keys->last_from->sequence <= cursor)
    entry = keys->last_from;
  while (entry != &keys->ring && entry->sequence < cursor)
    entry = entry->next;
  if (entry == &keys->ring)
    return NULL;
  keys->last_from = entry;
  return entry;
}

int64_t
keys_sweep (keys_t *keys, int64_t before_ms, int32_t limit)
{
  int64_t newest_ms = INT64_MIN;

  for (int32_t i = 0; i < limit && keys->sweep != &keys->ring; i++)
    {
      keys_entry_t *entry = keys->sweep;
      keys->sweep = entry->next;
      if (entry->issued_at_ms >= before_ms)
        continue;
      newest_ms = MAX (newest_ms, entry->issued_at_ms);
      keys_remove (keys, entry);
    }
  if (keys->sweep == &keys->ring)
    keys->sweep = keys->ring.next;
  return newest_ms;
}
