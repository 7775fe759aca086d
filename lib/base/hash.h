/* hash.h -- hashes over strings and bytes, by xxHash; thread-safe */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#include <stddef.h>
#include <stdint.h>

#define HASH_DIGEST_BYTES 16

/* A 128-bit digest of a submission's body. */
typedef struct
{
  uint8_t bytes[HASH_DIGEST_BYTES];
} hash_digest_t;

/* 64-bit hash of a NUL-terminated string. */
uint64_t hash_string (const char *text);

/* Digest of SIZE bytes at DATA. */
hash_digest_t hash_digest (const void *data, size_t size);

/* Rendezvous weight of NAME for KEY: for a key, the name with the highest
 * weight owns it.  A name that leaves moves only the keys that it owned. */
uint64_t hash_rendezvous (const char *key, const char *name);

#endif
