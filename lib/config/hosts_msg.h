/* hosts_msg.h -- the message that relays the list of hosts, whole or as a difference
 *
 * A list of thousands of hosts changes in a few places, so a host that has the
 * list before is sent only what changed.  A difference names the digest of the
 * list that it starts from and of the one that it leads to.  Pure; one thread.
 */
#ifndef CONFIG_HOSTS_MSG_H
#define CONFIG_HOSTS_MSG_H

#include "config/hosts_version.h"
#include "platform/hosts.h"
#include "wire/frame.h"

/* Bounds what one message makes a host allocate. */
#define HOSTS_MSG_MAX 200000

/* A list with its version and digest. */
typedef struct
{
  hosts_version_t version;
  uint64_t digest;
  const GPtrArray *list; /* of host_t, sorted by id */
} hosts_known_t;

/* A frame with what leads from BASE to KNOWN; all of it if BASE is NULL. */
GBytes *hosts_msg (int type, const hosts_known_t *base, const hosts_known_t *known);

typedef enum
{
  HOSTS_MSG_LIST,       /* *LIST is set; the caller frees it */
  HOSTS_MSG_OTHER_BASE, /* a difference to a list that OWN is not */
  HOSTS_MSG_MALFORMED
} hosts_msg_result_t;

/* Reads a message.  VERSION and DIGEST are set unless it is malformed; a list
 * that does not have its digest is. */
hosts_msg_result_t hosts_msg_get (frame_reader_t *reader,
                                  const hosts_known_t *own,
                                  hosts_version_t *version,
                                  uint64_t *digest,
                                  GPtrArray **list);

#endif
