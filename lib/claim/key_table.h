/* key_table.h -- the table of keys that a replica remembers
 *
 * Keys are kept in the order of their insertion, so that a hand-over can walk
 * them in pieces while others come and go.  Pure; one thread.
 */
#ifndef CLAIM_KEYS_H
#define CLAIM_KEYS_H

#include "claim/claim_msg.h"

/* A remembered key.  Most have one claimant; the others of a contested key are
 * in a separate array. */
typedef struct key_entry_t
{
  struct key_entry_t *next;
  struct key_entry_t *prev;
  uint64_t sequence; /* place in the order of insertion */
  int64_t issued_at_ms;
  claim_holder_t first_holder;
  GArray *other_holders; /* claim_holder_t, or NULL */
  char key[];
} key_entry_t;

typedef struct key_table_t key_table_t;

key_table_t *key_table_new (void);
void key_table_free (key_table_t *keys);

int64_t key_table_count (const key_table_t *keys);
int64_t key_table_contested_count (const key_table_t *keys);

key_entry_t *key_table_find (key_table_t *keys, const char *key);

/* Adds KEY, which must not be there yet. */
key_entry_t *key_table_add (key_table_t *keys,
                            const char *key,
                            int64_t issued_at_ms,
                            const claim_holder_t *holder);

/* Adds a claimant, or raises its attempt if it is there.  Over
 * CLAIM_HOLDERS_MAX claimants, the rest is dropped: the key stays contested. */
void key_table_add_holder (key_table_t *keys, key_entry_t *entry, const claim_holder_t *holder);

int32_t key_entry_holder_count (const key_entry_t *entry);
claim_holder_t *key_entry_holder (key_entry_t *entry, int32_t index);
/* The claimant (HOST, INCARNATION), or NULL. */
claim_holder_t *key_entry_find_holder (key_entry_t *entry, const char *host, uint64_t incarnation);

/* Takes the claimant out; the key with its last claimant.  ENTRY may be gone
 * afterwards. */
void key_table_remove_holder (key_table_t *keys, key_entry_t *entry, const claim_holder_t *holder);

void key_table_remove (key_table_t *keys, key_entry_t *entry);

/* The first entry with a sequence of at least CURSOR, or NULL. */
key_entry_t *key_table_first_from (key_table_t *keys, uint64_t cursor);

/* Removes up to LIMIT keys that were issued before BEFORE_MS, looking at
 * LIMIT keys at a time in turn.  Returns the newest issue time of a removed
 * key, or INT64_MIN if none was. */
int64_t key_table_remove_expired (key_table_t *keys, int64_t before_ms, int32_t limit);

#endif
