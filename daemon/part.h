/* part.h -- interface between the daemon and its parts
 *
 * The daemon consists of parts (view, claim, config, quota, dispatch, job,
 * burn).  A part connects one decision library to the network, the clock and the
 * other parts.  Unless a comment says otherwise, its functions run on the control
 * thread, so that parts can call each other directly and without locks.  Nothing
 * on the control thread may block: blocking work runs on a traffic thread, which
 * returns its result with daemon_post ().
 *
 * Unless said otherwise, times are in milliseconds on the boot clock, which also
 * counts while the host is suspended.
 */
#ifndef DAEMON_PART_H
#define DAEMON_PART_H

#include "wire/frame.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct daemon_t daemon_t;
typedef struct part_t part_t;

/* Interval of the ticks. */
#define DAEMON_TICK_MS 50

/* The functions of a part.  Any of them may be NULL.  The ranges of frame types
 * of two parts must not overlap. */
typedef struct
{
  const char *name;
  int frame_first; /* range of the frame types that this part handles */
  int frame_last;
  /* Handles a frame from the host with the id FROM, which is known from its HELLO. */
  void (*frame) (part_t *part, const char *from, frame_reader_t *reader, int64_t now_ms);
  /* Runs every DAEMON_TICK_MS.  The first tick after a freeze of the process is late, which
   * a part can detect by comparing NOW_MS with that of the previous tick. */
  void (*tick) (part_t *part, int64_t now_ms);
  /* A peer has connected and exchanged HELLO, or its connection was lost. */
  void (*peer_up) (part_t *part, const char *host, int64_t now_ms);
  void (*peer_down) (part_t *part, const char *host, int64_t now_ms);
  /* Starts to drain: a graceful stop has begun. */
  void (*drain) (part_t *part, int64_t now_ms);
  /* Returns true if the part has nothing left to do before the process exits. */
  bool (*drained) (part_t *part, int64_t now_ms);
  /* Adds the part's section to GET /v1/status. */
  void (*status) (part_t *part, json_object *status);
} part_ops_t;

/* Must be the first member of the struct of every part. */
struct part_t
{
  const part_ops_t *ops;
  daemon_t *daemon;
};

/* Adds PART.  Must be called before the daemon runs.  Does nothing if PART has
 * been added before.  The daemon does not take ownership. */
void daemon_add_part (daemon_t *daemon, part_t *part);

/* The id and data centre of this host, from the settings.  The strings stay valid
 * as long as the process runs. */
const char *daemon_host_id (const daemon_t *daemon);
const char *daemon_data_centre (const daemon_t *daemon);
/* A random number for each process start.  It distinguishes a host from its
 * predecessor at the same address. */
uint64_t daemon_incarnation (const daemon_t *daemon);
/* IP:port of this host's peer listener. */
const char *daemon_peer_address (const daemon_t *daemon);

/* A peer as described in its HELLO.  The daemon owns the strings. */
typedef struct
{
  const char *host;
  const char *data_centre;
  const char *address;
  uint64_t incarnation;
  bool connected;
  int64_t last_received_at_ms; /* any frame, or the connection itself */
} daemon_peer_t;

/* Finds a peer by host id.  Returns false if the peer is unknown. */
bool daemon_find_peer (daemon_t *daemon, const char *host, daemon_peer_t *peer);

/* Calls EACH for every known peer, connected or not.  This host is not a peer. */
void daemon_foreach_peer (daemon_t *daemon,
                          void (*each) (const daemon_peer_t *peer, void *data),
                          void *data);

/* Makes the daemon keep a connection to ADDRESS, that of a host in the host list
 * or in a view.  Does nothing if ADDRESS is known. */
void daemon_add_address (daemon_t *daemon, const char *address, const char *data_centre);

/* Queues FRAME for HOST and takes ownership of it.  Never blocks.  Returns 0 if
 * the frame was queued, which does not guarantee delivery.  Otherwise the frame is
 * dropped and the result is ERROR_NOT_CONNECTED, or ERROR_FULL if the queue of the
 * host is full.  A frame to this host itself is delivered to its part in the next
 * turn of the event loop. */
int daemon_send (daemon_t *daemon, const char *host, GBytes *frame);

/* Queues a call of FUNCTION (DATA) on the control thread.  Any thread. */
void daemon_post (daemon_t *daemon, void (*function) (void *data), void *data);

/* The boot clock, read once in each turn of the event loop. */
int64_t daemon_now_ms (const daemon_t *daemon);

/* True once a graceful stop has begun.  Any thread. */
bool daemon_is_draining (const daemon_t *daemon);

/* The validated settings; see settings/settings.h. */
const struct settings_t *daemon_settings (const daemon_t *daemon);

#endif
