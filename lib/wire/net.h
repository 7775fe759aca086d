/* net.h -- connections between entry hosts: TCP, frames both ways, reconnects
 *
 * Every host dials every address that it knows and sends on the connection
 * that it dialed; it receives on the connections that it accepted.  The first
 * frame each way is a HELLO with host id, data centre, incarnation and peer
 * address, so that a reused address is noticed.  One thread does all reading
 * and reconnecting; sending is done on the caller's thread if the socket takes
 * the bytes at once, else by that thread.
 *
 * A frame that was queued can be lost when its connection breaks, and is never
 * delivered twice.
 */
#ifndef WIRE_NET_H
#define WIRE_NET_H

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

/* Called on the thread of the net; must not block. */
typedef struct
{
  /* FRAME without its length prefix; the callee takes a reference to keep it. */
  void (*on_frame) (const char *host, GBytes *bytes, void *data);
  void (*on_peer_up) (const net_peer_t *peer, void *data);
  void (*on_peer_down) (const char *host, void *data);
} net_ops_t;

typedef struct
{
  const char *listen_address; /* IP:port */
  net_peer_t self;
  const net_ops_t *ops;
  void *data;
} net_options_t;

/* Listens and starts the thread.  Returns 0 and *NET, or ERROR_IO. */
int net_start (const net_options_t *options, net_t **net);

/* Keeps a connection to ADDRESS from now on.  DATA_CENTRE may be NULL if it is
 * not known.  An address that is not PERMANENT is forgotten when nothing has
 * answered there for NET_ADDRESS_RETENTION_MS, so that replaced hosts leave nothing
 * behind.  Any thread. */
#define NET_ADDRESS_RETENTION_MS 600000
void net_add_address (net_t *net, const char *address, const char *data_centre, bool permanent);

/* Sends FRAME (taken over, with its length prefix) to HOST.  Returns 0,
 * ERROR_NOT_CONNECTED, or ERROR_FULL if too much is queued.  Any thread. */
int net_send (net_t *net, const char *host, GBytes *frame);

/* Closes the connection to HOST, if there is one, and dials it again: it may have gone silent
 * without an end.  What was queued is lost.  Any thread. */
void net_reconnect (net_t *net, const char *host);

/* Test switch: drops what comes from (IN) and goes to (OUT) the hosts of
 * DATA_CENTRE.  Any thread. */
void net_set_partition (net_t *net, const char *data_centre, bool in, bool out);

/* Ends the thread and closes everything. */
void net_stop (net_t *net);

/* Frames and bytes sent and received, from the start.  Any thread. */
typedef struct
{
  int64_t sent_frames;
  int64_t sent_bytes;
  int64_t received_frames;
  int64_t received_bytes;
} net_totals_t;
void net_totals (net_t *net, net_totals_t *totals);

#endif
