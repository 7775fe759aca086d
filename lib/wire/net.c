/* net.c -- TCP connections between entry hosts, over which they exchange frames
 *
 * A link is a connection, or an address to which this host connects.  All links
 * are in one list, protected by one lock.  An outgoing link can be looked up by
 * host id once the HELLO of the peer has been received.  net_send () writes to
 * the socket directly if nothing is queued, which avoids a thread switch in the
 * common case.  Bytes that the socket does not accept remain queued and are sent
 * when epoll reports the socket as writable.
 *
 * Invariant: frames are sent completely and in order, because the queue is not
 * empty as long as a part of a frame remains to be sent.
 */
#include "wire/net.h"

#include "base/address.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/log.h"
#include "base/unacked.h"
#include "wire/frame.h"
#include "wire/inbox.h"
#include "wire/socket.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define PART "net"
#define HELLO_VERSION 1
/* Back-off of reconnects: the delay doubles from the minimum to the maximum, and
 * a random time of up to the same length is added. */
#define RECONNECT_DELAY_MIN_MS 50
#define RECONNECT_DELAY_MAX_MS 400
/* Time-out of a connection attempt, and of waiting for the HELLO of the peer. */
#define HANDSHAKE_TIMEOUT_MS 600
/* Time-out, from its start, of a connection attempt that was in progress when its
 * host was reported as running.  The host may have started after the attempt, which then cannot
 * succeed soon. */
#define STALE_CONNECT_TIMEOUT_MS 50
/* Links are checked for time-outs and due connection attempts at least this often. */
#define POLL_INTERVAL_MS 50
#define EPOLL_EVENTS_MAX 64
#define READ_CHUNK_BYTES 65536
/* A link is read for at most this many chunks before the other links have their turn. */
#define READ_CHUNKS_MAX 16
/* Maximum size of a HELLO, with room for fields that later versions append.  Until it has come,
 * nothing larger is kept for a link. */
#define HELLO_MAX_BYTES 4096
/* Accepted links without a HELLO.  One more closes the oldest of them. */
#define UNNAMED_LINKS_MAX 256
/* Accepted links with a HELLO.  One more closes the one from which nothing has come for longest. */
#define NAMED_LINKS_MAX 4096
/* Connections are accepted in rounds no larger than the rounds of events, so that a HELLO that has
 * arrived is read before more connections are accepted. */
#define ACCEPTS_PER_ROUND 32
/* A link is not read while more than this of what came from it has not been handled. */
#define UNHANDLED_MAX_BYTES (8 * 1024 * 1024)
/* Time-out, from its first byte, of a frame that is not complete. */
#define FRAME_TIMEOUT_MS 60000
/* Names of hosts and data centres that may come in HELLOs while this process runs.  The callbacks'
 * owner may keep a name for good. */
#define NAMES_MAX 16384
/* Pause after a failure to accept, as for want of descriptors. */
#define ACCEPT_PAUSE_MS 100
/* Failures to accept are logged no more often than this. */
#define ACCEPT_LOG_INTERVAL_MS 10000

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

static void
set_epoll_events (net_t *net, link_t *link, int operation, uint32_t events)
{
  struct epoll_event event = { .events = events, .data.ptr = link };

  epoll_ctl (net->epoll_fd, operation, link->fd, &event);
}

static void
count_closed (const char *cause)
{
  char labels[64];

  g_snprintf (labels, sizeof labels, "cause=\"%s\"", cause);
  counter_add (counter_get ("jaytrail_peer_connections_closed_total", labels), 1);
}

/* Counts that a link is to be closed for CAUSE.  Returns false. */
static bool
refuse_link (const char *cause)
{
  count_closed (cause);
  return false;
}

/* --- links --- */

static link_t *
link_new (net_t *net, bool outgoing)
{
  link_t *link = g_new0 (link_t, 1);

  link->fd = -1;
  link->outgoing = outgoing;
  g_queue_init (&link->send_queue);
  link->receive_buffer = g_byte_array_new ();
  link->inbox = inbox_new (net->inbox);
  link->reconnect_delay_ms = RECONNECT_DELAY_MIN_MS;
  g_ptr_array_add (net->links, link);
  return link;
}

static void
link_free (void *data)
{
  link_t *link = data;

  if (link->fd >= 0)
    close (link->fd);
  g_queue_clear_full (&link->send_queue, (GDestroyNotify) g_bytes_unref);
  g_byte_array_unref (link->receive_buffer);
  inbox_free (link->inbox);
  g_free (link->address);
  g_free (link->data_centre);
  g_free (link->host);
  g_free (link);
}

/* Drops what has been received of an incomplete frame, with the memory. */
static void
drop_unfinished (net_t *net, link_t *link)
{
  net->unfinished_bytes -= link->receive_buffer->len;
  link->frame_timeout_at_ms = 0;
  if (link->receive_buffer->len == 0)
    return;
  g_byte_array_unref (link->receive_buffer);
  link->receive_buffer = g_byte_array_new ();
}

/* Drops the frames that wait for LINK. */
static void
drop_queued (net_t *net, link_t *link)
{
  g_queue_clear_full (&link->send_queue, (GDestroyNotify) g_bytes_unref);
  link->send_offset = 0;
  net->queued_bytes -= link->queued_bytes;
  link->queued_bytes = 0;
}

/* Closes the socket of LINK.  Schedules the next attempt of an outgoing link, and
 * frees any other link.  If an outgoing link to a host was open, returns the host
 * id, which the caller frees; else NULL. */
static char *
link_close (net_t *net, link_t *link, int64_t now_ms)
{
  char *closed_host = NULL;

  if (link->fd >= 0)
    close (link->fd);
  link->fd = -1;
  drop_queued (net, link);
  link->send_failed = false;
  link->paused = false;
  drop_unfinished (net, link);
  if (link->outgoing && link->host != NULL
      && g_hash_table_lookup (net->links_by_host, link->host) == link)
    {
      g_hash_table_remove (net->links_by_host, link->host);
      closed_host = g_steal_pointer (&link->host);
    }
  g_clear_pointer (&link->host, g_free);
  if (link->state == LINK_OPEN)
    link->expires_at_ms = now_ms + NET_ADDRESS_RETENTION_MS;
  link->state = LINK_IDLE;
  link->reconnect_at_ms = now_ms + link->reconnect_delay_ms
                          + g_random_int_range (0, (gint32) link->reconnect_delay_ms + 1);
  link->reconnect_delay_ms =
      CLAMP (link->reconnect_delay_ms * 2, RECONNECT_DELAY_MIN_MS, RECONNECT_DELAY_MAX_MS);
  if (!link->outgoing)
    g_ptr_array_remove_fast (net->links, link);
  return closed_host;
}

/* Waits for what LINK needs next: to read, and to write. */
static void
watch_link (net_t *net, link_t *link)
{
  uint32_t read_events = link->paused ? 0 : EPOLLIN;
  uint32_t write_events = g_queue_is_empty (&link->send_queue) ? 0 : EPOLLOUT;

  set_epoll_events (net, link, EPOLL_CTL_MOD, read_events | write_events);
}

/* Sends queued frames until the socket accepts no more.  Returns false if the
 * connection has failed. */
static bool
link_flush (net_t *net, link_t *link)
{
  while (!g_queue_is_empty (&link->send_queue))
    {
      GBytes *frame = g_queue_peek_head (&link->send_queue);
      gsize size = 0;
      const char *data = g_bytes_get_data (frame, &size);
      ssize_t sent =
          send (link->fd, data + link->send_offset, size - link->send_offset, MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EINTR))
        break;
      if (sent < 0)
        return false;
      link->send_offset += (gsize) sent;
      link->queued_bytes -= (gsize) sent;
      net->queued_bytes -= (gsize) sent;
      net->totals.sent_bytes += sent;
      if (link->send_offset < size)
        continue;
      g_bytes_unref (g_queue_pop_head (&link->send_queue));
      link->send_offset = 0;
      net->totals.sent_frames++;
    }
  watch_link (net, link);
  return true;
}

/* Closes the link for which most waits to be sent.  Its peer does not read, or cannot keep up;
 * after the next connection both sides exchange again what may have been lost.  Any thread: the
 * socket is only shut down, and the I/O thread closes the link. */
static void
close_longest_queue (net_t *net)
{
  link_t *longest = net->links->pdata[0];

  for (guint i = 1; i < net->links->len; i++)
    {
      link_t *link = net->links->pdata[i];
      if (link->queued_bytes > longest->queued_bytes)
        longest = link;
    }
  if (longest->queued_bytes == 0)
    return;
  longest->send_failed = true;
  drop_queued (net, longest);
  shutdown (longest->fd, SHUT_RDWR);
  count_closed ("unsent_frames");
}

static int
link_queue (net_t *net, link_t *link, GBytes *frame)
{
  gsize size = g_bytes_get_size (frame);
  bool was_empty = g_queue_is_empty (&link->send_queue);

  if (net->queued_bytes + size > net->buffer_max_bytes)
    close_longest_queue (net);
  if (net->queued_bytes + size > net->buffer_max_bytes || link->send_failed)
    {
      g_bytes_unref (frame);
      return ERROR_FULL;
    }
  g_queue_push_tail (&link->send_queue, frame);
  link->queued_bytes += size;
  net->queued_bytes += size;
  /* A failed connection is closed by the I/O thread, which detects it as well. */
  if (was_empty)
    link_flush (net, link);
  return 0;
}

static GBytes *
make_hello (const net_t *net)
{
  frame_writer_t *writer = frame_begin (FRAME_HELLO);

  frame_put_int (writer, HELLO_VERSION);
  frame_put_string (writer, net->self.host);
  frame_put_string (writer, net->self.data_centre);
  frame_put_uint (writer, net->self.incarnation);
  frame_put_string (writer, net->self.address);
  return frame_finish (writer);
}

/* --- connecting and accepting --- */

static void
link_connect (net_t *net, link_t *link, int64_t now_ms)
{
  struct sockaddr_storage storage;
  socklen_t size = socket_parse_address (link->address, &storage);

  link->fd = socket (storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (link->fd < 0)
    {
      link->reconnect_at_ms = now_ms + RECONNECT_DELAY_MAX_MS;
      return;
    }
  socket_set_options (link->fd);
  if (connect (link->fd, (struct sockaddr *) &storage, size) != 0 && errno != EINPROGRESS)
    {
      g_free (link_close (net, link, now_ms));
      return;
    }
  link->state = LINK_CONNECTING;
  link->connect_started_ms = now_ms;
  link->timeout_at_ms = now_ms + HANDSHAKE_TIMEOUT_MS;
  set_epoll_events (net, link, EPOLL_CTL_ADD, EPOLLOUT);
}

static bool
finish_connect (net_t *net, link_t *link)
{
  int error = 0;
  socklen_t size = sizeof error;

  if (getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    return false;
  link->state = LINK_OPEN;
  link->timeout_at_ms = clock_boot_ms () + HANDSHAKE_TIMEOUT_MS;
  return link_queue (net, link, make_hello (net)) == 0;
}

/* Drops what LINK holds and shuts its socket down, for which epoll then reports an event; LINK is
 * closed when that is handled.  Under the lock, on the I/O thread. */
static void
link_abort (net_t *net, link_t *link)
{
  link->failed = true;
  drop_unfinished (net, link);
  shutdown (link->fd, SHUT_RDWR);
}

/* Closes the accepted link that has been silent for longest, of those with a HELLO if NAMED, else
 * of those without, if there are more than MAX of them.  Under the lock. */
static void
limit_accepted_links (net_t *net, bool named, guint max)
{
  guint count = 0;
  link_t *silent = NULL;

  for (guint i = 0; i < net->links->len; i++)
    {
      link_t *link = net->links->pdata[i];
      if (link->outgoing || link->failed || (link->host != NULL) != named)
        continue;
      count++;
      if (silent == NULL || link->last_received_ms < silent->last_received_ms)
        silent = link;
    }
  if (count <= max)
    return;
  link_abort (net, silent);
  count_closed (named ? "most_named" : "most_unnamed");
}

static void
accept_link (net_t *net, int fd)
{
  int64_t now_ms = clock_boot_ms ();

  socket_set_options (fd);
  pthread_mutex_lock (&net->lock);
  link_t *link = link_new (net, false);
  link->fd = fd;
  link->state = LINK_OPEN;
  link->timeout_at_ms = now_ms + HANDSHAKE_TIMEOUT_MS;
  link->last_received_ms = now_ms;
  set_epoll_events (net, link, EPOLL_CTL_ADD, EPOLLIN);
  limit_accepted_links (net, false, net->unnamed_max);
  pthread_mutex_unlock (&net->lock);
}

/* Waits for connections, or ignores them. */
static void
set_accepting (net_t *net, bool accepting)
{
  struct epoll_event event = { .events = accepting ? EPOLLIN : 0, .data.ptr = NULL };

  epoll_ctl (net->epoll_fd, EPOLL_CTL_MOD, net->listen_fd, &event);
}

/* Pauses accepting after it has failed with ERROR_NUMBER.  The connections remain in the queue of
 * the listener, which would otherwise be reported at once again. */
static void
pause_accepting (net_t *net, int error_number)
{
  int64_t now_ms = clock_boot_ms ();

  set_accepting (net, false);
  net->accept_resumes_at_ms = now_ms + ACCEPT_PAUSE_MS;
  counter_add (counter_get ("jaytrail_peer_accept_failures_total", NULL), 1);
  if (now_ms < net->accept_log_due_ms)
    return;
  net->accept_log_due_ms = now_ms + ACCEPT_LOG_INTERVAL_MS;
  log_warning (PART, "Cannot accept connections of hosts.", "error", g_strerror (error_number),
               NULL);
}

static void
resume_accepting (net_t *net)
{
  if (net->accept_resumes_at_ms == 0 || clock_boot_ms () < net->accept_resumes_at_ms)
    return;
  net->accept_resumes_at_ms = 0;
  set_accepting (net, true);
}

/* Returns true if ERROR_NUMBER, of accept4 (), says that no connection waits or that one has gone
 * meanwhile. */
static bool
is_accept_transient (int error_number)
{
  return error_number == EAGAIN || error_number == EINTR || error_number == ECONNABORTED;
}

static void
accept_links (net_t *net)
{
  for (int i = 0; i < ACCEPTS_PER_ROUND; i++)
    {
      int fd = accept4 (net->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0 && !is_accept_transient (errno))
        pause_accepting (net, errno);
      if (fd < 0)
        return;
      accept_link (net, fd);
    }
}

/* --- receiving --- */

/* Returns true if NAME has come before or is one of the first NAMES_MAX. */
static bool
take_name (net_t *net, const char *name)
{
  if (g_hash_table_contains (net->names, name))
    return true;
  if (g_hash_table_size (net->names) >= NAMES_MAX)
    return refuse_link ("most_names");
  g_hash_table_add (net->names, g_strdup (name));
  return true;
}

/* Processes the HELLO of a peer.  Returns false if LINK must be closed. */
static bool
handle_hello (net_t *net, link_t *link, frame_reader_t *reader)
{
  frame_get_int (reader);
  net_peer_t peer = { 0 };
  peer.host = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  peer.data_centre = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  peer.incarnation = frame_get_uint (reader);
  peer.address = frame_get_string (reader, FRAME_NAME_MAX_BYTES);
  bool valid = frame_ok (reader) && peer.host != NULL && peer.data_centre != NULL
               && peer.address != NULL && link->host == NULL;
  /* Whoever listens at a configured address needs no room among the names. */
  if (valid && !link->permanent)
    valid = take_name (net, peer.host) && take_name (net, peer.data_centre);
  bool up = false;
  pthread_mutex_lock (&net->lock);
  if (valid && g_hash_table_contains (net->blocked_in, peer.data_centre))
    valid = false;
  if (valid && strcmp (peer.host, net->self.host) == 0)
    {
      /* The peer is this host itself, or another host with the same id.  In both
       * cases the link is closed. */
      link->is_self = peer.incarnation == net->self.incarnation;
      valid = false;
    }
  if (valid)
    {
      link->host = g_strdup (peer.host);
      g_free (link->data_centre);
      link->data_centre = g_strdup (peer.data_centre);
      link->reconnect_delay_ms = RECONNECT_DELAY_MIN_MS;
    }
  if (valid && link->outgoing)
    {
      link->was_open = true;
      g_hash_table_replace (net->links_by_host, link->host, link);
      up = true;
    }
  if (valid && !link->outgoing)
    {
      link_queue (net, link, make_hello (net));
      limit_accepted_links (net, true, NAMED_LINKS_MAX);
    }
  pthread_mutex_unlock (&net->lock);
  if (up)
    net->ops->on_peer_up (&peer, net->data);
  if (valid && !link->outgoing)
    net_add_address (net, peer.address, peer.data_centre, false);
  g_free (peer.host);
  g_free (peer.data_centre);
  g_free (peer.address);
  return valid;
}

static bool
is_blocked (net_t *net, GHashTable *set, const link_t *link)
{
  pthread_mutex_lock (&net->lock);
  bool blocked = link->data_centre != NULL && g_hash_table_contains (set, link->data_centre);
  pthread_mutex_unlock (&net->lock);
  return blocked;
}

static bool
handle_frame (net_t *net, link_t *link, const guint8 *data, gsize size)
{
  frame_reader_t *reader = NULL;
  bool keep = true;

  if (is_blocked (net, net->blocked_in, link))
    return true;
  if (frame_parse (data, size, &reader) != 0)
    return false;
  if (frame_type (reader) == FRAME_HELLO)
    keep = handle_hello (net, link, reader);
  else if (link->host == NULL)
    keep = false;
  else
    {
      GBytes *frame = inbox_frame (link->inbox, data, size);
      net->ops->on_frame (link->host, frame, net->data);
      g_bytes_unref (frame);
    }
  frame_reader_free (reader);
  return keep;
}

static void
count_received (net_t *net, gsize size)
{
  pthread_mutex_lock (&net->lock);
  net->totals.received_frames++;
  net->totals.received_bytes += (int64_t) size;
  pthread_mutex_unlock (&net->lock);
}

/* Removes the first SIZE bytes of the receive buffer, which have been handled.  A buffer that has
 * become empty gives its memory back. */
static void
drop_handled (net_t *net, link_t *link, gsize size)
{
  if (size > 0 && size == link->receive_buffer->len)
    drop_unfinished (net, link);
  else if (size > 0)
    {
      g_byte_array_remove_range (link->receive_buffer, 0, (guint) size);
      net->unfinished_bytes -= size;
      link->frame_timeout_at_ms = 0;
    }
  if (link->receive_buffer->len > 0 && link->frame_timeout_at_ms == 0)
    link->frame_timeout_at_ms = clock_boot_ms () + FRAME_TIMEOUT_MS;
}

/* Processes all complete frames in the receive buffer.  Returns false if LINK must
 * be closed. */
static bool
handle_received_frames (net_t *net, link_t *link)
{
  gsize offset = 0;

  while (link->receive_buffer->len - offset >= FRAME_LENGTH_BYTES)
    {
      const guint8 *at = link->receive_buffer->data + offset;
      gsize size = (gsize) at[0] << 24 | (gsize) at[1] << 16 | (gsize) at[2] << 8 | at[3];
      if (size > (link->host != NULL ? FRAME_MAX_BYTES : HELLO_MAX_BYTES))
        return refuse_link (link->host != NULL ? "frame_size" : "hello_size");
      if (link->receive_buffer->len - offset - FRAME_LENGTH_BYTES < size)
        break;
      count_received (net, FRAME_LENGTH_BYTES + size);
      /* A HELLO may have closed this link, with its buffer, as one too many. */
      if (!handle_frame (net, link, at + FRAME_LENGTH_BYTES, size) || link->failed)
        return false;
      offset += FRAME_LENGTH_BYTES + size;
    }
  drop_handled (net, link, offset);
  return true;
}

/* Closes the link that has most of an incomplete frame, while all together have too much. */
static void
limit_unfinished_frames (net_t *net)
{
  pthread_mutex_lock (&net->lock);
  while (net->unfinished_bytes > net->buffer_max_bytes)
    {
      link_t *largest = net->links->pdata[0];
      for (guint i = 1; i < net->links->len; i++)
        {
          link_t *link = net->links->pdata[i];
          if (link->receive_buffer->len > largest->receive_buffer->len)
            largest = link;
        }
      link_abort (net, largest);
      count_closed ("unfinished_frames");
    }
  pthread_mutex_unlock (&net->lock);
}

/* Stops or goes on reading LINK. */
static void
set_paused (net_t *net, link_t *link, bool paused)
{
  if (paused && !link->paused)
    counter_add (counter_get ("jaytrail_peer_reads_paused_total", NULL), 1);
  link->paused = paused;
  watch_link (net, link);
}

/* Returns true if too much waits to be handled of what came from LINK, or from all links. */
static bool
is_inbox_full (const net_t *net, const link_t *link)
{
  return inbox_is_full (link->inbox, UNHANDLED_MAX_BYTES)
         || inbox_is_full (net->inbox, net->buffer_max_bytes);
}

/* Returns true if LINK must not be read now. */
static bool
pause_if_full (net_t *net, link_t *link)
{
  if (!is_inbox_full (net, link))
    return false;
  pthread_mutex_lock (&net->lock);
  set_paused (net, link, true);
  pthread_mutex_unlock (&net->lock);
  return true;
}

/* Reads from LINK what has arrived, up to a limit.  What came before the end of a connection that
 * has ENDED is read in any case.  Returns false if LINK must be closed. */
static bool
receive_frames (net_t *net, link_t *link, bool ended)
{
  guint8 chunk[READ_CHUNK_BYTES];

  for (int i = 0; i < READ_CHUNKS_MAX && (ended || !pause_if_full (net, link)); i++)
    {
      ssize_t got = recv (link->fd, chunk, sizeof chunk, 0);
      if (got < 0 && (errno == EAGAIN || errno == EINTR))
        return true;
      if (got <= 0)
        return false;
      link->last_received_ms = clock_boot_ms ();
      g_byte_array_append (link->receive_buffer, chunk, (guint) got);
      net->unfinished_bytes += (gsize) got;
      if (!handle_received_frames (net, link))
        return false;
      limit_unfinished_frames (net);
      if (link->failed)
        return false;
    }
  return true;
}

/* --- I/O thread --- */

static void
disconnect_link (net_t *net, link_t *link)
{
  pthread_mutex_lock (&net->lock);
  char *closed_host = link_close (net, link, clock_boot_ms ());
  pthread_mutex_unlock (&net->lock);
  if (closed_host != NULL)
    net->ops->on_peer_down (closed_host, net->data);
  g_free (closed_host);
}

static void
handle_link_events (net_t *net, link_t *link, uint32_t events)
{
  bool keep = true;

  if (link->state == LINK_IDLE)
    return;
  if (link->failed)
    events = 0;
  if (events & EPOLLOUT)
    {
      pthread_mutex_lock (&net->lock);
      keep = link->state == LINK_CONNECTING ? finish_connect (net, link) : link_flush (net, link);
      pthread_mutex_unlock (&net->lock);
    }
  if (keep && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
    keep = receive_frames (net, link, events & (EPOLLHUP | EPOLLERR));
  if (!keep || link->failed)
    disconnect_link (net, link);
}

static bool
is_connect_due (const link_t *link, int64_t now_ms)
{
  return link->outgoing && !link->is_self && link->state == LINK_IDLE
         && now_ms >= link->reconnect_at_ms;
}

/* Returns true if the connection was not established, or the HELLO not received,
 * before the time-out. */
static bool
has_timed_out (const link_t *link, int64_t now_ms)
{
  bool pending = link->state == LINK_CONNECTING || (link->state == LINK_OPEN && link->host == NULL);

  return pending && now_ms >= link->timeout_at_ms;
}

static bool
is_frame_overdue (const link_t *link, int64_t now_ms)
{
  return link->frame_timeout_at_ms != 0 && now_ms >= link->frame_timeout_at_ms && !link->failed;
}

static bool
is_expired (const link_t *link, int64_t now_ms)
{
  return link->outgoing && !link->permanent && link->state == LINK_IDLE
         && now_ms >= link->expires_at_ms;
}

static void
update_links (net_t *net)
{
  int64_t now_ms = clock_boot_ms ();

  pthread_mutex_lock (&net->lock);
  for (guint i = 0; i < net->links->len; i++)
    {
      link_t *link = net->links->pdata[i];
      if (has_timed_out (link, now_ms))
        {
          bool remains = link->outgoing;
          g_free (link_close (net, link, now_ms));
          if (!remains)
            {
              i--;
              continue;
            }
        }
      /* The time for which this host does not read is not the peer's. */
      if (link->paused && link->frame_timeout_at_ms != 0)
        link->frame_timeout_at_ms = now_ms + FRAME_TIMEOUT_MS;
      if (is_frame_overdue (link, now_ms))
        {
          link_abort (net, link);
          count_closed ("frame_timeout");
        }
      if (link->paused && !is_inbox_full (net, link))
        set_paused (net, link, false);
      if (is_connect_due (link, now_ms))
        link_connect (net, link, now_ms);
      if (is_expired (link, now_ms))
        g_ptr_array_remove_index_fast (net->links, i--);
    }
  pthread_mutex_unlock (&net->lock);
}

static void *
run_io_thread (void *data)
{
  net_t *net = data;
  struct epoll_event events[EPOLL_EVENTS_MAX];
  uint64_t wake_count = 0;

  while (!atomic_load (&net->stopping))
    {
      update_links (net);
      resume_accepting (net);
      int count = epoll_wait (net->epoll_fd, events, EPOLL_EVENTS_MAX, POLL_INTERVAL_MS);
      for (int i = 0; i < count; i++)
        if (events[i].data.ptr == NULL)
          accept_links (net);
        else if (events[i].data.ptr == net)
          (void) !read (net->wake_fd, &wake_count, sizeof wake_count);
        else
          handle_link_events (net, events[i].data.ptr, events[i].events);
    }
  return NULL;
}

/* Expedites the next connection attempt of LINK, whose host may be reachable again because another
 * host has reported its address or because it has sent a HELLO.  An idle link is to be connected
 * immediately; an attempt in progress gets a shorter time-out.  Returns false if LINK is open. */
static bool
link_expedite_connect (link_t *link)
{
  if (link->state == LINK_IDLE)
    link->reconnect_at_ms = 0;
  else if (link->state == LINK_CONNECTING)
    {
      link->timeout_at_ms =
          MIN (link->timeout_at_ms, link->connect_started_ms + STALE_CONNECT_TIMEOUT_MS);
      link->reconnect_delay_ms = 0;
    }
  else
    return false;
  return true;
}

/* --- public --- */

int
net_start (const net_options_t *options, net_t **out)
{
  int listen_fd = socket_listen (options->listen_address);

  if (listen_fd < 0)
    return ERROR_IO;
  net_t *net = g_new0 (net_t, 1);
  net->self.host = g_strdup (options->self.host);
  net->self.data_centre = g_strdup (options->self.data_centre);
  net->self.address = g_strdup (options->self.address);
  net->self.incarnation = options->self.incarnation;
  net->ops = options->ops;
  net->data = options->data;
  net->listen_fd = listen_fd;
  net->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  net->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  pthread_mutex_init (&net->lock, NULL);
  net->buffer_max_bytes =
      options->buffer_max_bytes != 0 ? options->buffer_max_bytes : NET_BUFFER_MAX_BYTES;
  net->unnamed_max =
      options->unnamed_max != 0 ? MIN (options->unnamed_max, UNNAMED_LINKS_MAX) : UNNAMED_LINKS_MAX;
  net->inbox = inbox_new (NULL);
  net->links = g_ptr_array_new_with_free_func (link_free);
  net->links_by_host = g_hash_table_new (g_str_hash, g_str_equal);
  net->names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  net->blocked_in = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  net->blocked_out = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct epoll_event accept_event = { .events = EPOLLIN, .data.ptr = NULL };
  struct epoll_event wake_event = { .events = EPOLLIN, .data.ptr = net };
  epoll_ctl (net->epoll_fd, EPOLL_CTL_ADD, net->listen_fd, &accept_event);
  epoll_ctl (net->epoll_fd, EPOLL_CTL_ADD, net->wake_fd, &wake_event);
  net->thread = g_thread_new ("net", run_io_thread, net);
  *out = net;
  return 0;
}

static void
wake_thread (net_t *net)
{
  uint64_t one = 1;

  (void) !write (net->wake_fd, &one, sizeof one);
}

/* Removes the outgoing link that is least likely to be needed, if there are NET_ADDRESSES_MAX of
 * them: one that was never open before one that was, then the one that expires first.  Links that
 * are open, being connected or permanent remain.  Returns false if there is no room.  Under the
 * lock. */
static bool
make_room_for_address (net_t *net)
{
  guint count = 0;
  guint oldest = G_MAXUINT;

  for (guint i = 0; i < net->links->len; i++)
    {
      const link_t *link = net->links->pdata[i];
      count += link->outgoing;
      if (!link->outgoing || link->permanent || link->state != LINK_IDLE)
        continue;
      const link_t *best = oldest != G_MAXUINT ? net->links->pdata[oldest] : NULL;
      if (best == NULL || link->was_open < best->was_open
          || (link->was_open == best->was_open && link->expires_at_ms < best->expires_at_ms))
        oldest = i;
    }
  if (count < NET_ADDRESSES_MAX)
    return true;
  counter_add (counter_get ("jaytrail_peer_addresses_dropped_total", NULL), 1);
  if (oldest == G_MAXUINT)
    return false;
  g_ptr_array_remove_index_fast (net->links, oldest);
  return true;
}

void
net_add_address (net_t *net, const char *address, const char *data_centre, bool permanent)
{
  bool known = strcmp (address, net->self.address) == 0;
  bool expedited = false;

  if (address_split (address, NULL, NULL) != 0)
    return;
  pthread_mutex_lock (&net->lock);
  for (guint i = 0; i < net->links->len && !known; i++)
    {
      link_t *link = net->links->pdata[i];
      known = link->outgoing && strcmp (link->address, address) == 0;
      expedited = known && link_expedite_connect (link);
    }
  if (!known && (permanent || make_room_for_address (net)))
    {
      link_t *link = link_new (net, true);
      link->address = g_strdup (address);
      link->data_centre = g_strdup (data_centre);
      link->permanent = permanent;
      link->expires_at_ms = clock_boot_ms () + NET_ADDRESS_RETENTION_MS;
    }
  pthread_mutex_unlock (&net->lock);
  if (!known || expedited)
    wake_thread (net);
}

int
net_address_count (net_t *net)
{
  int count = 0;

  pthread_mutex_lock (&net->lock);
  for (guint i = 0; i < net->links->len; i++)
    count += ((const link_t *) net->links->pdata[i])->outgoing;
  pthread_mutex_unlock (&net->lock);
  return count;
}

int
net_send (net_t *net, const char *host, GBytes *frame)
{
  int result = ERROR_NOT_CONNECTED;

  pthread_mutex_lock (&net->lock);
  link_t *link = g_hash_table_lookup (net->links_by_host, host);
  if (link != NULL && link->data_centre != NULL
      && g_hash_table_contains (net->blocked_out, link->data_centre))
    {
      result = 0;
      g_bytes_unref (frame);
    }
  else if (link != NULL)
    result = link_queue (net, link, frame);
  else
    g_bytes_unref (frame);
  pthread_mutex_unlock (&net->lock);
  return result;
}

/* Only shuts the socket down, because the I/O thread may be using the link; that
 * thread then closes it. */
void
net_reconnect (net_t *net, const char *host)
{
  pthread_mutex_lock (&net->lock);
  link_t *link = g_hash_table_lookup (net->links_by_host, host);
  if (link != NULL)
    shutdown (link->fd, SHUT_RDWR);
  pthread_mutex_unlock (&net->lock);
}

static void
set_blocked (GHashTable *set, const char *data_centre, bool blocked)
{
  if (blocked)
    g_hash_table_add (set, g_strdup (data_centre));
  else
    g_hash_table_remove (set, data_centre);
}

void
net_set_partition (net_t *net, const char *data_centre, bool in, bool out)
{
  pthread_mutex_lock (&net->lock);
  set_blocked (net->blocked_in, data_centre, in);
  set_blocked (net->blocked_out, data_centre, out);
  pthread_mutex_unlock (&net->lock);
  log_warning (PART, "Simulated network partition changed.", "data_centre", data_centre, "in",
               in ? "cut" : "open", "out", out ? "cut" : "open", NULL);
}

void
net_totals (net_t *net, net_totals_t *totals)
{
  pthread_mutex_lock (&net->lock);
  *totals = net->totals;
  pthread_mutex_unlock (&net->lock);
}

int64_t
net_unsent_bytes (net_t *net)
{
  int64_t bytes = 0;

  pthread_mutex_lock (&net->lock);
  for (guint i = 0; i < net->links->len; i++)
    {
      const link_t *link = net->links->pdata[i];
      if (link->outgoing && link->state == LINK_OPEN)
        bytes += (int64_t) link->queued_bytes + unacked_bytes (link->fd);
    }
  pthread_mutex_unlock (&net->lock);
  return bytes;
}

void
net_stop (net_t *net)
{
  if (net == NULL)
    return;
  atomic_store (&net->stopping, true);
  wake_thread (net);
  g_thread_join (net->thread);
  g_ptr_array_unref (net->links);
  inbox_free (net->inbox);
  g_hash_table_unref (net->links_by_host);
  g_hash_table_unref (net->names);
  g_hash_table_unref (net->blocked_in);
  g_hash_table_unref (net->blocked_out);
  close (net->listen_fd);
  close (net->epoll_fd);
  close (net->wake_fd);
  pthread_mutex_destroy (&net->lock);
  g_free (net->self.host);
  g_free (net->self.data_centre);
  g_free (net->self.address);
  g_free (net);
}
