/* part.h -- what the daemon's parts share: the control thread and its services
 *
 * The daemon is a set of parts (view, claim, config, share, dispatch, job,
 * burn).  A part wires one decision library to the outside.  All its functions
 * run on the control thread, unless a comment says otherwise, so that parts
 * need no locks between each other and may call each other's headers directly.
 * Nothing on the control thread may block: blocking work goes to a traffic
 * thread, which brings its result back by daemon_post ().
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

/* How often each part's tick runs. */
#define DAEMON_TICK_MS 50

/* A member of the frame range of a part belongs to that part alone.  Any
 * function may be NULL. */
typedef struct
{
  const char *name;
  int frame_first; /* the frame types that go to this part */
  int frame_last;
  /* A frame from host FROM (its host id, known from its HELLO). */
  void (*frame) (part_t *part, const char *from, frame_reader_t *reader, int64_t now_ms);
  /* Every DAEMON_TICK_MS.  After a freeze the first tick comes late: compare
   * NOW_MS (boot clock) with the previous one. */
  void (*tick) (part_t *part, int64_t now_ms);
  /* A peer was met (HELLO exchanged) or its connection was lost. */
  void (*peer_up) (part_t *part, const char *host, int64_t now_ms);
  void (*peer_down) (part_t *part, const char *host, int64_t now_ms);
  /* SIGTERM has come: begin to leave. */
  void (*drain) (part_t *part, int64_t now_ms);
  /* True once the part has nothing more to do before the process may exit. */
  bool (*drained) (part_t *part, int64_t now_ms);
  /* Adds the part's section to GET /v1/status. */
  void (*status) (part_t *part, json_object *status);
} part_ops_t;

/* First member of every part's own struct. */
struct part_t
{
  const part_ops_t *ops;
  daemon_t *daemon;
};

/* Adds PART, before the daemon runs; a part that was added is a no-op.  The
 * daemon does not own it. */
void daemon_add_part (daemon_t *daemon, part_t *part);

/* This host, from the settings; constant strings for the process's life. */
const char *daemon_host_id (const daemon_t *daemon);
const char *daemon_data_centre (const daemon_t *daemon);
/* Random, new for every process start: tells a host from its predecessor at
 * the same address. */
uint64_t daemon_incarnation (const daemon_t *daemon);
/* IP:port of this host's peer listener. */
const char *daemon_peer_address (const daemon_t *daemon);

/* A peer as known from its HELLO.  Strings belong to the daemon. */
typedef struct
{
  const char *host;
  const char *data_centre;
  const char *address;
  uint64_t incarnation;
  bool connected;
  int64_t last_received_at_ms; /* boot clock: any traffic counts */
} daemon_peer_t;

/* Finds a peer by host id.  Returns false if it was never met. */
bool daemon_find_peer (daemon_t *daemon, const char *host, daemon_peer_t *peer);

/* Calls EACH for every peer that was met, this host not included. */
void daemon_foreach_peer (daemon_t *daemon,
                          void (*each) (const daemon_peer_t *peer, void *data),
                          void *data);

/* Makes the daemon keep a connection to ADDRESS (a host found in the host list
 * or in a view).  Known addresses are no-ops. */
void daemon_add_address (daemon_t *daemon, const char *address, const char *data_centre);

/* Sends FRAME (taken over) to HOST.  Never blocks.  Returns
 * ERROR_NOT_CONNECTED if the host is not connected, ERROR_FULL if its queue is
 * full; the frame is dropped then.  0 means queued: it can still be lost.
 * A frame to this host itself is delivered to its part on the next turn of the
 * loop. */
int daemon_send (daemon_t *daemon, const char *host, GBytes *frame);

/* Runs FUNCTION (DATA) on the control thread.  From any thread. */
void daemon_post (daemon_t *daemon, void (*function) (void *data), void *data);

/* Boot clock of this turn of the loop. */
int64_t daemon_now_ms (const daemon_t *daemon);

/* True from SIGTERM on. */
bool daemon_is_draining (const daemon_t *daemon);

/* The settings, checked; see settings/settings.h. */
const struct settings_t *daemon_settings (const daemon_t *daemon);

#endif
