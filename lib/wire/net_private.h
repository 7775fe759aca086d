/* net_private.h -- what net.c and the other net_*.c files share
 *
 * net.c runs the I/O thread over the links of a net_t.  net_link.c holds one link and what waits
 * to be sent on it, net_connect.c opens and accepts links up to the HELLO, and net_receive.c reads
 * them.  Functions that say "under the lock" need net_t.lock.  Those that say "I/O thread" are
 * called on it alone, without the lock unless they say so.
 */
#ifndef WIRE_NET_PRIVATE_H
#define WIRE_NET_PRIVATE_H

#include "wire/frame.h"
#include "wire/inbox.h"
#include "wire/net.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* Back-off of reconnects: the delay doubles from the minimum to the maximum, and
 * a random time of up to the same length is added. */
#define RECONNECT_DELAY_MIN_MS 50
#define RECONNECT_DELAY_MAX_MS 400
/* Time-out, from its first byte, of a frame that is not complete. */
#define FRAME_TIMEOUT_MS 60000

typedef enum
{
  LINK_IDLE, /* outgoing links only: waiting for the next attempt */
  LINK_CONNECTING,
  LINK_OPEN
} link_state_t;

typedef struct
{
  int fd;
  bool outgoing;
  bool permanent;
  bool is_self;  /* the address is this host's own */
  bool was_open; /* a HELLO has come from ADDRESS */
  bool failed;   /* to be closed by the I/O thread, which alone uses this field */
  link_state_t state;
  char *address;     /* outgoing links only: address of the peer */
  char *data_centre; /* from its HELLO, else as given by the caller; may be NULL */
  char *host;        /* id from its HELLO, NULL before it */
  GQueue send_queue; /* of GBytes */
  gsize send_offset; /* bytes of the first frame that have been sent */
  gsize queued_bytes;
  bool send_failed;            /* takes no more frames until it has been closed */
  GByteArray *receive_buffer;  /* begins with a frame that is not complete, or is empty */
  int64_t frame_timeout_at_ms; /* of that frame; 0 if there is none */
  inbox_t *inbox;
  bool paused; /* not read, as the inbox is full; under the lock */
  int64_t reconnect_at_ms;
  int64_t reconnect_delay_ms;
  int64_t connect_started_ms;
  int64_t timeout_at_ms;
  int64_t expires_at_ms; /* when an address that is not permanent is removed */
  int64_t
      last_received_ms; /* accepted links only: last arrival of bytes, first of all the accept */
} link_t;

struct net_t
{
  net_peer_t self;
  const net_ops_t *ops;
  void *data;
  int listen_fd;
  int epoll_fd;
  int wake_fd;
  int64_t accept_resumes_at_ms; /* 0 while connections are accepted */
  int64_t accept_log_due_ms;
  inbox_t *inbox;         /* of all links together */
  gsize unfinished_bytes; /* in the receive buffers; I/O thread only, or before it runs */
  gsize queued_bytes;     /* in the send queues */
  int32_t unnamed_max;    /* connections that were accepted and have not said their name */
  gsize buffer_max_bytes; /* limit on each of these two sums, and on the frames in the inboxes */
  GThread *thread;
  atomic_bool stopping;
  pthread_mutex_t lock;
  GPtrArray *links;
  GHashTable *links_by_host; /* host id -> outgoing link whose HELLO was received */
  GHashTable *names;         /* of the hosts and data centres in HELLOs so far; I/O thread only */
  GHashTable *blocked_in;    /* names of data centres; see net_set_partition () */
  GHashTable *blocked_out;
  net_totals_t totals;
};

/* --- net_link.c --- */

/* Counts a connection that is closed for CAUSE.  Any thread. */
void net_count_closed (const char *cause);

/* Counts that a link is to be closed for CAUSE.  Returns false.  Any thread. */
bool net_refuse_link (const char *cause);

/* Applies OPERATION of epoll_ctl () to the socket of LINK, with EVENTS. */
void net_link_set_events (net_t *net, link_t *link, int operation, uint32_t events);

/* Adds a link without a socket to the links of NET, which own it.  Under the lock. */
link_t *net_link_new (net_t *net, bool outgoing);

/* The GDestroyNotify of net_t.links; DATA is a link_t. */
void net_link_free (void *data);

/* Drops what has been received of an incomplete frame, with the memory.  I/O thread. */
void net_link_drop_unfinished (net_t *net, link_t *link);

/* Closes the socket of LINK.  Schedules the next attempt of an outgoing link, and
 * frees any other link.  If an outgoing link to a host was open, returns the host
 * id, which the caller frees; else NULL.  Under the lock, on the I/O thread. */
char *net_link_close (net_t *net, link_t *link, int64_t now_ms);

/* Drops what LINK holds and shuts its socket down, for which epoll then reports an event; LINK is
 * closed when that is handled.  Under the lock, on the I/O thread. */
void net_link_abort (net_t *net, link_t *link);

/* Waits for what LINK needs next: to read, and to write.  Under the lock. */
void net_link_watch (net_t *net, link_t *link);

/* Sends queued frames until the socket accepts no more.  Returns false if the
 * connection has failed.  Under the lock. */
bool net_link_flush (net_t *net, link_t *link);

/* Sends or queues FRAME and always takes ownership of it.  Returns 0 or ERROR_FULL, as net_send ()
 * does.  Under the lock. */
int net_link_queue (net_t *net, link_t *link, GBytes *frame);

/* --- net_connect.c --- */

/* Begins to connect LINK, which is outgoing and idle.  Under the lock, on the I/O thread. */
void net_connect (net_t *net, link_t *link, int64_t now_ms);

/* Ends the attempt to connect LINK and sends the HELLO.  Returns false if LINK must be closed.
 * Under the lock, on the I/O thread. */
bool net_finish_connect (net_t *net, link_t *link);

/* Accepts the connections that wait, up to a limit.  I/O thread. */
void net_accept_links (net_t *net);

/* Accepts again once the pause after a failure is over.  I/O thread. */
void net_resume_accepting (net_t *net);

/* Processes the HELLO of a peer, of which READER has read the type.  Returns false if LINK must be
 * closed.  I/O thread. */
bool net_handle_hello (net_t *net, link_t *link, frame_reader_t *reader);

/* Ends the wait of the I/O thread for events.  Any thread. */
void net_wake_thread (net_t *net);

/* --- net_receive.c --- */

/* Reads from LINK what has arrived, up to a limit.  What came before the end of a connection that
 * has ENDED is read in any case.  Returns false if LINK must be closed.  I/O thread. */
bool net_receive_frames (net_t *net, link_t *link, bool ended);

/* Stops or goes on reading LINK.  Under the lock, on the I/O thread. */
void net_set_paused (net_t *net, link_t *link, bool paused);

/* Returns true if too much waits to be handled of what came from LINK, or from all links.  I/O
 * thread. */
bool net_is_inbox_full (const net_t *net, const link_t *link);

#endif
