/* hosts_msg.h -- encodes and decodes the list of hosts, complete or as a delta
 *
 * Usually only a few entries of a list of thousands of hosts change at a time,
 * so a host that has the previous list is sent only the changes.  A delta
 * contains the digests of the list that it applies to and of the resulting list.
 *
 * The functions have no shared state; their arguments must be used by one thread
 * at a time.
 */
#ifndef CONFIG_HOSTS_MSG_H
#define CONFIG_HOSTS_MSG_H

#include "config/hosts_version.h"
#include "platform/hosts.h"
#include "wire/frame.h"

/* Maximum number of entries, and of removed ids, in one message.  Bounds the
 * memory that a message makes its receiver allocate. */
#define HOSTS_MSG_ENTRIES_MAX 200000

/* A list with its version and digest. */
typedef struct
{
  hosts_version_t version;
  uint64_t digest;
  const GPtrArray *list; /* of host_t, sorted by id; not owned */
} hosts_snapshot_t;

/* Encodes SNAPSHOT as a frame of TYPE: as a delta to BASE, or complete if BASE
 * is NULL.  The caller frees the result (g_bytes_unref). */
GBytes *hosts_msg_encode (int type, const hosts_snapshot_t *base, const hosts_snapshot_t *snapshot);

typedef enum
{
  HOSTS_MSG_LIST,          /* *LIST is set; the caller frees it (g_ptr_array_unref) */
  HOSTS_MSG_BASE_MISMATCH, /* the message is a delta to a list other than OWN */
  HOSTS_MSG_MALFORMED
} hosts_msg_result_t;

/* Decodes a message; a delta is applied to OWN.  A message whose resulting list
 * does not have the stated digest is malformed.  *VERSION and *DIGEST are valid
 * unless the message is malformed; *LIST is NULL unless the result is
 * HOSTS_MSG_LIST. */
hosts_msg_result_t hosts_msg_decode (frame_reader_t *reader,
                                     const hosts_snapshot_t *own,
                                     hosts_version_t *version,
                                     uint64_t *digest,
                                     GPtrArray **list);

#endif
