/* hash.c -- hashes of strings and bytes, computed with xxHash */
#include "base/hash.h"

#include <string.h>
#include <xxhash.h>

uint64_t
hash_string (const char *text)
{
  return XXH3_64bits (text, strlen (text));
}

hash_digest_t
hash_digest (const void *data, size_t size)
{
  XXH128_canonical_t canonical;
  hash_digest_t digest;

  XXH128_canonicalFromHash (&canonical, XXH3_128bits (data, size));
  memcpy (digest.bytes, canonical.digest, sizeof digest.bytes);
  return digest;
}

uint64_t
hash_rendezvous (const char *key, const char *name)
{
  return XXH3_64bits_withSeed (name, strlen (name), hash_string (key));
}
