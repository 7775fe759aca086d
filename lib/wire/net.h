/* net.h -- TCP connections between entry hosts, over which they exchange frames
 *
 * Every host connects to every address that it knows.  It sends frames on the
 * connections that it opened and receives frames on those that it accepted.  The
 * first frame in each direction is a HELLO with the host id, data centre,
 * incarnation and address of the sender, so that a host can detect that an
 * address is now used by another host.  One thread reads and reconnects.  A
 * frame is sent on the caller's thread if the socket accepts it without
 * blocking; otherwise it is queued and sent by that thread.
 *
 * A queued frame may be lost when its connection fails, but no frame is
 * delivered twice.
 */
#ifndef WIRE_NET_H
#define WIRE_NET_H

#include "wire/frame.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct net_t net_t;

typedef struct
{
  char *host;
  char *data_centre;
  char *address;
  uint64_t incarnation;
} net_peer_t;

/* Callbacks.  They are called on the thread of the net_t and must not block. */
typedef struct
{
  /* Receives a frame from HOST, in BYTES without its length prefix.  To keep BYTES, the
   * callee must take a reference. */
  void (*on_frame) (const char *host, GBytes *bytes, void *data);
  /* A connection to PEER is open, so that net_send () can send to it. */
  void (*on_peer_up) (const net_peer_t *peer, void *data);
  /* The connection to HOST has been closed. */
  void (*on_peer_down) (const char *host, void *data);
} net_ops_t;

/* Default of buffer_max_bytes: the largest frame, with its length. */
#define NET_BUFFER_MAX_BYTES (FRAME_MAX_BYTES + FRAME_LENGTH_BYTES + 65536)

typedef struct
{
  const char *listen_address; /* IP:port */
  net_peer_t self;
  const net_ops_t *ops;
  void *data; /* passed to the callbacks */
  /* Limit on the bytes of frames that have arrived incompletely, on all connections together, on
   * those of frames that have not been handled, and on those of frames that wait to be sent.  A
   * larger frame cannot be exchanged.  Beyond it no connection is read until frames have been
   * handled; of the two others the connection with the most is closed.  0 for NET_BUFFER_MAX_BYTES.
   * The memory may be four times that. */
  gsize buffer_max_bytes;
  /* Most connections that were accepted and have not said their name; 0 for the default, which is
   * the most. */
  int32_t unnamed_max;
} net_options_t;

/* Starts to listen and starts the thread.  OPTIONS is copied, except for ops,
 * which must remain valid.  Returns 0 and *NET, or ERROR_IO. */
int net_start (const net_options_t *options, net_t **net);

/* Opens a connection to ADDRESS and reopens it whenever it is closed.
 * DATA_CENTRE may be NULL if it is not known.  An address that is not PERMANENT
 * is removed after NET_ADDRESS_RETENTION_MS without a connection, so that the
 * addresses of replaced hosts do not accumulate.  If ADDRESS is already known,
 * a pending reconnect is attempted at once.  Any thread. */
#define NET_ADDRESS_RETENTION_MS 600000
/* Limit on addresses, as each peer tells one.  One more replaces the one that is least likely to be
 * needed; if all are connected it is dropped.  Permanent ones are always added. */
#define NET_ADDRESSES_MAX 4096
void net_add_address (net_t *net, const char *address, const char *data_centre, bool permanent);

/* Returns the number of addresses.  Any thread. */
int net_address_count (net_t *net);

/* Sends FRAME, which includes its length prefix, to HOST.  Always takes ownership
 * of FRAME.  Returns 0 if it was sent or queued, ERROR_NOT_CONNECTED, or
 * ERROR_FULL if too many bytes are queued: the connection for which most waits is then closed,
 * which need not be the one to HOST.  Any thread. */
int net_send (net_t *net, const char *host, GBytes *frame);

/* Closes the connection to HOST, if there is one, and connects again.  Used when a
 * connection appears to be dead although it was not closed.  Queued frames are
 * lost.  Any thread. */
void net_reconnect (net_t *net, const char *host);

/* Simulates a network partition, for tests: drops all frames from the hosts of
 * DATA_CENTRE if IN is true, and all frames to them if OUT is true.  Any
 * thread. */
void net_set_partition (net_t *net, const char *data_centre, bool in, bool out);

/* Returns how many bytes of frames wait in connections or have not been acknowledged.  One system
 * call for each connection; any thread. */
int64_t net_unsent_bytes (net_t *net);

/* Stops the thread, closes all connections and frees NET, which may be NULL. */
void net_stop (net_t *net);

/* Traffic since net_start (), including length prefixes. */
typedef struct
{
  int64_t sent_frames;
  int64_t sent_bytes;
  int64_t received_frames;
  int64_t received_bytes;
} net_totals_t;

/* Stores the traffic of all connections in *TOTALS.  Any thread. */
void net_totals (net_t *net, net_totals_t *totals);

#endif
