/* net.c -- TCP connections between entry hosts, over which they exchange frames
 *
 * A link is a connection, or an address to which this host connects.  All links
 * are in one list, protected by one lock.  An outgoing link can be looked up by
 * host id once the HELLO of the peer has been received.  The I/O thread watches
 * all links and their time-outs.
 */
#include "wire/net_private.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "base/unacked.h"
#include "wire/socket.h"

#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define PART "net"
/* Links are checked for time-outs and due connection attempts at least this often. */
#define POLL_INTERVAL_MS 50
#define EPOLL_EVENTS_MAX 64
/* Accepted links without a HELLO.  One more closes the oldest of them. */
#define UNNAMED_LINKS_MAX 256

static void
disconnect_link (net_t *net, link_t *link)
{
  pthread_mutex_lock (&net->lock);
  char *closed_host = net_link_close (net, link, clock_boot_ms ());
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
      keep = link->state == LINK_CONNECTING ? net_finish_connect (net, link)
                                            : net_link_flush (net, link);
      pthread_mutex_unlock (&net->lock);
    }
  if (keep && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
    keep = net_receive_frames (net, link, events & (EPOLLHUP | EPOLLERR));
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
          g_free (net_link_close (net, link, now_ms));
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
          net_link_abort (net, link);
          net_count_closed ("frame_timeout");
        }
      if (link->paused && !net_is_inbox_full (net, link))
        net_set_paused (net, link, false);
      if (is_connect_due (link, now_ms))
        net_connect (net, link, now_ms);
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
      net_resume_accepting (net);
      int count = epoll_wait (net->epoll_fd, events, EPOLL_EVENTS_MAX, POLL_INTERVAL_MS);
      for (int i = 0; i < count; i++)
        if (events[i].data.ptr == NULL)
          net_accept_links (net);
        else if (events[i].data.ptr == net)
          (void) !read (net->wake_fd, &wake_count, sizeof wake_count);
        else
          handle_link_events (net, events[i].data.ptr, events[i].events);
    }
  return NULL;
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
  net->links = g_ptr_array_new_with_free_func (net_link_free);
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
    result = net_link_queue (net, link, frame);
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
  net_wake_thread (net);
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
