/* net_connect.c -- opens and accepts the connections between entry hosts, up to the HELLO
 *
 * An address is an outgoing link, which is connected again whenever it is closed.  Accepted links
 * are limited in number, with and without a HELLO.
 */
#include "wire/net_private.h"

#include "base/address.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "wire/socket.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define PART "net"
#define HELLO_VERSION 1
/* Time-out of a connection attempt, and of waiting for the HELLO of the peer. */
#define HANDSHAKE_TIMEOUT_MS 600
/* Time-out, from its start, of a connection attempt that was in progress when its
 * host was reported as running.  The host may have started after the attempt, which then cannot
 * succeed soon. */
#define STALE_CONNECT_TIMEOUT_MS 50
/* Accepted links with a HELLO.  One more closes the one from which nothing has come for longest. */
#define NAMED_LINKS_MAX 4096
/* Connections are accepted in rounds no larger than the rounds of events, so that a HELLO that has
 * arrived is read before more connections are accepted. */
#define ACCEPTS_PER_ROUND 32
/* Names of hosts and data centres that may come in HELLOs while this process runs.  The callbacks'
 * owner may keep a name for good. */
#define NAMES_MAX 16384
/* Pause after a failure to accept, as for want of descriptors. */
#define ACCEPT_PAUSE_MS 100
/* Failures to accept are logged no more often than this. */
#define ACCEPT_LOG_INTERVAL_MS 10000

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

void
net_connect (net_t *net, link_t *link, int64_t now_ms)
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
      g_free (net_link_close (net, link, now_ms));
      return;
    }
  link->state = LINK_CONNECTING;
  link->connect_started_ms = now_ms;
  link->timeout_at_ms = now_ms + HANDSHAKE_TIMEOUT_MS;
  net_link_set_events (net, link, EPOLL_CTL_ADD, EPOLLOUT);
}

bool
net_finish_connect (net_t *net, link_t *link)
{
  int error = 0;
  socklen_t size = sizeof error;

  if (getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    return false;
  link->state = LINK_OPEN;
  link->timeout_at_ms = clock_boot_ms () + HANDSHAKE_TIMEOUT_MS;
  return net_link_queue (net, link, make_hello (net)) == 0;
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
  net_link_abort (net, silent);
  net_count_closed (named ? "most_named" : "most_unnamed");
}

static void
accept_link (net_t *net, int fd)
{
  int64_t now_ms = clock_boot_ms ();

  socket_set_options (fd);
  pthread_mutex_lock (&net->lock);
  link_t *link = net_link_new (net, false);
  link->fd = fd;
  link->state = LINK_OPEN;
  link->timeout_at_ms = now_ms + HANDSHAKE_TIMEOUT_MS;
  link->last_received_ms = now_ms;
  net_link_set_events (net, link, EPOLL_CTL_ADD, EPOLLIN);
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

void
net_resume_accepting (net_t *net)
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

void
net_accept_links (net_t *net)
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

/* Returns true if NAME has come before or is one of the first NAMES_MAX. */
static bool
take_name (net_t *net, const char *name)
{
  if (g_hash_table_contains (net->names, name))
    return true;
  if (g_hash_table_size (net->names) >= NAMES_MAX)
    return net_refuse_link ("most_names");
  g_hash_table_add (net->names, g_strdup (name));
  return true;
}

bool
net_handle_hello (net_t *net, link_t *link, frame_reader_t *reader)
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
      net_link_queue (net, link, make_hello (net));
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

void
net_wake_thread (net_t *net)
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
      link_t *link = net_link_new (net, true);
      link->address = g_strdup (address);
      link->data_centre = g_strdup (data_centre);
      link->permanent = permanent;
      link->expires_at_ms = clock_boot_ms () + NET_ADDRESS_RETENTION_MS;
    }
  pthread_mutex_unlock (&net->lock);
  if (!known || expedited)
    net_wake_thread (net);
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
