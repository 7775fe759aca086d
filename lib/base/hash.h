/* hash.h -- hashes of strings and bytes, computed with xxHash
 *
 * The hashes are not cryptographic.  All functions are thread-safe.
 */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

#define HASH_DIGEST_BYTES 16

/* A 128-bit digest in canonical (big-endian) byte order, used to compare the
 * bodies of submissions. */
typedef struct
{
  uint8_t bytes[HASH_DIGEST_BYTES];
} hash_digest_t;

/* Returns the 64-bit hash of the NUL-terminated string TEXT. */
uint64_t hash_string (const char *text);

/* Returns the digest of SIZE bytes at DATA. */
hash_digest_t hash_digest (const void *data, size_t size);

/* Returns the weight of NAME for KEY in rendezvous hashing: a key belongs to the
 * name with the highest weight.  Removing a name reassigns only the keys that
 * belonged to it. */
uint64_t hash_rendezvous (const char *key, const char *name);

#endif
