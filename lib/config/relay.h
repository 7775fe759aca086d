/* relay.h -- selects the hosts of a data centre that read the platform, and the pull sources
 *
 * The hosts of a data centre are ranked by rendezvous hashing.  The host of the
 * highest rank reads the log and the list of hosts from the platform and relays
 * both to the others.  Its heartbeats state the offsets that it has reached and
 * whether the platform answers it.  The second host also reads while the first
 * one is silent or receives no answers; a host further down reads only when all
 * hosts ranked above it are silent.  At most two hosts of a data centre
 * therefore read during an outage of the platform, however many hosts the data
 * centre has.
 *
 * A host that is behind the reader of its data centre pulls from that reader.
 * A reader that receives no answers pulls from a peer in another data centre
 * and stays with that peer as long as it supplies newer data.  A host without
 * any state pulls from all peers in turn.
 *
 * The module performs no I/O and reads no clock: the caller passes the time, in
 * milliseconds of the boot clock, and carries out the returned actions.  A
 * relay_t must be used by one thread at a time.
 */
#ifndef CONFIG_RELAY_H
#define CONFIG_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#define RELAY_HEARTBEAT_INTERVAL_MS 500
/* A host whose last heartbeat is older than this counts as silent. */
#define RELAY_HEARTBEAT_TIMEOUT_MS 1500
/* A reader whose last answer from the platform is older than this counts as
 * receiving no answers. */
#define RELAY_ANSWER_TIMEOUT_MS 1500
#define RELAY_PULL_INTERVAL_MS 400
/* A peer in another data centre that supplied newer data within this time
 * remains the pull source. */
#define RELAY_PULL_SOURCE_KEEP_MS 1000

typedef struct relay_t relay_t;

/* Contents of a heartbeat, as seen by its receiver. */
typedef struct
{
  bool platform_answered; /* the platform answered the sender within RELAY_ANSWER_TIMEOUT_MS */
  bool receiver_behind;   /* the sender has data that the receiver lacks */
} relay_heartbeat_t;

typedef struct
{
  bool read_platform;     /* this host reads the platform */
  bool send_heartbeat;    /* send a heartbeat to all hosts of this data centre now */
  bool platform_answered; /* value of that field in the heartbeat */
  const char *pull_from;  /* host to pull from now, or NULL; valid until that peer is removed */
} relay_actions_t;

/* The strings are copied.  Free with relay_free (). */
relay_t *relay_new (const char *host, const char *data_centre, int64_t now_ms);
void relay_free (relay_t *relay);

/* The connection to a peer was established or lost. */
void relay_peer_up (relay_t *relay, const char *host, const char *data_centre, int64_t now_ms);
void relay_peer_down (relay_t *relay, const char *host);

/* Records a heartbeat from HOST.  Ignored unless HOST is a connected peer of
 * this data centre. */
void relay_heartbeat_received (relay_t *relay,
                               const char *host,
                               const relay_heartbeat_t *heartbeat,
                               int64_t now_ms);

/* The platform has answered this host's reads of both the log and the list of
 * hosts. */
void relay_platform_answered (relay_t *relay, int64_t now_ms);

/* HOST has sent data newer than what this host had. */
void relay_pull_succeeded (relay_t *relay, const char *host, int64_t now_ms);

/* Sets *ACTIONS to what this host must do now.  STATELESS is true if this host
 * has no state yet, or lacks records that only a peer can supply. */
void relay_step (relay_t *relay, bool stateless, int64_t now_ms, relay_actions_t *actions);

/* The host that relays to this one: of the hosts of this data centre that are
 * ranked above this host and are not silent, the one of the highest rank.  NULL
 * if there is none. */
const char *relay_source (const relay_t *relay, int64_t now_ms);

#endif
