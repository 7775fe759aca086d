/* relay.h -- decides who reads the platform for a data centre, and from whom to pull
 *
 * The hosts of a data centre are ranked by rendezvous.  The first one reads
 * the log and the list of hosts and sends on what it gets; its beats say up to
 * where it has read and whether the platform answers it.  The second one reads
 * too while the first is silent or gets no answers, the others only when all
 * before them are silent.  So at most two hosts of a data centre read while
 * the platform is down, whatever its number of hosts.
 *
 * A host that is behind its data centre's reader pulls from that one.  A
 * reader without answers pulls from a peer of another data centre, which it
 * keeps as long as that one has something newer; a host without any state
 * pulls from all peers in turn.
 *
 * Pure: time is given, nothing is sent.  Times are on the boot clock.  One
 * thread.
 */
#ifndef CONFIG_RELAY_H
#define CONFIG_RELAY_H

#include <stdbool.h>
#include <stdint.h>

#define RELAY_BEAT_MS 500
/* A reader without beats for this long is silent. */
#define RELAY_SILENT_MS 1500
/* A reader without an answer for this long gets no answers. */
#define RELAY_ANSWER_MS 1500
#define RELAY_PULL_MS 400
/* A peer that gave something newer within this time is pulled from again. */
#define RELAY_GIVER_MS 1000

typedef struct relay_t relay_t;

/* What a beat says. */
typedef struct
{
  bool answered; /* the platform has answered lately */
  bool behind;   /* the receiver lacks what the sender has */
} relay_beat_t;

typedef struct
{
  bool read;             /* this host reads the platform */
  bool beat;             /* send a beat to all hosts of this data centre now */
  bool answered;         /* what that beat says */
  const char *pull_from; /* pull from this host now; NULL for none; valid during the call only */
} relay_actions_t;

relay_t *relay_new (const char *host, const char *data_centre, int64_t now_ms);
void relay_free (relay_t *relay);

/* A peer was met or lost. */
void relay_peer_up (relay_t *relay, const char *host, const char *data_centre, int64_t now_ms);
void relay_peer_down (relay_t *relay, const char *host);

/* A beat has come from a host of this data centre. */
void relay_heard (relay_t *relay, const char *host, const relay_beat_t *beat, int64_t now_ms);

/* The platform has answered this host: both the log and the list. */
void relay_answered (relay_t *relay, int64_t now_ms);

/* HOST has sent something newer than what this host had. */
void relay_gave (relay_t *relay, const char *host, int64_t now_ms);

/* What to do now.  STATELESS says that this host has no state yet, or lacks
 * records that only a peer can replace. */
void relay_step (relay_t *relay, bool stateless, int64_t now_ms, relay_actions_t *actions);

/* The host of this data centre that relays to this one: the first one heard
 * lately; NULL if there is none, or it is this host itself. */
const char *relay_source (const relay_t *relay, int64_t now_ms);

#endif
