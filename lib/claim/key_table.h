/* key_table.h -- the table of keys stored by a replica
 *
 * Entries are kept in order of insertion, so that a hand-over can iterate over
 * them in several batches while entries are added and removed.  No I/O;
 * single-threaded.
 */
#ifndef CLAIM_KEY_TABLE_H
#define CLAIM_KEY_TABLE_H

#include "claim/claim_msg.h"

/* A stored key.  Most keys have one claimant; further claimants of a contested key
 * are in a separate array. */
typedef struct key_entry_t
{
  struct key_entry_t *next;
  struct key_entry_t *prev;
  uint64_t sequence;    /* increases with each insertion */
  int64_t issued_at_ms; /* wall clock */
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

/* Adds KEY, which must not be in the table yet.  HOLDER is copied. */
key_entry_t *key_table_add (key_table_t *keys,
                            const char *key,
                            int64_t issued_at_ms,
                            const claim_holder_t *holder);

/* Adds a claimant, or raises its attempt if it is there already.  Claimants beyond
 * CLAIM_HOLDERS_MAX are dropped; the key remains contested. */
void key_table_add_holder (key_table_t *keys, key_entry_t *entry, const claim_holder_t *holder);

int32_t key_entry_holder_count (const key_entry_t *entry);
claim_holder_t *key_entry_holder (key_entry_t *entry, int32_t index);
/* Returns the claimant with HOST and INCARNATION, or NULL. */
claim_holder_t *key_entry_find_holder (key_entry_t *entry, const char *host, uint64_t incarnation);

/* Removes a claimant, and the entry if it was the last one; ENTRY is freed then. */
void key_table_remove_holder (key_table_t *keys, key_entry_t *entry, const claim_holder_t *holder);

void key_table_remove (key_table_t *keys, key_entry_t *entry);

/* Returns the first entry whose sequence is at least CURSOR, or NULL. */
key_entry_t *key_table_first_from (key_table_t *keys, uint64_t cursor);

/* Examines LIMIT entries from where the last call stopped, beginning again at the
 * first entry once the last one was examined, and removes those issued before
 * BEFORE_MS (wall clock).  Returns the latest issue time of a removed key, or
 * INT64_MIN if none was removed. */
int64_t key_table_remove_expired (key_table_t *keys, int64_t before_ms, int32_t limit);

#endif
