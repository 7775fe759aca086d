/* keys.h -- the table of keys that a replica remembers
 *
 * Keys are kept in the order of their insertion, so that a hand-over can walk
 * them in pieces while others come and go.  Pure; one thread.
 */
#ifndef CLAIM_KEYS_H
#define CLAIM_KEYS_H

#include "claim/claim_msg.h"

/* A remembered key.  Most have one claimant; the others of a contested key are
 * in a separate array. */
typedef struct keys_entry_t
{
  struct keys_entry_t *next;
  struct keys_entry_t *prev;
  uint64_t sequence; /* place in the order of insertion */
  int64_t issued_at_ms;
  claim_holder_t first;
  GArray *others; /* claim_holder_t, or NULL */
  char key[];
} keys_entry_t;

typedef struct keys_t keys_t;

keys_t *keys_new (void);
void keys_free (keys_t *keys);

int64_t keys_count (const keys_t *keys);
int64_t keys_contested (const keys_t *keys);

keys_entry_t *keys_find (keys_t *keys, const char *key);

/* Adds KEY, which must not be there yet. */
keys_entry_t *
keys_add (keys_t *keys, const char *key, int64_t issued_at_ms, const claim_holder_t *holder);

/* Adds a claimant, or raises its attempt if it is there.  Over
 * CLAIM_HOLDERS_MAX claimants, the rest is dropped: the key stays contested. */
void keys_add_holder (keys_t *keys, keys_entry_t *entry, const claim_holder_t *holder);

int32_t keys_holder_count (const keys_entry_t *entry);
claim_holder_t *keys_holder (keys_entry_t *entry, int32_t index);
/* The claimant (HOST, INCARNATION), or NULL. */
claim_holder_t *keys_holder_of (keys_entry_t *entry, const char *host, uint64_t incarnation);

/* Takes the claimant out; the key with its last claimant.  ENTRY may be gone
 * afterwards. */
void keys_remove_holder (keys_t *keys, keys_entry_t *entry, const claim_holder_t *holder);

void keys_remove (keys_t *keys, keys_entry_t *entry);

/* The first entry with a sequence of at least CURSOR, or NULL. */
keys_entry_t *keys_from (keys_t *keys, uint64_t cursor);

/* Removes up to LIMIT keys that were issued before BEFORE_MS, looking at
 * LIMIT keys at a time in turn.  Returns the newest issue time of a removed
 * key, or INT64_MIN if none was. */
int64_t keys_sweep (keys_t *keys, int64_t before_ms, int32_t limit);

#endif
